"""Keeps the volume of log lines bounded, by whole requests."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.core import effects

# Lines a second above which requests that end well are left out. Two hundred
# cost 1% of a core at 50 us each.
LINES_PER_S = 200
BURST_LINES = 400
# Requests whose lines wait for their end, and lines of one of them.
MOST_HELD = 2_000
MOST_LINES = 24
# Events after which nothing more is told of a request, and those of them that
# are never left out for a success.
ENDS = frozenset({"finished", "refused", "stream_broken", "caller_gone"})
FAILURES = frozenset({"refused", "stream_broken"})


@dataclasses.dataclass(slots=True)
class _Held:
    lines: list[str] = dataclasses.field(default_factory=list)
    direct: bool = False


class Stories:
    """Writes all lines of a request or none.

    While there is room each line is written at once, so that the story of a
    request is there even if the process is killed in the middle of it. Under
    load the lines of further requests are held until their end: a failure's
    are written, a success's counted.
    """

    def __init__(
        self,
        *,
        write: Callable[[str], None],
        now_ms: Callable[[], int],
        lines_per_s: int = LINES_PER_S,
    ) -> None:
        """Writes lines by `write`."""
        self.left_out = 0
        self._write = write
        self._now_ms = now_ms
        self._lines_per_s = lines_per_s
        self._room = float(BURST_LINES)
        self._filled_at_ms = now_ms()
        self._held: collections.OrderedDict[str, _Held] = (
            collections.OrderedDict()
        )

    def tell(self, event: effects.Event, line: str) -> None:
        """Takes in a line of an event."""
        self._fill()
        if not event.request_id:
            self._room -= 1
            self._write(line)
            return
        story = self._held.get(event.request_id)
        if story is None:
            story = self._begin(event.request_id)
        if story.direct:
            self._room -= 1
            self._write(line)
        elif len(story.lines) < MOST_LINES:
            story.lines.append(line)
        if event.name in ENDS:
            self._end(event)

    def _begin(self, request_id: str) -> _Held:
        story = _Held(direct=self._room >= 1)
        self._held[request_id] = story
        if len(self._held) > MOST_HELD:
            self._held.popitem(last=False)
        return story

    def _end(self, event: effects.Event) -> None:
        story = self._held.pop(event.request_id)
        if story.direct:
            return
        # A herd of refusals must not flood the log either: beyond the burst
        # they are left out as well, and counted.
        if event.name in FAILURES and self._room > -BURST_LINES:
            self._room -= len(story.lines)
            for line in story.lines:
                self._write(line)
        else:
            self.left_out += 1

    def _fill(self) -> None:
        now_ms = self._now_ms()
        gained = (now_ms - self._filled_at_ms) * self._lines_per_s / 1000
        self._filled_at_ms = now_ms
        self._room = min(BURST_LINES, self._room + gained)


__all__ = ["Stories"]
