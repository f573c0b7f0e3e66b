"""Estimates what each server still has to compute, from what was sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import pace

if TYPE_CHECKING:
    from godwittack.core import entities, server_inputs

# Time of an engine from which a prompt is told to other daemons; shorter ones
# are many, and gone before the news matters.
ANNOUNCE_MS = 10.0
# Part of a less urgent backlog that a request waits for all the same: engines
# compute prompts in pieces, and the piece under way ends first.
LESS_URGENT_PART = 0.1
# Added to the estimate of when a prompt is computed: one piece of 2,048 tokens
# and the step that it shares with running requests.
READY_MARGIN_MS = 20
# Milliseconds that one more running request adds to the time of another: a
# step of 3.55 ms grows by 0.046, over some ten steps until the first token.
BATCH_MS = 0.5
# Power of the part of slots in use that approximates the chance that a server
# is full by the time a request arrives.
FULL_POWER = 3


def add(
    world: entities.World,
    server: entities.ServerRow,
    *,
    tokens: float,
    priority: int,
) -> None:
    """Counts a prompt that a server has begun or will begin to compute.

    Server reports are some hundred milliseconds old, as long as a long prompt
    takes. What was sent is known at once, and computed at a known pace.
    """
    us_per_token = pace.us_per_token(world, server)
    starts_ms = max(
        float(world.now_ms), server.backlog_until_ms.get(priority, 0.0)
    )
    server.backlog_until_ms[priority] = starts_ms + tokens * us_per_token / 1000


def is_long(
    world: entities.World, server: entities.ServerRow, tokens: int
) -> bool:
    """Returns whether other daemons should know of a prompt of this size."""
    return tokens * pace.us_per_token(world, server) >= ANNOUNCE_MS * 1000


def wait_ms(
    world: entities.World, server: entities.ServerRow, *, priority: int
) -> float:
    """Returns how long a request of a priority waits for others' prompts."""
    total = 0.0
    for other, ends_ms in server.backlog_until_ms.items():
        left_ms = max(0.0, ends_ms - world.now_ms)
        total += left_ms if other <= priority else left_ms * LESS_URGENT_PART
    return total


def queue_ms(
    world: entities.World, server: entities.ServerRow, rank: int
) -> float:
    """Estimates how long a request waits at a server for its first turn."""
    wait = wait_ms(world, server, priority=rank)
    fresh = world.now_ms - server.reported_at_ms < world.policy.report_stale_ms
    in_flight = len(server.in_flight)
    if fresh and server.reported_at_ms >= 0:
        since = sum(
            1
            for attempt in server.in_flight.values()
            if attempt.sent_at_ms > server.reported_at_ms
        )
        in_flight = max(in_flight, server.running + server.waiting + since)
    slots = server.slots or world.policy.slots
    turn_ms = world.service_time_ms.get(server.target, 0.0) / slots
    wait += turn_ms * _turns(in_flight, slots)
    # Every request in a batch makes each of its steps a little longer.
    return wait + in_flight * BATCH_MS


def _turns(in_flight: int, slots: int) -> float:
    """Returns how many requests must end at a server before the next begins.

    Load pattern: few slots are free, and a report of them is older than a
    request lasts. A server that reported free slots may be full by now; below
    the last slot the result is an estimate of that chance.
    """
    if in_flight >= slots:
        return float(in_flight - slots + 1)
    return (in_flight / slots) ** FULL_POWER


def note_cached(
    world: entities.World,
    server: entities.ServerRow,
    keys: tuple[int, ...],
    *,
    priority: int,
) -> None:
    """Remembers what a server will hold once it has computed its backlog.

    Until then no other server can copy it: a copy asked for too soon finds
    nothing, and the same levels are computed a second time.
    """
    ready_ms = max(
        float(world.now_ms), server.backlog_until_ms.get(priority, 0.0)
    )
    for key in keys:
        known_ms = server.cache.seen_ms(key)
        if known_ms is not None and known_ms <= world.now_ms:
            at_ms = world.now_ms
        else:
            at_ms = round(ready_ms + READY_MARGIN_MS)
        server.cache.note(key, now_ms=at_ms, limit=world.policy.max_residency)


def peer_dispatched(
    world: entities.World, told: server_inputs.PeerDispatched
) -> None:
    """Takes in what another daemon sent to a server."""
    server = world.servers.get(told.server_id)
    if server is None:
        return
    add(world, server, tokens=told.tokens, priority=told.priority)
    note_cached(world, server, told.levels, priority=told.priority)


__all__ = [
    "add",
    "is_long",
    "note_cached",
    "peer_dispatched",
    "queue_ms",
    "wait_ms",
]
