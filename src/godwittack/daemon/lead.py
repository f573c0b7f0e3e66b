"""Leads the models that fall to this daemon: leases, drains and orders."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from absl import logging
from result import Err

from godwittack.backend import protocol as backend
from godwittack.core import inputs
from godwittack.daemon import news as newses
from godwittack.lead import lease as leases
from godwittack.lead import rollout
from godwittack.member import duty

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.core import entities
    from godwittack.daemon import runtime
    from godwittack.member import view
    from godwittack.platform import protocol as platform


@dataclasses.dataclass(slots=True)
class _Led:
    lease: leases.Lease
    rollout: rollout.Rollout


class Leader:
    """Rolls out weights for the models that this daemon leads."""

    def __init__(
        self,
        *,
        core: runtime.Runtime,
        client: backend.BackendClient,
        service: platform.TableService,
        members: view.View,
        news: newses.News,
        checks_fencing: Callable[[str], bool],
        policy: leases.LeasePolicy,
    ) -> None:
        """Leads nothing yet."""
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
        await led.lease.step()
        if not led.lease.valid():
            return
        world = self._core.core.world
        wanted = world.table.models[model].weights_version
        now_ms = self._core.clock.now_ms()
        decision = led.rollout.decide(
            wanted=wanted, replicas=self._replicas(model), now_ms=now_ms
        )
        for server_id in decision.draining:
            self._core.submit(
                inputs.ServerDraining(
                    now_ms, server_id, now_ms + newses.DRAIN_MS
                )
            )
            self._news.publish_draining(server_id, model)
        for server_id in decision.load:
            await self._order(led, world.servers[server_id], wanted)

    def _own_models(self) -> list[str]:
        """Returns models with replicas that need new weights, and are ours."""
        world = self._core.core.world
        members = self._members.serving()
        own = self._members.me.member_id
        return [
            name
            for name, row in world.table.models.items()
            if any(
                replica.weights_version != row.weights_version
                for replica in self._replicas(name)
            )
            and duty.leader(name, members) == own
        ]

    def _lead(self, model: str) -> _Led:
        lease = leases.Lease(
            service=self._service,
            name=model,
            holder=self._members.me.member_id,
            policy=self._policy,
            clock=self._core.clock,
        )
        return _Led(lease, rollout.Rollout())

    def _replicas(self, model: str) -> list[rollout.Replica]:
        servers = self._core.core.world.servers_by_target[model].values()
        return [
            rollout.Replica(
                server_id=row.server_id,
                weights_version=row.weights_version,
                busy=row.running + row.waiting + len(row.sent),
            )
            for row in servers
            if row.incarnation and not row.leaving
        ]

    async def _order(
        self, led: _Led, server: entities.ServerRow, wanted: str
    ) -> None:
        checks = self._checks_fencing(server.server_id)
        # Asked again right before sending: this daemon may have been stopped
        # since the last look, and another holder may be at work.
        may_send = led.lease.valid() if checks else led.lease.settled()
        if not may_send:
            return
        led.rollout.ordered(
            server.server_id,
            wanted=wanted,
            now_ms=self._core.clock.now_ms(),
        )
        got = await self._client.order(
            server.address,
            backend.Order(
                kind=backend.OrderKind.LOAD_WEIGHTS,
                fencing=led.lease.fencing,
                value=wanted,
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


__all__ = ["Leader"]
