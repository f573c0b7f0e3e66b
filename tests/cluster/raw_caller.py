"""A caller that shows how an answer is framed and how it ends."""

from __future__ import annotations

import asyncio
import dataclasses
import enum

from cluster import platform

READ_S = 4.0


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
    """

    status: int = 0
    framing: Framing | None = None
    has_ended: bool = False
    body: bytes = b""

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
    host, port = made.fields[daemon]["listen"]["front"].split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(
            _head(name, request_id, body, http_version, method, headers or {})
            + body
        )
        async with asyncio.timeout(read_s):
            return await _read(
                reader, has_body=method != "HEAD", leave_after=leave_after
            )
    finally:
        writer.close()


def _head(
    name: str,
    request_id: str,
    body: bytes,
    http_version: str,
    method: str,
    headers: dict[str, str],
) -> bytes:
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
    fields.update(headers)
    lines = [f"{method} /{name}/x HTTP/{http_version}"]
    lines += [f"{key}: {value}" for key, value in fields.items() if value]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def _read(
    reader: asyncio.StreamReader, *, has_body: bool, leave_after: int
) -> Received:
    received = bytearray()
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    except (asyncio.IncompleteReadError, ConnectionError):
        return Received()
    status = int(head.split()[1])
    framing = Framing.CLOSE
    if "\r\ntransfer-encoding: chunked" in head:
        framing = Framing.CHUNKED
    elif "\r\ncontent-length:" in head:
        framing = Framing.LENGTH
    has_ended = True
    try:
        if not has_body:
            pass
        elif framing is Framing.CHUNKED:
            while data := await _read_chunk(reader):
                received += data
                if 0 < leave_after <= received.count(b"\n\n"):
                    return Received(status, framing, False, bytes(received))
        elif framing is Framing.LENGTH:
            size = int(head.split("\r\ncontent-length:")[1].split()[0])
            while len(received) < size:
                data = await reader.read(size - len(received))
                if not data:
                    raise ConnectionError("closed inside the body")
                received += data
        else:
            while data := await reader.read(1 << 16):
                received += data
                if 0 < leave_after <= received.count(b"\n\n"):
                    return Received(status, framing, False, bytes(received))
    except (asyncio.IncompleteReadError, ConnectionError):
        has_ended = False
    return Received(status, framing, has_ended, bytes(received))


async def _read_chunk(reader: asyncio.StreamReader) -> bytes:
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    return (await reader.readexactly(size + 2))[:-2]


__all__ = ["Framing", "Received", "call"]
