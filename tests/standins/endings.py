"""How a backend server marks the end of its answers, and breaks them off."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import web

# Long enough for the end of a connection to come after its last bytes.
PAUSE_S = 0.01


class Framing(enum.StrEnum):
    """What marks the end of an answer."""

    CHUNKED = "chunked"
    LENGTH = "length"
    CLOSE = "close"


class Cut(enum.StrEnum):
    """Where an answer is broken off."""

    NONE = "none"
    HEAD = "head"
    INSIDE = "inside"
    BETWEEN = "between"


@dataclasses.dataclass
class Ending:
    """End of all answers of a server.

    Attributes:
        framing: What marks the end.
        cut: Where the first run of each request is broken off.
        resets: Whether the connection is then reset instead of closed.
        after: Whole events before a cut.
    """

    framing: Framing = Framing.CLOSE
    cut: Cut = Cut.NONE
    resets: bool = False
    after: int = 2
    _cut_requests: set[str] = dataclasses.field(default_factory=set)

    def cut_of(self, request_id: str) -> Cut:
        """Returns where to break off the next run of a request."""
        if request_id in self._cut_requests:
            return Cut.NONE
        self._cut_requests.add(request_id)
        return self.cut

    async def answer(
        self,
        request: web.BaseRequest,
        headers: dict[str, str],
        pieces: list[bytes],
        *,
        gap_s: float,
        cut: Cut,
    ) -> None:
        """Writes an answer in pieces, and closes or resets the connection."""
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        size = sum(map(len, pieces))
        transport.write(self._head(headers, size))
        whole = pieces if cut is Cut.NONE else pieces[: self.after]
        for piece in () if cut is Cut.HEAD else whole:
            transport.write(self._framed(piece))
            await asyncio.sleep(gap_s)
        if cut is Cut.INSIDE:
            torn = pieces[len(whole)] if len(whole) < len(pieces) else b"id: 9"
            transport.write(self._framed(torn[: len(torn) // 2]))
        if cut is Cut.NONE and self.framing is Framing.CHUNKED:
            transport.write(b"0\r\n\r\n")
        await asyncio.sleep(PAUSE_S)
        if self.resets and cut is not Cut.NONE:
            reset(transport)
        else:
            transport.close()

    def _head(self, headers: dict[str, str], size: int) -> bytes:
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in headers.items())]
        lines.append("Connection: close")
        if self.framing is Framing.CHUNKED:
            lines.append("Transfer-Encoding: chunked")
        elif self.framing is Framing.LENGTH:
            lines.append(f"Content-Length: {size}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _framed(self, data: bytes) -> bytes:
        if self.framing is Framing.CHUNKED:
            return b"%x\r\n%s\r\n" % (len(data), data)
        return data


def reset(transport: asyncio.Transport) -> None:
    """Resets a connection instead of closing it."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    transport.abort()


__all__ = ["Cut", "Ending", "Framing", "reset"]
