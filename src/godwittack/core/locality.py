"""Prefers servers in this daemon's failure domain, and open connections."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

from godwittack.core import candidates as all_candidates
from godwittack.core import paths, uneven, work
from godwittack.placement import subsets

if TYPE_CHECKING:
    from godwittack.core import entities, server_inputs

# Candidates drawn from this daemon's own failure domain, and from each other.
OWN_DOMAIN_CANDIDATES = 4
OTHER_DOMAIN_CANDIDATES = 1
# Engines in a daemon's preferred subset relative to its share of the engines:
# with twice the share, half of the subset may be slow or busy.
SUBSET_HEADROOM = 2.0
# Minimum size of that subset. A daemon of the deployments in
# docs/design/uneven-load.md sends 6 requests a second: two a second to each of
# three engines reuse a connection that is kept for 2.5 s.
MIN_SUBSET = 3
# A daemon with a smaller share of an engine's connections could not send a
# second request while one runs.
MIN_CONNECTION_SHARE = 2
# Requests that may be repeated reuse a connection until this long before its
# server closes it: one that crosses the close is sent again.
REPEATABLE_MARGIN_MS = 500
# The pool's margin for all others (`IDLE_MARGIN_MS` in `backend/pool.py`).
DEFAULT_MARGIN_MS = 1_500
# Body size that `cross_domain_cost_ms_per_kb` is charged for.
KB_BYTES = 1_000


def cost_ms(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
) -> float:
    """Returns what operators accept to wait for a nearer server."""
    cost = _cross_domain_cost_ms(world, request, server)
    step_ms = world.policy.new_connection_cost_ms
    if not step_ms:
        return cost
    if _opens_connection(world, request, server):
        cost += step_ms
        if open_connections(server) >= connection_share(world, server.target):
            cost += step_ms
    if not _is_preferred(world, request, server):
        cost += step_ms
    return cost


def cost_requests(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
) -> float:
    """Returns that cost as a number of requests ahead at a plain service.

    One request more lengthens the wait by the interval between two
    completions. Before any request has completed it counts as nothing.
    """
    if not uneven.is_uneven(world, server.target):
        return 0.0
    service_time_ms = world.service_time_ms.get(server.target, 0.0)
    if not service_time_ms:
        return 0.0
    slots = server.slots or world.policy.slots
    return cost_ms(world, request, server) * slots / service_time_ms


def is_remote(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether a server is known to be in another failure domain."""
    own, other = world.failure_domain, server.failure_domain
    return bool(own and other) and own != other


def candidates(
    world: entities.World,
    request: entities.RequestRow,
    usable: list[entities.ServerRow],
    *,
    cached_tokens: dict[str, int],
    home_id: str,
) -> list[entities.ServerRow]:
    """Returns the servers that are scored for a prompt.

    These are the home server, cache holders, this daemon's preferred engines,
    some random servers of its own domain and one of each other domain.

    Args:
        world: The tables.
        request: The request to place.
        usable: Servers that may get the request.
        cached_tokens: Prompt tokens that each server has cached, by server id.
        home_id: Home server of the prompt; empty for none.
    """
    if len(usable) <= all_candidates.SCORE_ALL_MAX_SERVERS:
        return usable
    chosen = set(_draw(world, request, usable))
    chosen.add(home_id)
    if world.policy.new_connection_cost_ms:
        chosen |= preferred_engines(world, request.work.target)
    return all_candidates.with_holders(usable, chosen, cached_tokens)


def preferred_engines(world: entities.World, target: str) -> frozenset[str]:
    """Returns the ids of the engines that this daemon's connections go to.

    They are in its failure domain, if that has any engine. The result is kept
    until the listed servers or the daemons change.
    """
    known = world.preferred_engines.get(target)
    if known is not None:
        return known
    servers = list(world.servers_by_target[target].values())
    own = _own_domain(world, servers)
    serving = world.serving_daemons
    daemons = serving & world.near_daemons if own else serving
    names = frozenset(map(_instance_name, daemons | {world.daemon}))
    engines = frozenset(server.server_id for server in own or servers)
    share = SUBSET_HEADROOM * len(engines) / len(names)
    size = max(MIN_SUBSET, math.ceil(share))
    assigned = subsets.assign(names, engines, size)
    preferred = assigned[_instance_name(world.daemon)]
    world.preferred_engines[target] = preferred
    return preferred


def connection_share(world: entities.World, target: str) -> float:
    """Returns how many connections this daemon may open to one server."""
    forwarding = world.table.forwarding
    limits = forwarding.engines.get(target) if forwarding else None
    if limits is None or not limits.max_connections:
        return math.inf
    daemons = max(1, len(world.serving_daemons))
    return max(MIN_CONNECTION_SHARE, limits.max_connections // daemons)


def open_connections(server: entities.ServerRow) -> int:
    """Returns how many connections to a server callers' requests have."""
    in_use = sum(not attempt.relay for attempt in server.in_flight.values())
    return in_use + server.idle_connections


def reuse_margin_ms(world: entities.World, request: entities.RequestRow) -> int:
    """Returns how early a request must not use an expiring connection.

    Returns:
        The time before its server closes it; 0 for the pool's own margin.
    """
    if request.at_most_once:
        return 0
    is_uneven = uneven.is_uneven(world, request.work.target)
    return REPEATABLE_MARGIN_MS if is_uneven else 0


def keeps_expiring(world: entities.World, server_id: str) -> bool:
    """Returns whether a server's idle connections are kept to the last."""
    server = world.servers.get(server_id)
    return server is not None and uneven.is_uneven(world, server.target)


def needs_idle_count(world: entities.World, server_id: str) -> bool:
    """Returns whether placement uses the count of idle connections."""
    return bool(world.policy.new_connection_cost_ms) and keeps_expiring(
        world, server_id
    )


def apply_idle_connections(
    world: entities.World, told: server_inputs.IdleConnections
) -> None:
    """Applies the count of idle connections to a server."""
    server = world.servers.get(told.server_id)
    if server is not None:
        server.idle_connections = told.count
        server.idle_until_ms = told.closes_at_ms


def record_dispatch(
    server: entities.ServerRow,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    """Counts the idle connection that an attempt is about to take.

    The pool reports it a moment later; until then another request would be
    placed for the same connection.
    """
    is_pooled = not (attempt.relay or request.needs_fresh_connection)
    if is_pooled and server.idle_connections:
        server.idle_connections -= 1


def _cross_domain_cost_ms(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
) -> float:
    if not is_remote(world, server):
        return 0.0
    body_kb = request.work.body_bytes / KB_BYTES
    return (
        world.policy.cross_domain_cost_ms
        + world.policy.cross_domain_cost_ms_per_kb * body_kb
    )


def _opens_connection(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
) -> bool:
    """Returns whether a request to a server would need a new connection."""
    if paths.is_lost(server):
        # Another daemon sends it, over a connection of its own.
        return False
    if request.needs_fresh_connection or not server.idle_connections:
        return True
    margin_ms = reuse_margin_ms(world, request) or DEFAULT_MARGIN_MS
    return world.now_ms >= server.idle_until_ms - margin_ms


def _is_preferred(
    world: entities.World,
    request: entities.RequestRow,
    server: entities.ServerRow,
) -> bool:
    """Returns whether a server is in the preferred subset, if it counts."""
    if request.work.kind is work.WorkKind.PLAIN:
        return True
    return server.server_id in preferred_engines(world, server.target)


def _own_domain(
    world: entities.World, servers: list[entities.ServerRow]
) -> list[entities.ServerRow]:
    """Returns the servers in this daemon's domain; none if it is unknown."""
    own = world.failure_domain
    return [s for s in servers if own and s.failure_domain == own]


def _draw(
    world: entities.World,
    request: entities.RequestRow,
    usable: list[entities.ServerRow],
) -> list[str]:
    """Returns the ids of random servers, most of them of the own domain.

    Those of other domains let the daemons of an overloaded domain find
    underloaded servers. Without usable servers in its own domain, a daemon
    draws from all.
    """
    own = [s.server_id for s in _own_domain(world, usable)]
    by_domain: dict[str, list[str]] = {}
    for server in usable:
        if is_remote(world, server):
            names = by_domain.setdefault(server.failure_domain, [])
            names.append(server.server_id)
    seed = f"{request.request_id}/{world.now_ms}".encode()
    remaining_hash = xxhash.xxh3_64_intdigest(seed)
    groups = [(own or [s.server_id for s in usable], OWN_DOMAIN_CANDIDATES)]
    groups += [(by_domain[d], OTHER_DOMAIN_CANDIDATES) for d in by_domain]
    drawn: list[str] = []
    for names, count in groups:
        left = list(names)
        for _ in range(min(count, len(left))):
            remaining_hash, index = divmod(remaining_hash, len(left))
            drawn.append(left.pop(index))
    return drawn


def _instance_name(daemon: str) -> str:
    """Returns a daemon's name without the part that changes at a restart."""
    return daemon.partition("@")[0]


__all__ = [
    "apply_idle_connections",
    "candidates",
    "connection_share",
    "cost_ms",
    "cost_requests",
    "is_remote",
    "keeps_expiring",
    "needs_idle_count",
    "open_connections",
    "preferred_engines",
    "record_dispatch",
    "reuse_margin_ms",
]
