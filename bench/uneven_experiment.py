"""Simulates one run of a mix of short and long prompts."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from bench import chunked_engines, experiment, uneven_mixes, uneven_router

if TYPE_CHECKING:
    from bench import engines
    from godwittack.core import policy as core_policy

SLOTS = 12
DRAIN_STEP_MS = 100


class UnevenExperiment(experiment.Experiment):
    """A simulated deployment with uneven engines and swinging demand."""

    def __init__(
        self,
        *,
        mix: uneven_mixes.Mix,
        seed: int,
        core_policy: core_policy.Policy,
    ) -> None:
        """Prepares the run; `core_policy` holds the settings of the cores."""
        self.mix = mix
        self.core_policy = core_policy
        self.slow_rng = random.Random(f"slow/{mix.name}/{seed}")
        super().__init__(
            deployment=mix,
            policy="uneven",
            rate_per_s=sum(kind.per_s for kind in mix.kinds.values()),
            seed=seed,
        )

    def run_measured(self, seconds: float) -> list[experiment.RequestOutcome]:
        """Simulates a run; returns the requests of the measured time.

        The simulation continues until each of them has a first token or a
        refusal, or is past its deadline.
        """
        end_ms = uneven_mixes.WARM_UP_MS + seconds * 1000
        for kind in self.mix.kinds:
            for domain in range(len(uneven_mixes.DOMAINS)):
                self._schedule_arrival(kind, domain, end_ms)
        if self.mix.slow_share:
            self.timeline.call_later(0, self._draw_slow_engines)
        self.timeline.run_until(end_ms)
        last_ms = end_ms + self.mix.max_deadline_ms
        while self.timeline.now_ms < last_ms and self._has_open_requests():
            self.timeline.run_until(self.timeline.now_ms + DRAIN_STEP_MS)
        return [
            outcome
            for outcome in self.outcomes
            if outcome.arrived_ms >= uneven_mixes.WARM_UP_MS
        ]

    def hop_ms(
        self,
        request: uneven_mixes.MixRequest,
        engine: chunked_engines.ChunkedEngine,
    ) -> float:
        """Returns the one-way delay between a request's daemon and an engine.

        Daemons send requests to engines of all failure domains.
        """
        return self.link_ms(request.failure_domain, engine.failure_domain)

    def link_ms(self, one: str, other: str) -> float:
        """Returns the one-way delay between two failure domains."""
        return self.mix.hop_ms if one == other else self.mix.remote_hop_ms

    def _create_workload(self, seed: int) -> uneven_mixes.MixWorkload:
        return uneven_mixes.MixWorkload(self.mix, seed)

    def _create_engine_spec(self) -> chunked_engines.ChunkedSpec:
        mix = self.mix
        return chunked_engines.ChunkedSpec(
            cache_tokens=mix.cache_tokens,
            # Load reports of these engines do not state the prefill cost.
            prefill_us_per_token=0,
            slots=SLOTS,
            chunk_tokens=mix.chunk_tokens,
            tokens_per_ms=mix.tokens_per_ms,
            ms_per_pair=mix.ms_per_pair,
            step_ms=mix.step_ms,
            first_token_ms=mix.first_token_ms,
        )

    def _create_engine(self, number: int) -> engines.Engine:
        speeds, domains = self.mix.speeds, uneven_mixes.DOMAINS
        # Shifted by one after each round, so that every failure domain has
        # engines of every speed.
        domain = domains[(number + number // len(speeds)) % len(domains)]
        return chunked_engines.ChunkedEngine(
            f"engine-{number}",
            self.engine_spec,
            self.timeline,
            speed=speeds[number % len(speeds)],
            failure_domain=domain,
        )

    def _create_policy(self, name: str) -> uneven_router.UnevenRouter:
        del name
        return uneven_router.UnevenRouter(self)

    def _has_open_requests(self) -> bool:
        return any(
            outcome.first_token_ms < 0 and not outcome.refusal_reason
            for outcome in self.outcomes
        )

    def _schedule_arrival(self, kind: str, domain: int, end_ms: float) -> None:
        """Schedules the next arrival of a Poisson process of varying rate."""
        at_ms = self.timeline.now_ms
        usual_per_ms = self.workload.mix.kinds[kind].per_s / 1000
        # Candidates come at the highest rate, and are thinned to the current.
        max_per_ms = uneven_mixes.MAX_DEMAND * usual_per_ms
        max_per_ms /= len(uneven_mixes.DOMAINS)
        while True:
            at_ms += self.arrival_rng.expovariate(max_per_ms)
            rate = self.workload.rate_per_s(kind, domain, at_ms) / 1000
            if self.arrival_rng.random() * max_per_ms < rate:
                break
        if at_ms >= end_ms:
            return

        def arrive() -> None:
            self._arrive(self.workload.draw(kind, domain))
            self._schedule_arrival(kind, domain, end_ms)

        self.timeline.call_later(at_ms - self.timeline.now_ms, arrive)

    def _draw_slow_engines(self) -> None:
        """Makes other engines slow; running steps end as they were."""
        count = round(self.mix.slow_share * len(self.engines))
        slow = self.slow_rng.sample(self.engines, count)
        for engine in self.engines:
            engine.slowdown = self.mix.slowdown if engine in slow else 1.0
        self.timeline.call_later(self.mix.slow_ms, self._draw_slow_engines)


__all__ = ["UnevenExperiment"]
