"""Decides who is refused while more is asked than can be served in time.

Load pattern: one workspace sends several times its usual load for some
seconds, and the queue grows past what is served before its requests'
deadlines. The requests that are refused then are those of the workspace that
exceeds its share the most, as soon as it is known that they would be late.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import (
    dispatch_pacing,
    effects,
    refusing,
    return_times,
    target_queues,
    urgency,
)
from godwittack.limit import urgency_queue

if TYPE_CHECKING:
    from godwittack.core import entities


def cost(request: entities.RequestRow) -> float:
    """Returns the work of a request, in tokens."""
    return float(request.work.prompt_tokens + request.work.max_tokens + 1)


def refuse_excess(
    world: entities.World,
    request: entities.RequestRow,
    queue: urgency_queue.RequestQueue,
    *,
    ahead: int,
) -> bool:
    """Refuses the least deserving request if it would miss its deadline.

    Args:
        world: Tables.
        request: The arriving request.
        queue: Queue that it belongs to.
        ahead: Number of queued requests that are at least as urgent.

    Returns:
        Whether that is the arriving request itself.
    """
    excess = _least_deserving(world, request, queue)
    if excess is None:
        return False
    wait_ms = max(
        dispatch_pacing.slots_wait_ms(world, request.work.target, ahead),
        dispatch_pacing.wait_ms(
            world,
            request.work.target,
            target_queues.key_of(world, request),
            ahead=len(queue),
        ),
    )
    left_ms = excess.answer_start_deadline_ms - world.now_ms
    begins_ms = wait_ms + urgency.least_ms(world, excess)
    if begins_ms <= left_ms * world.policy.deadline_part:
        return False
    if excess is not request:
        _log_displaced(world, excess, request)
    refusing.refuse_unassigned(
        world,
        excess,
        effects.Reason.DEADLINE,
        f"workspace {excess.workspace} sends more than its share, and"
        f" {wait_ms:.0f} ms of work wait before it",
        return_times.capacity_ms(world, excess, wait_ms),
    )
    return excess is request


def displace(
    world: entities.World,
    request: entities.RequestRow,
    queue: urgency_queue.RequestQueue,
) -> bool:
    """Refuses a less deserving request, so that a full queue takes another.

    Returns:
        Whether there was one.
    """
    excess = _least_deserving(world, request, queue)
    if excess is None or excess is request:
        return False
    _log_displaced(world, excess, request)
    refusing.refuse_unassigned(
        world,
        excess,
        effects.Reason.QUEUE_FULL,
        f"the queue is full, and workspace {excess.workspace} has the most"
        " requests beyond its share in it",
        return_times.capacity_ms(world, excess, 0.0),
    )
    return True


def _least_deserving(
    world: entities.World,
    request: entities.RequestRow,
    queue: urgency_queue.RequestQueue,
) -> entities.RequestRow | None:
    """Returns which request to refuse; None if the order of arrival counts."""
    if not isinstance(queue, urgency_queue.UrgencyQueue) or not len(queue):
        return None
    weight = urgency.fleet_weight(world, request.workspace)
    arriving = urgency_queue.UrgentRequest(
        request.request_id,
        request.workspace,
        cost(request) / weight,
        urgency.times(world, request),
    )
    worst = queue.least_deserving(arriving, world.now_ms)
    if worst is arriving:
        return request
    queued = world.requests[worst.request_id]
    # Its caller would get an error without knowing whether it has run.
    return None if queued.may_have_run else queued


def _log_displaced(
    world: entities.World,
    excess: entities.RequestRow,
    arriving: entities.RequestRow,
) -> None:
    world.event(
        "displaced",
        excess.request_id,
        workspace=excess.workspace,
        target=excess.work.target,
        arriving=arriving.request_id,
        arriving_workspace=arriving.workspace,
        waited_ms=world.now_ms - excess.arrived_at_ms,
    )


__all__ = ["cost", "displace", "refuse_excess"]
