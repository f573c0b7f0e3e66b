"""Weighs which parts of prompts crash the servers that run them.

A popular part is on most servers, so it is at most crashes whether or not it
causes them. A harmful part is told from those beside it by how many crashes it
was at, compared with the number expected from its share of all runs: that of a
harmless part doesn't differ, in an outage of all servers neither.

Load patterns: requests that share one part, no two alike, end one server after
the other, beside many sound requests with the same other parts; all servers
end at one time, with whatever they run.
"""

from __future__ import annotations

import bisect
import copy
import itertools
import math
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

# Crashes without which nothing is blamed.
CRASHES_TO_BLAME = 3
# Different times of crashes without which nothing is blamed.
TIMES_TO_BLAME = 2
# Least share of the runs with a harmful part that crash.
HARMFUL_SHARE = 1 / 20
# Least chance for a part to be at a crash that it doesn't cause.
MIN_CHANCE = 0.02
# Logarithm of how much more likely the crashes must be with a harmful part.
BLAME_SCORE = math.log(1_000)
# Time before the first crash in which completed runs count.
HISTORY_MS = 20_000
# Servers that end within this time end together: nothing completes between, and
# they may have one cause of their own.
TOGETHER_MS = 500
# Difference between the times at which daemons observe one crash.
REPORT_DELAY_MS = 100


# The same for a part of which no run is known to have completed, and completed
# runs without it, for each of its crashes, that show that others do.
CRASHES_WITHOUT_COMPLETION = 4
TIMES_WITHOUT_COMPLETION = 3
OTHERS_PER_CRASH = 4


class Timed(Protocol):
    """A server's incarnation that ended, and when."""

    @property
    def start(self) -> str:
        """The incarnation."""
        ...

    @property
    def at_ms(self) -> int:
        """When its end was observed."""
        ...

    @property
    def runs(self) -> int:
        """Runs that it broke at the daemon that observed it."""
        ...


class Counted(Protocol):
    """Completed runs, and when the last of them completed."""

    @property
    def at_ms(self) -> int:
        """Time of the last run."""
        ...

    @property
    def count(self) -> int:
        """Number of runs."""
        ...


class Evidence:
    """What is known of one part, or of all runs on a target.

    Attributes:
        key: Its key.
        crashes: Crashes that broke runs, by time.
    """

    def __init__(
        self,
        key: str,
        crashes: Iterable[Timed],
        completions: Iterable[Counted],
    ) -> None:
        """Sorts what is known by time."""
        self.key = key
        self.crashes = sorted(crashes, key=lambda crash: crash.at_ms)
        self._completed = _Timeline((c.at_ms, c.count) for c in completions)
        self._broken = _Timeline((c.at_ms, c.runs) for c in self.crashes)
        first_ms: dict[str, int] = {}
        for crash in self.crashes:
            first_ms.setdefault(crash.start, crash.at_ms)
        self._ended = _Timeline((at_ms, 1) for at_ms in first_ms.values())

    @property
    def starts(self) -> frozenset[str]:
        """The incarnations that ended."""
        return frozenset(crash.start for crash in self.crashes)

    def with_crashes(self, crashes: Iterable[Timed]) -> Evidence:
        """Returns evidence with other crashes."""
        changed = copy.copy(self)
        changed.crashes = sorted(crashes, key=lambda crash: crash.at_ms)
        return changed

    def without(self, explained: set[str]) -> Evidence:
        """Returns the evidence less the crashes that have another cause."""
        if not explained:
            return self
        return self.with_crashes(
            c for c in self.crashes if c.start not in explained
        )

    def completed(self, from_ms: float, to_ms: float = math.inf) -> int:
        """Returns how many runs completed in a time."""
        return self._completed.sum(from_ms, to_ms)

    def broken(self, from_ms: float, to_ms: float) -> int:
        """Returns how many runs were broken in a time."""
        return self._broken.sum(from_ms, to_ms)

    def crash_count(self, from_ms: float, to_ms: float) -> int:
        """Returns how many incarnations ended in a time."""
        return self._ended.sum(from_ms, to_ms)


class _Timeline:
    """Sums counts over spans of time."""

    def __init__(self, counts: Iterable[tuple[int, int]]) -> None:
        ordered = sorted(counts)
        self._times_ms = [at_ms for at_ms, _ in ordered]
        self._totals = [0, *itertools.accumulate(count for _, count in ordered)]

    def sum(self, from_ms: float, to_ms: float) -> int:
        """Returns the sum of the counts in a span."""
        first = bisect.bisect_left(self._times_ms, from_ms)
        last = bisect.bisect_right(self._times_ms, to_ms)
        return max(0, self._totals[last] - self._totals[first])


def score(part: Evidence, usual: Evidence) -> float:
    """Returns how much speaks for a part to be harmful, as a logarithm.

    A part may have become harmful only lately, so the worst time counts: from
    before its first crash on, or from any later time of crashes on.

    Args:
        part: What is known of the part.
        usual: The same of all runs on its target.
    """
    times_ms = _distinct_times(crash.at_ms for crash in part.crashes)
    if len(times_ms) < TIMES_TO_BLAME:
        return 0.0
    if _never_completes(part, usual, times_ms):
        return BLAME_SCORE + len(part.crashes)
    first_ms, *later_ms = times_ms
    starts_ms = [first_ms - HISTORY_MS, first_ms, *later_ms]
    return max(
        _score_from(part, usual, from_ms - REPORT_DELAY_MS // 2)
        for from_ms in starts_ms
    )


def _never_completes(
    part: Evidence, usual: Evidence, times_ms: list[int]
) -> bool:
    """Returns whether a part only crashes, while others complete.

    If most requests hold a harmful part, and all servers end again and again,
    it isn't at more crashes than its share of all runs lets expect.
    """
    crashes = len(part.crashes)
    if (
        crashes < CRASHES_WITHOUT_COMPLETION
        or len(times_ms) < TIMES_WITHOUT_COMPLETION
        or part.completed(-math.inf)
    ):
        return False
    all_crashes = usual.crash_count(times_ms[0] - REPORT_DELAY_MS, math.inf)
    others = usual.completed(times_ms[0])
    return 2 * crashes >= all_crashes and others >= OTHERS_PER_CRASH * crashes


def _distinct_times(at_ms: Iterable[int]) -> list[int]:
    """Returns the times of crashes without those soon after another."""
    times: list[int] = []
    for time_ms in sorted(at_ms):
        if not times or time_ms > times[-1] + TOGETHER_MS:
            times.append(time_ms)
    return times


def _score_from(part: Evidence, usual: Evidence, from_ms: int) -> float:
    """Compares how often a part is at crashes with its chance to be there."""
    times_ms = [c.at_ms for c in part.crashes if c.at_ms >= from_ms]
    own = len(times_ms)
    if own < CRASHES_TO_BLAME:
        return 0.0
    if len(_distinct_times(times_ms)) < TIMES_TO_BLAME:
        return 0.0
    to_ms = max(times_ms) + REPORT_DELAY_MS
    completed = part.completed(from_ms)
    if own < HARMFUL_SHARE * (own + completed):
        return 0.0
    crashes = max(own, usual.crash_count(from_ms, to_ms))
    broken = max(crashes, usual.broken(from_ms, to_ms))
    all_completed = max(completed, usual.completed(from_ms, to_ms))
    share_of_runs = (own + completed) / (broken + all_completed)
    chance = 1 - (1 - share_of_runs) ** (broken / crashes)
    chance = max(MIN_CHANCE, chance)
    rate = own / crashes
    if rate <= chance:
        return 0.0
    result = own * math.log(rate / chance)
    if own < crashes:
        result += (crashes - own) * math.log((1 - rate) / (1 - chance))
    return result


def find_harmful(
    parts: Iterable[Evidence], usual: Evidence
) -> list[frozenset[str]]:
    """Returns the harmful parts, as sets that are refused if held together.

    The worst part explains the crashes at which it was: they no longer count
    against the parts beside it. Parts that were at the same crashes can't be
    told apart; requests that hold only some of them tell which one it is.

    Args:
        parts: The parts with crashes.
        usual: What is known of all runs on their target.
    """
    left = {part.key: part for part in parts}
    explained: set[str] = set()
    found: list[frozenset[str]] = []
    while True:
        unexplained = [part.without(explained) for part in left.values()]
        scores = {part.key: score(part, usual) for part in unexplained}
        blamed = {
            part.key: part.starts
            for part in unexplained
            if scores[part.key] >= BLAME_SCORE
        }
        if not blamed:
            return found
        worst = max(blamed, key=lambda key: (scores[key], key))
        together = frozenset(
            key for key, starts in blamed.items() if starts == blamed[worst]
        )
        found.append(together)
        explained |= blamed[worst]
        for key in together:
            del left[key]


__all__ = [
    "BLAME_SCORE",
    "CRASHES_TO_BLAME",
    "HISTORY_MS",
    "Evidence",
    "find_harmful",
    "score",
]
