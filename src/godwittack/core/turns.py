"""Learns how fast held-back requests get their turn.

Load pattern: more requests than the servers can do, for seconds. Each daemon
sees its own queue alone, and the servers are shared with the others: by their
slots its queue would be through in no time, and everything that is held waits
until its deadline, behind what is late as well.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.core import entities

SMOOTHING = 0.1


@dataclasses.dataclass(slots=True)
class Turn:
    """Turns of the requests of one target and rank.

    Attributes:
        smoothed_ms: Time from one turn to the next, while requests wait.
        since_ms: When the last turn was, or the first request began to wait;
            -1 while none waits.
    """

    smoothed_ms: float = 0.0
    since_ms: int = -1


def begin(world: entities.World, target: str, rank: int) -> None:
    """Notes that the first of a rank's requests is held back."""
    _turn(world, target, rank).since_ms = world.now_ms


def taken(
    world: entities.World,
    target: str,
    rank: int,
    *,
    left: int,
    tells_pace: bool = True,
) -> None:
    """Notes that a held-back request got its turn.

    Args:
        world: Tables.
        target: Its target.
        rank: Rank of the queue that it was held in.
        left: How many others wait there.
        tells_pace: Whether it waited for its turn alone, not for a rest.
    """
    turn = _turn(world, target, rank)
    if turn.since_ms >= 0 and tells_pace:
        gap_ms = world.now_ms - turn.since_ms
        before_ms = turn.smoothed_ms or float(gap_ms)
        turn.smoothed_ms = before_ms + SMOOTHING * (gap_ms - before_ms)
    turn.since_ms = world.now_ms if left else -1


def wait_ms(
    world: entities.World, target: str, rank: int, *, before: int
) -> float:
    """Returns how long a request waits behind `before` of its rank."""
    turn = _turn(world, target, rank)
    longest_ms = turn.smoothed_ms
    if turn.since_ms >= 0:
        # No turn for long: the servers do less than they did.
        longest_ms = max(longest_ms, float(world.now_ms - turn.since_ms))
    return before * longest_ms


def slots_wait_ms(world: entities.World, target: str, before: int) -> float:
    """Returns how long a request waits by the servers' slots alone.

    It is the least: other daemons send to the same servers.
    """
    servers = [
        server
        for server in world.servers_by_target[target].values()
        if not server.leaving
        and max(server.ejected_until_ms, server.rest_until_ms) <= world.now_ms
    ]
    if not servers or not before:
        return 0.0
    # Each held-back request takes a turn: the time a slot is busy over the
    # slots there are.
    slots = sum(server.slots or world.policy.slots for server in servers)
    turn_ms = world.service_time_ms.get(target, 0.0) / slots
    return before * turn_ms


def _turn(world: entities.World, target: str, rank: int) -> Turn:
    return world.dispatch_pacing.setdefault((target, rank), Turn())


__all__ = ["Turn", "begin", "slots_wait_ms", "taken", "wait_ms"]
