"""Bounds the volume of log lines by leaving out whole requests."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.core import effects

# Lines per second above which successful requests are left out. Two hundred
# cost 1% of a core at 50 us each.
MAX_LINES_PER_S = 200
BURST_LINES = 400
# Requests tracked until their end, and buffered lines of each.
MAX_TRACKED_REQUESTS = 2_000
MAX_LINES_PER_REQUEST = 24
# The last event of a request is one of these; FAILURE_EVENTS are those for
# which buffered lines are written.
FINAL_EVENTS = frozenset(
    {"finished", "refused", "relayed", "stream_broken", "caller_gone"}
)
FAILURE_EVENTS = frozenset({"refused", "stream_broken"})


@dataclasses.dataclass(slots=True)
class _RequestLines:
    lines: list[str] = dataclasses.field(default_factory=list)
    is_unbuffered: bool = False


class RequestLogSampler:
    """Writes all lines of a request or none, limited by a token bucket.

    While the bucket has tokens, each line is written at once, so that the log
    of a request exists even if the process is killed before it ends. Under
    load, the lines of further requests are buffered until their end: those of
    a failed request are written, those of a successful one are left out and
    the request is counted.
    """

    def __init__(
        self,
        *,
        write: Callable[[str], None],
        now_ms: Callable[[], int],
        lines_per_s: int = MAX_LINES_PER_S,
    ) -> None:
        """Writes lines with `write`."""
        self.omitted_requests = 0
        self._write = write
        self._now_ms = now_ms
        self._lines_per_s = lines_per_s
        self._available_lines = float(BURST_LINES)
        self._refilled_at_ms = now_ms()
        self._requests: collections.OrderedDict[str, _RequestLines] = (
            collections.OrderedDict()
        )

    def record(self, event: effects.Event, line: str) -> None:
        """Writes, buffers or drops the line of an event."""
        self._refill()
        if not event.request_id:
            self._available_lines -= 1
            self._write(line)
            return
        request_lines = self._requests.get(event.request_id)
        if request_lines is None:
            request_lines = self._start_request(event.request_id)
        if request_lines.is_unbuffered:
            self._available_lines -= 1
            self._write(line)
        elif len(request_lines.lines) < MAX_LINES_PER_REQUEST:
            request_lines.lines.append(line)
        if event.name in FINAL_EVENTS:
            self._finish_request(event)

    def _start_request(self, request_id: str) -> _RequestLines:
        request_lines = _RequestLines(is_unbuffered=self._available_lines >= 1)
        self._requests[request_id] = request_lines
        if len(self._requests) > MAX_TRACKED_REQUESTS:
            self._requests.popitem(last=False)
        return request_lines

    def _finish_request(self, event: effects.Event) -> None:
        request_lines = self._requests.pop(event.request_id)
        if request_lines.is_unbuffered:
            return
        # Many refusals at once must not flood the log either: once they exceed
        # the burst, they are left out and counted too.
        if (
            event.name in FAILURE_EVENTS
            and self._available_lines > -BURST_LINES
        ):
            self._available_lines -= len(request_lines.lines)
            for line in request_lines.lines:
                self._write(line)
        else:
            self.omitted_requests += 1

    def _refill(self) -> None:
        now_ms = self._now_ms()
        refilled = (now_ms - self._refilled_at_ms) * self._lines_per_s / 1000
        self._refilled_at_ms = now_ms
        self._available_lines = min(
            BURST_LINES, self._available_lines + refilled
        )


__all__ = ["RequestLogSampler"]
