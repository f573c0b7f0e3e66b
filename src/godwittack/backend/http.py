"""Client of backend servers that speak OpenAI's HTTP API with extensions."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, TypeVar

import aiohttp
import pydantic
from result import Err, Ok, Result

from godwittack import digits
from godwittack.backend import (
    bounded_client,
    headers,
    protocol,
    reply_limits,
    schema,
    signals,
    sse,
)
from godwittack.core import inputs, server_inputs, work

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.clock import Clock
    from godwittack.core import effects

_Parsed = TypeVar("_Parsed")

REFUSED_STATUSES = frozenset({429, 503})
GONE_STATUSES = frozenset({404, 410})
STATUSES_WITHOUT_BODY = frozenset({204, 304})
MIN_FINAL_STATUS = 200
SKIPPED_AUTO_HEADERS = (
    "accept",
    "accept-encoding",
    "content-type",
    "user-agent",
)


class HttpBackend:
    """Implements `BackendClient` with aiohttp."""

    def __init__(
        self,
        *,
        pooled: aiohttp.ClientSession,
        fresh: aiohttp.ClientSession,
        clock: Clock,
        connect_timeout_ms: int,
        control_timeout_ms: int,
    ) -> None:
        """Uses `pooled` for attempts and polls, and `fresh` for other calls.

        Args:
            pooled: Session that keeps connections.
            fresh: Session that opens a connection for each call.
            clock: Time source for what servers report.
            connect_timeout_ms: Timeout for opening a connection.
            control_timeout_ms: Timeout for load, probe and order calls.
        """
        self._pooled = pooled
        self._fresh = fresh
        self._clock = clock
        self.signal_reporter = signals.SignalReporter(clock=clock)
        # The core times out silent attempts; only connecting is limited here.
        self._attempt_timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout_ms / 1000
        )
        self._control_timeout = aiohttp.ClientTimeout(
            total=control_timeout_ms / 1000
        )
        self._events_timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=connect_timeout_ms / 1000,
            sock_read=2 * control_timeout_ms / 1000,
        )

    async def send(
        self,
        dispatch: effects.Dispatch,
        call: protocol.Call,
        sink: protocol.AttemptSink,
    ) -> None:
        """Runs one attempt to its end."""
        try:
            await self._send(dispatch, call, sink)
        except aiohttp.ClientConnectorError as error:
            # aiohttp raises it before it writes a byte of the request.
            sink.failed(
                inputs.FailurePhase.CONNECT,
                _connect_cause(error),
                str(error),
            )
        except aiohttp.ConnectionTimeoutError:
            sink.failed(
                inputs.FailurePhase.CONNECT,
                inputs.FailureCause.BROKEN,
                "no connection in time",
            )
        except reply_limits.EndlessReplyError as error:
            self._report_endless(error, dispatch)
            sink.failed(
                inputs.FailurePhase.SENT,
                inputs.FailureCause.ENDLESS,
                str(error),
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            sink.failed(
                inputs.FailurePhase.SENT,
                inputs.FailureCause.BROKEN,
                str(error) or type(error).__name__,
            )

    async def cancel(self, address: str, stream_id: str) -> None:
        """Ends a stream on an engine."""
        await self._control(
            "cancel", address, "DELETE", _stream_path(stream_id)
        )

    async def load(
        self,
        address: str,
        *,
        server_id: str = "",
        fresh_connection: bool = True,
    ) -> Result[protocol.EngineLoad, protocol.BackendError]:
        """Returns the server's load, always on a fresh connection."""
        del server_id, fresh_connection
        result = await self._control("load", address, "GET", "/load")
        if isinstance(result, Err):
            return result
        return _parse(address, "load", schema.load, result.ok_value)

    def drop_connections(self, server_id: str) -> None:
        """Does nothing: the pool of aiohttp is not kept by server."""

    async def poll_load(
        self, address: str, *, server_id: str = ""
    ) -> Result[protocol.EngineLoad, protocol.BackendError]:
        """Returns the server's load, on a connection kept between polls."""
        result = await self._control(
            "poll load", address, "GET", "/load", session=self._pooled
        )
        if isinstance(result, Err):
            return result
        return _parse(address, "poll load", schema.load, result.ok_value)

    async def cache_events(
        self, address: str, *, after: int, server_id: str = ""
    ) -> Result[protocol.CacheEvents, protocol.BackendError]:
        """Returns the cache events after a sequence number; waits for them."""
        result = await self._control(
            "cache events",
            address,
            "GET",
            f"/cache/events?after={after}",
            session=self._pooled,
            timeout=self._events_timeout,
        )
        if isinstance(result, Err):
            return result
        return _parse(address, "cache events", schema.events, result.ok_value)

    async def order(
        self, address: str, order: protocol.Order
    ) -> Result[None, protocol.BackendError]:
        """Sends an order."""
        body = {
            "kind": order.kind.value,
            "fencing": order.fencing,
            "value": order.value,
        }
        result = await self._control(
            "order", address, "POST", "/orders", json.dumps(body).encode()
        )
        return result if isinstance(result, Err) else Ok(None)

    async def export_kv(
        self, address: str, level_key: int
    ) -> Result[bytes, protocol.BackendError]:
        """Returns a level's cached state."""
        return await self._control("export", address, "GET", f"/kv/{level_key}")

    async def import_kv(
        self, address: str, data: bytes
    ) -> Result[None, protocol.BackendError]:
        """Sends cached state to an engine."""
        result = await self._control("import", address, "POST", "/kv", data)
        return result if isinstance(result, Err) else Ok(None)

    async def _send(
        self,
        dispatch: effects.Dispatch,
        call: protocol.Call,
        sink: protocol.AttemptSink,
    ) -> None:
        session = self._fresh if dispatch.fresh_connection else self._pooled
        method, path, body = call.method, call.path, call.body
        if dispatch.resume_stream:
            method, path, body = (
                "GET",
                _stream_path(dispatch.resume_stream),
                b"",
            )
        async with session.request(
            method,
            f"http://{dispatch.address}{path}",
            data=body or None,
            headers=_headers(dispatch, call),
            timeout=self._attempt_timeout,
            allow_redirects=False,
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            middlewares=(_SendOnce(),),
        ) as response:
            self._report_signals(dispatch, response)
            if dispatch.stamp is None:
                sink.answer("", await _read_answer(response, sink), None)
                return
            if response.status != 200 and _is_refusal(response, dispatch, sink):
                return
            await self._read_generation(dispatch, response, sink)

    def _report_signals(
        self, dispatch: effects.Dispatch, response: aiohttp.ClientResponse
    ) -> None:
        """Reports the rest that a server requests where it declines."""
        all_headers = [
            work.Header(name, value) for name, value in response.headers.items()
        ]
        rest = signals.read_rest(
            response.status, all_headers, is_declined=dispatch.stamp is not None
        )
        origin = signals.SignalOrigin(
            server_id=dispatch.server_id,
            incarnation=dispatch.stamp.incarnation if dispatch.stamp else "",
            request_id=dispatch.request_id,
        )
        self.signal_reporter.report(
            origin, signals.ServerSignals(rest=rest), may_lift_limit=False
        )

    def _report_endless(
        self, error: reply_limits.EndlessReplyError, dispatch: effects.Dispatch
    ) -> None:
        self.signal_reporter.submit(
            server_inputs.EndlessAnswer(
                at_ms=self._clock.now_ms(),
                server_id=dispatch.server_id,
                incarnation=dispatch.stamp.incarnation
                if dispatch.stamp
                else "",
                what=error.what,
                size_bytes=error.size_bytes,
            )
        )

    async def _read_generation(
        self,
        dispatch: effects.Dispatch,
        response: aiohttp.ClientResponse,
        sink: protocol.AttemptSink,
    ) -> None:
        headers = response.headers
        stamp = work.Stamp(
            workspace=headers.get("x-workspace", ""),
            target=headers.get("x-model", ""),
            weights_version=headers.get("x-weights-version", ""),
            incarnation=headers.get("x-incarnation", ""),
        )
        stream_id = headers.get("x-stream-id", "")
        is_stream = headers.get("content-type", "").startswith(
            "text/event-stream"
        )
        if is_stream:
            sink.opened(stream_id, stamp)
        if "x-prompt-tokens" in headers and not dispatch.resume_stream:
            sink.usage(
                prompt=digits.parse(headers["x-prompt-tokens"]) or 0,
                cached=digits.parse(headers.get("x-cached-tokens", "")) or 0,
                generated=0,
            )
        if not is_stream:
            answer = await _read_answer(response, sink)
            sink.answer(stream_id, answer, stamp)
            return
        await _read_frames(dispatch, response, sink)

    async def _control(
        self,
        step: str,
        address: str,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout: aiohttp.ClientTimeout | None = None,
        session: aiohttp.ClientSession | None = None,
    ) -> Result[bytes, protocol.BackendError]:
        try:
            async with (session or self._fresh).request(
                method,
                f"http://{address}{path}",
                data=body,
                timeout=timeout or self._control_timeout,
                allow_redirects=False,
            ) as response:
                data = await bounded_client.read_body(response)
                if response.status != 200:
                    return protocol.failed_call(
                        step, address, f"status {response.status}"
                    )
                return Ok(data)
        except TimeoutError:
            return protocol.failed_call(step, address, "no answer in time")
        except aiohttp.ClientConnectorError as error:
            is_refused = _connect_cause(error) is inputs.FailureCause.ENDED
            return protocol.failed_call(
                step, address, str(error), connection_refused=is_refused
            )
        except (
            aiohttp.ClientError,
            reply_limits.EndlessReplyError,
            OSError,
        ) as error:
            detail = str(error) or type(error).__name__
            return protocol.failed_call(
                step, address, detail, connection_broken=True
            )


def _connect_cause(
    error: aiohttp.ClientConnectorError,
) -> inputs.FailureCause:
    if isinstance(error.os_error, ConnectionRefusedError):
        return inputs.FailureCause.ENDED
    return inputs.FailureCause.BROKEN


def _parse(
    address: str, step: str, parse: Callable[[bytes], _Parsed], data: bytes
) -> Result[_Parsed, protocol.BackendError]:
    try:
        return Ok(parse(data))
    except pydantic.ValidationError as error:
        return protocol.failed_call(
            step, address, str(error.errors()[0]["msg"])
        )


class _SendOnce:
    """Stops aiohttp from sending one attempt a second time.

    aiohttp retries PUT and DELETE on its own when the connection breaks
    before the answer. A DELETE that releases a resource would release it
    twice, and no record here would show it. aiohttp calls its middlewares for
    each try, so that this one can fail the second.
    """

    def __init__(self) -> None:
        self._sent = False

    async def __call__(
        self,
        request: aiohttp.ClientRequest,
        handler: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        if self._sent:
            raise aiohttp.ClientError("the connection broke before the answer")
        self._sent = True
        return await handler(request)


async def _read_frames(
    dispatch: effects.Dispatch,
    response: aiohttp.ClientResponse,
    sink: protocol.AttemptSink,
) -> None:
    reader = sse.FrameReader(after=dispatch.after)
    async for data in response.content.iter_any():
        frames = reader.feed(data)
        if not frames:
            continue
        await sink.frames(frames)
        if frames[-1].terminal:
            return
    # The connection was closed cleanly, but the stream's last frame is
    # missing, so the stream must not pass for complete.
    sink.failed(
        inputs.FailurePhase.SENT,
        inputs.FailureCause.BROKEN,
        "the connection closed before the last frame",
    )


def _is_refusal(
    response: aiohttp.ClientResponse,
    dispatch: effects.Dispatch,
    sink: protocol.AttemptSink,
) -> bool:
    """Reports an engine's refusal to `sink`; returns False for an answer."""
    if dispatch.resume_stream:
        is_gone = response.status in GONE_STATUSES
        cause = (
            inputs.FailureCause.STREAM_GONE
            if is_gone
            else inputs.FailureCause.BROKEN
        )
    elif response.status in REFUSED_STATUSES:
        cause = inputs.FailureCause.REFUSED
    elif response.status >= 500:
        cause = inputs.FailureCause.BROKEN
    else:
        return False
    sink.failed(inputs.FailurePhase.SENT, cause, f"status {response.status}")
    return True


async def _read_answer(
    response: aiohttp.ClientResponse, sink: protocol.AttemptSink
) -> work.Answer:
    _check_head(response)
    body = await bounded_client.read_body(response, make_room=sink.make_room)
    _check_length(response, len(body))
    headers = tuple(
        work.Header(name, value)
        for name, value in response.headers.items()
        if _is_end_to_end(name, response.headers.get("connection", ""))
    )
    return work.Answer(
        response.status,
        headers,
        body,
        is_delimited=_is_delimited(response),
    )


def _check_head(response: aiohttp.ClientResponse) -> None:
    """Raises ClientPayloadError for a head that frames no answer."""
    if response.status < MIN_FINAL_STATUS:
        raise aiohttp.ClientPayloadError(f"status {response.status}")
    for coding in response.headers.getall("transfer-encoding", []):
        # Any other coding ends with the connection, and its name would not be
        # forwarded.
        if coding.strip().lower() != "chunked":
            raise aiohttp.ClientPayloadError(
                f"unsupported transfer coding {coding[:100]!r}"
            )


def _check_length(response: aiohttp.ClientResponse, size: int) -> None:
    """Raises ClientPayloadError if a body is not as long as stated.

    aiohttp takes a length of 2**64 - 1 for none, and returns an empty body.
    """
    length = response.headers.get("content-length", "")
    has_body = (
        response.method != "HEAD"
        and response.status not in STATUSES_WITHOUT_BODY
    )
    if length and has_body and (length.strip().lstrip("0") or "0") != str(size):
        raise aiohttp.ClientPayloadError(
            f"{size} bytes instead of {length[:100]}"
        )


def _is_delimited(response: aiohttp.ClientResponse) -> bool:
    """Returns whether a server marks the end of its answer."""
    return (
        response.status in STATUSES_WITHOUT_BODY
        or "content-length" in response.headers
        or "transfer-encoding" in response.headers
    )


def _is_end_to_end(name: str, connection: str) -> bool:
    lower = name.lower()
    excluded = {part.strip().lower() for part in connection.split(",")}
    # The daemon sets these itself in its answer to the caller.
    is_regenerated = lower in headers.REGENERATED
    return (
        lower not in headers.HOP_BY_HOP
        and lower not in excluded
        and not is_regenerated
    )


def _headers(
    dispatch: effects.Dispatch, call: protocol.Call
) -> list[tuple[str, str]]:
    headers = [(header.name, header.value) for header in call.headers]
    if dispatch.stamp is None:
        return headers
    headers.append(("x-workspace", dispatch.stamp.workspace))
    headers.append(("x-weights-version", dispatch.stamp.weights_version))
    headers.append(("x-incarnation", dispatch.stamp.incarnation))
    headers.append(("x-stream-id", dispatch.attempt_id))
    headers.append(("x-priority", str(dispatch.priority)))
    if dispatch.resume_stream:
        headers.append(("last-event-id", str(dispatch.after)))
    return headers


def _stream_path(stream_id: str) -> str:
    return f"/v1/streams/{stream_id}"


__all__ = ["HttpBackend"]
