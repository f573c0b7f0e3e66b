"""A caller's connection that stays open between requests."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import time

from cluster import processes

# Limit of the reader's buffer: a caller that doesn't read leaves the rest of an
# answer at the daemon.
BUFFER_BYTES = 1 << 16


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer as its caller sees it.

    Attributes:
        status: HTTP status; 0 if no whole head arrived.
        is_whole: Whether the end that its framing promises arrived.
        closes: Whether it announces the end of its connection.
        body: Bytes received.
        ended_after_s: Time from the request to the end, or to the close.
        resume_token: With which its stream can be resumed; empty for none.
    """

    status: int = 0
    is_whole: bool = False
    closes: bool = False
    body: bytes = b""
    ended_after_s: float = 0.0
    resume_token: str = ""

    @property
    def outcome(self) -> str:
        """The outcome in a refusal."""
        return json.loads(self.body)["outcome"]

    @property
    def reason(self) -> str:
        """The reason in a refusal."""
        return json.loads(self.body)["reason"]


class OpenConnection:
    """One connection to a daemon with the project's own interface."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Uses an open connection."""
        self._reader = reader
        self._writer = writer
        self._sent_s = 0.0

    @classmethod
    async def connect(
        cls, cluster: processes.Cluster, name: str = "entry-1"
    ) -> OpenConnection:
        """Connects to a daemon.

        Raises:
            OSError: It doesn't listen.
        """
        return cls(
            *await asyncio.open_connection(
                "127.0.0.1", cluster.ports[name], limit=BUFFER_BYTES
            )
        )

    def write(self, data: bytes) -> None:
        """Writes bytes of a request."""
        self._sent_s = time.monotonic()
        self._writer.write(data)

    def send(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Sends a request."""
        data = b"" if body is None else json.dumps(body).encode()
        self.write(head(method, path, len(data), headers) + data)

    async def read(self, *, bytes_per_s: float = 0.0) -> Answer:
        """Reads an answer to its end, or until the connection is closed.

        Args:
            bytes_per_s: How fast the body is read; 0 for as fast as it comes.
        """
        received = bytearray()
        status, closes, is_whole, resume_token = 0, False, False, ""
        try:
            sent = (await self._reader.readuntil(b"\r\n\r\n")).decode()
            text = sent.lower()
            status = int(text.split()[1])
            closes = "\r\nconnection: close" in text
            at = text.find("\r\nx-resume-token:")
            resume_token = sent[at:].split()[1] if at >= 0 else ""
            if "\r\ntransfer-encoding: chunked" in text:
                while size := int(await self._reader.readuntil(b"\r\n"), 16):
                    received += await self._reader.readexactly(size)
                    await self._reader.readexactly(2)
                await self._reader.readexactly(2)
            else:
                size = int(text.split("\r\ncontent-length:")[1].split()[0])
                await self._read_body(received, size, bytes_per_s)
            is_whole = True
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        return Answer(
            status,
            is_whole,
            closes,
            bytes(received),
            time.monotonic() - self._sent_s,
            resume_token,
        )

    async def read_close(self) -> bytes:
        """Reads until the connection is closed in order.

        Raises:
            ConnectionError: It was reset.
        """
        return await self._reader.read()

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    async def _read_body(
        self, received: bytearray, size: int, bytes_per_s: float
    ) -> None:
        while len(received) < size:
            data = await self._reader.read(size - len(received))
            if not data:
                raise ConnectionError("closed inside the body")
            received += data
            if bytes_per_s:
                await asyncio.sleep(len(data) / bytes_per_s)


def head(
    method: str,
    path: str,
    body_bytes: int,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Returns the head of a request of the workspace `desk`."""
    fields = {
        "Host": "h",
        "Authorization": "Bearer token-desk",
        "Content-Type": "application/json",
        "Content-Length": str(body_bytes),
        **(headers or {}),
    }
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{key}: {value}" for key, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


__all__ = ["Answer", "OpenConnection", "head"]
