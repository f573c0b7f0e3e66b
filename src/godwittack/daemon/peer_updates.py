"""Exchanges updates about backend servers and demand with other daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from godwittack.core import inputs, server_inputs
from godwittack.daemon import demand
from godwittack.daemon import outbox as outboxes
from godwittack.member import assignment
from godwittack.peer import codec, pending

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from godwittack.core import effects
    from godwittack.daemon import runtime as runtimes
    from godwittack.member import view
    from godwittack.peer import peer_pb2, wire
    from godwittack.store import protocol as platform

# Time after which a drain notice expires unless it is repeated.
DRAIN_TTL_MS = 3_000
# Interval, per peer, between two flushes of updates that are not urgent. With
# sixty peers and five flushes a second, updates took two fifths of a daemon's
# processor time.
FLUSH_INTERVAL_PER_PEER_MS = 10
# Crashes are sent again once no other one has become known for this long, and
# at this interval for each peer.
RESEND_AFTER_MS = 500
RESEND_PER_PEER_MS = 20
# Limit of that interval, relative to the age from which load reports are stale.
MAX_FLUSH_INTERVAL_RATIO = 0.25


class PeerUpdates:
    """Publishes updates on one stream per peer, and applies updates of peers.

    Probes go to a few peers in turn and carry what every daemon must know;
    updates go to the peers that need them. A message on an open stream costs
    a sixth of the processor time of a separate call (`bench capacity`).

    Attributes:
        on_listed: Called with the changes of the instance list that a peer has
            read.
        on_versioned_list: The same with the versions before and after, where
            the list has versions.
    """

    def __init__(
        self,
        *,
        members: view.View,
        runtime: runtimes.Runtime,
        client: outboxes.NewsClient,
        audience: assignment.Audience | None = None,
    ) -> None:
        """Exchanges updates for the member `members.me`.

        Args:
            members: The view of all daemons.
            runtime: Runs the core.
            client: Opens streams to other daemons.
            audience: Chooses the daemons that receive updates about a target.
        """
        self._audience = audience or assignment.AudienceByTarget()
        self.on_listed: Callable[
            [dict[str, platform.Instance | None]], None
        ] = lambda changes: None
        self.on_versioned_list: Callable[
            [dict[str, platform.Instance | None], int, int], None
        ] = lambda changes, before, version: None
        self._members = members
        self._runtime = runtime
        self._client = client
        self._outboxes: dict[str, outboxes.Outbox] = {}
        # The digest of the own crashes, and when it changed.
        self._crashes_digest = 0
        self._crashes_changed_ms = 0
        self._resent_ms = -1_000_000
        # Incarnations published as leaving, by server id.
        self._known_leaving: dict[str, str] = {}
        self._audiences: dict[str, list[view.Member]] = {}
        self._audiences_key: tuple[list[view.Member], tuple[str, ...]] = (
            [],
            (),
        )

    async def flush_forever(self, *, min_interval_ms: int) -> None:
        """Sends pending updates periodically; more peers, longer intervals.

        The interval stays below the age from which load reports are stale.
        """
        while True:
            await asyncio.sleep(self._flush_interval_ms(min_interval_ms) / 1000)
            self.flush()

    def _flush_interval_ms(self, min_interval_ms: int) -> float:
        """Returns the interval for the number of peers with a stream."""
        stale_ms = self._runtime.core.world.policy.report_stale_ms
        interval_ms = min(
            FLUSH_INTERVAL_PER_PEER_MS * len(self._outboxes),
            stale_ms * MAX_FLUSH_INTERVAL_RATIO,
        )
        return max(min_interval_ms, interval_ms)

    def flush(self) -> None:
        """Sends pending updates, and this daemon's demand if it changed."""
        self._queue_demands()
        now_ms = self._runtime.clock.now_ms()
        for name, outbox in list(self._outboxes.items()):
            outbox.send_pending()
            if outbox.is_idle(now_ms):
                self._outboxes.pop(name).close()

    def publish_load(
        self,
        load: server_inputs.LoadReported,
        target: str,
        *,
        immediately: bool = False,
    ) -> None:
        """Queues a load report for the daemons that serve its model.

        Args:
            load: The report.
            target: The model.
            immediately: Whether to send it without waiting for the next
                flush, as where new weights are loaded: until the others
                receive it, they send requests that the server declines.
        """
        for outbox in self._outboxes_for(self.audience(target)):
            outbox.pending.loads[load.server_id] = load
            if immediately:
                outbox.send_urgently()

    def publish_told_load(self, load: effects.TellLoad) -> None:
        """Queues the load in a server's response, for the next flush."""
        for outbox in self._outboxes_for(self.audience(load.target)):
            outbox.pending.told_loads[load.server_id] = load

    def publish_digest(
        self, digest: server_inputs.CacheDigest, target: str
    ) -> None:
        """Queues a cache digest for the daemons that serve its model."""
        for outbox in self._outboxes_for(self.audience(target)):
            outbox.pending.digests.append(digest)
            del outbox.pending.digests[: -pending.MAX_DIGESTS]

    def publish_leaving(self, server_id: str, incarnation: str = "") -> None:
        """Publishes to every daemon, once, that a server incarnation leaves."""
        if self._known_leaving.get(server_id) == incarnation:
            return
        self._known_leaving[server_id] = incarnation
        for outbox in self._outboxes_for(self._members.live()):
            outbox.pending.leaving[server_id] = incarnation
            outbox.send_pending()

    def forget_leaving(self, server_id: str) -> None:
        """Allows publishing again that a server leaves."""
        self._known_leaving.pop(server_id, None)

    def publish_suspected(self, suspected: effects.Doubt) -> None:
        """Makes the daemons that serve a target probe a suspected server."""
        for outbox in self._outboxes_for(self.audience(suspected.target)):
            outbox.pending.suspected.add(suspected.server_id)
            outbox.send_pending()

    def publish_brittle(self, update: effects.TellBrittle) -> None:
        """Publishes at once that a server is brittle, or no longer."""
        for outbox in self._outboxes_for(self.audience(update.target)):
            outbox.pending.brittle[update.server_id] = update
            outbox.send_pending()

    def publish_paths(self, update: effects.TellPaths) -> None:
        """Publishes the servers that this daemon can't reach.

        The daemons that receive updates on any of the targets need it: they
        choose each other to pass on requests and to watch servers. It is sent
        with the next flush: a cut changes the list once for each server, and
        each message has the whole list.
        """
        members = {
            member.member_id: member
            for target in update.targets
            for member in self.audience(target)
        }
        for outbox in self._outboxes_for(members.values()):
            outbox.pending.lost_paths = update.lost

    def publish_crashes(self, report: effects.TellCrashes) -> None:
        """Publishes crashes to a target's audience, or without one to all."""
        members = self.audience(report.target)
        if not report.target:
            members = self._members.live()
        for outbox in self._outboxes_for(members):
            outbox.send_crashes(report.crashes, report.completions)

    def publish_rate_limit(self, limit: effects.TellRateLimit) -> None:
        """Publishes a server's rate limit to the daemons that send to it."""
        for outbox in self._outboxes_for(self.audience(limit.target)):
            outbox.pending.rate_limits[limit.server_id] = limit
            outbox.send_pending()

    def publish_usage(self, report: effects.TellUsage) -> None:
        """Publishes what was admitted under quotas to the serving daemons."""
        serving = self._runtime.core.world.serving_daemons
        members = [m for m in self._members.live() if m.member_id in serving]
        for outbox in self._outboxes_for(members):
            outbox.send_usages(report.usages)

    def compare_crashes(self, sender_id: str, digest: int) -> None:
        """Sends all known crashes to a peer whose digest of them differs.

        The peer may have missed updates, or started after they were sent. While
        updates are on their way the digests of most daemons differ, so that
        only crashes known for a while are sent again, to a few peers at a time.
        """
        own = self._runtime.core.world.quarantine.digest()
        now_ms = self._runtime.clock.now_ms()
        if own != self._crashes_digest:
            self._crashes_digest, self._crashes_changed_ms = own, now_ms
        if digest == own or not own:
            return
        spacing_ms = RESEND_PER_PEER_MS * len(self._outboxes)
        is_settled = now_ms - self._crashes_changed_ms >= RESEND_AFTER_MS
        is_due = is_settled and now_ms - self._resent_ms >= spacing_ms
        if digest and not is_due:
            return
        self._resent_ms = now_ms
        peers = [m for m in self._members.live() if m.member_id == sender_id]
        for outbox in self._outboxes_for(peers):
            outbox.resend_all_crashes(self._runtime.core.world.quarantine)

    def publish_draining(self, server_id: str, target: str) -> None:
        """Publishes a drain to the daemons that serve a model.

        It expires after `DRAIN_TTL_MS` unless repeated. The server is ordered
        to load a moment later, whether peers have heard of it or not.
        """
        for outbox in self._outboxes_for(self.audience(target)):
            outbox.pending.draining.add(server_id)
            outbox.send_urgently()

    def publish_listed(
        self,
        changes: dict[str, platform.Instance | None],
        *,
        before: int = 0,
        version: int = 0,
    ) -> None:
        """Publishes changes of the instance list to every daemon.

        Args:
            changes: Instances by name, None for a removed one.
            before: Version of the list without the changes; 0 without versions.
            version: Version of the list with the changes; 0 without versions.
        """
        for outbox in self._outboxes_for(self._members.live()):
            outbox.pending.add_list_changes(
                changes, before=before, version=version
            )
            outbox.send_pending()

    def apply(
        self, sender_id: str, message: peer_pb2.News, reader: wire.NewsReader
    ) -> None:
        """Applies a peer's updates, decoded by the reader of its stream."""
        now_ms = self._runtime.clock.now_ms()
        submit = self._runtime.submit
        for load in reader.loads(message, now_ms=now_ms, sender_id=sender_id):
            submit(load)
        for digest in reader.digests(message, now_ms=now_ms):
            submit(digest)
        for server_id in message.draining_servers:
            until_ms = now_ms + DRAIN_TTL_MS
            submit(server_inputs.ServerDraining(now_ms, server_id, until_ms))
        for server_id in message.doubted_servers:
            submit(server_inputs.ServerDoubted(now_ms, server_id, sender_id))
        for brittle in message.brittle:
            submit(codec.brittle_from_proto(brittle, now_ms=now_ms))
        for limit in message.rate_limits:
            submit(codec.rate_limit_from_proto(limit, now_ms=now_ms))
        if message.crashes or message.completions:
            submit(
                inputs.CrashesTold(
                    now_ms,
                    tuple(
                        codec.crash_from_proto(crash, now_ms=now_ms)
                        for crash in message.crashes
                    ),
                    tuple(
                        codec.completion_from_proto(done, now_ms=now_ms)
                        for done in message.completions
                    ),
                )
            )
        for leaving in message.leaving:
            submit(
                server_inputs.ServerLeaving(
                    now_ms, leaving.server_id, leaving.incarnation
                )
            )
        if message.has_lost_paths and sender_id:
            submit(
                server_inputs.PathsTold(
                    now_ms, sender_id, tuple(message.lost_paths)
                )
            )
        if message.has_demands and sender_id:
            cells = tuple(codec.demand_from_proto(d) for d in message.demands)
            submit(inputs.PeerDemand(now_ms, sender_id, True, cells))
        if message.usages and sender_id:
            usages = tuple(
                codec.usage_from_proto(usage, now_ms=now_ms)
                for usage in message.usages
            )
            submit(inputs.UsageTold(now_ms, sender_id, usages))
        if message.listed:
            changes = codec.listed_from_proto(message.listed)
            if message.list_version:
                self.on_versioned_list(
                    changes, message.list_before, message.list_version
                )
            else:
                self.on_listed(changes)

    def audience(self, target: str) -> list[view.Member]:
        """Returns the members that receive updates about a target's servers."""
        members = self._members.live()
        targets = self._runtime.core.world.table.targets
        if (members, targets) != self._audiences_key:
            self._audiences_key = (members, targets)
            self._audiences.clear()
        audience = self._audiences.get(target)
        if audience is None:
            audience = self._audience.among(target, members, targets)
            self._audiences[target] = audience
        return audience

    def remove_peer(self, member_id: str) -> None:
        """Closes the stream to a dead peer and drops its pending updates."""
        outbox = self._outboxes.pop(member_id, None)
        if outbox is not None:
            outbox.close()

    def close(self) -> None:
        """Ends all streams."""
        for name in list(self._outboxes):
            self.remove_peer(name)

    def _outboxes_for(
        self, members: Iterable[view.Member]
    ) -> list[outboxes.Outbox]:
        own = self._members.me.member_id
        return [self._outbox(m) for m in members if m.member_id != own]

    def _outbox(self, member: view.Member) -> outboxes.Outbox:
        outbox = self._outboxes.get(member.member_id)
        if outbox is None:
            outbox = self._outboxes[member.member_id] = outboxes.Outbox(
                own_id=self._members.me.member_id,
                address=member.peer_address,
                client=self._client,
                clock=self._runtime.clock,
                peers=self._count_outboxes,
            )
        return outbox

    def _count_outboxes(self) -> int:
        return len(self._outboxes)

    def _queue_demands(self) -> None:
        """Queues each cell's demand for the peers that share its limit."""
        demands = self._demands()
        demands_by_member = demand.by_member(
            demands,
            shares=self._runtime.core.world.shares,
            members=self._members.live(),
        )
        recipients = [
            m for m in self._members.live() if m.member_id in demands_by_member
        ]
        self._outboxes_for(recipients)
        for name, outbox in self._outboxes.items():
            outbox.queue_demands(tuple(demands_by_member.get(name, ())))

    def _demands(self) -> tuple[inputs.CellDemand, ...]:
        """Returns this daemon's demand, rounded so that noise is not sent."""
        cells = self._runtime.core.world.shares.cells
        rounded = (
            inputs.CellDemand(
                name,
                round(use.demand, 1),
                demand.rounded_rate(name, use.rate_per_s),
            )
            for name, use in cells.items()
        )
        return tuple(cell for cell in rounded if cell.wanted or cell.rate_per_s)


__all__ = ["DRAIN_TTL_MS", "PeerUpdates"]
