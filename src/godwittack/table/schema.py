"""Validates rows and cells, and converts tables to and from JSON."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING, Annotated

import pydantic
from result import Err, Ok, Result

from godwittack.table import forwarding as forwardings
from godwittack.table import model

if TYPE_CHECKING:
    from collections.abc import Mapping

Name = Annotated[
    str,
    pydantic.StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,79}$"),
]
Digest = Annotated[
    str, pydantic.StringConstraints(pattern=r"^([0-9a-f]{64})?$")
]
Count = Annotated[int, pydantic.Field(ge=0, le=1_000_000)]
Tokens = Annotated[int, pydantic.Field(ge=0, le=10**15)]
Rate = Annotated[float, pydantic.Field(ge=0, le=1_000_000)]
Units = Annotated[float, pydantic.Field(ge=0, le=1e15, allow_inf_nan=False)]
Weight = Annotated[float, pydantic.Field(gt=0, le=1000)]
DeadlineMs = Annotated[int, pydantic.Field(ge=10, le=3_600_000)]


class _Checked(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")
    name: Name


class _Workspace(_Checked):
    token_sha256: Digest = ""
    weight: Weight = 1.0
    max_in_flight: Count = 200
    max_requests_per_s: Rate = 100.0
    deadline_ms: DeadlineMs = 10_000
    quota_per_s: Units = 0.0
    quota_burst: Units = 0.0
    quota_unit: model.QuotaUnit = model.QuotaUnit.TOKENS
    uncounted_tokens: Tokens = 0

    @pydantic.model_serializer(mode="wrap")
    def _omit_no_quota(
        self, handler: pydantic.SerializerFunctionWrapHandler
    ) -> dict[str, object]:
        """Leaves out an unset quota, which earlier releases can't read."""
        cells: dict[str, object] = handler(self)
        if self.quota_per_s or self.quota_burst or self.uncounted_tokens:
            return cells
        return {
            k: v
            for k, v in cells.items()
            if not k.startswith("quota_") and k != "uncounted_tokens"
        }


class _Model(_Checked):
    weights_version: Name = "1"
    reuse_weight: Annotated[float, pydantic.Field(ge=0, le=10)] = 0.5
    max_queue: Count = 200


class _Service(_Checked):
    repeatable: model.Repeatable = model.Repeatable.READS
    max_in_flight: Count = 200
    deadline_ms: DeadlineMs = 10_000


_CHECKS: dict[model.RowKind, type[_Checked]] = {
    model.RowKind.WORKSPACE: _Workspace,
    model.RowKind.MODEL: _Model,
    model.RowKind.SERVICE: _Service,
}


class _ChangeJson(pydantic.BaseModel):
    kind: model.RowKind
    name: str
    column: str
    before: str | int | float | None = None
    after: str | int | float | None = None


class _AuditJson(pydantic.BaseModel):
    version: int
    who: str
    why: str
    at_wall_ms: int
    changes: list[_ChangeJson]
    undoes: int = 0
    commit_id: str = ""


class _TableJson(pydantic.BaseModel):
    version: int
    workspaces: list[_Workspace] = []
    models: list[_Model] = []
    services: list[_Service] = []
    tokens: dict[str, str] = {}
    forwarding: forwardings.Forwarding | None = None

    @pydantic.field_serializer("forwarding", mode="wrap")
    def _sort_sets(
        self,
        forwarding: forwardings.Forwarding | None,
        serialize: pydantic.SerializerFunctionWrapHandler,
    ) -> object:
        """Makes the stored form the same in all processes."""
        fields = serialize(forwarding)
        if fields is not None:
            fields["isolated"] = sorted(fields["isolated"])
        return fields


def check_row(
    kind: model.RowKind, cells: Mapping[str, model.CellValue]
) -> Result[model.Row, str]:
    """Builds a row from its cells; checks column names, types and ranges."""
    try:
        checked = _CHECKS[kind].model_validate(dict(cells))
    except pydantic.ValidationError as error:
        return Err(_describe_error(kind, str(cells.get("name", "?")), error))
    return Ok(model.ROW_TYPES[kind](**checked.model_dump()))


def table_to_json(table: model.Table) -> str:
    """Returns the stored form of a table."""
    stored = _TableJson.model_validate(
        {
            "version": table.version,
            "workspaces": [_fields(r) for r in table.workspaces.values()],
            "models": [_fields(r) for r in table.models.values()],
            "services": [_fields(r) for r in table.services.values()],
            "tokens": table.workspace_by_token if table.forwarding else {},
            "forwarding": table.forwarding,
        }
    )
    absent = set() if table.forwarding else {"tokens", "forwarding"}
    return stored.model_dump_json(exclude=absent)


def table_from_json(text: str) -> Result[model.Table, str]:
    """Reads the stored form of a table."""
    try:
        stored = _TableJson.model_validate_json(text)
    except pydantic.ValidationError as error:
        return Err(f"stored table is damaged: {error.errors()[0]['msg']}")
    rows: list[model.Row] = []
    rows.extend(model.WorkspaceRow(**r.model_dump()) for r in stored.workspaces)
    rows.extend(model.ModelRow(**r.model_dump()) for r in stored.models)
    rows.extend(model.ServiceRow(**r.model_dump()) for r in stored.services)
    table = model.Table.from_rows(version=stored.version, rows=rows)
    table.workspace_by_token.update(stored.tokens)
    return Ok(dataclasses.replace(table, forwarding=stored.forwarding))


def audit_to_json(entry: model.AuditEntry) -> str:
    """Returns the stored form of an audit entry."""
    return json.dumps(
        {
            "version": entry.version,
            "who": entry.who,
            "why": entry.why,
            "at_wall_ms": entry.at_wall_ms,
            "undoes": entry.undoes,
            "commit_id": entry.commit_id,
            "changes": changes_to_list(entry.changes),
        }
    )


def audit_from_json(text: str) -> Result[model.AuditEntry, str]:
    """Reads the stored form of an audit entry."""
    try:
        stored = _AuditJson.model_validate_json(text)
    except pydantic.ValidationError as error:
        return Err(f"audit entry is damaged: {error.errors()[0]['msg']}")
    changes = tuple(_change(c) for c in stored.changes)
    return Ok(
        model.AuditEntry(
            version=stored.version,
            who=stored.who,
            why=stored.why,
            at_wall_ms=stored.at_wall_ms,
            changes=changes,
            undoes=stored.undoes,
            commit_id=stored.commit_id,
        )
    )


def changes_to_list(
    changes: tuple[model.CellChange, ...] | list[model.CellChange],
) -> list[dict[str, model.CellValue | None]]:
    """Returns changes as JSON-ready objects."""
    return [
        {
            "kind": change.kind.value,
            "name": change.name,
            "column": change.column,
            "before": change.before,
            "after": change.after,
        }
        for change in changes
    ]


def changes_from_list(raw: object) -> Result[list[model.CellChange], str]:
    """Reads changes that an operator's command sent."""
    adapter = pydantic.TypeAdapter(list[_ChangeJson])
    try:
        return Ok([_change(c) for c in adapter.validate_python(raw)])
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        path = ".".join(str(part) for part in first["loc"])
        return Err(f"change {path}: {first['msg']}")


def _change(stored: _ChangeJson) -> model.CellChange:
    return model.CellChange(
        kind=stored.kind,
        name=stored.name,
        column=stored.column,
        before=stored.before,
        after=stored.after,
    )


def _fields(row: model.Row) -> dict[str, model.CellValue]:
    names = ("name", *model.columns(model.row_kind(row)))
    return {name: getattr(row, name) for name in names}


def _describe_error(
    kind: model.RowKind, name: str, error: pydantic.ValidationError
) -> str:
    first = error.errors()[0]
    column = ".".join(str(part) for part in first["loc"])
    if first["type"] == "extra_forbidden":
        known = ", ".join(model.columns(kind))
        return f"{kind} {name}: no cell is named {column!r}; cells are {known}"
    return f"{kind} {name}, cell {column}: {first['msg']}"


__all__ = [
    "audit_from_json",
    "audit_to_json",
    "changes_from_list",
    "changes_to_list",
    "check_row",
    "table_from_json",
    "table_to_json",
]
