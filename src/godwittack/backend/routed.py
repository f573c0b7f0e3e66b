"""Runs attempts on backend servers whose answers are relayed unchanged."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
from typing import TYPE_CHECKING, Protocol

from result import Err, Ok

from godwittack.backend import (
    collecting,
    headers,
    protocol,
    reply_limits,
    signals,
    sse,
)
from godwittack.backend import connection as connections
from godwittack.backend import pool as pools
from godwittack.core import inputs, server_inputs, work

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from godwittack.clock import Clock
    from godwittack.core import effects

EVENT_STREAM = "text/event-stream"
# Wait after opening a connection until a server that rejects it has reset it: a
# round trip between failure domains takes 2 ms, and the accept 1 ms.
RESET_WAIT_MS = 4

# Names of pooled connections that are kept apart from those of callers'
# requests.
CONTROL_CONNECTION = "control"
EVENTS_CONNECTION = "events/control"


class ConnectionRejectedError(ConnectionResetError):
    """The server accepted a connection and reset it before it was used."""


class WithheldError(Exception):
    """The server stopped accepting work before anything was sent."""


class DeadlineExceededError(Exception):
    """The deadline for an answer passed before anything was sent."""


class UnsendableError(Exception):
    """A call has a header that can't be sent; no server is to blame."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlCall:
    """A call that is not a caller's request.

    Attributes:
        head: Request line and headers, with the blank line.
        step: Operation, for error messages.
        wait_ms: How long the server may delay its answer, beyond the timeout
            of control calls.
    """

    step: str
    head: bytes
    body: bytes = b""
    wait_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _ControlReply:
    """Answer to a control call, with the signals of its server."""

    body: bytes
    signals: signals.ServerSignals


class ServerFormat(Protocol):
    """Formats requests to servers and parses their answers."""

    def request_head(
        self, dispatch: effects.Dispatch, call: protocol.Call, remaining_ms: int
    ) -> bytes:
        """Returns request line and headers of one attempt.

        Args:
            dispatch: The attempt.
            call: The caller's request.
            remaining_ms: Time left for the answer; 0 for no limit.

        Raises:
            ValueError: A header can't be sent.
        """

    def request_ids(self, reply: connections.Reply) -> list[str]:
        """Returns the ids of requests that an answer's head has."""

    def decline_cause(
        self, reply: connections.Reply, server_id: str
    ) -> inputs.FailureCause | None:
        """Returns why the server did not run the request, None if it did."""

    def read_signals(self, reply: connections.Reply) -> signals.ServerSignals:
        """Returns all that an answer reports about its server."""

    def load_call(self, address: str, server_id: str) -> ControlCall:
        """Returns the call that requests a server's load report."""

    def read_load(self, body: bytes, server_id: str) -> protocol.EngineLoad:
        """Parses a load report; raises ValueError if it is invalid."""

    def events_call(
        self, address: str, server_id: str, after: int
    ) -> ControlCall:
        """Returns the call that requests cache events."""

    def read_events(self, body: bytes, server_id: str) -> protocol.CacheEvents:
        """Parses cache events; raises ValueError if they are invalid."""

    def order_call(self, address: str, order: protocol.Order) -> ControlCall:
        """Returns the call that sends an order."""


class RoutedBackend:
    """Implements `BackendClient` over pooled `Connection` objects.

    Attributes:
        signal_reporter: Passes the signals in answers to the core.
        may_send: Called directly before a request is written; False fails
            the attempt as not sent.
    """

    def __init__(
        self,
        *,
        pool: pools.Pool,
        server_format: ServerFormat,
        clock: Clock,
        control_timeout_ms: int,
    ) -> None:
        """Uses `server_format` over connections of `pool`."""
        self._pool = pool
        self._format = server_format
        self._clock = clock
        self._control_timeout_ms = control_timeout_ms
        self._collector = collecting.Collector(clock=clock)
        self.signal_reporter = signals.SignalReporter(clock=clock)
        self.may_send: Callable[[effects.Dispatch], bool]
        self.may_send = lambda dispatch: True

    async def send(
        self,
        dispatch: effects.Dispatch,
        call: protocol.Call,
        sink: protocol.AttemptSink,
    ) -> None:
        """Runs one attempt to its end."""
        connection = None
        if not dispatch.fresh_connection:
            connection = self._pool.acquire(
                dispatch.server_id,
                margin_ms=dispatch.idle_margin_ms,
                request_id=call.request_id,
            )
        if connection is None:
            try:
                connection = await self._open(dispatch)
            except OSError as error:
                sink.failed(
                    inputs.FailurePhase.CONNECT,
                    _connect_cause(error),
                    str(error),
                )
                return
        is_finished = False
        connection.on_endless = lambda error: self._report_endless(
            error, dispatch.server_id, dispatch.incarnation
        )
        try:
            await self._exchange(connection, dispatch, call, sink)
            is_finished = True
        except WithheldError as error:
            sink.failed(
                inputs.FailurePhase.CONNECT,
                inputs.FailureCause.WITHHELD,
                str(error),
            )
        except (DeadlineExceededError, UnsendableError) as error:
            sink.failed(
                inputs.FailurePhase.DECLINED,
                inputs.FailureCause.REFUSED,
                str(error),
            )
        except connections.EndlessReplyError as error:
            connection.close()
            connection.on_endless(error)
            sink.failed(
                inputs.FailurePhase.SENT,
                inputs.FailureCause.ENDLESS,
                str(error),
            )
        except (connections.ReplyError, ValueError) as error:
            connection.retire()
            is_finished = True
            sink.failed(
                inputs.FailurePhase.SENT,
                inputs.FailureCause.BROKEN,
                str(error),
            )
        finally:
            # A cancelled attempt closes its connection as well: the server
            # then stops working on the request.
            if not is_finished:
                connection.close()

    async def _open(self, dispatch: effects.Dispatch) -> connections.Connection:
        """Opens a connection, and waits until the server may have reset it.

        A server with a long queue accepts connections and resets them. A call
        written to such a connection may have run, so that one that may run
        only once could not be retried; with nothing written, it can be sent to
        another server.

        Raises:
            ConnectionRejectedError: The server accepted the connection and
                reset it before anything was sent.
            OSError: The connection could not be opened.
        """
        connection = await self._pool.open(dispatch.address)
        if not dispatch.fresh_connection:
            return connection
        try:
            await asyncio.sleep(RESET_WAIT_MS / 1000)
        except asyncio.CancelledError:
            connection.close()
            raise
        if not connection.is_open:
            connection.close()
            raise ConnectionRejectedError("reset before anything was sent")
        return connection

    async def cancel(self, address: str, stream_id: str) -> None:
        """Does nothing: closing the connection ends the server's work."""

    def drop_connections(self, server_id: str) -> None:
        """Closes the pooled connections to a server."""
        self._pool.drop(server_id)
        for name in (CONTROL_CONNECTION, EVENTS_CONNECTION):
            self._pool.drop(f"{server_id}/{name}")

    async def load(
        self,
        address: str,
        *,
        server_id: str = "",
        fresh_connection: bool = False,
    ) -> Result[protocol.EngineLoad, protocol.BackendError]:
        """Returns the server's load report."""
        call = self._format.load_call(address, server_id)
        result = await self._control(
            address,
            server_id,
            call,
            connection_name=CONTROL_CONNECTION,
            fresh_connection=fresh_connection,
        )
        if isinstance(result, Err):
            return result
        reply = result.ok_value
        try:
            load = self._format.read_load(reply.body, server_id)
        except ValueError as error:
            return protocol.failed_call(call.step, address, str(error))
        is_leaving = load.leaving or reply.signals.is_leaving
        return Ok(dataclasses.replace(load, leaving=is_leaving))

    async def poll_load(
        self, address: str, *, server_id: str = ""
    ) -> Result[protocol.EngineLoad, protocol.BackendError]:
        """Returns the server's load, on a connection kept between polls."""
        return await self.load(address, server_id=server_id)

    async def cache_events(
        self, address: str, *, after: int, server_id: str = ""
    ) -> Result[protocol.CacheEvents, protocol.BackendError]:
        """Returns the cache events after a sequence number; waits for them."""
        call = self._format.events_call(address, server_id, after)
        result = await self._control(
            address, server_id, call, connection_name=EVENTS_CONNECTION
        )
        if isinstance(result, Err):
            return result
        try:
            return Ok(self._format.read_events(result.ok_value.body, server_id))
        except ValueError as error:
            return protocol.failed_call(call.step, address, str(error))

    async def order(
        self, address: str, order: protocol.Order
    ) -> Result[None, protocol.BackendError]:
        """Sends an order, on a connection without earlier calls.

        Answers to control calls have no id. A late copy of the answer to a
        report would be taken for the order's acceptance.
        """
        call = self._format.order_call(address, order)
        result = await self._control(
            address,
            order.server_id,
            call,
            connection_name=CONTROL_CONNECTION,
            fresh_connection=True,
        )
        return result if isinstance(result, Err) else Ok(None)

    async def export_kv(
        self, address: str, level_key: int
    ) -> Result[bytes, protocol.BackendError]:
        """Not offered: servers fetch cached state from each other."""
        return protocol.failed_call(
            "export", address, "not offered by this interface"
        )

    async def import_kv(
        self, address: str, data: bytes
    ) -> Result[None, protocol.BackendError]:
        """Not offered: servers fetch cached state from each other."""
        return protocol.failed_call(
            "import", address, "not offered by this interface"
        )

    async def _exchange(
        self,
        connection: connections.Connection,
        dispatch: effects.Dispatch,
        call: protocol.Call,
        sink: protocol.AttemptSink,
    ) -> None:
        remaining_ms = self._remaining_ms(dispatch)
        if not self.may_send(dispatch):
            raise WithheldError(f"{dispatch.server_id} wants no work any more")
        try:
            head = self._format.request_head(dispatch, call, remaining_ms)
        except ValueError as error:
            raise UnsendableError(f"its head can't be sent: {error}") from error
        connection.send(
            head,
            call.body,
            matches=lambda reply: self._is_answer_to(call, reply),
            request_id=call.request_id,
        )
        reply = await connection.read_head()
        origin = signals.SignalOrigin(
            server_id=dispatch.server_id,
            incarnation=dispatch.incarnation,
            request_id=dispatch.request_id,
        )
        decline_cause = self._format.decline_cause(reply, dispatch.server_id)
        may_lift_limit = decline_cause is None
        reported = self._report_signals(
            origin,
            reply,
            decline_cause=decline_cause,
            may_lift_limit=may_lift_limit,
        )
        sink.signals(reported, may_lift_limit=may_lift_limit)
        if decline_cause is not None:
            await self._collect(connection, reply, dispatch.server_id)
            self._pool.release(dispatch.server_id, connection, reply)
            sink.failed(
                inputs.FailurePhase.DECLINED,
                decline_cause,
                f"status {reply.status}",
            )
            return
        if _is_stream(reply) and dispatch.is_streamed:
            await _relay(connection, reply, dispatch, sink)
            self._pool.release(dispatch.server_id, connection, reply)
            return
        body = await self._collect(
            connection, reply, dispatch.server_id, sink=sink
        )
        self._pool.release(dispatch.server_id, connection, reply)
        answer = work.Answer(
            reply.status,
            _end_to_end(reply),
            body,
            is_delimited=not reply.is_close_delimited,
        )
        sink.answer(dispatch.attempt_id, answer, dispatch.stamp)

    def _is_answer_to(
        self, call: protocol.Call, reply: connections.Reply
    ) -> bool:
        """Returns whether an answer belongs to the call.

        Raises:
            ReplyError: It has the ids of several requests. A server that breaks
                off inside a header and goes on with another answer on the
                connection sends such a head, with the body of the other one.
        """
        request_ids = self._format.request_ids(reply)
        if len(set(request_ids)) > 1:
            raise connections.ReplyError("a head with several request ids")
        return bool(request_ids) and request_ids[0] == call.request_id

    async def _collect(
        self,
        connection: connections.Connection,
        reply: connections.Reply,
        key: str,
        *,
        sink: protocol.AttemptSink | None = None,
        limit_bytes: int = reply_limits.DEFAULT.answer_bytes,
    ) -> bytes:
        async def make_room(size_bytes: int) -> None:
            assert sink is not None
            await sink.make_room(size_bytes)
            if size_bytes > connections.RECEIVE_BUFFER_BYTES:
                connection.widen_buffer()

        return await self._collector.collect(
            lambda: connection.read_chunk(reply),
            source=collecting.Source(
                key=key,
                length=reply.header("content-length"),
                limit_bytes=limit_bytes,
                restores_trust=sink is not None,
            ),
            make_room=None if sink is None else make_room,
        )

    def _report_endless(
        self,
        error: connections.EndlessReplyError,
        server_id: str,
        incarnation: str = "",
    ) -> None:
        """Passes to the core that a server sends what has no end."""
        self.signal_reporter.submit(
            server_inputs.EndlessAnswer(
                at_ms=self._clock.now_ms(),
                server_id=server_id,
                incarnation=incarnation,
                what=error.what,
                size_bytes=error.size_bytes,
            )
        )

    def _remaining_ms(self, dispatch: effects.Dispatch) -> int:
        """Returns the time left for an answer; 0 for no limit.

        Raises:
            DeadlineExceededError: Opening the connection took all that was
                left.
        """
        if not dispatch.ends_at_ms:
            return 0
        remaining_ms = dispatch.ends_at_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            raise DeadlineExceededError("its time was over before it was sent")
        return remaining_ms

    def _report_signals(
        self,
        origin: signals.SignalOrigin,
        reply: connections.Reply,
        *,
        decline_cause: inputs.FailureCause | None,
        may_lift_limit: bool = False,
    ) -> signals.ServerSignals:
        """Passes the signals of an answer to the core, and returns them.

        An answer of another process that now has the address is ignored: its
        signals don't apply to the intended server.
        """
        if decline_cause is inputs.FailureCause.OTHER_SERVER:
            return signals.ServerSignals()
        server_signals = self._format.read_signals(reply)
        self.signal_reporter.report(
            origin, server_signals, may_lift_limit=may_lift_limit
        )
        return server_signals

    async def _control(
        self,
        address: str,
        server_id: str,
        call: ControlCall,
        *,
        connection_name: str,
        fresh_connection: bool = False,
    ) -> Result[_ControlReply, protocol.BackendError]:
        # Kept apart from the connections of callers' requests, on which a late
        # answer to one of those may still arrive.
        key = f"{server_id}/{connection_name}"
        connection = None
        limit_s = (self._control_timeout_ms + call.wait_ms) / 1000
        report_endless = functools.partial(
            self._report_endless, server_id=server_id
        )
        try:
            async with asyncio.timeout(limit_s):
                if not fresh_connection:
                    connection = self._pool.acquire(key)
                connection = connection or await self._pool.open(address)
                connection.on_endless = report_endless
                connection.send(
                    call.head, call.body, matches=lambda reply: True
                )
                reply = await connection.read_head()
                body = await self._collect(
                    connection,
                    reply,
                    f"{server_id}/{CONTROL_CONNECTION}",
                    limit_bytes=reply_limits.DEFAULT.control_bytes,
                )
        except TimeoutError:
            _close(connection)
            detail = "no answer in time"
            return protocol.failed_call(
                call.step, address, detail, may_have_run=connection is not None
            )
        except (OSError, connections.ReplyError) as error:
            if isinstance(error, connections.EndlessReplyError):
                report_endless(error)
                _close(connection)
            elif connection is not None:
                connection.retire()
            return protocol.failed_call(
                call.step,
                address,
                str(error),
                may_have_run=connection is not None,
                connection_refused=isinstance(error, ConnectionRefusedError),
                connection_broken=connection is not None,
            )
        except asyncio.CancelledError:
            _close(connection)
            raise
        self._pool.release(key, connection, reply)
        server_signals = self._report_signals(
            signals.SignalOrigin(server_id=server_id),
            reply,
            decline_cause=self._format.decline_cause(reply, server_id),
        )
        if reply.status not in (200, 202):
            return protocol.failed_call(
                call.step,
                address,
                f"status {reply.status}",
                status=reply.status,
            )
        return Ok(_ControlReply(body, server_signals))


def _connect_cause(error: OSError) -> inputs.FailureCause:
    """Distinguishes a live but full server from an unreachable one."""
    if isinstance(error, ConnectionRejectedError):
        return inputs.FailureCause.REFUSED
    if isinstance(error, ConnectionRefusedError):
        return inputs.FailureCause.ENDED
    return inputs.FailureCause.BROKEN


async def _relay(
    connection: connections.Connection,
    reply: connections.Reply,
    dispatch: effects.Dispatch,
    sink: protocol.AttemptSink,
) -> None:
    head = work.Head(
        reply.status,
        _end_to_end(reply),
        is_delimited=not reply.is_close_delimited,
    )
    sink.opened(dispatch.attempt_id, dispatch.stamp, head)
    reader = sse.FrameReader(after=dispatch.after, done_marker=b"")
    has_events = False
    while data := await connection.read_chunk(reply):
        frames = reader.feed(data)
        if frames:
            has_events = True
            connection.record_event()
            await sink.frames(frames)
    if reader.is_inside_event:
        raise connections.ReplyError("the stream ended inside an event")
    # A resumed stream may have no more events.
    is_empty = not (has_events or dispatch.after)
    if is_empty and reply.is_close_delimited:
        raise connections.ReplyError("the connection closed before any event")
    await sink.frames((reader.finish(),))


def _is_stream(reply: connections.Reply) -> bool:
    content_type = reply.header("content-type")
    return reply.status == 200 and content_type.startswith(EVENT_STREAM)


def _end_to_end(reply: connections.Reply) -> tuple[work.Header, ...]:
    return headers.end_to_end(
        reply.headers, connection=reply.header("connection")
    )


def _close(connection: connections.Connection | None) -> None:
    if connection is not None:
        connection.close()


__all__ = ["ControlCall", "RoutedBackend", "ServerFormat"]
