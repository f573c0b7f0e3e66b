"""What backend servers answer about themselves, checked."""

from __future__ import annotations

import pydantic

from godwittack.backend import protocol


class _LoadJson(pydantic.BaseModel):
    incarnation: str
    weights_version: str = ""
    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    prefill_us_per_token: int = 0
    slots: int = 0
    leaving: bool = False


class _EventJson(pydantic.BaseModel):
    sequence: int
    kind: protocol.CacheEventKind
    level_key: int


class _EventsJson(pydantic.BaseModel):
    incarnation: str
    weights_version: str
    oldest: int
    events: list[_EventJson]


def load(data: bytes) -> protocol.EngineLoad:
    """Returns a load report.

    Raises:
        pydantic.ValidationError: It is not one.
    """
    told = _LoadJson.model_validate_json(data)
    return protocol.EngineLoad(**told.model_dump())


def events(data: bytes) -> protocol.CacheEvents:
    """Returns a piece of the event stream.

    Raises:
        pydantic.ValidationError: It is not one.
    """
    told = _EventsJson.model_validate_json(data)
    return protocol.CacheEvents(
        incarnation=told.incarnation,
        weights_version=told.weights_version,
        oldest=told.oldest,
        events=tuple(
            protocol.CacheEvent(e.sequence, e.kind, e.level_key)
            for e in told.events
        ),
    )


__all__ = ["events", "load"]
