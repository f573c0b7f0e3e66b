"""`scripts/bench.sh policy`: compares the router with other policies."""

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
CAPACITY_FRACTIONS = (0.75, 0.7, 0.65, 0.6, 0.55, 0.5, 0.45, 0.4, 0.35, 0.3)
MAX_FAILURE_FRACTION = 0.01
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
    """Returns the requests per second that the engines can serve.

    This is the highest simulated rate at which the clairvoyant policy refuses
    or delays fewer than 1 in 100 requests beyond their deadline.
    """
    deployment = workload.DEPLOYMENTS[name]
    size = engines.EngineSpec(cache_tokens=deployment.cache_tokens)
    decode_ms = deployment.output_tokens * size.decode_ms_per_token
    max_decode_rate = deployment.engines * size.slots * 1000 / decode_ms
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        rates = [max_decode_rate * fraction for fraction in CAPACITY_FRACTIONS]
        jobs = [
            pool.submit(run_once, name, rate, 1.0, "clairvoyant", 0)
            for rate in rates
        ]
        sustained = [
            rate
            for rate, job in zip(rates, jobs, strict=True)
            if _keeps_up(job.result())
        ]
    return max(sustained, default=rates[-1])


def _keeps_up(run: figures.Figures) -> bool:
    return (run.refused + run.late) / run.asked < MAX_FAILURE_FRACTION


def run_once(
    name: str,
    capacity: float,
    utilisation: float,
    policy: str,
    seed: int,
    policy_overrides: dict[str, float] | None = None,
) -> figures.Figures:
    """Simulates one run and returns its figures."""
    run = experiment.Experiment(
        deployment=workload.DEPLOYMENTS[name],
        policy=policy,
        rate_per_s=capacity * utilisation,
        seed=seed,
        policy_overrides=policy_overrides,
    )
    run.run()
    return figures.compute(
        run, policy=policy, utilisation=utilisation, seed=seed
    )


def main(arguments: list[str]) -> int:
    """Runs all policies and prints the medians over the seeds."""
    parser = argparse.ArgumentParser(prog="bench policy")
    parser.add_argument("--deployment", choices=[*workload.DEPLOYMENTS])
    parser.add_argument("--seed", type=int)
    parser.add_argument("--json")
    options = parser.parse_args(arguments)
    names = [options.deployment] if options.deployment else workload.DEPLOYMENTS
    seeds = [options.seed] if options.seed is not None else SEEDS
    runs: list[figures.Figures] = []
    capacities = {name: capacity_per_s(name) for name in names}
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        for name, capacity in capacities.items():
            print(f"{name}: the engines can serve {capacity:.0f} requests/s")
            jobs = [
                pool.submit(run_once, name, capacity, utilisation, policy, seed)
                for utilisation in UTILISATIONS
                for policy in policies.POLICIES
                for seed in seeds
            ]
            runs.extend(job.result() for job in jobs)
            _print_table(name, runs)
    if options.json:
        report = {"runs": [dataclasses.asdict(run) for run in runs]}
        pathlib.Path(options.json).write_text(json.dumps(report, indent=1))
    return 0


def _print_table(name: str, runs: list[figures.Figures]) -> None:
    for utilisation in UTILISATIONS:
        print(f"\n{name} at {utilisation:.0%} (median, spread over seeds)")
        print("policy".ljust(16) + "".join(c.rjust(22) for c in COLUMNS))
        for policy in policies.POLICIES:
            matching = [
                run
                for run in runs
                if (run.deployment, run.utilisation, run.policy)
                == (name, utilisation, policy)
            ]
            cells = [_cell(matching, column) for column in COLUMNS]
            print(policy.ljust(16) + "".join(cell.rjust(22) for cell in cells))


def _cell(runs: list[figures.Figures], column: str) -> str:
    median = figures.median(runs, column)
    spread = figures.spread(runs, column)
    if column in ("hit_rate", "fairness"):
        return f"{median:.3f} ({spread:.3f})"
    return f"{median:.0f} ({spread:.0f})"


__all__ = ["capacity_per_s", "main", "run_once"]
