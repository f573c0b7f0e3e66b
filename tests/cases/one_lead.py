"""One daemon that leads a model's engines, on virtual time."""

from __future__ import annotations

import asyncio
import random

from result import Err, Ok

from cases import routed_core
from godwittack.backend import protocol as backend
from godwittack.core import backlog, inputs, server_inputs
from godwittack.daemon import lead
from godwittack.lead import lease, rollout
from godwittack.member import view
from sim import fakes, loop

MODEL = routed_core.ENGINES
# Queued prompts at each engine under load: twice the wait from which a
# roll-out limits how many engines load.
WAITING_MS = 160
WAITING_TOKENS = 1_600
REPORT_TIMEOUT_S = 0.35


class Engines:
    """Engines that load weights; may refuse orders."""

    def __init__(self, clock, *, load_s: float) -> None:
        self.clock = clock
        self.load_s = load_s
        self.versions: dict[str, str] = {}
        self.orders: list[backend.Order] = []
        self.refuse: int = 0
        self.silent = False
        # Engines whose open connection is silent, until a call times out.
        self.silent_connections: set[str] = set()

    def drop_connections(self, server_id) -> None:
        """Does nothing: no connections are kept."""

    async def load(self, address, *, server_id="", fresh_connection=False):
        """Returns a server's report."""
        del address
        is_silent = (
            not fresh_connection and server_id in self.silent_connections
        )
        if self.silent or is_silent:
            self.silent_connections.discard(server_id)
            await asyncio.sleep(REPORT_TIMEOUT_S)
            return Err(backend.BackendError(step="load", peer="p", detail=""))
        return Ok(
            backend.EngineLoad(
                incarnation=server_id,
                weights_version=self.versions.get(server_id, "1"),
                running=0,
                waiting=0,
                waiting_tokens=0,
                prefill_us_per_token=0,
                slots=16,
                leaving=False,
                accepted_orders=sum(
                    order.server_id == server_id for order in self.orders
                ),
            )
        )

    async def order(self, address, order):
        """Accepts an order and carries it out."""
        del address
        if self.refuse:
            return Err(
                backend.BackendError(
                    step="order", peer="p", detail="", status=self.refuse
                )
            )
        self.orders.append(order)
        asyncio.get_running_loop().call_later(
            self.load_s,
            self.versions.__setitem__,
            order.server_id,
            order.value,
        )
        return Ok(None)


class RecordedUpdates:
    """Records announced drains."""

    def __init__(self) -> None:
        self.drained: set[str] = set()

    def publish_draining(self, server_id, target) -> None:
        """Records a drain."""
        del target
        self.drained.add(server_id)

    def publish_load(self, load, target, *, immediately=False) -> None:
        """Ignores a load report."""


class Runtime:
    """A core on the event loop's clock."""

    def __init__(self, clock, *, servers: int = 6) -> None:
        self.clock = clock
        self.harness = routed_core.Core(servers=servers)
        self.core = self.harness.router

    def submit(self, message) -> None:
        """Applies an input to the core."""
        self.core.step(message)


class LeadDaemon:
    """One daemon that leads the engines of one model, by default six."""

    def __init__(self, *, servers: int = 6, load_s: float = 1.1) -> None:
        self.clock = loop.LoopClock(asyncio.get_running_loop())
        self.engines = Engines(self.clock, load_s=load_s)
        self.updates = RecordedUpdates()
        self.table = fakes.TableFake(random.Random(1))
        self.runtime = Runtime(self.clock, servers=servers)
        self.runtime.harness.now_ms = self.clock.now_ms()
        self.runtime.harness.tell(
            inputs.TableChanged, routed_core.table(2, weights="2")
        )
        me = view.Member(
            member_id="d",
            peer_address="127.0.0.1:1",
            http_address="127.0.0.1:2",
            failure_domain="a",
        )
        self.lead = lead.Leader(
            core=self.runtime,
            client=self.engines,
            lease_store=self.table,
            members=view.View(
                me=me, policy=view.MemberPolicy(), rng=random.Random(1)
            ),
            updates=self.updates,
            policy=lease.LeasePolicy(lease_ms=3_000),
            rollout_policy=rollout.RolloutPolicy(
                order_after_ms=100, load_limit_ms=4_000
            ),
        )

    async def run(self, *, for_s: float) -> None:
        """Runs the leading loop for some time."""
        task = asyncio.create_task(self.lead.lead_forever(step_ms=100))
        await asyncio.sleep(for_s)
        task.cancel()

    async def apply_load(self) -> None:
        """Keeps prompts waiting at each engine that takes work."""
        world = self.runtime.core.world
        while True:
            now_ms = self.clock.now_ms()
            self.runtime.submit(inputs.Tick(now_ms))
            for name, row in world.servers.items():
                busy_ms = backlog.wait_ms(world, row, priority=0)
                if row.draining_until_ms <= now_ms and busy_ms < WAITING_MS:
                    self.runtime.submit(
                        server_inputs.PeerDispatched(
                            at_ms=now_ms,
                            server_id=name,
                            tokens=WAITING_TOKENS,
                            priority=0,
                            levels=(),
                        )
                    )
            await asyncio.sleep(0.05)

    def count_with_weights(self, version: str) -> int:
        """Returns how many engines have a version."""
        return list(self.engines.versions.values()).count(version)


def play(coroutine) -> None:
    """Runs a case to its end on virtual time."""
    virtual = loop.VirtualLoop()
    asyncio.set_event_loop(virtual)
    try:
        virtual.run_until_complete(coroutine)
    finally:
        asyncio.set_event_loop(None)
        virtual.close()
