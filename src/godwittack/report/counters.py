"""Counts events by workspace and cause over a sliding hour."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

import pydantic

if TYPE_CHECKING:
    from godwittack.clock import Clock
    from godwittack.core import effects

WINDOW_MS = 60_000
WINDOW_COUNT = 60
# Upper bounds of the first-token histogram, in milliseconds.
FIRST_TOKEN_BOUNDS_MS = (
    10,
    25,
    50,
    100,
    200,
    400,
    630,
    1000,
    2000,
    5000,
    10_000,
    60_000,
)


class WorkspaceCounts(pydantic.BaseModel):
    """Counts of one workspace.

    Attributes:
        finished: Requests answered completely.
        late: Answers that began after their deadline.
        broken: Streams ended by an error.
        retried: Dispatches that followed a failed one.
        refused: Refusals by reason.
        outcomes: Refusals by the outcome returned to the caller.
        prompt_tokens: Prompt tokens of dispatched requests.
        cached_tokens: Of these, served from an engine's cache.
        wasted_tokens: Of these, recomputed although an earlier request had
            the same prefix.
        first_token_counts: Histogram over `FIRST_TOKEN_BOUNDS_MS`, with one
            more bucket for values above the last bound.
    """

    finished: int = 0
    late: int = 0
    broken: int = 0
    retried: int = 0
    refused: dict[str, int] = {}
    outcomes: dict[str, int] = {}
    prompt_tokens: int = 0
    cached_tokens: int = 0
    wasted_tokens: int = 0
    first_token_counts: list[int] = [0] * (len(FIRST_TOKEN_BOUNDS_MS) + 1)

    def add(self, other: WorkspaceCounts) -> None:
        """Adds another set of counts."""
        self.finished += other.finished
        self.late += other.late
        self.broken += other.broken
        self.retried += other.retried
        self.prompt_tokens += other.prompt_tokens
        self.cached_tokens += other.cached_tokens
        self.wasted_tokens += other.wasted_tokens
        for reason, count in other.refused.items():
            self.refused[reason] = self.refused.get(reason, 0) + count
        for outcome, count in other.outcomes.items():
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + count
        self.first_token_counts = [
            mine + theirs
            for mine, theirs in zip(
                self.first_token_counts, other.first_token_counts, strict=True
            )
        ]


class Counts(pydantic.BaseModel):
    """Counts of one daemon, or the sum over several.

    Attributes:
        daemons: Daemons whose counts are included.
        unreachable: Daemons that did not answer.
        window_s: Time that the counts cover.
    """

    daemons: list[str] = []
    unreachable: list[str] = []
    window_s: int = 0
    workspaces: dict[str, WorkspaceCounts] = {}

    def add(self, other: Counts) -> None:
        """Adds another daemon's counts."""
        self.daemons.extend(other.daemons)
        self.window_s = max(self.window_s, other.window_s)
        for name, counts in other.workspaces.items():
            self.workspaces.setdefault(name, WorkspaceCounts()).add(counts)


@dataclasses.dataclass(slots=True)
class _Window:
    start_ms: int
    workspaces: dict[str, WorkspaceCounts] = dataclasses.field(
        default_factory=dict
    )


class EventCounters:
    """Counts a daemon's events in windows of one minute."""

    def __init__(self, *, daemon: str, clock: Clock) -> None:
        """Counts for `daemon`."""
        self._daemon = daemon
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._windows: collections.deque[_Window] = collections.deque(
            maxlen=WINDOW_COUNT
        )

    def record(self, event: effects.Event) -> None:
        """Counts one event if it is of a counted kind."""
        if event.name not in _COUNTED_EVENTS:
            return
        fields = {field.key: field.value for field in event.fields}
        name = str(fields.get("workspace", "")) or "(no workspace)"
        counts = self._current_window().workspaces.setdefault(
            name, WorkspaceCounts()
        )
        _count_event(counts, event.name, fields)

    def totals(self) -> Counts:
        """Returns the counts of the last hour."""
        now_ms = self._clock.now_ms()
        total = Counts(daemons=[self._daemon])
        total.window_s = (
            min(WINDOW_COUNT * WINDOW_MS, now_ms - self._started_ms) // 1000
        )
        for window in self._windows:
            if now_ms - window.start_ms < WINDOW_COUNT * WINDOW_MS:
                total.add(Counts(workspaces=window.workspaces))
        return total

    def _current_window(self) -> _Window:
        now_ms = self._clock.now_ms()
        if not self._windows or (
            now_ms - self._windows[-1].start_ms >= WINDOW_MS
        ):
            self._windows.append(_Window(now_ms))
        return self._windows[-1]


_COUNTED_EVENTS = frozenset(
    {"finished", "refused", "stream_broken", "first_token", "retried", "usage"}
)


def _count_event(
    counts: WorkspaceCounts, name: str, fields: dict[str, str | int | float]
) -> None:
    match name:
        case "finished":
            counts.finished += 1
            counts.late += int(fields["late"])
        case "refused":
            reason = str(fields["reason"])
            outcome = str(fields["outcome"])
            counts.refused[reason] = counts.refused.get(reason, 0) + 1
            counts.outcomes[outcome] = counts.outcomes.get(outcome, 0) + 1
        case "stream_broken":
            counts.broken += 1
        case "retried":
            counts.retried += 1
        case "first_token":
            counts.first_token_counts[
                _bucket_index(int(fields["after_ms"]))
            ] += 1
        case "usage":
            counts.prompt_tokens += int(fields["prompt_tokens"])
            counts.cached_tokens += int(fields["cached_tokens"])
            counts.wasted_tokens += int(fields["wasted_tokens"])


def _bucket_index(value_ms: int) -> int:
    for index, bound_ms in enumerate(FIRST_TOKEN_BOUNDS_MS):
        if value_ms <= bound_ms:
            return index
    return len(FIRST_TOKEN_BOUNDS_MS)


__all__ = [
    "FIRST_TOKEN_BOUNDS_MS",
    "Counts",
    "EventCounters",
    "WorkspaceCounts",
]
