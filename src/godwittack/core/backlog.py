"""Estimates what each server still has to compute, from what was sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.core import entities, inputs

# Prompt tokens from which a dispatch is told to other daemons: 500 tokens
# take an engine 3 ms, less than the news takes.
ANNOUNCE_TOKENS = 500
# Part of a less urgent backlog that a request waits for all the same: engines
# compute prompts in pieces, and the piece under way ends first.
LESS_URGENT_PART = 0.1
# Added to the estimate of when a prompt is computed: one piece of 2,048 tokens
# and the step that it shares with running requests.
READY_MARGIN_MS = 20
# Time in which a lag that nothing confirms is half believed.
LAG_HALF_LIFE_MS = 400
# What is left of a known lag after a first event that came in time.
IN_TIME_KEEPS = 0.7
# Time to the first event of a prompt that is computed: the engine's own and
# that of both ways.
FIRST_EVENT_MS = 40


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
    us_per_token = server.prefill_us_per_token
    us_per_token = us_per_token or world.policy.prefill_us_per_token
    starts_ms = max(float(world.now_ms), server.backlog.get(priority, 0.0))
    server.backlog[priority] = starts_ms + tokens * us_per_token / 1000


def wait_ms(
    world: entities.World, server: entities.ServerRow, *, priority: int
) -> float:
    """Returns how long a request of a priority waits for others' prompts."""
    total = 0.0
    for other, ends_ms in server.backlog.items():
        left_ms = max(0.0, ends_ms - world.now_ms)
        total += left_ms if other <= priority else left_ms * LESS_URGENT_PART
    return total + lag_ms(world, server, priority=priority)


def lag_ms(
    world: entities.World, server: entities.ServerRow, *, priority: int
) -> float:
    """Returns how far a server is behind what is expected of it.

    What was sent says little of a server that is slower than others, or that
    computes levels anew which it had lost. First events that are late, or
    overdue, show it; without them daemons go on sending, and what waits there
    can no longer be put in order.
    """
    value, at_ms = server.lag.get(priority, (0.0, 0))
    lag = value * 0.5 ** ((world.now_ms - at_ms) / LAG_HALF_LIFE_MS)
    for attempt in server.sent.values():
        if attempt.priority == priority and attempt.expected_at_ms:
            lag = max(lag, world.now_ms - attempt.expected_at_ms)
    return lag


def first_event(
    world: entities.World,
    server: entities.ServerRow,
    attempt: entities.AttemptRow,
) -> None:
    """Takes in when the first event of an attempt came."""
    if not attempt.expected_at_ms:
        return
    late_ms = max(0.0, world.now_ms - attempt.expected_at_ms)
    attempt.expected_at_ms = 0.0
    known = lag_ms(world, server, priority=attempt.priority)
    lag = max(late_ms, known * IN_TIME_KEEPS)
    server.lag[attempt.priority] = (lag, world.now_ms)


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
    ready_ms = max(float(world.now_ms), server.backlog.get(priority, 0.0))
    for key in keys:
        known_ms = server.cache.seen_ms(key)
        if known_ms is not None and known_ms <= world.now_ms:
            at_ms = world.now_ms
        else:
            at_ms = round(ready_ms + READY_MARGIN_MS)
        server.cache.note(key, now_ms=at_ms, limit=world.policy.max_residency)


def peer_dispatched(world: entities.World, told: inputs.PeerDispatched) -> None:
    """Takes in what another daemon sent to a server."""
    server = world.servers.get(told.server_id)
    if server is None:
        return
    add(world, server, tokens=told.tokens, priority=told.priority)
    note_cached(world, server, told.levels, priority=told.priority)


__all__ = [
    "ANNOUNCE_TOKENS",
    "FIRST_EVENT_MS",
    "add",
    "first_event",
    "lag_ms",
    "note_cached",
    "peer_dispatched",
    "wait_ms",
]
