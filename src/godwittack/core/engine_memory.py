"""Estimates the memory of engines that running requests occupy."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.core import entities


def wait_ms(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
) -> float:
    """Returns the time until a request fits into a server's memory.

    It is 0 if the memory is free or not known.
    """
    del world, request, server
    return 0.0


__all__ = ["wait_ms"]
