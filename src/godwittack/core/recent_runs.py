"""Counts the runs that completed recently, by what they held."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

PERIOD_MS = 1_000
# Keys counted in one period; further ones are not.
MAX_KEYS = 1_024


@dataclasses.dataclass(slots=True)
class _Period:
    from_ms: int
    counts: dict[str, int] = dataclasses.field(default_factory=dict)


class RecentRuns:
    """Completed runs of a window before now, in short periods."""

    def __init__(self, *, window_ms: int) -> None:
        """Starts without runs."""
        self._window_ms = window_ms
        self._periods: collections.deque[_Period] = collections.deque()

    def add(self, keys: Iterable[str], *, now_ms: int) -> None:
        """Counts one run that completed, under each key."""
        periods = self._periods
        if not periods or now_ms - periods[-1].from_ms >= PERIOD_MS:
            self._drop_old(now_ms)
            periods.append(_Period(now_ms))
        counts = periods[-1].counts
        for key in keys:
            count = counts.get(key, 0)
            if count or len(counts) < MAX_KEYS:
                counts[key] = count + 1

    def count(self, key: str, *, now_ms: int) -> int:
        """Returns how many runs completed under a key."""
        self._drop_old(now_ms)
        return sum(period.counts.get(key, 0) for period in self._periods)

    def _drop_old(self, now_ms: int) -> None:
        periods = self._periods
        while periods and now_ms - periods[0].from_ms > self._window_ms:
            periods.popleft()


__all__ = ["RecentRuns"]
