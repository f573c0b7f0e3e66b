"""Decides what weights that have been replaced are still good for."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.core import entities
    from godwittack.table import model

# Namings of one model that are remembered; servers with older weights are too
# old by far.
MOST_NAMED = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Naming:
    """A version of weights, and when it was first known to be wanted."""

    version: str
    at_ms: int


def named(world: entities.World, table: model.Table) -> None:
    """Notes when newer weights than those in force are named."""
    for name, row in table.models.items():
        before = world.table.models.get(name)
        if before is not None and before.weights_version == row.weights_version:
            continue
        at_ms = world.now_ms
        if before is None:
            # A daemon that starts can't tell how long ago they were named;
            # others may have waited for most of the limit already.
            at_ms -= world.policy.old_weights_limit_ms * 3 // 4
        known = world.weights_named.setdefault(name, [])
        known.append(Naming(row.weights_version, at_ms))
        del known[:-MOST_NAMED]


def too_old(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether a server's weights are too old for new work.

    A server that was away while weights were loaded comes back with those it
    had. An answer by them, long after newer ones were named, is one that the
    operators have taken out of use.
    """
    limit_ms = world.policy.old_weights_limit_ms
    return limit_ms > 0 and old_for_ms(world, server) >= limit_ms


def unknown(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether an engine's entry tells no weights.

    Nothing could be expected of its answer, nor be kept apart in a cache.
    """
    is_engine = server.target in world.table.models
    routed = world.table.forwarding is not None
    return routed and is_engine and not server.weights_version


def cost_ms(world: entities.World, server: entities.ServerRow) -> float:
    """Returns what a server's old weights add to the cost of choosing it."""
    if old_for_ms(world, server) < world.policy.old_weights_from_ms:
        return 0.0
    return float(world.policy.old_weights_cost_ms)


def old_for_ms(world: entities.World, server: entities.ServerRow) -> int:
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


def oldest_ms(world: entities.World, target: str) -> int:
    """Returns for how long the oldest weights of a target are replaced.

    Returns:
        Milliseconds since newer ones were named; -1 if all have the newest.
    """
    servers = world.servers_by_target.get(target, {}).values()
    return max((old_for_ms(world, server) for server in servers), default=-1)


def is_newer(version: str, than: str) -> bool:
    """Returns whether a version of weights follows another.

    Versions that are no numbers can only be told apart.
    """
    if version.isdigit() and than.isdigit():
        return int(version) > int(than)
    return version != than


__all__ = [
    "Naming",
    "cost_ms",
    "is_newer",
    "named",
    "old_for_ms",
    "oldest_ms",
    "too_old",
    "unknown",
]
