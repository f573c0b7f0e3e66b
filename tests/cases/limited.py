"""Limits that servers name for all daemons together, with real processes."""

from __future__ import annotations

import asyncio
import time

import aiohttp

from cluster.platform import Platform
from standins.replica import Replica

LIMIT_PER_S = 4.0
# What operators allow in any such window: one and a half times the limit, and
# five requests.
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
# From then on the limit holds at daemons that have passed on an answer.
SETTLED_S = 3.0
TRAFFIC_S = 9.0
REQUESTS_PER_S = 60


async def _traffic(made: Platform, name: str, *, seconds: float) -> list[int]:
    """Sends requests to all daemons in turn; returns the statuses."""
    statuses: list[int] = []

    async def ask(number: int) -> None:
        try:
            got = await made.call(
                name,
                f"r{number}",
                daemon=number % len(made.fields),
                body=b"%d" % number,
                headers={"X-Godwittack-Prefix-Hash": f"{number:x}:100"},
            )
            statuses.append(got[0])
        except aiohttp.ClientError:
            statuses.append(0)

    tasks = []
    for number in range(round(seconds * REQUESTS_PER_S)):
        tasks.append(asyncio.create_task(ask(number)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    return statuses


def _most_in_window(replica: Replica, *, since_s: float) -> int:
    times = [ran.at_s for ran in replica.ran if ran.at_s >= since_s]
    return max(
        (
            sum(start <= at < start + WINDOW_S for at in times)
            for start in times
        ),
        default=0,
    )


async def _limited(name: str, limited: str, other: str) -> None:
    async with Platform(daemons=3) as made:
        await _traffic(made, name, seconds=1)
        made.replicas[limited].limit_header = str(LIMIT_PER_S)
        named_s = time.monotonic()
        statuses = await _traffic(made, name, seconds=TRAFFIC_S)
        settled_s = named_s + SETTLED_S
        most = _most_in_window(made.replicas[limited], since_s=settled_s)
        assert most <= ALLOWED, (most, len(made.replicas[other].ran))
        assert most >= LIMIT_PER_S * WINDOW_S / 2, most
        assert statuses.count(200) == len(statuses), statuses
        made.replicas[limited].limit_header = ""
        await _traffic(made, name, seconds=4)
        lifted = _most_in_window(
            made.replicas[limited], since_s=time.monotonic() - 1
        )
        assert lifted > 1.5 * LIMIT_PER_S, lifted
        assert made.replicas[other].ran


async def a_limit_of_an_engine_holds_over_all_daemons() -> None:
    """Guards against an engine in need that gets what each daemon likes."""
    await _limited("long", "i-e1", "i-e2")


async def a_limit_of_a_plain_server_holds_over_all_daemons() -> None:
    """Guards against a service in need that gets what each daemon likes."""
    await _limited("release", "i-s1", "i-s2")
