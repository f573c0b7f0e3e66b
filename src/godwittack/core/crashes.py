"""Detects what crashes servers, and stops sending it.

A closed connection alone proves nothing: an answer may be lost, a connection
reset, this daemon cut off. It counts as a crash once the server's process is
known to have ended as well. All requests that ran there are counted, with what
they hold; runs that complete speak for it. A silence proves even less: all
servers of a target may be silent at one time, with whatever they run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from godwittack.core import (
    closing,
    effects,
    entities,
    quarantine,
    silence,
    suspects,
    work,
)
from godwittack.core import incarnation as incarnations
from godwittack.placement import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

    from godwittack.core import inputs, server_inputs

# Time after a connection closed in which the end of the server's process makes
# it a crash. An entry of the instance list expires some four seconds after the
# last contact with its server.
CRASH_WINDOW_MS = 6_000
# Time after a connection closed from which a sign of life shows that its
# server has not crashed: a process may close connections before it ends.
OUTLIVED_MS = 250
# After a quarantine one daemon after the other sends again at this interval, so
# that the first crash stops the others.
RELEASE_INTERVAL_MS = 3_000
MAX_RELEASE_INTERVALS = 10
# Status codes of a success.
FIRST_SUCCESS = 200
FIRST_REDIRECTION = 300
# Names of parts in one log line.
MAX_LOGGED_PARTS = 32


def record_broken_connection(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    *,
    is_answered: bool = False,
    is_silent: bool = False,
) -> bool:
    """Records a run that its server cut short, as far as is known.

    Args:
        world: The tables.
        request: The request.
        attempt: Its attempt on the connection that closed or is silent.
        is_answered: Whether the answer may be whole: its end had no mark.
        is_silent: Whether the connection is only silent.

    Returns:
        Whether it is still unknown if the server's process has ended.
    """
    server = world.servers.get(attempt.server_id)
    keys = request.suspect_keys
    if server is None or server.leaving or not keys:
        return False
    run = quarantine.BrokenRun(
        keys=keys,
        start=attempt.incarnation_id,
        at_ms=world.now_ms,
        target=server.target,
        is_answered=is_answered,
        is_silent=is_silent,
        silent_ms=_silent_ms(world, server) if is_silent else 0,
        run_ms=world.now_ms - attempt.sent_at_ms,
    )
    was_sent_before_end = attempt.sent_at_ms <= server.ended_at_ms
    if run.start == server.ended_incarnation_id and was_sent_before_end:
        _record_crashes(world, server, [run])
        return False
    forget_run(world, request, attempt, only_silent=True)
    server.possible_crashes = [*_recent_runs(world, server), run]
    return True


def _silent_ms(world: entities.World, server: entities.ServerRow) -> int:
    """Returns how long a server has given no sign of life, within bounds."""
    silent_ms = world.now_ms - silence.heard_ms(server)
    return min(CRASH_WINDOW_MS, max(0, silent_ms))


def forget_run(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    *,
    only_silent: bool = False,
) -> None:
    """Clears a run that can't have ended its server.

    No byte of it was sent, although a probe found the server dead while it
    still connected, or it was only silent and goes on.

    Args:
        world: The tables.
        request: The request.
        attempt: Its attempt.
        only_silent: Whether to keep the record of a connection that closed.
    """
    server = world.servers.get(attempt.server_id)
    if server is None or not server.possible_crashes:
        return
    keys = request.suspect_keys
    server.possible_crashes = [
        run
        for run in server.possible_crashes
        if run.keys != keys
        or run.start != attempt.incarnation_id
        or (only_silent and not run.is_silent)
    ]


def record_process_end(
    world: entities.World, server: entities.ServerRow
) -> None:
    """Records that a server's process has ended, and counts its crashes."""
    server.ended_incarnation_id = incarnation_id(world, server)
    server.ended_at_ms = world.now_ms
    clear_outlived(world, server)
    runs = _recent_runs(world, server)
    server.possible_crashes = []
    if not runs:
        return
    if server.max_rejected_per_s is not None:
        # Too many rejections end a brittle server, not what it runs.
        world.event(
            "brittle_server_ended",
            server=server.server_id,
            requests=len(runs),
        )
        return
    _record_crashes(world, server, runs)


def record_health_response(
    world: entities.World, server: entities.ServerRow, incarnation: str
) -> None:
    """Checks whether a health-check response is from another process."""
    if not incarnation or not server.possible_crashes:
        return
    if _is_same_process(server, incarnation):
        clear_possible(world, server, until_ms=world.now_ms - OUTLIVED_MS)
    else:
        record_process_end(world, server)


def record_report(
    world: entities.World,
    server: entities.ServerRow,
    report: server_inputs.LoadReported,
) -> None:
    """Clears unmarked ends of answers that a server has outlived.

    A connection that broke is cleared by probes alone, as a report may be that
    of a process that has started under the same name.
    """
    if not server.possible_crashes:
        return
    if not _is_same_process(server, report.incarnation):
        return
    until_ms = world.now_ms - report.age_ms - OUTLIVED_MS
    clear_possible(world, server, until_ms=until_ms, answered=True)


def _is_same_process(server: entities.ServerRow, incarnation: str) -> bool:
    """Returns whether no other process than the known one has responded.

    A response that doesn't say when its process started names the server only.
    """
    return incarnation in (server.incarnation, server.server_id)


def clear_possible(
    world: entities.World,
    server: entities.ServerRow,
    *,
    until_ms: int,
    answered: bool | None = None,
) -> None:
    """Clears closed connections that a server has outlived.

    Args:
        world: The tables.
        server: The server.
        until_ms: Time of the last ones to clear.
        answered: Whether to clear only unmarked ends of answers, or only
            other ones; None for both.
    """
    kept: list[quarantine.BrokenRun] = []
    for run in server.possible_crashes:
        is_meant = answered is None or run.is_answered is answered
        if run.at_ms > until_ms or not is_meant:
            kept.append(run)
        elif run.is_answered:
            _record_run(world, run.target, run.keys)
    server.possible_crashes = kept


def clear_outlived(world: entities.World, server: entities.ServerRow) -> None:
    """Clears unmarked ends of answers before a server's last sign of life."""
    if server.possible_crashes:
        until_ms = server.last_contact_ms - OUTLIVED_MS
        clear_possible(world, server, until_ms=until_ms, answered=True)


def clear_by_relay(world: entities.World, server: entities.ServerRow) -> None:
    """Clears closed connections to a server that others have found alive.

    The connections of a lost path break without the server; an answer that
    came through another daemon ends with its server's last sign of life.
    """
    alive_ms = server.heard_alive_ms
    clear_possible(world, server, until_ms=alive_ms, answered=False)
    clear_possible(
        world, server, until_ms=alive_ms - OUTLIVED_MS, answered=True
    )


def needs_sign_of_life(
    world: entities.World, server: entities.ServerRow
) -> bool:
    """Returns whether a server was not probed since it may have crashed."""
    return any(
        server.last_probe_ms < run.at_ms + OUTLIVED_MS <= world.now_ms
        for run in server.possible_crashes
    )


def record_completion(
    world: entities.World,
    request: entities.RequestRow,
    *,
    status: int = FIRST_SUCCESS,
) -> None:
    """Counts a run that a server has completed.

    An error clears the content, but its server may not have begun the answer,
    so it says nothing of the parts.
    """
    target = request.work.target
    if FIRST_SUCCESS <= status < FIRST_REDIRECTION:
        _record_run(world, target, request.suspect_keys, request.request_id)
    else:
        _clear_content(world, target, request.content, request.request_id)


def _record_run(
    world: entities.World,
    target: str,
    keys: tuple[str, ...],
    request_id: str = "",
) -> None:
    """Counts a run without a crash for all that its request held."""
    parts = tuple(key for key in keys if suspects.is_part(key))
    world.quarantine.add_run(target, parts, now_ms=world.now_ms)
    for key in keys:
        if not suspects.is_part(key):
            _clear_content(world, target, key, request_id)
    announced = (
        world.quarantine.run_to_announce(
            key, reporter=world.daemon, now_ms=world.now_ms
        )
        for key in parts
    )
    _announce_runs(world, target, filter(None, announced))


def _clear_content(
    world: entities.World, target: str, content: str, request_id: str
) -> None:
    """Clears the crashes of a content that a server has completed."""
    if not world.quarantine.crashes(content):
        return
    completion = quarantine.Completion(content=content, at_ms=world.now_ms)
    was_persisted = world.quarantine.is_persisted(content)
    if not world.quarantine.add_completion(completion):
        return
    world.event("crashes_cleared", request_id, content=completion.content)
    # Daemons without updates on these servers know persisted crashes only.
    world.emit(
        effects.TellCrashes(
            target="" if was_persisted else target, completions=(completion,)
        )
    )


def _announce_runs(
    world: entities.World,
    target: str,
    completions: Iterable[quarantine.Completion],
) -> None:
    """Adds completed runs with parts, and announces them."""
    announced = tuple(completions)
    for completion in announced:
        world.quarantine.add_completion(completion)
    if announced:
        world.emit(effects.TellCrashes(target=target, completions=announced))


def apply_peer_update(
    world: entities.World, update: inputs.CrashesTold
) -> None:
    """Applies the crashes and completions that another daemon sent."""
    for completion in update.completions:
        is_new = world.quarantine.add_completion(completion)
        if is_new and suspects.is_content(completion.content):
            world.event("crashes_cleared", content=completion.content)
    _add_crashes(world, update.crashes)
    # Runs with a part count only once a crash of it is known.
    for completion in update.completions:
        world.quarantine.add_completion(completion)


def settle(world: entities.World) -> None:
    """Decides which parts are in quarantine by what is known by now."""
    changes = world.quarantine.settle(now_ms=world.now_ms)
    for parts in sorted(changes.lifted, key=sorted):
        _announce_lifted(world, parts)
    for parts in sorted(changes.added, key=sorted):
        _announce_quarantine(world, parts)
        _cancel_unanswered_runs(world)


def is_quarantined(world: entities.World, request: entities.RequestRow) -> bool:
    """Returns whether a request may not be sent to any server now."""
    return bool(len(world.quarantine)) and (
        is_blocked(world, request.suspect_keys)
        or _is_on_trial(world, request.suspect_keys)
    )


def _is_on_trial(world: entities.World, keys: Iterable[str]) -> bool:
    """Returns whether a run tests at present what a request is blamed for.

    After a quarantine one run at a time is sent, to one server, until one has
    completed.
    """
    blamed = world.quarantine.blamed(tuple(keys))
    if not blamed:
        return False
    return any(
        request.open_attempts and blamed.issubset(request.suspect_keys)
        for request in world.requests.values()
    ) or any(
        blamed.issubset(run.keys)
        for server in world.servers.values()
        for run in _recent_runs(world, server)
    )


def log_trial(
    world: entities.World, request: entities.RequestRow, server_id: str
) -> None:
    """Logs that a request is sent to learn if it still crashes servers."""
    if not len(world.quarantine):
        return
    blamed = world.quarantine.blamed(request.suspect_keys)
    if blamed:
        world.event(
            "quarantine_trial",
            request.request_id,
            server=server_id,
            **_key_fields(world, blamed),
        )


def is_blocked(world: entities.World, keys: Iterable[str]) -> bool:
    """Returns whether what holds all of these keys may not be sent now."""
    until_ms = world.quarantine.until_ms(*keys)
    if world.now_ms < until_ms:
        return True
    return until_ms > 0 and world.now_ms < until_ms + _release_delay_ms(
        world, keys
    )


def _release_delay_ms(world: entities.World, keys: Iterable[str]) -> int:
    """Returns how much longer than the first daemon this one waits."""
    blamed = sorted(world.quarantine.blamed(tuple(keys)))
    seed = xxhash.xxh3_64_intdigest("\n".join(blamed).encode())
    daemons = tuple(sorted(world.serving_daemons | {world.daemon}))
    position = rendezvous.rank(seed, daemons).index(world.daemon)
    return RELEASE_INTERVAL_MS * min(position, MAX_RELEASE_INTERVALS)


def incarnation_id(
    world: entities.World,
    server: entities.ServerRow,
    stamp: work.Stamp | None = None,
) -> str:
    """Returns a unique id of a server's incarnation, or of a stamp's."""
    incarnation = stamp.incarnation if stamp else server.incarnation
    name = f"{server.server_id}/{incarnation}"
    if incarnations.started_at_ms(incarnation):
        return name
    return world.quarantine.numbered_incarnation(name)


def _recent_runs(
    world: entities.World, server: entities.ServerRow
) -> list[quarantine.BrokenRun]:
    since_ms = world.now_ms - CRASH_WINDOW_MS
    return [run for run in server.possible_crashes if run.at_ms >= since_ms]


def _record_crashes(
    world: entities.World,
    server: entities.ServerRow,
    runs: list[quarantine.BrokenRun],
) -> None:
    """Records crashes seen here, and announces them to other daemons."""
    keys = sorted({key for run in runs for key in run.keys})
    contents = [key for key in keys if not suspects.is_part(key)]
    parts = [key for key in keys if suspects.is_part(key)]
    world.event(
        "server_crashed",
        server=server.server_id,
        start=runs[0].start,
        requests=len(runs),
        contents=",".join(contents),
        **({"parts": _part_names(parts)} if parts else {}),
    )
    distinct = _distinct_crashes(world, runs)
    broken = (
        quarantine.Crash(
            content=suspects.target_key(server.target),
            start=start,
            reporter=world.daemon,
            at_ms=min(run.at_ms for run in runs if run.start == start),
            runs=sum(run.start == start for run in runs),
        )
        for start in {run.start for run in runs}
    )
    crashes = (*distinct, *broken)
    world.emit(effects.TellCrashes(target=server.target, crashes=crashes))
    _add_crashes(world, crashes)


def _distinct_crashes(
    world: entities.World, runs: list[quarantine.BrokenRun]
) -> list[quarantine.Crash]:
    """Returns one crash for each incarnation and key of what ran there."""
    found: dict[tuple[str, str], quarantine.Crash] = {}
    for run in runs:
        for key in run.keys:
            crash = quarantine.Crash(
                content=key,
                start=run.start,
                reporter=world.daemon,
                at_ms=run.at_ms,
                silent_ms=run.silent_ms,
                run_ms=run.run_ms,
            )
            name = (key, run.start)
            found[name] = found.get(name, crash).with_run(run.run_ms)
    return list(found.values())


def _add_crashes(
    world: entities.World, crashes: Iterable[quarantine.Crash]
) -> None:
    by_target: dict[str, list[quarantine.Completion]] = {}
    for crash in crashes:
        key = crash.content
        was_quarantined = world.quarantine.until_ms(key) > 0
        if not world.quarantine.add(crash):
            continue
        if not suspects.is_content(key):
            target = suspects.target_of(key)
            by_target.setdefault(target, []).extend(
                world.quarantine.runs_to_announce(
                    key, reporter=world.daemon, now_ms=world.now_ms
                )
            )
        elif world.quarantine.until_ms(key):
            _announce_quarantine(world, frozenset({key}))
            if not was_quarantined:
                _cancel_unanswered_runs(world)
    for target, completions in by_target.items():
        _announce_runs(world, target, completions)


def _announce_quarantine(world: entities.World, keys: frozenset[str]) -> None:
    crashes = tuple(
        crash for key in sorted(keys) for crash in world.quarantine.crashes(key)
    )
    world.event(
        "quarantined",
        **_key_fields(world, keys),
        starts=",".join(sorted({crash.start for crash in crashes})),
        times=max(world.quarantine.time_count(key) for key in keys),
        reporters=",".join(sorted({crash.reporter for crash in crashes})),
        oldest_ms=world.now_ms - min(crash.at_ms for crash in crashes),
        for_ms=max(0, world.quarantine.until_ms(*keys) - world.now_ms),
    )
    if any(crash.reporter == world.daemon for crash in crashes):
        # Daemons without updates on these servers may still get the request.
        world.emit(effects.TellCrashes(target="", crashes=crashes))


def _announce_lifted(world: entities.World, parts: frozenset[str]) -> None:
    """Announces that completed runs, or a worse part, lift a quarantine."""
    world.event("quarantine_lifted", **_key_fields(world, parts))
    still_refused = frozenset().union(*world.quarantine.harmful_parts())
    completions = tuple(
        completion
        for completion in world.quarantine.completions()
        if completion.content in parts - still_refused
    )
    if completions:
        world.emit(effects.TellCrashes(target="", completions=completions))


def _key_fields(world: entities.World, keys: frozenset[str]) -> dict[str, str]:
    """Returns the log fields that name what is in quarantine, and why."""
    parts = sorted(key for key in keys if suspects.is_part(key))
    if not parts:
        return {"content": ",".join(sorted(keys))}
    return {
        "target": suspects.target_of(parts[0]),
        "parts": _part_names(parts),
        "completed": str(max(map(world.quarantine.completed_count, parts))),
    }


def _part_names(parts: list[str]) -> str:
    return ",".join(map(suspects.name_of, parts[:MAX_LOGGED_PARTS]))


def _cancel_unanswered_runs(world: entities.World) -> None:
    """Cancels runs of what is in quarantine that have no answer yet."""
    for request in list(world.requests.values()):
        if not request.open_attempts or request.answer_started:
            continue
        if request.at_most_once and not request.work.is_streamed:
            continue
        if not is_blocked(world, request.suspect_keys):
            continue
        closing.cancel_attempts(world, request, stop_engine=True)
        request.may_have_run = True
        closing.refuse(
            world,
            request,
            status=502 if request.work.route else 503,
            outcome=effects.Outcome.UNKNOWN,
            reason=effects.Reason.QUARANTINED,
            detail=quarantine_reason(world, request),
            retry_after_ms=quarantine_left_ms(world, request),
        )


def would_be_quarantined(
    world: entities.World, request: entities.RequestRow
) -> bool:
    """Returns whether a request would be quarantined for broken connections.

    They count like crashes here: if it were resent before it is known whether
    their servers crashed, it could crash another one. Silences don't count.
    """
    return any(
        world.quarantine.would_blame(
            key, _possible_starts(world, key), now_ms=world.now_ms
        )
        for key in request.suspect_keys
    )


def _possible_starts(world: entities.World, key: str) -> set[str]:
    """Returns the incarnations that may have ended while they ran a key."""
    return {
        run.start
        for server in world.servers.values()
        if server.possible_crashes
        for run in _recent_runs(world, server)
        if key in run.keys and not run.is_silent
    }


def quarantine_fields(
    world: entities.World, request: entities.RequestRow
) -> dict[str, str]:
    """Returns the log fields that name why a request is in quarantine."""
    return _key_fields(world, world.quarantine.blamed(request.suspect_keys))


def quarantine_reason(
    world: entities.World, request: entities.RequestRow
) -> str:
    """Returns why a request is in quarantine, as a readable text."""
    blamed = world.quarantine.blamed(request.suspect_keys)
    count = max(
        (len(world.quarantine.crashes(key)) for key in blamed), default=0
    )
    parts = sorted(key for key in blamed if suspects.is_part(key))
    if not parts:
        return f"{count} servers ended while they ran this request"
    names = _part_names(parts)
    return f"{count} servers ended while they ran prompts with part {names}"


def quarantine_left_ms(
    world: entities.World, request: entities.RequestRow
) -> int:
    """Returns how long a request stays in quarantine."""
    until_ms = world.quarantine.until_ms(*request.suspect_keys)
    return max(RELEASE_INTERVAL_MS, until_ms - world.now_ms)


__all__ = [
    "apply_peer_update",
    "clear_by_relay",
    "clear_outlived",
    "forget_run",
    "incarnation_id",
    "is_blocked",
    "is_quarantined",
    "log_trial",
    "needs_sign_of_life",
    "quarantine_fields",
    "quarantine_left_ms",
    "quarantine_reason",
    "record_broken_connection",
    "record_completion",
    "record_health_response",
    "record_process_end",
    "record_report",
    "settle",
    "would_be_quarantined",
]
