"""Chooses the daemons that serve the traffic of a large fleet.

Load pattern: a few requests a second for each of hundreds of daemons. If all of
them serve, each needs connections to every server and updates about all loads
and caches. A subset serves instead; the others keep the table, the instance
list and their serving lease up to date, and replace members of the subset that
fail.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math

from absl import logging

from godwittack.member import assignment, view


class Role(enum.StrEnum):
    """Role of a daemon in a large fleet."""

    SERVING = "serving"
    STANDBY = "standby"
    IDLE = "idle"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServingPolicy:
    """Size of the serving set.

    Attributes:
        mesh_limit: Daemons up to which all of them serve.
        serving: Serving daemons of all failure domains together.
        min_per_domain: Minimum of serving daemons of one failure domain.
        standby_per_domain: Daemons of a failure domain that also receive all
            updates, so that they are up to date when they start to serve.
    """

    mesh_limit: int = 100
    serving: int = 48
    min_per_domain: int = 2
    standby_per_domain: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ServingSet:
    """The daemons that serve, and those that replace them first.

    Attributes:
        serving: Daemons that callers are sent to, by id.
        standby: Daemons that start to serve next, by id.
    """

    serving: tuple[view.Member, ...]
    standby: tuple[view.Member, ...]

    def role(self, member_id: str) -> Role:
        """Returns the role of a daemon."""
        if any(member.member_id == member_id for member in self.serving):
            return Role.SERVING
        if any(member.member_id == member_id for member in self.standby):
            return Role.STANDBY
        return Role.IDLE


def choose(members: list[view.Member], policy: ServingPolicy) -> ServingSet:
    """Returns the serving set among `members`.

    It depends on the members alone, so that daemons with the same view choose
    the same set. A daemon that joins or leaves changes only its own failure
    domain's part, by one.

    Args:
        members: Live daemons; those suspected or leaving don't serve.
        policy: Size of the set.
    """
    alive = [m for m in members if m.state is view.MemberState.ALIVE]
    if len(members) <= policy.mesh_limit:
        return ServingSet(tuple(alive), ())
    domains: dict[str, list[view.Member]] = collections.defaultdict(list)
    for member in alive:
        domains[member.failure_domain].append(member)
    serving: list[view.Member] = []
    standby: list[view.Member] = []
    per_domain = math.ceil(policy.serving / max(1, len(domains)))
    per_domain = max(policy.min_per_domain, per_domain)
    for name in sorted(domains):
        ranked = _ranked(domains[name])
        count = _serving_count(ranked, per_domain)
        serving.extend(ranked[:count])
        standby.extend(ranked[count : count + policy.standby_per_domain])
    return ServingSet(_by_id(serving), _by_id(standby))


def _ranked(members: list[view.Member]) -> list[view.Member]:
    """Returns members of one failure domain, the largest machines first.

    Equal ones are ranked by address, which does not change with a restart:
    callers keep addresses while the whole fleet restarts.
    """
    addresses = tuple(sorted(member.peer_address for member in members))
    order = assignment.rank("serving", addresses)
    rank = {address: number for number, address in enumerate(order)}
    return sorted(
        members, key=lambda m: (-m.capacity_millicores, rank[m.peer_address])
    )


def _serving_count(ranked: list[view.Member], per_domain: int) -> int:
    """Returns how many serve: one more for each overloaded one."""
    overloaded = sum(m.is_overloaded for m in ranked[:per_domain])
    return per_domain + overloaded


def _by_id(members: list[view.Member]) -> tuple[view.Member, ...]:
    return tuple(sorted(members, key=lambda member: member.member_id))


class ServingSetSelector:
    """Keeps the serving set current; its daemons receive all updates."""

    def __init__(self, *, members: view.View, policy: ServingPolicy) -> None:
        """Starts without a role.

        Args:
            members: The view of all daemons.
            policy: Size of the set.
        """
        self._members = members
        self._policy = policy
        self._cached_set = assignment.CachedAssignment(self._choose)
        self._role: Role | None = None

    def current(self) -> ServingSet:
        """Returns the present serving set."""
        return self._cached_set.among(self._members.live())

    def has_role(self, role: Role) -> bool:
        """Returns whether this daemon has a role at present."""
        return self.current().role(self._members.me.member_id) is role

    def among(
        self,
        target: str,
        members: list[view.Member],
        targets: tuple[str, ...],
    ) -> list[view.Member]:
        """Returns the daemons that receive updates about a target's servers."""
        del target, targets
        if len(self._members.live()) <= self._policy.mesh_limit:
            return members
        current = self.current()
        return [*current.serving, *current.standby]

    def _choose(self, members: list[view.Member]) -> ServingSet:
        chosen = choose(members, self._policy)
        role = chosen.role(self._members.me.member_id)
        if role is not self._role:
            logging.info(
                "event=serving_role role=%s before=%s serving=%d standby=%d"
                " live=%d overloaded=%d",
                role.value,
                self._role.value if self._role else "none",
                len(chosen.serving),
                len(chosen.standby),
                len(members),
                sum(member.is_overloaded for member in chosen.serving),
            )
            self._role = role
        return chosen


__all__ = [
    "Role",
    "ServingSetSelector",
    "ServingPolicy",
    "ServingSet",
    "choose",
]
