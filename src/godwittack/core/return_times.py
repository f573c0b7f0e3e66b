"""Computes when refused callers are told to return."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import dispatch_pacing, target_queues, urgency
from godwittack.limit import reservations

if TYPE_CHECKING:
    from godwittack.core import entities

MIN_RETRY_MS = 100
MAX_RETRY_MS = 60_000
# Callers cut a longer `Retry-After` to this part of the time they have left.
HONOURED_PART = 1 / 3


def honoured_ms(world: entities.World, request: entities.RequestRow) -> int:
    """Returns the longest time that a caller waits before it returns."""
    ends_ms = max(request.timeout_at_ms, request.deadline_at_ms)
    left_ms = max(0, ends_ms - world.now_ms)
    return round(left_ms * HONOURED_PART) or MAX_RETRY_MS


def capacity_ms(
    world: entities.World, request: entities.RequestRow, wait_ms: float
) -> int:
    """Returns after which time a caller is to return that was refused.

    Args:
        world: Tables.
        request: The refused request.
        wait_ms: Estimated time until servers have free capacity.
    """
    if not urgency.is_ordered(world):
        return _clamp(wait_ms)
    target = request.work.target
    reserved = world.reservations.setdefault(
        (target, request.workspace), reservations.Reservations()
    )
    key = target_queues.key_of(world, request)
    takes_ms = max(
        dispatch_pacing.slots_wait_ms(world, target, 1),
        dispatch_pacing.wait_ms(world, target, key, ahead=1),
    )
    return _clamp(
        reserved.reserve(
            now_ms=world.now_ms,
            wait_ms=max(wait_ms, MIN_RETRY_MS),
            takes_ms=takes_ms,
            max_wait_ms=honoured_ms(world, request),
        )
    )


def _clamp(wait_ms: float) -> int:
    return int(min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms)))


__all__ = ["capacity_ms", "honoured_ms"]
