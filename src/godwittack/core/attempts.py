"""Handles what arrives for an attempt: frames, answers and failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import (
    availability,
    closing,
    crashes,
    effects,
    entities,
    followup,
    hedging,
    inputs,
    outcomes,
    pace,
    paths,
    prefill_cost,
    routing,
    servers,
    silence,
    stream_versions,
    urgency,
    work,
)

if TYPE_CHECKING:
    from collections.abc import Iterable


def handle_opened(world: entities.World, message: inputs.AttemptOpened) -> None:
    """Checks the engine state that the head of a stream reports."""
    current = _current_attempt(world, message.attempt_id)
    if current is None:
        return
    request, attempt = current
    hedging.record_progress(world, request, attempt)
    if _check_echo(
        world, request, attempt, message.echoed_request, message.stamp
    ):
        attempt.opened = True
        if message.head is not None:
            attempt.is_delimited = message.head.is_delimited
        attempt.head = message.head


def relay_frames(world: entities.World, message: inputs.FramesArrived) -> None:
    """Relays each frame of a stream once and in order."""
    current = _current_attempt(world, message.attempt_id)
    if current is None:
        return
    request, attempt = current
    if not attempt.opened:
        return
    hedging.record_progress(world, request, attempt)
    new_frames, is_frame_missing = _take_new_frames(request, message.frames)
    if new_frames:
        hedging.settle(world, request, attempt)
        _relay(world, request, attempt, new_frames)
    if new_frames and new_frames[-1].terminal:
        _end_stream(world, request, attempt)
        return
    if is_frame_missing:
        # A frame is missing. It will never come on this connection, but the
        # engine still has it.
        world.emit(effects.CancelAttempt(attempt.attempt_id, False))
        followup.resume_or_break(world, request, attempt, "a frame is missing")


def _end_stream(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    """Ends a stream, or breaks it if it can't be known to be complete."""
    servers.record_success(world, attempt)
    has_claim = request.head is None or request.head.is_delimited
    if has_claim and not attempt.is_delimited:
        # The caller was told that the end would be marked, by the server that
        # began the stream.
        followup.break_stream(
            world, request, "the connection closed without a mark of the end"
        )
        return
    world.emit(effects.EndStream(request.request_id))
    if attempt.is_delimited:
        crashes.record_completion(world, request)
    else:
        crashes.record_broken_connection(
            world, request, attempt, is_answered=True
        )
    closing.finish(world, request)


def handle_answer(world: entities.World, message: inputs.AnswerArrived) -> None:
    """Checks a complete answer, then retries, stores or delivers it."""
    current = _current_attempt(world, message.attempt_id)
    if current is None:
        return
    request, attempt = current
    if attempt.stamp is not None and not (
        message.stamp is not None
        and _check_echo(
            world, request, attempt, message.echoed_request, message.stamp
        )
    ):
        return
    servers.record_success(world, attempt)
    servers.record_contact(world, attempt)
    if message.answer.is_delimited:
        crashes.record_completion(world, request, status=message.answer.status)
    else:
        crashes.record_broken_connection(
            world, request, attempt, is_answered=True
        )
    closing.update_service_time(
        world, request.work.target, world.now_ms - attempt.sent_at_ms
    )
    closing.update_response_time(world, attempt, request.work.target)
    closing.close_attempt(world, attempt.attempt_id)
    request.answer = message.answer
    if followup.is_retryable_answer(request, message.answer):
        # The error response is kept: it goes to the caller if no other
        # attempt gets a better one.
        request.may_have_run = True
        _go_on(world, request, attempt, f"status {message.answer.status}")
        return
    if request.answer_started:
        # The caller has a part of a stream, and can get no other response.
        request.answer = None
        detail = f"answered {message.answer.status} and no stream"
        _go_on(world, request, attempt, detail)
        return
    hedging.settle(world, request, attempt)
    request.answered_at_ms = world.now_ms
    request.late = world.now_ms > request.deadline_at_ms
    if request.claim_key is None:
        reply(world, request)
        return
    request.phase = entities.Phase.STORING
    outcomes.store(world, request, work.ClaimState.DONE, message.answer)


def reply(world: entities.World, request: entities.RequestRow) -> None:
    """Sends a complete answer to the caller and ends the request."""
    closing.reply(world, request)


def log_usage(world: entities.World, report: inputs.UsageReported) -> None:
    """Logs the token counts that an engine reported for an attempt."""
    attempt = world.attempts.get(report.attempt_id)
    if attempt is None:
        return
    request = world.requests.get(attempt.request_id)
    if request is None:
        return
    wasted_tokens = max(0, request.seen_tokens - report.cached_tokens)
    world.event(
        "usage",
        request.request_id,
        workspace=request.workspace,
        target=request.work.target,
        server=attempt.server_id,
        prompt_tokens=report.prompt_tokens,
        cached_tokens=report.cached_tokens,
        generated_tokens=report.generated_tokens,
        wasted_tokens=wasted_tokens,
    )


def handle_failure(
    world: entities.World, failure: inputs.AttemptFailed
) -> None:
    """Retries, resumes or ends a request whose attempt failed."""
    current = _current_attempt(world, failure.attempt_id)
    if current is None:
        return
    request, attempt = current
    if _was_not_passed_on(failure):
        _record_not_passed_on(world, attempt, failure)
        followup.place_again(world, request, attempt, failure.detail)
        return
    may_place_again = _has_other_path(world, request, attempt, failure)
    if _is_connect_failure(failure):
        crashes.forget_run(world, request, attempt)
    if failure.phase is inputs.FailurePhase.SENT:
        request.may_have_run = True
    elif not may_place_again:
        request.possible_runs -= 1
    world.event(
        "attempt_failed",
        request.request_id,
        attempt=attempt.attempt_id,
        server=attempt.server_id,
        content=request.content,
        step=failure.phase.value,
        cause=failure.cause.value,
        detail=failure.detail,
        **({"relay": attempt.relay} if attempt.relay else {}),
        **(
            {"parts": ",".join(request.work.parts)}
            if request.work.parts
            else {}
        ),
    )
    if _may_have_crashed(failure) and crashes.record_broken_connection(
        world, request, attempt
    ):
        silence.probe(world, world.servers[attempt.server_id])
    if failure.cause is not inputs.FailureCause.STREAM_GONE:
        servers.record_failure(world, attempt, failure)
    if may_place_again:
        followup.place_again(world, request, attempt, failure.detail)
        return
    if failure.cause is inputs.FailureCause.STREAM_GONE and (
        request.answer_started or request.started_elsewhere
    ):
        followup.break_stream(
            world, request, "the engine no longer has the stream"
        )
        return
    # A resting server gets no work anyway, and may be used after its rest.
    avoid = not _is_resting(world, attempt)
    _go_on(world, request, attempt, failure.detail, avoid=avoid)


def _go_on(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    detail: str,
    *,
    avoid: bool = True,
) -> None:
    """Goes on after an attempt has failed, by another one if one is open."""
    closing.close_attempt(world, attempt.attempt_id)
    if request.open_attempts:
        if avoid:
            request.excluded_servers.add(attempt.server_id)
        request.hedge_check_at_ms = world.now_ms
        return
    has_begun = request.answer_started or request.started_elsewhere
    if request.at_most_once and request.may_have_run and not has_begun:
        followup.refuse_unknown(world, request, detail)
        return
    followup.retry_or_resume(world, request, attempt, detail, avoid=avoid)


def _was_not_passed_on(failure: inputs.AttemptFailed) -> bool:
    """Returns whether a request was withheld, here or by another daemon."""
    if failure.cause is inputs.FailureCause.WITHHELD:
        return True
    is_relay = failure.cause is inputs.FailureCause.RELAY
    return is_relay and failure.phase is not inputs.FailurePhase.SENT


def _record_not_passed_on(
    world: entities.World,
    attempt: entities.AttemptRow,
    failure: inputs.AttemptFailed,
) -> None:
    """Avoids a daemon that declined to pass on a request, for a time."""
    if attempt.relay:
        paths.record_relay_failure(world, attempt, failure)


def _is_connect_failure(failure: inputs.AttemptFailed) -> bool:
    return failure.phase is inputs.FailurePhase.CONNECT


def _has_other_path(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    failure: inputs.AttemptFailed,
) -> bool:
    """Returns whether an unsent request may take another path at no cost.

    No server received anything, and other daemons may reach the server that
    this one, or the daemon chosen to pass it on, can't connect to.
    """
    is_unreachable = _is_connect_failure(failure) and failure.cause in (
        inputs.FailureCause.BROKEN,
        inputs.FailureCause.ENDED,
    )
    # A stream without a route is bound to its engine.
    is_movable = request.work.route is not None or not (
        request.answer_started or request.started_elsewhere
    )
    return (
        is_unreachable
        and is_movable
        and attempt.server_id in world.servers
        and paths.has_other_daemons(world)
        and world.now_ms < request.deadline_at_ms
    )


def _is_resting(world: entities.World, attempt: entities.AttemptRow) -> bool:
    server = world.servers.get(attempt.server_id)
    return server is not None and availability.is_resting(world, server)


def _may_have_crashed(failure: inputs.AttemptFailed) -> bool:
    may_have_run = failure.phase is inputs.FailurePhase.SENT
    return may_have_run and failure.cause is inputs.FailureCause.BROKEN


def handle_caller_gone(
    world: entities.World, message: inputs.CallerGone
) -> None:
    """Stops work whose caller is gone, unless its outcome must be recorded."""
    request = world.requests.get(message.request_id)
    if request is None:
        return
    request.caller_gone = True
    if request.claim_key is not None:
        # The call may have run; its outcome is recorded for a retry.
        return
    if request.at_most_once and not request.work.is_streamed:
        # The call is left to run: cancelled halfway, it could neither be
        # repeated nor completed by its caller.
        closing.remove(world, request)
        return
    # An engine keeps a stream for a while, so that the caller can resume it
    # through any daemon.
    closing.cancel_attempts(world, request)
    world.event("caller_gone", request.request_id, workspace=request.workspace)
    closing.remove(world, request)


def reply_unstored(world: entities.World) -> None:
    """Delivers answers whose outcome takes too long to store."""
    for row in list(world.outcomes.values()):
        request = world.requests.get(row.request_id)
        if request is None or request.phase is not entities.Phase.STORING:
            continue
        storing_ms = world.now_ms - request.answered_at_ms
        if storing_ms >= world.policy.store_patience_ms:
            reply(world, request)


def _current_attempt(
    world: entities.World, attempt_id: str
) -> tuple[entities.RequestRow, entities.AttemptRow] | None:
    """Returns request and attempt, or None for an abandoned attempt.

    An answer that arrives after its request was sent elsewhere must be
    dropped: the caller would get two answers, or another caller's.
    """
    attempt = world.attempts.get(attempt_id)
    if attempt is None:
        return None
    request = world.requests.get(attempt.request_id)
    if request is None or attempt_id not in request.open_attempts:
        return None
    return request, attempt


def _check_echo(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    echoed_request: str,
    stamp: work.Stamp | None,
) -> bool:
    """Cancels an attempt whose echoed stamp or request id does not match.

    Between dispatch and first frame the engine may have restarted, loaded
    other weights, or mixed up two connections. The caller would get an
    answer from older weights or of another workspace.

    Returns:
        Whether the echo matches.
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
    if stamp is not None:
        servers.apply_echoed_state(world, attempt.server_id, stamp)
    closing.close_attempt(world, attempt.attempt_id)
    has_begun = request.answer_started or request.started_elsewhere
    if has_begun and not request.open_attempts:
        followup.break_stream(
            world, request, "the engine restarted or changed weights"
        )
        return False
    request.may_have_run = True
    # The engine is healthy, and its new state is now known.
    _go_on(
        world, request, attempt, "the engine's state had changed", avoid=False
    )
    return False


def _take_new_frames(
    request: entities.RequestRow, arrived: Iterable[work.Frame]
) -> tuple[tuple[work.Frame, ...], bool]:
    """Returns the frames not yet relayed, and whether one is missing."""
    new_frames: list[work.Frame] = []
    for frame in arrived:
        if frame.number < request.next_frame:
            continue
        # Events of a routed stream are numbered by the server, which may
        # skip numbers.
        gapless = request.work.route is None
        if gapless and frame.number > request.next_frame:
            return tuple(new_frames), True
        new_frames.append(frame)
        request.next_frame = frame.number + 1
        if frame.terminal:
            break
    return tuple(new_frames), False


def _relay(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    new_frames: tuple[work.Frame, ...],
) -> None:
    if not request.answer_started:
        _begin_stream(world, request, attempt)
    request.resumes = 0
    world.emit(effects.Relay(request.request_id, new_frames))


def _begin_stream(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    request.answer_started = True
    request.head = attempt.head
    closing.update_response_time(world, attempt, request.work.target)
    server = world.servers.get(attempt.server_id)
    if server is not None and request.work.route is not None:
        if attempt.stamp is not None:
            prefill_cost.record_first_token(world, attempt, server)
            pace.record_first_token(world, attempt, server)
        priority = routing.priority(world, request)
        urgency.record_first_token(world, attempt, server.target, priority)
        previous_ms = server.last_answered_sent_ms.get(priority, 0)
        server.last_answered_sent_ms[priority] = max(
            previous_ms, attempt.sent_at_ms
        )
    request.late = world.now_ms > request.deadline_at_ms
    stream_versions.record_begin(world, request, attempt)
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
        **(
            {"software": attempt.software_version}
            if attempt.software_version
            else {}
        ),
        after_ms=world.now_ms - request.arrived_at_ms,
        late=int(request.late),
    )


__all__ = [
    "handle_answer",
    "handle_caller_gone",
    "handle_failure",
    "handle_opened",
    "log_usage",
    "relay_frames",
    "reply",
    "reply_unstored",
]
