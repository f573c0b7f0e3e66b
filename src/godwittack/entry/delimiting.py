"""Responses whose end is marked, or is the end of their connection."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Mapping

    from aiohttp import abc

    from godwittack.core import work

# Bytes of an answer that are written at a time.
PIECE_BYTES = 64 << 10
_RESETS_ON_CLOSE = struct.pack("ii", 1, 0)
_CLOSES_IN_ORDER = struct.pack("ii", 0, 0)


class CloseDelimitedResponse(web.StreamResponse):
    """A response with neither a length nor chunks.

    Until it has ended, whatever closes its connection resets it, also the end
    of this process: a connection closed in order would be taken for the end.
    """

    # Otherwise aiohttp adds chunks.
    _length_check = False

    def __init__(self, *, status: int) -> None:
        """Creates an empty response."""
        super().__init__(status=status)
        self.force_close()
        self._transport: asyncio.Transport | None = None
        self._writer: abc.AbstractStreamWriter | None = None

    async def prepare(
        self, request: web.BaseRequest
    ) -> abc.AbstractStreamWriter | None:
        """Sends the head; aiohttp calls it again after the end."""
        if not self.prepared:
            self._transport = request.transport
            _set_linger(self._transport, _RESETS_ON_CLOSE)
        self._writer = await super().prepare(request)
        return self._writer

    async def end(self) -> None:
        """Ends the response; its connection is then closed in order.

        The system must have taken all bytes before: if the process ended while
        it still held some, the caller would take the others for the whole body.
        aiohttp calls `write_eof` for responses that broke off as well.
        """
        if self._transport is not None and self._writer is not None:
            self._transport.set_write_buffer_limits(high=0)
            await self._writer.drain()
        await self.write_eof()
        _set_linger(self._transport, _CLOSES_IN_ORDER)


def stream_response(
    request: web.BaseRequest, status: int, *, is_delimited: bool
) -> web.StreamResponse:
    """Returns a response to a stream.

    Args:
        request: The caller's request.
        status: HTTP status.
        is_delimited: Whether the server marks the end of the stream.
    """
    if not is_delimited or request.version < aiohttp.HttpVersion11:
        return CloseDelimitedResponse(status=status)
    response = web.StreamResponse(status=status)
    response.enable_chunked_encoding()
    return response


async def send_answer(
    request: web.BaseRequest,
    answer: work.Answer,
    headers: Mapping[str, str] | None = None,
    *,
    piece_timeout_ms: int,
) -> web.StreamResponse:
    """Returns the response for a whole answer.

    An answer without a mark of its end may be incomplete; it is sent without
    one as well. A long answer is written in pieces: the library would copy what
    the caller has not read.

    Args:
        request: The caller's request.
        answer: The answer.
        headers: Further headers.
        piece_timeout_ms: How long the caller may take to read a piece.

    Raises:
        TimeoutError: The caller reads too slowly.
    """
    response: web.StreamResponse
    if answer.is_delimited and len(answer.body) > PIECE_BYTES:
        response = web.StreamResponse(status=answer.status)
    elif answer.is_delimited:
        response = web.Response(status=answer.status, body=answer.body)
        response.headers.popall("content-type", None)
    else:
        response = CloseDelimitedResponse(status=answer.status)
    for header in answer.headers:
        response.headers.add(header.name, header.value)
    response.headers.update(headers or {})
    if isinstance(response, web.Response):
        return response
    if answer.is_delimited:
        response.content_length = len(answer.body)
    await response.prepare(request)
    body = memoryview(answer.body)
    for start in range(0, len(body), PIECE_BYTES):
        async with asyncio.timeout(piece_timeout_ms / 1000):
            await response.write(body[start : start + PIECE_BYTES])
    await end(response)
    return response


async def end(response: web.StreamResponse) -> None:
    """Ends a response that is complete."""
    if isinstance(response, CloseDelimitedResponse):
        await response.end()
    else:
        await response.write_eof()


def _set_linger(transport: asyncio.Transport | None, value: bytes) -> None:
    if transport is None or transport.is_closing():
        # The caller has left.
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)


__all__ = [
    "CloseDelimitedResponse",
    "end",
    "send_answer",
    "stream_response",
]
