"""`scripts/bench.sh policy`: ours beside baselines and the clairvoyant."""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib

from bench import engines, experiment, figures, policies, workload

UTILISATIONS = (0.5, 0.7, 0.9, 1.1)
SEEDS = (1, 2, 3)
WORKERS = 4
CAPACITY_PARTS = (0.75, 0.7, 0.65, 0.6, 0.55, 0.5, 0.45, 0.4, 0.35, 0.3)
KEEPS_UP = 0.01
COLUMNS = (
    "hit_rate",
    "ttft_p50_ms",
    "ttft_p95_ms",
    "ttft_p99_ms",
    "wasted_tokens",
    "refused",
    "late",
    "fairness",
)


def capacity_per_s(name: str) -> float:
    """Returns the requests a second that the engines can do.

    Measured, not assumed: the highest rate at which even the clairvoyant
    refuses or is late with fewer than 1 in 100 requests.
    """
    deployment = workload.DEPLOYMENTS[name]
    size = engines.EngineSize(cache_tokens=deployment.cache_tokens)
    decode_ms = deployment.output_tokens * size.decode_ms
    most = deployment.engines * size.slots * 1000 / decode_ms
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        rates = [most * part for part in CAPACITY_PARTS]
        jobs = [
            pool.submit(one, name, rate, 1.0, "clairvoyant", 0)
            for rate in rates
        ]
        good = [
            rate
            for rate, job in zip(rates, jobs, strict=True)
            if _keeps_up(job.result())
        ]
    return max(good, default=rates[-1])


def _keeps_up(run: figures.Figures) -> bool:
    return (run.refused + run.late) / run.asked < KEEPS_UP


def one(
    name: str,
    capacity: float,
    utilisation: float,
    policy: str,
    seed: int,
    numbers: dict[str, float] | None = None,
) -> figures.Figures:
    """Makes one run and returns its figures."""
    run = experiment.Experiment(
        deployment=workload.DEPLOYMENTS[name],
        policy=policy,
        rate_per_s=capacity * utilisation,
        seed=seed,
        numbers=numbers,
    )
    run.run()
    return figures.of_run(
        run, policy=policy, utilisation=utilisation, seed=seed
    )


def main(words: list[str]) -> int:
    """Runs all policies and prints the medians over the seeds."""
    parser = argparse.ArgumentParser(prog="bench policy")
    parser.add_argument("--deployment", choices=[*workload.DEPLOYMENTS])
    parser.add_argument("--seed", type=int)
    parser.add_argument("--json")
    asked = parser.parse_args(words)
    names = [asked.deployment] if asked.deployment else workload.DEPLOYMENTS
    seeds = [asked.seed] if asked.seed is not None else SEEDS
    runs: list[figures.Figures] = []
    capacities = {name: capacity_per_s(name) for name in names}
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        for name, capacity in capacities.items():
            print(f"{name}: the engines can do {capacity:.0f} requests/s")
            jobs = [
                pool.submit(one, name, capacity, utilisation, policy, seed)
                for utilisation in UTILISATIONS
                for policy in policies.POLICIES
                for seed in seeds
            ]
            runs.extend(job.result() for job in jobs)
            _print(name, runs)
    if asked.json:
        told = {"runs": [dataclasses.asdict(run) for run in runs]}
        pathlib.Path(asked.json).write_text(json.dumps(told, indent=1))
    return 0


def _print(name: str, runs: list[figures.Figures]) -> None:
    for utilisation in UTILISATIONS:
        print(f"\n{name} at {utilisation:.0%} (median, spread over seeds)")
        print("policy".ljust(16) + "".join(c.rjust(22) for c in COLUMNS))
        for policy in policies.POLICIES:
            chosen = [
                run
                for run in runs
                if (run.deployment, run.utilisation, run.policy)
                == (name, utilisation, policy)
            ]
            cells = [_cell(chosen, column) for column in COLUMNS]
            print(policy.ljust(16) + "".join(cell.rjust(22) for cell in cells))


def _cell(runs: list[figures.Figures], column: str) -> str:
    middle = figures.median(runs, column)
    wide = figures.spread(runs, column)
    if column in ("hit_rate", "fairness"):
        return f"{middle:.3f} ({wide:.3f})"
    return f"{middle:.0f} ({wide:.0f})"


__all__ = ["capacity_per_s", "main", "one"]
