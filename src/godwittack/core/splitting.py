"""Finds the daemons that split a limited cell in a large fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import work
from godwittack.member import assignment
from godwittack.table import model

if TYPE_CHECKING:
    from godwittack.core import entities


def workspace_cell(workspace: model.WorkspaceRow) -> str:
    """Returns the name of a workspace's cell."""
    return f"workspace/{workspace.name}"


def limits(
    world: entities.World,
    request: entities.RequestRow,
    workspace: model.WorkspaceRow,
) -> dict[str, int]:
    """Returns the cells with a limit in which a request counts, and limits.

    What has no limit is not counted: daemons would tell each other demand
    that nobody splits.
    """
    found: dict[str, int] = {}
    if not workspace.is_unlimited:
        found[workspace_cell(workspace)] = workspace.max_in_flight
    if request.work.kind is work.WorkKind.PLAIN:
        service = world.table.services[request.work.target]
        if service.max_in_flight < model.NO_LIMIT:
            found[f"service/{service.name}"] = service.max_in_flight
    return found


def note(world: entities.World, request: entities.RequestRow) -> None:
    """Notes who splits the cells that a request counts in.

    Known before any of them has told its demand: a daemon that took itself
    for the only one would let the whole limit through in the first second.
    """
    if len(world.live_daemons) <= assignment.MESH_LIMIT:
        return
    target = request.work.target
    names = tuple(sorted(world.live_daemons))
    targets = world.table.targets
    cell = f"workspace/{request.workspace}"
    group = assignment.workspace_group_ids(
        request.workspace, target, names, targets
    )
    world.shares.groups[cell].update(group)
    if request.work.kind is work.WorkKind.PLAIN:
        heard = assignment.audience_ids(target, names, targets)
        world.shares.groups[f"service/{target}"].update(heard)


__all__ = ["limits", "note", "workspace_cell"]
