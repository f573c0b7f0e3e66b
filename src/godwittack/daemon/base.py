"""Components that daemons of either interface share."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import secrets
import signal
from typing import TYPE_CHECKING

from absl import logging

from godwittack.clock import SystemClock
from godwittack.core import router
from godwittack.daemon import (
    cancellation,
    connection_room,
    gossip,
    stream_news,
)
from godwittack.entry import reservations
from godwittack.member import view
from godwittack.metric import meters
from godwittack.peer import datagram, exchange, server
from godwittack.relay import client as relay_client
from godwittack.relay import server as relay_server
from godwittack.report import counters

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from godwittack.backend import protocol, signals
    from godwittack.config import settings as configs
    from godwittack.daemon import observer, peer_updates, runtime, tables


@dataclasses.dataclass(slots=True, kw_only=True)
class Components:
    """The core, the membership view and the clients for other daemons.

    Attributes:
        clock: Source of time for all components.
        rng: Adds jitter, so that daemons do not act all at the same time.
        core: Takes all routing decisions.
        counts: Counts for reports.
        meters: Instruments for metrics.
        members: The view of all daemons.
        peers: Client for calls and streams to other daemons.
        probes: Sends probes to other daemons, as datagrams.
        peer_secret: Authenticates messages between daemons.
        seeds: Peer addresses from the settings.
        room: What connections of clients may take.
        body_memory: Memory for the bodies of requests.
    """

    clock: SystemClock
    rng: random.Random
    core: router.Router
    counts: counters.EventCounters
    meters: meters.Meters
    members: view.View
    peers: exchange.PeerClient
    probes: datagram.DatagramPeers
    peer_secret: bytes
    seeds: tuple[str, ...]
    room: connection_room.ConnectionRoom
    body_memory: reservations.SharedBodyMemory

    @classmethod
    def from_config(cls, loaded: configs.LoadedSettings) -> Components:
        """Builds the components of a process that has just started."""
        settings = loaded.settings
        clock = SystemClock()
        rng = random.Random(secrets.randbits(64))
        me = view.Member(
            member_id=f"{settings.name}@{secrets.token_hex(4)}",
            peer_address=settings.peer_address,
            http_address=settings.http_address,
            failure_domain=settings.failure_domain,
            capacity_millicores=settings.capacity_millicores,
        )
        core = router.Router.from_config(
            daemon=me.member_id,
            failure_domain=settings.failure_domain,
            policy=settings.policy(),
        )
        process_meters = meters.Meters(core.world)
        room = connection_room.ConnectionRoom(
            settings,
            clock=clock,
            resident_bytes=connection_room.resident_bytes,
        )
        room.add_gauges(process_meters)
        body_memory = reservations.SharedBodyMemory(
            capacity_bytes=settings.body_memory_bytes,
            clock=clock,
            connections=room.account,
        )
        process_meters.add_gauge(
            "godwittack_body_bytes", lambda: body_memory.used_bytes
        )
        process_meters.add_gauge(
            "godwittack_bodies_waiting", lambda: body_memory.waiting
        )
        process_meters.add_gauge(
            "godwittack_bodies_rejected", lambda: body_memory.rejected
        )
        return cls(
            clock=clock,
            rng=rng,
            core=core,
            counts=counters.EventCounters(daemon=me.member_id, clock=clock),
            meters=process_meters,
            members=view.View(
                me=me,
                policy=settings.member_policy(),
                rng=rng,
                expected=len({*settings.seeds, settings.peer_address}),
            ),
            peers=exchange.PeerClient(
                secret=loaded.cluster_secret,
                timeout_ms=settings.peer_timeout_ms,
                messages=process_meters.peer_traffic,
            ),
            probes=datagram.DatagramPeers(
                secret=loaded.cluster_secret,
                timeout_ms=settings.peer_timeout_ms,
                messages=process_meters.peer_traffic,
            ),
            peer_secret=loaded.cluster_secret,
            seeds=settings.seeds,
            room=room,
            body_memory=body_memory,
        )

    def build_gossiper(
        self,
        *,
        daemon_runtime: runtime.Runtime,
        keeper: tables.TableKeeper,
        updates: peer_updates.PeerUpdates,
    ) -> gossip.Gossiper:
        """Returns a gossiper, which probes peers and spreads membership."""
        return gossip.Gossiper(
            members=self.members,
            runtime=daemon_runtime,
            keeper=keeper,
            seed_client=self.peers,
            member_client=self.probes,
            updates=updates,
            counts=self.counts,
            seeds=self.seeds,
        )

    def build_relay(
        self,
        *,
        daemon_runtime: runtime.Runtime,
        backend: protocol.BackendClient,
        reporter: signals.SignalReporter,
        event_observer: observer.Observer,
        probe_timeout_ms: int,
    ) -> relay_server.RelayServer:
        """Lets a daemon send through others, and returns what they call."""
        daemon_runtime.relay = relay_client.RelayClient(
            peers=self.peers,
            own_id=self.members.me.member_id,
            address_of=self._peer_address,
            reporter=reporter,
            clock=self.clock,
            probe_timeout_ms=probe_timeout_ms,
        )
        return relay_server.RelayServer(
            world=self.core.world,
            backend=backend,
            clock=self.clock,
            submit=daemon_runtime.submit,
            observer=event_observer,
            is_overloaded=lambda: self.members.me.is_overloaded,
            body_memory=self.body_memory,
        )

    def _peer_address(self, member_id: str) -> str:
        row = self.members.rows.get(member_id)
        return row.member.peer_address if row is not None else ""

    def build_stream_news(
        self, daemon_runtime: runtime.Runtime
    ) -> stream_news.StreamNews:
        """Lets a daemon exchange the software versions of streams."""
        daemon_runtime.streams = stream_news.StreamNews(
            world=self.core.world,
            client=self.peers,
            datagrams=self.probes,
            address_of=self._peer_address,
            clock=self.clock,
        )
        return daemon_runtime.streams

    def build_peer_server(
        self,
        handler: server.PeerHandler,
        relay: relay_server.RelayServer,
        streams: server.StreamHandler | None = None,
    ) -> server.PeerServer:
        """Returns the server that other daemons call."""
        return server.PeerServer(
            handler=handler,
            secret=self.peer_secret,
            messages=self.meters.peer_traffic,
            relay=relay,
            streams=streams,
            clock=self.clock,
            memory=self.room.account,
        )

    async def close(self, peer_server: server.PeerServer) -> None:
        """Closes the server and clients for other daemons, and the metrics."""
        await peer_server.stop()
        await self.peers.close()
        self.probes.close()
        self.meters.close()


class BackgroundTasks:
    """Tasks that run until the daemon stops; a failed one ends the process."""

    def __init__(self) -> None:
        """Starts with no tasks."""
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, coroutine: Coroutine[object, object, None]) -> None:
        """Runs `coroutine` until it is cancelled."""
        task = asyncio.create_task(_run(coroutine))
        task.add_done_callback(_stop_on_failure)
        self._tasks.append(task)

    async def cancel(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        await cancellation.cancel_all(self._tasks)


def install_stop_handler() -> asyncio.Event:
    """Returns an event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    return stop


async def _run(coroutine: Coroutine[object, object, None]) -> None:
    await coroutine


def _stop_on_failure(task: asyncio.Task[None]) -> None:
    """Ends the process if a background task has failed.

    A task that ended silently would leave the daemon partly working.
    """
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        logging.exception("event=loop_failed detail=%r", error, exc_info=error)
        signal.raise_signal(signal.SIGTERM)


__all__ = ["BackgroundTasks", "Components", "install_stop_handler"]
