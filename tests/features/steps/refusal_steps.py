"""Steps on refusals and what they say."""

from __future__ import annotations

import json

from behave import given, then, when

from cluster import processes
from features.steps import cluster_steps
from sim import loop, refusals


@when('a call is refused because of "{reason}"')
def refuse_for(context, reason):
    """Plays the session that brings the refusal about."""
    context.refused = loop.run(refusals.refuse_and_repeat(reason))


@then('the refusal says "{outcome}" for "{reason}"')
def refusal_says(context, outcome, reason):
    """Checks the refusal."""
    refusal = context.refused.first.final_effect
    assert refusal.outcome.value == outcome, refusal
    assert refusal.reason.value == reason, refusal


@then("the service's count agrees")
def count_agrees(context):
    """Checks that the refused request did not run."""
    assert not context.refused.first_ran


@then("the same key can run afterwards")
def runs_afterwards(context):
    """Checks the second try and the count."""
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


@when("calls are cut after each number of bytes of their {part}")
def cut_each_byte(context, part):
    """Sends one call for each byte of the request or the answer."""
    cluster = context.cluster
    context.told = {}
    order = "cut_request_at" if part == "request" else "cut_reply_at"
    for number in range(0, 420, 1 if part == "request" else 3):
        key = f"cut-{part}-{number}"
        # After cuts in a row the service is paused; each cut must reach it.
        processes.wait_until(
            "the service is used",
            lambda: _reads(context),
        )
        cluster.fault("link", order, number)
        status, body = cluster_steps.send_key(context, key, daemon=1)
        cluster.fault("link", order, -1)
        context.told[key] = (
            "answer" if status == 200 else json.loads(body)["outcome"]
        )


def _reads(context) -> bool:
    """Returns whether a read through the daemon is answered."""
    url = context.cluster.url("entry-1", "/svc/portal/ping")
    return (
        processes.call("GET", url, headers=cluster_steps.auth(context))[0]
        == 200
    )


@then('no call that was told "{outcome}" has run')
def none_ran(context, outcome):
    """Checks the service's own count."""
    runs = context.cluster.counts("portal-1")["runs"]
    for key, told in context.told.items():
        assert told != outcome or key not in runs, (key, told)


@then("no call has run twice")
def none_twice(context):
    """Checks the service's own count."""
    runs = context.cluster.counts("portal-1")["runs"]
    assert all(runs.get(key, 0) <= 1 for key in context.told), runs


@then(
    'at least {some:d} call was told "{outcome}" and at least {others:d} got'
    " its answer"
)
def some_told(context, some, outcome, others):
    """Checks that the cuts reached the cases they are meant for."""
    told = list(context.told.values())
    assert told.count(outcome) >= some, told
    assert told.count("answer") >= others, told


@then("every call has run once")
def all_ran(context):
    """Checks the service's own count of calls that were sent."""
    runs = context.cluster.counts("portal-1")["runs"]
    sent = {k: t for k, t in context.told.items() if t != "not_run"}
    assert sent
    assert all(runs.get(key, 0) == 1 for key in sent), runs


@then('no call was told "{outcome}"')
def none_told(context, outcome):
    """Checks what the callers were told."""
    told = [k for k, t in context.told.items() if t == outcome]
    assert not told, told


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
