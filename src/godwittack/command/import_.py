"""`godwittack table import`: replaces the table by a CSV file."""

from __future__ import annotations

from result import Err

from godwittack.command import client, csv_file, parser, submission


@parser.table.command(name="import")
def import_(
    file: str,
    /,
    *,
    why: str = "",
    target: client.TargetOption = None,
    json: bool = False,
) -> int:
    """Replaces the table by a CSV file, after showing the changed cells.

    Args:
        file: CSV as `export` writes it.
        why: Reason for the audit trail.
        target: Which daemon to call.
        json: Print the daemon's answer as JSON.
    """
    changes = csv_file.changed_cells(file, target)
    if isinstance(changes, Err):
        return client.fail(changes.err_value.detail, changes.err_value.code)
    return submission.submit(target, changes.ok_value, why=why, as_json=json)


__all__ = ["import_"]
