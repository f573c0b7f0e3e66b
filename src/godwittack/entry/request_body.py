"""Decodes the body of a request while it arrives, within its limits.

A body with a length needs no parser; `httptools` decodes chunks, and drops
their extensions and trailers.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

import httptools
from aiohttp import http_exceptions

from godwittack.entry import request_limits

if TYPE_CHECKING:
    from aiohttp import streams, web_protocol

# Ends a head, and a body in chunks.
BLANK_LINE = b"\r\n\r\n"
# A head that makes the decoder expect a body in chunks.
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
# A body may have this many bytes of framing for each byte: a chunk of one byte
# has five.
FRAMING_FACTOR = 8
# Bytes beyond the longest body that are read to tell that it is too long.
OVERRUN_BYTES = 1


class Body:
    """The body of one request while it arrives."""

    def __init__(
        self,
        payload: streams.StreamReader,
        sink: Any,
        decoder: Counted | Chunked,
        limits: request_limits.LimitsInForce,
    ) -> None:
        """Passes what `decoder` returns to `sink`, which feeds `payload`."""
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
        wanted = self._decoded_bytes - OVERRUN_BYTES
        allowed = self._limits.max_body_bytes(wanted)
        if wanted > allowed:
            raise request_limits.BodyTooLongError(
                f"the body is longer than {allowed} bytes"
            )
        framing = self._read_bytes - self._decoded_bytes
        extra = framing - FRAMING_FACTOR * self._decoded_bytes
        if extra > self._limits.max_head_bytes(extra):
            raise request_limits.BodyTooLongError(
                f"{framing} bytes frame the body"
            )


class Counted:
    """Decodes a body of a stated length."""

    def __init__(self, length_bytes: int) -> None:
        """Starts before the first byte."""
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


class Chunked:
    """Decodes a body in chunks; drops extensions and trailers."""

    def __init__(self) -> None:
        """Starts before the first chunk."""
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
                end = end_of(BLANK_LINE, self._tail, data, start) or len(data)
                part = data[start:end]
                self._parser.feed_data(part)
                self._tail = last_bytes(self._tail, part)
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


def end_of(mark: bytes, before: bytes, data: bytes, start: int = 0) -> int:
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


def last_bytes(before: bytes, data: bytes) -> bytes:
    """Returns the bytes that may be the beginning of the end of a head."""
    size = len(BLANK_LINE) - 1
    return data[-size:] if len(data) >= size else (before + data)[-size:]


__all__ = [
    "BLANK_LINE",
    "Body",
    "Chunked",
    "Counted",
    "drop_unread",
    "end_of",
    "last_bytes",
]
