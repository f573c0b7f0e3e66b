"""Exchanges membership, versions, demand and news with other daemons."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING

from result import Err

from godwittack.core import inputs
from godwittack.member import duty, view
from godwittack.peer import codec, exchange, peer_pb2
from godwittack.table import schema

if TYPE_CHECKING:
    from godwittack.daemon import runtime as runtimes
    from godwittack.daemon import tables
    from godwittack.report import ledger


@dataclasses.dataclass(slots=True)
class PeerNews:
    """What waits to be told to one peer.

    Attributes:
        loads: Newest report of each server.
        digests: Cache digests in order.
        leaving: Servers seen leaving.
        draining: Servers that get no work while they load weights.
    """

    loads: dict[str, inputs.LoadReported] = dataclasses.field(
        default_factory=dict
    )
    digests: list[inputs.CacheDigest] = dataclasses.field(default_factory=list)
    leaving: set[str] = dataclasses.field(default_factory=set)
    draining: set[str] = dataclasses.field(default_factory=set)


MAX_DIGESTS = 64
LEAVE_MS = 3_000
LEAVE_PAUSE_MS = 100
# How long a drain holds at a daemon that hears no more of it.
DRAIN_MS = 3_000


class Gossiper:
    """Implements `PeerHandler` and the loop that probes other daemons."""

    def __init__(
        self,
        *,
        members: view.View,
        runtime: runtimes.Runtime,
        keeper: tables.TableKeeper,
        client: exchange.PeerClient,
        counts: ledger.Ledger,
        seeds: tuple[str, ...],
    ) -> None:
        """Gossips for the member `members.me`."""
        self.members = members
        self._runtime = runtime
        self._keeper = keeper
        self._client = client
        self._counts = counts
        self._settings_seeds = seeds
        self._seeds = seeds
        self._news: dict[str, PeerNews] = collections.defaultdict(PeerNews)
        keeper.on_adopted = self._adopted
        self._tasks: set[asyncio.Task[None]] = set()
        self._probing: set[str] = set()
        self._told_live: frozenset[str] = frozenset()
        self._known_leaving: set[str] = set()
        self._announced = False

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
            may_forget=self._keeper.right.service_fresh(now_ms=now_ms),
        )
        probed: set[str] = set()
        for member in self.members.probe_targets():
            self._start_probe(member.peer_address, member.member_id)
            probed.add(member.peer_address)
        for member in self.members.live():
            waiting = self._news.get(member.member_id)
            if waiting is not None and member.peer_address not in probed:
                self._start_probe(member.peer_address, member.member_id)
        self._probe_unknown_seeds()
        self._tell_core(now_ms)

    async def join(self) -> None:
        """Asks all seeds once, so that the first decisions know them."""
        self._probe_unknown_seeds()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tell_core(self._runtime.clock.now_ms())

    def announce(self) -> None:
        """Lets others know of this daemon, once it listens to callers.

        Named by `where` before it listens, it would refuse connections.
        """
        self._announced = True

    async def spread_now(self) -> None:
        """Tells every live daemon at once and waits for their answers."""
        others = [
            member
            for member in self.members.live()
            if member.member_id != self.members.me.member_id
        ]
        await asyncio.gather(
            *(self._probe(m.peer_address, m.member_id) for m in others)
        )

    async def stop(self) -> None:
        """Tells the others that this daemon leaves, until all have heard.

        A daemon that missed it would go on naming this one to callers, who
        would find its door closed. One that does not answer for `LEAVE_MS`
        is not waited for: it answers no callers either.
        """
        self.members.leave()
        clock = self._runtime.clock
        ends_ms = clock.now_ms() + LEAVE_MS
        while True:
            started_ms = clock.now_ms()
            await self.spread_now()
            unheard = [
                row
                for row in self.members.rows.values()
                if row.member.state is not view.MemberState.DEAD
                and (row.failed_pings or row.probed_at_ms < started_ms)
            ]
            if not unheard or clock.now_ms() >= ends_ms:
                return
            await asyncio.sleep(LEAVE_PAUSE_MS / 1000)

    def entries_listed(self, addresses: frozenset[str]) -> None:
        """Takes in the daemons that the platform's list names.

        The list lags, so that it only adds to whom there should be and to
        whom to ask; who is alive is told by probes alone.
        """
        own = frozenset((self.members.me.peer_address, *self._settings_seeds))
        self.members.expected = len(own | addresses)
        self._seeds = tuple(sorted(own | addresses))

    def publish_load(self, load: inputs.LoadReported, target: str) -> None:
        """Queues a load report for the daemons that serve its model."""
        for name in self._audience(target):
            self._news[name].loads[load.server_id] = load

    def publish_digest(self, digest: inputs.CacheDigest, target: str) -> None:
        """Queues a cache digest for the daemons that serve its model."""
        for name in self._audience(target):
            waiting = self._news[name].digests
            waiting.append(digest)
            # A peer that can't be reached must not fill our memory; what it
            # misses costs a recomputation each.
            del waiting[:-MAX_DIGESTS]

    def publish_leaving(self, server_id: str) -> None:
        """Queues a server's leaving for every daemon, once."""
        if server_id in self._known_leaving:
            return
        self._known_leaving.add(server_id)
        for member in self.members.live():
            if member.member_id != self.members.me.member_id:
                self._news[member.member_id].leaving.add(server_id)

    def publish_draining(self, server_id: str) -> None:
        """Queues a drain for every daemon; it lapses unless told again."""
        for member in self.members.live():
            if member.member_id != self.members.me.member_id:
                self._news[member.member_id].draining.add(server_id)

    def forget_leaving(self, server_id: str) -> None:
        """Allows a server's leaving to be told anew."""
        self._known_leaving.discard(server_id)

    def exchanged(self, told: peer_pb2.Envelope) -> peer_pb2.Envelope:
        """Takes in a probe and answers it."""
        sender = told.sender.member_id
        is_new = sender not in self.members.rows
        self._take_in(told)
        answer = self._envelope(self._news.pop(sender, PeerNews()))
        if is_new:
            # A newcomer must know of the dead as well: started in a part of
            # the fleet that is cut off, it would take that part for all.
            del answer.updates[:]
            answer.updates.extend(
                codec.member_to_proto(row.member)
                for row in self.members.rows.values()
            )
        answer.updates.extend(self._accusations(told.sender.peer_address))
        return answer

    def table(self, asked: peer_pb2.TableRequest) -> peer_pb2.TableReply:
        """Returns the table where it is newer than the one named."""
        table = self._keeper.table
        reply = peer_pb2.TableReply(version=table.version)
        if table.version > asked.known_version:
            reply.table_json = schema.table_to_json(table)
        return reply

    def report(self) -> peer_pb2.ReportReply:
        """Returns this daemon's counts."""
        counts = self._counts.counts()
        return peer_pb2.ReportReply(report_json=counts.model_dump_json())

    def _probe_unknown_seeds(self) -> None:
        known = {
            row.member.peer_address
            for row in self.members.rows.values()
            if row.member.state is not view.MemberState.DEAD
        }
        for address in self._seeds:
            own = address == self.members.me.peer_address
            if not own and address not in known:
                self._start_probe(address, "")

    def _start_probe(self, address: str, member_id: str) -> None:
        if address in self._probing:
            return
        task = asyncio.create_task(self._probe(address, member_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, address: str, member_id: str) -> None:
        self._probing.add(address)
        waiting = self._news.pop(member_id, PeerNews())
        message = self._envelope(waiting)
        message.updates.extend(self._accusations(address))
        started_ms = self._runtime.clock.now_ms()
        try:
            got = await self._client.exchange(address, message)
        finally:
            self._probing.discard(address)
        now_ms = self._runtime.clock.now_ms()
        if isinstance(got, Err):
            self._give_back(member_id, waiting)
            if self.members.failed(member_id, now_ms=now_ms):
                self._tell_core(now_ms)
            return
        answered = got.ok_value
        if member_id and answered.sender.member_id != member_id:
            # Another process answers at this address now.
            self.members.failed(member_id, now_ms=now_ms)
        self._take_in(answered)
        # Counted from before the probe: its answer may have waited in the
        # socket while this process was stopped, and says nothing of now.
        self.members.acked(
            answered.sender.member_id,
            table_version=answered.table_version,
            now_ms=started_ms,
        )

    def _give_back(self, member_id: str, waiting: PeerNews) -> None:
        """Keeps the newest news for the next try."""
        if not member_id or member_id not in self.members.rows:
            return
        row = self.members.rows[member_id]
        if row.member.state is view.MemberState.DEAD:
            return
        kept = self._news[member_id]
        kept.loads = {**waiting.loads, **kept.loads}
        kept.digests = (waiting.digests + kept.digests)[-MAX_DIGESTS:]
        kept.leaving |= waiting.leaving

    def _envelope(self, waiting: PeerNews) -> peer_pb2.Envelope:
        now_ms = self._runtime.clock.now_ms()
        return peer_pb2.Envelope(
            protocol_version=exchange.PROTOCOL_VERSION,
            sender=(
                codec.member_to_proto(self.members.me)
                if self._announced
                else peer_pb2.Member()
            ),
            updates=[codec.member_to_proto(m) for m in self.members.updates()],
            table_version=self._keeper.table.version,
            demands=[codec.demand_to_proto(d) for d in self._demands()],
            loads=[
                codec.load_to_proto(load, now_ms=now_ms)
                for load in waiting.loads.values()
            ],
            digests=[codec.digest_to_proto(d) for d in waiting.digests],
            leaving_servers=sorted(waiting.leaving),
            draining_servers=sorted(waiting.draining),
        )

    def _accusations(self, address: str) -> list[peer_pb2.Member]:
        """Returns what to tell a daemon that is not held to be alive here.

        Two that lost each other for long hold each other dead, and the news
        of it is no longer passed on when they meet again. Without being told
        neither can refute it, and each stays out of the other's fleet until
        it is forgotten.
        """
        return [
            codec.member_to_proto(row.member)
            for row in self.members.rows.values()
            if row.member.peer_address == address
            and row.member.state is not view.MemberState.ALIVE
        ]

    def _demands(self) -> list[inputs.CellDemand]:
        cells = self._runtime.core.world.shares.cells
        return [
            inputs.CellDemand(name, use.in_flight, use.wanted, use.rate_per_s)
            for name, use in cells.items()
            if use.in_flight or use.rate_per_s > 0.01
        ]

    def _take_in(self, told: peer_pb2.Envelope) -> None:
        now_ms = self._runtime.clock.now_ms()
        changed = False
        for message in (told.sender, *told.updates):
            member = codec.member_from_proto(message)
            if member is not None and member.member_id:
                changed |= self.members.heard(member, now_ms=now_ms)
        self._take_news(told, now_ms)
        self._compare_versions(told, now_ms)
        if changed:
            self._tell_core(now_ms)

    def _take_news(self, told: peer_pb2.Envelope, now_ms: int) -> None:
        submit = self._runtime.submit
        for load in told.loads:
            submit(codec.load_from_proto(load, now_ms=now_ms))
        for digest in told.digests:
            submit(codec.digest_from_proto(digest, now_ms=now_ms))
        for server_id in told.draining_servers:
            until_ms = now_ms + DRAIN_MS
            submit(inputs.ServerDraining(now_ms, server_id, until_ms))
        for server_id in told.leaving_servers:
            submit(inputs.ServerLeaving(now_ms, server_id))
        if not told.sender.member_id:
            return
        submit(
            inputs.PeerDemand(
                now_ms,
                told.sender.member_id,
                True,
                tuple(codec.demand_from_proto(d) for d in told.demands),
            )
        )

    def _compare_versions(self, told: peer_pb2.Envelope, now_ms: int) -> None:
        own = self._keeper.table.version
        self._keeper.right.compared(
            own=own, told=told.table_version, now_ms=now_ms
        )
        if told.table_version > own and told.sender.peer_address:
            task = asyncio.create_task(
                self._keeper.fetch_from_peer(told.sender.peer_address)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _adopted(self) -> None:
        now_ms = self._runtime.clock.now_ms()
        own = self._keeper.table.version
        self._keeper.right.compared(own=own, told=own, now_ms=now_ms)
        self._tell_core(now_ms)

    def _audience(self, target: str) -> list[str]:
        members = duty.audience(target, self.members.live())
        own = self.members.me.member_id
        return [m.member_id for m in members if m.member_id != own]

    def _tell_core(self, now_ms: int) -> None:
        live = frozenset(m.member_id for m in self.members.live())
        submit = self._runtime.submit
        if live != self._told_live:
            for gone in self._told_live - live:
                submit(inputs.PeerDemand(now_ms, gone, False))
                self._news.pop(gone, None)
            submit(inputs.MembersChanged(now_ms, tuple(sorted(live))))
            self._told_live = live
        until_ms = self._keeper.right.until_ms(
            self.members,
            own_version=self._keeper.table.version,
            now_ms=now_ms,
        )
        if until_ms != self._runtime.core.world.right_until_ms:
            submit(inputs.RightToServe(now_ms, until_ms))


__all__ = ["Gossiper", "PeerNews"]
