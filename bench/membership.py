"""`scripts/bench.sh membership`: detection of lost daemons and its cost."""

from __future__ import annotations

import argparse
import json
import pathlib
import re
import signal
import sys
import time
from typing import TYPE_CHECKING

TESTS = pathlib.Path(__file__).resolve().parent.parent / "tests"
sys.path.insert(0, str(TESTS))

from cluster import processes  # noqa: E402 - found below tests/ only.

if TYPE_CHECKING:
    from collections.abc import Callable

IDLE_S = 10.0
POLL_INTERVAL_S = 0.02


def main(arguments: list[str]) -> int:
    """Measures each size and prints the results."""
    parser = argparse.ArgumentParser(prog="bench membership")
    parser.add_argument("--sizes", type=int, nargs="+", default=[9, 20])
    parser.add_argument("--json")
    options = parser.parse_args(arguments)
    runs = []
    for size in options.sizes:
        results = _measure(size)
        runs.append(results)
        print(", ".join(f"{k} {v:.2f}" for k, v in results.items()))
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps({"runs": runs}))
    return 0


def _measure(size: int) -> dict[str, float]:
    cluster = processes.Cluster()
    try:
        names = [f"entry-{n}" for n in range(size)]
        cluster.start_platform()
        cluster.start_engine("engine-0", "rulebook")
        cluster.start_engine("engine-1", "rulebook")
        cluster.start_daemons(*names)
        results = {"daemons": float(size)}
        results.update(_measure_idle(cluster, names))
        results["leaving_server_s"] = _leaving_notice_s(cluster, names)
        results["killed_s"] = _detection_s(
            cluster, names, names[-1], cluster.kill
        )
        results["frozen_s"] = _detection_s(
            cluster,
            names[:-1],
            names[-2],
            lambda name: cluster.signal(name, signal.SIGSTOP),
        )
        return results
    finally:
        cluster.close()


def _measure_idle(
    cluster: processes.Cluster, names: list[str]
) -> dict[str, float]:
    """Counts bytes, processor time and false suspicions without faults."""
    before = [read_metrics(cluster, name) for name in names]
    time.sleep(IDLE_S)
    after = [read_metrics(cluster, name) for name in names]
    count = len(names)
    suspicions = sum(
        cluster.ready(name)["members"].get(other, "alive") != "alive"
        for name in names
        for other in cluster.ready(name)["members"]
    )
    return {
        "bytes_a_s": sum(
            a["godwittack_peer_bytes"] - b["godwittack_peer_bytes"]
            for a, b in zip(after, before, strict=True)
        )
        / count
        / IDLE_S,
        "core_percent": 100
        * sum(
            a["godwittack_cpu_seconds"] - b["godwittack_cpu_seconds"]
            for a, b in zip(after, before, strict=True)
        )
        / count
        / IDLE_S,
        "false_suspicions": float(suspicions),
    }


def _detection_s(
    cluster: processes.Cluster,
    names: list[str],
    victim: str,
    inject_fault: Callable[[str], None],
) -> float:
    """Applies a fault to `victim`; returns seconds until no other lists it."""
    others = [name for name in names if name != victim]
    inject_fault(victim)
    started = time.monotonic()
    return _wait_until(
        started,
        lambda: all(
            not any(
                member.startswith(f"{victim}@")
                for member in cluster.ready(name)["members"]
            )
            for name in others
        ),
    )


def _leaving_notice_s(cluster: processes.Cluster, names: list[str]) -> float:
    """Returns seconds until every daemon lists a server as leaving."""
    processes.call("POST", cluster.url("engine-0", "/fault/leave"))
    started = time.monotonic()
    return _wait_until(
        started,
        lambda: all(
            cluster.ready(name)["servers"]["engine-0"]["leaving"]
            for name in names
        ),
    )


def _wait_until(started: float, condition: Callable[[], bool]) -> float:
    while not condition():
        if time.monotonic() - started > processes.WAIT_S:
            raise processes.StepError("condition not met in time")
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started


def read_metrics(cluster: processes.Cluster, name: str) -> dict[str, float]:
    """Returns a daemon's metrics by name, summed over their labels."""
    text = processes.call("GET", cluster.url(name, "/metrics"))[2].decode()
    values: dict[str, float] = {}
    for line in text.splitlines():
        match = re.match(r"^(godwittack_\w+?)(_total)?(\{.*\})? (\S+)$", line)
        if match:
            key = match[1].replace("_bytes_bytes", "_bytes")
            values[key] = values.get(key, 0.0) + float(match[4])
    return values


__all__ = ["main", "read_metrics"]
