"""Decides which daemons hear of whose demand."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from godwittack.core import placing
from godwittack.member import assignment

if TYPE_CHECKING:
    from godwittack.core import inputs
    from godwittack.limit import shares
    from godwittack.member import view

# Ratio of two neighbouring figures of a model's rate, and the rate from which
# it is told so.
RATE_STEP_RATIO = 1.5
MIN_STEPPED_RATE_PER_S = 0.5


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
    if len(members) <= assignment.MESH_LIMIT:
        return {member.member_id: list(demands) for member in members}
    told: dict[str, list[inputs.CellDemand]] = collections.defaultdict(list)
    for demand in demands:
        cell = demand.cell
        for name in shares.groups[cell] | shares.reported[cell].keys():
            told[name].append(demand)
    return told


def rounded_rate(cell: str, rate_per_s: float) -> float:
    """Returns a rate as it is told.

    Limits are split by exact figures, or the shares would not add up. A
    model's rate only tells how much others send beside a daemon, and told
    exactly it would be news to every peer twice a second.
    """
    if (
        not cell.startswith(placing.MODEL_CELL_PREFIX)
        or rate_per_s < MIN_STEPPED_RATE_PER_S
    ):
        return round(rate_per_s, 1)
    steps = round(math.log(rate_per_s) / math.log(RATE_STEP_RATIO))
    return round(RATE_STEP_RATIO**steps, 2)


__all__ = ["by_member", "rounded_rate"]
