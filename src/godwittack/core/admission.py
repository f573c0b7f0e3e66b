"""Admits or refuses new requests."""

from __future__ import annotations

import dataclasses
import hmac
from typing import TYPE_CHECKING

from godwittack.core import (
    cell_limits,
    claims,
    confirming,
    dispatching,
    effects,
    entities,
    placing,
    quotas,
    retries,
    routing,
    stopping,
    stream_versions,
    urgency,
    work,
)
from godwittack.member import freshness
from godwittack.table import model

if TYPE_CHECKING:
    from godwittack.core import inputs

READ_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
LIMIT_RETRY_MS = 500
NOT_CURRENT_RETRY_MS = 2_000


def admit(world: entities.World, arrival: inputs.RequestArrived) -> None:
    """Checks a new request and starts it, or refuses it."""
    if world.stopping:
        stopping.refuse(world, arrival.request_id)
        return
    requested = arrival.work
    if requested.host:
        routed = routing.route(world, arrival)
        if isinstance(routed, routing.Refusal):
            _refuse_or_confirm(world, arrival, routed)
            return
        requested, workspace = routed.work, routed.workspace
    else:
        authenticated = authenticate(
            world, arrival.request_id, requested.token_sha256
        )
        if authenticated is None:
            return
        workspace = authenticated
        if not _check_preconditions(
            world, arrival.request_id, requested, workspace.name
        ):
            return
    arrived_at_ms = world.now_ms - arrival.waited_ms
    request = entities.RequestRow(
        request_id=arrival.request_id,
        work=requested,
        workspace=workspace.name,
        arrived_at_ms=arrived_at_ms,
        deadline_at_ms=arrived_at_ms
        + _deadline_ms(world, workspace, requested),
        next_frame=requested.resume_after + 1,
    )
    if requested.route is not None:
        request.timeout_at_ms = arrived_at_ms + requested.route.timeout_ms
        if requested.route.streaming:
            request.caller_timeout_at_ms = (
                arrived_at_ms + requested.route.caller_timeout_ms
            )
    if not _check_limits(world, request, workspace):
        return
    verdict = quotas.check(world, request, workspace)
    if verdict is not None:
        quotas.refuse(world, request, workspace, verdict)
        return
    world.requests[request.request_id] = request
    for cell in request.cells:
        world.shares.record_start(cell)
    retries.earn(world, requested.target)
    world.spill_budget.earn()
    placing.record_demand(world, request)
    urgency.record_demand(world, request)
    if needs_claim(world, requested):
        claims.begin(world, request)
    elif stream_versions.may_need_version(requested):
        stream_versions.take_up(world, request)
    else:
        dispatching.place(world, request)


def _refuse_or_confirm(
    world: entities.World,
    arrival: inputs.RequestArrived,
    refusal: routing.Refusal,
) -> None:
    """Refuses a request that the table does not allow.

    A final refusal first waits for a recent confirmation of the table.
    """
    if refusal.is_final and not confirming.may_refuse_unknown(world):
        if confirming.wait(world, arrival):
            return
        refusal = routing.unconfirmed(refusal)
    refuse_unrouted(world, arrival.request_id, refusal)


def reconsider_waiting(world: entities.World) -> None:
    """Admits or refuses the requests that need not wait any longer."""
    for waiting in list(world.waiting_arrivals.values()):
        arrival = waiting.arrival
        routed = routing.route(world, arrival)
        if (
            not world.stopping
            and isinstance(routed, routing.Refusal)
            and routed.is_final
            and not confirming.may_refuse_unknown(world)
        ):
            is_late = world.now_ms >= waiting.until_ms
            if not is_late and confirming.request_read(
                world, freshness.Topic.TABLE
            ):
                continue
            del world.waiting_arrivals[arrival.request_id]
            refuse_unrouted(
                world, arrival.request_id, routing.unconfirmed(routed)
            )
            continue
        del world.waiting_arrivals[arrival.request_id]
        waited_ms = arrival.waited_ms + world.now_ms - waiting.since_ms
        admit(world, dataclasses.replace(arrival, waited_ms=waited_ms))


def authenticate(
    world: entities.World, request_id: str, token_sha256: str
) -> model.WorkspaceRow | None:
    """Returns the workspace of a token; refuses the request if none has it."""
    name = world.table.workspace_by_token.get(token_sha256)
    row = world.table.workspaces.get(name) if name else None
    if row and hmac.compare_digest(row.token_sha256, token_sha256):
        return row
    _refuse(
        world,
        request_id,
        status=401,
        reason=effects.Reason.UNAUTHENTICATED,
        detail="no workspace has this bearer token",
    )
    return None


def needs_claim(world: entities.World, requested: work.Work) -> bool:
    """Returns whether the call must be claimed, to run at most once."""
    if requested.kind is not work.WorkKind.PLAIN or requested.route is not None:
        return False
    if requested.method in READ_METHODS:
        return False
    row = world.table.services[requested.target]
    return row.repeatable is model.Repeatable.READS


def _check_preconditions(
    world: entities.World,
    request_id: str,
    requested: work.Work,
    workspace: str,
) -> bool:
    if not world.has_serving_lease:
        _refuse(
            world,
            request_id,
            workspace=workspace,
            status=503,
            reason=effects.Reason.NOT_CURRENT,
            detail="this daemon can't confirm the newest table; use another",
            retry_after_ms=NOT_CURRENT_RETRY_MS,
        )
        return False
    rows = (
        world.table.models
        if requested.kind is work.WorkKind.GENERATION
        else world.table.services
    )
    if requested.target not in rows:
        _refuse(
            world,
            request_id,
            workspace=workspace,
            status=404,
            reason=effects.Reason.UNKNOWN_TARGET,
            detail=(
                f"the table has no {requested.kind} row {requested.target!r}"
            ),
        )
        return False
    if needs_claim(world, requested) and not requested.idempotency_key:
        _refuse(
            world,
            request_id,
            workspace=workspace,
            status=400,
            reason=effects.Reason.KEY_REQUIRED,
            detail=(
                f"{requested.method} calls of {requested.target} may run"
                " only once; send an Idempotency-Key header"
            ),
        )
        return False
    return True


def _deadline_ms(
    world: entities.World, workspace: model.WorkspaceRow, requested: work.Work
) -> int:
    if requested.deadline_ms:
        return requested.deadline_ms
    if requested.route is not None:
        return requested.route.timeout_ms
    if requested.kind is work.WorkKind.PLAIN:
        return world.table.services[requested.target].deadline_ms
    return workspace.deadline_ms


def _check_limits(
    world: entities.World,
    request: entities.RequestRow,
    workspace: model.WorkspaceRow,
) -> bool:
    limits = cell_limits.limits(world, request, workspace)
    request.cells = tuple(limits)
    if not limits:
        return True
    cell_limits.record_groups(world, request)
    for cell in limits:
        world.shares.record_arrival(cell)
    for cell, limit in limits.items():
        if not world.shares.allows_request(cell, limit=limit):
            _refuse(
                world,
                request.request_id,
                status=429,
                reason=effects.Reason.LIMIT,
                detail=f"{cell} has max_in_flight {limit} running",
                retry_after_ms=LIMIT_RETRY_MS,
                workspace=request.workspace,
            )
            return False
    rate = workspace.max_requests_per_s
    cell = cell_limits.workspace_cell(workspace)
    if world.shares.take_rate_token(
        cell, limit_per_s=rate, now_ms=world.now_ms
    ):
        return True
    _refuse(
        world,
        request.request_id,
        status=429,
        reason=effects.Reason.LIMIT,
        detail=f"{cell} has used max_requests_per_s {rate:g}",
        retry_after_ms=world.shares.rate_wait_ms(cell, limit_per_s=rate),
        workspace=request.workspace,
    )
    return False


def _refuse(
    world: entities.World,
    request_id: str,
    *,
    status: int,
    reason: effects.Reason,
    detail: str,
    retry_after_ms: int = 0,
    workspace: str = "",
    log_fields: dict[str, str | int] | None = None,
) -> None:
    """Refuses a request that has no row yet."""
    world.emit(
        effects.Refuse(
            request_id=request_id,
            status=status,
            outcome=effects.Outcome.NOT_RUN,
            reason=reason,
            detail=detail,
            retry_after_ms=retry_after_ms,
        )
    )
    world.event(
        "refused",
        request_id,
        workspace=workspace,
        reason=reason.value,
        outcome=effects.Outcome.NOT_RUN.value,
        **(log_fields or {}),
    )


def refuse_unrouted(
    world: entities.World, request_id: str, refusal: routing.Refusal
) -> None:
    """Refuses a request that routing or the check of its key rejected."""
    _refuse(
        world,
        request_id,
        status=refusal.status,
        reason=refusal.reason,
        detail=refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
        log_fields={
            "http_status": refusal.status,
            "why": refusal.detail,
            "table": world.table.version,
            "keys_good_for_ms": world.serving_lease_until_ms - world.now_ms,
            **confirming.log_fields(world, freshness.Topic.TABLE),
        },
    )


__all__ = [
    "admit",
    "authenticate",
    "needs_claim",
    "reconsider_waiting",
    "refuse_unrouted",
]
