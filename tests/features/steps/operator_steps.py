"""Steps on operators' commands and settings."""

from __future__ import annotations

import contextlib
import pathlib
import socket
import subprocess
import sys
import tempfile

import yaml
from behave import given, then

from cluster import processes
from features.steps import cluster_steps


@then('"table show" prints the rows')
def show(context):
    """Runs the command."""
    done = context.cluster.command("table", "show")
    assert done.returncode == 0, done.stderr
    for word in ("desk", "rulebook", "portal", "max_in_flight"):
        assert word in done.stdout, done.stdout


@then("an export can be imported again and changes nothing")
def round_trip(context):
    """Exports and imports."""
    file = str(context.cluster.path / "out.csv")
    assert context.cluster.command("table", "export", file).returncode == 0
    done = context.cluster.command("table", "import", file, "--why", "same")
    assert (done.returncode, done.stdout.strip()) == (0, "nothing changes")
    assert context.cluster.command("table", "diff", file).returncode == 0


@then('"table set {words}" exits {code:d} and says "{text}"')
def set_fails(context, words, code, text):
    """Runs the command; an invalid cell leads to one line of error."""
    done = context.cluster.command(
        "table", "set", *words.split(), "--why", "trial"
    )
    assert done.returncode == code, (done.returncode, done.stderr)
    assert text in done.stderr and done.stderr.count("\n") == 1, done.stderr


@then('"table set {words}" is accepted')
def set_works(context, words):
    """Runs the command with a valid cell."""
    done = context.cluster.command(
        "table", "set", *words.split(), "--why", "trial"
    )
    assert done.returncode == 0, done.stderr


@then('"table set {words}" without a reason exits {code:d}')
def set_without_reason(context, words, code):
    """Runs the command without a reason."""
    done = context.cluster.command("table", "set", *words.split())
    assert done.returncode == code and "--why" in done.stderr, done.stderr


@then("importing an invalid CSV file exits {code:d} and names the fault")
def import_invalid_files(context, code):
    """Imports files with a wrong kind, number, column or a repeated row."""
    file = context.cluster.path / "wrong.csv"
    for text, message in (
        ("kind,name\nworkspace,a\nworkspce,b\n", "line 3"),
        ("kind,name,weight\nworkspace,a,heavy\n", "weight"),
        ("kind,name,colour\nworkspace,a,red\n", "colour"),
        ("kind,name\nworkspace,a\nworkspace,a\n", "twice"),
    ):
        file.write_text(text)
        done = context.cluster.command(
            "table", "import", str(file), "--why", "trial"
        )
        assert done.returncode == code and message in done.stderr, done.stderr


@then("a changed cell can be undone and the history lists both changes")
def undo(context):
    """Changes a cell, undoes the change and reads the history."""
    run = context.cluster.command
    done = run(
        "table", "set", "model", "rulebook", "max_queue=7", "--why", "few"
    )
    assert done.returncode == 0, done.stderr
    version = done.stdout.split("version ")[1].split()[0]
    assert run("table", "undo", version, who="bilal").returncode == 0
    printed = run("table", "history").stdout
    assert "max_queue: 200 -> 7" in printed and "max_queue: 7 -> 200" in printed
    assert "bilal: undo of version" in printed, printed


@then('"{words}" exits {code:d}')
def exits(context, words, code):
    """Runs a command."""
    done = context.cluster.command(*words.split())
    assert done.returncode == code, (done.stdout, done.stderr)


def _settings(folder: pathlib.Path) -> dict:
    (folder / "secret").write_text("s" * 32)
    return {
        "name": "entry-1",
        "failure_domain": "north",
        "http_address": f"127.0.0.1:{processes.free_port()}",
        "peer_address": f"127.0.0.1:{processes.free_port()}",
        "platform_url": f"http://127.0.0.1:{processes.free_port()}",
        "cluster_secret_file": "secret",
    }


@contextlib.contextmanager
def _platform():
    cluster = processes.Cluster()
    try:
        cluster.start_platform()
        yield cluster.url("platform")
    finally:
        cluster.close()


@contextlib.contextmanager
def _busy_port():
    """Yields a port that is in use, by TCP and by UDP."""
    with (
        socket.socket() as listener,
        socket.socket(type=socket.SOCK_DGRAM) as other,
    ):
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        other.bind(listener.getsockname())
        yield listener.getsockname()[1]


def _check(folder: pathlib.Path, settings: dict):
    file = folder / "settings.yaml"
    file.write_text(yaml.safe_dump(settings))
    return subprocess.run(
        [sys.executable, "-m", "godwittack", "check", "--settings", str(file)],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


def _inject_fault(fault: str, settings: dict, folder: pathlib.Path, busy: int):
    match fault:
        case "unknown key":
            settings["http_adress"] = "127.0.0.1:1"
        case "wrong unit":
            settings["address_keep_ms"] = "5s"
        case "missing key":
            del settings["peer_address"]
        case "port in use":
            settings["http_address"] = f"127.0.0.1:{busy}"
        case "short secret":
            (folder / "secret").write_text("short")
        case "platform unreachable":
            settings["platform_url"] = _settings(folder)["platform_url"]
        case "peer port in use by datagrams":
            settings["peer_address"] = f"127.0.0.1:{busy}"
        case "unknown decision":
            settings["decisions"] = {"frame_gap": 1}
        case "decision out of range":
            settings["decisions"] = {"quota_spare_ratio": 0.9}


@then(
    "settings with these faults are refused in one line with exit code {code:d}"
)
def wrong_settings(context, code):
    """Checks one settings file per fault."""
    with _platform() as url, _busy_port() as busy:
        for row in context.table:
            with tempfile.TemporaryDirectory() as name:
                folder = pathlib.Path(name)
                settings = {**_settings(folder), "platform_url": url}
                _inject_fault(row["fault"], settings, folder, busy)
                done = _check(folder, settings)
            assert done.returncode == code, (row["fault"], done.stderr)
            lines = done.stderr.strip().splitlines()
            assert len(lines) == 1, (row["fault"], done.stderr)
            assert row["says"] in lines[0], (row["fault"], lines)
            assert "settings.yaml" in lines[0], lines


@then("valid settings pass the check")
def valid_settings(context):
    """Checks a valid file while the platform answers."""
    del context
    with _platform() as url, tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        done = _check(folder, {**_settings(folder), "platform_url": url})
    assert done.returncode == 0 and not done.stderr, done.stderr


@then("every setting is printed with its default")
def print_settings(context):
    """Runs `godwittack settings`."""
    del context
    done = subprocess.run(
        [sys.executable, "-m", "godwittack", "settings"],
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    )
    for word in ("address_keep_ms", "5000 milliseconds", "frame_gap_ms"):
        assert word in done.stdout, word


@given(
    "a cluster of {daemons:d} recording daemons, {engines:d} engines and a"
    " plain service"
)
def recording_cluster(context, daemons, engines):
    """Starts a cluster whose daemon records its session."""
    folder = tempfile.mkdtemp(prefix="godwittack-record-")
    context.recording_file = str(pathlib.Path(folder) / "daemon.session")
    cluster_steps.start_cluster(
        context,
        daemons,
        engines=engines,
        services=1,
        record_file=context.recording_file,
    )


@then('"replay" of the recording reports the same effects')
def replay_recording(context):
    """Replays a copy of the recording, which no longer grows."""
    path = pathlib.Path(context.recording_file)
    lines = path.read_text().splitlines()
    # The daemon still writes: the last input, whose effects may not all be
    # written yet, is left out.
    last = max(n for n, line in enumerate(lines) if line.startswith("> "))
    copy = path.with_suffix(".still")
    copy.write_text("\n".join(lines[:last]) + "\n")
    done = context.cluster.command("replay", str(copy))
    assert done.returncode == 0, done.stdout[-2000:]
    assert "same" in done.stdout
    assert sum('"Reply"' in line for line in lines) >= 10
