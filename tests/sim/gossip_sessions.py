"""Sessions of gossiping daemons, scripted or random by seed."""

from __future__ import annotations

import asyncio
import random

from sim import fleet as fleets

SETTLE_S = 20
STEPS = 14


async def random_session(seed: int) -> fleets.Fleet:
    """Plays random changes, partitions, pauses, restarts and outages."""
    rng = random.Random(seed)
    fleet = fleets.Fleet(seed=seed, size=rng.choice([3, 5, 6, 9]))
    await asyncio.sleep(3)
    await fleet.change(fleet.daemons[0], 1)
    for number in range(STEPS):
        _inject_fault(fleet, rng)
        changer = rng.choice([d for d in fleet.alive() if not d.paused])
        fleet.spawn(fleet.change(changer, 10 + number))
        await asyncio.sleep(rng.choice([0.5, 2, 6, 12, 70]))
        if rng.random() < 0.4:
            fleet.heal()
    fleet.heal()
    await asyncio.sleep(SETTLE_S)
    await fleet.change(fleet.alive()[0], 1_000)
    await asyncio.sleep(SETTLE_S)
    return fleet


async def scripted(name: str) -> fleets.Fleet:
    """Plays the sequence that a feature names."""
    fleet = fleets.Fleet(seed=7, size=6, expected=_EXPECTED_DAEMONS.get(name))
    await asyncio.sleep(3)
    await fleet.change(fleet.daemons[0], 1)
    await _SCRIPTS[name](fleet)
    return fleet


def _inject_fault(fleet: fleets.Fleet, rng: random.Random) -> None:
    running = [d for d in fleet.alive() if not d.paused]
    chosen = rng.choice(running)
    match rng.randrange(9):
        case 0 | 1:
            fleet.partition(rng.sample(fleet.alive(), len(fleet.seeds) // 2))
        case 2:
            for daemon in rng.sample(running, len(running) // 2):
                daemon.table.is_cut = True
        case 3 if len(running) > 1:
            chosen.pause()
        case 4:
            fleet.restart(chosen)
        case 5:
            fleet.table.faults.down = True
            fleet.objects.down = rng.random() < 0.5
        case 6:
            fleet.table.faults.lose_reply = 0.5
        case 7:
            fleet.partition([chosen])
            chosen.table.is_cut = True
        case 8:
            # One direction only: it receives nothing from the others.
            other = rng.choice(fleet.seeds)
            for address in fleet.seeds:
                if address != other:
                    fleet.cut_links.add((address, other))


async def _cut_from_service(fleet: fleets.Fleet) -> None:
    last = fleet.daemons[-1]
    last.table.is_cut = True
    await asyncio.sleep(10)
    await fleet.change(fleet.daemons[0], 2)
    assert last.version == 2 and last.may_serve


async def _cut_from_peers(fleet: fleets.Fleet) -> None:
    last = fleet.daemons[-1]
    fleet.partition([last])
    await asyncio.sleep(10)
    await fleet.change(fleet.daemons[0], 2)
    await asyncio.sleep(2)
    assert last.version == 2 and last.may_serve


async def _cut_from_both(fleet: fleets.Fleet) -> None:
    last = fleet.daemons[-1]
    fleet.partition([last])
    last.table.is_cut = True
    await fleet.change(fleet.daemons[0], 2)
    await asyncio.sleep(120)
    assert last.version == 1 and not last.may_serve
    fleet.heal()
    await asyncio.sleep(3)
    assert last.version == 2 and last.may_serve


async def _slow_fetch(fleet: fleets.Fleet) -> None:
    """Learns that a newer table exists long before it has fetched it."""
    last = fleet.daemons[-1]
    fleet.partition([last])
    last.table.is_cut = True
    await fleet.change(fleet.daemons[0], 2)
    await asyncio.sleep(20)
    fleet.fetch_delay_s = 0.45
    fleet.cut_links.clear()
    await asyncio.sleep(10)
    assert last.version == 2 and last.may_serve, last.version


async def _replaced(fleet: fleets.Fleet) -> None:
    """Its failure is gossiped to its successor at the same address."""
    lost = fleet.daemons[1]
    lost.kill()
    await asyncio.sleep(8)
    fleet.restart(lost)
    await asyncio.sleep(5)
    result = await fleet.change(fleet.daemons[-1], 2)
    assert not result.ok_value.lapsed, result


async def _half_cut(fleet: fleets.Fleet) -> None:
    """The half that reaches the service changes the table for two minutes."""
    fleet.partition(fleet.daemons[:3])
    for daemon in fleet.daemons[3:]:
        daemon.table.is_cut = True
    await fleet.change(fleet.daemons[0], 2)
    await asyncio.sleep(120)
    fleet.restart(fleet.daemons[4])
    await asyncio.sleep(10)
    await fleet.change(fleet.daemons[0], 3)
    await asyncio.sleep(10)


async def _restart_in_outage(fleet: fleets.Fleet) -> None:
    fleet.table.faults.down = True
    fleet.objects.down = True
    await asyncio.sleep(10)
    fleet.restart(fleet.daemons[2])
    await asyncio.sleep(5)
    assert all(d.version == 1 and d.may_serve for d in fleet.alive())


async def _all_restart(fleet: fleets.Fleet) -> None:
    fleet.table.faults.down = True
    await asyncio.sleep(10)
    for daemon in list(fleet.daemons):
        fleet.restart(daemon)
    await asyncio.sleep(10)
    assert all(d.version == 1 and d.may_serve for d in fleet.alive())


async def _paused(fleet: fleets.Fleet) -> None:
    last = fleet.daemons[-1]
    last.pause()
    result = await fleet.change(fleet.daemons[0], 2)
    assert last.name in result.ok_value.lapsed, result
    await asyncio.sleep(60)
    last.resume()
    assert last.version == 1 and not last.may_serve
    await asyncio.sleep(3)
    assert last.version == 2 and last.may_serve


async def _lagging_reads(fleet: fleets.Fleet) -> None:
    fleet.table.faults.stale_read = 0.5
    for number in range(20):
        await fleet.change(fleet.daemons[number % 3], 100 + number)
        await asyncio.sleep(0.3)


async def _slow_tables(fleet: fleets.Fleet) -> None:
    """A newer table arrives while an older one is fetched from a peer."""
    fleet.fetch_delay_s = 0.45
    for number in range(20):
        fleet.spawn(fleet.change(fleet.daemons[number % 6], 100 + number))
        await asyncio.sleep(0.3)
    await asyncio.sleep(10)


_SCRIPTS = {
    "is killed, counted as dead, and replaced": _replaced,
    "and all others get tables slowly while it changes": _slow_tables,
    "and all others read replicas that lag": _lagging_reads,
    "is cut off from the service but not from peers": _cut_from_service,
    "is cut off from peers but not from the service": _cut_from_peers,
    "is cut off from both": _cut_from_both,
    "is cut off from both and then fetches the table slowly": _slow_fetch,
    "and two others are cut off from service and half the peers": _half_cut,
    "and two others are cut off, named by no settings, for minutes": _half_cut,
    "is restarted while the platform is down": _restart_in_outage,
    "and all others restart while the table service is down": _all_restart,
    "is paused for longer than every time-out": _paused,
}

# Daemons that the settings name, where these are fewer than run.
_EXPECTED_DAEMONS = {
    "and two others are cut off, named by no settings, for minutes": 1,
}
