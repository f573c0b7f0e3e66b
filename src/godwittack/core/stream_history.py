"""Where streams may have begun before this daemon started.

After a restart of all daemons none of them has seen which software versions
served, or where routes led, for as long as a stream may live. What they record
in the store tells it.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from godwittack.core import entities, stream_records

if TYPE_CHECKING:
    from godwittack.core import inputs
    from godwittack.table import forwarding

DIGEST_BYTES = 6


def listed_versions(world: entities.World) -> dict[str, frozenset[str]]:
    """Returns the versions of the servers to which resumable routes lead."""
    return {
        target: frozenset(
            server.software_version
            for server in world.servers_by_target[target].values()
        )
        for target in _targets(world)
    }


def route_digests(world: entities.World) -> dict[str, str]:
    """Returns a digest of each resumable route's targets, by its digest."""
    return {
        _digest(route.host, route.prefix): _digest(*_targets_of(route))
        for route in _resumable_routes(world)
    }


def restore(world: entities.World, read: inputs.StreamHistoryRead) -> None:
    """Applies what was recorded before this daemon started."""
    for history in read.targets:
        _restore_target(world, history)
    recorded = dict(read.routes)
    moved_for_ms = dict(read.moved_for_ms)
    moved = 0
    for route in _resumable_routes(world):
        digest = _digest(route.host, route.prefix)
        if recorded.get(digest) != _digest(*_targets_of(route)):
            # Its streams may have begun elsewhere until a moment ago.
            moved_ms = world.now_ms
        elif digest in moved_for_ms:
            moved_ms = world.now_ms - moved_for_ms[digest]
        else:
            continue
        key = (route.host, route.prefix)
        world.routes_moved_ms[key] = max(
            moved_ms, world.routes_moved_ms.get(key, moved_ms)
        )
        moved += 1
    world.event(
        "stream_history",
        targets=len(read.targets),
        routes=len(read.routes),
        moved=moved,
    )


def _restore_target(
    world: entities.World, history: inputs.TargetHistory
) -> None:
    now_ms = world.now_ms
    served = world.served_versions.get(history.target)
    if served is None:
        served = world.served_versions[history.target] = (
            stream_records.ServedVersions(now_ms)
        )
    served.known_since_ms = min(
        served.known_since_ms, now_ms - history.known_for_ms
    )
    for version, gone_for_ms in history.gone_for_ms:
        served.record_gone(version, now_ms - gone_for_ms)
    listed = {
        server.software_version
        for server in world.servers_by_target[history.target].values()
    }
    for version in history.listed:
        if version not in listed:
            served.record_gone(version, now_ms)


def _resumable_routes(world: entities.World) -> list[forwarding.Route]:
    if world.table.forwarding is None:
        return []
    return [r for r in world.table.forwarding.routes if r.resumable]


def _targets(world: entities.World) -> list[str]:
    return sorted(
        {t for route in _resumable_routes(world) for t in _targets_of(route)}
    )


def _targets_of(route: forwarding.Route) -> list[str]:
    return sorted({entry.target for entry in route.targets})


def _digest(*parts: str) -> str:
    text = "".join(f"{len(part)}.{part}" for part in parts)
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


__all__ = ["listed_versions", "restore", "route_digests"]
