"""Assigns work to daemons by hashing.

Daemons with the same view of the membership compute the same assignment.
"""

from __future__ import annotations

import collections
import functools
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

import xxhash

from godwittack.placement import rendezvous

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.member import view

# Up to this many daemons, each receives all updates; in a larger fleet only the
# daemons that serve a model receive updates about its backend servers.
MESH_LIMIT = 16
# Fewest daemons of a large fleet that receive updates on one model's servers.
MIN_AUDIENCE = 12
# Daemons that read the platform's instance list for a large fleet.
LIST_READER_COUNT = 3
# Daemons that poll the platform's store continuously.
STORE_READER_COUNT = 3
# Daemons that receive one workspace's requests for one model.
WORKSPACE_GROUP_SIZE = 3


_Assignment = TypeVar("_Assignment")


class CachedAssignment(Generic[_Assignment]):
    """An assignment that is computed again only after a membership change.

    It is read many times a second. `View` returns the same list object until a
    member changes, so comparing identities is enough.
    """

    def __init__(
        self, assign: Callable[[list[view.Member]], _Assignment]
    ) -> None:
        """Computes with `assign`, first on the first call of `among`."""
        self._assign = assign
        self._members: list[view.Member] | None = None
        self._assigned: _Assignment

    def among(self, members: list[view.Member]) -> _Assignment:
        """Returns the assignment among `members`."""
        if members is not self._members:
            self._assigned = self._assign(members)
            self._members = members
        return self._assigned


def watcher(server_id: str, audience: list[view.Member]) -> str | None:
    """Returns the member that watches a backend server.

    Args:
        server_id: Name of the server.
        audience: Members that receive updates about its model or service. The
            watcher is one of them, so that its updates go to the peers to
            which it sends updates about other servers and demand anyway.
    """
    return rendezvous.owner(
        f"watch/{server_id}", [member.member_id for member in audience]
    )


def leaders(
    model: str,
    members: list[view.Member],
    targets: tuple[str, ...],
    audience: Audience,
) -> tuple[str, ...]:
    """Returns the members that may lead a model's roll-out, in rank order.

    They are those that receive updates about its servers. Any other lead would
    consider all servers idle and order the maximum number of concurrent loads
    even under load.

    Two members may both believe for a while that they are first; the lease
    decides which of them acts.

    Args:
        model: The model.
        members: Members that serve.
        targets: All models and services of the table.
        audience: Chooses the members that receive updates about its servers.
    """
    candidates = audience.among(model, members, targets)
    member_ids = tuple(sorted(member.member_id for member in candidates))
    return rank(f"lead/{model}", member_ids)


def list_readers(members: list[view.Member]) -> list[view.Member]:
    """Returns the members that read the platform's instance list for all.

    If hundreds of daemons read it each second, the list would make up most of
    the traffic that they receive.
    """
    if len(members) <= MESH_LIMIT:
        return members
    return _top_ranked("instance-list", members, LIST_READER_COUNT)


def store_ranks(members: list[view.Member]) -> dict[str, int]:
    """Returns the position of each member among those that read the store.

    The first `STORE_READER_COUNT` poll it for all; the others read it in this
    order once these confirm nothing.
    """
    ranked = rank("store", tuple(sorted(m.member_id for m in members)))
    return {member_id: position for position, member_id in enumerate(ranked)}


class Audience(Protocol):
    """Chooses the members that receive updates about a target's servers."""

    def among(
        self,
        target: str,
        members: list[view.Member],
        targets: tuple[str, ...],
    ) -> list[view.Member]:
        """Returns the members that receive updates about a target's servers.

        Args:
            target: The model or service.
            members: Live members.
            targets: All models and services of the table.
        """


class AudienceByTarget:
    """Spreads targets over members that each serve a part of the targets."""

    def __init__(self, mesh_limit: int = MESH_LIMIT) -> None:
        """Up to `mesh_limit` members, each receives updates on all targets."""
        self._mesh_limit = mesh_limit

    def among(
        self,
        target: str,
        members: list[view.Member],
        targets: tuple[str, ...],
    ) -> list[view.Member]:
        """Returns the members assigned to the target, see `audience_ids`."""
        if len(members) <= self._mesh_limit:
            return members
        by_id = {member.member_id: member for member in members}
        member_ids = audience_ids(target, tuple(sorted(by_id)), targets)
        return [by_id[member_id] for member_id in member_ids]


def audience_ids(
    target: str, member_ids: tuple[str, ...], targets: tuple[str, ...]
) -> tuple[str, ...]:
    """Returns the ids of the members that receive updates about a target.

    Each member picks one target. If each target picked members instead, some
    members would be picked by five targets, and would store, watch and send
    five times as much as others.

    Args:
        target: The model or service.
        member_ids: Sorted ids of the live members.
        targets: All models and services of the table.
    """
    if len(member_ids) <= MESH_LIMIT:
        return member_ids
    picked = _members_by_target(member_ids, targets).get(target, ())
    missing = max(0, MIN_AUDIENCE - len(picked))
    ranked = rank(f"model/{target}", member_ids)
    extra = [other for other in ranked if other not in picked][:missing]
    return tuple(sorted((*picked, *extra)))


def workspace_group_ids(
    workspace: str,
    target: str,
    member_ids: tuple[str, ...],
    targets: tuple[str, ...],
) -> tuple[str, ...]:
    """Returns ids of the daemons for a workspace's requests for a target.

    `recommended_daemons` returns the same ones, unless one is suspected.
    """
    audience = audience_ids(target, member_ids, targets)
    return rank(f"where/{workspace}/{target}", audience)[:WORKSPACE_GROUP_SIZE]


def recommended_daemons(
    *,
    workspace: str,
    target: str,
    members: list[view.Member],
    targets: tuple[str, ...],
) -> list[view.Member]:
    """Returns the daemons a caller should use, best first.

    All of them receive updates about the target's servers.
    """
    audience = AudienceByTarget().among(target, members, targets)
    return _top_ranked(
        f"where/{workspace}/{target}", audience, WORKSPACE_GROUP_SIZE
    )


@functools.lru_cache(maxsize=8)
def _members_by_target(
    member_ids: tuple[str, ...], targets: tuple[str, ...]
) -> dict[str, tuple[str, ...]]:
    """Returns the members that picked each target."""
    pickers: dict[str, list[str]] = collections.defaultdict(list)
    for member_id in member_ids:
        picked = rendezvous.owner(f"pick/{member_id}", targets)
        if picked is not None:
            pickers[picked].append(member_id)
    return {target: tuple(ids) for target, ids in pickers.items()}


def _top_ranked(
    key: str, members: list[view.Member], count: int
) -> list[view.Member]:
    by_id = {member.member_id: member for member in members}
    member_ids = rank(key, tuple(sorted(by_id)))
    return [by_id[member_id] for member_id in member_ids[:count]]


def probe_order(server_id: str, daemons: tuple[str, ...]) -> tuple[str, ...]:
    """Returns daemons in the order in which they probe an unresponsive server.

    Args:
        server_id: The server.
        daemons: Sorted ids of all daemons that may probe it.
    """
    return rank(f"ask/{server_id}", daemons)


def rank(key: str, ids: tuple[str, ...]) -> tuple[str, ...]:
    """Returns sorted ids in the order of their hash with `key`."""
    return rendezvous.rank(xxhash.xxh3_64_intdigest(key.encode()), ids)


__all__ = [
    "probe_order",
    "MIN_AUDIENCE",
    "CachedAssignment",
    "Audience",
    "AudienceByTarget",
    "MESH_LIMIT",
    "WORKSPACE_GROUP_SIZE",
    "audience_ids",
    "workspace_group_ids",
    "leaders",
    "store_ranks",
    "list_readers",
    "rank",
    "watcher",
    "recommended_daemons",
]
