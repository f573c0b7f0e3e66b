"""Decides what weights that have been replaced are still good for."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.core import entities
    from godwittack.table import model


def named(world: entities.World, table: model.Table) -> None:
    """Notes when newer weights than those in force are named."""
    for name, row in table.models.items():
        before = world.table.models.get(name)
        if before is None:
            # A daemon that starts can't tell how long ago they were named;
            # others may have waited for most of the limit already.
            known_ms = world.policy.old_weights_limit_ms * 3 // 4
            world.weights_named_at_ms[name] = world.now_ms - known_ms
        elif before.weights_version != row.weights_version:
            world.weights_named_at_ms[name] = world.now_ms


def too_old(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether a server's weights are too old for new work.

    A server that was away while weights were loaded comes back with those it
    had. An answer by them, long after newer ones were named, is one that the
    operators have taken out of use.
    """
    limit_ms = world.policy.old_weights_limit_ms
    return limit_ms > 0 and _old_for_ms(world, server) >= limit_ms


def cost_ms(world: entities.World, server: entities.ServerRow) -> float:
    """Returns what a server's old weights add to the cost of choosing it."""
    if _old_for_ms(world, server) < world.policy.old_weights_from_ms:
        return 0.0
    return float(world.policy.old_weights_cost_ms)


def _old_for_ms(world: entities.World, server: entities.ServerRow) -> int:
    """Returns for how long newer weights are named; -1 if none are."""
    row = world.table.models.get(server.target)
    if row is None or row.weights_version == server.weights_version:
        return -1
    return world.now_ms - world.weights_named_at_ms.get(server.target, 0)


__all__ = ["cost_ms", "named", "too_old"]
