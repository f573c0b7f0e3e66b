"""Cuts server-sent events into numbered frames."""

from __future__ import annotations

from godwittack.core import work

DONE = b"data: [DONE]"
MAX_EVENT_BYTES = 1 << 20


class FrameReader:
    """Collects bytes and returns whole events as frames.

    An event without an `id:` line takes the number after the last one.
    """

    def __init__(self, *, after: int) -> None:
        """Starts behind frame `after`."""
        self._rest = b""
        self._last = after

    def feed(self, data: bytes) -> tuple[work.Frame, ...]:
        """Returns the events that `data` completes.

        Raises:
            ValueError: An event is longer than `MAX_EVENT_BYTES`.
        """
        self._rest += data
        if b"\n\n" not in data and b"\n\n" not in self._rest:
            if len(self._rest) > MAX_EVENT_BYTES:
                raise ValueError("an event of the stream is too long")
            return ()
        *events, self._rest = self._rest.split(b"\n\n")
        return tuple(self._frame(event) for event in events if event)

    def _frame(self, event: bytes) -> work.Frame:
        number = self._last + 1
        if event.startswith(b"id: "):
            line, _, _ = event.partition(b"\n")
            number = int(line[4:])
        self._last = number
        return work.Frame(number, event + b"\n\n", DONE in event)


__all__ = ["FrameReader"]
