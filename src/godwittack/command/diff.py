"""`godwittack table diff`: compares a CSV with the table in force."""

from __future__ import annotations

import pathlib

from result import Err

from godwittack.command import changing, client, codes, parser
from godwittack.table import edit, sheet


@parser.table.command
def diff(file: str, /, *, target: client.TargetOption = None) -> int:
    """Shows what importing a CSV would change; exits 1 if anything.

    Args:
        file: CSV as `export` writes it.
        target: Which daemon to ask.
    """
    try:
        text = pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return client.fail(f"{file}: {error}")
    before = client.table(target)
    if isinstance(before, Err):
        return client.fail(before.err_value, codes.UNAVAILABLE)
    after = sheet.from_csv(text, version=before.ok_value.version)
    if isinstance(after, Err):
        return client.fail(f"{file}, {after.err_value}")
    changes = edit.diff(before.ok_value, after.ok_value)
    for change in changes:
        print(changing.describe(change))
    return codes.FAILED if changes else codes.OK


__all__ = ["diff"]
