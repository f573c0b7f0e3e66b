"""Requests that are placed by the free memory of engines."""

from __future__ import annotations

import dataclasses
import json

from cases import memory_load, routed_core
from godwittack.core import (
    effects,
    engine_memory,
    inputs,
    server_inputs,
    urgency,
    work,
)
from godwittack.daemon import load_filter
from godwittack.peer import peer_pb2, pending, wire
from godwittack.platform import servers
from godwittack.session import codec

ENGINES = routed_core.ENGINES
TOTAL = memory_load.TOTAL_TOKENS
SEEDS = range(1, 6)
# A part of the load is not begun in time under any order: the bursts fill all
# memory, and the largest prompt takes two thirds of an engine.
MIN_BEGUN_LARGEST, MIN_BEGUN_OTHERS = 0.9, 0.99


def _arrive(core, name: str, *tokens: int, route: str = "long", **fields):
    """Submits a prompt whose first part is the same for all of a route."""
    parts = [work.Level(len(route), size) for size in tokens[:-1]]
    parts.append(work.Level(100 + len(core.world.requests), tokens[-1]))
    return core.arrive(route, name, levels=tuple(parts), **fields)


def _wait(core, ms: int, *used: int) -> list[effects.Effect]:
    """Advances the clock while engines report the same memory."""
    collected: list[effects.Effect] = []
    for _ in range(ms // 500):
        collected.extend(core.wait(500))
        for number, tokens in enumerate(used, start=1):
            memory_load.report(core, f"e{number}", tokens)
    return collected


def _used(core, server: str) -> float:
    return engine_memory.usage(core.world, core.world.servers[server]).tokens


def _core(*used: int, is_on: bool = True, **fields) -> routed_core.Core:
    """Returns a core with an engine for each amount of memory in use."""
    core = memory_load.memory_core(is_on=is_on, engines=len(used), **fields)
    for number, tokens in enumerate(used, start=1):
        memory_load.report(core, f"e{number}", tokens)
    return core


def an_engine_with_room_is_preferred_to_one_with_less_load() -> None:
    """Guards against a prompt that waits for memory, or preempts another."""
    for is_on, expected in ((True, "e2"), (False, "e1")):
        core = _core(TOTAL - 5_000, 10_000, is_on=is_on)
        memory_load.report(core, "e2", 10_000, running=6)
        _arrive(core, "r", 13_300, 3_720)
        assert core.dispatch().server_id == expected, is_on


def memory_counts_only_where_it_is_set_for_uneven_targets() -> None:
    """Guards against a default, or one setting alone, that uses the memory."""
    for is_on, uneven_servers in ((False, 1), (True, 0), (False, 0)):
        core = _core(TOTAL, TOTAL, is_on=is_on, uneven_servers=uneven_servers)
        _arrive(core, "r", 39_900, 53_200)
        core.dispatch()
        (announced,) = core.find(effects.Announce)
        assert (announced.memory_tokens, announced.shared_tokens) == (0, 0)
        placed = next(e for e in core.find(effects.Event) if e.name == "placed")
        assert not any("memory" in field.key for field in placed.fields)
        _arrive(core, "too-large", 13_300, TOTAL)
        core.dispatch()
        for engine in core.world.servers_by_target[ENGINES].values():
            assert _used(core, engine.server_id) == 0
            assert engine.memory.measured_at_ms < 0
            assert engine_memory.evicted_after_ms(core.world, engine) == 3_000
        stored = json.loads(codec.encode_policy(core.world.policy))
        assert stored.get("engine_memory", 0) == int(is_on)
        assert ("engine_memory" in stored) is is_on


def a_prompt_that_fits_on_no_engine_is_held_until_one_has_room() -> None:
    """Guards against a prompt that is sent to wait at a full engine."""
    core = _core(TOTAL - 5_000, TOTAL - 5_000)
    _arrive(core, "r", 13_300, 30_000)
    assert not core.find(effects.Dispatch)
    assert core.world.queued_count() == 1
    core.now_ms += 200
    memory_load.report(core, "e2", 10_000)
    assert core.dispatch().server_id == "e2"
    assert core.world.queued_count() == 0


def only_a_prompt_above_a_quarter_of_the_memory_is_held() -> None:
    """Guards against short prompts that come late since they are held."""
    quarter = TOTAL // 4 // 16 * 16
    for tokens, is_held in (
        (291, False),
        (quarter, False),
        (quarter + 1, True),
    ):
        core = _core(TOTAL, TOTAL)
        _arrive(core, "r", tokens)
        assert len(core.find(effects.Dispatch)) == (0 if is_held else 1), tokens
        assert core.world.queued_count() == int(is_held), tokens


def a_held_prompt_does_not_outlive_its_caller_or_its_deadline() -> None:
    """Guards against a hold, or an engine kept free, that nobody waits for."""
    for ends_by_caller in (True, False):
        core = _core(TOTAL - 80_000, TOTAL)
        _arrive(core, "r", 39_900, 53_200, deadline_ms=6_000)
        _wait(core, 3_500, TOTAL - 80_000, TOTAL)
        assert core.world.servers["e1"].memory.kept_for == "r"
        if ends_by_caller:
            core.tell(inputs.CallerGone, "r")
        else:
            # No engine may be used, so that it is not sent at last either.
            for server in core.world.servers.values():
                server.draining_until_ms = routed_core.NO_LIMIT
            core.wait(2_500)
            assert core.refusal().outcome is effects.Outcome.NOT_RUN
        assert core.world.queued_count() == 0
        assert not core.world.servers["e1"].memory.kept_for


def a_prompt_larger_than_every_engine_is_refused_with_413() -> None:
    """Guards against a prompt that waits for an engine that can't exist."""
    core = _core(0, 0)
    _arrive(core, "r", 13_300, TOTAL)
    refusal = core.refusal()
    assert (refusal.status, refusal.retry_after_ms) == (413, 0), refusal
    assert refusal.outcome is effects.Outcome.NOT_RUN
    memory_load.report(core, "e2", 0, kv_total_tokens=2 * TOTAL)
    _arrive(core, "fits", 13_300, TOTAL)
    assert core.dispatch().server_id == "e2"


def small_prompts_pass_a_held_one_and_leave_its_engine_free() -> None:
    """Guards against large and small prompts that keep each other waiting."""
    core = _core(TOTAL - 60_000, TOTAL - 20_000)
    _arrive(core, "large", 39_900, 53_200, deadline_ms=6_000)
    assert not core.find(effects.Dispatch)
    _arrive(core, "early", 92, 291, route="short")
    core.dispatch()
    waited = _wait(core, 3_500, TOTAL - 60_000, TOTAL - 20_000)
    claims = [one for one in waited if isinstance(one, effects.Announce)]
    assert claims and {one.server_id for one in claims} == {"e1"}
    assert all(one.memory_tokens >= 93_100 for one in claims)
    for number in range(8):
        memory_load.report(core, "e1", TOTAL - 60_000)
        memory_load.report(core, "e2", TOTAL - 20_000, running=6)
        _arrive(core, f"s{number}", 92, 291, route="short")
        assert core.dispatch().server_id == "e2", number
    memory_load.report(core, "e1", 20_000)
    assert core.dispatch().request_id == "large"
    memory_load.report(core, "e2", TOTAL)
    _arrive(core, "after", 92, 291, route="short")
    assert core.dispatch().server_id == "e1"


def a_prompt_that_fits_nowhere_spares_the_engine_kept_free() -> None:
    """Guards against requests that take the memory a held one waits for."""
    core = _core(TOTAL - 60_000, TOTAL)
    _arrive(core, "large", 39_900, 53_200, deadline_ms=6_000)
    _wait(core, 3_500, TOTAL - 60_000, TOTAL)
    memory_load.report(core, "e1", TOTAL)
    memory_load.report(core, "e2", TOTAL, running=11)
    _arrive(core, "small", 92, 291, route="short")
    assert core.dispatch().server_id == "e2"


def an_engine_too_small_for_a_prompt_is_not_kept_free() -> None:
    """Guards against an engine that idles for what can't run there."""
    core = _core(0, TOTAL - 10_000)
    memory_load.report(core, "e1", 0, kv_total_tokens=90_000)
    _arrive(core, "large", 39_900, 53_200, deadline_ms=6_000)
    for _ in range(7):
        core.wait(500)
        memory_load.report(core, "e1", 0, kv_total_tokens=90_000)
        memory_load.report(core, "e2", TOTAL - 10_000)
    memories = [core.world.servers[name].memory for name in ("e1", "e2")]
    assert [one.kept_for for one in memories] == ["", "large"]


def a_held_prompt_counts_against_its_workspace() -> None:
    """Guards against a workspace that exceeds its share by held prompts."""
    core = _core(TOTAL)
    _arrive(core, "large", 39_900, 53_200)
    (workspace,) = {one.workspace for one in core.world.requests.values()}
    (queue,) = core.world.queues[ENGINES].values()
    held = core.world.requests["large"]
    for name in (workspace, "other"):
        queue.push(
            request_id=name,
            workspace=name,
            weight=1.0,
            cost=1.0,
            times=urgency.times(core.world, held),
        )
    assert [one.request_id for one in queue.heads(0)] == ["other", workspace]


def a_shared_part_counts_once() -> None:
    """Guards against prompts of one document that keep each other out."""
    core = _core(0)
    for number in range(10):
        _arrive(core, f"r{number}", 13_300, 372)
        core.dispatch()
    assert 13_300 + 10 * 372 <= _used(core, "e1") < 13_300 + 10 * 400


def requests_count_from_their_announcement_until_they_end() -> None:
    """Guards against requests that count twice, too long or not at all."""
    core = _core(50_000, 50_000)
    peer = {"server_id": "e1", "tokens": 90_000, "priority": 2, "levels": (1,)}
    core.tell_named(server_inputs.PeerDispatched, **peer, memory_tokens=60_000)
    assert _used(core, "e1") == 110_000
    core.now_ms += 10
    memory_load.report(core, "e1", 110_000)
    assert _used(core, "e1") == 110_000
    _arrive(core, "r", 16_000, 1_600)
    sent = core.dispatch()
    assert sent.server_id == "e2" and _used(core, "e2") == 67_600
    core.now_ms += 10
    memory_load.report(core, "e2", 67_600)
    assert _used(core, "e2") == 67_600
    core.open(sent)
    core.frames(sent, 1, end=True)
    assert _used(core, "e2") == 50_000
    core.wait(core.world.policy.report_stale_ms)
    assert _used(core, "e2") == 0


def a_claim_counts_across_reports_until_it_is_not_renewed() -> None:
    """Guards against an engine that other daemons fill while it drains.

    It also guards against a request that counts twice once it is sent.
    """
    core = _core(50_000)
    claim = {"server_id": "e1", "tokens": 0, "priority": 2, "levels": ()}
    for _ in range(3):
        core.tell_named(
            server_inputs.PeerDispatched, **claim, memory_tokens=80_000
        )
        core.wait(250)
        memory_load.report(core, "e1", 50_000)
        assert _used(core, "e1") == 130_000
    core.tell_named(
        server_inputs.PeerDispatched,
        **claim | {"tokens": 80_000, "levels": (1,)},
        memory_tokens=80_000,
    )
    assert _used(core, "e1") == 130_000
    core.tell_named(server_inputs.PeerDispatched, **claim, memory_tokens=60_000)
    assert _used(core, "e1") == 190_000
    core.wait(700)
    assert _used(core, "e1") == 130_000


def an_answer_counts_as_its_caller_expects_it() -> None:
    """Guards against memory that is kept for answers much shorter."""
    for hint, answer_tokens in ((None, 800), (160, 160), (9_999, 1_600)):
        core = _core(0)
        _arrive(core, "r", 16_000, 160, max_tokens=1_600, length_hint=hint)
        assert _used(core, "e1") == 16_160 + answer_tokens, hint


def a_waiting_request_is_not_part_of_the_memory_in_use() -> None:
    """Guards against memory that looks free while requests wait for it."""
    core = _core(100_000)
    _arrive(core, "r", 16_000, 16_000)
    core.now_ms += 10
    memory_load.report(core, "e1", 100_000, waiting=1, next_tokens=32_000)
    assert _used(core, "e1") == 132_000


def an_engine_that_restarts_is_empty() -> None:
    """Guards against the memory of a process that has ended."""
    core = _core(TOTAL - 100, TOTAL - 100)
    memory_load.report(core, "e1", 0, incarnation="e1-new", kv_total_tokens=0)
    assert _used(core, "e1") == 0


def copies_and_evictions_follow_from_memory_and_links() -> None:
    """Guards against costs measured elsewhere that misjudge a deployment."""
    core = _core(0, 0)
    world, engine = core.world, core.world.servers["e1"]
    copy_us = engine_memory.copy_us_per_token(world, engine, engine.target)
    assert copy_us == 163_840 * 8 / 1_100_000
    assert engine_memory.evicted_after_ms(world, engine) == 60_000
    _arrive(core, "r", 13_300, 53_200)
    sent = world.servers[core.dispatch().server_id]
    expected = (TOTAL - _used(core, sent.server_id)) / (66_500 / 5_000)
    assert engine_memory.evicted_after_ms(world, sent) == expected
    world.policy = dataclasses.replace(world.policy, engine_memory=0)
    assert engine_memory.evicted_after_ms(world, sent) == 3_000
    assert engine_memory.copy_us_per_token(world, engine, engine.target) is None


def a_report_survives_fields_of_other_types() -> None:
    """Guards against a load that is lost with one unreadable figure."""
    server_format = servers.ServerFormat(lambda target: target)
    for bad in (None, "x", -1, True, 2**40, [1], {"a": 1}):
        report = {"kv-used": 9, "kv-total": bad, "held": bad, "next": bad}
        body = json.dumps({"running": 3, "pinned": 2, **report}).encode()
        load = server_format.read_load(body, "x")
        assert (load.running, load.kv_used_tokens) == (3, 9), bad
        assert (load.kv_total_tokens, load.next_tokens) == (0, 0), bad
        assert load.kv_reserved_tokens == 2, bad
        body = json.dumps({"kv-used": bad, "kv-total": 9}).encode()
        assert server_format.read_load(body, "x").kv_total_tokens == 0, bad


def reports_of_memory_reach_other_daemons() -> None:
    """Guards against daemons that know the memory of their own engines only."""
    load = server_inputs.LoadReported(
        **memory_load.REPORT,
        at_ms=0,
        server_id="e1",
        incarnation="e1",
        kv_used_tokens=50_000,
        kv_reserved_tokens=7,
        next_tokens=8,
    )
    news = wire.NewsWriter().write(
        pending.PendingNews(loads={"e1": load}), now_ms=0
    )
    received = peer_pb2.News.FromString(news.SerializeToString())
    assert wire.NewsReader().loads(received, now_ms=0) == [load]
    published = load_filter.LoadFilter()
    for used, is_published in ((50_000, True), (51_000, False), (70_000, True)):
        changed = dataclasses.replace(load, kv_used_tokens=used)
        assert published.record_if_changed(changed) is is_published, used


def preemptions_fall_and_neither_large_nor_small_prompts_starve() -> None:
    """Guards against preempted requests, and against waiting without end."""
    preempted = {True: 0, False: 0}
    largest: list[memory_load.Result] = []
    others: list[memory_load.Result] = []
    short: list[memory_load.Result] = []
    for seed in SEEDS:
        for is_on in preempted:
            load = memory_load.Load(is_on=is_on, seed=seed)
            load.play(seconds=24)
            preempted[is_on] += load.preempted
            if is_on:
                long = load.of("long")
                tenth = len(long) // 10
                largest.extend(long[:tenth])
                others.extend(long[tenth:])
                short.extend(load.of("short"))
    assert preempted[True] <= preempted[False] / 2, preempted
    for group, min_begun in (
        (largest, MIN_BEGUN_LARGEST),
        (others, MIN_BEGUN_OTHERS),
        (short, MIN_BEGUN_OTHERS),
    ):
        begun = sum(one.first_token_ms >= 0 for one in group)
        assert begun >= min_begun * len(group), (begun, len(group), min_begun)
