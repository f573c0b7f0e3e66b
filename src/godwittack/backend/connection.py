"""HTTP/1.1 client connection to a backend server that matches answers by id.

aiohttp's client assigns the next answer on a connection to the next request,
whichever request it belongs to. Servers may send a second answer late, or
bytes after a complete one, and a caller would get another caller's answer.
Here the reader checks which request each answer is for, skips all others, and
reuses a connection only if no unrequested bytes can be left on it. The parser
is `httptools`, which wraps the same C parser as aiohttp's own.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING

import httptools

from godwittack import liveness
from godwittack.core import work

if TYPE_CHECKING:
    from collections.abc import Callable

# Unread body bytes above which reading from the socket is paused.
HIGH_WATER_BYTES = 1 << 18


class ReplyError(Exception):
    """The connection brought no complete, valid answer to the request."""


@dataclasses.dataclass(slots=True)
class Reply:
    """One answer while it is being received.

    Attributes:
        status: HTTP status; 0 until the head was received.
        headers: In the order and case received.
        is_complete: Whether the end of the body was received.
        is_close_delimited: Whether the body ends only where the server closes
            the connection.
        chunks: Pieces of the body that have not been read yet.
    """

    status: int = 0
    headers: list[work.Header] = dataclasses.field(default_factory=list)
    is_complete: bool = False
    is_close_delimited: bool = False
    chunks: collections.deque[bytes] = dataclasses.field(
        default_factory=collections.deque
    )

    def header(self, name: str) -> str:
        """Returns the first header of that name, or an empty string."""
        lower = name.lower()
        for header in self.headers:
            if header.name.lower() == lower:
                return header.value
        return ""


class Connection(asyncio.Protocol):
    """Sends one request at a time and reads the answer.

    Attributes:
        was_used: Whether a request was sent on it before.
        idle_since_ms: When its last answer ended.
        keep_alive_ms: How long the server keeps it open while idle; 0 if
            not stated.
    """

    def __init__(self) -> None:
        """Creates an unconnected instance; `asyncio` connects it."""
        self.was_used = False
        self.idle_since_ms = 0
        self.keep_alive_ms = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._reply: Reply | None = None
        self._unread_replies: collections.deque[Reply] = collections.deque()
        self._unread_bytes = 0
        self._is_awaiting_reply = False
        self._is_head_request = False
        self._progress = asyncio.Event()
        self._failure: str | None = None
        self._is_reading_paused = False
        self._is_unusable = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enables TCP keep-alive, so that a dead network path is detected."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            liveness.enable_keepalive(sock)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; fails the connection if none are expected."""
        if self._is_unusable:
            return
        if not self._is_awaiting_reply:
            # No request is open, so these bytes belong to no caller.
            self._abort("bytes without a request")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._abort(f"not HTTP: {error}")
        self._progress.set()

    def eof_received(self) -> bool:
        """Completes an answer that is delimited by the connection's end."""
        reply = self._reply
        if reply is not None and reply.status and reply.is_close_delimited:
            reply.is_complete = True
        self._fail("the server closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the answer that was being read."""
        self._fail(f"connection lost: {exc}" if exc else "connection closed")

    def on_message_begin(self) -> None:
        """Parser callback: the first byte of an answer."""
        self._reply = Reply()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: one header."""
        if self._reply is not None:
            text = value.decode("latin-1")
            self._reply.headers.append(
                work.Header(name.decode("latin-1"), text)
            )

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        reply = self._reply
        if reply is None:
            return
        reply.status = self._parser.get_status_code()
        if 100 <= reply.status < 200:
            return
        coding = reply.header("transfer-encoding").strip().lower()
        if coding not in ("", "chunked"):
            # Its body would be forwarded with the coding, but without the
            # header that names it.
            self._abort(f"unsupported transfer coding {coding!r}")
            return
        has_length = bool(reply.header("content-length"))
        no_body = self._is_head_request or reply.status in (204, 304)
        reply.is_close_delimited = not (coding or has_length or no_body)
        if self._is_head_request:
            # The parser waits for the body that the headers describe.
            reply.is_complete = True
        self._unread_replies.append(reply)

    def on_body(self, body: bytes) -> None:
        """Parser callback: a piece of a body."""
        if self._reply is None:
            return
        self._reply.chunks.append(body)
        self._unread_bytes += len(body)
        if (
            self._unread_bytes > HIGH_WATER_BYTES
            and not self._is_reading_paused
        ):
            self._is_reading_paused = True
            if self._transport is not None:
                self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Parser callback: the end of an answer."""
        if self._reply is not None and self._reply.status >= 200:
            self._reply.is_complete = True

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        closing = self._transport is None or self._transport.is_closing()
        return not (self._is_unusable or self._failure or closing)

    def send(self, head: bytes, body: bytes) -> None:
        """Writes a request; bytes that the socket can't take yet are buffered.

        A server may answer before it has read the whole body. The rest of the
        body is still sent, so that the server never reads the next request as
        part of it.
        """
        assert self._transport is not None
        self.was_used = True
        self._is_awaiting_reply = True
        self._is_head_request = head.startswith(b"HEAD ")
        self._transport.write(head + body)

    async def read_head(self, matches: Callable[[Reply], bool]) -> Reply:
        """Returns the answer for which `matches` is true, its body unread.

        Answers to other requests that arrive before it are discarded.

        Raises:
            ReplyError: The connection failed before such an answer arrived.
        """
        while True:
            while not self._unread_replies:
                self._raise_if_failed()
                await self._wait_for_progress()
            reply = self._unread_replies.popleft()
            if matches(reply):
                return reply
            await self.read_body(reply)
            if reply.is_close_delimited:
                raise ReplyError("an answer to another request, without end")

    async def read_chunk(self, reply: Reply) -> bytes:
        """Returns the next bytes of a body, or empty bytes at its end.

        Raises:
            ReplyError: The connection ended before the body did.
        """
        while not reply.chunks:
            if reply.is_complete:
                return b""
            self._raise_if_failed()
            await self._wait_for_progress()
        data = b"".join(reply.chunks)
        reply.chunks.clear()
        self._unread_bytes -= len(data)
        if self._is_reading_paused and self._transport is not None:
            self._is_reading_paused = False
            self._transport.resume_reading()
        return data

    async def read_body(self, reply: Reply, *, limit: int = 32 << 20) -> bytes:
        """Returns the complete body.

        Raises:
            ReplyError: The body is incomplete, or longer than `limit` bytes.
        """
        parts: list[bytes] = []
        size = 0
        while data := await self.read_chunk(reply):
            parts.append(data)
            size += len(data)
            if size > limit:
                raise ReplyError(f"the answer is longer than {limit} bytes")
        return b"".join(parts)

    def finish(self, reply: Reply, *, now_ms: int) -> bool:
        """Ends an exchange; returns whether the connection is reusable."""
        self.idle_since_ms = now_ms
        is_clean = (
            reply.is_complete
            and not self._is_head_request
            and not reply.is_close_delimited
            and not self._unread_replies
            and self._reply is reply
            and reply.header("connection").lower() != "close"
        )
        self.keep_alive_ms = _keep_alive_ms(reply)
        self._reply = None
        self._is_awaiting_reply = False
        return is_clean and self.is_open

    def close(self) -> None:
        """Closes at once; the server then sees that its caller is gone."""
        self._is_unusable = True
        if self._transport is not None:
            self._transport.abort()

    async def _wait_for_progress(self) -> None:
        self._progress.clear()
        await self._progress.wait()

    def _raise_if_failed(self) -> None:
        if self._failure is not None:
            raise ReplyError(self._failure)

    def _abort(self, detail: str) -> None:
        self._is_unusable = True
        self._fail(detail)
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, detail: str) -> None:
        if self._failure is None:
            self._failure = detail
        self._progress.set()


def _keep_alive_ms(reply: Reply) -> int:
    """Returns the server's idle limit, 0 where its headers have none."""
    for part in reply.header("keep-alive").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return int(value) * 1000
    return 0


__all__ = ["Connection", "Reply", "ReplyError"]
