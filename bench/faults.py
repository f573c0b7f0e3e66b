"""`scripts/bench.sh faults`: the router's placement during faults."""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import statistics
from typing import TYPE_CHECKING

from bench import experiment, policies, policy, workload

if TYPE_CHECKING:
    from collections.abc import Callable

UTILISATION = 0.7
FAULT_MS = 35_000
RUN_MS = 60_000
SEEDS = (1, 2, 3)
WORKERS = 4
# Relative loss against the mean before the fault that counts as recovered.
STEADY_TOLERANCE = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FaultFigures:
    """Effects of a fault.

    Attributes:
        steady_hit_rate: Hit rate in the 15 seconds before the fault.
        worst_hit_rate: Hit rate of the worst second after it.
        worst_p95_ms: Worst second's 95th percentile of the time to the first
            token.
        recovery_s: Seconds until the mean hit rate of three seconds in a row
            is steady again.
        first5_hit_rate: Hit rate in the five seconds after the fault.
        dispatches_a_request: Dispatches per request in the ten seconds after
            the fault.
        failed: Requests refused or never answered after the fault.
    """

    fault: str
    seed: int
    steady_hit_rate: float
    worst_hit_rate: float
    worst_p95_ms: float
    recovery_s: float
    first5_hit_rate: float
    dispatches_a_request: float
    failed: int


def run_fault(fault: str, seed: int, capacity: float) -> FaultFigures:
    """Simulates one run with one fault."""
    run = experiment.Experiment(
        deployment=workload.DEPLOYMENTS["vatuvola"],
        policy="ours",
        rate_per_s=capacity * UTILISATION,
        seed=seed,
    )
    dispatch_counts: list[int] = []
    run.timeline.call_later(
        FAULT_MS, lambda: dispatch_counts.append(run.dispatch_count)
    )
    run.timeline.call_later(FAULT_MS, lambda: _FAULTS[fault](run))
    run.timeline.call_later(
        FAULT_MS + 10_000, lambda: dispatch_counts.append(run.dispatch_count)
    )
    run.run(RUN_MS)
    request_count = sum(
        1
        for outcome in run.outcomes
        if FAULT_MS <= outcome.arrived_ms < FAULT_MS + 10_000
    )
    return _figures(
        run,
        fault,
        seed,
        (dispatch_counts[1] - dispatch_counts[0]) / request_count,
    )


def main(arguments: list[str]) -> int:
    """Simulates all faults and prints medians over seeds."""
    parser = argparse.ArgumentParser(prog="bench faults")
    parser.add_argument("--json")
    options = parser.parse_args(arguments)
    capacity = policy.capacity_per_s("vatuvola")
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        jobs = {
            fault: [
                pool.submit(run_fault, fault, seed, capacity) for seed in SEEDS
            ]
            for fault in _FAULTS
        }
        runs = {
            fault: [job.result() for job in fault_jobs]
            for fault, fault_jobs in jobs.items()
        }
    names = [f.name for f in dataclasses.fields(FaultFigures)][2:]
    print("fault".ljust(16) + "".join(name.rjust(22) for name in names))
    for fault, fault_runs in runs.items():
        cells = [
            f"{statistics.median(getattr(run, name) for run in fault_runs):.3f}"
            for name in names
        ]
        print(fault.ljust(16) + "".join(cell.rjust(22) for cell in cells))
    if options.json:
        reports = [dataclasses.asdict(r) for c in runs.values() for r in c]
        pathlib.Path(options.json).write_text(json.dumps({"runs": reports}))
    return 0


def _crash_engine(run: experiment.Experiment) -> None:
    run.crash(run.engines[0])


def _shift_popularity(run: experiment.Experiment) -> None:
    run.workload.rulebook_shift = 2


def _restart_all_daemons(run: experiment.Experiment) -> None:
    assert isinstance(run.policy, policies.RouterPolicy)
    for daemon in range(run.deployment.daemons):
        run.policy.restart(daemon)
    run.policy.replay_cache_events()


def _restart_one_daemon(run: experiment.Experiment) -> None:
    assert isinstance(run.policy, policies.RouterPolicy)
    run.policy.restart(0)


def _stop_failure_domain(run: experiment.Experiment) -> None:
    """Stops a failure domain for ten seconds; it restarts empty."""
    _stop_engines(run, run.engines[:1], 10_000)


def _stop_third_of_engines(run: experiment.Experiment) -> None:
    _stop_engines(run, run.engines[:2], 10_000)


def _drop_cache_events(run: experiment.Experiment) -> None:
    run.drop_cache_events = True


def _freeze_load_reports(run: experiment.Experiment) -> None:
    run.freeze_load_reports = True


def _overload_for_10s(run: experiment.Experiment) -> None:
    usual_rate_per_s = run.rate_per_s
    run.rate_per_s = usual_rate_per_s * 3

    def end_overload() -> None:
        run.rate_per_s = usual_rate_per_s

    run.timeline.call_later(10_000, end_overload)


def _stop_engines(
    run: experiment.Experiment, engines: list, duration_ms: int
) -> None:
    for engine in engines:
        engine.is_up = False
        run.crash(engine)

    def restart() -> None:
        for engine in engines:
            engine.is_up = True

    run.timeline.call_later(duration_ms, restart)


_FAULTS: dict[str, Callable[[experiment.Experiment], None]] = {
    "engine_crash": _crash_engine,
    "hot_shift": _shift_popularity,
    "herd_restart": _restart_all_daemons,
    "one_daemon": _restart_one_daemon,
    "domain_lost": _stop_failure_domain,
    "third_fails": _stop_third_of_engines,
    "silent_events": _drop_cache_events,
    "frozen_reports": _freeze_load_reports,
    "overload_10s": _overload_for_10s,
}


def _figures(
    run: experiment.Experiment,
    fault: str,
    seed: int,
    dispatches_per_request: float,
) -> FaultFigures:
    outcomes_by_second: dict[int, list[experiment.RequestOutcome]] = {}
    for outcome in run.outcomes:
        outcomes_by_second.setdefault(
            int(outcome.arrived_ms // 1000), []
        ).append(outcome)
    fault_s = FAULT_MS // 1000
    last_s = (experiment.WARM_UP_MS + RUN_MS) // 1000 - 4
    steady = _hit_rate(
        [r for s in range(fault_s - 15, fault_s) for r in outcomes_by_second[s]]
    )
    hit_rates_after = [
        _hit_rate(outcomes_by_second[s]) for s in range(fault_s, last_s)
    ]
    return FaultFigures(
        fault=fault,
        seed=seed,
        steady_hit_rate=steady,
        worst_hit_rate=min(hit_rates_after),
        worst_p95_ms=max(
            _p95(outcomes_by_second[s]) for s in range(fault_s, last_s)
        ),
        recovery_s=_recovery_s(hit_rates_after, steady),
        first5_hit_rate=_hit_rate(
            [
                r
                for s in range(fault_s, fault_s + 5)
                for r in outcomes_by_second[s]
            ]
        ),
        dispatches_a_request=dispatches_per_request,
        failed=sum(
            1
            for outcome in run.outcomes
            if FAULT_MS <= outcome.arrived_ms < last_s * 1000
            and outcome.first_token_ms < 0
        ),
    )


def _hit_rate(outcomes: list[experiment.RequestOutcome]) -> float:
    prompt_tokens = sum(outcome.prompt_tokens for outcome in outcomes)
    return sum(outcome.cached_tokens for outcome in outcomes) / max(
        1, prompt_tokens
    )


def _p95(outcomes: list[experiment.RequestOutcome]) -> float:
    delays_ms = sorted(
        outcome.first_token_ms - outcome.arrived_ms
        for outcome in outcomes
        if outcome.first_token_ms >= 0
    )
    return delays_ms[int(0.95 * len(delays_ms))] if delays_ms else 0.0


def _recovery_s(hit_rates: list[float], steady_hit_rate: float) -> float:
    """Returns seconds until the mean of three seconds is steady again."""
    for second in range(len(hit_rates) - 3):
        mean = statistics.mean(hit_rates[second : second + 3])
        if mean >= steady_hit_rate * (1 - STEADY_TOLERANCE):
            return float(second)
    return float(len(hit_rates))


__all__ = ["FaultFigures", "main", "run_fault"]
