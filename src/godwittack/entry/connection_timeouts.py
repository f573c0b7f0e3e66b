"""Closes callers' connections by timeouts, and as a daemon stops.

A connection that never completes a request, or stays open without one, holds
a file descriptor and memory; a few thousand of them exhaust a daemon. One that
is closed while a request is on its way, or its answer is being read, cuts it.
"""

from __future__ import annotations

import collections
import enum
import itertools
import select
import socket
from typing import TYPE_CHECKING

from aiohttp import web

from godwittack.clock import loop_delay

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable, Iterable

    from godwittack.clock import Clock
    from godwittack.table import forwarding

    Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
    RequestFactory = Callable[..., web.BaseRequest]


# Buffer of the operating system for each connection: otherwise it accepts up to
# 6 MB of a body that waits to be read.
RECEIVE_BUFFER_BYTES = 128 << 10
# Iterations of the event loop between accepting a connection and reading data
# that the caller sent immediately.
ACCEPT_TO_READ_ITERATIONS = 2
# Idle connections closed at once. Sockets are closed an iteration of the event
# loop after the look for unread bytes, which must be a short one.
MAX_CLOSED = 100


class ConnectionState(enum.StrEnum):
    """What a caller's connection is doing.

    IDLE: it has no request. READING: the head of a request is incomplete.
    ANSWERING: a request is served, its response is being written, or the rest
    of its body is discarded.
    """

    IDLE = "idle"
    READING = "reading"
    ANSWERING = "answering"


def waited_ms(request: web.BaseRequest) -> int:
    """Returns how long a request may have waited since it was sent."""
    connection = request.protocol
    assert isinstance(connection, _Connection)
    return connection.waited_ms()


def must_close(request: web.BaseRequest) -> bool:
    """Returns whether a response is the last one on its connection.

    Requests that the caller sent without waiting for this response, and that
    were read with it, are answered first.
    """
    connection = request.protocol
    assert isinstance(connection, _Connection)
    return connection.must_close


def must_refuse(request: web.BaseRequest) -> bool:
    """Returns whether a request came too late to be served."""
    connection = request.protocol
    assert isinstance(connection, _Connection)
    return connection.must_refuse


class TimeoutServer(web.Server):
    """An HTTP server that closes connections by the table's timeouts.

    Attributes:
        stopping: Whether connections are closed after their next response.
        refuse_from_ms: From when on requests should be refused; None for
            never.
        last_request_ms: When the head of the last request was read.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        clock: Clock,
        max_line_bytes: int,
        delay: loop_delay.ReadDelay | None = None,
        request_factory: RequestFactory | None = None,
        decompresses: bool = False,
    ) -> None:
        """Serves requests.

        Args:
            handler: Serves one request.
            clock: Source of time.
            max_line_bytes: Maximum length of a line in a request's head.
            delay: How late the event loop may read; None for no delay.
            request_factory: Creates the requests of a web application; None
                for requests without one.
            decompresses: Whether bodies are decompressed.
        """
        super().__init__(
            self._handle,
            request_factory=request_factory,
            handler_cancellation=True,
        )
        self._serve = handler
        self._clock = clock
        self._max_line_bytes = max_line_bytes
        self._delay = delay or loop_delay.NoDelay()
        self._decompresses = decompresses
        self.stopping = False
        self.refuse_from_ms: int | None = None
        self.last_request_ms = 0

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        return _Connection(
            self,
            clock=self._clock,
            loop=self._loop,
            max_line_bytes=self._max_line_bytes,
            delay=self._delay,
            decompresses=self._decompresses,
        )

    def close_overdue(self, limits: forwarding.CallerLimits) -> int:
        """Closes connections past a timeout; returns how many."""
        now_ms = self._clock.now_ms()
        overdue = [
            connection
            for connection in self.connections
            if isinstance(connection, _Connection)
            and connection.is_overdue(limits, now_ms=now_ms)
        ]
        return _close_unless_readable(overdue)

    def close_unread(self, *, timeout_ms: int) -> int:
        """Aborts connections whose callers stopped reading; returns how many.

        Args:
            timeout_ms: How long a caller may read nothing of what is sent.
        """
        now_ms = self._clock.now_ms()
        unread = [
            connection
            for connection in self.connections
            if isinstance(connection, _Connection)
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
            if isinstance(connection, _Connection)
            and connection.idle_for_ms(now_ms) >= min_idle_ms
        )
        return _close_unless_readable(itertools.islice(idle, MAX_CLOSED))

    def count_states(self) -> collections.Counter[ConnectionState]:
        """Returns the number of open connections in each state."""
        return collections.Counter(
            connection.state
            for connection in self.connections
            if isinstance(connection, _Connection)
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
        assert isinstance(connection, _Connection)
        connection.request_started()
        self.last_request_ms = self._clock.now_ms()
        return await self._serve(request)


class _Connection(web.RequestHandler):
    """One connection, with the times that its timeouts count from."""

    # The base class uses slots, so this class lists its own.
    __slots__ = (
        "_accepted_in_iteration",
        "_clock",
        "_delay",
        "_earliest_sent_ms",
        "_first_byte_ms",
        "_idle_since_ms",
        "_is_answering",
        "_server",
        "_unsent_bytes",
        "_unsent_since_ms",
    )

    def __init__(
        self,
        manager: TimeoutServer,
        *,
        clock: Clock,
        loop: asyncio.AbstractEventLoop,
        max_line_bytes: int,
        delay: loop_delay.ReadDelay,
        decompresses: bool,
    ) -> None:
        super().__init__(
            manager,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            max_line_size=max_line_bytes,
            max_field_size=max_line_bytes,
            auto_decompress=decompresses,
        )
        self._server = manager
        self._clock = clock
        self._delay = delay
        self._accepted_in_iteration = delay.iterations
        self._earliest_sent_ms = clock.now_ms() - delay.accept_delay_ms()
        self._first_byte_ms = -1
        self._idle_since_ms = clock.now_ms()
        self._is_answering = False
        self._unsent_bytes = 0
        self._unsent_since_ms = 0

    @property
    def state(self) -> ConnectionState:
        """What the connection is doing."""
        if self._is_answering or self._messages:
            return ConnectionState.ANSWERING
        if self._first_byte_ms >= 0:
            return ConnectionState.READING
        if not self._awaits_request:
            return ConnectionState.ANSWERING
        return ConnectionState.IDLE

    @property
    def _awaits_request(self) -> bool:
        """Whether the next bytes belong to a request, not to a body."""
        return self._waiter is not None

    @property
    def must_close(self) -> bool:
        """Whether the response to its current request is its last one."""
        return self._server.stopping and not self._messages

    @property
    def must_refuse(self) -> bool:
        """Whether its current request should be refused."""
        refuse_from_ms = self._server.refuse_from_ms
        return refuse_from_ms is not None and (
            refuse_from_ms <= self._clock.now_ms()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limits what the system receives before anything is read."""
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Records when the first bytes of a request arrived."""
        if self._first_byte_ms < 0 and self._awaits_request:
            self._first_byte_ms = self._clock.now_ms()
            if (
                self._delay.iterations
                > self._accepted_in_iteration + ACCEPT_TO_READ_ITERATIONS
            ):
                waited_ms = self._delay.read_delay_ms()
                self._earliest_sent_ms = self._first_byte_ms - waited_ms
        super().data_received(data)

    def waited_ms(self) -> int:
        """Returns how long the request may have waited until now."""
        if self._first_byte_ms < 0:
            # It arrived in the same read as the previous request.
            return 0
        return max(0, self._clock.now_ms() - self._earliest_sent_ms)

    def request_started(self) -> None:
        """Records that a request's headers were read."""
        self._is_answering = True

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Writes what the handler has not written yet."""
        if self.must_close and not resp.prepared:
            resp.force_close()
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            # The next request may have been read already.
            self._is_answering = bool(self._messages)
            self._first_byte_ms = -1
            self._idle_since_ms = self._clock.now_ms()

    def unread_for_ms(self, now_ms: int) -> int:
        """Returns how long the caller has read nothing, by repeated calls."""
        unsent_bytes = 0
        if self.transport is not None:
            unsent_bytes = self.transport.get_write_buffer_size()
        if not unsent_bytes or unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._unsent_since_ms = now_ms
        return now_ms - self._unsent_since_ms

    def idle_for_ms(self, now_ms: int) -> int:
        """Returns how long it has had no request; -1 if it has one."""
        if self.state is not ConnectionState.IDLE:
            return -1
        return now_ms - self._idle_since_ms

    def is_overdue(
        self, limits: forwarding.CallerLimits, *, now_ms: int
    ) -> bool:
        """Returns whether the connection has exceeded its current timeout."""
        match self.state:
            case ConnectionState.ANSWERING:
                return False
            case ConnectionState.READING:
                limit_ms = limits.header_timeout_ms
                return 0 < limit_ms <= now_ms - self._first_byte_ms
            case ConnectionState.IDLE:
                limit_ms = limits.idle_timeout_ms
                return 0 < limit_ms <= now_ms - self._idle_since_ms


def _close_unless_readable(connections: Iterable[_Connection]) -> int:
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


def _descriptor(connection: _Connection) -> int:
    """Returns the file descriptor of an open connection; -1 if it is closed."""
    transport = connection.transport
    if transport is None or transport.is_closing():
        return -1
    sock = transport.get_extra_info("socket")
    return -1 if sock is None else sock.fileno()


__all__ = [
    "ConnectionState",
    "TimeoutServer",
    "must_close",
    "must_refuse",
    "waited_ms",
]
