"""Collects the expected and observed waits of requests from log lines."""

from __future__ import annotations

import collections
import dataclasses
import sys
from typing import TYPE_CHECKING

from godwittack.report import log_lines

if TYPE_CHECKING:
    from collections.abc import Iterator

# Bounds memory: 200,000 kept requests took 113 MiB.
MAX_REQUESTS = 200_000
# Prompts below this many tokens are listed as short.
LONG_PROMPT_TOKENS = 2_048
# Events after which no first token follows.
_UNANSWERED_EVENTS = frozenset({"stream_broken", "caller_gone"})
_EVENTS = _UNANSWERED_EVENTS | {"placed", "first_token", "finished", "refused"}
_DIMENSIONS = ("route", "workspace", "target")


@dataclasses.dataclass(slots=True)
class RequestWait:
    """What the log says about one request.

    `placed_at_ms` is None for a request that was never placed, and
    `observed_ms` (from placement to the first token) and `first_token_ms`
    (from arrival) are None before its answer begins.
    """

    groups: dict[str, str] = dataclasses.field(default_factory=dict)
    placed_at_ms: int | None = None
    queued_ms: int | None = None
    expected_ms: int = 0
    server: str = ""
    is_prompt: bool = False
    attempts: int = 0
    observed_ms: int | None = None
    first_token_ms: int = 0
    late: bool = False
    has_ended: bool = False
    refused: str = ""

    @property
    def counts(self) -> bool:
        """Whether it is an answered prompt with a single attempt."""
        return (
            self.is_prompt
            and self.attempts == 1
            and not self.refused
            and self.observed_ms is not None
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Omissions:
    """How many lines and requests the tables leave out."""

    unreadable_lines: int
    dropped_requests: int
    unfinished: int
    several_attempts: int
    unanswered: int


class WaitCollector:
    """Follows requests through log lines; keeps the latest of them."""

    def __init__(self, *, max_requests: int = MAX_REQUESTS) -> None:
        """Keeps up to `max_requests` requests."""
        self._max_requests = max_requests
        self._requests: collections.OrderedDict[str, RequestWait] = (
            collections.OrderedDict()
        )
        self._unreadable_lines = 0
        self._dropped_requests = 0

    def add(self, line: log_lines.LogLine | None) -> None:
        """Records a line of a log; None for one that could not be read."""
        try:
            is_readable = line is not None and self._record(line)
        except ValueError:
            is_readable = False
        self._unreadable_lines += not is_readable

    def prompts(self) -> list[RequestWait]:
        """Returns the answered prompts with one attempt."""
        return [
            request for request in self._requests.values() if request.counts
        ]

    def refusals(self) -> list[RequestWait]:
        """Returns the refused requests."""
        return [r for r in self._requests.values() if r.refused]

    def omissions(self) -> Omissions:
        """Returns what the tables leave out."""
        left_out = [
            request
            for request in self._requests.values()
            if request.is_prompt and not request.refused and not request.counts
        ]
        single = [r for r in left_out if r.attempts == 1]
        return Omissions(
            unreadable_lines=self._unreadable_lines,
            dropped_requests=self._dropped_requests,
            unfinished=sum(not r.has_ended for r in single),
            several_attempts=len(left_out) - len(single),
            unanswered=sum(r.has_ended for r in single),
        )

    def _record(self, line: log_lines.LogLine) -> bool:
        """Records a line; returns whether it has the fields of its event."""
        if line.event not in _EVENTS:
            return True
        request_id = line.text("request")
        if not request_id:
            return False
        if line.event == "placed":
            return self._place(request_id, line)
        if line.event == "refused":
            if not line.text("reason"):
                return False
            return _refuse(self._request(request_id), line)
        request = self._requests.get(request_id)
        if request is None or request.placed_at_ms is None:
            return True  # Its first lines are before the start of the log.
        if line.event in _UNANSWERED_EVENTS:
            request.has_ended = True
            return True
        return _answer(request, line)

    def _place(self, request_id: str, line: log_lines.LogLine) -> bool:
        expected_ms = line.number("wait_ms")
        compute_tokens = line.number("compute_tokens")
        prompt_tokens = line.number("tokens")
        queued_ms = line.number("waited_ms")
        server = line.text("server")
        if not server:
            return False
        request = self._request(request_id)
        request.attempts += 1
        if request.attempts > 1:
            return True
        request.placed_at_ms = line.time_ms
        request.queued_ms = queued_ms
        request.expected_ms = expected_ms or 0
        request.server = sys.intern(server)
        # Calls of plain services have no tokens. Where `tokens` is not logged,
        # a fully cached prompt looks the same and is left out with them.
        tokens = compute_tokens if prompt_tokens is None else prompt_tokens
        request.is_prompt = expected_ms is not None and bool(tokens)
        request.groups = _groups(line) | _size(prompt_tokens)
        return True

    def _request(self, request_id: str) -> RequestWait:
        request = self._requests.get(request_id)
        if request is None:
            request = self._requests[request_id] = RequestWait()
            if len(self._requests) > self._max_requests:
                self._requests.popitem(last=False)
                self._dropped_requests += 1
        return request


def _refuse(request: RequestWait, line: log_lines.LogLine) -> bool:
    request.refused = sys.intern(line.text("reason"))
    request.has_ended = True
    request.groups = request.groups | _groups(line)
    return True


def _answer(request: RequestWait, line: log_lines.LogLine) -> bool:
    """Records a first token or an end."""
    since_arrival_ms = line.number(
        "took_ms" if line.event == "finished" else "after_ms"
    )
    late = line.number("late")
    attempts = line.number("attempts") or 0
    if line.event == "finished":
        request.has_ended = True
        request.attempts = max(request.attempts, attempts)
    if request.observed_ms is not None or request.placed_at_ms is None:
        return True
    observed_ms = line.time_ms - request.placed_at_ms
    # Under load, lines are buffered and have the time at which they were
    # written; the daemon's own durations are preferred where both are logged.
    if since_arrival_ms is not None and request.queued_ms is not None:
        observed_ms = since_arrival_ms - request.queued_ms
    if observed_ms < 0:
        return False
    request.observed_ms = observed_ms
    request.first_token_ms = (
        observed_ms if since_arrival_ms is None else since_arrival_ms
    )
    request.late = bool(late)
    request.groups = request.groups | _groups(line)
    return True


def _groups(line: log_lines.LogLine) -> dict[str, str]:
    """Returns the values by which a line's request is grouped."""
    return dict(_named_groups(line))


def _named_groups(line: log_lines.LogLine) -> Iterator[tuple[str, str]]:
    for key in _DIMENSIONS:
        if line.text(key):
            yield key, sys.intern(line.text(key))
    for key in log_lines.DOMAIN_KEYS:
        if line.text(key):
            yield "domain", sys.intern(line.text(key))


def _size(prompt_tokens: int | None) -> dict[str, str]:
    if prompt_tokens is None:
        return {}
    is_long = prompt_tokens >= LONG_PROMPT_TOKENS
    return {"size": "long" if is_long else "short"}


__all__ = [
    "LONG_PROMPT_TOKENS",
    "MAX_REQUESTS",
    "Omissions",
    "RequestWait",
    "WaitCollector",
]
