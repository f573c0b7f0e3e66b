"""Acts on attempts that show no progress for too long."""

from __future__ import annotations

from godwittack.core import (
    closing,
    effects,
    entities,
    followup,
    routing,
    servers,
    work,
)

# When a request that never ran may come back after its time was over.
GIVEN_UP_RETRY_MS = 500


def check(world: entities.World) -> None:
    """Acts on attempts that showed no progress for too long."""
    for attempt in list(world.attempts.values()):
        request = world.requests.get(attempt.request_id)
        if request is None:
            continue
        silent_ms = world.now_ms - attempt.last_progress_ms
        if request.answer_started or request.started_elsewhere:
            if silent_ms >= world.policy.frame_gap_ms:
                _silent_stream(world, request, attempt)
        elif request.work.kind is work.WorkKind.GENERATION:
            if silent_ms >= _first_frame_ms(world, request):
                _silent_start(world, request, attempt)
        elif silent_ms >= world.policy.answer_patience_ms:
            _silent_call(world, request, attempt)


def _first_frame_ms(world: entities.World, request: entities.RequestRow) -> int:
    if request.work.streaming:
        return world.policy.first_frame_ms
    return world.policy.answer_patience_ms


def _silent_stream(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    if request.work.route and not request.work.route.resumable:
        # Nothing else could make the rest, so that only waiting can help.
        return
    # A connection can go silent for good while new ones to the same server
    # work. Only a fresh one tells a dead path from a dead engine.
    world.emit(effects.CancelAttempt(attempt.attempt_id, False))
    followup.resume_or_break(world, request, attempt, "silent between frames")


def _silent_start(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    if request.at_most_once:
        # It may be running: sent again, it would run twice.
        return
    if _is_in_line(world, request, attempt):
        return
    world.emit(effects.CancelAttempt(attempt.attempt_id, True))
    servers.record_missing_first_frame(world, attempt)
    closing.close_attempt(world, attempt.attempt_id)
    request.may_have_run = True
    followup.retry(world, request, attempt, "silent before the first frame")


def _is_in_line(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> bool:
    """Returns whether a server that lives has yet to come to a request.

    Load pattern: two of five servers are dark, the others have more than a
    second of prompts before them. Taken for hung, those that wait were sent
    elsewhere, computed a second time, and the last servers paused for it. A
    server that has begun what was sent to it later, and was no more urgent,
    has lost a request; one that has not is busy.
    """
    server = world.servers.get(attempt.server_id)
    if server is None:
        return False
    if world.now_ms - server.last_contact_ms >= world.policy.first_frame_ms:
        return False
    rank = routing.priority(world, request)
    overtaken_ms = max(
        (
            sent_ms
            for other, sent_ms in server.last_answered_sent_ms.items()
            if other >= rank
        ),
        default=-1,
    )
    return overtaken_ms <= attempt.sent_at_ms


def _silent_call(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    world.emit(effects.CancelAttempt(attempt.attempt_id, False))
    closing.close_attempt(world, attempt.attempt_id)
    request.may_have_run = True
    if request.claim_key is not None:
        followup.outcome_lost(world, request, "no answer came")
    else:
        followup.retry(world, request, attempt, "no answer came")


def give_up(world: entities.World) -> None:
    """Ends requests whose last moment for a final answer has come.

    Held open beyond it, a request would keep its caller waiting for what
    can't come in time, and a place at a server that others could use.
    """
    for request in list(world.requests.values()):
        if not 0 < request.timeout_at_ms <= world.now_ms:
            continue
        if request.attempt_id in world.attempts:
            world.emit(effects.CancelAttempt(request.attempt_id, False))
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
            retry_after_ms=0 if request.may_have_run else GIVEN_UP_RETRY_MS,
        )


__all__ = ["check", "give_up"]
