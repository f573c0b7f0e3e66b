"""Chooses a server, and where it gets cached state that it lacks.

Load pattern: prompts of ten thousand shared tokens, of more documents than
the engines' memory holds, from several daemons. Computing such a part anew
takes 85 ms of an engine; copying it from another takes 11 to 22 ms of a link,
and from a store 32 to 64. So a request goes to where it waits least, and what
is missing there is copied from whoever holds it.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from godwittack.core import (
    backlog,
    candidates,
    holding,
    pace,
    routing,
    weights,
)

if TYPE_CHECKING:
    from godwittack.core import entities

# Time of computing that a copy must save; a source that lost it costs 1 ms.
COPY_MS = 3.5
# Costs of a token as parts of the time that computing it takes; a larger model
# takes longer for a token, and its cached state of it is larger as well.
# Copying it over an engine's link (18 KB over 180 Gbit/s where it takes 7 us,
# 164 KB over 740 where it takes 15) and over a store's. Between failure domains
# a copy takes twice as long.
ENGINE_COPY_PART = 0.117
STORE_COPY_PART = 0.34
FAR_FACTOR = 2.0
# Cost of a copied token whose source has surely lost it.
EVICTED_PART = 0.91
# What else a copied token costs: the memory that it takes from what another
# server's cache holds.
COPY_PRESSURE_PART = 0.07
# Time after its last use in which an engine under load has evicted a prompt:
# 185,000 tokens of memory at some 60,000 tokens computed a second.
EVICTED_AFTER_MS = 3_000
# What a shared token that is computed again costs beside its time.
REREAD_US = 40.0
# Advantage of the server that a prompt hashes to, where nobody holds any of
# it: several daemons then bring it to one place.
HOME_MS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Where cached levels can be copied from.

    Attributes:
        tokens: Leading tokens that it has by now.
        us_per_token: Cost of copying one to its own failure domain.
        doubt_us: Cost of each for the doubt whether it still has them.
    """

    server: entities.ServerRow
    tokens: int
    us_per_token: float
    doubt_us: float = 0.0

    def cost_us(self, server: entities.ServerRow) -> float:
        """Returns the cost of a token copied to `server`."""
        return self.us_per_token * _far(server, self.server) + self.doubt_us


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Placed:
    """One server scored for one request.

    Attributes:
        wait_ms: Estimated wait before its prompt is begun.
        fetch_from: Address that cached levels are copied from, or "".
        uncached_tokens: Tokens that it will have to compute.
        first_token_ms: Estimated time to the first token.
        cost: What is minimized, in milliseconds.
    """

    server: entities.ServerRow
    wait_ms: float
    fetch_from: str
    uncached_tokens: float
    first_token_ms: float
    cost: float


def choose(
    world: entities.World,
    request: entities.RequestRow,
    usable: list[entities.ServerRow],
) -> Placed:
    """Returns the best of the usable servers."""
    held = {
        server.server_id: holding.held_tokens(
            server, request, server.weights_version
        )
        for server in _holders(world, request)
    }
    # The same for all servers with one version of weights.
    sources = {
        version: _sources(world, request, version)
        for version in {server.weights_version for server in usable}
    }
    home = candidates.home(request, usable)
    rank = routing.priority(world, request)
    drawn = candidates.choose(world, request, usable, held=held, home=home)
    placed = [
        _score(
            world,
            request,
            server,
            own=held.get(server.server_id, 0),
            sources=sources[server.weights_version],
            rank=rank,
            is_home=server.server_id == home,
        )
        for server in drawn
    ]
    best = min(placed, key=lambda p: (p.cost, p.server.server_id))
    if best.fetch_from:
        return best
    of_version = sources[best.server.weights_version]
    spare = _spare_source(world, request, best.server, of_version)
    return dataclasses.replace(best, fetch_from=spare)


def _spare_source(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
    sources: list[Source],
) -> str:
    """Returns the address of a source for what a server may have lost.

    What a server is believed to hold may have been evicted a moment ago. A
    source that is named costs nothing while the server still has it, and 1 ms
    where the source has lost it as well; without one, all is computed again.
    """
    found = max(
        (source for source in sources if source.server is not server),
        key=lambda source: (source.tokens, -source.cost_us(server)),
        default=None,
    )
    if found is not None and found.tokens >= _least_copy(world, server):
        return found.server.address
    return _any_store(world, request, server)


def _any_store(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
) -> str:
    """Returns a store that may hold a prompt although nothing here says so.

    A daemon that is cut off from the others hears neither of what they saved
    nor of evictions. Asked in vain, a store costs 1 ms.
    """
    shared = sum(level.tokens for level in request.work.levels[:-1])
    if shared < _least_copy(world, server):
        return ""
    store = holding.home_store(world, request)
    return store.address if store is not None else ""


def _holders(
    world: entities.World, request: entities.RequestRow
) -> list[entities.ServerRow]:
    """Returns servers that copies may come from."""
    return [
        server
        for server in world.servers_by_target[request.work.target].values()
        if server.ejected_until_ms <= world.now_ms
    ]


def _score(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
    *,
    own: int,
    sources: list[Source],
    rank: int,
    is_home: bool,
) -> Placed:
    wait = backlog.queue_ms(world, server, rank)
    source = _best_source(world, server, sources, own)
    known = source.tokens if source else own
    us_per_token = pace.us_per_token(world, server)
    prompt = request.work.prompt_tokens
    compute_ms = (prompt - known) * us_per_token / 1000
    copied = known - own
    copy_ms = copied * source.cost_us(server) / 1000 if source else 0.0
    shared = sum(level.tokens for level in request.work.levels[:-1])
    reread_ms = max(0, shared - known) * REREAD_US / 1000
    first_token_ms = wait + compute_ms + copy_ms
    pressure_ms = copied * us_per_token * COPY_PRESSURE_PART / 1000
    cost = first_token_ms + reread_ms + pressure_ms
    cost += weights.outdated_cost_ms(world, server)
    if is_home and known < max(shared, 1):
        cost -= HOME_MS
    return Placed(
        server=server,
        wait_ms=wait,
        fetch_from=source.server.address if source else "",
        uncached_tokens=float(prompt - known),
        first_token_ms=first_token_ms,
        cost=cost,
    )


def _best_source(
    world: entities.World,
    server: entities.ServerRow,
    sources: list[Source],
    own: int,
) -> Source | None:
    """Returns the source that saves the most time, None if none does."""
    best: Source | None = None
    best_saved = 0.0
    least = _least_copy(world, server)
    compute_us = pace.us_per_token(world, server) + REREAD_US
    for source in sources:
        gain = source.tokens - own
        if gain < least or source.server is server:
            continue
        saved = gain * (compute_us - source.cost_us(server))
        if saved > best_saved:
            best, best_saved = source, saved
    return best


def _sources(
    world: entities.World, request: entities.RequestRow, version: str
) -> list[Source]:
    """Returns engines with these weights, and stores, that have any of it."""
    found: list[Source] = []
    for engine in _holders(world, request):
        if engine.weights_version != version:
            continue
        tokens = _ready_tokens(world, request, engine, version)
        if tokens:
            us_per_token = pace.us_per_token(world, engine)
            doubt = _doubt(world, request, engine, version)
            found.append(
                Source(
                    engine,
                    tokens,
                    us_per_token * ENGINE_COPY_PART,
                    us_per_token * EVICTED_PART * doubt,
                )
            )
    engines_us = _engines_us(world, request)
    for store in holding.stores(world):
        tokens = _ready_tokens(world, request, store, version)
        if tokens:
            found.append(Source(store, tokens, engines_us * STORE_COPY_PART))
    return found


def _ready_tokens(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
    version: str,
) -> int:
    """Returns the leading tokens that could be copied at this moment."""
    return holding.held_tokens(
        server, request, version, ready_by_ms=world.now_ms
    )


def _engines_us(world: entities.World, request: entities.RequestRow) -> float:
    """Returns the time that a token takes on the engines of a request."""
    learnt = world.paces[request.work.target].us_per_token
    return learnt or float(world.policy.prefill_us_per_token)


def _least_copy(world: entities.World, server: entities.ServerRow) -> float:
    """Returns the tokens that a copy must save at least."""
    return COPY_MS * 1000 / pace.us_per_token(world, server)


def _doubt(
    world: entities.World,
    request: entities.RequestRow,
    other: entities.ServerRow,
    version: str,
) -> float:
    """Returns the doubt whether an engine still holds a prompt, 0 to 1.

    Engines evict within seconds under load. A copy that is not there any more
    is computed anew; a store, which holds far more, would have had it.
    """
    # Small levels are not told, so that only larger ones say when it was.
    seen_ms = next(
        seen_ms
        for level in request.work.levels
        if (seen_ms := other.cache.seen_ms(holding.version_key(level, version)))
        is not None
    )
    return min(1.0, max(0, world.now_ms - seen_ms) / EVICTED_AFTER_MS)


def _far(one: entities.ServerRow, other: entities.ServerRow) -> float:
    return 1.0 if one.failure_domain == other.failure_domain else FAR_FACTOR


__all__ = [
    "Placed",
    "Source",
    "choose",
]
