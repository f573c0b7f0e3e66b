"""Finds the daemons that split a limited cell in a large fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import work
from godwittack.member import duty

if TYPE_CHECKING:
    from godwittack.core import entities


def note(world: entities.World, request: entities.RequestRow) -> None:
    """Notes who splits the cells that a request counts in.

    Known before any of them has told its demand: a daemon that took itself
    for the only one would let the whole limit through in the first second.
    """
    if len(world.live_daemons) <= duty.MESH_LIMIT:
        return
    target = request.work.target
    names = tuple(sorted(world.live_daemons))
    targets = world.table.targets
    cell = f"workspace/{request.workspace}"
    group = duty.group_names(request.workspace, target, names, targets)
    world.shares.groups[cell].update(group)
    if request.work.kind is work.WorkKind.PLAIN:
        heard = duty.audience_names(target, names, targets)
        world.shares.groups[f"service/{target}"].update(heard)


__all__ = ["note"]
