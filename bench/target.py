"""`scripts/bench.sh target`: one real daemon in a fleet of the target size.

The other daemons are simulated in one process (`bench/peers.py`), and all
listed backend servers are two simulated engines under many names. Nothing else
may use the loopback interface meanwhile, since all its packets are counted.
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
# Cache levels stored or evicted per second at an engine (docs/CAPACITY.md).
LEVELS_PER_S = 1.3
LOADS_PER_MESSAGE = 2
# Each of 430 workspaces has three daemons that send its demand to the two
# others; spread over 340 daemons.
CELL_DEMAND_SENDERS = 8
UPDATE_SENDERS = 23
PROBES_PER_S = 8.0
SETTLE_S = 25.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """Cost of control traffic for one daemon.

    Attributes:
        core_percent: Processor time, in percent of a core.
        message_kb_s: Messages between daemons, sent and received.
        loopback_kb_s: All packets with their headers, including those of the
            platform and the engines.
        grown_mb: Resident memory above that in a fleet of one daemon.
    """

    daemons: int
    servers: int
    news_ms: int
    core_percent: float
    message_kb_s: float
    loopback_kb_s: float
    grown_mb: float


def main(arguments: list[str]) -> int:
    """Measures each size and prints the results."""
    parser = argparse.ArgumentParser(prog="bench target")
    parser.add_argument("--daemons", type=int, nargs="+", default=[40, 340])
    parser.add_argument("--servers", type=int, default=600)
    parser.add_argument("--news-ms", type=int, default=1_000)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--json")
    options = parser.parse_args(arguments)
    single_daemon_mb = _measure(1, 2, options).grown_mb
    runs = []
    for daemons in options.daemons:
        figures = _measure(daemons, options.servers, options)
        figures = dataclasses.replace(
            figures, grown_mb=figures.grown_mb - single_daemon_mb
        )
        runs.append(dataclasses.asdict(figures))
        print(" ".join(f"{k}={v:.2f}" for k, v in runs[-1].items()))
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps({"runs": runs}))
    return 0


def _measure(
    daemons: int, servers: int, options: argparse.Namespace
) -> Figures:
    cluster = processes.Cluster()
    try:
        cluster.start_platform()
        for engine in ("engine-0", "engine-1"):
            cluster.start_standin(engine, "engine")
        addresses = _free_addresses(daemons - 1)
        _list_all(cluster, addresses, servers)
        cluster.reserve_daemons(DAEMON)
        if addresses:
            _start_peers(cluster, addresses, options.news_ms)
        cluster.launch_daemon(
            DAEMON,
            seeds=[f"127.0.0.1:{cluster.peer_ports[DAEMON]}", *addresses],
            news_ms=options.news_ms,
            decisions={"max_residency": 5_000},
        )
        cluster.wait_up(DAEMON)
        processes.wait_until(
            "the daemon lists all members",
            lambda: len(cluster.ready(DAEMON)["members"]) == daemons,
        )
        cluster.import_table(_table_rows())
        time.sleep(SETTLE_S)
        return _measure_rates(cluster, daemons, servers, options)
    finally:
        cluster.close()


def _measure_rates(
    cluster: processes.Cluster,
    daemons: int,
    servers: int,
    options: argparse.Namespace,
) -> Figures:
    before, loopback_bytes = (
        membership.read_metrics(cluster, DAEMON),
        _loopback_bytes(),
    )
    time.sleep(options.seconds)
    loopback_bytes = _loopback_bytes() - loopback_bytes
    after = membership.read_metrics(cluster, DAEMON)

    def rate_per_s(name: str) -> float:
        return (after.get(name, 0.0) - before.get(name, 0.0)) / options.seconds

    return Figures(
        daemons=daemons,
        servers=servers,
        news_ms=options.news_ms,
        core_percent=100 * rate_per_s("godwittack_cpu_seconds"),
        message_kb_s=rate_per_s("godwittack_peer_bytes") / 1000,
        loopback_kb_s=loopback_bytes / options.seconds / 1000,
        grown_mb=_resident_mb(cluster.processes[DAEMON].pid),
    )


def _start_peers(
    cluster: processes.Cluster, addresses: list[str], news_ms: int
) -> None:
    config = peers.PeersConfig(
        secret=(cluster.path / "secret").read_text().strip(),
        daemon=f"127.0.0.1:{cluster.peer_ports[DAEMON]}",
        platform_url=cluster.url("platform"),
        addresses=addresses,
        probes_a_s=PROBES_PER_S,
        audience=min(UPDATE_SENDERS, len(addresses)),
        news_ms=news_ms,
        loads=LOADS_PER_MESSAGE,
        cell_tellers=CELL_DEMAND_SENDERS,
        levels=round(LEVELS_PER_S * LOADS_PER_MESSAGE * news_ms / 1000),
    )
    config_path = cluster.path / "peers.json"
    config_path.write_text(json.dumps(dataclasses.asdict(config)))
    cluster.launch("peers", "-m", "bench.peers", str(config_path), cwd=ROOT)
    processes.wait_until(
        "the peers are listening", lambda: "listening" in cluster.log("peers")
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


def _table_rows() -> list[str]:
    rows = ["kind,name,token_sha256,max_in_flight"]
    rows.extend(
        f"workspace,workspace-{n},{n:064x},200" for n in range(WORKSPACES)
    )
    rows.extend(f"model,model-{n},," for n in range(MODELS))
    return rows


def _loopback_bytes() -> int:
    """Returns the total bytes received on the loopback interface."""
    text = pathlib.Path("/proc/net/dev").read_text()
    line = next(row for row in text.splitlines() if row.startswith("    lo:"))
    return int(line.split()[1])


def _resident_mb(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(row for row in text.splitlines() if row.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


__all__ = ["main"]
