"""Records the requests that occupy memory on engines, and their reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import backlog, engine_memory, memory_records

if TYPE_CHECKING:
    from collections.abc import Iterable

    from godwittack.core import entities, placing, server_inputs

# Last possible end of an announced request whose target has no route.
DEFAULT_TIMEOUT_MS = 6_000


def occupant(
    world: entities.World,
    request: entities.RequestRow,
    choice: placing.Choice,
) -> memory_records.Occupant | None:
    """Returns the memory of a request that is sent to a server now.

    None if the memory of its target's servers is not estimated.
    """
    server = choice.server
    if (
        not engine_memory.is_enabled(world, server.target)
        or not request.work.levels
    ):
        return None
    shared = engine_memory.shared_parts(request, server)
    generated_tokens = engine_memory.generated_tokens(request)
    residence = world.residences[server.target]
    _record_prefill(world, request, choice)
    return memory_records.Occupant(
        own_tokens=engine_memory.request_tokens(request)
        - sum(tokens for _, tokens in shared),
        shared=shared,
        generated_tokens=generated_tokens,
        sent_at_ms=world.now_ms,
        first_token_ms=choice.first_token_ms,
        expected_end_ms=world.now_ms
        + choice.first_token_ms
        + generated_tokens * residence.ms_per_token,
    )


def _record_prefill(
    world: entities.World,
    request: entities.RequestRow,
    choice: placing.Choice,
) -> None:
    """Adds a prompt to the rate of its server.

    Short prompts are not announced, so that each stands for those of the other
    daemons as well.
    """
    server = choice.server
    tokens = choice.uncached_tokens
    if not backlog.is_long(world, server, request.work.prompt_tokens):
        tokens *= len(world.serving_daemons) or 1
    server.memory.prefill_rate.add(tokens, now_ms=world.now_ms)


def record_peer_dispatch(
    world: entities.World, dispatch: server_inputs.PeerDispatched
) -> None:
    """Records the memory of a request that another daemon has announced."""
    server = world.servers.get(dispatch.server_id)
    if server is None or not engine_memory.is_enabled(world, server.target):
        return
    memory = server.memory
    memory.prefill_rate.add(dispatch.tokens, now_ms=world.now_ms)
    if not dispatch.memory_tokens:
        # The sender is of an older release: the next report counts the request.
        return
    is_claim = not dispatch.tokens and not dispatch.levels
    memory.announced = [
        entry
        for entry in memory.announced
        if entry.last_end_ms > world.now_ms
        # The claim was announced again, or its request has been sent.
        and not (
            entry.is_claim and entry.occupant.tokens == dispatch.memory_tokens
        )
    ]
    left_ms = (
        memory_records.CLAIM_EXPIRES_MS
        if is_claim
        else _timeout_ms(world, server.target)
    )
    memory.announced.append(
        memory_records.AnnouncedOccupant(
            _announced_occupant(world, server, dispatch),
            last_end_ms=world.now_ms + left_ms,
            is_claim=is_claim,
        )
    )


def _announced_occupant(
    world: entities.World,
    server: entities.ServerRow,
    dispatch: server_inputs.PeerDispatched,
) -> memory_records.Occupant:
    keys = dispatch.levels[:-1]
    shared_tokens = min(dispatch.shared_tokens, dispatch.memory_tokens)
    if not keys:
        shared_tokens = 0
    return memory_records.Occupant(
        own_tokens=dispatch.memory_tokens - shared_tokens,
        # How the tokens are divided among the parts is not announced.
        shared=tuple((key, shared_tokens // len(keys)) for key in keys),
        sent_at_ms=dispatch.at_ms,
        expected_end_ms=world.now_ms + world.residences[server.target].long_ms,
    )


def apply_report(
    world: entities.World,
    server: entities.ServerRow,
    report: server_inputs.LoadReported,
) -> None:
    """Applies what a report says of a server's memory."""
    if not engine_memory.is_enabled(world, server.target):
        return
    memory = server.memory
    measured_at_ms = report.at_ms - report.age_ms
    if not report.kv_used_tokens and not report.kv_total_tokens:
        return
    if measured_at_ms < memory.measured_at_ms:
        return
    memory.measured_at_ms = measured_at_ms
    memory.total_tokens = report.kv_total_tokens
    memory.reserved_tokens = report.kv_reserved_tokens
    waiting = _waiting(server, measured_at_ms, count=report.waiting)
    for entry in memory.announced:
        if entry.occupant.sent_at_ms < measured_at_ms and not entry.is_claim:
            entry.is_reported |= entry.occupant not in waiting
    memory.announced = [
        entry
        for entry in memory.announced
        if entry.last_end_ms > measured_at_ms
        and not (
            entry.is_reported and entry.occupant.expected_end_ms <= world.now_ms
        )
    ]
    known = [
        attempt.memory
        for attempt in server.in_flight.values()
        if attempt.memory is not None
        and attempt.sent_at_ms < measured_at_ms
        and attempt.memory not in waiting
    ]
    memory.unattributed_tokens = max(
        0, report.kv_used_tokens - _tokens_of(known)
    )
    waiting_tokens = sum(one.tokens for one in waiting)
    memory.waiting_tokens = (
        max(0, report.next_tokens - waiting_tokens) if report.waiting else 0
    )


def _waiting(
    server: entities.ServerRow, measured_at_ms: int, *, count: int
) -> list[memory_records.Occupant]:
    """Returns the requests that probably waited when a server reported.

    They occupied no memory yet. Of the requests that are not known to have
    begun, those sent last wait.
    """
    sent = [
        attempt.memory
        for attempt in server.in_flight.values()
        if attempt.memory is not None and not attempt.opened
    ]
    sent.extend(
        entry.occupant
        for entry in server.memory.announced
        if not (entry.is_reported or entry.is_claim)
    )
    sent = [one for one in sent if one.sent_at_ms < measured_at_ms]
    sent.sort(key=lambda one: one.sent_at_ms, reverse=True)
    return sent[:count]


def _tokens_of(occupants: Iterable[memory_records.Occupant]) -> int:
    """Returns the memory of requests, each shared part counted once."""
    shared: dict[int, int] = {}
    tokens = 0
    for one in occupants:
        tokens += one.own_tokens - one.generated_tokens
        shared.update(one.shared)
    return tokens + sum(shared.values())


def record_end(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    """Learns how long a complete request has occupied memory."""
    server = world.servers.get(attempt.server_id)
    if server is None or attempt.memory is None:
        return
    world.residences[server.target].add(
        attempt.memory,
        took_ms=world.now_ms - attempt.sent_at_ms,
        is_long=backlog.is_long(world, server, request.work.prompt_tokens),
    )


def _timeout_ms(world: entities.World, target: str) -> int:
    """Returns the longest time that a request for a target may take."""
    forwarding = world.table.forwarding
    return max(
        (
            route.timeout_ms
            for route in (forwarding.routes if forwarding else ())
            if any(part.target == target for part in route.targets)
        ),
        default=DEFAULT_TIMEOUT_MS,
    )


__all__ = [
    "apply_report",
    "occupant",
    "record_end",
    "record_peer_dispatch",
]
