"""Steps on streams."""

from __future__ import annotations

import signal
import time

from behave import given, then, when

from cluster import processes, streams
from features.steps import cluster_steps

# Logged when a listed server's address changes.
RELISTED = "event=server_gone server=engine-1"
GAP_MS = 400


@given("a cluster of {daemons:d} daemons and an engine behind a link")
def engine_behind_link(context, daemons):
    """Lists the link's address in place of the engine's."""
    cluster = cluster_steps.start_cluster(
        context, daemons, engines=1, decisions={"frame_gap_ms": GAP_MS}
    )
    port = cluster.start_link("link", "engine-1")
    cluster.list_instance("engine-1", "engine", "rulebook", port=port)
    processes.wait_until(
        "the daemons use the link",
        lambda: cluster.counts("link")["connections"] > 0,
    )
    # One daemon follows the engine and uses the link at once. Another daemon
    # lists the engine at its old address until it reads the new one, and then
    # drops it for a moment, in the middle of the stream's first request.
    for name in context.names:
        processes.wait_until(
            f"{name} has read the link's address",
            lambda name=name: RELISTED in cluster.log(name),
        )
        cluster.wait_ready(name)


def begin(context, tokens) -> streams.StreamReader:
    """Opens a stream through the first daemon."""
    context.reader = streams.StreamReader(
        context.cluster, daemon="entry-1", tokens=tokens
    )
    assert context.reader.status == 200, context.reader.status
    return context.reader


@when(
    "a stream of {tokens:d} tokens is read while the engine's connection"
    " {fault}"
)
def read_with_connection_fault(context, tokens, fault):
    """Reads a stream during one fault of the connection."""
    cluster = context.cluster
    match fault:
        case "is cut":
            cluster.fault("engine-1", "cut_at", 20)
        case "loses a frame":
            cluster.fault("engine-1", "skip_at", 20)
        case "doubles each frame":
            cluster.fault("engine-1", "double")
    reader = begin(context, tokens)
    thread = reader.in_background()
    if "stalls" in fault:
        cluster.fault("link", "silent")
    if "twice" in fault:
        word_count = len(reader.words())
        processes.wait_until(
            "the stream continues",
            lambda: len(reader.words()) > word_count,
        )
        cluster.fault("link", "silent")
    thread.join(processes.WAIT_S)


@when("a stream of {tokens:d} tokens is read while the engine {fault}")
def read_with_lost_engine(context, tokens, fault):
    """Reads a stream whose engine is lost."""
    cluster = context.cluster
    thread = begin(context, tokens).in_background()
    # Another engine is ready, and must not continue the stream.
    cluster.start_engine("engine-2", "rulebook")
    cluster.wait_ready("entry-1")
    if fault == "is killed":
        cluster.kill("engine-1")
    else:
        processes.call("POST", cluster.url("engine-1", "/fault/restart"))
    thread.join(processes.WAIT_S)


@when("a stream of {tokens:d} tokens is read while the daemon is killed")
def read_with_killed_daemon(context, tokens):
    """Reads a stream whose daemon is killed."""
    thread = begin(context, tokens).in_background()
    context.cluster.kill("entry-1")
    thread.join(processes.WAIT_S)
    assert len(context.reader.words()) < tokens


@when(
    "a stream of {tokens:d} tokens is read while the daemon is paused for"
    " {seconds:d} s"
)
def read_with_paused_daemon(context, tokens, seconds):
    """Reads a stream whose daemon is stopped and resumed."""
    thread = begin(context, tokens).in_background()
    context.cluster.signal("entry-1", signal.SIGSTOP)
    time.sleep(seconds)
    context.cluster.signal("entry-1", signal.SIGCONT)
    thread.join(processes.WAIT_S)


@when("the caller resumes the stream through daemon {daemon:d}")
def resume(context, daemon):
    """Sends the resume token to another daemon."""
    context.reader.resume(f"entry-{daemon}")
    assert context.reader.status == 200, context.reader.status
    context.reader.read_to_end()


@when("a stream of {tokens:d} tokens is started")
def begin_only(context, tokens):
    """Opens a stream and reads it in the background."""
    begin(context, tokens).in_background()


@then("resuming it with a changed token is refused with status {status:d}")
def forged(context, status):
    """Changes one character of the token's first part."""
    token = context.reader.token
    first = "A" if token[10] != "A" else "B"
    changed = token[:10] + first + token[11:]
    assert _resume_status(context, changed, "desk") == status


@then('resuming it as workspace "{name}" is refused with status {status:d}')
def foreign(context, name, status):
    """Sends the valid token as another workspace."""
    assert _resume_status(context, context.reader.token, name) == status


@when("a caller opens a stream of {tokens:d} tokens and does not read it")
def unread(context, tokens):
    """Opens a fast stream and leaves it unread for 5 s."""
    context.cluster.fault("engine-1", "fast")
    context.before_mb = _memory_mb(context)
    context.unread = streams.StreamReader(
        context.cluster, daemon="entry-1", tokens=tokens
    )
    time.sleep(5)


@then("the daemon's memory grew by less than {limit_mb:d} MB")
def memory_bound(context, limit_mb):
    """Compares the daemon's resident memory."""
    grown_mb = _memory_mb(context) - context.before_mb
    assert grown_mb < limit_mb, grown_mb


@then("the caller has tokens 1 to {tokens:d} in order and the end mark")
def check_complete(context, tokens):
    """Checks every word."""
    words = context.reader.words()
    expected = [f"t{n}" for n in range(1, tokens + 1)]
    assert words == expected, (words[:3], words[-3:], context.reader.broken)
    assert context.reader.raw.endswith(b"data: [DONE]\n\n")


@then("the caller has the first tokens in order")
def first_tokens(context):
    """Checks the words received."""
    words = context.reader.words()
    assert words and words == [f"t{n}" for n in range(1, len(words) + 1)]


@then('the stream ends with an error whose outcome is "{outcome}"')
def ends_with_error(context, outcome):
    """Checks the last event."""
    error = context.reader.error()
    assert error is not None, context.reader.raw[-300:]
    assert error["outcome"] == outcome, error


@then("the stream has no end mark")
def no_end_mark(context):
    """Checks that the stream does not look complete."""
    assert b"[DONE]" not in context.reader.raw


def _resume_status(context, token: str, workspace: str) -> int:
    headers = {
        **cluster_steps.auth(context, workspace),
        "x-resume-token": token,
        "last-event-id": "1",
    }
    url = context.cluster.url("entry-2", "/v1/resume")
    return processes.call("GET", url, headers=headers)[0]


def _memory_mb(context) -> float:
    pid = context.cluster.processes["entry-1"].pid
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * 4096 / 1e6
