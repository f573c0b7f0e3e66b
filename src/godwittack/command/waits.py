"""`godwittack waits`: compares expected with observed waits in logs."""

from __future__ import annotations

import io
import pathlib
import sys
from typing import TYPE_CHECKING, Annotated, TextIO

import cyclopts

from godwittack.command import client, codes, parser
from godwittack.report import log_lines, request_waits, wait_tables, wait_text

if TYPE_CHECKING:
    from collections.abc import Iterator

# A file without line breaks is read in pieces of this length.
MAX_LINE_CHARS = 1 << 16


@parser.app.command
def waits(
    *logs: Annotated[
        str, cyclopts.Parameter(help="log files; standard input if none")
    ],
    window_ms: int = 500,
    csv: bool = False,
) -> int:
    """Compares the waits that daemons expected with those observed.

    Args:
        logs: Log files of daemons, each in order of time.
        window_ms: Length of the windows of the table by time.
        csv: Print CSV instead of text tables.
    """
    if window_ms < 1:
        return client.fail(f"--window-ms {window_ms}: must be at least 1")
    collector = request_waits.WaitCollector()
    sources = [_file_lines(name) for name in logs] or [_input_lines()]
    try:
        for line in log_lines.merge(sources):
            collector.add(line)
    except OSError as error:
        return client.fail(str(error))
    tables = wait_tables.build(collector, window_ms=window_ms)
    render = wait_text.render_csv if csv else wait_text.render
    print(render(tables), end="")
    return codes.OK


def _file_lines(name: str) -> Iterator[str]:
    path = pathlib.Path(name)
    with path.open(encoding="utf-8", errors="replace") as log_file:
        yield from _lines_of(log_file)


def _input_lines() -> Iterator[str]:
    if isinstance(sys.stdin, io.TextIOWrapper):
        # A line that is not UTF-8 must not end the command.
        sys.stdin.reconfigure(errors="replace")
    return _lines_of(sys.stdin)


def _lines_of(log_file: TextIO) -> Iterator[str]:
    while line := log_file.readline(MAX_LINE_CHARS):
        yield line


__all__ = ["waits"]
