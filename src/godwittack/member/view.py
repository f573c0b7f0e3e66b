"""Membership by sparse probing and gossip, after SWIM (Das et al. 2002)."""

from __future__ import annotations

import dataclasses
import enum
import math
import random

MAX_ENVELOPE_UPDATES = 12
# Each daemon transmits one member's state RETRANSMIT_FACTOR times the binary
# logarithm of the fleet's size, but at least MIN_RETRANSMITS times.
RETRANSMIT_FACTOR = 2
MIN_RETRANSMITS = 12
# Transmission count of a state that needs no retransmission; above any limit.
FULLY_TRANSMITTED = 1_000


class MemberState(enum.IntEnum):
    """Believed state of a daemon; at equal refutation the higher one wins."""

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
        is_overloaded: Whether its timers fire late.
        refutation: Incremented by the member itself to refute a false
            suspicion, and with each change of the state that it announces.
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
    """A member and what this daemon knows about it.

    Attributes:
        since_ms: When its state last changed here.
        probed_at_ms: When a probe of it last ended, answered or not.
        failed_pings: Consecutive probes that it did not answer.
        transmissions: How often its latest state was sent to peers.
        table_version: Table version that it last reported.
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
        fanout: Members probed per tick; all of them if there are no more.
        suspect_after: Consecutive failed probes after which a member is
            suspected.
        suspect_ms: Time to refute a suspicion before a member counts as dead.
        forget_ms: How long a dead or departed member is remembered, so that
            late gossip does not add it again.
        quorum_ms: Age up to which an answered probe counts as contact.
        contact_ms: How long a serving lease granted by contact lasts.
        behind_ms: Time to fetch a newer table that a peer reported.
        lease_ms: Age up to which a read of the table's version from the
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
        """Returns the time after which no daemon serves an older table.

        It counts from the moment when more than half of the daemons have a
        version. When it has passed, any other daemon's lease by the service
        has expired, and a lease by contact needs replies sent since that
        moment, at least one of which reported the version; the daemon has
        fetched it or stopped serving.
        """
        by_contact_ms = self.quorum_ms + self.contact_ms + self.behind_ms
        return max(self.lease_ms, by_contact_ms) + gossip_ms


@dataclasses.dataclass(slots=True)
class View:
    """This daemon's view of all daemons.

    Attributes:
        expected: Number of daemons in the settings and the platform's list,
            this one included.
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
        """Returns members not known to be dead, this one included, by id.

        It is called for each message, so the same list is returned until a
        member changes.
        """
        if self._live is None:
            live = [self.me]
            for row in self.rows.values():
                if row.member.state is not MemberState.DEAD:
                    live.append(row.member)
            self._live = sorted(live, key=lambda member: member.member_id)
            self._serving = None
        return self._live

    def serving(self) -> list[Member]:
        """Returns live members that are neither suspected nor leaving.

        Like `live`, returns the same list until a member changes.
        """
        live = self.live()
        if self._serving is None:
            self._serving = [m for m in live if m.state is MemberState.ALIVE]
        return self._serving

    def unresponsive(self, *, since_ms: int) -> list[MemberRow]:
        """Returns live members without an answered probe since `since_ms`."""
        return [
            row
            for row in self.rows.values()
            if row.member.state is not MemberState.DEAD
            and (row.failed_pings or row.probed_at_ms < since_ms)
        ]

    def probe_targets(self) -> list[Member]:
        """Returns the members to probe this tick, in a random rotation."""
        live = [
            row.member
            for row in self.rows.values()
            if row.member.state is not MemberState.DEAD
        ]
        if len(live) <= self.policy.fanout:
            return live
        by_id = {member.member_id: member for member in live}
        # With hundreds of members, a rotation takes most of a minute. A member
        # that failed a probe is probed again at once; otherwise its death
        # would be detected that late.
        chosen = self._failing_members()
        for member in chosen:
            del by_id[member.member_id]
        max_probes = min(len(live), len(chosen) + self.policy.fanout)
        while len(chosen) < max_probes:
            if not self._order:
                self._order = sorted(by_id)
                self.rng.shuffle(self._order)
            member_id = self._order.pop()
            if member_id in by_id:
                chosen.append(by_id.pop(member_id))
        return chosen

    def _failing_members(self) -> list[Member]:
        failing = [
            row.member
            for row in self.rows.values()
            if row.failed_pings and row.member.state is not MemberState.DEAD
        ]
        return failing[: self.policy.fanout]

    def take_updates(self) -> list[Member]:
        """Returns and counts the states to send, least transmitted first."""
        rounds = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.rows) + 2))
        limit = max(MIN_RETRANSMITS, rounds)
        fresh = [r for r in self.rows.values() if r.transmissions < limit]
        fresh.sort(key=lambda row: row.transmissions)
        chosen = fresh[:MAX_ENVELOPE_UPDATES]
        for row in chosen:
            row.transmissions += 1
        return [row.member for row in chosen]

    def apply(
        self, reported: Member, *, now_ms: int, is_widely_known: bool = False
    ) -> bool:
        """Applies a reported member state; returns whether it was newer.

        Args:
            reported: The member's state.
            now_ms: Time of receipt.
            is_widely_known: Whether all daemons received it long ago. A new
                daemon that retransmitted hundreds of such states would need a
                minute for it.
        """
        if reported.member_id == self.me.member_id:
            return self._refute(reported)
        row = self.rows.get(reported.member_id)
        if row is None:
            if reported.state is not MemberState.DEAD:
                self._remove_predecessor(reported)
            elif self._is_replaced(reported):
                return False
            self.rows[reported.member_id] = MemberRow(
                member=reported,
                since_ms=now_ms,
                has_left=reported.state is MemberState.LEAVING,
                transmissions=FULLY_TRANSMITTED if is_widely_known else 0,
            )
            self._live = None
            return True
        known = (row.member.refutation, row.member.state)
        if (reported.refutation, reported.state) <= known:
            return False
        self._update_row(row, reported, now_ms)
        return True

    def record_ack(
        self, member_id: str, *, table_version: int, now_ms: int
    ) -> None:
        """Records an answered probe."""
        row = self.rows.get(member_id)
        if row is None:
            return
        row.probed_at_ms = now_ms
        row.failed_pings = 0
        row.table_version = max(row.table_version, table_version)

    def record_failure(self, member_id: str, *, now_ms: int) -> bool:
        """Records a failed probe; returns whether this changed the state."""
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
        """Marks members suspected for too long as dead; returns if any was.

        Args:
            now_ms: Time of the call.
            may_forget: Whether members dead for long may be removed. A daemon
                without the table service must keep them: cut off together
                with a part of the fleet, it would treat that part as the
                whole fleet.
        """
        changed = False
        for member_id, row in list(self.rows.items()):
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
                del self.rows[member_id]
                self._live = None
        return changed

    def leave(self) -> None:
        """Marks this daemon as leaving; the next probes announce it."""
        self.me = dataclasses.replace(self.me, state=MemberState.LEAVING)
        self._live = None

    def set_overloaded(self, is_overloaded: bool) -> None:
        """Sets whether this daemon is overloaded, for the next probes."""
        self.me = dataclasses.replace(
            self.me,
            is_overloaded=is_overloaded,
            refutation=self.me.refutation + 1,
        )
        self._live = None

    def expected_count(self) -> int:
        """Returns the expected number of daemons, this one included."""
        rows = [row for row in self.rows.values() if not row.has_left]
        return max(1 + len(rows), self.expected)

    def expected_address_count(self) -> int:
        """Returns the expected number of daemon addresses.

        A restarted daemon counts once; one that does not respond counts too.
        """
        addresses = {
            row.member.peer_address
            for row in self.rows.values()
            if not row.has_left
        }
        return max(len(addresses | {self.me.peer_address}), self.expected)

    def reachable_fraction(
        self, *, now_ms: int, within_ms: int | None = None
    ) -> float:
        """Returns the fraction of the expected daemons in recent contact.

        Dead daemons count as expected, and the total is at least the number in
        the settings: a daemon that is cut off believes all others to be dead,
        and must not conclude that it is the whole fleet. In a large fleet only
        some daemons are probed in time; the same fraction of the others is
        assumed to be reachable.

        Args:
            now_ms: Time of the call.
            within_ms: Age up to which a probe counts; `quorum_ms` if None.
        """
        max_age_ms = self.policy.quorum_ms if within_ms is None else within_ms
        live = [
            row
            for row in self.rows.values()
            if not row.has_left and row.member.state is not MemberState.DEAD
        ]
        probed = [
            row for row in live if now_ms - row.probed_at_ms <= max_age_ms
        ]
        answered = sum(1 for row in probed if row.failed_pings == 0)
        reachable = len(live) * answered / len(probed) if probed else 0.0
        return (1 + reachable) / self.expected_count()

    def _refute(self, reported: Member) -> bool:
        is_reported_failed = reported.state in (
            MemberState.SUSPECT,
            MemberState.DEAD,
        )
        if not is_reported_failed or reported.refutation < self.me.refutation:
            return False
        self.me = dataclasses.replace(
            self.me, refutation=reported.refutation + 1
        )
        self._live = None
        return True

    def _is_replaced(self, dead: Member) -> bool:
        """Returns whether another process runs at a dead member's address.

        The report of the death may arrive after the successor's first message.
        If it were recorded, the dead member would count as a lost daemon, and
        a change would wait for it.
        """
        return any(
            member.peer_address == dead.peer_address for member in self.live()
        )

    def _remove_predecessor(self, successor: Member) -> None:
        """Removes the process that had the address before.

        It does not count as a lost daemon, since its successor replaces it.
        """
        for member_id, row in list(self.rows.items()):
            if row.member.peer_address == successor.peer_address:
                del self.rows[member_id]
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
