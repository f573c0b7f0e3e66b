"""Splits a stream of server-sent events into numbered frames."""

from __future__ import annotations

import re

from godwittack import digits
from godwittack.backend import reply_limits
from godwittack.core import work

DONE = b"data: [DONE]"

_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
_BLANK_LINE = re.compile(_LINE_END + _LINE_END)
_NUMBER = re.compile(rb"(?:^|[\r\n])id:([^\r\n]*)")
# Blank lines and whole comments. Without possessive repeats the pattern keeps
# a state for each line, which took 89 MB for 1 MB of comments.
_BETWEEN_EVENTS = re.compile(rb"(?::[^\r\n]*+[\r\n]|[\r\n])*+")


class FrameReader:
    """Buffers bytes and returns complete events as frames.

    An event without an `id:` line gets the number after the previous event's.
    Blank lines and comments between events are forwarded with the next event.
    """

    def __init__(
        self,
        *,
        after: int,
        done_marker: bytes = DONE,
        limits: reply_limits.ReplyLimits = reply_limits.DEFAULT,
    ) -> None:
        """Starts after frame `after`.

        Args:
            after: Number of the last frame that was already received.
            done_marker: Text in the stream's last event; empty for none.
            limits: Limits on events and comments.
        """
        self._limits = limits
        self._done_marker = done_marker
        self._buffer = b""
        self._between_events = bytearray()
        self._last_number = after

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end inside an event."""
        return not _BETWEEN_EVENTS.fullmatch(self._buffer)

    def feed(self, data: bytes) -> tuple[work.Frame, ...]:
        """Returns the events that `data` completes.

        Raises:
            EndlessReplyError: An event, or what is between two, is too long.
            ValueError: The number of an event is not valid.
        """
        # The buffer before `data` has no blank line, but may end with one half.
        searched_to = max(0, len(self._buffer) - 3)
        self._buffer += data
        frames: list[work.Frame] = []
        start = self._skip_comments(0)
        while found := _BLANK_LINE.search(
            self._buffer, max(start, searched_to)
        ):
            frames.append(self._frame(self._buffer[start : found.end()]))
            start = self._skip_comments(found.end())
        self._buffer = self._buffer[start:]
        if len(self._buffer) > self._limits.event_bytes:
            raise reply_limits.EndlessReplyError("event", len(self._buffer))
        if len(self._between_events) > self._limits.comment_bytes:
            raise reply_limits.EndlessReplyError(
                "comments", len(self._between_events)
            )
        return tuple(frames)

    def _skip_comments(self, start: int) -> int:
        """Sets aside what is between events; returns where the next begins."""
        found = _BETWEEN_EVENTS.match(self._buffer, start)
        end = found.end() if found else start
        self._between_events += self._buffer[start:end]
        return end

    def _frame(self, event: bytes) -> work.Frame:
        found = _NUMBER.search(event)
        number = self._last_number + 1
        if found:
            number = _parse_number(found[1])
        self._last_number = number
        is_last = bool(self._done_marker) and self._done_marker in event
        data = bytes(self._between_events) + event
        self._between_events.clear()
        return work.Frame(number, data, is_last)

    def finish(self) -> work.Frame:
        """Returns the last frame of a stream that has no end marker."""
        remainder = bytes(self._between_events) + self._buffer
        self._between_events.clear()
        self._buffer = b""
        return work.Frame(self._last_number + 1, remainder, terminal=True)


def _parse_number(text: bytes) -> int:
    number = digits.parse(text.decode("latin-1").strip())
    if number is None:
        raise ValueError(f"the number of an event is {text[:20]!r}")
    return number


__all__ = ["FrameReader"]
