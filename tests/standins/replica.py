"""Stand-in for a backend server of the platform, engine or plain server."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import time
from typing import TYPE_CHECKING

from aiohttp import web

from standins import endings, endless, torn

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

LONG_EVENT_BYTES = 4_000
HEADER_PREFIX = "X-Godwittack-"
CONTROL_PATHS = ("/report", "/kv-events")


@dataclasses.dataclass
class ReplicaFaults:
    """Faults of the server.

    Attributes:
        full: Whether it declines every request.
        declined_share: Share of the requests that it declines.
        cut_after: Number of events after which streams are cut; -1 for never.
        silent: Whether it accepts requests and never answers.
        lose_answers: Whether connections break after their requests have run.
        lose_orders: Whether orders are executed and not answered.
        rest_s: Rest requested with each declined request; 0 for none.
        ending: How answers are framed and broken off; None for whole answers
            with chunks or a length.
        endless: What it answers requests with, without an end; None for whole
            answers.
        endless_reports: The same for calls for reports and cache events.
        torn: How answers are broken off inside their heads; None for never.
        torn_control: The same for reports, cache events and orders.
    """

    full: bool = False
    declined_share: float = 0.0
    cut_after: int = -1
    silent: bool = False
    lose_answers: bool = False
    lose_orders: bool = False
    rest_s: float = 0.0
    ending: endings.Ending | None = None
    endless: endless.Endless | None = None
    endless_reports: endless.Endless | None = None
    torn: torn.Torn | None = None
    torn_control: torn.Torn | None = None


@dataclasses.dataclass(frozen=True)
class PartFault:
    """A part of prompts on which an engine crashes when it begins an answer.

    Attributes:
        part: Name of the part; it does no harm as the last one.
        share: Share of the answers on which the engine crashes.
        after: Events written before the crash.
        delay_s: Time from the last of them to the crash.
    """

    part: str
    share: float = 1.0
    after: int = 1
    delay_s: float = 0.02

    def hits(self, headers: Mapping[str, str]) -> bool:
        """Returns whether the engine crashes on a request."""
        entries = headers.get(HEADER_PREFIX + "Prefix-Hash", "").split(",")
        parts = [entry.strip().partition(":")[0] for entry in entries]
        return self.part in parts[:-1] and random.random() < self.share


@dataclasses.dataclass
class Execution:
    """One request that was executed."""

    request_id: str
    workspace: str
    version: str
    scope: str
    path: str
    body: bytes
    headers: dict[str, str]
    at_s: float = dataclasses.field(default_factory=time.monotonic)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request as it arrived, declined or not."""

    request_id: str
    deadline_ms: int
    body: bytes
    at_s: float


@dataclasses.dataclass(frozen=True)
class Rest:
    """A request that was declined with Retry-After."""

    request_id: str
    at_s: float
    rest_s: float


def _reversed(body: bytes) -> bytes:
    return body[::-1] or b"empty"


class Replica:
    """One backend server; engines have a model."""

    def __init__(
        self, instance: str, *, model: str = "", events: int = 5
    ) -> None:
        self.instance = instance
        self.model = model
        # Whether it answers with streams.
        self.streams = bool(model)
        self.port = 0
        self.version = 1
        # Version of its software, as its row has it.
        self.software = "v1"
        self.faults = ReplicaFaults()
        self.ran: list[Execution] = []
        self.arrivals: list[Arrival] = []
        self.rests: list[Rest] = []
        self.orders: list[dict] = []
        # Times of calls for cache events.
        self.event_calls_s: list[float] = []
        self.cancelled: list[str] = []
        self.event_gap_s = 0.01
        # Request body that crashes the server; empty for none.
        self.crashes_on = b""
        # Part of prompts that crashes the engine; None for none.
        self.part_fault: PartFault | None = None
        self.has_crashed = False
        # Value of the Server-Limit header; empty for none.
        self.limit_header = ""
        # Rejections in a second, for want of room, from which the server falls
        # over; -1 if it is not brittle. Nothing waits while it is.
        self.brittle = -1
        self.slots = 16
        self.queue = 16
        self.work_s = 0.02
        # How long a request runs, by its id; None for `work_s` and
        # `event_gap_s`.
        self.work_s_by_request: Callable[[str], float] | None = None
        # Answers a plain call, by its body.
        self.answer_to: Callable[[bytes], bytes] = _reversed
        # Length of the answers to requests whose ids begin with this prefix.
        self.long_answer_prefix = ""
        self.long_answer_bytes = 0
        self.running = 0
        self.waiting = 0
        self.rejected_s: list[float] = []
        self.falls_s: list[float] = []
        # Until when it sends nothing; it still accepts connections and bytes.
        self.silent_until_s = 0.0
        # Whether all its answers have the Server-Leaving header.
        self.is_leaving = False
        self.event_count = events
        # Whether each event names the version that wrote it.
        self.signs_events = False
        self._sequence = 0
        self._busy = False
        self._highest_fencing = 0
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None

    async def start(self, port: int) -> None:
        """Starts listening on a loopback port."""
        self.port = port
        server = web.Server(self._serve, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, "127.0.0.1", port)
        await self._site.start()

    async def stop(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def restart(self) -> None:
        """Restarts after a crash, at the same address and under the same id."""
        await self._runner.cleanup()
        self.has_crashed = False
        self.running = self.waiting = 0
        await self.start(self.port)

    async def crash(self) -> None:
        """Ends the process as a crash does."""
        await self._crash()

    async def _crash(self) -> None:
        """Simulates the end of the process: closes listener and connections."""
        if self.has_crashed:
            return
        self.has_crashed = True
        await self._site.stop()
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    def fall_silent(self, for_s: float) -> None:
        """Sends nothing for a time, as a process that is paused."""
        self.silent_until_s = time.monotonic() + for_s

    async def _outlast_silence(self) -> None:
        while (left_s := self.silent_until_s - time.monotonic()) > 0:
            await asyncio.sleep(left_s)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        await self._outlast_silence()
        response = await self._respond(request)
        await self._outlast_silence()
        return response

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.faults.endless_reports and request.path in CONTROL_PATHS:
            await self.faults.endless_reports.send(request.transport, "")
            return web.Response()
        match request.path:
            case "/report":
                response = self._report()
            case "/order":
                response = await self._order(request)
            case "/kv-events":
                self.event_calls_s.append(time.monotonic())
                await asyncio.sleep(0.2)
                response = web.json_response(
                    {"boot-epoch": 1, "next": 0, "lost": False, "events": []}
                )
            case _:
                return await self._request(request)
        response.headers.update(self._state_headers())
        if self.faults.torn_control is not None:
            await self._tear_control(
                self.faults.torn_control, request, response
            )
        return response

    async def _tear_control(
        self,
        fault: torn.Torn,
        request: web.BaseRequest,
        response: web.Response,
    ) -> None:
        """Sends the answer to a call for control past aiohttp."""
        await fault.send(
            request.transport,
            f"HTTP/1.1 {response.status} {response.reason}",
            response.headers,
            bytes(response.body or b""),
            is_torn=fault.begin_run(f"{self.instance} {request.path}"),
        )

    def _state_headers(self) -> dict[str, str]:
        """Returns the headers of the server's state, sent with all answers."""
        headers = {"Server-Leaving": "1"} if self.is_leaving else {}
        if self.brittle >= 0:
            headers["Server-Brittle"] = str(self.brittle)
        return headers

    async def _take_slot(self) -> bool:
        """Waits for a slot; returns False if too many requests wait."""
        if self.running < self.slots:
            self.running += 1
            return True
        if self.waiting >= (0 if self.brittle >= 0 else self.queue):
            return False
        self.waiting += 1
        try:
            while self.running >= self.slots:
                await asyncio.sleep(0.002)
        finally:
            self.waiting -= 1
        self.running += 1
        return True

    async def _reject(self) -> None:
        """Counts a rejection for want of room; too many end the server."""
        now_s = time.monotonic()
        self.rejected_s.append(now_s)
        recent = [at_s for at_s in self.rejected_s if now_s - at_s < 1.0]
        if 0 <= self.brittle < len(recent):
            self.rejected_s = []
            self.falls_s.append(now_s)
            await self._crash()

    def _report(self) -> web.Response:
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return web.json_response(
            {
                "stage": "prefill_decode",
                "models": models if self.model else [],
                "busy": self._busy,
                "sequence": self._sequence,
                "queue-depth": self.waiting,
                "running": self.running,
            }
        )

    async def _order(self, request: web.BaseRequest) -> web.Response:
        order = json.loads(await request.read())
        if order["fencing-token"] < self._highest_fencing:
            return web.Response(status=412)
        expected = order.get("precondition", self._sequence)
        if self._busy or expected != self._sequence:
            return web.Response(status=409)
        self._highest_fencing = order["fencing-token"]
        self.orders.append(order)
        self._sequence += 1
        self._busy = True
        asyncio.get_running_loop().call_later(
            0.2, self._finish_load, order["version"]
        )
        if self.faults.lose_orders:
            await asyncio.sleep(3_600)
        return web.Response(status=202)

    def _finish_load(self, version: int) -> None:
        self.version = version
        self._busy = False

    async def _request(self, request: web.BaseRequest) -> web.StreamResponse:
        # Not limited to a megabyte, as `request.read` is.
        body = await request.content.read()
        request_id = request.headers.get(HEADER_PREFIX + "Request-Id", "")
        deadline_ms = int(
            request.headers.get(HEADER_PREFIX + "Deadline-Ms", "-1")
        )
        arrived_at_s = time.monotonic()
        self.arrivals.append(
            Arrival(request_id, deadline_ms, body, arrived_at_s)
        )
        load = f"{self.running},{self.waiting},{self.slots}"
        headers = {
            HEADER_PREFIX + "Request-Id": request_id,
            HEADER_PREFIX + "Server-Load": load,
        }
        headers.update(self._state_headers())
        if self.limit_header:
            headers[HEADER_PREFIX + "Server-Limit"] = self.limit_header
        if (
            request.headers.get(HEADER_PREFIX + "Expect-Instance")
            != self.instance
        ):
            headers[HEADER_PREFIX + "Instance-Id"] = self.instance
            return web.Response(status=421, headers=headers)
        expected = request.headers.get(HEADER_PREFIX + "Expect-Version")
        if expected and int(expected) != self.version:
            return web.Response(status=421, headers=headers)
        is_declined = random.random() < self.faults.declined_share
        if self.faults.full or self._busy or is_declined:
            headers[HEADER_PREFIX + "Not-Executed"] = "1"
            if self.faults.rest_s:
                headers["Retry-After"] = f"{self.faults.rest_s:g}"
                self.rests.append(
                    Rest(request_id, arrived_at_s, self.faults.rest_s)
                )
            return web.Response(status=503, headers=headers)
        if not await self._take_slot():
            await self._reject()
            headers[HEADER_PREFIX + "Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        try:
            return await self._execute(request, body, request_id, headers)
        finally:
            self.running -= 1

    async def _execute(
        self,
        request: web.BaseRequest,
        body: bytes,
        request_id: str,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        self.ran.append(
            Execution(
                request_id,
                request.headers.get(HEADER_PREFIX + "Tenant", ""),
                str(self.version),
                request.headers.get(HEADER_PREFIX + "Cache-Salt", ""),
                request.raw_path,
                body,
                {k.lower(): v for k, v in request.headers.items()},
            )
        )
        if self.crashes_on and body == self.crashes_on:
            await self._crash()
            await asyncio.sleep(3_600)
        headers[HEADER_PREFIX + "Response-Signature"] = (
            f"sig.{self.instance}.{request_id}"
        )
        try:
            if self.faults.silent:
                await asyncio.sleep(3_600)
            if self.faults.endless is not None:
                await self.faults.endless.send(request.transport, request_id)
                return web.Response()
            if self.faults.lose_answers:
                request.transport.abort()
                return web.Response(headers=headers)
            if self.part_fault and self.part_fault.hits(request.headers):
                return await self._crash_on_part(request, headers)
            if self.faults.ending is not None:
                await self._end(self.faults.ending, request, body, headers)
                return web.Response(headers=headers)
            if self.faults.torn is not None:
                await self._tear(self.faults.torn, request, body, headers)
                return web.Response(headers=headers)
            prefix = self.long_answer_prefix
            if prefix and request_id.startswith(prefix):
                return await self._answer_long(request, headers)
            if self.streams:
                return await self._stream(request, headers)
            if self.work_s_by_request is None:
                await asyncio.sleep(self.work_s)
            else:
                await asyncio.sleep(self.work_s_by_request(request_id))
            return web.Response(body=self.answer_to(body), headers=headers)
        except (asyncio.CancelledError, ConnectionError):
            self.cancelled.append(request_id)
            raise

    async def _answer_long(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Answers with many bytes, as fast as they are read."""
        if not self.streams:
            body = b"p" * self.long_answer_bytes
            return web.Response(body=body, headers=headers)
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        for number in range(1, self.long_answer_bytes // LONG_EVENT_BYTES):
            data = b"x" * LONG_EVENT_BYTES
            await response.write(b"id: %d\ndata: %s\n\n" % (number, data))
        await response.write_eof()
        return response

    async def _crash_on_part(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Crashes after the first events of an answer.

        Where answers have no mark of their end, the connection is closed in
        order between two events, and the process ends then.
        """
        fault = self.part_fault
        assert fault is not None
        framing = endings.Framing.CHUNKED
        if self.faults.ending is not None:
            framing = self.faults.ending.framing
        ending = endings.Ending(framing, endings.Cut.BETWEEN, after=fault.after)
        if framing is endings.Framing.CLOSE:
            await self._end(ending, request, b"", headers)
            await self._crash()
            return web.Response(headers=headers)
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        if fault.after:
            await response.prepare(request)
        for number in range(1, fault.after + 1):
            await response.write(self._event(number))
        await asyncio.sleep(fault.delay_s)
        await self._crash()
        return response

    async def _end(
        self,
        ending: endings.Ending,
        request: web.BaseRequest,
        body: bytes,
        headers: dict[str, str],
    ) -> None:
        """Answers in a framing of its own, past aiohttp's."""
        half = len(body) // 2
        pieces = [body[:half], body[half:]]
        content_type = "text/plain"
        if self.streams:
            content_type = "text/event-stream"
            after = int(request.headers.get("Last-Event-Id", "0"))
            pieces = [
                self._event(number)
                for number in range(after + 1, self.event_count + 1)
            ]
        request_id = request.headers.get(HEADER_PREFIX + "Request-Id", "")
        await ending.answer(
            request,
            {**headers, "Content-Type": content_type},
            pieces,
            gap_s=self.event_gap_s,
            cut=ending.cut_of(request_id),
        )

    async def _tear(
        self,
        fault: torn.Torn,
        request: web.BaseRequest,
        body: bytes,
        headers: dict[str, str],
    ) -> None:
        """Answers past aiohttp, and breaks off one answer to each request."""
        is_torn = fault.begin_run(headers[HEADER_PREFIX + "Request-Id"])
        content_type = "text/plain"
        body = body[::-1]
        if self.streams:
            content_type = "text/event-stream"
            after = int(request.headers.get("Last-Event-Id", "0"))
            numbers = range(after + 1, self.event_count + 1)
            body = b"".join(map(self._event, numbers))
        await asyncio.sleep(self.work_s)
        await self._outlast_silence()
        await fault.send(
            request.transport,
            "HTTP/1.1 200 OK",
            {**headers, "Content-Type": content_type},
            body,
            is_torn=is_torn,
        )

    def _event(self, number: int) -> bytes:
        suffix = f" {self.software}".encode() if self.signs_events else b""
        return b"id: %d\ndata: e%d%s\n\n" % (number, number, suffix)

    async def _stream(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        after = int(request.headers.get("Last-Event-Id", "0"))
        gap_s = self.event_gap_s
        if self.work_s_by_request is not None:
            request_id = request.headers[HEADER_PREFIX + "Request-Id"]
            gap_s = self.work_s_by_request(request_id) / self.event_count
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(after + 1, self.event_count + 1):
            if number - 1 == self.faults.cut_after:
                await response.write(b"id: %d\nda" % number)
                request.transport.abort()
                return response
            await self._outlast_silence()
            await response.write(self._event(number))
            await asyncio.sleep(gap_s)
        await self._outlast_silence()
        await response.write_eof()
        return response


__all__ = ["PartFault", "Replica", "ReplicaFaults"]
