"""Finds the queue of a request, and what is queued before it.

Load pattern: bursts of short, urgent prompts beside long ones, on engines that
are split by prompt length. In one queue for all, a long prompt would wait
behind every short one while the engines for long prompts are idle. So requests
precede each other only if they wait for the same engines.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import length_routing, queue_keys, routing, urgency
from godwittack.limit import fair, urgency_queue

if TYPE_CHECKING:
    from collections.abc import Iterator

    from godwittack.core import entities


def key_of(
    world: entities.World, request: entities.RequestRow
) -> queue_keys.QueueKey:
    """Returns the key of the queue that a request belongs to now."""
    return queue_keys.QueueKey(
        length_routing.group_of(world, request),
        routing.priority(world, request),
    )


def get(
    world: entities.World, target: str, key: queue_keys.QueueKey
) -> urgency_queue.RequestQueue:
    """Returns a queue of a target; creates it if there is none."""
    by_key = world.queues[target]
    if key not in by_key:
        by_key[key] = (
            urgency_queue.UrgencyQueue()
            if urgency.is_ordered(world)
            else fair.FairQueue()
        )
    return by_key[key]


def ahead(world: entities.World, target: str, key: queue_keys.QueueKey) -> int:
    """Returns how many queued requests are served before one with a key."""
    return sum(
        len(queue)
        for other, queue in world.queues[target].items()
        if other.group == key.group and other.priority <= key.priority
    )


def count(world: entities.World, target: str) -> int:
    """Returns how many requests for a target are queued or held."""
    queued = sum(map(len, world.queues[target].values()))
    return queued + len(world.memory_holds[target])


def most_urgent_first(
    world: entities.World, target: str
) -> Iterator[tuple[queue_keys.QueueKey, urgency_queue.RequestQueue]]:
    """Yields a target's queues, for each group down to the first non-empty.

    Whether that one is empty is determined when the next one is asked for, so
    that the caller can dispatch from it.
    """
    by_key = world.queues.get(target, {})
    blocked: set[queue_keys.EngineGroup] = set()
    for key in sorted(by_key):
        if key.group in blocked:
            continue
        yield key, by_key[key]
        if len(by_key[key]):
            blocked.add(key.group)


__all__ = ["ahead", "count", "get", "key_of", "most_urgent_first"]
