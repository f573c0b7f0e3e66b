"""Refuses requests that were let in, and says when to come back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import (
    availability,
    closing,
    crashes,
    effects,
    entities,
    outcomes,
    rate_limits,
    resting,
    work,
)

if TYPE_CHECKING:
    from godwittack.core import routing

NO_SERVER_RETRY_MS = 1_000
MIN_RETRY_MS = 100
MAX_RETRY_MS = 60_000


def not_run(
    world: entities.World,
    request: entities.RequestRow,
    reason: effects.Reason,
    detail: str,
    retry_after_ms: int,
) -> None:
    """Refuses a request that waits for nothing at any server.

    That it has not run is said only where no byte can have reached a server.
    """
    if not request.sent:
        outcomes.store(world, request, work.ClaimState.RELEASED)
        outcome = effects.Outcome.NOT_RUN
    else:
        outcome = effects.Outcome.UNKNOWN
    closing.refuse(
        world,
        request,
        status=_not_served_status(request, outcome),
        outcome=outcome,
        reason=reason,
        detail=detail,
        retry_after_ms=retry_after_ms,
    )


def no_server(world: entities.World, request: entities.RequestRow) -> None:
    """Refuses a request that no server takes in its time."""
    target = request.work.target
    left_out = availability.unavailable_servers(world, target)
    why = "".join(f"; {name}: {ids}" for name, ids in left_out.items())
    not_run(
        world,
        request,
        effects.Reason.NO_SERVER,
        f"no backend server of {target} takes work now{why}",
        return_ms(world, request) or NO_SERVER_RETRY_MS,
    )


def quarantined(world: entities.World, request: entities.RequestRow) -> None:
    """Refuses a request under which servers ended."""
    world.event("in_quarantine", request.request_id, content=request.content)
    not_run(
        world,
        request,
        effects.Reason.QUARANTINED,
        crashes.quarantine_reason(world, request),
        crashes.quarantine_left_ms(world, request),
    )


def late(
    world: entities.World, request: entities.RequestRow, wait_ms: float
) -> None:
    """Refuses a held-back request that can no longer be in time."""
    not_run(
        world,
        request,
        effects.Reason.DEADLINE,
        "its turn did not come before the deadline",
        retry_after_ms(wait_ms),
    )


def taken_away(
    world: entities.World,
    request: entities.RequestRow,
    refusal: routing.Refusal,
) -> None:
    """Refuses a request whose key or right was taken away while it waited."""
    outcome = effects.Outcome.NOT_RUN
    status = refusal.status
    if request.sent:
        outcome, status = effects.Outcome.UNKNOWN, 502
    closing.refuse(
        world,
        request,
        status=status,
        outcome=outcome,
        reason=refusal.reason,
        detail=refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
    )


def return_ms(world: entities.World, request: entities.RequestRow) -> int:
    """Returns when a server has room or is rested; 0 where none tells."""
    limit_ms = rate_limits.retry_after_ms(world, request.work.target)
    rested_ms = resting.retry_after_ms(world, request)
    if limit_ms and rested_ms:
        return min(limit_ms, rested_ms)
    return limit_ms or rested_ms


def retry_after_ms(wait_ms: float) -> int:
    """Returns when to come back after a wait that would be too long."""
    return int(min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms)))


def _not_served_status(
    request: entities.RequestRow, outcome: effects.Outcome
) -> int:
    # To callers that come by a route, 503 alone says that nothing has run.
    may_have_run = outcome is not effects.Outcome.NOT_RUN
    return 502 if request.work.route and may_have_run else 503


__all__ = [
    "late",
    "no_server",
    "not_run",
    "quarantined",
    "retry_after_ms",
    "return_ms",
    "taken_away",
]
