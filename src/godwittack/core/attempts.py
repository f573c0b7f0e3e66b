"""Follows attempts: answers, frames, failures and silence."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import (
    availability,
    closing,
    crashes,
    doubt,
    effects,
    entities,
    followup,
    inputs,
    outcomes,
    prefill_cost,
    routing,
    servers,
    work,
)

if TYPE_CHECKING:
    from collections.abc import Iterable


def opened(world: entities.World, told: inputs.AttemptOpened) -> None:
    """Checks the state that a stream says it is built on."""
    found = _current(world, told.attempt_id)
    if found is None:
        return
    request, attempt = found
    attempt.last_progress_ms = world.now_ms
    servers.record_contact(world, attempt.server_id)
    if _echo_holds(world, request, attempt, told.echoed_request, told.stamp):
        attempt.opened = True
        if request.head is None:
            request.head = told.head


def frames(world: entities.World, told: inputs.FramesArrived) -> None:
    """Relays frames once each and in order."""
    found = _current(world, told.attempt_id)
    if found is None:
        return
    request, attempt = found
    if not attempt.opened:
        return
    attempt.last_progress_ms = world.now_ms
    servers.record_contact(world, attempt.server_id)
    fresh, gap = _in_order(request, told.frames)
    if fresh:
        _hand_on(world, request, attempt, fresh)
    if fresh and fresh[-1].terminal:
        world.emit(effects.EndStream(request.request_id))
        servers.record_success(world, attempt)
        crashes.record_completion(world, request)
        closing.finish(world, request)
        return
    if gap:
        # A frame is missing in between. Waiting for it on this connection
        # would wait for ever; the engine still has it.
        world.emit(effects.CancelAttempt(attempt.attempt_id, False))
        followup.resume_or_break(world, request, attempt, "a frame is missing")


def answer(world: entities.World, told: inputs.AnswerArrived) -> None:
    """Takes in a whole answer."""
    found = _current(world, told.attempt_id)
    if found is None:
        return
    request, attempt = found
    if attempt.stamp is not None and not (
        told.stamp is not None
        and _echo_holds(
            world, request, attempt, told.echoed_request, told.stamp
        )
    ):
        return
    servers.record_success(world, attempt)
    servers.record_contact(world, attempt.server_id)
    crashes.record_completion(world, request)
    closing.update_service_time(
        world, request.work.target, world.now_ms - attempt.sent_at_ms
    )
    closing.close_attempt(world, attempt.attempt_id)
    request.answer = told.answer
    if followup.answer_may_improve(request, told.answer):
        # The server's failure is kept: it is the answer where no other
        # attempt brings a better one.
        request.may_have_run = True
        followup.retry(world, request, attempt, f"status {told.answer.status}")
        return
    request.answered_at_ms = world.now_ms
    request.late = world.now_ms > request.deadline_at_ms
    if request.claim_key is None:
        reply(world, request)
        return
    request.phase = entities.Phase.STORING
    outcomes.store(world, request, work.ClaimState.DONE, told.answer)


def reply(world: entities.World, request: entities.RequestRow) -> None:
    """Hands a whole answer to the caller and ends the request."""
    closing.reply(world, request)


def usage(world: entities.World, told: inputs.UsageReported) -> None:
    """Counts what an engine took from its cache and what it computed."""
    attempt = world.attempts.get(told.attempt_id)
    if attempt is None:
        return
    request = world.requests.get(attempt.request_id)
    if request is None:
        return
    wasted = max(0, request.seen_tokens - told.cached_tokens)
    world.event(
        "usage",
        request.request_id,
        workspace=request.workspace,
        target=request.work.target,
        server=attempt.server_id,
        prompt_tokens=told.prompt_tokens,
        cached_tokens=told.cached_tokens,
        generated_tokens=told.generated_tokens,
        wasted_tokens=wasted,
    )


def failed(world: entities.World, told: inputs.AttemptFailed) -> None:
    """Retries, resumes or ends a request whose attempt failed."""
    found = _current(world, told.attempt_id)
    if found is None:
        return
    request, attempt = found
    if told.cause is inputs.FailureCause.WITHHELD:
        followup.place_anew(world, request, told.detail)
        return
    if told.phase is inputs.FailurePhase.SENT:
        request.may_have_run = True
    else:
        request.possible_runs -= 1
    world.event(
        "attempt_failed",
        request.request_id,
        attempt=attempt.attempt_id,
        server=attempt.server_id,
        content=request.content,
        step=told.phase.value,
        cause=told.cause.value,
        detail=told.detail,
    )
    if _may_have_crashed(told) and crashes.record_broken_connection(
        world, request, attempt
    ):
        doubt.ask(world, world.servers[attempt.server_id])
    if told.cause is not inputs.FailureCause.STREAM_GONE:
        servers.record_failure(world, attempt, told)
    if request.answer_started or request.started_elsewhere:
        if told.cause is inputs.FailureCause.STREAM_GONE:
            followup.break_stream(
                world, request, "the engine no longer has the stream"
            )
        else:
            followup.resume_or_break(world, request, attempt, told.detail)
        return
    closing.close_attempt(world, attempt.attempt_id)
    if request.at_most_once and request.may_have_run:
        followup.outcome_lost(world, request, told.detail)
        return
    # One that rests is left out by that, and may be asked once it has rested.
    avoid = not _rests(world, attempt)
    followup.retry(world, request, attempt, told.detail, avoid=avoid)


def _rests(world: entities.World, attempt: entities.AttemptRow) -> bool:
    server = world.servers.get(attempt.server_id)
    return server is not None and availability.is_resting(world, server)


def _may_have_crashed(told: inputs.AttemptFailed) -> bool:
    was_sent = told.phase is inputs.FailurePhase.SENT
    return was_sent and told.cause is inputs.FailureCause.BROKEN


def caller_gone(world: entities.World, told: inputs.CallerGone) -> None:
    """Stops work that nobody waits for, unless it must be recorded."""
    request = world.requests.get(told.request_id)
    if request is None:
        return
    request.caller_gone = True
    if request.claim_key is not None:
        # The call may have run; its outcome is kept for the caller's retry.
        return
    if request.at_most_once and request.work.kind is work.WorkKind.PLAIN:
        # Broken off in the middle, a call that can't be repeated leaves its
        # caller without a way to bring it to an end.
        closing.remove(world, request)
        return
    if request.attempt_id in world.attempts:
        # The engine keeps the stream for a while, so that the caller can
        # resume it through any daemon.
        world.emit(effects.CancelAttempt(request.attempt_id, False))
    world.event("caller_gone", request.request_id, workspace=request.workspace)
    closing.remove(world, request)


def reply_unstored(world: entities.World) -> None:
    """Hands out answers whose record takes too long to write."""
    for row in list(world.outcomes.values()):
        request = world.requests.get(row.request_id)
        if request is None or request.phase is not entities.Phase.STORING:
            continue
        waited_ms = world.now_ms - request.answered_at_ms
        if waited_ms >= world.policy.store_patience_ms:
            reply(world, request)


def _current(
    world: entities.World, attempt_id: str
) -> tuple[entities.RequestRow, entities.AttemptRow] | None:
    """Returns request and attempt, or None for an attempt given up.

    An answer that comes late, after its request went elsewhere, must not
    reach anybody: the caller would get two answers, or another's.
    """
    attempt = world.attempts.get(attempt_id)
    if attempt is None:
        return None
    request = world.requests.get(attempt.request_id)
    if request is None or request.attempt_id != attempt_id:
        return None
    return request, attempt


def _echo_holds(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    echoed_request: str,
    stamp: work.Stamp,
) -> bool:
    """Discards an attempt whose answer is built on another state.

    Between choice and first frame the engine may have restarted, loaded
    other weights, or mixed up two connections. The caller would get an
    answer from older weights or of another workspace.
    """
    if stamp == attempt.stamp and echoed_request == attempt.stream_id:
        return True
    world.emit(effects.CancelAttempt(attempt.attempt_id, True))
    world.event(
        "state_changed",
        request.request_id,
        attempt=attempt.attempt_id,
        server=attempt.server_id,
        expected=str(attempt.stamp),
        echoed=str(stamp),
    )
    servers.apply_echoed_state(world, attempt.server_id, stamp)
    if request.answer_started or request.started_elsewhere:
        followup.break_stream(
            world, request, "the engine restarted or changed weights"
        )
        return False
    closing.close_attempt(world, attempt.attempt_id)
    request.may_have_run = True
    # The engine itself is well, and its new state is known now.
    followup.retry(
        world,
        request,
        attempt,
        "the engine's state had changed",
        avoid=False,
    )
    return False


def _in_order(
    request: entities.RequestRow, arrived: Iterable[work.Frame]
) -> tuple[tuple[work.Frame, ...], bool]:
    """Returns the frames to relay, and whether one is missing."""
    fresh: list[work.Frame] = []
    for frame in arrived:
        if frame.number < request.next_frame:
            continue
        # Events of a routed stream are numbered by the server, which may
        # leave numbers out.
        gapless = request.work.route is None
        if gapless and frame.number > request.next_frame:
            return tuple(fresh), True
        fresh.append(frame)
        request.next_frame = frame.number + 1
        if frame.terminal:
            break
    return tuple(fresh), False


def _hand_on(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    fresh: tuple[work.Frame, ...],
) -> None:
    if not request.answer_started:
        _begin(world, request, attempt)
    request.resumes = 0
    world.emit(effects.Relay(request.request_id, fresh))


def _begin(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    assert attempt.stamp is not None
    request.answer_started = True
    server = world.servers.get(attempt.server_id)
    if server is not None and request.work.route is not None:
        prefill_cost.record_first_token(world, attempt, server)
        rank = routing.priority(world, request)
        before_ms = server.last_answered_sent_ms.get(rank, 0)
        server.last_answered_sent_ms[rank] = max(before_ms, attempt.sent_at_ms)
    request.late = world.now_ms > request.deadline_at_ms
    world.emit(
        effects.BeginStream(
            request_id=request.request_id,
            server_id=attempt.server_id,
            stream_id=attempt.stream_id,
            stamp=attempt.stamp,
            late=request.late,
            head=request.head,
        )
    )
    world.event(
        "first_token",
        request.request_id,
        workspace=request.workspace,
        target=request.work.target,
        server=attempt.server_id,
        after_ms=world.now_ms - request.arrived_at_ms,
        late=int(request.late),
    )


__all__ = [
    "answer",
    "caller_gone",
    "failed",
    "frames",
    "opened",
    "reply",
    "reply_unstored",
    "usage",
]
