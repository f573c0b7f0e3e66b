"""Spreads duties over daemons, the same way on each of them."""

from __future__ import annotations

import collections
import functools
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

import xxhash

from godwittack.placement import rendezvous

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.member import view

# Daemons up to which everyone hears everything; beyond it only the daemons
# that serve a model hear of its backend servers.
MESH_LIMIT = 16
# Daemons that hear of one model's servers in a large fleet, at least.
MIN_AUDIENCE = 12
# Daemons that read the instance list for a large fleet.
LIST_READER_COUNT = 3
# Daemons that ask the platform's store for changes all the time.
STORE_READER_COUNT = 3
# Daemons among which `where` keeps one workspace's requests for one model.
WORKSPACE_GROUP_SIZE = 3


_Assignment = TypeVar("_Assignment")


class CachedAssignment(Generic[_Assignment]):
    """A duty worked out from members, anew only when they have changed.

    Asked for many times a second. `View` returns the same list until a member
    changes.
    """

    def __init__(
        self, assign: Callable[[list[view.Member]], _Assignment]
    ) -> None:
        """Assigns by `assign`, for the first time when asked."""
        self._assign = assign
        self._members: list[view.Member] | None = None
        self._assigned: _Assignment

    def among(self, members: list[view.Member]) -> _Assignment:
        """Returns the duty among `members`."""
        if members is not self._members:
            self._assigned = self._assign(members)
            self._members = members
        return self._assigned


def watcher(server_id: str, audience: list[view.Member]) -> str | None:
    """Returns the member that follows a backend server.

    Args:
        server_id: Name of the server.
        audience: Members that hear of its model or service; the watcher is
            one of them, so that its news goes to peers that it tells of other
            servers and of demand as well.
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
    """Returns the members that may lead a model's orders, the first one first.

    They are those that hear of its servers: a lead that does not would take
    each for idle, and have as many load at one time as may, whatever the load.

    Two may believe to be it for a while; the lease decides which of them acts.

    Args:
        model: The model.
        members: Members that serve.
        targets: All models and services of the table.
        audience: Chooses those that hear of its servers.
    """
    hearing = audience.among(model, members, targets)
    names = tuple(sorted(member.member_id for member in hearing))
    return rank(f"lead/{model}", names)


def list_readers(members: list[view.Member]) -> list[view.Member]:
    """Returns the members that read the platform's instance list for all.

    Read by hundreds of daemons each second, the list would be most of what
    they receive.
    """
    if len(members) <= MESH_LIMIT:
        return members
    return _top_ranked("instance-list", members, LIST_READER_COUNT)


def store_readers(members: list[view.Member]) -> tuple[str, ...]:
    """Returns the ids of the members that follow the platform's store."""
    chosen = _top_ranked("store", members, STORE_READER_COUNT)
    return tuple(member.member_id for member in chosen)


class Audience(Protocol):
    """Chooses the members that hear of a target's servers."""

    def among(
        self,
        target: str,
        members: list[view.Member],
        targets: tuple[str, ...],
    ) -> list[view.Member]:
        """Returns the members that hear of a model's or service's servers.

        Args:
            target: The model or service.
            members: Live members.
            targets: All models and services of the table.
        """


class AudienceByTarget:
    """Spreads the targets over members; for callers that ask by target."""

    def __init__(self, mesh_limit: int = MESH_LIMIT) -> None:
        """Lets all members hear of everything up to `mesh_limit` members."""
        self._mesh_limit = mesh_limit

    def among(
        self,
        target: str,
        members: list[view.Member],
        targets: tuple[str, ...],
    ) -> list[view.Member]:
        """Returns those that picked the target, see `audience_names`."""
        if len(members) <= self._mesh_limit:
            return members
        by_name = {member.member_id: member for member in members}
        names = audience_ids(target, tuple(sorted(by_name)), targets)
        return [by_name[name] for name in names]


def audience_ids(
    target: str, names: tuple[str, ...], targets: tuple[str, ...]
) -> tuple[str, ...]:
    """Returns the same by member id, among sorted ids.

    Each member picks one target. Were each target to pick members, some
    members would be picked by five and know, follow and tell five times what
    others do.
    """
    if len(names) <= MESH_LIMIT:
        return names
    picked = _members_by_target(names, targets).get(target, ())
    missing = max(0, MIN_AUDIENCE - len(picked))
    ranked = rank(f"model/{target}", names)
    more = [name for name in ranked if name not in picked][:missing]
    return tuple(sorted((*picked, *more)))


def workspace_group_ids(
    workspace: str,
    target: str,
    names: tuple[str, ...],
    targets: tuple[str, ...],
) -> tuple[str, ...]:
    """Returns the ids of those that serve a workspace's requests for a target.

    They are the ones that `where` names first, unless one is suspected.
    """
    heard = audience_ids(target, names, targets)
    return rank(f"where/{workspace}/{target}", heard)[:WORKSPACE_GROUP_SIZE]


def recommended_daemons(
    *,
    workspace: str,
    target: str,
    members: list[view.Member],
    targets: tuple[str, ...],
) -> list[view.Member]:
    """Returns the daemons a caller should use, best first.

    All come from the target's audience, so that they know its servers.
    """
    heard = AudienceByTarget().among(target, members, targets)
    return _top_ranked(
        f"where/{workspace}/{target}", heard, WORKSPACE_GROUP_SIZE
    )


@functools.lru_cache(maxsize=8)
def _members_by_target(
    names: tuple[str, ...], targets: tuple[str, ...]
) -> dict[str, tuple[str, ...]]:
    """Returns who has picked each target."""
    found: dict[str, list[str]] = collections.defaultdict(list)
    for name in names:
        picked = rendezvous.owner(f"pick/{name}", targets)
        if picked is not None:
            found[picked].append(name)
    return {target: tuple(some) for target, some in found.items()}


def _top_ranked(
    key: str, members: list[view.Member], count: int
) -> list[view.Member]:
    by_name = {member.member_id: member for member in members}
    names = rank(key, tuple(sorted(by_name)))
    return [by_name[name] for name in names[:count]]


def probe_order(server_id: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Returns daemons in the order in which they ask a silent server.

    Args:
        server_id: The server.
        names: Sorted ids of all of them.
    """
    return rank(f"ask/{server_id}", names)


def rank(key: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Returns sorted ids in the order of their hash with `key`."""
    return rendezvous.rank(xxhash.xxh3_64_intdigest(key.encode()), names)


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
    "store_readers",
    "list_readers",
    "rank",
    "watcher",
    "recommended_daemons",
]
