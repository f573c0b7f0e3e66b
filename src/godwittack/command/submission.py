"""Prints a change of the table, asks for a reason and submits it."""

from __future__ import annotations

import json
import secrets
import sys

from result import Err

from godwittack.command import client, codes
from godwittack.table import model, schema


def format_change(change: model.CellChange) -> str:
    """Returns one line that describes a changed cell."""
    if change.column == model.ROW_COLUMN:
        verb = "new row" if change.after is not None else "row removed"
        return f"{change.kind} {change.name}: {verb}"
    before = "(none)" if change.before is None else change.before
    after = "(none)" if change.after is None else change.after
    return f"{change.kind} {change.name}, {change.column}: {before} -> {after}"


def submit(
    target: client.Target | None,
    changes: list[model.CellChange],
    *,
    why: str,
    as_json: bool,
    undoes: int = 0,
) -> int:
    """Submits a change, prints the outcome and returns the exit code."""
    if not changes:
        print("nothing changes")
        return codes.OK
    if not as_json:
        for change in changes:
            print(format_change(change))
    why = why or _ask_reason()
    if len(why) < 3:
        return client.fail("--why: write a reason of at least 3 letters")
    answer = client.call(
        target,
        "POST",
        "/operator/table",
        {
            "why": why,
            "changes": schema.changes_to_list(changes),
            "undoes": undoes,
            "commit_id": secrets.token_hex(8),
        },
    )
    if isinstance(answer, Err):
        return client.fail(
            f"{answer.err_value}; the change may have been committed: check"
            " `godwittack table history` through another daemon",
            codes.UNAVAILABLE,
        )
    if as_json:
        print(answer.ok_value.body)
    else:
        _print_result(answer.ok_value)
    return _exit_code(answer.ok_value)


def _print_result(answer: client.Answer) -> None:
    if answer.status == 409:
        _print_conflict(json.loads(answer.body))
    elif answer.status != 200:
        print(f"not changed: {client.error_detail(answer)}", file=sys.stderr)
    else:
        _print_commit(json.loads(answer.body))


def _print_commit(outcome: dict) -> None:
    version, after_ms = outcome["version"], outcome["after_ms"]
    if outcome["result"] == "accepted":
        print(
            f"version {version} is in effect on {len(outcome['confirmed'])}"
            f" daemons after {after_ms} ms"
        )
    else:
        print(
            f"version {version} is stored but not yet in effect everywhere;"
            f" no confirmation from: {', '.join(outcome['missing'])}"
        )
    if outcome["lapsed"]:
        print(
            "these daemons did not respond and accept no new requests until"
            f" they have it: {', '.join(outcome['lapsed'])}"
        )


def _print_conflict(conflict: dict) -> None:
    print(
        "not changed: another change of these cells was committed first",
        file=sys.stderr,
    )
    for cell in conflict["cells"]:
        print(
            f"  {cell['kind']} {cell['name']}, {cell['column']}: you saw"
            f" {cell['before']}, now it is {cell['after']}",
            file=sys.stderr,
        )
    for other in conflict["others"]:
        print(
            f"  version {other['version']} by {other['who']}: {other['why']}",
            file=sys.stderr,
        )


def _ask_reason() -> str:
    if not sys.stdin.isatty():
        return ""
    return input("reason (for the audit trail): ").strip()


def _exit_code(answer: client.Answer) -> int:
    if answer.status == 409:
        return codes.CONFLICT
    if answer.status >= 500:
        return codes.UNAVAILABLE
    if answer.status != 200:
        return codes.BAD_INPUT
    outcome = json.loads(answer.body)
    return codes.OK if outcome["result"] == "accepted" else codes.UNAVAILABLE


__all__ = ["format_change", "submit"]
