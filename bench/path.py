"""`scripts/bench.sh path`: what a daemon adds, with real processes."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import pathlib
import sys
import time

import aiohttp

TESTS = pathlib.Path(__file__).resolve().parent.parent / "tests"
sys.path.insert(0, str(TESTS))

from bench import figures  # noqa: E402
from cluster import processes  # noqa: E402 - found below tests/ only.

DAEMONS = 6
ENGINES = 6
CALLS = 400
FAST_STREAMS = 8
FAST_TOKENS = 4_000
OPEN_STREAMS = 1_000
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def main(words: list[str]) -> int:
    """Measures added latency, frames a core and memory a stream."""
    parser = argparse.ArgumentParser(prog="bench path")
    parser.add_argument("--json")
    asked = parser.parse_args(words)
    cluster = processes.Cluster()
    try:
        names = _start(cluster)
        told = {
            **asyncio.run(_latency(cluster)),
            **asyncio.run(_frames(cluster)),
            **asyncio.run(_memory(cluster)),
            **_idle(cluster, names),
        }
    finally:
        cluster.close()
    for name, value in told.items():
        print(f"{name:36s} {value:12.2f}")
    if asked.json:
        pathlib.Path(asked.json).write_text(json.dumps(told, indent=1))
    return 0


def _start(cluster: processes.Cluster) -> list[str]:
    cluster.start_platform()
    for number in range(ENGINES):
        cluster.start_engine(f"engine-{number}", "rulebook", "--slots", "4000")
    cluster.start_service("portal-1", "portal", "--work-ms", "0")
    names = [f"entry-{n}" for n in range(DAEMONS)]
    cluster.start_daemons(*names)
    done = cluster.command(
        "table",
        "set",
        "workspace",
        "desk",
        "max_in_flight=100000",
        "max_requests_per_s=100000",
        "deadline_ms=60000",
        "--why",
        "a measurement",
    )
    if done.returncode:
        raise processes.StepError(done.stderr)
    for name in names:
        cluster.wait_ready(name)
    return names


async def _latency(cluster: processes.Cluster) -> dict[str, float]:
    """Compares a plain read with the same read through a daemon."""
    direct = cluster.url("portal-1", "/ping")
    routed = cluster.url("entry-0", "/svc/portal/ping")
    headers = {"authorization": f"Bearer {cluster.token('desk')}"}
    took: dict[str, list[float]] = {direct: [], routed: []}
    async with aiohttp.ClientSession(headers=headers) as session:
        for turn in range(CALLS):
            # In turns, so that both see the same machine.
            for url in (direct, routed):
                started = time.perf_counter()
                async with session.get(url) as response:
                    await response.read()
                if turn >= 50:
                    took[url].append((time.perf_counter() - started) * 1000)
    one, other = sorted(took[direct]), sorted(took[routed])
    return {
        "direct_p50_ms": figures.quantile(one, 0.5),
        "direct_p99_ms": figures.quantile(one, 0.99),
        "added_p50_ms": figures.quantile(other, 0.5)
        - figures.quantile(one, 0.5),
        "added_p99_ms": figures.quantile(other, 0.99)
        - figures.quantile(one, 0.99),
    }


async def _frames(cluster: processes.Cluster) -> dict[str, float]:
    """Relays fast streams; counts frames a second of daemon's core."""
    for number in range(ENGINES):
        cluster.fault(f"engine-{number}", "fast")
    pid = cluster.processes["entry-0"].pid
    before = _cpu_s(pid)
    async with aiohttp.ClientSession() as session:
        counts = await asyncio.gather(
            *(
                _read(session, cluster, f"fast {n}", FAST_TOKENS)
                for n in range(FAST_STREAMS)
            )
        )
    used_s = _cpu_s(pid) - before
    for number in range(ENGINES):
        cluster.fault(f"engine-{number}", "fast", 0)
    return {
        "frames_relayed": float(sum(counts)),
        "frames_per_core_second": sum(counts) / used_s,
    }


async def _memory(cluster: processes.Cluster) -> dict[str, float]:
    """Opens many slow streams through one daemon."""
    pid = cluster.processes["entry-0"].pid
    before = _resident_kb(pid)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        started = time.perf_counter()
        jobs = [
            asyncio.create_task(_read(session, cluster, f"open {n}", 600))
            for n in range(OPEN_STREAMS)
        ]
        await asyncio.sleep(4)
        grown_kb = _resident_kb(pid) - before
        cpu_before = _cpu_s(pid)
        await asyncio.sleep(1)
        busy = _cpu_s(pid) - cpu_before
        counts = await asyncio.gather(*jobs)
        took_s = time.perf_counter() - started
    return {
        "open_streams": float(OPEN_STREAMS),
        "memory_kb_a_stream": grown_kb / OPEN_STREAMS,
        "daemon_core_share_at_that": busy,
        "streams_whole": float(sum(count == 601 for count in counts)),
        "all_done_after_s": took_s,
    }


def _idle(cluster: processes.Cluster, names: list[str]) -> dict[str, float]:
    """Watches the daemons without callers: the cost of control."""
    pids = [cluster.processes[name].pid for name in names]
    before = [_cpu_s(pid) for pid in pids]
    time.sleep(10)
    used = [_cpu_s(pid) - b for pid, b in zip(pids, before, strict=True)]
    return {
        "control_core_percent": 100 * sum(used) / len(used) / 10,
        "resident_mb": sum(_resident_kb(p) for p in pids) / len(pids) / 1000,
    }


async def _read(
    session: aiohttp.ClientSession,
    cluster: processes.Cluster,
    question: str,
    tokens: int,
) -> int:
    body = {
        "model": "rulebook",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": question}],
    }
    headers = {"authorization": f"Bearer {cluster.token('desk')}"}
    url = cluster.url("entry-0", "/v1/chat/completions")
    count = 0
    timeout = aiohttp.ClientTimeout(total=120)
    async with session.post(
        url, json=body, headers=headers, timeout=timeout
    ) as response:
        async for data in response.content.iter_any():
            count += data.count(b"\n\n")
    return count


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    parts = fields.split()
    return (int(parts[11]) + int(parts[12])) / TICKS_PER_S


def _resident_kb(pid: int) -> float:
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1000


__all__ = ["main"]
