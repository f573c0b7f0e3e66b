"""Clocks in milliseconds; the monotonic time never goes back."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time outside the core, which gets times with its inputs."""

    def now_ms(self) -> int:
        """Returns monotonic milliseconds; the origin is arbitrary."""

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch, for people to read.

        Wall clocks of two instances may differ by a minute, so no decision may
        depend on this value.
        """


class SystemClock:
    """Reads the clocks of the operating system."""

    def now_ms(self) -> int:
        """Returns milliseconds that also advance while suspended.

        The plain monotonic clock stops while an instance is suspended. By that
        clock, a lease would seem valid long after other daemons consider it
        expired.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Returns the wall clock in milliseconds."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock that tests and experiments advance explicitly."""

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
        """Advances the clock and returns the new time."""
        self._now_ms += by_ms
        return self._now_ms


__all__ = ["Clock", "ManualClock", "SystemClock"]
