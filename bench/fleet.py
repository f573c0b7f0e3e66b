"""`scripts/bench.sh fleet`: the real gossip of a whole fleet, virtual time.

Every daemon runs its own membership view, gossip and table keeper; only the
calls between them are fakes, with a few milliseconds of delay. Sizes are those
of the messages as they would be serialized.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import json
import pathlib
import sys
import time
from typing import TYPE_CHECKING

TESTS = pathlib.Path(__file__).resolve().parent.parent / "tests"
sys.path.insert(0, str(TESTS))

from sim import fleet as fleets  # noqa: E402 - found below tests/ only.
from sim import loop  # noqa: E402

if TYPE_CHECKING:
    from collections.abc import Callable

SETTLE_S = 15
QUIET_S = 10
WATCH_S = 0.1
LIMIT_S = 120


@dataclasses.dataclass
class Measured:
    """What one size of fleet showed.

    Attributes:
        bytes_a_s: Message bytes sent and received by one daemon a second.
        messages_a_s: Messages sent and received by one daemon a second.
        cpu_percent: Processor time of one daemon's gossip, without sockets.
        killed_s: From a kill until no daemon counts it as live.
        frozen_s: The same for a stopped process.
        one_way_s: The same for one that hears nobody.
        back_s: From the end of a partition until all count all as live.
        false_suspicions: Suspicions of a live, reachable daemon.
        change_s: From an operator's request until accepted.
    """

    daemons: int
    bytes_a_s: float = 0.0
    messages_a_s: float = 0.0
    cpu_percent: float = 0.0
    killed_s: float = 0.0
    frozen_s: float = 0.0
    one_way_s: float = 0.0
    back_s: float = 0.0
    false_suspicions: int = 0
    change_s: float = 0.0


def main(words: list[str]) -> int:
    """Measures each size and prints it."""
    parser = argparse.ArgumentParser(prog="bench fleet")
    parser.add_argument("--sizes", type=int, nargs="+", default=[9, 40, 340])
    parser.add_argument("--json")
    asked = parser.parse_args(words)
    runs = []
    for size in asked.sizes:
        told = loop.run(_measure(size))
        runs.append(dataclasses.asdict(told))
        print(" ".join(f"{k}={_shown(v)}" for k, v in runs[-1].items()))
    if asked.json:
        pathlib.Path(asked.json).write_text(json.dumps({"runs": runs}))
    return 0


async def _measure(size: int) -> Measured:
    fleet = fleets.Fleet(seed=1, size=size)
    told = Measured(daemons=size)
    await asyncio.sleep(SETTLE_S)
    await _quiet(fleet, told)
    got = await fleet.change(fleet.daemons[0], 1)
    told.change_s = got.ok_value.after_ms / 1000
    told.killed_s = await _gone(fleet, lambda victim: victim.kill())
    told.frozen_s = await _gone(fleet, lambda victim: victim.pause())
    told.one_way_s = await _gone(fleet, lambda victim: _deafen(fleet, victim))
    fleet.heal()
    await _all_live(fleet)
    fleet.partition(fleet.alive()[: size // 5])
    await asyncio.sleep(30)
    fleet.heal()
    told.back_s = await _all_live(fleet)
    return told


async def _quiet(fleet: fleets.Fleet, told: Measured) -> None:
    """Counts messages, processor time and suspicions without trouble."""
    before, cpu_s = dataclasses.replace(fleet.traffic), time.process_time()
    for _ in range(round(QUIET_S / WATCH_S)):
        told.false_suspicions += _suspicions(fleet)
        await asyncio.sleep(WATCH_S)
    spent_s = time.process_time() - cpu_s
    # Each message is sent by one daemon and received by another.
    each = 2 / QUIET_S / told.daemons
    told.bytes_a_s = (fleet.traffic.size - before.size) * each
    told.messages_a_s = (fleet.traffic.messages - before.messages) * each
    told.cpu_percent = 100 * spent_s / QUIET_S / told.daemons


def _suspicions(fleet: fleets.Fleet) -> int:
    return sum(
        row.member.state is not fleets.view.MemberState.ALIVE
        for daemon in fleet.alive()
        for row in daemon.gossiper.members.rows.values()
    )


async def _gone(
    fleet: fleets.Fleet, end: Callable[[fleets.FleetDaemon], None]
) -> float:
    """Returns seconds until no other daemon counts one as live."""
    running = [d for d in fleet.alive() if not d.paused]
    victim = running[len(running) // 2]
    others = [d for d in running if d is not victim]
    end(victim)
    return await _until(
        fleet,
        lambda: (
            not any(
                member.member_id == victim.name
                for daemon in others
                for member in daemon.gossiper.members.live()
            )
        ),
    )


def _deafen(fleet: fleets.Fleet, victim: fleets.FleetDaemon) -> None:
    for address in fleet.seeds:
        fleet.cut_links.add((address, victim.address))


async def _all_live(fleet: fleets.Fleet) -> float:
    count = len(fleet.alive())
    return await _until(
        fleet,
        lambda: all(
            len(daemon.gossiper.members.live()) >= count
            for daemon in fleet.alive()
        ),
    )


async def _until(fleet: fleets.Fleet, holds: Callable[[], bool]) -> float:
    started_ms = fleet.clock.now_ms()
    while not holds():
        waited_s = (fleet.clock.now_ms() - started_ms) / 1000
        if waited_s > LIMIT_S:
            return float("inf")
        await asyncio.sleep(WATCH_S)
    return (fleet.clock.now_ms() - started_ms) / 1000


def _shown(value: float) -> str:
    return f"{value:.2f}" if isinstance(value, float) else str(value)


__all__ = ["main"]
