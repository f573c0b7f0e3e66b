"""What the harness says of a start of daemons that goes wrong."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile

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


def a_scenario_that_ends_in_an_error_shows_its_logs():
    """A start of three daemons timed out, and nobody could say why.

    The harness prints the daemons' logs when a scenario fails. A wait that
    times out raises an error of the harness, and to behave such a scenario
    has not "failed" but ended in an "error": after a failed assertion the
    output held "event=serving daemon=entry-1@4a820845", after a wait that
    timed out it held the traceback alone.
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
