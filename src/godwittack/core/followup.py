"""Decides what follows an attempt that brought no whole answer."""

from __future__ import annotations

from godwittack.core import (
    closing,
    dispatching,
    effects,
    entities,
    outcomes,
    resting,
    retries,
    work,
)

FAILED_RETRY_MS = 1_000
FIRST_SERVER_ERROR = 500


def retry(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    detail: str,
    *,
    avoid: bool = True,
) -> None:
    """Sends a request elsewhere, or ends it where that is not allowed."""
    if avoid:
        request.excluded_servers.add(attempt.server_id)
    if retries.allowed(world, request):
        world.event(
            "retried",
            request.request_id,
            workspace=request.workspace,
            target=request.work.target,
            attempt=request.attempts + 1,
            **retries.budget_state(world, request.work.target),
        )
        dispatching.place(world, request)
        return
    outcome = effects.Outcome.NOT_RUN
    status = 502
    if request.may_have_run:
        outcome = effects.Outcome.UNKNOWN
    else:
        outcomes.store(world, request, work.ClaimState.RELEASED)
        # To callers that come by a route, 503 says that nothing has run.
        status = 503 if request.work.route else 502
    closing.refuse(
        world,
        request,
        status=status,
        outcome=outcome,
        reason=effects.Reason.DISPATCH_FAILED,
        detail=f"{attempt.server_id}: {detail}",
        retry_after_ms=resting.retry_after_ms(world, request)
        or FAILED_RETRY_MS,
    )


def place_anew(
    world: entities.World, request: entities.RequestRow, detail: str
) -> None:
    """Places a request anew of whose attempt no byte was sent.

    Nothing has reached a server, so that it counts against no limit.
    """
    closing.close_attempt(world, request.attempt_id)
    request.attempts -= 1
    request.possible_runs -= 1
    world.event(
        "placed_anew",
        request.request_id,
        target=request.work.target,
        detail=detail,
    )
    dispatching.place(world, request)


def outcome_lost(
    world: entities.World, request: entities.RequestRow, detail: str
) -> None:
    """Ends a call that may have run, and says so."""
    outcomes.store(world, request, work.ClaimState.UNKNOWN)
    closing.refuse(
        world,
        request,
        status=502,
        outcome=effects.Outcome.UNKNOWN,
        reason=effects.Reason.ANSWER_LOST,
        detail=f"sent, but its answer was lost: {detail}",
    )


def resume_or_break(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    detail: str,
) -> None:
    """Goes on with a begun stream on a fresh connection, or ends it."""
    if request.resumes >= world.policy.max_resumes:
        break_stream(world, request, f"could not be resumed: {detail}")
        return
    route = request.work.route
    if route is not None:
        _go_on_elsewhere(world, request, attempt, detail)
        return
    if attempt.server_id not in world.servers:
        break_stream(world, request, "its backend server is gone")
        return
    world.event(
        "stream_resumed",
        request.request_id,
        server=attempt.server_id,
        after_frame=request.next_frame - 1,
        detail=detail,
    )
    dispatching.resume(world, request, attempt)


def _go_on_elsewhere(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    detail: str,
) -> None:
    """Lets another server make the rest of a stream, or ends it broken."""
    route = request.work.route
    assert route is not None
    closing.close_attempt(world, attempt.attempt_id)
    request.excluded_servers.add(attempt.server_id)
    if not route.resumable or not retries.allowed(world, request):
        break_stream(world, request, detail)
        return
    request.resumes += 1
    world.event(
        "stream_resumed",
        request.request_id,
        server=attempt.server_id,
        after_frame=request.next_frame - 1,
        detail=detail,
    )
    dispatching.place(world, request)


def answer_may_improve(
    request: entities.RequestRow, answer: work.Answer
) -> bool:
    """Returns whether another server could give a better answer."""
    route = request.work.route
    return (
        route is not None
        and answer.status >= FIRST_SERVER_ERROR
        and not request.at_most_once
    )


def break_stream(
    world: entities.World, request: entities.RequestRow, detail: str
) -> None:
    """Ends a begun stream so that it does not look whole."""
    closing.refuse(
        world,
        request,
        status=502,
        outcome=effects.Outcome.UNKNOWN,
        reason=effects.Reason.STREAM_LOST,
        detail=detail,
    )


__all__ = [
    "answer_may_improve",
    "break_stream",
    "outcome_lost",
    "place_anew",
    "resume_or_break",
    "retry",
]
