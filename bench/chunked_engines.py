"""Simulated engines that prefill in chunks between the tokens of a batch."""

from __future__ import annotations

import bisect
import dataclasses
from typing import TYPE_CHECKING

from bench import engines

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkedSpec(engines.EngineSpec):
    """Capacity and speed of an engine at the usual pace.

    Attributes:
        chunk_tokens: Maximum prompt tokens computed in one step.
        tokens_per_ms: Prompt tokens computed per millisecond.
        ms_per_pair: Attention cost per pair of a new token and one before it.
        step_ms: Duration of a step without a chunk.
        first_token_ms: Time to a first token in addition to the steps.
    """

    chunk_tokens: int
    tokens_per_ms: float
    ms_per_pair: float
    step_ms: float
    first_token_ms: float


class ChunkedEngine(engines.Engine):
    """An engine whose running requests all get one token per step."""

    spec: ChunkedSpec

    def __init__(
        self,
        name: str,
        spec: ChunkedSpec,
        timeline: engines.Timeline,
        *,
        speed: float,
        failure_domain: str,
    ) -> None:
        """Starts idle; `speed` is relative to other engines."""
        super().__init__(name, spec, timeline)
        self.speed = speed
        self.failure_domain = failure_domain
        self.slowdown = 1.0
        self.running: list[engines.Job] = []
        self._is_stepping = False

    def submit(self, job: engines.Job) -> None:
        """Queues a request by priority, then by arrival."""
        job.prompt_tokens = sum(level.tokens for level in job.levels)
        bisect.insort(self.waiting, job, key=lambda queued: queued.priority)
        self._start_step()

    def cancel(self, job: engines.Job) -> None:
        """Ends a request; its slot is free from the next step."""
        if job in self.waiting:
            self.waiting.remove(job)
        elif job in self.running:
            self.running.remove(job)
            self.decoding = len(self.running)

    def crash(self) -> list[engines.Job]:
        """Restarts the engine empty; returns the requests that were lost."""
        lost = [*super().crash(), *self.running]
        self.running.clear()
        self._is_stepping = False
        return lost

    def waiting_tokens(self) -> int:
        """Returns 0: load reports of these engines do not state it."""
        return 0

    def _start_step(self) -> None:
        if self._is_stepping:
            return
        self._admit()
        if not self.running:
            return
        self._is_stepping = True
        # A small chunk does not make a step shorter than one without a chunk.
        work_ms = max(self.spec.step_ms, self._compute_chunk())
        incarnation = self.incarnation
        self.timeline.call_later(
            work_ms * self.slowdown / self.speed,
            lambda: self._finish_step(incarnation),
        )

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.spec.slots:
            job = self.waiting.popleft()
            job.uncomputed_tokens = self.uncached_tokens(job.levels)
            job.cached_tokens = job.prompt_tokens - job.uncomputed_tokens
            self.computed_tokens += job.uncomputed_tokens
            for level in job.levels:
                if level.key in self.cache:
                    self.cache.move_to_end(level.key)
            self.running.append(job)
        self.decoding = len(self.running)

    def _compute_chunk(self) -> float:
        """Computes the next chunk in order of admission; returns its time."""
        tokens_left = self.spec.chunk_tokens
        pairs = 0.0
        for job in self.running:
            tokens = min(tokens_left, job.uncomputed_tokens)
            context_tokens = job.prompt_tokens - job.uncomputed_tokens
            pairs += tokens * (context_tokens + tokens / 2)
            job.uncomputed_tokens -= tokens
            tokens_left -= tokens
            if not tokens_left:
                break
        tokens = self.spec.chunk_tokens - tokens_left
        return tokens / self.spec.tokens_per_ms + pairs * self.spec.ms_per_pair

    def _finish_step(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self._is_stepping = False
        for job in list(self.running):
            if not job.uncomputed_tokens:
                self._generate_token(job)
        self.decoding = len(self.running)
        self._start_step()

    def _generate_token(self, job: engines.Job) -> None:
        job.generated_tokens += 1
        if job.generated_tokens == 1:
            for level in job.levels:
                self._store(level.key, level.tokens)
            self._call_after_overhead(job.on_first_token)
        if job.generated_tokens >= job.output_tokens:
            self.running.remove(job)
            self._call_after_overhead(job.on_finished)

    def _call_after_overhead(self, call: Callable[[], None]) -> None:
        self.timeline.call_later(self.spec.first_token_ms, call)


__all__ = ["ChunkedEngine", "ChunkedSpec"]
