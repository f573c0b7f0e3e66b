"""Decides what weights that have been replaced are still good for."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.core import entities, inputs

# Namings of one model that are remembered; servers with older weights are too
# old by far.
MAX_KNOWN_VERSIONS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredVersion:
    """A version of weights, and the earliest time at which it was named."""

    version: str
    at_ms: int


def record_desired_versions(
    world: entities.World, told: inputs.TableChanged
) -> None:
    """Notes when newer weights than those in force are named."""
    at_ms = _earliest_ms(world, told.newest_before_ms)
    for name, row in told.table.models.items():
        before = world.table.models.get(name)
        if before is not None and before.weights_version == row.weights_version:
            continue
        known = world.weights_named.setdefault(name, [])
        named_ms = _longest_ago_ms(world) if before is None else at_ms
        known.append(DesiredVersion(row.weights_version, named_ms))
        del known[:-MAX_KNOWN_VERSIONS]


def _earliest_ms(world: entities.World, newest_before_ms: int | None) -> int:
    """Returns the earliest time at which what a new table names was named.

    A daemon that was suspended or cut off hears of a naming late. Counted from
    when it heard, replaced weights would be used for that much longer than
    allowed, as the operators see by answers of them after all others have
    stopped. No naming that the table brings was made while the table before
    was the newest, also where it brings several of which one is seen.
    """
    if newest_before_ms is None:
        return world.now_ms
    newest_before_ms = min(newest_before_ms, world.now_ms)
    return max(newest_before_ms, _longest_ago_ms(world))


def _longest_ago_ms(world: entities.World) -> int:
    """Returns how early a naming is dated by a daemon that can't tell.

    One that starts, or has had no word of the store for long, can't tell how
    long ago weights were named; others may have waited for most of the limit
    already. Taken for older than that, all servers would be refused at once,
    also where weights were named a moment ago.
    """
    return world.now_ms - world.policy.old_weights_limit_ms * 3 // 4


def are_too_old(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether a server's weights are too old for new work.

    A server that was away while weights were loaded comes back with those it
    had. An answer by them, long after newer ones were named, is one that the
    operators have taken out of use.
    """
    limit_ms = world.policy.old_weights_limit_ms
    return limit_ms > 0 and outdated_for_ms(world, server) >= limit_ms


def are_unknown(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether an engine's entry tells no weights.

    Nothing could be expected of its answer, nor be kept apart in a cache.
    """
    is_engine = server.target in world.table.models
    routed = world.table.forwarding is not None
    return routed and is_engine and not server.weights_version


def outdated_cost_ms(
    world: entities.World, server: entities.ServerRow
) -> float:
    """Returns what a server's old weights add to the cost of choosing it."""
    if outdated_for_ms(world, server) < world.policy.old_weights_from_ms:
        return 0.0
    return float(world.policy.old_weights_cost_ms)


def outdated_for_ms(world: entities.World, server: entities.ServerRow) -> int:
    """Returns for how long newer weights are named; -1 if none are.

    Each naming counts by itself: one that follows before the one before it is
    in place everywhere does not make the oldest weights young again.
    """
    row = world.table.models.get(server.target)
    if row is None or row.weights_version == server.weights_version:
        return -1
    for naming in world.weights_named.get(server.target, ()):
        if is_newer(naming.version, server.weights_version):
            return world.now_ms - naming.at_ms
    return -1


def longest_outdated_ms(world: entities.World, target: str) -> int:
    """Returns for how long the oldest weights of a target are replaced.

    Returns:
        Milliseconds since newer ones were named; -1 if all have the newest.
    """
    servers = world.servers_by_target.get(target, {}).values()
    return max(
        (outdated_for_ms(world, server) for server in servers), default=-1
    )


def is_newer(version: str, than: str) -> bool:
    """Returns whether a version of weights follows another.

    Versions that are no numbers can only be told apart.
    """
    if version.isdigit() and than.isdigit():
        return int(version) > int(than)
    return version != than


__all__ = [
    "DesiredVersion",
    "outdated_cost_ms",
    "is_newer",
    "record_desired_versions",
    "outdated_for_ms",
    "longest_outdated_ms",
    "are_too_old",
    "are_unknown",
]
