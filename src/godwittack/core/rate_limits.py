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
TELL_EVERY_MS = 1_000
# Part by which a limit must change to be told at once.
CHANGED_PART = 0.1
LEAST_RETRY_MS = 100
MOST_RETRY_MS = 5_000


def echoed(world: entities.World, told: server_inputs.RateLimitEchoed) -> None:
    """Takes in what an answer of the server said."""
    server = world.servers.get(told.server_id)
    if server is None:
        return
    is_news = _take(world, server, told.limit_per_s, told.at_ms, "server")
    is_due = world.now_ms - server.rate_limit_announced_ms >= TELL_EVERY_MS
    if not is_news and (told.limit_per_s is None or not is_due):
        return
    server.rate_limit_announced_ms = world.now_ms
    world.emit(
        effects.TellRateLimit(
            server_id=server.server_id,
            target=server.target,
            incarnation=server.incarnation,
            limit_per_s=told.limit_per_s,
            at_ms=told.at_ms,
        )
    )


def told_by_peer(
    world: entities.World, told: server_inputs.RateLimitTold
) -> None:
    """Takes in what another daemon heard from the server."""
    server = world.servers.get(told.server_id)
    if server is None:
        return
    if incarnation.is_older(told.incarnation, server.incarnation):
        return
    server.rate_limit_announced_ms = world.now_ms
    _take(world, server, told.limit_per_s, told.at_ms - told.age_ms, "peer")


def deal_all(world: entities.World) -> None:
    """Works all parts out anew, as daemons come and go."""
    for server in world.servers.values():
        if server.rate_limit is not None:
            _deal(world, server, server.rate_limit)


def is_limited(world: entities.World, server_id: str) -> bool:
    """Returns whether a limit of the server is known here."""
    server = world.servers.get(server_id)
    return server is not None and server.rate_limit is not None


def has_room(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether a request may be sent to a server now."""
    limit = server.rate_limit
    return limit is None or limit.wait_ms(now_ms=world.now_ms) <= 0


def sent(world: entities.World, server: entities.ServerRow) -> None:
    """Counts a request sent to a server."""
    if server.rate_limit is not None:
        server.rate_limit.take(now_ms=world.now_ms)


def retry_after_ms(world: entities.World, target: str) -> int:
    """Returns when a server of a target has room again; 0 without limits."""
    limits = [
        server.rate_limit
        for server in world.servers_by_target[target].values()
        if server.rate_limit is not None
        and not server.leaving
        and server.rest_until_ms <= world.now_ms
    ]
    if not limits:
        return 0
    waits_ms = (limit.wait_ms(now_ms=world.now_ms) for limit in limits)
    wait_ms = min(min(waits_ms), MOST_RETRY_MS)
    return max(LEAST_RETRY_MS, math.ceil(wait_ms))


def _take(
    world: entities.World,
    server: entities.ServerRow,
    per_s: float | None,
    heard_ms: int,
    source: str,
) -> bool:
    """Takes in a server's word; returns whether it says something new."""
    if heard_ms < server.rate_limit_received_ms:
        return False
    server.rate_limit_received_ms = heard_ms
    before = server.rate_limit.per_s if server.rate_limit is not None else None
    if before == per_s:
        return False
    if per_s is None:
        server.rate_limit = None
        world.targets_to_dispatch.add(server.target)
    elif server.rate_limit is None:
        server.rate_limit = advertised.AdvertisedLimit(
            per_s=per_s, filled_at_ms=world.now_ms
        )
        _deal(world, server, server.rate_limit)
    else:
        # Up to now it holds by the rate before.
        server.rate_limit.wait_ms(now_ms=world.now_ms)
        server.rate_limit.per_s = per_s
        _deal(world, server, server.rate_limit)
    if not _is_news(before, per_s):
        return False
    world.event(
        "server_limit",
        server=server.server_id,
        per_s=_shown(per_s),
        before=_shown(before),
        part_per_s=round(server.rate_limit.part_per_s, 3)
        if server.rate_limit
        else 0,
        carriers=len(world.serving_daemons),
        source=source,
        age_ms=world.now_ms - heard_ms,
    )
    return True


def _is_news(before: float | None, per_s: float | None) -> bool:
    if before is None or per_s is None:
        return True
    return abs(per_s - before) > CHANGED_PART * before


def _deal(
    world: entities.World,
    server: entities.ServerRow,
    limit: advertised.AdvertisedLimit,
) -> None:
    # A daemon that has yet to meet the others would take the whole for its own.
    is_unmet = world.expected_daemons > 1 and not world.has_seen_peers
    limit.deal(
        server_id=server.server_id,
        own=world.daemon,
        daemons=() if is_unmet else world.serving_daemons,
    )


def _shown(limit_per_s: float | None) -> str | float:
    return "none" if limit_per_s is None else limit_per_s


__all__ = [
    "deal_all",
    "echoed",
    "has_room",
    "is_limited",
    "retry_after_ms",
    "sent",
    "told_by_peer",
]
