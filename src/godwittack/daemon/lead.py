"""Leads the models that fall to this daemon: leases, drains and orders."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from absl import logging
from result import Err

from godwittack.backend import protocol as backend
from godwittack.core import backlog, server_inputs
from godwittack.daemon import news as newses
from godwittack.daemon import watch
from godwittack.lead import lease as leases
from godwittack.lead import rollout
from godwittack.member import duty

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from godwittack.core import entities
    from godwittack.daemon import runtime
    from godwittack.member import view
    from godwittack.store import protocol as platform


# Between two notices of one drain; each holds for `newses.DRAIN_MS`.
DRAIN_REPEAT_MS = 1_000
# Without progress for so long, the next daemon in rank leads as well.
PATIENCE_MS = 2_000
# Between two looks at a server that loads weights: a load takes about 1.1 s.
LOAD_LOOK_MS = 120
# Mean wait at the servers from which only one at a time is taken out of
# service: a third of the time in which a short answer is wanted.
PRESSED_MS = 80
LEAST_URGENT = 9
STATUS_OLD_FENCING = 412


@dataclasses.dataclass(slots=True)
class _Led:
    lease: leases.Lease
    rollout: rollout.Rollout
    drains_told_ms: dict[str, int] = dataclasses.field(default_factory=dict)


class Leader:
    """Rolls out weights for the models that this daemon leads."""

    def __init__(
        self,
        *,
        core: runtime.Runtime,
        client: backend.BackendClient,
        service: platform.ConditionalRows,
        members: view.View,
        news: newses.News,
        checks_fencing: Callable[[str], bool],
        policy: leases.LeasePolicy,
        rollout_policy: rollout.RolloutPolicy | None = None,
    ) -> None:
        """Leads nothing yet."""
        self._rollout_policy = rollout_policy or rollout.RolloutPolicy()
        self._behind: dict[str, tuple[object, int]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._core = core
        self._client = client
        self._service = service
        self._members = members
        self._news = news
        self._checks_fencing = checks_fencing
        self._policy = policy
        self._led: dict[str, _Led] = {}

    async def lead_forever(self, *, step_ms: int) -> None:
        """Takes a step for each led model again and again."""
        while True:
            for model in self._own_models():
                await self.step(model)
            await asyncio.sleep(step_ms / 1000)

    async def step(self, model: str) -> None:
        """Renews a model's lease and goes on with its roll-out."""
        led = self._led.get(model)
        if led is None:
            led = self._led[model] = self._lead(model)
        held = led.lease.valid()
        await led.lease.step()
        if led.lease.valid() != held:
            logging.info(
                "event=lease model=%s held=%d fencing=%d",
                model,
                not held,
                led.lease.fencing,
            )
        if not led.lease.valid():
            return
        world = self._core.core.world
        wanted = world.table.models[model].weights_version
        decision = led.rollout.decide(
            wanted=wanted,
            replicas=self._replicas(model),
            now_ms=self._core.clock.now_ms(),
            is_pressed=self._is_pressed(model),
        )
        self._drain(led, model, decision.draining)
        for server_id in decision.load:
            server = world.servers[server_id]
            if self._may_send(led, server):
                self._load(led, server, wanted)

    def _drain(self, led: _Led, model: str, server_ids: Iterable[str]) -> None:
        now_ms = self._core.clock.now_ms()
        for server_id in server_ids:
            told_ms = led.drains_told_ms.get(server_id, -DRAIN_REPEAT_MS)
            if now_ms - told_ms < DRAIN_REPEAT_MS:
                continue
            led.drains_told_ms[server_id] = now_ms
            until_ms = now_ms + newses.DRAIN_MS
            self._core.submit(
                server_inputs.ServerDraining(now_ms, server_id, until_ms)
            )
            self._news.publish_draining(server_id, model)

    def _own_models(self) -> list[str]:
        """Returns models with replicas that need new weights, and are ours.

        The daemon that a model falls to may be cut off from the store, or too
        slow, while others reach it. Where nothing has come of a roll-out for
        a while, the next one in rank tries as well; the lease decides.
        """
        world = self._core.core.world
        now_ms = self._core.clock.now_ms()
        found = []
        for name, row in world.table.models.items():
            behind = frozenset(
                replica.server_id
                for replica in self._replicas(name)
                if replica.weights_version != row.weights_version
            )
            state = (row.weights_version, behind)
            if self._behind.get(name, (None, 0))[0] != state:
                self._behind[name] = (state, now_ms)
            if not behind:
                continue
            waited_ms = now_ms - self._behind[name][1]
            is_ours = waited_ms >= self._rank(name) * PATIENCE_MS
            if is_ours or self._holds(name):
                found.append(name)
        return found

    def _holds(self, model: str) -> bool:
        led = self._led.get(model)
        return led is not None and led.lease.valid()

    def _rank(self, model: str) -> int:
        members = self._members.serving()
        ranked = duty.leaders(model, members)
        own = self._members.me.member_id
        return ranked.index(own) if own in ranked else len(ranked)

    def _lead(self, model: str) -> _Led:
        lease = leases.Lease(
            service=self._service,
            name=model,
            holder=self._members.me.member_id,
            policy=self._policy,
            clock=self._core.clock,
        )
        return _Led(lease, rollout.Rollout(self._rollout_policy))

    def _replicas(self, model: str) -> list[rollout.Replica]:
        world = self._core.core.world
        servers = world.servers_by_target[model].values()
        return [
            rollout.Replica(
                server_id=row.server_id,
                incarnation=row.incarnation,
                weights_version=row.weights_version,
                busy=row.running + row.waiting + len(row.sent),
                is_reachable=row.ejected_until_ms <= world.now_ms,
            )
            for row in servers
            if row.incarnation and not row.leaving
        ]

    def _is_pressed(self, model: str) -> bool:
        """Returns whether prompts wait at the servers that can take them."""
        world = self._core.core.world
        waits = [
            backlog.wait_ms(world, row, priority=LEAST_URGENT)
            for row in world.servers_by_target[model].values()
            if not row.leaving
            and max(row.ejected_until_ms, row.draining_until_ms) <= world.now_ms
        ]
        return bool(waits) and sum(waits) / len(waits) > PRESSED_MS

    def _may_send(self, led: _Led, server: entities.ServerRow) -> bool:
        """Returns whether an order may go out at this moment."""
        if self._checks_fencing(server.server_id):
            return led.lease.valid()
        return led.lease.settled()

    def _load(self, led: _Led, server: entities.ServerRow, wanted: str) -> None:
        led.rollout.ordered(
            server.server_id,
            wanted=wanted,
            now_ms=self._core.clock.now_ms(),
        )
        task = asyncio.create_task(self._order_and_watch(led, server, wanted))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _order_and_watch(
        self, led: _Led, server: entities.ServerRow, wanted: str
    ) -> None:
        """Orders one server to load weights, and waits until it has them."""
        if not await self._order(led, server, wanted):
            led.rollout.failed(server.server_id)
            return
        ends_ms = self._core.clock.now_ms() + led.rollout.policy.load_limit_ms
        while self._core.clock.now_ms() < ends_ms:
            await asyncio.sleep(LOAD_LOOK_MS / 1000)
            got = await self._look(server)
            if got is not None and got.weights_version == wanted:
                return

    async def _order(
        self, led: _Led, server: entities.ServerRow, wanted: str
    ) -> bool:
        """Gives an order; returns whether it may have been taken."""
        state = await self._look(server)
        # Asked again right before sending: this daemon may have been stopped
        # since the last look, and another holder may be at work.
        if not self._may_send(led, server):
            return False
        got = await self._client.order(
            server.address,
            backend.Order(
                kind=backend.OrderKind.LOAD_WEIGHTS,
                fencing=led.lease.fencing,
                value=wanted,
                target=server.target,
                server_id=server.server_id,
                holder=self._members.me.member_id,
                orders_taken=-1 if state is None else state.orders_taken,
            ),
        )
        detail = str(got.err_value) if isinstance(got, Err) else "ordered"
        logging.info(
            "event=weights_ordered server=%s version=%s fencing=%d detail=%r",
            server.server_id,
            wanted,
            led.lease.fencing,
            detail,
        )
        if isinstance(got, Err) and got.err_value.status == STATUS_OLD_FENCING:
            led.lease.forfeit()
        if not isinstance(got, Err):
            return True
        # Without an answer the order may still be carried out.
        return got.err_value.sent and got.err_value.status == 0

    async def _look(
        self, server: entities.ServerRow
    ) -> backend.EngineLoad | None:
        """Asks a server for its state and tells it where weights changed."""
        got = await self._client.load(
            server.address, server_id=server.server_id
        )
        if isinstance(got, Err):
            return None
        load = got.ok_value
        if load.weights_version != server.weights_version:
            told = watch.report(server, load, self._core)
            self._core.submit(told)
            self._news.publish_load(told, server.target, now=True)
        return load


__all__ = ["Leader"]
