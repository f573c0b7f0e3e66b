"""`godwittack waits`: expected against observed waits in logs."""

from __future__ import annotations

import contextlib
import csv
import datetime
import io
import pathlib
import sys
import tempfile
from unittest import mock

from cases import routed_core
from godwittack.command import waits
from godwittack.core import effects, work
from godwittack.daemon import observer
from godwittack.report import log_lines, request_waits, wait_tables

STARTED = datetime.datetime(2026, 2, 11, 10, 10)


def _line(at_ms: int, event: str, name: str, **fields) -> str:
    time = STARTED + datetime.timedelta(milliseconds=at_ms)
    text = "".join(f" {key}={value}" for key, value in fields.items())
    stamp = time.isoformat(timespec="milliseconds")
    return f"time={stamp} level=INFO event={event} request={name}{text}"


def _placed(at_ms: int, name: str, **fields) -> str:
    fields = {
        "workspace": "w",
        "route": "r",
        "server": "s1",
        "wait_ms": 10,
        "compute_tokens": 120,
        **fields,
    }
    return _line(at_ms, "placed", name, **fields)


def _begun(at_ms: int, name: str, **fields) -> str:
    fields = {"target": "t", "after_ms": 0, "late": 0, **fields}
    return _line(at_ms, "first_token", name, **fields)


def _prompt(name: str, at_ms: int, observed_ms: int, **fields) -> list[str]:
    end_ms = at_ms + observed_ms
    return [_placed(at_ms, name, **fields), _begun(end_ms, name)]


def _tables(lines: list[str], **limits) -> wait_tables.WaitTables:
    collector = request_waits.WaitCollector(**limits)
    for line in log_lines.merge([lines]):
        collector.add(line)
    return wait_tables.build(collector, window_ms=500)


def _print(lines: list[str] | None = None, **options) -> str:
    """Returns the command's output for a log, or for standard input."""
    out = io.StringIO()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "edge-1.log"
        path.write_text("".join(f"{line}\n" for line in lines or ()))
        logs = () if lines is None else (str(path),)
        with contextlib.redirect_stdout(out):
            assert waits.waits(*logs, **options) == 0
    return out.getvalue()


def waits_are_compared_in_all_by_window_and_by_server() -> None:
    """Guards against quantiles over the wrong prompts, windows or waits."""
    lines = []
    for number in range(10):
        name, server = f"a~{number}", f"s{number % 2}"
        observed_ms = 20 * (number + 1)
        lines += _prompt(
            name, number * 100, observed_ms, server=server, wait_ms=number
        )
    tables = _tables(lines)
    (total,) = tables.total
    assert (total.prompts, total.expected_median_ms) == (10, 4.5)
    assert (total.expected_p90_ms, total.observed_p90_ms) == (8, 180)
    assert total.observed_median_ms == 110
    windows = [
        (w.name, w.prompts, w.observed_median_ms) for w in tables.windows
    ]
    assert windows == [("0", 5, 60), ("500", 5, 160)], windows
    servers = {
        s.name: (s.observed_median_ms, s.relative) for s in tables.servers
    }
    assert servers == {"s0": (100, 100 / 110), "s1": (120, 120 / 110)}, servers


def only_answered_prompts_with_one_attempt_count() -> None:
    """Guards against waits of retries, plain calls and cut logs in the medians.

    A request is placed twice, one ends the log, one lost its caller, one is a
    call of a plain service, and one has its first lines in an older log. One
    without a first token counts by its end, with the daemon's durations as its
    lines were buffered, and a second first token doesn't.
    """
    tables = _tables(
        [
            *_prompt("twice~1", 0, 5),
            _placed(10, "twice~1", server="s2"),
            _begun(900, "twice~1"),
            *_prompt("plain~2", 0, 900, compute_tokens=0),
            _placed(0, "gone~3"),
            _line(9, "caller_gone", "gone~3"),
            _begun(20, "older~4"),
            _placed(30, "whole~5", waited_ms=5),
            _line(31, "finished", "whole~5", took_ms=45, late=1, attempts=1),
            *_prompt("begun~6", 100, 60),
            _begun(990, "begun~6"),
            _placed(990, "cut~7"),
        ]
    )
    (total,) = tables.total
    assert (total.prompts, total.observed_median_ms) == (2, 50), total
    assert tables.omissions == request_waits.Omissions(
        unreadable_lines=0,
        dropped_requests=0,
        unfinished=1,
        several_attempts=1,
        unanswered=1,
    ), tables.omissions


def who_waits_is_listed_with_refusals_by_reason() -> None:
    """Guards against groups without their late answers or refusals."""
    tables = _tables(
        [
            f"edge-1 domain=z1 {_placed(0, 'a~1', tokens=2_048, waited_ms=7)}",
            f"edge-1 domain=z1 {_begun(40, 'a~1', after_ms=47, late=1)}",
            *_prompt("b~2", 0, 30, tokens=2_047, route="q"),
            _line(1, "refused", "c~3", workspace="w", reason="quota"),
            _line(2, "refused", "d~4", target="t", reason="deadline"),
            _placed(3, "e~5", tokens=9),
            _line(4, "refused", "e~5", reason="deadline"),
        ]
    )
    rows = {(row.dimension, row.name): row for row in tables.groups}
    late = rows["route", "r"]
    assert (late.prompts, late.first_token_median_ms, late.late_share) == (
        1,
        47,
        1,
    )
    assert rows["workspace", "w"].refused == {"deadline": 1, "quota": 1}
    assert rows["workspace", "w"].late_share == 0.5
    assert rows["target", "t"].refused == {"deadline": 1}
    assert rows["size", "long"].prompts == 1 and rows["size", "short"].refused
    assert rows["domain", "z1"].prompts == 1
    assert rows["all", "all"].refused == {"deadline": 2, "quota": 1}


def unreadable_lines_are_counted() -> None:
    """Guards against a command that ends at a damaged or foreign line."""
    lines = [
        "Traceback (most recent call last):",
        _placed(0, "a~1", wait_ms="soon"),
        "time=yesterday level=INFO event=placed request=a~2 server=s1",
        "time=2026-02-11T10:10:00.000 level=INFO event=serving",
        "\x00\x7f=" * 40_000,
        "",
        f'pod="edge 1" time=1 {_placed(0, "b~3")}',
        _begun(25, "b~3"),
    ]
    tables = _tables(lines)
    assert tables.omissions.unreadable_lines == 4, tables.omissions
    assert [row.observed_median_ms for row in tables.total] == [25]
    assert "could not be read: 5" in _print(lines)  # The long line is in two.
    piped = io.TextIOWrapper(io.BytesIO(b"\xff\n"), encoding="utf-8")
    with mock.patch.object(sys, "stdin", piped):
        assert "could not be read: 1" in _print()


def the_oldest_requests_are_dropped_beyond_the_limit() -> None:
    """Guards against memory that grows with the log, or a silent loss."""
    lines = [line for n in range(50) for line in _prompt(f"a~{n}", n, 100 + n)]
    tables = _tables(lines, max_requests=20)
    (total,) = tables.total
    assert (total.prompts, tables.omissions.dropped_requests) == (20, 30)
    assert total.observed_median_ms == 139.5
    assert request_waits.MAX_REQUESTS == 200_000


def the_logs_of_several_daemons_are_merged_by_time() -> None:
    """Guards against dropping the newest requests of the log read first.

    Also against requests lost where a daemon's log is rotated between their
    lines, whatever the order in which the files are given.
    """
    newer = [_begun(25, "a~0"), *_prompt("b~1", 900, 60)]
    older = [_prompt("c~2", 3, 70)[0], "a traceback", _placed(5, "a~0")]
    merged = [line for line in log_lines.merge([newer, older]) if line]
    assert [line.text("request") for line in merged] == [
        "c~2",
        "a~0",
        "a~0",
        "b~1",
        "b~1",
    ]


def the_tables_are_printed_as_text_and_csv() -> None:
    """Guards against output without targets, or CSV that has lost a table."""
    lines = _prompt("a~1", 0, 40)
    text = _print(lines)
    for part in ("within a third", "factor of 1.5", "window_start_ms", "who"):
        assert part in text, text
    rows = list(csv.DictReader(io.StringIO(_print(lines, csv=True))))
    by_table = {row["table"]: row for row in rows}
    assert by_table["log"]["observed_median_ms"] == "40"
    assert by_table["server"]["relative"] == "1.00"
    assert by_table["route"]["late_share"] == "0.000"
    assert {"targets", "window", "workspace", "left_out"} <= by_table.keys()
    assert "could not be read: 0" in _print([])
    with contextlib.redirect_stderr(io.StringIO()) as errors:
        assert waits.waits("no-such.log") != 0
        assert waits.waits(window_ms=0) != 0
    assert "no-such.log" in errors.getvalue()
    assert "--window-ms 0" in errors.getvalue()


def lines_of_the_core_have_the_fields_that_are_read() -> None:
    """Guards against a log field that is renamed at one of the two places."""
    core = routed_core.Core()
    core.arrive("long", "a~1", levels=(work.Level(key=1, tokens=13_000),))
    events, sent = core.find(effects.Event), core.dispatch()
    core.now_ms += 30
    core.open(sent)
    core.frames(sent, 1)
    events += core.find(effects.Event)
    stamp = "time=2026-02-11T10:10:00.000 level=INFO"
    lines = [f"{stamp} {observer.format_line(event)}" for event in events]
    tables = _tables(lines)
    assert [row.observed_median_ms for row in tables.total] == [30], lines
    assert tables.omissions.unreadable_lines == 0, lines
