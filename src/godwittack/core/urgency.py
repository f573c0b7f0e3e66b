"""Decides how urgent queued requests are, and what workspaces weigh.

Load pattern: more requests arrive for some seconds than servers can answer in
time, mostly of one workspace, which sends them through all daemons.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from godwittack.core import routing, work
from godwittack.limit import urgency_queue

if TYPE_CHECKING:
    from godwittack.core import entities

# Cells of the demand that no limit is split by; their rates are published in
# steps, like those of models.
DEMAND_CELL_PREFIX = "demand/"
# Announced rates change once in a window of this length.
DEMAND_VALID_MS = 500
FIRST_TOKEN_SMOOTHING = 0.1


@dataclasses.dataclass(slots=True)
class FleetDemand:
    """Demand of all daemons by workspace, relative to the mean of them.

    Attributes:
        at_ms: When it was computed.
    """

    at_ms: int = -1_000_000
    by_workspace: dict[str, float] = dataclasses.field(default_factory=dict)


def is_ordered(world: entities.World) -> bool:
    """Returns whether a late answer is worth less than one in time."""
    return world.policy.late_answer_value < 1.0


def times(
    world: entities.World, request: entities.RequestRow
) -> urgency_queue.Times:
    """Returns when a request is due, and from when it is late."""
    deadline_at_ms = request.answer_start_deadline_ms
    target_at_ms = deadline_at_ms
    if request.work.route is not None:
        target_at_ms = request.arrived_at_ms + request.work.route.aim_ms
    late_from_ms = target_at_ms - round(_expected_ms(world, request)) + 1
    return urgency_queue.Times(
        target_at_ms=min(target_at_ms, deadline_at_ms),
        late_from_ms=max(request.arrived_at_ms, late_from_ms),
        deadline_at_ms=deadline_at_ms,
    )


def key(
    world: entities.World, request: entities.RequestRow
) -> tuple[bool, int]:
    """Returns a request's place in the order of its workspace.

    Returns:
        Whether it yields to others, since it is late; and when it is due.
    """
    return times(world, request).key(world.now_ms)


def least_ms(world: entities.World, request: entities.RequestRow) -> float:
    """Returns the least time to the answer at a server that is free."""
    target = request.work.target
    if request.work.kind is work.WorkKind.PLAIN:
        # A stream's first event comes long before its end.
        if request.work.is_streamed:
            return 0.0
        return world.service_time_ms.get(target, 0.0)
    new_tokens = request.work.prompt_tokens - request.seen_tokens
    us_per_token = world.prefill_costs[target].us_per_token
    return (
        new_tokens * (us_per_token or world.policy.prefill_us_per_token) / 1e3
    )


def record_first_token(
    world: entities.World,
    attempt: entities.AttemptRow,
    target: str,
    priority: int,
) -> None:
    """Records how long a prompt took from sending to its first token."""
    took_ms = float(world.now_ms - attempt.sent_at_ms)
    previous_ms = world.first_token_ms.get((target, priority), took_ms)
    world.first_token_ms[target, priority] = (
        previous_ms + FIRST_TOKEN_SMOOTHING * (took_ms - previous_ms)
    )


def _expected_ms(world: entities.World, request: entities.RequestRow) -> float:
    """Returns the usual time from sending a request to its answer.

    With the least time instead, requests would be sent while they seem to be
    in time, and all be answered slightly late.
    """
    priority = routing.priority(world, request)
    usual_ms = world.first_token_ms.get((request.work.target, priority), 0.0)
    return max(usual_ms, least_ms(world, request))


def is_hopeless(world: entities.World, request: entities.RequestRow) -> bool:
    """Returns whether no server could answer a request by its deadline."""
    left_ms = request.answer_start_deadline_ms - world.now_ms
    return is_ordered(world) and least_ms(world, request) > left_ms


def record_demand(world: entities.World, request: entities.RequestRow) -> None:
    """Counts a request of its workspace in what is told to other daemons."""
    if is_ordered(world):
        world.shares.record_arrival(DEMAND_CELL_PREFIX + request.workspace)


def fleet_weight(world: entities.World, workspace: str) -> float:
    """Returns a workspace's weight, less what it sends beyond the mean.

    Load pattern: a workspace that sends several times its usual load through
    all daemons looks small at each of them. The demand of the whole fleet
    counts instead; where that of others is unknown, this daemon's own.
    """
    row = world.table.workspaces.get(workspace)
    weight = row.weight if row else 1.0
    if not is_ordered(world):
        return weight
    demand = world.fleet_demand
    if not 0 <= world.now_ms - demand.at_ms < DEMAND_VALID_MS:
        demand.at_ms = world.now_ms
        demand.by_workspace = _relative_demand(world)
    return weight / max(1.0, demand.by_workspace.get(workspace, 0.0))


def _relative_demand(world: entities.World) -> dict[str, float]:
    rates = {}
    for cell, reported in world.shares.reported.items():
        if cell.startswith(DEMAND_CELL_PREFIX):
            rate_per_s = sum(told.rate_per_s for told in reported.values())
            if rate_per_s > 0:
                rates[cell.removeprefix(DEMAND_CELL_PREFIX)] = rate_per_s
    mean = sum(rates.values()) / max(1, len(rates))
    return {name: rate / mean for name, rate in rates.items()}


__all__ = [
    "DEMAND_CELL_PREFIX",
    "FleetDemand",
    "fleet_weight",
    "is_hopeless",
    "is_ordered",
    "key",
    "least_ms",
    "record_demand",
    "record_first_token",
    "times",
]
