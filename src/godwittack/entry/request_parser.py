"""Parses the requests of one connection within limits.

aiohttp's parser limits lines and the number of headers. It limits neither the
whole head nor trailers nor chunk extensions, calls three functions for each
chunk, and reports an error again with each further read. Here it parses heads
only, each in a parser of its own. Bodies with a length need no parser, and
`httptools`, which wraps the same C parser, decodes chunks.
"""

from __future__ import annotations

import contextlib
import dataclasses
from typing import TYPE_CHECKING, Any

import httptools
from aiohttp import http_exceptions, http_parser, streams, web_protocol

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from aiohttp import base_protocol

    Message = tuple[http_parser.RawRequestMessage, streams.StreamReader]
    Parsed = tuple[list[Message], bool, bytes]

STATUS_HEADERS_TOO_LARGE = 431
STATUS_UNAVAILABLE = 503
HEAD_END = b"\r\n\r\n"
LINE_ENDS = b"\r\n"
# A head that makes the chunk decoder expect a body in chunks.
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
# Memory for each byte and each line of a head: the parser keeps names and
# values both as bytes and as text, in objects of their own.
HEAD_BYTE_COST = 3
HEAD_LINE_COST_BYTES = 512
# Memory for a request that is being served, besides its head.
REQUEST_COST_BYTES = 16 << 10
# A body may have this many bytes of framing for each byte: a chunk of one byte
# has five.
FRAMING_FACTOR = 8
# Bytes of a body kept before its reader takes them, at which reading pauses;
# the library pauses at twice as many.
READ_AHEAD_BYTES = 8 << 10
# Memory for a body that its reader has not taken yet, here and in the system.
READ_AHEAD_COST_BYTES = 64 << 10
# Bytes beyond the longest body that are read to tell that it is too long.
OVERRUN_BYTES = 1
# Requests parsed ahead of the one that is being answered.
MAX_QUEUED = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """What one request may have.

    Attributes:
        head_bytes: Bytes of the request line, all headers, and blank lines
            before them. Trailers and chunk extensions may have as many.
        body_bytes: Bytes of the body.
    """

    head_bytes: int
    body_bytes: int


DEFAULT_LIMITS = RequestLimits(head_bytes=32 << 10, body_bytes=4 << 20)


class RefusedHeadError(http_exceptions.HttpProcessingError):
    """A request is refused before its head is complete."""


class HeadTooLongError(RefusedHeadError):
    """A head exceeds its limit."""

    code = STATUS_HEADERS_TOO_LARGE


class NoMemoryError(RefusedHeadError):
    """There is no memory for a request."""

    code = STATUS_UNAVAILABLE


class BodyTooLongError(web_protocol.RequestPayloadError):
    """A body, or its framing, exceeds its limit."""


class RequestParser:
    """Implements the interface of aiohttp's request parser.

    Attributes:
        is_failed: Whether an error has ended the parsing.
        ignored_bytes: Bytes that came after that.
    """

    def __init__(
        self,
        protocol: base_protocol.BaseProtocol,
        loop: asyncio.AbstractEventLoop,
        *,
        limits: Callable[[], RequestLimits],
        take: Callable[[int], bool],
        decompresses: bool = False,
        upgrades: bool = False,
    ) -> None:
        """Starts before the first request.

        Args:
            protocol: Pauses reading while a body is not taken.
            loop: The event loop.
            limits: Returns the limits of the next request.
            take: Takes memory for a part of a head; returns whether there is
                enough.
            decompresses: Whether bodies are decompressed.
            upgrades: Whether requests may switch to WebSocket.
        """
        self._protocol = protocol
        self._loop = loop
        self._read_limits = limits
        self._limits = limits()
        self._take = take
        self._decompresses = decompresses
        self._upgrades = upgrades
        self.is_failed = False
        self.ignored_bytes = 0
        self._error: http_exceptions.HttpProcessingError | None = None
        self._head = self._new_head_parser()
        self._head_bytes = 0
        self._is_inside_head = False
        # The last bytes of an unfinished head: its end may be split.
        self._head_tail = b""
        self._body: _Body | None = None
        self._queued = 0
        self._is_paused = False
        self._tail = b""

    @property
    def has_error(self) -> bool:
        """Whether the next call raises the error that ended the parsing."""
        return self._error is not None

    @property
    def has_unparsed(self) -> bool:
        """Whether bytes were read that are not parsed yet."""
        return bool(self._tail)

    @property
    def is_inside_body(self) -> bool:
        """Whether a body is incomplete."""
        return self._body is not None

    def pause_reading(self) -> None:
        """Stops parsing after the current piece of a body."""
        self._is_paused = True

    def message_consumed(self) -> None:
        """Lets one more request be parsed."""
        self._queued -= 1

    def set_upgraded(self, value: bool) -> None:
        """Does nothing: a declined upgrade leaves the parser as it is."""

    def feed_eof(self) -> None:
        """Does nothing: an incomplete request is given up with its reader."""

    def feed_data(self, data: bytes) -> Parsed:
        """Parses what was left, and then `data`.

        Returns:
            Complete heads, whether the connection was upgraded, and the bytes
            after an upgrade.

        Raises:
            HttpProcessingError: A request is malformed, or exceeds a limit.
        """
        if self._error is not None:
            error, self._error = self._error, None
            raise error
        if self.is_failed:
            self.ignored_bytes += len(data)
            return [], False, b""
        data, self._tail = self._tail + data, b""
        messages: list[Message] = []
        try:
            self._is_paused = False
            while data or self._must_continue_body:
                if self._body is not None:
                    data = self._feed_body(self._body, data)
                    if self._is_paused:
                        break
                    continue
                if self._queued >= MAX_QUEUED:
                    break
                data, upgraded = self._feed_head(data, messages)
                if upgraded:
                    return messages, True, data
        except http_exceptions.HttpProcessingError as error:
            self.is_failed = True
            if messages:
                # They are answered first.
                self._error = error
                return messages, False, b""
            raise
        self._tail = data
        return messages, False, b""

    @property
    def _must_continue_body(self) -> bool:
        return self._body is not None and self._body.has_more

    def close(self) -> None:
        """Drops what was read, and the references back to the connection."""
        self.is_failed = True
        self._tail = b""
        self._take = lambda size_bytes: False
        del self._head
        del self._protocol
        if self._body is not None:
            self._body.drop()
            self._body = None

    def give_up_body(self, error: web_protocol.RequestPayloadError) -> None:
        """Ends the body that is arriving; its reader answers the request."""
        body, self._body = self._body, None
        self.is_failed = True
        self._tail = b""
        if body is not None:
            body.fail(error)

    def _feed_head(
        self, data: bytes, messages: list[Message]
    ) -> tuple[bytes, bool]:
        """Parses up to the end of a head; returns the rest."""
        if not self._is_inside_head:
            started = data.lstrip(LINE_ENDS)
            self._count_head(len(data) - len(started))
            if not started:
                return b"", False
            data = started
            self._is_inside_head = True
        size = _end_of(HEAD_END, self._head_tail, data)
        part, rest = (data[:size], data[size:]) if size else (data, b"")
        self._count_head(len(part))
        cost = HEAD_BYTE_COST * len(part)
        if size:
            cost += REQUEST_COST_BYTES
        cost += HEAD_LINE_COST_BYTES * part.count(b"\n")
        if not self._take(cost):
            raise NoMemoryError(message="no memory for the headers")
        parsed, upgraded, _ = self._head.feed_data(part)
        self._head_tail = _last_bytes(self._head_tail, part)
        if not size:
            return b"", False
        if not parsed:
            raise http_exceptions.BadHttpMessage("incomplete headers")
        ((message, payload),) = parsed
        self._begin_body(message, payload)
        messages.append((message, payload))
        self._queued += 1
        return rest, upgraded and self._upgrades

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.head_bytes:
            raise HeadTooLongError(
                message=f"the headers are longer than"
                f" {self._limits.head_bytes} bytes"
            )

    def _begin_body(
        self,
        message: http_parser.RawRequestMessage,
        payload: streams.StreamReader,
    ) -> None:
        limits = self._limits
        self._limits = self._read_limits()
        self._head = self._new_head_parser()
        self._head_bytes = 0
        self._head_tail = b""
        self._is_inside_head = False
        if payload is streams.EMPTY_PAYLOAD:
            return
        stated = message.headers.get("Content-Length")
        cost = READ_AHEAD_COST_BYTES
        if stated is not None:
            cost = min(cost, int(stated))
        if not self._take(cost):
            raise NoMemoryError(message="no memory for the body")
        if not message.chunked and stated is None:
            # A tunnel, which no listener offers.
            payload.feed_eof()
            return
        sink: Any = payload
        if self._decompresses and message.compression:
            sink = http_parser.DeflateBuffer(
                payload,
                message.compression,
                max_decompress_size=READ_AHEAD_BYTES,
            )
        decoder = None if message.chunked else _Counted(int(stated or 0))
        self._body = _Body(payload, sink, decoder or _Chunked(), limits)

    def _feed_body(self, body: _Body, data: bytes) -> bytes:
        """Passes a piece of a body on; returns what follows it."""
        try:
            rest = body.feed(data)
        except (
            http_exceptions.HttpProcessingError,
            web_protocol.RequestPayloadError,
        ) as error:
            if not isinstance(error, web_protocol.RequestPayloadError):
                error = web_protocol.RequestPayloadError(str(error))
            self.give_up_body(error)
            return b""
        if body.is_complete:
            self._body = None
            self._is_paused = False
        return rest

    def _new_head_parser(self) -> http_parser.HttpRequestParser:
        # The library's own limits are beyond that on the whole head.
        limit = self._limits.head_bytes
        return http_parser.HttpRequestParser(
            self._protocol,
            self._loop,
            READ_AHEAD_BYTES,
            max_line_size=limit,
            max_field_size=limit,
            max_headers=limit,
            payload_exception=web_protocol.RequestPayloadError,
            auto_decompress=False,
        )


class _Body:
    """The body of one request while it arrives."""

    def __init__(
        self,
        payload: streams.StreamReader,
        sink: Any,
        decoder: _Counted | _Chunked,
        limits: RequestLimits,
    ) -> None:
        self._payload = payload
        self._sink = sink
        self._decoder = decoder
        self._limits = limits
        self._read_bytes = 0
        self._decoded_bytes = 0
        # Whether the sink has decompressed only a part of what it was given.
        self.has_more = False
        self.is_complete = False

    def feed(self, data: bytes) -> bytes:
        """Decodes bytes; returns those after the body.

        Raises:
            BodyTooLongError: The body, or its framing, is too long.
            HttpProcessingError: Its framing is malformed.
        """
        if self.has_more:
            self.has_more = self._sink.feed_data(b"")
            if self.has_more:
                return data
        if not self._decoder.is_complete:
            decoded, rest = self._decoder.decode(data)
            self._read_bytes += len(data) - len(rest)
            self._decoded_bytes += len(decoded)
            if decoded:
                self.has_more = self._sink.feed_data(decoded)
            self._check()
            data = rest
        if self._decoder.is_complete and not self.has_more:
            self.is_complete = True
            self._sink.feed_eof()
        return data

    def fail(self, error: web_protocol.RequestPayloadError) -> None:
        """Raises an error where the body is read."""
        self._payload.set_exception(error)

    def drop(self) -> None:
        """Drops what its reader has not taken."""
        drop_unread(self._payload)

    def _check(self) -> None:
        if self._decoded_bytes > self._limits.body_bytes + OVERRUN_BYTES:
            raise BodyTooLongError(
                f"the body is longer than {self._limits.body_bytes} bytes"
            )
        framing = self._read_bytes - self._decoded_bytes
        allowed = self._limits.head_bytes + FRAMING_FACTOR * self._decoded_bytes
        if framing > allowed:
            raise BodyTooLongError(f"{framing} bytes frame the body")


class _Counted:
    """Decodes a body of a stated length."""

    def __init__(self, length_bytes: int) -> None:
        self._left_bytes = length_bytes

    @property
    def is_complete(self) -> bool:
        """Whether all bytes have arrived."""
        return not self._left_bytes

    def decode(self, data: bytes) -> tuple[bytes, bytes]:
        """Returns bytes of the body, and those after it."""
        decoded, rest = data[: self._left_bytes], data[self._left_bytes :]
        self._left_bytes -= len(decoded)
        return decoded, rest


class _Chunked:
    """Decodes a body in chunks; drops extensions and trailers."""

    def __init__(self) -> None:
        self.is_complete = False
        self._pieces: list[bytes] = []
        # The parser calls this for each piece.
        self.on_body = self._pieces.append
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(CHUNKED_HEAD)
        self._tail = b""

    def on_message_complete(self) -> None:
        """Parser callback: the end of the body."""
        self.is_complete = True

    def decode(self, data: bytes) -> tuple[bytes, bytes]:
        """Returns bytes of the body, and those after it.

        Raises:
            HttpProcessingError: The chunks are malformed.
        """
        start = 0
        try:
            while start < len(data) and not self.is_complete:
                # A body ends with a blank line, so that nothing after it is
                # given to the parser.
                end = _end_of(HEAD_END, self._tail, data, start) or len(data)
                part = data[start:end]
                self._parser.feed_data(part)
                self._tail = _last_bytes(self._tail, part)
                start = end
        except httptools.HttpParserError as error:
            raise http_exceptions.TransferEncodingError(str(error)) from error
        decoded = b"".join(self._pieces)
        self._pieces.clear()
        return decoded, data[start:]


def drop_unread(payload: streams.StreamReader) -> None:
    """Drops the bytes of a body that its reader has not taken."""
    if payload.exception() is None and not payload.at_eof():
        with contextlib.suppress(RuntimeError):
            payload.read_nowait()


def _end_of(mark: bytes, before: bytes, data: bytes, start: int = 0) -> int:
    """Returns where in `data` a mark ends; 0 if it doesn't.

    Args:
        mark: The bytes to find.
        before: The last bytes before `start`, fewer than `mark` has.
        data: Where to search.
        start: From where.
    """
    split = before + data[start : start + len(mark) - 1]
    found = split.find(mark)
    if found >= 0:
        return start + found + len(mark) - len(before)
    found = data.find(mark, start)
    return found + len(mark) if found >= 0 else 0


def _last_bytes(before: bytes, data: bytes) -> bytes:
    """Returns the bytes that may be the beginning of the end of a head."""
    size = len(HEAD_END) - 1
    return data[-size:] if len(data) >= size else (before + data)[-size:]


__all__ = [
    "DEFAULT_LIMITS",
    "MAX_QUEUED",
    "READ_AHEAD_BYTES",
    "BodyTooLongError",
    "HeadTooLongError",
    "NoMemoryError",
    "RefusedHeadError",
    "RequestLimits",
    "RequestParser",
    "drop_unread",
]
