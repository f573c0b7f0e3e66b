"""The clock of the whole program: milliseconds that never go back."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time for shells; the core only sees times in its inputs."""

    def now_ms(self) -> int:
        """Returns monotonic milliseconds; the origin is arbitrary."""

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch, for people to read.

        Wall clocks of two instances may differ by a minute, so that no
        decision depends on this value.
        """


class SystemClock:
    """Reads the clocks of the operating system."""

    def now_ms(self) -> int:
        """Returns milliseconds that also count while suspended.

        The plain monotonic clock stands still while an instance is suspended.
        A lease or a right read by it would seem to hold long after others
        have taken it for lapsed.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Returns the wall clock in milliseconds."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock that a test or an experiment moves by hand."""

    def __init__(self, start_ms: int = 0) -> None:
        """Starts the clock at `start_ms`."""
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Returns the time set last."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Returns the time set last."""
        return self._now_ms

    def advance(self, *, by_ms: int) -> int:
        """Moves the clock forward and returns the new time."""
        self._now_ms += by_ms
        return self._now_ms


__all__ = ["Clock", "ManualClock", "SystemClock"]
