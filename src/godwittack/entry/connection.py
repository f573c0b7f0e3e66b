"""One inbound connection: its state, its limits and the memory it holds."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
from typing import TYPE_CHECKING, cast

from aiohttp import web, web_protocol

from godwittack.entry import (
    connection_config,
    request_body,
    request_limits,
    request_parser,
)
from godwittack.limit import connection_memory

if TYPE_CHECKING:
    from godwittack.entry import connection_timeouts

# Buffer of the operating system for a long body once there is memory for it.
LONG_BODY_BUFFER_BYTES = 128 << 10
# Memory that a connection holds while it is open: the usual buffer, and the
# objects of the event loop and the HTTP library.
CONNECTION_BYTES = connection_config.RECEIVE_BUFFER_BYTES + (16 << 10)
# Bytes read at a time.
MAX_READ_BYTES = 32 << 10
# Iterations of the event loop between accepting a connection and reading data
# that the caller sent immediately.
ACCEPT_TO_READ_ITERATIONS = 2
# A client that has read without a pause for this long is no slow one.
READ_PAUSE_MS = 1_000
# After an error the rest of what a client sends is read for this long, so that
# it gets the response and not a reset.
LINGER_MS = 500
LINGER_POLL_S = 0.02
MAX_IGNORED_BYTES = 64 << 10
NO_MEMORY_RETRY_S = "1"


class ConnectionState(enum.StrEnum):
    """What a caller's connection is doing.

    IDLE: it has no request. READING: the head of a request is incomplete.
    ANSWERING: a request is served, its response is being written, or the rest
    of its body is discarded.
    """

    IDLE = "idle"
    READING = "reading"
    ANSWERING = "answering"


class Connection(web.RequestHandler):
    """One connection, with the times that its timeouts count from."""

    # The base class uses slots, so this class lists its own.
    __slots__ = (
        "_accepted_in_iteration",
        "_config",
        "_earliest_sent_ms",
        "_first_byte_ms",
        "_head_costs",
        "_holder",
        "_idle_since_ms",
        "_is_answering",
        "_is_discarding",
        "_is_late_head",
        "_pending_bytes",
        "_request_bytes",
        "_request_parser",
        "_server",
        "_started_ms",
        "_unsent_bytes",
        "_unsent_since_ms",
        "_write_paused_since_ms",
        "_write_resumed_ms",
    )

    def __init__(
        self,
        manager: connection_timeouts.TimeoutServer,
        *,
        config: connection_config.ConnectionConfig,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Creates an unconnected instance; the event loop connects it."""
        super().__init__(
            manager,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            lingering_time=0,
        )
        self._request_parser = request_parser.RequestParser(
            self,
            loop,
            limits=config.limits,
            take=self._take,
            decompresses=config.decompresses,
            upgrades=config.upgrades,
        )
        self._parser = self._request_parser  # type: ignore[assignment]
        self._max_msg_queue_size = request_parser.MAX_QUEUED
        self._msg_queue_resume_size = request_parser.MAX_QUEUED - 1
        self._server = manager
        self._config = config
        now_ms = config.clock.now_ms()
        self._accepted_in_iteration = config.delay.iterations
        self._earliest_sent_ms = now_ms - config.delay.accept_delay_ms()
        self._first_byte_ms = -1
        self._idle_since_ms = now_ms
        self._started_ms = now_ms
        self._is_answering = False
        self._is_discarding = False
        self._is_late_head = False
        self._unsent_bytes = 0
        self._unsent_since_ms = 0
        self._write_paused_since_ms = -1
        self._write_resumed_ms = 0
        self._holder: connection_memory.Holder | None = None
        # Memory for the head that is arriving, for the heads of requests that
        # wait, and for the request that is being answered.
        self._pending_bytes = 0
        self._head_costs: list[int] = []
        self._request_bytes = 0

    @property
    def holder(self) -> connection_memory.Holder | None:
        """Its entry in the account; None if it has none."""
        return self._holder

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
        if self._messages:
            return False
        parser = self._request_parser
        if parser.is_failed:
            return True
        return self._server.stopping and not parser.has_unparsed

    @property
    def must_refuse(self) -> bool:
        """Whether its current request should be refused."""
        refuse_from_ms = self._server.refuse_from_ms
        return refuse_from_ms is not None and (
            refuse_from_ms <= self._config.clock.now_ms()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limits what is received before it is read, and takes memory."""
        # Read by the event loop before each read.
        transport.max_size = MAX_READ_BYTES  # type: ignore[attr-defined]
        super().connection_made(transport)
        self._holder = self._config.memory.open(
            self, CONNECTION_BYTES, now_ms=self._config.clock.now_ms()
        )
        if self._holder is None:
            cast("asyncio.Transport", transport).abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Gives back the memory that the connection itself held."""
        self._request_parser.close()
        for _, payload in self._messages:
            request_body.drop_unread(payload)
        super().connection_lost(exc)
        if self._holder is not None:
            taken = CONNECTION_BYTES + self._pending_bytes
            taken += self._request_bytes + sum(self._head_costs)
            self._pending_bytes = self._request_bytes = 0
            self._head_costs.clear()
            self._config.memory.add(self._holder, -taken)
            self._config.memory.end(self._holder)
            self._holder = None

    def data_received(self, data: bytes) -> None:
        """Records when the first bytes of a request arrived."""
        if self._first_byte_ms < 0 and self._awaits_request:
            delay = self._config.delay
            self._first_byte_ms = self._config.clock.now_ms()
            if (
                delay.iterations
                > self._accepted_in_iteration + ACCEPT_TO_READ_ITERATIONS
            ):
                waited_ms = delay.read_delay_ms()
                self._earliest_sent_ms = self._first_byte_ms - waited_ms
        queued = len(self._messages)
        super().data_received(data)
        if len(self._messages) > queued and self._pending_bytes:
            self._head_costs.append(self._pending_bytes)
            self._pending_bytes = 0
        if self._request_parser.has_error:
            super().data_received(b"")
        if self._request_parser.ignored_bytes > MAX_IGNORED_BYTES:
            self._pause_reading_for_buffer()

    def pause_writing(self) -> None:
        """Records since when the client doesn't read."""
        super().pause_writing()
        now_ms = self._config.clock.now_ms()
        if (
            self._write_paused_since_ms < 0
            or now_ms - self._write_resumed_ms >= READ_PAUSE_MS
        ):
            self._write_paused_since_ms = now_ms

    def resume_writing(self) -> None:
        """Records that the client has read."""
        super().resume_writing()
        self._write_resumed_ms = self._config.clock.now_ms()

    def awaited(self) -> connection_memory.Wait | None:
        """Returns the wait for the client; None while it isn't waited for."""
        kind = connection_memory.WaitKind
        match self.state:
            case ConnectionState.IDLE:
                was_used = self._request_count > 0
                return connection_memory.Wait(
                    kind.GOING_ON if was_used else kind.UNUSED,
                    self._idle_since_ms,
                )
            case ConnectionState.READING:
                return connection_memory.Wait(
                    kind.GOING_ON, self._first_byte_ms
                )
            case ConnectionState.ANSWERING:
                return self._awaited_while_answering()

    def _awaited_while_answering(self) -> connection_memory.Wait | None:
        kind = connection_memory.WaitKind
        if self._is_discarding:
            return connection_memory.Wait(kind.ANSWERED, self._started_ms)
        if self._request_parser.is_inside_body:
            return connection_memory.Wait(kind.GOING_ON, self._started_ms)
        transport = self.transport
        if transport is None or not transport.get_write_buffer_size():
            return None
        if self._write_paused_since_ms < 0:
            return None
        return connection_memory.Wait(
            kind.GOING_ON, self._write_paused_since_ms
        )

    def close_for_room(self) -> None:
        """Closes the connection to make room for others."""
        if (
            self._request_parser.is_inside_body
            and self._is_answering
            and not self._is_discarding
        ):
            # Its reader refuses the request.
            self._request_parser.give_up_body(
                request_limits.BodyClosedError(
                    "no memory while the body arrives"
                )
            )
        elif self.transport is not None:
            self.transport.abort()

    def widen_buffer(self) -> None:
        """Lets the system receive more of a long body at a time."""
        if self.transport is None or self._holder is None:
            return
        extra = LONG_BODY_BUFFER_BYTES - connection_config.RECEIVE_BUFFER_BYTES
        self._config.memory.add(self._holder, extra)
        self._request_bytes += extra
        set_receive_buffer(self.transport, LONG_BODY_BUFFER_BYTES)

    def waited_ms(self) -> int:
        """Returns how long the request may have waited until now."""
        if self._first_byte_ms < 0:
            # It arrived in the same read as the previous request.
            return 0
        return max(0, self._config.clock.now_ms() - self._earliest_sent_ms)

    def request_started(self) -> None:
        """Records that a request's headers were read."""
        self._is_answering = True
        self._is_late_head = False
        self._started_ms = self._config.clock.now_ms()
        if self._head_costs:
            self._request_bytes += self._head_costs.pop(0)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Writes what the handler has not written yet, and discards the rest.

        A client that still writes gets the response and not a reset.
        """
        if self.must_close and not resp.prepared:
            resp.force_close()
        try:
            finished = await super().finish_response(request, resp, start_time)
            if not finished[1]:
                self._is_discarding = True
                await self._discard_rest(request)
            return finished
        finally:
            self._is_discarding = False
            # The next request may have been read already.
            self._is_answering = bool(self._messages)
            self._first_byte_ms = -1
            self._idle_since_ms = self._config.clock.now_ms()
            self._write_paused_since_ms = -1
            if self._holder is not None:
                self._config.memory.add(self._holder, -self._request_bytes)
                self._request_bytes = 0

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the response to a request that could not be read."""
        if isinstance(exc, request_limits.BodyClosedError):
            status = 503
        elif isinstance(exc, web_protocol.RequestPayloadError):
            status = 400
        elif isinstance(exc, request_limits.RefusedHeadError):
            status = exc.code
        elif status >= 500:
            return super().handle_error(request, status, exc, message)
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun")
        self._server.malformed += 1
        response = web.Response(status=status, text=message or str(exc))
        if status == 503:
            response.headers["Retry-After"] = NO_MEMORY_RETRY_S
        response.force_close()
        return response

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
        self, header_timeout_ms: int, idle_timeout_ms: int, *, now_ms: int
    ) -> bool:
        """Returns whether the connection has exceeded its current timeout.

        Args:
            header_timeout_ms: Longest time for a head; 0 for no limit.
            idle_timeout_ms: Longest time without a request; 0 for no limit.
            now_ms: The current time.
        """
        match self.state:
            case ConnectionState.ANSWERING:
                return False
            case ConnectionState.READING:
                waited_ms = now_ms - self._first_byte_ms
                return 0 < header_timeout_ms <= waited_ms
            case ConnectionState.IDLE:
                waited_ms = now_ms - self._idle_since_ms
                return 0 < idle_timeout_ms <= waited_ms

    def is_late_again(self) -> bool:
        """Returns whether the same head was found overdue before.

        A late event loop may read the rest of a head only after its timeout.
        """
        was_late = self._is_late_head
        self._is_late_head = self.state is ConnectionState.READING
        return was_late and self._is_late_head

    def _take(self, size_bytes: int) -> bool:
        if self._holder is None:
            return False
        now_ms = self._config.clock.now_ms()
        if not self._config.memory.take(
            self._holder, size_bytes, now_ms=now_ms
        ):
            return False
        self._pending_bytes += size_bytes
        return True

    async def _discard_rest(self, request: web.BaseRequest) -> None:
        """Reads the rest of a request that was answered, within limits."""
        if not request.content.is_eof():
            try:
                async with asyncio.timeout(self._config.discard_ms / 1000):
                    async for _ in request.content.iter_any():
                        pass
            except (TimeoutError, web_protocol.RequestPayloadError) as error:
                error.__traceback__ = None
                self.close()
        if self._request_parser.is_failed and not self._messages:
            await self._linger()

    async def _linger(self) -> None:
        """Reads on for a moment, after the end of the last response."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        with contextlib.suppress(OSError):
            transport.write_eof()
        clock, parser = self._config.clock, self._request_parser
        until_ms = clock.now_ms() + LINGER_MS
        while (
            self.transport is not None
            and clock.now_ms() < until_ms
            and parser.ignored_bytes <= MAX_IGNORED_BYTES
        ):
            await asyncio.sleep(LINGER_POLL_S)
        self.close()


def set_receive_buffer(transport: asyncio.BaseTransport, size: int) -> None:
    """Sets how much the system receives before it is read."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


__all__ = ["CONNECTION_BYTES", "Connection", "ConnectionState"]
