"""Shows the cells of a change, asks for a reason and sends it."""

from __future__ import annotations

import json
import secrets
import sys

from result import Err

from godwittack.command import client, codes
from godwittack.table import model, schema


def format_change(change: model.CellChange) -> str:
    """Returns one changed cell as a line."""
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
    """Sends a change and prints what became of it."""
    if not changes:
        print("nothing changes")
        return codes.OK
    if not as_json:
        for change in changes:
            print(format_change(change))
    why = why or _ask_reason()
    if len(why) < 3:
        return client.fail("--why: write a reason of at least 3 letters")
    got = client.call(
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
    if isinstance(got, Err):
        return client.fail(
            f"{got.err_value}; not known whether the change stands: see"
            " `godwittack table history` through another daemon",
            codes.UNAVAILABLE,
        )
    if as_json:
        print(got.ok_value.body)
    else:
        _print_result(got.ok_value)
    return _exit_code(got.ok_value)


def _print_result(answer: client.Answer) -> None:
    if answer.status == 409:
        _print_conflict(json.loads(answer.body))
    elif answer.status != 200:
        print(f"not changed: {client.error_detail(answer)}", file=sys.stderr)
    else:
        _print_commit(json.loads(answer.body))


def _print_commit(told: dict) -> None:
    version, after_ms = told["version"], told["after_ms"]
    if told["result"] == "accepted":
        print(
            f"version {version} is in force at {len(told['confirmed'])}"
            f" daemons after {after_ms} ms"
        )
    else:
        print(
            f"version {version} is stored but not yet in force everywhere;"
            f" no word from: {', '.join(told['missing'])}"
        )
    if told["lapsed"]:
        print(
            "these daemons did not answer and take no new work until they"
            f" have it: {', '.join(told['lapsed'])}"
        )


def _print_conflict(told: dict) -> None:
    print("not changed: somebody else's change came first", file=sys.stderr)
    for cell in told["cells"]:
        print(
            f"  {cell['kind']} {cell['name']}, {cell['column']}: you saw"
            f" {cell['before']}, now it is {cell['after']}",
            file=sys.stderr,
        )
    for other in told["others"]:
        print(
            f"  version {other['version']} by {other['who']}: {other['why']}",
            file=sys.stderr,
        )


def _ask_reason() -> str:
    if not sys.stdin.isatty():
        return ""
    return input("why (goes into the audit trail): ").strip()


def _exit_code(answer: client.Answer) -> int:
    if answer.status == 409:
        return codes.CONFLICT
    if answer.status >= 500:
        return codes.UNAVAILABLE
    if answer.status != 200:
        return codes.BAD_INPUT
    told = json.loads(answer.body)
    return codes.OK if told["result"] == "accepted" else codes.UNAVAILABLE


__all__ = ["format_change", "submit"]
