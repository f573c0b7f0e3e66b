"""Asks a second server while the one that runs a request is silent.

Load pattern: some or all servers of a target send nothing for a second or two,
and then go on. If a silent attempt were cancelled at once, its answer would be
lost wherever no other server may be asked, or is silent as well. Others fall
silent for good, and what they run must go on elsewhere soon.

So a silent attempt is kept while another server is asked (a hedged request). It
is cancelled only once the other attempt has brought something new, and the
other one if the silent attempt does so first. While nobody may be asked, the
request waits, up to its own time limits. A silence alone ends nothing.
"""

from __future__ import annotations

from godwittack.core import (
    brittle,
    closing,
    crashes,
    dispatching,
    entities,
    followup,
    paths,
    placing,
    retries,
    routing,
    servers,
    silence,
)

# Interval at which it is checked again whether a server may be asked.
CHECK_INTERVAL_MS = 200


def suspect(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    detail: str,
    *,
    cause: entities.Silence,
) -> None:
    """Marks an attempt as silent, and asks another server if that is allowed.

    Args:
        world: The tables.
        request: The request.
        attempt: Its attempt.
        detail: What is silent, for the log.
        cause: What is silent.
    """
    if attempt.silence is not entities.Silence.NONE:
        return
    attempt.silence = cause
    attempt.silent_since_ms = world.now_ms
    attempt.silence_detail = detail
    server = world.servers.get(attempt.server_id)
    if server is not None and server.trial_attempt_id == attempt.attempt_id:
        server.trial_attempt_id = ""
    if cause is entities.Silence.SERVER:
        crashes.record_broken_connection(
            world, request, attempt, is_silent=True
        )
    silence.log_attempt(world, request, attempt, detail)
    _ask_another(world, request, attempt)


def check(world: entities.World) -> None:
    """Asks other servers for requests whose attempts are still silent."""
    for attempt in list(world.attempts.values()):
        if attempt.silence is entities.Silence.NONE:
            continue
        request = world.requests.get(attempt.request_id)
        if request is None:
            continue
        if _has_server_returned(world, attempt):
            _clear(world, request, attempt)
        elif world.now_ms >= request.hedge_check_at_ms:
            _ask_another(world, request, attempt)


def check_target(world: entities.World, target: str) -> None:
    """Asks a server that has just responded, for requests that wait for it."""
    for attempt in list(world.attempts.values()):
        if attempt.silence is entities.Silence.NONE:
            continue
        request = world.requests.get(attempt.request_id)
        if request is not None and request.work.target == target:
            request.hedge_check_at_ms = world.now_ms
    check(world)


def record_progress(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    """Records that something arrived for an attempt."""
    attempt.last_progress_ms = world.now_ms
    servers.record_contact(world, attempt)
    if attempt.silence is not entities.Silence.NONE:
        _clear(world, request, attempt)


def settle(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    """Cancels the other attempts of a request: one has brought something new.

    Args:
        world: The tables.
        request: The request.
        attempt: The attempt that goes on.
    """
    others = [a for a in request.open_attempts.values() if a is not attempt]
    if not others:
        return
    for other in others:
        if other.silence is not entities.Silence.NONE:
            request.excluded_servers.add(other.server_id)
        world.event(
            "attempt_dropped",
            request.request_id,
            attempt=other.attempt_id,
            **silence.attempt_fields(world, other),
            sent_ms_ago=world.now_ms - other.sent_at_ms,
            kept=attempt.attempt_id,
            kept_server=attempt.server_id,
        )
    request.relay = attempt.relay
    closing.cancel_attempts(
        world,
        request,
        kept=attempt.attempt_id,
        # Without routes, engines go on with a stream that nobody reads.
        stop_engine=request.work.route is None,
    )


def may_hedge(request: entities.RequestRow) -> bool:
    """Returns whether a second server may run a request beside the first."""
    if request.at_most_once:
        return False
    if not (request.answer_started or request.started_elsewhere):
        return True
    route = request.work.route
    # Without a route, a stream exists at its engine only.
    return (
        route is not None and route.resumable and bool(request.stream_version)
    )


def _ask_another(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    """Sends a request to another server that shows signs of life."""
    request.hedge_check_at_ms = world.now_ms + CHECK_INTERVAL_MS
    if attempt.server_id not in world.servers:
        _leave_removed(world, request, attempt)
        return
    if not may_hedge(request) or _has_live_attempt(request):
        return
    if crashes.is_quarantined(world, request):
        return
    if routing.recheck_key(world, request) is not None:
        # No further server may get it, but what has begun may go on.
        return
    is_relay_silent = attempt.silence is entities.Silence.RELAY
    choice = placing.choose(
        world, request, tries_unknown_relays=is_relay_silent
    )
    if choice is None or not brittle.has_room(world, choice.server):
        return
    if choice.memory_wait_ms:
        return
    if not dispatching.is_in_time(world, request, choice):
        return
    if _may_be_silent(world, choice.server):
        silence.probe(world, choice.server)
        return
    if not retries.try_acquire(world, request):
        return
    followup.log_second_attempt(world, request, attempt, attempt.silence_detail)
    dispatching.dispatch_unqueued(world, request, choice)


def _has_live_attempt(request: entities.RequestRow) -> bool:
    return any(
        attempt.silence is entities.Silence.NONE
        for attempt in request.open_attempts.values()
    )


def _may_be_silent(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether nothing was heard lately of a server heard before.

    If all servers fall silent at one time, the first one found silent must not
    send its requests to the next. One that is reached through other daemons is
    only chosen if these have heard it.
    """
    if paths.is_lost(server):
        return False
    heard_ms = silence.heard_ms(server)
    return 0 <= heard_ms <= world.now_ms - silence.SILENT_MS


def _has_server_returned(
    world: entities.World, attempt: entities.AttemptRow
) -> bool:
    """Returns whether a server that was silent as a whole was heard again."""
    if attempt.silence is not entities.Silence.SERVER:
        return False
    server = world.servers.get(attempt.server_id)
    return (
        server is not None and server.last_contact_ms > attempt.silent_since_ms
    )


def _clear(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    """Ends the silence of an attempt; its limits count from now on."""
    world.event(
        "attempt_heard",
        request.request_id,
        attempt=attempt.attempt_id,
        server=attempt.server_id,
        silent_ms=world.now_ms - attempt.silent_since_ms,
        open=len(request.open_attempts),
    )
    attempt.silence = entities.Silence.NONE
    attempt.last_progress_ms = world.now_ms
    server = world.servers.get(attempt.server_id)
    if server is not None and paths.is_lost(server) and not attempt.relay:
        paths.probe_soon(world, server)
    crashes.forget_run(world, request, attempt, only_silent=True)


def _leave_removed(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    """Ends a silent attempt whose server is not listed any more."""
    if request.at_most_once:
        return
    closing.cancel_attempt(world, attempt)
    request.may_have_run = True
    if not request.open_attempts:
        followup.retry_or_resume(
            world, request, attempt, "silent, and not listed any more"
        )


__all__ = [
    "check",
    "check_target",
    "may_hedge",
    "record_progress",
    "settle",
    "suspect",
]
