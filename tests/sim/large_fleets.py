"""Simulation of large fleets under load, whose daemons lead roll-outs.

Each daemon runs the real leader and core; engines, callers, the store and the
calls between them are simulated.
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
# Settings of deployments with large fleets: the 10 s that operators allow less
# a margin of 2.5 s, and the roll-out policy of the platform daemon.
USE_LIMIT_MS = 7_500
ROLLOUT_POLICY = rollout.RolloutPolicy(
    order_after_ms=100, load_limit_ms=4_000, use_limit_ms=USE_LIMIT_MS
)
LEAD_STEP_MS = 100
# Backlog at each engine under load: twice the wait above which a roll-out
# spares the engines.
BACKLOG_MS = 160
CALL_DELAY_S = 0.004
CALL_TIMEOUT_S = 0.3
# Time until daemons know of an unreachable engine or of a failed daemon.
EJECTION_DELAY_S = 0.4
FAILURE_DETECTION_S = 1.5
# Time until callers know of a started daemon. By then it has received which
# engines are drained, since that is published each second.
JOIN_DELAY_S = 1.2
# Ticks between two load reports of an engine to a daemon.
REPORT_TICKS = 8
REQUEST_SHARE = 0.3


class LargeFleet:
    """Engines of one model, callers, and daemons that lead its roll-outs."""

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.clock = loop.LoopClock(self.loop)
        self.engines = loading_engines.EngineFleet(
            self.rng, engines=self.rng.randint(20, 60)
        )
        self.promises = weights_promises.Promises(self.engines)
        self.table = fakes.TableFake(self.rng)
        self.has_backlog = True
        self.late_orders = False
        # Daemon that sent the last order.
        self.last_holder = ""
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
        """Starts one more daemon, without state of earlier ones."""
        started = sum(daemon.number + 1 for daemon in self.daemons[-1:])
        self.daemons.append(Daemon(self, started))

    def members(self) -> list[view.Member]:
        """Returns the daemons that are believed to be alive."""
        return [daemon.me for daemon in self.daemons if daemon.is_listed]

    def running(self) -> list[Daemon]:
        """Returns the daemons that are running."""
        return [daemon for daemon in self.daemons if daemon.is_running]

    def outdated_engines(self) -> list[str]:
        """Returns the engines that lack the version published last."""
        desired = self.promises.last_version
        return [
            engine.name for engine in self.engines if engine.version != desired
        ]

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(loading_engines.TICK_S)
            self._ticks += 1
            now_s = self.now_s()
            self.engines.tick(now_s)
            for daemon in self.running():
                daemon.tick(self._ticks)
            self._send_requests(now_s)
            self.promises.check(now_s)

    def _send_requests(self, now_s: float) -> None:
        daemons = [
            daemon
            for daemon in self.running()
            if now_s - daemon.started_s >= JOIN_DELAY_S
        ]
        for engine in self.engines:
            is_chosen = self.rng.random() < REQUEST_SHARE
            if not daemons or not is_chosen or engine.is_unreachable(now_s):
                continue
            if self.rng.choice(daemons).may_use(engine.name):
                self.promises.check_request(engine, now_s)
                self.engines.start_request(engine, now_s)


class Daemon:
    """One daemon that may lead; it can be paused, cut off and killed."""

    def __init__(self, fleet: LargeFleet, number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.clock = fleet.clock
        self.gate = fakes.Gate()
        self.started_s = fleet.now_s()
        self.is_running = True
        self.is_dead = False
        self.is_listed = True
        self.store_connection = leads.CutTable(
            fakes.PausableTable(fleet.table, self.gate, fleet)
        )
        self.me = view.Member(
            member_id=f"d{number}",
            peer_address=f"127.0.0.1:{2 * number + 1}",
            http_address=f"127.0.0.1:{2 * number + 2}",
            failure_domain="a",
        )
        self.propagation_delay_s = fleet.rng.uniform(0.05, 0.4)
        self.known_version = 0
        self.core = router.Router.from_config(
            daemon=self.me.member_id,
            policy=policy.Policy(old_weights_limit_ms=USE_LIMIT_MS),
        )
        self._apply_version(fleet.promises.last_version)
        for engine in fleet.engines:
            self._list_engine(engine)
        self.lead = GatedLeader(
            gate=self.gate,
            core=self,
            client=EngineClient(self),
            lease_store=self.store_connection,
            members=types.SimpleNamespace(me=self.me, serving=fleet.members),
            updates=PeerUpdates(self),
            policy=lease.LeasePolicy(lease_ms=sent_orders.LEASE_MS),
            rollout_policy=ROLLOUT_POLICY,
        )
        self.task = fleet.spawn(self.lead.lead_forever(step_ms=LEAD_STEP_MS))

    def submit(self, input_) -> None:
        """Submits an input to the core."""
        self.core.step(input_)

    def pause(self) -> None:
        """Pauses it, as SIGSTOP does."""
        self.is_running = False
        self.gate.pause()

    def resume(self) -> None:
        """Resumes it, unless it was killed in the meantime."""
        if not self.is_dead:
            self.is_running = True
            self.gate.resume()

    async def kill(self) -> None:
        """Ends it without completing any pending action."""
        self.is_dead = True
        self.pause()
        self.task.cancel()
        await asyncio.sleep(FAILURE_DETECTION_S)
        self.is_listed = False

    def may_use(self, name: str) -> bool:
        """Returns whether a caller's request may be sent to an engine."""
        world = self.core.world
        row = world.servers[name]
        free_ms = max(row.draining_until_ms, row.ejected_until_ms)
        return free_ms <= world.now_ms and not weights.are_too_old(world, row)

    def tick(self, ticks: int) -> None:
        """Submits the time, new versions, backlogs and engine reports."""
        now_s = self.fleet.now_s()
        self.submit(inputs.Tick(self.clock.now_ms()))
        for version, published_s in self.fleet.promises.published_s.items():
            if (
                version > self.known_version
                and now_s >= published_s + self.propagation_delay_s
            ):
                self._apply_version(version)
        for number, engine in enumerate(self.fleet.engines):
            self._observe_engine(engine, now_s)
            is_due = (ticks + number) % REPORT_TICKS == 0
            if is_due and not engine.is_unreachable(now_s):
                self.submit(self._load_report(engine))

    def _apply_version(self, version: int) -> None:
        self.known_version = version
        self.submit(
            inputs.TableChanged(
                self.clock.now_ms(),
                routed_core.table(version, weights=str(version)),
            )
        )

    def _list_engine(self, engine: loading_engines.Engine) -> None:
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

    def _observe_engine(
        self, engine: loading_engines.Engine, now_s: float
    ) -> None:
        row = self.core.world.servers[engine.name]
        now_ms = self.clock.now_ms()
        if engine.is_unreachable(
            now_s - EJECTION_DELAY_S
        ) and engine.is_unreachable(now_s):
            row.ejected_until_ms = now_ms + round(EJECTION_DELAY_S * 1000)
        if self.fleet.has_backlog and row.draining_until_ms <= now_ms:
            row.backlog_until_ms[0] = float(now_ms + BACKLOG_MS)

    def _load_report(self, engine: loading_engines.Engine):
        return server_inputs.LoadReported(
            at_ms=self.clock.now_ms(),
            server_id=engine.name,
            incarnation=engine.incarnation,
            weights_version=str(engine.version),
            running=len(engine.request_ends_s),
            waiting=0,
            waiting_tokens=0,
            prefill_us_per_token=0,
            slots=16,
        )


class GatedLeader(lead.Leader):
    """The real leader, which takes no step while its daemon is paused."""

    def __init__(self, *, gate: fakes.Gate, **components) -> None:
        super().__init__(**components)
        self._gate = gate

    async def step(self, model: str) -> None:
        """Takes a step once the daemon is running."""
        await self._gate.wait_until_open()
        await super().step(model)


class PeerUpdates:
    """Delivers updates immediately to all other running daemons."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon

    def publish_draining(self, server_id, target) -> None:
        """Publishes a drain."""
        del target
        now_ms = self.daemon.clock.now_ms()
        self._publish(
            server_inputs.ServerDraining(
                now_ms, server_id, now_ms + peer_updates.DRAIN_TTL_MS
            )
        )

    def publish_load(self, load, target, *, immediately=False) -> None:
        """Publishes a load report."""
        del target, immediately
        self._publish(load)

    def _publish(self, update) -> None:
        for other in self.daemon.fleet.running():
            if other is not self.daemon:
                other.submit(update)


class EngineClient:
    """One daemon's calls to the engines."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.fleet = daemon.fleet

    def drop_connections(self, server_id) -> None:
        """Does nothing: no connections are kept."""

    async def load(self, address, *, server_id="", fresh_connection=False):
        """Returns an engine's load report."""
        del address
        engine = self.fleet.engines.engines[server_id]
        await self.daemon.gate.wait_until_open()
        await asyncio.sleep(CALL_DELAY_S)
        if engine.is_unreachable(self.fleet.now_s()):
            return await self._time_out("load", server_id)
        report = backend.EngineLoad(
            incarnation=engine.incarnation,
            weights_version=str(engine.version),
            running=len(engine.request_ends_s),
            waiting=0,
            slots=16,
            accepted_orders=engine.accepted_orders,
        )
        await self.daemon.gate.wait_until_open()
        return Ok(report)

    async def order(self, address, order: backend.Order):
        """Sends an order; if late orders are on, some execute much later."""
        del address
        engine = self.fleet.engines.engines[order.server_id]
        sent = sent_orders.SentOrder(
            order.holder, order.fencing, self.fleet.now_s()
        )
        self.fleet.promises.record_order(engine, sent)
        self.fleet.last_holder = order.holder
        await asyncio.sleep(CALL_DELAY_S)
        if engine.is_unreachable(self.fleet.now_s()):
            return await self._time_out("order", order.server_id)
        if self.fleet.late_orders and self.fleet.rng.random() < 0.3:
            self.fleet.spawn(self._execute_late(engine, order))
            return await self._time_out("order", order.server_id)
        if self._execute(engine, order, is_late=False):
            return Ok(None)
        return Err(
            backend.BackendError(
                step="order", peer=order.server_id, detail="", status=409
            )
        )

    async def _time_out(self, step: str, peer: str) -> Err:
        await asyncio.sleep(CALL_TIMEOUT_S)
        await self.daemon.gate.wait_until_open()
        return Err(
            backend.BackendError(step=step, peer=peer, detail="no answer")
        )

    async def _execute_late(self, engine, order: backend.Order) -> None:
        started_at_ms = engine.started_at_ms
        with self.fleet.promises.disturbance("late order"):
            await asyncio.sleep(self.fleet.rng.uniform(0.5, 8.0))
            if engine.started_at_ms == started_at_ms:
                self._execute(engine, order, is_late=True)

    def _execute(self, engine, order: backend.Order, *, is_late: bool) -> bool:
        """Returns whether the order is accepted or already fulfilled."""
        is_next = order.expected_accepted_orders in (-1, engine.accepted_orders)
        if engine.loading_version or not is_next:
            return False
        version = int(order.value)
        if version != engine.version:
            load_s = self.fleet.engines.draw_load_s()
            engine.accept(version, load_s=load_s, is_late=is_late)
        return True
