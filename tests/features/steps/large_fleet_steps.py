"""Steps on roll-outs to large fleets under load."""

from __future__ import annotations

from behave import then, when

from sim import large_fleet_sessions, loop


@when(
    "{count:d} seeded sessions of large fleets and session {extra:d} are played"
)
def play(context, count, extra):
    """Plays sessions that differ in their seed only."""
    context.fleets = {
        seed: loop.run(large_fleet_sessions.random_session(seed))
        for seed in (*range(count), extra)
    }


@when("session {seed:d} of large fleets is played")
def play_one(context, seed):
    """Plays one session."""
    context.fleets = {seed: loop.run(large_fleet_sessions.random_session(seed))}


@then("within 10 s without faults no engine keeps replaced weights")
def none_too_old(context):
    """Checks each engine against the first publication of newer weights."""
    for seed, fleet in context.fleets.items():
        assert not fleet.promises.outdated_engines, (
            seed,
            fleet.promises.outdated_engines,
        )


@then("within 14 s without faults nine in ten engines have the last weights")
def fleet_in_time(context):
    """Checks each publication of weights."""
    for seed, fleet in context.fleets.items():
        assert not fleet.promises.late_rollouts, (
            seed,
            fleet.promises.late_rollouts,
        )


@then("no engine was ordered by two leads within a lease")
def one_at_a_time(context):
    """Checks all orders."""
    for seed, fleet in context.fleets.items():
        conflicts = fleet.promises.order_conflicts
        assert not conflicts, (seed, conflicts[:3])


@then("no request was sent to an engine that loads weights")
def none_cut(context):
    """Checks requests at times without faults."""
    for seed, fleet in context.fleets.items():
        assert not fleet.promises.requests_during_load, (
            seed,
            fleet.promises.requests_during_load[:3],
        )


@then("never more engines loaded at a time than the weight store allows")
def not_crowded(context):
    """Checks loads, also during faults."""
    for seed, fleet in context.fleets.items():
        crowded = fleet.promises.excess_loads
        assert not crowded, (seed, crowded[:3])


@then("after 30 s without faults every engine has the last weights")
def all_current(context):
    """Checks each session's end without faults."""
    for seed, fleet in context.fleets.items():
        behind = fleet.outdated_engines()
        assert not behind, (seed, behind)
