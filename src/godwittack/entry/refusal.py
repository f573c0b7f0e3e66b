"""Builds the responses and events that report errors to callers."""

from __future__ import annotations

import json
import math

from aiohttp import web

from godwittack.core import effects


def refusal_response(
    refusal: effects.Refuse, *, echoed_id: str
) -> web.Response:
    """Returns a refusal as JSON, with `Retry-After` where it has a time."""
    headers = {"x-request-id": echoed_id}
    if refusal.retry_after_ms:
        seconds = math.ceil(refusal.retry_after_ms / 1000)
        headers["retry-after"] = str(seconds)
    if refusal.status == 401:
        headers["www-authenticate"] = "Bearer"
    return web.json_response(
        _error_body(
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
            detail=refusal.detail,
            retry_after_ms=refusal.retry_after_ms,
        ),
        status=refusal.status,
        headers=headers,
    )


def error_response(
    detail: str, *, status: int = 400, reason: str = "bad_request"
) -> web.Response:
    """Returns a response for an error found before the core."""
    return web.json_response(
        _error_body(
            outcome=effects.Outcome.NOT_RUN.value,
            reason=reason,
            detail=detail,
            retry_after_ms=0,
        ),
        status=status,
    )


def error_event(failure: effects.BreakStream) -> bytes:
    """Returns the event that ends an incomplete stream."""
    body = _error_body(
        outcome=effects.Outcome.UNKNOWN.value,
        reason=failure.reason.value,
        detail=failure.detail,
        retry_after_ms=0,
    )
    return b"event: error\ndata: " + json.dumps(body).encode() + b"\n\n"


def _error_body(
    *, outcome: str, reason: str, detail: str, retry_after_ms: int
) -> dict[str, object]:
    # Client libraries display the `error` object, which has the OpenAI format.
    return {
        "outcome": outcome,
        "reason": reason,
        "detail": detail,
        "retry_after_ms": retry_after_ms,
        "error": {"message": detail, "type": reason, "code": reason},
    }


__all__ = ["error_response", "refusal_response", "error_event"]
