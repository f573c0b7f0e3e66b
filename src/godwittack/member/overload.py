"""Detects from late timers that a daemon lacks processor time.

Load pattern: a burst reaches the serving daemons of one failure domain while
others of the domain are idle. Timers of the busy ones fire late; the directory
then lists more daemons of that domain.
"""

from __future__ import annotations

# Weight of the newest timer in the smoothed lag.
SMOOTHING = 0.2
# Caps the lag of one timer: a machine that was suspended for seconds is not
# overloaded once it runs again.
MAX_LAG_MS = 200
OVERLOADED_LAG_MS = 60
RECOVERED_LAG_MS = 15
# Minimum time between two changes, so that the serving set does not flap.
MIN_CHANGE_INTERVAL_MS = 5_000


class OverloadDetector:
    """Detects overload from the lag of a daemon's timers.

    Attributes:
        is_overloaded: Whether the daemon counts as overloaded.
        lag_ms: Smoothed lag.
    """

    def __init__(self) -> None:
        """Starts as not overloaded."""
        self.is_overloaded = False
        self.lag_ms = 0.0
        self._changed_at_ms = -MIN_CHANGE_INTERVAL_MS

    def observe(self, lag_ms: float, *, now_ms: int) -> bool:
        """Records one timer's lag; returns whether `is_overloaded` changed."""
        capped_ms = min(MAX_LAG_MS, max(0.0, lag_ms))
        self.lag_ms += SMOOTHING * (capped_ms - self.lag_ms)
        if now_ms - self._changed_at_ms < MIN_CHANGE_INTERVAL_MS:
            return False
        if self.is_overloaded:
            changed = self.lag_ms < RECOVERED_LAG_MS
        else:
            changed = self.lag_ms > OVERLOADED_LAG_MS
        if changed:
            self.is_overloaded = not self.is_overloaded
            self._changed_at_ms = now_ms
        return changed


__all__ = ["MIN_CHANGE_INTERVAL_MS", "OverloadDetector"]
