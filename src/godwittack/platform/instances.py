"""Rows of backend servers, decoded into entries of the instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pydantic
from result import Err, Ok, Result

from godwittack.platform import wire
from godwittack.store import protocol

if TYPE_CHECKING:
    from collections.abc import Mapping


class _Server(wire.Wire):
    # The entry's own `version`, left out, is that of the software.
    service: str
    address: str
    zone: str = ""
    state: str
    slots: int = 0
    models: tuple[wire.WeightsOf, ...] = ()


def instances_from_rows(
    rows: Mapping[str, protocol.ChangedRow], *, checks_fencing: bool
) -> Result[dict[str, protocol.Instance], str]:
    """Decodes all rows of the table of servers, by server id."""
    found: dict[str, protocol.Instance] = {}
    for key, row in rows.items():
        if row.deleted:
            continue
        try:
            entry = _Server.model_validate_json(row.value)
        except pydantic.ValidationError as error:
            return Err(f"{key}: {error.errors()[0]['msg']}")
        found[key] = _instance(key, entry, checks_fencing)
    return Ok(found)


def _instance(
    key: str, entry: _Server, checks_fencing: bool
) -> protocol.Instance:
    role = protocol.InstanceRole
    return protocol.Instance(
        name=key,
        role=role.ENGINE if entry.models else role.SERVICE,
        address=entry.address,
        target=entry.service,
        failure_domain=entry.zone,
        leaving=entry.state != "ready",
        checks_fencing=checks_fencing,
        # Each start of a server has an id of its own.
        incarnation=key,
        weights_version=str(entry.models[0].version) if entry.models else "",
        slots=entry.slots,
    )


__all__ = ["instances_from_rows"]
