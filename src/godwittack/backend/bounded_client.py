"""Limits for aiohttp's client on answers without an end.

aiohttp limits lines and the number of headers and trailers. It limits neither
interim responses nor chunk extensions, and collects bodies of any size.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any, cast

import aiohttp
from aiohttp import client_proto

from godwittack.backend import collecting, reply_limits

if TYPE_CHECKING:
    import asyncio

    from aiohttp import http_parser

# Bytes given to the parser before the limits are checked.
PARSED_BYTES = 16 << 10
# Bytes of framing for each byte of a body that are not counted: a chunk of one
# byte has five.
FRAMING_FACTOR = 8
# Limits of aiohttp's parser, beyond `ReplyLimits.head_bytes`, which decides.
MAX_LINE_BYTES = 128 << 10
MAX_HEADERS = 64 << 10


class BoundedHandler(client_proto.ResponseHandler):
    """Connection that fails once an answer exceeds a limit."""

    limits = reply_limits.DEFAULT

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Creates an unconnected instance; aiohttp connects it."""
        super().__init__(loop)
        self._interim_responses = 0
        self._has_head = False
        self._body_bytes = 0
        self._extra_bytes = 0

    def set_response_params(self, **params: Any) -> None:
        """Begins an exchange."""
        self._interim_responses = 0
        self._has_head = False
        self._body_bytes = 0
        self._extra_bytes = 0
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Counts a head that the parser has completed."""
        message: http_parser.RawResponseMessage = data[0]
        self._extra_bytes = 0
        if 100 <= message.code < 200:
            self._interim_responses += 1
        else:
            self._has_head = True
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parses bytes in parts, and checks the limits after each."""
        if self._upgraded or not data:
            super().data_received(data)
            return
        for start in range(0, len(data), PARSED_BYTES):
            if self.exception() is not None or self.transport is None:
                return
            part = data[start : start + PARSED_BYTES]
            heads = (self._interim_responses, self._has_head)
            super().data_received(part)
            if heads == (self._interim_responses, self._has_head):
                self._count(len(part))
            self._check()

    def _count(self, size: int) -> None:
        payload = self._payload if self._has_head else None
        total = payload.total_bytes if payload is not None else 0
        body = max(0, total - self._body_bytes)
        self._body_bytes = total
        self._extra_bytes = max(
            0, self._extra_bytes + size - body - FRAMING_FACTOR * body
        )

    def _check(self) -> None:
        if self.exception() is not None:
            return
        if self._interim_responses > self.limits.interim_responses:
            self._fail("interim responses")
        elif self._extra_bytes > self.limits.head_bytes:
            self._fail("framing" if self._has_head else "head")

    def _fail(self, what: str) -> None:
        error = reply_limits.EndlessReplyError(what, self._extra_bytes)
        payload = self._payload
        self.set_exception(error)
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Opens connections that are limited."""

    def __init__(self, **options: Any) -> None:
        """Takes the options of `TCPConnector`."""
        super().__init__(**options)
        # aiohttp has no public way to choose the class of connections.
        self._factory = cast(
            "functools.partial[client_proto.ResponseHandler]",
            functools.partial(BoundedHandler, loop=self._loop),
        )


def open_session(
    connector: BoundedConnector, *, auto_decompress: bool = True
) -> aiohttp.ClientSession:
    """Returns a session whose answers are limited."""
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=auto_decompress,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
        max_headers=MAX_HEADERS,
    )


async def read_body(
    response: aiohttp.ClientResponse,
    *,
    limit_bytes: int = reply_limits.DEFAULT.answer_bytes,
    make_room: collecting.MakeRoom | None = None,
) -> bytes:
    """Returns a complete body; keeps a large one in a temporary file.

    Args:
        response: The answer, its body unread.
        limit_bytes: Length that the body may have.
        make_room: Waits for memory for some bytes of it; None for no limit.

    Raises:
        EndlessReplyError: It is longer than `limit_bytes`.
        OSError: There is no room for it on the disk.
    """
    spool = collecting.Spool()
    size = 0
    try:
        async for data in response.content.iter_any():
            size += len(data)
            if size > limit_bytes:
                response.close()
                raise reply_limits.EndlessReplyError("body", size)
            if make_room is not None:
                await make_room(len(data))
            spool.write(data)
        return spool.read()
    finally:
        spool.close()


__all__ = ["BoundedConnector", "BoundedHandler", "open_session", "read_body"]
