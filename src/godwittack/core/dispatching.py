"""Sends requests to backend servers, or queues them in fair order."""

from __future__ import annotations

from godwittack.core import (
    availability,
    brittle,
    closing,
    crashes,
    dispatch_pacing,
    dispatch_records,
    effects,
    engine_memory,
    entities,
    kv_cache,
    locality,
    memory_queue,
    memory_updates,
    overload,
    paths,
    placing,
    queue_keys,
    quotas,
    rate_limits,
    refusing,
    resting,
    return_times,
    routing,
    target_queues,
    uneven,
    urgency,
    work,
)
from godwittack.limit import urgency_queue


def place(world: entities.World, request: entities.RequestRow) -> None:
    """Dispatches a request, queues it, or refuses it at once."""
    if crashes.is_quarantined(world, request):
        refusing.refuse_quarantined(world, request)
        return
    if engine_memory.never_fits(world, request):
        refusing.refuse_too_large(world, request)
        return
    if request.stream_version:
        _place_at_version(world, request)
        return
    choice = placing.choose(world, request)
    if choice is None:
        _await_rest(world, request)
        return
    if choice.memory_wait_ms:
        _await_memory(world, request, choice)
        return
    key = target_queues.key_of(world, request)
    queue = target_queues.get(world, request.work.target, key)
    queued_ahead = target_queues.ahead(world, request.work.target, key)
    must_queue = _must_wait(world, request, choice) or queued_ahead > 0
    wait_ms = 0.0
    if must_queue:
        if overload.refuse_excess(world, request, queue, ahead=queued_ahead):
            return
        queued_at_key = queue.count_ahead(request.workspace)
        if urgency.is_ordered(world):
            # Behind its share of the queue only: those beyond theirs wait.
            queued_ahead -= len(queue) - queued_at_key
        slots_wait_ms = dispatch_pacing.slots_wait_ms(
            world, request.work.target, queued_ahead
        )
        pacing_wait_ms = dispatch_pacing.wait_ms(
            world, request.work.target, key, ahead=queued_at_key
        )
        wait_ms = max(slots_wait_ms, pacing_wait_ms)
    if not _meets_deadline(world, request, choice, wait_ms):
        return
    if not must_queue:
        dispatch_unqueued(world, request, choice)
        return
    if _has_queue_room(world, request, choice.wait_ms):
        _enqueue(world, request, wait_ms=choice.wait_ms)


def _has_queue_room(
    world: entities.World, request: entities.RequestRow, wait_ms: float
) -> bool:
    """Refuses a request if too many are queued; returns whether it may be."""
    target = request.work.target
    queue = target_queues.get(
        world, target, target_queues.key_of(world, request)
    )
    queued = target_queues.count(world, target)
    if queued < _queue_limit(world, request) or overload.displace(
        world, request, queue
    ):
        return True
    refusing.refuse_unassigned(
        world,
        request,
        effects.Reason.QUEUE_FULL,
        f"{queued} requests wait for {target} already",
        return_times.capacity_ms(world, request, wait_ms),
    )
    return False


def _await_memory(
    world: entities.World,
    request: entities.RequestRow,
    choice: placing.Choice,
) -> None:
    """Holds a request until an engine has memory, or refuses it at once."""
    wait_ms = choice.memory_wait_ms
    if _meets_deadline(world, request, choice, wait_ms) and _has_queue_room(
        world, request, wait_ms
    ):
        _charge(world, request)
        _hold(world, request, choice)


def _hold(
    world: entities.World,
    request: entities.RequestRow,
    choice: placing.Choice,
) -> None:
    key = target_queues.key_of(world, request)
    # Its queue does not contain it, but is expected to exist.
    target_queues.get(world, request.work.target, key)
    request.phase = entities.Phase.QUEUED
    request.queue_key = key
    memory_queue.hold(world, request, key.priority)
    world.event(
        "held_for_memory",
        request.request_id,
        target=request.work.target,
        tokens=engine_memory.request_tokens(request),
        wait_ms=round(choice.memory_wait_ms),
        held=len(world.memory_holds[request.work.target]),
        **availability.unavailable_servers(world, request.work.target),
    )


def _place_at_version(
    world: entities.World, request: entities.RequestRow
) -> None:
    """Sends a begun stream to a server of its version, or refuses it.

    It doesn't queue: behind it, others would wait for servers that they don't
    need, and its caller has seen a part of the answer.
    """
    choice = placing.choose(world, request)
    if choice is None or not brittle.has_room(world, choice.server):
        refusing.refuse_no_server(world, request)
        return
    if _meets_deadline(world, request, choice, 0.0):
        dispatch_unqueued(world, request, choice)


def dispatch_unqueued(
    world: entities.World,
    request: entities.RequestRow,
    choice: placing.Choice,
) -> None:
    """Dispatches a request at once, and counts it in the queue's fair order."""
    _charge(world, request)
    dispatch(world, request, choice)


def _charge(world: entities.World, request: entities.RequestRow) -> None:
    """Counts a request that does not queue in the queue's fair order."""
    key = target_queues.key_of(world, request)
    target_queues.get(world, request.work.target, key).charge(
        workspace=request.workspace,
        weight=urgency.fleet_weight(world, request.workspace),
        cost=overload.cost(request),
    )


def _await_rest(world: entities.World, request: entities.RequestRow) -> None:
    """Queues a request until a server has rested, or refuses it at once."""
    target = request.work.target
    has_room = target_queues.count(world, target) < min(
        resting.max_waiting(world, target), _queue_limit(world, request)
    )
    if not has_room or not resting.may_wait(world, request):
        refusing.refuse_no_server(world, request)
        return
    request.awaits_rest_end = True
    _enqueue(
        world, request, wait_ms=resting.shortest_rest_ms(world, request) or 0
    )


def _enqueue(
    world: entities.World, request: entities.RequestRow, *, wait_ms: float
) -> None:
    """Puts a request into its queue."""
    key = target_queues.key_of(world, request)
    queue = target_queues.get(world, request.work.target, key)
    queued_ahead = target_queues.ahead(world, request.work.target, key)
    request.phase = entities.Phase.QUEUED
    request.queue_key = key
    if not len(queue) and not request.awaits_rest_end:
        dispatch_pacing.start(world, request.work.target, key)
    if request.work.route is not None:
        world.event(
            "queued",
            request.request_id,
            target=request.work.target,
            wait_ms=round(wait_ms),
            before=queued_ahead,
            **availability.unavailable_servers(world, request.work.target),
        )
    queue.push(
        request_id=request.request_id,
        workspace=request.workspace,
        weight=urgency.fleet_weight(world, request.workspace),
        cost=overload.cost(request),
        times=urgency.times(world, request),
    )
    world.targets_to_dispatch.add(request.work.target)


def dispatch(
    world: entities.World,
    request: entities.RequestRow,
    choice: placing.Choice,
) -> None:
    """Opens a new attempt on the chosen server."""
    refusal = routing.recheck_key(world, request)
    if refusal is not None:
        refusing.refuse_revoked(world, request, refusal)
        return
    server = choice.server
    holder = relay = brittle.choose_holder(world, server, request)
    if not holder and paths.is_lost(server):
        relay = paths.choose_relay(world, server, request)
    attempt_id = world.next_attempt_id()
    attempt = entities.AttemptRow(
        attempt_id=attempt_id,
        request_id=request.request_id,
        server_id=server.server_id,
        stamp=_stamp(request, server),
        incarnation=server.incarnation,
        stream_id=attempt_id,
        sent_at_ms=world.now_ms,
        last_progress_ms=world.now_ms,
        expected_tokens=round(choice.uncached_tokens),
        expected_cached_tokens=max(
            0, request.work.prompt_tokens - round(choice.uncached_tokens)
        ),
        software_version=server.software_version,
        relay=relay,
        memory=memory_updates.occupant(world, request, choice),
    )
    crashes.log_trial(world, request, server.server_id)
    _record_attempt(world, request, attempt)
    brittle.record_dispatch(world, server, attempt, is_at_holder=bool(holder))
    server.in_flight[attempt_id] = attempt
    locality.record_dispatch(server, request, attempt)
    rate_limits.record_dispatch(world, server)
    if server.ejected_until_ms and not relay:
        server.trial_attempt_id = attempt_id
    keys = dispatch_records.cached_keys(request, server)
    if request.work.route is None:
        for key in keys:
            server.cache.record(
                key,
                cached_at_ms=world.now_ms,
                max_keys=world.policy.max_residency,
            )
    elif keys:
        dispatch_records.record_prompt(
            world, request, choice, attempt, keys, attempt.memory
        )
    if request.work.route is not None:
        dispatch_records.log_placement(world, request, choice, attempt)
    world.emit(
        effects.Dispatch(
            request_id=request.request_id,
            attempt_id=attempt_id,
            server_id=server.server_id,
            address=server.address,
            stamp=attempt.stamp,
            fresh_connection=request.needs_fresh_connection,
            idle_margin_ms=locality.reuse_margin_ms(world, request),
            after=request.next_frame - 1 if request.work.route else 0,
            priority=routing.priority(world, request),
            workspace=request.workspace if request.work.route else "",
            ends_at_ms=dispatch_records.ends_at_ms(request),
            cache_scope=kv_cache.scope(world, request, server),
            kv_fetch_from=choice.fetch_from,
            kv_save_to=kv_cache.plan_save(
                world, request, server, ready_in_ms=choice.first_token_ms
            ),
            incarnation=server.incarnation if request.work.route else "",
            relay=relay,
            has_own_place=attempt.has_own_place,
            suspects=request.suspect_keys if relay else (),
            streaming=request.work.streaming,
        )
    )


def resume(
    world: entities.World,
    request: entities.RequestRow,
    lost_attempt: entities.AttemptRow,
) -> None:
    """Reconnects to a stream whose connection broke or stalled."""
    server = world.servers.get(lost_attempt.server_id)
    assert server is not None
    closing.close_attempt(world, lost_attempt.attempt_id)
    relay = ""
    if paths.is_lost(server):
        relay = paths.choose_relay(world, server, request)
    attempt_id = world.next_attempt_id()
    attempt = entities.AttemptRow(
        attempt_id=attempt_id,
        request_id=request.request_id,
        server_id=lost_attempt.server_id,
        stamp=lost_attempt.stamp,
        stream_id=lost_attempt.stream_id,
        sent_at_ms=world.now_ms,
        last_progress_ms=world.now_ms,
        relay=relay,
    )
    _record_attempt(world, request, attempt)
    server.in_flight[attempt_id] = attempt
    world.emit(
        effects.Dispatch(
            request_id=request.request_id,
            attempt_id=attempt_id,
            server_id=lost_attempt.server_id,
            address=server.address,
            stamp=attempt.stamp,
            resume_stream=attempt.stream_id,
            after=request.next_frame - 1,
            fresh_connection=True,
            relay=relay,
        )
    )


def dispatch_queued(world: entities.World) -> None:
    """Dispatches queued requests while servers have room.

    The most urgent priority comes first, as at the engines: a short prompt of
    an urgent route need not wait behind long queued ones.
    """
    for target in sorted(world.targets_to_dispatch):
        _dispatch_held(world, target)
        for key, queue in target_queues.most_urgent_first(world, target):
            _dispatch_from_queue(world, queue, key)
    world.targets_to_dispatch.clear()


def expire_queued(world: entities.World) -> None:
    """Refuses queued requests that can no longer be served in time."""
    for target, by_key in world.queues.items():
        world.targets_to_dispatch.add(target)
        _expire_held(world, target)
        for key, queue in by_key.items():
            for request_id in queue.request_ids():
                request = world.requests[request_id]
                if crashes.is_quarantined(world, request):
                    refusing.refuse_quarantined(world, request)
                    continue
                if _is_rest_too_long(world, request):
                    refusing.refuse_no_server(world, request)
                    continue
                is_due = request.answer_start_deadline_ms <= world.now_ms
                if not is_due and not urgency.is_hopeless(world, request):
                    continue
                queued_ahead = target_queues.ahead(world, target, key)
                wait_ms = dispatch_pacing.slots_wait_ms(
                    world, target, queued_ahead
                )
                refusing.refuse_late(world, request, wait_ms)


def _expire_held(world: entities.World, target: str) -> None:
    """Refuses requests that were held for memory until their deadline."""
    for held in memory_queue.in_order(world, target):
        request = world.requests[held.request_id]
        if request.answer_start_deadline_ms <= world.now_ms:
            wait_ms = world.residences[target].long_ms
            refusing.refuse_late(world, request, wait_ms)


def _is_rest_too_long(
    world: entities.World, request: entities.RequestRow
) -> bool:
    """Returns whether a rest that a request waits for was extended too far."""
    return request.awaits_rest_end and resting.is_rest_too_long(world, request)


def _dispatch_held(world: entities.World, target: str) -> None:
    """Dispatches requests held for memory that fit on an engine now."""
    for held in memory_queue.in_order(world, target):
        request = world.requests[held.request_id]
        if crashes.is_quarantined(world, request):
            refusing.refuse_quarantined(world, request)
            continue
        memory_queue.reserve_if_due(world, request)
        choice = placing.choose(world, request)
        if choice is None or _must_wait(world, request, choice):
            continue
        if choice.memory_wait_ms and not memory_queue.must_send(world, request):
            continue
        if _is_too_late(world, request, choice):
            refusing.refuse_late(world, request, choice.wait_ms)
            continue
        memory_queue.forget(world, request)
        dispatch(world, request, choice)


def _must_wait(
    world: entities.World, request: entities.RequestRow, choice: placing.Choice
) -> bool:
    return choice.wait_ms > uneven.hold_ms(world, request.work.target)


def _is_too_late(
    world: entities.World, request: entities.RequestRow, choice: placing.Choice
) -> bool:
    left_ms = request.answer_start_deadline_ms - world.now_ms
    return choice.first_token_ms > left_ms


def _dispatch_from_queue(
    world: entities.World,
    queue: urgency_queue.RequestQueue,
    key: queue_keys.QueueKey,
) -> None:
    while len(queue):
        queued = queue.heads(world.now_ms)[0]
        request = world.requests[queued.request_id]
        if crashes.is_quarantined(world, request):
            refusing.refuse_quarantined(world, request)
            continue
        choice = placing.choose(world, request)
        if choice is None or _must_wait(world, request, choice):
            return
        if _is_too_late(world, request, choice):
            refusing.refuse_late(world, request, choice.wait_ms)
            continue
        queue.dequeue(queued.request_id)
        dispatch_pacing.record_dispatch(
            world,
            request.work.target,
            key,
            remaining=len(queue),
            updates_interval=not (
                request.awaits_rest_end or choice.memory_wait_ms
            ),
        )
        request.awaits_rest_end = False
        if choice.memory_wait_ms:
            _hold(world, request, choice)
        else:
            dispatch(world, request, choice)


def _record_attempt(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    server = world.servers[attempt.server_id]
    attempt.incarnation_id = crashes.incarnation_id(
        world, server, attempt.stamp
    )
    request.phase = entities.Phase.RUNNING
    request.open_attempts[attempt.attempt_id] = attempt
    request.last_attempt = attempt
    request.relay = attempt.relay
    request.attempts += 1
    # Undone if the server turns out not to have run the request.
    request.possible_runs += 1
    quotas.record_dispatch(world, request)
    world.attempts[attempt.attempt_id] = attempt


def is_in_time(
    world: entities.World,
    request: entities.RequestRow,
    choice: placing.Choice,
    queue_wait_ms: float = 0.0,
) -> bool:
    """Returns whether a request is expected to meet its deadline."""
    expected_ms = choice.first_token_ms + queue_wait_ms
    left_ms = request.answer_start_deadline_ms - world.now_ms
    return expected_ms <= left_ms * world.policy.deadline_part


def _meets_deadline(
    world: entities.World,
    request: entities.RequestRow,
    choice: placing.Choice,
    queue_wait_ms: float,
) -> bool:
    """Refuses a request that is expected to miss its deadline.

    Work that misses its deadline displaces work that would meet it, until in
    an overload every request is late.

    Returns:
        Whether the request is expected to be in time.
    """
    if is_in_time(world, request, choice, queue_wait_ms):
        return True
    expected_ms = choice.first_token_ms + queue_wait_ms
    left_ms = request.answer_start_deadline_ms - world.now_ms
    free_in_ms = expected_ms - left_ms
    if urgency.is_ordered(world):
        free_in_ms = choice.wait_ms + queue_wait_ms
    refusing.refuse_unassigned(
        world,
        request,
        effects.Reason.DEADLINE,
        f"would begin in {expected_ms:.0f} ms, its limit is {left_ms} ms",
        return_times.capacity_ms(world, request, free_in_ms),
    )
    return False


def _queue_limit(world: entities.World, request: entities.RequestRow) -> int:
    free_places = world.policy.queue_total - world.queued_count()
    model_row = world.table.models.get(request.work.target)
    if model_row is None:
        return free_places
    return min(free_places, model_row.max_queue)


def _stamp(
    request: entities.RequestRow, server: entities.ServerRow
) -> work.Stamp | None:
    if request.work.kind is work.WorkKind.PLAIN:
        return None
    return work.Stamp(
        workspace=request.workspace,
        target=request.work.target,
        weights_version=server.weights_version,
        incarnation=server.incarnation,
    )


__all__ = [
    "dispatch",
    "dispatch_queued",
    "dispatch_unqueued",
    "expire_queued",
    "is_in_time",
    "place",
    "resume",
]
