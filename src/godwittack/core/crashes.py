"""Notices servers that end under requests, and stops what ends them.

A closed connection alone proves nothing: an answer may be lost, a connection
reset, this daemon cut off. It counts once the server's process is known to
have ended as well. All that ran there is counted with it; what completes a run
anywhere is cleared.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import closing, effects, entities, quarantine, work
from godwittack.core import incarnation as incarnations

if TYPE_CHECKING:
    from collections.abc import Iterable

    from godwittack.core import inputs

# Time in which a server's end explains a connection that closed. An entry of
# the instance list lapses some four seconds after its server's last sign.
EXPLAINED_MS = 6_000


def record_broken_connection(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> bool:
    """Notes an attempt that ended before its answer.

    Returns:
        Whether it is yet to be known if the server's process has ended.
    """
    server = world.servers.get(attempt.server_id)
    if server is None or server.leaving or not request.content:
        return False
    crash = quarantine.Crash(
        content=request.content,
        start=attempt.server_start,
        reporter=world.daemon,
        at_ms=world.now_ms,
    )
    is_before = attempt.sent_at_ms <= server.ended_at_ms
    if crash.start == server.ended_start and is_before:
        _count(world, server, [crash])
        return False
    server.broken = [*_recent(world, server), crash]
    return True


def record_process_end(
    world: entities.World, server: entities.ServerRow
) -> None:
    """Takes in that the process which a server ran has ended."""
    server.ended_start = start_name(world, server)
    server.ended_at_ms = world.now_ms
    found = _recent(world, server)
    server.broken = []
    if found:
        _count(world, server, found)


def record_health_response(
    world: entities.World, server: entities.ServerRow, incarnation: str
) -> None:
    """Takes in a sign of life, which may show another process."""
    if not incarnation or not server.broken:
        return
    if incarnation == server.incarnation:
        server.broken = []
    else:
        record_process_end(world, server)


def record_completion(
    world: entities.World, request: entities.RequestRow
) -> None:
    """Clears a content that a server has run to its end."""
    content = request.content
    if not world.quarantine.crashes(content):
        return
    done = quarantine.Completion(content=content, at_ms=world.now_ms)
    was_kept = world.quarantine.is_persisted(content)
    if not world.quarantine.add_completion(done):
        return
    world.event("crashes_cleared", request.request_id, content=done.content)
    # Daemons that hear of no server here know only of what was kept.
    target = "" if was_kept else request.work.target
    world.emit(effects.TellCrashes(target=target, completions=(done,)))


def apply_peer_update(world: entities.World, news: inputs.CrashesTold) -> None:
    """Takes in what another daemon knows."""
    for done in news.completions:
        if world.quarantine.add_completion(done):
            world.event("crashes_cleared", content=done.content)
    _add(world, news.crashes)


def is_quarantined(world: entities.World, request: entities.RequestRow) -> bool:
    """Returns whether a request may not be sent to any server now."""
    return world.now_ms < world.quarantine.until_ms(request.content)


def start_name(
    world: entities.World,
    server: entities.ServerRow,
    stamp: work.Stamp | None = None,
) -> str:
    """Names the start of a server that runs now, or that a stamp names."""
    named = stamp.incarnation if stamp else server.incarnation
    start = f"{server.server_id}/{named}"
    if incarnations.born_ms(named):
        return start
    return world.quarantine.unnamed_start(start)


def _recent(
    world: entities.World, server: entities.ServerRow
) -> list[quarantine.Crash]:
    since_ms = world.now_ms - EXPLAINED_MS
    return [crash for crash in server.broken if crash.at_ms >= since_ms]


def _count(
    world: entities.World,
    server: entities.ServerRow,
    crashes: list[quarantine.Crash],
) -> None:
    """Counts crashes seen here, and tells those that hear of the server."""
    world.event(
        "server_crashed",
        server=server.server_id,
        start=crashes[0].start,
        requests=len(crashes),
        contents=",".join(sorted({crash.content for crash in crashes})),
    )
    world.emit(
        effects.TellCrashes(target=server.target, crashes=tuple(crashes))
    )
    _add(world, crashes)


def _add(world: entities.World, crashes: Iterable[quarantine.Crash]) -> None:
    for crash in crashes:
        was_quarantined = world.quarantine.until_ms(crash.content) > 0
        is_news = world.quarantine.add(crash)
        if is_news and world.quarantine.until_ms(crash.content):
            _tell_quarantined(world, crash.content)
            if not was_quarantined:
                _stop_runs(world, crash.content)


def _tell_quarantined(world: entities.World, content: str) -> None:
    found = world.quarantine.crashes(content)
    world.event(
        "quarantined",
        content=content,
        starts=",".join(sorted(crash.start for crash in found)),
        reporters=",".join(sorted({crash.reporter for crash in found})),
        oldest_ms=world.now_ms - min(crash.at_ms for crash in found),
        for_ms=world.quarantine.until_ms(content) - world.now_ms,
    )
    if any(crash.reporter == world.daemon for crash in found):
        # Daemons that hear of no server here may still get the request.
        world.emit(effects.TellCrashes(target="", crashes=found))


def _stop_runs(world: entities.World, content: str) -> None:
    """Takes a quarantined request from servers that have not begun it."""
    for request in list(world.requests.values()):
        attempt = world.attempts.get(request.attempt_id)
        if request.content != content or attempt is None or request.begun:
            continue
        if request.work.kind is work.WorkKind.PLAIN and request.at_most_once:
            continue
        world.emit(effects.CancelAttempt(attempt.attempt_id, True))
        request.sent = True
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
    """Returns whether broken connections would put a request in quarantine.

    Sent on before it is known if their servers ended, it could end one more.
    """
    content = request.content
    starts = {crash.start for crash in world.quarantine.crashes(content)}
    for server in world.servers.values():
        starts.update(
            crash.start
            for crash in _recent(world, server)
            if crash.content == content
        )
    return len(starts) >= quarantine.CRASHES_TO_QUARANTINE


def quarantine_reason(
    world: entities.World, request: entities.RequestRow
) -> str:
    """Returns why a request is in quarantine, for people."""
    count = len(world.quarantine.crashes(request.content))
    return f"{count} servers ended while they ran this request"


def quarantine_left_ms(
    world: entities.World, request: entities.RequestRow
) -> int:
    """Returns how long a request stays in quarantine."""
    return world.quarantine.until_ms(request.content) - world.now_ms


__all__ = [
    "record_health_response",
    "record_broken_connection",
    "record_completion",
    "record_process_end",
    "is_quarantined",
    "would_be_quarantined",
    "quarantine_left_ms",
    "start_name",
    "apply_peer_update",
    "quarantine_reason",
]
