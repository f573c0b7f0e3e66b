"""Ends requests: emits the final effect and event, and removes the rows."""

from __future__ import annotations

from godwittack.core import (
    effects,
    entities,
    length_routing,
    memory_queue,
    memory_updates,
    quotas,
    silence,
)

SERVICE_TIME_SMOOTHING = 0.1


def refuse(
    world: entities.World,
    request: entities.RequestRow,
    *,
    status: int,
    outcome: effects.Outcome,
    reason: effects.Reason,
    detail: str,
    retry_after_ms: int = 0,
) -> None:
    """Ends a request without an answer."""
    if request.answer is not None and not request.answer_started:
        # An earlier attempt's error answer from a server takes precedence.
        reply(world, request)
        return
    if request.answer_started:
        world.emit(effects.BreakStream(request.request_id, reason, detail))
        world.event(
            "stream_broken",
            request.request_id,
            workspace=request.workspace,
            target=request.work.target,
            reason=reason.value,
            **_break_log_fields(world, request, detail),
        )
    else:
        world.emit(
            effects.Refuse(
                request_id=request.request_id,
                status=status,
                outcome=outcome,
                reason=reason,
                detail=detail,
                retry_after_ms=retry_after_ms,
            )
        )
        world.event(
            "refused",
            request.request_id,
            workspace=request.workspace,
            target=request.work.target,
            reason=reason.value,
            outcome=outcome.value,
            **_refusal_log_fields(
                world, request, status, detail, retry_after_ms
            ),
        )
    remove(world, request)


def _break_log_fields(
    world: entities.World, request: entities.RequestRow, detail: str
) -> dict[str, str | int]:
    """Returns the log fields that explain a broken stream."""
    fields: dict[str, str | int] = {"detail": detail}
    attempt = request.last_attempt
    if attempt is not None:
        fields["attempt"] = attempt.attempt_id
        fields |= silence.attempt_fields(world, attempt)
    return {
        **fields,
        "after_frame": request.next_frame - 1,
        "waited_ms": world.now_ms - request.arrived_at_ms,
        "left_ms": request.deadline_at_ms - world.now_ms,
        "attempts": request.attempts,
    }


def _refusal_log_fields(
    world: entities.World,
    request: entities.RequestRow,
    status: int,
    detail: str,
    retry_after_ms: int,
) -> dict[str, str | int]:
    """Returns the log fields that explain a routed request's refusal."""
    if request.work.route is None:
        return {}
    return {
        "status": status,
        "detail": detail,
        "retry_after_ms": retry_after_ms,
        "route": request.work.route.name,
        "table": world.table.version,
        "waited_ms": world.now_ms - request.arrived_at_ms,
        "attempts": request.attempts,
        "may_have_run": int(request.may_have_run),
    }


def reply(world: entities.World, request: entities.RequestRow) -> None:
    """Sends a whole answer to the caller and ends the request."""
    assert request.answer is not None
    world.emit(
        effects.Reply(
            request_id=request.request_id,
            answer=request.answer,
            late=request.late,
            replayed=False,
        )
    )
    finish(world, request)


def finish(
    world: entities.World,
    request: entities.RequestRow,
    *,
    replayed: bool = False,
) -> None:
    """Logs and removes a request that got its whole answer."""
    took_ms = world.now_ms - request.arrived_at_ms
    attempt = next(iter(request.open_attempts.values()), None)
    world.event(
        "finished",
        request.request_id,
        workspace=request.workspace,
        target=request.work.target,
        took_ms=took_ms,
        late=int(request.late),
        attempts=request.attempts,
        replayed=int(replayed),
        **(
            {"status": request.answer.status}
            if request.work.route is not None and request.answer is not None
            else {}
        ),
        **({"relay": request.relay} if request.relay else {}),
        **({} if _is_delimited(request, attempt) else {"delimited": 0}),
    )
    if attempt:
        memory_updates.record_end(world, request, attempt)
        update_service_time(
            world, request.work.target, world.now_ms - attempt.sent_at_ms
        )
        length_routing.record_engine_time(world, request, attempt)
    remove(world, request)


def _is_delimited(
    request: entities.RequestRow, attempt: entities.AttemptRow | None
) -> bool:
    """Returns whether the server marked the end of the answer."""
    if request.answer is not None:
        return request.answer.is_delimited
    return attempt is None or attempt.is_delimited


def update_service_time(
    world: entities.World, target: str, took_ms: int
) -> None:
    """Updates the smoothed time from dispatch to end for `target`."""
    _smooth(world.service_time_ms, target, took_ms)


def update_response_time(
    world: entities.World, attempt: entities.AttemptRow, target: str
) -> None:
    """Updates the smoothed time until an attempt's answer begins."""
    _smooth(world.response_time_ms, target, world.now_ms - attempt.sent_at_ms)


def _smooth(times_ms: dict[str, float], target: str, took_ms: int) -> None:
    previous_ms = times_ms.get(target, float(took_ms))
    times_ms[target] = previous_ms + SERVICE_TIME_SMOOTHING * (
        took_ms - previous_ms
    )


def close_attempt(world: entities.World, attempt_id: str) -> None:
    """Removes an attempt; whatever arrives for it later is dropped."""
    attempt = world.attempts.pop(attempt_id, None)
    if attempt is None:
        return
    request = world.requests.get(attempt.request_id)
    if request is not None:
        request.open_attempts.pop(attempt_id, None)
    server = world.servers.get(attempt.server_id)
    if server is None:
        return
    server.in_flight.pop(attempt_id, None)
    if server.trial_attempt_id == attempt_id:
        server.trial_attempt_id = ""


def cancel_attempt(
    world: entities.World,
    attempt: entities.AttemptRow,
    *,
    stop_engine: bool = False,
) -> None:
    """Cancels and closes an attempt."""
    world.emit(effects.CancelAttempt(attempt.attempt_id, stop_engine))
    close_attempt(world, attempt.attempt_id)


def cancel_attempts(
    world: entities.World,
    request: entities.RequestRow,
    *,
    kept: str = "",
    stop_engine: bool = False,
) -> None:
    """Cancels and closes a request's attempts.

    Args:
        world: The tables.
        request: The request.
        kept: Id of an attempt that goes on; empty for none.
        stop_engine: Whether engines must end the streams as well.
    """
    for attempt in list(request.open_attempts.values()):
        if attempt.attempt_id != kept:
            cancel_attempt(world, attempt, stop_engine=stop_engine)


def remove(world: entities.World, request: entities.RequestRow) -> None:
    """Removes a request's rows and releases its limits."""
    for attempt_id in list(request.open_attempts):
        close_attempt(world, attempt_id)
    world.requests.pop(request.request_id, None)
    if request.phase is entities.Phase.QUEUED:
        queue = world.queues[request.work.target][request.queue_key]
        queue.remove(request.request_id)
        memory_queue.forget(world, request)
    for cell in request.cells:
        world.shares.record_end(cell)
    quotas.release(world, request)
    world.targets_to_dispatch.add(request.work.target)
    world.emit(effects.Forget(request.request_id))


__all__ = [
    "cancel_attempt",
    "cancel_attempts",
    "close_attempt",
    "finish",
    "refuse",
    "remove",
    "reply",
    "update_response_time",
    "update_service_time",
]
