"""Splits a stream of server-sent events into numbered frames."""

from __future__ import annotations

import re

from godwittack.core import work

DONE = b"data: [DONE]"
MAX_EVENT_BYTES = 1 << 20

_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
_BLANK_LINE = re.compile(_LINE_END + _LINE_END)
_NUMBER = re.compile(rb"(?:^|[\r\n])id:([^\r\n]*)")
# Blank lines and whole comments.
_BETWEEN_EVENTS = re.compile(rb"(?::[^\r\n]*[\r\n]|[\r\n])*")


class FrameReader:
    """Buffers bytes and returns complete events as frames.

    An event without an `id:` line gets the number after the previous event's.
    Blank lines and comments between events are forwarded with the next event.
    """

    def __init__(self, *, after: int, done_marker: bytes = DONE) -> None:
        """Starts after frame `after`.

        Args:
            after: Number of the last frame that was already received.
            done_marker: Text in the stream's last event; empty for none.
        """
        self._done_marker = done_marker
        self._buffer = b""
        self._between_events = b""
        self._last_number = after

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end inside an event."""
        return not _BETWEEN_EVENTS.fullmatch(self._buffer)

    def feed(self, data: bytes) -> tuple[work.Frame, ...]:
        """Returns the events that `data` completes.

        Raises:
            ValueError: An event is longer than `MAX_EVENT_BYTES`, or its number
                is not valid.
        """
        # The buffer before `data` has no blank line, but may end with one half.
        searched_to = max(0, len(self._buffer) - 3)
        self._buffer += data
        frames: list[work.Frame] = []
        start = 0
        for found in _BLANK_LINE.finditer(self._buffer, searched_to):
            event = self._buffer[start : found.end()]
            start = found.end()
            if _BETWEEN_EVENTS.fullmatch(event):
                self._between_events += event
            else:
                frames.append(self._frame(event))
        self._buffer = self._buffer[start:]
        if len(self._buffer) + len(self._between_events) > MAX_EVENT_BYTES:
            raise ValueError("an event of the stream is too long")
        return tuple(frames)

    def _frame(self, event: bytes) -> work.Frame:
        found = _NUMBER.search(event)
        number = int(found[1]) if found else self._last_number + 1
        self._last_number = number
        is_last = bool(self._done_marker) and self._done_marker in event
        data = self._between_events + event
        self._between_events = b""
        return work.Frame(number, data, is_last)

    def finish(self) -> work.Frame:
        """Returns the last frame of a stream that has no end marker."""
        remainder = self._between_events + self._buffer
        self._between_events = self._buffer = b""
        return work.Frame(self._last_number + 1, remainder, terminal=True)


__all__ = ["FrameReader"]
