"""Tracks which servers are leaving, or resting (asking for no work for a time).

Load pattern: one of several servers is full or about to stop, and states it in
each answer. Lists, load reports and peer updates follow seconds later, or
contradict it because they are older; and an entry that expires and comes back
lacks what was announced before. What a server announces therefore holds for
the incarnation that announced it, until another incarnation is known.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import entities
from godwittack.core import incarnation as incarnations

if TYPE_CHECKING:
    from godwittack.core import effects, server_inputs

# Servers whose notices are kept after their entry is removed; the oldest
# notices are dropped first.
MAX_NOTICES = 1_024
# Server names in one log line.
MAX_LOGGED_SERVERS = 8


def record_leaving(
    world: entities.World, leaving: server_inputs.ServerLeaving
) -> None:
    """Records that a server is leaving, announced by itself or by a peer."""
    notice = _get_or_create_notice(
        world, leaving.server_id, leaving.incarnation
    )
    if notice is None:
        return
    is_new = not notice.is_leaving
    notice.is_leaving = True
    server = world.servers.get(leaving.server_id)
    if server is not None:
        apply_notice(world, server)
    if is_new:
        world.event(
            "server_leaving",
            server=leaving.server_id,
            leaving=1,
            start=notice.incarnation,
            source=leaving.source.value,
            **_request_field(leaving.request_id),
        )


def record_rest(world: entities.World, rest: server_inputs.RestAsked) -> None:
    """Records that a server asked this daemon to send no work for a time."""
    notice = _get_or_create_notice(world, rest.server_id, rest.incarnation)
    if notice is None:
        return
    is_new = notice.rest_until_ms <= world.now_ms
    until_ms = rest.at_ms + rest.rest_ms
    notice.rest_until_ms = max(notice.rest_until_ms, until_ms)
    world.resting_servers.add(rest.server_id)
    server = world.servers.get(rest.server_id)
    if server is not None:
        apply_notice(world, server)
    if is_new and until_ms > world.now_ms:
        world.event(
            "server_rests",
            server=rest.server_id,
            start=notice.incarnation,
            rest_ms=rest.rest_ms,
            **_request_field(rest.request_id),
        )


def apply_notice(world: entities.World, server: entities.ServerRow) -> None:
    """Applies a server's notice, if any, to its row."""
    notice = world.availability_notices.get(server.server_id)
    if notice is not None and _applies_to(notice, server):
        notice.incarnation = notice.incarnation or server.incarnation
        server.leaving |= notice.is_leaving
        server.rest_until_ms = notice.rest_until_ms


def reconcile_notice(world: entities.World, server: entities.ServerRow) -> None:
    """Drops a notice of an earlier incarnation; applies any other."""
    notice = world.availability_notices.get(server.server_id)
    if notice is None:
        return
    if not _applies_to(notice, server):
        del world.availability_notices[server.server_id]
        server.leaving = False
        server.rest_until_ms = 0
    apply_notice(world, server)


def drop_unnamed_notice(world: entities.World, server_id: str) -> None:
    """Drops the notice of a removed server whose incarnation is unnamed.

    Nothing else would show that the server has restarted since.
    """
    notice = world.availability_notices.get(server_id)
    if notice is not None and not notice.incarnation:
        del world.availability_notices[server_id]


def is_resting(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether a server accepts no work from this daemon now."""
    return world.now_ms < server.rest_until_ms


def may_send(
    world: entities.World, dispatch: effects.Dispatch, *, now_ms: int
) -> bool:
    """Returns whether a request may still go to the server chosen for it.

    Between the choice and the first byte a connection may have to be opened,
    and meanwhile the server may have asked for a rest in another answer.
    """
    server = world.servers.get(dispatch.server_id)
    if server is None:
        return False
    return not server.leaving and server.rest_until_ms <= now_ms


def end_rests(world: entities.World) -> None:
    """Returns servers to service whose rest is over."""
    for server_id in list(world.resting_servers):
        notice = world.availability_notices.get(server_id)
        if notice is None or not notice.rest_until_ms:
            # The server restarted and has not asked for a rest since.
            world.resting_servers.discard(server_id)
            continue
        if notice.rest_until_ms > world.now_ms:
            continue
        world.resting_servers.discard(server_id)
        notice.rest_until_ms = 0
        if not notice.is_leaving:
            del world.availability_notices[server_id]
        server = world.servers.get(server_id)
        if server is not None:
            server.rest_until_ms = 0
            world.targets_to_dispatch.add(server.target)
        world.event("server_rested", server=server_id, start=notice.incarnation)


def unavailable_servers(world: entities.World, target: str) -> dict[str, str]:
    """Returns a target's leaving, resting and ejected servers, for the log."""
    servers = world.servers_by_target[target].values()
    leaving = [s.server_id for s in servers if s.leaving]
    resting = [s.server_id for s in servers if is_resting(world, s)]
    ejected = [
        s.server_id for s in servers if s.ejected_until_ms > world.now_ms
    ]
    by_state = {"leaving": leaving, "resting": resting, "ejected": ejected}
    return {
        state: ",".join(sorted(names)[:MAX_LOGGED_SERVERS])
        for state, names in by_state.items()
        if names
    }


def _request_field(request_id: str) -> dict[str, str]:
    """Returns a log field with the request whose answer announced the state.

    It is not logged as the line's own request, since under load the lines of
    successful requests are left out.
    """
    return {"request": request_id} if request_id else {}


def _get_or_create_notice(
    world: entities.World, server_id: str, reported_incarnation: str
) -> entities.AvailabilityNotice | None:
    """Returns the notice of an incarnation; None if a later one is known."""
    server = world.servers.get(server_id)
    known_incarnation = server.incarnation if server is not None else ""
    incarnation = reported_incarnation or known_incarnation
    notice = world.availability_notices.get(server_id)
    if incarnations.is_older(incarnation, known_incarnation):
        return None
    if notice is not None and _may_be_same_incarnation(
        notice.incarnation, incarnation
    ):
        notice.incarnation = notice.incarnation or incarnation
        return notice
    if notice is not None and incarnations.is_older(
        incarnation, notice.incarnation
    ):
        return None
    notice = entities.AvailabilityNotice(incarnation=incarnation)
    world.availability_notices.pop(server_id, None)
    world.availability_notices[server_id] = notice
    while len(world.availability_notices) > MAX_NOTICES:
        del world.availability_notices[next(iter(world.availability_notices))]
    return notice


def _applies_to(
    notice: entities.AvailabilityNotice, server: entities.ServerRow
) -> bool:
    """Returns whether a notice is for a row's incarnation or a later one."""
    if _may_be_same_incarnation(notice.incarnation, server.incarnation):
        return True
    return incarnations.is_older(server.incarnation, notice.incarnation)


def _may_be_same_incarnation(one: str, other: str) -> bool:
    """Returns whether two names may match; an empty one matches any."""
    return not one or not other or one == other


__all__ = [
    "apply_notice",
    "drop_unnamed_notice",
    "end_rests",
    "is_resting",
    "may_send",
    "reconcile_notice",
    "record_leaving",
    "record_rest",
    "unavailable_servers",
]
