"""What every daemon is made of, whatever its surroundings speak."""

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
from godwittack.daemon import gossip
from godwittack.member import view
from godwittack.metric import meters
from godwittack.peer import datagram, exchange, server
from godwittack.report import ledger

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from godwittack.config import settings as configs
    from godwittack.daemon import peer_updates, runtime, tables


@dataclasses.dataclass(slots=True, kw_only=True)
class Base:
    """The core, the view of other daemons, and the ways to them.

    Attributes:
        clock: Source of time for all parts.
        rng: Spreads what daemons would else do at one moment.
        core: Decides.
        counts: What reports are made of.
        meters: What metrics are made of.
        members: The view of all daemons.
        peers: Calls and streams to other daemons.
        probes: Probes of them, as datagrams.
        peer_secret: Proves messages between daemons.
        seeds: Peer addresses from the settings.
    """

    clock: SystemClock
    rng: random.Random
    core: router.Router
    counts: ledger.Ledger
    meters: meters.Meters
    members: view.View
    peers: exchange.PeerClient
    probes: datagram.DatagramPeers
    peer_secret: bytes
    seeds: tuple[str, ...]

    @classmethod
    def from_config(cls, loaded: configs.Loaded) -> Base:
        """Builds the parts of a process that has just started."""
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
            daemon=me.member_id, policy=settings.policy()
        )
        measures = meters.Meters(core.world)
        return cls(
            clock=clock,
            rng=rng,
            core=core,
            counts=ledger.Ledger(daemon=me.member_id, clock=clock),
            meters=measures,
            members=view.View(
                me=me,
                policy=settings.member_policy(),
                rng=rng,
                expected=len({*settings.seeds, settings.peer_address}),
            ),
            peers=exchange.PeerClient(
                secret=loaded.cluster_secret,
                timeout_ms=settings.peer_timeout_ms,
                count_bytes=measures.count_peer_bytes,
            ),
            probes=datagram.DatagramPeers(
                secret=loaded.cluster_secret,
                timeout_ms=settings.peer_timeout_ms,
                count_bytes=measures.count_peer_bytes,
            ),
            peer_secret=loaded.cluster_secret,
            seeds=settings.seeds,
        )

    def gossiper(
        self,
        *,
        running: runtime.Runtime,
        keeper: tables.TableKeeper,
        news: peer_updates.PeerUpdates,
    ) -> gossip.Gossiper:
        """Returns what probes the others and spreads membership."""
        return gossip.Gossiper(
            members=self.members,
            runtime=running,
            keeper=keeper,
            seed_client=self.peers,
            member_client=self.probes,
            updates=news,
            counts=self.counts,
            seeds=self.seeds,
        )

    def peer_server(self, handler: server.PeerHandler) -> server.PeerServer:
        """Returns the server that other daemons call."""
        return server.PeerServer(
            handler=handler,
            secret=self.peer_secret,
            count_bytes=self.meters.count_peer_bytes,
        )

    async def close(self, listening: server.PeerServer) -> None:
        """Ends the ways to other daemons, and the metrics."""
        await listening.stop()
        await self.peers.close()
        self.probes.close()
        self.meters.close()


class Loops:
    """What a daemon does all the time; the failure of one ends the process."""

    def __init__(self) -> None:
        """Runs none yet."""
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, work: Coroutine[object, object, None]) -> None:
        """Runs `work` until it is cancelled."""
        task = asyncio.create_task(_run(work))
        task.add_done_callback(_report_end)
        self._tasks.append(task)

    async def cancel(self) -> None:
        """Ends all and waits for that."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def stop_ordered() -> asyncio.Event:
    """Returns an event that is set by the signals that end the process."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


async def _run(work: Coroutine[object, object, None]) -> None:
    await work


def _report_end(task: asyncio.Task[None]) -> None:
    """Ends the process where one of its loops has failed.

    A loop that ends silently would leave the daemon half alive.
    """
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        logging.exception("event=loop_failed detail=%r", error, exc_info=error)
        signal.raise_signal(signal.SIGTERM)


__all__ = ["Base", "Loops", "stop_ordered"]
