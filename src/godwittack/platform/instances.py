"""Decodes rows of backend servers into entries of the instance list."""

from __future__ import annotations

from typing import Annotated, Literal

import pydantic
from result import Err, Ok, Result

from godwittack import address as addresses
from godwittack.backend import json_fields
from godwittack.core import incarnation
from godwittack.platform import wire
from godwittack.store import protocol

MAX_SLOTS = 100_000


class _Server(wire.StrictBody):
    service: str = pydantic.Field(min_length=1)
    address: Annotated[str, pydantic.AfterValidator(addresses.validate)]
    zone: str = pydantic.Field(min_length=1)
    # Version of the server's software, not of its weights.
    version: str
    state: Literal["ready", "draining"]
    slots: int = pydantic.Field(ge=1, le=MAX_SLOTS)
    sequence: json_fields.Count
    cold_remaining_ms: json_fields.Amount
    models: json_fields.Items[wire.LoadedModel] = ()
    # Start time in Unix milliseconds; absent if the server does not report it.
    born: json_fields.StartTime = 0


def instance_from_row(
    row: protocol.ChangedRow,
) -> Result[protocol.Instance, str]:
    """Decodes one row; an error says why it is not a valid server."""
    try:
        body = _Server.model_validate_json(row.value)
    except pydantic.ValidationError as error:
        return Err(json_fields.first_error(error))
    role = protocol.InstanceRole
    return Ok(
        protocol.Instance(
            name=row.key,
            role=role.ENGINE if body.models else role.SERVICE,
            address=body.address,
            target=body.service,
            failure_domain=body.zone,
            leaving=body.state != "ready",
            incarnation=incarnation.make_name(row.key, body.born),
            weights_version=str(body.models[0].version) if body.models else "",
            slots=body.slots,
            software_version=body.version,
        )
    )


__all__ = ["instance_from_row"]
