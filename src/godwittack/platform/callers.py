"""Parses callers' requests and builds the responses to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from result import Err, Ok, Result

from godwittack import address as addresses
from godwittack.backend import headers as backend_headers
from godwittack.backend import protocol as backend
from godwittack.core import work
from godwittack.entry import forward
from godwittack.placement import levels
from godwittack.platform import names
from godwittack.table import model

if TYPE_CHECKING:
    from godwittack.core import effects

# Replaced or dropped for servers; the caller's `Host` is forwarded to them.
_NOT_FORWARDED = names.SYSTEM_HEADERS | {"expect"}
MAX_DEADLINE_MS = 3_600_000


class CallerFormat:
    """Implements `CallerFormat` of `entry/forward.py`."""

    def parse_request(
        self, request: web.BaseRequest, table: model.Table
    ) -> Result[forward.ParsedRequest, str]:
        """Parses a request's headers."""
        request_id = request.headers.get(names.REQUEST_ID, "")
        for name in (names.REQUEST_ID, names.API_KEY, "Host"):
            if len(request.headers.getall(name, [])) > 1:
                return Err(f"{name}: sent more than once")
        if not addresses.is_visible(request_id):
            return Err(f"{names.REQUEST_ID}: missing, or not visible ASCII")
        after = backend_headers.parse_number(
            request.headers.get(names.LAST_EVENT_ID, "0")
        )
        deadline_ms = backend_headers.parse_number(
            request.headers.get(names.DEADLINE, "0")
        )
        if after is None or deadline_ms is None:
            return Err(f"{names.LAST_EVENT_ID} or {names.DEADLINE}: no number")
        digest = model.token_digest(request.headers.get(names.API_KEY, ""))
        path = request.raw_path
        owner = table.cache_owner(table.workspace_by_token.get(digest, ""))
        prompt_tokens, answer_tokens = backend_headers.parse_pair(
            request.headers.get(names.TOKEN_COUNTS, "")
        )
        parts = levels.parse_parts(request.headers.get(names.LEVELS, ""))
        requested_work = work.Work(
            kind=work.WorkKind.PLAIN,
            token_sha256=digest,
            target="",
            caller_request_id=request_id,
            levels=levels.of_prompt(parts, prompt_tokens, owner, request_id),
            parts=levels.shared_parts(part.name for part in parts),
            max_tokens=answer_tokens or 0,
            deadline_ms=min(deadline_ms, MAX_DEADLINE_MS),
            method=request.method,
            host=request.headers.get("Host", ""),
            path=path.partition("?")[0],
            resume_after=after,
            resumes=request.headers.get(names.RESUMES, ""),
            used_tokens=levels.used_tokens(parts, prompt_tokens, answer_tokens),
            length_hint=backend_headers.parse_number(
                request.headers.get(names.LENGTH_HINT, "")
            ),
        )
        call = backend.Call(
            method=request.method,
            path=path,
            headers=backend_headers.of_request(request, dropped=_NOT_FORWARDED),
            body=b"",
            request_id=request_id,
        )
        return Ok(forward.ParsedRequest(requested_work, call))

    def refusal_response(
        self, refusal: effects.Refuse, call: backend.Call
    ) -> web.Response:
        """Returns the response to a request that the core refused."""
        response = web.json_response(
            {"error": refusal.reason.value, "detail": refusal.detail},
            status=refusal.status,
        )
        response.headers[names.REQUEST_ID] = call.request_id
        if refusal.retry_after_ms:
            response.headers[names.RETRY_AFTER] = (
                f"{refusal.retry_after_ms / 1000:.3f}"
            )
        return response

    def error_response(self, detail: str, *, status: int) -> web.Response:
        """Returns the response to a request that could not be parsed."""
        return web.json_response(
            {"error": "bad_request", "detail": detail}, status=status
        )


__all__ = ["CallerFormat"]
