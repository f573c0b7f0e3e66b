"""Keeps to what servers say of their availability: that they leave, or rest.

Load pattern: a server of several is full, or about to stop, and says so with
each answer. Lists, reports and other daemons' news say so seconds later, or
the opposite, being older; and an entry that lapses and comes back says nothing
of what was told before. A server's own word therefore holds for the start
that said it, until another start is known.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import entities
from godwittack.core import incarnation as incarnations

if TYPE_CHECKING:
    from godwittack.core import effects, server_inputs

# Servers of which a word is kept beyond their entry, the latest ones.
MAX_NOTICES = 1_024
# Names of servers in one log line.
MAX_LOGGED_SERVERS = 8


def record_leaving(
    world: entities.World, told: server_inputs.ServerLeaving
) -> None:
    """Takes in that a server leaves, said by itself or by another daemon."""
    notice = _notice(world, told.server_id, told.incarnation)
    if notice is None:
        return
    is_news = not notice.is_leaving
    notice.is_leaving = True
    server = world.servers.get(told.server_id)
    if server is not None:
        apply_notice(world, server)
    if is_news:
        world.event(
            "server_leaving",
            server=told.server_id,
            leaving=1,
            start=notice.start,
            source=told.source.value,
            **_of_request(told.request_id),
        )


def record_rest(world: entities.World, told: server_inputs.RestAsked) -> None:
    """Takes in that a server wants nothing from this daemon for a while."""
    notice = _notice(world, told.server_id, told.incarnation)
    if notice is None:
        return
    is_news = notice.rest_until_ms <= world.now_ms
    until_ms = told.at_ms + told.rest_ms
    notice.rest_until_ms = max(notice.rest_until_ms, until_ms)
    world.resting.add(told.server_id)
    server = world.servers.get(told.server_id)
    if server is not None:
        apply_notice(world, server)
    if is_news and until_ms > world.now_ms:
        world.event(
            "server_rests",
            server=told.server_id,
            start=notice.start,
            rest_ms=told.rest_ms,
            **_of_request(told.request_id),
        )


def apply_notice(world: entities.World, server: entities.ServerRow) -> None:
    """Applies what is kept of a server to its row."""
    notice = world.notices.get(server.server_id)
    if notice is not None and _concerns(notice, server):
        notice.start = notice.start or server.incarnation
        server.leaving |= notice.is_leaving
        server.rest_until_ms = notice.rest_until_ms


def reconcile_notice(world: entities.World, server: entities.ServerRow) -> None:
    """Drops what another start of a server had said than the one known now."""
    notice = world.notices.get(server.server_id)
    if notice is None:
        return
    if not _concerns(notice, server):
        del world.notices[server.server_id]
        server.leaving = False
        server.rest_until_ms = 0
    apply_notice(world, server)


def drop_unnamed_notice(world: entities.World, server_id: str) -> None:
    """Drops what a server had said whose starts have no names.

    Nothing else would ever show that another one has begun.
    """
    notice = world.notices.get(server_id)
    if notice is not None and not notice.start:
        del world.notices[server_id]


def is_resting(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether a server wants nothing from this daemon now."""
    return world.now_ms < server.rest_until_ms


def may_send(
    world: entities.World, sent: effects.Dispatch, *, now_ms: int
) -> bool:
    """Returns whether a request may still go to the server chosen for it.

    Between the choice and the first byte a connection may have to be opened,
    and the server may have said with another answer that it wants nothing.
    """
    server = world.servers.get(sent.server_id)
    if server is None:
        return False
    return not server.leaving and server.rest_until_ms <= now_ms


def end_rests(world: entities.World) -> None:
    """Takes servers back into service whose rest is over."""
    for server_id in list(world.resting):
        notice = world.notices.get(server_id)
        if notice is None or not notice.rest_until_ms:
            # Another start has asked for nothing.
            world.resting.discard(server_id)
            continue
        if notice.rest_until_ms > world.now_ms:
            continue
        world.resting.discard(server_id)
        notice.rest_until_ms = 0
        if not notice.is_leaving:
            del world.notices[server_id]
        server = world.servers.get(server_id)
        if server is not None:
            server.rest_until_ms = 0
            world.freed_targets.add(server.target)
        world.event("server_rested", server=server_id, start=notice.start)


def unavailable_servers(world: entities.World, target: str) -> dict[str, str]:
    """Returns the servers of a target that say they want no work, to log."""
    servers = world.servers_by_target[target].values()
    leaving = [s.server_id for s in servers if s.leaving]
    resting = [s.server_id for s in servers if is_resting(world, s)]
    found = {"leaving": leaving, "resting": resting}
    return {
        why: ",".join(sorted(names)[:MAX_LOGGED_SERVERS])
        for why, names in found.items()
        if names
    }


def _of_request(request_id: str) -> dict[str, str]:
    """Returns the request whose answer told, as a field.

    Not as the line's own request: under load the lines of requests that end
    well are left out.
    """
    return {"request": request_id} if request_id else {}


def _notice(
    world: entities.World, server_id: str, told_start: str
) -> entities.NoticeRow | None:
    """Returns what is kept of the start that spoke, None for an earlier one."""
    server = world.servers.get(server_id)
    known_start = server.incarnation if server is not None else ""
    start = told_start or known_start
    kept = world.notices.get(server_id)
    if incarnations.is_older(start, known_start):
        return None
    if kept is not None and _is_same_start(kept.start, start):
        kept.start = kept.start or start
        return kept
    if kept is not None and incarnations.is_older(start, kept.start):
        return None
    kept = entities.NoticeRow(start=start)
    world.notices.pop(server_id, None)
    world.notices[server_id] = kept
    while len(world.notices) > MAX_NOTICES:
        del world.notices[next(iter(world.notices))]
    return kept


def _concerns(notice: entities.NoticeRow, server: entities.ServerRow) -> bool:
    """Returns whether a notice is of the start of a row, or of a later one."""
    if _is_same_start(notice.start, server.incarnation):
        return True
    return incarnations.is_older(server.incarnation, notice.start)


def _is_same_start(one: str, other: str) -> bool:
    """Returns whether two names may be of one start; no name may be any."""
    return not one or not other or one == other


__all__ = [
    "apply_notice",
    "end_rests",
    "drop_unnamed_notice",
    "is_resting",
    "record_leaving",
    "unavailable_servers",
    "may_send",
    "record_rest",
    "reconcile_notice",
]
