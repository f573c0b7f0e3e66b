"""`scripts/bench.sh target`: one real daemon in a fleet of the target's size.

The other daemons are stand-ins in one process (`bench/peers.py`), and every
listed backend server is one of two engine stand-ins under many names. Nothing
else may use loopback meanwhile: its packets are counted.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from bench import membership, peers  # noqa: E402
from cluster import processes  # noqa: E402 - found below tests/ only.

MODELS = 15
WORKSPACES = 430
DAEMON = "entry-real"
# Cache levels stored or evicted a second at one engine, see docs/CAPACITY.md.
LEVELS_A_S = 1.3
LOADS = 2
# 430 workspaces, each with three daemons that tell two others, over 340.
CELL_TELLERS = 8
AUDIENCE = 23
PROBES_A_S = 8.0
SETTLE_S = 25.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """What control costs one daemon.

    Attributes:
        core_percent: Processor time.
        message_kb_s: Messages between daemons, sent and received.
        loopback_kb_s: All packets with their headers, those of the platform
            and the engines included.
        grown_mb: Resident memory above that of a fleet of one.
    """

    daemons: int
    servers: int
    news_ms: int
    core_percent: float
    message_kb_s: float
    loopback_kb_s: float
    grown_mb: float


def main(words: list[str]) -> int:
    """Measures each size and prints it."""
    parser = argparse.ArgumentParser(prog="bench target")
    parser.add_argument("--daemons", type=int, nargs="+", default=[40, 340])
    parser.add_argument("--servers", type=int, default=600)
    parser.add_argument("--news-ms", type=int, default=1_000)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--json")
    asked = parser.parse_args(words)
    alone_mb = _measure(1, 2, asked).grown_mb
    runs = []
    for daemons in asked.daemons:
        figures = _measure(daemons, asked.servers, asked)
        figures = dataclasses.replace(
            figures, grown_mb=figures.grown_mb - alone_mb
        )
        runs.append(dataclasses.asdict(figures))
        print(" ".join(f"{k}={v:.2f}" for k, v in runs[-1].items()))
    if asked.json:
        pathlib.Path(asked.json).write_text(json.dumps({"runs": runs}))
    return 0


def _measure(daemons: int, servers: int, asked: argparse.Namespace) -> Figures:
    cluster = processes.Cluster()
    try:
        cluster.start_platform()
        for engine in ("engine-0", "engine-1"):
            cluster.start_standin(engine, "engine")
        addresses = _free_addresses(daemons - 1)
        _list_all(cluster, addresses, servers)
        cluster.reserve_daemons(DAEMON)
        if addresses:
            _start_peers(cluster, addresses, asked.news_ms)
        cluster.launch_daemon(
            DAEMON,
            seeds=[f"127.0.0.1:{cluster.peer_ports[DAEMON]}", *addresses],
            news_ms=asked.news_ms,
            decisions={"max_residency": 5_000},
        )
        cluster.wait_up(DAEMON)
        processes.wait_until(
            "the daemon knows its fleet",
            lambda: len(cluster.ready(DAEMON)["members"]) == daemons,
        )
        cluster.import_table(_rows())
        time.sleep(SETTLE_S)
        return _watch(cluster, daemons, servers, asked)
    finally:
        cluster.close()


def _watch(
    cluster: processes.Cluster,
    daemons: int,
    servers: int,
    asked: argparse.Namespace,
) -> Figures:
    before, packets = membership.metrics(cluster, DAEMON), _loopback_bytes()
    time.sleep(asked.seconds)
    packets = _loopback_bytes() - packets
    after = membership.metrics(cluster, DAEMON)

    def spent(name: str) -> float:
        return (after.get(name, 0.0) - before.get(name, 0.0)) / asked.seconds

    return Figures(
        daemons=daemons,
        servers=servers,
        news_ms=asked.news_ms,
        core_percent=100 * spent("godwittack_cpu_seconds"),
        message_kb_s=spent("godwittack_peer_bytes") / 1000,
        loopback_kb_s=packets / asked.seconds / 1000,
        grown_mb=_resident_mb(cluster.processes[DAEMON].pid),
    )


def _start_peers(
    cluster: processes.Cluster, addresses: list[str], news_ms: int
) -> None:
    told = peers.PeersAsked(
        secret=(cluster.path / "secret").read_text().strip(),
        daemon=f"127.0.0.1:{cluster.peer_ports[DAEMON]}",
        platform_url=cluster.url("platform"),
        addresses=addresses,
        probes_a_s=PROBES_A_S,
        audience=min(AUDIENCE, len(addresses)),
        news_ms=news_ms,
        loads=LOADS,
        cell_tellers=CELL_TELLERS,
        levels=round(LEVELS_A_S * LOADS * news_ms / 1000),
    )
    file = cluster.path / "peers.json"
    file.write_text(json.dumps(dataclasses.asdict(told)))
    cluster.launch("peers", "-m", "bench.peers", str(file), cwd=ROOT)
    processes.wait_until(
        "the peers listen", lambda: "listening" in cluster.log("peers")
    )


def _free_addresses(count: int) -> list[str]:
    ports = sorted(processes.free_port() for _ in range(count))
    return [f"127.0.0.1:{port}" for port in ports]


def _list_all(
    cluster: processes.Cluster, addresses: list[str], servers: int
) -> None:
    for number, address in enumerate(addresses):
        port = int(address.rpartition(":")[2])
        cluster.list_instance(f"entry-{number}", "entry", "", port=port)
    for number in range(servers):
        port = cluster.ports[f"engine-{number % 2}"]
        cluster.list_instance(
            f"server-{number}", "engine", f"model-{number % MODELS}", port=port
        )


def _rows() -> list[str]:
    rows = ["kind,name,token_sha256,max_in_flight"]
    rows.extend(
        f"workspace,workspace-{n},{n:064x},200" for n in range(WORKSPACES)
    )
    rows.extend(f"model,model-{n},," for n in range(MODELS))
    return rows


def _loopback_bytes() -> int:
    """Returns the bytes of all packets over loopback so far."""
    text = pathlib.Path("/proc/net/dev").read_text()
    line = next(row for row in text.splitlines() if row.startswith("    lo:"))
    return int(line.split()[1])


def _resident_mb(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(row for row in text.splitlines() if row.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


__all__ = ["main"]
