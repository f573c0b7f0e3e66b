"""Determines how much of a prompt each server or store has cached."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.placement import levels, rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

    from godwittack.core import entities, work

# Target name of the stores of cached state in the server tables.
STORE_TARGET = "kv-store"


def cached_tokens(
    server: entities.ServerRow,
    request: entities.RequestRow,
    version: str,
    *,
    ready_by_ms: int | None = None,
) -> int:
    """Returns how many leading tokens a server is believed to have cached.

    Engines reuse a prompt's levels only without gaps. Small levels are not
    reported; one that precedes a cached level is cached too, since computing
    that level required it.

    Args:
        server: The server.
        request: The request with the prompt.
        version: Version of the weights that the levels were computed with.
        ready_by_ms: Time by which they must be cached; None also counts levels
            that are still being computed.
    """
    total = unreported = 0
    for level in request.work.levels:
        key = level_key(level, version)
        cached_at_ms = server.cache.cached_at_ms(key)
        if cached_at_ms is None and level.tokens < levels.SMALL_LEVEL_TOKENS:
            unreported += level.tokens
            continue
        if cached_at_ms is None:
            break
        if ready_by_ms is not None and cached_at_ms > ready_by_ms:
            break
        stored = server.cache.stored_tokens(key, level_tokens=level.tokens)
        total += unreported + stored
        unreported = 0
        if stored < level.tokens:
            break
    return total


def home_store(
    world: entities.World, request: entities.RequestRow
) -> entities.ServerRow | None:
    """Returns the store that holds a prompt's shared levels.

    Load pattern: more shared levels than fit into one store. Saved to every
    store, they would evict each other everywhere, and each link would carry all
    of them. So they are saved to one store, chosen by hash, which every daemon
    finds without updates from its peers.
    """
    shared = request.work.levels[:-1]
    by_name = {store.server_id: store for store in stores(world)}
    if not shared or not by_name:
        return None
    names = tuple(sorted(by_name))
    return by_name[rendezvous.rank(shared[-1].key, names)[0]]


def stores(world: entities.World) -> Iterable[entities.ServerRow]:
    """Returns the stores in use; one that does not answer is draining."""
    return (
        store
        for store in world.servers_by_target[STORE_TARGET].values()
        if store.draining_until_ms <= world.now_ms
    )


def level_key(level: work.Level, version: str) -> int:
    """Returns the key of a level computed with a version of the weights."""
    return levels.key_for_weights(level.key, version)


__all__ = [
    "STORE_TARGET",
    "cached_tokens",
    "home_store",
    "level_key",
    "stores",
]
