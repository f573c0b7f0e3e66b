"""Decides whether requests wait or are refused while all their servers rest.

Load pattern: a burst fills all servers of a service, and each rejects daemons'
requests for seconds. Retried elsewhere, a request uses up the retry budget and
reaches another resting server; refused, its caller retries too soon. So a
request waits here if a rest ends well within its time and the servers will
have capacity for it; others are refused at once, with the time to retry after.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from godwittack.core import availability, placing

if TYPE_CHECKING:
    from godwittack.core import entities

# Time over which the retries of callers are spread after a rest.
RETRY_SPREAD_MS = 500
MAX_RETRY_AFTER_MS = 60_000


def shortest_rest_ms(
    world: entities.World, request: entities.RequestRow
) -> int | None:
    """Returns how long until the first resting server accepts work again.

    Servers that could not take the request after their rest don't count; None
    if there are no others.
    """
    rests_ms = (
        server.rest_until_ms - world.now_ms
        for server in world.servers_by_target[request.work.target].values()
        if availability.is_resting(world, server)
        and placing.is_in_service(world, server, request)
    )
    return min(rests_ms, default=None)


def may_wait(world: entities.World, request: entities.RequestRow) -> bool:
    """Returns whether a rest ends early enough for a request to wait."""
    rest_ms = shortest_rest_ms(world, request)
    if rest_ms is None:
        return False
    return rest_ms <= _max_wait_ms(world, request)


def is_rest_too_long(
    world: entities.World, request: entities.RequestRow
) -> bool:
    """Returns whether all servers rest for longer than a request can wait."""
    if shortest_rest_ms(world, request) is None or _has_usable_server(
        world, request
    ):
        return False
    return not may_wait(world, request)


def retry_after_ms(world: entities.World, request: entities.RequestRow) -> int:
    """Returns after how long to retry; 0 unless all servers rest.

    Retries are spread: all at once, they would fill the servers again.
    """
    rest_ms = shortest_rest_ms(world, request)
    if rest_ms is None or _has_usable_server(world, request):
        return 0
    digest = xxhash.xxh3_64_intdigest(request.request_id.encode())
    return min(rest_ms + digest % RETRY_SPREAD_MS, MAX_RETRY_AFTER_MS)


def max_waiting(world: entities.World, target: str) -> int:
    """Returns how many requests may wait here while a target's servers rest.

    When a rest ends, all daemons send the requests they have queued. Together
    these are no more than the servers take at one time.
    """
    slots = sum(
        server.slots or world.policy.slots
        for server in world.servers_by_target[target].values()
        if not server.leaving
    )
    return max(1, slots // max(1, len(world.serving_daemons)))


def _max_wait_ms(world: entities.World, request: entities.RequestRow) -> float:
    ends_at_ms = request.answer_start_deadline_ms
    if request.timeout_at_ms:
        ends_at_ms = min(ends_at_ms, request.timeout_at_ms)
    wait_ms = (ends_at_ms - world.now_ms) * world.policy.deadline_part
    if request.answer_started:
        wait_ms = min(wait_ms, world.policy.frame_gap_ms)
    return wait_ms


def _has_usable_server(
    world: entities.World, request: entities.RequestRow
) -> bool:
    return any(
        placing.is_usable(world, server, request)
        for server in world.servers_by_target[request.work.target].values()
    )


__all__ = [
    "is_rest_too_long",
    "max_waiting",
    "may_wait",
    "retry_after_ms",
    "shortest_rest_ms",
]
