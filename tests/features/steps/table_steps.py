"""Steps on the table, its versions and the daemons that may serve under it."""

from __future__ import annotations

import json
import pathlib
import signal
import time

from behave import then, when

from cluster import processes
from features.steps import cluster_steps
from godwittack.table import schema, store
from sim import gossip_sessions, loop

SOURCE = processes.TESTS.parent / "src" / "godwittack"
# Packages whose decisions must not depend on the wall clock.
DECISION_PACKAGES = (
    "core",
    "limit",
    "member",
    "placement",
    "claim",
    "peer",
    "backend",
)


@when("{count:d} seeded sessions of a fleet are played")
def play_fleets(context, count):
    """Plays sessions that differ in their seed only."""
    context.fleets = [
        loop.run(gossip_sessions.random_session(seed)) for seed in range(count)
    ]


@when("a daemon {fault}")
def play_script(context, fault):
    """Plays one scripted session."""
    context.fleets = [loop.run(gossip_sessions.scripted(fault))]


@then("no daemon accepted work under a table older than an accepted change")
def none_stale(context):
    """Checks what the sampler recorded."""
    for fleet in context.fleets:
        assert not fleet.stale, (fleet.seed, fleet.stale[:3])
    accepted = sum(len(fleet.accepted) for fleet in context.fleets)
    assert accepted >= len(context.fleets), accepted


@then("no daemon's table reverted")
def none_reverted(context):
    """Checks what the sampler recorded."""
    for fleet in context.fleets:
        assert not [s for s in fleet.stale if "went back" in s]


@then("every change was answered within {limit_ms:d} ms of virtual time")
def answered_in_time(context, limit_ms):
    """Checks the time until each change was accepted."""
    for fleet in context.fleets:
        for accepted in fleet.accepted:
            assert accepted.after_ms <= limit_ms, (fleet.seed, accepted)


@then("no change was made twice")
def made_once(context):
    """Checks the nonces of the audit trail."""
    for fleet in context.fleets:
        rows = [r for r in fleet.table.rows if r.table == store.AUDIT_TABLE]
        entries = [
            schema.audit_from_json(fleet.table.rows[r].value) for r in rows
        ]
        nonces = [entry.ok_value.commit_id for entry in entries]
        assert len(set(nonces)) == len(nonces), (fleet.seed, nonces)


@then("after all faults end every daemon has the last change")
def all_newest(context):
    """Checks each session's end without faults."""
    for fleet in context.fleets:
        newest = max(d.version for d in fleet.alive())
        last = fleet.results[-1].ok_value
        assert last.accepted and last.version == newest, (fleet.seed, last)
        for daemon in fleet.alive():
            state = (fleet.seed, daemon.name, daemon.version, newest)
            assert daemon.version == newest and daemon.may_serve, state


def post_change(context, who, column, before, after, *, daemon=1):
    """Sends one cell's change as an operator who read `before`."""
    body = {
        "why": "a trial",
        "changes": [
            {
                "kind": "workspace",
                "name": "desk",
                "column": column,
                "before": before,
                "after": after,
            }
        ],
    }
    url = context.cluster.url(f"entry-{daemon}", "/operator/table")
    headers = {"authorization": f"Bearer operator-{who}"}
    status, _, text = processes.call("POST", url, body, headers)
    return status, json.loads(text)


def history(context) -> list[dict]:
    """Returns the audit trail."""
    done = context.cluster.command("table", "history", "--json")
    return json.loads(done.stdout)


@when(
    '"{one}" and "{other}" both set max_in_flight of "desk" from the same'
    " table version"
)
def race_one_cell(context, one, other):
    """Changes one cell twice at once, through two daemons."""
    context.entries = len(history(context))
    calls = [
        context.pool.submit(
            post_change, context, who, "max_in_flight", 200, value, daemon=n
        )
        for n, (who, value) in enumerate([(one, 11), (other, 22)], start=1)
    ]
    context.results = [call.result() for call in calls]


@when(
    '"{one}" sets max_in_flight and "{other}" sets weight of "desk" from the'
    " same table version"
)
def race_two_cells(context, one, other):
    """Changes two cells at once, through two daemons."""
    calls = [
        context.pool.submit(
            post_change, context, one, "max_in_flight", 200, 11, daemon=1
        ),
        context.pool.submit(
            post_change, context, other, "weight", 1.0, 3.0, daemon=2
        ),
    ]
    context.results = [call.result() for call in calls]


@then(
    "one of them gets a conflict with the other's change and the current value"
)
def check_conflict(context):
    """Checks the answer to the change that was not made."""
    statuses = sorted(status for status, _ in context.results)
    assert statuses == [200, 409], context.results
    conflict = next(body for status, body in context.results if status == 409)
    assert conflict["cells"][0]["before"] == 200
    assert conflict["cells"][0]["after"] in (11, 22)
    assert conflict["others"][0]["who"] in ("ana", "bilal")


@then("both changes are reported as accepted")
def both_accepted(context):
    """Checks both answers."""
    for status, body in context.results:
        assert status == 200 and body["result"] == "accepted", body


@then("the history has one more entry")
def one_more(context):
    """Checks the audit trail's length."""
    entries = history(context)
    assert len(entries) == context.entries + 1, entries


@then("every daemon has the newest version")
def newest_everywhere(context):
    """Checks every daemon against the audit trail."""
    newest = history(context)[-1]["version"]
    for name in context.names:
        processes.wait_until(
            f"{name} has version {newest}",
            lambda name=name: (
                context.cluster.ready(name)["table_version"] == newest
            ),
        )


@when("the platform loses the next reply")
def lose_reply(context):
    """Injects the fault."""
    context.entries = len(history(context))
    context.cluster.fault("platform", "lose_replies", 1)


@when("reads of the platform lag from now on")
def lagging_reads(context):
    """Injects the fault."""
    context.cluster.fault("platform", "stale_reads", 1)


@when('"{who}" sets max_in_flight of "desk" to {value:d}')
def set_cell(context, who, value, *, via=""):
    """Runs the command."""
    context.done = context.cluster.command(
        "table",
        "set",
        "workspace",
        "desk",
        f"max_in_flight={value}",
        "--why",
        "a trial",
        who=who,
        via=via,
    )


@then("the command reports that the change is in effect")
def check_in_effect(context):
    """Checks exit code and output."""
    done = context.done
    assert done.returncode == 0, done.stderr + done.stdout
    assert "is in effect on" in done.stdout, done.stdout


@when(
    'daemon {number:d} is stopped and "{who}" sets max_in_flight of "desk" to 0'
)
def stop_and_set(context, number, who):
    """Stops a daemon, then changes the table without it."""
    context.cluster.signal(f"entry-{number}", signal.SIGSTOP)
    set_cell(context, who, 0)
    check_in_effect(context)


@when(
    'daemon 1 is paused and "{who}" sets max_in_flight of "desk" to {value:d}'
    " through daemon 1 or 2"
)
def set_by_paused(context, who, value):
    """Runs the command with a paused daemon named first."""
    context.entries = len(history(context))
    context.changes_by_first = _changes_by_first(context)
    context.cluster.signal("entry-1", signal.SIGSTOP)
    set_cell(context, who, value, via="entry-1,entry-2")


@when('"{who}" sets max_in_flight of "desk" to {value:d} through daemon 2')
def set_by_second(context, who, value):
    """Runs the command through the second daemon."""
    set_cell(context, who, value, via="entry-2")
    check_in_effect(context)


@when("daemon 1 resumes and has processed the waiting change")
def resume_first(context):
    """Resumes the paused daemon."""
    context.cluster.signal("entry-1", signal.SIGCONT)
    processes.wait_until(
        "the first daemon has made the change",
        lambda: _changes_by_first(context) > context.changes_by_first,
    )


def _changes_by_first(context) -> int:
    return context.cluster.log("entry-1").count("event=table_changed")


@then(
    'the history has two more entries and max_in_flight of "desk" is {value:d}'
)
def two_more(context, value):
    """Checks the audit trail and the cell."""
    entries = history(context)
    assert len(entries) == context.entries + 2, entries
    last = entries[-1]["changes"][-1]
    assert last["after"] == value, entries[-1]


@when("a request waits in daemon {number:d}'s socket until the daemon resumes")
def request_waits(context, number):
    """Sends a request to the stopped daemon, then resumes it."""
    call = context.pool.submit(
        cluster_steps.send_key, context, "waiting", daemon=number
    )
    # In this time the request reaches the socket of the stopped process.
    time.sleep(0.5)
    context.cluster.signal(f"entry-{number}", signal.SIGCONT)
    context.answer = call.result()


@then("the request was not served under the old limit")
def not_old_limit(context):
    """Checks the refusal."""
    status, body = context.answer
    refusal = json.loads(body)
    assert status in (429, 503), (status, refusal)
    assert refusal["reason"] in ("limit", "table_not_current"), refusal


@then("no decision reads the wall clock")
def no_wall_clock(context):
    """Searches the packages for uses of the wall clock."""
    del context
    for package in DECISION_PACKAGES:
        for file in pathlib.Path(SOURCE / package).rglob("*.py"):
            text = file.read_text()
            assert "wall_ms(" not in text, file
            assert "import time" not in text, file
            assert "import datetime" not in text, file
