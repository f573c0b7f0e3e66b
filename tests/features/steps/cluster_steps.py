"""Steps with real processes."""

from __future__ import annotations

import concurrent.futures
import json
import time

from behave import given, then, when

from cluster import processes


def start_cluster(context, daemons, *, engines=0, services=0, **settings):
    """Starts a cluster with the standard table and waits until it serves."""
    cluster = context.cluster = processes.Cluster()
    cluster.extra_settings.update(settings)
    cluster.start_platform()
    names = [f"entry-{n}" for n in range(1, daemons + 1)]
    for number in range(1, engines + 1):
        cluster.start_engine(f"engine-{number}", "rulebook")
    for number in range(1, services + 1):
        cluster.start_service(f"portal-{number}", "portal")
    cluster.start_daemons(*names)
    context.names = names
    context.answers = []
    context.pool = concurrent.futures.ThreadPoolExecutor(40)
    return cluster


def auth(context, workspace="desk") -> dict[str, str]:
    """Returns a workspace's authorization header."""
    return {"authorization": f"Bearer {context.cluster.token(workspace)}"}


def send_key(context, key, *, daemon, method="POST"):
    """Makes one keyed call; returns status and body.

    If the connection breaks, the status is 0 and the body the error.
    """
    url = context.cluster.url(f"entry-{daemon}", "/svc/portal/claims")
    headers = {**auth(context), "idempotency-key": key}
    try:
        status, _, body = processes.call(method, url, {"case": 1}, headers)
    except OSError as error:
        return 0, str(error).encode()
    return status, body


@given("a cluster of {daemons:d} daemons and a plain service")
def cluster_with_service(context, daemons):
    """Starts daemons and one plain service."""
    start_cluster(context, daemons, services=1)


@given("a cluster of {daemons:d} daemons and {engines:d} engines")
def cluster_with_engines(context, daemons, engines):
    """Starts daemons and engines."""
    start_cluster(context, daemons, engines=engines)


@when("the service breaks the connection after running the next call")
def break_after_run(context):
    """Injects the fault."""
    context.cluster.fault("portal-1", "die_after_run")


@when('the platform\'s claim of key "{key}" has state "{state}"')
def wait_claim_state(context, key, state):
    """Waits until the outcome is written.

    Until then a second caller gets "in_progress", which is also true.
    """
    name = f"4.desk.portal.{key}"
    processes.wait_until(
        f"the claim of {key} is {state}",
        lambda: context.cluster.counts("platform")["claims"].get(name) == state,
    )


@when("the service takes {work_ms:d} ms for each call")
def slow_service(context, work_ms):
    """Sets the delay."""
    context.cluster.fault("portal-1", "work_ms", work_ms)


@when('key "{key}" is sent with method "{method}" through daemon {daemon:d}')
def keyed_call(context, key, method, daemon):
    """Sends one keyed call."""
    context.answers.append(send_key(context, key, daemon=daemon, method=method))


@when(
    'key "{key}" is sent through daemon {daemon:d}, which is killed during the'
    " call"
)
def keyed_call_killed(context, key, daemon):
    """Kills the daemon once the service runs the call."""
    cluster = context.cluster
    call = context.pool.submit(send_key, context, key, daemon=daemon)
    processes.wait_until(
        "the service runs the call",
        lambda: key in cluster.counts("portal-1")["runs"],
    )
    cluster.kill(f"entry-{daemon}")
    status, _ = call.result()
    assert status == 0, status
    survivor = next(n for n in context.names if n != f"entry-{daemon}")
    processes.wait_until(
        "the others count the daemon as dead",
        lambda: (
            len(cluster.ready(survivor)["members"]) == len(context.names) - 1
        ),
    )


@when('key "{key}" is sent through all daemons at once, {times:d} times each')
def keyed_calls_at_once(context, key, times):
    """Sends the key from many threads."""
    numbers = range(1, len(context.names) + 1)
    calls = [
        context.pool.submit(send_key, context, key, daemon=number)
        for number in numbers
        for _ in range(times)
    ]
    context.answers.extend(call.result() for call in calls)


@then('every answer has outcome "{outcome}"')
def check_outcomes(context, outcome):
    """Checks the refusals."""
    assert context.answers
    for status, body in context.answers:
        parsed = json.loads(body)
        assert parsed["outcome"] == outcome, (status, parsed)


@then('the service ran key "{key}" {times:d} times')
def check_runs(context, key, times):
    """Checks the service's count, 0.3 s later to include a late second run."""
    time.sleep(0.3)
    runs = context.cluster.counts("portal-1")["runs"]
    assert runs.get(key, 0) == times, runs


@then("every answer with status 200 is the same")
def same_bodies(context):
    """Checks the bodies."""
    bodies = {body for status, body in context.answers if status == 200}
    assert len(bodies) == 1, bodies
    others = {
        json.loads(body)["outcome"]
        for status, body in context.answers
        if status != 200
    }
    assert others <= {"in_progress"}, others
