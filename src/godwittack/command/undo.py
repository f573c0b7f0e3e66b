"""`godwittack table undo`: takes one version's changes back."""

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
    """Makes a new version in which one earlier change is taken back.

    Args:
        version: The version whose cells go back.
        why: Reason for the audit trail.
        target: Which daemon to ask.
        json: Print the daemon's answer as JSON.
    """
    got = history.fetch_entries(target, after=version - 1)
    if isinstance(got, Err):
        return client.fail(got.err_value, codes.UNAVAILABLE)
    if not got.ok_value or got.ok_value[0].version != version:
        return client.fail(f"no version {version} is in the history")
    changes = edit.invert(got.ok_value[0].changes)
    return submission.submit(
        target,
        changes,
        why=why or f"undo of version {version}",
        as_json=json,
        undoes=version,
    )


__all__ = ["undo"]
