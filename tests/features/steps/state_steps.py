"""Steps on the state that an answer uses and on matching answers to calls."""

from __future__ import annotations

import json

from behave import given, then, when

from cluster import processes
from features.steps import cluster_steps, stop_steps, stream_steps
from godwittack.session import record

GOLDEN = processes.TESTS / "golden"
LONG = "The rulebook says. " * 400


@when('workspace "{name}" sends a long prompt twice')
def send_twice(context, name):
    """Makes two completions with one prefix."""
    context.cached = {}
    for _ in range(2):
        _, context.cached[name] = stop_steps.complete(
            context, "entry-1", "Q", LONG, name
        )


@when('workspace "{name}" sends the same long prompt')
def send_once(context, name):
    """Makes one completion as another workspace."""
    _, context.cached[name] = stop_steps.complete(
        context, "entry-1", "Q", LONG, name
    )


@then('most of the prompt was cached for "{name}" the second time')
def most_cached(context, name):
    """Checks the engine's count of cached tokens."""
    assert context.cached[name] > 1000, context.cached


@then('none of the prompt was cached for "{name}"')
def none_cached(context, name):
    """Checks the engine's count of cached tokens."""
    assert context.cached[name] == 0, context.cached


@when("the engine {change} unreported, and a stream is requested at once")
def change_unreported(context, change):
    """Changes the engine's state and opens a stream before the next report."""
    cluster = context.cluster
    # No load report may arrive before the stream is opened.
    cluster.fault("engine-1", "hide_state")
    if change == "restarts empty":
        processes.call("POST", cluster.url("engine-1", "/fault/restart"))
    else:
        processes.call(
            "POST", cluster.url("engine-1", "/fault/weights"), {"value": "2"}
        )
    reader = stream_steps.begin(context, 30)
    reader.read_to_end()


@then("the answer is complete and stamped with the engine's current state")
def stamped_current(context):
    """Checks the words, and the daemon's state against the engine's."""
    stream_steps.check_complete(context, 30)
    counts = context.cluster.counts("engine-1")
    assert counts["cancelled"] >= 1, counts
    server = context.cluster.ready("entry-1")["servers"]["engine-1"]
    assert server["incarnation"] == counts["incarnation"], (server, counts)
    assert server["weights_version"] == counts["weights"], (server, counts)


@then("the log reports the changed state")
def log_reports_change(context):
    """Checks the log for the event."""
    assert "event=state_changed" in context.cluster.log("entry-1")


@when("the engines echo another request's id once")
def wrong_echo(context):
    """Injects the fault at both engines; either may be chosen next."""
    for name in ("engine-1", "engine-2"):
        context.cluster.fault(name, "wrong_echo", 1)


@when("a stream of {tokens:d} tokens is read")
def read_stream(context, tokens):
    """Reads a stream to its end."""
    stream_steps.begin(context, tokens).read_to_end()


@when("both workspaces send different calls with the same ids at once")
def same_ids(context):
    """Sends twenty pairs."""

    def send(name, number):
        headers = {
            **cluster_steps.auth(context, name),
            "idempotency-key": f"same-{number}",
            "x-request-id": f"same-{number}",
        }
        url = context.cluster.url("entry-1", f"/svc/portal/{name}/{number}")
        status, _, body = processes.call("POST", url, {"who": name}, headers)
        return name, number, status, json.loads(body)

    calls = [
        context.pool.submit(send, name, number)
        for number in range(20)
        for name in ("desk", "fair")
    ]
    context.results = [call.result() for call in calls]


@then("each got the answer to its own call")
def own_answers(context):
    """Compares the path that the service received with the one sent."""
    for name, number, status, answer in context.results:
        assert status == 200, answer
        assert answer["path"] == f"/{name}/{number}", answer


@given('the recorded session "{name}"')
def recorded(context, name):
    """Reads a golden file."""
    path = GOLDEN / f"{name}.session"
    context.recording = path.read_text().splitlines()
    context.session_name = name


@when("it is replayed")
def replay(context):
    """Feeds the recorded inputs to a new core."""
    context.replayed = record.replay(context.recording)


@then("the decisions are the same byte for byte")
def same_bytes(context):
    """Compares recording and replay."""
    changed = record.replay_diff(context.session_name, context.recording)
    assert not changed, "\n".join(changed)


@then("the caller's frames come from one attempt only")
def one_attempt(context):
    """Checks the data relayed."""
    relayed = _effects(context, "Relay")
    data = [frame["data"] for e in relayed for frame in e["frames"]]
    assert data and all(text.startswith("second") for text in data), data


@then("nothing is relayed after the caller has disconnected")
def nothing_after(context):
    """Checks the effects after the input CallerGone."""
    lines = context.replayed
    gone = next(n for n, line in enumerate(lines) if "CallerGone" in line)
    after = [line for line in lines[gone:] if '"Relay"' in line]
    assert not after, after


def _effects(context, kind):
    emitted = [
        json.loads(line[2:])
        for line in context.replayed
        if line.startswith("< ")
    ]
    return [effect for effect in emitted if effect["type"] == kind]
