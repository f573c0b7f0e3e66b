"""Servers that fall over if they reject too many requests."""

from __future__ import annotations

import asyncio
import collections
import random
import time

from result import Err, Ok

from cases import routed_core
from cases.routed_core import Core
from cluster.platform import Platform
from godwittack.backend import connection, signals
from godwittack.clock import SystemClock
from godwittack.core import brittle, effects, inputs, server_inputs, work
from godwittack.limit import places
from godwittack.peer import pending, wire
from godwittack.platform import servers
from sim.brittle_fleets import Fleet, Load
from soak import cuts

SEED = 7
SENT = inputs.FailurePhase.SENT
DECLINED = inputs.FailurePhase.DECLINED
REFUSED = inputs.FailureCause.REFUSED
# Time after a server has said that it is brittle from which that must show.
STABLE_S = 3.0
PLAY_S = 5.0


def _echo(core: Core, server: str, max_rejected_per_s: float | None) -> None:
    core.tell_named(
        server_inputs.BrittleEchoed,
        server_id=server,
        max_rejected_per_s=max_rejected_per_s,
    )


def _report(core: Core, server: str, *, running: int, waiting: int = 0) -> None:
    core.tell_named(
        server_inputs.LoadEchoed,
        server_id=server,
        running=running,
        waiting=waiting,
        slots=16,
    )


def _fleet_core(*, servers: int = 1, daemons: int = 8) -> Core:
    core = Core(servers=servers)
    live = ("d", *(f"p{number}" for number in range(daemons - 1)))
    core.tell(inputs.MembersChanged, live, (), daemons)
    core.wait(2_500)
    return core


def _play(load: Load, *, daemons: int, seed: int = SEED) -> Fleet:
    """Returns a fleet whose servers have been brittle for seven seconds."""
    fleet = Fleet(seed=seed, daemons=daemons, load=load)
    fleet.play(3_000)
    fleet.make_brittle()
    fleet.play(7_000)
    return fleet


def the_shares_of_all_daemons_add_up_to_the_whole() -> None:
    """Guards against shares whose sum exceeds what is divided."""
    for total in (0, 1, 5, 15, 96):
        for count in (1, 7, 9, 63):
            names = [f"d{number}" for number in range(count)]
            shares = [
                places.share(
                    total, key="place/s", own_daemon=name, daemons=names
                )
                for name in names
            ]
            assert sum(shares) == total, (total, count)
            assert max(shares) - min(shares) <= 1


def a_daemon_that_counts_more_daemons_takes_no_more() -> None:
    """Guards against views of the fleet that let shares overlap."""
    names = [f"d{number}" for number in range(9)]
    for own in names:
        fewer = places.share(5, key="s", own_daemon=own, daemons=names)
        more = places.share(5, key="s", own_daemon=own, daemons=[*names, "new"])
        assert more <= fewer, own


def nine_daemons_that_see_one_place_do_not_all_use_it() -> None:
    """Guards against servers rejected to death by daemons together."""
    fleet = _play(Load(max_rejected_per_s=1), daemons=9)
    assert fleet.worst_rejections() <= 1
    assert fleet.served > 0


def servers_that_bear_twenty_rejections_get_no_more() -> None:
    """Guards against overload of servers with many slots."""
    load = Load(max_rejected_per_s=20, servers=6, slots=16, work_ms=300)
    fleet = _play(load, daemons=9)
    assert fleet.worst_rejections() <= 20


def a_large_fleet_shares_the_places_of_a_few_servers() -> None:
    """Guards against daemons that outnumber the places of servers."""
    load = Load(max_rejected_per_s=1, load_factor=0.4)
    fleet = Fleet(seed=SEED, daemons=63, load=load)
    fleet.play(3_000)
    fleet.make_brittle()
    fleet.play(3_000)
    served, refused = fleet.served, fleet.refused
    fleet.play(3_000)
    assert fleet.worst_rejections() <= 1
    answered = fleet.served - served
    lost = fleet.refused - refused
    assert lost <= 0.05 * (answered + lost), (answered, lost)


def places_that_a_daemon_does_not_use_serve_the_others() -> None:
    """Guards against refusals beside idle places."""
    load = Load(load_factor=0.5)
    fleet = Fleet(seed=SEED, daemons=9, load=load)
    fleet.play(3_000)
    fleet.make_brittle()
    fleet.play(3_000)
    served, refused = fleet.served, fleet.refused
    fleet.play(3_000)
    answered = fleet.served - served
    lost = fleet.refused - refused
    assert lost <= 0.05 * (answered + lost), (answered, lost)


def daemons_that_restart_in_series_overload_no_server() -> None:
    """Guards against views of the fleet that differ during restarts."""
    for seed in range(SEED, SEED + 5):
        load = Load(max_rejected_per_s=5, load_factor=1.2)
        fleet = Fleet(seed=seed, daemons=9, load=load)
        fleet.play(3_000)
        fleet.make_brittle()
        fleet.play(3_000)
        rng = random.Random(seed)
        for _ in range(4):
            fleet.restart(rng.choice(sorted(fleet.cores)))
            fleet.play(1_200)
        assert fleet.worst_rejections() <= 5, seed


def a_daemon_that_has_just_started_takes_no_place() -> None:
    """Guards against places that the others still use."""
    core = Core(servers=1)
    live = tuple(f"p{number}" for number in range(7))
    core.tell(inputs.MembersChanged, ("d", *live), (), 8)
    _echo(core, "s1", 5.0)
    core.arrive("release", "r1")
    assert not core.find(effects.Dispatch)
    core.wait(2_500)
    assert core.find(effects.Dispatch)


def a_lost_daemon_keeps_its_places_for_a_while() -> None:
    """Guards against places of a daemon that still sends."""
    core = _fleet_core()
    _echo(core, "s1", 5.0)
    server = core.world.servers["s1"]
    before = brittle.own_places(core.world, server)
    core.tell(inputs.MembersChanged, ("d",), (), 8)
    assert brittle.own_places(core.world, server) == before
    core.wait(2_500)
    assert brittle.own_places(core.world, server) > before


def _sent_at_once(core: Core, prefix: str) -> int:
    """Returns how many of twenty requests are sent over the own path."""
    sent = 0
    for number in range(20):
        core.arrive("release", f"{prefix}{number}")
        sent += sum(not e.relay for e in core.find(effects.Dispatch))
    return sent


def nothing_is_sent_to_a_brittle_server_where_requests_wait() -> None:
    """Guards against requests sent to a server that is full."""
    core = _fleet_core()
    _echo(core, "s1", 5.0)
    _report(core, "s1", running=3, waiting=1)
    core.arrive("release")
    assert not core.find(effects.Dispatch)
    _report(core, "s1", running=3)
    assert core.find(effects.Dispatch)


def a_request_waits_here_for_a_place() -> None:
    """Guards against refusals while a place will be free in time."""
    core = Core(servers=1)
    core.world.servers["s1"].slots = 2
    _echo(core, "s1", 1.0)
    core.arrive("release", "r1")
    first = core.dispatch()
    core.arrive("release", "r2")
    assert not core.find(effects.Dispatch)
    assert not core.find(effects.Refuse)
    core.answer(first)
    assert core.dispatch().request_id == "r2"


def a_server_that_rejected_a_request_gets_none_for_a_while() -> None:
    """Guards against rejections in series by one daemon."""
    core = Core(servers=1)
    _echo(core, "s1", 5.0)
    core.arrive("confirm", "r1")
    core.fail(core.dispatch(), DECLINED, REFUSED)
    core.arrive("confirm", "r2")
    assert not core.find(effects.Dispatch)
    assert core.wait(700)
    assert core.find(effects.Dispatch)


def all_servers_of_a_target_are_brittle_together() -> None:
    """Guards against a server that has not answered since."""
    core = Core(servers=2)
    core.world.servers["s2"].slots = 2
    _echo(core, "s1", 1.0)
    core.world.servers["s1"].leaving = True
    assert _sent_at_once(core, "r") == 1


def a_restarted_server_is_not_brittle_by_what_its_predecessor_said() -> None:
    """Guards against news of a process that has ended."""
    core = Core(servers=0)
    entry = {"address": "10.0.0.9:1", "slots": 2}
    core.list_server("x", routed_core.SERVICE, incarnation="x@5", **entry)
    _echo(core, "x", 1.0)
    assert _sent_at_once(core, "a") == 1
    core.list_server("x", routed_core.SERVICE, incarnation="x@9", **entry)
    core.tell_named(
        server_inputs.BrittleTold,
        server_id="x",
        incarnation="x@5",
        max_rejected_per_s=1.0,
        age_ms=0,
    )
    assert core.world.servers["x"].max_rejected_per_s is None


def older_news_does_not_take_back_what_a_server_said() -> None:
    """Guards against news that arrive out of order."""
    core = _fleet_core()
    _echo(core, "s1", 1.0)
    core.tell_named(
        server_inputs.BrittleTold,
        server_id="s1",
        incarnation="s1",
        max_rejected_per_s=None,
        age_ms=500,
    )
    assert core.world.servers["s1"].max_rejected_per_s == 1.0
    core.now_ms += 10
    _echo(core, "s1", None)
    assert core.world.servers["s1"].max_rejected_per_s is None


def a_fall_of_a_brittle_server_is_no_crash_of_its_requests() -> None:
    """Guards against quarantines of what ran while a server fell over."""
    core = Core(servers=1)
    _echo(core, "s1", 5.0)
    core.arrive("confirm", "r", fingerprint="f")
    core.fail(core.dispatch(), SENT)
    found = core.tell(
        server_inputs.ProbeAnswered, "s1", alive=False, ended=True
    )
    names = [e.name for e in found if isinstance(e, effects.Event)]
    assert "brittle_server_ended" in names, names
    assert "server_crashed" not in names, names


def other_daemons_learn_that_a_server_is_brittle() -> None:
    """Guards against daemons that have not called the server lately."""
    core = _fleet_core()
    found = core.tell_named(
        server_inputs.BrittleEchoed, server_id="s1", max_rejected_per_s=4.0
    )
    (told,) = [e for e in found if isinstance(e, effects.TellBrittle)]
    update = pending.PendingNews(brittle={"s1": told})
    message = wire.NewsWriter().write(update, now_ms=core.now_ms + 30)
    (sent,) = message.brittle
    assert (sent.server_id, sent.max_rejected_per_s, sent.age_ms) == (
        "s1",
        4.0,
        30,
    )


def each_form_of_the_header_is_read() -> None:
    """Guards against values that are no number, and other spellings."""
    for values, expected in (
        ((), Ok(None)),
        (("9",), Ok(9.0)),
        ((" 0 ",), Ok(0.0)),
        (("4", "4"), Ok(4.0)),
        (("2.5",), Ok(2.5)),
    ):
        for name in ("Server-Brittle", "x-godwittack-server-brittle"):
            assert _read(name, values) == expected, (name, values)
    for values in (("",), ("-1",), ("1e309",), ("9" * 400,), ("4", "5")):
        assert isinstance(_read("Server-Brittle", values), Err), values


def _read(name: str, values: tuple[str, ...]):
    reply = connection.Reply(
        status=200, headers=[work.Header(name, value) for value in values]
    )
    return servers.ServerFormat(str).read_signals(reply).brittle


def a_value_that_cannot_be_read_leaves_the_last_one() -> None:
    """Guards against a damaged header that lifts the limit."""
    reported: list = []
    reporter = signals.SignalReporter(clock=SystemClock())
    reporter.brittle.submit = reported.append
    reporter.brittle.has_announced = lambda server_id: True
    origin = signals.SignalOrigin(server_id="s1")
    damaged = signals.ServerSignals(brittle=Err("many"))
    reporter.report(origin, damaged, may_lift_limit=True)
    assert not reported
    reporter.report(origin, signals.ServerSignals(), may_lift_limit=True)
    assert reported[0].max_rejected_per_s is None


async def a_short_session_leaves_brittle_servers_standing() -> None:
    """Guards against brittle servers that fall over beside other faults."""
    session = cuts.Session(2, daemons=6, plan=cuts.BRITTLE)
    violations = await session.play()
    assert not violations, (violations, session.faults)


async def brittle_servers_of_real_daemons_do_not_fall_over() -> None:
    """Guards against brittle servers overloaded by real daemons."""
    daemons = 6
    async with Platform(daemons=daemons, services=3) as platform:
        plain = [r for r in platform.replicas.values() if not r.model]
        for replica in plain:
            replica.slots, replica.work_s = 6, 0.05
        statuses: collections.Counter = collections.Counter()
        rng = random.Random(SEED)
        stop_s = time.monotonic() + 2 * STABLE_S + PLAY_S
        brittle_s = time.monotonic() + STABLE_S

        async def call_until_stopped(number: int) -> None:
            count = 0
            while time.monotonic() < stop_s:
                count += 1
                daemon = rng.randrange(daemons)
                result = await platform.call(
                    "release", f"c{number}-{count}", daemon=daemon
                )
                if time.monotonic() > brittle_s + STABLE_S:
                    statuses[result[0]] += 1
                await asyncio.sleep(0.02)

        callers = [
            asyncio.create_task(call_until_stopped(n)) for n in range(24)
        ]
        await asyncio.sleep(STABLE_S)
        for replica in plain:
            replica.brittle = 5
        await asyncio.gather(*callers)
        falls = [
            at_s
            for replica in plain
            for at_s in replica.falls_s
            if at_s >= brittle_s + STABLE_S
        ]
        assert not falls, (len(falls), statuses)
        assert statuses[200] > 0.9 * statuses.total(), statuses
