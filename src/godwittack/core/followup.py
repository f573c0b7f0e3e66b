"""Retries, resumes or ends a request whose attempt did not complete."""

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
MIN_SERVER_ERROR_STATUS = 500


def retry(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    detail: str,
    *,
    avoid: bool = True,
) -> None:
    """Places a request again, or refuses it if no retry is allowed.

    Args:
        world: Tables.
        request: The request.
        attempt: Its attempt that failed.
        detail: Why the attempt failed.
        avoid: Whether to exclude the server of that attempt.
    """
    if avoid:
        request.excluded_servers.add(attempt.server_id)
    if retries.try_acquire(world, request):
        log_second_attempt(world, request, attempt, detail)
        dispatching.place(world, request)
        return
    outcome = effects.Outcome.NOT_RUN
    status = 502
    if request.may_have_run:
        outcome = effects.Outcome.UNKNOWN
    else:
        outcomes.store(world, request, work.ClaimState.RELEASED)
        # To callers of a route, 503 means that nothing has run.
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


def retry_or_resume(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    detail: str,
    *,
    avoid: bool = True,
) -> None:
    """Goes on elsewhere after the last attempt of a request has failed."""
    if request.answer_started or request.started_elsewhere:
        resume_or_break(world, request, attempt, detail)
    else:
        retry(world, request, attempt, detail, avoid=avoid)


def log_second_attempt(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    detail: str,
) -> None:
    """Logs that a request is sent to another server, and why.

    Args:
        world: Tables.
        request: The request.
        attempt: Its attempt that failed or is silent.
        detail: What happened to that attempt.
    """
    if request.answer_started:
        world.event(
            "stream_resumed",
            request.request_id,
            server=attempt.server_id,
            software=request.stream_version,
            after_frame=request.next_frame - 1,
            detail=detail,
        )
        return
    world.event(
        "retried",
        request.request_id,
        workspace=request.workspace,
        target=request.work.target,
        attempt=request.attempts + 1,
        **retries.budget_state(world, request.work.target),
    )


def place_again(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    detail: str,
) -> None:
    """Places a request again after an attempt of which no byte was sent.

    No server received anything, so the attempt counts against no limit.
    """
    closing.close_attempt(world, attempt.attempt_id)
    request.attempts -= 1
    request.possible_runs -= 1
    world.event(
        "placed_anew",
        request.request_id,
        target=request.work.target,
        detail=detail,
    )
    if request.open_attempts:
        request.hedge_check_at_ms = world.now_ms
    else:
        dispatching.place(world, request)


def refuse_unknown(
    world: entities.World, request: entities.RequestRow, detail: str
) -> None:
    """Refuses a call that may have run, with outcome unknown."""
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
    """Resumes a begun stream, or ends it with an error."""
    if request.resumes >= world.policy.max_resumes:
        break_stream(world, request, f"could not be resumed: {detail}")
        return
    route = request.work.route
    if route is not None:
        _resume_elsewhere(world, request, attempt, detail)
        return
    request.resumes += 1
    reconnect(world, request, attempt, detail)


def reconnect(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    detail: str,
) -> None:
    """Continues a stream at its engine, on a new connection.

    An open connection can stall for good while new ones to the same server
    work.
    """
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


def _resume_elsewhere(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    detail: str,
) -> None:
    """Continues a stream on another server, or ends it with an error."""
    route = request.work.route
    assert route is not None
    closing.close_attempt(world, attempt.attempt_id)
    request.excluded_servers.add(attempt.server_id)
    if route.resumable and not request.stream_version:
        break_stream(world, request, f"its version is not known: {detail}")
        return
    if not route.resumable or not retries.try_acquire(world, request):
        break_stream(world, request, detail)
        return
    request.resumes += 1
    log_second_attempt(world, request, attempt, detail)
    dispatching.place(world, request)


def is_retryable_answer(
    request: entities.RequestRow, answer: work.Answer
) -> bool:
    """Returns whether to retry on another server after an error response."""
    route = request.work.route
    return (
        route is not None
        and answer.status >= MIN_SERVER_ERROR_STATUS
        and not request.at_most_once
    )


def break_stream(
    world: entities.World, request: entities.RequestRow, detail: str
) -> None:
    """Ends a begun stream with an error, so that it does not look complete."""
    closing.refuse(
        world,
        request,
        status=502,
        outcome=effects.Outcome.UNKNOWN,
        reason=effects.Reason.STREAM_LOST,
        detail=detail,
    )


__all__ = [
    "break_stream",
    "is_retryable_answer",
    "log_second_attempt",
    "reconnect",
    "place_again",
    "refuse_unknown",
    "resume_or_break",
    "retry",
    "retry_or_resume",
]
