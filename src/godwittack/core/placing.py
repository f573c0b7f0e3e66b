"""Chooses the backend server of a request by estimated time and reuse."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import xxhash

from godwittack.core import (
    availability,
    candidates,
    pace,
    rate_limits,
    sourcing,
    weights,
    work,
)
from godwittack.placement import rendezvous

if TYPE_CHECKING:
    from godwittack.core import entities

# Chance that a home server holds a level of which this daemon knows nothing.
HOME_PRIOR = 0.5
# Least-loaded servers scored besides homes and holders, so that a request
# can escape when all of those are busy.
SPARE_CANDIDATES = 2
# How many times the even share of traffic a spread prefix gets in servers.
SPREAD_SLACK = 1.2
# Tokens computed beyond the least possible from which a choice is a move.
SPILL_TOKENS = 500
# Beginning of the names of cells that count a model's requests.
MODEL_CELLS = "model/"


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """One server scored for one request.

    Attributes:
        wait_ms: Estimated wait before its prompt is begun.
        uncached_tokens: Prompt tokens it is expected to compute.
        first_token_ms: Estimated time to the first token.
        cost: What is minimized, in milliseconds.
        fetch_from: Address to copy cached state from; empty for none.
    """

    server: entities.ServerRow
    wait_ms: float
    uncached_tokens: float
    first_token_ms: float
    cost: float
    fetch_from: str = ""


def choose(
    world: entities.World, request: entities.RequestRow
) -> Choice | None:
    """Returns the best usable server, or None where there is none."""
    usable = [
        server
        for server in world.servers_by_target[request.work.target].values()
        if is_usable(world, server, request)
    ]
    if not usable:
        return None
    if request.work.kind is work.WorkKind.PLAIN:
        return _least_loaded(world, request, usable)
    if request.work.route is not None:
        return _routed(world, request, usable)
    homes = home_servers(world, request, usable)
    reuse_weight = world.table.models[request.work.target].reuse_weight
    waits = {server.server_id: wait_ms(world, server) for server in usable}
    scored = [
        _score(
            world,
            request,
            server,
            wait=waits[server.server_id],
            home=server.server_id in homes,
            reuse_weight=reuse_weight,
        )
        for server in _candidates(request, usable, homes, waits)
    ]
    return _within_budget(world, scored)


def _routed(
    world: entities.World,
    request: entities.RequestRow,
    usable: list[entities.ServerRow],
) -> Choice:
    placed = sourcing.choose(world, request, usable)
    return Choice(
        server=placed.server,
        wait_ms=placed.wait_ms,
        uncached_tokens=placed.uncached_tokens,
        first_token_ms=placed.first_token_ms,
        cost=placed.cost,
        fetch_from=placed.fetch_from,
    )


def _within_budget(world: entities.World, scored: list[Choice]) -> Choice:
    """Returns the cheapest choice that the recomputation budget allows.

    Leaving a busy server that holds a prefix for an idle one that does not
    makes the idle one compute it, and evict something that will be computed
    again. Decided by each request's own cost alone, that feeds on itself: in
    `bench policy` at 70% the hit rate fell from 0.89 to 0.42 and every queue
    grew. A budget keeps such moves to a small part of the requests; the
    copies that they leave behind are then used by all.
    """
    best = min(scored, key=_order)
    least = min(choice.uncached_tokens for choice in scored)
    extra = best.uncached_tokens - least
    if extra < SPILL_TOKENS or world.spill_budget.spend():
        return best
    near = [c for c in scored if c.uncached_tokens - least < SPILL_TOKENS]
    return min(near, key=_order)


def _order(choice: Choice) -> tuple[float, str]:
    return (choice.cost, choice.server.server_id)


def is_usable(
    world: entities.World,
    server: entities.ServerRow,
    request: entities.RequestRow,
) -> bool:
    """Returns whether new work may go to `server` now."""
    if availability.is_resting(world, server):
        return False
    return is_in_service(world, server, request)


def is_in_service(
    world: entities.World,
    server: entities.ServerRow,
    request: entities.RequestRow,
) -> bool:
    """Returns whether a server takes new work, but for a rest that it wants."""
    if server.leaving or server.server_id in request.avoid:
        return False
    if world.now_ms < max(server.ejected_until_ms, server.draining_until_ms):
        return False
    # A server back from a pause gets one request at a time until one of
    # them ends well: sending it its full share could fail all of them.
    if server.ejected_until_ms and server.trial_attempt:
        return False
    if not rate_limits.has_capacity(world, server):
        return False
    if weights.are_too_old(world, server) or weights.are_unknown(world, server):
        return False
    # Without a report the engine's incarnation and weights are not known, and
    # an answer could not be checked against them.
    return bool(server.incarnation) or (
        request.work.kind is work.WorkKind.PLAIN
    )


def wait_ms(world: entities.World, server: entities.ServerRow) -> float:
    """Estimates how long a prompt waits at `server` before it is begun.

    A load report is some time old. What this daemon sent since then is added
    at once, so that one stale report does not draw every request.
    """
    us_per_token = pace.us_per_token(world, server)
    tokens = float(server.waiting_tokens)
    in_flight = server.running + server.waiting
    since_ms = max(0, world.now_ms - server.reported_at_ms)
    stale = server.reported_at_ms < 0 or since_ms > world.policy.report_stale_ms
    if stale:
        tokens = 0
        in_flight = 0
    unseen = 0
    unseen_tokens = 0
    for attempt in server.sent.values():
        if stale or attempt.sent_at_ms > server.reported_at_ms:
            unseen += 1
            if not attempt.opened:
                unseen_tokens += attempt.expected_tokens
    # The other daemons have sent as well and not been seen either.
    others = world.shares.arrival_ratio(model_cell(server.target))
    in_flight += round(unseen * others)
    tokens += unseen_tokens * others
    backlog_ms = max(0.0, tokens * us_per_token / 1000 - since_ms)
    slots = server.slots or world.policy.slots
    if in_flight >= slots:
        turn_ms = world.service_ms.get(server.target, 0.0) / slots
        backlog_ms += (in_flight - slots + 1) * turn_ms
    return backlog_ms


def model_cell(target: str) -> str:
    """Returns the name under which a model's demand is told."""
    return MODEL_CELLS + target


def home_servers(
    world: entities.World,
    request: entities.RequestRow,
    usable: list[entities.ServerRow],
) -> frozenset[str]:
    """Returns the servers on which the request's levels should stand.

    Each level narrows the servers of the level above it, so that a case
    stays where its section and rulebook are. A level with much of the
    traffic keeps more servers.
    """
    names = tuple(sorted(server.server_id for server in usable))
    total = len(names)
    for level in request.work.levels:
        if len(names) == 1:
            break
        share = world.heat.share(
            request.work.target, level.key, now_ms=world.now_ms
        )
        keep = world.heat.spread(
            level.key, need=share * total * SPREAD_SLACK, most=len(names)
        )
        names = tuple(sorted(rendezvous.rank(level.key, names)[:keep]))
    return frozenset(names)


def note_demand(world: entities.World, request: entities.RequestRow) -> None:
    """Counts the request's levels, once a request."""
    target = request.work.target
    world.shares.record_arrival(model_cell(target))
    for level in request.work.levels:
        if not world.heat.knows(level.key):
            break
        request.known_tokens += level.tokens
    world.heat.add_total(target, now_ms=world.now_ms)
    for level in request.work.levels:
        world.heat.add(level.key, now_ms=world.now_ms)


def uncached_tokens(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
    *,
    home: bool,
) -> float:
    """Estimates the prompt tokens that `server` would have to compute.

    Engines reuse a prefix only without gaps, so that counting ends at the
    first level not believed to be cached.
    """
    remaining = float(request.work.prompt_tokens)
    chance = 1.0
    for level in request.work.levels:
        chance *= _cached_chance(world, server, level.key, home)
        if chance == 0.0:
            break
        remaining -= chance * level.tokens
    return remaining


def _cached_chance(
    world: entities.World, server: entities.ServerRow, key: int, home: bool
) -> float:
    seen_ms = server.cache.seen_ms(key)
    if seen_ms is not None:
        age_ms = world.now_ms - seen_ms
        return 1.0 if age_ms < world.policy.hint_ms else HOME_PRIOR
    return HOME_PRIOR if home else 0.0


def _score(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
    *,
    wait: float,
    home: bool,
    reuse_weight: float,
) -> Choice:
    uncached = uncached_tokens(world, request, server, home=home)
    us_per_token = pace.us_per_token(world, server)
    compute_ms = uncached * us_per_token / 1000
    cost = wait + compute_ms * (1.0 + reuse_weight)
    if not home:
        # Levels computed away from home push others out of that cache.
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
    def load(server: entities.ServerRow) -> int:
        unreported = sum(
            1
            for attempt in server.sent.values()
            if attempt.sent_at_ms > server.reported_at_ms
        )
        return server.running + server.waiting + unreported

    # Equal loads are told apart by hashing the request, not by name: all
    # daemons choosing the first name at once would overload it.
    names = tuple(sorted(server.server_id for server in usable))
    seed = xxhash.xxh3_64_intdigest(request.request_id.encode())
    order = rendezvous.rank(seed, names)
    place = {name: number for number, name in enumerate(order)}
    best = min(
        usable,
        key=lambda s: (
            s.full_until_ms > world.now_ms,
            load(s),
            place[s.server_id],
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
    if len(usable) <= candidates.SCORE_ALL:
        return usable
    spare = sorted(waits, key=lambda name: (waits[name], name))
    chosen = set(spare[:SPARE_CANDIDATES])
    for server in usable:
        if server.server_id in homes or (
            request.work.levels
            and (server.cache.seen_ms(request.work.levels[0].key) is not None)
        ):
            chosen.add(server.server_id)
    return [server for server in usable if server.server_id in chosen]


__all__ = [
    "MODEL_CELLS",
    "Choice",
    "choose",
    "home_servers",
    "is_in_service",
    "is_usable",
    "model_cell",
    "note_demand",
    "uncached_tokens",
    "wait_ms",
]
