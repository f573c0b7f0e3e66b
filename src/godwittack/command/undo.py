"""`godwittack table undo`: undoes the changes of one version."""

from __future__ import annotations

from result import Err

from godwittack.command import client, codes, history, parser, submission
from godwittack.table import edit


@parser.table.command
def undo(
    version: int,
    /,
    *,
    why: str = "",
    target: client.TargetOption = None,
    json: bool = False,
) -> int:
    """Creates a new version that undoes one earlier change.

    Args:
        version: The version whose changes are undone.
        why: Reason for the audit trail.
        target: Which daemon to call.
        json: Print the daemon's answer as JSON.
    """
    entries = history.fetch_entries(target, after=version - 1)
    if isinstance(entries, Err):
        return client.fail(entries.err_value, codes.UNAVAILABLE)
    if not entries.ok_value or entries.ok_value[0].version != version:
        return client.fail(f"version {version} is not in the history")
    changes = edit.invert(entries.ok_value[0].changes)
    return submission.submit(
        target,
        changes,
        why=why or f"undo of version {version}",
        as_json=json,
        undoes=version,
    )


__all__ = ["undo"]
