"""Spreads duties over daemons, the same way on each of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from godwittack.placement import rendezvous

if TYPE_CHECKING:
    from godwittack.member import view

# Daemons up to which everyone hears everything; beyond it only the daemons
# that serve a model hear of its backend servers.
MESH_LIMIT = 16
# Daemons that hear of one model's servers in a large fleet.
AUDIENCE = 24
# Daemons among which `where` keeps one workspace's requests for one model.
WHERE_GROUP = 3


def watcher(server_id: str, members: list[view.Member]) -> str | None:
    """Returns the member that follows a backend server."""
    return rendezvous.owner(
        f"watch/{server_id}", [member.member_id for member in members]
    )


def leader(model: str, members: list[view.Member]) -> str | None:
    """Returns the member that should lead a model's orders.

    Two may believe it for a while; the lease decides which of them acts.
    """
    return rendezvous.owner(
        f"lead/{model}", [member.member_id for member in members]
    )


def audience(target: str, members: list[view.Member]) -> list[view.Member]:
    """Returns the members that hear of a model's backend servers."""
    if len(members) <= MESH_LIMIT:
        return members
    return _first(f"model/{target}", members, AUDIENCE)


def where(
    *,
    workspace: str,
    target: str,
    members: list[view.Member],
    group: int = WHERE_GROUP,
) -> list[view.Member]:
    """Returns the daemons a caller should use, best first.

    All come from the model's audience, so that they know its servers. The
    first ones are the workspace's own group; the rest follow as spares, so
    that a caller has somewhere to go when its group fails.
    """
    heard = audience(target, members)
    ordered = _first(f"where/{workspace}/{target}", heard, len(heard))
    return ordered[: max(group, WHERE_GROUP)]


def _first(
    key: str, members: list[view.Member], count: int
) -> list[view.Member]:
    by_name = {member.member_id: member for member in members}
    names = rendezvous.rank(
        xxhash.xxh3_64_intdigest(key.encode()), tuple(sorted(by_name))
    )
    return [by_name[name] for name in names[:count]]


__all__ = [
    "AUDIENCE",
    "MESH_LIMIT",
    "WHERE_GROUP",
    "audience",
    "leader",
    "watcher",
    "where",
]
