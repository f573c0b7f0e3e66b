"""`godwittack table history`: prints the audit trail."""

from __future__ import annotations

import datetime
import json as json_module

from result import Err, Ok, Result

from godwittack.command import client, codes, parser, submission
from godwittack.table import model, schema


@parser.table.command
def history(
    *,
    after: int = 0,
    target: client.TargetOption = None,
    json: bool = False,
) -> int:
    """Shows who changed what, when and why, oldest first.

    Args:
        after: Show only versions above this one.
        target: Which daemon to call.
        json: Print the entries in their stored form, as JSON.
    """
    result = fetch_entries(target, after=after)
    if isinstance(result, Err):
        return client.fail(result.err_value, codes.UNAVAILABLE)
    if json:
        stored = [schema.audit_to_json(entry) for entry in result.ok_value]
        print("[" + ",".join(stored) + "]")
        return codes.OK
    for entry in result.ok_value:
        committed_at = datetime.datetime.fromtimestamp(
            entry.at_wall_ms / 1000, tz=datetime.UTC
        )
        undoes = f" (undoes {entry.undoes})" if entry.undoes else ""
        print(
            f"version {entry.version}{undoes}, {committed_at:%Y-%m-%d %H:%M:%S}"
            f" UTC, {entry.who}: {entry.why}"
        )
        for change in entry.changes:
            print(f"    {submission.format_change(change)}")
    return codes.OK


def fetch_entries(
    target: client.Target | None, *, after: int
) -> Result[list[model.AuditEntry], str]:
    """Returns the audit entries above a version."""
    result = client.call(target, "GET", f"/operator/history?after={after}")
    if isinstance(result, Err):
        return result
    if result.ok_value.status != 200:
        return Err(client.error_detail(result.ok_value))
    entries: list[model.AuditEntry] = []
    for stored in json_module.loads(result.ok_value.body):
        parsed = schema.audit_from_json(json_module.dumps(stored))
        if isinstance(parsed, Err):
            return parsed
        entries.append(parsed.ok_value)
    return Ok(entries)


__all__ = ["fetch_entries", "history"]
