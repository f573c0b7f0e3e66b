"""Steps on planned stops, leaving servers and restarts."""

from __future__ import annotations

import signal

from behave import given, then, when

from cluster import load, processes
from features.steps import cluster_steps, stream_steps


@given(
    "a cluster of {daemons:d} daemons, {engines:d} engines and a plain service"
)
def full_cluster(context, daemons, engines):
    """Starts one of each kind."""
    cluster_steps.start_cluster(context, daemons, engines=engines, services=1)


@when("all daemons are replaced one after another under steady load")
def rolling(context):
    """Stops and restarts each daemon in turn."""
    cluster = context.cluster
    context.load = load.Load(cluster, callers=8)
    context.load.wait_more(30)
    context.exit_codes = []
    for name in context.names:
        cluster.signal(name, signal.SIGTERM)
        code = cluster.processes[name].wait(timeout=processes.WAIT_S)
        context.exit_codes.append(code)
        cluster.start_daemon(name)
        context.load.wait_more(30)
    context.load.stop()


@when("engine {number:d} shuts down gracefully under steady load")
def shut_down_engine(context, number):
    """Marks an engine as leaving, waits until it is idle, and ends it."""
    cluster = context.cluster
    name = f"engine-{number}"
    context.load = load.Load(cluster, callers=8)
    context.load.wait_more(30)
    processes.call("POST", cluster.url(name, "/fault/leave"))
    processes.wait_until(
        "the engine is idle",
        lambda: cluster.counts(name)["open"] == 0,
    )
    context.load.wait_more(30)
    cluster.kill(name)
    context.load.wait_more(30)
    context.load.stop()


@then("no request was cut and no connection refused")
def no_failures(context):
    """Checks the failures that the callers saw."""
    assert context.load.finished > 60
    assert not context.load.failures, context.load.failures[:3]


@then("every submission ran once")
def submissions_once(context):
    """Checks the service's count of runs."""
    runs = context.cluster.counts("portal-1")["runs"]
    assert context.load.keys
    assert all(runs[key] == 1 for key in context.load.keys), runs


@then("every daemon ended by itself with exit code 0")
def exit_codes(context):
    """Checks the exit codes."""
    assert context.exit_codes == [0] * len(context.names)


@when(
    'key "{key}" is sent through daemon {daemon:d}, which gets SIGTERM'
    " during the call"
)
def keyed_call_stopped(context, key, daemon):
    """Sends SIGTERM once the service runs the call."""
    cluster = context.cluster
    call = context.pool.submit(
        cluster_steps.send_key, context, key, daemon=daemon
    )
    processes.wait_until(
        "the service runs the call",
        lambda: key in cluster.counts("portal-1")["runs"],
    )
    cluster.signal(f"entry-{daemon}", signal.SIGTERM)
    context.answers.append(call.result())


@then("the answer has status {status:d}")
def answer_status(context, status):
    """Checks the last answer."""
    assert context.answers[-1][0] == status, context.answers[-1]


@when("engine {number:d} is marked as leaving in its load reports only")
def mark_in_reports(context, number):
    """Makes the engine report that it is leaving."""
    context.cluster.counts(f"engine-{number}")
    processes.call(
        "POST", context.cluster.url(f"engine-{number}", "/fault/leave")
    )


@when("engine {number:d} is marked as leaving in the platform's list only")
def mark_in_list(context, number):
    """Marks the entry of the list."""
    context.cluster.list_instance(
        f"engine-{number}", "engine", "rulebook", leaving=True
    )


@when("engine {number:d} restarts on its address")
def engine_restarts(context, number):
    """Ends the engine's process and starts another on its port."""
    cluster = context.cluster
    cluster.kill(f"engine-{number}")
    cluster.start_engine(f"engine-{number}", "rulebook")


def _wait_leaving(context, number, leaving):
    for name in context.names:
        processes.wait_until(
            f"{name} counts the engine as leaving={leaving}",
            lambda name=name: (
                context.cluster.ready(name)["servers"][f"engine-{number}"][
                    "leaving"
                ]
                is leaving
            ),
        )


@when("every daemon counts engine {number:d} as leaving")
@then("every daemon counts engine {number:d} as leaving")
def counts_leaving(context, number):
    """Checks each daemon's readiness report."""
    _wait_leaving(context, number, True)


@then("every daemon counts engine {number:d} as usable")
def counts_usable(context, number):
    """Checks each daemon's readiness report."""
    _wait_leaving(context, number, False)


@then("none of {count:d} new streams goes to engine {number:d}")
def none_goes(context, count, number):
    """Sends streams through all daemons and compares the engine's count."""
    cluster = context.cluster
    before = cluster.counts(f"engine-{number}")["runs"]
    for turn in range(count):
        daemon = context.names[turn % len(context.names)]
        status, _ = _complete(context, daemon, f"question {turn}")
        assert status == 200, status
    assert cluster.counts(f"engine-{number}")["runs"] == before


@when(
    "a stream of {tokens:d} tokens is read, and its engine starts to leave"
    " meanwhile"
)
def read_while_leaving(context, tokens):
    """Marks the engine as leaving while the stream runs."""
    thread = stream_steps.begin(context, tokens).in_background()
    processes.call("POST", context.cluster.url("engine-1", "/fault/leave"))
    thread.join(processes.WAIT_S)


@given("{count:d} long prefixes were served through all daemons")
def prefixes_served(context, count):
    """Sends each prefix twice, so that its home server has it cached."""
    context.prefixes = [f"Rulebook {n}. " * 200 for n in range(count)]
    for turn, prefix in enumerate(context.prefixes * 2):
        daemon = context.names[turn % len(context.names)]
        status, _ = _complete(context, daemon, "first", prefix)
        assert status == 200


@when("{who} killed and restarted {platform}")
def restarted(context, who, platform):
    """Kills daemons and starts new ones on their addresses."""
    cluster = context.cluster
    if "down" in platform:
        cluster.fault("platform", "tables_down")
    chosen = context.names[:1] if who.startswith("one") else context.names
    context.reads = cluster.counts("platform")["reads"]
    for name in chosen:
        cluster.kill(name)
    for name in chosen:
        cluster.launch_daemon(name)
    for name in chosen:
        cluster.wait_ready(name)
    context.restarted = chosen


@then(
    "at least {min_hits:d} of the {count:d} prefixes are found cached on the"
    " first request"
)
def found_cached(context, min_hits, count):
    """Sends each prefix once through a restarted daemon."""
    hits = 0
    for turn, prefix in enumerate(context.prefixes):
        daemon = context.restarted[turn % len(context.restarted)]
        status, cached = _complete(context, daemon, "again", prefix)
        assert status == 200
        hits += cached > 100
    assert hits >= min_hits and count == len(context.prefixes), hits


@then("the platform answered fewer than {limit:d} reads meanwhile")
def few_reads(context, limit):
    """Checks the platform's count of reads."""
    reads = context.cluster.counts("platform")["reads"] - context.reads
    assert reads < limit, reads


def _complete(context, daemon, question, prefix="", workspace="desk"):
    """Makes one completion; returns status and cached tokens."""
    messages = [{"role": "user", "content": question}]
    if prefix:
        messages.insert(0, {"role": "system", "content": prefix})
    body = {"model": "rulebook", "max_tokens": 2, "messages": messages}
    status, _, raw = processes.call(
        "POST",
        context.cluster.url(daemon, "/v1/chat/completions"),
        body,
        cluster_steps.auth(context, workspace),
    )
    if status != 200:
        return status, 0
    usage = processes.json.loads(raw)["usage"]
    return status, usage["prompt_tokens_details"]["cached_tokens"]


complete = _complete
