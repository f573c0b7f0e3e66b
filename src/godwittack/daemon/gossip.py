"""Probes other daemons and exchanges membership and table versions."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from result import Err, Result

from godwittack.core import inputs
from godwittack.member import freshness, view
from godwittack.peer import codec, exchange, peer_pb2, ranges
from godwittack.peer import tables as tables_wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.daemon import peer_updates, tables
    from godwittack.daemon import runtime as runtimes
    from godwittack.peer import wire
    from godwittack.report import counters


LEAVE_TIMEOUT_MS = 3_000
LEAVE_RETRY_MS = 100
MAX_SEED_PROBES = 16
# Age up to which probes show which part of the fleet is in contact.
REACH_WINDOW_MS = 1_200


class Prober(Protocol):
    """Exchanges envelopes with other daemons."""

    async def exchange(
        self, address: str, message: peer_pb2.Envelope
    ) -> Result[peer_pb2.Envelope, exchange.PeerError]:
        """Sends an envelope and returns the peer's."""


class Gossiper:
    """Implements `PeerHandler` and the loop that probes other daemons.

    Attributes:
        list_hash: Returns the hash of the instance list to send; 0 for none.
        on_list_hash: Called with the id of a daemon and the hash of the
            instance list that it has read.
        serving_daemons: Returns the daemons that callers are sent to, sorted;
            empty for all.
    """

    def __init__(
        self,
        *,
        members: view.View,
        runtime: runtimes.Runtime,
        keeper: tables.TableKeeper,
        seed_client: Prober,
        member_client: Prober,
        updates: peer_updates.PeerUpdates,
        counts: counters.EventCounters,
        seeds: tuple[str, ...],
    ) -> None:
        """Gossips for the member `members.me`.

        Args:
            members: The view to update.
            runtime: Runs the core.
            keeper: Keeps this daemon's table.
            seed_client: Calls daemons of which only the address is known;
                answers may be of any size.
            member_client: Calls known members.
            updates: Applies updates from peers.
            counts: Counts for reports.
            seeds: Peer addresses from the settings.
        """
        self.members = members
        self._runtime = runtime
        self._keeper = keeper
        self._seed_client = seed_client
        self._member_client = member_client
        self._counts = counts
        self._settings_seeds = seeds
        self._seeds = seeds
        self._updates = updates
        self.list_hash: Callable[[], int] = lambda: 0
        self.on_list_hash: Callable[[str, int], None] = (
            lambda member_id, list_hash: None
        )
        self.serving_daemons: Callable[[], tuple[str, ...]] = lambda: ()
        self.freshness: dict[freshness.Topic, freshness.Freshness] = {}
        keeper.on_adopted = self._record_adoption
        self._tasks: set[asyncio.Task[None]] = set()
        self._probing: set[str] = set()
        self._reported_live: frozenset[str] = frozenset()
        self._reported_serving: tuple[str, ...] = ()
        self._reported_expected = 0
        self._announced = False
        # Members that know this daemon's addresses.
        self._has_own_addresses: set[str] = set()
        self._table_writer = tables_wire.TableWriter(keeper.texts)

    async def gossip_forever(self, *, gossip_ms: int) -> None:
        """Probes others each period."""
        while True:
            self.tick()
            await asyncio.sleep(gossip_ms / 1000)

    def tick(self) -> None:
        """Starts one round of probes."""
        now_ms = self._runtime.clock.now_ms()
        self.members.expire(
            now_ms=now_ms,
            may_forget=self._keeper.serving_lease.is_service_fresh(
                now_ms=now_ms
            ),
        )
        for member in self.members.probe_targets():
            self._start_probe(member.peer_address, member.member_id)
        self._probe_unknown_seeds()
        self._report_to_core(now_ms)

    async def join(self) -> None:
        """Probes seeds once, so that members are known for first decisions."""
        self._probe_unknown_seeds()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._report_to_core(self._runtime.clock.now_ms())

    def announce(self) -> None:
        """Announces this daemon to the others, once it listens to callers.

        If callers were sent to it before it listens, it would refuse their
        connections. It probes at once, since no other daemon counts it as a
        member yet.
        """
        self._announced = True
        self.tick()

    async def probe_all(self) -> None:
        """Probes every live daemon at once and waits for their answers."""
        own = self.members.me.member_id
        live = self.members.live()
        others = [member for member in live if member.member_id != own]
        await asyncio.gather(
            *(self._probe(m.peer_address, m.member_id) for m in others)
        )

    async def probe(self, member_ids: frozenset[str]) -> None:
        """Probes some live daemons, unless a probe is already under way."""
        others = member_ids - {self.members.me.member_id}
        # Two failed probes at a time would make a suspect of a daemon that was
        # late once.
        await asyncio.gather(
            *(
                self._probe(member.peer_address, member.member_id)
                for member in self.members.live()
                if member.member_id in others
                and member.peer_address not in self._probing
            )
        )

    async def stop(self) -> None:
        """Announces that this daemon leaves, until all others have replied.

        A daemon that missed it would continue to send callers to this one,
        which refuses connections. One that does not reply within
        `LEAVE_TIMEOUT_MS` is not waited for: it answers no callers either.
        """
        self.members.leave()
        clock = self._runtime.clock
        ends_ms = clock.now_ms() + LEAVE_TIMEOUT_MS
        while True:
            started_ms = clock.now_ms()
            await self.probe_all()
            unresponsive = self.members.unresponsive(since_ms=started_ms)
            if not unresponsive or clock.now_ms() >= ends_ms:
                return
            await asyncio.sleep(LEAVE_RETRY_MS / 1000)

    def record_listed_daemons(self, addresses: frozenset[str]) -> None:
        """Records the daemons in the platform's instance list.

        The list lags, so it only adds expected members and seeds; which
        members are alive is determined by probes alone.
        """
        own = frozenset((self.members.me.peer_address, *self._settings_seeds))
        self.members.expected = len(own | addresses)
        self._seeds = tuple(sorted(own | addresses))

    def handle_exchange(self, message: peer_pb2.Envelope) -> peer_pb2.Envelope:
        """Applies a probe and returns the answer."""
        is_known = self._complete_sender(message)
        sender = message.sender.member_id
        is_new = sender not in self.members.rows
        self._apply(message)
        answer = self._envelope(sender, message.sender.peer_address)
        answer.who_is_it = not is_known
        if message.who_is_it and self._announced:
            answer.sender.CopyFrom(codec.member_to_proto(self.members.me))
        if is_new:
            # A new member must know of dead members as well: started in a
            # partition of the fleet, it would consider that partition the
            # whole fleet.
            del answer.updates[:]
            answer.is_full = True
            answer.updates.extend(
                codec.member_to_proto(row.member)
                for row in self.members.rows.values()
            )
        return answer

    def handle_news(
        self, sender_id: str, news: peer_pb2.News, reader: wire.NewsReader
    ) -> None:
        """Applies a peer's updates."""
        self._updates.apply(sender_id, news, reader)

    def handle_table_request(
        self, request: peer_pb2.TableRequest
    ) -> peer_pb2.TableReply:
        """Returns the table if it is newer than the requested version."""
        return self._table_writer.reply(self._keeper.table, request)

    def handle_report_request(self) -> peer_pb2.ReportReply:
        """Returns this daemon's counts."""
        counts = self._counts.totals()
        return peer_pb2.ReportReply(report_json=counts.model_dump_json())

    def _near_daemons(self) -> tuple[str, ...]:
        """Returns the live daemons of this daemon's failure domain, sorted."""
        own_domain = self.members.me.failure_domain
        return tuple(
            member.member_id
            for member in self.members.live()
            if member.failure_domain == own_domain
        )

    def _probe_unknown_seeds(self) -> None:
        known_addresses = {
            row.member.peer_address
            for row in self.members.rows.values()
            if row.member.state is not view.MemberState.DEAD
        }
        own = self.members.me.peer_address
        unknown = [
            a for a in self._seeds if a != own and a not in known_addresses
        ]
        # One answer lists all members. Probed all at once, hundreds of new
        # connections would each exceed the timeout of a probe, and each would
        # be abandoned and opened again.
        if len(unknown) > MAX_SEED_PROBES:
            unknown = self.members.rng.sample(unknown, MAX_SEED_PROBES)
        for address in unknown:
            self._start_probe(address, "")

    def _start_probe(self, address: str, member_id: str) -> None:
        if address in self._probing:
            return
        task = asyncio.create_task(self._probe(address, member_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, address: str, member_id: str) -> None:
        self._probing.add(address)
        message = self._envelope(member_id, address)
        # A daemon that is not known here may assume that this one knows its
        # addresses, and omit them from its answer.
        message.who_is_it = not member_id
        client = self._member_client if member_id else self._seed_client
        started_ms = self._runtime.clock.now_ms()
        try:
            result = await client.exchange(address, message)
        finally:
            self._probing.discard(address)
        now_ms = self._runtime.clock.now_ms()
        if isinstance(result, Err):
            if self.members.record_failure(member_id, now_ms=now_ms):
                self._report_to_core(now_ms)
            return
        answer = result.ok_value
        self._complete_sender(answer)
        self._record_own_addresses_known(answer)
        if member_id and answer.sender.member_id != member_id:
            # A different process answers at this address now.
            self.members.record_failure(member_id, now_ms=now_ms)
        self._apply(answer)
        self._apply_beliefs(answer, started_ms)
        # Dated by the start of the probe: the answer may have waited in the
        # socket while this process was suspended, and be outdated by now.
        self.members.record_ack(
            answer.sender.member_id,
            table_version=answer.table_version,
            now_ms=started_ms,
        )

    def _envelope(self, member_id: str, address: str) -> peer_pb2.Envelope:
        return peer_pb2.Envelope(
            protocol_version=exchange.PROTOCOL_VERSION,
            sender=self._sender(member_id),
            updates=[
                codec.member_to_proto(member)
                for member in (
                    *self._entries_not_alive(member_id, address),
                    *self.members.take_updates(),
                )
            ],
            table_version=ranges.uint64(self._keeper.table.version),
            list_hash=self.list_hash(),
            beliefs=self._beliefs(),
            crashes_digest=self._runtime.core.world.quarantine.digest(),
        )

    def _beliefs(self) -> list[peer_pb2.Belief]:
        now_ms = self._runtime.clock.now_ms()
        beliefs = (
            f.current_belief(now_ms=now_ms) for f in self.freshness.values()
        )
        return [codec.belief_to_proto(belief) for belief in beliefs if belief]

    def _apply_beliefs(
        self, answer: peer_pb2.Envelope, probed_at_ms: int
    ) -> None:
        now_ms = self._runtime.clock.now_ms()
        for message in answer.beliefs:
            belief = codec.belief_from_proto(message)
            if belief is not None and belief.topic in self.freshness:
                self.freshness[belief.topic].apply_belief(
                    belief,
                    asked_at_ms=probed_at_ms,
                    now_ms=now_ms,
                    peer=answer.sender.member_id,
                )

    def _sender(self, member_id: str) -> peer_pb2.Member:
        """Returns this daemon's own entry as sent to one member.

        Its addresses take two thirds of a probe, and are omitted for a member
        whose answer has shown that it knows them.
        """
        if not self._announced:
            return peer_pb2.Member()
        me = self.members.me
        if member_id not in self._has_own_addresses:
            return codec.member_to_proto(me)
        return peer_pb2.Member(
            member_id=me.member_id,
            refutation=ranges.uint32(me.refutation),
            state=int(me.state),
            is_overloaded=me.is_overloaded,
        )

    def _record_own_addresses_known(self, answer: peer_pb2.Envelope) -> None:
        member_id = answer.sender.member_id
        if answer.who_is_it or not self._announced:
            self._has_own_addresses.discard(member_id)
        elif member_id:
            # A daemon that does not listen yet sends no id. If the empty id
            # were recorded, probes of unknown seeds would omit the addresses.
            self._has_own_addresses.add(member_id)

    def _complete_sender(self, envelope: peer_pb2.Envelope) -> bool:
        """Fills in the sender's omitted fields; returns False if unknown."""
        sender = envelope.sender
        if not sender.member_id or sender.peer_address:
            return True
        row = self.members.rows.get(sender.member_id)
        if row is None:
            # No longer known here. If applied, it would become a member
            # without an address.
            sender.Clear()
            return False
        sender.peer_address = row.member.peer_address
        sender.http_address = row.member.http_address
        sender.failure_domain = row.member.failure_domain
        sender.capacity_millicores = row.member.capacity_millicores
        return True

    def _entries_not_alive(
        self, member_id: str, address: str
    ) -> list[view.Member]:
        """Returns a daemon's entries that it may have to refute.

        Two daemons without contact for long consider each other dead, and
        gossip no longer spreads that state when they reconnect. Unless each
        receives the entry that declares it dead, it can't refute it, and
        stays out of the other's fleet until it is forgotten.
        """
        member_row = self.members.rows.get(member_id)
        rows = (member_row,) if member_row else self.members.rows.values()
        return [
            row.member
            for row in rows
            if row.member.peer_address == address
            and row.member.state is not view.MemberState.ALIVE
        ]

    def _apply(self, envelope: peer_pb2.Envelope) -> None:
        now_ms = self._runtime.clock.now_ms()
        changed = False
        for message in (envelope.sender, *envelope.updates):
            member = codec.member_from_proto(message)
            if member is not None and member.member_id:
                changed |= self.members.apply(
                    member, now_ms=now_ms, is_widely_known=envelope.is_full
                )
        if envelope.list_hash:
            self.on_list_hash(envelope.sender.member_id, envelope.list_hash)
        self._updates.compare_crashes(
            envelope.sender.member_id, envelope.crashes_digest
        )
        self._compare_versions(envelope, now_ms)
        if changed:
            self._report_to_core(now_ms)

    def _compare_versions(
        self, envelope: peer_pb2.Envelope, now_ms: int
    ) -> None:
        own = self._keeper.table.version
        self._keeper.serving_lease.record_version(
            own=own, reported=envelope.table_version, now_ms=now_ms
        )
        if envelope.table_version > own:
            self._keeper.record_heard(
                envelope.table_version, peer=envelope.sender.member_id
            )
            if freshness.Topic.TABLE in self.freshness:
                self.freshness[freshness.Topic.TABLE].record_heard(
                    envelope.table_version, now_ms=now_ms
                )
        if envelope.table_version > own and envelope.sender.peer_address:
            task = asyncio.create_task(
                self._keeper.fetch_from_peer(envelope.sender.peer_address)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _record_adoption(self) -> None:
        now_ms = self._runtime.clock.now_ms()
        own = self._keeper.table.version
        self._keeper.serving_lease.record_version(
            own=own, reported=own, now_ms=now_ms
        )
        self._report_to_core(now_ms)

    def _report_to_core(self, now_ms: int) -> None:
        live = frozenset(m.member_id for m in self.members.live())
        submit = self._runtime.submit
        serving_daemons = self.serving_daemons()
        expected = self.members.expected_address_count()
        before = (
            self._reported_live,
            self._reported_serving,
            self._reported_expected,
        )
        if (live, serving_daemons, expected) != before:
            for removed_id in self._reported_live - live:
                submit(inputs.PeerDemand(now_ms, removed_id, False))
                self._updates.remove_peer(removed_id)
                self._has_own_addresses.discard(removed_id)
            submit(
                inputs.MembersChanged(
                    now_ms,
                    tuple(sorted(live)),
                    serving_daemons,
                    expected,
                    self._near_daemons(),
                )
            )
            self._reported_expected = expected
            self._reported_live = live
            self._reported_serving = serving_daemons
        submit(
            inputs.FleetReached(
                now_ms,
                self.members.reachable_fraction(
                    now_ms=now_ms, within_ms=REACH_WINDOW_MS
                ),
            )
        )
        until_ms = self._keeper.serving_lease.valid_until_ms(
            self.members,
            own_version=self._keeper.table.version,
            now_ms=now_ms,
        )
        if until_ms != self._runtime.core.world.serving_lease_until_ms:
            submit(inputs.RightToServe(now_ms, until_ms))


__all__ = ["Gossiper", "Prober"]
