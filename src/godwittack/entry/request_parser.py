"""Parses the requests of one connection within limits.

aiohttp's parser limits lines and the number of headers. It limits neither the
whole head nor trailers nor chunk extensions, calls three functions for each
chunk, and reports an error again with each further read. Here it parses heads
only, each in a parser of its own; `request_body.py` decodes bodies.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import http_exceptions, http_parser, streams, web_protocol

from godwittack.entry import request_body, request_limits

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from aiohttp import base_protocol

    Message = tuple[http_parser.RawRequestMessage, streams.StreamReader]
    Parsed = tuple[list[Message], bool, bytes]

LINE_ENDS = b"\r\n"
# Memory for each byte and each line of a head: the parser keeps names and
# values both as bytes and as text, in objects of their own.
HEAD_BYTE_COST = 3
HEAD_LINE_COST_BYTES = 512
# Memory for a request that is being served, besides its head.
REQUEST_COST_BYTES = 16 << 10
# Bytes of a body kept before its reader takes them, at which reading pauses;
# the library pauses at twice as many.
READ_AHEAD_BYTES = 8 << 10
# Memory for a body that its reader has not taken yet, here and in the system.
READ_AHEAD_COST_BYTES = 64 << 10
# Requests parsed ahead of the one that is being answered.
MAX_QUEUED = 2
# The library's own limits on lines and their number: the whole head is limited
# before it is passed on, and a parser outlives a change of that limit.
NO_LIMIT = (1 << 31) - 1


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
        limits: Callable[[], request_limits.RequestLimits],
        take: Callable[[int], bool],
        decompresses: bool = False,
        upgrades: bool = False,
    ) -> None:
        """Starts before the first request.

        Args:
            protocol: Pauses reading while a body is not taken.
            loop: The event loop.
            limits: Returns the limits in force.
            take: Takes memory for a part of a head; returns whether there is
                enough.
            decompresses: Whether bodies are decompressed.
            upgrades: Whether requests may switch to WebSocket.
        """
        self._protocol = protocol
        self._loop = loop
        self._read_limits = limits
        self._limits = request_limits.LimitsInForce(limits)
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
        self._body: request_body.Body | None = None
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
            self._limits = request_limits.LimitsInForce(self._read_limits)
            started = data.lstrip(LINE_ENDS)
            self._count_head(len(data) - len(started))
            if not started:
                return b"", False
            data = started
            self._is_inside_head = True
        size = request_body.end_of(
            request_body.BLANK_LINE, self._head_tail, data
        )
        part, rest = (data[:size], data[size:]) if size else (data, b"")
        self._count_head(len(part))
        cost = HEAD_BYTE_COST * len(part)
        if size:
            cost += REQUEST_COST_BYTES
        cost += HEAD_LINE_COST_BYTES * part.count(b"\n")
        if not self._take(cost):
            raise request_limits.NoMemoryError(
                message="no memory for the headers"
            )
        parsed, upgraded, _ = self._head.feed_data(part)
        self._head_tail = request_body.last_bytes(self._head_tail, part)
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
        allowed = self._limits.max_head_bytes(self._head_bytes)
        if self._head_bytes > allowed:
            raise request_limits.HeadTooLongError(
                message=f"the headers are longer than {allowed} bytes"
            )

    def _begin_body(
        self,
        message: http_parser.RawRequestMessage,
        payload: streams.StreamReader,
    ) -> None:
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
            raise request_limits.NoMemoryError(message="no memory for the body")
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
        decoder = (
            None if message.chunked else request_body.Counted(int(stated or 0))
        )
        self._body = request_body.Body(
            payload, sink, decoder or request_body.Chunked(), self._limits
        )

    def _feed_body(self, body: request_body.Body, data: bytes) -> bytes:
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
        return http_parser.HttpRequestParser(
            self._protocol,
            self._loop,
            READ_AHEAD_BYTES,
            max_line_size=NO_LIMIT,
            max_field_size=NO_LIMIT,
            max_headers=NO_LIMIT,
            payload_exception=web_protocol.RequestPayloadError,
            auto_decompress=False,
        )


__all__ = ["MAX_QUEUED", "RequestParser"]
