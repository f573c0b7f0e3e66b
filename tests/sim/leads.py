"""Leads of one model on virtual time: leases, pauses and late orders."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from godwittack.lead import lease, rollout
from sim import fakes, loop

STEP_S = 0.5
LOAD_S = 1.2


@dataclasses.dataclass
class FakeReplica:
    """One replica: what it runs, and when it loads."""

    name: str
    version: str = "1"
    busy: int = 0
    loading: bool = False
    draining_until: float = 0.0


class LeadWorld:
    """Replicas, and daemons that believe to lead them."""

    def __init__(self, *, seed: int, replicas: int, leads: int) -> None:
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.clock = loop.LoopClock(self.loop)
        self.table = fakes.TableFake(self.rng)
        self.wanted = "1"
        self.replicas = [FakeReplica(f"r{n}") for n in range(replicas)]
        self.wrong: list[str] = []
        self.both_valid = 0
        self._tasks: set[asyncio.Task] = set()
        self.leads = [FakeLead(self, f"d{n}") for n in range(leads)]
        self.spawn(self._traffic())
        self.spawn(self._look())

    def spawn(self, job) -> asyncio.Task:
        """Starts a task."""
        task = self.loop.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def load(self, replica: FakeReplica, version: str) -> None:
        """Carries out an order, whoever gave it."""
        if replica.busy:
            self.wrong.append(f"{replica.name} cut {replica.busy} requests")
        replica.loading = True
        await asyncio.sleep(LOAD_S)
        replica.version = version
        replica.loading = False

    async def _traffic(self) -> None:
        """Sends work to replicas that are not drained."""
        while True:
            await asyncio.sleep(0.05)
            for replica in self.replicas:
                drained = self.loop.time() < replica.draining_until
                if not drained and self.rng.random() < 0.3:
                    self.spawn(self._request(replica))

    async def _request(self, replica: FakeReplica) -> None:
        replica.busy += 1
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        replica.busy -= 1

    async def _look(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            loading = sum(r.loading for r in self.replicas)
            if loading > rollout.LEAST_LOADING:
                self.wrong.append(f"{loading} load at once")
            valid = sum(lead.valid_now() for lead in self.leads)
            self.both_valid += valid > 1


class FakeLead:
    """One daemon that leads the model; may be paused and killed."""

    def __init__(self, world: LeadWorld, name: str) -> None:
        self.world = world
        self.gate = fakes.Gate()
        self.paused = False
        self.lease = lease.Lease(
            service=fakes.PausableTable(world.table, self.gate, world),
            name="rulebook",
            holder=name,
            policy=lease.LeasePolicy(),
            clock=world.clock,
        )
        self.rollout = rollout.Rollout()
        self.task = world.spawn(self._run())

    def valid_now(self) -> bool:
        """Returns whether it would act as holder now."""
        return not self.paused and self.lease.valid()

    def pause(self) -> None:
        """Stops it."""
        self.paused = True
        self.gate.pause()

    def resume(self) -> None:
        """Lets it go on."""
        self.paused = False
        self.gate.resume()

    async def _run(self) -> None:
        while True:
            await self.gate.passed()
            await self.lease.step()
            if self.lease.valid():
                await self._roll()
            await asyncio.sleep(STEP_S)

    async def _roll(self) -> None:
        world = self.world
        wanted = world.wanted
        known = [
            rollout.Replica(
                server_id=r.name,
                weights_version=r.version,
                busy=r.busy + r.loading,
            )
            for r in world.replicas
        ]
        decision = self.rollout.decide(
            wanted=wanted, replicas=known, now_ms=world.clock.now_ms()
        )
        by_name = {r.name: r for r in world.replicas}
        for name in decision.draining:
            by_name[name].draining_until = world.loop.time() + 3.0
        for name in decision.load:
            if not self.lease.settled():
                continue
            self.rollout.ordered(
                name, wanted=wanted, now_ms=world.clock.now_ms()
            )
            # A pause may fall between the check above and the sending.
            await self.gate.passed()
            world.spawn(world.load(by_name[name], wanted))


async def random_session(seed: int) -> LeadWorld:
    """Two daemons lead; they are paused and the service fails at random."""
    world = LeadWorld(seed=seed, replicas=5, leads=2)
    rng = random.Random(seed)
    await asyncio.sleep(6)
    world.wanted = "2"
    for _ in range(6):
        lead = rng.choice(world.leads)
        await asyncio.sleep(rng.uniform(0.2, 3))
        match rng.randrange(3):
            case 0:
                lead.pause()
                await asyncio.sleep(rng.uniform(0.5, 12))
                lead.resume()
            case 1:
                world.table.faults.down = True
                await asyncio.sleep(rng.uniform(0.5, 8))
                world.table.faults.down = False
            case 2:
                world.table.faults.lose_reply = 0.3
    world.table.faults.lose_reply = 0.0
    world.wanted = "3"
    await asyncio.sleep(90)
    return world
