"""Sessions of calls that run at most once, scripted or random by seed."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from sim import world as worlds

CALLERS = 4
SESSION_MS = 6_000
SETTLE_MS = 20_000


@dataclasses.dataclass
class Session:
    """A finished session.

    Attributes:
        killed: Whether a daemon was killed, so that its claim may remain.
        first_call_ms: How long the first caller waited.
    """

    seed: int
    world: worlds.World
    keys: list[str]
    killed: bool = False
    first_call_ms: int = 0


async def random_session(seed: int) -> Session:
    """Plays callers of one key, with faults at random times."""
    world = worlds.World(seed=seed)
    session = Session(seed, world, ["claim-1"])
    rng = random.Random(seed)
    _choose_faults(world, rng)
    callers = [
        world.spawn(_caller(session, random.Random(f"{seed}/{number}")))
        for number in range(CALLERS)
    ]
    disturbances = [
        world.spawn(_inject_faults(session, random.Random(f"{seed}/t{number}")))
        for number in range(2)
    ]
    await asyncio.wait([*callers, *disturbances], timeout=SESSION_MS / 1000 * 4)
    await _end_faults(world)
    last = world.spawn(world.alive()[0].call("claim-1"))
    await asyncio.wait([last], timeout=SETTLE_MS / 1000)
    return session


async def paused_holder(key: str, *, before: str) -> Session:
    """Pauses a daemon for 10 minutes after its claim was written.

    Args:
        key: Idempotency key of the calls.
        before: `decision`: the claim's reply is not yet read; `sending`: the
            dispatch is decided but not yet sent.
    """
    world = worlds.World(seed=1, daemons=2)
    first, second = world.daemons
    if before == "decision":
        world.table.on_write = first.gate.pause
    else:
        first.backend.on_send = first.gate.pause
    call = world.spawn(first.call(key))
    await asyncio.sleep(600)
    assert world.table.rows
    assert world.runs(key) == 0
    await second.call(key)
    first.gate.resume()
    world.table.on_write = first.backend.on_send = lambda: None
    await asyncio.wait([call], timeout=30)
    await asyncio.sleep(SETTLE_MS / 1000)
    return Session(1, world, [key])


async def one_fault(key: str, fault: str) -> Session:
    """Makes a call under a fault of the table service, then one without."""
    world = worlds.World(seed=1, daemons=2)
    session = Session(1, world, [key])
    faults = world.table.faults
    if fault == "down":
        faults.down = True
    else:
        setattr(faults, fault, 1.0)
    started_ms = world.clock.now_ms()
    call = world.spawn(world.daemons[0].call(key))
    await asyncio.sleep(0.02)
    if fault == "lose_reply":
        faults.lose_reply = 0.0
    await asyncio.wait([call])
    session.first_call_ms = world.clock.now_ms() - started_ms
    await _end_faults(world)
    await world.daemons[1].call(key)
    return session


def _choose_faults(world: worlds.World, rng: random.Random) -> None:
    probability = rng.choice([0.0, 0.1, 0.3])
    world.table.faults.lose_request = rng.choice([0.0, probability])
    world.table.faults.lose_reply = rng.choice([0.0, probability])
    world.table.faults.late_apply = rng.choice([0.0, probability])
    for service in world.services.values():
        service.faults.refuse_connection = rng.choice([0.0, probability])
        service.faults.lose_request = rng.choice([0.0, probability])
        service.faults.lose_answer = rng.choice([0.0, probability])
        service.faults.work_ms = rng.choice([(5, 60), (200, 2_000)])


async def _caller(session: Session, rng: random.Random) -> None:
    """Sends the key up to four times, until it gets an answer."""
    for _ in range(4):
        await asyncio.sleep(rng.uniform(0, 0.8))
        daemon = rng.choice(session.world.alive())
        call = session.world.spawn(daemon.call("claim-1"))
        # The caller times out if its daemon is killed or paused.
        done, _ = await asyncio.wait([call], timeout=rng.uniform(0.3, 6))
        if done and call.result().outcome == "answer":
            return


async def _inject_faults(session: Session, rng: random.Random) -> None:
    world = session.world
    for _ in range(rng.randint(0, 3)):
        await asyncio.sleep(rng.uniform(0, 1.5))
        daemon = rng.choice(world.alive())
        match rng.choice(["kill", "pause", "outage"]):
            case "kill":
                session.killed = True
                await world.restart(daemon)
            case "pause":
                daemon.gate.pause()
                await asyncio.sleep(rng.uniform(0.1, 3))
                daemon.gate.resume()
            case "outage":
                world.table.faults.down = True
                await asyncio.sleep(rng.uniform(0.1, 3))
                world.table.faults.down = False


async def _end_faults(world: worlds.World) -> None:
    """Ends all faults and waits until pending work has finished."""
    world.table.faults.down = False
    world.table.faults.lose_request = 0.0
    world.table.faults.lose_reply = 0.0
    world.table.faults.late_apply = 0.0
    for daemon in world.daemons:
        daemon.gate.resume()
    for service in world.services.values():
        service.faults.refuse_connection = 0.0
        service.faults.lose_request = 0.0
        service.faults.lose_answer = 0.0
    await asyncio.sleep(SETTLE_MS / 1000)
