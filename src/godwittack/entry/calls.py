"""Serves callers: generations, service calls and resumed streams."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from aiohttp import web
from result import Err

from godwittack.backend import headers as backend_headers
from godwittack.backend import protocol as backend
from godwittack.core import effects, inputs, stopping, work
from godwittack.entry import (
    bodies,
    connection_timeouts,
    delimiting,
    parse,
    refusal,
    reservations,
    token,
)

if TYPE_CHECKING:
    from godwittack.config import settings as configs
    from godwittack.daemon import caller as callers
    from godwittack.daemon import runtime as runtimes

RESUME_HEADER = "x-resume-token"
BUSY_RETRY_AFTER_S = 1


@dataclasses.dataclass(slots=True)
class CallHandlers:
    """HTTP handlers for callers."""

    runtime: runtimes.Runtime
    settings: configs.Settings
    signer: token.TokenSigner
    body_reader: bodies.BodyReader
    _bodies_arriving: int = 0

    async def generate(self, request: web.Request) -> web.StreamResponse:
        """Serves `/v1/chat/completions` and `/v1/completions`."""
        read = await self._read_body(request)
        if isinstance(read, web.Response):
            return read
        body, reservation = read
        digest = parse.bearer_digest(request)
        workspace = self._workspace_for(digest)
        parsed = parse.parse_generation(request, body, workspace=workspace)
        if isinstance(parsed, Err):
            reservation.release()
            return refusal.error_response(parsed.err_value)
        headers = (
            *parse.forwarded_headers(request),
            parse.level_header(parsed.ok_value),
        )
        call = backend.Call(
            method="POST", path=request.path, headers=headers, body=body
        )
        return await self._serve(request, parsed.ok_value, call, reservation)

    async def call_service(self, request: web.Request) -> web.StreamResponse:
        """Serves `/svc/{service}/...`."""
        read = await self._read_body(request)
        if isinstance(read, web.Response):
            return read
        body, reservation = read
        service = request.match_info["service"]
        # The path is forwarded as received: decoding and re-encoding it could
        # change which resource it identifies.
        path = request.raw_path[len(f"/svc/{service}") :] or "/"
        parsed = parse.parse_service_call(
            request, body, service=service, path=path
        )
        if isinstance(parsed, Err):
            reservation.release()
            return refusal.error_response(parsed.err_value)
        call = backend.Call(
            method=request.method,
            path=path,
            headers=parse.forwarded_headers(request),
            body=body,
        )
        return await self._serve(request, parsed.ok_value, call, reservation)

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Serves `/v1/resume`: the rest of a stream started on any daemon."""
        if connection_timeouts.must_refuse(request):
            return self._refuse_stopping(request)
        resume_point = self.signer.verify(
            request.headers.get(RESUME_HEADER, "")
        )
        after = backend_headers.parse_number(
            request.headers.get("last-event-id", "0")
        )
        if resume_point is None or after is None:
            return refusal.error_response(
                "send X-Resume-Token as received, and Last-Event-ID",
                status=403,
                reason=effects.Reason.BAD_RESUME.value,
            )
        reservation = self.body_reader.memory.try_reserve(
            0, connection_timeouts.holder_of(request)
        )
        if reservation is None:
            return self._busy_response("there is no memory for the stream")
        call = backend.Call(method="GET", path="/", headers=(), body=b"")
        request_id = self.runtime.next_request_id()
        caller = self.runtime.open_caller(request_id, call, reservation)
        self.runtime.submit(
            inputs.StreamResumed(
                at_ms=self.runtime.clock.now_ms(),
                request_id=request_id,
                token_sha256=parse.bearer_digest(request),
                server_id=resume_point.server_id,
                stream_id=resume_point.stream_id,
                stamp=resume_point.stamp,
                after=after,
            )
        )
        return await self._respond(request, request_id, caller)

    async def _serve(
        self,
        request: web.Request,
        requested_work: work.Work,
        call: backend.Call,
        reservation: reservations.Reservation,
    ) -> web.StreamResponse:
        request_id = self.runtime.next_request_id()
        caller = self.runtime.open_caller(request_id, call, reservation)
        self.runtime.submit(
            inputs.RequestArrived(
                self.runtime.clock.now_ms(), request_id, requested_work
            )
        )
        return await self._respond(request, request_id, caller)

    async def _respond(
        self,
        request: web.Request,
        request_id: str,
        caller: callers.Caller,
    ) -> web.StreamResponse:
        echoed_id = request.headers.get("x-request-id", "") or request_id
        try:
            return await self._deliver(request, echoed_id, caller)
        except (asyncio.CancelledError, ConnectionResetError):
            self._submit_caller_gone(request_id)
            raise
        except TimeoutError:
            # The caller stopped reading for too long. It can resume later; an
            # open connection would keep its buffers allocated.
            self._submit_caller_gone(request_id)
            if request.transport is not None:
                request.transport.abort()
            raise
        finally:
            self.runtime.close_caller(request_id, caller)

    def _submit_caller_gone(self, request_id: str) -> None:
        self.runtime.submit(
            inputs.CallerGone(self.runtime.clock.now_ms(), request_id)
        )

    async def _deliver(
        self, request: web.Request, echoed_id: str, caller: callers.Caller
    ) -> web.StreamResponse:
        first = await caller.get()
        match first:
            case effects.Refuse():
                return refusal.refusal_response(first, echoed_id=echoed_id)
            case effects.Reply():
                return await delimiting.send_answer(
                    request,
                    first.answer,
                    _headers(first, echoed_id),
                    piece_timeout_ms=self.settings.slow_caller_ms,
                )
            case effects.BeginStream():
                return await self._relay_stream(
                    request, echoed_id, first, caller
                )
            case _:
                raise RuntimeError(
                    f"unexpected first effect of a response: {first}"
                )

    async def _relay_stream(
        self,
        request: web.Request,
        echoed_id: str,
        start: effects.BeginStream,
        caller: callers.Caller,
    ) -> web.StreamResponse:
        # Without routes, only engines stream.
        assert start.stamp is not None
        resume_point = token.ResumePoint(
            start.server_id, start.stream_id, start.stamp
        )
        headers = {
            "content-type": "text/event-stream",
            "cache-control": "no-cache",
            "x-request-id": echoed_id,
            RESUME_HEADER: self.signer.sign(resume_point),
        }
        if start.late:
            headers["x-late"] = "true"
        response = web.StreamResponse(headers=headers)
        if connection_timeouts.must_close(request):
            response.force_close()
        await response.prepare(request)
        while True:
            match await caller.get():
                case effects.Relay() as relay:
                    data = b"".join(frame.data for frame in relay.frames)
                    async with asyncio.timeout(
                        self.settings.slow_caller_ms / 1000
                    ):
                        await response.write(data)
                case effects.BreakStream() as failure:
                    await response.write(refusal.error_event(failure))
                    # A clean close would make the stream look complete to a
                    # caller that does not read the error event.
                    if request.transport is not None:
                        response.force_close()
                        request.transport.close()
                    return response
                case effects.EndStream():
                    await response.write_eof()
                    return response

    async def _read_body(
        self, request: web.Request
    ) -> tuple[bytes, reservations.Reservation] | web.Response:
        if connection_timeouts.must_refuse(request):
            return self._refuse_stopping(request)
        if self._bodies_arriving >= self.settings.max_bodies_arriving:
            return self._respond_unread(
                request, self._busy_response("too many requests are arriving")
            )
        self._bodies_arriving += 1
        try:
            read = await self.body_reader.read(
                request,
                max_bytes=self.settings.max_body_bytes,
                timeout_ms=self.settings.body_timeout_ms,
            )
        finally:
            self._bodies_arriving -= 1
        if not isinstance(read, Err):
            return read.ok_value
        error = read.err_value
        if error.retry_after_ms:
            return self._respond_unread(
                request,
                refusal.refusal_response(
                    error.refusal(""),
                    echoed_id=request.headers.get("x-request-id", ""),
                ),
            )
        response = refusal.error_response(
            error.detail, status=error.status, reason="bad_body"
        )
        response.force_close()
        return response

    def _busy_response(self, detail: str) -> web.Response:
        response = refusal.error_response(detail, status=503, reason="busy")
        response.headers["retry-after"] = str(BUSY_RETRY_AFTER_S)
        return response

    def _refuse_stopping(self, request: web.Request) -> web.Response:
        """Refuses a request that came after the daemon stopped listening."""
        request_id = self.runtime.next_request_id()
        refused = stopping.refusal(request_id)
        self.runtime.record_event(
            effects.Event(
                "refused",
                request_id,
                (
                    effects.Field("reason", refused.reason.value),
                    effects.Field("outcome", refused.outcome.value),
                    effects.Field("status", refused.status),
                    effects.Field("retry_after_ms", refused.retry_after_ms),
                ),
            )
        )
        echoed_id = request.headers.get("x-request-id", "") or request_id
        return self._respond_unread(
            request, refusal.refusal_response(refused, echoed_id=echoed_id)
        )

    def _respond_unread(
        self, request: web.Request, response: web.Response
    ) -> web.Response:
        """Answers a request whose body was not read."""
        if connection_timeouts.must_close(request):
            response.force_close()
        return response

    def _workspace_for(self, token_digest: str) -> str:
        table = self.runtime.core.world.table
        return table.workspace_by_token.get(token_digest, "")


def _headers(reply: effects.Reply, echoed_id: str) -> dict[str, str]:
    """Returns the headers of this daemon in a response."""
    headers = {"x-request-id": echoed_id}
    if reply.late:
        headers["x-late"] = "true"
    if reply.replayed:
        headers["x-replayed"] = "true"
    return headers


__all__ = ["CallHandlers"]
