"""HTTP servers for callers, address lookups, readiness and metrics."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from aiohttp import web

from godwittack import accepting
from godwittack import address as addresses
from godwittack.entry import connection as inbound
from godwittack.entry import connection_config, connection_timeouts

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from godwittack.table import forwarding

HTTP_BACKLOG = 1_024


class Listeners:
    """All HTTP servers of one daemon."""

    def __init__(self, config: connection_config.ConnectionConfig) -> None:
        """Has no servers yet; `config` is shared by all connections."""
        self._config = config
        self._servers: list[connection_timeouts.TimeoutServer] = []
        self._listeners: list[accepting.Listener] = []

    async def listen(
        self,
        address: str,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> None:
        """Starts a server at an address that passes requests to a handler.

        Raises:
            OSError: The address is in use.
        """
        # Bodies are forwarded as received, compressed or not.
        server = connection_timeouts.TimeoutServer(handler, config=self._config)
        await self._listen(address, server)

    async def listen_app(self, address: str, runner: web.AppRunner) -> None:
        """Starts a server at an address for a web application.

        Args:
            address: Host and port.
            runner: Has set up the application, whose routes are used.

        Raises:
            OSError: The address is in use.
        """
        routes = runner.server
        assert routes is not None
        server = connection_timeouts.TimeoutServer(
            routes.request_handler,
            config=dataclasses.replace(self._config, decompresses=True),
            request_factory=routes.request_factory,
        )
        await self._listen(address, server)

    async def _listen(
        self, address: str, server: connection_timeouts.TimeoutServer
    ) -> None:
        host, port = addresses.split(address)
        listener = await accepting.Listener.open(
            server,
            host,
            port,
            backlog=HTTP_BACKLOG,
            receive_buffer_bytes=self._config.receive_buffer_bytes,
        )
        self._servers.append(server)
        self._listeners.append(listener)

    def close_slow_connections(self, limits: forwarding.CallerLimits) -> None:
        """Closes connections whose callers exceed the time limits."""
        for server in self._servers:
            server.close_overdue(limits)

    def close_unread(self, *, timeout_ms: int) -> None:
        """Aborts connections whose callers have read nothing for that long."""
        for server in self._servers:
            server.close_unread(timeout_ms=timeout_ms)

    def count_malformed(self) -> int:
        """Returns how many requests could not be read so far."""
        return sum(server.malformed for server in self._servers)

    def count_states(self) -> collections.Counter[inbound.ConnectionState]:
        """Returns the number of open connections in each state."""
        counts: collections.Counter[inbound.ConnectionState]
        counts = collections.Counter()
        for server in self._servers:
            counts += server.count_states()
        return counts

    def unsent_bytes(self) -> int:
        """Returns how many bytes of responses callers have yet to read."""
        return sum(server.unsent_bytes() for server in self._servers)

    @property
    def last_request_ms(self) -> int:
        """When the head of the last request was read."""
        return max(server.last_request_ms for server in self._servers)

    def begin_stop(self) -> None:
        """Closes each connection after its next response from now on."""
        for server in self._servers:
            server.stopping = True

    def refuse_from(self, at_ms: int) -> None:
        """Refuses requests that are read after a time.

        By the clock, so that a late event loop begins none after it.
        """
        for server in self._servers:
            server.refuse_from_ms = at_ms

    async def stop(self) -> None:
        """Accepts no more connections."""
        for listener in self._listeners:
            await listener.close()

    def close_idle(self, *, min_idle_ms: int) -> None:
        """Closes connections that have had no request for some time."""
        for server in self._servers:
            server.close_idle(min_idle_ms=min_idle_ms)

    def has_connections(self) -> bool:
        """Returns whether a connection is open or has bytes to send."""
        return any(server.connections for server in self._servers)


__all__ = ["Listeners"]
