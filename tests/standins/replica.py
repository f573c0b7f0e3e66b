"""A backend server of the platform: streams, plain calls, orders, events."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import time

from aiohttp import web

PREFIX = "X-Godwittack-"


@dataclasses.dataclass
class ReplicaFaults:
    """How the server misbehaves.

    Attributes:
        full: Whether it declines every request.
        declined_share: Part of the requests that it declines.
        cut_after: Events after which streams are cut; -1 for never.
        silent: Whether it takes requests and answers nothing.
        lose_answers: Requests that run and whose connection then breaks.
        lose_orders: Orders that are carried out and not answered.
        rest_s: Rest that it asks for with each request that it declines.
    """

    full: bool = False
    declined_share: float = 0.0
    cut_after: int = -1
    silent: bool = False
    lose_answers: bool = False
    lose_orders: bool = False
    rest_s: float = 0.0


@dataclasses.dataclass
class Ran:
    """One request that ran."""

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
    """One request as it came in, declined or not."""

    request_id: str
    deadline_ms: int
    body: bytes
    at_s: float


@dataclasses.dataclass(frozen=True)
class Rest:
    """A request that was declined with the wish for a rest."""

    request_id: str
    at_s: float
    rest_s: float


class Replica:
    """One incarnation of a server; engines have a model."""

    def __init__(
        self, instance: str, *, model: str = "", events: int = 5
    ) -> None:
        self.instance = instance
        self.model = model
        self.version = 1
        self.faults = ReplicaFaults()
        self.ran: list[Ran] = []
        self.arrivals: list[Arrival] = []
        self.rests: list[Rest] = []
        self.orders: list[dict] = []
        self.left: list[str] = []
        self.event_gap_s = 0.01
        # Body whose run ends the process; empty for none.
        self.crashes_on = b""
        self.has_crashed = False
        # Value of the header that names its limit; empty for none.
        self.names_limit = ""
        # Whether all its answers say that it leaves.
        self.leaves = False
        self._events = events
        self._sequence = 0
        self._busy = False
        self._highest_fencing = 0
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None

    async def start(self, port: int) -> None:
        """Listens on a port of this machine."""
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
        """Starts again at its address after a crash, under the same id."""
        port = self._site.name.rpartition(":")[2]
        await self._runner.cleanup()
        self.has_crashed = False
        await self.start(int(port))

    async def _crash(self) -> None:
        """Ends as a process does: nothing listens, all connections close."""
        self.has_crashed = True
        await self._site.stop()
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        match request.path:
            case "/report":
                response = self._report()
            case "/order":
                response = await self._order(request)
            case "/kv-events":
                await asyncio.sleep(0.2)
                response = web.json_response(
                    {"boot-epoch": 1, "next": 0, "lost": False, "events": []}
                )
            case _:
                return await self._request(request)
        response.headers.update(self._words())
        return response

    def _words(self) -> dict[str, str]:
        """Returns the headers by which all answers tell of the server."""
        return {"Server-Leaving": "1"} if self.leaves else {}

    def _report(self) -> web.Response:
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return web.json_response(
            {
                "stage": "prefill_decode",
                "models": models if self.model else [],
                "busy": self._busy,
                "sequence": self._sequence,
                "queue-depth": 0,
                "running": 0,
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
            0.2, self._loaded, order["version"]
        )
        if self.faults.lose_orders:
            await asyncio.sleep(3_600)
        return web.Response(status=202)

    def _loaded(self, version: int) -> None:
        self.version = version
        self._busy = False

    async def _request(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        name = request.headers.get(PREFIX + "Request-Id", "")
        deadline_ms = int(request.headers.get(PREFIX + "Deadline-Ms", "-1"))
        now_s = time.monotonic()
        self.arrivals.append(Arrival(name, deadline_ms, body, now_s))
        own = {PREFIX + "Request-Id": name, PREFIX + "Server-Load": "1,0,16"}
        own.update(self._words())
        if self.names_limit:
            own[PREFIX + "Server-Limit"] = self.names_limit
        if request.headers.get(PREFIX + "Expect-Instance") != self.instance:
            own[PREFIX + "Instance-Id"] = self.instance
            return web.Response(status=421, headers=own)
        expected = request.headers.get(PREFIX + "Expect-Version")
        if expected and int(expected) != self.version:
            return web.Response(status=421, headers=own)
        is_declined = random.random() < self.faults.declined_share
        if self.faults.full or self._busy or is_declined:
            own[PREFIX + "Not-Executed"] = "1"
            if self.faults.rest_s:
                own["Retry-After"] = f"{self.faults.rest_s:g}"
                self.rests.append(Rest(name, now_s, self.faults.rest_s))
            return web.Response(status=503, headers=own)
        self.ran.append(
            Ran(
                name,
                request.headers.get(PREFIX + "Tenant", ""),
                str(self.version),
                request.headers.get(PREFIX + "Cache-Salt", ""),
                request.raw_path,
                body,
                {k.lower(): v for k, v in request.headers.items()},
            )
        )
        if self.crashes_on and body == self.crashes_on:
            await self._crash()
            await asyncio.sleep(3_600)
        own[PREFIX + "Response-Signature"] = f"sig.{self.instance}.{name}"
        try:
            if self.faults.silent:
                await asyncio.sleep(3_600)
            if self.faults.lose_answers:
                request.transport.abort()
                return web.Response(headers=own)
            if self.model:
                return await self._stream(request, own)
            await asyncio.sleep(0.02)
            return web.Response(body=body[::-1] or b"empty", headers=own)
        except (asyncio.CancelledError, ConnectionError):
            self.left.append(name)
            raise

    async def _stream(
        self, request: web.BaseRequest, own: dict[str, str]
    ) -> web.StreamResponse:
        after = int(request.headers.get("Last-Event-Id", "0"))
        response = web.StreamResponse(headers=own)
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(after + 1, self._events + 1):
            if number - 1 == self.faults.cut_after:
                await response.write(b"id: %d\nda" % number)
                request.transport.abort()
                return response
            await response.write(b"id: %d\ndata: e%d\n\n" % (number, number))
            await asyncio.sleep(self.event_gap_s)
        await response.write_eof()
        return response


__all__ = ["Replica", "ReplicaFaults"]
