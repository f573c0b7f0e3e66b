"""Chooses a server, and a source to copy the state that it has not cached.

Load pattern: several daemons send prompts with ten thousand shared tokens, of
more documents than fit into the engines' memory. Computing the shared tokens
again occupies an engine for 85 ms; copying them occupies a link for 11 to 22 ms
from another engine, and for 32 to 64 ms from a store. So a request is sent to
the server with the shortest wait, which copies the missing state from a server
or store that holds it.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from godwittack.core import (
    backlog,
    brittle,
    cached_state,
    candidates,
    engine_memory,
    length_routing,
    locality,
    pace,
    paths,
    prefill_cost,
    routing,
    uneven,
    weights,
)

if TYPE_CHECKING:
    from godwittack.core import entities

# Compute time that a copy must save to be worthwhile; a fetch from a source
# that no longer has the state costs 1 ms.
COPY_MIN_SAVED_MS = 3.5
# Cost of copying a token over an engine's or a store's link, relative to the
# time to compute it: a larger model takes longer to compute a token, and caches
# more state for it as well. An engine's link carries 18 KB per token at
# 180 Gbit/s where a token takes 7 us to compute, and 164 KB at 740 Gbit/s where
# it takes 15 us. Between failure domains a copy takes twice as long.
ENGINE_COPY_COST_RATIO = 0.117
STORE_COPY_COST_RATIO = 0.34
CROSS_DOMAIN_FACTOR = 2.0
# Relative cost of copying a token that the source has certainly evicted.
EVICTED_COST_RATIO = 0.91
# Relative cost of the memory that a copied token occupies: it evicts other
# state from the cache of the server that it is copied to.
COPY_MEMORY_COST_RATIO = 0.07
# Cost of computing a shared token again, in addition to the compute time.
RECOMPUTE_EXTRA_US = 40.0
# Cost reduction for a prompt's home server while its shared levels are neither
# fully cached there nor worth copying in full, so that several daemons bring
# them to the same server.
HOME_BONUS_MS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """An engine or store from which cached levels can be copied.

    Attributes:
        server: The engine or store.
        tokens: Leading prompt tokens that it has cached by now.
        us_per_token: Cost of copying a token within its failure domain.
        eviction_risk_us: Cost per token of the risk that it has been evicted.
    """

    server: entities.ServerRow
    tokens: int
    us_per_token: float
    eviction_risk_us: float = 0.0

    def cost_us(self, server: entities.ServerRow) -> float:
        """Returns the cost of copying a token to `server`, in microseconds."""
        return (
            self.us_per_token * _distance_factor(server, self.server)
            + self.eviction_risk_us
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """One server scored for one request.

    Attributes:
        server: The server.
        wait_ms: Estimated wait before the server begins the prompt.
        fetch_from: Address that cached levels are copied from, or "".
        uncached_tokens: Tokens that the server will have to compute.
        first_token_ms: Estimated time to the first token.
        cost: Cost in milliseconds; the server with the lowest one is used.
        memory_wait_ms: Estimated time until the request fits into the memory
            of any server; 0 if it is not held until then.
    """

    server: entities.ServerRow
    wait_ms: float
    fetch_from: str
    uncached_tokens: float
    first_token_ms: float
    cost: float
    memory_wait_ms: float = 0.0


def choose(
    world: entities.World,
    request: entities.RequestRow,
    usable: list[entities.ServerRow],
) -> Placement:
    """Returns the best of the usable servers."""
    usable = length_routing.select(world, request, usable)
    cached_tokens = {
        server.server_id: cached_state.cached_tokens(
            server, request, server.weights_version
        )
        for server in _possible_holders(world, request)
    }
    # All servers with the same version of weights share their sources.
    sources = {
        version: _sources(world, request, version)
        for version in {server.weights_version for server in usable}
    }
    is_uneven = uneven.is_uneven(world, request.work.target)
    choose_candidates = candidates.choose
    holders = cached_tokens
    if is_uneven:
        holders = _worthwhile(world, request, cached_tokens)
        choose_candidates = locality.candidates
    with_room = usable
    if engine_memory.is_enabled(world, request.work.target):
        with_room = engine_memory.with_room(world, request, usable)
    home_id = candidates.home_server(request, usable)
    priority = routing.priority(world, request)
    selected = choose_candidates(
        world,
        request,
        with_room or engine_memory.not_kept(request, usable),
        cached_tokens=holders,
        home_id=home_id,
    )
    placements = [
        _score(
            world,
            request,
            server,
            own_tokens=cached_tokens.get(server.server_id, 0),
            sources=sources[server.weights_version],
            priority=priority,
            is_home=server.server_id == home_id,
        )
        for server in selected
    ]
    best = min(placements, key=lambda p: (p.cost, p.server.server_id))
    if not with_room and engine_memory.is_held(world, request, best.server):
        best = dataclasses.replace(
            best,
            memory_wait_ms=engine_memory.wait_ms(world, request, best.server),
        )
    if best.fetch_from:
        return best
    same_weights = sources[best.server.weights_version]
    fallback = _fallback_source(world, request, best.server, same_weights)
    return dataclasses.replace(best, fetch_from=fallback)


def _worthwhile(
    world: entities.World,
    request: entities.RequestRow,
    cached_tokens: dict[str, int],
) -> dict[str, int]:
    """Returns the servers that save enough computing to be looked for.

    Load pattern: all engines have cached the opening of short prompts, and all
    daemons know their loads. If all were scored, all daemons would send short
    prompts, which are not announced, to the same engine until the next update.
    """
    us_per_token = _engines_us_per_token(world, request)
    min_tokens = COPY_MIN_SAVED_MS * 1000 / us_per_token
    return {
        server_id: tokens
        for server_id, tokens in cached_tokens.items()
        if tokens >= min_tokens
    }


def _fallback_source(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
    sources: list[Source],
) -> str:
    """Returns the address of a source for what a server may have evicted.

    State that a server is believed to have cached may have been evicted a
    moment ago. Naming a source costs nothing while the server still has the
    state, and 1 ms if the source has evicted it as well; without a source, all
    of it is computed again.
    """
    source_with_most = max(
        (source for source in sources if source.server is not server),
        key=lambda source: (source.tokens, -source.cost_us(server)),
        default=None,
    )
    if (
        source_with_most is not None
        and source_with_most.tokens >= _min_copy_tokens(world, server)
    ):
        return source_with_most.server.address
    return _fallback_store(world, request, server)


def _fallback_store(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
) -> str:
    """Returns a store that may hold a prompt without this daemon knowing it.

    A daemon that is cut off from the others learns neither what they saved nor
    what was evicted. A fetch from a store without the prompt costs 1 ms.
    """
    shared_tokens = sum(level.tokens for level in request.work.levels[:-1])
    if shared_tokens < _min_copy_tokens(world, server):
        return ""
    store = cached_state.home_store(world, request)
    return store.address if store is not None else ""


def _possible_holders(
    world: entities.World, request: entities.RequestRow
) -> list[entities.ServerRow]:
    """Returns servers of the request's target that copies may come from."""
    return [
        server
        for server in world.servers_by_target[request.work.target].values()
        # Servers copy from each other, whatever this daemon reaches.
        if server.ejected_until_ms <= world.now_ms
        or paths.is_alive_elsewhere(server)
    ]


def _score(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
    *,
    own_tokens: int,
    sources: list[Source],
    priority: int,
    is_home: bool,
) -> Placement:
    wait_ms = backlog.queue_ms(world, server, priority)
    source = _best_source(world, server, sources, own_tokens)
    reused_tokens = source.tokens if source else own_tokens
    us_per_token = prefill_cost.us_per_token(world, server)
    prompt_tokens = request.work.prompt_tokens
    compute_ms = pace.prompt_ms(
        world,
        server,
        new_tokens=prompt_tokens - reused_tokens,
        cached_tokens=reused_tokens,
    )
    copied_tokens = reused_tokens - own_tokens
    copy_ms = copied_tokens * source.cost_us(server) / 1000 if source else 0.0
    shared_tokens = sum(level.tokens for level in request.work.levels[:-1])
    recompute_extra_ms = (
        max(0, shared_tokens - reused_tokens) * RECOMPUTE_EXTRA_US / 1000
    )
    first_token_ms = wait_ms + compute_ms + copy_ms
    memory_cost_ms = (
        copied_tokens * us_per_token * COPY_MEMORY_COST_RATIO / 1000
    )
    cost = first_token_ms + recompute_extra_ms + memory_cost_ms
    cost += weights.outdated_cost_ms(world, server)
    if paths.is_lost(server) or brittle.needs_holder(world, server):
        cost += paths.RELAY_COST_MS
    if is_home and reused_tokens < max(shared_tokens, 1):
        cost -= HOME_BONUS_MS
    if uneven.is_uneven(world, request.work.target):
        cost += _uneven_cost_ms(world, request, server, priority, wait_ms)
    return Placement(
        server=server,
        wait_ms=wait_ms,
        fetch_from=source.server.address if source else "",
        uncached_tokens=float(prompt_tokens - reused_tokens),
        first_token_ms=first_token_ms,
        cost=cost,
    )


def _uneven_cost_ms(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
    priority: int,
    queue_wait_ms: float,
) -> float:
    """Returns what the choice between uneven servers counts in addition.

    Args:
        world: The tables.
        request: The request to place.
        server: The server.
        priority: Priority of the request.
        queue_wait_ms: Estimated wait that its cost contains already.
    """
    return (
        backlog.placement_wait_ms(world, server, priority)
        - queue_wait_ms
        + engine_memory.wait_ms(world, request, server)
        + locality.cost_ms(world, request, server)
    )


def _best_source(
    world: entities.World,
    server: entities.ServerRow,
    sources: list[Source],
    own_tokens: int,
) -> Source | None:
    """Returns the source that saves the most time, or None if none does."""
    best: Source | None = None
    best_saved_us = 0.0
    min_tokens = _min_copy_tokens(world, server)
    us_per_token = prefill_cost.us_per_token(world, server)
    us_per_token *= pace.factor(world, server)
    compute_us = us_per_token + RECOMPUTE_EXTRA_US
    for source in sources:
        gained_tokens = source.tokens - own_tokens
        if gained_tokens < min_tokens or source.server is server:
            continue
        saved_us = gained_tokens * (compute_us - source.cost_us(server))
        if saved_us > best_saved_us:
            best, best_saved_us = source, saved_us
    return best


def _sources(
    world: entities.World, request: entities.RequestRow, version: str
) -> list[Source]:
    """Returns engines with these weights, and stores, that hold a prefix."""
    sources: list[Source] = []
    for engine in _possible_holders(world, request):
        if engine.weights_version != version:
            continue
        tokens = _copyable_tokens(world, request, engine, version)
        if tokens:
            us_per_token = prefill_cost.us_per_token(world, engine)
            copy_us = engine_memory.copy_us_per_token(
                world, engine, engine.target
            )
            eviction_probability = _eviction_probability(
                world, request, engine, version
            )
            sources.append(
                Source(
                    engine,
                    tokens,
                    us_per_token * ENGINE_COPY_COST_RATIO
                    if copy_us is None
                    else copy_us,
                    us_per_token * EVICTED_COST_RATIO * eviction_probability,
                )
            )
    engines_us_per_token = _engines_us_per_token(world, request)
    for store in cached_state.stores(world):
        tokens = _copyable_tokens(world, request, store, version)
        if tokens:
            copy_us = engine_memory.copy_us_per_token(
                world, store, request.work.target
            )
            if copy_us is None:
                copy_us = engines_us_per_token * STORE_COPY_COST_RATIO
            sources.append(Source(store, tokens, copy_us))
    return sources


def _copyable_tokens(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
    version: str,
) -> int:
    """Returns how many leading tokens can be copied from `server` now."""
    return cached_state.cached_tokens(
        server, request, version, ready_by_ms=world.now_ms
    )


def _engines_us_per_token(
    world: entities.World, request: entities.RequestRow
) -> float:
    """Returns the microseconds per prompt token of the target's engines."""
    estimate = world.prefill_costs[request.work.target]
    estimated = estimate.parts.mean_ms_per_token * 1000 or estimate.us_per_token
    return estimated or float(world.policy.prefill_us_per_token)


def _min_copy_tokens(
    world: entities.World, server: entities.ServerRow
) -> float:
    """Returns the minimum number of tokens that a copy must save."""
    return COPY_MIN_SAVED_MS * 1000 / prefill_cost.us_per_token(world, server)


def _eviction_probability(
    world: entities.World,
    request: entities.RequestRow,
    engine: entities.ServerRow,
    version: str,
) -> float:
    """Estimates the probability that an engine has evicted a prompt.

    Engines evict within seconds under load. State that can no longer be copied
    is computed again; a store, which has far more memory, would still have it.
    """
    # Small levels are not reported to peers, so the time of the first level
    # that has one is used.
    cached_at_ms = next(
        cached_at_ms
        for level in request.work.levels
        if (
            cached_at_ms := engine.cache.cached_at_ms(
                cached_state.level_key(level, version)
            )
        )
        is not None
    )
    age_ms = max(0, world.now_ms - cached_at_ms)
    return min(1.0, age_ms / engine_memory.evicted_after_ms(world, engine))


def _distance_factor(
    one: entities.ServerRow, other: entities.ServerRow
) -> float:
    return (
        1.0
        if one.failure_domain == other.failure_domain
        else CROSS_DOMAIN_FACTOR
    )


__all__ = [
    "Placement",
    "Source",
    "choose",
]
