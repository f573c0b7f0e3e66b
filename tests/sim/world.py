"""Simulation of a few daemons, plain services and callers in one process."""

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
    """Observer that collects events."""

    def __init__(self) -> None:
        self.events: list[effects.Event] = []

    def record(self, event: effects.Event) -> None:
        """Appends one event."""
        self.events.append(event)


@dataclasses.dataclass
class CallRecord:
    """One call and how it ended.

    Attributes:
        final_effect: Effect that ended the call; None if there was none.
    """

    request_id: str
    key: str
    final_effect: effects.Effect | None = None

    @property
    def outcome(self) -> str:
        """Returns the outcome of a refusal, `answer`, or `nothing`."""
        if isinstance(self.final_effect, effects.Refuse):
            return self.final_effect.outcome.value
        if isinstance(self.final_effect, effects.Reply):
            return "answer"
        return "nothing"


class SimDaemon:
    """One daemon: the real core, runtime and claim store, with fakes below."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.gate = fakes.Gate()
        self.events = EventList()
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
            event_observer=self.events,
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

    def submit(self, input_: inputs.Input) -> None:
        """Submits an input to the core."""
        self.runtime.submit(input_)

    async def kill(self) -> None:
        """Ends the daemon; calls that it has sent continue."""
        self.dead = True
        self.ticking.cancel()
        self.runtime.submit = lambda input_: None
        await self.runtime.close()

    async def call(self, key: str, *, body: bytes = b"form") -> CallRecord:
        """Makes one call that must run at most once."""
        request_id = self.runtime.next_request_id()
        record = CallRecord(request_id, key)
        self.world.calls.append(record)
        await self.gate.wait_until_open()
        if self.dead:
            return record
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
        record.final_effect = await caller.get()
        return record

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_MS / 1000)
            await self.gate.wait_until_open()
            self.submit(inputs.Tick(self.world.clock.now_ms()))


class World:
    """All daemons, services and calls of one session."""

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
        self.calls: list[CallRecord] = []
        self._tasks: set[asyncio.Task] = set()
        self.daemons = [
            SimDaemon(self, f"d{number}@1") for number in range(daemons)
        ]
        self.publish_members()

    def spawn(self, job) -> asyncio.Task:
        """Starts a task that continues when a daemon ends."""
        task = asyncio.get_running_loop().create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def alive(self) -> list[SimDaemon]:
        """Returns the daemons that were not killed."""
        return [daemon for daemon in self.daemons if not daemon.dead]

    def publish_members(self) -> None:
        """Publishes the list of live daemons to each of them."""
        names = tuple(sorted(daemon.name for daemon in self.alive()))
        for daemon in self.alive():
            daemon.submit(inputs.MembersChanged(self.clock.now_ms(), names))

    async def restart(self, daemon: SimDaemon) -> SimDaemon:
        """Kills a daemon and starts its successor."""
        await daemon.kill()
        name, _, number = daemon.name.partition("@")
        successor = SimDaemon(self, f"{name}@{int(number) + 1}")
        self.daemons.append(successor)
        self.publish_members()
        return successor

    def runs(self, key: str) -> int:
        """Returns how many times the calls of a key ran, over all services."""
        return sum(s.runs_by_key[key] for s in self.services.values())

    def ran(self, request_id: str) -> bool:
        """Returns whether a dispatch of this request ran."""
        return any(
            s.runs_by_request[request_id] for s in self.services.values()
        )
