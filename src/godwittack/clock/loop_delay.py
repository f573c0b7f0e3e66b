"""Tells since when data may have waited that an event loop reads now.

Load pattern: more daemons than cores, or a machine that stands still for a
while. A request lies in its socket until the loop comes to read it, and what
its caller has left of its time is less than it was when it was sent.
"""

from __future__ import annotations

import selectors
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from godwittack.clock import Clock


class ReadDelay(Protocol):
    """How late a loop may be with what it reads or accepts."""

    @property
    def iterations(self) -> int:
        """Rounds of the loop so far."""

    def read_delay_ms(self) -> int:
        """Returns how long data read in this round may have waited."""

    def accept_delay_ms(self) -> int:
        """Returns how long a connection accepted in the last one may have."""


class NoDelay:
    """A loop that is taken to be on time."""

    iterations = 0

    def read_delay_ms(self) -> int:
        """Returns 0."""
        return 0

    def accept_delay_ms(self) -> int:
        """Returns 0."""
        return 0


class TimedSelector(selectors.DefaultSelector):
    """A selector that measures the rounds of its loop.

    What is ready when a round begins came after the round before had begun.
    Of that time, the part for which the loop slept as it wanted does not
    count: data would have woken it.
    """

    def __init__(self, clock: Clock) -> None:
        """Measures by `clock`, which should count while suspended."""
        super().__init__()
        self.iterations = 0
        self._clock = clock
        self._iteration_started_ms = clock.now_ms()
        self._delay_ms = 0
        self._previous_delay_ms = 0
        self._overslept_ms = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Waits for events; the loop calls it once a round."""
        select_started_ms = self._clock.now_ms()
        ready = super().select(timeout)
        now_ms = self._clock.now_ms()
        overslept_ms = 0
        if timeout is not None:
            wake_at_ms = select_started_ms + round(max(0.0, timeout) * 1000)
            overslept_ms = max(0, now_ms - wake_at_ms)
        self._previous_delay_ms = self._delay_ms
        busy_ms = select_started_ms - self._iteration_started_ms
        # A process may be stopped after the events of a round were collected,
        # or a signal end the wait: what is ready by then comes a round later.
        self._delay_ms = busy_ms + overslept_ms + self._overslept_ms
        self._overslept_ms = overslept_ms
        self._iteration_started_ms = now_ms
        self.iterations += 1
        return ready

    def read_delay_ms(self) -> int:
        """Returns how long data read in this round may have waited."""
        return (
            self._delay_ms + self._clock.now_ms() - self._iteration_started_ms
        )

    def accept_delay_ms(self) -> int:
        """Returns how long a connection accepted in the last one may have."""
        return self._previous_delay_ms + self.read_delay_ms()


__all__ = ["NoDelay", "ReadDelay", "TimedSelector"]
