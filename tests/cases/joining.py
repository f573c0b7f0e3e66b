"""Daemons that start while others run, on virtual time."""

from __future__ import annotations

import asyncio

from sim import fleet as fleets
from sim import loop

PREPARES_S = 4.0
# Several probe periods of 500 ms.
KNOWN_S = 2.0


def a_daemon_that_does_not_listen_yet_is_not_advertised():
    """`where` must not name a daemon that does not accept callers yet.

    A daemon's own probes carry no sender until it listens to callers. The
    others query seeds that they don't know for their identity, and got it at
    once: with a start that took 4 s longer, `where` of the other daemon named
    it from 1.5 s on, and callers' connections were refused until it listened at
    5.3 s. Probes of it failed meanwhile, so that it was suspected as well.
    """
    loop.run(_start_slowly())


async def _start_slowly() -> None:
    fleet = fleets.Fleet(seed=1, size=3)
    slow = fleet.daemons[2]
    announce = slow.gossiper.announce
    slow.gossiper.announce = lambda: None
    advertised = set()
    for _ in range(int(PREPARES_S / fleets.SAMPLE_S)):
        await asyncio.sleep(fleets.SAMPLE_S)
        advertised.update(_advertised(fleet.daemons[:2]))
    assert advertised == {"d0@1", "d1@1"}, advertised
    announce()
    await asyncio.sleep(KNOWN_S)
    for daemon in fleet.daemons:
        assert _advertised([daemon]) == {"d0@1", "d1@1", "d2@1"}, daemon.name


def _advertised(daemons: list[fleets.FleetDaemon]) -> set[str]:
    return {
        member.member_id
        for daemon in daemons
        for member in daemon.gossiper.members.serving()
    }
