"""Simulates one run of a workload under a policy."""

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
class RequestOutcome:
    """Outcome of one request.

    Attributes:
        first_token_ms: Time of the first token; negative if there was none.
        wasted_tokens: Tokens computed although an engine had computed them
            before.
        refusal_reason: Empty unless the request was refused.
    """

    request: workload.Request
    arrived_ms: float
    first_token_ms: float = -1.0
    cached_tokens: int = 0
    prompt_tokens: int = 0
    wasted_tokens: int = 0
    refusal_reason: str = ""


class Experiment:
    """A simulated deployment under one policy."""

    def __init__(
        self,
        *,
        deployment: workload.BaseDeployment,
        policy: str,
        rate_per_s: float,
        seed: int,
        policy_overrides: dict[str, float] | None = None,
    ) -> None:
        """Prepares the run; `policy_overrides` replace fields of `Policy`."""
        self.deployment = deployment
        self.policy_overrides = policy_overrides or {}
        self.rng = random.Random(f"experiment/{seed}")
        self.arrival_rng = random.Random(f"arrivals/{deployment.name}/{seed}")
        self.rate_per_s = rate_per_s
        self.workload = self._create_workload(seed)
        self.timeline = engines.Timeline()
        self.engine_spec = self._create_engine_spec()
        self.engines = [
            self._create_engine(number) for number in range(deployment.engines)
        ]
        self.engines_by_name = {engine.name: engine for engine in self.engines}
        self.outcomes: list[RequestOutcome] = []
        self.computed_keys: set[int] = set()
        self.dispatch_count = 0
        self.reported_loads: collections.Counter[str] = collections.Counter()
        self.sent_since_report: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self.drop_cache_events = False
        self.freeze_load_reports = False
        self._outcomes_by_number: dict[int, RequestOutcome] = {}
        self._failure_callbacks: dict[
            str, dict[int, Callable[[inputs.FailurePhase], None]]
        ] = collections.defaultdict(dict)
        self._load_samples: collections.deque[dict[str, int]] = (
            collections.deque()
        )
        self.policy = self._create_policy(policy)

    def run(self, run_ms: float = RUN_MS) -> None:
        """Simulates the warm-up and the measured time."""
        self.timeline.call_later(0, self._generate_arrivals)
        self.timeline.call_later(0, self._sample_loads)
        self.timeline.run_until(WARM_UP_MS + run_ms)

    def send(
        self,
        request: workload.Request,
        engine: engines.Engine,
        *,
        on_first_token: Callable[[], None] = lambda: None,
        on_last_token: Callable[[], None] = lambda: None,
        on_failure: Callable[[inputs.FailurePhase], None] = lambda phase: None,
        priority: int = 0,
    ) -> engines.Job:
        """Sends a request to an engine, and its tokens back."""
        self.sent_since_report[request.daemon, engine.name] += 1
        self.dispatch_count += 1
        hop_ms = self.hop_ms(request, engine)

        def handle_first_token() -> None:
            self.timeline.call_later(
                hop_ms,
                lambda: self._record_first_token(request, job, on_first_token),
            )

        def handle_finished() -> None:
            self._failure_callbacks[engine.name].pop(request.number, None)
            self.timeline.call_later(hop_ms, on_last_token)

        job = engines.Job(
            request.levels,
            request.output_tokens,
            handle_first_token,
            handle_finished,
            priority=priority,
        )
        self._failure_callbacks[engine.name][request.number] = on_failure

        def deliver() -> None:
            if engine.is_up:
                engine.submit(job)
            else:
                self._failure_callbacks[engine.name].pop(request.number, None)
                on_failure(inputs.FailurePhase.CONNECT)

        self.timeline.call_later(hop_ms, deliver)
        return job

    def hop_ms(
        self, request: workload.Request, engine: engines.Engine
    ) -> float:
        """Returns the one-way delay between a request's daemon and an engine.

        A subclass may let it depend on both.
        """
        del request, engine
        return self.deployment.hop_ms

    def record_refusal(self, request: workload.Request, reason: str) -> None:
        """Records that a request was refused."""
        self._outcomes_by_number[request.number].refusal_reason = reason

    def crash(self, engine: engines.Engine) -> None:
        """Crashes an engine, which restarts empty at once."""
        engine.crash()
        callbacks = list(self._failure_callbacks.pop(engine.name, {}).values())
        for on_failure in callbacks:
            on_failure(inputs.FailurePhase.SENT)

    def _create_workload(self, seed: int) -> workload.Workload:
        return workload.Workload(self.deployment, seed)

    def _create_engine_spec(self) -> engines.EngineSpec:
        return engines.EngineSpec(cache_tokens=self.deployment.cache_tokens)

    def _create_engine(self, number: int) -> engines.Engine:
        name = f"engine-{number}"
        return engines.Engine(name, self.engine_spec, self.timeline)

    def _create_policy(self, name: str) -> policies.Policy:
        return policies.POLICIES[name](self)

    def _generate_arrivals(self) -> None:
        self._arrive(self.workload.draw())
        gap_ms = self.arrival_rng.expovariate(self.rate_per_s / 1000)
        self.timeline.call_later(gap_ms, self._generate_arrivals)

    def _arrive(self, request: workload.Request) -> None:
        outcome = RequestOutcome(request, self.timeline.now_ms)
        self._outcomes_by_number[request.number] = outcome
        self.outcomes.append(outcome)
        self.policy.handle_arrival(request)

    def _record_first_token(
        self,
        request: workload.Request,
        job: engines.Job,
        on_first_token: Callable[[], None],
    ) -> None:
        outcome = self._outcomes_by_number[request.number]
        if outcome.first_token_ms < 0 and not job.is_cancelled:
            outcome.first_token_ms = self.timeline.now_ms
            outcome.cached_tokens = job.cached_tokens
            outcome.prompt_tokens = job.prompt_tokens
            outcome.wasted_tokens = self._wasted_tokens(job)
        on_first_token()

    def _wasted_tokens(self, job: engines.Job) -> int:
        """Returns tokens computed although an engine computed them before."""
        computed_before = 0
        for level in job.levels:
            if level.key in self.computed_keys:
                computed_before += level.tokens
            self.computed_keys.add(level.key)
        return max(0, computed_before - job.cached_tokens)

    def _sample_loads(self) -> None:
        """Delays the baselines' load reports like the router's."""
        self._load_samples.append(
            {
                e.name: e.decoding + len(e.waiting) + len(e.prefilled)
                for e in self.engines
            }
        )
        lag_samples = policies.REPORT_LAG_MS // policies.REPORT_INTERVAL_MS
        if len(self._load_samples) > lag_samples:
            self.reported_loads = collections.Counter(
                self._load_samples.popleft()
            )
            self.sent_since_report.clear()
        self.timeline.call_later(
            policies.REPORT_INTERVAL_MS, self._sample_loads
        )


__all__ = ["RUN_MS", "WARM_UP_MS", "Experiment", "RequestOutcome"]
