"""Estimates how long work takes at each server of an uneven target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import prefill_cost

if TYPE_CHECKING:
    from godwittack.core import entities


def factor(world: entities.World, server: entities.ServerRow) -> float:
    """Returns how long work takes at a server, relative to its model."""
    del world, server
    return 1.0


def prompt_ms(
    world: entities.World,
    server: entities.ServerRow,
    *,
    new_tokens: float,
    cached_tokens: float,
) -> float:
    """Returns the time that a server takes to compute a prompt.

    Args:
        world: The tables.
        server: The server.
        new_tokens: Prompt tokens that it has to compute.
        cached_tokens: Prompt tokens before them that it has cached.
    """
    del cached_tokens
    return new_tokens * prefill_cost.us_per_token(world, server) / 1000


__all__ = ["factor", "prompt_ms"]
