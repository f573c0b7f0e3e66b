"""`godwittack table diff`: compares a CSV file with the current table."""

from __future__ import annotations

from result import Err

from godwittack.command import client, codes, csv_file, parser, submission


@parser.table.command
def diff(file: str, /, *, target: client.TargetOption = None) -> int:
    """Shows what importing a CSV file would change; exits 1 if anything.

    Args:
        file: CSV as `export` writes it.
        target: Which daemon to call.
    """
    changes = csv_file.changed_cells(file, target)
    if isinstance(changes, Err):
        return client.fail(changes.err_value.detail, changes.err_value.code)
    for change in changes.ok_value:
        print(submission.format_change(change))
    return codes.FAILED if changes.ok_value else codes.OK


__all__ = ["diff"]
