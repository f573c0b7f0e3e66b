"""Chooses a backend server by estimated waiting time and cache reuse."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import xxhash

from godwittack.core import (
    availability,
    brittle,
    candidates,
    length_routing,
    locality,
    pace,
    paths,
    prefill_cost,
    rate_limits,
    sourcing,
    uneven,
    weights,
    work,
)
from godwittack.placement import rendezvous
from godwittack.table import model

if TYPE_CHECKING:
    from godwittack.core import entities

# Probability that a level is cached on a server where it was last seen longer
# than `hint_ms` ago, or on its home server if it was never seen there.
PRIOR_CACHED_PROBABILITY = 0.5
# Least-loaded servers scored in addition to the home servers and those that
# hold the prefix, as alternatives when all of these are busy.
LEAST_LOADED_CANDIDATES = 2
# Ratio of a prefix's share of the servers to its share of the traffic.
SPREAD_FACTOR = 1.2
# Extra tokens to compute, compared with the candidate that has the most cached,
# from which a choice is a cold placement and needs the spill budget.
SPILL_MIN_EXTRA_TOKENS = 500
# Prefix of the names of the cells that count a model's requests.
MODEL_CELL_PREFIX = "model/"


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """One server scored for one request.

    Attributes:
        server: The server.
        wait_ms: Estimated wait before the server begins the prompt.
        uncached_tokens: Prompt tokens that the server is expected to compute.
        first_token_ms: Estimated time to the first token.
        cost: Cost in milliseconds; the choice with the lowest one is used.
        fetch_from: Address to copy cached state from; empty for none.
        memory_wait_ms: Estimated time until the request fits into any engine's
            memory; 0 if it is not held until then.
    """

    server: entities.ServerRow
    wait_ms: float
    uncached_tokens: float
    first_token_ms: float
    cost: float
    fetch_from: str = ""
    memory_wait_ms: float = 0.0


def choose(
    world: entities.World,
    request: entities.RequestRow,
    *,
    tries_unknown_relays: bool = True,
) -> Choice | None:
    """Returns the best usable server, or None if no server is usable.

    Args:
        world: The tables.
        request: The request to place.
        tries_unknown_relays: Whether to try other daemons that may not reach
            a server either, if no server is known to be usable.
    """
    servers = world.servers_by_target[request.work.target].values()
    usable = [s for s in servers if is_usable(world, s, request)]
    if not usable and tries_unknown_relays:
        usable = [
            server
            for server in servers
            if is_usable(world, server, request, tries_unknown_relays=True)
        ]
    with_room = [s for s in usable if brittle.has_room(world, s)]
    if usable and not with_room:
        return _await_place(world, request, usable)
    usable = with_room
    if not usable:
        return None
    if request.work.kind is work.WorkKind.PLAIN:
        return _least_loaded(world, request, usable)
    if request.work.route is not None:
        return _choose_by_backlog(world, request, usable)
    homes = home_servers(world, request, usable)
    reuse_weight = _reuse_weight(world, request.work.target)
    waits = {server.server_id: wait_ms(world, server) for server in usable}
    scored = [
        _score(
            world,
            request,
            server,
            wait=waits[server.server_id],
            is_home=server.server_id in homes,
            reuse_weight=reuse_weight,
        )
        for server in _candidates(request, usable, homes, waits)
    ]
    return _cheapest_in_budget(world, scored)


def _await_place(
    world: entities.World,
    request: entities.RequestRow,
    usable: list[entities.ServerRow],
) -> Choice:
    """Returns a choice that lets a request wait for a place."""
    wait_ms = max(
        brittle.wait_ms(world, request.work.target),
        uneven.hold_ms(world, request.work.target) + 1.0,
    )
    return Choice(
        server=usable[0],
        wait_ms=wait_ms,
        uncached_tokens=0.0,
        first_token_ms=wait_ms,
        cost=wait_ms,
    )


def _choose_by_backlog(
    world: entities.World,
    request: entities.RequestRow,
    usable: list[entities.ServerRow],
) -> Choice:
    placement = sourcing.choose(world, request, usable)
    return Choice(
        server=placement.server,
        wait_ms=placement.wait_ms,
        uncached_tokens=placement.uncached_tokens,
        first_token_ms=placement.first_token_ms,
        cost=placement.cost,
        fetch_from=placement.fetch_from,
        memory_wait_ms=placement.memory_wait_ms,
    )


def _cheapest_in_budget(world: entities.World, scored: list[Choice]) -> Choice:
    """Returns the cheapest choice that the spill budget allows.

    A cold placement sends a request to an idle server instead of a busy one
    that has the prefix cached. The idle server computes the prefix and evicts
    another one, which will be computed again in turn. If each request minimized
    only its own cost, cold placements would cause more of them: in `bench
    policy` at 70% load the hit rate fell from 0.89 to 0.42 and every queue
    grew. The budget limits them to a small part of the requests; later requests
    reuse the copies of the prefix that they create.
    """
    best = min(scored, key=_sort_key)
    fewest_tokens = min(choice.uncached_tokens for choice in scored)
    extra_tokens = best.uncached_tokens - fewest_tokens
    if extra_tokens < SPILL_MIN_EXTRA_TOKENS or world.spill_budget.spend():
        return best
    warm = [
        c
        for c in scored
        if c.uncached_tokens - fewest_tokens < SPILL_MIN_EXTRA_TOKENS
    ]
    return min(warm, key=_sort_key)


def _sort_key(choice: Choice) -> tuple[float, str]:
    return (choice.cost, choice.server.server_id)


def is_usable(
    world: entities.World,
    server: entities.ServerRow,
    request: entities.RequestRow,
    *,
    tries_unknown_relays: bool = False,
) -> bool:
    """Returns whether new work may be sent to `server` now.

    Args:
        world: The tables.
        server: The server.
        request: The request to place.
        tries_unknown_relays: Whether to try other daemons that may not reach
            the server either.
    """
    if availability.is_resting(world, server):
        return False
    return is_in_service(
        world, server, request, tries_unknown_relays=tries_unknown_relays
    )


def is_in_service(
    world: entities.World,
    server: entities.ServerRow,
    request: entities.RequestRow,
    *,
    tries_unknown_relays: bool = False,
) -> bool:
    """Returns whether a server accepts new work, rest periods aside."""
    if server.leaving or server.server_id in request.excluded_servers:
        return False
    if request.has_attempt_at(server.server_id):
        return False
    if world.now_ms < server.draining_until_ms:
        return False
    if request.stream_version not in ("", server.software_version):
        return False
    if not _has_path(world, server, tries_unknown_relays=tries_unknown_relays):
        return False
    if not rate_limits.has_capacity(world, server):
        return False
    if weights.are_too_old(world, server) or weights.are_unknown(world, server):
        return False
    # Without a load report the engine's incarnation and weights are unknown,
    # and its answer could not be checked against them.
    return bool(server.incarnation) or (
        request.work.kind is work.WorkKind.PLAIN
    )


def _reuse_weight(world: entities.World, target: str) -> float:
    """Returns how a model weighs recomputed tokens against waiting.

    A request that was admitted is served even if operators remove its model.
    """
    row = world.table.models.get(target)
    return (row or model.ModelRow(name=target)).reuse_weight


def _has_path(
    world: entities.World,
    server: entities.ServerRow,
    *,
    tries_unknown_relays: bool,
) -> bool:
    """Returns whether a request can reach a server, here or by a relay."""
    if paths.is_lost(server):
        return paths.has_relay(
            world, server, tries_unknown=tries_unknown_relays
        )
    if world.now_ms < server.ejected_until_ms:
        return False
    # After an ejection a server gets one request at a time until one of them
    # succeeds: if it still fails, its full share of requests would fail.
    return not (server.ejected_until_ms and server.trial_attempt_id)


def wait_ms(world: entities.World, server: entities.ServerRow) -> float:
    """Estimates how long a prompt waits before `server` begins it.

    Load reports arrive with a delay. Requests that this daemon sent after the
    last report are added, so that a server which reported itself idle does not
    attract every request until the next report.
    """
    us_per_token = prefill_cost.us_per_token(world, server)
    tokens = float(server.waiting_tokens)
    in_flight = server.running + server.waiting
    since_ms = max(0, world.now_ms - server.reported_at_ms)
    stale = server.reported_at_ms < 0 or since_ms > world.policy.report_stale_ms
    if stale:
        tokens = 0
        in_flight = 0
    unreported = 0
    unreported_tokens = 0
    for attempt in server.in_flight.values():
        if stale or attempt.sent_at_ms > server.reported_at_ms:
            unreported += 1
            if not attempt.opened:
                unreported_tokens += attempt.expected_tokens
    # The other daemons have sent unreported requests too; their number is
    # estimated from the ratio of all demand to that of this daemon.
    demand_ratio = world.shares.arrival_ratio(model_cell(server.target))
    in_flight += round(unreported * demand_ratio)
    tokens += unreported_tokens * demand_ratio
    backlog_ms = max(0.0, tokens * us_per_token / 1000 - since_ms)
    slots = server.slots or world.policy.slots
    if in_flight >= slots:
        completion_interval_ms = (
            world.service_time_ms.get(server.target, 0.0) / slots
        )
        backlog_ms += (in_flight - slots + 1) * completion_interval_ms
    return backlog_ms


def model_cell(target: str) -> str:
    """Returns the name of the cell that counts a model's requests."""
    return MODEL_CELL_PREFIX + target


def home_servers(
    world: entities.World,
    request: entities.RequestRow,
    usable: list[entities.ServerRow],
) -> frozenset[str]:
    """Returns the servers on which the request's levels should be cached.

    Each level selects among the servers of the level before it, so that a
    prompt is placed where its outer levels are cached. A level used by a large
    part of the traffic gets more servers.
    """
    names = tuple(sorted(server.server_id for server in usable))
    total = len(names)
    for level in request.work.levels:
        if len(names) == 1:
            break
        share = world.level_demand.share(
            request.work.target, level.key, now_ms=world.now_ms
        )
        server_count = world.level_demand.server_count(
            level.key,
            servers_needed=share * total * SPREAD_FACTOR,
            max_servers=len(names),
        )
        names = tuple(sorted(rendezvous.rank(level.key, names)[:server_count]))
    return frozenset(names)


def record_demand(world: entities.World, request: entities.RequestRow) -> None:
    """Counts a new request and its levels; called once per request."""
    target = request.work.target
    world.shares.record_arrival(model_cell(target))
    length_routing.count(world, request)
    for level in request.work.levels:
        if not world.level_demand.has_key(level.key):
            break
        request.seen_tokens += level.tokens
    world.level_demand.add_total(target, now_ms=world.now_ms)
    for level in request.work.levels:
        world.level_demand.add(level.key, now_ms=world.now_ms)


def uncached_tokens(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
    *,
    is_home: bool,
) -> float:
    """Estimates the prompt tokens that `server` would have to compute.

    Engines reuse only a contiguous prefix, so counting stops at the first level
    that is not expected to be cached.
    """
    remaining = float(request.work.prompt_tokens)
    probability = 1.0
    for level in request.work.levels:
        probability *= _cached_probability(world, server, level.key, is_home)
        if probability == 0.0:
            break
        remaining -= probability * level.tokens
    return remaining


def _cached_probability(
    world: entities.World, server: entities.ServerRow, key: int, is_home: bool
) -> float:
    cached_at_ms = server.cache.cached_at_ms(key)
    if cached_at_ms is not None:
        age_ms = world.now_ms - cached_at_ms
        return (
            1.0 if age_ms < world.policy.hint_ms else PRIOR_CACHED_PROBABILITY
        )
    return PRIOR_CACHED_PROBABILITY if is_home else 0.0


def _score(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
    *,
    wait: float,
    is_home: bool,
    reuse_weight: float,
) -> Choice:
    uncached = uncached_tokens(world, request, server, is_home=is_home)
    us_per_token = prefill_cost.us_per_token(world, server)
    compute_ms = uncached * us_per_token / 1000
    cost = wait + compute_ms * (1.0 + reuse_weight)
    if paths.is_lost(server):
        cost += paths.RELAY_COST_MS
    if not is_home:
        # Levels computed away from their home evict others from that cache.
        cost += compute_ms * reuse_weight
    return Choice(
        server=server,
        wait_ms=wait,
        uncached_tokens=uncached,
        first_token_ms=wait + compute_ms,
        cost=cost,
    )


def _least_loaded(
    world: entities.World,
    request: entities.RequestRow,
    usable: list[entities.ServerRow],
) -> Choice:
    def load(server: entities.ServerRow) -> float:
        unreported = sum(
            1
            for attempt in server.in_flight.values()
            if attempt.sent_at_ms > server.reported_at_ms
        )
        in_flight = server.running + server.waiting + unreported
        # Of idle servers, the one with the best pace is chosen.
        return (in_flight + 1) * pace.factor(world, server)

    # Ties are broken by a hash of the request, not by the server's name: all
    # daemons would choose the first name at the same time and overload it.
    names = tuple(sorted(server.server_id for server in usable))
    seed = xxhash.xxh3_64_intdigest(request.request_id.encode())
    order = rendezvous.rank(seed, names)
    position = {name: number for number, name in enumerate(order)}
    best = min(
        usable,
        key=lambda s: (
            s.full_until_ms > world.now_ms,
            brittle.needs_holder(world, s),
            load(s) + locality.cost_requests(world, request, s),
            paths.is_lost(s),
            position[s.server_id],
        ),
    )
    return Choice(
        server=best,
        wait_ms=0.0,
        uncached_tokens=0.0,
        first_token_ms=0.0,
        cost=0.0,
    )


def _candidates(
    request: entities.RequestRow,
    usable: list[entities.ServerRow],
    homes: frozenset[str],
    waits: dict[str, float],
) -> list[entities.ServerRow]:
    if len(usable) <= candidates.SCORE_ALL_MAX_SERVERS:
        return usable
    by_wait = sorted(waits, key=lambda name: (waits[name], name))
    chosen = set(by_wait[:LEAST_LOADED_CANDIDATES])
    for server in usable:
        if server.server_id in homes or (
            request.work.levels
            and (
                server.cache.cached_at_ms(request.work.levels[0].key)
                is not None
            )
        ):
            chosen.add(server.server_id)
    return [server for server in usable if server.server_id in chosen]


__all__ = [
    "MODEL_CELL_PREFIX",
    "Choice",
    "choose",
    "home_servers",
    "is_in_service",
    "is_usable",
    "model_cell",
    "record_demand",
    "uncached_tokens",
    "wait_ms",
]
