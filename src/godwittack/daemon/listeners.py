"""HTTP servers for callers, address lookups, readiness and metrics."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

from aiohttp import web

from godwittack import address as addresses
from godwittack.entry import connection_timeouts

if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable, Callable

    from godwittack.clock import Clock, loop_delay
    from godwittack.table import forwarding

HTTP_BACKLOG = 1_024
# Limit of the HTTP library for one header line of a request. The table's limit
# on all headers is checked afterwards, and its refusal names the limit.
MAX_HEADER_LINE_BYTES = 1 << 16
# The same limit for web applications, which have none of their own.
MAX_APP_HEADER_LINE_BYTES = 8_190


class Listeners:
    """All HTTP servers of one daemon."""

    def __init__(
        self, clock: Clock, delay: loop_delay.ReadDelay | None = None
    ) -> None:
        """Has no servers yet; `delay` measures how late the loop reads."""
        self._clock = clock
        self._delay = delay
        self._servers: list[connection_timeouts.TimeoutServer] = []
        self._listening: list[asyncio.Server] = []

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
        server = connection_timeouts.TimeoutServer(
            handler,
            clock=self._clock,
            max_line_bytes=MAX_HEADER_LINE_BYTES,
            delay=self._delay,
        )
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
            clock=self._clock,
            max_line_bytes=MAX_APP_HEADER_LINE_BYTES,
            delay=self._delay,
            request_factory=routes.request_factory,
            decompresses=True,
        )
        await self._listen(address, server)

    async def _listen(
        self, address: str, server: connection_timeouts.TimeoutServer
    ) -> None:
        host, port = addresses.split(address)
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(
            server, host, port, backlog=HTTP_BACKLOG
        )
        self._servers.append(server)
        self._listening.append(listening)

    def close_slow_connections(self, limits: forwarding.CallerLimits) -> None:
        """Closes connections whose callers exceed the time limits."""
        for server in self._servers:
            server.close_overdue(limits)

    def close_unread(self, *, timeout_ms: int) -> None:
        """Aborts connections whose callers have read nothing for that long."""
        for server in self._servers:
            server.close_unread(timeout_ms=timeout_ms)

    def count_states(
        self,
    ) -> collections.Counter[connection_timeouts.ConnectionState]:
        """Returns the number of open connections in each state."""
        counts: collections.Counter[connection_timeouts.ConnectionState]
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

    async def stop(self) -> None:
        """Accepts no more connections, and refuses further requests.

        Connections that callers have opened are accepted first: the system
        resets them when the listening socket is closed.
        """
        loop = asyncio.get_running_loop()
        for listening in self._listening:
            for sock in listening.sockets:
                loop.remove_reader(sock.fileno())
        # Connections that the event loop has just accepted get their
        # transports in its next iteration; a closed server gives them none.
        await asyncio.sleep(0)
        accepted = [
            (server, connection)
            for server, listening in zip(
                self._servers, self._listening, strict=True
            )
            for sock in listening.sockets
            for connection in _accept_waiting(sock.dup())
        ]
        for listening in self._listening:
            listening.close()
        for server in self._servers:
            server.refusing = True
        for server, connection in accepted:
            await loop.connect_accepted_socket(server, connection)
        # Their protocols learn of them in the next iteration.
        await asyncio.sleep(0)

    def close_idle(self, *, min_idle_ms: int) -> None:
        """Closes connections that have had no request for some time."""
        for server in self._servers:
            server.close_idle(min_idle_ms=min_idle_ms)

    def has_connections(self) -> bool:
        """Returns whether a connection is open or has bytes to send."""
        return any(server.connections for server in self._servers)


def _accept_waiting(sock: socket.socket) -> list[socket.socket]:
    """Accepts the connections that wait, and closes this listening socket."""
    accepted: list[socket.socket] = []
    with sock:
        while len(accepted) < HTTP_BACKLOG:
            try:
                connection, _ = sock.accept()
            except ConnectionAbortedError:
                continue
            except OSError:
                # None is left, or there are no descriptors for them.
                break
            connection.setblocking(False)
            accepted.append(connection)
    return accepted


__all__ = ["Listeners"]
