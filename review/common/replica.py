"""Stand-in for a replica: a small HTTP/1.1 server over raw connections.

It follows PROTOCOL.md: slots and a short queue, `X-Godwittack-Not-Executed`
with each rejection, echoed ids, signatures, expected instance and version,
`/report` and `/order`. A sound replica does nothing else. The cases add their
disruption through `late_extra`, `late_order` and `silence_open_connections`.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

PREFIX = "X-Godwittack-"
# Never reached: it ends with the process, or with its connection.
FOREVER_S = 3600


@dataclasses.dataclass
class Call:
    """One request as it was read from a connection."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    def header(self, name: str, default: str = "") -> str:
        """Returns a header of the system, by its name without the prefix."""
        return self.headers.get((PREFIX + name).lower(), default)

    @property
    def request_id(self) -> str:
        """Id of the client's attempt."""
        return self.header("Request-Id")


@dataclasses.dataclass(frozen=True)
class Sent:
    """An answer to a client's request, other than a stream."""

    call: Call
    status: int
    message: bytes


class Connection:
    """One open connection to a replica."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        # Whether the network carries nothing more, in either direction.
        self.is_silent = False
        # The last answer to a client's request; None once another one begins.
        self.last: Sent | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the caller has closed it."""
        return self.reader.at_eof() or self.writer.transport.is_closing()

    async def read_call(self) -> Call | None:
        """Returns the next request; None at the end of the connection."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        if self.is_silent:
            await asyncio.sleep(FOREVER_S)
        first, *lines = head.decode("latin-1").split("\r\n")
        method, path, _ = first.split(" ", 2)
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        body = await self.reader.readexactly(size) if size else b""
        return Call(method, path, headers, body)

    async def write(self, data: bytes) -> None:
        """Sends bytes, unless the network carries nothing more."""
        if self.is_silent:
            await asyncio.sleep(FOREVER_S)
        self.writer.write(data)
        await self.writer.drain()


def response(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Replica:
    """One replica; one with a model answers with streams."""

    def __init__(
        self,
        instance: str,
        *,
        service: str,
        model: str = "",
        slots: int = 16,
        queue: int = 4,
        work_s: float = 0.03,
        events: int = 6,
        checks_fences: bool = True,
        load_s: float = 1.1,
        streams: bool | None = None,
        note: Callable[..., None],
    ) -> None:
        self.instance, self.service, self.model = instance, service, model
        self.slots, self.queue = slots, queue
        self.work_s, self.events = work_s, events
        # Whether it answers with streams; one with a model always does.
        self.streams = bool(model) if streams is None else streams
        self.checks_fences, self.load_s = checks_fences, load_s
        self.note = note
        self.version = 1
        self.sequence = 0
        self.is_busy = False
        self.highest_fence = 0
        self.running = self.waiting = 0
        self.port = 0
        # Seconds that a rejection asks its caller to wait; 0 for none.
        self.retry_after_s = 0.0
        # Called with each answer to a client's request.
        self.on_answer: Callable[[], None] = lambda: None
        # Called with the last answer to a client's request on a connection and
        # with the next request there; returns whether an extra copy of that
        # answer comes at the point where the next one is expected.
        self.late_extra: Callable[[Sent, Call], bool] = lambda last, call: False
        # Returns after how many seconds an order without an answer is carried
        # out; 0 for one that is answered and carried out at once.
        self.late_order: Callable[[dict], float] = lambda order: 0.0
        self.connections: set[Connection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def start(self, port: int) -> None:
        """Listens on a port of this machine."""
        self.port = port
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )

    async def stop(self) -> None:
        """Closes the listener and all connections, as the process's end."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.writer.transport.abort()
        for task in self._tasks:
            task.cancel()

    def silence_open_connections(self) -> int:
        """Lets open connections carry nothing more; new ones work."""
        for connection in self.connections:
            connection.is_silent = True
        return len(self.connections)

    def row(self) -> dict:
        """Returns this replica's entry in the store."""
        row = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "salt-lake",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
        }
        if self.model:
            row["stage"] = "prefill_decode"
            row["models"] = self._models()
        return row

    def _models(self) -> list[dict]:
        return [{"name": self.model, "version": self.version, "adapters": []}]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while (call := await connection.read_call()) is not None:
                last, connection.last = connection.last, None
                if last is not None and self.late_extra(last, call):
                    self.note("extra", last.call.request_id, self.instance)
                    await connection.write(last.message)
                await self._answer(connection, call)
        except (
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    async def _answer(self, connection: Connection, call: Call) -> None:
        if call.path == "/report":
            await self._reply(connection, call, 200, self._report())
        elif call.path == "/order":
            await self._order(connection, call)
        elif call.path.startswith("/kv-events"):
            wait_ms = int(call.headers.get("wait-ms", "0"))
            await asyncio.sleep(min(wait_ms, 1000) / 1000)
            events = {"boot-epoch": 1, "next": 0, "lost": False, "events": []}
            await self._reply(connection, call, 200, events)
        else:
            await self._request(connection, call)

    async def _reply(
        self,
        connection: Connection,
        call: Call,
        status: int,
        body: object = None,
        **headers: str,
    ) -> None:
        sent = {PREFIX + n.replace("_", "-"): v for n, v in headers.items()}
        if call.request_id:
            sent[PREFIX + "Request-Id"] = call.request_id
        sent[PREFIX + "Server-Load"] = (
            f"{self.running},{self.waiting},{self.slots}"
        )
        sent["Keep-Alive"] = "timeout=15"
        if status == 503 and self.retry_after_s:
            sent["Retry-After"] = f"{self.retry_after_s:g}"
        data = b"" if body is None else json.dumps(body).encode()
        message = response(status, sent, data)
        await connection.write(message)
        if call.request_id:
            self.on_answer()
            connection.last = Sent(call, status, message)

    def _report(self) -> dict:
        return {
            "stage": "prefill_decode",
            "models": self._models() if self.model else [],
            "busy": self.is_busy,
            "sequence": self.sequence,
            "queue-depth": self.waiting,
            "running": self.running,
            "kv-used": 0,
            "kv-total": 184_803,
            "handles": 0,
        }

    async def _order(self, connection: Connection, call: Call) -> None:
        order = json.loads(call.body)
        delay_s = self.late_order(order)
        expected = order.get("precondition", "none")
        self.note(
            "order", self.instance, f"version={order['version']}",
            f"precondition={expected}", f"fence={order['fencing-token']}",
            f"holder={order['holder']}",
            f"late={delay_s:g}s" if delay_s else "answered",
        )
        if not delay_s:
            await self._reply(connection, call, self._carry_out(order))
            return
        task = asyncio.create_task(self._carry_out_late(order, delay_s))
        self._tasks.add(task)
        await asyncio.sleep(FOREVER_S)

    async def _carry_out_late(self, order: dict, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        status = self._carry_out(order)
        self.note(
            "late order", self.instance, f"version={order['version']}",
            f"status={status}",
        )

    def _carry_out(self, order: dict) -> int:
        """Accepts or refuses an order; returns the status."""
        fence = order["fencing-token"]
        if self.checks_fences and fence < self.highest_fence:
            return 412
        expected = order.get("precondition", self.sequence)
        if self.is_busy or expected != self.sequence:
            return 409
        self.highest_fence = max(fence, self.highest_fence)
        if order["version"] == self.version:
            return 200
        self.sequence += 1
        self.is_busy = True
        asyncio.get_running_loop().call_later(
            self.load_s, self._finish_load, order["version"]
        )
        return 202

    def _finish_load(self, version: int) -> None:
        self.is_busy = False
        self.version = version
        self.note("loaded", self.instance, f"version={version}")

    async def _request(self, connection: Connection, call: Call) -> None:
        if call.header("Expect-Instance") != self.instance:
            await self._reply(
                connection, call, 421, Instance_Id=self.instance
            )
            return
        expected = call.header("Expect-Version")
        if expected and int(expected) != self.version:
            await self._reply(connection, call, 421)
            return
        if self.is_busy or not await self._take_slot():
            self.note("rejected", call.request_id, self.instance)
            await self._reply(connection, call, 503, Not_Executed="1")
            return
        try:
            await self._run(connection, call)
        finally:
            self.running -= 1

    async def _take_slot(self) -> bool:
        if self.running >= self.slots:
            if self.waiting >= self.queue:
                return False
            self.waiting += 1
            while self.running >= self.slots:
                await asyncio.sleep(0.002)
            self.waiting -= 1
        self.running += 1
        return True

    async def _run(self, connection: Connection, call: Call) -> None:
        self.note("ran", call.request_id, self.instance)
        signature = f"sig.{self.instance}.{call.request_id}"
        if not self.streams:
            await asyncio.sleep(self.work_s)
            await self._reply(
                connection, call, 200, {"done": call.request_id},
                Response_Signature=signature,
            )
            return
        head = {
            PREFIX + "Request-Id": call.request_id,
            PREFIX + "Response-Signature": signature,
            **(
                {PREFIX + "Weight-Versions": str(self.version)}
                if self.model else {}
            ),
            PREFIX + "Server-Load": f"{self.running},{self.waiting},{self.slots}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "Keep-Alive": "timeout=15",
        }
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in head.items())]
        await asyncio.sleep(self.work_s)
        await connection.write("\r\n".join([*lines, "", ""]).encode())
        first = int(call.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            if connection.is_closed:
                # Most replicas drop a request when its connection closes.
                self.note("dropped", call.request_id, self.instance)
                raise ConnectionResetError
            await connection.write(_chunk(b"id: %d\ndata: e\n\n" % number))
            await asyncio.sleep(self.work_s)
        await connection.write(b"0\r\n\r\n")
        self.note("completed", call.request_id, self.instance)
        self.on_answer()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def now_s() -> float:
    """Returns the steady clock, by which records are dated."""
    return time.monotonic()
