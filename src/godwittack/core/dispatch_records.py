"""Logs a dispatch, and accounts for its prompt in backlog and cache."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import (
    availability,
    backlog,
    effects,
    engine_memory,
    routing,
)
from godwittack.placement import levels

if TYPE_CHECKING:
    from godwittack.core import entities, memory_records, placing


def log_placement(
    world: entities.World,
    request: entities.RequestRow,
    choice: placing.Choice,
    attempt: entities.AttemptRow,
) -> None:
    """Logs a placement with its inputs and their age."""
    assert request.work.route is not None
    server = choice.server
    world.event(
        "placed",
        request.request_id,
        workspace=request.workspace,
        route=request.work.route.name,
        table=world.table.version,
        keys_good_for_ms=world.serving_lease_until_ms - world.now_ms,
        attempt=attempt.attempt_id,
        server=server.server_id,
        **({"relay": attempt.relay} if attempt.relay else {}),
        **(
            {"software": server.software_version}
            if server.software_version
            else {}
        ),
        weights=server.weights_version,
        waited_ms=world.now_ms - request.arrived_at_ms,
        wait_ms=round(choice.wait_ms),
        compute_tokens=round(choice.uncached_tokens),
        copy_from=choice.fetch_from,
        load_age_ms=world.now_ms - server.reported_at_ms
        if server.reported_at_ms >= 0
        else -1,
        **engine_memory.log_fields(world, request, server),
        after=request.next_frame - 1,
        left_ms=ends_at_ms(request) - world.now_ms,
        **availability.unavailable_servers(world, request.work.target),
    )


def cached_keys(
    request: entities.RequestRow, server: entities.ServerRow
) -> tuple[int, ...]:
    """Returns the keys of the prompt levels that a server will have cached."""
    if request.work.route is None:
        return tuple(level.key for level in request.work.levels)
    return tuple(
        levels.key_for_weights(level.key, server.weights_version)
        for level in request.work.levels
    )


def record_prompt(
    world: entities.World,
    request: entities.RequestRow,
    choice: placing.Choice,
    keys: tuple[int, ...],
    memory: memory_records.Occupant | None,
) -> None:
    """Adds a prompt to its server's backlog, here and at other daemons."""
    priority = routing.priority(world, request)
    tokens = round(choice.uncached_tokens)
    backlog.add(world, choice.server, tokens=tokens, priority=priority)
    backlog.record_cached(world, choice.server, keys, priority=priority)
    if backlog.is_long(world, choice.server, request.work.prompt_tokens):
        world.emit(
            effects.Announce(
                server_id=choice.server.server_id,
                target=choice.server.target,
                tokens=tokens,
                priority=priority,
                levels=keys,
                memory_tokens=memory.tokens if memory else 0,
                shared_tokens=memory.shared_tokens if memory else 0,
            )
        )


def ends_at_ms(request: entities.RequestRow) -> int:
    """Returns when a final answer is due; 0 for no limit."""
    if not request.timeout_at_ms:
        return 0
    return min(request.deadline_at_ms, request.timeout_at_ms)


__all__ = ["cached_keys", "ends_at_ms", "log_placement", "record_prompt"]
