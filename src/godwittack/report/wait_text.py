"""Renders the comparison of waits as text tables or CSV."""

from __future__ import annotations

import csv
import dataclasses
import io
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from godwittack.report import wait_tables

TARGETS = (
    "the median expected wait is within a third of the median observed one",
    "the ninth decile of the expected waits is within half of the observed one",
    "servers are within a factor of 1.5 of each other at any moment",
)
_WAIT_COLUMNS = (
    "prompts",
    "expected_median_ms",
    "observed_median_ms",
    "expected_p90_ms",
    "observed_p90_ms",
)
_GROUP_COLUMNS = ("prompts", "first_token_median_ms", "late_share", "refused")
_CSV_COLUMNS = (
    "table",
    "name",
    *_WAIT_COLUMNS,
    "relative",
    *_GROUP_COLUMNS[1:],
)


def render(tables: wait_tables.WaitTables) -> str:
    """Returns the targets and the tables as text."""
    return "\n".join(_lines(tables)) + "\n"


def render_csv(tables: wait_tables.WaitTables) -> str:
    """Returns all tables as one CSV; the column `table` tells them apart."""
    out = io.StringIO()
    writer = csv.DictWriter(out, _CSV_COLUMNS, lineterminator="\n")
    writer.writeheader()
    writer.writerows({"table": "targets", "name": text} for text in TARGETS)
    for table, rows in _wait_tables(tables):
        writer.writerows({"table": table, **_cells(row)} for row in rows)
    writer.writerows(
        {"table": row.dimension, **_group_cells(row)} for row in tables.groups
    )
    for name, count in dataclasses.asdict(tables.omissions).items():
        writer.writerow({"table": "left_out", "name": name, "prompts": count})
    return out.getvalue()


def _lines(tables: wait_tables.WaitTables) -> Iterator[str]:
    yield "Targets, for comparison (not enforced):"
    yield from (f"  {text}" for text in TARGETS)
    yield ""
    for table, rows in _wait_tables(tables):
        title = "window_start_ms" if table == "window" else table
        columns: tuple[str, ...] = _WAIT_COLUMNS
        if table == "server":
            columns = (*columns, "relative")
        yield from _table(title, columns, [_cells(row) for row in rows])
    yield from _table(
        "who",
        _GROUP_COLUMNS,
        [
            {**_group_cells(row), "name": f"{row.dimension} {row.name}"}
            for row in tables.groups
        ],
    )
    omissions = tables.omissions
    yield f"Lines that could not be read: {omissions.unreadable_lines}"
    yield (
        f"Requests dropped beyond the number kept: {omissions.dropped_requests}"
    )
    yield (
        "Prompts left out:"
        f" {omissions.unfinished} without a first token at the end of the log,"
        f" {omissions.several_attempts} with several attempts,"
        f" {omissions.unanswered} that ended without a first token"
    )


def _wait_tables(
    tables: wait_tables.WaitTables,
) -> tuple[tuple[str, list[wait_tables.WaitRow]], ...]:
    return (
        ("log", tables.total),
        ("window", tables.windows),
        ("server", tables.servers),
    )


def _cells(row: wait_tables.WaitRow) -> dict[str, str]:
    cells = {"name": row.name}
    cells |= {name: _number(getattr(row, name)) for name in _WAIT_COLUMNS}
    if row.relative is not None:
        cells["relative"] = f"{row.relative:.2f}"
    return cells


def _group_cells(row: wait_tables.GroupRow) -> dict[str, str]:
    cells = {"name": row.name, "prompts": str(row.prompts)}
    if row.first_token_median_ms is not None:
        cells["first_token_median_ms"] = _number(row.first_token_median_ms)
    if row.late_share is not None:
        cells["late_share"] = f"{row.late_share:.3f}"
    cells["refused"] = " ".join(f"{k}={n}" for k, n in row.refused.items())
    return cells


def _number(value: float) -> str:
    """Returns a number with one decimal unless it is whole."""
    return str(int(value)) if value == int(value) else f"{value:.1f}"


def _table(
    title: str, columns: Sequence[str], rows: list[dict[str, str]]
) -> Iterator[str]:
    """Yields a table with aligned columns and an empty line after it."""
    cells = [[title, *columns]]
    cells += [[row.get(c, "-") for c in ("name", *columns)] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for name, *values in cells:
        padded = [name.ljust(widths[0])]
        padded += [
            value.rjust(width)
            for value, width in zip(values, widths[1:], strict=True)
        ]
        yield "  ".join(padded).rstrip()
    yield ""


__all__ = ["TARGETS", "render", "render_csv"]
