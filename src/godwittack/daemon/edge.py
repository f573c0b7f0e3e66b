"""Builds and runs a daemon whose surroundings speak the platform's way."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import signal
from typing import TYPE_CHECKING

import aiohttp
from absl import logging
from aiohttp import web

from godwittack.backend import pool as pools
from godwittack.backend import routed
from godwittack.core import availability, inputs, rate_limits
from godwittack.daemon import (
    announcing,
    base,
    crash_rows,
    feed_follower,
    instance_rows,
    instances,
    keeping,
    lag,
    lead,
    listening,
    naming,
    observer,
    peer_updates,
    runtime,
    server_watcher,
    stories,
)
from godwittack.entry import directory, forward
from godwittack.lead import lease as leases
from godwittack.lead import rollout
from godwittack.member import assignment, freshness, serving, store_lease
from godwittack.platform import callers, names, rows, servers, table
from godwittack.platform import directory as resolving
from godwittack.platform import instances as list_rows

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from godwittack.clock import loop_delay
    from godwittack.config import settings as configs
    from godwittack.core import effects
    from godwittack.store import protocol as stores

# Taken off the bound on keys: the store's feed may be silent for a second
# while changes are made, and a request takes a while to its server.
KEY_MARGIN_MS = 1_500
# Taken off the time until SIGKILL, for the last answers and the end itself.
STOP_MARGIN_MS = 1_200
# Between two looks for connections that nobody uses any more.
TIDY_MS = 500
# Engines let running requests end before they load, so that the order need
# only wait until no daemon sends new ones: a notice takes some 10 ms.
ORDER_AFTER_MS = 100
# For an order without an answer: a load takes up to 3.2 s where long requests
# end first. One that was taken may last longer.
LOAD_LIMIT_MS = 4_000


class EdgeDaemon:
    """One daemon process on the platform."""

    def __init__(
        self,
        loaded: configs.Loaded,
        session: aiohttp.ClientSession,
        write_line: Callable[[str], None],
        delay: loop_delay.ReadDelay,
    ) -> None:
        """Wires the parts; nothing runs yet.

        Args:
            loaded: Settings.
            session: For calls to the store.
            write_line: Writes a log line without waiting.
            delay: How late the loop may read.
        """
        self._settings = settings = loaded.settings
        self._base = parts = base.Base.from_config(loaded)
        core, clock, counts = parts.core, parts.clock, parts.counts
        self._meters = parts.meters
        self._peers, self._probes = parts.peers, parts.probes
        self._clock, self._rng = parts.clock, parts.rng
        self._members = members = parts.members
        self._store = rows.Rows(
            session=session,
            address=settings.platform_url.removeprefix("http://"),
            timeout_ms=settings.platform_timeout_ms,
        )
        self._pool = pools.Pool(
            clock=clock, connect_timeout_ms=settings.connect_timeout_ms
        )
        backend = routed.RoutedBackend(
            pool=self._pool,
            wire=servers.ServerFormat(self._model_of),
            clock=clock,
            control_timeout_ms=settings.control_timeout_ms,
        )
        self.runtime = runtime.Runtime(
            core=core,
            backend_client=backend,
            claims=None,
            observe=observer.EventObserver(
                counts=counts,
                measures=self._meters,
                told=stories.Stories(write=write_line, now_ms=clock.now_ms),
            ),
            clock=clock,
        )
        backend.listener.submit = self.runtime.submit
        backend.may_send = lambda dispatch: availability.may_send(
            core.world, dispatch, now_ms=clock.now_ms()
        )
        backend.listener.limits.on_named = self.runtime.submit
        backend.listener.limits.is_known = functools.partial(
            rate_limits.is_limited, core.world
        )
        self._keeper = keeping.FeedKeeper(
            runtime=self.runtime,
            peers=self._peers,
            right=store_lease.StoreServingLease(
                bound_ms=settings.key_bound_ms - KEY_MARGIN_MS
            ),
            members=members,
            known=freshness.Freshness(topic=freshness.Topic.TABLE),
        )
        self._keeper.known.on_confirmed = self._keeper.confirmed
        self._named = naming.NamedVersions()
        self._servers_known = freshness.Freshness(topic=freshness.Topic.SERVERS)
        self._serving = serving.ServingSetSelector(
            members=members,
            policy=serving.ServingPolicy(
                mesh_limit=settings.mesh_limit,
                serving=settings.serving_daemons,
            ),
        )
        for role in serving.Role:
            self._meters.add_gauge(
                f"godwittack_is_{role.value}",
                functools.partial(self._serving.has_role, role),
            )
        self._news = peer_updates.PeerUpdates(
            members=members,
            runtime=self.runtime,
            client=self._peers,
            audience=self._serving,
        )
        announcer = announcing.Announcer(
            members=members,
            news=self._news,
            runtime=self.runtime,
            spreader=self._probes,
        )
        self.runtime.on_announce = announcer.announce
        self._probes.on_news = announcer.heard
        self.runtime.on_doubt = self._news.publish_suspected
        self._crash_rows = crash_rows.CrashRows(
            service=self._store, runtime=self.runtime
        )
        self.runtime.on_crashes = self._crashes_seen
        self.runtime.on_rate_limit = self._news.publish_rate_limit
        self._gossiper = parts.gossiper(
            running=self.runtime, keeper=self._keeper, news=self._news
        )
        self._gossiper.serving_daemons = self._carriers
        self._gossiper.freshness = {
            known.topic: known
            for known in (self._keeper.known, self._servers_known)
        }
        self._streams = server_watcher.Streams()
        self._list = instances.InstanceFollower(
            core=self.runtime,
            decode=self._decode_instances,
            updates=self._news,
            table_freshness=self._servers_known,
            is_reader=self._is_reader,
        )
        self._operator_rows = self._follower(
            names.OPERATOR_TABLE,
            on_rows=self._operator_rows_changed,
            known=self._keeper.known,
        )
        self._server_rows = self._follower(
            names.SERVERS_TABLE,
            on_rows=self._list.apply_rows,
            known=self._servers_known,
        )
        self._list.follower = self._server_rows
        self._watcher = server_watcher.ServerWatcher(
            core=self.runtime,
            client=backend,
            members=members,
            updates=self._news,
            streams=self._streams,
            load_poll_ms=settings.load_poll_ms,
            followed=server_watcher.FollowedData.ENGINE_LOADS
            | server_watcher.FollowedData.CACHES,
        )
        use_limit_ms = settings.policy().old_weights_limit_ms
        self._leader = lead.Leader(
            core=self.runtime,
            client=backend,
            lease_store=self._store,
            members=members,
            updates=self._news,
            policy=leases.LeasePolicy(lease_ms=settings.lease_ms),
            rollout_policy=rollout.RolloutPolicy(
                order_after_ms=ORDER_AFTER_MS,
                load_limit_ms=LOAD_LIMIT_MS,
                # Until then it would not be used with its old weights either.
                accepted_limit_ms=max(LOAD_LIMIT_MS, use_limit_ms),
                use_limit_ms=use_limit_ms,
            ),
            metrics=self._meters,
            audience=self._serving,
        )
        self._peer_server = parts.peer_server(self._gossiper)
        self._face = forward.ForwardFace(
            runtime=self.runtime,
            settings=settings,
            wire=callers.CallerFormat(),
        )
        self._directory = directory.DirectoryFace(
            members=members,
            world=core.world,
            wire=resolving.DirectoryFormat(),
            serving=self._serving,
        )
        self._store_readers = assignment.CachedAssignment(
            assignment.store_readers
        )
        self._loops = base.Loops()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listeners = listening.Listeners(clock, delay)

    def _crashes_seen(self, told: effects.TellCrashes) -> None:
        self._news.publish_crashes(told)
        self._crash_rows.seen(told)

    def _carriers(self) -> tuple[str, ...]:
        """Returns the daemons that callers are sent to."""
        return tuple(m.member_id for m in self._serving.current().serving)

    async def run(self) -> None:
        """Serves until a stop is ordered and everything is finished.

        Raises:
            OSError: An address is in use.
        """
        stop = base.stop_ordered()
        # Settings that change while the process runs concern addresses,
        # which only a restart could take up.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, _note_reload)
        settings = self._settings
        await self._peer_server.start(settings.peer_address)
        await self._probes.start(settings.peer_address, handler=self._gossiper)
        self._streams.connect(core=self.runtime, updates=self._news)
        await self._listeners.listen(settings.http_address, self._face.handle)
        await self._listeners.listen(
            settings.ready_address, self._directory.ready
        )
        await self._listeners.listen(
            settings.directory_address, self._directory.resolve
        )
        if settings.metrics_address:
            await self._listeners.listen(
                settings.metrics_address, self._metrics
            )
        self._gossiper.announce()
        self._start_loops()
        logging.info(
            "event=serving daemon=%s http=%s peer=%s",
            self._members.me.member_id,
            settings.http_address,
            settings.peer_address,
        )
        await stop.wait()
        await self._stop()

    def _start_loops(self) -> None:
        settings = self._settings
        self._loops.start(self.runtime.tick_forever(tick_ms=settings.tick_ms))
        self._loops.start(
            self._gossiper.gossip_forever(gossip_ms=settings.gossip_ms)
        )
        self._loops.start(
            self._news.flush_forever(min_interval_ms=settings.news_ms)
        )
        self._loops.start(self._operator_rows.follow_forever())
        self._loops.start(self._server_rows.follow_forever())
        self._loops.start(
            self._list.drop_missing_forever(every_ms=settings.gossip_ms)
        )
        self._loops.start(self._watcher.assign_forever())
        self._loops.start(
            self._leader.lead_forever(step_ms=settings.lead_step_ms)
        )
        self._loops.start(self._tidy_forever())
        self._loops.start(
            lag.watch_forever(members=self._members, clock=self._clock)
        )

    async def _metrics(self, request: web.BaseRequest) -> web.Response:
        del request
        return web.Response(
            body=self._meters.exposition(), content_type="text/plain"
        )

    async def _stop(self) -> None:
        """Leaves in order: told, unused, empty, gone."""
        settings = self._settings
        started_ms = self._clock.now_ms()
        grace_ms = round(settings.stop_grace_s * 1000)
        ends_ms = started_ms + grace_ms - STOP_MARGIN_MS
        logging.info("event=stopping in_flight=%d", self._in_flight())
        self._face.stopping = self._directory.stopping = True
        await self._gossiper.stop()
        kept_ms = started_ms + directory.KEEP_FACTOR * directory.ADDRESS_KEEP_MS
        while self._clock.now_ms() < min(kept_ms, ends_ms):
            await asyncio.sleep(0.05)
        await self._listeners.stop()
        self.runtime.submit(inputs.StopOrdered(self._clock.now_ms()))
        left_s = max(0.1, (ends_ms - self._clock.now_ms()) / 1000)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left_s):
                await self.runtime.stopped.wait()
        await asyncio.sleep(0.05)
        await self._close()
        logging.info("event=stopped in_flight=%d", self._in_flight())

    async def _close(self) -> None:
        await self._loops.cancel()
        self._watcher.close()
        self._news.close()
        self._crash_rows.close()
        await self.runtime.close()
        self._pool.close()
        await self._base.close(self._peer_server)

    async def _tidy_forever(self) -> None:
        while True:
            await asyncio.sleep(TIDY_MS / 1000)
            self._pool.tidy()
            table = self.runtime.core.world.table
            if table.forwarding is not None:
                self._listeners.end_slow(table.forwarding.limits)

    def _follower(
        self,
        name: str,
        *,
        on_rows: Callable[[Mapping[str, stores.ChangedRow]], None],
        known: freshness.Freshness,
    ) -> feed_follower.FeedFollower:
        return feed_follower.FeedFollower(
            feed=self._store,
            table=name,
            clock=self._clock,
            rng=self._rng,
            wait_ms=self._settings.feed_wait_ms,
            on_rows=on_rows,
            on_confirmed=known.record_confirmation,
            table_freshness=known,
            is_reader=self._is_reader,
        )

    def _is_reader(self) -> bool:
        readers = self._store_readers.among(self._members.serving())
        return self._members.me.member_id in readers

    def _operator_rows_changed(
        self, found: Mapping[str, stores.ChangedRow]
    ) -> None:
        before = self._keeper.table.version
        version = self._operator_rows.version
        self._named.take(found, table.weights_from_row)
        self._keeper.rows_changed(
            lambda rows: table.table_from_rows(
                rows, version=version, weights=self._named.by_model
            ),
            found,
        )
        if before and self._keeper.table.version > before:
            # Probed in turn, some daemons would hear of it a second later.
            task = asyncio.create_task(self._gossiper.probe_all())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _decode_instances(
        self, found: Mapping[str, stores.ChangedRow]
    ) -> instance_rows.ParsedRows:
        return instance_rows.parse(
            found,
            list_rows.instance_from_row,
            failure_domains=self._settings.failure_domains,
        )

    def _model_of(self, target: str) -> str:
        forwarding = self.runtime.core.world.table.forwarding
        if forwarding is None or target not in forwarding.engines:
            return target
        return forwarding.engines[target].model

    def _in_flight(self) -> int:
        return len(self.runtime.core.world.requests)


async def serve(
    loaded: configs.Loaded,
    *,
    write_line: Callable[[str], None],
    delay: loop_delay.ReadDelay,
) -> None:
    """Runs a daemon until it is stopped."""
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(keepalive_timeout=30)
    ) as session:
        await EdgeDaemon(loaded, session, write_line, delay).run()


def _note_reload() -> None:
    logging.info("event=reload detail=nothing_to_take_up")


__all__ = ["EdgeDaemon", "serve"]
