"""How callers' requests are read, and what they are answered."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from result import Err, Ok, Result

from godwittack.backend import headers as backend_headers
from godwittack.backend import protocol as backend
from godwittack.core import work
from godwittack.entry import forward
from godwittack.placement import levels
from godwittack.platform import names
from godwittack.table import model

if TYPE_CHECKING:
    from godwittack.core import effects

# Set anew towards the server; `Host` is handed on, since the server sees it.
_DROPPED = names.SYSTEM_HEADERS | {"expect"}
MAX_DEADLINE_MS = 3_600_000


class CallerFormat:
    """Implements `CallerFormat` of `entry/forward.py`."""

    def read(
        self, request: web.BaseRequest, body: bytes, known: model.Table
    ) -> Result[forward.Arrived, str]:
        """Reads a request's headers."""
        request_id = request.headers.get(names.REQUEST_ID, "")
        key = request.headers.get(names.API_KEY, "")
        for name in (names.REQUEST_ID, names.API_KEY, "Host"):
            if len(request.headers.getall(name, [])) > 1:
                return Err(f"{name}: sent more than once")
        if not request_id:
            return Err(f"{names.REQUEST_ID}: missing")
        after = backend_headers.parse_number(
            request.headers.get(names.LAST_EVENT_ID, "0")
        )
        deadline_ms = backend_headers.parse_number(
            request.headers.get(names.DEADLINE, "0")
        )
        if after is None or deadline_ms is None:
            return Err(f"{names.LAST_EVENT_ID} or {names.DEADLINE}: no number")
        digest = model.token_digest(key)
        path = request.raw_path
        owner = known.cache_owner(known.workspace_by_token.get(digest, ""))
        tokens = request.headers.get(names.TOKENS, "").partition(",")
        prompt_tokens = backend_headers.parse_number(tokens[0]) or 0
        asked = work.Work(
            kind=work.WorkKind.PLAIN,
            token_sha256=digest,
            target="",
            caller_request_id=request_id,
            levels=_levels(request, owner, prompt_tokens),
            max_tokens=backend_headers.parse_number(tokens[2]) or 0,
            deadline_ms=min(deadline_ms, MAX_DEADLINE_MS),
            method=request.method,
            host=request.headers.get("Host", ""),
            path=path.partition("?")[0],
            resume_after=after,
        )
        call = backend.Call(
            method=request.method,
            path=path,
            headers=_forwarded(request),
            body=body,
            request_id=request_id,
        )
        return Ok(forward.Arrived(asked, call))

    def refusal(
        self, refused: effects.Refuse, call: backend.Call
    ) -> web.Response:
        """Returns the answer to a request that brings no other."""
        response = web.json_response(
            {"error": refused.reason.value, "detail": refused.detail},
            status=refused.status,
        )
        response.headers[names.REQUEST_ID] = call.request_id
        if refused.retry_after_ms:
            response.headers[names.RETRY_AFTER] = (
                f"{refused.retry_after_ms / 1000:.3f}"
            )
        return response

    def bad_request(self, detail: str, *, status: int) -> web.Response:
        """Returns the answer to a request that could not be read."""
        return web.json_response(
            {"error": "bad_request", "detail": detail}, status=status
        )


def _levels(
    request: web.BaseRequest, owner: str, prompt_tokens: int
) -> tuple[work.Level, ...]:
    """Returns the prompt's levels; one of a single level if none are told."""
    found: list[work.Level] = []
    for entry in request.headers.get(names.LEVELS, "").split(","):
        level, _, tokens = entry.strip().partition(":")
        size = backend_headers.parse_number(tokens)
        if level and size is not None:
            found.append(work.Level(levels.key_for_name(owner, level), size))
    if not found and prompt_tokens:
        key = levels.key_for_name(owner, request.headers[names.REQUEST_ID])
        found.append(work.Level(key, prompt_tokens))
    return tuple(found)


def _forwarded(request: web.BaseRequest) -> tuple[work.Header, ...]:
    return backend_headers.end_to_end(
        (
            work.Header(name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.raw_headers
        ),
        connection=request.headers.get("Connection", ""),
        dropped=_DROPPED,
    )


__all__ = ["CallerFormat"]
