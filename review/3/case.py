"""Streams are not forwarded once their route leads to another service."""

from __future__ import annotations

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import deployment as deployments  # noqa: E402
import replica as replicas  # noqa: E402

# Clients abandon a stream after the longest of 2 s, four times the objective
# and eight times the longest pause: of 250 ms each here.
GAP_S = 2.0
# GONE: still at work so long after the close; allowed for a part of them.
STILL_S = 0.5
ALLOWED_PART = 0.25
TIMEOUT_MS = 6000
EVENTS, EVENT_GAP_S = 40, 0.1
LENGTH_S = EVENTS * EVENT_GAP_S
STREAMS, PER_S = 150, 6


async def play(deployment) -> list[str]:
    record = deployment.record
    replicas_of_both = [
        replicas.Replica(
            f"i-e{n}", service=deployments.ENGINES, model=deployments.MODEL,
            events=EVENTS, work_s=EVENT_GAP_S, note=record.note,
        )
        for n in (1, 2, 3)
    ] + [
        replicas.Replica(
            f"i-s{n}", service=deployments.SERVICE, streams=True,
            events=EVENTS, work_s=EVENT_GAP_S, note=record.note,
        )
        for n in (1, 2, 3)
    ]
    await deployment.start(replicas_of_both, daemons=3)
    deployment.store.put("op", "config", config(2, deployments.ENGINES))
    await asyncio.sleep(4)
    calls = []
    for number in range(STREAMS):
        if number == STREAMS // 3 and deployments.has_trouble():
            # The operator moves the route to the other service.
            deployment.store.put(
                "op", "config", config(3, deployments.SERVICE)
            )
            record.note("config", "route query at", deployments.SERVICE)
        calls.append(
            asyncio.create_task(
                deployment.call(
                    "query", f"q{number}", deployment.daemons[number % 3],
                    deadline_ms=TIMEOUT_MS, gap_s=GAP_S,
                )
            )
        )
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*calls)
    await asyncio.sleep(LENGTH_S)
    return verdict(record)


def config(version: int, service: str) -> dict:
    """Returns a version of the configuration, with the service of a route."""
    config = deployments.config(version)
    for route in config["routes"]:
        if route["name"] == "r-query":
            route["service"] = service
            route["timeout-ms"] = TIMEOUT_MS
    return config


def verdict(record) -> list[str]:
    """GONE, for the streams that would have lasted so long."""
    ended_s = {}
    for kind in ("completed", "dropped"):
        for at_s, words in record.all(kind):
            ended_s[words[1]] = at_s
    ran_s = {words[1]: at_s for at_s, words in record.all("ran")}
    left = {words[1]: at_s for at_s, words in record.all("left")}
    long = [
        name for name, at_s in left.items()
        if name in ran_s and ran_s[name] + LENGTH_S > at_s + STILL_S
    ]
    still = [n for n in long if ended_s.get(n, 1e9) > left[n] + STILL_S]
    record.note("left streams", len(long), "still at work", len(still))
    if len(still) > ALLOWED_PART * len(long):
        return [
            f"GONE: of {len(long)} streams whose clients had left, replicas"
            f" were still at work on {len(still)} half a second later"
        ]
    return []


if __name__ == "__main__":
    deployments.run_case(pathlib.Path(__file__).resolve(), play)
