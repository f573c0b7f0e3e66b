"""A server that sends scripted bytes, for tests below the HTTP level."""

from __future__ import annotations

import asyncio
import dataclasses
import socket
import struct


@dataclasses.dataclass
class Reply:
    """The reply to one request on a connection.

    Attributes:
        data: Bytes sent; `{id}` is replaced by the request's id.
        reads_body: Whether the request's body is read before replying.
        then: What follows: "keep", "close" or "reset" the connection, or
            "stop", a reset before the body is read.
        later: Bytes sent `LATER_S` after `data`.
        before_next: Bytes sent before the next reply on the same connection;
            `{id}` is replaced as in `data`.
    """

    data: bytes
    reads_body: bool = True
    then: str = "keep"
    later: bytes = b""
    before_next: bytes = b""


LATER_S = 0.05


class ScriptedServer:
    """Answers the requests of all connections in turn with scripted replies.

    Attributes:
        requests: Heads and bodies received, in order.
        connections: Connections accepted.
    """

    def __init__(self, *script: Reply, resets: int = 0) -> None:
        """Resets the first `resets` connections, then replies by `script`."""
        self._script = list(script)
        self._resets = resets
        self.requests: list[tuple[bytes, bytes]] = []
        self.connections = 0
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> ScriptedServer:
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *unused) -> None:
        """Stops listening and closes all connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self._writers.append(writer)
        if self.connections <= self._resets:
            _reset(writer)
            return
        extra = b""
        try:
            while self._script:
                head = await reader.readuntil(b"\r\n\r\n")
                reply = self._script.pop(0)
                size = _length(head)
                body = (
                    await reader.readexactly(size) if reply.reads_body else b""
                )
                writer.write(extra + reply.data.replace(b"{id}", _id(head)))
                extra = reply.before_next.replace(b"{id}", _id(head))
                await writer.drain()
                if reply.then == "stop":
                    await asyncio.sleep(LATER_S)
                    _reset(writer)
                    return
                if not reply.reads_body:
                    await asyncio.sleep(LATER_S)
                    body = await reader.readexactly(size)
                self.requests.append((head, body))
                if reply.later:
                    await asyncio.sleep(LATER_S)
                    writer.write(reply.later)
                if reply.then == "reset":
                    _reset(writer)
                    return
                if reply.then == "close":
                    writer.close()
                    return
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def _header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return b""


def _length(head: bytes) -> int:
    return int(_header(head, b"content-length") or 0)


def _id(head: bytes) -> bytes:
    return _header(head, b"x-godwittack-request-id")


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


__all__ = ["LATER_S", "Reply", "ScriptedServer"]
