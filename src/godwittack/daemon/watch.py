"""Follows backend servers: the instance list, loads and cache events."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import reactivex
from reactivex import subject
from result import Err

from godwittack.backend import protocol as backend
from godwittack.core import inputs
from godwittack.daemon import digest as digests
from godwittack.member import duty
from godwittack.platform import protocol as platform

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.core import entities
    from godwittack.daemon import gossip, runtime

DIGEST_MS = 500
EVENTS_RETRY_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Watched:
    """A piece of news on one server, with the model it concerns."""

    target: str
    told: inputs.LoadReported | inputs.CacheDigest


class Streams:
    """Event streams from the shells to the core and to other daemons."""

    def __init__(self) -> None:
        """Makes streams without subscribers."""
        self.watched: subject.Subject[Watched] = subject.Subject()
        self.listed: subject.Subject[inputs.ServerListed] = subject.Subject()

    def connect(
        self, *, core: runtime.Runtime, gossiper: gossip.Gossiper
    ) -> None:
        """Subscribes the core, and the daemons that serve the model."""
        news: reactivex.Observable[Watched] = self.watched
        news.subscribe(on_next=lambda item: core.submit(item.told))
        news.subscribe(on_next=lambda item: _publish(gossiper, item))
        self.listed.subscribe(on_next=core.submit)


class ListWatcher:
    """Reads the platform's instance list into the core."""

    def __init__(
        self,
        *,
        instances: platform.InstanceList,
        streams: Streams,
        on_entries: Callable[[frozenset[str]], None],
    ) -> None:
        """Reads `instances` into `streams`, daemons into `on_entries`."""
        self._instances = instances
        self._on_entries = on_entries
        self._streams = streams
        self._seen: dict[str, platform.Instance] = {}

    async def poll_forever(
        self, *, core: runtime.Runtime, poll_ms: int
    ) -> None:
        """Reads the list again and again."""
        while True:
            await self.poll_once(core)
            await asyncio.sleep(poll_ms / 1000)

    def checks_fencing_of(self, server_id: str) -> bool:
        """Returns whether a server refuses orders with an old number."""
        instance = self._seen.get(server_id)
        return instance is not None and instance.checks_fencing

    async def poll_once(self, core: runtime.Runtime) -> None:
        """Reads the list once; keeps the last one while it is down."""
        got = await self._instances.instances()
        if isinstance(got, Err):
            return
        self._on_entries(
            frozenset(
                i.address
                for i in got.ok_value
                if i.role is platform.InstanceRole.ENTRY
            )
        )
        now_ms = core.clock.now_ms()
        listed = {
            i.name: i
            for i in got.ok_value
            if i.role is not platform.InstanceRole.ENTRY
        }
        for name in self._seen.keys() - listed.keys():
            self._streams.listed.on_next(
                inputs.ServerListed(at_ms=now_ms, server_id=name, gone=True)
            )
        for name, instance in listed.items():
            if self._seen.get(name) != instance:
                self._streams.listed.on_next(_listed(instance, now_ms))
        self._seen = listed


class ServerWatcher:
    """Follows the servers that fall to this daemon by rendezvous."""

    def __init__(
        self,
        *,
        core: runtime.Runtime,
        client: backend.BackendClient,
        gossiper: gossip.Gossiper,
        streams: Streams,
        load_poll_ms: int,
    ) -> None:
        """Watches for `core` and tells `streams`."""
        self._core = core
        self._client = client
        self._gossiper = gossiper
        self._streams = streams
        self._load_poll_ms = load_poll_ms
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}
        self._addresses: dict[str, str] = {}
        self._duties: set[str] = set()
        self._ranked_for: tuple[frozenset[str], frozenset[str]] | None = None

    async def assign_forever(self) -> None:
        """Takes on and gives up servers as daemons come and go."""
        while True:
            self.assign()
            await asyncio.sleep(self._load_poll_ms / 1000)

    def assign(self) -> None:
        """Starts and stops following servers."""
        servers = self._core.core.world.servers
        mine = {name: servers[name] for name in self._own_duties()}
        for name in list(self._tasks):
            row = mine.get(name)
            if row is None or row.address != self._addresses[name]:
                for task in self._tasks.pop(name):
                    task.cancel()
        for name, row in mine.items():
            if name not in self._tasks:
                self._addresses[name] = row.address
                self._tasks[name] = self._follow(row)

    def _own_duties(self) -> set[str]:
        """Returns the servers that fall to this daemon.

        Ranked anew only when daemons or servers came or went: among 340
        daemons and 600 servers each ranking of all takes 15 ms.
        """
        members = self._gossiper.members.live()
        servers = frozenset(self._core.core.world.servers)
        seen = (frozenset(m.member_id for m in members), servers)
        if seen != self._ranked_for:
            own = self._gossiper.members.me.member_id
            self._ranked_for = seen
            self._duties = {
                name for name in servers if duty.watcher(name, members) == own
            }
        return self._duties

    async def ask_unknown(self) -> None:
        """Asks the servers of which nothing was heard yet, once.

        A daemon that listens before it knows any engine's incarnation would
        refuse its first callers: a cold start, seen as `no_server`.
        """
        members = self._gossiper.members.live()
        own = self._gossiper.members.me.member_id
        unknown = [
            row
            for row in self._core.core.world.servers.values()
            if not row.incarnation
            and any(
                member.member_id == own
                for member in duty.audience(row.target, members)
            )
        ]
        await asyncio.gather(*(self._ask(row) for row in unknown))

    async def _ask(self, row: entities.ServerRow) -> None:
        got = await self._client.load(row.address)
        if not isinstance(got, Err):
            self._core.submit(_report(row, got.ok_value, self._core))

    def close(self) -> None:
        """Stops following."""
        for tasks in self._tasks.values():
            for task in tasks:
                task.cancel()
        self._tasks.clear()

    def _follow(self, row: entities.ServerRow) -> list[asyncio.Task[None]]:
        tasks = [asyncio.create_task(self._poll_load(row))]
        if row.target in self._core.core.world.table.models:
            tasks.append(asyncio.create_task(self._follow_cache(row)))
        return tasks

    async def _poll_load(self, row: entities.ServerRow) -> None:
        while True:
            got = await self._client.load(row.address)
            if not isinstance(got, Err):
                self._tell_load(row, got.ok_value)
            await asyncio.sleep(self._load_poll_ms / 1000)

    def _tell_load(
        self, row: entities.ServerRow, load: backend.EngineLoad
    ) -> None:
        told = _report(row, load, self._core)
        self._streams.watched.on_next(Watched(row.target, told))
        if load.leaving:
            self._gossiper.publish_leaving(row.server_id)
        else:
            self._gossiper.forget_leaving(row.server_id)

    async def _follow_cache(self, row: entities.ServerRow) -> None:
        digester = digests.Digester(row.server_id)
        while True:
            got = await self._client.cache_events(
                row.address, after=digester.sequence
            )
            if isinstance(got, Err):
                await asyncio.sleep(EVENTS_RETRY_MS / 1000)
                continue
            now_ms = self._core.clock.now_ms()
            told = digester.digest(got.ok_value, now_ms=now_ms)
            if told is not None:
                self._streams.watched.on_next(Watched(row.target, told))
            # Events gather meanwhile and go out as one digest.
            await asyncio.sleep(DIGEST_MS / 1000)


def _report(
    row: entities.ServerRow, load: backend.EngineLoad, core: runtime.Runtime
) -> inputs.LoadReported:
    return inputs.LoadReported(
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


def _publish(gossiper: gossip.Gossiper, item: Watched) -> None:
    match item.told:
        case inputs.LoadReported():
            gossiper.publish_load(item.told, item.target)
        case inputs.CacheDigest():
            gossiper.publish_digest(item.told, item.target)


def _listed(instance: platform.Instance, now_ms: int) -> inputs.ServerListed:
    return inputs.ServerListed(
        at_ms=now_ms,
        server_id=instance.name,
        address=instance.address,
        target=instance.target,
        failure_domain=instance.failure_domain,
        leaving=instance.leaving,
    )


__all__ = ["ListWatcher", "ServerWatcher", "Streams", "Watched"]
