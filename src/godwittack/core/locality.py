"""Prefers servers in this daemon's failure domain, and open connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import candidates as all_candidates

if TYPE_CHECKING:
    from godwittack.core import entities


def cost_ms(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
) -> float:
    """Returns what operators accept to wait for a nearer server."""
    del world, request, server
    return 0.0


def home_candidates(
    world: entities.World, usable: list[entities.ServerRow]
) -> list[entities.ServerRow]:
    """Returns the servers among which the home of a prompt is ranked."""
    del world
    return usable


def candidates(
    world: entities.World,
    request: entities.RequestRow,
    usable: list[entities.ServerRow],
    *,
    cached_tokens: dict[str, int],
    home_id: str,
) -> list[entities.ServerRow]:
    """Returns the servers that are scored for a prompt.

    Args:
        world: The tables.
        request: The request to place.
        usable: Servers that may get the request.
        cached_tokens: Prompt tokens that each server has cached, by server id.
        home_id: Home server of the prompt; empty for none.
    """
    return all_candidates.choose(
        world, request, usable, cached_tokens=cached_tokens, home_id=home_id
    )


__all__ = ["candidates", "cost_ms", "home_candidates"]
