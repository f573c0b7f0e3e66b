"""Membership by sparse probing and gossip, after SWIM (Das et al. 2002)."""

from __future__ import annotations

import dataclasses
import enum
import math
import random

ENVELOPE_UPDATES = 12
RETRANSMIT_FACTOR = 4


class MemberState(enum.IntEnum):
    """What is believed of a daemon; at equal refutation the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One daemon process; a restart makes a new member.

    Attributes:
        member_id: Name and a nonce of the process, such as `entry-1@9f2c`.
        peer_address: IP and port for other daemons.
        http_address: IP and port for callers.
        refutation: Raised by the member itself against a false suspicion.
    """

    member_id: str
    peer_address: str
    http_address: str
    failure_domain: str
    refutation: int = 0
    state: MemberState = MemberState.ALIVE


@dataclasses.dataclass(slots=True, kw_only=True)
class MemberRow:
    """A member with what this daemon knows of it.

    Attributes:
        since_ms: When its state last changed here.
        acked_at_ms: When it last answered this daemon.
        failed_pings: Probes in a row that it did not answer.
        transmissions: How often its latest state was passed on.
        table_version: Table version it last told.
    """

    member: Member
    since_ms: int
    acked_at_ms: int = 0
    failed_pings: int = 0
    transmissions: int = 0
    table_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberPolicy:
    """Tunable numbers of the membership.

    Attributes:
        fanout: Members probed a tick, all of them while there are no more.
        suspect_after: Failed probes in a row until a member is suspected.
        suspect_ms: Time to refute a suspicion before a member counts as dead.
        forget_ms: How long a dead or departed member is remembered, so that
            late gossip does not bring it back.
        quorum_ms: Age up to which an answered probe counts as contact.
        lease_ms: Age up to which a reading of the table's version from the
            service is enough to serve.
    """

    fanout: int = 4
    suspect_after: int = 2
    suspect_ms: int = 2_000
    forget_ms: int = 60_000
    quorum_ms: int = 2_500
    lease_ms: int = 3_500


@dataclasses.dataclass(slots=True)
class View:
    """This daemon's view of all daemons.

    Attributes:
        expected: Daemons that the settings name, this one included.
    """

    me: Member
    policy: MemberPolicy
    rng: random.Random
    expected: int = 1
    rows: dict[str, MemberRow] = dataclasses.field(default_factory=dict)
    _order: list[str] = dataclasses.field(default_factory=list)

    def live(self) -> list[Member]:
        """Returns members believed alive, this one included, by id."""
        found = [self.me]
        for row in self.rows.values():
            if row.member.state is not MemberState.DEAD:
                found.append(row.member)
        return sorted(found, key=lambda member: member.member_id)

    def serving(self) -> list[Member]:
        """Returns live members that are neither suspected nor leaving."""
        return [m for m in self.live() if m.state is MemberState.ALIVE]

    def probe_targets(self) -> list[Member]:
        """Returns whom to probe this tick, each in turn in random order."""
        live = [
            row.member
            for row in self.rows.values()
            if row.member.state is not MemberState.DEAD
        ]
        if len(live) <= self.policy.fanout:
            return live
        by_id = {member.member_id: member for member in live}
        chosen: list[Member] = []
        while len(chosen) < self.policy.fanout:
            if not self._order:
                self._order = sorted(by_id)
                self.rng.shuffle(self._order)
            name = self._order.pop()
            if name in by_id:
                chosen.append(by_id.pop(name))
        return chosen

    def updates(self) -> list[Member]:
        """Returns the member states to pass on, the least told ones first."""
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.rows) + 2))
        fresh = [r for r in self.rows.values() if r.transmissions < limit]
        fresh.sort(key=lambda row: row.transmissions)
        chosen = fresh[:ENVELOPE_UPDATES]
        for row in chosen:
            row.transmissions += 1
        return [row.member for row in chosen]

    def heard(self, told: Member, *, now_ms: int) -> bool:
        """Takes in a member's state; returns True where it is news."""
        if told.member_id == self.me.member_id:
            return self._refute(told)
        row = self.rows.get(told.member_id)
        if row is None:
            if told.state is MemberState.DEAD:
                return False
            self._replace_predecessor(told, now_ms)
            self.rows[told.member_id] = MemberRow(member=told, since_ms=now_ms)
            return True
        if row.member.state is MemberState.DEAD:
            return False
        known = (row.member.refutation, row.member.state)
        if (told.refutation, told.state) <= known:
            return False
        self._set(row, told, now_ms)
        return True

    def acked(self, member_id: str, *, table_version: int, now_ms: int) -> None:
        """Counts an answered probe."""
        row = self.rows.get(member_id)
        if row is None:
            return
        row.acked_at_ms = now_ms
        row.failed_pings = 0
        row.table_version = max(row.table_version, table_version)

    def failed(self, member_id: str, *, now_ms: int) -> bool:
        """Counts an unanswered probe; returns True on a new suspicion."""
        row = self.rows.get(member_id)
        if row is None:
            return False
        row.failed_pings += 1
        trusted = row.member.state in (MemberState.ALIVE, MemberState.LEAVING)
        if row.failed_pings < self.policy.suspect_after or not trusted:
            return False
        self._set(
            row,
            dataclasses.replace(row.member, state=MemberState.SUSPECT)
            if row.member.state is MemberState.ALIVE
            else dataclasses.replace(row.member, state=MemberState.DEAD),
            now_ms,
        )
        return True

    def expire(self, *, now_ms: int) -> bool:
        """Turns old suspicions into deaths; returns True where any did."""
        changed = False
        for name, row in list(self.rows.items()):
            age_ms = now_ms - row.since_ms
            state = row.member.state
            if (
                state is MemberState.SUSPECT
                and age_ms >= self.policy.suspect_ms
            ):
                dead = dataclasses.replace(row.member, state=MemberState.DEAD)
                self._set(row, dead, now_ms)
                changed = True
            elif state is MemberState.DEAD and age_ms >= self.policy.forget_ms:
                del self.rows[name]
        return changed

    def leave(self) -> None:
        """Marks this daemon as leaving; the next probes tell the others."""
        self.me = dataclasses.replace(self.me, state=MemberState.LEAVING)

    def contact_share(self, *, now_ms: int) -> float:
        """Returns which part of the known daemons answered lately.

        Daemons known dead for less than `forget_ms` count as known, and at
        least as many as the settings name: a daemon that is cut off believes
        all others dead, and must not conclude that it is the whole system.
        """
        known = 1
        heard = 1
        for row in self.rows.values():
            if row.member.state is MemberState.LEAVING:
                continue
            known += 1
            # A daemon never probed yet is neither lost nor found.
            if now_ms - row.acked_at_ms <= self.policy.quorum_ms:
                heard += 1
        return heard / max(known, self.expected)

    def _refute(self, told: Member) -> bool:
        accused = told.state in (MemberState.SUSPECT, MemberState.DEAD)
        if not accused or told.refutation < self.me.refutation:
            return False
        self.me = dataclasses.replace(self.me, refutation=told.refutation + 1)
        return True

    def _replace_predecessor(self, told: Member, now_ms: int) -> None:
        """Counts the process that had the address before as dead at once."""
        for row in self.rows.values():
            same = row.member.peer_address == told.peer_address
            if same and row.member.state is not MemberState.DEAD:
                dead = dataclasses.replace(row.member, state=MemberState.DEAD)
                self._set(row, dead, now_ms)
        # The predecessor is not a lost contact: its place is taken.
        for name, row in list(self.rows.items()):
            if row.member.peer_address == told.peer_address:
                del self.rows[name]

    def _set(self, row: MemberRow, member: Member, now_ms: int) -> None:
        row.member = member
        row.since_ms = now_ms
        row.transmissions = 0


@dataclasses.dataclass(slots=True)
class ServeRight:
    """Decides whether this daemon may claim that its table is current.

    A daemon that reads the table's version from the service is current. When
    the service is silent, it is current as long as it is in contact with more
    than half of the known daemons and lags none of them: a change counts as
    accepted only once more than half have it, so that one of those it hears
    would tell of it. See docs/design/table.md.
    """

    policy: MemberPolicy
    service_read_at_ms: int = -1_000_000
    behind_since_ms: int = -1

    def service_read(self, *, now_ms: int) -> None:
        """Counts a reading of the newest version from the service."""
        self.service_read_at_ms = now_ms

    def compared(self, *, own: int, newest_told: int, now_ms: int) -> None:
        """Takes in the newest version that anyone told."""
        if newest_told <= own:
            self.behind_since_ms = -1
        elif self.behind_since_ms < 0:
            self.behind_since_ms = now_ms

    def held(self, view: View, *, own_version: int, now_ms: int) -> bool:
        """Returns whether new work may start."""
        if own_version == 0:
            return False
        if (
            self.behind_since_ms >= 0
            and now_ms - self.behind_since_ms > self.policy.quorum_ms
        ):
            return False
        if now_ms - self.service_read_at_ms <= self.policy.lease_ms:
            return True
        return view.contact_share(now_ms=now_ms) > 0.5


__all__ = [
    "Member",
    "MemberPolicy",
    "MemberRow",
    "MemberState",
    "ServeRight",
    "View",
]
