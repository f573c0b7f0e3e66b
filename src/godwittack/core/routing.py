"""Finds the route, the workspace and the rank of a request."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from godwittack.core import effects, work
from godwittack.table import model

if TYPE_CHECKING:
    from godwittack.core import entities, inputs

# When a caller may try a daemon again that has no table, or can't confirm it.
NOT_CURRENT_RETRY_MS = 500
# Workspace of requests on routes that need no API key.
ANONYMOUS = model.WorkspaceRow(
    name="", max_in_flight=model.NO_LIMIT, max_requests_per_s=model.NO_LIMIT
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Why a request is not let in; it has not run."""

    status: int
    reason: effects.Reason
    detail: str
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Routed:
    """A request with its route and target, and whose it is."""

    work: work.Work
    workspace: model.WorkspaceRow


def route(
    world: entities.World, arrived: inputs.RequestArrived
) -> Routed | Refusal:
    """Finds route and workspace of a request that names only its host."""
    asked = arrived.work
    forwarding = world.table.forwarding
    if forwarding is None:
        return _not_current("no table is known here yet; use another daemon")
    found = forwarding.match(asked.host, asked.path)
    if found is None:
        return Refusal(
            status=404,
            reason=effects.Reason.NO_ROUTE,
            detail=f"no route of {asked.host!r} begins this path",
        )
    refusal = _check_key(world, found.anonymous, asked.token_sha256)
    if refusal is not None:
        return refusal
    name = world.table.workspace_by_token.get(asked.token_sha256, "")
    target = found.select_target(arrived.request_id)
    is_model = target in forwarding.engines
    kind = work.WorkKind.GENERATION if is_model else work.WorkKind.PLAIN
    return Routed(
        dataclasses.replace(
            asked,
            route=found,
            target=target,
            kind=kind,
            streaming=found.streaming,
        ),
        world.table.workspaces.get(name, ANONYMOUS),
    )


def still_allowed(
    world: entities.World, request: entities.RequestRow
) -> Refusal | None:
    """Checks key and right once more, just before a request is sent on.

    Between its arrival and its turn a request may have waited in a queue, or
    the process may have been stopped. A key taken away meanwhile would be
    served beyond the time that its owners were promised.
    """
    found = request.work.route
    if found is None:
        return None
    return _check_key(world, found.anonymous, request.work.token_sha256)


def priority(world: entities.World, request: entities.RequestRow) -> int:
    """Returns the rank of a request; a workspace's goes before its route's."""
    found = request.work.route
    forwarding = world.table.forwarding
    if found is None or forwarding is None:
        return 0
    return forwarding.priorities.get(request.workspace, found.priority)


def _check_key(
    world: entities.World, anonymous: bool, token_sha256: str
) -> Refusal | None:
    if anonymous:
        return None
    if not world.right_to_serve:
        return _not_current("this daemon can't confirm which keys are good")
    if token_sha256 not in world.table.workspace_by_token:
        return Refusal(
            status=401,
            reason=effects.Reason.UNAUTHENTICATED,
            detail="no workspace has this key",
        )
    return None


def _not_current(detail: str) -> Refusal:
    return Refusal(
        status=503,
        reason=effects.Reason.NOT_CURRENT,
        detail=detail,
        retry_after_ms=NOT_CURRENT_RETRY_MS,
    )


__all__ = [
    "ANONYMOUS",
    "Refusal",
    "Routed",
    "priority",
    "route",
    "still_allowed",
]
