"""`godwittack explain`: collects the log lines of one request."""

from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING, Annotated

import cyclopts

from godwittack.command import codes, parser
from godwittack.report import log_lines

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

KEY_VALUE = log_lines.KEY_VALUE
REQUEST_KEY = "request"
# Lines about a server's state, shown for requests that used the server.
SERVER_STATE_EVENTS = frozenset(
    {
        "path_lost",
        "path_restored",
        "server_brittle",
        "server_crashed",
        "server_ejected",
        "server_gone",
        "server_leaving",
        "server_rested",
        "server_rests",
        "server_state",
    }
)
# Lines about what a request holds, shown however long before the request.
CONTENT_EVENTS = frozenset(
    {"quarantined", "quarantine_lifted", "crashes_cleared"}
)


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
    selected = sorted(_request_lines(request_id, list(_read_lines(logs))))
    if not selected:
        print(
            f"{request_id}: no line in these logs has this id; the request may"
            " have reached another daemon, or its lines were left out under"
            " load (see event=log_lines_left_out)",
            file=sys.stderr,
        )
        return codes.BAD_INPUT
    for _, line in selected:
        print(line)
    return codes.OK


def _read_lines(logs: tuple[str, ...]) -> Iterator[tuple[str, str]]:
    """Yields each line with the name of its log."""
    if not logs:
        yield from (("", line.rstrip("\n")) for line in sys.stdin)
    for name in logs:
        path = pathlib.Path(name)
        with path.open(encoding="utf-8", errors="replace") as log_file:
            yield from ((path.stem, line.rstrip("\n")) for line in log_file)


def _request_lines(
    request_id: str, lines: Iterable[tuple[str, str]]
) -> list[tuple[str, str]]:
    """Returns time and text of lines on a request and what it used or held."""
    request_lines: list[tuple[str, str]] = []
    server_lines: list[tuple[str, str, str]] = []
    servers: set[str] = set()
    contents: set[str] = set()
    content_lines: list[tuple[str, set[str], str]] = []
    for source, line in lines:
        fields = dict(KEY_VALUE.findall(line))
        text = f"{source}: {line}" if source else line
        if (
            fields.get(REQUEST_KEY, "").strip('"').partition("~")[0]
            == request_id
        ):
            request_lines.append((fields.get("time", ""), text))
            servers.add(fields.get("server", ""))
            contents |= _held(fields)
        elif fields.get("event") in SERVER_STATE_EVENTS:
            server_lines.append(
                (fields.get("time", ""), fields["server"], text)
            )
        elif fields.get("event") in CONTENT_EVENTS:
            content_lines.append((fields.get("time", ""), _held(fields), text))
    if not request_lines:
        return []
    started, ended = min(request_lines)[0], max(request_lines)[0]
    selected = [
        (time, text)
        for time, server, text in server_lines
        if server in servers - {""} and started <= time <= ended
    ]
    selected.extend(
        (time, text) for time, held, text in content_lines if held <= contents
    )
    return request_lines + selected


def _held(fields: dict[str, str]) -> set[str]:
    """Returns the content and the parts of prompts that a line names."""
    names = [fields.get("content", ""), *fields.get("parts", "").split(",")]
    return set(filter(None, names))


__all__ = ["explain"]
