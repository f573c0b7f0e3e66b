"""Leads roll-outs of weights: acquires leases, drains and orders servers."""

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


# Interval between two notices of one drain; each expires after
# `peer_updates.DRAIN_TTL_MS`.
DRAIN_REPEAT_MS = 1_000
# Pause after a call to the store that failed or recorded nothing.
STORE_RETRY_MS = 300
# Interval between two polls of a server that loads weights, which takes 0.5 to
# 3.2 s.
LOAD_POLL_MS = 120


@dataclasses.dataclass(slots=True)
class _LedModel:
    lease: leases.Lease
    rollout: rollout.Rollout
    # When this daemon last published each drain, by server id.
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
        """Starts without leading any model.

        Args:
            core: Runs the core of this daemon.
            client: Calls servers.
            lease_store: Stores the rows of leases.
            members: This daemon's view of all daemons.
            updates: Publishes drains to peers.
            policy: Times of a lease.
            rollout_policy: Times of a roll-out.
            metrics: Records results of orders; None without metrics.
            audience: Chooses the daemons that receive updates about a model.
        """
        self._audience = audience or assignment.AudienceByTarget()
        self._log = rollout_log.RolloutLog(clock=core.clock, metrics=metrics)
        self._rollout_policy = rollout_policy or rollout.RolloutPolicy()
        # By model: the desired version with the servers that lack it, and
        # since when both are unchanged.
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
        """Takes a step for each model with servers behind until cancelled."""
        while True:
            for model in self._models_behind():
                await self.step(model)
            await asyncio.sleep(step_ms / 1000)

    async def step(self, model: str) -> None:
        """Continues a model's roll-out if this daemon may order."""
        led = self._led.get(model)
        if led is None:
            led = self._led[model] = self._new_led_model(model)
        if not await self._may_order(model, led):
            return
        world = self._core.core.world
        row = world.table.models.get(model)
        if row is None:
            return
        version = row.weights_version
        pace = model_state.pace_inputs(world, model, version)
        decision = led.rollout.decide(
            desired_version=version,
            replicas=model_state.replicas(world, model),
            now_ms=self._core.clock.now_ms(),
            is_under_load=pace.is_under_load,
            held_by_others=led.lease.held_by_others(),
        )
        self._log.log_step(model, pace, decision.overview)
        # Selected before the store is called: the decision on loads is
        # outdated once it has replied, since servers that are not drained yet
        # receive work in the meantime.
        ready = [
            name
            for name in decision.servers_to_load
            if led.lease.may_send(name)
        ]
        if not await self._record_orders(model, led, decision):
            return
        self._drain(led, model, decision.draining)
        for server_id in ready:
            # While the store was called, the server may have left the list, or
            # an earlier order was refused and its drain ended. Ordering it
            # then would raise an error that ends the daemon.
            server = world.servers.get(server_id)
            if server is not None and led.rollout.is_draining(server_id):
                self._start_load(led, server, version)

    async def _may_order(self, model: str, led: _LedModel) -> bool:
        """Returns whether to order now; reads the lease row if eligible."""
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
        # The row just read may show that another daemon orders.
        if not self._is_eligible(model, led):
            self._log_wait(model, led, rollout_log.WaitReason.OTHER_TURN)
            return False
        return True

    def _daemons_before(self, model: str, led: _LedModel) -> int:
        """Returns how many daemons rank before this one."""
        ranked = assignment.leaders(
            model,
            self._members.serving(),
            self._core.core.world.table.targets,
            self._audience,
        )
        own = self._members.me.member_id
        return takeover.rank(own, led.lease.holder, ranked)

    def _log_wait(
        self, model: str, led: _LedModel, reason: rollout_log.WaitReason
    ) -> None:
        if self._log.last_wait(model) is reason:
            return
        self._log.log_wait(
            model,
            reason,
            daemons_before=self._daemons_before(model, led),
            holder=led.lease.holder,
            idle_ms=led.lease.idle_ms(),
        )

    def _is_eligible(self, model: str, led: _LedModel) -> bool:
        daemons_before = self._daemons_before(model, led)
        (_, behind), since_ms = self._behind[model]
        if daemons_before and behind & led.lease.held_by_others():
            # The lead is active: loads take up to 3 s, in which nothing may
            # change. If it were considered lost, it would have to wait one
            # lease time for the servers that it ordered itself, and then take
            # the lease back.
            return False
        return takeover.may_order(
            daemons_before=daemons_before,
            unchanged_ms=self._core.clock.now_ms() - since_ms,
            idle_ms=led.lease.idle_ms(),
        )

    async def _record_orders(
        self, model: str, led: _LedModel, decision: rollout.Decision
    ) -> bool:
        """Records the orders decided on; returns whether they may be sent.

        They are recorded before a server is drained: a server drained while
        the store accepts no order would be out of service to no purpose.
        """
        lease = led.lease
        unrecorded = {
            name for name in decision.draining if not lease.is_recorded(name)
        }
        unrecorded.update(
            name
            for name in decision.servers_to_load
            if not lease.may_send(name)
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
        """Drains servers, and renews the notices of those that are drained.

        A drain ends when its weights are loaded, and the next load of the same
        server may follow at once; and a notice published by the previous lead
        may have reached only this daemon. In both cases the order would go to
        a server that others send work to, so a notice is skipped only if this
        daemon published one that has not expired.
        """
        now_ms = self._core.clock.now_ms()
        until_ms = now_ms + peer_updates.DRAIN_TTL_MS
        servers = self._core.core.world.servers
        for server_id in server_ids:
            row = servers.get(server_id)
            drained_until_ms = 0 if row is None else row.draining_until_ms
            published_ms = led.drains_published_ms.get(
                server_id, -DRAIN_REPEAT_MS
            )
            published_until_ms = min(
                drained_until_ms, published_ms + peer_updates.DRAIN_TTL_MS
            )
            if until_ms - published_until_ms < DRAIN_REPEAT_MS:
                continue
            led.drains_published_ms[server_id] = now_ms
            self._core.submit(
                server_inputs.ServerDraining(now_ms, server_id, until_ms)
            )
            self._updates.publish_draining(server_id, model)

    def _models_behind(self) -> list[str]:
        """Returns models with servers that need new weights.

        Which daemon may order for each is decided by rank and by the row of
        its lease: the first in rank may be too slow, or cut off from the
        store while others reach it.
        """
        now_ms = self._core.clock.now_ms()
        world = self._core.core.world
        models = []
        for name, row in world.table.models.items():
            behind = model_state.servers_behind(
                world, name, row.weights_version
            )
            state = (row.weights_version, behind)
            if name not in self._behind or self._behind[name][0] != state:
                self._behind[name] = (state, now_ms)
            if behind:
                models.append(name)
        return models

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
        self, led: _LedModel, server: entities.ServerRow, version: str
    ) -> None:
        now_ms = self._core.clock.now_ms()
        led.rollout.record_order(server.server_id, now_ms=now_ms)
        task = asyncio.create_task(self._order_and_watch(led, server, version))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _order_and_watch(
        self, led: _LedModel, server: entities.ServerRow, version: str
    ) -> None:
        """Orders one server to load weights, and waits until it has them."""
        clock, policy = self._core.clock, self._rollout_policy
        started_ms = clock.now_ms()
        outcome = rollout_log.OrderOutcome.NO_REPORT
        limit_ms = policy.load_limit_ms
        answer = await self._send_order(led, server, version)
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
        if await self._is_loaded(server, version, limit_ms=limit_ms):
            outcome = rollout_log.OrderOutcome.LOADED
            # The server was also out of service while it drained.
            took_ms = clock.now_ms() - started_ms + policy.order_after_ms
            led.rollout.record_load(took_ms=took_ms)
        self._log.record_order(outcome, after_ms=clock.now_ms() - started_ms)

    async def _is_loaded(
        self, server: entities.ServerRow, version: str, *, limit_ms: int
    ) -> bool:
        """Waits until a server has the weights that it was ordered to load.

        Returns:
            False if it did not report them within the limit, or restarted or
            left.
        """
        ends_ms = self._core.clock.now_ms() + limit_ms
        ordered_incarnation = server.incarnation
        servers = self._core.core.world.servers
        while self._core.clock.now_ms() < ends_ms:
            await asyncio.sleep(LOAD_POLL_MS / 1000)
            row = servers.get(server.server_id)
            if row is None or row.incarnation != ordered_incarnation:
                return False
            result = await self._fetch_load(server)
            if result is not None and result.weights_version == version:
                return True
        return False

    async def _send_order(
        self, led: _LedModel, server: entities.ServerRow, version: str
    ) -> order_result.OrderResult:
        """Sends an order and returns its result."""
        drained_incarnation = server.incarnation
        state = await self._fetch_load(server)
        if state is None:
            # Open connections may be silent while new ones work.
            state = await self._fetch_load(server, fresh_connection=True)
        if server.incarnation != drained_incarnation:
            # The drain applied to its previous process; all daemons send work
            # to the new one.
            return order_result.OrderResult.RESTARTED
        if state is None:
            # Without the number of accepted orders the server can't tell that
            # this one is late, and would carry it out after newer ones.
            logging.info(
                "event=weights_not_ordered server=%s version=%s detail=%r",
                server.server_id,
                version,
                "no report of its accepted orders",
            )
            return order_result.OrderResult.REFUSED
        # Checked again right before sending: this daemon may have been
        # suspended since the last check, and another holder may order now.
        if not led.lease.may_send(server.server_id):
            return order_result.OrderResult.REFUSED
        result = await self._client.order(
            server.address,
            backend.Order(
                kind=backend.OrderKind.LOAD_WEIGHTS,
                fencing=led.lease.fencing,
                value=version,
                target=server.target,
                server_id=server.server_id,
                holder=self._members.me.member_id,
                expected_accepted_orders=state.accepted_orders,
            ),
        )
        detail = str(result.err_value) if isinstance(result, Err) else "ordered"
        logging.info(
            "event=weights_ordered server=%s version=%s fencing=%d detail=%r",
            server.server_id,
            version,
            led.lease.fencing,
            detail,
        )
        answer = order_result.classify(result)
        if answer is order_result.OrderResult.STALE_FENCING:
            led.lease.forfeit()
        elif answer is order_result.OrderResult.OTHER_SERVER:
            now_ms = self._core.clock.now_ms()
            self._core.submit(
                server_inputs.ServerLeaving(now_ms, server.server_id)
            )
        return answer

    async def _fetch_load(
        self, server: entities.ServerRow, *, fresh_connection: bool = False
    ) -> backend.EngineLoad | None:
        """Fetches a server's load; reports new weights and restarts."""
        result = await self._client.load(
            server.address,
            server_id=server.server_id,
            fresh_connection=fresh_connection,
        )
        if isinstance(result, Err):
            return None
        load = result.ok_value
        restarted = incarnation.is_older(server.incarnation, load.incarnation)
        if restarted or load.weights_version != server.weights_version:
            reported = server_watcher.load_reported(server, load, self._core)
            self._core.submit(reported)
            self._updates.publish_load(
                reported, server.target, immediately=True
            )
        return load


__all__ = ["Leader"]
