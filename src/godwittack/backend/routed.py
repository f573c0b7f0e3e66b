"""Runs attempts on backend servers whose answers are handed on unchanged."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING, Protocol

from result import Err, Ok

from godwittack.backend import connection as connections
from godwittack.backend import headers, protocol, signals, sse
from godwittack.backend import pool as pools
from godwittack.core import inputs, work

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from godwittack.clock import Clock
    from godwittack.core import effects

EVENT_STREAM = "text/event-stream"
# Time in which a server that turns a connection away has reset it: a round
# trip between failure domains of 2 ms, and 1 ms in which it accepts.
RESET_WAIT_MS = 4


# Names of kept connections beside those of callers' requests.
CONTROL_CONNECTION = "control"
EVENTS_CONNECTION = "events/control"


class ConnectionRejectedError(ConnectionResetError):
    """The server accepted a connection and reset it unused."""


class WithheldError(Exception):
    """The server wanted no work any more before anything was sent."""


class DeadlineExceededError(Exception):
    """The time for an answer was over before anything was sent."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlCall:
    """A call that is not a caller's request.

    Attributes:
        head: Request line and headers, with the blank line.
        step: What it does, for errors.
        wait_ms: How long the server may hold it open.
    """

    step: str
    head: bytes
    body: bytes = b""
    wait_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _ControlReply:
    """Answer to a control call, with what it says of its server."""

    body: bytes
    signals: signals.ServerSignals


class ServerFormat(Protocol):
    """How requests to servers are written, and their answers read."""

    def request_head(
        self, dispatch: effects.Dispatch, call: protocol.Call, remaining_ms: int
    ) -> bytes:
        """Returns request line and headers of one attempt.

        Args:
            dispatch: The attempt.
            call: What is asked.
            left_ms: Time that is left for the answer; 0 for no limit.
        """

    def matches(self, reply: connections.Reply, call: protocol.Call) -> bool:
        """Returns whether an answer belongs to the call."""

    def decline_cause(
        self, reply: connections.Reply, server_id: str
    ) -> inputs.FailureCause | None:
        """Returns why the server did not run the request, None if it did."""

    def read_signals(self, reply: connections.Reply) -> signals.ServerSignals:
        """Returns all that an answer says of its server."""

    def load_call(self, address: str, server_id: str) -> ControlCall:
        """Returns the call for a server's report of its state."""

    def read_load(self, body: bytes, server_id: str) -> protocol.EngineLoad:
        """Reads a report; raises ValueError for anything else."""

    def events_call(
        self, address: str, server_id: str, after: int
    ) -> ControlCall:
        """Returns the call for cache events."""

    def read_events(self, body: bytes, server_id: str) -> protocol.CacheEvents:
        """Reads cache events; raises ValueError for anything else."""

    def order_call(self, address: str, order: protocol.Order) -> ControlCall:
        """Returns the call for an order."""


class RoutedBackend:
    """Implements `BackendClient` over kept connections of our own."""

    def __init__(
        self,
        *,
        pool: pools.Pool,
        server_format: ServerFormat,
        clock: Clock,
        control_timeout_ms: int,
    ) -> None:
        """Speaks `server_format` over connections of `pool`."""
        self._pool = pool
        self._format = server_format
        self._clock = clock
        self._control_timeout_ms = control_timeout_ms
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
        used = None
        if not dispatch.fresh_connection:
            used = self._pool.acquire(dispatch.server_id)
        if used is None:
            try:
                used = await self._open(dispatch)
            except OSError as error:
                sink.failed(
                    inputs.FailurePhase.CONNECT,
                    _connect_cause(error),
                    str(error),
                )
                return
        ended_well = False
        try:
            await self._exchange(used, dispatch, call, sink)
            ended_well = True
        except WithheldError as error:
            sink.failed(
                inputs.FailurePhase.CONNECT,
                inputs.FailureCause.WITHHELD,
                str(error),
            )
        except DeadlineExceededError as error:
            sink.failed(
                inputs.FailurePhase.DECLINED,
                inputs.FailureCause.REFUSED,
                str(error),
            )
        except (connections.ReplyError, ValueError) as error:
            sink.failed(
                inputs.FailurePhase.SENT,
                inputs.FailureCause.BROKEN,
                str(error),
            )
        finally:
            # Also where the attempt was cancelled: the server stops the work
            # of a caller whose connection closes.
            if not ended_well:
                used.close()

    async def _open(self, dispatch: effects.Dispatch) -> connections.Connection:
        """Opens a connection, and lets its server turn it away.

        A server with a long queue accepts connections and resets them. A call
        that had been written to one may have run for all we know, and one
        that may run once would end there; nothing written, it goes elsewhere.

        Raises:
            TurnedAwayError: Accepted and reset before anything was sent.
            OSError: Not opened.
        """
        used = await self._pool.open(dispatch.address)
        if not dispatch.fresh_connection:
            return used
        try:
            await asyncio.sleep(RESET_WAIT_MS / 1000)
        except asyncio.CancelledError:
            used.close()
            raise
        if not used.is_open:
            used.close()
            raise ConnectionRejectedError("reset before anything was sent")
        return used

    async def cancel(self, address: str, stream_id: str) -> None:
        """Does nothing: a closed connection is what ends a server's work."""

    async def load(
        self, address: str, *, server_id: str = ""
    ) -> Result[protocol.EngineLoad, protocol.BackendError]:
        """Returns the server's own report."""
        call = self._format.load_call(address, server_id)
        got = await self._control(
            address, server_id, call, connection_name=CONTROL_CONNECTION
        )
        if isinstance(got, Err):
            return got
        answered = got.ok_value
        try:
            told = self._format.read_load(answered.body, server_id)
        except ValueError as error:
            return _error(call.step, address, str(error))
        is_leaving = told.leaving or answered.signals.is_leaving
        return Ok(dataclasses.replace(told, leaving=is_leaving))

    poll_load = load

    async def cache_events(
        self, address: str, *, after: int, server_id: str = ""
    ) -> Result[protocol.CacheEvents, protocol.BackendError]:
        """Waits for cache events."""
        call = self._format.events_call(address, server_id, after)
        got = await self._control(
            address, server_id, call, connection_name=EVENTS_CONNECTION
        )
        if isinstance(got, Err):
            return got
        try:
            return Ok(self._format.read_events(got.ok_value.body, server_id))
        except ValueError as error:
            return _error(call.step, address, str(error))

    async def order(
        self, address: str, order: protocol.Order
    ) -> Result[None, protocol.BackendError]:
        """Gives an order."""
        call = self._format.order_call(address, order)
        got = await self._control(
            address, order.server_id, call, connection_name=CONTROL_CONNECTION
        )
        return got if isinstance(got, Err) else Ok(None)

    async def export_kv(
        self, address: str, level_key: int
    ) -> Result[bytes, protocol.BackendError]:
        """Not offered: servers fetch cached state from each other."""
        return _error("export", address, "not offered by this interface")

    async def import_kv(
        self, address: str, data: bytes
    ) -> Result[None, protocol.BackendError]:
        """Not offered: servers fetch cached state from each other."""
        return _error("import", address, "not offered by this interface")

    async def _exchange(
        self,
        used: connections.Connection,
        dispatch: effects.Dispatch,
        call: protocol.Call,
        sink: protocol.AttemptSink,
    ) -> None:
        remaining_ms = self._remaining_ms(dispatch)
        if not self.may_send(dispatch):
            raise WithheldError(f"{dispatch.server_id} wants no work any more")
        used.send(
            self._format.request_head(dispatch, call, remaining_ms), call.body
        )
        reply = await used.read_head(
            lambda reply: self._format.matches(reply, call)
        )
        sender = signals.SignalOrigin(
            server_id=dispatch.server_id,
            incarnation=dispatch.incarnation,
            request_id=dispatch.request_id,
        )
        declined = self._format.decline_cause(reply, dispatch.server_id)
        self._report_signals(
            sender, reply, declined=declined, may_lift_limit=declined is None
        )
        if declined is not None:
            await used.read_body(reply)
            self._pool.release(dispatch.server_id, used, reply)
            sink.failed(
                inputs.FailurePhase.DECLINED,
                declined,
                f"status {reply.status}",
            )
            return
        if _is_stream(reply) and dispatch.stamp is not None:
            await _relay(used, reply, dispatch, sink)
            self._pool.release(dispatch.server_id, used, reply)
            return
        body = await used.read_body(reply)
        self._pool.release(dispatch.server_id, used, reply)
        answer = work.Answer(reply.status, _end_to_end(reply), body)
        sink.answer(dispatch.attempt_id, answer, dispatch.stamp)

    def _remaining_ms(self, dispatch: effects.Dispatch) -> int:
        """Returns the time left for an answer; 0 for no limit.

        Raises:
            OutOfTimeError: Opening the connection has taken what was left.
        """
        if not dispatch.ends_at_ms:
            return 0
        left_ms = dispatch.ends_at_ms - self._clock.now_ms()
        if left_ms <= 0:
            raise DeadlineExceededError("its time was over before it was sent")
        return left_ms

    def _report_signals(
        self,
        sender: signals.SignalOrigin,
        reply: connections.Reply,
        *,
        declined: inputs.FailureCause | None,
        may_lift_limit: bool = False,
    ) -> signals.ServerSignals:
        """Takes in what an answer says of its server.

        One by another process that has the address says nothing of the server
        that was meant.
        """
        if declined is inputs.FailureCause.OTHER_SERVER:
            return signals.ServerSignals()
        said = self._format.read_signals(reply)
        self.signal_reporter.report(sender, said, may_lift_limit=may_lift_limit)
        return said

    async def _control(
        self,
        address: str,
        server_id: str,
        call: ControlCall,
        *,
        connection_name: str,
    ) -> Result[_ControlReply, protocol.BackendError]:
        # Not among the connections of callers' requests, where an answer to
        # one of those may still come late.
        key = f"{server_id}/{connection_name}"
        used = None
        limit_s = (self._control_timeout_ms + call.wait_ms) / 1000
        try:
            async with asyncio.timeout(limit_s):
                used = self._pool.acquire(key) or await self._pool.open(address)
                used.send(call.head, call.body)
                reply = await used.read_head(lambda reply: True)
                body = await used.read_body(reply)
        except TimeoutError:
            _close(used)
            detail = "no answer in time"
            return _error(call.step, address, detail, sent=used is not None)
        except (OSError, connections.ReplyError) as error:
            _close(used)
            return _error(
                call.step,
                address,
                str(error),
                sent=used is not None,
                ended=isinstance(error, ConnectionRefusedError),
            )
        except asyncio.CancelledError:
            _close(used)
            raise
        self._pool.release(key, used, reply)
        said = self._report_signals(
            signals.SignalOrigin(server_id=server_id),
            reply,
            declined=self._format.decline_cause(reply, server_id),
        )
        if reply.status not in (200, 202):
            return _error(
                call.step,
                address,
                f"status {reply.status}",
                status=reply.status,
            )
        return Ok(_ControlReply(body, said))


def _connect_cause(error: OSError) -> inputs.FailureCause:
    """Tells a live server without room from one that can't be reached."""
    if isinstance(error, ConnectionRejectedError):
        return inputs.FailureCause.REFUSED
    if isinstance(error, ConnectionRefusedError):
        return inputs.FailureCause.ENDED
    return inputs.FailureCause.BROKEN


async def _relay(
    used: connections.Connection,
    reply: connections.Reply,
    dispatch: effects.Dispatch,
    sink: protocol.AttemptSink,
) -> None:
    assert dispatch.stamp is not None
    head = work.Head(reply.status, _end_to_end(reply))
    sink.opened(dispatch.attempt_id, dispatch.stamp, head)
    reader = sse.FrameReader(after=dispatch.after, done=b"")
    while data := await used.read_chunk(reply):
        frames = reader.feed(data)
        if frames:
            await sink.frames(frames)
    await sink.frames((reader.finish(),))


def _is_stream(reply: connections.Reply) -> bool:
    content_type = reply.header("content-type")
    return reply.status == 200 and content_type.startswith(EVENT_STREAM)


def _end_to_end(reply: connections.Reply) -> tuple[work.Header, ...]:
    return headers.end_to_end(
        reply.headers, connection=reply.header("connection")
    )


def _close(used: connections.Connection | None) -> None:
    if used is not None:
        used.close()


def _error(
    step: str,
    address: str,
    detail: str,
    *,
    status: int = 0,
    sent: bool = True,
    ended: bool = False,
) -> Err[protocol.BackendError]:
    return Err(
        protocol.BackendError(
            step=step,
            peer=address,
            detail=detail,
            status=status,
            may_have_run=sent,
            connection_refused=ended,
        )
    )


__all__ = ["ControlCall", "RoutedBackend", "ServerFormat"]
