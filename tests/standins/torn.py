"""Answers that a backend server breaks off inside their heads."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum
from typing import TYPE_CHECKING

from standins import endings

if TYPE_CHECKING:
    from collections.abc import Mapping

# Long enough for the end of a connection to come after its last bytes.
PAUSE_S = 0.01


class Form(enum.StrEnum):
    """Framing of an answer, and whether an interim response precedes it."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"
    INTERIM = "interim"


@dataclasses.dataclass
class Torn:
    """Sends the beginning of one answer to each request, then whole answers.

    Attributes:
        form: Framing of all answers.
        place: Place in the head at which an answer is broken off: 0.0 before
            its first byte, 1.0 before its last one.
        resets: Whether the connection is then reset instead of closed.
        torn_run: Run of each request whose answer is broken off, from 1.
        pieces: Pieces in which a head is sent.
        gap_s: Time between two pieces.
        padding_bytes: Length of a further header.
        count: Answers broken off.
    """

    form: Form = Form.LENGTH
    place: float = 0.5
    resets: bool = False
    torn_run: int = 1
    pieces: int = 1
    gap_s: float = 0.0
    padding_bytes: int = 0
    count: int = 0
    _runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def begin_run(self, request_id: str) -> bool:
        """Counts a run; returns whether its answer is broken off."""
        self._runs[request_id] += 1
        return self._runs[request_id] == self.torn_run

    async def send(
        self,
        transport: asyncio.Transport,
        status_line: str,
        headers: Mapping[str, str],
        body: bytes,
        *,
        is_torn: bool,
    ) -> None:
        """Writes an answer; closes or resets the connection."""
        head = self._head(status_line, headers, len(body))
        if is_torn:
            self.count += 1
            head = head[: round(self.place * (len(head) - 1))]
        size = max(1, -(-len(head) // self.pieces))
        for start in range(0, len(head), size):
            transport.write(head[start : start + size])
            await asyncio.sleep(self.gap_s)
        if not is_torn:
            transport.write(self._framed(body))
        await asyncio.sleep(PAUSE_S)
        if self.resets and is_torn:
            endings.reset(transport)
        else:
            transport.close()

    def _head(
        self, status_line: str, headers: Mapping[str, str], size: int
    ) -> bytes:
        lines = [status_line, *(f"{k}: {v}" for k, v in headers.items())]
        if self.padding_bytes:
            lines.append("X-Padding: " + "p" * self.padding_bytes)
        lines.append("Connection: close")
        if self.form is Form.CHUNKED:
            lines.append("Transfer-Encoding: chunked")
        elif self.form is not Form.CLOSE:
            lines.append(f"Content-Length: {size}")
        if self.form is Form.INTERIM:
            lines[:0] = ["HTTP/1.1 103 Early Hints", "X-Early: 1", ""]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _framed(self, body: bytes) -> bytes:
        if self.form is Form.CHUNKED:
            return b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        return body


__all__ = ["Form", "Torn"]
