"""Tells how roll-outs of weights go on: log lines and metrics.

A server that stays on replaced weights has many possible reasons: nobody may
order, the store is lost, too few are ordered at a time, loads are slow, or
the server itself is away. Each line holds what tells these apart.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Protocol

from absl import logging

if TYPE_CHECKING:
    from godwittack.clock import Clock
    from godwittack.lead import rollout

# Between two lines on one roll-out that goes on, unless the version, the
# pressure or the room change; a step is taken ten times a second.
LOG_INTERVAL_MS = 500


class WaitReason(enum.StrEnum):
    """Why a daemon that might order does not."""

    NONE = "none"
    OTHER_TURN = "other_turn"
    STORE_LOST = "store_lost"
    NOT_RECORDED = "not_recorded"


class OrderOutcome(enum.StrEnum):
    """What became of an order."""

    LOADED = "loaded"
    REFUSED = "refused"
    NO_REPORT = "no_report"


class OrderMetrics(Protocol):
    """Takes figures of loads."""

    def weights_order(self, *, outcome: str, after_ms: int) -> None:
        """Takes in what became of an order, and how long after it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PaceInputs:
    """What the pace of a roll-out was decided from.

    Attributes:
        desired_version: Version to load.
        oldest_ms: For how long newer weights are named than the oldest that a
            server has.
        too_old: Servers that get no work for the age of their weights.
        wait_ms: Mean wait at the servers that take work.
        is_under_load: Whether that is too long to take many servers out.
    """

    desired_version: str
    oldest_ms: int
    too_old: int
    wait_ms: float
    is_under_load: bool


@dataclasses.dataclass(slots=True)
class _LastLine:
    logged_at_ms: int
    state: tuple[str, bool, int]


class RolloutLog:
    """Writes bounded lines on the roll-outs of one daemon."""

    def __init__(
        self, *, clock: Clock, metrics: OrderMetrics | None = None
    ) -> None:
        """Has told nothing.

        Args:
            clock: Source of time.
            metrics: Takes figures as well, where there are metrics.
        """
        self._clock = clock
        self._metrics = metrics
        self._last_lines: dict[str, _LastLine] = {}
        self._last_waits: dict[str, WaitReason] = {}

    def log_step(
        self, model: str, pace: PaceInputs, overview: rollout.Overview
    ) -> None:
        """Tells what a step was decided from, unless it was told just now."""
        now_ms = self._clock.now_ms()
        marks = (pace.desired_version, pace.is_under_load, overview.room)
        last = self._last_lines.get(model)
        if (
            last is not None
            and last.state == marks
            and now_ms - last.logged_at_ms < LOG_INTERVAL_MS
        ):
            return
        self._last_lines[model] = _LastLine(now_ms, marks)
        logging.info(
            "event=rollout model=%s version=%s behind=%d unreachable=%d"
            " too_old=%d oldest_ms=%d draining=%d loading=%d held=%d room=%d"
            " load_ms=%d pressed=%d wait_ms=%.0f",
            model,
            pace.desired_version,
            overview.behind,
            overview.unreachable,
            pace.too_old,
            pace.oldest_ms,
            overview.draining,
            overview.loading,
            overview.held,
            overview.room,
            overview.load_ms,
            pace.is_under_load,
            pace.wait_ms,
        )

    def last_wait(self, model: str) -> WaitReason:
        """Returns what was told last of why this daemon orders nothing."""
        return self._last_waits.get(model, WaitReason.NONE)

    def log_wait(
        self,
        model: str,
        why: WaitReason,
        *,
        daemons_before: int,
        holder: str,
        idle_ms: int,
    ) -> None:
        """Tells why this daemon orders nothing.

        Args:
            model: The model with servers that need weights.
            why: The reason, or that there is none any more.
            daemons_before: Daemons that come before this one.
            holder: Who ordered last.
            idle_ms: How long ago the last order was recorded.
        """
        self._last_waits[model] = why
        logging.info(
            "event=rollout_waits model=%s why=%s place=%d holder=%s idle_ms=%d",
            model,
            why,
            daemons_before,
            holder,
            idle_ms,
        )

    def record_order(self, outcome: OrderOutcome, *, after_ms: int) -> None:
        """Takes in what became of an order, and how long after it."""
        if self._metrics is not None:
            self._metrics.weights_order(outcome=outcome, after_ms=after_ms)


__all__ = [
    "OrderMetrics",
    "OrderOutcome",
    "PaceInputs",
    "RolloutLog",
    "WaitReason",
]
