"""Rows of backend servers, decoded into entries of the instance list."""

from __future__ import annotations

from typing import Annotated, Literal

import pydantic
from result import Err, Ok, Result

from godwittack import address as addresses
from godwittack.core import incarnation
from godwittack.platform import wire
from godwittack.store import protocol

MAX_SLOTS = 100_000


class _Server(wire.StrictWireModel):
    service: str = pydantic.Field(min_length=1)
    address: Annotated[str, pydantic.AfterValidator(addresses.checked)]
    zone: str = pydantic.Field(min_length=1)
    # Of the server's software, not of its weights.
    version: str
    state: Literal["ready", "draining"]
    slots: int = pydantic.Field(ge=1, le=MAX_SLOTS)
    sequence: wire.Count
    cold_remaining_ms: wire.NonNegativeFloat
    models: tuple[wire.LoadedModel, ...] = ()
    # Unix milliseconds of its start, left out where servers don't tell it.
    born: wire.PositiveInt = 0


def instance_from_row(
    row: protocol.ChangedRow,
) -> Result[protocol.Instance, str]:
    """Decodes one row; an error says why it names no server."""
    try:
        entry = _Server.model_validate_json(row.value)
    except pydantic.ValidationError as error:
        return Err(wire.first_error(error))
    role = protocol.InstanceRole
    return Ok(
        protocol.Instance(
            name=row.key,
            role=role.ENGINE if entry.models else role.SERVICE,
            address=entry.address,
            target=entry.service,
            failure_domain=entry.zone,
            leaving=entry.state != "ready",
            incarnation=incarnation.make_name(row.key, entry.born),
            weights_version=(
                str(entry.models[0].version) if entry.models else ""
            ),
            slots=entry.slots,
        )
    )


__all__ = ["instance_from_row"]
