"""Estimates the remaining work of each server from the prompts sent to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import pace, pace_sharing, prefill_cost, uneven

if TYPE_CHECKING:
    from godwittack.core import entities, server_inputs

# Compute time from which a prompt is announced to other daemons. Shorter ones
# are numerous, and finished before the announcement is of use.
ANNOUNCE_MIN_MS = 10.0
# Fraction of a less urgent backlog that still delays a request: engines compute
# prompts in chunks, and finish the current chunk first.
LESS_URGENT_FRACTION = 0.1
# Added to the estimated time at which a prompt is computed: one chunk of 2,048
# tokens and the step that it shares with running requests.
READY_MARGIN_MS = 20
# Delay of a first token for each running request: each lengthens a step of
# 3.55 ms by 0.046 ms, over about ten steps until the first token.
BATCH_DELAY_MS = 0.5
# The fraction of slots in use, raised to this power, approximates the
# probability that a server is full when a request arrives.
FULL_PROBABILITY_EXPONENT = 3


def add(
    world: entities.World,
    server: entities.ServerRow,
    *,
    tokens: float,
    priority: int,
) -> None:
    """Adds a prompt that a server is computing or will compute.

    Server reports are some hundred milliseconds old, about the time that a long
    prompt takes. Dispatched prompts are known at once, and so is their prefill
    cost.
    """
    if uneven.is_uneven(world, server.target):
        pace.add_prompt(world, server, tokens=tokens, priority=priority)
        return
    us_per_token = prefill_cost.us_per_token(world, server)
    starts_ms = max(
        float(world.now_ms), server.backlog_until_ms.get(priority, 0.0)
    )
    server.backlog_until_ms[priority] = starts_ms + tokens * us_per_token / 1000


def is_long(
    world: entities.World, server: entities.ServerRow, tokens: int
) -> bool:
    """Returns whether a prompt is long enough to be announced to peers."""
    return (
        tokens * prefill_cost.us_per_token(world, server)
        >= ANNOUNCE_MIN_MS * 1000
    )


def wait_ms(
    world: entities.World, server: entities.ServerRow, *, priority: int
) -> float:
    """Estimates how long a request waits for the prompts sent before it."""
    if uneven.is_uneven(world, server.target):
        return pace.backlog_ms(
            world,
            server,
            priority=priority,
            less_urgent_fraction=LESS_URGENT_FRACTION,
        )
    total_ms = 0.0
    for other_priority, ends_ms in server.backlog_until_ms.items():
        left_ms = max(0.0, ends_ms - world.now_ms)
        total_ms += (
            left_ms
            if other_priority <= priority
            else left_ms * LESS_URGENT_FRACTION
        )
    return total_ms


def placement_wait_ms(
    world: entities.World, server: entities.ServerRow, priority: int
) -> float:
    """Estimates the wait by which engines of an uneven target are compared.

    Engines compute admitted prompts one after another, whatever their priority.
    A short prompt that is more urgent than the long ones before it waits for
    nearly all of them: 151 ms behind 24,000 to 32,000 tokens.
    """
    return known_wait_ms(world, server, priority) + pace.delay_ms(world, server)


def known_wait_ms(
    world: entities.World, server: entities.ServerRow, priority: int
) -> float:
    """Returns the same wait without the delay observed lately."""
    if not uneven.is_uneven(world, server.target):
        return queue_ms(world, server, priority)
    return _add_slots_wait(world, server, pace.backlog_ms(world, server))


def queue_ms(
    world: entities.World, server: entities.ServerRow, priority: int
) -> float:
    """Estimates how long a request waits until a server begins it."""
    wait = wait_ms(world, server, priority=priority)
    return _add_slots_wait(world, server, wait)


def _add_slots_wait(
    world: entities.World, server: entities.ServerRow, wait: float
) -> float:
    """Adds to a wait by how much requests that run or wait delay another."""
    is_fresh = (
        world.now_ms - server.reported_at_ms < world.policy.report_stale_ms
    )
    in_flight = len(server.in_flight)
    if is_fresh and server.reported_at_ms >= 0:
        unreported = sum(
            1
            for attempt in server.in_flight.values()
            if attempt.sent_at_ms > server.reported_at_ms
        )
        in_flight = max(in_flight, server.running + server.waiting + unreported)
    slots = server.slots or world.policy.slots
    factor = pace.factor(world, server)
    split_interval_ms = _split_interval_ms(world, server)
    if split_interval_ms is not None:
        in_flight += _announced_since_load(server)
        completions = _completions_needed(in_flight, slots)
        # The prompts in the backlog are among those that must end.
        wait = max(wait, split_interval_ms * completions * factor)
    else:
        completion_interval_ms = (
            world.service_time_ms.get(server.target, 0.0) / slots
        )
        completions = _completions_needed(in_flight, slots)
        wait += completion_interval_ms * completions * factor
    # Every request in a batch makes each of its steps slightly longer.
    return wait + in_flight * BATCH_DELAY_MS * factor


def _split_interval_ms(
    world: entities.World, server: entities.ServerRow
) -> float | None:
    """Returns the time between two completions at a full engine of a group.

    Load pattern: an engine for long prompts has twenty of them in flight. Each
    takes 300 ms, ten times as long as the mean request of the target.

    Returns:
        The time; None if the engines of its target are not split.
    """
    mix = world.prompt_mixes.get(server.target)
    if mix is None or not mix.short_engines:
        return None
    if server.server_id in mix.short_engines:
        return mix.short_engine_ms
    return mix.long_engine_ms


def _announced_since_load(server: entities.ServerRow) -> int:
    """Returns how many prompts others have sent since the known load."""
    return sum(
        at_ms > server.reported_at_ms for at_ms in server.pace.announced_at_ms
    )


def _completions_needed(in_flight: int, slots: int) -> float:
    """Returns how many requests must end before a server begins the next.

    Load pattern: few slots are free, and the report of them is older than the
    duration of a request. A server that reported free slots may be full by now;
    while slots are free, the result is the estimated probability of that.
    """
    if in_flight >= slots:
        return float(in_flight - slots + 1)
    return (in_flight / slots) ** FULL_PROBABILITY_EXPONENT


def record_cached(
    world: entities.World,
    server: entities.ServerRow,
    keys: tuple[int, ...],
    *,
    priority: int,
) -> None:
    """Records what a server will have cached after computing its backlog.

    Until then no other server can copy it: a fetch that comes too early finds
    nothing, and the same levels are computed a second time.
    """
    if uneven.is_uneven(world, server.target):
        ready_ms = world.now_ms + pace.backlog_ms(world, server)
    else:
        ready_ms = max(
            float(world.now_ms), server.backlog_until_ms.get(priority, 0.0)
        )
    for key in keys:
        cached_at_ms = server.cache.cached_at_ms(key)
        if cached_at_ms is not None and cached_at_ms <= world.now_ms:
            at_ms = world.now_ms
        else:
            at_ms = round(ready_ms + READY_MARGIN_MS)
        server.cache.record(
            key, cached_at_ms=at_ms, max_keys=world.policy.max_residency
        )


def record_peer_dispatch(
    world: entities.World, dispatch: server_inputs.PeerDispatched
) -> None:
    """Records a prompt that another daemon sent to a server."""
    server = world.servers.get(dispatch.server_id)
    if server is None:
        return
    pace_sharing.apply_peer(world, dispatch.load)
    if not (dispatch.tokens or dispatch.levels):
        # It claims memory for a request that is not sent yet.
        return
    if uneven.is_uneven(world, server.target):
        server.pace.announced_at_ms.append(world.now_ms)
    add(world, server, tokens=dispatch.tokens, priority=dispatch.priority)
    record_cached(world, server, dispatch.levels, priority=dispatch.priority)


__all__ = [
    "add",
    "is_long",
    "known_wait_ms",
    "placement_wait_ms",
    "queue_ms",
    "record_cached",
    "record_peer_dispatch",
    "wait_ms",
]
