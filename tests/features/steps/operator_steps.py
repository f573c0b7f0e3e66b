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
    """Runs the command; a wrong cell is one line of error."""
    done = context.cluster.command(
        "table", "set", *words.split(), "--why", "trial"
    )
    assert done.returncode == code, (done.returncode, done.stderr)
    assert text in done.stderr and done.stderr.count("\n") == 1, done.stderr


@then('"table set {words}" is accepted')
def set_works(context, words):
    """Runs the command with a right cell."""
    done = context.cluster.command(
        "table", "set", *words.split(), "--why", "trial"
    )
    assert done.returncode == 0, done.stderr


@then('"table set {words}" without a reason exits {code:d}')
def set_without_reason(context, words, code):
    """Runs the command without a reason."""
    done = context.cluster.command("table", "set", *words.split())
    assert done.returncode == code and "--why" in done.stderr, done.stderr


@then("a spreadsheet with a wrong cell exits {code:d} and names its line")
def wrong_sheet(context, code):
    """Imports a sheet with a wrong kind and one with a wrong number."""
    file = context.cluster.path / "wrong.csv"
    for text, said in (
        ("kind,name\nworkspace,a\nworkspce,b\n", "line 3"),
        ("kind,name,weight\nworkspace,a,heavy\n", "weight"),
        ("kind,name,colour\nworkspace,a,red\n", "colour"),
        ("kind,name\nworkspace,a\nworkspace,a\n", "twice"),
    ):
        file.write_text(text)
        done = context.cluster.command(
            "table", "import", str(file), "--why", "trial"
        )
        assert done.returncode == code and said in done.stderr, done.stderr


@then("a changed cell can be undone and both stand in the history")
def undo(context):
    """Changes, undoes and looks."""
    run = context.cluster.command
    done = run(
        "table", "set", "model", "rulebook", "max_queue=7", "--why", "few"
    )
    assert done.returncode == 0, done.stderr
    version = done.stdout.split("version ")[1].split()[0]
    assert run("table", "undo", version, who="bilal").returncode == 0
    told = run("table", "history").stdout
    assert "max_queue: 200 -> 7" in told and "max_queue: 7 -> 200" in told
    assert "bilal: undo of version" in told, told


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
    """Gives a port that is taken, for streams and for datagrams."""
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


def _spoil(fault: str, settings: dict, folder: pathlib.Path, busy: int):
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


@then(
    "settings with these faults are refused in one line with exit code {code:d}"
)
def wrong_settings(context, code):
    """Checks one file a fault."""
    with _platform() as url, _busy_port() as busy:
        for row in context.table:
            with tempfile.TemporaryDirectory() as name:
                folder = pathlib.Path(name)
                settings = {**_settings(folder), "platform_url": url}
                _spoil(row["fault"], settings, folder, busy)
                done = _check(folder, settings)
            assert done.returncode == code, (row["fault"], done.stderr)
            lines = done.stderr.strip().splitlines()
            assert len(lines) == 1, (row["fault"], done.stderr)
            assert row["says"] in lines[0], (row["fault"], lines)
            assert "settings.yaml" in lines[0], lines


@then("good settings pass the check")
def good_settings(context):
    """Checks a right file while the platform answers."""
    del context
    with _platform() as url, tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        done = _check(folder, {**_settings(folder), "platform_url": url})
    assert done.returncode == 0 and not done.stderr, done.stderr


@then("every setting is printed with its default")
def printed(context):
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
    "a cluster of {daemons:d} daemons that records, {engines:d} engines and a"
    " plain service"
)
def recording_cluster(context, daemons, engines):
    """Starts a cluster whose daemon records."""
    folder = tempfile.mkdtemp(prefix="godwittack-record-")
    context.recording_file = str(pathlib.Path(folder) / "daemon.session")
    cluster_steps.start_cluster(
        context,
        daemons,
        engines=engines,
        services=1,
        record_file=context.recording_file,
    )


@then('"replay" of the recording says that it is the same')
def replay_recording(context):
    """Copies the recording, so that it stands still, and replays it."""
    path = pathlib.Path(context.recording_file)
    lines = path.read_text().splitlines()
    # The daemon goes on writing: an input whose effects are not all written
    # yet is left out.
    last = max(n for n, line in enumerate(lines) if line.startswith("> "))
    still = path.with_suffix(".still")
    still.write_text("\n".join(lines[:last]) + "\n")
    done = context.cluster.command("replay", str(still))
    assert done.returncode == 0, done.stdout[-2000:]
    assert "same" in done.stdout
    assert sum('"Reply"' in line for line in lines) >= 10
