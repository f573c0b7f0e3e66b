"""Signed tokens with which a caller resumes a stream through any daemon."""

from __future__ import annotations

import base64
import dataclasses
import hashlib
import hmac

import pydantic

from godwittack.core import work

_KEY_LABEL = b"godwittack resume token"


class _TokenJson(pydantic.BaseModel):
    server: str
    stream: str
    workspace: str
    target: str
    weights: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class ResumePoint:
    """What a token says of a stream."""

    server_id: str
    stream_id: str
    stamp: work.Stamp


class TokenSigner:
    """Signs and checks tokens with a key made from the cluster's secret."""

    def __init__(self, cluster_secret: bytes) -> None:
        """Derives the key, so that it is no peer proof as well."""
        self._key = hmac.new(
            cluster_secret, _KEY_LABEL, hashlib.sha256
        ).digest()

    def sign(self, point: ResumePoint) -> str:
        """Returns the token of a stream."""
        stored = _TokenJson(
            server=point.server_id,
            stream=point.stream_id,
            workspace=point.stamp.workspace,
            target=point.stamp.target,
            weights=point.stamp.weights_version,
            incarnation=point.stamp.incarnation,
        )
        payload = stored.model_dump_json().encode()
        return f"{_encode(payload)}.{_encode(self._mac(payload))}"

    def verify(self, token: str) -> ResumePoint | None:
        """Returns what a token says, or None for a forged one."""
        first, _, second = token.partition(".")
        try:
            payload = base64.urlsafe_b64decode(first + "==")
            mac = base64.urlsafe_b64decode(second + "==")
        except ValueError:
            return None
        if not hmac.compare_digest(mac, self._mac(payload)):
            return None
        told = _TokenJson.model_validate_json(payload)
        stamp = work.Stamp(
            workspace=told.workspace,
            target=told.target,
            weights_version=told.weights,
            incarnation=told.incarnation,
        )
        return ResumePoint(told.server, told.stream, stamp)

    def _mac(self, payload: bytes) -> bytes:
        return hmac.new(self._key, payload, hashlib.sha256).digest()


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


__all__ = ["ResumePoint", "TokenSigner"]
