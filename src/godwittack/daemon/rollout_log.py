"""Logs the progress of roll-outs of weights and records their metrics.

A server may stay on outdated weights for several reasons: no daemon may
order, the store is unreachable, too few servers are ordered at a time, loads
are slow, or the server itself is unreachable. Each line has the values that
tell these apart.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Protocol

from absl import logging

if TYPE_CHECKING:
    from godwittack.clock import Clock
    from godwittack.lead import rollout

# Interval between two lines on one roll-out, unless the version, the load state
# or the number of servers that may load at once changes; there are ten steps a
# second.
LOG_INTERVAL_MS = 500


class WaitReason(enum.StrEnum):
    """Why a daemon does not order servers to load weights.

    Attributes:
        NONE: It may order them.
        OTHER_TURN: Another daemon may order, by rank or as the last holder.
        STORE_LOST: The row of the lease could not be read.
        NOT_RECORDED: The store did not record the orders.
    """

    NONE = "none"
    OTHER_TURN = "other_turn"
    STORE_LOST = "store_lost"
    NOT_RECORDED = "not_recorded"


class OrderOutcome(enum.StrEnum):
    """Result of an order to load weights."""

    LOADED = "loaded"
    REFUSED = "refused"
    NO_REPORT = "no_report"


class OrderMetrics(Protocol):
    """Records metrics of orders."""

    def record_weights_order(self, *, outcome: str, after_ms: int) -> None:
        """Records the result of an order and the time from order to result."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PaceInputs:
    """Figures that decide the pace of a roll-out.

    Attributes:
        desired_version: Version to load.
        oldest_ms: For how long the oldest weights on a server have been
            outdated.
        too_old: Servers that receive no work because of the age of their
            weights.
        wait_ms: Mean wait at the servers that accept work.
        is_under_load: Whether that is too long to take many servers out of
            service.
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
    """Logs the roll-outs of one daemon at a bounded rate."""

    def __init__(
        self, *, clock: Clock, metrics: OrderMetrics | None = None
    ) -> None:
        """Starts with nothing logged.

        Args:
            clock: Source of time.
            metrics: Records results of orders; None without metrics.
        """
        self._clock = clock
        self._metrics = metrics
        self._last_lines: dict[str, _LastLine] = {}
        self._last_waits: dict[str, WaitReason] = {}

    def log_step(
        self, model: str, pace: PaceInputs, overview: rollout.Overview
    ) -> None:
        """Logs the inputs of a step, unless the same were logged just now."""
        now_ms = self._clock.now_ms()
        state = (pace.desired_version, pace.is_under_load, overview.room)
        last = self._last_lines.get(model)
        if (
            last is not None
            and last.state == state
            and now_ms - last.logged_at_ms < LOG_INTERVAL_MS
        ):
            return
        self._last_lines[model] = _LastLine(now_ms, state)
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
        """Returns the reason logged last why this daemon orders nothing."""
        return self._last_waits.get(model, WaitReason.NONE)

    def log_wait(
        self,
        model: str,
        reason: WaitReason,
        *,
        daemons_before: int,
        holder: str,
        idle_ms: int,
    ) -> None:
        """Logs why this daemon orders nothing.

        Args:
            model: The model with servers that need weights.
            reason: The reason; `NONE` once the daemon may order again.
            daemons_before: Daemons that rank before this one.
            holder: Daemon that ordered last.
            idle_ms: How long ago the last order was recorded.
        """
        self._last_waits[model] = reason
        logging.info(
            "event=rollout_waits model=%s why=%s place=%d holder=%s idle_ms=%d",
            model,
            reason,
            daemons_before,
            holder,
            idle_ms,
        )

    def record_order(self, outcome: OrderOutcome, *, after_ms: int) -> None:
        """Records the result of an order and the time from order to result."""
        if self._metrics is not None:
            self._metrics.record_weights_order(
                outcome=outcome, after_ms=after_ms
            )


__all__ = [
    "OrderMetrics",
    "OrderOutcome",
    "PaceInputs",
    "RolloutLog",
    "WaitReason",
]
