"""Writes log lines without blocking on a slow reader."""

from __future__ import annotations

import collections
import logging
import sys
import threading
import time
from typing import IO

# Lines queued for a slow reader; about half a megabyte.
MAX_QUEUED_LINES = 4_000
# Minimum time between two reports of the number of dropped lines.
DROP_REPORT_INTERVAL_S = 5.0


class LineWriter:
    """Passes lines to a writer thread, which may block.

    Without it, a terminal or pipe that nobody reads would block the whole
    daemon at its next line. Lines that do not fit the queue are dropped and
    counted.
    """

    def __init__(
        self, out: IO[str], *, max_lines: int = MAX_QUEUED_LINES
    ) -> None:
        """Writes to `out`; at most `max_lines` lines wait."""
        self.dropped = 0
        self._out = out
        self._max_lines = max_lines
        self._lines: collections.deque[str] = collections.deque()
        self._wake = threading.Event()
        self._drops_reported_at_s = 0.0
        self._reported_drops = 0
        self._closing = False
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    def write(self, line: str) -> None:
        """Queues a line, or counts it as dropped."""
        if len(self._lines) >= self._max_lines:
            self.dropped += 1
            return
        self._lines.append(line)
        if not self._wake.is_set():
            self._wake.set()

    def write_now(self, text: str) -> None:
        """Queues a line with the current time."""
        self.write(f"{format_time(time.time())} {text}")

    def close(self, *, wait_s: float = 0.5) -> None:
        """Writes the queued lines, for at most `wait_s`."""
        self._closing = True
        self._wake.set()
        self._thread.join(wait_s)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._lines:
                batch: list[str] = []
                while self._lines and len(batch) < 200:
                    batch.append(self._lines.popleft())
                self._append_drop_report(batch)
                try:
                    self._out.write("\n".join(batch) + "\n")
                    self._out.flush()
                except (OSError, ValueError):
                    # The reader is gone, so these lines can't be written.
                    self.dropped += len(batch)
            if self._closing:
                return

    def _append_drop_report(self, batch: list[str]) -> None:
        now_s = time.monotonic()
        if self.dropped == self._reported_drops or (
            now_s - self._drops_reported_at_s < DROP_REPORT_INTERVAL_S
        ):
            return
        batch.append(
            f"{format_time(time.time())} level=WARNING event=log_lines_left_out"
            f" count={self.dropped - self._reported_drops}"
        )
        self._reported_drops, self._drops_reported_at_s = self.dropped, now_s


class LineHandler(logging.Handler):
    """Passes records of `logging` to a writer."""

    def __init__(self, writer: LineWriter) -> None:
        """Writes through `writer`."""
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record as one line, with the traceback of an error."""
        text = record.getMessage()
        if record.exc_info and record.exc_info[1] is not None:
            trace = self.formatException(record)
            text = f"{text} trace={trace!r}"
        self._writer.write(
            f"{format_time(record.created)} level={record.levelname} {text}"
        )

    @staticmethod
    def formatException(record: logging.LogRecord) -> str:  # noqa: N802
        """Returns a record's traceback as text."""
        assert record.exc_info is not None
        return logging.Formatter().formatException(record.exc_info)


def format_time(seconds: float) -> str:
    """Returns the time field of a line, in UTC."""
    formatted = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    return f"time={formatted}.{int(seconds % 1 * 1000):03d}"


def install() -> LineWriter:
    """Routes all records of `logging` to standard output by a writer."""
    writer = LineWriter(sys.stdout)
    root = logging.getLogger()
    root.handlers[:] = [LineHandler(writer)]
    root.setLevel(logging.INFO)
    absl = logging.getLogger("absl")
    absl.handlers.clear()
    absl.propagate = True
    return writer


__all__ = ["LineHandler", "LineWriter", "format_time", "install"]
