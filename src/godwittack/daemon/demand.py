"""Decides which daemons hear of whose demand."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from godwittack.member import duty

if TYPE_CHECKING:
    from godwittack.core import inputs
    from godwittack.limit import shares
    from godwittack.member import view


def by_member(
    demands: tuple[inputs.CellDemand, ...],
    *,
    shares: shares.Shares,
    members: list[view.Member],
) -> dict[str, list[inputs.CellDemand]]:
    """Returns what to tell to each member, by its id.

    In a small fleet everybody hears everything. In a large one a workspace's
    requests for a model go to the few daemons that `where` names, and those
    split its limits; a daemon that other callers use all the same tells them
    too, and is told by those that it has told.
    """
    if len(members) <= duty.MESH_LIMIT:
        return {member.member_id: list(demands) for member in members}
    told: dict[str, list[inputs.CellDemand]] = collections.defaultdict(list)
    for demand in demands:
        cell = demand.cell
        for name in shares.groups[cell] | shares.told[cell].keys():
            told[name].append(demand)
    return told


__all__ = ["by_member"]
