"""`scripts/bench.sh fleet`: gossip of a whole fleet in virtual time.

Every daemon runs its own membership view, gossip and table keeper; only the
calls between them are simulated, with a few milliseconds of delay. Sizes are
those of the serialized messages.
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
IDLE_S = 10
POLL_INTERVAL_S = 0.1
TIMEOUT_S = 120


@dataclasses.dataclass
class FleetFigures:
    """Results for one size of fleet.

    Attributes:
        bytes_a_s: Message bytes per second, sent and received by one daemon.
        messages_a_s: Messages per second, sent and received by one daemon.
        cpu_percent: Processor time of one daemon's gossip, without sockets.
        killed_s: From the kill of a daemon until no other counts it as live.
        frozen_s: The same for a paused daemon.
        one_way_s: The same for a daemon that receives no messages.
        back_s: From the end of a partition until every daemon counts all as
            live.
        false_suspicions: Suspicions of a live, reachable daemon.
        change_s: From an operator's request until it is accepted.
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


def main(arguments: list[str]) -> int:
    """Measures each size and prints the results."""
    parser = argparse.ArgumentParser(prog="bench fleet")
    parser.add_argument("--sizes", type=int, nargs="+", default=[9, 40, 340])
    parser.add_argument("--json")
    options = parser.parse_args(arguments)
    runs = []
    for size in options.sizes:
        results = loop.run(_measure(size))
        runs.append(dataclasses.asdict(results))
        print(" ".join(f"{k}={_format(v)}" for k, v in runs[-1].items()))
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps({"runs": runs}))
    return 0


async def _measure(size: int) -> FleetFigures:
    fleet = fleets.Fleet(seed=1, size=size)
    results = FleetFigures(daemons=size)
    await asyncio.sleep(SETTLE_S)
    await _measure_idle(fleet, results)
    change = await fleet.change(fleet.daemons[0], 1)
    results.change_s = change.ok_value.after_ms / 1000
    results.killed_s = await _detection_s(fleet, lambda victim: victim.kill())
    results.frozen_s = await _detection_s(fleet, lambda victim: victim.pause())
    results.one_way_s = await _detection_s(
        fleet, lambda victim: _block_incoming(fleet, victim)
    )
    fleet.heal()
    await _wait_all_live(fleet)
    fleet.partition(fleet.alive()[: size // 5])
    await asyncio.sleep(30)
    fleet.heal()
    results.back_s = await _wait_all_live(fleet)
    return results


async def _measure_idle(fleet: fleets.Fleet, results: FleetFigures) -> None:
    """Counts messages, processor time and suspicions without faults."""
    traffic_before, cpu_s_before = (
        dataclasses.replace(fleet.traffic),
        time.process_time(),
    )
    for _ in range(round(IDLE_S / POLL_INTERVAL_S)):
        results.false_suspicions += _count_suspicions(fleet)
        await asyncio.sleep(POLL_INTERVAL_S)
    used_s = time.process_time() - cpu_s_before
    # Each message is sent by one daemon and received by another.
    per_daemon_s = 2 / IDLE_S / results.daemons
    results.bytes_a_s = (
        fleet.traffic.size - traffic_before.size
    ) * per_daemon_s
    results.messages_a_s = (
        fleet.traffic.messages - traffic_before.messages
    ) * per_daemon_s
    results.cpu_percent = 100 * used_s / IDLE_S / results.daemons


def _count_suspicions(fleet: fleets.Fleet) -> int:
    return sum(
        row.member.state is not fleets.view.MemberState.ALIVE
        for daemon in fleet.alive()
        for row in daemon.gossiper.members.rows.values()
    )


async def _detection_s(
    fleet: fleets.Fleet, inject_fault: Callable[[fleets.FleetDaemon], None]
) -> float:
    """Applies a fault to a daemon; returns seconds until none lists it live."""
    running = [d for d in fleet.alive() if not d.paused]
    victim = running[len(running) // 2]
    others = [d for d in running if d is not victim]
    inject_fault(victim)
    return await _wait_until(
        fleet,
        lambda: (
            not any(
                member.member_id == victim.name
                for daemon in others
                for member in daemon.gossiper.members.live()
            )
        ),
    )


def _block_incoming(fleet: fleets.Fleet, victim: fleets.FleetDaemon) -> None:
    for address in fleet.seeds:
        fleet.cut_links.add((address, victim.address))


async def _wait_all_live(fleet: fleets.Fleet) -> float:
    count = len(fleet.alive())
    return await _wait_until(
        fleet,
        lambda: all(
            len(daemon.gossiper.members.live()) >= count
            for daemon in fleet.alive()
        ),
    )


async def _wait_until(
    fleet: fleets.Fleet, condition: Callable[[], bool]
) -> float:
    started_ms = fleet.clock.now_ms()
    while not condition():
        waited_s = (fleet.clock.now_ms() - started_ms) / 1000
        if waited_s > TIMEOUT_S:
            return float("inf")
        await asyncio.sleep(POLL_INTERVAL_S)
    return (fleet.clock.now_ms() - started_ms) / 1000


def _format(value: float) -> str:
    return f"{value:.2f}" if isinstance(value, float) else str(value)


__all__ = ["main"]
