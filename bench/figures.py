"""Computes the figures of a run, and medians over seeds."""

from __future__ import annotations

import dataclasses
import statistics
from typing import TYPE_CHECKING

from bench import experiment as experiments

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """Results of a run; the field names are those of the JSON output."""

    deployment: str
    utilisation: float
    policy: str
    seed: int
    hit_rate: float
    ttft_p50_ms: float
    ttft_p95_ms: float
    ttft_p99_ms: float
    wasted_tokens: int
    refused: int
    late: int
    asked: int
    fairness: float


def compute(
    run: experiments.Experiment, *, policy: str, utilisation: float, seed: int
) -> Figures:
    """Returns the figures of the time after the warm-up."""
    end_ms = run.timeline.now_ms
    # The last requests may still be in progress.
    outcomes = [
        outcome
        for outcome in run.outcomes
        if experiments.WARM_UP_MS <= outcome.arrived_ms < end_ms - 3_000
    ]
    first_token_delays_ms = sorted(
        outcome.first_token_ms - outcome.arrived_ms
        for outcome in outcomes
        if outcome.first_token_ms >= 0
    )
    prompt_tokens = sum(outcome.prompt_tokens for outcome in outcomes)
    deadline_ms = run.deployment.deadline_ms
    unanswered = sum(
        1
        for outcome in outcomes
        if outcome.first_token_ms < 0 and not outcome.refusal_reason
    )
    return Figures(
        deployment=run.deployment.name,
        utilisation=utilisation,
        policy=policy,
        seed=seed,
        hit_rate=sum(outcome.cached_tokens for outcome in outcomes)
        / max(1, prompt_tokens),
        ttft_p50_ms=quantile(first_token_delays_ms, 0.50),
        ttft_p95_ms=quantile(first_token_delays_ms, 0.95),
        ttft_p99_ms=quantile(first_token_delays_ms, 0.99),
        wasted_tokens=sum(outcome.wasted_tokens for outcome in outcomes),
        refused=sum(1 for outcome in outcomes if outcome.refusal_reason),
        late=sum(
            1 for delay_ms in first_token_delays_ms if delay_ms > deadline_ms
        )
        + unanswered,
        asked=len(outcomes),
        fairness=_fairness(outcomes, deadline_ms),
    )


def quantile(sorted_values: Sequence[float], fraction: float) -> float:
    """Returns a quantile of sorted values."""
    if not sorted_values:
        return 0.0
    return sorted_values[
        min(len(sorted_values) - 1, int(fraction * len(sorted_values)))
    ]


def median(runs: Sequence[Figures], name: str) -> float:
    """Returns the median of one figure."""
    return statistics.median(getattr(run, name) for run in runs)


def spread(runs: Sequence[Figures], name: str) -> float:
    """Returns the distance between the largest and the smallest value."""
    values = [getattr(run, name) for run in runs]
    return max(values) - min(values)


def _fairness(
    outcomes: list[experiments.RequestOutcome], deadline_ms: int
) -> float:
    """Returns the lowest share of requests served in time per workspace."""
    served_in_time: dict[str, list[bool]] = {}
    for outcome in outcomes:
        in_time = (
            0 <= outcome.first_token_ms - outcome.arrived_ms <= deadline_ms
        )
        served_in_time.setdefault(outcome.request.workspace, []).append(in_time)
    return min(
        sum(in_time) / len(in_time) for in_time in served_in_time.values()
    )


__all__ = ["Figures", "median", "compute", "quantile", "spread"]
