"""`godwittack table export`: writes the table as CSV."""

from __future__ import annotations

import pathlib
import sys

from result import Err

from godwittack.command import client, codes, parser
from godwittack.table import csv_format


@parser.table.command
def export(file: str = "-", /, *, target: client.TargetOption = None) -> int:
    """Writes the table as CSV, for a spreadsheet.

    Args:
        file: Output file; `-` is the standard output.
        target: Which daemon to call.
    """
    table = client.fetch_table(target)
    if isinstance(table, Err):
        return client.fail(table.err_value, codes.UNAVAILABLE)
    text = csv_format.to_csv(table.ok_value)
    if file == "-":
        sys.stdout.write(text)
    else:
        pathlib.Path(file).write_text(text, encoding="utf-8")
        print(f"version {table.ok_value.version} written to {file}")
    return codes.OK


__all__ = ["export"]
