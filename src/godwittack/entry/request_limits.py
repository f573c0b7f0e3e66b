"""Limits of one request, and errors of those that exceed them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from aiohttp import http_exceptions, web_protocol

if TYPE_CHECKING:
    from collections.abc import Callable

STATUS_HEADERS_TOO_LARGE = 431
STATUS_UNAVAILABLE = 503


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


class LimitsInForce:
    """The limits of one request while it arrives.

    Limits may change meanwhile: it may have what was allowed as it began, and
    what is allowed now.
    """

    def __init__(self, read: Callable[[], RequestLimits]) -> None:
        """Reads the limits as the request begins."""
        self._read = read
        self._limits = read()

    def max_head_bytes(self, wanted_bytes: int) -> int:
        """Returns the limit on a head, or on framing, of a wanted length."""
        if wanted_bytes > self._limits.head_bytes:
            self._widen()
        return self._limits.head_bytes

    def max_body_bytes(self, wanted_bytes: int) -> int:
        """Returns the limit on a body of a wanted length."""
        if wanted_bytes > self._limits.body_bytes:
            self._widen()
        return self._limits.body_bytes

    def _widen(self) -> None:
        now = self._read()
        self._limits = RequestLimits(
            head_bytes=max(self._limits.head_bytes, now.head_bytes),
            body_bytes=max(self._limits.body_bytes, now.body_bytes),
        )


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


class BodyClosedError(web_protocol.RequestPayloadError):
    """A body was given up to make room for other requests."""


__all__ = [
    "DEFAULT_LIMITS",
    "BodyClosedError",
    "BodyTooLongError",
    "HeadTooLongError",
    "LimitsInForce",
    "NoMemoryError",
    "RefusedHeadError",
    "RequestLimits",
]
