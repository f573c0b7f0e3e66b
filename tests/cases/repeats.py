"""How often requests are repeated, by all daemons and for one caller."""

from __future__ import annotations

import collections

from cases import routed_core
from godwittack.core import effects, inputs, server_inputs
from sim import repeat_fleets

SENT = inputs.FailurePhase.SENT
SILENT_MS = 1_000


def restarts_in_series_grant_no_further_bursts() -> None:
    """Guards against a full share of the burst at each start of a daemon."""
    for seed in range(3):
        fleet = repeat_fleets.Fleet(seed=seed, daemons=63)
        fleet.play(12_000)
        for _ in range(4):
            for address in fleet.kill():
                fleet.start(address)
            fleet.play(2_300)
        fleet.play(8_000)
        assert fleet.excess() <= 0, (seed, fleet.excess())
        assert len(fleet.repeats_ms) > fleet.load.slack, seed


def daemons_that_start_alone_get_no_whole_burst() -> None:
    """Guards against shares computed from the few peers known at first."""
    for seed in range(3):
        load = repeat_fleets.Load(slack=52.0, requests_per_s=300.0)
        fleet = repeat_fleets.Fleet(seed=seed, daemons=24, load=load)
        fleet.play(6_000)
        assert fleet.excess() <= 0, (seed, fleet.excess())


def daemons_that_join_partition_and_are_replaced_keep_to_the_budget() -> None:
    """Guards against shares that exceed the budget while views differ."""
    for seed in range(6):
        fleet = repeat_fleets.Fleet(seed=seed, daemons=24)
        fleet.play(11_000)
        next_address = 24
        for _ in range(8):
            change = fleet.rng.choice(("kill", "part", "join", "replace"))
            match change:
                case "kill":
                    for address in fleet.kill(fleet.rng.uniform(0.2, 0.9)):
                        fleet.start(address)
                case "part":
                    fleet.partition(fleet.rng.choice((1, 2, 3)))
                case "join":
                    fleet.start(next_address)
                    next_address += 1
                case "replace":
                    fleet.replace(min(fleet.running), next_address)
                    next_address += 1
            fleet.play(fleet.rng.choice((300, 1_500, 4_000)))
        assert fleet.excess() <= 0, (seed, fleet.excess())


def a_stream_that_stops_again_and_again_runs_on_two_servers() -> None:
    """Guards against a resumed stream that isn't counted as another run."""
    core = routed_core.Core(servers=6, frame_gap_ms=SILENT_MS)
    core.arrive("long", "r", deadline_ms=20_000)
    sent = core.dispatch()
    ran = [sent.server_id]
    for number in range(1, 6):
        core.open(sent)
        core.frames(sent, number)
        retries = [
            effect
            for effect in core.wait(SILENT_MS + 100)
            if isinstance(effect, effects.Dispatch)
        ]
        if not retries:
            break
        (sent,) = retries
        ran.append(sent.server_id)
    assert len(ran) == 2, ran


def a_call_without_an_answer_runs_on_two_servers() -> None:
    """Guards against a retry after a server's silence that isn't counted."""
    core = routed_core.Core(servers=6, answer_patience_ms=SILENT_MS)
    core.arrive("release", "r", deadline_ms=20_000)
    ran = [core.dispatch().server_id]
    for _ in range(4):
        ran.extend(
            effect.server_id
            for effect in core.wait(SILENT_MS + 100)
            if isinstance(effect, effects.Dispatch)
        )
    assert len(ran) == 2, ran


def a_server_that_crashes_again_under_its_id_counts_again() -> None:
    """Guards against counting crashes once where no incarnation is given."""
    core = routed_core.Core(servers=1)
    refused = False
    crashes = 0
    for number in range(8):
        core.arrive("release", f"r{number}", fingerprint="f")
        found = core.find(effects.Dispatch)
        if not found:
            refused = core.refusal().reason is effects.Reason.QUARANTINED
            break
        crashes += 1
        core.fail(found[0], SENT)
        server_id = found[0].server_id
        core.tell(
            server_inputs.ProbeAnswered, server_id, alive=False, ended=True
        )
        core.wait(2_000)
        core.tell(
            server_inputs.ProbeAnswered,
            server_id,
            alive=True,
            fresh_connection=True,
        )
    assert refused and crashes == 3, crashes


def a_crash_reported_by_a_peer_before_it_is_seen_counts_once() -> None:
    """Guards against a new incarnation id while connections still close."""
    first, late = (routed_core.Core(servers=1) for _ in range(2))
    sent = {}
    for core in (first, late):
        core.arrive("release", "r", fingerprint="f")
        sent[core] = core.dispatch()
    first.fail(sent[first], SENT)
    first.tell(server_inputs.ProbeAnswered, "s1", alive=False, ended=True)
    (announced,) = first.find(effects.TellCrashes)
    late.tell(inputs.CrashesTold, announced.crashes)
    late.fail(sent[late], SENT)
    late.tell(server_inputs.ProbeAnswered, "s1", alive=False, ended=True)
    content = announced.crashes[0].content
    known_crashes = late.world.quarantine.crashes(content)
    assert len(known_crashes) == 1, known_crashes


def one_crash_seen_by_many_daemons_counts_once() -> None:
    """Guards against a quarantine by one crash with an id for each daemon."""
    cores = [routed_core.Core(servers=2) for _ in range(5)]
    announced = collections.deque()
    for number, core in enumerate(cores):
        core.now_ms += 40 * number
        core.arrive("release", "r", fingerprint="f")
        sent = core.dispatch()
        core.fail(sent, SENT)
        core.tell(
            server_inputs.ProbeAnswered, sent.server_id, alive=False, ended=True
        )
        for effect in core.find(effects.TellCrashes):
            announced.extend(effect.crashes)
    for core in cores:
        core.tell(inputs.CrashesTold, tuple(announced))
        core.wait(3_000)
        core.arrive("release", "again", fingerprint="f")
        assert core.find(effects.Dispatch), core.last_effects
