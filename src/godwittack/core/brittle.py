"""Limits requests to brittle servers, which fall over if they reject too many.

Load pattern: the servers of a service announce that they fall over once they
have to reject more than a few requests a second for want of room, and let fewer
wait than before. Nine daemons see one free place at the same time, and each
sends a request; all daemons together would reject a server to death within a
second, and the next one with its load.

So the slots of a brittle server are divided among the daemons as places, and no
daemon has more requests there than it has places; none wait at the server. A
daemon whose places are all taken, or that has none, sends its requests through
daemons with places that are free, as long as the server reports room.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from godwittack.core import effects, entities, incarnation
from godwittack.limit import places
from godwittack.placement import rendezvous

if TYPE_CHECKING:
    from godwittack.core import server_inputs

# Slots that are left free: a server frees a slot slightly after its answer.
SPARE_SLOTS = 1
# Time for which a daemon that is no longer seen keeps its share, and after
# which one that has just started has a share.
VIEW_DELAY_MS = 2_000
# Age up to which a load report shows that a server has no room.
FRESH_REPORT_MS = 1_000
# Time without requests after a server rejected one.
BACKOFF_MS = 500
# As for rate limits.
ANNOUNCE_INTERVAL_MS = 1_000
# Assumed until answers of a target were measured.
DEFAULT_SERVICE_MS = 50.0
MIN_SERVICE_MS = 20.0
# Daemons without a free place in a row until no more are tried for a while.
MAX_DECLINED = 3
# Time within which no more than that are tried at once: a daemon has declined
# by then.
TRY_WINDOW_MS = 10


def apply_echo(
    world: entities.World, echo: server_inputs.BrittleEchoed
) -> None:
    """Applies what a server said of itself with an answer."""
    server = world.servers.get(echo.server_id)
    if server is None:
        return
    is_new = _apply(
        world, server, echo.max_rejected_per_s, echo.at_ms, "server"
    )
    is_due = world.now_ms - server.brittle_told_ms >= ANNOUNCE_INTERVAL_MS
    if not is_new and (echo.max_rejected_per_s is None or not is_due):
        return
    server.brittle_told_ms = world.now_ms
    world.emit(
        effects.TellBrittle(
            server_id=server.server_id,
            target=server.target,
            incarnation=server.incarnation,
            max_rejected_per_s=echo.max_rejected_per_s,
            at_ms=echo.at_ms,
        )
    )


def apply_peer_update(
    world: entities.World, update: server_inputs.BrittleTold
) -> None:
    """Applies what another daemon heard from a server."""
    server = world.servers.get(update.server_id)
    if server is None:
        return
    if incarnation.is_older(update.incarnation, server.incarnation):
        return
    server.brittle_told_ms = world.now_ms
    heard_at_ms = update.at_ms - update.age_ms
    _apply(world, server, update.max_rejected_per_s, heard_at_ms, "peer")


def has_announced(world: entities.World, server_id: str) -> bool:
    """Returns whether a server is known to have said that it is brittle."""
    server = world.servers.get(server_id)
    return server is not None and server.max_rejected_per_s is not None


def is_brittle(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether a server, or another one of its target, is brittle."""
    return _max_rejected_per_s(world, server) is not None


def record_members(world: entities.World, *, before: frozenset[str]) -> None:
    """Records the daemons that sent requests until a change."""
    if world.first_view_ms < 0 and world.has_seen_peers:
        world.first_view_ms = world.now_ms
    since_ms = world.now_ms - VIEW_DELAY_MS
    recent = [view for view in world.past_views if view.until_ms > since_ms]
    recent.append(entities.PastView(world.now_ms, before))
    world.past_views = recent


def has_room(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether a request may be sent to a server now."""
    if not is_brittle(world, server):
        return True
    if _is_backing_off(world, server) or _has_waiting(world, server):
        return False
    return has_own_place(world, server) or bool(_holders(world, server))


def has_own_place(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether this daemon has a free place at a server."""
    return _used_places(server) < own_places(world, server)


def needs_holder(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether a request would take a place of another daemon."""
    return is_brittle(world, server) and not has_own_place(world, server)


def may_pass_on(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether a place is free for a request of another daemon."""
    if not is_brittle(world, server):
        return True
    is_closed = _is_backing_off(world, server) or _has_waiting(world, server)
    return not is_closed and has_own_place(world, server)


def own_places(world: entities.World, server: entities.ServerRow) -> int:
    """Returns this daemon's share of a server's slots."""
    if not _has_share(world):
        return 0
    return places.share(
        _places(world, server),
        key=f"place/{server.server_id}",
        own_daemon=world.daemon,
        daemons=_sharing_daemons(world),
    )


def choose_holder(
    world: entities.World,
    server: entities.ServerRow,
    request: entities.RequestRow,
) -> str:
    """Returns the daemon that passes on a request; empty for this one."""
    if not is_brittle(world, server) or has_own_place(world, server):
        return ""
    holders = _holders(world, server)
    if not holders:
        return ""
    seed = xxhash.xxh3_64_intdigest(request.request_id.encode())
    return rendezvous.rank(seed, tuple(sorted(holders)))[0]


def record_dispatch(
    world: entities.World,
    server: entities.ServerRow,
    attempt: entities.AttemptRow,
    *,
    is_at_holder: bool,
) -> None:
    """Records whose place a request takes."""
    if not is_brittle(world, server):
        return
    attempt.has_own_place = not is_at_holder
    if is_at_holder:
        _record_try(world, server.target)


def record_rejection(world: entities.World, server: entities.ServerRow) -> None:
    """Records that a brittle server rejected a request."""
    if not is_brittle(world, server):
        return
    server.rejected_at_ms = world.now_ms


def record_declined(
    world: entities.World, server: entities.ServerRow, daemon: str
) -> None:
    """Records that a daemon had no free place for a request of this one.

    After a few in a row all places are probably taken: more tries would cost
    the daemons more processor time than the requests.
    """
    busy_ms = round(_service_ms(world, server.target))
    server.peer_paths[daemon] = entities.PeerPath(
        reaches=False, until_ms=world.now_ms + busy_ms
    )
    borrowing = world.borrowing.setdefault(server.target, entities.Borrowing())
    borrowing.declined += 1
    if borrowing.declined >= MAX_DECLINED:
        borrowing.declined = 0
        borrowing.paused_until_ms = world.now_ms + busy_ms


def record_accepted(world: entities.World, target: str) -> None:
    """Records that a request took a place of another daemon."""
    borrowing = world.borrowing.get(target)
    if borrowing is not None:
        borrowing.declined = 0


def wait_ms(world: entities.World, target: str) -> float:
    """Estimates how long until this daemon may send a request.

    A daemon without places of its own uses those of others; it is assumed to
    get an equal part of them all.
    """
    servers = world.servers_by_target[target].values()
    own = sum(own_places(world, server) for server in servers)
    total = sum(_places(world, server) for server in servers)
    equal_part = total / max(1, len(_sharing_daemons(world)))
    return _service_ms(world, target) / max(own, equal_part)


def _apply(
    world: entities.World,
    server: entities.ServerRow,
    max_rejected_per_s: float | None,
    heard_at_ms: int,
    source: str,
) -> bool:
    """Applies what a server said; returns whether it is new."""
    if heard_at_ms < server.brittle_heard_ms:
        return False
    server.brittle_heard_ms = heard_at_ms
    before = server.max_rejected_per_s
    if before == max_rejected_per_s:
        return False
    server.max_rejected_per_s = max_rejected_per_s
    _update_target(world, server.target)
    world.targets_to_dispatch.add(server.target)
    world.event(
        "server_brittle",
        server=server.server_id,
        max_rejected_per_s=_format(max_rejected_per_s),
        before=_format(before),
        places=own_places(world, server),
        carriers=len(_sharing_daemons(world)),
        source=source,
        age_ms=world.now_ms - heard_at_ms,
    )
    return True


def _update_target(world: entities.World, target: str) -> None:
    """Recomputes the lowest tolerance among a target's servers."""
    announced = [
        server.max_rejected_per_s
        for server in world.servers_by_target[target].values()
        if server.max_rejected_per_s is not None
    ]
    if announced:
        world.brittle_targets[target] = min(announced)
    else:
        world.brittle_targets.pop(target, None)


def forget(world: entities.World, server: entities.ServerRow) -> None:
    """Forgets what a process said that has ended or left."""
    server.max_rejected_per_s = None
    server.brittle_heard_ms = world.now_ms
    _update_target(world, server.target)


def _max_rejected_per_s(
    world: entities.World, server: entities.ServerRow
) -> float | None:
    """Returns how many rejections a server bears; None if it isn't brittle.

    The servers of a service are brittle together: one that has not answered
    this daemon yet counts like the others.
    """
    if server.max_rejected_per_s is not None:
        return server.max_rejected_per_s
    return world.brittle_targets.get(server.target)


def _places(world: entities.World, server: entities.ServerRow) -> int:
    slots = server.slots or world.policy.slots
    return max(1, slots - SPARE_SLOTS)


def _used_places(server: entities.ServerRow) -> int:
    own = sum(attempt.has_own_place for attempt in server.in_flight.values())
    return own + server.passed_on


def _has_share(world: entities.World) -> bool:
    """Returns whether the others count this daemon by now."""
    if world.expected_daemons <= 1:
        return True
    first_ms = world.first_view_ms
    return 0 <= first_ms <= world.now_ms - VIEW_DELAY_MS


def _sharing_daemons(world: entities.World) -> frozenset[str]:
    """Returns the daemons that may be using their shares.

    All that were seen lately count: a daemon that others consider dead may
    still be sending.
    """
    daemons = world.serving_daemons
    for view in world.past_views:
        if view.until_ms > world.now_ms - VIEW_DELAY_MS:
            daemons |= view.daemons
    return daemons


def _is_backing_off(world: entities.World, server: entities.ServerRow) -> bool:
    return world.now_ms - server.rejected_at_ms < BACKOFF_MS


def _is_full(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether a server reported all of its places as taken."""
    is_fresh = world.now_ms - server.reported_at_ms < FRESH_REPORT_MS
    return is_fresh and server.running >= _places(world, server)


def _has_waiting(world: entities.World, server: entities.ServerRow) -> bool:
    is_fresh = world.now_ms - server.reported_at_ms < FRESH_REPORT_MS
    return is_fresh and server.waiting > 0


def _holders(
    world: entities.World, server: entities.ServerRow
) -> tuple[str, ...]:
    """Returns the daemons that may have a free place at a server."""
    if not _has_share(world) or _is_full(world, server):
        return ()
    borrowing = world.borrowing.get(server.target)
    if borrowing is not None and not _may_borrow(world, borrowing):
        return ()
    holders = places.holders(
        _places(world, server),
        key=f"place/{server.server_id}",
        daemons=_sharing_daemons(world),
    )
    return tuple(
        daemon
        for daemon in holders
        if daemon != world.daemon and _may_ask(world, server, daemon)
    )


def _may_borrow(world: entities.World, borrowing: entities.Borrowing) -> bool:
    """Returns whether to try another daemon's place now."""
    if world.now_ms < borrowing.paused_until_ms:
        return False
    is_recent = world.now_ms - borrowing.tried_from_ms < TRY_WINDOW_MS
    return not is_recent or borrowing.tried < MAX_DECLINED


def _record_try(world: entities.World, target: str) -> None:
    borrowing = world.borrowing.setdefault(target, entities.Borrowing())
    if world.now_ms - borrowing.tried_from_ms >= TRY_WINDOW_MS:
        borrowing.tried_from_ms = world.now_ms
        borrowing.tried = 0
    borrowing.tried += 1


def _may_ask(
    world: entities.World, server: entities.ServerRow, daemon: str
) -> bool:
    if daemon not in world.live_daemons:
        return False
    if world.now_ms < world.lost_relays.get(daemon, 0):
        return False
    known = server.peer_paths.get(daemon)
    return known is None or known.reaches or known.until_ms <= world.now_ms


def _service_ms(world: entities.World, target: str) -> float:
    service_ms = world.service_time_ms.get(target, DEFAULT_SERVICE_MS)
    return max(MIN_SERVICE_MS, service_ms)


def _format(max_rejected_per_s: float | None) -> str | float:
    return "none" if max_rejected_per_s is None else max_rejected_per_s


__all__ = [
    "apply_echo",
    "apply_peer_update",
    "choose_holder",
    "forget",
    "has_announced",
    "has_own_place",
    "has_room",
    "is_brittle",
    "may_pass_on",
    "needs_holder",
    "own_places",
    "record_accepted",
    "record_declined",
    "record_dispatch",
    "record_members",
    "record_rejection",
    "wait_ms",
]
