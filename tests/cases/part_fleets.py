"""Simulated fleets before engines that crash on parts of prompts."""

from __future__ import annotations

from sim import part_fleets

SEEDS = range(1, 4)
OTHER_FAULTS = (
    ("outage",),
    ("rolling",),
    ("single", "single", "single"),
    ("some_start", "late_news"),
    ("outage", "outage"),
)


def _play(plan: part_fleets.Plan, seed: int) -> part_fleets.Fleet:
    """Plays a session; no sound request may be refused."""
    fleet = part_fleets.Fleet(seed, plan)
    fleet.play()
    assert not fleet.sound_refused, (seed, plan, fleet.refused_parts)
    for part in plan.bad_parts:
        assert fleet.late(part) <= part_fleets.MAX_LATE, (seed, plan)
    return fleet


def a_bad_part_is_refused_beside_other_faults() -> None:
    """Guards against crashes with other causes that hide a bad part."""
    for seed in SEEDS:
        for faults in OTHER_FAULTS:
            fleet = _play(part_fleets.Plan(faults=faults), seed)
            assert fleet.crashes_ms["bad"], seed


def outages_refuse_nobody() -> None:
    """Guards against blaming what servers ran when all of them ended."""
    for seed in SEEDS:
        for faults in (*OTHER_FAULTS, ("herd_and_outage",)):
            _play(part_fleets.Plan(bad_parts=(), faults=faults), seed)


def long_runs_are_not_blamed_for_an_outage() -> None:
    """Guards against refusing what had no time to complete."""
    plan = part_fleets.Plan(bad_parts=(), run_ms=2_500.0, faults=("outage",))
    for seed in SEEDS:
        _play(plan, seed)


def a_part_on_which_one_run_in_three_crashes_is_refused() -> None:
    """Guards against completed runs that acquit a part for good."""
    plan = part_fleets.Plan(bad_share=1 / 3, bad_per_s=4.0)
    for seed in SEEDS:
        fleet = _play(plan, seed)
        assert fleet.crashes_ms["bad"], seed


def two_bad_parts_are_refused() -> None:
    """Guards against crashes of one part that hide those of another."""
    plan = part_fleets.Plan(bad_parts=("bad", "worse"))
    for seed in SEEDS:
        _play(plan, seed)


def a_larger_fleet_refuses_a_bad_part() -> None:
    """Guards against daemons that each see a small share of the runs."""
    plan = part_fleets.Plan(
        daemons=63, engines=12, rate_per_s=200.0, faults=("single",)
    )
    _play(plan, seed=1)
