"""Compares tables and applies, checks and inverts cell changes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from godwittack.table import model, schema

if TYPE_CHECKING:
    from collections.abc import Iterable


def diff(before: model.Table, after: model.Table) -> list[model.CellChange]:
    """Returns the cells that differ, in the order of `Table.rows`."""
    changes: list[model.CellChange] = []
    old_rows = {_row_key(row): row for row in before.rows()}
    new_rows = {_row_key(row): row for row in after.rows()}
    for key in [*old_rows, *(k for k in new_rows if k not in old_rows)]:
        changes.extend(
            _diff_row(key[0], key[1], old_rows.get(key), new_rows.get(key))
        )
    return changes


def apply(
    table: model.Table, changes: Iterable[model.CellChange]
) -> Result[model.Table, str]:
    """Sets the cells of `changes` on `table`, with the checks of an import.

    The `before` values are not compared here; `find_conflicts` does that and
    must be called before a commit.

    Returns:
        The table with the version raised by one, or a one-line error.
    """
    cells = {_row_key(row): _cells(row) for row in table.rows()}
    for change in changes:
        key = (change.kind, change.name)
        if change.column == model.ROW_COLUMN:
            if change.after is None:
                cells.pop(key, None)
            else:
                cells.setdefault(key, {"name": change.name})
            continue
        if key not in cells:
            return Err(f"no {change.kind} row is named {change.name!r}")
        if change.after is not None:
            cells[key][change.column] = change.after
    rows: list[model.Row] = []
    for (kind, _), values in cells.items():
        checked = schema.check_row(kind, values)
        if isinstance(checked, Err):
            return checked
        rows.append(checked.ok_value)
    return Ok(model.Table.from_rows(version=table.version + 1, rows=rows))


def find_conflicts(
    table: model.Table, changes: Iterable[model.CellChange]
) -> list[model.CellChange]:
    """Returns the cells that were changed since `changes` was prepared.

    Cells that already have the requested value are left out. Each entry has
    the value that the operator saw as `before` and the current value in
    `table` as `after`.
    """
    found: list[model.CellChange] = []
    for change in changes:
        row = table.row(change.kind, change.name)
        current = _cell_value(row, change.column)
        if current != change.before and current != change.after:
            found.append(dataclasses.replace(change, after=current))
    return found


def invert(changes: Iterable[model.CellChange]) -> list[model.CellChange]:
    """Returns the changes that undo `changes`."""
    inverted = [
        dataclasses.replace(change, before=change.after, after=change.before)
        for change in changes
    ]
    # Row changes come first: a row must exist before its cells are set.
    inverted.sort(key=lambda change: change.column != model.ROW_COLUMN)
    return inverted


def _row_key(row: model.Row) -> tuple[model.RowKind, str]:
    return (model.row_kind(row), row.name)


def _cells(row: model.Row) -> dict[str, model.CellValue]:
    return {
        field.name: _plain_value(getattr(row, field.name))
        for field in dataclasses.fields(row)
    }


def _plain_value(value: model.CellValue) -> model.CellValue:
    if isinstance(value, model.Repeatable):
        return value.value
    return value


def _cell_value(row: model.Row | None, column: str) -> model.CellValue | None:
    if row is None:
        return None
    if column == model.ROW_COLUMN:
        return row.name
    return _plain_value(getattr(row, column))


def _diff_row(
    kind: model.RowKind,
    name: str,
    before: model.Row | None,
    after: model.Row | None,
) -> list[model.CellChange]:
    changes: list[model.CellChange] = []
    if before is None or after is None:
        changes.append(
            model.CellChange(
                kind=kind,
                name=name,
                column=model.ROW_COLUMN,
                before=before.name if before else None,
                after=after.name if after else None,
            )
        )
    for column in model.columns(kind):
        old = _cell_value(before, column)
        new = _cell_value(after, column)
        if old != new:
            changes.append(
                model.CellChange(
                    kind=kind, name=name, column=column, before=old, after=new
                )
            )
    return changes


__all__ = ["apply", "diff", "find_conflicts", "invert"]
