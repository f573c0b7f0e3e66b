"""Measures how long data may have waited before an event loop reads it.

Load pattern: more daemons than cores, or a machine that freezes for a while. A
request waits in its socket until the loop reads it, and by then its caller has
less time left than when it was sent.
"""

from __future__ import annotations

import selectors
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from godwittack.clock import Clock


class ReadDelay(Protocol):
    """How long data or connections may wait for an event loop."""

    @property
    def iterations(self) -> int:
        """Iterations of the loop so far."""

    def read_delay_ms(self) -> int:
        """Returns how long data read in this iteration may have waited."""

    def accept_delay_ms(self) -> int:
        """Returns how long a connection may have waited to be accepted.

        Holds for connections accepted in the previous iteration.
        """


class NoDelay:
    """Delay of a loop that is assumed to read and accept at once."""

    iterations = 0

    def read_delay_ms(self) -> int:
        """Returns 0."""
        return 0

    def accept_delay_ms(self) -> int:
        """Returns 0."""
        return 0


class TimedSelector(selectors.DefaultSelector):
    """A selector that measures the iterations of its event loop.

    Data that is ready at the start of an iteration arrived after the start of
    the previous one. The time that the loop slept as requested does not count,
    because arriving data would have woken it.
    """

    def __init__(self, clock: Clock) -> None:
        """Measures by `clock`, which should advance while suspended."""
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
        """Waits for events; the loop calls it once per iteration."""
        select_started_ms = self._clock.now_ms()
        ready = super().select(timeout)
        now_ms = self._clock.now_ms()
        overslept_ms = 0
        if timeout is not None:
            wake_at_ms = select_started_ms + round(max(0.0, timeout) * 1000)
            overslept_ms = max(0, now_ms - wake_at_ms)
        self._previous_delay_ms = self._delay_ms
        busy_ms = select_started_ms - self._iteration_started_ms
        # The process may be stopped after the events of an iteration were
        # collected, or a signal may end the wait: data that is ready by then
        # is read one iteration later.
        self._delay_ms = busy_ms + overslept_ms + self._overslept_ms
        self._overslept_ms = overslept_ms
        self._iteration_started_ms = now_ms
        self.iterations += 1
        return ready

    def read_delay_ms(self) -> int:
        """Returns how long data read in this iteration may have waited."""
        return (
            self._delay_ms + self._clock.now_ms() - self._iteration_started_ms
        )

    def accept_delay_ms(self) -> int:
        """Returns how long a connection may have waited to be accepted.

        Holds for connections accepted in the previous iteration.
        """
        return self._previous_delay_ms + self.read_delay_ms()


__all__ = ["NoDelay", "ReadDelay", "TimedSelector"]
