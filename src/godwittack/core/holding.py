"""Sends routed requests on, holds them back here, or refuses them at once.

What waits at a server can't be put in order, moved or taken back for free; so
a server gets what it can begin soon, and the rest waits here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import (
    closing,
    dispatching,
    effects,
    entities,
    placing,
    routing,
    sourcing,
    work,
)
from godwittack.limit import timely

if TYPE_CHECKING:
    from collections.abc import Iterator

NO_SERVER_RETRY_MS = 500
# Bounds of the time after which a refused caller may come back.
LEAST_RETRY_MS = 100
MOST_RETRY_MS = 5_000
# Requests tried in one go: the first may wait for one busy server while the
# next ones' are free.
TRIED_AT_ONCE = 8
# Slots of a server that long prompts leave to short ones, which take a
# twentieth of the time.
SLOTS_LEFT = 3
# How much longer than the work itself an answer may take before it is late,
# for prompts so long that no server can be in time.
LONG_FACTOR = 1.5


def place(world: entities.World, request: entities.RequestRow) -> None:
    """Dispatches a request, holds it back, or refuses it at once."""
    choice = placing.choose(world, request)
    if choice is None:
        _refuse(
            world,
            request,
            effects.Reason.NO_SERVER,
            f"no backend server of {request.work.target} takes work now",
            NO_SERVER_RETRY_MS,
        )
        return
    if request.work.kind is work.WorkKind.PLAIN or request.begun:
        dispatching.dispatch(world, request, choice)
        return
    queue = _queue(world, request)
    waiting = _waiting(world, request, choice)
    first = queue.ahead_ms(waiting, now_ms=world.now_ms) == 0.0
    if first and _has_room(world, request, choice):
        dispatching.dispatch(world, request, choice)
        return
    if not _will_be_in_time(world, request, choice, queue, waiting):
        return
    request.phase = entities.Phase.QUEUED
    queue.push(waiting)
    world.event(
        "queued",
        request.request_id,
        target=request.work.target,
        wait_ms=round(choice.wait_ms),
        before=len(queue) - 1,
    )


def drain(world: entities.World, target: str) -> None:
    """Dispatches held-back requests of a target while there is room."""
    for queue in _queues(world, target):
        room = True
        while room and len(queue):
            room = _drain_once(world, queue)


def expire(world: entities.World) -> None:
    """Refuses held-back requests that can't be in time any more."""
    for (target, _), queue in world.timely.items():
        world.freed_targets.add(target)
        for request_id in queue.request_ids():
            request = world.requests[request_id]
            if request.deadline_at_ms <= world.now_ms:
                _refuse(
                    world,
                    request,
                    effects.Reason.DEADLINE,
                    "its turn did not come before the deadline",
                    LEAST_RETRY_MS,
                )


def _drain_once(world: entities.World, queue: timely.TimelyQueue) -> bool:
    """Dispatches the first that has room; returns whether one had."""
    ranked = queue.ranked(now_ms=world.now_ms)
    for waiting in ranked[:TRIED_AT_ONCE]:
        request = world.requests[waiting.request_id]
        choice = placing.choose(world, request)
        if choice is None:
            return False
        if _has_room(world, request, choice):
            queue.drop(waiting.request_id)
            dispatching.dispatch(world, request, choice)
            return True
    return False


def _has_room(
    world: entities.World,
    request: entities.RequestRow,
    choice: placing.Choice,
) -> bool:
    """Returns whether a server can begin a request soon."""
    server = choice.server
    slots = server.slots or world.policy.slots
    if request.work.prompt_tokens >= sourcing.LONG_TOKENS:
        slots -= SLOTS_LEFT
    if sourcing.in_flight(world, server) >= slots:
        return False
    return choice.wait_ms <= world.policy.hold_ms


def _will_be_in_time(
    world: entities.World,
    request: entities.RequestRow,
    choice: placing.Choice,
    queue: timely.TimelyQueue,
    waiting: timely.Waiting,
) -> bool:
    """Refuses at once what would only come too late.

    Work that misses its deadline takes the place of work that would not. The
    symptom is an overload in which everything is late.
    """
    servers = [
        server
        for server in world.servers_by_target[request.work.target].values()
        if placing.is_usable(world, server, request)
    ]
    ahead_ms = queue.ahead_ms(waiting, now_ms=world.now_ms)
    expected_ms = choice.first_token_ms
    expected_ms += ahead_ms * _sharers(world) / max(1, len(servers))
    left_ms = request.deadline_at_ms - world.now_ms
    if expected_ms <= left_ms * world.policy.deadline_part:
        return True
    _refuse(
        world,
        request,
        effects.Reason.DEADLINE,
        f"would begin in {expected_ms:.0f} ms, its limit is {left_ms} ms",
        expected_ms - left_ms * world.policy.deadline_part,
    )
    return False


def _sharers(world: entities.World) -> int:
    """Returns how many daemons hold requests for the same servers.

    Each sees its own queue alone; callers spread evenly over daemons.
    """
    return max(1, len(world.live_daemons))


def _waiting(
    world: entities.World,
    request: entities.RequestRow,
    choice: placing.Choice,
) -> timely.Waiting:
    route = request.work.route
    assert route is not None
    work_ms = choice.first_token_ms - choice.wait_ms
    aim_ms = max(route.aim_ms, work_ms * LONG_FACTOR)
    return timely.Waiting(
        request_id=request.request_id,
        workspace=request.workspace,
        aim_at_ms=request.arrived_at_ms + aim_ms,
        deadline_at_ms=float(request.deadline_at_ms),
        work_ms=work_ms,
    )


def _queue(
    world: entities.World, request: entities.RequestRow
) -> timely.TimelyQueue:
    """Returns the queue of a target and priority.

    Short questions and long prompts have priorities of their own: in one line,
    a question of 3 ms would wait behind prompts of 100.
    """
    key = (request.work.target, routing.priority(world, request))
    found = world.timely.get(key)
    if found is None:
        found = world.timely[key] = timely.TimelyQueue()
    return found


def _queues(world: entities.World, target: str) -> Iterator[timely.TimelyQueue]:
    """Yields a target's queues, the most urgent first."""
    for key in sorted(world.timely):
        if key[0] == target:
            yield world.timely[key]


def _refuse(
    world: entities.World,
    request: entities.RequestRow,
    reason: effects.Reason,
    detail: str,
    retry_after_ms: float,
) -> None:
    """Refuses a request; true to whether it may have run."""
    outcome, status = effects.Outcome.NOT_RUN, 503
    if request.sent:
        outcome, status = effects.Outcome.UNKNOWN, 502
    closing.refuse(
        world,
        request,
        status=status,
        outcome=outcome,
        reason=reason,
        detail=detail,
        retry_after_ms=int(
            min(MOST_RETRY_MS, max(LEAST_RETRY_MS, retry_after_ms))
        ),
    )


__all__ = ["drain", "expire", "place"]
