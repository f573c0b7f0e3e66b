"""Decides which load reports are news to other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.core import server_inputs

# An unchanged load is told again after this, to a peer that missed it.
REPEAT_MS = 2_000
# Part of a figure by which it may move untold.
NOISE = 0.1


class LoadFilter:
    """Remembers what was told last of each server."""

    def __init__(self) -> None:
        """Has told nothing."""
        self._told: dict[str, server_inputs.LoadReported] = {}

    def is_news(self, load: server_inputs.LoadReported) -> bool:
        """Returns whether to tell a report, and remembers it if so."""
        last = self._told.get(load.server_id)
        if last is not None and _is_same(last, load):
            return False
        self._told[load.server_id] = load
        return True


def _is_same(
    last: server_inputs.LoadReported, load: server_inputs.LoadReported
) -> bool:
    return (
        load.at_ms - last.at_ms < REPEAT_MS
        and _identity(last) == _identity(load)
        and _close(last.running, load.running)
        and _close(last.waiting, load.waiting)
        and _close(last.waiting_tokens, load.waiting_tokens)
    )


def _identity(load: server_inputs.LoadReported) -> tuple[str, str, int, bool]:
    return (load.incarnation, load.weights_version, load.slots, load.leaving)


def _close(last: int, now: int) -> bool:
    return abs(now - last) <= NOISE * max(now, last)


__all__ = ["LoadFilter"]
