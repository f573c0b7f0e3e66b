"""The core's entry: one input in, its effects out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import (
    admission,
    attempts,
    availability,
    backlog,
    claims,
    crashes,
    dispatching,
    effects,
    entities,
    inputs,
    outcomes,
    probing,
    rate_limits,
    resuming,
    server_inputs,
    servers,
    timeouts,
    weights,
)
from godwittack.core import policy as policies
from godwittack.limit import budget

if TYPE_CHECKING:
    from godwittack.table import model


class Router:
    """Decides what a daemon does; holds no sockets, tasks or clocks."""

    def __init__(self, world: entities.World) -> None:
        """Wraps the tables in `world`."""
        self.world = world

    @classmethod
    def from_config(
        cls,
        *,
        daemon: str,
        table: model.Table | None = None,
        policy: policies.Policy | None = None,
    ) -> Router:
        """Builds a core with empty tables.

        Args:
            daemon: This daemon's incarnation, unique over all restarts.
            table: Operators' table, where one is known already.
            policy: Tunable numbers.
        """
        policy = policy or policies.Policy()
        world = entities.World(daemon=daemon, policy=policy)
        world.live_daemons = world.carriers = frozenset({daemon})
        world.retry_budget = budget.Budget(
            ratio=policy.retry_ratio,
            burst=policy.retry_burst,
            tokens=policy.retry_burst,
        )
        world.spill_budget = budget.Budget(
            ratio=policy.spill_ratio,
            burst=policy.spill_burst,
            tokens=policy.spill_burst,
        )
        world.shares.daemon = daemon
        if table is not None:
            world.table = table
        return cls(world)

    def step(self, told: inputs.Input) -> list[effects.Effect]:
        """Takes one input and returns its effects in order."""
        world = self.world
        world.out = []
        world.now_ms = max(world.now_ms, told.at_ms)
        if world.started_at_ms < 0:
            world.started_at_ms = world.now_ms
        self._handle(told)
        if world.freed_targets:
            dispatching.dispatch_queued(world)
        self._check_stopped()
        return world.out

    def _handle(self, told: inputs.Input) -> None:
        world = self.world
        match told:
            case inputs.FramesArrived():
                attempts.relay_frames(world, told)
            case inputs.RequestArrived():
                admission.arrive(world, told)
            case inputs.AttemptOpened():
                attempts.handle_opened(world, told)
            case inputs.AnswerArrived():
                attempts.handle_answer(world, told)
            case inputs.UsageReported():
                attempts.log_usage(world, told)
            case inputs.AttemptFailed():
                attempts.handle_failure(world, told)
            case inputs.CallerGone():
                attempts.handle_caller_gone(world, told)
            case inputs.StreamResumed():
                resuming.resume(world, told)
            case inputs.ClaimAnswered():
                claims.apply_verdict(world, told)
            case inputs.OutcomeStored():
                self._outcome_stored(told)
            case server_inputs.LoadReported():
                servers.load_reported(world, told)
            case server_inputs.LoadEchoed():
                servers.load_echoed(world, told)
            case server_inputs.RateLimitEchoed():
                rate_limits.echoed(world, told)
            case server_inputs.RateLimitTold():
                rate_limits.told_by_peer(world, told)
            case server_inputs.CacheDigest():
                servers.digest(world, told)
            case server_inputs.ServerListed():
                servers.listed(world, told)
            case server_inputs.ServerDraining():
                servers.draining_told(world, told)
            case server_inputs.ServerLeaving():
                availability.leaving_told(world, told)
            case server_inputs.RestAsked():
                availability.rest_asked(world, told)
            case server_inputs.ProbeAnswered():
                probing.apply_result(world, told)
            case server_inputs.ServerDoubted():
                probing.handle_suspected(world, told)
            case _:
                self._handle_control(told)

    def _handle_control(self, told: inputs.Input) -> None:
        world = self.world
        match told:
            case inputs.Tick():
                self._tick()
            case inputs.TableChanged():
                # Peers, lagging replicas and the object store's copy may all
                # bring an older table than the one in force here.
                if told.table.version > world.table.version:
                    weights.named(world, told)
                    world.table = told.table
            case server_inputs.PeerDispatched():
                backlog.peer_dispatched(world, told)
            case inputs.CrashesTold():
                crashes.told(world, told)
            case inputs.PeerDemand():
                self._peer_demand(told)
            case inputs.MembersChanged():
                world.live_daemons = frozenset(told.live) | {world.daemon}
                world.known_daemons = max(told.known, len(world.live_daemons))
                world.most_daemons = max(
                    world.most_daemons, world.known_daemons
                )
                world.has_met_others |= len(world.live_daemons) > 1
                world.members_changed_ms = world.now_ms
                world.shares.live = world.live_daemons
                world.shares.groups.clear()
                world.carriers = frozenset(told.carriers) or world.live_daemons
                rate_limits.deal_all(world)
            case inputs.RightToServe():
                held = told.until_ms > world.now_ms
                if world.right_to_serve != held:
                    world.event("right_to_serve", held=int(held))
                world.right_until_ms = told.until_ms
            case inputs.StopOrdered():
                world.stopping = True
                world.event("stopping", in_flight=len(world.requests))

    def _tick(self) -> None:
        world = self.world
        world.shares.measure(world.now_ms)
        outcomes.retry_due(world)
        attempts.reply_unstored(world)
        probing.probe_unresponsive(world)
        timeouts.handle_stalled(world)
        timeouts.end_overdue(world)
        probing.check_ejected(world)
        availability.end_rests(world)
        dispatching.expire_queued(world)
        world.quarantine.forget(now_ms=world.now_ms)

    def _outcome_stored(self, told: inputs.OutcomeStored) -> None:
        held = outcomes.stored(self.world, told)
        request = self.world.requests.get(told.request_id)
        if held and request and request.phase is entities.Phase.STORING:
            attempts.reply(self.world, request)

    def _peer_demand(self, told: inputs.PeerDemand) -> None:
        shares = self.world.shares
        if not told.alive:
            shares.peer_gone(told.daemon_id)
            return
        # A cell that is not named any more has no demand there any more.
        shares.peer_gone(told.daemon_id)
        for cell in told.cells:
            shares.peer_told(
                daemon=told.daemon_id,
                cell=cell.cell,
                wanted=cell.wanted,
                rate_per_s=cell.rate_per_s,
            )

    def _check_stopped(self) -> None:
        world = self.world
        if not world.stopping or world.stopped:
            return
        if world.requests or world.outcomes:
            return
        world.stopped = True
        world.emit(effects.Stopped())


__all__ = ["Router"]
