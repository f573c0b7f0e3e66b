"""Follows the software versions of each target's servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import confirming, effects, stream_records
from godwittack.member import freshness
from godwittack.placement import rendezvous

if TYPE_CHECKING:
    from godwittack.core import entities

# Daemons that are told which version began a stream: enough that one is left
# when another ends with the daemon that began it, and a datagram is lost.
HOLDERS = 3


def record_listed(
    world: entities.World, server: entities.ServerRow, version: str
) -> None:
    """Records the version that the instance list gives for a server.

    Once a target has a second version, the streams that began before are told
    to other daemons as well.
    """
    served = world.served_versions.get(server.target)
    if served is None:
        served = world.served_versions[server.target] = (
            stream_records.ServedVersions(world.now_ms)
        )
    if server.software_version == version:
        return
    if server.software_version:
        served.gone_at_ms[server.software_version] = world.now_ms
    server.software_version = version
    if has_one_version(world, server.target):
        return
    tell_untold(world, server.target)


def record_gone(world: entities.World, server: entities.ServerRow) -> None:
    """Records that a server was removed from the instance list."""
    served = world.served_versions.get(server.target)
    if served is not None and server.software_version:
        served.gone_at_ms[server.software_version] = world.now_ms


def recent_versions(world: entities.World, target: str) -> frozenset[str]:
    """Returns the versions that a stream of a target may have begun at."""
    served = world.served_versions.get(target)
    if served is None:
        return frozenset()
    listed = {
        server.software_version
        for server in world.servers_by_target[target].values()
    }
    return served.recent(listed, now_ms=world.now_ms)


def is_complete(world: entities.World, target: str) -> bool:
    """Returns whether `recent_versions` has all of them."""
    served = world.served_versions.get(target)
    if served is None or not served.is_complete(now_ms=world.now_ms):
        return False
    return confirming.has_followed(
        world,
        freshness.Topic.SERVERS,
        for_ms=stream_records.STREAM_LIFE_MS,
    )


def ambiguous_for_ms(world: entities.World, target: str) -> int:
    """Returns for how long more than one version is possible.

    While two versions are listed, that is the longest life of a stream.
    """
    listed = {
        server.software_version
        for server in world.servers_by_target[target].values()
    }
    served = world.served_versions.get(target)
    if served is None or len(listed) > 1:
        return stream_records.STREAM_LIFE_MS
    return served.ambiguous_for_ms(listed, now_ms=world.now_ms)


def has_one_version(world: entities.World, target: str) -> bool:
    """Returns whether all streams of a target began at the same version."""
    return (
        is_complete(world, target) and len(recent_versions(world, target)) == 1
    )


def holders(world: entities.World, key: bytes) -> tuple[str, ...]:
    """Returns the other daemons that hold the record of a stream."""
    others = world.live_daemons - {world.daemon}
    return rendezvous.first(key, others, count=HOLDERS)


def tell_untold(world: entities.World, target: str) -> None:
    """Tells other daemons of the streams of a target that they don't know."""
    for key, record in world.streams.untold(target, now_ms=world.now_ms):
        tell(world, key, record)


def tell(
    world: entities.World,
    key: bytes,
    record: stream_records.StreamRecord,
) -> None:
    """Tells other daemons the version that began a stream."""
    record.was_told = True
    daemons = holders(world, key)
    if daemons:
        world.emit(
            effects.TellStream(
                key=key,
                target=record.target,
                version=record.version,
                left_ms=record.expires_at_ms - world.now_ms,
                daemons=daemons,
            )
        )


__all__ = [
    "ambiguous_for_ms",
    "has_one_version",
    "holders",
    "is_complete",
    "recent_versions",
    "record_gone",
    "record_listed",
    "tell",
    "tell_untold",
]
