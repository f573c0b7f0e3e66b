"""Decides what a quota admits by the use of all daemons in its window.

Load pattern: a workspace whose steady use is below its quota sends several
times as much for five seconds, which the window still allows.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from godwittack.limit import quota_window

if TYPE_CHECKING:
    from godwittack.limit import quota

# Part of what may be admitted by the window from which only some requests are.
OPEN_RATIO = 0.9
# Part of the tolerated excess that may be used. The rest is for what daemons
# admit before they hear of each other.
EXCESS_RATIO = 0.3
# Share of its part of the quota that a daemon admits in the first window after
# its start, unless less than this part of the window is used.
STARTED_SHARE = 0.5
STARTED_FREE_PART = 0.6
# In smaller fleets, daemons that restart one after the other within a window
# lose too much of the record: nine of them passed the bound by 0.05.
MIN_DAEMONS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class WindowRules:
    """Rules of one daemon for the windows of all workspaces.

    Attributes:
        tolerance: Use beyond a quota that is tolerated.
        daemons: Number of daemons that report their use to each other.
        joined_at_ms: Since when this daemon hears of the others.
    """

    tolerance: quota.Tolerance
    daemons: int
    joined_at_ms: int

    @property
    def is_recorded(self) -> bool:
        """Whether the use in windows is recorded."""
        return self.tolerance.window_part > 0

    @property
    def is_applied(self) -> bool:
        """Whether requests are admitted by the use in the window as well."""
        return self.is_recorded and self.daemons >= MIN_DAEMONS

    def is_joining(self, now_ms: int) -> bool:
        """Returns whether this daemon has not kept a whole window yet."""
        return now_ms - self.joined_at_ms < self._window_ms

    def admitted_part(
        self, used: float, limit: quota.Quota, *, units: int
    ) -> float:
        """Returns the part of such requests that the window admits, 0 to 1."""
        usable = self.tolerance.window_part * self.tolerance.allowed(limit)
        left = usable - used - units
        return max(0.0, min(1.0, left / ((1 - OPEN_RATIO) * usable)))

    def is_exceeded(
        self,
        used: float,
        limit: quota.Quota,
        *,
        units: int,
        admitted: int,
        is_adopted: bool,
        now_ms: int,
    ) -> bool:
        """Returns whether a request would pass what a window allows.

        Args:
            used: Units used in the window.
            limit: Quota of the workspace.
            units: What the request uses.
            admitted: Units that this daemon admitted since it has started; 0
                if it was only suspended.
            is_adopted: Whether the use before its start is known.
            now_ms: Time of the request.
        """
        most = self._most(limit)
        if used + units > most:
            return True
        if not self.is_joining(now_ms) or (
            is_adopted and used < STARTED_FREE_PART * most
        ):
            return False
        # Load pattern: daemons restart one after the other during a burst, and
        # each knows too little of what is left of it in the window.
        since_s = (now_ms - self.joined_at_ms) / 1000
        share_per_s = STARTED_SHARE * limit.per_s / self.daemons
        return admitted > share_per_s * since_s

    def wait_ms(
        self,
        window: quota_window.QuotaWindow,
        limit: quota.Quota,
        *,
        units: int,
        now_ms: int,
    ) -> int:
        """Returns when a request fits into the window again; 0 if it does."""
        excess = window.used + units - self._most(limit)
        if not self.is_applied or excess <= 0:
            return 0
        return window.leaves_in_ms(
            excess, window_ms=self._window_ms, now_ms=now_ms
        )

    def record(
        self, window: quota_window.QuotaWindow, units: float, now_ms: int
    ) -> None:
        """Records what daemons admitted, or may have admitted."""
        if self.is_recorded and units > 0:
            window.expire(window_ms=self._window_ms, now_ms=now_ms)
            window.add(units, now_ms=now_ms)

    def expire(self, window: quota_window.QuotaWindow, now_ms: int) -> None:
        """Forgets the use before the window."""
        if self.is_recorded:
            window.expire(window_ms=self._window_ms, now_ms=now_ms)

    def assume_earlier_use(
        self, window: quota_window.QuotaWindow, limit: quota.Quota, now_ms: int
    ) -> None:
        """Assumes that all was used until this daemon heard of the others.

        With less, daemons that restart one after the other would each admit
        what the others have used already.
        """
        if not self.is_recorded or not self.is_joining(now_ms):
            return
        # The rate evenly, and the burst as late as possible.
        step_ms = quota_window.SLOT_MS
        step_units = limit.per_s * step_ms / 1000
        for at_ms in range(
            now_ms - self._window_ms, self.joined_at_ms, step_ms
        ):
            window.add(step_units, now_ms=at_ms)
        burst = self._most(limit) - limit.per_s * self.tolerance.window_s
        window.add(burst, now_ms=self.joined_at_ms)

    def adopt(
        self,
        window: quota_window.QuotaWindow,
        usage: quota.Usage,
        now_ms: int,
    ) -> None:
        """Takes over the use in the window that another daemon knows of.

        Load pattern: daemons restart one after the other during a burst. What
        each assumes of the time before leaves the window evenly, while the
        burst stays in it.
        """
        if not self.is_recorded or not self.is_joining(now_ms):
            return
        window.is_adopted |= usage.window_used > 0
        missing = usage.window_used - window.used
        if missing > 0:
            window.add(missing, now_ms=now_ms)

    def reported(self, window: quota_window.QuotaWindow, now_ms: int) -> float:
        """Returns the use in the window for a report; 0 if it is assumed."""
        is_known = window.is_adopted or not self.is_joining(now_ms)
        return window.used if is_known else 0.0

    @property
    def _window_ms(self) -> int:
        return round(self.tolerance.window_s * 1000)

    def _most(self, limit: quota.Quota) -> float:
        """Returns the use in a window from which no request is admitted."""
        excess = self.tolerance.excess(limit)
        return self.tolerance.allowed(limit) + EXCESS_RATIO * excess


__all__ = ["WindowRules"]
