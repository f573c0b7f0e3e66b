"""`godwittack table diff`: compares a CSV with the table in force."""

from __future__ import annotations

from result import Err

from godwittack.command import client, codes, csv_file, parser, submission


@parser.table.command
def diff(file: str, /, *, target: client.TargetOption = None) -> int:
    """Shows what importing a CSV would change; exits 1 if anything.

    Args:
        file: CSV as `export` writes it.
        target: Which daemon to ask.
    """
    found = csv_file.changed_cells(file, target)
    if isinstance(found, Err):
        return client.fail(found.err_value.detail, found.err_value.code)
    for change in found.ok_value:
        print(submission.format_change(change))
    return codes.FAILED if found.ok_value else codes.OK


__all__ = ["diff"]
