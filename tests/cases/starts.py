"""What the test harness reports when daemons fail to start."""

from __future__ import annotations

import contextlib
import http.server
import json
import pathlib
import subprocess
import sys
import tempfile
import threading
import time

from cluster import processes

SHOWN_LINE = "event=shown_after_an_error"
FEATURE = """
Feature: trial
  Scenario: a wait that times out
    Given a daemon, and a wait that times out
"""
STEPS = f"""
from behave import given
from cluster import processes

@given("a daemon, and a wait that times out")
def wait_in_vain(context):
    cluster = context.cluster = processes.Cluster()
    cluster.reserve_daemons("entry-1")
    cluster.launch("entry-1", "-c", "print({SHOWN_LINE!r})")
    cluster.processes["entry-1"].wait()
    processes.wait_until("the end of time", lambda: False, seconds=0.1)
"""


class ForeignDaemon(http.server.BaseHTTPRequestHandler):
    """Answers like a daemon of the same name in another cluster."""

    def do_GET(self):
        """Reports itself as the only member, alive and serving."""
        foreign_id = "entry-1@stranger"
        state = {"daemon": foreign_id, "members": {foreign_id: "alive"}}
        body = json.dumps(state).encode()
        self.send_response(200)
        self.send_header("content-length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *words):
        """Prints nothing."""
        del words


def a_scenario_that_ends_in_an_error_shows_its_logs():
    """The daemons' logs are printed when a scenario ends in an error.

    A start of three daemons timed out and left no cause. The harness printed
    logs when a scenario failed, but a wait that times out raises an error of
    the harness, and behave marks such a scenario as "error", not as "failed":
    after a failed assertion the output held "event=serving
    daemon=entry-1@4a820845", after a wait that timed out only the traceback.
    """
    with tempfile.TemporaryDirectory(prefix="godwittack-") as folder:
        path = pathlib.Path(folder)
        (path / "steps").mkdir()
        (path / "steps" / "trial_steps.py").write_text(STEPS)
        (path / "environment.py").write_text(
            "from features.environment import *\n"
        )
        (path / "trial.feature").write_text(FEATURE)
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "behave",
                "--no-color",
                "--format=progress3",
                str(path / "trial.feature"),
            ],
            cwd=processes.TESTS,
            capture_output=True,
            text=True,
            check=False,
            timeout=processes.WAIT_S,
        )
    output = done.stdout + done.stderr
    assert done.returncode == 1, output
    assert "timed out waiting until the end of time" in output, output
    assert SHOWN_LINE in output, output


def a_foreign_process_on_a_daemon_s_port_is_detected():
    """The harness checks that answers on a port come from its own daemon.

    A start timed out "waiting until entry-1 knows the others", as if membership
    had failed. A daemon of another cluster had got entry-1's HTTP port between
    its choice and its use. Entry-1 ended at once, "address already in use", but
    the other's answers on the port were attributed to it: it was up, and its
    members stayed {"alien-1@82ca1271"} while entry-2 and entry-3 knew each
    other. Eleven starts disturbed in other ways (another port occupied, a peer
    late, stopped or killed, datagrams lost) gave no such message.
    """
    cluster = processes.Cluster()
    foreign = None
    try:
        cluster.start_platform()
        cluster.reserve_daemons("entry-1", "entry-2")
        address = ("127.0.0.1", cluster.ports["entry-1"])
        foreign = http.server.ThreadingHTTPServer(address, ForeignDaemon)
        threading.Thread(target=foreign.serve_forever, daemon=True).start()
        for name in ("entry-1", "entry-2"):
            cluster.launch_daemon(name)
        error_text = _wait_error(lambda: cluster.wait_up("entry-1"))
    finally:
        if foreign is not None:
            foreign.shutdown()
            foreign.server_close()
        cluster.close()
    assert "entry-1 ended" in error_text, error_text
    assert "in use" in error_text, error_text


def a_failed_wait_for_members_shows_whom_each_daemon_sees():
    """The error of a timed-out wait contains each daemon's members.

    "Timed out waiting until entry-1 knows the others" did not show whether a
    member was missing, one too many was there, or entry-1 no longer answered.
    Here three daemons are awaited and two were started.
    """
    with _daemons("entry-1", "entry-2") as cluster:
        cluster.reserve_daemons("entry-3")
        names = ("entry-1", "entry-2", "entry-3")
        error_text = _wait_error(
            lambda: cluster.wait_members(*names, seconds=2)
        )
    assert "until entry-1 knows the others" in error_text, error_text
    for prefix in ("entry-1 sees {", "entry-2 sees {"):
        members = error_text.partition(prefix)[2].partition("}")[0]
        assert "entry-1@" in members and "entry-2@" in members, error_text
        assert members.count("alive") == 2, error_text
    assert "entry-3 sees nobody" in error_text, error_text


def a_daemon_that_has_exited_is_not_waited_for():
    """A wait for members ends as soon as one of the daemons has exited.

    The wait continued for 30 s and ended with "timed out waiting until entry-2
    knows the others", though entry-2 was killed after it had answered.
    """
    with _daemons("entry-1", "entry-2") as cluster:
        cluster.kill("entry-2")
        started = time.monotonic()
        names = ("entry-1", "entry-2", "entry-3")
        error_text = _wait_error(lambda: cluster.wait_members(*names))
        took_s = time.monotonic() - started
    assert "entry-2 ended" in error_text, error_text
    assert "event=serving daemon=entry-2@" in error_text, error_text
    assert took_s < processes.WAIT_S / 3, took_s


@contextlib.contextmanager
def _daemons(*names: str):
    """Runs daemons that have answered once."""
    cluster = processes.Cluster()
    try:
        cluster.start_platform()
        cluster.reserve_daemons(*names)
        for name in names:
            cluster.launch_daemon(name)
        for name in names:
            cluster.wait_up(name)
        yield cluster
    finally:
        cluster.close()


def _wait_error(wait) -> str:
    """Returns the error of a failed wait; empty if it succeeds."""
    try:
        wait()
    except processes.StepError as error:
        return str(error)
    return ""
