"""Simulated engines: serial prefill, batched decode, LRU prefix cache."""

from __future__ import annotations

import collections
import dataclasses
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.core import work


class Timeline:
    """Simulated clock with scheduled callbacks, in fractional milliseconds."""

    def __init__(self) -> None:
        """Starts at time 0."""
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = 0

    def call_later(self, delay_ms: float, run: Callable[[], None]) -> None:
        """Schedules a call of `run`."""
        self._counter += 1
        heapq.heappush(self._heap, (self.now_ms + delay_ms, self._counter, run))

    def run_until(self, end_ms: float) -> None:
        """Runs all callbacks due by `end_ms` in order of time."""
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, run = heapq.heappop(self._heap)
            run()
        self.now_ms = end_ms


# Cache events that an engine keeps for a reader that starts again.
MAX_STORED_EVENTS = 2_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineSpec:
    """Capacity and speed of a simulated engine.

    Attributes:
        cache_tokens: Prompt tokens that fit into its cache.
        prefill_us_per_token: Microseconds per computed prompt token.
        decode_ms_per_token: Milliseconds between generated tokens.
        slots: Requests decoded concurrently.
    """

    cache_tokens: int
    prefill_us_per_token: int = 50
    decode_ms_per_token: float = 25.0
    slots: int = 32


# Jobs are compared by identity: two may have equal fields.
@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request at an engine.

    Attributes:
        priority: Lower is admitted first, by engines that know priorities.
        uncomputed_tokens: Prompt tokens that are left to compute.
        generated_tokens: Tokens generated so far.
        is_cancelled: Whether its daemon has closed the connection.
        on_first_token: Called when its first token is generated.
        on_finished: Called when its last token is generated.
    """

    levels: tuple[work.Level, ...]
    output_tokens: int
    on_first_token: Callable[[], None]
    on_finished: Callable[[], None]
    cached_tokens: int = 0
    prompt_tokens: int = 0
    priority: int = 0
    uncomputed_tokens: int = 0
    generated_tokens: int = 0
    is_cancelled: bool = False


@dataclasses.dataclass(slots=True)
class CacheEvent:
    """A level that an engine stored in its cache or evicted from it."""

    sequence: int
    stored: bool
    key: int
    at_ms: float


class Engine:
    """A simulated engine."""

    def __init__(self, name: str, spec: EngineSpec, timeline: Timeline) -> None:
        """Starts with an empty cache and no requests."""
        self.name = name
        self.spec = spec
        self.timeline = timeline
        self.incarnation = 1
        self.is_up = True
        self.prefilling: Job | None = None
        self.prefill_end_ms = 0.0
        self.waiting: collections.deque[Job] = collections.deque()
        self.decoding = 0
        self.prefilled: collections.deque[Job] = collections.deque()
        self.cache: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self.cached_tokens = 0
        self.pending_events: list[CacheEvent] = []
        self.stored_events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_STORED_EVENTS
        )
        self.sequence = 0
        self.computed_tokens = 0

    def submit(self, job: Job) -> None:
        """Queues a request until its prompt can be computed."""
        job.prompt_tokens = sum(level.tokens for level in job.levels)
        self.waiting.append(job)
        self._start_next_prefill()

    def crash(self) -> list[Job]:
        """Restarts the engine empty; returns the requests that were lost."""
        lost = [*self.waiting, *self.prefilled]
        if self.prefilling:
            lost.append(self.prefilling)
        self.incarnation += 1
        self.waiting.clear()
        self.prefilled.clear()
        self.cache.clear()
        self.pending_events.clear()
        self.stored_events.clear()
        self.cached_tokens = 0
        self.prefilling = None
        self.decoding = 0
        return lost

    def uncached_tokens(self, levels: tuple[work.Level, ...]) -> int:
        """Returns how many tokens of a prompt are not cached."""
        total = sum(level.tokens for level in levels)
        for level in levels:
            if level.key not in self.cache:
                break
            total -= level.tokens
        return total

    def queue_delay_ms(self) -> float:
        """Returns the actual time until a new prompt would be started."""
        remaining_ms = max(0.0, self.prefill_end_ms - self.timeline.now_ms)
        if self.prefilling is None:
            remaining_ms = 0.0
        waiting_tokens = sum(
            self.uncached_tokens(job.levels) for job in self.waiting
        )
        busy = self.decoding + len(self.prefilled) + len(self.waiting)
        excess = max(0, busy - self.spec.slots + 1)
        slot_ms = excess * 60 * self.spec.decode_ms_per_token / self.spec.slots
        return (
            remaining_ms
            + waiting_tokens * self.spec.prefill_us_per_token / 1000
            + slot_ms
        )

    def waiting_tokens(self) -> int:
        """Returns the uncached tokens of all prompts not computed yet."""
        tokens = sum(self.uncached_tokens(job.levels) for job in self.waiting)
        remaining_ms = max(0.0, self.prefill_end_ms - self.timeline.now_ms)
        if self.prefilling is not None:
            tokens += int(remaining_ms * 1000 / self.spec.prefill_us_per_token)
        return tokens

    def _start_next_prefill(self) -> None:
        if self.prefilling is not None or not self.waiting:
            return
        job = self.prefilling = self.waiting.popleft()
        computed = self.uncached_tokens(job.levels)
        job.cached_tokens = job.prompt_tokens - computed
        self.computed_tokens += computed
        for level in job.levels:
            if level.key in self.cache:
                self.cache.move_to_end(level.key)
        duration_ms = 1.0 + computed * self.spec.prefill_us_per_token / 1000
        self.prefill_end_ms = self.timeline.now_ms + duration_ms
        incarnation = self.incarnation
        self.timeline.call_later(
            duration_ms, lambda: self._finish_prefill(job, incarnation)
        )

    def _finish_prefill(self, job: Job, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        for level in job.levels:
            self._store(level.key, level.tokens)
        self.prefilling = None
        self.prefilled.append(job)
        self._start_next_decode()
        self._start_next_prefill()

    def _start_next_decode(self) -> None:
        while self.prefilled and self.decoding < self.spec.slots:
            job = self.prefilled.popleft()
            self.decoding += 1
            job.on_first_token()
            incarnation = self.incarnation
            duration_ms = job.output_tokens * self.spec.decode_ms_per_token
            self.timeline.call_later(
                duration_ms,
                lambda job=job, incarnation=incarnation: self._finish_decode(
                    job, incarnation
                ),
            )

    def _finish_decode(self, job: Job, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self.decoding -= 1
        job.on_finished()
        self._start_next_decode()

    def _store(self, key: int, tokens: int) -> None:
        if key not in self.cache:
            self.cached_tokens += tokens
            self._record_event(True, key)
        self.cache[key] = tokens
        self.cache.move_to_end(key)
        while self.cached_tokens > self.spec.cache_tokens:
            evicted, evicted_tokens = self.cache.popitem(last=False)
            self.cached_tokens -= evicted_tokens
            self._record_event(False, evicted)

    def _record_event(self, stored: bool, key: int) -> None:
        self.sequence += 1
        event = CacheEvent(self.sequence, stored, key, self.timeline.now_ms)
        self.pending_events.append(event)
        self.stored_events.append(event)


__all__ = ["Engine", "EngineSpec", "CacheEvent", "Job", "Timeline"]
