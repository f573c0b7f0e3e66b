"""Weighs which parts of prompts crash the servers that run them.

A part that many requests share is on many servers, so it is at most crashes
whether or not it causes them. What tells a harmful part from those beside it
is what completes: a harmless part completes elsewhere, at the same time and
before, about as often as it is used; a harmful one doesn't, or seldom.

Load patterns: requests that share one part, no two alike, end one server after
the other, beside many sound requests with the same other parts; all servers
end at one time, with whatever they run.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

# Crashes, less what completed runs outweigh, that make a part harmful.
CRASHES_TO_BLAME = 3
# Completed runs that outweigh one crash. With fewer, a part on which half of
# the runs crash would never be found.
COMPLETIONS_PER_CRASH = 3
# The same for a part that has completed many times before: times of crashes
# with fewer completed runs between them.
TIMES_TO_BLAME = 4
# Servers that end within this time end together. Nothing completes between.
TOGETHER_MS = 500
# Completed runs of other prompts, for each crash, without which it isn't known
# whether the servers complete anything.
OTHERS_PER_CRASH = 4


class Timed(Protocol):
    """A crash: a server's incarnation that ended, and when."""

    @property
    def start(self) -> str:
        """The incarnation."""
        ...

    @property
    def at_ms(self) -> int:
        """When its end was observed."""
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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evidence:
    """What is known of one part.

    Attributes:
        key: Key of the part.
        crashes: Crashes of servers that ran it.
        completions: Runs with it that completed.
        others: Recent completed runs without it on the same target.
    """

    key: str
    crashes: Sequence[Timed]
    completions: Sequence[Counted]
    others: int

    @property
    def starts(self) -> frozenset[str]:
        """The incarnations that ended while they ran the part."""
        return frozenset(crash.start for crash in self.crashes)

    def without(self, explained: set[str]) -> Evidence:
        """Returns the evidence less the crashes that have another cause."""
        crashes = [c for c in self.crashes if c.start not in explained]
        return dataclasses.replace(self, crashes=crashes)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Weight:
    """How much speaks against a part; larger is worse.

    Attributes:
        times: Times of crashes in a row, less completed runs between them.
        crashes: Crashes, less what completed runs outweigh.
    """

    times: float
    crashes: float

    @property
    def is_harmful(self) -> bool:
        """Whether it is enough to refuse the part."""
        return self.crashes >= CRASHES_TO_BLAME or self.times >= TIMES_TO_BLAME


def weigh(evidence: Evidence, ended_at_ms: Mapping[str, int]) -> Weight:
    """Weighs the crashes of a part against its completed runs.

    Args:
        evidence: What is known of the part.
        ended_at_ms: When incarnations of the target's servers ended.
    """
    return Weight(
        times=_times_in_a_row(evidence),
        crashes=_explained_crashes(evidence, ended_at_ms)
        - sum(c.count for c in evidence.completions) / COMPLETIONS_PER_CRASH,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Findings:
    """Which parts are harmful.

    Attributes:
        harmful: Sets of parts that are refused if held together.
        is_undecided: Whether a part is harmful unless the servers complete
            nothing at all, which isn't known yet.
    """

    harmful: list[frozenset[str]]
    is_undecided: bool


def find_harmful(
    parts: Iterable[Evidence], ended_at_ms: Mapping[str, int]
) -> Findings:
    """Returns the harmful parts.

    The worst part explains the crashes at which it was: they no longer count
    against the parts beside it. Parts that were at the same crashes can't be
    told apart; requests that hold only some of them tell which one it is.

    Args:
        parts: The parts with crashes.
        ended_at_ms: When incarnations of the target's servers ended.
    """
    left = {part.key: part for part in parts}
    explained: set[str] = set()
    found: list[frozenset[str]] = []
    while True:
        unexplained = {
            start: at_ms
            for start, at_ms in ended_at_ms.items()
            if start not in explained
        }
        weighed = {
            key: _Weighed.from_evidence(whole.without(explained), unexplained)
            for key, whole in left.items()
        }
        harmful = {key: w for key, w in weighed.items() if w.is_harmful}
        blamed = {key: w for key, w in harmful.items() if w.has_contrast}
        if not blamed:
            return Findings(found, is_undecided=bool(harmful))
        worst = max(blamed, key=lambda key: (blamed[key].weight, key))
        starts = blamed[worst].starts
        together = frozenset(k for k, w in blamed.items() if w.starts == starts)
        found.append(together)
        explained |= starts
        for key in together:
            del left[key]


@dataclasses.dataclass(frozen=True, slots=True)
class _Weighed:
    weight: Weight
    starts: frozenset[str]
    has_contrast: bool

    @classmethod
    def from_evidence(
        cls, part: Evidence, ended_at_ms: Mapping[str, int]
    ) -> _Weighed:
        needed = OTHERS_PER_CRASH * len(part.crashes)
        return cls(weigh(part, ended_at_ms), part.starts, part.others >= needed)

    @property
    def is_harmful(self) -> bool:
        has_crashes = len(self.starts) >= CRASHES_TO_BLAME
        return has_crashes and self.weight.is_harmful


def _times_in_a_row(evidence: Evidence) -> float:
    """Returns the most times of crashes, less completed runs since then.

    Servers that end together count once: nothing could complete between.
    """
    times: list[int] = []
    for at_ms in sorted(crash.at_ms for crash in evidence.crashes):
        if not times or at_ms > times[-1] + TOGETHER_MS:
            times.append(at_ms)
    return max(
        (
            len(times) - position - _completed_since(evidence, at_ms)
            for position, at_ms in enumerate(times)
        ),
        default=0,
    )


def _completed_since(evidence: Evidence, since_ms: int) -> int:
    return sum(c.count for c in evidence.completions if c.at_ms >= since_ms)


def _explained_crashes(
    evidence: Evidence, ended_at_ms: Mapping[str, int]
) -> float:
    """Returns how many crashes the part explains.

    Of servers that end together, a part that was on a few only explains those
    less: something else has ended the others.
    """
    starts = evidence.starts
    total = 0.0
    for crash in evidence.crashes:
        together = [
            start
            for start, at_ms in ended_at_ms.items()
            if abs(at_ms - crash.at_ms) <= TOGETHER_MS
        ]
        own = sum(start in starts for start in together)
        total += own / len(together) if together else 1.0
    return total


__all__ = [
    "COMPLETIONS_PER_CRASH",
    "CRASHES_TO_BLAME",
    "OTHERS_PER_CRASH",
    "TIMES_TO_BLAME",
    "TOGETHER_MS",
    "Evidence",
    "Findings",
    "Weight",
    "find_harmful",
    "weigh",
]
