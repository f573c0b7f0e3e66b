"""Measures how fast queued requests are dispatched.

Load pattern: for seconds, more requests arrive than the servers can serve.
Each daemon sees only its own queue, while the servers are shared with other
daemons. Estimated from the servers' slots alone, the queue would seem short,
and every queued request would wait until its deadline behind others that are
late too.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.core import entities

SMOOTHING = 0.1


@dataclasses.dataclass(slots=True)
class Turn:
    """Interval between dispatches from the queue of one target and rank.

    Attributes:
        smoothed_ms: Time from one dispatch to the next while requests wait.
        since_ms: When a request was last dispatched or the first one was
            queued; -1 while the queue is empty.
    """

    smoothed_ms: float = 0.0
    since_ms: int = -1


def begin(world: entities.World, target: str, rank: int) -> None:
    """Records that the first request of a rank was queued."""
    _turn(world, target, rank).since_ms = world.now_ms


def taken(
    world: entities.World,
    target: str,
    rank: int,
    *,
    left: int,
    tells_pace: bool = True,
) -> None:
    """Records that a queued request was dispatched.

    Args:
        world: Tables.
        target: Its target.
        rank: Rank of its queue.
        left: How many requests remain in that queue.
        tells_pace: Whether its wait counts: not if it waited for a rest.
    """
    turn = _turn(world, target, rank)
    if turn.since_ms >= 0 and tells_pace:
        gap_ms = world.now_ms - turn.since_ms
        previous_ms = turn.smoothed_ms or float(gap_ms)
        turn.smoothed_ms = previous_ms + SMOOTHING * (gap_ms - previous_ms)
    turn.since_ms = world.now_ms if left else -1


def wait_ms(
    world: entities.World, target: str, rank: int, *, before: int
) -> float:
    """Returns how long a request waits behind `before` others of its rank."""
    turn = _turn(world, target, rank)
    interval_ms = turn.smoothed_ms
    if turn.since_ms >= 0:
        # A longer gap than usual means that the servers have slowed down.
        interval_ms = max(interval_ms, float(world.now_ms - turn.since_ms))
    return before * interval_ms


def slots_wait_ms(world: entities.World, target: str, before: int) -> float:
    """Estimates from the servers' slots alone how long a request waits.

    This is a lower bound, since other daemons send to the same servers.
    """
    servers = [
        server
        for server in world.servers_by_target[target].values()
        if not server.leaving
        and max(server.ejected_until_ms, server.rest_until_ms) <= world.now_ms
    ]
    if not servers or not before:
        return 0.0
    # Each queued request adds the time that a slot is busy, divided by the
    # number of slots.
    slots = sum(server.slots or world.policy.slots for server in servers)
    slot_interval_ms = world.service_ms.get(target, 0.0) / slots
    return before * slot_interval_ms


def _turn(world: entities.World, target: str, rank: int) -> Turn:
    return world.turns.setdefault((target, rank), Turn())


__all__ = ["Turn", "begin", "slots_wait_ms", "taken", "wait_ms"]
