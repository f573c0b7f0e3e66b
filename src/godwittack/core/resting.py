"""Decides what becomes of requests while all their servers rest.

Load pattern: a burst fills all servers of a service, and each turns daemons
away for seconds. Tried elsewhere, a request uses up the retry budget and finds
the next server that wants nothing; refused, it comes back too soon. So one
waits here where a rest ends well within its time and the servers will have
room for it; the others are refused at once, with the time at which to return.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from godwittack.core import availability, placing

if TYPE_CHECKING:
    from godwittack.core import entities

# Time over which callers come back that wait for the end of one rest.
RETURN_SPREAD_MS = 500
MAX_RETURN_MS = 60_000


def shortest_rest_ms(
    world: entities.World, request: entities.RequestRow
) -> int | None:
    """Returns when the first server that only rests wants work again.

    None where no server would take the request after its rest.
    """
    found = (
        server.rest_until_ms - world.now_ms
        for server in world.servers_by_target[request.work.target].values()
        if availability.is_resting(world, server)
        and placing.is_in_service(world, server, request)
    )
    return min(found, default=None)


def may_wait(world: entities.World, request: entities.RequestRow) -> bool:
    """Returns whether a rest ends well within a request's time."""
    rest_ms = shortest_rest_ms(world, request)
    if rest_ms is None:
        return False
    return rest_ms <= _longest_wait_ms(world, request)


def is_rest_too_long(
    world: entities.World, request: entities.RequestRow
) -> bool:
    """Returns whether all servers rest for longer than a request can wait."""
    if shortest_rest_ms(world, request) is None or _has_usable(world, request):
        return False
    return not may_wait(world, request)


def retry_after_ms(world: entities.World, request: entities.RequestRow) -> int:
    """Returns when to come back to servers that all rest; 0 where not all do.

    Callers are spread: all at one moment, they would fill the servers again.
    """
    rest_ms = shortest_rest_ms(world, request)
    if rest_ms is None or _has_usable(world, request):
        return 0
    drawn = xxhash.xxh3_64_intdigest(request.request_id.encode())
    return min(rest_ms + drawn % RETURN_SPREAD_MS, MAX_RETURN_MS)


def max_waiting(world: entities.World, target: str) -> int:
    """Returns how many requests may wait here for servers of a target to rest.

    All daemons send what they hold when a rest ends. Together it is no more
    than the servers take at one time.
    """
    slots = sum(
        server.slots or world.policy.slots
        for server in world.servers_by_target[target].values()
        if not server.leaving
    )
    return max(1, slots // max(1, len(world.carriers)))


def _longest_wait_ms(
    world: entities.World, request: entities.RequestRow
) -> float:
    ends_ms = request.begin_by_ms
    if request.give_up_at_ms:
        ends_ms = min(ends_ms, request.give_up_at_ms)
    wait_ms = (ends_ms - world.now_ms) * world.policy.deadline_part
    if request.begun:
        wait_ms = min(wait_ms, world.policy.frame_gap_ms)
    return wait_ms


def _has_usable(world: entities.World, request: entities.RequestRow) -> bool:
    return any(
        placing.is_usable(world, server, request)
        for server in world.servers_by_target[request.work.target].values()
    )


__all__ = [
    "is_rest_too_long",
    "shortest_rest_ms",
    "may_wait",
    "retry_after_ms",
    "max_waiting",
]
