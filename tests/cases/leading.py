"""The daemon that leads a model: when it drains and orders."""

from __future__ import annotations

import asyncio
import random

from result import Err, Ok

from cases import routed_core
from godwittack.backend import protocol as backend
from godwittack.core import inputs
from godwittack.daemon import lead
from godwittack.lead import lease, rollout
from godwittack.member import view
from sim import fakes, loop

MODEL = routed_core.ENGINES


class Engines:
    """Engines that load for 1.1 s; answers may be refused or lost."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.versions: dict[str, str] = {}
        self.orders: list[backend.Order] = []
        self.refuse: int = 0

    async def load(self, address, *, server_id=""):
        """Returns a server's report."""
        del address
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
            )
        )

    async def order(self, address, order):
        """Takes an order and carries it out."""
        del address
        if self.refuse:
            return Err(
                backend.BackendError(
                    step="order", peer="p", detail="", status=self.refuse
                )
            )
        self.orders.append(order)
        asyncio.get_running_loop().call_later(
            1.1, self.versions.__setitem__, order.server_id, order.value
        )
        return Ok(None)


class News:
    """Keeps the drains told."""

    def __init__(self) -> None:
        self.drained: set[str] = set()

    def publish_draining(self, server_id, target) -> None:
        """A drain was told."""
        del target
        self.drained.add(server_id)

    def publish_load(self, load, target, *, now=False) -> None:
        """A load report was told."""


class Runtime:
    """A core with the clock of the loop."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.held = routed_core.Core(servers=6)
        self.core = self.held.router

    def submit(self, told) -> None:
        """Hands an input to the core."""
        self.core.step(told)


class Led:
    """One daemon that leads six engines of one model."""

    def __init__(self, *, checks_fencing: bool = True) -> None:
        self.clock = loop.LoopClock(asyncio.get_running_loop())
        self.engines = Engines(self.clock)
        self.news = News()
        self.runtime = Runtime(self.clock)
        self.runtime.held.now_ms = self.clock.now_ms()
        self.runtime.held.tell(
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
            service=fakes.TableFake(random.Random(1)),
            members=view.View(
                me=me, policy=view.MemberPolicy(), rng=random.Random(1)
            ),
            news=self.news,
            checks_fencing=lambda server_id: checks_fencing,
            policy=lease.LeasePolicy(lease_ms=3_000),
            rollout_policy=rollout.RolloutPolicy(
                order_after_ms=100, load_limit_ms=4_000
            ),
        )

    async def run(self, *, for_s: float) -> None:
        """Lets it lead for a time."""
        task = asyncio.create_task(self.lead.lead_forever(step_ms=100))
        await asyncio.sleep(for_s)
        task.cancel()


def _play(coroutine) -> None:
    virtual = loop.VirtualLoop()
    asyncio.set_event_loop(virtual)
    try:
        virtual.run_until_complete(coroutine)
    finally:
        asyncio.set_event_loop(None)
        virtual.close()


def a_lease_that_is_not_settled_drains_two_servers_only() -> None:
    """While no order may go out yet, the same servers stay drained.

    Symptom: callers are refused during a roll-out: no server takes work.
    Sequence: engines that check no fencing number; the lead has just taken
        its lease and waits for 3 s before its first order.
    Cause: an order that was not sent counted as refused, so that the next
        servers were drained beside the first, until all were.
    """

    async def case() -> None:
        led = Led(checks_fencing=False)
        await led.run(for_s=2.5)
        assert not led.engines.orders
        assert len(led.news.drained) == 2, led.news.drained

    _play(case())


def a_roll_out_goes_on_without_pauses() -> None:
    """Six engines, two at a time, take three loads and little more.

    Symptom: a roll-out of six engines takes 12 s instead of 5.
    Sequence: version 2 is named; each load takes 1.1 s.
    Cause: a pause of 2 s after each load at a daemon that is not first in
        rank, and drains that lapsed by their time alone.
    """

    async def case() -> None:
        led = Led()
        await led.run(for_s=5.0)
        assert sorted(led.engines.versions.values()) == ["2"] * 6
        assert len(led.engines.orders) == 6, led.engines.orders

    _play(case())


def an_old_fencing_number_ends_the_term() -> None:
    """A server that has seen a higher number ends this daemon's lead.

    Symptom: a daemon that was replaced goes on giving orders.
    Sequence: an engine refuses an order for its fencing number.
    Cause: the refusal taken for a busy server, and the order repeated.
    """

    async def case() -> None:
        led = Led()
        led.engines.refuse = 412
        await led.run(for_s=0.5)
        held = led.lead._led[MODEL].lease
        assert not held.valid()

    _play(case())
