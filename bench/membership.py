"""`scripts/bench.sh membership`: notice of lost daemons, and its cost."""

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

QUIET_S = 10.0
POLL_S = 0.02


def main(words: list[str]) -> int:
    """Measures each size and prints it."""
    parser = argparse.ArgumentParser(prog="bench membership")
    parser.add_argument("--sizes", type=int, nargs="+", default=[9, 20])
    parser.add_argument("--json")
    asked = parser.parse_args(words)
    runs = []
    for size in asked.sizes:
        told = _measure(size)
        runs.append(told)
        print(", ".join(f"{k} {v:.2f}" for k, v in told.items()))
    if asked.json:
        pathlib.Path(asked.json).write_text(json.dumps({"runs": runs}))
    return 0


def _measure(size: int) -> dict[str, float]:
    cluster = processes.Cluster()
    try:
        names = [f"entry-{n}" for n in range(size)]
        cluster.start_platform()
        cluster.start_engine("engine-0", "rulebook")
        cluster.start_engine("engine-1", "rulebook")
        cluster.start_daemons(*names)
        told = {"daemons": float(size)}
        told.update(_quiet(cluster, names))
        told["leaving_server_s"] = _leaving(cluster, names)
        told["killed_s"] = _gone(cluster, names, names[-1], cluster.kill)
        told["frozen_s"] = _gone(
            cluster,
            names[:-1],
            names[-2],
            lambda name: cluster.signal(name, signal.SIGSTOP),
        )
        return told
    finally:
        cluster.close()


def _quiet(cluster: processes.Cluster, names: list[str]) -> dict[str, float]:
    """Counts bytes, processor time and false suspicions without trouble."""
    before = [metrics(cluster, name) for name in names]
    time.sleep(QUIET_S)
    after = [metrics(cluster, name) for name in names]
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
        / QUIET_S,
        "core_percent": 100
        * sum(
            a["godwittack_cpu_seconds"] - b["godwittack_cpu_seconds"]
            for a, b in zip(after, before, strict=True)
        )
        / count
        / QUIET_S,
        "false_suspicions": float(suspicions),
    }


def _gone(
    cluster: processes.Cluster,
    names: list[str],
    victim: str,
    end: Callable[[str], None],
) -> float:
    """Returns seconds until every other daemon counts one as gone."""
    others = [name for name in names if name != victim]
    end(victim)
    started = time.monotonic()
    return _until(
        started,
        lambda: all(
            not any(
                member.startswith(f"{victim}@")
                for member in cluster.ready(name)["members"]
            )
            for name in others
        ),
    )


def _leaving(cluster: processes.Cluster, names: list[str]) -> float:
    """Returns seconds until every daemon knows that a server leaves."""
    processes.call("POST", cluster.url("engine-0", "/fault/leave"))
    started = time.monotonic()
    return _until(
        started,
        lambda: all(
            cluster.ready(name)["servers"]["engine-0"]["leaving"]
            for name in names
        ),
    )


def _until(started: float, holds: Callable[[], bool]) -> float:
    while not holds():
        if time.monotonic() - started > processes.WAIT_S:
            raise processes.StepError("never noticed")
        time.sleep(POLL_S)
    return time.monotonic() - started


def metrics(cluster: processes.Cluster, name: str) -> dict[str, float]:
    """Returns a daemon's metrics by name, summed over their labels."""
    text = processes.call("GET", cluster.url(name, "/metrics"))[2].decode()
    found: dict[str, float] = {}
    for line in text.splitlines():
        match = re.match(r"^(godwittack_\w+?)(_total)?(\{.*\})? (\S+)$", line)
        if match:
            key = match[1].replace("_bytes_bytes", "_bytes")
            found[key] = found.get(key, 0.0) + float(match[4])
    return found


__all__ = ["main", "metrics"]
