"""Selects the servers that are scored for a prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from godwittack.placement import rendezvous

if TYPE_CHECKING:
    from godwittack.core import entities

# Up to this many usable servers, all of them are scored.
SCORE_ALL_MAX_SERVERS = 8
# Random candidates, in addition to the home server and the cache holders.
RANDOM_CANDIDATES = 4


def choose(
    world: entities.World,
    request: entities.RequestRow,
    usable: list[entities.ServerRow],
    *,
    cached_tokens: dict[str, int],
    home_id: str,
) -> list[entities.ServerRow]:
    """Returns the home server, cache holders, and a few random servers.

    Load pattern: an engine comes back idle, and tens of daemons learn of it
    before they learn of each other's requests. If all of them scored it, all
    would choose it (Mitzenmacher, The power of two choices, 2001).

    Args:
        world: The tables.
        request: The request to place.
        usable: Servers that may get the request.
        cached_tokens: Prompt tokens that each server has cached, by server id.
        home_id: Home server of the prompt; empty for none.
    """
    if len(usable) <= SCORE_ALL_MAX_SERVERS:
        return usable
    seed = f"{request.request_id}/{world.now_ms}".encode()
    remaining_hash = xxhash.xxh3_64_intdigest(seed)
    chosen = {home_id}
    for _ in range(RANDOM_CANDIDATES):
        remaining_hash, index = divmod(remaining_hash, len(usable))
        chosen.add(usable[index].server_id)
    return with_holders(usable, chosen, cached_tokens)


def with_holders(
    usable: list[entities.ServerRow],
    chosen: set[str],
    cached_tokens: dict[str, int],
) -> list[entities.ServerRow]:
    """Returns the chosen servers and those that have some tokens cached."""
    return [
        server
        for server in usable
        if server.server_id in chosen or cached_tokens.get(server.server_id, 0)
    ]


def home_server(
    request: entities.RequestRow, usable: list[entities.ServerRow]
) -> str:
    """Returns the server on which a prompt's shared levels should be cached.

    It is chosen by the hash of the last shared level, since many prompts may
    begin with the same first one.
    """
    prompt_levels = request.work.levels
    if not prompt_levels:
        return ""
    names = tuple(sorted(server.server_id for server in usable))
    last_shared = prompt_levels[:-1] or prompt_levels
    return rendezvous.rank(last_shared[-1].key, names)[0]


__all__ = ["SCORE_ALL_MAX_SERVERS", "choose", "home_server", "with_holders"]
