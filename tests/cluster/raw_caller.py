"""A caller that shows how an answer is framed and how it ends."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from typing import TYPE_CHECKING

from cluster import platform

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

READ_S = 4.0
# A caller that reads slowly takes so much at a time.
SLOW_READ_BYTES = 150_000


class Framing(enum.StrEnum):
    """What marks the end of an answer."""

    CHUNKED = "chunked"
    LENGTH = "length"
    CLOSE = "close"


@dataclasses.dataclass(frozen=True)
class Received:
    """An answer as a caller sees it.

    Attributes:
        status: HTTP status; 0 if no head arrived.
        framing: What marks its end; None if no head arrived.
        has_ended: Whether the end that its framing promises arrived: the last
            chunk, as many bytes as its length, or a connection that was closed
            and not reset.
        body: Bytes received.
        head: Status line and headers, in lower case.
    """

    status: int = 0
    framing: Framing | None = None
    has_ended: bool = False
    body: bytes = b""
    head: str = ""

    @property
    def closes(self) -> bool:
        """Whether the answer says that its connection is closed after it."""
        return "\r\nconnection: close\r\n" in self.head

    @property
    def is_claimed_complete(self) -> bool:
        """Whether the answer marks its own end, and that end arrived."""
        return self.has_ended and self.framing is not Framing.CLOSE

    @property
    def is_inside_event(self) -> bool:
        """Whether a stream ends inside an event."""
        return bool(self.body) and not self.body.endswith(b"\n\n")


async def call(
    made: platform.Platform,
    name: str,
    request_id: str,
    *,
    daemon: int = 0,
    body: bytes = b"body",
    http_version: str = "1.1",
    method: str = "POST",
    headers: dict[str, str] | None = None,
    leave_after: int = 0,
    read_s: float = READ_S,
) -> Received:
    """Sends a caller's request over a connection of its own.

    Args:
        made: The platform.
        name: Name of the route.
        request_id: Id of the request.
        daemon: Number of the daemon.
        body: Body of the request.
        http_version: Version of HTTP in the request.
        method: Method of the request.
        headers: Further headers; an empty value leaves out a usual one.
        leave_after: Events of a stream after which the caller leaves; 0 to read
            to the end.
        read_s: Time in which the answer must end.
    """
    connection = await Connection.open(made, daemon)
    try:
        connection.write(
            head(name, request_id, body, http_version, method, headers or {})
            + body
        )
        async with asyncio.timeout(read_s):
            return await connection.read(
                has_body=method != "HEAD", leave_after=leave_after
            )
    finally:
        connection.close()


class Connection:
    """A caller's connection that is kept for several requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Uses an open connection."""
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, made: platform.Platform, daemon: int = 0) -> Connection:
        """Connects to a daemon.

        Raises:
            OSError: The daemon doesn't listen.
        """
        host, port = made.fields[daemon]["listen"]["front"].split(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    @property
    def is_closed(self) -> bool:
        """Whether the daemon has closed the connection, and all is read."""
        return self._reader.at_eof()

    def write(self, data: bytes) -> None:
        """Writes bytes without waiting until they are sent."""
        self._writer.write(data)

    async def send(
        self,
        name: str,
        request_id: str,
        *,
        body: bytes = b"body",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Sends a request without waiting for its answer."""
        self.write(head(name, request_id, body, headers=headers) + body)
        await self._writer.drain()

    async def send_in_pieces(
        self, data: bytes, *, pieces: int, gap_s: float
    ) -> None:
        """Sends bytes in pieces, with a pause before each but the first."""
        size = -(-len(data) // pieces)
        for start in range(0, len(data), size):
            if start:
                await asyncio.sleep(gap_s)
            self.write(data[start : start + size])
            await self._writer.drain()

    async def read(
        self,
        *,
        has_body: bool = True,
        leave_after: int = 0,
        gap_s: float = 0.0,
    ) -> Received:
        """Reads an answer.

        Args:
            has_body: Whether the answer may have a body.
            leave_after: Events of a stream after which reading ends; 0 to read
                to the end.
            gap_s: Pause after each piece of the body.
        """
        return await _read(
            self._reader,
            has_body=has_body,
            leave_after=leave_after,
            gap_s=gap_s,
        )

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


def head(
    name: str,
    request_id: str,
    body: bytes,
    http_version: str = "1.1",
    method: str = "POST",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Returns the head of a caller's request."""
    fields = {
        "Host": platform.HOST,
        "X-Godwittack-Request-Id": request_id,
        "X-Godwittack-Deadline-Ms": "3000",
        "X-Godwittack-Credential": platform.KEY,
        "Content-Length": str(len(body)),
    }
    if name in ("long", "short"):
        fields["X-Godwittack-Model"] = "m"
        fields["X-Godwittack-Token-Usage"] = "900,10"
        fields["X-Godwittack-Prefix-Hash"] = "ab12:800,cd34:100"
    fields.update(headers or {})
    lines = [f"{method} /{name}/x HTTP/{http_version}"]
    lines += [f"{key}: {value}" for key, value in fields.items() if value]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def _read(
    reader: asyncio.StreamReader,
    *,
    has_body: bool,
    leave_after: int,
    gap_s: float,
) -> Received:
    received = bytearray()
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    except (asyncio.IncompleteReadError, ConnectionError):
        return Received()
    framing = _framing(head)
    has_ended = True
    try:
        pieces = _read_body(reader, head, framing if has_body else None)
        async for data in pieces:
            received += data
            if 0 < leave_after <= received.count(b"\n\n"):
                has_ended = False
                break
            if gap_s:
                await asyncio.sleep(gap_s)
    except (asyncio.IncompleteReadError, ConnectionError):
        has_ended = False
    status = int(head.split()[1])
    return Received(status, framing, has_ended, bytes(received), head)


def _framing(head: str) -> Framing:
    if "\r\ntransfer-encoding: chunked" in head:
        return Framing.CHUNKED
    if "\r\ncontent-length:" in head:
        return Framing.LENGTH
    return Framing.CLOSE


async def _read_body(
    reader: asyncio.StreamReader, head: str, framing: Framing | None
) -> AsyncIterator[bytes]:
    """Yields the pieces of a body; one without a framing is empty."""
    match framing:
        case Framing.CHUNKED:
            while data := await _read_chunk(reader):
                yield data
        case Framing.LENGTH:
            left = int(head.split("\r\ncontent-length:")[1].split()[0])
            while left:
                data = await reader.read(min(left, SLOW_READ_BYTES))
                if not data:
                    raise ConnectionError("closed inside the body")
                left -= len(data)
                yield data
        case Framing.CLOSE:
            while data := await reader.read(1 << 16):
                yield data


async def _read_chunk(reader: asyncio.StreamReader) -> bytes:
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    return (await reader.readexactly(size + 2))[:-2]


__all__ = ["Connection", "Framing", "Received", "call", "head"]
