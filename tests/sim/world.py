"""A few daemons in one process, their callers and what these were told."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from godwittack.backend import protocol as backend
from godwittack.claim import store as claim_store
from godwittack.core import effects, inputs, policy, router, server_inputs, work
from godwittack.daemon import runtime
from godwittack.table import model
from sim import fakes, loop

TICK_MS = 50
FOREVER_MS = 1 << 50


class EventList:
    """Observer that keeps events."""

    def __init__(self) -> None:
        self.events: list[effects.Event] = []

    def record(self, event: effects.Event) -> None:
        """Keeps one event."""
        self.events.append(event)


@dataclasses.dataclass
class Told:
    """What one caller asked and was told.

    Attributes:
        final: The effect that ended its wait; None where it got none.
    """

    request_id: str
    key: str
    final: effects.Effect | None = None

    @property
    def outcome(self) -> str:
        """Returns the outcome of a refusal, `answer`, or `nothing`."""
        if isinstance(self.final, effects.Refuse):
            return self.final.outcome.value
        if isinstance(self.final, effects.Reply):
            return "answer"
        return "nothing"


class SimDaemon:
    """One daemon: the real core, runtime and claim store on fakes."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.gate = fakes.Gate()
        self.observed = EventList()
        core = router.Router.from_config(
            daemon=name, table=world.table_rows, policy=world.policy
        )
        self.backend = fakes.ServiceBackend(world.services, self.gate, world)
        self.runtime = runtime.Runtime(
            core=core,
            backend_client=self.backend,
            claims=claim_store.ClaimStore(
                fakes.PausableTable(world.table, self.gate, world)
            ),
            event_observer=self.observed,
            clock=world.clock,
        )
        self.submit(inputs.RightToServe(world.clock.now_ms(), FOREVER_MS))
        for server in world.services:
            self.submit(
                server_inputs.ServerListed(
                    at_ms=world.clock.now_ms(),
                    server_id=server,
                    address=server,
                    target="portal",
                )
            )
        self.ticking = world.spawn(self._tick())
        self.dead = False
        self.deadline_ms = 5_000

    def submit(self, told: inputs.Input) -> None:
        """Hands an input to the core."""
        self.runtime.submit(told)

    async def kill(self) -> None:
        """Ends the daemon; what it has sent goes on without it."""
        self.dead = True
        self.ticking.cancel()
        self.runtime.submit = lambda told: None
        await self.runtime.close()

    async def call(self, key: str, *, body: bytes = b"form") -> Told:
        """Makes one call that may not be repeated."""
        request_id = self.runtime.next_request_id()
        told = Told(request_id, key)
        self.world.told.append(told)
        await self.gate.passed()
        if self.dead:
            return told
        caller = self.runtime.open_caller(
            request_id,
            backend.Call(
                method="POST",
                path="/claims",
                headers=(work.Header("idempotency-key", key),),
                body=body,
            ),
        )
        self.submit(
            inputs.RequestArrived(
                self.world.clock.now_ms(),
                request_id,
                work.Work(
                    kind=work.WorkKind.PLAIN,
                    token_sha256=self.world.token,
                    target="portal",
                    idempotency_key=key,
                    fingerprint=body.decode(),
                    deadline_ms=self.deadline_ms,
                ),
            )
        )
        told.final = await caller.get()
        return told

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_MS / 1000)
            await self.gate.passed()
            self.submit(inputs.Tick(self.world.clock.now_ms()))


class World:
    """Everything in one session."""

    def __init__(self, *, seed: int, daemons: int = 3) -> None:
        self.rng = random.Random(seed)
        running = asyncio.get_running_loop()
        self.clock = loop.LoopClock(running)
        self.policy = policy.Policy()
        self.table = fakes.TableFake(self.rng)
        self.services = {
            name: fakes.ServiceFake(self.rng) for name in ("svc-1", "svc-2")
        }
        self.token = "0" * 64
        self.table_rows = model.Table.from_rows(
            version=1,
            rows=[
                model.WorkspaceRow(name="desk", token_sha256=self.token),
                model.ServiceRow(name="portal"),
            ],
        )
        self.told: list[Told] = []
        self._tasks: set[asyncio.Task] = set()
        self.daemons = [
            SimDaemon(self, f"d{number}@1") for number in range(daemons)
        ]
        self.tell_members()

    def spawn(self, job) -> asyncio.Task:
        """Starts a task that no daemon's end cancels."""
        task = asyncio.get_running_loop().create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def alive(self) -> list[SimDaemon]:
        """Returns the daemons not killed."""
        return [daemon for daemon in self.daemons if not daemon.dead]

    def tell_members(self) -> None:
        """Tells every daemon who is alive."""
        names = tuple(sorted(daemon.name for daemon in self.alive()))
        for daemon in self.alive():
            daemon.submit(inputs.MembersChanged(self.clock.now_ms(), names))

    async def restart(self, daemon: SimDaemon) -> SimDaemon:
        """Kills a daemon and starts its successor."""
        await daemon.kill()
        name, _, number = daemon.name.partition("@")
        successor = SimDaemon(self, f"{name}@{int(number) + 1}")
        self.daemons.append(successor)
        self.tell_members()
        return successor

    def runs(self, key: str) -> int:
        """Returns how often a key's call ran, over all services."""
        return sum(s.runs_by_key[key] for s in self.services.values())

    def ran(self, request_id: str) -> bool:
        """Returns whether this request's own dispatch ran."""
        return any(
            s.runs_by_request[request_id] for s in self.services.values()
        )
