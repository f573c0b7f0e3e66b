"""Decides under which scope state is cached, and what a store is given."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import holding, pace
from godwittack.placement import levels

if TYPE_CHECKING:
    from godwittack.core import entities

# Time of computing from which a copy in a store is worth its transfer.
SAVE_MS = 7.0
# Time of a transfer of 13,000 tokens to a store in another failure domain,
# behind one other.
TRANSFER_MS = 130


def scope(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
) -> str:
    """Returns the text under which an engine may share what it caches.

    A store drops nothing when new weights come, and engines check neither
    workspace nor version of what they fetch. Without the version in the
    scope, an answer could be built on state of older weights; without the
    workspace, an isolated one would share its state with others.
    """
    forwarding = world.table.forwarding
    if forwarding is None:
        return ""
    owner = forwarding.cache_owner(request.workspace)
    return f"v{server.weights_version}/{owner}"


def save_to(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
    *,
    ready_in_ms: float,
) -> str:
    """Returns the store that should keep a prompt's shared levels, if any.

    One that has them already is not given them again: its link carries one
    transfer at a time, and under load saving takes more of it than fetching.

    Args:
        world: The tables.
        request: Whose prompt it is.
        server: Where the prompt is computed.
        ready_in_ms: Estimated time until it is.
    """
    version = server.weights_version
    shared = sum(level.tokens for level in request.work.levels[:-1])
    if shared * pace.us_per_token(world, server) < SAVE_MS * 1000:
        return ""
    store = holding.home_store(world, request)
    if store is None:
        return ""
    if holding.held_tokens(store, request, version) >= shared:
        return ""
    for level in request.work.levels[:-1]:
        store.cache.note(
            levels.versioned(level.key, version),
            now_ms=round(world.now_ms + ready_in_ms + TRANSFER_MS),
            limit=world.policy.max_residency,
        )
    return store.address


__all__ = ["save_to", "scope"]
