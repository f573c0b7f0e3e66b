"""Tells from late timers that a daemon has more work than processor time.

Load pattern: a burst reaches the serving daemons of one failure domain while
others of the domain are idle. Timers of the busy ones fire late; the directory
then names more daemons of that domain.
"""

from __future__ import annotations

# Weight of the newest timer in the smoothed lag.
SMOOTHING = 0.2
# Longest lag counted of one timer: a machine that was suspended for seconds
# is not overloaded once it runs again.
MAX_LAG_MS = 200
OVERLOADED_LAG_MS = 60
RECOVERED_LAG_MS = 15
# Least time between two changes, so that the serving set does not flap.
MIN_CHANGE_INTERVAL_MS = 5_000


class OverloadDetector:
    """Judges the lag of a daemon's timers.

    Attributes:
        is_overloaded: The judgement.
        lag_ms: Smoothed lag.
    """

    def __init__(self) -> None:
        """Takes the daemon for not overloaded."""
        self.is_overloaded = False
        self.lag_ms = 0.0
        self._changed_at_ms = -MIN_CHANGE_INTERVAL_MS

    def observe(self, lag_ms: float, *, now_ms: int) -> bool:
        """Takes in one timer's lag; returns whether the judgement changed."""
        counted_ms = min(MAX_LAG_MS, max(0.0, lag_ms))
        self.lag_ms += SMOOTHING * (counted_ms - self.lag_ms)
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
