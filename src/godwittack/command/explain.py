"""`godwittack explain`: tells one request's story from log lines."""

from __future__ import annotations

import pathlib
import re
import sys
from typing import TYPE_CHECKING, Annotated

import cyclopts

from godwittack.command import codes, parser

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

KEY_VALUE = re.compile(r'(\w+)=("[^"]*"|\S*)')
REQUEST_KEY = "request"
# Belief lines that concern a server, told beside a request that used it.
SERVER_STATE_EVENTS = frozenset(
    {
        "server_crashed",
        "server_ejected",
        "server_gone",
        "server_leaving",
        "server_rested",
        "server_rests",
        "server_state",
    }
)
# Lines that concern what a request asks, however long before it.
CONTENT_EVENTS = frozenset({"quarantined", "crashes_cleared"})


@parser.app.command
def explain(
    request_id: Annotated[
        str, cyclopts.Parameter(help="id that the caller sent")
    ],
    /,
    *logs: Annotated[
        str, cyclopts.Parameter(help="log files; standard input if none")
    ],
) -> int:
    """Prints what happened to one request, in order, over all daemons."""
    told = sorted(_request_lines(request_id, list(_read_lines(logs))))
    if not told:
        print(
            f"{request_id}: no line of these logs names it; it may have reached"
            " another daemon, or been left out under load (see"
            " event=log_lines_left_out)",
            file=sys.stderr,
        )
        return codes.BAD_INPUT
    for _, line in told:
        print(line)
    return codes.OK


def _read_lines(logs: tuple[str, ...]) -> Iterator[tuple[str, str]]:
    """Yields the log's name and each line."""
    if not logs:
        yield from (("", line.rstrip("\n")) for line in sys.stdin)
    for name in logs:
        path = pathlib.Path(name)
        with path.open(encoding="utf-8", errors="replace") as opened:
            yield from ((path.stem, line.rstrip("\n")) for line in opened)


def _request_lines(
    request_id: str, lines: Iterable[tuple[str, str]]
) -> list[tuple[str, str]]:
    """Returns the lines of a request, its content and the servers it used."""
    own: list[tuple[str, str]] = []
    others: list[tuple[str, str, str]] = []
    servers: set[str] = set()
    contents: set[str] = set()
    of_contents: list[tuple[str, str, str]] = []
    for source, line in lines:
        pairs = dict(KEY_VALUE.findall(line))
        shown = f"{source}: {line}" if source else line
        if (
            pairs.get(REQUEST_KEY, "").strip('"').partition("~")[0]
            == request_id
        ):
            own.append((pairs.get("time", ""), shown))
            servers.add(pairs.get("server", ""))
            contents.add(pairs.get("content", ""))
        elif pairs.get("event") in SERVER_STATE_EVENTS:
            others.append((pairs.get("time", ""), pairs["server"], shown))
        elif pairs.get("event") in CONTENT_EVENTS:
            of_contents.append((pairs.get("time", ""), pairs["content"], shown))
    if not own:
        return []
    begin, end = min(own)[0], max(own)[0]
    told = [
        (time, shown)
        for time, server, shown in others
        if server in servers - {""} and begin <= time <= end
    ]
    told.extend(
        (time, shown)
        for time, content, shown in of_contents
        if content in contents - {""}
    )
    return own + told


__all__ = ["explain"]
