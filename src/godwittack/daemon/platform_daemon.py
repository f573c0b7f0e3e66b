"""Builds, runs and stops a daemon with the platform's interface."""

from __future__ import annotations

import asyncio
import functools
import signal
from typing import TYPE_CHECKING

import aiohttp
from absl import logging
from aiohttp import web

from godwittack.backend import bounded_client, idle_reporter, routed
from godwittack.backend import pool as pools
from godwittack.core import (
    availability,
    brittle,
    locality,
    rate_limits,
)
from godwittack.daemon import (
    base,
    connection_room,
    copies,
    crash_rows,
    dispatch_announcer,
    feed_follower,
    feed_table,
    instance_rows,
    instances,
    lag,
    lead,
    listeners,
    log_sampling,
    observer,
    peer_updates,
    published_weights,
    runtime,
    server_watcher,
    shutdown,
    stream_history,
)
from godwittack.entry import (
    bodies,
    connection_config,
    directory,
    forward,
    request_limits,
)
from godwittack.lead import lease as leases
from godwittack.lead import rollout
from godwittack.member import (
    assignment,
    freshness,
    serving,
    staleness,
    store_lease,
)
from godwittack.platform import callers, names, rows, servers, table
from godwittack.platform import directory as resolving
from godwittack.platform import instances as list_rows
from godwittack.table import forwarding

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from godwittack.clock import loop_delay
    from godwittack.config import settings as configs
    from godwittack.core import effects
    from godwittack.peer import peer_pb2
    from godwittack.store import protocol as stores

# Subtracted from the time within which a revoked key must be refused: the
# store's feed may be silent while changes are made, and a request takes a while
# to reach its server.
KEY_BOUND_MARGIN_MS = staleness.FEED_SILENCE_MS + 500
# Subtracted from the time until SIGKILL, for the last answers and the shutdown.
STOP_MARGIN_MS = 1_200
# Interval between two searches for unused and slow connections.
CLEANUP_INTERVAL_MS = 500
# Engines let running requests end before they load weights, so the order need
# only wait until no daemon sends new ones: a drain notice takes some 10 ms.
ORDER_DELAY_MS = 100
# For an order without an answer: a load takes up to 3.2 s if long requests must
# end first. A load that the server has accepted may last longer.
LOAD_TIMEOUT_MS = 4_000


class PlatformDaemon:
    """One daemon process on the platform."""

    def __init__(
        self,
        loaded: configs.LoadedSettings,
        session: aiohttp.ClientSession,
        write_line: Callable[[str], None],
        delay: loop_delay.ReadDelay,
    ) -> None:
        """Wires the components without starting them.

        Args:
            loaded: Settings.
            session: HTTP session for calls to the store.
            write_line: Writes a log line without blocking.
            delay: Measures how late the event loop reads.
        """
        self._settings = settings = loaded.settings
        self._components = components = base.Components.from_config(loaded)
        core, clock, counts = (
            components.core,
            components.clock,
            components.counts,
        )
        self._meters = components.meters
        self._peers, self._probes = components.peers, components.probes
        self._clock, self._rng = components.clock, components.rng
        self._members = members = components.members
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
            server_format=servers.ServerFormat(self._model_for),
            clock=clock,
            control_timeout_ms=settings.control_timeout_ms,
        )
        event_observer = observer.EventObserver(
            counts=counts,
            event_meters=self._meters,
            log_sampler=log_sampling.RequestLogSampler(
                write=write_line, now_ms=clock.now_ms
            ),
        )
        self.runtime = runtime.Runtime(
            core=core,
            backend_client=backend,
            claims=None,
            event_observer=event_observer,
            clock=clock,
        )
        self._relay_server = components.build_relay(
            daemon_runtime=self.runtime,
            backend=backend,
            reporter=backend.signal_reporter,
            event_observer=event_observer,
            probe_timeout_ms=settings.control_timeout_ms,
        )
        self._report_idle_connections()
        backend.signal_reporter.submit = self.runtime.submit
        backend.may_send = lambda dispatch: availability.may_send(
            core.world, dispatch, now_ms=clock.now_ms()
        )
        backend.signal_reporter.brittle.submit = self.runtime.submit
        backend.signal_reporter.brittle.has_announced = functools.partial(
            brittle.has_announced, core.world
        )
        backend.signal_reporter.limits.on_limit = self.runtime.submit
        backend.signal_reporter.limits.has_limit = functools.partial(
            rate_limits.is_limited, core.world
        )
        self._keeper = feed_table.FeedTableKeeper(
            runtime=self.runtime,
            peers=self._peers,
            serving_lease=store_lease.StoreServingLease(
                bound_ms=settings.key_bound_ms - KEY_BOUND_MARGIN_MS
            ),
            members=members,
            table_freshness=freshness.Freshness(topic=freshness.Topic.TABLE),
        )
        self._keeper.table_freshness.on_confirmed = (
            self._keeper.record_confirmation
        )
        self._servers_freshness = freshness.Freshness(
            topic=freshness.Topic.SERVERS
        )
        self._servers_freshness.on_confirmed = lambda at_ms: (
            copies.submit_confirmation(self.runtime, self._servers_freshness)
        )
        self._published_versions = published_weights.PublishedVersions()
        self._serving = serving.ServingSetSelector(
            members=members,
            policy=serving.ServingPolicy(
                mesh_limit=settings.mesh_limit,
                serving=settings.serving_daemons,
            ),
        )
        self._add_state_gauges()
        for role in serving.Role:
            self._meters.add_gauge(
                f"godwittack_is_{role.value}",
                functools.partial(self._serving.has_role, role),
            )
        self._peer_updates = peer_updates.PeerUpdates(
            members=members,
            runtime=self.runtime,
            client=self._peers,
            audience=self._serving,
        )
        announcer = dispatch_announcer.Announcer(
            members=members,
            updates=self._peer_updates,
            runtime=self.runtime,
            datagrams=self._probes,
        )
        self.runtime.on_announce = announcer.announce
        self._announcer = announcer
        self._stream_news = components.build_stream_news(self.runtime)
        self._probes.on_news = self._apply_datagram
        self.runtime.on_suspicion = self._peer_updates.publish_suspected
        self._crash_rows = crash_rows.CrashRows(
            store=self._store, runtime=self.runtime
        )
        self.runtime.on_crashes = self._publish_crashes
        self.runtime.on_rate_limit = self._peer_updates.publish_rate_limit
        self.runtime.on_usage = self._peer_updates.publish_usage
        self.runtime.on_paths = self._peer_updates.publish_paths
        self.runtime.on_load = self._peer_updates.publish_told_load
        self.runtime.on_brittle = self._peer_updates.publish_brittle
        self._gossiper = components.build_gossiper(
            daemon_runtime=self.runtime,
            keeper=self._keeper,
            updates=self._peer_updates,
        )
        self._gossiper.serving_daemons = self._serving_daemons
        self._gossiper.freshness = {
            entry.topic: entry
            for entry in (self._keeper.table_freshness, self._servers_freshness)
        }
        self._streams = server_watcher.Streams()
        self._instance_list = instances.InstanceFollower(
            core=self.runtime,
            decode=instance_rows.Parser(
                list_rows.instance_from_row,
                failure_domains=settings.failure_domains,
            ).parse,
            updates=self._peer_updates,
            list_freshness=self._servers_freshness,
            is_reader=self._is_reader,
        )
        self._store_ranks = assignment.CachedAssignment(assignment.store_ranks)
        self._operator_rows = self._build_follower(
            names.OPERATOR_TABLE,
            on_rows=self._apply_operator_rows,
            table_freshness=self._keeper.table_freshness,
            # The keys are among these rows.
            bound_ms=min(
                settings.config_bound_ms,
                max(
                    staleness.MIN_BOUND_MS,
                    settings.key_bound_ms - KEY_BOUND_MARGIN_MS,
                ),
            ),
        )
        self._server_rows = self._build_follower(
            names.SERVERS_TABLE,
            on_rows=self._instance_list.apply_rows,
            table_freshness=self._servers_freshness,
            bound_ms=settings.drain_bound_ms,
        )
        self.runtime.confirm = copies.StateConfirmer(
            runtime=self.runtime,
            table=self._operator_rows,
            servers=self._server_rows,
            probe_readers=self._probe_readers,
        ).confirm
        self._instance_list.follower = self._server_rows
        self._watcher = server_watcher.ServerWatcher(
            core=self.runtime,
            client=backend,
            members=members,
            updates=self._peer_updates,
            streams=self._streams,
            load_poll_ms=settings.load_poll_ms,
            followed=server_watcher.FollowedData.ENGINE_LOADS
            | server_watcher.FollowedData.CACHES,
        )
        max_weights_age_ms = settings.policy().old_weights_limit_ms
        self._leader = lead.Leader(
            core=self.runtime,
            client=backend,
            lease_store=self._store,
            members=members,
            updates=self._peer_updates,
            policy=leases.LeasePolicy(lease_ms=settings.lease_ms),
            rollout_policy=rollout.RolloutPolicy(
                order_after_ms=ORDER_DELAY_MS,
                load_limit_ms=LOAD_TIMEOUT_MS,
                # By then the server could not be used with its outdated
                # weights either.
                accepted_limit_ms=max(LOAD_TIMEOUT_MS, max_weights_age_ms),
                use_limit_ms=max_weights_age_ms,
            ),
            metrics=self._meters,
            audience=self._serving,
        )
        self._peer_server = components.build_peer_server(
            self._gossiper, self._relay_server, self._stream_news
        )
        self._forward_handler = forward.ForwardHandler(
            runtime=self.runtime,
            settings=settings,
            caller_format=callers.CallerFormat(),
            body_reader=bodies.BodyReader(components.body_memory),
        )
        self._directory = directory.DirectoryHandlers(
            members=members,
            world=core.world,
            directory_format=resolving.DirectoryFormat(),
            serving=self._serving,
        )
        self._stream_history = stream_history.StreamHistory(
            store=self._store,
            runtime=self.runtime,
            list_version=lambda: self._servers_freshness.version,
            is_writer=self._is_reader,
            is_first_start=settings.is_first_start,
        )
        self._instance_list.on_applied = self._stream_history.check
        self._background_tasks = base.BackgroundTasks()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listeners = listeners.Listeners(
            connection_config.ConnectionConfig(
                clock=clock,
                delay=delay,
                memory=components.room.account,
                limits=self._request_limits,
                discard_ms=settings.body_timeout_ms,
            )
        )
        self._add_connection_gauges()

    def _report_idle_connections(self) -> None:
        """Connects the pool of connections with the core."""
        world = self.runtime.core.world
        self._pool.keeps_expiring = functools.partial(
            locality.keeps_expiring, world
        )
        reporter = idle_reporter.IdleReporter(
            pool=self._pool,
            clock=self._clock,
            submit=self.runtime.submit,
            is_reported=functools.partial(locality.needs_idle_count, world),
        )
        self._pool.on_idle = reporter.record
        self._meters.add_gauge(
            "godwittack_connections_opened", lambda: self._pool.opened
        )

    def _request_limits(self) -> request_limits.RequestLimits:
        """Returns the table's limits, and room for the request line."""
        table = self.runtime.core.world.table
        limits = forwarding.CallerLimits()
        if table.forwarding is not None:
            limits = table.forwarding.limits
        return request_limits.RequestLimits(
            head_bytes=limits.header_bytes
            + self._settings.max_request_line_bytes,
            body_bytes=limits.body_bytes,
        )

    def _add_connection_gauges(self) -> None:
        self._meters.add_gauge(
            "godwittack_malformed_requests", self._listeners.count_malformed
        )
        room = self._components.room
        room.outbound_connections = lambda: self._pool.open_count
        room.longest_body_bytes = lambda: self._request_limits().body_bytes

    def _add_state_gauges(self) -> None:
        """Adds the age of each copy of the store's rows, and its version."""
        self._meters.add_gauge(
            "godwittack_list_version", lambda: self._servers_freshness.version
        )
        for name, copy in (
            ("table", self._keeper.table_freshness),
            ("list", self._servers_freshness),
        ):
            self._meters.add_gauge(
                f"godwittack_{name}_confirmed_ago_ms",
                functools.partial(self._confirmed_ago_ms, copy),
            )

    def _confirmed_ago_ms(self, copy: freshness.Freshness) -> int:
        return self._clock.now_ms() - copy.confirmed_at_ms

    def _apply_datagram(self, news: peer_pb2.News) -> None:
        self._announcer.apply(news)
        for told in self._stream_news.read(news):
            self.runtime.submit(told)

    def _publish_crashes(self, update: effects.TellCrashes) -> None:
        self._peer_updates.publish_crashes(update)
        self._crash_rows.record(update)

    def _serving_daemons(self) -> tuple[str, ...]:
        """Returns the ids of the daemons that callers are sent to."""
        return tuple(m.member_id for m in self._serving.current().serving)

    async def run(self) -> None:
        """Serves until a stop signal arrives and the daemon has stopped.

        Raises:
            OSError: An address is in use.
        """
        stop = base.install_stop_handler()
        # SIGHUP requests a reload, but the settings that may change concern
        # addresses, which only a restart can apply.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, _log_reload)
        settings = self._settings
        await self._peer_server.start(settings.peer_address)
        await self._probes.start(settings.peer_address, handler=self._gossiper)
        self._streams.connect(core=self.runtime, updates=self._peer_updates)
        await self._listeners.listen(
            settings.http_address, self._forward_handler.handle
        )
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
        if stop.is_set():
            # No caller can hold the address of a daemon that was not announced.
            await self._close()
            logging.info("event=stopped detail=before_serving")
            return
        self._gossiper.announce()
        connection_room.prepare_process()
        self._start_background_tasks()
        logging.info(
            "event=serving daemon=%s http=%s peer=%s",
            self._members.me.member_id,
            settings.http_address,
            settings.peer_address,
        )
        await stop.wait()
        await self._stop()

    def _start_background_tasks(self) -> None:
        settings = self._settings
        self._background_tasks.start(
            self.runtime.tick_forever(tick_ms=settings.tick_ms)
        )
        self._background_tasks.start(
            self._gossiper.gossip_forever(gossip_ms=settings.gossip_ms)
        )
        self._background_tasks.start(
            self._peer_updates.flush_forever(min_interval_ms=settings.news_ms)
        )
        self._background_tasks.start(self._operator_rows.follow_forever())
        self._background_tasks.start(self._server_rows.follow_forever())
        self._background_tasks.start(
            self._instance_list.drop_missing_forever(
                every_ms=settings.gossip_ms
            )
        )
        self._background_tasks.start(self._watcher.assign_forever())
        self._background_tasks.start(
            self._leader.lead_forever(step_ms=settings.lead_step_ms)
        )
        self._background_tasks.start(self._stream_history.keep_forever())
        self._background_tasks.start(self._clean_up_forever())
        self._background_tasks.start(
            lag.watch_forever(members=self._members, clock=self._clock)
        )
        self._background_tasks.start(self._meters.peer_traffic.log_forever())

    async def _metrics(self, request: web.BaseRequest) -> web.Response:
        del request
        return web.Response(
            body=self._meters.exposition(), content_type="text/plain"
        )

    async def _stop(self) -> None:
        """Announces the stop, waits for callers to leave, drains and closes."""
        settings = self._settings
        started_ms = self._clock.now_ms()
        grace_ms = round(settings.stop_grace_s * 1000)
        stop = shutdown.Shutdown(
            daemon_runtime=self.runtime,
            caller_listeners=self._listeners,
            relay=self._relay_server,
        )
        stop.set_expiry(
            started_ms
            + directory.ADDRESS_KEEP_FACTOR * directory.ADDRESS_KEEP_MS
        )
        self._directory.stopping = True
        try:
            await self._gossiper.stop()
        except Exception:
            # Callers' requests must end nevertheless.
            logging.exception("event=stop_failed step=gossip")
        await stop.drain(deadline_ms=started_ms + grace_ms - STOP_MARGIN_MS)
        await self._close()
        stop.log_end()

    async def _close(self) -> None:
        await self._background_tasks.cancel()
        self._watcher.close()
        self._peer_updates.close()
        self._crash_rows.close()
        await self.runtime.close()
        self._pool.close()
        await self._components.close(self._peer_server)

    async def _clean_up_forever(self) -> None:
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_MS / 1000)
            self._pool.close_expired()
            self._components.room.update()
            table = self.runtime.core.world.table
            if table.forwarding is not None:
                self._listeners.close_slow_connections(table.forwarding.limits)

    def _build_follower(
        self,
        name: str,
        *,
        on_rows: Callable[[Mapping[str, stores.ChangedRow]], None],
        table_freshness: freshness.Freshness,
        bound_ms: int,
    ) -> feed_follower.FeedFollower:
        return feed_follower.FeedFollower(
            feed=self._store,
            table=name,
            clock=self._clock,
            rng=self._rng,
            on_rows=on_rows,
            on_confirmed=table_freshness.record_confirmation,
            table_freshness=table_freshness,
            is_reader=self._is_reader,
            rank=self._store_rank,
            limits=staleness.StalenessLimits.from_bound(
                bound_ms, poll_ms=self._settings.feed_wait_ms
            ),
        )

    def _is_reader(self) -> bool:
        return self._store_rank() < assignment.STORE_READER_COUNT

    def _store_rank(self) -> int:
        ranks = self._store_ranks.among(self._members.serving())
        return ranks.get(self._members.me.member_id, len(ranks))

    async def _probe_readers(self) -> None:
        """Asks the daemons that poll the store what it confirmed to them."""
        ranks = self._store_ranks.among(self._members.serving())
        await self._gossiper.probe(
            frozenset(
                member_id
                for member_id, rank in ranks.items()
                if rank < assignment.STORE_READER_COUNT
            )
        )

    def _apply_operator_rows(
        self, changed_rows: Mapping[str, stores.ChangedRow]
    ) -> None:
        version_before = self._keeper.table.version
        version = self._operator_rows.version
        self._published_versions.apply_rows(
            changed_rows, table.weights_from_row
        )
        self._keeper.apply_rows(
            lambda rows: table.table_from_rows(
                rows, version=version, weights=self._published_versions.by_model
            ),
            changed_rows,
        )
        self._stream_history.check()
        if version_before and self._keeper.table.version > version_before:
            # With only the probes in turn, some daemons would learn of the new
            # version a second later.
            task = asyncio.create_task(self._gossiper.probe_all())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _model_for(self, target: str) -> str:
        routes = self.runtime.core.world.table.forwarding
        if routes is None or target not in routes.engines:
            return target
        return routes.engines[target].model


async def serve(
    loaded: configs.LoadedSettings,
    *,
    write_line: Callable[[str], None],
    delay: loop_delay.ReadDelay,
) -> None:
    """Runs a daemon until it is stopped."""
    async with bounded_client.open_session(
        bounded_client.BoundedConnector(keepalive_timeout=30)
    ) as session:
        await PlatformDaemon(loaded, session, write_line, delay).run()


def _log_reload() -> None:
    logging.info("event=reload detail=no_reloadable_settings")


__all__ = ["PlatformDaemon", "serve"]
