"""Converts claims to and from their stored form."""

from __future__ import annotations

import base64

import pydantic

from godwittack.core import work
from godwittack.store import protocol

TABLE = "claims"


class _AnswerJson(pydantic.BaseModel):
    status: int
    headers: list[tuple[str, str]]
    body_base64: str
    is_delimited: bool = True


class _ClaimJson(pydantic.BaseModel):
    state: work.ClaimState
    nonce: str
    daemon: str
    fingerprint: str
    answer: _AnswerJson | None = None


def row_id(key: work.ClaimKey) -> protocol.RowId:
    """Returns the row id of a key; the length makes the parts unambiguous."""
    name = f"{len(key.workspace)}.{key.workspace}.{key.service}.{key.key}"
    return protocol.RowId(TABLE, name)


def to_json(claim: work.Claim) -> str:
    """Returns the stored form of a claim."""
    answer = None
    if claim.answer is not None:
        answer = _AnswerJson(
            status=claim.answer.status,
            headers=[(h.name, h.value) for h in claim.answer.headers],
            body_base64=base64.b64encode(claim.answer.body).decode(),
            is_delimited=claim.answer.is_delimited,
        )
    return _ClaimJson(
        state=claim.state,
        nonce=claim.nonce,
        daemon=claim.daemon,
        fingerprint=claim.fingerprint,
        answer=answer,
    ).model_dump_json()


def from_row(row: protocol.StoredRow) -> work.Claim:
    """Returns the claim that a row stores."""
    stored = _ClaimJson.model_validate_json(row.value)
    answer = None
    if stored.answer is not None:
        answer = work.Answer(
            status=stored.answer.status,
            headers=tuple(work.Header(n, v) for n, v in stored.answer.headers),
            body=base64.b64decode(stored.answer.body_base64),
            is_delimited=stored.answer.is_delimited,
        )
    return work.Claim(
        state=stored.state,
        nonce=stored.nonce,
        daemon=stored.daemon,
        fingerprint=stored.fingerprint,
        answer=answer,
        row_version=row.version,
    )


__all__ = ["TABLE", "from_row", "row_id", "to_json"]
