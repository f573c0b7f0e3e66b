"""Leads of large fleets under load, on virtual time.

Each daemon runs the product's own leader and core; engines, callers, the store
and the calls between them are played.
"""

from __future__ import annotations

import asyncio
import random
import types

from result import Err, Ok

from cases import routed_core
from godwittack.backend import protocol as backend
from godwittack.core import (
    inputs,
    policy,
    router,
    server_inputs,
    weights,
)
from godwittack.daemon import lead, peer_updates
from godwittack.lead import lease, rollout
from godwittack.member import view
from sim import (
    fakes,
    leads,
    loading_engines,
    loop,
    sent_orders,
    weights_promises,
)

MODEL = routed_core.ENGINES
DAEMONS = 3
# The settings of the deployments with large fleets: 10 s allowed less a margin
# of 2.5, and what the daemon before callers gives its leader.
USE_LIMIT_MS = 7_500
ROLLOUT_POLICY = rollout.RolloutPolicy(
    order_after_ms=100, load_limit_ms=4_000, use_limit_ms=USE_LIMIT_MS
)
LEAD_STEP_MS = 100
# Prompts that wait at each engine under load: twice the wait from which a
# roll-out spares the engines.
WAITING_MS = 160
CALL_S = 0.004
CALL_LIMIT_S = 0.3
# Until the others know of a dark engine, or of a daemon that died.
NOTICE_S = 0.4
DEATH_NOTICE_S = 1.5
# Until callers are told of a daemon that has started. By then it has heard
# which engines are drained; that is told anew each second.
JOIN_S = 1.2
# An engine's own report reaches each daemon once in so many ticks.
REPORT_TICKS = 8
REQUEST_PART = 0.3


class LargeFleet:
    """Engines of one model, callers, and daemons that may lead them."""

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.clock = loop.LoopClock(self.loop)
        self.engines = loading_engines.EngineFleet(
            self.rng, engines=self.rng.randint(20, 60)
        )
        self.promises = weights_promises.Promises(self.engines)
        self.table = fakes.TableFake(self.rng)
        self.is_pressed = True
        self.late_orders = False
        # Who gave the last order.
        self.holder = ""
        self._tasks: set[asyncio.Task] = set()
        self._ticks = 0
        self.daemons: list[Daemon] = []
        for _ in range(DAEMONS):
            self.start_daemon()
        self.spawn(self._tick())

    def spawn(self, job) -> asyncio.Task:
        """Starts a task."""
        task = self.loop.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def now_s(self) -> float:
        """Returns virtual seconds."""
        return self.loop.time()

    def start_daemon(self) -> None:
        """Starts one more daemon, which knows nothing of before."""
        started = sum(daemon.number + 1 for daemon in self.daemons[-1:])
        self.daemons.append(Daemon(self, started))

    def members(self) -> list[view.Member]:
        """Returns the daemons that are believed to live."""
        return [daemon.me for daemon in self.daemons if daemon.is_listed]

    def running(self) -> list[Daemon]:
        """Returns the daemons that run."""
        return [daemon for daemon in self.daemons if daemon.runs]

    def behind(self) -> list[str]:
        """Returns the engines that lack the weights wanted now."""
        wanted = self.promises.last_named
        return [one.name for one in self.engines if one.version != wanted]

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(loading_engines.TICK_S)
            self._ticks += 1
            now_s = self.now_s()
            self.engines.tick(now_s)
            for daemon in self.running():
                daemon.tick(self._ticks)
            self._send_work(now_s)
            self.promises.look(now_s)

    def _send_work(self, now_s: float) -> None:
        daemons = [
            daemon
            for daemon in self.running()
            if now_s - daemon.started_s >= JOIN_S
        ]
        for engine in self.engines:
            is_chosen = self.rng.random() < REQUEST_PART
            if not daemons or not is_chosen or engine.is_dark(now_s):
                continue
            if self.rng.choice(daemons).may_use(engine.name):
                self.promises.worked(engine, now_s)
                self.engines.run(engine, now_s)


class Daemon:
    """One daemon that may lead the model; may be paused, cut and killed."""

    def __init__(self, fleet: LargeFleet, number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.clock = fleet.clock
        self.gate = fakes.Gate()
        self.started_s = fleet.now_s()
        self.runs = True
        self.is_dead = False
        self.is_listed = True
        self.way = leads.CutTable(
            fakes.PausableTable(fleet.table, self.gate, fleet)
        )
        self.me = view.Member(
            member_id=f"d{number}",
            peer_address=f"127.0.0.1:{2 * number + 1}",
            http_address=f"127.0.0.1:{2 * number + 2}",
            failure_domain="a",
        )
        self.learns_after_s = fleet.rng.uniform(0.05, 0.4)
        self.known = 0
        self.core = router.Router.from_config(
            daemon=self.me.member_id,
            policy=policy.Policy(old_weights_limit_ms=USE_LIMIT_MS),
        )
        self._learn(fleet.promises.last_named)
        for engine in fleet.engines:
            self._list(engine)
        self.lead = GatedLeader(
            gate=self.gate,
            core=self,
            client=Client(self),
            lease_store=self.way,
            members=types.SimpleNamespace(me=self.me, serving=fleet.members),
            updates=News(self),
            policy=lease.LeasePolicy(lease_ms=sent_orders.LEASE_MS),
            rollout_policy=ROLLOUT_POLICY,
        )
        self.task = fleet.spawn(self.lead.lead_forever(step_ms=LEAD_STEP_MS))

    def submit(self, told) -> None:
        """Hands an input to the core."""
        self.core.step(told)

    def pause(self) -> None:
        """Stops it, as SIGSTOP does."""
        self.runs = False
        self.gate.pause()

    def resume(self) -> None:
        """Lets it go on, unless it was killed meanwhile."""
        if not self.is_dead:
            self.runs = True
            self.gate.resume()

    async def kill(self) -> None:
        """Ends it; nothing that it was about to do happens."""
        self.is_dead = True
        self.pause()
        self.task.cancel()
        await asyncio.sleep(DEATH_NOTICE_S)
        self.is_listed = False

    def may_use(self, name: str) -> bool:
        """Returns whether a caller's request may be sent to an engine."""
        world = self.core.world
        row = world.servers[name]
        free_ms = max(row.draining_until_ms, row.ejected_until_ms)
        return free_ms <= world.now_ms and not weights.are_too_old(world, row)

    def tick(self, ticks: int) -> None:
        """Hears of time, namings, waiting prompts and engines."""
        now_s = self.fleet.now_s()
        self.submit(inputs.Tick(self.clock.now_ms()))
        for version, named_s in self.fleet.promises.named_s.items():
            if version > self.known and now_s >= named_s + self.learns_after_s:
                self._learn(version)
        for number, engine in enumerate(self.fleet.engines):
            self._see(engine, now_s)
            is_due = (ticks + number) % REPORT_TICKS == 0
            if is_due and not engine.is_dark(now_s):
                self.submit(self._report(engine))

    def _learn(self, version: int) -> None:
        self.known = version
        self.submit(
            inputs.TableChanged(
                self.clock.now_ms(),
                routed_core.table(version, weights=str(version)),
            )
        )

    def _list(self, engine: loading_engines.Engine) -> None:
        self.submit(
            server_inputs.ServerListed(
                at_ms=self.clock.now_ms(),
                server_id=engine.name,
                target=MODEL,
                address=engine.name,
                incarnation=engine.incarnation,
                weights_version=str(engine.version),
                slots=16,
            )
        )

    def _see(self, engine: loading_engines.Engine, now_s: float) -> None:
        row = self.core.world.servers[engine.name]
        now_ms = self.clock.now_ms()
        if engine.is_dark(now_s - NOTICE_S) and engine.is_dark(now_s):
            row.ejected_until_ms = now_ms + round(NOTICE_S * 1000)
        if self.fleet.is_pressed and row.draining_until_ms <= now_ms:
            row.backlog_until_ms[0] = float(now_ms + WAITING_MS)

    def _report(self, engine: loading_engines.Engine):
        return server_inputs.LoadReported(
            at_ms=self.clock.now_ms(),
            server_id=engine.name,
            incarnation=engine.incarnation,
            weights_version=str(engine.version),
            running=len(engine.ends_s),
            waiting=0,
            waiting_tokens=0,
            prefill_us_per_token=0,
            slots=16,
        )


class GatedLeader(lead.Leader):
    """The product's leader, which takes no step while its daemon is paused."""

    def __init__(self, *, gate: fakes.Gate, **parts) -> None:
        super().__init__(**parts)
        self._gate = gate

    async def step(self, model: str) -> None:
        """Takes a step once the daemon runs."""
        await self._gate.passed()
        await super().step(model)


class News:
    """Tells the other daemons at once; one that is paused hears nothing."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon

    def publish_draining(self, server_id, target) -> None:
        """A drain is told."""
        del target
        now_ms = self.daemon.clock.now_ms()
        self._tell(
            server_inputs.ServerDraining(
                now_ms, server_id, now_ms + peer_updates.DRAIN_TTL_MS
            )
        )

    def publish_load(self, load, target, *, immediately=False) -> None:
        """A load report is told."""
        del target, immediately
        self._tell(load)

    def _tell(self, told) -> None:
        for other in self.daemon.fleet.running():
            if other is not self.daemon:
                other.submit(told)


class Client:
    """One daemon's calls to the engines."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.fleet = daemon.fleet

    async def load(self, address, *, server_id=""):
        """Returns an engine's report."""
        del address
        engine = self.fleet.engines.engines[server_id]
        await self.daemon.gate.passed()
        await asyncio.sleep(CALL_S)
        if engine.is_dark(self.fleet.now_s()):
            return await self._silence("load", server_id)
        got = backend.EngineLoad(
            incarnation=engine.incarnation,
            weights_version=str(engine.version),
            running=len(engine.ends_s),
            waiting=0,
            slots=16,
            accepted_orders=engine.taken,
        )
        await self.daemon.gate.passed()
        return Ok(got)

    async def order(self, address, order: backend.Order):
        """Takes an order; some are carried out long after."""
        del address
        engine = self.fleet.engines.engines[order.server_id]
        sent = sent_orders.SentOrder(
            order.holder, order.fencing, self.fleet.now_s()
        )
        self.fleet.promises.ordered(engine, sent)
        self.fleet.holder = order.holder
        await asyncio.sleep(CALL_S)
        if engine.is_dark(self.fleet.now_s()):
            return await self._silence("order", order.server_id)
        if self.fleet.late_orders and self.fleet.rng.random() < 0.3:
            self.fleet.spawn(self._carry_out_late(engine, order))
            return await self._silence("order", order.server_id)
        if self._carry_out(engine, order, is_late=False):
            return Ok(None)
        return Err(
            backend.BackendError(
                step="order", peer=order.server_id, detail="", status=409
            )
        )

    async def _silence(self, step: str, peer: str) -> Err:
        await asyncio.sleep(CALL_LIMIT_S)
        await self.daemon.gate.passed()
        return Err(
            backend.BackendError(step=step, peer=peer, detail="no answer")
        )

    async def _carry_out_late(self, engine, order: backend.Order) -> None:
        born_ms = engine.born_ms
        with self.fleet.promises.trouble("late order"):
            await asyncio.sleep(self.fleet.rng.uniform(0.5, 8.0))
            if engine.born_ms == born_ms:
                self._carry_out(engine, order, is_late=True)

    def _carry_out(
        self, engine, order: backend.Order, *, is_late: bool
    ) -> bool:
        """Returns whether it is taken, or holds already."""
        is_next = order.expected_accepted_orders in (-1, engine.taken)
        if engine.loads or not is_next:
            return False
        version = int(order.value)
        if version != engine.version:
            load_s = self.fleet.engines.load_s()
            engine.take(version, load_s=load_s, is_late=is_late)
        return True
