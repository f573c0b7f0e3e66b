"""Refuses admitted requests, with the time after which to retry."""

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
    return_times,
    work,
)

if TYPE_CHECKING:
    from godwittack.core import routing

NO_SERVER_RETRY_MS = 1_000
STATUS_TOO_LARGE = 413


def refuse_unassigned(
    world: entities.World,
    request: entities.RequestRow,
    reason: effects.Reason,
    detail: str,
    retry_after_ms: int,
) -> None:
    """Refuses a request that has no attempt in flight.

    The outcome is NOT_RUN only if no byte can have reached a server.
    """
    if not request.may_have_run:
        outcomes.store(world, request, work.ClaimState.RELEASED)
        outcome = effects.Outcome.NOT_RUN
    else:
        outcome = effects.Outcome.UNKNOWN
    closing.refuse(
        world,
        request,
        status=_not_served_status(request, outcome, reason),
        outcome=outcome,
        reason=reason,
        detail=detail,
        retry_after_ms=retry_after_ms,
    )


def refuse_no_server(
    world: entities.World, request: entities.RequestRow
) -> None:
    """Refuses a request that no server can accept in time."""
    target = request.work.target
    excluded = availability.unavailable_servers(world, target)
    reasons = "".join(f"; {name}: {ids}" for name, ids in excluded.items())
    if request.stream_version:
        reasons = f" at version {request.stream_version}{reasons}"
    refuse_unassigned(
        world,
        request,
        effects.Reason.NO_SERVER,
        f"no backend server of {target} takes work now{reasons}",
        capacity_wait_ms(world, request) or NO_SERVER_RETRY_MS,
    )


def refuse_quarantined(
    world: entities.World, request: entities.RequestRow
) -> None:
    """Refuses a request that holds what is in quarantine."""
    world.event(
        "in_quarantine",
        request.request_id,
        **crashes.quarantine_fields(world, request),
    )
    refuse_unassigned(
        world,
        request,
        effects.Reason.QUARANTINED,
        crashes.quarantine_reason(world, request),
        crashes.quarantine_left_ms(world, request),
    )


def refuse_too_large(
    world: entities.World, request: entities.RequestRow
) -> None:
    """Refuses a request whose prompt fits into the memory of no engine."""
    refuse_unassigned(
        world,
        request,
        effects.Reason.TOO_LARGE,
        f"a prompt of {request.work.prompt_tokens} tokens fits into no engine",
        0,
    )


def refuse_late(
    world: entities.World, request: entities.RequestRow, wait_ms: float
) -> None:
    """Refuses a queued request that can no longer meet its deadline."""
    refuse_unassigned(
        world,
        request,
        effects.Reason.DEADLINE,
        "its turn did not come before the deadline",
        return_times.capacity_ms(world, request, wait_ms),
    )


def refuse_revoked(
    world: entities.World,
    request: entities.RequestRow,
    refusal: routing.Refusal,
) -> None:
    """Refuses a request whose key or permission was revoked meanwhile."""
    outcome = effects.Outcome.NOT_RUN
    status = refusal.status
    if request.may_have_run:
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


def capacity_wait_ms(
    world: entities.World, request: entities.RequestRow
) -> int:
    """Returns the time until a server has capacity again; 0 if not known."""
    limit_ms = rate_limits.retry_after_ms(world, request.work.target)
    rest_ms = resting.retry_after_ms(world, request)
    if limit_ms and rest_ms:
        return min(limit_ms, rest_ms)
    return limit_ms or rest_ms


def _not_served_status(
    request: entities.RequestRow,
    outcome: effects.Outcome,
    reason: effects.Reason,
) -> int:
    # Callers that use a route take 503 to mean that nothing has run; all
    # callers take a stop's 503 to mean that another daemon can run it.
    may_have_run = outcome is not effects.Outcome.NOT_RUN
    if reason is effects.Reason.TOO_LARGE and not may_have_run:
        return STATUS_TOO_LARGE
    is_final = request.work.route or reason is effects.Reason.STOPPING
    return 502 if is_final and may_have_run else 503


__all__ = [
    "capacity_wait_ms",
    "refuse_late",
    "refuse_no_server",
    "refuse_quarantined",
    "refuse_revoked",
    "refuse_too_large",
    "refuse_unassigned",
]
