"""Logs a dispatch, and accounts for its prompt in backlog and cache."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import (
    availability,
    backlog,
    effects,
    engine_memory,
    length_routing,
    locality,
    pace,
    pace_sharing,
    prefill_cost,
    queue_keys,
    routing,
    uneven,
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
        **(
            {
                "tokens": request.work.prompt_tokens,
                "pace": round(pace.factor(world, server), 2),
            }
            if uneven.is_uneven(world, server.target)
            else {}
        ),
        **_group(world, request),
        **engine_memory.log_fields(world, request, server),
        after=request.next_frame - 1,
        left_ms=ends_at_ms(request) - world.now_ms,
        **_distance(world, server),
        **availability.unavailable_servers(world, request.work.target),
    )


def _group(
    world: entities.World, request: entities.RequestRow
) -> dict[str, str]:
    """Returns the log field of the engines for a prompt's length."""
    group = length_routing.group_of(world, request)
    if group is queue_keys.EngineGroup.ALL:
        return {}
    return {"group": group.value}


def _distance(
    world: entities.World, server: entities.ServerRow
) -> dict[str, int]:
    """Returns the log fields of an uneven target's domain and connections."""
    if not uneven.is_uneven(world, server.target):
        return {}
    return {
        "remote": int(locality.is_remote(world, server)),
        "connections": locality.open_connections(server),
    }


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
    attempt: entities.AttemptRow,
    keys: tuple[int, ...],
    memory: memory_records.Occupant | None,
) -> None:
    """Adds a prompt to its server's backlog, here and at other daemons."""
    priority = routing.priority(world, request)
    tokens = round(choice.uncached_tokens)
    if uneven.is_uneven(world, choice.server.target):
        pace.expect_first_token(
            world,
            choice.server,
            attempt,
            wait_ms=backlog.known_wait_ms(world, choice.server, priority),
            idle_ms=choice.first_token_ms - choice.wait_ms,
        )
        tokens = round(
            prefill_cost.equivalent_tokens(
                world,
                choice.server,
                new_tokens=tokens,
                cached_tokens=attempt.expected_cached_tokens,
            )
        )
    is_long = length_routing.is_enabled(
        world, choice.server.target
    ) and length_routing.is_long(world, request)
    if is_long:
        length_routing.record_long(world, choice.server, tokens=tokens)
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
                load=pace_sharing.announced_load(world, choice.server),
                delay_ms=round(pace.delay_ms(world, choice.server)),
                memory_tokens=memory.tokens if memory else 0,
                shared_tokens=memory.shared_tokens if memory else 0,
                is_long=is_long,
            )
        )


def ends_at_ms(request: entities.RequestRow) -> int:
    """Returns when a final answer is due; 0 for no limit."""
    if not request.timeout_at_ms:
        return 0
    return min(request.deadline_at_ms, request.timeout_at_ms)


__all__ = ["cached_keys", "ends_at_ms", "log_placement", "record_prompt"]
