"""Closes callers' connections by timeouts, and as a daemon stops.

A connection that never completes a request, or stays open without one, holds
a file descriptor and memory; a few thousand of them exhaust a daemon. One that
is closed while a request is on its way, or its answer is being read, cuts it.
"""

from __future__ import annotations

import asyncio
import collections
import itertools
import select
from typing import TYPE_CHECKING

from aiohttp import web

from godwittack.entry import connection as inbound
from godwittack.entry import connection_config

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from godwittack.limit import connection_memory
    from godwittack.table import forwarding

    Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
    RequestFactory = Callable[..., web.BaseRequest]


# Idle connections closed at once. Sockets are closed an iteration of the event
# loop after the look for unread bytes, which must be a short one.
MAX_CLOSED = 100


def holder_of(request: web.BaseRequest) -> connection_memory.Holder | None:
    """Returns the entry of a request's connection in the account."""
    connection = request.protocol
    assert isinstance(connection, inbound.Connection)
    return connection.holder


def widen_buffer(request: web.BaseRequest) -> None:
    """Lets the system receive more of a long body at a time."""
    connection = request.protocol
    assert isinstance(connection, inbound.Connection)
    connection.widen_buffer()


def waited_ms(request: web.BaseRequest) -> int:
    """Returns how long a request may have waited since it was sent."""
    connection = request.protocol
    assert isinstance(connection, inbound.Connection)
    return connection.waited_ms()


def must_close(request: web.BaseRequest) -> bool:
    """Returns whether a response is the last one on its connection.

    Requests that the caller sent without waiting for this response, and that
    were read with it, are answered first.
    """
    connection = request.protocol
    assert isinstance(connection, inbound.Connection)
    return connection.must_close


def must_refuse(request: web.BaseRequest) -> bool:
    """Returns whether a request came too late to be served."""
    connection = request.protocol
    assert isinstance(connection, inbound.Connection)
    return connection.must_refuse


class TimeoutServer(web.Server):
    """An HTTP server that closes connections by the table's timeouts.

    Attributes:
        stopping: Whether connections are closed after their next response.
        refuse_from_ms: From when on requests should be refused; None for
            never.
        last_request_ms: When the head of the last request was read.
        malformed: Requests that could not be read.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        config: connection_config.ConnectionConfig,
        request_factory: RequestFactory | None = None,
    ) -> None:
        """Serves requests.

        Args:
            handler: Serves one request.
            config: What its connections share.
            request_factory: Creates the requests of a web application; None
                for requests without one.
        """
        super().__init__(
            self._handle,
            request_factory=request_factory,
            handler_cancellation=True,
        )
        self._serve = handler
        self._config = config
        self._clock = config.clock
        self.malformed = 0
        self.stopping = False
        self.refuse_from_ms: int | None = None
        self.last_request_ms = 0

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        return inbound.Connection(self, config=self._config, loop=self._loop)

    def close_overdue(self, limits: forwarding.CallerLimits) -> int:
        """Closes connections past a timeout; returns how many."""
        now_ms = self._clock.now_ms()
        overdue = [
            connection
            for connection in self.connections
            if isinstance(connection, inbound.Connection)
            and connection.is_overdue(
                limits.header_timeout_ms,
                limits.idle_timeout_ms,
                now_ms=now_ms,
            )
        ]
        late = [found for found in overdue if found.is_late_again()]
        for connection in late:
            connection.force_close()
        return len(late) + _close_unless_readable(
            found for found in overdue if found.transport is not None
        )

    def close_unread(self, *, timeout_ms: int) -> int:
        """Aborts connections whose callers stopped reading; returns how many.

        Args:
            timeout_ms: How long a caller may read nothing of what is sent.
        """
        now_ms = self._clock.now_ms()
        unread = [
            connection
            for connection in self.connections
            if isinstance(connection, inbound.Connection)
            and connection.unread_for_ms(now_ms) >= timeout_ms
        ]
        for connection in unread:
            if connection.transport is not None:
                connection.transport.abort()
        return len(unread)

    def close_idle(self, *, min_idle_ms: int) -> int:
        """Closes some connections without a request; returns how many.

        Args:
            min_idle_ms: How long they must have had none: a caller that has
                just connected is about to send one.
        """
        now_ms = self._clock.now_ms()
        idle = (
            connection
            for connection in self.connections
            if isinstance(connection, inbound.Connection)
            and connection.idle_for_ms(now_ms) >= min_idle_ms
        )
        return _close_unless_readable(itertools.islice(idle, MAX_CLOSED))

    def count_states(self) -> collections.Counter[inbound.ConnectionState]:
        """Returns the number of open connections in each state."""
        return collections.Counter(
            connection.state
            for connection in self.connections
            if isinstance(connection, inbound.Connection)
        )

    def unsent_bytes(self) -> int:
        """Returns how many bytes wait for callers to read."""
        return sum(
            connection.transport.get_write_buffer_size()
            for connection in self.connections
            if connection.transport is not None
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, inbound.Connection)
        connection.request_started()
        self.last_request_ms = self._clock.now_ms()
        try:
            return await self._serve(request)
        except (
            asyncio.CancelledError,
            ConnectionError,
            TimeoutError,
        ) as error:
            # The library's task and the exception refer to each other. Without
            # its traceback, the request and its answer are freed now.
            raise error.with_traceback(None) from None


def _close_unless_readable(connections: Iterable[inbound.Connection]) -> int:
    """Closes connections, but for those with bytes that were not read yet.

    Those may be a request. The system would reset its connection, and its
    caller could not tell whether it has run.
    """
    by_descriptor = {
        descriptor: connection
        for connection in connections
        if (descriptor := _descriptor(connection)) >= 0
    }
    poller = select.poll()
    for descriptor in by_descriptor:
        poller.register(descriptor, select.POLLIN)
    for descriptor, _ in poller.poll(0):
        by_descriptor.pop(descriptor)
    for connection in by_descriptor.values():
        connection.close()
        if connection.transport is not None:
            connection.transport.close()
    return len(by_descriptor)


def _descriptor(connection: inbound.Connection) -> int:
    """Returns the file descriptor of an open connection; -1 if it is closed."""
    transport = connection.transport
    if transport is None or transport.is_closing():
        return -1
    sock = transport.get_extra_info("socket")
    return -1 if sock is None else sock.fileno()


__all__ = [
    "TimeoutServer",
    "holder_of",
    "must_close",
    "must_refuse",
    "waited_ms",
    "widen_buffer",
]
