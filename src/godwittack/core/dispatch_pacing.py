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
    from godwittack.core import entities, queue_keys

SMOOTHING_FACTOR = 0.1


@dataclasses.dataclass(slots=True)
class DispatchInterval:
    """Interval between dispatches from one queue.

    Attributes:
        smoothed_ms: Time from one dispatch to the next while requests wait.
        measured_from_ms: When the current interval began, at the last dispatch
            or when the first request was queued; -1 while the queue is empty.
    """

    smoothed_ms: float = 0.0
    measured_from_ms: int = -1


def start(world: entities.World, target: str, key: queue_keys.QueueKey) -> None:
    """Records that the first request of a queue was queued."""
    _interval(world, target, key).measured_from_ms = world.now_ms


def record_dispatch(
    world: entities.World,
    target: str,
    key: queue_keys.QueueKey,
    *,
    remaining: int,
    updates_interval: bool = True,
) -> None:
    """Records that a queued request was dispatched.

    Args:
        world: Tables.
        target: Its target.
        key: Key of its queue.
        remaining: How many requests remain in that queue.
        updates_interval: Whether its wait counts: not if it waited for a rest.
    """
    interval = _interval(world, target, key)
    if interval.measured_from_ms >= 0 and updates_interval:
        gap_ms = world.now_ms - interval.measured_from_ms
        previous_ms = interval.smoothed_ms or float(gap_ms)
        interval.smoothed_ms = previous_ms + SMOOTHING_FACTOR * (
            gap_ms - previous_ms
        )
    interval.measured_from_ms = world.now_ms if remaining else -1


def wait_ms(
    world: entities.World, target: str, key: queue_keys.QueueKey, *, ahead: int
) -> float:
    """Returns how long a request waits behind others of its queue."""
    interval = _interval(world, target, key)
    interval_ms = interval.smoothed_ms
    if interval.measured_from_ms >= 0:
        # A longer gap than usual means that the servers have slowed down.
        interval_ms = max(
            interval_ms, float(world.now_ms - interval.measured_from_ms)
        )
    return ahead * interval_ms


def slots_wait_ms(world: entities.World, target: str, ahead: int) -> float:
    """Estimates from the servers' slots alone how long a request waits.

    This is a lower bound, since other daemons send to the same servers.
    """
    servers = [
        server
        for server in world.servers_by_target[target].values()
        if not server.leaving
        and max(server.ejected_until_ms, server.rest_until_ms) <= world.now_ms
    ]
    if not servers or not ahead:
        return 0.0
    # Each queued request adds the time that a slot is busy, divided by the
    # number of slots.
    slots = sum(server.slots or world.policy.slots for server in servers)
    slot_interval_ms = world.service_time_ms.get(target, 0.0) / slots
    return ahead * slot_interval_ms


def _interval(
    world: entities.World, target: str, key: queue_keys.QueueKey
) -> DispatchInterval:
    return world.dispatch_pacing.setdefault((target, key), DispatchInterval())


__all__ = [
    "DispatchInterval",
    "record_dispatch",
    "slots_wait_ms",
    "start",
    "wait_ms",
]
