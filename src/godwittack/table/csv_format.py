"""Converts the table to and from CSV, for editing in a spreadsheet."""

from __future__ import annotations

import csv
import io

from result import Err, Ok, Result

from godwittack.table import model, schema


def to_csv(table: model.Table) -> str:
    """Returns one line per row; columns that a kind lacks are empty."""
    header = _header()
    buffer = io.StringIO()
    writer = csv.DictWriter(buffer, header, lineterminator="\n", restval="")
    writer.writeheader()
    for row in table.rows():
        kind = model.row_kind(row)
        line = {"kind": kind.value, "name": row.name}
        for column in model.columns(kind):
            line[column] = str(getattr(row, column))
        writer.writerow(line)
    return buffer.getvalue()


def from_csv(text: str, *, version: int) -> Result[model.Table, str]:
    """Parses and checks CSV text; an empty cell gets the column's default.

    Returns:
        The table, or an error that names the line and the cell.
    """
    reader = csv.DictReader(io.StringIO(text.lstrip("\ufeff")))
    rows: list[model.Row] = []
    seen: set[tuple[str, str]] = set()
    unknown = [c for c in reader.fieldnames or [] if c not in _header()]
    if unknown:
        return Err(f"line 1: no column is named {unknown[0]!r}")
    for number, line in enumerate(reader, start=2):
        kind_text = (line.get("kind") or "").strip()
        if kind_text not in set(model.RowKind):
            return Err(
                f"line {number}: kind is {kind_text!r}; write workspace,"
                " model or service"
            )
        cells: dict[str, model.CellValue] = {
            column: value.strip()
            for column, value in line.items()
            if column != "kind" and value and value.strip()
        }
        checked = schema.check_row(model.RowKind(kind_text), cells)
        if isinstance(checked, Err):
            return Err(f"line {number}: {checked.err_value}")
        key = (kind_text, checked.ok_value.name)
        if key in seen:
            return Err(f"line {number}: {key[0]} {key[1]} is listed twice")
        seen.add(key)
        rows.append(checked.ok_value)
    return Ok(model.Table.from_rows(version=version, rows=rows))


def _header() -> list[str]:
    header = ["kind", "name"]
    for kind in model.RowKind:
        header.extend(c for c in model.columns(kind) if c not in header)
    return header


__all__ = ["from_csv", "to_csv"]
