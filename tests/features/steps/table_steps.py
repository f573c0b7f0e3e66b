"""Steps on the table, its versions and who may serve on it."""

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
DECIDING = ("core", "limit", "member", "placement", "claim", "peer", "backend")


@when("{count:d} seeded sessions of a fleet are played")
def play_fleets(context, count):
    """Plays sessions that differ in their seed only."""
    context.fleets = [
        loop.run(gossip_sessions.random_session(seed)) for seed in range(count)
    ]


@when("a daemon {trouble}")
def play_script(context, trouble):
    """Plays one scripted session."""
    context.fleets = [loop.run(gossip_sessions.scripted(trouble))]


@then("no daemon took work on an older table than one accepted")
def none_stale(context):
    """Checks what the sampler saw."""
    for fleet in context.fleets:
        assert not fleet.stale, (fleet.seed, fleet.stale[:3])
    accepted = sum(len(fleet.accepted) for fleet in context.fleets)
    assert accepted >= len(context.fleets), accepted


@then("no daemon's table went back")
def none_back(context):
    """Checks what the sampler saw."""
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


@then("once all is well every daemon has the last change")
def all_newest(context):
    """Checks the quiet end of each session."""
    for fleet in context.fleets:
        newest = max(d.version for d in fleet.alive())
        last = fleet.results[-1].ok_value
        assert last.accepted and last.version == newest, (fleet.seed, last)
        for daemon in fleet.alive():
            state = (fleet.seed, daemon.name, daemon.version, newest)
            assert daemon.version == newest and daemon.may_serve, state


def post_change(context, who, column, before, after, *, daemon=1):
    """Sends one cell's change as an operator who saw `before`."""
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
    '"{one}" and "{other}" both set max_in_flight of "desk" having seen the'
    " same table"
)
def race_one_cell(context, one, other):
    """Two changes of one cell at once, through two daemons."""
    context.entries = len(history(context))
    calls = [
        context.pool.submit(
            post_change, context, who, "max_in_flight", 200, value, daemon=n
        )
        for n, (who, value) in enumerate([(one, 11), (other, 22)], start=1)
    ]
    context.results = [call.result() for call in calls]


@when(
    '"{one}" sets max_in_flight and "{other}" sets weight of "desk" having'
    " seen the same table"
)
def race_two_cells(context, one, other):
    """Two changes of different cells at once, through two daemons."""
    calls = [
        context.pool.submit(
            post_change, context, one, "max_in_flight", 200, 11, daemon=1
        ),
        context.pool.submit(
            post_change, context, other, "weight", 1.0, 3.0, daemon=2
        ),
    ]
    context.results = [call.result() for call in calls]


@then("one of them is told of the other's change and of the value that stands")
def told_conflict(context):
    """Checks the loser's answer."""
    statuses = sorted(status for status, _ in context.results)
    assert statuses == [200, 409], context.results
    loser = next(told for status, told in context.results if status == 409)
    assert loser["cells"][0]["before"] == 200
    assert loser["cells"][0]["after"] in (11, 22)
    assert loser["others"][0]["who"] in ("ana", "bilal")


@then("both are told that their change is accepted")
def both_accepted(context):
    """Checks both answers."""
    for status, told in context.results:
        assert status == 200 and told["result"] == "accepted", told


@then("the history has one entry more")
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
    """Orders the fault."""
    context.entries = len(history(context))
    context.cluster.fault("platform", "lose_replies", 1)


@when("reads of the platform lag from now on")
def lagging_reads(context):
    """Orders the fault."""
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


@then("the command says that it is in force")
def says_in_force(context):
    """Checks exit code and sentence."""
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
    says_in_force(context)


@when(
    'daemon 1 is paused and "{who}" sets max_in_flight of "desk" to {value:d}'
    " by 1 or 2"
)
def set_by_paused(context, who, value):
    """Runs the command with a paused daemon named first."""
    context.entries = len(history(context))
    context.carried = _carried_by_first(context)
    context.cluster.signal("entry-1", signal.SIGSTOP)
    set_cell(context, who, value, via="entry-1,entry-2")


@when('"{who}" sets max_in_flight of "desk" to {value:d} by 2')
def set_by_second(context, who, value):
    """Runs the command through the second daemon."""
    set_cell(context, who, value, via="entry-2")
    says_in_force(context)


@when("daemon 1 wakes and has answered the change that waited")
def wake_first(context):
    """Lets the paused daemon go on."""
    context.cluster.signal("entry-1", signal.SIGCONT)
    processes.wait_until(
        "the first daemon has carried the change through",
        lambda: _carried_by_first(context) > context.carried,
    )


def _carried_by_first(context) -> int:
    return context.cluster.log("entry-1").count("event=table_changed")


@then(
    'the history has two entries more and max_in_flight of "desk" is {value:d}'
)
def two_more(context, value):
    """Checks the audit trail and the cell."""
    entries = history(context)
    assert len(entries) == context.entries + 2, entries
    last = entries[-1]["changes"][-1]
    assert last["after"] == value, entries[-1]


@when("a request waits in daemon {number:d}'s socket while it goes on")
def request_waits(context, number):
    """Sends a request to the stopped daemon, then lets it go on."""
    call = context.pool.submit(
        cluster_steps.send_key, context, "waiting", daemon=number
    )
    # Long enough for the request to reach the socket of the stopped process.
    time.sleep(0.5)
    context.cluster.signal(f"entry-{number}", signal.SIGCONT)
    context.answer = call.result()


@then("the request was not served under the old limit")
def not_old_limit(context):
    """Checks the refusal."""
    status, body = context.answer
    told = json.loads(body)
    assert status in (429, 503), (status, told)
    assert told["reason"] in ("limit", "table_not_current"), told


@then("no decision reads the wall clock")
def no_wall_clock(context):
    """Searches the packages that decide."""
    del context
    for package in DECIDING:
        for file in pathlib.Path(SOURCE / package).rglob("*.py"):
            text = file.read_text()
            assert "wall_ms(" not in text, file
            assert "import time" not in text, file
            assert "import datetime" not in text, file
