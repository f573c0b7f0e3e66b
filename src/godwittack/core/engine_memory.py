"""Estimates the memory of engines that running requests occupy.

Load pattern: engines have 12 slots and memory for 140,763 tokens, and a long
prompt takes 17,000 of them, the largest one 93,000. An engine whose slots are
free may have no memory left. A request that is sent there waits behind others,
or another one is preempted and its prompt prefilled again.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from godwittack.core import cached_state, memory_records, uneven

if TYPE_CHECKING:
    from collections.abc import Iterable

    from godwittack.core import entities
    from godwittack.table import forwarding

# Remaining time of a request that runs for longer than was expected.
OVERDUE_MS = 50.0
# Part of an engine's memory from which a request that fits nowhere is held. A
# short prompt that is held comes late, although engines admit it before longer
# ones.
HELD_FROM_PART = 0.25
# Time after its last use by which an engine under load has evicted a prompt:
# memory for 185,000 tokens, some 60,000 tokens computed per second. Used where
# an engine's memory and rate are not known.
EVICTED_AFTER_MS = 3_000.0
# Limits of the time computed from memory and rate: a rate measured over some
# seconds tells little about shorter and much longer times.
MIN_EVICTED_AFTER_MS = 500.0
MAX_EVICTED_AFTER_MS = 60_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Memory in use on an engine.

    Attributes:
        tokens: Memory of all requests there.
        keys: Keys of the parts of prompts that requests use there.
    """

    tokens: float
    keys: frozenset[int]


def is_enabled(world: entities.World, target: str) -> bool:
    """Returns whether the memory of a target's engines is estimated and used.

    It has a setting of its own, since placement by memory trades more late
    short prompts for fewer preemptions.
    """
    return bool(world.policy.engine_memory) and uneven.is_uneven(world, target)


def wait_ms(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
) -> float:
    """Returns the time until a request fits into a server's memory.

    It is 0 if the memory is free or not known.
    """
    missing_tokens = -_spare_tokens(world, request, server)
    if missing_tokens <= 0:
        return 0.0
    residence_ms = world.residences[server.target].long_ms
    memory = server.memory
    unattributed_tokens = 0.0
    if is_report_fresh(world, server):
        unattributed_tokens = float(
            max(0, memory.unattributed_tokens - memory.reserved_tokens)
        )
    # Nothing is known of the ends of other daemons' requests; they are taken
    # to be spread over the time that a request takes.
    freed_per_ms = unattributed_tokens / residence_ms
    for left_ms, tokens in sorted(_releases(world, server)):
        other_tokens = freed_per_ms * min(left_ms, residence_ms)
        if other_tokens >= missing_tokens:
            break
        if other_tokens + tokens >= missing_tokens:
            return left_ms
        missing_tokens -= tokens
    if freed_per_ms:
        return min(residence_ms, missing_tokens / freed_per_ms)
    return residence_ms


def fits(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
) -> bool:
    """Returns whether a server's memory is free, or not known, for a request.

    An engine that is kept free for another request counts as full.
    """
    return server.memory.kept_for in ("", request.request_id) and (
        _spare_tokens(world, request, server) >= 0
    )


def with_room(
    world: entities.World,
    request: entities.RequestRow,
    usable: list[entities.ServerRow],
) -> list[entities.ServerRow]:
    """Returns the servers on which a request fits.

    An engine that is kept free for another request is used if there is no
    other: small requests must not wait for a large one.
    """
    roomy = [s for s in usable if _spare_tokens(world, request, s) >= 0]
    return [s for s in roomy if fits(world, request, s)] or roomy


def not_kept(
    request: entities.RequestRow, usable: list[entities.ServerRow]
) -> list[entities.ServerRow]:
    """Returns the servers that are not kept free for another request.

    All of them if there are no others.
    """
    kept_for = ("", request.request_id)
    return [s for s in usable if s.memory.kept_for in kept_for] or usable


def is_held(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
) -> bool:
    """Returns whether a request waits here if it fits into no memory.

    Smaller ones are sent to `server`, and wait there.
    """
    held_from_tokens = HELD_FROM_PART * total_tokens(world, server)
    return request_tokens(request) > held_from_tokens


def never_fits(world: entities.World, request: entities.RequestRow) -> bool:
    """Returns whether a prompt is larger than the memory of every engine.

    What a request will generate is not certain, and does not count.
    """
    target = request.work.target
    servers = world.servers_by_target[target].values()
    if not servers or not is_enabled(world, target):
        return False
    return all(is_too_small(world, request, server) for server in servers)


def is_too_small(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
) -> bool:
    """Returns whether a prompt is larger than all of a server's memory."""
    prompt_tokens = memory_records.blocks(request.work.prompt_tokens + 1)
    return 0 < total_tokens(world, server) < prompt_tokens


def copy_us_per_token(
    world: entities.World, source: entities.ServerRow, target: str
) -> float | None:
    """Returns the time to copy a token within a failure domain.

    None if the configuration does not state the links or the size of a token.

    Args:
        world: The tables.
        source: The engine or store that is copied from.
        target: Target of the engine that is copied to.
    """
    limits = _limits(world, target)
    if limits is None or not is_enabled(world, target):
        return None
    link_mbps = min(limits.link_mbps, _link_mbps(world, source))
    if not (limits.kv_token_bytes and link_mbps):
        return None
    return limits.kv_token_bytes * 8 / link_mbps


def evicted_after_ms(
    world: entities.World, server: entities.ServerRow
) -> float:
    """Returns the time after its last use at which a prompt is evicted.

    Engines evict what was used least recently: a prompt is gone once the memory
    that requests leave free has been filled with others.
    """
    total = total_tokens(world, server)
    if not total or not is_enabled(world, server.target):
        return EVICTED_AFTER_MS
    tokens_per_ms = server.memory.prefill_rate.per_ms(world.now_ms)
    evictable_tokens = max(0.0, total - usage(world, server).tokens)
    if evictable_tokens >= MAX_EVICTED_AFTER_MS * tokens_per_ms:
        return MAX_EVICTED_AFTER_MS
    return max(MIN_EVICTED_AFTER_MS, evictable_tokens / tokens_per_ms)


def generated_tokens(request: entities.RequestRow) -> int:
    """Returns how many tokens a request is expected to generate."""
    requested = request.work
    if requested.length_hint is None:
        return requested.max_tokens // 2
    return min(requested.length_hint, requested.max_tokens)


def request_tokens(request: entities.RequestRow) -> int:
    """Returns the memory of a request that shares none with others."""
    return memory_records.blocks(
        request.work.prompt_tokens + generated_tokens(request)
    )


def shared_parts(
    request: entities.RequestRow, server: entities.ServerRow
) -> tuple[tuple[int, int], ...]:
    """Returns key and memory of the parts that other requests may share."""
    return tuple(
        (
            cached_state.level_key(level, server.weights_version),
            memory_records.full_blocks(level.tokens),
        )
        for level in request.work.levels[:-1]
    )


def total_tokens(world: entities.World, server: entities.ServerRow) -> int:
    """Returns all of a server's memory; 0 if not known."""
    if server.memory.total_tokens:
        return server.memory.total_tokens
    limits = _limits(world, server.target)
    return limits.kv_capacity_tokens if limits else 0


def log_fields(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
) -> dict[str, int]:
    """Returns the memory that a request needs and finds, for the log."""
    if not is_enabled(world, server.target):
        return {}
    if not total_tokens(world, server):
        return {}
    return {
        "memory_tokens": request_tokens(request),
        "memory_free": round(free_tokens(world, server)),
        "memory_age_ms": world.now_ms - server.memory.measured_at_ms
        if server.memory.measured_at_ms >= 0
        else -1,
    }


def free_tokens(world: entities.World, server: entities.ServerRow) -> float:
    """Returns the memory that no request occupies."""
    return total_tokens(world, server) - usage(world, server).tokens


def usage(world: entities.World, server: entities.ServerRow) -> Usage:
    """Returns the memory that requests occupy on a server.

    That is what its last report says of requests that this daemon does not
    know, and in addition its own requests, and those that others have announced
    since. A part that several of them use counts once.
    """
    is_fresh = is_report_fresh(world, server)
    tokens = 0.0
    reported_keys: set[int] = set()
    if is_fresh:
        memory = server.memory
        tokens = float(memory.unattributed_tokens + memory.waiting_tokens)
        reported_keys = {
            key
            for entry in memory.announced
            if entry.is_reported
            and entry.occupant.expected_end_ms > world.now_ms
            for key, _ in entry.occupant.shared
        }
    counted: dict[int, int] = {}
    for occupant in _counted_occupants(world, server):
        tokens += occupant.own_tokens
        is_in_report = (
            is_fresh and occupant.sent_at_ms < server.memory.measured_at_ms
        )
        for key, shared_tokens in occupant.shared:
            if is_in_report or key not in reported_keys:
                counted[key] = max(shared_tokens, counted.get(key, 0))
    return Usage(
        tokens + sum(counted.values()), frozenset(counted) | reported_keys
    )


def is_report_fresh(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether a server's last report of its memory still counts."""
    measured_at_ms = server.memory.measured_at_ms
    return (
        measured_at_ms >= 0
        and world.now_ms - measured_at_ms < world.policy.report_stale_ms
    )


def _spare_tokens(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
) -> float:
    """Returns the free memory less what a request needs; 0 if not known."""
    total = total_tokens(world, server)
    if not total or not is_enabled(world, server.target):
        return 0.0
    used = usage(world, server)
    needed = request_tokens(request)
    for key, tokens in shared_parts(request, server):
        if key not in used.keys:
            break
        needed -= tokens
    if not is_too_small(world, request, server):
        # If only its answer may need more, it is tried on an empty engine.
        needed = min(needed, total)
    return total - used.tokens - needed


def _counted_occupants(
    world: entities.World, server: entities.ServerRow
) -> Iterable[memory_records.Occupant]:
    """Yields the requests whose memory is counted one by one."""
    for attempt in server.in_flight.values():
        if attempt.memory is not None:
            yield attempt.memory
    is_fresh = is_report_fresh(world, server)
    for entry in server.memory.announced:
        if entry.last_end_ms > world.now_ms and not (
            entry.is_reported and is_fresh
        ):
            yield entry.occupant


def _releases(
    world: entities.World, server: entities.ServerRow
) -> Iterable[tuple[float, int]]:
    """Yields when requests are expected to end, and what they then free."""
    for occupant in _counted_occupants(world, server):
        left_ms = occupant.expected_end_ms - world.now_ms
        yield max(left_ms, OVERDUE_MS), occupant.own_tokens


def _limits(
    world: entities.World, target: str
) -> forwarding.EngineLimits | None:
    forwarding_part = world.table.forwarding
    return forwarding_part.engines.get(target) if forwarding_part else None


def _link_mbps(world: entities.World, source: entities.ServerRow) -> float:
    """Returns the bandwidth of an engine's or store's link; 0 if not stated."""
    if source.target != cached_state.STORE_TARGET:
        limits = _limits(world, source.target)
        return limits.link_mbps if limits else 0.0
    assert world.table.forwarding is not None
    return next(
        (
            store.link_mbps
            for store in world.table.forwarding.kv_stores
            if store.address == source.address
        ),
        0.0,
    )


__all__ = [
    "EVICTED_AFTER_MS",
    "Usage",
    "copy_us_per_token",
    "evicted_after_ms",
    "fits",
    "free_tokens",
    "generated_tokens",
    "is_enabled",
    "is_held",
    "is_report_fresh",
    "is_too_small",
    "log_fields",
    "never_fits",
    "not_kept",
    "request_tokens",
    "shared_parts",
    "total_tokens",
    "usage",
    "wait_ms",
    "with_room",
]
