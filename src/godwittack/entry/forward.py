"""Serves callers whose requests are forwarded to servers unchanged."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING, Protocol

from aiohttp import web
from result import Err

from godwittack.core import confirming, effects, inputs, stopping
from godwittack.entry import (
    bodies,
    connection_timeouts,
    delimiting,
    parse,
    reservations,
)
from godwittack.table import forwarding

if TYPE_CHECKING:
    from result import Result

    from godwittack.backend import protocol as backend
    from godwittack.config import settings as configs
    from godwittack.core import work
    from godwittack.daemon import caller as callers
    from godwittack.daemon import runtime as runtimes
    from godwittack.table import model

STATUS_HEADERS_TOO_LARGE = 431
STATUS_BODY_TOO_LARGE = 413


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A request as the core sees it, and as it is forwarded."""

    work: work.Work
    call: backend.Call

    def with_body(self, body: bytes) -> ParsedRequest:
        """Returns the request with the body that was read for it."""
        return ParsedRequest(
            dataclasses.replace(self.work, body_bytes=len(body)),
            dataclasses.replace(self.call, body=body),
        )


class CallerFormat(Protocol):
    """Format of callers' requests and of responses to them."""

    def parse_request(
        self, request: web.BaseRequest, table: model.Table
    ) -> Result[ParsedRequest, str]:
        """Parses a request's head, or returns what is wrong with it."""

    def refusal_response(
        self, refusal: effects.Refuse, call: backend.Call
    ) -> web.Response:
        """Returns the response to a request that the core refused."""

    def error_response(self, detail: str, *, status: int) -> web.Response:
        """Returns the response to a request that could not be parsed."""


class ForwardHandler:
    """HTTP handler for callers' requests."""

    def __init__(
        self,
        *,
        runtime: runtimes.Runtime,
        settings: configs.Settings,
        caller_format: CallerFormat,
        body_reader: bodies.BodyReader,
    ) -> None:
        """Submits requests parsed by `caller_format` to `runtime`."""
        self._runtime = runtime
        self._settings = settings
        self._format = caller_format
        self._bodies = body_reader

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one request."""
        table = self._runtime.core.world.table
        limits = forwarding.CallerLimits()
        if table.forwarding is not None:
            limits = table.forwarding.limits
        head_bytes = _header_bytes(request)
        is_too_long = head_bytes > limits.header_bytes
        parsed = self._format.parse_request(request, table)
        if is_too_long and (isinstance(parsed, Err) or self._are_limits_known):
            return self._error_and_close(
                f"the headers are longer than {limits.header_bytes} bytes",
                status=STATUS_HEADERS_TOO_LARGE,
            )
        if isinstance(parsed, Err):
            error = self._format.error_response(parsed.err_value, status=400)
            return self._respond_unread(request, error)
        if is_too_long:
            return self._refuse_by_old_limits(request, parsed.ok_value.call)
        if connection_timeouts.must_refuse(request):
            return self._refuse_unread(
                request,
                parsed.ok_value.call,
                stopping.refusal(parsed.ok_value.call.request_id),
            )
        read = await self._bodies.read(
            request,
            max_bytes=limits.body_bytes,
            timeout_ms=self._settings.body_timeout_ms,
            head_bytes=head_bytes,
            deadline_ms=parsed.ok_value.work.deadline_ms,
        )
        if isinstance(read, Err):
            return self._refuse_body(
                request, parsed.ok_value.call, read.err_value
            )
        body, reservation = read.ok_value
        if connection_timeouts.must_refuse(request) and _is_stream(
            parsed.ok_value.work, table
        ):
            # It would be cut if it lasted until the process must end.
            reservation.release()
            return self._refuse_unread(
                request,
                parsed.ok_value.call,
                stopping.refusal(parsed.ok_value.call.request_id),
            )
        return await self._serve(
            request, parsed.ok_value.with_body(body), reservation
        )

    async def _serve(
        self,
        request: web.BaseRequest,
        parsed: ParsedRequest,
        reservation: reservations.Reservation,
    ) -> web.StreamResponse:
        requested_work, call = parsed.work, parsed.call
        fingerprint = parse.fingerprint(
            call.method, requested_work.host + call.path, call.body
        )
        requested_work = dataclasses.replace(
            requested_work, fingerprint=fingerprint
        )
        request_id = self._runtime.next_request_id(call.request_id)
        caller = self._runtime.open_caller(request_id, call, reservation)
        try:
            self._runtime.submit(
                inputs.RequestArrived(
                    self._runtime.clock.now_ms(),
                    request_id,
                    requested_work,
                    connection_timeouts.waited_ms(request),
                )
            )
            return await self._deliver(request, caller)
        except TimeoutError:
            # The caller stopped reading for too long; its buffers are freed.
            self._submit_caller_gone(request_id)
            _abort(request)
            raise
        except BaseException:
            self._submit_caller_gone(request_id)
            raise
        finally:
            self._runtime.close_caller(request_id, caller)

    async def _deliver(
        self, request: web.BaseRequest, caller: callers.Caller
    ) -> web.StreamResponse:
        match await caller.get():
            case effects.Refuse() as refusal:
                return self._format.refusal_response(refusal, caller.call)
            case effects.Reply() as reply:
                return await delimiting.send_answer(
                    request,
                    reply.answer,
                    piece_timeout_ms=self._settings.slow_caller_ms,
                )
            case effects.BeginStream(head=head) if head is not None:
                return await self._relay_stream(request, head, caller)
            case other:
                raise RuntimeError(
                    f"unexpected first effect of a response: {other}"
                )

    async def _relay_stream(
        self,
        request: web.BaseRequest,
        head: work.Head,
        caller: callers.Caller,
    ) -> web.StreamResponse:
        response = delimiting.stream_response(
            request, head.status, is_delimited=head.is_delimited
        )
        for header in head.headers:
            response.headers.add(header.name, header.value)
        if connection_timeouts.must_close(request):
            response.force_close()
        await response.prepare(request)
        while True:
            match await caller.get():
                case effects.Relay() as relay:
                    data = b"".join(frame.data for frame in relay.frames)
                    if not data:
                        continue
                    async with asyncio.timeout(
                        self._settings.slow_caller_ms / 1000
                    ):
                        await response.write(data)
                case effects.EndStream():
                    await delimiting.end(response)
                    return response
                case effects.BreakStream():
                    # Without the mark of its end, or with a reset connection,
                    # a truncated stream doesn't look complete.
                    response.force_close()
                    _close(request)
                    return response

    def _submit_caller_gone(self, request_id: str) -> None:
        self._runtime.submit(
            inputs.CallerGone(self._runtime.clock.now_ms(), request_id)
        )

    def _refuse_body(
        self,
        request: web.BaseRequest,
        call: backend.Call,
        error: reservations.BodyError,
    ) -> web.Response:
        """Answers a request whose body could not be read."""
        if error.status == STATUS_BODY_TOO_LARGE and (
            not self._are_limits_known
        ):
            return self._refuse_by_old_limits(request, call)
        if not error.retry_after_ms:
            return self._error_and_close(error.detail, status=error.status)
        return self._refuse_unread(
            request, call, error.refusal(call.request_id)
        )

    @property
    def _are_limits_known(self) -> bool:
        """Whether the limits are recent enough to refuse by them for good."""
        world = self._runtime.core.world
        return confirming.limits_refusal(world, "") is None

    def _refuse_by_old_limits(
        self, request: web.BaseRequest, call: backend.Call
    ) -> web.Response:
        refusal = confirming.limits_refusal(
            self._runtime.core.world, call.request_id
        )
        assert refusal is not None
        return self._refuse_unread(request, call, refusal)

    def _refuse_unread(
        self,
        request: web.BaseRequest,
        call: backend.Call,
        refusal: effects.Refuse,
    ) -> web.Response:
        """Refuses a request whose body was not read."""
        self._runtime.record_event(
            effects.Event(
                "refused",
                call.request_id,
                (
                    effects.Field("reason", refusal.reason.value),
                    effects.Field("outcome", refusal.outcome.value),
                    effects.Field("status", refusal.status),
                    effects.Field("detail", refusal.detail),
                    effects.Field("waiting", self._bodies.memory.waiting),
                    effects.Field("retry_after_ms", refusal.retry_after_ms),
                ),
            )
        )
        response = self._format.refusal_response(refusal, call)
        return self._respond_unread(request, response)

    def _respond_unread(
        self, request: web.BaseRequest, response: web.Response
    ) -> web.Response:
        if connection_timeouts.must_close(request):
            response.force_close()
        return response

    def _error_and_close(self, detail: str, *, status: int) -> web.Response:
        response = self._format.error_response(detail, status=status)
        response.force_close()
        return response


def _header_bytes(request: web.BaseRequest) -> int:
    return sum(len(n) + len(v) + 4 for n, v in request.raw_headers)


def _is_stream(requested: work.Work, table: model.Table) -> bool:
    """Returns whether a request's route streams."""
    if table.forwarding is None:
        return False
    route = table.forwarding.match(requested.host, requested.path)
    return route is not None and route.streaming


def _close(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.close()


def _abort(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()


__all__ = ["CallerFormat", "ForwardHandler", "ParsedRequest"]
