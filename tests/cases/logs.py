"""Log lines: bounded, non-blocking, all or none of a request."""

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

NEVER_MS = 1 << 40


class LoggedCore:
    """A core whose events are logged."""

    def __init__(self, *, lines_per_s: int = 200) -> None:
        self.lines: list[str] = []
        self.core = routed_core.Core()
        self.sampler = log_sampling.RequestLogSampler(
            write=self.lines.append,
            now_ms=lambda: self.core.now_ms,
            lines_per_s=lines_per_s,
        )

    def log_events(self) -> None:
        """Logs the events of the core's last step."""
        for event in self.core.find(effects.Event):
            self.sampler.record(event, observer.format_line(event))

    def play(self, name: str, *, fails: bool) -> None:
        """Plays one request to its end."""
        self.core.arrive("confirm", name)
        sent = self.core.dispatch()
        self.log_events()
        if fails:
            self.core.fail(sent, inputs.FailurePhase.SENT)
        else:
            self.core.answer(sent)
        self.log_events()


def log_volume_is_bounded_and_requests_are_logged_whole() -> None:
    """Under load, the lines of successful requests are all left out.

    Guards against logging that takes processor time from requests, or a request
    whose first lines are missing because lines were written or left out one by
    one: 5,000 requests within a second, of which one in a hundred fails.
    """
    logged = LoggedCore()
    for number in range(5_000):
        logged.play(f"r{number}", fails=number % 100 == 0)
        logged.core.now_ms += number % 5 == 0
    assert len(logged.lines) < 2_000, len(logged.lines)
    assert logged.sampler.omitted_requests > 3_000
    by_request: dict[str, list[str]] = {}
    for line in logged.lines:
        fields = dict(explain.KEY_VALUE.findall(line))
        if "request" in fields:
            by_request.setdefault(fields["request"], []).append(fields["event"])
    for name, events in by_request.items():
        assert events[0] == "placed", (name, events)
        assert events[-1] in log_sampling.FINAL_EVENTS, (name, events)
    failed = [n for n in by_request if int(n[1:]) % 100 == 0]
    assert len(failed) == 50, len(failed)


def a_stalled_log_reader_blocks_nothing() -> None:
    """A pipe that nobody reads costs lines, not time.

    Guards against a daemon that blocks when its log is not read, because lines
    are written by the deciding thread: a pipe is full; 10,000 more lines are
    written; it is read again.
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
    """The lines with a request's id explain why it failed.

    Guards against lines without the caller's id, or without the reason for a
    decision, so that on-call staff can't tell why an officer got no answer. A
    call's server breaks off; its id is looked up in two logs.
    """
    logged = LoggedCore()
    logged.core.arrive("confirm", "9c41d07b~7")
    sent = logged.core.dispatch()
    logged.log_events()
    logged.core.fail(sent, inputs.FailurePhase.SENT)
    logged.log_events()
    logged.play("other~8", fails=False)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "edge-1.log"
        other = pathlib.Path(folder) / "edge-2.log"
        path.write_text(
            "".join(f"time=1 level=INFO {line}\n" for line in logged.lines)
        )
        other.write_text("time=1 level=INFO event=serving\n")
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            assert explain.explain("9c41d07b", str(path), str(other)) == 0
        with contextlib.redirect_stderr(io.StringIO()) as errors:
            assert explain.explain("unknown", str(path)) != 0
    explanation = out.getvalue()
    for part in ("placed", "attempt_failed", "answer_lost", "may_have_run=1"):
        assert part in explanation, explanation
    assert "other" not in explanation and "no line" in errors.getvalue()


def a_broken_stream_is_explained_by_its_line() -> None:
    """Guards against broken streams without server, last event or time left."""
    logged = LoggedCore()
    logged.core.arrive("long", "9c41d07b~7")
    sent = logged.core.dispatch()
    logged.core.open(sent)
    logged.core.frames(sent, 1, 2)
    logged.core.now_ms += 70
    for name in ("e1", "e2"):
        logged.core.world.servers[name].draining_until_ms = NEVER_MS
    logged.core.fail(sent, inputs.FailurePhase.SENT)
    logged.log_events()
    (broken,) = (x for x in logged.lines if "event=stream_broken" in x)
    fields = dict(explain.KEY_VALUE.findall(broken))
    expected = {"after_frame": "2", "left_ms": "5930", "attempts": "1"}
    assert fields.items() >= expected.items(), broken
    assert fields["server"] == sent.server_id, broken
    assert fields["idle_ms"] == "70" and fields["detail"], broken
    event = effects.Event("stream_broken", "r", ())
    assert observer.level_name(event) == "WARNING"


def an_external_value_forges_no_log_line() -> None:
    """A line break in a caller's id does not start a new line.

    Guards against a log with events that never happened: an id contains a line
    break and a key-value pair, and values were written unescaped.
    """
    event = effects.Event("refused", "a\nevent=forged", ())
    assert "\n" not in observer.format_line(event)
