"""Log lines: bounded, never waited for, whole stories or none."""

from __future__ import annotations

import contextlib
import io
import os
import pathlib
import tempfile
import threading
import time

from cases import routed_core
from godwittack.command import explain
from godwittack.core import effects, inputs
from godwittack.daemon import log_sampling, logs, observer


class Told:
    """A core whose events become lines."""

    def __init__(self, *, lines_per_s: int = 200) -> None:
        self.lines: list[str] = []
        self.core = routed_core.Core()
        self.stories = log_sampling.RequestLogSampler(
            write=self.lines.append,
            now_ms=lambda: self.core.now_ms,
            lines_per_s=lines_per_s,
        )

    def take(self) -> None:
        """Tells the events that the core made last."""
        for event in self.core.find(effects.Event):
            self.stories.record(event, observer.format_line(event))

    def play(self, name: str, *, fails: bool) -> None:
        """Plays one request to its end."""
        self.core.arrive("confirm", name)
        sent = self.core.dispatch()
        self.take()
        if fails:
            self.core.fail(sent, inputs.FailurePhase.SENT)
        else:
            self.core.answer(sent)
        self.take()


def a_flood_is_bounded_and_tells_whole_stories() -> None:
    """Under load, requests that end well are left out whole.

    Symptom: logging takes the processor from requests; or a story whose
        first half is missing.
    Sequence: 5,000 requests within a second; one in a hundred fails.
    Cause: lines written or left out one by one.
    """
    told = Told()
    for number in range(5_000):
        told.play(f"r{number}", fails=number % 100 == 0)
        told.core.now_ms += number % 5 == 0
    assert len(told.lines) < 2_000, len(told.lines)
    assert told.stories.omitted_requests > 3_000
    by_request: dict[str, list[str]] = {}
    for line in told.lines:
        fields = dict(explain.KEY_VALUE.findall(line))
        if "request" in fields:
            by_request.setdefault(fields["request"], []).append(fields["event"])
    for name, events in by_request.items():
        assert events[0] == "placed", (name, events)
        assert events[-1] in log_sampling.FINAL_EVENTS, (name, events)
    failed = [n for n in by_request if int(n[1:]) % 100 == 0]
    assert len(failed) == 50, len(failed)


def a_reader_that_stops_holds_nothing_up() -> None:
    """A pipe that nobody reads costs lines, not time.

    Symptom: the daemon stands still when its log is not read.
    Sequence: a pipe is full; 10,000 more lines are written; it is read again.
    Cause: lines written by whoever decides.
    """
    reader, writer = os.pipe()
    with os.fdopen(writer, "w") as out:
        lines = logs.LineWriter(out, max_lines=1_000)
        started = time.monotonic()
        for number in range(10_000):
            lines.write(f"line {number} " + "x" * 100)
        assert time.monotonic() - started < 1.0
        assert lines.dropped > 5_000
        read = io.StringIO()

        def drain() -> None:
            with os.fdopen(reader, encoding="utf-8") as source:
                for line in source:
                    read.write(line)

        thread = threading.Thread(target=drain)
        thread.start()
        time.sleep(0.2)
        lines.write("last")
        lines.close(wait_s=2)
    thread.join(5)
    assert "log_lines_left_out" in read.getvalue()
    assert read.getvalue().rstrip().endswith(("last", "count=0")) or (
        "last" in read.getvalue()
    )


def a_failed_request_is_explained_by_its_id() -> None:
    """The lines of one id tell why a request failed.

    Symptom: on-call staff can't say why an officer got no answer.
    Sequence: a call's server breaks off; its id is looked up in two logs.
    Cause: lines without the caller's id, or without what decided.
    """
    told = Told()
    told.core.arrive("confirm", "9c41d07b~7")
    sent = told.core.dispatch()
    told.take()
    told.core.fail(sent, inputs.FailurePhase.SENT)
    told.take()
    told.play("other~8", fails=False)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "edge-1.log"
        other = pathlib.Path(folder) / "edge-2.log"
        path.write_text(
            "".join(f"time=1 level=INFO {line}\n" for line in told.lines)
        )
        other.write_text("time=1 level=INFO event=serving\n")
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            assert explain.explain("9c41d07b", str(path), str(other)) == 0
        with contextlib.redirect_stderr(io.StringIO()) as errors:
            assert explain.explain("unknown", str(path)) != 0
    story = out.getvalue()
    for part in ("placed", "attempt_failed", "answer_lost", "may_have_run=1"):
        assert part in story, story
    assert "other" not in story and "no line" in errors.getvalue()


def a_value_from_outside_forges_no_line() -> None:
    """A line break in a caller's id does not begin a line of its own.

    Symptom: a log that says what never happened.
    Sequence: an id holds a line break and a pair.
    Cause: values written as they came.
    """
    event = effects.Event("refused", "a\nevent=forged", ())
    assert "\n" not in observer.format_line(event)
