"""Determines the limits of a request's cells, and which daemons share them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import work
from godwittack.member import assignment
from godwittack.table import model

if TYPE_CHECKING:
    from godwittack.core import entities


def workspace_cell(workspace: model.WorkspaceRow) -> str:
    """Returns the name of the cell that counts a workspace's requests."""
    return f"workspace/{workspace.name}"


def limits(
    world: entities.World,
    request: entities.RequestRow,
    workspace: model.WorkspaceRow,
) -> dict[str, int]:
    """Returns the limits that apply to a request, by cell.

    Cells without a limit are left out: daemons would exchange demand figures
    that no limit is split by.
    """
    limit_by_cell: dict[str, int] = {}
    if not workspace.is_unlimited:
        limit_by_cell[workspace_cell(workspace)] = workspace.max_in_flight
    if request.work.kind is work.WorkKind.PLAIN:
        service = world.table.services[request.work.target]
        if service.max_in_flight < model.NO_LIMIT:
            limit_by_cell[f"service/{service.name}"] = service.max_in_flight
    return limit_by_cell


def record_groups(world: entities.World, request: entities.RequestRow) -> None:
    """Records which daemons share the limits of a request's cells.

    They must be known before they report any demand: a daemon that assumed it
    was the only one would admit the whole limit in the first second.
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
        audience = assignment.audience_ids(target, names, targets)
        world.shares.groups[f"service/{target}"].update(audience)


__all__ = ["limits", "record_groups", "workspace_cell"]
