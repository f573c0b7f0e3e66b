"""Signed tokens that let a caller resume a stream through any daemon."""

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
    """The stream that a token identifies."""

    server_id: str
    stream_id: str
    stamp: work.Stamp


class TokenSigner:
    """Signs and verifies tokens with a key derived from the cluster secret."""

    def __init__(self, cluster_secret: bytes) -> None:
        """Derives a separate key, so that no token is a valid peer proof."""
        self._key = hmac.new(
            cluster_secret, _KEY_LABEL, hashlib.sha256
        ).digest()

    def sign(self, point: ResumePoint) -> str:
        """Returns the token for a stream."""
        fields = _TokenJson(
            server=point.server_id,
            stream=point.stream_id,
            workspace=point.stamp.workspace,
            target=point.stamp.target,
            weights=point.stamp.weights_version,
            incarnation=point.stamp.incarnation,
        )
        payload = fields.model_dump_json().encode()
        return f"{_encode(payload)}.{_encode(self._mac(payload))}"

    def verify(self, token: str) -> ResumePoint | None:
        """Returns the contents of a token, or None if it is forged."""
        encoded_payload, _, encoded_mac = token.partition(".")
        try:
            payload = base64.urlsafe_b64decode(encoded_payload + "==")
            mac = base64.urlsafe_b64decode(encoded_mac + "==")
        except ValueError:
            return None
        if not hmac.compare_digest(mac, self._mac(payload)):
            return None
        fields = _TokenJson.model_validate_json(payload)
        stamp = work.Stamp(
            workspace=fields.workspace,
            target=fields.target,
            weights_version=fields.weights,
            incarnation=fields.incarnation,
        )
        return ResumePoint(fields.server, fields.stream, stamp)

    def _mac(self, payload: bytes) -> bytes:
        return hmac.new(self._key, payload, hashlib.sha256).digest()


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


__all__ = ["ResumePoint", "TokenSigner"]
