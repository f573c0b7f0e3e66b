"""Decides how long servers with outdated weights still get work."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from godwittack import digits

if TYPE_CHECKING:
    from godwittack.core import entities, inputs

# Versions remembered for each model; servers with older weights are long past
# the limit.
MAX_KNOWN_VERSIONS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredVersion:
    """A version of weights that a version of the table set as the desired one.

    Attributes:
        desired_at_ms: Earliest time at which it was written to the table.
    """

    version: str
    desired_at_ms: int


def record_desired_versions(
    world: entities.World, change: inputs.TableChanged
) -> None:
    """Records the versions of weights that a new table changes."""
    changed_at_ms = _desired_at_ms(world, change.newest_before_ms)
    for name, row in change.table.models.items():
        before = world.table.models.get(name)
        if before is not None and before.weights_version == row.weights_version:
            continue
        desired = world.weights_history.setdefault(name, [])
        desired_at_ms = (
            _earliest_desired_at_ms(world) if before is None else changed_at_ms
        )
        desired.append(DesiredVersion(row.weights_version, desired_at_ms))
        del desired[:-MAX_KNOWN_VERSIONS]


def _desired_at_ms(world: entities.World, newest_before_ms: int | None) -> int:
    """Returns the earliest time at which a new table's changes were made.

    A daemon that was suspended or cut off receives a change late. Counted from
    its receipt, outdated weights would be used that much longer than allowed;
    operators would see answers by them after all other daemons have stopped.
    No change in the new table was made while the previous table was the newest,
    even if it contains several changes of which only one is seen.
    """
    if newest_before_ms is None:
        return world.now_ms
    newest_before_ms = min(newest_before_ms, world.now_ms)
    return max(newest_before_ms, _earliest_desired_at_ms(world))


def _earliest_desired_at_ms(world: entities.World) -> int:
    """Returns the time assumed for a change whose time is unknown.

    A daemon that starts, or has had no contact to the store for long, doesn't
    know how long ago weights were changed; other daemons may have waited for
    most of the limit already. If it assumed an even earlier time, it would
    refuse all servers at once, even if weights were changed a moment ago.
    """
    return world.now_ms - world.policy.old_weights_limit_ms * 3 // 4


def are_too_old(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether a server's weights are too old for new work.

    A server that was away while the others loaded weights returns with its old
    ones. Long after newer ones were desired, operators consider the old ones
    out of use, and must get no more answers from them.
    """
    limit_ms = world.policy.old_weights_limit_ms
    return limit_ms > 0 and outdated_for_ms(world, server) >= limit_ms


def are_unknown(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether an engine's entry does not name its weights.

    Without them, the version to expect in its answer is unknown, and cached
    prefixes can't be kept apart by version.
    """
    is_engine = server.target in world.table.models
    routed = world.table.forwarding is not None
    return routed and is_engine and not server.weights_version


def outdated_cost_ms(
    world: entities.World, server: entities.ServerRow
) -> float:
    """Returns the placement cost that a server's outdated weights add."""
    if outdated_for_ms(world, server) < world.policy.old_weights_from_ms:
        return 0.0
    return float(world.policy.old_weights_cost_ms)


def outdated_for_ms(world: entities.World, server: entities.ServerRow) -> int:
    """Returns for how long newer weights have been desired; -1 if none are.

    Each desired version counts by itself: one that follows before the previous
    one is loaded everywhere does not reset the age of the oldest weights.
    """
    row = world.table.models.get(server.target)
    if row is None or row.weights_version == server.weights_version:
        return -1
    for desired in world.weights_history.get(server.target, ()):
        if is_newer(desired.version, server.weights_version):
            return world.now_ms - desired.desired_at_ms
    return -1


def longest_outdated_ms(world: entities.World, target: str) -> int:
    """Returns for how long a target's oldest weights have been outdated.

    Returns:
        Milliseconds since newer ones were desired; -1 if all have the newest.
    """
    servers = world.servers_by_target.get(target, {}).values()
    return max(
        (outdated_for_ms(world, server) for server in servers), default=-1
    )


def is_newer(version: str, than: str) -> bool:
    """Returns whether a version of weights is later than another.

    Versions that are not numbers have no order: any other counts as newer.
    """
    number, than_number = digits.parse(version), digits.parse(than)
    if number is None or than_number is None:
        return version != than
    return number > than_number


__all__ = [
    "DesiredVersion",
    "are_too_old",
    "are_unknown",
    "is_newer",
    "longest_outdated_ms",
    "outdated_cost_ms",
    "outdated_for_ms",
    "record_desired_versions",
]
