"""One run: a workload, a policy, and what came of every request."""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import TYPE_CHECKING

from bench import engines, policies, workload
from godwittack.core import inputs

if TYPE_CHECKING:
    from collections.abc import Callable

WARM_UP_MS = 15_000
RUN_MS = 60_000


@dataclasses.dataclass(slots=True)
class Seen:
    """What came of one request."""

    ask: workload.Ask
    arrived_ms: float
    first_ms: float = -1.0
    cached_tokens: int = 0
    prompt_tokens: int = 0
    wasted_tokens: int = 0
    refused: str = ""


class Experiment:
    """A deployment under one policy."""

    def __init__(
        self,
        *,
        deployment: workload.Deployment,
        policy: str,
        rate_per_s: float,
        seed: int,
        numbers: dict[str, float] | None = None,
    ) -> None:
        """Prepares the run."""
        self.deployment = deployment
        self.numbers = numbers or {}
        self.rng = random.Random(f"experiment/{seed}")
        self.arrivals = random.Random(f"arrivals/{deployment.name}/{seed}")
        self.rate_per_s = rate_per_s
        self.workload = workload.Workload(deployment, seed)
        self.timeline = engines.Timeline()
        self.size = engines.EngineSize(cache_tokens=deployment.cache_tokens)
        self.engines = [
            engines.Engine(f"engine-{n}", self.size, self.timeline)
            for n in range(deployment.engines)
        ]
        self.by_name = {engine.name: engine for engine in self.engines}
        self.seen: list[Seen] = []
        self.known: set[int] = set()
        self.dispatches = 0
        self.reports: collections.Counter[str] = collections.Counter()
        self.sent_since: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self.silent_events = False
        self.frozen_reports = False
        self._rows: dict[int, Seen] = {}
        self._lost: dict[
            str, dict[int, Callable[[inputs.FailurePhase], None]]
        ] = collections.defaultdict(dict)
        self._lagging: collections.deque[dict[str, int]] = collections.deque()
        self.policy = policies.POLICIES[policy](self)

    def run(self, run_ms: float = RUN_MS) -> None:
        """Runs warm-up and measured time."""
        self.timeline.after(0, self._arrive)
        self.timeline.after(0, self._sample_loads)
        self.timeline.run_until(WARM_UP_MS + run_ms)

    def send(
        self,
        ask: workload.Ask,
        engine: engines.Engine,
        *,
        first: Callable[[], None] = lambda: None,
        last: Callable[[], None] = lambda: None,
        lost: Callable[[inputs.FailurePhase], None] = lambda phase: None,
    ) -> None:
        """Carries a request to an engine and its tokens back."""
        self.sent_since[ask.daemon, engine.name] += 1
        self.dispatches += 1
        hop_ms = self.deployment.hop_ms

        def first_token() -> None:
            self.timeline.after(hop_ms, lambda: self._first(ask, job, first))

        def finished() -> None:
            self._lost[engine.name].pop(ask.number, None)
            self.timeline.after(hop_ms, last)

        job = engines.Job(ask.levels, ask.output_tokens, first_token, finished)
        self._lost[engine.name][ask.number] = lost

        def deliver() -> None:
            if engine.up:
                engine.submit(job)
            else:
                self._lost[engine.name].pop(ask.number, None)
                lost(inputs.FailurePhase.CONNECT)

        self.timeline.after(hop_ms, deliver)

    def refused(self, ask: workload.Ask, reason: str) -> None:
        """Counts a refusal."""
        self._rows[ask.number].refused = reason

    def crash(self, engine: engines.Engine) -> None:
        """Lets an engine crash and come back empty at once."""
        engine.crash()
        lost = list(self._lost.pop(engine.name, {}).values())
        for tell in lost:
            tell(inputs.FailurePhase.SENT)

    def _arrive(self) -> None:
        ask = self.workload.draw()
        row = Seen(ask, self.timeline.now_ms)
        self._rows[ask.number] = row
        self.seen.append(row)
        self.policy.arrived(ask)
        gap_ms = self.arrivals.expovariate(self.rate_per_s / 1000)
        self.timeline.after(gap_ms, self._arrive)

    def _first(
        self,
        ask: workload.Ask,
        job: engines.Job,
        first: Callable[[], None],
    ) -> None:
        row = self._rows[ask.number]
        if row.first_ms < 0:
            row.first_ms = self.timeline.now_ms
            row.cached_tokens = job.cached_tokens
            row.prompt_tokens = job.prompt_tokens
            row.wasted_tokens = self._wasted(job)
        first()

    def _wasted(self, job: engines.Job) -> int:
        """Returns tokens computed that some engine had computed before."""
        known = 0
        for level in job.levels:
            if level.key in self.known:
                known += level.tokens
            self.known.add(level.key)
        return max(0, known - job.cached_tokens)

    def _sample_loads(self) -> None:
        """Gives the baselines the same late load reports."""
        self._lagging.append(
            {
                e.name: e.decoding + len(e.waiting) + len(e.ready)
                for e in self.engines
            }
        )
        lag = policies.LAG_MS // policies.REPORT_MS
        if len(self._lagging) > lag:
            self.reports = collections.Counter(self._lagging.popleft())
            self.sent_since.clear()
        self.timeline.after(policies.REPORT_MS, self._sample_loads)


__all__ = ["RUN_MS", "WARM_UP_MS", "Experiment", "Seen"]
