"""Builds, runs and stops a daemon with the project's own interface."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging
from aiohttp import web

from godwittack.backend import bounded_client
from godwittack.backend import http as backend_http
from godwittack.claim import store as claim_store
from godwittack.daemon import (
    base,
    change,
    connection_room,
    lead,
    listeners,
    listing,
    observer,
    peer_updates,
    runtime,
    server_watcher,
    shutdown,
    tables,
)
from godwittack.entry import (
    bodies,
    calls,
    connection_config,
    operator_api,
    request_limits,
    status,
    token,
)
from godwittack.lead import lease as leases
from godwittack.member import serving_lease
from godwittack.report import counters
from godwittack.session import record
from godwittack.store import http as platform_http
from godwittack.table import forwarding
from godwittack.table import store as table_store

if TYPE_CHECKING:
    from godwittack.config import settings as configs

POOL_CONNECTIONS = 4_000
# Interval between two searches for connections of slow callers.
CLEANUP_INTERVAL_MS = 500


class Daemon:
    """One daemon process: the core, its servers, clients and tasks."""

    def __init__(
        self, loaded: configs.LoadedSettings, sessions: HttpSessions
    ) -> None:
        """Wires the components without starting them."""
        self._settings = settings = loaded.settings
        self._sessions = sessions
        self._components = components = base.Components.from_config(loaded)
        core, clock, counts = (
            components.core,
            components.clock,
            components.counts,
        )
        self._meters = components.meters
        self._peers, self._probes = components.peers, components.probes
        rng, members = components.rng, components.members
        platform = platform_http.HttpPlatform(
            session=sessions.platform,
            base_url=settings.platform_url,
            timeout_ms=settings.platform_timeout_ms,
            backoff_ms=settings.platform_pause_ms,
            clock=clock,
        )
        backend = backend_http.HttpBackend(
            pooled=sessions.pooled,
            fresh=sessions.fresh,
            clock=clock,
            connect_timeout_ms=settings.connect_timeout_ms,
            control_timeout_ms=settings.control_timeout_ms,
        )
        event_observer = observer.EventObserver(
            counts=counts, event_meters=self._meters
        )
        self.runtime = runtime.Runtime(
            core=core,
            backend_client=backend,
            claims=claim_store.ClaimStore(platform),
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
        backend.signal_reporter.submit = self.runtime.submit
        if settings.record_file:
            sink = open(  # noqa: SIM115 - open as long as the process.
                settings.record_file, "a", buffering=1, encoding="utf-8"
            )
            self.runtime.recorder = record.Recorder(core, sink)
        store = table_store.TableStore(platform, platform)
        self._keeper = tables.PolledTableKeeper(
            tables=store,
            runtime=self.runtime,
            peers=self._peers,
            serving_lease=serving_lease.QuorumServingLease(
                settings.member_policy()
            ),
            rng=rng,
        )
        self._peer_updates = peer_updates.PeerUpdates(
            members=members, runtime=self.runtime, client=self._peers
        )
        self.runtime.on_crashes = self._peer_updates.publish_crashes
        self.runtime.on_usage = self._peer_updates.publish_usage
        self.runtime.on_paths = self._peer_updates.publish_paths
        self.gossiper = components.build_gossiper(
            daemon_runtime=self.runtime,
            keeper=self._keeper,
            updates=self._peer_updates,
        )
        self._streams = server_watcher.Streams()
        self._list_watcher = listing.ListWatcher(
            instances=platform,
            core=self.runtime,
            members=members,
            updates=self._peer_updates,
            streams=self._streams,
            on_daemons_listed=self.gossiper.record_listed_daemons,
        )
        self.gossiper.list_hash = self._list_watcher.list_hash
        self.gossiper.on_list_hash = self._list_watcher.record_list_hash
        self._server_watcher = server_watcher.ServerWatcher(
            core=self.runtime,
            client=backend,
            members=members,
            updates=self._peer_updates,
            streams=self._streams,
            load_poll_ms=settings.load_poll_ms,
        )
        self._leader = lead.Leader(
            core=self.runtime,
            client=backend,
            lease_store=platform,
            members=members,
            updates=self._peer_updates,
            policy=leases.LeasePolicy(lease_ms=settings.lease_ms),
            metrics=self._meters,
        )
        self._peer_server = components.build_peer_server(
            self.gossiper, self._relay_server
        )
        self._runner = web.AppRunner(
            self._build_app(loaded, store, platform, counts)
        )
        limits = request_limits.RequestLimits(
            head_bytes=2 * settings.max_request_line_bytes,
            body_bytes=settings.max_body_bytes,
        )
        self._listeners = listeners.Listeners(
            connection_config.ConnectionConfig(
                clock=components.clock,
                memory=components.room.account,
                limits=lambda: limits,
                discard_ms=settings.body_timeout_ms,
            )
        )
        self._meters.add_gauge(
            "godwittack_malformed_requests", self._listeners.count_malformed
        )
        self._background_tasks = base.BackgroundTasks()

    async def run(self) -> None:
        """Serves until a stop signal arrives and the daemon has stopped.

        Raises:
            OSError: An address is in use.
        """
        stop = base.install_stop_handler()
        await self._peer_server.start(self._settings.peer_address)
        await self._probes.start(
            self._settings.peer_address, handler=self.gossiper
        )
        self._streams.connect(core=self.runtime, updates=self._peer_updates)
        await self._prepare()
        self._start_background_tasks()
        await self._listen()
        self.gossiper.announce()
        connection_room.prepare_process()
        logging.info(
            "event=serving daemon=%s http=%s peer=%s",
            self.gossiper.members.me.member_id,
            self._settings.http_address,
            self._settings.peer_address,
        )
        await stop.wait()
        await self._stop()

    async def _prepare(self) -> None:
        """Fetches members, table and servers before the first request."""
        await self.gossiper.join()
        addresses = [
            row.member.peer_address
            for row in self.gossiper.members.rows.values()
        ]
        await self._keeper.load_initial(addresses)
        await self._list_watcher.poll_once()
        await self._server_watcher.poll_unknown()
        self._server_watcher.assign()

    def _start_background_tasks(self) -> None:
        settings = self._settings
        self._background_tasks.start(
            self.runtime.tick_forever(tick_ms=settings.tick_ms)
        )
        self._background_tasks.start(
            self.gossiper.gossip_forever(gossip_ms=settings.gossip_ms)
        )
        self._background_tasks.start(
            self._peer_updates.flush_forever(min_interval_ms=settings.news_ms)
        )
        self._background_tasks.start(
            self._keeper.poll_forever(poll_ms=settings.table_poll_ms)
        )
        self._background_tasks.start(
            self._list_watcher.poll_forever(poll_ms=settings.list_poll_ms)
        )
        self._background_tasks.start(self._server_watcher.assign_forever())
        self._background_tasks.start(
            self._leader.lead_forever(step_ms=settings.lead_step_ms)
        )
        self._background_tasks.start(
            self._components.meters.peer_traffic.log_forever()
        )

    async def _listen(self) -> None:
        await self._runner.setup()
        await self._listeners.listen_app(
            self._settings.http_address, self._runner
        )
        self._background_tasks.start(self._close_slow_forever())

    async def _close_slow_forever(self) -> None:
        """Closes connections that callers neither write to nor read from.

        A planned stop waits until all connections have ended.
        """
        limits = forwarding.CallerLimits(
            header_timeout_ms=self._settings.body_timeout_ms
        )
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_MS / 1000)
            self._components.room.update()
            self._listeners.close_slow_connections(limits)
            self._listeners.close_unread(
                timeout_ms=self._settings.slow_caller_ms
            )

    async def _stop(self) -> None:
        """Announces the stop, waits for callers to leave, drains, then closes.

        Callers keep an address for `address_keep_ms` after they received it.
        The daemon still serves for that long after the other daemons have
        stopped recommending it, so that no caller is refused a connection.
        """
        settings = self._settings
        stop = shutdown.Shutdown(
            daemon_runtime=self.runtime,
            caller_listeners=self._listeners,
            relay=self._relay_server,
        )
        await self.gossiper.stop()
        expires_ms = (
            self.runtime.clock.now_ms()
            + settings.address_keep_ms
            + settings.gossip_ms
        )
        stop.set_expiry(expires_ms)
        await stop.drain(
            deadline_ms=expires_ms + settings.stop_patience_ms,
            bodies_ms=settings.body_timeout_ms,
        )
        await self._close()
        stop.log_end()

    async def _close(self) -> None:
        await self._background_tasks.cancel()
        self._server_watcher.close()
        self._peer_updates.close()
        await self.runtime.close()
        await self._components.close(self._peer_server)
        await self._runner.cleanup()

    def _build_app(
        self,
        loaded: configs.LoadedSettings,
        store: table_store.TableStore,
        platform: platform_http.HttpPlatform,
        counts: counters.EventCounters,
    ) -> web.Application:
        settings = loaded.settings
        call_handlers = calls.CallHandlers(
            runtime=self.runtime,
            settings=settings,
            signer=token.TokenSigner(loaded.cluster_secret),
            body_reader=bodies.BodyReader(self._components.body_memory),
        )
        status_handlers = status.StatusHandlers(
            runtime=self.runtime,
            settings=settings,
            members=self.gossiper.members,
            meters=self._meters,
        )
        operator_handlers = operator_api.OperatorHandlers(
            runtime=self.runtime,
            settings=settings,
            gossiper=self.gossiper,
            client=self._peers,
            committer=change.Committer(
                tables=store,
                keeper=self._keeper,
                gossiper=self.gossiper,
                policy=settings.member_policy(),
                gossip_ms=settings.gossip_ms,
            ),
            tables=store,
            weights=platform,
            counts=counts,
        )
        app = web.Application(client_max_size=settings.max_body_bytes)
        app.router.add_routes(
            [
                web.post("/v1/chat/completions", call_handlers.generate),
                web.post("/v1/completions", call_handlers.generate),
                web.get("/v1/resume", call_handlers.resume),
                web.get("/v1/where", status_handlers.where),
                web.get("/v1/models", status_handlers.models),
                web.route("*", "/svc/{service}", call_handlers.call_service),
                web.route(
                    "*", "/svc/{service}/{path:.*}", call_handlers.call_service
                ),
                web.get("/healthz", status_handlers.health),
                web.get("/readyz", status_handlers.ready),
                web.get("/metrics", status_handlers.metrics),
                *operator_handlers.routes(),
            ]
        )
        return app


class HttpSessions:
    """HTTP client sessions, by how they reuse connections."""

    def __init__(self) -> None:
        """Opens the sessions; needs a running loop."""
        self.pooled = bounded_client.open_session(
            bounded_client.BoundedConnector(
                limit=POOL_CONNECTIONS, keepalive_timeout=15
            ),
            auto_decompress=False,
        )
        self.fresh = bounded_client.open_session(
            bounded_client.BoundedConnector(
                limit=POOL_CONNECTIONS, force_close=True
            ),
            auto_decompress=False,
        )
        self.platform = bounded_client.open_session(
            bounded_client.BoundedConnector()
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self.pooled.close()
        await self.fresh.close()
        await self.platform.close()


async def serve(loaded: configs.LoadedSettings) -> None:
    """Runs a daemon until it is stopped."""
    sessions = HttpSessions()
    try:
        await Daemon(loaded, sessions).run()
    finally:
        await sessions.close()


__all__ = ["Daemon", "serve"]
