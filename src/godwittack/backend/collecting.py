"""Collects bodies of answers without holding large ones in memory.

A plain answer is passed on only when it is whole, so that a request whose
answer breaks off can be sent to another server. A body may have 32 MB, and an
endless one is recognised only beyond that. Large bodies are therefore kept in
a temporary file, and of the bodies of unknown length that one server sends at
the same time, only the first may become large.
"""

from __future__ import annotations

import asyncio
import dataclasses
import tempfile
from typing import TYPE_CHECKING

from absl import logging

from godwittack import digits
from godwittack.backend import reply_limits

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import IO

    from godwittack.clock import Clock

    MakeRoom = Callable[[int], Awaitable[None]]

# Bytes of one body that are kept in memory.
MEMORY_BYTES = 256 << 10
# Temporary files that are open at the same time.
MAX_FILES = 100
# Time for which a server that sent an endless body is not trusted with another
# large one of unknown length, unless it completes an answer before. Otherwise
# each trial after an ejection would read 32 MB.
DISTRUST_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Source:
    """What sends a body.

    Attributes:
        key: Server, and which calls it answers.
        length: Length of the body as stated; empty if it is not.
        limit_bytes: Length that it may have.
        restores_trust: Whether a complete body shows that the server is sound.
    """

    key: str
    length: str
    limit_bytes: int = reply_limits.DEFAULT.answer_bytes
    restores_trust: bool = False


class Spool:
    """Bytes in memory, or in a temporary file once there are many."""

    _open_files = 0

    def __init__(self) -> None:
        """Starts empty."""
        self._memory = bytearray()
        self._file: IO[bytes] | None = None

    def write(self, data: bytes) -> None:
        """Appends bytes.

        Raises:
            OSError: There is no room for them on the disk.
        """
        if self._file is not None:
            self._file.write(data)
            return
        self._memory += data
        if len(self._memory) > MEMORY_BYTES and Spool._open_files < MAX_FILES:
            self._open_file()

    def read(self) -> bytes:
        """Returns all bytes."""
        if self._file is None:
            return bytes(self._memory)
        self._file.seek(0)
        return self._file.read()

    def close(self) -> None:
        """Removes the file."""
        if self._file is not None:
            Spool._open_files -= 1
            self._file.close()
            self._file = None

    def _open_file(self) -> None:
        try:
            opened = tempfile.TemporaryFile()  # noqa: SIM115
        except OSError as error:
            # A valid answer matters more than the memory.
            logging.log_every_n(
                logging.WARNING, "event=no_temporary_file detail=%r", 100, error
            )
            return
        self._file = opened
        Spool._open_files += 1
        opened.write(self._memory)
        self._memory = bytearray()


class ServerBodies:
    """Large bodies of unknown length that one server is sending."""

    def __init__(self) -> None:
        """Starts without bodies."""
        # By the order in which they became large.
        self._sizes: dict[object, int] = {}
        self._changed = asyncio.Event()
        self._distrusted_until_ms = 0

    def is_forgettable(self, now_ms: int) -> bool:
        """Returns whether there is nothing to remember about the server."""
        return not self._sizes and now_ms >= self._distrusted_until_ms

    async def wait_for_turn(
        self,
        body: object,
        size: int,
        *,
        limits: reply_limits.ReplyLimits,
        clock: Clock,
    ) -> None:
        """Records a body's size; waits while others may grow instead of it.

        Raises:
            EndlessReplyError: The server sent an endless body lately.
        """
        if size <= limits.small_body_bytes:
            return
        self._sizes[body] = size
        while True:
            if clock.now_ms() < self._distrusted_until_ms:
                raise reply_limits.EndlessReplyError("body", size)
            first = next(iter(self._sizes))
            others = sum(self._sizes.values()) - self._sizes[first]
            if body is first or others <= limits.shared_body_bytes:
                return
            self._changed.clear()
            await self._changed.wait()

    def end(self, body: object) -> None:
        """Removes a body that is complete or failed."""
        if self._sizes.pop(body, None) is not None:
            self._changed.set()

    def distrust(self, until_ms: int) -> None:
        """Fails other large bodies until a time; 0 trusts the server again."""
        self._distrusted_until_ms = until_ms
        self._changed.set()


class Collector:
    """Collects the bodies of answers, by server."""

    def __init__(
        self,
        *,
        clock: Clock,
        limits: reply_limits.ReplyLimits = reply_limits.DEFAULT,
    ) -> None:
        """Starts without servers."""
        self._clock = clock
        self._limits = limits
        self._servers: dict[str, ServerBodies] = {}

    async def collect(
        self,
        read: Callable[[], Awaitable[bytes]],
        *,
        source: Source,
        make_room: MakeRoom | None = None,
    ) -> bytes:
        """Returns a complete body.

        Args:
            read: Returns the next bytes of the body, empty bytes at its end.
            source: What sends the body.
            make_room: Waits for memory for some bytes of it; None for no limit.

        Raises:
            EndlessReplyError: It is longer than allowed, or is large and comes
                from a server that sent an endless body lately.
            ReplyError: It is incomplete, or can't be kept.
        """
        if _exceeds(source.length, source.limit_bytes):
            raise reply_limits.EndlessReplyError("body", 0)
        server = self._servers.setdefault(source.key, ServerBodies())
        body = object()
        spool = Spool()
        try:
            if make_room is not None and source.length:
                # All at once: answers that took memory step by step could wait
                # for each other.
                await make_room(digits.parse(source.length.strip()) or 0)
                make_room = None
            await self._receive(read, spool, body, source, server, make_room)
            if source.restores_trust:
                server.distrust(0)
            return spool.read()
        except OSError as error:
            raise reply_limits.ReplyError(f"body not kept: {error}") from error
        finally:
            spool.close()
            server.end(body)
            self._forget_old()

    async def _receive(
        self,
        read: Callable[[], Awaitable[bytes]],
        spool: Spool,
        body: object,
        source: Source,
        server: ServerBodies,
        make_room: MakeRoom | None,
    ) -> None:
        size = 0
        while data := await read():
            size += len(data)
            if make_room is not None:
                await make_room(len(data))
            if size > source.limit_bytes:
                server.distrust(self._clock.now_ms() + DISTRUST_MS)
                raise reply_limits.EndlessReplyError("body", size)
            spool.write(data)
            if not source.length:
                await server.wait_for_turn(
                    body, size, limits=self._limits, clock=self._clock
                )

    def _forget_old(self) -> None:
        now_ms = self._clock.now_ms()
        for key, server in list(self._servers.items()):
            if server.is_forgettable(now_ms):
                del self._servers[key]


def _exceeds(length: str, limit_bytes: int) -> bool:
    """Returns whether a stated length, of any number of digits, is too long."""
    text = length.strip().lstrip("0")
    if len(text) > digits.MAX_DIGITS:
        return True
    return (digits.parse(text) or 0) > limit_bytes


__all__ = ["Collector", "ServerBodies", "Source", "Spool"]
