"""`godwittack table set`: changes cells of one row."""

from __future__ import annotations

from result import Err

from godwittack.command import client, codes, parser, submission
from godwittack.table import edit, model


@parser.table.command(name="set")
def set_(
    kind: model.RowKind,
    name: str,
    /,
    *cells: str,
    why: str = "",
    target: client.TargetOption = None,
    json: bool = False,
) -> int:
    """Sets cells of a row; creates the row if it does not exist.

    Args:
        kind: workspace, model or service.
        name: Row name.
        cells: Cells as `column=value`.
        why: Reason for the audit trail.
        target: Which daemon to call.
        json: Print the daemon's answer as JSON.
    """
    current = client.fetch_table(target)
    if isinstance(current, Err):
        return client.fail(current.err_value, codes.UNAVAILABLE)
    table = current.ok_value
    requested: list[model.CellChange] = []
    row = table.row(kind, name)
    if row is None:
        requested.append(
            model.CellChange(
                kind=kind,
                name=name,
                column=model.ROW_COLUMN,
                before=None,
                after=name,
            )
        )
    for cell in cells:
        column, equals, value = cell.partition("=")
        if not equals or column not in model.columns(kind):
            known = ", ".join(model.columns(kind))
            return client.fail(f"{cell}: write column=value; columns: {known}")
        before = None if row is None else getattr(row, column)
        requested.append(
            model.CellChange(
                kind=kind,
                name=name,
                column=column,
                before=before,
                after=value,
            )
        )
    applied = edit.apply(table, requested)
    if isinstance(applied, Err):
        return client.fail(applied.err_value)
    # Compares checked rows, in which values have the types of their columns.
    changes = edit.diff(table, applied.ok_value)
    return submission.submit(target, changes, why=why, as_json=json)


__all__ = ["set_"]
