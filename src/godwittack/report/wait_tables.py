"""Compares expected with observed waits, in all, by time, server and group."""

from __future__ import annotations

import collections
import dataclasses
import functools
import math
import statistics
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from godwittack.report import request_waits

_Key = TypeVar("_Key", int, str)

DIMENSIONS = ("route", "workspace", "target", "size", "domain")


@dataclasses.dataclass(frozen=True, slots=True)
class WaitRow:
    """Expected and observed waits of a set of prompts, in ms.

    `relative` is the observed median relative to the median of all servers'
    observed medians; None outside the table of servers, or where that is 0.
    """

    name: str
    prompts: int
    expected_median_ms: float
    observed_median_ms: float
    expected_p90_ms: float
    observed_p90_ms: float
    relative: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class GroupRow:
    """Who waits: the prompts and refusals of one group.

    The median time to first token, in ms from arrival, and the late share are
    None for a group without answered prompts.
    """

    dimension: str
    name: str
    prompts: int
    first_token_median_ms: float | None
    late_share: float | None
    refused: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class WaitTables:
    """All tables of one log."""

    total: list[WaitRow]
    windows: list[WaitRow]
    servers: list[WaitRow]
    groups: list[GroupRow]
    omissions: request_waits.Omissions


def build(
    collector: request_waits.WaitCollector, *, window_ms: int
) -> WaitTables:
    """Returns the tables; windows are `window_ms` long."""
    prompts = collector.prompts()
    return WaitTables(
        total=[_wait_row("all", prompts)] if prompts else [],
        windows=_window_rows(prompts, window_ms),
        servers=_server_rows(prompts),
        groups=_group_rows(prompts, collector.refusals()),
        omissions=collector.omissions(),
    )


def ninth_decile(values: Iterable[float]) -> float:
    """Returns the least value that is not below nine tenths of them."""
    ordered = sorted(values)
    return ordered[math.ceil(len(ordered) * 9 / 10) - 1]


def _wait_row(
    name: str, prompts: Sequence[request_waits.RequestWait]
) -> WaitRow:
    expected_ms = [p.expected_ms for p in prompts]
    observed_ms = [p.observed_ms for p in prompts if p.observed_ms is not None]
    return WaitRow(
        name=name,
        prompts=len(prompts),
        expected_median_ms=statistics.median(expected_ms),
        observed_median_ms=statistics.median(observed_ms),
        expected_p90_ms=ninth_decile(expected_ms),
        observed_p90_ms=ninth_decile(observed_ms),
    )


def _window_rows(
    prompts: list[request_waits.RequestWait], window_ms: int
) -> list[WaitRow]:
    """Returns a row for each window with prompts, named by its start in ms.

    Windows are counted from the first placement in the log.
    """
    started_ms = min((p.placed_at_ms or 0 for p in prompts), default=0)
    windows = _grouped(
        prompts, lambda p: ((p.placed_at_ms or 0) - started_ms) // window_ms
    )
    return [
        _wait_row(str(index * window_ms), windows[index])
        for index in sorted(windows)
    ]


def _server_rows(prompts: list[request_waits.RequestWait]) -> list[WaitRow]:
    servers = _grouped(prompts, lambda p: p.server)
    rows = [_wait_row(name, servers[name]) for name in sorted(servers)]
    if not rows:
        return []
    middle_ms = statistics.median(row.observed_median_ms for row in rows)
    if not middle_ms:
        return rows
    return [
        dataclasses.replace(row, relative=row.observed_median_ms / middle_ms)
        for row in rows
    ]


def _group_rows(
    prompts: list[request_waits.RequestWait],
    refusals: list[request_waits.RequestWait],
) -> list[GroupRow]:
    rows = []
    if prompts or refusals:
        rows.append(_group_row("all", "all", prompts, refusals))
    for dimension in DIMENSIONS:
        group_of = functools.partial(_group, dimension)
        answered = _grouped(prompts, group_of)
        refused = _grouped(refusals, group_of)
        rows.extend(
            _group_row(
                dimension, name, answered.get(name, []), refused.get(name, [])
            )
            for name in sorted(answered.keys() | refused.keys())
        )
    return rows


def _group(dimension: str, request: request_waits.RequestWait) -> str | None:
    return request.groups.get(dimension)


def _group_row(
    dimension: str,
    name: str,
    prompts: list[request_waits.RequestWait],
    refusals: list[request_waits.RequestWait],
) -> GroupRow:
    reasons = collections.Counter(r.refused for r in refusals)
    return GroupRow(
        dimension=dimension,
        name=name,
        prompts=len(prompts),
        first_token_median_ms=statistics.median(
            p.first_token_ms for p in prompts
        )
        if prompts
        else None,
        late_share=sum(p.late for p in prompts) / len(prompts)
        if prompts
        else None,
        refused=dict(sorted(reasons.items())),
    )


def _grouped(
    requests: Iterable[request_waits.RequestWait],
    key: Callable[[request_waits.RequestWait], _Key | None],
) -> dict[_Key, list[request_waits.RequestWait]]:
    """Groups requests by key; leaves out those without one."""
    groups: dict[_Key, list[request_waits.RequestWait]] = {}
    for request in requests:
        name = key(request)
        if name is not None:
            groups.setdefault(name, []).append(request)
    return groups


__all__ = [
    "DIMENSIONS",
    "GroupRow",
    "WaitRow",
    "WaitTables",
    "build",
    "ninth_decile",
]
