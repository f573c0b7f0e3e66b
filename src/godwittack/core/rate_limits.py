"""Enforces the rates that overloaded servers accept from all daemons together.

Load pattern: one of several servers can do only a part of its work for a time.
Each daemon sees a part of what is sent there; if each applied the whole rate
by itself, together they would exceed it, and daemons that have not called the
server lately would continue to send as before.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from godwittack.core import effects, incarnation
from godwittack.limit import advertised

if TYPE_CHECKING:
    from godwittack.core import entities, server_inputs

# Pause between two announcements of an unchanged limit, by any daemon. Bounds
# how long a daemon that missed the first one does not know the limit.
ANNOUNCE_INTERVAL_MS = 1_000
# Relative change of a limit above which it is announced at once.
MIN_CHANGE_RATIO = 0.1
MIN_RETRY_MS = 100
MAX_RETRY_MS = 5_000


def apply_echoed_limit(
    world: entities.World, echo: server_inputs.RateLimitEchoed
) -> None:
    """Applies a limit, or its end, that a server sent with an answer."""
    server = world.servers.get(echo.server_id)
    if server is None:
        return
    is_new = _apply_limit(world, server, echo.limit_per_s, echo.at_ms, "server")
    is_due = (
        world.now_ms - server.rate_limit_announced_ms >= ANNOUNCE_INTERVAL_MS
    )
    if not is_new and (echo.limit_per_s is None or not is_due):
        return
    server.rate_limit_announced_ms = world.now_ms
    world.emit(
        effects.TellRateLimit(
            server_id=server.server_id,
            target=server.target,
            incarnation=server.incarnation,
            limit_per_s=echo.limit_per_s,
            at_ms=echo.at_ms,
        )
    )


def apply_peer_update(
    world: entities.World, update: server_inputs.RateLimitTold
) -> None:
    """Applies a limit, or its end, that another daemon announced."""
    server = world.servers.get(update.server_id)
    if server is None:
        return
    if incarnation.is_older(update.incarnation, server.incarnation):
        return
    server.rate_limit_announced_ms = world.now_ms
    _apply_limit(
        world, server, update.limit_per_s, update.at_ms - update.age_ms, "peer"
    )


def recompute_shares(world: entities.World) -> None:
    """Recomputes this daemon's share of each limit when daemons change."""
    for server in world.servers.values():
        if server.rate_limit is not None:
            _recompute_share(world, server, server.rate_limit)


def is_limited(world: entities.World, server_id: str) -> bool:
    """Returns whether this daemon knows a limit of a server."""
    server = world.servers.get(server_id)
    return server is not None and server.rate_limit is not None


def has_capacity(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether a request may be sent to a server now."""
    limit = server.rate_limit
    return limit is None or limit.wait_ms(now_ms=world.now_ms) <= 0


def record_dispatch(world: entities.World, server: entities.ServerRow) -> None:
    """Counts a request sent to a server against its limit."""
    if server.rate_limit is not None:
        server.rate_limit.take(now_ms=world.now_ms)


def retry_after_ms(world: entities.World, target: str) -> int:
    """Returns when a target has capacity again; 0 without limits."""
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
    wait_ms = min(min(waits_ms), MAX_RETRY_MS)
    return max(MIN_RETRY_MS, math.ceil(wait_ms))


def _apply_limit(
    world: entities.World,
    server: entities.ServerRow,
    per_s: float | None,
    received_at_ms: int,
    source: str,
) -> bool:
    """Applies a server's limit; returns whether it changed significantly."""
    if received_at_ms < server.rate_limit_received_ms:
        return False
    server.rate_limit_received_ms = received_at_ms
    before = server.rate_limit.per_s if server.rate_limit is not None else None
    if before == per_s:
        return False
    if per_s is None:
        server.rate_limit = None
        world.targets_to_dispatch.add(server.target)
    elif server.rate_limit is None:
        server.rate_limit = advertised.AdvertisedLimit(
            per_s=per_s, refilled_at_ms=world.now_ms
        )
        _recompute_share(world, server, server.rate_limit)
    else:
        # Refills the tokens up to now at the previous rate.
        server.rate_limit.wait_ms(now_ms=world.now_ms)
        server.rate_limit.per_s = per_s
        _recompute_share(world, server, server.rate_limit)
    if not _is_significant(before, per_s):
        return False
    world.event(
        "server_limit",
        server=server.server_id,
        per_s=_format_limit(per_s),
        before=_format_limit(before),
        part_per_s=round(server.rate_limit.share_per_s, 3)
        if server.rate_limit
        else 0,
        carriers=len(world.serving_daemons),
        source=source,
        age_ms=world.now_ms - received_at_ms,
    )
    return True


def _is_significant(before: float | None, per_s: float | None) -> bool:
    if before is None or per_s is None:
        return True
    return abs(per_s - before) > MIN_CHANGE_RATIO * before


def _recompute_share(
    world: entities.World,
    server: entities.ServerRow,
    limit: advertised.AdvertisedLimit,
) -> None:
    # A daemon that has not met the others yet would claim the whole limit.
    is_alone = world.expected_daemons > 1 and not world.has_seen_peers
    limit.assign_share(
        server_id=server.server_id,
        own_daemon=world.daemon,
        daemons=() if is_alone else world.serving_daemons,
    )


def _format_limit(limit_per_s: float | None) -> str | float:
    return "none" if limit_per_s is None else limit_per_s


__all__ = [
    "apply_echoed_limit",
    "apply_peer_update",
    "has_capacity",
    "is_limited",
    "recompute_shares",
    "record_dispatch",
    "retry_after_ms",
]
