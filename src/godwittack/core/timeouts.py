"""Finds silent attempts, and enforces the time limits of requests."""

from __future__ import annotations

from godwittack.core import (
    closing,
    effects,
    entities,
    followup,
    hedging,
    routing,
    servers,
    silence,
)

# Retry-After of a request that timed out before it was sent.
TIMED_OUT_RETRY_MS = 500


def handle_stalled(world: entities.World) -> None:
    """Finds attempts that made no progress for too long."""
    for attempt in list(world.attempts.values()):
        request = world.requests.get(attempt.request_id)
        if request is None or attempt.silence is not entities.Silence.NONE:
            continue
        idle_ms = world.now_ms - attempt.last_progress_ms
        if request.answer_started or request.started_elsewhere:
            if idle_ms >= world.policy.frame_gap_ms:
                _handle_stalled_stream(world, request, attempt)
        elif request.work.is_streamed:
            if idle_ms >= _first_frame_limit_ms(world, request):
                _handle_stalled_start(world, request, attempt)
        elif idle_ms >= world.policy.answer_patience_ms:
            _handle_stalled_call(world, request, attempt)


def _first_frame_limit_ms(
    world: entities.World, request: entities.RequestRow
) -> int:
    if request.work.streaming:
        return world.policy.first_frame_ms
    return world.policy.answer_patience_ms


def _handle_stalled_stream(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    detail = "silent between frames"
    if request.work.route is not None:
        _suspect(world, request, attempt, detail)
        return
    # The engine keeps the stream, so nothing is lost by a new connection.
    silence.log_attempt(world, request, attempt, detail)
    world.emit(effects.CancelAttempt(attempt.attempt_id, False))
    followup.reconnect(world, request, attempt, detail)


def _handle_stalled_start(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    if request.at_most_once:
        # It may be running: on a retry it would run twice.
        return
    if _is_queued_at_server(world, request, attempt):
        return
    servers.record_missing_first_frame(world, attempt)
    _suspect(world, request, attempt, "silent before the first frame")


def _suspect(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    detail: str,
) -> None:
    hedging.suspect(
        world, request, attempt, detail, cause=entities.Silence.ANSWER
    )


def _is_queued_at_server(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> bool:
    """Returns whether a request still waits in the queue of a live server.

    Load pattern: two of five servers do not respond, and the others have more
    than a second of prompts queued. If queued requests were considered hung,
    they would be sent elsewhere and computed a second time, and the remaining
    servers would be ejected. A server that has begun a request sent later and
    no more urgent has lost this one; a server that has not is busy.
    """
    server = world.servers.get(attempt.server_id)
    if server is None:
        return False
    if world.now_ms - server.last_contact_ms >= world.policy.first_frame_ms:
        return False
    priority = routing.priority(world, request)
    newest_begun_sent_ms = max(
        (
            sent_ms
            for other_priority, sent_ms in server.last_answered_sent_ms.items()
            if other_priority >= priority
        ),
        default=-1,
    )
    return newest_begun_sent_ms <= attempt.sent_at_ms


def _handle_stalled_call(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    if hedging.may_hedge(request):
        _suspect(world, request, attempt, "no answer came")
    elif request.claim_key is not None:
        closing.cancel_attempt(world, attempt)
        request.may_have_run = True
        followup.refuse_unknown(world, request, "no answer came")


def end_overdue(world: entities.World) -> None:
    """Ends requests whose time limit for a final answer has passed.

    Kept open longer, a request would make its caller wait for an answer that
    is too late, and occupy a server slot that others could use.
    """
    for request in list(world.requests.values()):
        if not 0 < request.timeout_at_ms <= world.now_ms:
            continue
        if request.open_attempts:
            closing.cancel_attempts(world, request)
            request.may_have_run = True
        outcome = effects.Outcome.NOT_RUN
        if request.may_have_run:
            outcome = effects.Outcome.UNKNOWN
        closing.refuse(
            world,
            request,
            status=504 if request.may_have_run else 503,
            outcome=outcome,
            reason=effects.Reason.TIMEOUT,
            detail="the route's time for an answer is over",
            retry_after_ms=0 if request.may_have_run else TIMED_OUT_RETRY_MS,
        )


__all__ = ["end_overdue", "handle_stalled"]
