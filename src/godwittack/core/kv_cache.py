"""Chooses the scope of cached state, and what is saved to a store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import cached_state, prefill_cost
from godwittack.placement import levels

if TYPE_CHECKING:
    from godwittack.core import entities
    from godwittack.table import model

# Compute time from which saving levels to a store is worth the transfer.
SAVE_MIN_COMPUTE_MS = 7.0
# Time to transfer 13,000 tokens to a store in another failure domain, after
# waiting for one other transfer.
TRANSFER_MS = 130


def scope(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
) -> str:
    """Returns the scope within which an engine may share cached state.

    A store discards nothing when weights change, and engines check neither the
    workspace nor the version of the state that they fetch. Without the version
    in the scope, an answer could be computed from state of older weights;
    without the owner, an isolated workspace would share state with others.
    """
    forwarding = world.table.forwarding
    if forwarding is None:
        return ""
    owner = forwarding.cache_owner(request.workspace)
    return f"v{server.weights_version}/{owner}"


def log_group_change(world: entities.World, table: model.Table) -> None:
    """Logs that workspaces leave their shared cached state behind."""
    if world.table.forwarding is None or table.forwarding is None:
        return
    before = world.table.forwarding.shared_owner
    after = table.forwarding.shared_owner
    if before != after:
        world.event(
            "cache_group_changed",
            group=after,
            before=before,
            isolated=len(table.forwarding.isolated),
        )


def plan_save(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
    *,
    ready_in_ms: float,
) -> str:
    """Returns the address of the store to save shared levels to, or "".

    Records the levels as cached there. Levels that the store has already are
    not saved again: its link carries one transfer at a time, and under load
    saves take more of its capacity than fetches.

    Args:
        world: The tables.
        request: The request with the prompt.
        server: The server that computes the prompt.
        ready_in_ms: Estimated time until the prompt is computed.
    """
    version = server.weights_version
    shared_tokens = sum(level.tokens for level in request.work.levels[:-1])
    if (
        shared_tokens * prefill_cost.us_per_token(world, server)
        < SAVE_MIN_COMPUTE_MS * 1000
    ):
        return ""
    store = cached_state.home_store(world, request)
    if store is None:
        return ""
    if cached_state.cached_tokens(store, request, version) >= shared_tokens:
        return ""
    for level in request.work.levels[:-1]:
        store.cache.record(
            levels.key_for_weights(level.key, version),
            cached_at_ms=round(world.now_ms + ready_in_ms + TRANSFER_MS),
            max_keys=world.policy.max_residency,
        )
    return store.address


__all__ = ["log_group_change", "plan_save", "scope"]
