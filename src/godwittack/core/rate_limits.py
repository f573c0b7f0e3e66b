"""Keeps to the rates that servers in need take from all daemons together.

Load pattern: a server of several can do a part of its work for a while. Each
daemon sees a part of what is sent there; keeping to the whole rate by itself,
each would send it, and those that have not asked it lately go on as before.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from godwittack.core import effects, incarnation
from godwittack.limit import advertised

if TYPE_CHECKING:
    from godwittack.core import entities, server_inputs

# Pause between two accounts of a limit that stays as it is, by any daemon. It
# bounds how long one that missed the first stays unaware.
ANNOUNCE_INTERVAL_MS = 1_000
# Part by which a limit must change to be told at once.
MIN_CHANGE_RATIO = 0.1
MIN_RETRY_MS = 100
MAX_RETRY_MS = 5_000


def apply_echoed_limit(
    world: entities.World, told: server_inputs.RateLimitEchoed
) -> None:
    """Takes in what an answer of the server said."""
    server = world.servers.get(told.server_id)
    if server is None:
        return
    is_news = _take(world, server, told.limit_per_s, told.at_ms, "server")
    is_due = world.now_ms - server.limit_shared_ms >= ANNOUNCE_INTERVAL_MS
    if not is_news and (told.limit_per_s is None or not is_due):
        return
    server.limit_shared_ms = world.now_ms
    world.emit(
        effects.TellRateLimit(
            server_id=server.server_id,
            target=server.target,
            incarnation=server.incarnation,
            limit_per_s=told.limit_per_s,
            at_ms=told.at_ms,
        )
    )


def apply_peer_update(
    world: entities.World, told: server_inputs.RateLimitTold
) -> None:
    """Takes in what another daemon heard from the server."""
    server = world.servers.get(told.server_id)
    if server is None:
        return
    if incarnation.is_older(told.incarnation, server.incarnation):
        return
    server.limit_shared_ms = world.now_ms
    _take(world, server, told.limit_per_s, told.at_ms - told.age_ms, "peer")


def recompute_shares(world: entities.World) -> None:
    """Works all parts out anew, as daemons come and go."""
    for server in world.servers.values():
        if server.limit is not None:
            _deal(world, server, server.limit)


def is_limited(world: entities.World, server_id: str) -> bool:
    """Returns whether a limit of the server is known here."""
    server = world.servers.get(server_id)
    return server is not None and server.limit is not None


def has_capacity(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether a request may be sent to a server now."""
    limit = server.limit
    return limit is None or limit.wait_ms(now_ms=world.now_ms) <= 0


def record_dispatch(world: entities.World, server: entities.ServerRow) -> None:
    """Counts a request sent to a server."""
    if server.limit is not None:
        server.limit.take(now_ms=world.now_ms)


def retry_after_ms(world: entities.World, target: str) -> int:
    """Returns when a server of a target has room again; 0 without limits."""
    limits = [
        server.limit
        for server in world.servers_by_target[target].values()
        if server.limit is not None
        and not server.leaving
        and server.rest_until_ms <= world.now_ms
    ]
    if not limits:
        return 0
    waits_ms = (limit.wait_ms(now_ms=world.now_ms) for limit in limits)
    wait_ms = min(min(waits_ms), MAX_RETRY_MS)
    return max(MIN_RETRY_MS, math.ceil(wait_ms))


def _take(
    world: entities.World,
    server: entities.ServerRow,
    per_s: float | None,
    heard_ms: int,
    source: str,
) -> bool:
    """Takes in a server's word; returns whether it says something new."""
    if heard_ms < server.limit_heard_ms:
        return False
    server.limit_heard_ms = heard_ms
    before = server.limit.per_s if server.limit is not None else None
    if before == per_s:
        return False
    if per_s is None:
        server.limit = None
        world.freed_targets.add(server.target)
    elif server.limit is None:
        server.limit = advertised.AdvertisedLimit(
            per_s=per_s, refilled_at_ms=world.now_ms
        )
        _deal(world, server, server.limit)
    else:
        # Up to now it holds by the rate before.
        server.limit.wait_ms(now_ms=world.now_ms)
        server.limit.per_s = per_s
        _deal(world, server, server.limit)
    if not _is_news(before, per_s):
        return False
    world.event(
        "server_limit",
        server=server.server_id,
        per_s=_shown(per_s),
        before=_shown(before),
        part_per_s=round(server.limit.share_per_s, 3) if server.limit else 0,
        carriers=len(world.carriers),
        source=source,
        age_ms=world.now_ms - heard_ms,
    )
    return True


def _is_news(before: float | None, per_s: float | None) -> bool:
    if before is None or per_s is None:
        return True
    return abs(per_s - before) > MIN_CHANGE_RATIO * before


def _deal(
    world: entities.World,
    server: entities.ServerRow,
    limit: advertised.AdvertisedLimit,
) -> None:
    # A daemon that has yet to meet the others would take the whole for its own.
    is_unmet = world.known_daemons > 1 and not world.has_met_others
    limit.assign_share(
        server_id=server.server_id,
        own_daemon=world.daemon,
        daemons=() if is_unmet else world.carriers,
    )


def _shown(limit_per_s: float | None) -> str | float:
    return "none" if limit_per_s is None else limit_per_s


__all__ = [
    "recompute_shares",
    "apply_echoed_limit",
    "has_capacity",
    "is_limited",
    "retry_after_ms",
    "record_dispatch",
    "apply_peer_update",
]
