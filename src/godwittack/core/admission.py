"""Admits, holds back or refuses requests, and closes them."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from godwittack.core import (
    claims,
    dispatching,
    effects,
    entities,
    placing,
    retries,
    routing,
    splitting,
    work,
)
from godwittack.table import model

if TYPE_CHECKING:
    from godwittack.core import inputs

READ_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
LIMIT_RETRY_MS = 500
NOT_CURRENT_RETRY_MS = 2_000


def arrive(world: entities.World, arrived: inputs.RequestArrived) -> None:
    """Checks a new request and starts it."""
    asked = arrived.work
    if asked.host:
        routed = routing.route(world, arrived)
        if isinstance(routed, routing.Refusal):
            turn_away(world, arrived.request_id, routed)
            return
        asked, workspace = routed.work, routed.workspace
    else:
        known = authenticate(world, arrived.request_id, asked.token_sha256)
        if known is None:
            return
        workspace = known
        if not _may_start(world, arrived.request_id, asked, workspace.name):
            return
    arrived_at_ms = world.now_ms - arrived.waited_ms
    request = entities.RequestRow(
        request_id=arrived.request_id,
        work=asked,
        workspace=workspace.name,
        arrived_at_ms=arrived_at_ms,
        deadline_at_ms=arrived_at_ms + _deadline_ms(world, workspace, asked),
        next_frame=asked.resume_after + 1,
    )
    if asked.route is not None:
        request.give_up_at_ms = arrived_at_ms + asked.route.timeout_ms
        if asked.route.streaming:
            request.leaves_at_ms = arrived_at_ms + asked.route.caller_timeout_ms
    if not _within_limits(world, request, workspace):
        return
    world.requests[request.request_id] = request
    for cell in request.cells:
        world.shares.began(cell)
    retries.earn(world, asked.target)
    world.spill_budget.earn()
    placing.note_demand(world, request)
    if needs_claim(world, asked):
        claims.begin(world, request)
    else:
        dispatching.place(world, request)


def authenticate(
    world: entities.World, request_id: str, token_sha256: str
) -> model.WorkspaceRow | None:
    """Returns the workspace of a token, or refuses the request."""
    name = world.table.workspace_by_token.get(token_sha256)
    row = world.table.workspaces.get(name) if name else None
    if row and hmac.compare_digest(row.token_sha256, token_sha256):
        return row
    _turn_away(
        world,
        request_id,
        status=401,
        reason=effects.Reason.UNAUTHENTICATED,
        detail="no workspace has this bearer token",
    )
    return None


def needs_claim(world: entities.World, asked: work.Work) -> bool:
    """Returns whether running the call twice would do harm."""
    if asked.kind is not work.WorkKind.PLAIN or asked.route is not None:
        return False
    if asked.method in READ_METHODS:
        return False
    row = world.table.services[asked.target]
    return row.repeatable is model.Repeatable.READS


def _may_start(
    world: entities.World,
    request_id: str,
    asked: work.Work,
    workspace: str,
) -> bool:
    if not world.right_to_serve:
        _turn_away(
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
        if asked.kind is work.WorkKind.GENERATION
        else world.table.services
    )
    if asked.target not in rows:
        _turn_away(
            world,
            request_id,
            workspace=workspace,
            status=404,
            reason=effects.Reason.UNKNOWN_TARGET,
            detail=f"the table has no {asked.kind} row {asked.target!r}",
        )
        return False
    if needs_claim(world, asked) and not asked.idempotency_key:
        _turn_away(
            world,
            request_id,
            workspace=workspace,
            status=400,
            reason=effects.Reason.KEY_REQUIRED,
            detail=(
                f"{asked.method} calls of {asked.target} may run only once;"
                " send an Idempotency-Key header"
            ),
        )
        return False
    return True


def _deadline_ms(
    world: entities.World, workspace: model.WorkspaceRow, asked: work.Work
) -> int:
    if asked.deadline_ms:
        return asked.deadline_ms
    if asked.route is not None:
        return asked.route.timeout_ms
    if asked.kind is work.WorkKind.PLAIN:
        return world.table.services[asked.target].deadline_ms
    return workspace.deadline_ms


def _within_limits(
    world: entities.World,
    request: entities.RequestRow,
    workspace: model.WorkspaceRow,
) -> bool:
    limits = splitting.limits(world, request, workspace)
    request.cells = tuple(limits)
    if not limits:
        return True
    splitting.note(world, request)
    for cell in limits:
        world.shares.arrived(cell)
    for cell, limit in limits.items():
        if not world.shares.room(cell, limit=limit):
            _turn_away(
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
    cell = splitting.workspace_cell(workspace)
    if world.shares.take_rate(cell, limit_per_s=rate, now_ms=world.now_ms):
        return True
    _turn_away(
        world,
        request.request_id,
        status=429,
        reason=effects.Reason.LIMIT,
        detail=f"{cell} has used max_requests_per_s {rate:g}",
        retry_after_ms=world.shares.rate_wait_ms(cell, limit_per_s=rate),
        workspace=request.workspace,
    )
    return False


def _turn_away(
    world: entities.World,
    request_id: str,
    *,
    status: int,
    reason: effects.Reason,
    detail: str,
    retry_after_ms: int = 0,
    workspace: str = "",
    **inputs_told: str | int,
) -> None:
    """Refuses a request that never got a row."""
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
        **inputs_told,
    )


def turn_away(
    world: entities.World, request_id: str, refusal: routing.Refusal
) -> None:
    """Refuses a request that no route, key or right lets in."""
    _turn_away(
        world,
        request_id,
        status=refusal.status,
        reason=refusal.reason,
        detail=refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
        http_status=refusal.status,
        why=refusal.detail,
        table=world.table.version,
        keys_good_for_ms=world.right_until_ms - world.now_ms,
    )


__all__ = ["arrive", "authenticate", "needs_claim", "turn_away"]
