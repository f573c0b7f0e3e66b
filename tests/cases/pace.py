"""Pace of servers: load headers, estimates, placement, and sharing."""

from __future__ import annotations

from unittest import mock

from cases import routed_core
from godwittack.backend import connection, signals
from godwittack.clock import ManualClock
from godwittack.core import (
    backlog,
    effects,
    inputs,
    pace,
    prompt_cost,
    server_inputs,
    work,
)
from godwittack.peer import codec, pending, wire
from sim import uneven_fleets

LONG = (work.Level(1, 13_000), work.Level(2, 4_000))
SHORT = (work.Level(3, 300),)
FIXED_MS, US_PER_TOKEN, MS_PER_PAIR = 26.0, 7.0, 0.1e-6


def _core(*, uneven_servers: int = 1, percent: int = 100, **fields):
    core = routed_core.Core(uneven_servers=uneven_servers, **fields)
    for name in core.world.servers:
        _echo(core, name, percent=percent)
    return core


def _echo(core, name: str, *, percent: int = 100, running: int = 0) -> None:
    core.tell_named(
        server_inputs.LoadEchoed,
        server_id=name,
        running=running,
        waiting=0,
        slots=16,
        pace_percent=percent,
    )


def _idle_ms(new_tokens: int, cached_tokens: int) -> float:
    pairs = new_tokens * (cached_tokens + new_tokens / 2)
    return FIXED_MS + new_tokens * US_PER_TOKEN / 1000 + pairs * MS_PER_PAIR


def _teach(core) -> None:
    """Lets a core learn the times of prompts at engines of usual pace."""
    parts = core.world.prefill_costs[routed_core.ENGINES].parts
    for number in range(64):
        for new, cached in (
            (100, 0),
            (1_500 + 40 * number, 0),
            (6_000, 30_000 + 100 * number),
        ):
            took_ms = _idle_ms(new, cached)
            parts.add_sample(prompt_cost.Sample(new, cached, took_ms))


def _serve(core, name: str, *, server: str, ratio: float) -> None:
    """Lets one server answer a long prompt, slower by a ratio."""
    others = [n for n in ("e1", "e2") if n != server]
    for other in others:
        core.world.servers[other].leaving = True
    core.arrive("long", name, levels=(work.Level(core.now_ms, 4_000),))
    sent = core.dispatch()
    core.now_ms += round(_idle_ms(4_000, 0) * ratio)
    core.open(sent)
    core.frames(sent, 1, end=True)
    for other in others:
        core.world.servers[other].leaving = False
    core.now_ms += 1_500


def load_headers_with_three_or_four_figures_are_read() -> None:
    """Guards against a load that is lost because the header has a pace."""
    names = signals.SignalHeaders(
        load="load", rate_limit=(), leaving=(), not_run="n"
    )
    for text, expected in (
        ("3,1,12", (3, 1, 12, None)),
        ("3, 1, 12, 250", (3, 1, 12, 250)),
        ("3,1,12,fast", (3, 1, 12, None)),
        ("3,1,12,0", (3, 1, 12, None)),
    ):
        reply = connection.Reply(headers=(work.Header("load", text),))
        load = signals.read(reply, names).load
        assert load is not None, text
        found = (load.running, load.waiting, load.slots, load.pace_percent)
        assert found == expected, (text, found)
    reply = connection.Reply(headers=(work.Header("load", "3,x,12,100"),))
    assert signals.read(reply, names).load is None


def an_unreadable_pace_is_logged_once_and_the_load_counts() -> None:
    """Guards against a line per response, and against a load that is lost."""
    submitted = []
    reporter = signals.SignalReporter(clock=ManualClock(5))
    reporter.submit = submitted.append
    load = signals.EchoedLoad(
        running=3, waiting=1, slots=12, unreadable_pace="fast"
    )
    with mock.patch("godwittack.backend.unreadable.logging.warning") as log:
        for _ in range(3):
            reporter.report(
                signals.SignalOrigin(server_id="e1"),
                signals.ServerSignals(load=load),
                may_lift_limit=False,
            )
    assert log.call_count == 1, log.call_args_list
    assert [(s.running, s.pace_percent) for s in submitted] == [(3, 0)] * 3


def a_momentary_pace_expires() -> None:
    """Guards against an engine that is avoided long after it was slow."""
    core = _core()
    _teach(core)
    _echo(core, "e1", percent=250)
    server = core.world.servers["e1"]
    assert pace.factor(core.world, server) == 2.5
    usual_ms = _idle_ms(200_000, 0)
    slow_ms = pace.prompt_ms(
        core.world, server, new_tokens=200_000, cached_tokens=0
    )
    # Of a long prompt, only what is computed in the next 600 ms is slower.
    assert 300 < slow_ms - usual_ms < 420, (slow_ms, usual_ms)
    core.now_ms += 600
    core.tell(inputs.Tick)
    assert pace.factor(core.world, server) == 1.0


def a_wrong_base_pace_is_corrected_within_eight_samples() -> None:
    """Guards against a server that seems slow or fast for good."""
    core = _core()
    _teach(core)
    server = core.world.servers["e1"]
    for ratio in (4.0, 1.0, 2.0):
        for number in range(8):
            _serve(core, f"{ratio}/{number}", server="e1", ratio=ratio)
        learnt = pace.base(core.world, server)
        assert 0.75 * ratio <= learnt <= 1.1 * ratio, (ratio, learnt)


def a_base_pace_belongs_to_an_address() -> None:
    """Guards against the pace of a machine that the server has left."""
    core = _core()
    _teach(core)
    for number in range(8):
        _serve(core, f"r{number}", server="e1", ratio=3.0)
    address = core.world.servers["e1"].address
    for new_address, is_kept in ((address, True), ("10.9.9.9:1", False)):
        core.list_server(
            "e1",
            routed_core.ENGINES,
            address=new_address,
            incarnation=f"e1@{9 if is_kept else 99}",
        )
        base = pace.base(core.world, core.world.servers["e1"])
        assert (base > 2.0) is is_kept, (new_address, base)


def the_time_for_a_prompt_counts_the_tokens_before_it() -> None:
    """Guards against half of the actual time for the largest prompts."""
    core = _core()
    _teach(core)
    server = core.world.servers["e1"]
    for new, cached in ((300, 0), (4_000, 13_000), (53_200, 39_900)):
        found_ms = pace.prompt_ms(
            core.world, server, new_tokens=new, cached_tokens=cached
        )
        assert abs(found_ms / _idle_ms(new, cached) - 1) < 0.1, (new, found_ms)


def short_prompts_avoid_engines_with_long_ones_but_are_not_held() -> None:
    """Guards against short prompts that wait behind long ones anywhere."""
    core = _core()
    _teach(core)
    # The most urgent of routes; the prompt before it is less urgent.
    for name in ("e1", "e2"):
        backlog.add(
            core.world,
            core.world.servers[name],
            tokens=120_000 if name == "e1" else 110_000,
            priority=1,
        )
    core.arrive("short", "r", levels=SHORT)
    assert core.dispatch().server_id == "e2"
    server = core.world.servers["e1"]
    assert backlog.placement_wait_ms(core.world, server, 0) > 800
    assert backlog.queue_ms(core.world, server, 0) < 100


def an_engine_whose_first_tokens_are_overdue_is_avoided() -> None:
    """Guards against prompts to an engine whose backlog is underestimated."""
    core = _core()
    _teach(core)
    core.arrive("long", "r1", levels=LONG)
    first = core.dispatch()
    server = core.world.servers[first.server_id]
    core.now_ms += 700
    core.tell(inputs.Tick)
    assert pace.delay_ms(core.world, server) > 400
    core.arrive("long", "r2", levels=(work.Level(9, 4_000),))
    assert core.dispatch().server_id != first.server_id
    core.open(first)
    core.frames(first, 1, end=True)
    assert pace.delay_ms(core.world, server) > 200
    core.now_ms += 1_000
    core.tell(inputs.Tick)
    assert pace.delay_ms(core.world, server) == 0.0


def plain_calls_go_to_the_server_that_takes_them_up_soonest() -> None:
    """Guards against plain calls that wait at a slow server."""
    for percent, running, expected in ((250, 1, "s2"), (250, 4, "s1")):
        core = _core()
        _echo(core, "s1", percent=percent)
        _echo(core, "s2", running=running)
        core.arrive("confirm", "r")
        assert core.dispatch().server_id == expected, (percent, running)


def peers_share_loads_and_paces_over_the_wire() -> None:
    """Guards against figures that a peer reads as others than were sent."""
    sender, receiver = _core(), routed_core.Core(uneven_servers=1)
    _teach(sender)
    _teach(receiver)
    for number in range(8):
        _serve(sender, f"r{number}", server="e1", ratio=2.0)
    _echo(sender, "e1", percent=250, running=7)
    (told,) = sender.find(effects.TellLoad)
    _echo(sender, "e1", percent=100, running=1)
    assert not sender.find(effects.TellLoad), "twice within 200 ms"
    news = wire.NewsWriter().write(
        pending.PendingNews(told_loads={"e1": told}),
        now_ms=sender.now_ms + 100,
    )
    (load,) = wire.NewsReader().loads(
        news, now_ms=receiver.now_ms, sender_id="d2"
    )
    receiver.router.step(load)
    server = receiver.world.servers["e1"]
    assert (server.running, server.slots) == (7, 16)
    assert server.reported_at_ms == receiver.now_ms - 100
    assert 3.5 < pace.factor(receiver.world, server) < 5.5
    announced = effects.Announce(
        server_id="e1",
        target=routed_core.ENGINES,
        tokens=4_000,
        priority=1,
        levels=(5,),
        load=sender.world.servers["e1"].pace.echoed,
        delay_ms=120,
    )
    message = codec.announcement_to_proto(announced, now_ms=sender.now_ms)
    receiver.now_ms += 200
    dispatched = codec.announcement_from_proto(message, now_ms=receiver.now_ms)
    receiver.router.step(dispatched)
    assert server.running == 1
    assert pace.delay_ms(receiver.world, server) == 120
    assert backlog.placement_wait_ms(receiver.world, server, 0) > 150


def a_load_told_late_or_by_an_older_release_changes_no_pace() -> None:
    """Guards against older figures that replace newer ones."""
    core = _core()
    _echo(core, "e1", percent=250, running=7)
    core.tell_named(
        server_inputs.LoadTold,
        server_id="e1",
        running=1,
        waiting=0,
        pace_percent=100,
        age_ms=300,
    )
    core.tell_named(
        server_inputs.PeerDispatched,
        server_id="e1",
        tokens=10,
        priority=1,
        levels=(),
    )
    server = core.world.servers["e1"]
    assert server.running == 7 and pace.factor(core.world, server) == 2.5


def targets_without_a_pace_or_the_setting_are_placed_as_before() -> None:
    """Guards against a change for sites whose servers state no pace."""
    for uneven_servers, percent in ((0, 250), (1, 0)):
        core = _core(
            uneven_servers=uneven_servers,
            percent=percent,
            prefill_us_per_token=7,
        )
        found = []
        for number in range(3):
            core.arrive("long", f"r{number}", levels=LONG)
            found.append(core.dispatch().server_id)
            assert not core.find(effects.TellLoad)
        for name in ("e1", "e2"):
            server = core.world.servers[name]
            assert pace.factor(core.world, server) == 1.0
            assert not server.pace.prompts and server.pace.echoed is None


def first_tokens_come_sooner_in_a_fleet_with_uneven_engines() -> None:
    """Guards against paces and loads that make placement worse, not better."""
    without, with_pace = (
        uneven_fleets.Fleet(uneven_servers=setting, daemons=12)
        for setting in (0, 1)
    )
    for fleet in (without, with_pace):
        fleet.play(seconds=8, measured_from_s=4)
    for kind in ("short", "long"):
        before, after = (
            uneven_fleets.in_time(fleet, kind) for fleet in (without, with_pace)
        )
        assert after >= 0.95 and after > before, (kind, before, after)
        slowest = [
            uneven_fleets.quantile(fleet.took_ms[kind], 0.95)
            for fleet in (without, with_pace)
        ]
        assert slowest[1] < slowest[0], (kind, slowest)
    assert with_pace.refused["short"] == 0
    assert with_pace.refused["long"] < without.refused["long"]
