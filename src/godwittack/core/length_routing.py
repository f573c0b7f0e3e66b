"""Keeps short prompts off the engines that compute long ones.

Load pattern: 371 short prompts a second beside 25 to 60 long ones. While an
engine computes a long prompt, each step of all its running requests takes 20 ms
instead of 3.5 ms. A short answer of 45 tokens then holds a slot for 900 ms
instead of 160 ms, all slots fill, and short prompts wait for one beyond their
target latency, although they are admitted first.

The usable engines are split: long prompts get as many as they need, short ones
the others. All daemons rank the engines alike and learn of the same long
prompts, so that their splits differ by little.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import (
    backlog,
    prefill_cost,
    queue_keys,
    routing,
    uneven,
)
from godwittack.placement import rendezvous

if TYPE_CHECKING:
    from godwittack.core import entities, server_inputs

# With fewer engines one failure could leave a kind of prompt without any.
MIN_ENGINES = 3
# Part of the time left that a short prompt waits on its own engines before it
# may use the others. It is late there as well, and delays the long ones.
MAX_WAIT_PART = 0.5
# With swinging demand the split would fill the log.
LOG_INTERVAL_MS = 1_000
_RANK_KEY = 0x5E9A


def is_enabled(world: entities.World, target: str) -> bool:
    """Returns whether a target's prompts are split by length."""
    return bool(world.policy.long_prompt_tokens) and uneven.is_uneven(
        world, target
    )


def count(world: entities.World, request: entities.RequestRow) -> None:
    """Counts a new request for the split of its target's engines."""
    target = request.work.target
    if is_enabled(world, target) and not is_long(world, request):
        world.prompt_mixes[target].count_short(now_ms=world.now_ms)


def record_long(
    world: entities.World, server: entities.ServerRow, *, tokens: float
) -> None:
    """Records a long prompt that was sent to an engine."""
    if is_enabled(world, server.target):
        us_per_token = prefill_cost.us_per_token(world, server)
        world.prompt_mixes[server.target].add_long(
            tokens * us_per_token / 1000, now_ms=world.now_ms
        )


def record_peer_dispatch(
    world: entities.World, dispatch: server_inputs.PeerDispatched
) -> None:
    """Records a long prompt that another daemon sent to an engine."""
    server = world.servers.get(dispatch.server_id)
    if dispatch.is_long and server is not None:
        record_long(world, server, tokens=dispatch.tokens)


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
    engine_ms = (world.now_ms - attempt.sent_at_ms) / slots
    if is_long(world, request):
        engine_ms = max(engine_ms, attempt.expected_idle_ms)
    world.prompt_mixes[target].record_engine_time(
        is_long=is_long(world, request), engine_ms=engine_ms
    )


def group_of(
    world: entities.World, request: entities.RequestRow
) -> queue_keys.EngineGroup:
    """Returns the group of engines that a request waits for."""
    target = request.work.target
    listed = len(world.servers_by_target[target])
    if not is_enabled(world, target) or listed < MIN_ENGINES:
        return queue_keys.EngineGroup.ALL
    if is_long(world, request):
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
    short_engines = _split(world, request.work.target, ranked)
    uses_long = is_long(world, request)
    selected = [
        server
        for server in usable
        if (server.server_id in short_engines) != uses_long
    ]
    # A long prompt never joins short ones: all of them would be late.
    if uses_long or not _is_wait_too_long(world, request, selected):
        return selected
    return usable


def _split(
    world: entities.World, target: str, ranked: tuple[str, ...]
) -> frozenset[str]:
    """Returns the engines for short prompts, and logs changes."""
    mix = world.prompt_mixes[target]
    daemons = max(1, len(world.serving_daemons))
    count = mix.split(len(ranked), daemons=daemons, now_ms=world.now_ms)
    short_engines = mix.short_engines = frozenset(ranked[:count])
    is_due = world.now_ms - mix.logged_at_ms >= LOG_INTERVAL_MS
    if is_due and short_engines != mix.logged_engines:
        mix.logged_at_ms = world.now_ms
        mix.logged_engines = short_engines
        short_need, long_need = mix.needs(daemons=daemons, now_ms=world.now_ms)
        world.event(
            "engines_split",
            target=target,
            engines=len(ranked),
            short=count,
            short_need=round(short_need, 1),
            long_need=round(long_need, 1),
            short_ms=round(mix.short_engine_ms, 1),
            long_ms=round(mix.long_engine_ms),
        )
    return short_engines


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


def is_long(world: entities.World, request: entities.RequestRow) -> bool:
    """Returns whether the engines for long prompts compute a request."""
    return request.work.prompt_tokens >= world.policy.long_prompt_tokens


__all__ = [
    "count",
    "group_of",
    "is_enabled",
    "is_long",
    "record_engine_time",
    "record_long",
    "record_peer_dispatch",
    "select",
]
