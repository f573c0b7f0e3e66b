"""`godwittack table show`: prints the table in columns."""

from __future__ import annotations

from result import Err

from godwittack.command import client, codes, parser
from godwittack.table import model, schema


@parser.table.command
def show(*, target: client.TargetOption = None, json: bool = False) -> int:
    """Shows the current table, one block per kind of row.

    Args:
        target: Which daemon to call.
        json: Print the stored form, as JSON.
    """
    current = client.fetch_table(target)
    if isinstance(current, Err):
        return client.fail(current.err_value, codes.UNAVAILABLE)
    table = current.ok_value
    if json:
        print(schema.table_to_json(table))
        return codes.OK
    print(f"version {table.version}")
    for kind in model.RowKind:
        rows = [row for row in table.rows() if model.row_kind(row) is kind]
        _print_block(kind, rows)
    return codes.OK


def _print_block(kind: model.RowKind, rows: list[model.Row]) -> None:
    header = [kind.value, *model.columns(kind)]
    lines = [header]
    for row in rows:
        cells = [_short(getattr(row, column)) for column in header[1:]]
        lines.append([row.name, *cells])
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    print()
    for line in lines:
        padded = [c.ljust(w) for c, w in zip(line, widths, strict=True)]
        print("  ".join(padded).rstrip())


def _short(value: model.CellValue) -> str:
    text = str(value)
    return f"{text[:8]}..." if len(text) == 64 else text


__all__ = ["show"]
