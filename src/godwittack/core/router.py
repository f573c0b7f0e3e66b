"""Entry point of the core: maps each input to its effects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import (
    admission,
    attempts,
    availability,
    backlog,
    brittle,
    claims,
    confirming,
    crashes,
    dispatching,
    effects,
    entities,
    hedging,
    inputs,
    kv_cache,
    length_routing,
    locality,
    memory_updates,
    outcomes,
    pace_sharing,
    paths,
    probing,
    quotas,
    rate_limits,
    resuming,
    server_inputs,
    servers,
    silence,
    stopping,
    stream_history,
    stream_versions,
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
        """Uses the tables in `world`."""
        self.world = world

    @classmethod
    def from_config(
        cls,
        *,
        daemon: str,
        failure_domain: str = "",
        table: model.Table | None = None,
        policy: policies.Policy | None = None,
    ) -> Router:
        """Builds a core with empty tables.

        Args:
            daemon: This daemon's incarnation, unique across restarts.
            failure_domain: This daemon's failure domain; empty if unknown.
            table: Operators' table, if one is already known.
            policy: Tunable parameters.
        """
        policy = policy or policies.Policy()
        world = entities.World(
            daemon=daemon, policy=policy, failure_domain=failure_domain
        )
        world.live_daemons = world.serving_daemons = frozenset({daemon})
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
        world.quotas.tolerance = quotas.tolerance(policy)
        if table is not None:
            world.table = table
        return cls(world)

    def step(self, input_: inputs.Input) -> list[effects.Effect]:
        """Processes one input and returns its effects in order."""
        world = self.world
        world.pending_effects = []
        world.now_ms = max(world.now_ms, input_.at_ms)
        if world.started_at_ms < 0:
            world.started_at_ms = world.now_ms
            world.quotas.start_listening(world.now_ms)
        self._handle(input_)
        if world.targets_to_dispatch:
            dispatching.dispatch_queued(world)
        self._check_stopped()
        return world.pending_effects

    def _handle(self, input_: inputs.Input) -> None:
        world = self.world
        match input_:
            case inputs.FramesArrived():
                attempts.relay_frames(world, input_)
            case inputs.RequestArrived():
                admission.admit(world, input_)
            case inputs.AttemptOpened():
                attempts.handle_opened(world, input_)
            case inputs.AnswerArrived():
                attempts.handle_answer(world, input_)
            case inputs.UsageReported():
                attempts.log_usage(world, input_)
            case inputs.AttemptFailed():
                attempts.handle_failure(world, input_)
            case inputs.CallerGone():
                world.waiting_arrivals.pop(input_.request_id, None)
                attempts.handle_caller_gone(world, input_)
            case inputs.StreamResumed():
                resuming.resume(world, input_)
            case inputs.ClaimAnswered():
                claims.apply_verdict(world, input_)
            case inputs.OutcomeStored():
                self._apply_outcome_stored(input_)
            case server_inputs.LoadReported():
                servers.apply_load_report(world, input_)
            case server_inputs.LoadEchoed():
                servers.apply_echoed_load(world, input_)
            case server_inputs.LoadTold():
                pace_sharing.apply_peer(world, input_)
            case server_inputs.IdleConnections():
                locality.apply_idle_connections(world, input_)
            case server_inputs.RateLimitEchoed():
                rate_limits.apply_echoed_limit(world, input_)
            case server_inputs.RateLimitTold():
                rate_limits.apply_peer_update(world, input_)
            case server_inputs.BrittleEchoed():
                brittle.apply_echo(world, input_)
            case server_inputs.BrittleTold():
                brittle.apply_peer_update(world, input_)
            case server_inputs.CacheDigest():
                servers.apply_cache_digest(world, input_)
            case server_inputs.ServerListed():
                servers.apply_list_entry(world, input_)
            case server_inputs.ServerDraining():
                servers.apply_draining(world, input_)
            case server_inputs.ServerLeaving():
                availability.record_leaving(world, input_)
            case server_inputs.RestAsked():
                availability.record_rest(world, input_)
            case server_inputs.EndlessAnswer():
                servers.apply_endless_answer(world, input_)
            case server_inputs.ProbeAnswered():
                probing.apply_result(world, input_)
            case server_inputs.PathAnswered():
                probing.apply_path_answer(world, input_)
            case server_inputs.PathsTold():
                paths.apply_told(world, input_)
            case server_inputs.ServerDoubted():
                probing.handle_suspected(world, input_)
            case _:
                self._handle_control(input_)

    def _handle_control(self, input_: inputs.Input) -> None:
        world = self.world
        match input_:
            case inputs.Tick():
                silence.discount_pause(world, input_.late_ms)
                self._tick()
            case inputs.TableChanged():
                # Peers, lagging replicas and the object store's copy may all
                # deliver an older table than the active one.
                if input_.table.version > world.table.version:
                    weights.record_desired_versions(world, input_)
                    kv_cache.log_group_change(world, input_.table)
                    stream_versions.record_routes(world, input_.table)
                    world.table = input_.table
                    admission.reconsider_waiting(world)
            case inputs.StateConfirmed():
                self._record_confirmation(input_)
            case inputs.ConfirmationEnded():
                self._end_confirmation(input_)
            case server_inputs.PeerDispatched():
                backlog.record_peer_dispatch(world, input_)
                length_routing.record_peer_dispatch(world, input_)
                memory_updates.record_peer_dispatch(world, input_)
            case inputs.CrashesTold():
                crashes.apply_peer_update(world, input_)
            case inputs.PeerDemand():
                self._apply_peer_demand(input_)
            case inputs.UsageTold():
                quotas.apply_reports(world, input_)
            case inputs.FleetReached():
                quotas.record_reach(world, input_.part)
            case inputs.StreamHistoryRead():
                stream_history.restore(world, input_)
                confirming.fill_gaps(world)
            case inputs.StreamTold():
                stream_versions.apply_told(world, input_)
            case inputs.StreamAnswered():
                stream_versions.handle_answer(world, input_)
            case inputs.MembersChanged():
                before = world.serving_daemons
                world.live_daemons = frozenset(input_.live) | {world.daemon}
                world.expected_daemons = max(
                    input_.known, len(world.live_daemons)
                )
                world.max_expected_daemons = max(
                    world.max_expected_daemons, world.expected_daemons
                )
                world.has_seen_peers |= len(world.live_daemons) > 1
                world.members_changed_ms = world.now_ms
                world.near_daemons = frozenset(input_.near) - {world.daemon}
                world.shares.live = world.live_daemons
                world.shares.groups.clear()
                world.serving_daemons = (
                    frozenset(input_.carriers) or world.live_daemons
                )
                world.preferred_engines.clear()
                rate_limits.recompute_shares(world)
                brittle.record_members(world, before=before)
                quotas.record_members(world, before=before)
            case inputs.RightToServe():
                is_held = input_.until_ms > world.now_ms
                if world.has_serving_lease != is_held:
                    world.event("right_to_serve", held=int(is_held))
                world.serving_lease_until_ms = input_.until_ms
            case inputs.StopOrdered():
                world.stopping = True
                world.event("stop_ordered", in_flight=len(world.requests))
                admission.reconsider_waiting(world)
            case inputs.StopOverdue():
                stopping.end_requests(world)

    def _tick(self) -> None:
        world = self.world
        world.shares.update_demand(world.now_ms)
        quotas.report_usage(world)
        outcomes.retry_due_writes(world)
        attempts.reply_unstored(world)
        probing.probe_unresponsive(world)
        hedging.check(world)
        timeouts.handle_stalled(world)
        timeouts.end_overdue(world)
        paths.check(world)
        probing.check_ejected(world)
        availability.end_rests(world)
        crashes.settle(world)
        dispatching.expire_queued(world)
        admission.reconsider_waiting(world)
        stream_versions.await_reads(world)
        world.quarantine.expire(now_ms=world.now_ms)
        world.streams.expire(now_ms=world.now_ms)

    def _end_confirmation(self, input_: inputs.ConfirmationEnded) -> None:
        world = self.world
        confirming.record_end(world, input_)
        admission.reconsider_waiting(world)
        stream_versions.await_reads(world)

    def _record_confirmation(self, input_: inputs.StateConfirmed) -> None:
        world = self.world
        confirming.record_confirmation(world, input_)
        if confirming.may_refuse_unknown(world):
            admission.reconsider_waiting(world)

    def _apply_outcome_stored(self, input_: inputs.OutcomeStored) -> None:
        is_stored = outcomes.apply_write_result(self.world, input_)
        request = self.world.requests.get(input_.request_id)
        if is_stored and request and request.phase is entities.Phase.STORING:
            attempts.reply(self.world, request)

    def _apply_peer_demand(self, input_: inputs.PeerDemand) -> None:
        shares = self.world.shares
        if not input_.alive:
            shares.forget_peer(input_.daemon_id)
            return
        # The peer has no more demand on cells that it no longer lists.
        shares.forget_peer(input_.daemon_id)
        for cell in input_.cells:
            shares.record_peer_demand(
                daemon=input_.daemon_id,
                cell=cell.cell,
                demand=cell.wanted,
                rate_per_s=cell.rate_per_s,
            )

    def _check_stopped(self) -> None:
        world = self.world
        if not world.stopping or world.stopped:
            return
        if world.requests or world.outcomes or world.waiting_arrivals:
            return
        world.stopped = True
        world.emit(effects.Stopped())


__all__ = ["Router"]
