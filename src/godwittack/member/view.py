"""Membership by sparse probing and gossip, after SWIM (Das et al. 2002)."""

from __future__ import annotations

import dataclasses
import enum
import math
import random

ENVELOPE_UPDATES = 12
# Transmissions of one member's state by each daemon: this many times the binary
# logarithm of the fleet's size, but not fewer than the second.
RETRANSMIT_FACTOR = 2
MIN_RETRANSMITS = 12
# More transmissions than any state needs.
FULLY_TRANSMITTED = 1_000


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
        capacity_millicores: Processor time that its machine gives it.
        is_overloaded: Whether it is late with its own timers.
        refutation: Raised by the member itself against a false suspicion, and
            with each change of what it says of itself.
    """

    member_id: str
    peer_address: str
    http_address: str
    failure_domain: str
    capacity_millicores: int = 0
    is_overloaded: bool = False
    refutation: int = 0
    state: MemberState = MemberState.ALIVE


@dataclasses.dataclass(slots=True, kw_only=True)
class MemberRow:
    """A member with what this daemon knows of it.

    Attributes:
        since_ms: When its state last changed here.
        probed_at_ms: When a probe of it last ended, either way.
        failed_pings: Probes in a row that it did not answer.
        transmissions: How often its latest state was passed on.
        table_version: Table version it last told.
        has_left: Whether it announced that it leaves; missing responses from
            it then do not count as a lost daemon.
    """

    member: Member
    since_ms: int
    probed_at_ms: int = -1_000_000
    failed_pings: int = 0
    transmissions: int = 0
    table_version: int = 0
    has_left: bool = False


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
        contact_ms: How long a judgement on contacts holds.
        behind_ms: Time to fetch a newer table that was heard of.
        lease_ms: Age up to which a reading of the table's version from the
            service is enough to serve.
    """

    fanout: int = 4
    suspect_after: int = 2
    suspect_ms: int = 2_000
    forget_ms: int = 60_000
    quorum_ms: int = 2_500
    contact_ms: int = 1_000
    behind_ms: int = 500
    lease_ms: int = 3_500

    def table_expiry_ms(self, *, gossip_ms: int) -> int:
        """Returns after which time an older table is served nowhere.

        Counted from the moment when more than half of the daemons have a
        version: any other daemon has by then lost its lease, and every
        judgement of its contacts rests on answers given since, one of which
        told of the version; it has fetched it or stopped.
        """
        by_contact_ms = self.quorum_ms + self.contact_ms + self.behind_ms
        return max(self.lease_ms, by_contact_ms) + gossip_ms


@dataclasses.dataclass(slots=True)
class View:
    """This daemon's view of all daemons.

    Attributes:
        expected: Daemons that the settings and the platform's list name, this
            one included.
    """

    me: Member
    policy: MemberPolicy
    rng: random.Random
    expected: int = 1
    rows: dict[str, MemberRow] = dataclasses.field(default_factory=dict)
    _order: list[str] = dataclasses.field(default_factory=list)
    _live: list[Member] | None = None
    _serving: list[Member] | None = None

    def live(self) -> list[Member]:
        """Returns members believed alive, this one included, by id.

        The same list until a member changes; it is asked for with each
        message.
        """
        if self._live is None:
            found = [self.me]
            for row in self.rows.values():
                if row.member.state is not MemberState.DEAD:
                    found.append(row.member)
            self._live = sorted(found, key=lambda member: member.member_id)
            self._serving = None
        return self._live

    def serving(self) -> list[Member]:
        """Returns live members that are neither suspected nor leaving.

        The same list until a member changes, as `live`.
        """
        live = self.live()
        if self._serving is None:
            self._serving = [m for m in live if m.state is MemberState.ALIVE]
        return self._serving

    def unresponsive(self, *, since_ms: int) -> list[MemberRow]:
        """Returns members not known dead that have not answered since then."""
        return [
            row
            for row in self.rows.values()
            if row.member.state is not MemberState.DEAD
            and (row.failed_pings or row.probed_at_ms < since_ms)
        ]

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
        # Among hundreds a member's turn comes after most of a minute. One
        # that failed is asked again at once, or its death would show that
        # late.
        chosen = self._failing_members()
        for member in chosen:
            del by_id[member.member_id]
        most = min(len(live), len(chosen) + self.policy.fanout)
        while len(chosen) < most:
            if not self._order:
                self._order = sorted(by_id)
                self.rng.shuffle(self._order)
            name = self._order.pop()
            if name in by_id:
                chosen.append(by_id.pop(name))
        return chosen

    def _failing_members(self) -> list[Member]:
        found = [
            row.member
            for row in self.rows.values()
            if row.failed_pings and row.member.state is not MemberState.DEAD
        ]
        return found[: self.policy.fanout]

    def updates(self) -> list[Member]:
        """Returns the member states to pass on, the least told ones first."""
        rounds = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.rows) + 2))
        limit = max(MIN_RETRANSMITS, rounds)
        fresh = [r for r in self.rows.values() if r.transmissions < limit]
        fresh.sort(key=lambda row: row.transmissions)
        chosen = fresh[:ENVELOPE_UPDATES]
        for row in chosen:
            row.transmissions += 1
        return [row.member for row in chosen]

    def apply(
        self, told: Member, *, now_ms: int, is_widely_known: bool = False
    ) -> bool:
        """Takes in a member's state; returns True where it is news.

        Args:
            told: The member's state.
            now_ms: Time of receipt.
            is_widely_known: Whether all daemons received it long ago. A new
                daemon that retransmitted hundreds of such states would need a
                minute for it.
        """
        if told.member_id == self.me.member_id:
            return self._refute(told)
        row = self.rows.get(told.member_id)
        if row is None:
            if told.state is not MemberState.DEAD:
                self._replace_predecessor(told)
            elif self._is_replaced(told):
                return False
            self.rows[told.member_id] = MemberRow(
                member=told,
                since_ms=now_ms,
                has_left=told.state is MemberState.LEAVING,
                transmissions=FULLY_TRANSMITTED if is_widely_known else 0,
            )
            self._live = None
            return True
        known = (row.member.refutation, row.member.state)
        if (told.refutation, told.state) <= known:
            return False
        self._update_row(row, told, now_ms)
        return True

    def record_ack(
        self, member_id: str, *, table_version: int, now_ms: int
    ) -> None:
        """Counts an answered probe."""
        row = self.rows.get(member_id)
        if row is None:
            return
        row.probed_at_ms = now_ms
        row.failed_pings = 0
        row.table_version = max(row.table_version, table_version)

    def record_failure(self, member_id: str, *, now_ms: int) -> bool:
        """Counts an unanswered probe; returns True on a new suspicion."""
        row = self.rows.get(member_id)
        if row is None:
            return False
        row.probed_at_ms = now_ms
        row.failed_pings += 1
        trusted = row.member.state in (MemberState.ALIVE, MemberState.LEAVING)
        if row.failed_pings < self.policy.suspect_after or not trusted:
            return False
        self._update_row(
            row,
            dataclasses.replace(row.member, state=MemberState.SUSPECT)
            if row.member.state is MemberState.ALIVE
            else dataclasses.replace(row.member, state=MemberState.DEAD),
            now_ms,
        )
        return True

    def expire(self, *, now_ms: int, may_forget: bool) -> bool:
        """Turns old suspicions into deaths; returns True where any did.

        Args:
            now_ms: Time of the upkeep.
            may_forget: Whether old deaths may be forgotten. A daemon without
                the table service must remember them: cut off with a part of
                the others, it would take that part for the whole system.
        """
        changed = False
        for name, row in list(self.rows.items()):
            age_ms = now_ms - row.since_ms
            state = row.member.state
            if (
                state is MemberState.SUSPECT
                and age_ms >= self.policy.suspect_ms
            ):
                dead = dataclasses.replace(row.member, state=MemberState.DEAD)
                self._update_row(row, dead, now_ms)
                changed = True
            elif (
                state is MemberState.DEAD
                and age_ms >= self.policy.forget_ms
                and may_forget
            ):
                del self.rows[name]
                self._live = None
        return changed

    def leave(self) -> None:
        """Marks this daemon as leaving; the next probes tell the others."""
        self.me = dataclasses.replace(self.me, state=MemberState.LEAVING)
        self._live = None

    def set_overloaded(self, is_overloaded: bool) -> None:
        """Has the others told that this daemon is overloaded, or no more."""
        self.me = dataclasses.replace(
            self.me,
            is_overloaded=is_overloaded,
            refutation=self.me.refutation + 1,
        )
        self._live = None

    def expected_count(self) -> int:
        """Returns how many daemons there should be, this one included."""
        rows = [row for row in self.rows.values() if not row.has_left]
        return max(1 + len(rows), self.expected)

    def expected_address_count(self) -> int:
        """Returns at how many addresses there should be daemons.

        A daemon that was started again counts once, one that does not answer
        as well.
        """
        found = {
            row.member.peer_address
            for row in self.rows.values()
            if not row.has_left
        }
        return max(len(found | {self.me.peer_address}), self.expected)

    def reachable_fraction(self, *, now_ms: int) -> float:
        """Returns which part of the known daemons answered lately.

        Daemons known dead count as known, and at least as many as the
        settings name: a daemon that is cut off believes all others dead, and
        must not conclude that it is the whole system. In a large fleet only
        some are probed in the time that counts; the rest is taken to answer
        as these did.
        """
        live = [
            row
            for row in self.rows.values()
            if not row.has_left and row.member.state is not MemberState.DEAD
        ]
        probed = [
            row
            for row in live
            if now_ms - row.probed_at_ms <= self.policy.quorum_ms
        ]
        answered = sum(1 for row in probed if row.failed_pings == 0)
        heard = len(live) * answered / len(probed) if probed else 0.0
        return (1 + heard) / self.expected_count()

    def _refute(self, told: Member) -> bool:
        accused = told.state in (MemberState.SUSPECT, MemberState.DEAD)
        if not accused or told.refutation < self.me.refutation:
            return False
        self.me = dataclasses.replace(self.me, refutation=told.refutation + 1)
        self._live = None
        return True

    def _is_replaced(self, told: Member) -> bool:
        """Returns whether another process lives at a dead one's address.

        News of the death may come after the successor's first word. Taken in,
        the dead one would count as a daemon that is lost, and a change would
        wait for it.
        """
        return any(
            member.peer_address == told.peer_address for member in self.live()
        )

    def _replace_predecessor(self, told: Member) -> None:
        """Forgets the process that had the address before.

        It is not a lost contact: its place is taken.
        """
        for name, row in list(self.rows.items()):
            if row.member.peer_address == told.peer_address:
                del self.rows[name]
                self._live = None

    def _update_row(self, row: MemberRow, member: Member, now_ms: int) -> None:
        self._live = None
        row.member = member
        row.since_ms = now_ms
        row.transmissions = 0
        row.has_left = row.has_left or member.state is MemberState.LEAVING


__all__ = [
    "Member",
    "MemberPolicy",
    "MemberRow",
    "MemberState",
    "View",
]
