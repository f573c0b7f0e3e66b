"""`godwittack table import`: puts a CSV in force."""

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
    """Replaces the table by a CSV; shows the cells that change first.

    Args:
        file: CSV as `export` writes it.
        why: Reason for the audit trail.
        target: Which daemon to ask.
        json: Print the daemon's answer as JSON.
    """
    found = csv_file.changed_cells(file, target)
    if isinstance(found, Err):
        return client.fail(found.err_value.detail, found.err_value.code)
    return submission.submit(target, found.ok_value, why=why, as_json=json)


__all__ = ["import_"]
