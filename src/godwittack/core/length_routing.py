"""Keeps short prompts off the engines that compute long ones.

Load pattern: 371 short prompts a second beside 25 to 60 long ones. While an
engine computes a long prompt, each step of all its running requests takes 20 ms
instead of 3.5 ms. A short answer of 45 tokens then holds a slot for 900 ms
instead of 160 ms, all slots fill, and short prompts wait for one beyond their
target latency, although they are admitted first.

The usable engines are split in the proportion of the engine time that both
kinds take. All daemons rank the engines alike, so that their splits differ by
little.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import backlog, queue_keys, routing, uneven
from godwittack.placement import rendezvous

if TYPE_CHECKING:
    from godwittack.core import entities

# With fewer engines one failure could leave a kind of prompt without any.
MIN_ENGINES = 3
# Part of the time left that a short prompt waits on its own engines before it
# may use the others. It is late there as well, and delays the long ones.
MAX_WAIT_PART = 0.5
_RANK_KEY = 0x5E9A


def is_enabled(world: entities.World, target: str) -> bool:
    """Returns whether a target's prompts are split by length."""
    return bool(world.policy.long_prompt_tokens) and uneven.is_uneven(
        world, target
    )


def count(world: entities.World, request: entities.RequestRow) -> None:
    """Counts a new request for the split of its target's engines."""
    target = request.work.target
    if is_enabled(world, target):
        world.prompt_mixes[target].count(
            is_long=_is_long(world, request), now_ms=world.now_ms
        )


def record_engine_time(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    """Records the engine time of a request that has ended."""
    target = request.work.target
    server = world.servers.get(attempt.server_id)
    if server is None or not is_enabled(world, target):
        return
    slots = server.slots or world.policy.slots
    world.prompt_mixes[target].record_engine_time(
        is_long=_is_long(world, request),
        engine_ms=attempt.expected_idle_ms
        + (world.now_ms - attempt.sent_at_ms) / slots,
    )


def group_of(
    world: entities.World, request: entities.RequestRow
) -> queue_keys.EngineGroup:
    """Returns the group of engines that a request waits for."""
    target = request.work.target
    listed = len(world.servers_by_target[target])
    if not is_enabled(world, target) or listed < MIN_ENGINES:
        return queue_keys.EngineGroup.ALL
    if _is_long(world, request):
        return queue_keys.EngineGroup.LONG
    return queue_keys.EngineGroup.SHORT


def select(
    world: entities.World,
    request: entities.RequestRow,
    usable: list[entities.ServerRow],
) -> list[entities.ServerRow]:
    """Returns the engines for prompts of a request's length.

    All usable ones are returned if there are few, or if a short prompt would
    wait too long on those for its length.
    """
    if not is_enabled(world, request.work.target) or len(usable) < MIN_ENGINES:
        return usable
    ranked = rendezvous.rank(
        _RANK_KEY, tuple(sorted(server.server_id for server in usable))
    )
    short_count = world.prompt_mixes[request.work.target].split(len(ranked))
    is_long = _is_long(world, request)
    names = set(ranked[short_count:] if is_long else ranked[:short_count])
    selected = [server for server in usable if server.server_id in names]
    # A long prompt never joins short ones: all of them would be late.
    if is_long or not _is_wait_too_long(world, request, selected):
        return selected
    return usable


def _is_wait_too_long(
    world: entities.World,
    request: entities.RequestRow,
    servers: list[entities.ServerRow],
) -> bool:
    priority = routing.priority(world, request)
    wait_ms = min(
        backlog.placement_wait_ms(world, server, priority) for server in servers
    )
    left_ms = request.answer_start_deadline_ms - world.now_ms
    return wait_ms > MAX_WAIT_PART * left_ms


def _is_long(world: entities.World, request: entities.RequestRow) -> bool:
    return request.work.prompt_tokens >= world.policy.long_prompt_tokens


__all__ = ["count", "is_enabled", "record_engine_time", "select"]
