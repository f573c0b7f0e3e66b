"""Tells which servers and stores hold how much of a prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.placement import levels, rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

    from godwittack.core import entities, work

# Target under which stores of cached state are kept in the server tables.
STORE_TARGET = "kv-store"


def held_tokens(
    server: entities.ServerRow,
    request: entities.RequestRow,
    version: str,
    *,
    ready_by_ms: int | None = None,
) -> int:
    """Returns the leading tokens that a server is believed to hold.

    Engines reuse a prompt's levels without gaps only. Of small ones nobody
    tells; one before a level that is held was needed for it.

    Args:
        server: The server.
        request: Whose prompt it is.
        version: Weights by which the levels were computed.
        ready_by_ms: Time by which they must be there; None counts those as
            well that are still being computed.
    """
    total = untold = 0
    for level in request.work.levels:
        key = version_key(level, version)
        seen_ms = server.cache.seen_ms(key)
        if seen_ms is None and level.tokens < levels.SMALL_TOKENS:
            untold += level.tokens
            continue
        if seen_ms is None:
            break
        if ready_by_ms is not None and seen_ms > ready_by_ms:
            break
        stored = server.cache.tokens(key, whole=level.tokens)
        total += untold + stored
        untold = 0
        if stored < level.tokens:
            break
    return total


def home_store(
    world: entities.World, request: entities.RequestRow
) -> entities.ServerRow | None:
    """Returns the store that keeps a prompt's shared levels.

    Load pattern: more shared parts than one store holds. Saved to every store
    they evict each other from each, and each link carries all of them. One
    store a part, chosen by hash, is found by every daemon without news.
    """
    shared = request.work.levels[:-1]
    by_name = {store.server_id: store for store in stores(world)}
    if not shared or not by_name:
        return None
    names = tuple(sorted(by_name))
    return by_name[rendezvous.rank(shared[-1].key, names)[0]]


def stores(world: entities.World) -> Iterable[entities.ServerRow]:
    """Returns the stores of cached state that answer."""
    return (
        store
        for store in world.servers_by_target[STORE_TARGET].values()
        if store.draining_until_ms <= world.now_ms
    )


def version_key(level: work.Level, version: str) -> int:
    """Returns the key of a level as computed by a version of weights."""
    return levels.versioned(level.key, version)


__all__ = [
    "STORE_TARGET",
    "held_tokens",
    "home_store",
    "stores",
    "version_key",
]
