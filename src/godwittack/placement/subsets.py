"""Balanced subsets of servers, one for each daemon (rendezvous hashing)."""

from __future__ import annotations

import collections
import functools

import xxhash

_CACHE_SIZE = 256


@functools.lru_cache(maxsize=_CACHE_SIZE)
def assign(
    daemons: frozenset[str], servers: frozenset[str], size: int
) -> dict[str, frozenset[str]]:
    """Returns the subset of servers of each daemon.

    Every daemon computes the same subsets from the same names. Pairs of daemon
    and server are accepted in the order of their hashes while the daemon's
    subset and the server's share have room, so that servers are in about as
    many subsets as each other; the hash alone gives some servers twice as many
    daemons as others.

    Args:
        daemons: Names of the daemons.
        servers: Names of the servers.
        size: Servers in each subset; at most the number of servers.
    """
    size = min(size, len(servers))
    chosen: dict[str, set[str]] = {daemon: set() for daemon in daemons}
    taken: collections.Counter[str] = collections.Counter()
    share = len(daemons) * size // max(1, len(servers))
    for _, daemon, server in _pairs(daemons, servers):
        if len(chosen[daemon]) < size and taken[server] < share:
            chosen[daemon].add(server)
            taken[server] += 1
    for daemon in sorted(daemons):
        # Shares are rounded down, and the last servers with room may be in this
        # daemon's subset already.
        rest = sorted(servers - chosen[daemon], key=lambda s: (taken[s], s))
        added = rest[: size - len(chosen[daemon])]
        chosen[daemon].update(added)
        taken.update(added)
    return {daemon: frozenset(names) for daemon, names in chosen.items()}


def _pairs(
    daemons: frozenset[str], servers: frozenset[str]
) -> list[tuple[int, str, str]]:
    seeds = {d: xxhash.xxh3_64_intdigest(d.encode()) for d in daemons}
    return sorted(
        (xxhash.xxh3_64_intdigest(s.encode(), seed=seeds[d]), d, s)
        for d in daemons
        for s in servers
    )


__all__ = ["assign"]
