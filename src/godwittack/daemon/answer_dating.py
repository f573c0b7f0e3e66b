"""Dates answers of the store by its clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.clock import Clock
    from godwittack.store import protocol

# Rounding of clocks, by which an answer may seem to be from the future.
CLOCK_TOLERANCE_MS = 10


class AnswerDating:
    """Finds the local time at which each answer was produced.

    A call that waits for changes is sent long before its answer is produced.
    Every answer carries the store's clock: one that arrived quickly gives a
    lower bound of the offset to the local clock, by which the other answers are
    dated. Dated by the start of the call, the last confirmation would seem
    older, and keys would be refused two seconds too soon after the store became
    unreachable.
    """

    def __init__(self, clock: Clock) -> None:
        """Starts without a known offset."""
        self._clock = clock
        self._offset_ms = -(1 << 62)

    def as_of_ms(self, page: protocol.FeedPage, started_ms: int) -> int:
        """Returns a lower bound of the time at which a page was produced.

        Args:
            page: The answer.
            started_ms: When the call was made.
        """
        if not page.service_ms:
            return started_ms
        offset_ms = started_ms - page.service_ms
        self._offset_ms = max(self._offset_ms, offset_ms)
        now_ms = self._clock.now_ms()
        dated_ms = page.service_ms + self._offset_ms
        if dated_ms > now_ms + CLOCK_TOLERANCE_MS:
            # The store's clock has moved forward, as after a restart.
            self._offset_ms = offset_ms
            return started_ms
        return min(max(started_ms, dated_ms), now_ms)


__all__ = ["AnswerDating"]
