"""Leads the models that fall to this daemon: leases, drains and orders."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from absl import logging
from result import Err

from godwittack.backend import protocol as backend
from godwittack.core import incarnation, server_inputs
from godwittack.daemon import (
    model_state,
    peer_updates,
    rollout_log,
    server_watcher,
)
from godwittack.lead import lease as leases
from godwittack.lead import order_result, rollout, takeover
from godwittack.member import assignment

if TYPE_CHECKING:
    from collections.abc import Iterable

    from godwittack.core import entities
    from godwittack.daemon import runtime
    from godwittack.member import view
    from godwittack.store import protocol as platform


# Between two notices of one drain; each holds for `peer_updates.DRAIN_MS`.
DRAIN_REPEAT_MS = 1_000
# Pause after a call of the store that brought nothing.
STORE_RETRY_MS = 300
# Between two looks at a server that loads weights: a load takes 0.5 to 3.2 s.
LOAD_POLL_MS = 120


@dataclasses.dataclass(slots=True)
class _LedModel:
    lease: leases.Lease
    rollout: rollout.Rollout
    # When this daemon last told of each drain.
    drains_published_ms: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    store_retry_at_ms: int = 0


class Leader:
    """Rolls out weights for the models that this daemon leads."""

    def __init__(
        self,
        *,
        core: runtime.Runtime,
        client: backend.BackendClient,
        lease_store: platform.ConditionalRows,
        members: view.View,
        updates: peer_updates.PeerUpdates,
        policy: leases.LeasePolicy,
        rollout_policy: rollout.RolloutPolicy | None = None,
        metrics: rollout_log.OrderMetrics | None = None,
        audience: assignment.Audience | None = None,
    ) -> None:
        """Leads nothing yet.

        Args:
            core: What this daemon knows.
            client: Speaks to servers.
            lease_store: Keeps the rows of leases.
            members: The other daemons.
            updates: Tells them of drains.
            policy: Times of a lease.
            rollout_policy: Times of a roll-out.
            metrics: Takes figures of loads.
            audience: Chooses who hears of a model's servers.
        """
        self._audience = audience or assignment.AudienceByTarget()
        self._log = rollout_log.RolloutLog(clock=core.clock, metrics=metrics)
        self._rollout_policy = rollout_policy or rollout.RolloutPolicy()
        # What is behind which version, and since when that is so.
        self._behind: dict[str, tuple[tuple[str, frozenset[str]], int]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._core = core
        self._client = client
        self._lease_store = lease_store
        self._members = members
        self._updates = updates
        self._policy = policy
        self._led: dict[str, _LedModel] = {}

    async def lead_forever(self, *, step_ms: int) -> None:
        """Takes a step for each led model again and again."""
        while True:
            for model in self._models_behind():
                await self.step(model)
            await asyncio.sleep(step_ms / 1000)

    async def step(self, model: str) -> None:
        """Goes on with a model's roll-out where it is this daemon's turn."""
        led = self._led.get(model)
        if led is None:
            led = self._led[model] = self._new_led_model(model)
        if not await self._may_order(model, led):
            return
        world = self._core.core.world
        row = world.table.models.get(model)
        if row is None:
            return
        wanted = row.weights_version
        pace = model_state.pace_inputs(world, model, wanted)
        decision = led.rollout.decide(
            desired_version=wanted,
            replicas=model_state.replicas(world, model),
            now_ms=self._core.clock.now_ms(),
            is_under_load=pace.is_under_load,
            held_by_others=led.lease.held_by_others(),
        )
        self._log.log_step(model, pace, decision.overview)
        # Before the store is asked: what was decided on loads is outdated once
        # it has answered, since servers not drained yet take work meanwhile.
        ready = [name for name in decision.load if led.lease.may_send(name)]
        if not await self._record_orders(model, led, decision):
            return
        self._drain(led, model, decision.draining)
        for server_id in ready:
            # Gone, where it left the list while the store was asked. No longer
            # drained, where an order before this one was refused meanwhile:
            # the error would end the daemon.
            server = world.servers.get(server_id)
            if server is not None and led.rollout.is_draining(server_id):
                self._start_load(led, server, wanted)

    async def _may_order(self, model: str, led: _LedModel) -> bool:
        """Returns whether to order now; reads the row where that may be."""
        if led.lease.is_own:
            return True
        now_ms = self._core.clock.now_ms()
        if now_ms < led.store_retry_at_ms:
            return False
        if not self._is_eligible(model, led):
            return False
        if not await led.lease.refresh():
            led.store_retry_at_ms = self._core.clock.now_ms() + STORE_RETRY_MS
            self._log_wait(model, led, rollout_log.WaitReason.STORE_LOST)
            return False
        # What the row tells may be that another is at work.
        if not self._is_eligible(model, led):
            self._log_wait(model, led, rollout_log.WaitReason.OTHER_TURN)
            return False
        return True

    def _daemons_before(self, model: str, led: _LedModel) -> int:
        """Returns how many daemons come before this one."""
        ranked = assignment.leaders(
            model,
            self._members.serving(),
            self._core.core.world.table.targets,
            self._audience,
        )
        own = self._members.me.member_id
        return takeover.rank(own, led.lease.holder, ranked)

    def _log_wait(
        self, model: str, led: _LedModel, why: rollout_log.WaitReason
    ) -> None:
        if self._log.last_wait(model) is why:
            return
        self._log.log_wait(
            model,
            why,
            daemons_before=self._daemons_before(model, led),
            holder=led.lease.holder,
            idle_ms=led.lease.idle_ms(),
        )

    def _is_eligible(self, model: str, led: _LedModel) -> bool:
        place = self._daemons_before(model, led)
        (_, behind), since_ms = self._behind[model]
        if place and behind & led.lease.held_by_others():
            # The lead is at work: loads take up to 3 s, in which nothing need
            # change. Taken for lost, it would have to wait a lease for what
            # it had ordered itself, and take the right back after that.
            return False
        return takeover.may_order(
            daemons_before=place,
            unchanged_ms=self._core.clock.now_ms() - since_ms,
            idle_ms=led.lease.idle_ms(),
        )

    async def _record_orders(
        self, model: str, led: _LedModel, decision: rollout.Decision
    ) -> bool:
        """Records the orders decided on; returns whether they may be given.

        Recorded before a server is drained: one that is drained while the
        store lets no order go out would serve nobody for nothing.
        """
        lease = led.lease
        unrecorded = {
            name for name in decision.draining if not lease.is_recorded(name)
        }
        unrecorded.update(
            name for name in decision.load if not lease.may_send(name)
        )
        if not unrecorded:
            return True
        now_ms = self._core.clock.now_ms()
        was_own = lease.is_own
        if now_ms >= led.store_retry_at_ms and await lease.record(unrecorded):
            if not was_own:
                self._log_lease(model, led, held=True)
            self._log_wait(model, led, rollout_log.WaitReason.NONE)
            return True
        if now_ms >= led.store_retry_at_ms:
            led.store_retry_at_ms = self._core.clock.now_ms() + STORE_RETRY_MS
            self._log_wait(model, led, rollout_log.WaitReason.NOT_RECORDED)
        if not lease.is_own:
            if was_own:
                self._log_lease(model, led, held=False)
            led.rollout = rollout.Rollout(self._rollout_policy)
            return False
        led.rollout.withdraw(unrecorded)
        return False

    def _log_lease(self, model: str, led: _LedModel, *, held: bool) -> None:
        logging.info(
            "event=lease model=%s held=%d fencing=%d holder=%s idle_ms=%d",
            model,
            held,
            led.lease.fencing,
            led.lease.holder,
            led.lease.idle_ms(),
        )

    def _drain(
        self, led: _LedModel, model: str, server_ids: Iterable[str]
    ) -> None:
        """Takes servers out of service, and keeps those out that are.

        A drain ends with the weights that it was for, and the next load of the
        same server may follow at once; and one that the lead before told may
        have been heard here alone. Either way the order would go to a server
        that others send work to, so that a notice is spared only where this
        daemon has told one that still holds.
        """
        now_ms = self._core.clock.now_ms()
        until_ms = now_ms + peer_updates.DRAIN_TTL_MS
        servers = self._core.core.world.servers
        for server_id in server_ids:
            row = servers.get(server_id)
            drained_until_ms = 0 if row is None else row.draining_until_ms
            told_ms = led.drains_published_ms.get(server_id, -DRAIN_REPEAT_MS)
            told_until_ms = min(
                drained_until_ms, told_ms + peer_updates.DRAIN_TTL_MS
            )
            if until_ms - told_until_ms < DRAIN_REPEAT_MS:
                continue
            led.drains_published_ms[server_id] = now_ms
            self._core.submit(
                server_inputs.ServerDraining(now_ms, server_id, until_ms)
            )
            self._updates.publish_draining(server_id, model)

    def _models_behind(self) -> list[str]:
        """Returns models with servers that need new weights.

        Whose turn it is for each is decided by rank and by what the row of
        its lease tells: the first in rank may be cut off from the store, or
        too slow, while others reach it.
        """
        now_ms = self._core.clock.now_ms()
        world = self._core.core.world
        found = []
        for name, row in world.table.models.items():
            behind = model_state.servers_behind(
                world, name, row.weights_version
            )
            state = (row.weights_version, behind)
            if name not in self._behind or self._behind[name][0] != state:
                self._behind[name] = (state, now_ms)
            if behind:
                found.append(name)
        return found

    def _new_led_model(self, model: str) -> _LedModel:
        lease = leases.Lease(
            service=self._lease_store,
            name=model,
            holder=self._members.me.member_id,
            policy=self._policy,
            clock=self._core.clock,
        )
        return _LedModel(lease, rollout.Rollout(self._rollout_policy))

    def _start_load(
        self, led: _LedModel, server: entities.ServerRow, wanted: str
    ) -> None:
        now_ms = self._core.clock.now_ms()
        led.rollout.record_order(server.server_id, now_ms=now_ms)
        task = asyncio.create_task(self._order_and_watch(led, server, wanted))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _order_and_watch(
        self, led: _LedModel, server: entities.ServerRow, wanted: str
    ) -> None:
        """Orders one server to load weights, and waits until it has them."""
        clock, policy = self._core.clock, self._rollout_policy
        began_ms = clock.now_ms()
        outcome = rollout_log.OrderOutcome.NO_REPORT
        limit_ms = policy.load_limit_ms
        answer = await self._send_order(led, server, wanted)
        if answer.is_refusal:
            if answer is not order_result.OrderResult.RESTARTED:
                led.rollout.record_refusal(
                    server.server_id, now_ms=clock.now_ms()
                )
            outcome = rollout_log.OrderOutcome.REFUSED
            limit_ms = 0
        elif answer is order_result.OrderResult.ACCEPTED:
            led.rollout.record_acceptance(server.server_id)
            limit_ms = policy.accepted_limit_ms
        if await self._is_loaded(server, wanted, limit_ms=limit_ms):
            outcome = rollout_log.OrderOutcome.LOADED
            # It was out of service while it drained as well.
            took_ms = clock.now_ms() - began_ms + policy.order_after_ms
            led.rollout.record_load(took_ms=took_ms)
        self._log.record_order(outcome, after_ms=clock.now_ms() - began_ms)

    async def _is_loaded(
        self, server: entities.ServerRow, wanted: str, *, limit_ms: int
    ) -> bool:
        """Waits until a server has the weights that it was ordered to load.

        Returns:
            False where it did not tell so within the limit, or started again
            or left.
        """
        ends_ms = self._core.clock.now_ms() + limit_ms
        started = server.incarnation
        servers = self._core.core.world.servers
        while self._core.clock.now_ms() < ends_ms:
            await asyncio.sleep(LOAD_POLL_MS / 1000)
            known = servers.get(server.server_id)
            if known is None or known.incarnation != started:
                return False
            got = await self._fetch_load(server)
            if got is not None and got.weights_version == wanted:
                return True
        return False

    async def _send_order(
        self, led: _LedModel, server: entities.ServerRow, wanted: str
    ) -> order_result.OrderResult:
        """Gives an order; returns what became of it."""
        drained = server.incarnation
        state = await self._fetch_load(server)
        if server.incarnation != drained:
            # Its drain was the process's before; all daemons send work to it.
            return order_result.OrderResult.RESTARTED
        # Asked again right before sending: this daemon may have been stopped
        # since the last look, and another holder may be at work.
        if not led.lease.may_send(server.server_id):
            return order_result.OrderResult.REFUSED
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
        answer = order_result.classify(got)
        if answer is order_result.OrderResult.STALE_FENCING:
            led.lease.forfeit()
        elif answer is order_result.OrderResult.OTHER_SERVER:
            now_ms = self._core.clock.now_ms()
            self._core.submit(
                server_inputs.ServerLeaving(now_ms, server.server_id)
            )
        return answer

    async def _fetch_load(
        self, server: entities.ServerRow
    ) -> backend.EngineLoad | None:
        """Asks a server for its state; tells new weights and a new start."""
        got = await self._client.load(
            server.address, server_id=server.server_id
        )
        if isinstance(got, Err):
            return None
        load = got.ok_value
        restarted = incarnation.is_older(server.incarnation, load.incarnation)
        if restarted or load.weights_version != server.weights_version:
            told = server_watcher.load_reported(server, load, self._core)
            self._core.submit(told)
            self._updates.publish_load(told, server.target, immediately=True)
        return load


__all__ = ["Leader"]
