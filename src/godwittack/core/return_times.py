"""Computes when refused callers are told to return."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.core import entities

MAX_RETRY_MS = 60_000
# Callers cut a longer `Retry-After` to this part of the time they have left.
HONOURED_PART = 1 / 3


def honoured_ms(world: entities.World, request: entities.RequestRow) -> int:
    """Returns the longest time that a caller waits before it returns."""
    ends_ms = max(request.timeout_at_ms, request.deadline_at_ms)
    left_ms = max(0, ends_ms - world.now_ms)
    return round(left_ms * HONOURED_PART) or MAX_RETRY_MS


__all__ = ["honoured_ms"]
