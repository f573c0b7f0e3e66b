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


@when("the holder is cut off from the table service and weights are published")
def cut_holder(context):
    """Plays that one session."""
    context.worlds = [loop.run(leads.disconnected_holder_session())]


@then("all replicas have them within {seconds:d} seconds")
def soon_in_force(context, seconds):
    """Checks when the last version was in force."""
    (world,) = context.worlds
    assert world.rollout_s.get("3", 1e9) <= seconds, world.rollout_s


@then("no replica was ordered by two leads within a lease")
def one_at_a_time(context):
    """Checks orders, and who might have sent one, all the time."""
    for seed, world in enumerate(context.worlds):
        assert not world.lease_conflicts, (seed, world.lease_conflicts[:3])


@then("no request was cut and never more than two replicas loaded")
def nothing_wrong(context):
    """Checks what was looked at all the time."""
    for seed, world in enumerate(context.worlds):
        assert not world.violations, (seed, world.violations[:3])


@then("every replica has the last published version")
def all_wanted(context):
    """Checks the quiet end."""
    for seed, world in enumerate(context.worlds):
        versions = [replica.version for replica in world.replicas]
        assert versions == ["3"] * 5, (seed, versions)


@when(
    'weights version "{version}" is set under steady load and the lead is'
    " killed"
)
def roll_out(context, version):
    """Sets the cell, and kills whichever daemon gave the first order."""
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
        "a first order is given",
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
    """Checks each engine's own account.

    An order whose connection broke with the killed lead may not have been
    carried out; the next lead gives it again under a higher number.
    """
    for name in ENGINES:
        counts = context.cluster.counts(name)
        assert counts["weights"] == version, counts
        orders = counts["orders"]
        assert {order["value"] for order in orders} == {version}, orders
        numbers = [order["fencing"] for order in orders]
        assert numbers == sorted(set(numbers)), (name, numbers)


@then("no request was cut but those through the killed daemon")
def only_killed(context):
    """Leaves out callers whose daemon was killed."""
    port = context.cluster.ports[context.killed]
    others = [f for f in context.load.failures if f":{port}" not in f]
    assert not others, others[:3]
