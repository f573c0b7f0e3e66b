"""Acts on attempts that show no progress for too long."""

from __future__ import annotations

from godwittack.core import (
    attempts,
    closing,
    effects,
    entities,
    servers,
    work,
)


def check(world: entities.World) -> None:
    """Acts on attempts that showed no progress for too long."""
    for attempt in list(world.attempts.values()):
        request = world.requests.get(attempt.request_id)
        if request is None:
            continue
        silent_ms = world.now_ms - attempt.heard_at_ms
        if request.begun or request.begun_elsewhere:
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
    # A connection can go silent for good while new ones to the same server
    # work. Only a fresh one tells a dead path from a dead engine.
    world.emit(effects.CancelAttempt(attempt.attempt_id, False))
    attempts.resume_or_break(world, request, attempt, "silent between frames")


def _silent_start(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    world.emit(effects.CancelAttempt(attempt.attempt_id, True))
    servers.silent(world, attempt)
    closing.close_attempt(world, attempt.attempt_id)
    request.sent = True
    attempts.retry(world, request, attempt, "silent before the first frame")


def _silent_call(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    world.emit(effects.CancelAttempt(attempt.attempt_id, False))
    closing.close_attempt(world, attempt.attempt_id)
    request.sent = True
    if request.claim_key is not None:
        attempts.outcome_lost(world, request, "no answer came")
    else:
        attempts.retry(world, request, attempt, "no answer came")


__all__ = ["check"]
