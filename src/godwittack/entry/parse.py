"""Parses callers' requests, within limits, into the core's types."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pydantic
import xxhash
from result import Err, Ok, Result

from godwittack import digits
from godwittack.backend import headers as backend_headers
from godwittack.core import work
from godwittack.placement import levels
from godwittack.table import model

if TYPE_CHECKING:
    from aiohttp import web

MAX_DEADLINE_MS = 3_600_000
DEADLINE_HEADER = "x-deadline-ms"
# Headers that are not forwarded from callers. Some of them control access to
# cached state and are set only by the daemon: a caller that could send them
# would be able to read another workspace's cache.
RESERVED_HEADERS = frozenset(
    {
        "authorization",
        "content-length",
        "host",
        "x-workspace",
        "x-weights-version",
        "x-incarnation",
        "x-stream-id",
        "x-priority",
        "x-cache-levels",
        "x-godwittack-proof",
        "last-event-id",
        "accept-encoding",
        "expect",
        DEADLINE_HEADER,
    }
)


class _Message(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="allow")
    role: str


class _Generation(pydantic.BaseModel):
    """The fields of an OpenAI request that routing needs."""

    model_config = pydantic.ConfigDict(extra="allow")
    model: str
    messages: list[_Message] | None = None
    prompt: str | list[str] | None = None
    stream: bool = False
    max_tokens: int | None = pydantic.Field(default=None, ge=0)
    max_completion_tokens: int | None = pydantic.Field(default=None, ge=0)
    cache_prefix_lengths: list[int] = []


def bearer_digest(request: web.Request) -> str:
    """Returns the digest of the bearer token, or an empty string if none."""
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        return ""
    return model.token_digest(token.strip())


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Returns a hash that is equal for identical requests."""
    digest = xxhash.xxh3_128(f"{method} {path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def parse_generation(
    request: web.Request, body: bytes, *, workspace: str
) -> Result[work.Work, str]:
    """Parses a request for a chat completion or a completion."""
    try:
        generation = _Generation.model_validate_json(body)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(part) for part in first["loc"])
        return Err(f"{location or 'body'}: {first['msg']}")
    if generation.messages is None and generation.prompt is None:
        return Err("write messages or prompt")
    deadline = _parse_deadline(request)
    if isinstance(deadline, Err):
        return deadline
    max_tokens = generation.max_completion_tokens or generation.max_tokens or 0
    parts = _prompt_parts(generation)
    prompt_levels = levels.chain(
        workspace=workspace, target=generation.model, parts=parts
    )
    return Ok(
        work.Work(
            kind=work.WorkKind.GENERATION,
            token_sha256=bearer_digest(request),
            target=generation.model,
            caller_request_id=request.headers.get("x-request-id", ""),
            levels=prompt_levels,
            used_tokens=sum(level.tokens for level in prompt_levels)
            + max_tokens,
            parts=levels.shared_parts(map(levels.part_digest, parts)),
            max_tokens=max_tokens,
            streaming=generation.stream,
            deadline_ms=deadline.ok_value,
            fingerprint=fingerprint("POST", request.path, body),
        )
    )


def parse_service_call(
    request: web.Request, body: bytes, *, service: str, path: str
) -> Result[work.Work, str]:
    """Parses a call to a plain service."""
    deadline = _parse_deadline(request)
    if isinstance(deadline, Err):
        return deadline
    key = request.headers.get("idempotency-key", "")
    if len(key) > 200:
        return Err("Idempotency-Key is longer than 200 characters")
    return Ok(
        work.Work(
            kind=work.WorkKind.PLAIN,
            token_sha256=bearer_digest(request),
            target=service,
            caller_request_id=request.headers.get("x-request-id", ""),
            deadline_ms=deadline.ok_value,
            method=request.method,
            idempotency_key=key,
            fingerprint=fingerprint(request.method, path, body),
        )
    )


def forwarded_headers(request: web.Request) -> tuple[work.Header, ...]:
    """Returns the caller's end-to-end headers, without the reserved ones."""
    connection_options = {
        part.strip().lower()
        for part in request.headers.get("connection", "").split(",")
    }
    dropped = backend_headers.HOP_BY_HOP | RESERVED_HEADERS | connection_options
    return tuple(
        work.Header(name, value)
        for name, value in request.headers.items()
        if name.lower() not in dropped
    )


def level_header(requested_work: work.Work) -> work.Header:
    """Returns the header that lists the prompt's levels for the engine."""
    value = ",".join(
        f"{level.key}:{level.tokens}" for level in requested_work.levels
    )
    return work.Header("x-cache-levels", value)


def _prompt_parts(generation: _Generation) -> list[bytes]:
    if generation.messages is not None:
        return [
            json.dumps(m.model_dump(), sort_keys=True).encode()
            for m in generation.messages
        ]
    prompt = generation.prompt or ""
    if isinstance(prompt, list):
        return [part.encode() for part in prompt]
    parts: list[bytes] = []
    start = 0
    for end in sorted(set(generation.cache_prefix_lengths)):
        if start < end < len(prompt):
            parts.append(prompt[start:end].encode())
            start = end
    parts.append(prompt[start:].encode())
    return parts


def _parse_deadline(request: web.Request) -> Result[int, str]:
    text = request.headers.get(DEADLINE_HEADER, "")
    if not text:
        return Ok(0)
    deadline_ms = digits.parse(text)
    if deadline_ms is None or not 0 < deadline_ms <= MAX_DEADLINE_MS:
        return Err(f"{DEADLINE_HEADER}: write 1 to {MAX_DEADLINE_MS}")
    return Ok(deadline_ms)


__all__ = [
    "bearer_digest",
    "fingerprint",
    "forwarded_headers",
    "level_header",
    "parse_generation",
    "parse_service_call",
]
