"""`scripts/bench.sh path`: a daemon's overhead, with real processes."""

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
CALL_COUNT = 400
FAST_STREAMS = 8
FAST_TOKENS = 4_000
OPEN_STREAMS = 1_000
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def main(arguments: list[str]) -> int:
    """Measures added latency, frames per core and memory per stream."""
    parser = argparse.ArgumentParser(prog="bench path")
    parser.add_argument("--json")
    options = parser.parse_args(arguments)
    cluster = processes.Cluster()
    try:
        names = _start(cluster)
        results = {
            **asyncio.run(_measure_latency(cluster)),
            **asyncio.run(_measure_frames(cluster)),
            **asyncio.run(_measure_memory(cluster)),
            **_measure_idle(cluster, names),
        }
    finally:
        cluster.close()
    for name, value in results.items():
        print(f"{name:36s} {value:12.2f}")
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps(results, indent=1))
    return 0


def _start(cluster: processes.Cluster) -> list[str]:
    cluster.start_platform()
    for number in range(ENGINES):
        cluster.start_engine(f"engine-{number}", "rulebook", "--slots", "4000")
    cluster.start_service("portal-1", "portal", "--work-ms", "0")
    names = [f"entry-{n}" for n in range(DAEMONS)]
    cluster.start_daemons(*names)
    result = cluster.command(
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
    if result.returncode:
        raise processes.StepError(result.stderr)
    for name in names:
        cluster.wait_ready(name)
    return names


async def _measure_latency(cluster: processes.Cluster) -> dict[str, float]:
    """Compares a direct request with the same request through a daemon."""
    direct = cluster.url("portal-1", "/ping")
    routed = cluster.url("entry-0", "/svc/portal/ping")
    headers = {"authorization": f"Bearer {cluster.token('desk')}"}
    latencies_ms: dict[str, list[float]] = {direct: [], routed: []}
    async with aiohttp.ClientSession(headers=headers) as session:
        for call in range(CALL_COUNT):
            # Alternates, so that both run under the same machine load.
            for url in (direct, routed):
                started = time.perf_counter()
                async with session.get(url) as response:
                    await response.read()
                if call >= 50:
                    latencies_ms[url].append(
                        (time.perf_counter() - started) * 1000
                    )
    direct_ms, routed_ms = (
        sorted(latencies_ms[direct]),
        sorted(latencies_ms[routed]),
    )
    return {
        "direct_p50_ms": figures.quantile(direct_ms, 0.5),
        "direct_p99_ms": figures.quantile(direct_ms, 0.99),
        "added_p50_ms": figures.quantile(routed_ms, 0.5)
        - figures.quantile(direct_ms, 0.5),
        "added_p99_ms": figures.quantile(routed_ms, 0.99)
        - figures.quantile(direct_ms, 0.99),
    }


async def _measure_frames(cluster: processes.Cluster) -> dict[str, float]:
    """Relays fast streams; counts frames per core second of a daemon."""
    for number in range(ENGINES):
        cluster.fault(f"engine-{number}", "fast")
    pid = cluster.processes["entry-0"].pid
    cpu_s_before = _cpu_s(pid)
    async with aiohttp.ClientSession() as session:
        counts = await asyncio.gather(
            *(
                _read_stream(session, cluster, f"fast {n}", FAST_TOKENS)
                for n in range(FAST_STREAMS)
            )
        )
    used_s = _cpu_s(pid) - cpu_s_before
    for number in range(ENGINES):
        cluster.fault(f"engine-{number}", "fast", 0)
    return {
        "frames_relayed": float(sum(counts)),
        "frames_per_core_second": sum(counts) / used_s,
    }


async def _measure_memory(cluster: processes.Cluster) -> dict[str, float]:
    """Opens many slow streams through one daemon; measures its memory."""
    pid = cluster.processes["entry-0"].pid
    kb_before = _resident_kb(pid)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        started = time.perf_counter()
        jobs = [
            asyncio.create_task(
                _read_stream(session, cluster, f"open {n}", 600)
            )
            for n in range(OPEN_STREAMS)
        ]
        await asyncio.sleep(4)
        grown_kb = _resident_kb(pid) - kb_before
        cpu_s_before = _cpu_s(pid)
        await asyncio.sleep(1)
        used_s = _cpu_s(pid) - cpu_s_before
        counts = await asyncio.gather(*jobs)
        took_s = time.perf_counter() - started
    return {
        "open_streams": float(OPEN_STREAMS),
        "memory_kb_a_stream": grown_kb / OPEN_STREAMS,
        "daemon_core_share_at_that": used_s,
        "streams_whole": float(sum(count == 601 for count in counts)),
        "all_done_after_s": took_s,
    }


def _measure_idle(
    cluster: processes.Cluster, names: list[str]
) -> dict[str, float]:
    """Measures the daemons without callers: the cost of control traffic."""
    pids = [cluster.processes[name].pid for name in names]
    cpu_s_before = [_cpu_s(pid) for pid in pids]
    time.sleep(10)
    used_s = [
        _cpu_s(pid) - cpu_s
        for pid, cpu_s in zip(pids, cpu_s_before, strict=True)
    ]
    return {
        "control_core_percent": 100 * sum(used_s) / len(used_s) / 10,
        "resident_mb": sum(_resident_kb(pid) for pid in pids)
        / len(pids)
        / 1000,
    }


async def _read_stream(
    session: aiohttp.ClientSession,
    cluster: processes.Cluster,
    prompt: str,
    tokens: int,
) -> int:
    body = {
        "model": "rulebook",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    }
    headers = {"authorization": f"Bearer {cluster.token('desk')}"}
    url = cluster.url("entry-0", "/v1/chat/completions")
    frame_count = 0
    timeout = aiohttp.ClientTimeout(total=120)
    async with session.post(
        url, json=body, headers=headers, timeout=timeout
    ) as response:
        async for data in response.content.iter_any():
            frame_count += data.count(b"\n\n")
    return frame_count


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    parts = fields.split()
    return (int(parts[11]) + int(parts[12])) / CLOCK_TICKS_PER_S


def _resident_kb(pid: int) -> float:
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1000


__all__ = ["main"]
