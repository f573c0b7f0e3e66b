"""Tells other daemons news of backend servers and demand, and takes theirs."""

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

# How long a drain holds at a daemon that hears no more of it.
DRAIN_TTL_MS = 3_000
# Time between two messages to all peers together that need not be told at
# once. With sixty peers, each told five times a second, news were two fifths
# of a daemon's processor time.
FLUSH_INTERVAL_PER_PEER_MS = 10
# Longest pause, as a part of the age from which load reports are stale.
MAX_FLUSH_INTERVAL_RATIO = 0.25


class PeerUpdates:
    """This daemon's news to others, one stream a peer, and theirs to it.

    Probes go to few peers in turn and carry what every daemon must know; news
    goes to the peers that it concerns. A message on an open stream costs a
    sixth of the processor time of a call of its own (`bench capacity`).

    Attributes:
        on_listed: Told the changed entries of the instance list that a peer
            has read.
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
        """Tells and takes news for the member `members.me`.

        Args:
            members: The view of all daemons.
            runtime: Where the core is told.
            client: Opens streams to other daemons.
            audience: Chooses who hears of a target's servers.
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
        # Servers told of as leaving, each with the start that leaves.
        self._known_leaving: dict[str, str] = {}
        self._audiences: dict[str, list[view.Member]] = {}
        self._audiences_key: tuple[list[view.Member], tuple[str, ...]] = (
            [],
            (),
        )

    async def flush_forever(self, *, min_interval_ms: int) -> None:
        """Sends what waits, each period, which grows with the peers told.

        The period stays below the age from which load reports are stale.
        """
        while True:
            await asyncio.sleep(self._flush_interval_ms(min_interval_ms) / 1000)
            self.flush()

    def _flush_interval_ms(self, min_interval_ms: int) -> float:
        """Returns the pause for the peers told, short enough for loads."""
        stale_ms = self._runtime.core.world.policy.report_stale_ms
        pause_ms = min(
            FLUSH_INTERVAL_PER_PEER_MS * len(self._outboxes),
            stale_ms * MAX_FLUSH_INTERVAL_RATIO,
        )
        return max(min_interval_ms, pause_ms)

    def flush(self) -> None:
        """Sends what waits, and this daemon's demand where it changed."""
        self._queue_demands()
        now_ms = self._runtime.clock.now_ms()
        for name, outbox in list(self._outboxes.items()):
            outbox.wake()
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
                outbox.wake()

    def publish_digest(
        self, digest: server_inputs.CacheDigest, target: str
    ) -> None:
        """Queues a cache digest for the daemons that serve its model."""
        for outbox in self._outboxes_for(self.audience(target)):
            outbox.pending.digests.append(digest)
            del outbox.pending.digests[: -pending.MAX_DIGESTS]

    def publish_leaving(self, server_id: str, incarnation: str = "") -> None:
        """Tells every daemon of the leaving of a server's start, once."""
        if self._known_leaving.get(server_id) == incarnation:
            return
        self._known_leaving[server_id] = incarnation
        for outbox in self._outboxes_for(self._members.live()):
            outbox.pending.leaving[server_id] = incarnation
            outbox.wake()

    def forget_leaving(self, server_id: str) -> None:
        """Allows a server's leaving to be told anew."""
        self._known_leaving.pop(server_id, None)

    def publish_suspected(self, doubted: effects.Doubt) -> None:
        """Has the daemons that serve a target ask a server for themselves."""
        for outbox in self._outboxes_for(self.audience(doubted.target)):
            outbox.pending.doubted.add(doubted.server_id)
            outbox.wake()

    def publish_crashes(self, seen: effects.TellCrashes) -> None:
        """Tells of crashes those that hear of the servers, or every daemon."""
        members = self.audience(seen.target)
        if not seen.target:
            members = self._members.live()
        for outbox in self._outboxes_for(members):
            outbox.tell_crashes(seen.crashes, seen.completions)

    def publish_rate_limit(self, named: effects.TellRateLimit) -> None:
        """Tells the daemons that send to a server of the rate it takes."""
        for outbox in self._outboxes_for(self.audience(named.target)):
            outbox.pending.rate_limits[named.server_id] = named
            outbox.wake()

    def compare_crashes(self, sender_id: str, digest: int) -> None:
        """Tells a peer of crashes where it does not know the same.

        News may be lost, or older than the peer's process.
        """
        known = self._runtime.core.world.quarantine
        if digest == known.digest():
            return
        peers = [m for m in self._members.live() if m.member_id == sender_id]
        for outbox in self._outboxes_for(peers):
            outbox.tell_crashes_again(known)

    def publish_draining(self, server_id: str, target: str) -> None:
        """Tells the daemons that serve a model; lapses unless told again."""
        for outbox in self._outboxes_for(self.audience(target)):
            outbox.pending.draining.add(server_id)
            outbox.wake()

    def publish_listed(
        self,
        changes: dict[str, platform.Instance | None],
        *,
        before: int = 0,
        version: int = 0,
    ) -> None:
        """Tells every daemon what changed in the instance list.

        Args:
            changes: Entries by name, None for one that is gone.
            before: Version of the list without them, where it has versions.
            version: Version of the list with them.
        """
        for outbox in self._outboxes_for(self._members.live()):
            outbox.pending.add_listed(changes, before=before, version=version)
            outbox.wake()

    def apply(
        self, sender_id: str, told: peer_pb2.News, reader: wire.NewsReader
    ) -> None:
        """Takes in a peer's news, as the reader of its stream reads them."""
        now_ms = self._runtime.clock.now_ms()
        submit = self._runtime.submit
        for load in reader.loads(told, now_ms=now_ms):
            submit(load)
        for digest in reader.digests(told, now_ms=now_ms):
            submit(digest)
        for server_id in told.draining_servers:
            until_ms = now_ms + DRAIN_TTL_MS
            submit(server_inputs.ServerDraining(now_ms, server_id, until_ms))
        for server_id in told.doubted_servers:
            submit(server_inputs.ServerDoubted(now_ms, server_id))
        for limit in told.rate_limits:
            submit(codec.rate_limit_from_proto(limit, now_ms=now_ms))
        if told.crashes or told.completions:
            submit(
                inputs.CrashesTold(
                    now_ms,
                    tuple(
                        codec.crash_from_proto(crash, now_ms=now_ms)
                        for crash in told.crashes
                    ),
                    tuple(
                        codec.completion_from_proto(done, now_ms=now_ms)
                        for done in told.completions
                    ),
                )
            )
        for leaving in told.leaving:
            submit(
                server_inputs.ServerLeaving(
                    now_ms, leaving.server_id, leaving.incarnation
                )
            )
        if told.has_demands and sender_id:
            cells = tuple(codec.demand_from_proto(d) for d in told.demands)
            submit(inputs.PeerDemand(now_ms, sender_id, True, cells))
        if told.listed:
            changes = codec.listed_from_proto(told.listed)
            if told.list_version:
                self.on_versioned_list(
                    changes, told.list_before, told.list_version
                )
            else:
                self.on_listed(changes)

    def audience(self, target: str) -> list[view.Member]:
        """Returns the members that hear of a model's or service's servers."""
        members = self._members.live()
        targets = self._runtime.core.world.table.targets
        if (members, targets) != self._audiences_key:
            self._audiences_key = (members, targets)
            self._audiences.clear()
        found = self._audiences.get(target)
        if found is None:
            found = self._audience.among(target, members, targets)
            self._audiences[target] = found
        return found

    def remove_peer(self, member_id: str) -> None:
        """Drops what waits for a dead peer."""
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
            )
        return outbox

    def _queue_demands(self) -> None:
        """Queues each cell's demand for those that may split its limit."""
        demands = self._demands()
        told = demand.by_member(
            demands,
            shares=self._runtime.core.world.shares,
            members=self._members.live(),
        )
        concerned = [m for m in self._members.live() if m.member_id in told]
        self._outboxes_for(concerned)
        for name, outbox in self._outboxes.items():
            outbox.tell_demands(tuple(told.get(name, ())))

    def _demands(self) -> tuple[inputs.CellDemand, ...]:
        """Returns this daemon's demand, rounded so that noise is not told."""
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
