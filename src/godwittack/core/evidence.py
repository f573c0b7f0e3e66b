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
import dataclasses
import itertools
import math
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

# Crashes, and different times of them, without which nothing is blamed.
CRASHES_TO_BLAME = 3
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
# Time for which a run may still be sent to a server that has ended, until its
# connection is known to be closed.
SEND_DELAY_MS = 5
# Crashes, and different times of them, that are enough to blame a part of which
# no run is known to have completed, while others have: so many for each crash.
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
    def silent_ms(self) -> int:
        """Time before `at_ms` in which it may have ended already."""
        ...

    @property
    def run_ms(self) -> int:
        """How long the longest run that it broke had lasted."""
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


class PartEvidence:
    """What is known of one part.

    Attributes:
        key: Its key.
        crashes: Crashes at which it was.
    """

    def __init__(
        self,
        key: str,
        crashes: Iterable[Timed],
        completions: Iterable[Counted],
    ) -> None:
        """Orders what is known by time."""
        self.key = key
        self.crashes = tuple(crashes)
        self._completed = _Timeline((c.at_ms, c.count) for c in completions)

    @property
    def starts(self) -> frozenset[str]:
        """The incarnations that ended."""
        return frozenset(crash.start for crash in self.crashes)

    def with_crashes(self, crashes: Iterable[Timed]) -> PartEvidence:
        """Returns the evidence with other crashes."""
        changed = copy.copy(self)
        changed.crashes = tuple(crashes)
        return changed

    def without(self, explained: set[str]) -> PartEvidence:
        """Returns the evidence less the crashes that have another cause."""
        if not explained:
            return self
        return self.with_crashes(
            c for c in self.crashes if c.start not in explained
        )

    def completed(self, from_ms: float) -> int:
        """Returns how many runs have completed from a time on."""
        return self._completed.sum(from_ms, math.inf)


class UsualRuns:
    """What is known of all runs on a target."""

    def __init__(
        self, crashes: Iterable[Timed], completions: Iterable[Counted]
    ) -> None:
        """Orders what is known by time."""
        crashes = tuple(crashes)
        ended_ms: dict[str, int] = {}
        for crash in crashes:
            first_ms = ended_ms.get(crash.start, crash.at_ms)
            ended_ms[crash.start] = min(first_ms, crash.at_ms)
        self._ended = _Timeline((at_ms, 1) for at_ms in ended_ms.values())
        self._broken = _Timeline((c.at_ms, c.runs) for c in crashes)
        self._completed = _Timeline((c.at_ms, c.count) for c in completions)

    def completed(self, from_ms: float, to_ms: float = math.inf) -> int:
        """Returns how many runs completed in a time."""
        return self._completed.sum(from_ms, to_ms)

    def broken(self, from_ms: float, to_ms: float) -> int:
        """Returns how many runs crashes broke in a time."""
        return self._broken.sum(from_ms, to_ms)

    def crash_count(self, from_ms: float, to_ms: float = math.inf) -> int:
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


def score(part: PartEvidence, usual: UsualRuns) -> float:
    """Returns how much speaks for a part to be harmful, as a logarithm.

    A part may have become harmful only lately, so the worst time counts: from
    before its first crash on, or from any later time of crashes on.

    Args:
        part: What is known of the part.
        usual: What is known of all runs on its target.
    """
    times_ms = separate_times_ms(part.crashes)
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
    part: PartEvidence, usual: UsualRuns, times_ms: list[int]
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
    all_crashes = usual.crash_count(times_ms[0] - REPORT_DELAY_MS)
    others = usual.completed(times_ms[0])
    return 2 * crashes >= all_crashes and others >= OTHERS_PER_CRASH * crashes


def separate_times_ms(
    crashes: Iterable[Timed], *, counts_sends: bool = False
) -> list[int]:
    """Returns the times of crashes without those that may share a cause.

    Args:
        crashes: The crashes.
        counts_sends: Whether runs that began after a crash are separate from
            it: no server that ends with others gets a run after that.
    """
    times_ms: list[int] = []
    for crash in sorted(crashes, key=lambda crash: crash.at_ms):
        if (
            not times_ms
            or _is_long_after(crash, times_ms[-1])
            or (counts_sends and _was_sent_after(crash, times_ms[-1]))
        ):
            times_ms.append(crash.at_ms)
    return times_ms


def _is_long_after(crash: Timed, earlier_ms: int) -> bool:
    """Returns whether a server ended well after an earlier crash.

    The end of a silent server lies somewhere in its silence: those of servers
    that were silent at one moment may have been one event.
    """
    return crash.at_ms - crash.silent_ms > earlier_ms + TOGETHER_MS


def _was_sent_after(crash: Timed, earlier_ms: int) -> bool:
    """Returns whether all runs of a crash began after an earlier one."""
    sent_ms = crash.at_ms - crash.run_ms
    return not crash.silent_ms and sent_ms > earlier_ms + SEND_DELAY_MS


def _score_from(part: PartEvidence, usual: UsualRuns, from_ms: int) -> float:
    """Compares how often a part is at crashes with its chance to be there."""
    crashes_since = [c for c in part.crashes if c.at_ms >= from_ms]
    own = len(crashes_since)
    if own < CRASHES_TO_BLAME:
        return 0.0
    if len(separate_times_ms(crashes_since)) < TIMES_TO_BLAME:
        return 0.0
    to_ms = max(crash.at_ms for crash in crashes_since) + REPORT_DELAY_MS
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


@dataclasses.dataclass(frozen=True, slots=True)
class Findings:
    """What parts are blamed for.

    Attributes:
        harmful: Sets of parts that are refused if held together.
        doubtful: Parts for which anything speaks to be harmful.
    """

    harmful: list[frozenset[str]]
    doubtful: frozenset[str]


def weigh(parts: Iterable[PartEvidence], usual: UsualRuns) -> Findings:
    """Finds the harmful parts.

    The worst part explains the crashes at which it was: they no longer count
    against the parts beside it. Parts that were at the same crashes can't be
    told apart; requests that hold only some of them tell which one it is.

    Args:
        parts: The parts with crashes.
        usual: What is known of all runs on their target.
    """
    left = {part.key: part for part in parts}
    scores = {key: score(part, usual) for key, part in left.items()}
    doubtful = frozenset(key for key in scores if scores[key] > 0.0)
    harmful: list[frozenset[str]] = []
    explained: set[str] = set()
    while scores and max(scores.values()) >= BLAME_SCORE:
        worst = max(scores, key=lambda key: (scores[key], key))
        starts = left[worst].starts
        together = frozenset(
            key
            for key, part in left.items()
            if scores[key] >= BLAME_SCORE and part.starts == starts
        )
        harmful.append(together)
        explained |= starts
        left = {
            key: part.without(explained)
            for key, part in left.items()
            if key not in together
        }
        scores = {key: score(part, usual) for key, part in left.items()}
    return Findings(harmful, doubtful)


__all__ = [
    "BLAME_SCORE",
    "CRASHES_TO_BLAME",
    "HISTORY_MS",
    "REPORT_DELAY_MS",
    "SEND_DELAY_MS",
    "TIMES_TO_BLAME",
    "TOGETHER_MS",
    "Findings",
    "PartEvidence",
    "UsualRuns",
    "score",
    "separate_times_ms",
    "weigh",
]
