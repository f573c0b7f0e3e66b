"""Determines the route, workspace and priority of a request."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from godwittack.core import effects, work
from godwittack.table import model

if TYPE_CHECKING:
    from godwittack.core import entities, inputs
    from godwittack.table import forwarding as forwardings

# Retry-after sent by a daemon that has no table, or can't confirm that its
# table is current.
NOT_CURRENT_RETRY_MS = 500
# Reasons for which callers do not send a request again. They rest on what the
# table lacks, and so on a table that was confirmed recently.
FINAL_REASONS = frozenset(
    {effects.Reason.NO_ROUTE, effects.Reason.UNAUTHENTICATED}
)
# Workspace of requests on routes that need no API key.
ANONYMOUS_WORKSPACE = model.WorkspaceRow(
    name="", max_in_flight=model.NO_LIMIT, max_requests_per_s=model.NO_LIMIT
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Why a request is rejected; it has not run."""

    status: int
    reason: effects.Reason
    detail: str
    retry_after_ms: int = 0

    @property
    def is_final(self) -> bool:
        """Whether the caller will not send the request again."""
        return self.reason in FINAL_REASONS


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with its route and target, and the workspace that sent it."""

    work: work.Work
    workspace: model.WorkspaceRow


def route(
    world: entities.World, arrival: inputs.RequestArrived
) -> RoutedRequest | Refusal:
    """Determines route, target and workspace from host, path and API key."""
    request = arrival.work
    forwarding = world.table.forwarding
    if forwarding is None:
        return _not_current("no table is known here yet; use another daemon")
    matched_route = forwarding.match(request.host, request.path)
    if matched_route is None:
        return Refusal(
            status=404,
            reason=effects.Reason.NO_ROUTE,
            detail=f"no route of {request.host!r} begins this path",
        )
    refusal = _check_key(world, matched_route.anonymous, request.token_sha256)
    if refusal is not None:
        return refusal
    workspace_name = world.table.workspace_by_token.get(
        request.token_sha256, ""
    )
    target = matched_route.select_target(arrival.request_id)
    routed = dataclasses.replace(
        request, route=matched_route, streaming=matched_route.streaming
    )
    return RoutedRequest(
        with_target(routed, target, forwarding),
        world.table.workspaces.get(workspace_name, ANONYMOUS_WORKSPACE),
    )


def with_target(
    request: work.Work, target: str, forwarding: forwardings.Forwarding
) -> work.Work:
    """Returns a request that goes to a target."""
    is_model = target in forwarding.engines
    kind = work.WorkKind.GENERATION if is_model else work.WorkKind.PLAIN
    return dataclasses.replace(request, target=target, kind=kind)


def unconfirmed(refusal: Refusal) -> Refusal:
    """Returns the refusal to send where a final one can't be confirmed."""
    return _not_current(
        f"{refusal.detail} here, and whether that is current is not known"
    )


def recheck_key(
    world: entities.World, request: entities.RequestRow
) -> Refusal | None:
    """Checks API key and serving lease again, just before a dispatch.

    Since its arrival a request may have waited in a queue, or the process may
    have been suspended. Without this check, a key that was revoked meanwhile
    would be served for longer than its owners were promised.
    """
    matched_route = request.work.route
    if matched_route is None:
        return None
    return _check_key(world, matched_route.anonymous, request.work.token_sha256)


def priority(world: entities.World, request: entities.RequestRow) -> int:
    """Returns a request's priority; a workspace's overrides its route's."""
    matched_route = request.work.route
    forwarding = world.table.forwarding
    if matched_route is None or forwarding is None:
        return 0
    return forwarding.priorities.get(request.workspace, matched_route.priority)


def _check_key(
    world: entities.World, anonymous: bool, token_sha256: str
) -> Refusal | None:
    if anonymous:
        return None
    if not world.has_serving_lease:
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
    "ANONYMOUS_WORKSPACE",
    "Refusal",
    "RoutedRequest",
    "priority",
    "recheck_key",
    "route",
    "unconfirmed",
    "with_target",
]
