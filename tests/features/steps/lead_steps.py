"""Steps on leads and roll-outs."""

from __future__ import annotations

from behave import then, when

from cluster import load, processes
from sim import leads, loop

ENGINES = tuple(f"engine-{n}" for n in range(1, 5))


@when("{count:d} seeded sessions of three leads are played")
def play(context, count):
    """Plays sessions that differ in their seed only."""
    context.worlds = [
        loop.run(leads.random_session(seed)) for seed in range(count)
    ]


@when(
    "the lease holder is cut off from the table service and weights are"
    " published"
)
def cut_holder(context):
    """Plays that one session."""
    context.worlds = [loop.run(leads.disconnected_holder_session())]


@then("all replicas have them within {seconds:d} seconds")
def active_in_time(context, seconds):
    """Checks when the last version was active on all replicas."""
    (world,) = context.worlds
    assert world.rollout_s.get("3", 1e9) <= seconds, world.rollout_s


@then("no replica was ordered by two leads within a lease")
def one_at_a_time(context):
    """Checks the conflicts of orders recorded during the sessions."""
    for seed, world in enumerate(context.worlds):
        assert not world.lease_conflicts, (seed, world.lease_conflicts[:3])


@then("no request was cut and at most two replicas loaded at a time")
def nothing_wrong(context):
    """Checks the faults recorded during the sessions."""
    for seed, world in enumerate(context.worlds):
        assert not world.violations, (seed, world.violations[:3])


@then("every replica has the last published version")
def all_current(context):
    """Checks each session's end without faults."""
    for seed, world in enumerate(context.worlds):
        versions = [replica.version for replica in world.replicas]
        assert versions == ["3"] * 5, (seed, versions)


@when(
    'weights version "{version}" is set under steady load and the lead is'
    " killed"
)
def roll_out(context, version):
    """Sets the cell, and kills the daemon that sends the first order."""
    cluster = context.cluster
    context.load = load.Load(cluster, callers=6)
    context.load.wait_more(20)
    done = cluster.command(
        "table",
        "set",
        "model",
        "rulebook",
        f"weights_version={version}",
        "--why",
        "new weights",
    )
    assert done.returncode == 0, done.stderr
    context.killed = processes.wait_until(
        "the first order is sent",
        lambda: next(
            (
                name
                for name in context.names
                if "event=weights_ordered" in cluster.log(name)
            ),
            None,
        ),
        seconds=60,
    )
    cluster.kill(context.killed)
    processes.wait_until(
        "all engines have the version",
        lambda: all(
            cluster.counts(name)["weights"] == version for name in ENGINES
        ),
        seconds=90,
    )
    context.load.stop()


@then(
    'every engine runs version "{version}", ordered once or again by the next'
    " lead"
)
def ordered_once(context, version):
    """Checks the orders that each engine recorded.

    An order whose connection broke with the killed lead may not have been
    executed; the next lead sends it again with a higher fencing number.
    """
    for name in ENGINES:
        counts = context.cluster.counts(name)
        assert counts["weights"] == version, counts
        orders = counts["orders"]
        assert {order["value"] for order in orders} == {version}, orders
        fencing_numbers = [order["fencing"] for order in orders]
        assert fencing_numbers == sorted(set(fencing_numbers)), (
            name,
            fencing_numbers,
        )


@then("no request was cut except those through the killed daemon")
def only_killed(context):
    """Leaves out callers whose daemon was killed."""
    port = context.cluster.ports[context.killed]
    others = [f for f in context.load.failures if f":{port}" not in f]
    assert not others, others[:3]
