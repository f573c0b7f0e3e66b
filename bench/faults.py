"""`scripts/bench.sh faults`: the policy while things fail."""

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
# A second counts as steady within this part of the mean before the fault.
STEADY = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FaultFigures:
    """What a fault did.

    Attributes:
        steady_hit_rate: Mean of the seconds before the fault.
        worst_hit_rate: Worst second after it.
        worst_p95_ms: Worst second's 95th percentile of the first token.
        recovery_s: Seconds until two seconds in a row are steady again.
        first5_hit_rate: The five seconds after the fault.
        dispatches_a_request: Dispatches over requests in ten seconds after.
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
    """Makes one run with one fault."""
    run = experiment.Experiment(
        deployment=workload.DEPLOYMENTS["vatuvola"],
        policy="ours",
        rate_per_s=capacity * UTILISATION,
        seed=seed,
    )
    counts: list[int] = []
    run.timeline.after(FAULT_MS, lambda: counts.append(run.dispatches))
    run.timeline.after(FAULT_MS, lambda: _FAULTS[fault](run))
    run.timeline.after(FAULT_MS + 10_000, lambda: counts.append(run.dispatches))
    run.run(RUN_MS)
    asked = sum(
        1 for row in run.seen if FAULT_MS <= row.arrived_ms < FAULT_MS + 10_000
    )
    return _figures(run, fault, seed, (counts[1] - counts[0]) / asked)


def main(words: list[str]) -> int:
    """Runs all faults and prints medians."""
    parser = argparse.ArgumentParser(prog="bench faults")
    parser.add_argument("--json")
    asked = parser.parse_args(words)
    capacity = policy.capacity_per_s("vatuvola")
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        jobs = {
            fault: [
                pool.submit(run_fault, fault, seed, capacity) for seed in SEEDS
            ]
            for fault in _FAULTS
        }
        runs = {
            fault: [job.result() for job in started]
            for fault, started in jobs.items()
        }
    names = [f.name for f in dataclasses.fields(FaultFigures)][2:]
    print("fault".ljust(16) + "".join(name.rjust(22) for name in names))
    for fault, chosen in runs.items():
        cells = [
            f"{statistics.median(getattr(run, name) for run in chosen):.3f}"
            for name in names
        ]
        print(fault.ljust(16) + "".join(cell.rjust(22) for cell in cells))
    if asked.json:
        told = [dataclasses.asdict(r) for c in runs.values() for r in c]
        pathlib.Path(asked.json).write_text(json.dumps({"runs": told}))
    return 0


def _engine_crash(run: experiment.Experiment) -> None:
    run.crash(run.engines[0])


def _hot_shift(run: experiment.Experiment) -> None:
    run.workload.shift = 2


def _herd(run: experiment.Experiment) -> None:
    assert isinstance(run.policy, policies.Ours)
    for daemon in range(run.deployment.daemons):
        run.policy.restart(daemon)
    run.policy.reread_events()


def _one_daemon(run: experiment.Experiment) -> None:
    assert isinstance(run.policy, policies.Ours)
    run.policy.restart(0)


def _domain_lost(run: experiment.Experiment) -> None:
    """A failure domain goes for ten seconds, and comes back empty."""
    _down(run, run.engines[:1], 10_000)


def _third_fails(run: experiment.Experiment) -> None:
    _down(run, run.engines[:2], 10_000)


def _silent_events(run: experiment.Experiment) -> None:
    run.silent_events = True


def _frozen_reports(run: experiment.Experiment) -> None:
    run.frozen_reports = True


def _overload(run: experiment.Experiment) -> None:
    usual = run.rate_per_s
    run.rate_per_s = usual * 3

    def over() -> None:
        run.rate_per_s = usual

    run.timeline.after(10_000, over)


def _down(run: experiment.Experiment, engines: list, for_ms: int) -> None:
    for engine in engines:
        engine.up = False
        run.crash(engine)

    def back() -> None:
        for engine in engines:
            engine.up = True

    run.timeline.after(for_ms, back)


_FAULTS: dict[str, Callable[[experiment.Experiment], None]] = {
    "engine_crash": _engine_crash,
    "hot_shift": _hot_shift,
    "herd_restart": _herd,
    "one_daemon": _one_daemon,
    "domain_lost": _domain_lost,
    "third_fails": _third_fails,
    "silent_events": _silent_events,
    "frozen_reports": _frozen_reports,
    "overload_10s": _overload,
}


def _figures(
    run: experiment.Experiment, fault: str, seed: int, dispatched: float
) -> FaultFigures:
    seconds: dict[int, list[experiment.Seen]] = {}
    for row in run.seen:
        seconds.setdefault(int(row.arrived_ms // 1000), []).append(row)
    fault_s = FAULT_MS // 1000
    last_s = (experiment.WARM_UP_MS + RUN_MS) // 1000 - 4
    steady = _hit_rate(
        [r for s in range(fault_s - 15, fault_s) for r in seconds[s]]
    )
    after = [_hit_rate(seconds[s]) for s in range(fault_s, last_s)]
    return FaultFigures(
        fault=fault,
        seed=seed,
        steady_hit_rate=steady,
        worst_hit_rate=min(after),
        worst_p95_ms=max(_p95(seconds[s]) for s in range(fault_s, last_s)),
        recovery_s=_recovery_s(after, steady),
        first5_hit_rate=_hit_rate(
            [r for s in range(fault_s, fault_s + 5) for r in seconds[s]]
        ),
        dispatches_a_request=dispatched,
        failed=sum(
            1
            for row in run.seen
            if FAULT_MS <= row.arrived_ms < last_s * 1000 and row.first_ms < 0
        ),
    )


def _hit_rate(rows: list[experiment.Seen]) -> float:
    prompt = sum(row.prompt_tokens for row in rows)
    return sum(row.cached_tokens for row in rows) / max(1, prompt)


def _p95(rows: list[experiment.Seen]) -> float:
    took = sorted(r.first_ms - r.arrived_ms for r in rows if r.first_ms >= 0)
    return took[int(0.95 * len(took))] if took else 0.0


def _recovery_s(after: list[float], steady: float) -> float:
    """Returns seconds until three seconds' mean is steady again."""
    for second in range(len(after) - 3):
        mean = statistics.mean(after[second : second + 3])
        if mean >= steady * (1 - STEADY):
            return float(second)
    return float(len(after))


__all__ = ["FaultFigures", "main", "run_fault"]
