"""Tells for which targets servers are placed by their own pace."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.core import entities

# Value of `uneven_servers` for targets whose servers report no pace as well.
ALWAYS = 2


def is_uneven(world: entities.World, target: str) -> bool:
    """Returns whether the servers of a target are treated as uneven.

    Servers that share their machines with others say so by reporting a pace.
    Where none does, operators may still know that they differ.
    """
    if world.policy.uneven_servers == ALWAYS:
        return True
    return bool(world.policy.uneven_servers) and target in world.uneven_targets


def hold_ms(world: entities.World, target: str) -> int:
    """Returns the estimated wait from which requests are queued here."""
    if is_uneven(world, target) and world.policy.uneven_hold_ms:
        return world.policy.uneven_hold_ms
    return world.policy.hold_ms


def record_pace_reported(world: entities.World, target: str) -> None:
    """Records that a server of a target has reported its pace."""
    if not world.policy.uneven_servers or target in world.uneven_targets:
        return
    world.uneven_targets.add(target)
    world.event("uneven_servers", target=target, uneven=1)


def forget_unlisted(world: entities.World, target: str) -> None:
    """Forgets a target of which no server is listed any more."""
    if target in world.uneven_targets and not world.servers_by_target[target]:
        world.uneven_targets.discard(target)
        world.event("uneven_servers", target=target, uneven=0)


__all__ = ["forget_unlisted", "hold_ms", "is_uneven", "record_pace_reported"]
