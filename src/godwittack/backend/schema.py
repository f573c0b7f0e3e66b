"""Validates load reports and cache events of backend servers."""

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
    """Parses a load report.

    Raises:
        pydantic.ValidationError: `data` is not a valid report.
    """
    report = _LoadJson.model_validate_json(data)
    return protocol.EngineLoad(**report.model_dump())


def events(data: bytes) -> protocol.CacheEvents:
    """Parses a section of the event stream.

    Raises:
        pydantic.ValidationError: `data` is not a valid section.
    """
    section = _EventsJson.model_validate_json(data)
    return protocol.CacheEvents(
        incarnation=section.incarnation,
        weights_version=section.weights_version,
        oldest=section.oldest,
        events=tuple(
            protocol.CacheEvent(e.sequence, e.kind, e.level_key)
            for e in section.events
        ),
    )


__all__ = ["events", "load"]
