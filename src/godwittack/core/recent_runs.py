"""Counts the runs that completed recently, by part of their prompts."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

WINDOW_MS = 10_000
PERIOD_MS = 250
# Parts counted in one period; further ones are not.
MAX_PARTS = 1_024


@dataclasses.dataclass(slots=True)
class _Period:
    from_ms: int
    by_part: dict[str, int] = dataclasses.field(default_factory=dict)
    by_target: dict[str, int] = dataclasses.field(default_factory=dict)


class RecentRuns:
    """Completed runs of the last `WINDOW_MS`, in short periods."""

    def __init__(self) -> None:
        """Starts without runs."""
        self._periods: collections.deque[_Period] = collections.deque()
        self._totals: dict[str, int] = {}

    def add(self, target: str, parts: Iterable[str], *, now_ms: int) -> None:
        """Counts one run that completed."""
        periods = self._periods
        if not periods or now_ms - periods[-1].from_ms >= PERIOD_MS:
            self._drop_old(now_ms)
            periods.append(_Period(now_ms))
        period = periods[-1]
        period.by_target[target] = period.by_target.get(target, 0) + 1
        self._totals[target] = self._totals.get(target, 0) + 1
        for part in parts:
            count = period.by_part.get(part, 0)
            if count or len(period.by_part) < MAX_PARTS:
                period.by_part[part] = count + 1

    def count(self, part: str, *, now_ms: int) -> int:
        """Returns how many runs with a part completed."""
        self._drop_old(now_ms)
        return sum(p.by_part.get(part, 0) for p in self._periods)

    def total(self, target: str) -> int:
        """Returns how many runs on a target completed since the start."""
        return self._totals.get(target, 0)

    def total_before_window(self, target: str, *, now_ms: int) -> int:
        """Returns how many of them completed before the last `WINDOW_MS`."""
        self._drop_old(now_ms)
        recent = sum(p.by_target.get(target, 0) for p in self._periods)
        return self.total(target) - recent

    def _drop_old(self, now_ms: int) -> None:
        periods = self._periods
        while periods and now_ms - periods[0].from_ms > WINDOW_MS:
            periods.popleft()


__all__ = ["PERIOD_MS", "WINDOW_MS", "RecentRuns"]
