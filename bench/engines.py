"""Fake engines on event time: serial prefill, batched decode, LRU cache."""

from __future__ import annotations

import collections
import dataclasses
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.core import work


class Timeline:
    """A heap of callbacks; time is in milliseconds and may be fractional."""

    def __init__(self) -> None:
        """Starts at 0."""
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = 0

    def after(self, delay_ms: float, run: Callable[[], None]) -> None:
        """Calls `run` after a delay."""
        self._counter += 1
        heapq.heappush(self._heap, (self.now_ms + delay_ms, self._counter, run))

    def run_until(self, end_ms: float) -> None:
        """Runs callbacks in order of time."""
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, run = heapq.heappop(self._heap)
            run()
        self.now_ms = end_ms


# Events that an engine still has for a reader that begins anew.
BACKLOG = 2_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineSize:
    """What one fake engine can do.

    Attributes:
        cache_tokens: Prompt tokens that its cache holds.
        prefill_us: Microseconds a computed prompt token.
        decode_ms: Milliseconds between tokens.
        slots: Requests decoded at one time.
    """

    cache_tokens: int
    prefill_us: int = 50
    decode_ms: float = 25.0
    slots: int = 32


@dataclasses.dataclass(slots=True)
class Job:
    """One request at an engine."""

    levels: tuple[work.Level, ...]
    output_tokens: int
    first_token: Callable[[], None]
    finished: Callable[[], None]
    cached_tokens: int = 0
    prompt_tokens: int = 0


@dataclasses.dataclass(slots=True)
class Event:
    """One cache event."""

    sequence: int
    stored: bool
    key: int
    at_ms: float


class Engine:
    """One fake engine."""

    def __init__(self, name: str, size: EngineSize, timeline: Timeline) -> None:
        """Starts empty."""
        self.name = name
        self.size = size
        self.timeline = timeline
        self.incarnation = 1
        self.up = True
        self.prefilling: Job | None = None
        self.prefill_until_ms = 0.0
        self.waiting: collections.deque[Job] = collections.deque()
        self.decoding = 0
        self.ready: collections.deque[Job] = collections.deque()
        self.cache: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self.cached_tokens = 0
        self.events: list[Event] = []
        self.backlog: collections.deque[Event] = collections.deque(
            maxlen=BACKLOG
        )
        self.sequence = 0
        self.computed_tokens = 0

    def submit(self, job: Job) -> None:
        """Takes a request; it waits until its prompt's turn comes."""
        job.prompt_tokens = sum(level.tokens for level in job.levels)
        self.waiting.append(job)
        self._next_prefill()

    def crash(self) -> list[Job]:
        """Comes back empty; returns the requests that were lost."""
        lost = [*self.waiting, *self.ready]
        if self.prefilling:
            lost.append(self.prefilling)
        self.incarnation += 1
        self.waiting.clear()
        self.ready.clear()
        self.cache.clear()
        self.events.clear()
        self.backlog.clear()
        self.cached_tokens = 0
        self.prefilling = None
        self.decoding = 0
        return lost

    def uncached(self, levels: tuple[work.Level, ...]) -> int:
        """Returns the tokens that a prompt would have to compute now."""
        total = sum(level.tokens for level in levels)
        for level in levels:
            if level.key not in self.cache:
                break
            total -= level.tokens
        return total

    def backlog_ms(self) -> float:
        """Returns the true time until a new prompt would be begun."""
        left = max(0.0, self.prefill_until_ms - self.timeline.now_ms)
        if self.prefilling is None:
            left = 0.0
        waiting = sum(self.uncached(job.levels) for job in self.waiting)
        busy = self.decoding + len(self.ready) + len(self.waiting)
        excess = max(0, busy - self.size.slots + 1)
        slot_ms = excess * 60 * self.size.decode_ms / self.size.slots
        return left + waiting * self.size.prefill_us / 1000 + slot_ms

    def waiting_tokens(self) -> int:
        """Returns the uncached tokens of all prompts not yet computed."""
        tokens = sum(self.uncached(job.levels) for job in self.waiting)
        left_ms = max(0.0, self.prefill_until_ms - self.timeline.now_ms)
        if self.prefilling is not None:
            tokens += int(left_ms * 1000 / self.size.prefill_us)
        return tokens

    def _next_prefill(self) -> None:
        if self.prefilling is not None or not self.waiting:
            return
        job = self.prefilling = self.waiting.popleft()
        computed = self.uncached(job.levels)
        job.cached_tokens = job.prompt_tokens - computed
        self.computed_tokens += computed
        for level in job.levels:
            if level.key in self.cache:
                self.cache.move_to_end(level.key)
        took_ms = 1.0 + computed * self.size.prefill_us / 1000
        self.prefill_until_ms = self.timeline.now_ms + took_ms
        born = self.incarnation
        self.timeline.after(took_ms, lambda: self._prefilled(job, born))

    def _prefilled(self, job: Job, born: int) -> None:
        if born != self.incarnation:
            return
        for level in job.levels:
            self._store(level.key, level.tokens)
        self.prefilling = None
        self.ready.append(job)
        self._next_decode()
        self._next_prefill()

    def _next_decode(self) -> None:
        while self.ready and self.decoding < self.size.slots:
            job = self.ready.popleft()
            self.decoding += 1
            job.first_token()
            born = self.incarnation
            took_ms = job.output_tokens * self.size.decode_ms
            self.timeline.after(
                took_ms, lambda job=job, born=born: self._decoded(job, born)
            )

    def _decoded(self, job: Job, born: int) -> None:
        if born != self.incarnation:
            return
        self.decoding -= 1
        job.finished()
        self._next_decode()

    def _store(self, key: int, tokens: int) -> None:
        if key not in self.cache:
            self.cached_tokens += tokens
            self._event(True, key)
        self.cache[key] = tokens
        self.cache.move_to_end(key)
        while self.cached_tokens > self.size.cache_tokens:
            old, old_tokens = self.cache.popitem(last=False)
            self.cached_tokens -= old_tokens
            self._event(False, old)

    def _event(self, stored: bool, key: int) -> None:
        self.sequence += 1
        event = Event(self.sequence, stored, key, self.timeline.now_ms)
        self.events.append(event)
        self.backlog.append(event)


__all__ = ["Engine", "EngineSize", "Event", "Job", "Timeline"]
