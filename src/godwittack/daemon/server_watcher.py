"""Polls the loads of backend servers and follows their cache events."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from typing import TYPE_CHECKING

import reactivex
from reactivex import subject
from result import Err

from godwittack.backend import protocol as backend
from godwittack.core import cached_state, engine_memory, paths, server_inputs
from godwittack.daemon import digest as digests
from godwittack.daemon import load_filter, peer_updates
from godwittack.member import assignment

if TYPE_CHECKING:
    from godwittack.core import entities
    from godwittack.daemon import runtime
    from godwittack.member import view

DIGEST_INTERVAL_MS = 500
EVENTS_RETRY_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class ServerReport:
    """A load or cache digest of one server, with its model or service."""

    target: str
    report: server_inputs.LoadReported | server_inputs.CacheDigest


class Streams:
    """Event streams from network clients to the core and to other daemons."""

    def __init__(self) -> None:
        """Starts without subscribers."""
        self.reports: subject.Subject[ServerReport] = subject.Subject()
        self.listed: subject.Subject[server_inputs.ServerListed] = (
            subject.Subject()
        )

    def connect(
        self, *, core: runtime.Runtime, updates: peer_updates.PeerUpdates
    ) -> None:
        """Subscribes the core, and the daemons that serve a report's model."""
        reports: reactivex.Observable[ServerReport] = self.reports
        reports.subscribe(on_next=lambda item: core.submit(item.report))
        reports.subscribe(on_next=_Publisher(updates).publish)
        self.listed.subscribe(on_next=core.submit)


class FollowedData(enum.Flag):
    """Data requested from servers; the rest is learnt from their answers."""

    ENGINE_LOADS = enum.auto()
    SERVICE_LOADS = enum.auto()
    CACHES = enum.auto()
    ALL = ENGINE_LOADS | SERVICE_LOADS | CACHES


class ServerWatcher:
    """Follows the servers assigned to this daemon by rendezvous hashing."""

    def __init__(
        self,
        *,
        core: runtime.Runtime,
        client: backend.BackendClient,
        members: view.View,
        updates: peer_updates.PeerUpdates,
        streams: Streams,
        load_poll_ms: int,
        followed: FollowedData = FollowedData.ALL,
    ) -> None:
        """Starts without assigned servers.

        Args:
            core: Runs the core.
            client: Calls servers.
            members: This daemon's view of all daemons.
            updates: Publishes leaving and draining servers to peers.
            streams: Receive loads and cache digests.
            load_poll_ms: Time between two polls of a server's load.
            followed: Data to request from servers.
        """
        self._followed = followed
        self._core = core
        self._client = client
        self._members = members
        self._updates = updates
        self._streams = streams
        self._load_poll_ms = load_poll_ms
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}
        self._addresses: dict[str, str] = {}
        self._assigned: set[str] = set()
        self._assigned_for: (
            tuple[
                list[view.Member],
                frozenset[str],
                tuple[str, ...],
                frozenset[tuple[str, str]],
            ]
            | None
        ) = None

    async def assign_forever(self) -> None:
        """Updates the assigned servers periodically until cancelled."""
        while True:
            self.assign()
            await asyncio.sleep(self._load_poll_ms / 1000)

    def assign(self) -> None:
        """Starts and stops following servers by their assignment."""
        servers = self._core.core.world.servers
        assigned = {name: servers[name] for name in self._assigned_servers()}
        for name in list(self._tasks):
            row = assigned.get(name)
            if row is None or row.address != self._addresses[name]:
                for task in self._tasks.pop(name):
                    task.cancel()
        for name, row in assigned.items():
            if name not in self._tasks:
                self._addresses[name] = row.address
                self._tasks[name] = self._follow(row)

    def _assigned_servers(self) -> set[str]:
        """Returns the servers assigned to this daemon.

        Recomputed only when daemons or servers were added or removed, or the
        paths between them changed.
        """
        servers = self._core.core.world.servers
        live, names = self._members.live(), frozenset(servers)
        assigned_for = (
            live,
            names,
            self._core.core.world.table.targets,
            paths.lost_paths(self._core.core.world),
        )
        if assigned_for != self._assigned_for:
            own = self._members.me.member_id
            self._assigned_for = assigned_for
            self._assigned = {
                name
                for name, row in servers.items()
                if self._watcher_of(row) == own
            }
        return self._assigned

    def _watcher_of(self, row: entities.ServerRow) -> str | None:
        """Returns the daemon that watches a server, one that reaches it."""
        world = self._core.core.world
        audience = self._updates.audience(row.target)
        reaching = [
            member
            for member in audience
            if paths.reaches(world, member.member_id, row)
        ]
        return assignment.watcher(row.server_id, reaching or audience)

    async def poll_unknown(self) -> None:
        """Polls the servers without a report so far, once.

        A daemon that listens before it knows any engine's incarnation would
        refuse its first callers with `no_server`: a cold start.
        """
        own = self._members.me.member_id
        unknown = [
            row
            for row in self._core.core.world.servers.values()
            if not row.incarnation
            and any(
                member.member_id == own
                for member in self._updates.audience(row.target)
            )
        ]
        await asyncio.gather(*(self._poll_once(row) for row in unknown))

    async def _poll_once(self, row: entities.ServerRow) -> None:
        result = await self._client.load(row.address, server_id=row.server_id)
        if not isinstance(result, Err):
            self._core.submit(load_reported(row, result.ok_value, self._core))

    def close(self) -> None:
        """Stops following."""
        for tasks in self._tasks.values():
            for task in tasks:
                task.cancel()
        self._tasks.clear()

    def _follow(self, row: entities.ServerRow) -> list[asyncio.Task[None]]:
        tasks = []
        is_engine = row.target in self._core.core.world.table.models
        if row.target == cached_state.STORE_TARGET:
            return [asyncio.create_task(self._follow_cache(row))]
        loads = (
            FollowedData.ENGINE_LOADS
            if is_engine
            else FollowedData.SERVICE_LOADS
        )
        if loads in self._followed:
            tasks.append(asyncio.create_task(self._poll_load(row)))
        if is_engine and FollowedData.CACHES in self._followed:
            tasks.append(asyncio.create_task(self._follow_cache(row)))
        return tasks

    async def _poll_load(self, row: entities.ServerRow) -> None:
        while True:
            await self._wait_until_rest_ends(row)
            result = await self._client.poll_load(
                row.address, server_id=row.server_id
            )
            if not isinstance(result, Err):
                self._publish_load(row, result.ok_value)
            await asyncio.sleep(self._load_poll_ms / 1000)

    async def _wait_until_rest_ends(self, row: entities.ServerRow) -> None:
        """Waits until the rest that a server requested ends."""
        servers = self._core.core.world.servers
        while (
            servers.get(row.server_id, row).rest_until_ms
            > self._core.clock.now_ms()
        ):
            # Checked repeatedly, since a restart of the server ends its rest.
            await asyncio.sleep(self._load_poll_ms / 1000)

    def _publish_load(
        self, row: entities.ServerRow, load: backend.EngineLoad
    ) -> None:
        report = load_reported(row, load, self._core)
        self._streams.reports.on_next(ServerReport(row.target, report))
        if load.leaving:
            self._updates.publish_leaving(row.server_id, load.incarnation)
        else:
            self._updates.forget_leaving(row.server_id)

    def _drain_unresponsive_store(self, row: entities.ServerRow) -> None:
        """Drains a store of cached state whose events can't be fetched.

        An unreachable source delays each request that copies from it by some
        hundred milliseconds.
        """
        if row.target != cached_state.STORE_TARGET:
            return
        now_ms = self._core.clock.now_ms()
        until_ms = now_ms + peer_updates.DRAIN_TTL_MS
        self._core.submit(
            server_inputs.ServerDraining(now_ms, row.server_id, until_ms)
        )
        self._updates.publish_draining(row.server_id, row.target)

    async def _follow_cache(self, row: entities.ServerRow) -> None:
        digester = digests.Digester(row.server_id)
        while True:
            await self._wait_until_rest_ends(row)
            result = await self._client.cache_events(
                row.address,
                after=digester.sequence,
                server_id=row.server_id,
            )
            if isinstance(result, Err):
                self._drain_unresponsive_store(row)
                await asyncio.sleep(EVENTS_RETRY_MS / 1000)
                continue
            now_ms = self._core.clock.now_ms()
            report = digester.digest(result.ok_value, now_ms=now_ms)
            if report is not None:
                self._streams.reports.on_next(ServerReport(row.target, report))
            # Events accumulate meanwhile and are published as one digest.
            await asyncio.sleep(DIGEST_INTERVAL_MS / 1000)


def load_reported(
    row: entities.ServerRow, load: backend.EngineLoad, core: runtime.Runtime
) -> server_inputs.LoadReported:
    """Returns the core's input for a server's load."""
    report = server_inputs.LoadReported(
        at_ms=core.clock.now_ms(),
        server_id=row.server_id,
        incarnation=load.incarnation,
        weights_version=load.weights_version,
        running=load.running,
        waiting=load.waiting,
        waiting_tokens=load.waiting_tokens,
        prefill_us_per_token=load.prefill_us_per_token,
        slots=load.slots,
        leaving=load.leaving,
    )
    if not engine_memory.is_enabled(core.core.world, row.target):
        # No decision reads the memory, and peers need not be sent its changes.
        return report
    return dataclasses.replace(
        report,
        kv_used_tokens=load.kv_used_tokens,
        kv_total_tokens=load.kv_total_tokens,
        kv_reserved_tokens=load.kv_reserved_tokens,
        next_tokens=load.next_tokens,
    )


class _Publisher:
    """Publishes reports that other daemons need."""

    def __init__(self, updates: peer_updates.PeerUpdates) -> None:
        self._updates = updates
        self._loads = load_filter.LoadFilter()

    def publish(self, item: ServerReport) -> None:
        match item.report:
            case server_inputs.LoadReported():
                if self._loads.record_if_changed(item.report):
                    self._updates.publish_load(item.report, item.target)
            case server_inputs.CacheDigest():
                self._updates.publish_digest(item.report, item.target)


__all__ = [
    "FollowedData",
    "ServerReport",
    "ServerWatcher",
    "Streams",
    "load_reported",
]
