"""Selects the demand that this daemon sends to each peer."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from godwittack.core import placing, urgency
from godwittack.member import assignment

if TYPE_CHECKING:
    from godwittack.core import inputs
    from godwittack.limit import shares
    from godwittack.member import view

# Published rates of a model are powers of this ratio, from the minimum up.
RATE_STEP_RATIO = 1.5
MIN_STEPPED_RATE_PER_S = 0.5
STEPPED_PREFIXES = (placing.MODEL_CELL_PREFIX, urgency.DEMAND_CELL_PREFIX)


def by_member(
    demands: tuple[inputs.CellDemand, ...],
    *,
    shares: shares.Shares,
    members: list[view.Member],
) -> dict[str, list[inputs.CellDemand]]:
    """Returns the demands to send to each member, by its id.

    In a small fleet every member receives all demands. In a large one, a
    workspace's requests for a model go to the few daemons that `/v1/where`
    returns, and those split its limits. A daemon outside this group that
    receives such requests all the same also reports its demand to the group,
    and the members that have its report send theirs back.
    """
    if len(members) <= assignment.MESH_LIMIT:
        return {member.member_id: list(demands) for member in members}
    demands_by_member: dict[str, list[inputs.CellDemand]] = (
        collections.defaultdict(list)
    )
    for demand in demands:
        cell = demand.cell
        for member_id in shares.groups[cell] | shares.reported[cell].keys():
            demands_by_member[member_id].append(demand)
    return demands_by_member


def rounded_rate(cell: str, rate_per_s: float) -> float:
    """Returns a rate as it is published.

    Limits are split by exact rates, or the shares would not add up. A model's
    or a workspace's rate only informs a daemon how much the others send;
    published exactly, it would be an update to every peer twice a second.
    """
    if (
        not cell.startswith(STEPPED_PREFIXES)
        or rate_per_s < MIN_STEPPED_RATE_PER_S
    ):
        return round(rate_per_s, 1)
    steps = round(math.log(rate_per_s) / math.log(RATE_STEP_RATIO))
    return round(RATE_STEP_RATIO**steps, 2)


__all__ = ["by_member", "rounded_rate"]
