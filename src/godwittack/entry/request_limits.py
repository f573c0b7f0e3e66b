"""Limits of one request, and errors of those that exceed them."""

from __future__ import annotations

import dataclasses

from aiohttp import http_exceptions, web_protocol

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
    "NoMemoryError",
    "RefusedHeadError",
    "RequestLimits",
]
