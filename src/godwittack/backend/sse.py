"""Splits a stream of server-sent events into numbered frames."""

from __future__ import annotations

from godwittack.core import work

DONE = b"data: [DONE]"
MAX_EVENT_BYTES = 1 << 20


class FrameReader:
    """Buffers bytes and returns complete events as frames.

    An event without an `id:` line gets the number after the previous event's.
    """

    def __init__(self, *, after: int, done_marker: bytes = DONE) -> None:
        """Starts after frame `after`.

        Args:
            after: Number of the last frame that was already received.
            done_marker: Text in the stream's last event; empty for none.
        """
        self._done_marker = done_marker
        self._buffer = b""
        self._last_number = after

    def feed(self, data: bytes) -> tuple[work.Frame, ...]:
        """Returns the events that `data` completes.

        Raises:
            ValueError: An event is longer than `MAX_EVENT_BYTES`.
        """
        self._buffer += data
        if b"\n\n" not in data and b"\n\n" not in self._buffer:
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise ValueError("an event of the stream is too long")
            return ()
        *events, self._buffer = self._buffer.split(b"\n\n")
        return tuple(self._frame(event) for event in events if event)

    def _frame(self, event: bytes) -> work.Frame:
        number = self._last_number + 1
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                number = int(line[3:])
                break
        self._last_number = number
        is_last = bool(self._done_marker) and self._done_marker in event
        return work.Frame(number, event + b"\n\n", is_last)

    def finish(self) -> work.Frame:
        """Returns the last frame of a stream that has no end marker."""
        remainder, self._buffer = self._buffer, b""
        return work.Frame(self._last_number + 1, remainder, terminal=True)


__all__ = ["FrameReader"]
