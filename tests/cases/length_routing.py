"""Short and long prompts on engines of their own."""

from __future__ import annotations

import itertools

from cases import routed_core
from godwittack.core import (
    backlog,
    effects,
    inputs,
    length_routing,
    prompt_mix,
    server_inputs,
    work,
)

ENGINES = routed_core.ENGINES
LONG = (work.Level(key=1, tokens=13_000), work.Level(key=2, tokens=4_000))
SHORT = (work.Level(key=3, tokens=92), work.Level(key=4, tokens=291))


def _core(engines: int = 6, **fields) -> routed_core.Core:
    fields = {"uneven_servers": 1, "prefill_us_per_token": 16, **fields}
    core = routed_core.Core(servers=0, **fields)
    for number in range(engines):
        core.list_server(f"e{number}", ENGINES)
        core.tell_named(
            server_inputs.LoadEchoed,
            server_id=f"e{number}",
            running=0,
            waiting=0,
            slots=12,
            pace_percent=100,
        )
    return core


def _play(core: routed_core.Core) -> tuple[set[str], set[str]]:
    """Sends nine short prompts for each long one; returns both's engines."""
    used: dict[bool, set[str]] = {True: set(), False: set()}
    for number in range(40):  # No answer ends, and all fit into the slots.
        core.now_ms += 20
        is_long = number % 10 == 0
        route, levels = ("long", LONG) if is_long else ("short", SHORT)
        core.arrive(route, f"r{number}", levels=levels)
        request = core.world.requests[f"r{number}"]
        if request.last_attempt is not None:
            used[is_long].add(request.last_attempt.server_id)
    return used[True], used[False]


def _unshared(number: int) -> tuple[work.Level, ...]:
    return (work.Level(key=100 + number, tokens=17_000),)


def long_prompts_stay_off_the_engines_of_short_ones() -> None:
    """Guards against short answers that hold a slot six times as long."""
    long_engines, short_engines = _play(_core(long_prompt_tokens=2_048))
    assert long_engines and short_engines
    assert not long_engines & short_engines, (long_engines, short_engines)


def prompts_are_mixed_without_the_setting() -> None:
    """Guards against other placement for operators who did not ask for it."""
    long_engines, short_engines = _play(_core())
    assert long_engines & short_engines


def two_engines_are_not_split() -> None:
    """Guards against a kind of prompt without any engine after a failure."""
    long_engines, short_engines = _play(_core(2, long_prompt_tokens=2_048))
    assert long_engines & short_engines, (long_engines, short_engines)


def short_prompts_use_other_engines_rather_than_be_refused() -> None:
    """Guards against refusals while engines for long prompts are idle."""
    core = _core(long_prompt_tokens=2_048)
    _, short_engines = _play(core)
    for name, server in core.world.servers.items():
        server.pace.prompts.clear()
        if name in short_engines:
            backlog.add(core.world, server, tokens=400_000, priority=0)
    core.arrive("short", "late", levels=SHORT)
    attempt = core.world.requests["late"].last_attempt
    assert attempt is not None and attempt.server_id not in short_engines


def _queue_short_prompts(core: routed_core.Core, count: int) -> set[str]:
    """Queues short prompts for their busy engines; returns these."""
    _, short_engines = _play(core)
    for name in short_engines:
        backlog.add(
            core.world, core.world.servers[name], tokens=30_000, priority=0
        )
    for number in range(count):
        core.arrive("short", f"queued-{number}", levels=SHORT)
    return short_engines


def queued_short_prompts_leave_the_engines_of_long_ones_to_these() -> None:
    """Guards against long prompts queued while their engines are idle."""
    core = _core(long_prompt_tokens=2_048, uneven_hold_ms=200)
    short_engines = _queue_short_prompts(core, 3)
    requests = core.world.requests
    assert all(requests[f"queued-{n}"].last_attempt is None for n in range(3))
    core.arrive("long", "long", levels=LONG)
    attempt = requests["long"].last_attempt
    assert attempt is not None, requests["long"].phase
    assert attempt.server_id not in short_engines


def queued_long_prompts_are_sent_while_short_ones_wait() -> None:
    """Guards against long prompts kept in the queue by more urgent ones."""
    core = _core(long_prompt_tokens=2_048, uneven_hold_ms=200)
    short_engines = _queue_short_prompts(core, 3)
    for name, server in core.world.servers.items():
        if server.target == ENGINES and name not in short_engines:
            backlog.add(core.world, server, tokens=20_000, priority=0)
    core.arrive("long", "long", levels=LONG)
    request = core.world.requests["long"]
    assert request.last_attempt is None, request.last_attempt
    core.now_ms += 200
    core.tell(inputs.Tick)
    assert request.last_attempt is not None, request.phase
    assert request.last_attempt.server_id not in short_engines
    assert core.world.requests["queued-0"].last_attempt is None


def without_a_split_all_prompts_share_one_order() -> None:
    """Guards against long prompts that overtake urgent ones at an engine."""
    core = _core(2, long_prompt_tokens=2_048, uneven_hold_ms=200)
    _queue_short_prompts(core, 3)
    core.arrive("long", "long", levels=LONG)
    assert core.world.requests["long"].last_attempt is None


def an_answer_counts_for_the_split() -> None:
    """Guards against a failure at the end of each routed answer."""
    core = _core(long_prompt_tokens=2_048)
    core.arrive("long", levels=LONG)
    mix = core.world.prompt_mixes[ENGINES]
    before_ms = mix.long_engine_ms
    request = core.world.requests["r"]
    core.now_ms += 900
    length_routing.record_engine_time(core.world, request, request.last_attempt)
    assert mix.long_engine_ms != before_ms


def the_split_follows_the_need_of_both_kinds() -> None:
    """Guards against engines that idle while those of the other kind queue."""
    counts = []
    for long_ms, short_ms in ((0.0, 15.0), (400.0, 15.0), (400.0, 60.0)):
        mix = prompt_mix.PromptMix(short_engine_ms=short_ms)
        for now_ms in range(0, 30_000, 100):
            mix.add_long(long_ms, now_ms=now_ms)
            mix.count_short(now_ms=now_ms)
        counts.append(mix.split(20, daemons=20, now_ms=30_000))
    most = round(20 * (1 - prompt_mix.MIN_LONG_PART))
    assert counts[0] == most, counts
    # Four busy engines, with headroom.
    assert counts[1] == round(20 - 4 * prompt_mix.LONG_HEADROOM), counts
    # Both kinds need more than there is, in the proportion of 15.6 to 8.
    assert counts[2] == 13, counts


def daemons_with_other_requests_split_alike() -> None:
    """Guards against engines that some daemons count to the other kind."""
    cores = [_core(12, long_prompt_tokens=2_048) for _ in range(2)]
    for number in range(60):
        for core in cores:
            core.now_ms += 100
            core.arrive("short", f"s{number}", levels=SHORT)
        sender, other = cores if number % 3 else reversed(cores)
        sender.arrive("long", f"l{number}", levels=_unshared(number))
        for announced in sender.last_effects:
            if isinstance(announced, effects.Announce):
                assert announced.is_long
                other.tell_named(
                    server_inputs.PeerDispatched,
                    server_id=announced.server_id,
                    tokens=announced.tokens,
                    priority=announced.priority,
                    levels=announced.levels,
                    is_long=announced.is_long,
                )
    one, two = (core.world.prompt_mixes[ENGINES] for core in cores)
    assert one.short_engines and one.short_engines == two.short_engines
    assert abs(one.long_ms - two.long_ms) < 0.05 * one.long_ms


def a_full_engine_of_long_prompts_has_a_long_wait() -> None:
    """Guards against prompts that queue for seconds where 100 ms is expected.

    Twenty prompts in flight of which each takes 300 ms, and short ones of
    13 ms, were averaged.
    """
    core = _core(long_prompt_tokens=2_048)
    _play(core)
    mix = core.world.prompt_mixes[ENGINES]
    mix.long_engine_ms, mix.short_engine_ms = 300.0, 13.0
    waits = {}
    for name, server in core.world.servers.items():
        if server.target != ENGINES:
            continue
        server.pace.prompts.clear()
        server.running, server.waiting = 12, 7
        server.reported_at_ms = core.now_ms
        waits[name] = backlog.queue_ms(core.world, server, priority=2)
    for name, wait_ms in waits.items():
        if name in mix.short_engines:
            assert wait_ms < 200, waits
        else:
            # Eight prompts must end before another one begins.
            assert wait_ms >= 8 * 300, waits


def prompts_announced_since_a_report_count() -> None:
    """Guards against all daemons that choose an engine between two reports."""
    core = _core(long_prompt_tokens=2_048)
    _play(core)
    server = core.world.servers["e0"]
    server.pace.prompts.clear()
    server.running, server.waiting = 12, 0
    server.reported_at_ms = core.now_ms
    before_ms = backlog.queue_ms(core.world, server, priority=2)
    core.now_ms += 100
    for _ in range(10):
        core.tell_named(
            server_inputs.PeerDispatched,
            server_id="e0",
            tokens=1,
            priority=2,
            levels=(5,),
            is_long=True,
        )
    interval_ms = core.world.prompt_mixes[ENGINES].short_engine_ms
    after_ms = backlog.queue_ms(core.world, server, priority=2)
    assert after_ms >= before_ms + 10 * interval_ms, (before_ms, after_ms)


def a_changed_split_is_logged_once_a_second() -> None:
    """Guards against a split that operators can't see, or that fills logs."""
    core = _core(12, long_prompt_tokens=2_048)
    logged_ms = []
    for number in range(200):
        core.now_ms += 20
        # Prompts that share nothing are computed in full.
        core.arrive("long", f"r{number}", levels=_unshared(number))
        logged_ms += [
            core.now_ms
            for effect in core.last_effects
            if isinstance(effect, effects.Event)
            and effect.name == "engines_split"
        ]
    assert len(logged_ms) > 1, logged_ms
    gaps = [b - a for a, b in itertools.pairwise(logged_ms)]
    assert min(gaps) >= length_routing.LOG_INTERVAL_MS, logged_ms


__all__ = [
    "a_changed_split_is_logged_once_a_second",
    "a_full_engine_of_long_prompts_has_a_long_wait",
    "an_answer_counts_for_the_split",
    "daemons_with_other_requests_split_alike",
    "long_prompts_stay_off_the_engines_of_short_ones",
    "prompts_announced_since_a_report_count",
    "prompts_are_mixed_without_the_setting",
    "queued_long_prompts_are_sent_while_short_ones_wait",
    "queued_short_prompts_leave_the_engines_of_long_ones_to_these",
    "short_prompts_use_other_engines_rather_than_be_refused",
    "the_split_follows_the_need_of_both_kinds",
    "two_engines_are_not_split",
    "without_a_split_all_prompts_share_one_order",
]
