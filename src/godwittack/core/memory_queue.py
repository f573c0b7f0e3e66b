"""Holds requests that fit into no engine's memory until one has room.

Load pattern: a prompt needs two thirds of an engine's memory, and small ones
arrive all the time. Each of them takes a part of the memory that has just
become free, so that the large one never fits. If the small ones waited behind
it, most engines would idle.

So a large request waits beside the queue, which goes on. After half of the time
to its deadline, this daemon sends no other request to the engine with the most
free memory, and announces the memory to the other daemons as if it were in use:
one daemon of many sends too little to an engine to keep it free. After three
quarters of that time the request is sent in any case, since it may still be
served in time where it waits at the engine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import effects, engine_memory, memory_records, placing

if TYPE_CHECKING:
    from godwittack.core import entities

RESERVE_AFTER_PART = 0.5
SEND_AFTER_PART = 0.75


def hold(
    world: entities.World, request: entities.RequestRow, priority: int
) -> None:
    """Holds a request that fits on no engine."""
    left_ms = request.answer_start_deadline_ms - world.now_ms
    world.memory_holds[request.work.target][request.request_id] = (
        memory_records.Hold(
            request.request_id,
            priority,
            reserve_at_ms=world.now_ms + round(left_ms * RESERVE_AFTER_PART),
            send_at_ms=world.now_ms + round(left_ms * SEND_AFTER_PART),
        )
    )


def in_order(world: entities.World, target: str) -> list[memory_records.Hold]:
    """Returns the holds of a target, the most urgent and oldest first."""
    # Sorting keeps the order of equal priorities, which is that of insertion.
    return sorted(
        world.memory_holds[target].values(), key=lambda one: one.priority
    )


def reserve_if_due(world: entities.World, request: entities.RequestRow) -> None:
    """Keeps an engine free for a request that has been held for long."""
    held = world.memory_holds[request.work.target][request.request_id]
    if world.now_ms < held.reserve_at_ms:
        return
    kept = world.servers.get(held.server_id)
    if (
        kept is not None
        and kept.memory.kept_for == request.request_id
        and placing.is_usable(world, kept, request)
    ):
        _claim(world, request, held)
        return
    _release(world, held)
    free = {
        server.server_id: engine_memory.free_tokens(world, server)
        for server in world.servers_by_target[request.work.target].values()
        if not server.memory.kept_for
        and not engine_memory.is_too_small(world, request, server)
        and placing.is_usable(world, server, request)
    }
    if not free:
        return
    held.server_id = max(free, key=lambda name: (free[name], name))
    world.servers[held.server_id].memory.kept_for = request.request_id
    world.event(
        "memory_kept_free",
        request.request_id,
        server=held.server_id,
        tokens=engine_memory.request_tokens(request),
        free_tokens=round(free[held.server_id]),
        left_ms=request.answer_start_deadline_ms - world.now_ms,
    )
    _claim(world, request, held)


def _claim(
    world: entities.World,
    request: entities.RequestRow,
    held: memory_records.Hold,
) -> None:
    """Announces the memory that a held request will occupy."""
    if world.now_ms < held.claim_at_ms:
        return
    held.claim_at_ms = world.now_ms + memory_records.CLAIM_INTERVAL_MS
    world.emit(
        effects.Announce(
            server_id=held.server_id,
            target=request.work.target,
            tokens=0,
            priority=held.priority,
            # Without tokens and levels, it is a claim: nothing is computed or
            # cached yet.
            levels=(),
            memory_tokens=engine_memory.request_tokens(request),
        )
    )


def must_send(world: entities.World, request: entities.RequestRow) -> bool:
    """Returns whether a held request is sent although it fits nowhere."""
    held = world.memory_holds[request.work.target][request.request_id]
    return world.now_ms >= held.send_at_ms


def forget(world: entities.World, request: entities.RequestRow) -> None:
    """Ends the hold of a request that was sent or has ended."""
    held = world.memory_holds[request.work.target].pop(request.request_id, None)
    if held is not None:
        _release(world, held)


def _release(world: entities.World, held: memory_records.Hold) -> None:
    server = world.servers.get(held.server_id)
    if server is not None and server.memory.kept_for == held.request_id:
        server.memory.kept_for = ""
    held.server_id = ""


__all__ = ["forget", "hold", "in_order", "must_send", "reserve_if_due"]
