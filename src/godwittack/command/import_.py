"""`godwittack table import`: puts a CSV in force."""

from __future__ import annotations

import pathlib

from result import Err

from godwittack.command import changing, client, codes, parser
from godwittack.table import edit, sheet


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
    return changing.send(target, changes, why=why, as_json=json)


__all__ = ["import_"]
