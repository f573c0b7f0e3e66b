"""Steps on refusals and their outcomes."""

from __future__ import annotations

import json

from behave import given, then, when

from cluster import processes
from features.steps import cluster_steps
from sim import loop, refusals


@when('a call is refused because of "{reason}"')
def refuse_for(context, reason):
    """Plays the session that causes the refusal."""
    context.refused = loop.run(refusals.refuse_and_repeat(reason))


@then('the refusal has outcome "{outcome}" and reason "{reason}"')
def check_refusal(context, outcome, reason):
    """Checks the refusal."""
    refusal = context.refused.first.final_effect
    assert refusal.outcome.value == outcome, refusal
    assert refusal.reason.value == reason, refusal


@then("the service has not run the call")
def not_run(context):
    """Checks the service's count of runs."""
    assert not context.refused.first_ran


@then("the same key can run afterwards")
def runs_afterwards(context):
    """Checks the second call and the count of runs."""
    assert context.refused.second.outcome == "answer", context.refused.second
    assert context.refused.runs == 1, context.refused.runs


@given("a cluster of {daemons:d} daemons and a plain service behind a link")
def service_behind_link(context, daemons):
    """Lists the link's address in place of the service's."""
    cluster = cluster_steps.start_cluster(
        context,
        daemons,
        services=1,
        decisions={"eject_ms": 20, "eject_max_ms": 20},
    )
    port = cluster.start_link("link", "portal-1")
    cluster.list_instance("portal-1", "service", "portal", port=port)
    processes.wait_until(
        "the daemon uses the link",
        lambda: cluster.counts("link")["connections"] > 0,
    )


@when("calls are cut at successive byte offsets of their {part}")
def cut_each_offset(context, part):
    """Sends a call per byte of the request, or per third byte of the answer."""
    cluster = context.cluster
    context.outcomes = {}
    fault = "cut_request_at" if part == "request" else "cut_reply_at"
    for number in range(0, 420, 1 if part == "request" else 3):
        key = f"cut-{part}-{number}"
        # Successive cuts eject the service; each further cut must reach it.
        processes.wait_until(
            "the service is used",
            lambda: _can_read(context),
        )
        cluster.fault("link", fault, number)
        status, body = cluster_steps.send_key(context, key, daemon=1)
        cluster.fault("link", fault, -1)
        context.outcomes[key] = (
            "answer" if status == 200 else json.loads(body)["outcome"]
        )


def _can_read(context) -> bool:
    """Returns whether a read through the daemon is answered."""
    url = context.cluster.url("entry-1", "/svc/portal/ping")
    return (
        processes.call("GET", url, headers=cluster_steps.auth(context))[0]
        == 200
    )


@then('no call refused as "{outcome}" has run')
def none_ran(context, outcome):
    """Checks the service's count of runs."""
    runs = context.cluster.counts("portal-1")["runs"]
    for key, received in context.outcomes.items():
        assert received != outcome or key not in runs, (key, received)


@then("no call has run twice")
def none_twice(context):
    """Checks the service's count of runs."""
    runs = context.cluster.counts("portal-1")["runs"]
    assert all(runs.get(key, 0) <= 1 for key in context.outcomes), runs


@then(
    'at least {min_refused:d} call was refused as "{outcome}" and at least'
    " {min_answered:d} was answered"
)
def some_refused(context, min_refused, outcome, min_answered):
    """Checks that the cuts led to both outcomes."""
    outcomes = list(context.outcomes.values())
    assert outcomes.count(outcome) >= min_refused, outcomes
    assert outcomes.count("answer") >= min_answered, outcomes


@then("every call has run once")
def all_ran(context):
    """Checks the service's count of runs of calls that were sent."""
    runs = context.cluster.counts("portal-1")["runs"]
    sent = {k: o for k, o in context.outcomes.items() if o != "not_run"}
    assert sent
    assert all(runs.get(key, 0) == 1 for key in sent), runs


@then('no call was refused as "{outcome}"')
def none_refused(context, outcome):
    """Checks the outcomes that the callers received."""
    refused = [k for k, o in context.outcomes.items() if o == outcome]
    assert not refused, refused


@when("the service's process is killed")
def kill_service(context):
    """Kills the plain service."""
    context.cluster.kill("portal-1")


@then("the same key runs once after the service is back")
def runs_when_back(context):
    """Starts the service again and retries as a caller would."""
    cluster = context.cluster
    cluster.start_service("portal-1", "portal")
    processes.wait_until(
        "the key is answered",
        lambda: cluster_steps.send_key(context, "claim-21", daemon=1)[0] == 200,
    )
    assert cluster.counts("portal-1")["runs"] == {"claim-21": 1}
