"""Limits that servers advertise to all daemons, with real processes."""

from __future__ import annotations

import asyncio
import time

import aiohttp

from cluster.platform import Platform
from standins.replica import Replica

LIMIT_PER_S = 4.0
# Operators allow one and a half times the limit and five more requests in any
# such window.
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
# Time after which the limit holds at every daemon that has relayed an answer.
PROPAGATION_S = 3.0
TRAFFIC_S = 9.0
REQUESTS_PER_S = 60


async def _traffic(
    platform: Platform, name: str, *, seconds: float
) -> list[int]:
    """Sends requests to all daemons in turn; returns the statuses."""
    statuses: list[int] = []

    async def ask(number: int) -> None:
        try:
            result = await platform.call(
                name,
                f"r{number}",
                daemon=number % len(platform.fields),
                body=b"%d" % number,
                headers={"X-Godwittack-Prefix-Hash": f"{number:x}:100"},
            )
            statuses.append(result[0])
        except aiohttp.ClientError:
            statuses.append(0)

    tasks = []
    for number in range(round(seconds * REQUESTS_PER_S)):
        tasks.append(asyncio.create_task(ask(number)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    return statuses


def _max_in_window(replica: Replica, *, since_s: float) -> int:
    times_s = [ran.at_s for ran in replica.ran if ran.at_s >= since_s]
    return max(
        (
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
            for start_s in times_s
        ),
        default=0,
    )


async def _check_limit(name: str, limited: str, other: str) -> None:
    async with Platform(daemons=3) as platform:
        await _traffic(platform, name, seconds=1)
        platform.replicas[limited].limit_header = str(LIMIT_PER_S)
        limited_s = time.monotonic()
        statuses = await _traffic(platform, name, seconds=TRAFFIC_S)
        settled_s = limited_s + PROPAGATION_S
        max_count = _max_in_window(
            platform.replicas[limited], since_s=settled_s
        )
        assert max_count <= MAX_IN_WINDOW, (
            max_count,
            len(platform.replicas[other].ran),
        )
        assert max_count >= LIMIT_PER_S * WINDOW_S / 2, max_count
        assert statuses.count(200) == len(statuses), statuses
        platform.replicas[limited].limit_header = ""
        await _traffic(platform, name, seconds=4)
        max_after_lift = _max_in_window(
            platform.replicas[limited], since_s=time.monotonic() - 1
        )
        assert max_after_lift > 1.5 * LIMIT_PER_S, max_after_lift
        assert platform.replicas[other].ran


async def a_limit_of_an_engine_holds_over_all_daemons() -> None:
    """Guards against daemons that each use the whole limit of an engine."""
    await _check_limit("long", "i-e1", "i-e2")


async def a_limit_of_a_plain_server_holds_over_all_daemons() -> None:
    """Guards against daemons that each use the whole limit of a server."""
    await _check_limit("release", "i-s1", "i-s2")
