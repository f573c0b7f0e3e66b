"""Converts claims to and from their stored form."""

from __future__ import annotations

import base64

import pydantic
from absl import logging

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


def from_row(row: protocol.StoredRow) -> work.Claim | None:
    """Returns the claim that a row stores, None if no daemon has written it."""
    try:
        stored = _ClaimJson.model_validate_json(row.value)
        answer = _parse_answer(stored.answer)
    except ValueError as error:
        logging.error(
            "event=claim_unreadable row=%r version=%d detail=%r",
            row.row_id.key,
            row.version,
            str(error).partition("\n")[0],
        )
        return None
    return work.Claim(
        state=stored.state,
        nonce=stored.nonce,
        daemon=stored.daemon,
        fingerprint=stored.fingerprint,
        answer=answer,
        row_version=row.version,
    )


def _parse_answer(stored: _AnswerJson | None) -> work.Answer | None:
    if stored is None:
        return None
    return work.Answer(
        status=stored.status,
        headers=tuple(work.Header(n, v) for n, v in stored.headers),
        body=base64.b64decode(stored.body_base64),
        is_delimited=stored.is_delimited,
    )


__all__ = ["TABLE", "from_row", "row_id", "to_json"]
