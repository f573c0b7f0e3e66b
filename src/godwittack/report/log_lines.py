"""Parses the log lines of daemons."""

from __future__ import annotations

import dataclasses
import datetime
import heapq
import operator
import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

KEY_VALUE = re.compile(r'(\w+)=("[^"]*"|\S*)')
# The failure domain of a daemon; log collectors may add it before the line.
DOMAIN_KEYS = frozenset({"failure_domain", "domain"})
# Log collectors put text of their own before a daemon's line, which may have
# a `time=` too; a daemon's is followed by its level and the event.
_EVENT = re.compile(r"\btime=(\S+)(?: level=\S+)? event=(\w+)(.*)")


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One event in a daemon's log; times are in ms since the epoch."""

    time_ms: int
    event: str
    fields: dict[str, str]

    def text(self, key: str) -> str:
        """Returns a field's text; empty if the line does not have it."""
        return self.fields.get(key, "")

    def number(self, key: str) -> int | None:
        """Returns a field's whole number; None if the line does not have it.

        Raises:
            ValueError: The field is not a whole number.
        """
        value = self.fields.get(key)
        return int(value) if value is not None else None


def parse(line: str) -> LogLine | None:
    """Returns a daemon's event; None if the line is not one."""
    match = _EVENT.search(line)
    if match is None:
        return None
    try:
        time = datetime.datetime.fromisoformat(match[1])
    except ValueError:
        return None
    if time.tzinfo is None:
        # Only differences are used, and UTC has no hours that occur twice.
        time = time.replace(tzinfo=datetime.UTC)
    fields = _fields(match[3])
    for key, value in _fields(line[: match.start()]).items():
        if key in DOMAIN_KEYS:
            fields.setdefault(key, value)
    return LogLine(round(time.timestamp() * 1000), match[2], fields)


def merge(logs: Iterable[Iterable[str]]) -> Iterator[LogLine | None]:
    """Yields the lines of several logs by time; None for unreadable ones.

    Each log must be in order of time, apart from unreadable lines.
    """
    timed = heapq.merge(*map(_timed_lines, logs), key=operator.itemgetter(0))
    return (line for _, line in timed)


def _timed_lines(log: Iterable[str]) -> Iterator[tuple[int, LogLine | None]]:
    """Yields lines with their time; an unreadable one has that before it."""
    time_ms = 0
    for text in log:
        line = parse(text)
        if line is not None:
            time_ms = line.time_ms
        if text.strip():
            yield time_ms, line


def _fields(text: str) -> dict[str, str]:
    return {key: value.strip('"') for key, value in KEY_VALUE.findall(text)}


__all__ = ["DOMAIN_KEYS", "KEY_VALUE", "LogLine", "merge", "parse"]
