"""Reads bodies of requests within limits on their length, time and memory."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web_protocol
from result import Err, Ok, Result

from godwittack.entry import (
    connection_timeouts,
    request_limits,
    reservations,
)
from godwittack.limit import body_memory

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import web

# Callers abandon a request that is not read within a second.
MAX_WAIT_MS = 500
# Part of a caller's deadline for which its body may wait.
WAIT_PART = 0.25
STATUS_NOT_IMPLEMENTED = 501
# Characters of an unsupported coding that go into an answer.
MAX_SHOWN_CHARS = 100
# Memory taken for a short body before any of it has arrived.
FIRST_BYTES = 16 << 10


class BodyReader:
    """Reads the bodies of callers' requests."""

    def __init__(self, memory: reservations.SharedBodyMemory) -> None:
        """Takes memory for each body before it is read."""
        self.memory = memory

    async def read(
        self,
        request: web.BaseRequest,
        *,
        max_bytes: int,
        timeout_ms: int,
        head_bytes: int = 0,
        deadline_ms: int = 0,
    ) -> Result[tuple[bytes, reservations.Reservation], reservations.BodyError]:
        """Reads a body once there is memory for it.

        A short body takes memory as it arrives, so that slow callers hold no
        more than they have sent. A longer one takes all at once, that of the
        longest body if it has no stated length: several that took more step by
        step could wait for each other.

        Args:
            request: The request.
            max_bytes: Length of the longest body.
            timeout_ms: How long it may take to arrive once it is read.
            head_bytes: Length of the headers, which stay in memory as well.
            deadline_ms: Caller's time limit; 0 for none.

        Returns:
            The body and its memory, which the caller releases.
        """
        coding = _unsupported_coding(request)
        if coding:
            return Err(
                reservations.BodyError(
                    STATUS_NOT_IMPLEMENTED,
                    f"transfer coding {coding!r}: use chunked",
                )
            )
        stated_bytes = request.content_length
        if stated_bytes is not None and stated_bytes > max_bytes:
            return Err(_too_long(max_bytes))
        max_wait_ms = MAX_WAIT_MS
        if deadline_ms:
            max_wait_ms = min(max_wait_ms, round(deadline_ms * WAIT_PART))
        longest_bytes = head_bytes
        if request.can_read_body:
            longest_bytes += max_bytes if stated_bytes is None else stated_bytes
        first_bytes = min(longest_bytes, head_bytes + FIRST_BYTES)
        if stated_bytes and longest_bytes > body_memory.SHORT_BYTES:
            first_bytes = longest_bytes
        holder = connection_timeouts.holder_of(request)
        reserved = await self.memory.reserve(
            first_bytes, max_wait_ms=max_wait_ms, holder=holder
        )
        if isinstance(reserved, Err):
            return reserved
        reservation = reserved.ok_value
        if first_bytes > body_memory.SHORT_BYTES:
            connection_timeouts.widen_buffer(request)

        async def make_room(read_bytes: int) -> reservations.BodyError | None:
            needed_bytes = head_bytes + read_bytes
            if needed_bytes <= reservation.size_bytes:
                return None
            wanted_bytes = min(longest_bytes, 2 * needed_bytes)
            if wanted_bytes > body_memory.SHORT_BYTES:
                wanted_bytes = longest_bytes
            larger = await self.memory.reserve(
                wanted_bytes, max_wait_ms=max_wait_ms, holder=holder
            )
            if isinstance(larger, Err):
                return larger.err_value
            reservation.replace_by(larger.ok_value)
            if wanted_bytes > body_memory.SHORT_BYTES:
                connection_timeouts.widen_buffer(request)
            return None

        try:
            body = await read_body(
                request,
                max_bytes=max_bytes,
                timeout_ms=timeout_ms,
                make_room=make_room,
            )
        except BaseException:
            reservation.release()
            raise
        if isinstance(body, Err):
            reservation.release()
            return body
        reservation.shrink(head_bytes + len(body.ok_value))
        return Ok((body.ok_value, reservation))


async def read_body(
    request: web.BaseRequest,
    *,
    max_bytes: int,
    timeout_ms: int,
    make_room: Callable[[int], Awaitable[reservations.BodyError | None]]
    | None = None,
) -> Result[bytes, reservations.BodyError]:
    """Reads a body with limits on its length and on the time it takes.

    Args:
        request: The request.
        max_bytes: Length of the longest body.
        timeout_ms: How long it may take to arrive.
        make_room: Called with the bytes read so far before they are kept;
            returns an error if there is no memory for them.
    """
    if request.content_length and request.content_length > max_bytes:
        return Err(_too_long(max_bytes))
    # Many small objects would leave gaps in the heap that are not returned.
    body = bytearray()
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            async for data in request.content.iter_any():
                size_bytes = len(body) + len(data)
                if size_bytes > max_bytes:
                    return Err(_too_long(max_bytes))
                error = await make_room(size_bytes) if make_room else None
                if error is not None:
                    return Err(error)
                body += data
        return Ok(bytes(body))
    except TimeoutError:
        return Err(
            reservations.BodyError(
                408, f"the body took longer than {timeout_ms} ms"
            )
        )
    except web_protocol.RequestPayloadError as error:
        return Err(_payload_error(error))
    finally:
        # An exception keeps this frame until the garbage is collected.
        body.clear()


def _payload_error(
    error: web_protocol.RequestPayloadError,
) -> reservations.BodyError:
    """Returns why a body could not be read to its end."""
    # The body refers to the error, whose frames refer to the body.
    error.__traceback__ = None
    if isinstance(error, request_limits.BodyClosedError):
        return reservations.BodyError(
            503, str(error), reservations.MIN_RETRY_MS
        )
    if isinstance(error, request_limits.BodyTooLongError):
        return reservations.BodyError(413, str(error))
    return reservations.BodyError(400, f"malformed body: {error}")


def _unsupported_coding(request: web.BaseRequest) -> str:
    """Returns a transfer coding other than chunks; empty if there is none.

    Such a body would be passed on in its coding, but without the header that
    names it.
    """
    text = ",".join(request.headers.getall("Transfer-Encoding", []))
    for coding in text.split(","):
        if coding.strip().lower() not in ("", "chunked"):
            return coding.strip()[:MAX_SHOWN_CHARS]
    return ""


def _too_long(max_bytes: int) -> reservations.BodyError:
    return reservations.BodyError(
        413, f"the body is longer than {max_bytes} bytes"
    )


__all__ = ["BodyReader", "read_body"]
