"""Where long prompts are placed and where cached levels are copied from."""

from __future__ import annotations

import collections

from cases import routed_core
from godwittack.backend import protocol
from godwittack.core import cached_state, effects, inputs, server_inputs, work
from godwittack.daemon import digest as digests
from godwittack.placement import levels
from godwittack.table import forwarding

STORES = 3
STORE = "10.0.9.9:8080"
SHARED = work.Level(key=11, tokens=13_000)
OWN = work.Level(key=12, tokens=3_000)


def _core(*, servers: int = 3) -> routed_core.Core:
    core = routed_core.Core(servers=servers, prefill_us_per_token=7)
    store = forwarding.KvStore(name="keep", address=STORE)
    core.tell(inputs.TableChanged, routed_core.table(2, kv_stores=(store,)))
    core.list_server(
        "keep", cached_state.STORE_TARGET, address=STORE, weights_version=""
    )
    return core


def _core_with_stores() -> routed_core.Core:
    core = _core()
    for number in range(1, STORES):
        core.list_server(
            f"keep{number}",
            cached_state.STORE_TARGET,
            address=f"10.0.9.{number}:8080",
            weights_version="",
        )
    return core


def _dispatch_prompt(core: routed_core.Core, name: str) -> effects.Dispatch:
    core.arrive("long", name, levels=(SHARED, OWN))
    return core.dispatch()


def _report_cache(core: routed_core.Core, server: str, **fields) -> None:
    core.tell_named(
        server_inputs.CacheDigest,
        server_id=server,
        incarnation=server,
        weights_version="1",
        **{"cleared": False, "stored": (), "removed": (), **fields},
    )


def a_prompt_seen_before_goes_where_it_is_cached() -> None:
    """A second question on a rulebook goes where the rulebook is cached.

    Symptom: the whole rulebook is computed again for every question.
    Sequence: two questions on one rulebook, a second apart, without load.
    Cause: placement by load alone.
    """
    core = _core()
    first = _dispatch_prompt(core, "r1")
    assert first.kv_save_to == STORE
    core.now_ms += 1_000
    second = _dispatch_prompt(core, "r2")
    assert second.server_id == first.server_id
    assert second.kv_save_to == ""


def cached_state_is_copied_from_a_busy_server() -> None:
    """An idle server copies the state of one with a long backlog.

    Symptom: questions queue at one server while others are idle.
    Sequence: the server with the state has a backlog of 500 ms.
    Cause: placement by cached state, regardless of the wait.
    """
    core = _core()
    first = _dispatch_prompt(core, "r1")
    core.now_ms += 1_000
    busy_server = core.world.servers[first.server_id]
    busy_server.backlog_until_ms[0] = core.now_ms + 500.0
    second = _dispatch_prompt(core, "r2")
    assert second.server_id != first.server_id
    assert second.kv_fetch_from in (busy_server.address, STORE)


def state_that_is_still_being_computed_is_not_copied() -> None:
    """No copy is requested of a server that still computes the levels.

    Symptom: shared levels are computed twice at the same time.
    Sequence: the second question arrives 10 ms after the first.
    Cause: levels counted as cached as soon as they were sent.
    """
    core = _core()
    first = _dispatch_prompt(core, "r1")
    core.now_ms += 10
    server = core.world.servers[first.server_id]
    request = core.world.requests["r1"]
    copyable_tokens = cached_state.cached_tokens(
        server, request, "1", ready_by_ms=core.now_ms
    )
    assert copyable_tokens == 0
    assert cached_state.cached_tokens(server, request, "1") == 16_000


def a_store_is_named_for_levels_that_may_be_evicted() -> None:
    """Long shared levels always have a second source.

    Symptom: levels that were just evicted are computed again.
    Sequence: a prompt goes to the server that is expected to have its
        levels cached.
    Cause: no source was named where none seemed necessary.
    """
    core = _core()
    first = _dispatch_prompt(core, "r1")
    core.now_ms += 1_000
    assert _dispatch_prompt(core, "r2").kv_fetch_from != ""
    assert first.kv_fetch_from == STORE


def prompts_with_one_opening_spread_over_all_engines() -> None:
    """The home server of a prompt depends on all of its shared levels.

    By the first level alone, prompts that start with one of three instructions
    had three home servers among 56 engines; one got six times the mean load.
    """
    engines = 20
    sent = collections.Counter()
    for number in range(400):
        core = _core(servers=engines)
        opening = work.Level(number % 3, 55)
        part = work.Level(1_000 + number, 37)
        core.arrive("short", "r", levels=(opening, part, OWN))
        sent[core.dispatch().server_id] += 1
    assert len(sent) == engines, len(sent)
    assert max(sent.values()) <= 3 * 400 / engines, sent


def idle_engines_are_preferred_to_one_with_few_free_slots() -> None:
    """A small cached part is not worth the wait at a nearly full engine.

    Reports are a second old. Where they show seven of eight slots in use,
    sometimes all eight are, and a short request waits half a second for one.
    """
    small = (work.Level(7, 55), work.Level(8, 37), work.Level(9, 300))
    for running, goes_elsewhere in ((1, False), (7, True)):
        core = _core(servers=6)
        core.world.service_time_ms[routed_core.ENGINES] = 350.0
        core.arrive("short", "first", levels=small)
        first = core.dispatch()
        core.open(first)
        core.frames(first, 1, end=True)
        for name in core.world.servers_by_target[routed_core.ENGINES]:
            core.tell_named(
                server_inputs.LoadReported,
                server_id=name,
                incarnation=name,
                weights_version="1",
                running=running if name == first.server_id else 1,
                waiting=0,
                waiting_tokens=0,
                prefill_us_per_token=0,
                slots=8,
            )
        core.arrive("short", "again", levels=small)
        is_other = core.dispatch().server_id != first.server_id
        assert is_other is goes_elsewhere, (running, is_other)


def an_engine_that_comes_back_idle_does_not_get_all_requests() -> None:
    """Forty daemons with one report don't all choose the one idle engine.

    Each sent its next requests to an engine that had just loaded new weights.
    It had eight slots; requests waited half a second behind those of other
    daemons.
    """
    daemons, engines = 40, 20
    sent = collections.Counter()
    for daemon in range(daemons):
        core = _core(servers=engines)
        core.world.service_time_ms[routed_core.ENGINES] = 350.0
        for number in range(1, engines + 1):
            core.tell_named(
                server_inputs.LoadReported,
                server_id=f"e{number}",
                incarnation=f"e{number}",
                weights_version="1",
                running=0 if number == 1 else 5,
                waiting=0,
                waiting_tokens=0,
                prefill_us_per_token=0,
                slots=8,
            )
        prompt = (work.Level(100 + daemon, 40), work.Level(daemon, 300))
        core.arrive("short", f"r{daemon}", levels=prompt)
        sent[core.dispatch().server_id] += 1
    assert sent["e1"] <= daemons / 2, sent


def each_part_is_kept_by_one_of_several_stores() -> None:
    """Stores of cached state keep different parts, not the same ones.

    Successive requests saved each part to every store in turn, so all stores
    together kept no more than one of them.
    """
    core = _core_with_stores()
    used = collections.Counter()
    for number in range(60):
        part = work.Level(1_000 + number, 13_000)
        saved = set()
        for again in range(3):
            name = f"r{number}.{again}"
            core.arrive("long", name, levels=(part, OWN))
            sent = core.dispatch()
            saved.add(sent.kv_save_to)
            core.open(sent)
            core.frames(sent, 1, end=True)
            core.now_ms += 400
        saved.discard("")
        assert len(saved) == 1, saved
        used.update(saved)
    assert len(used) == STORES and min(used.values()) >= 10, used


def a_daemon_that_knows_of_no_save_fetches_from_the_same_store() -> None:
    """Daemons that save a part and those that fetch it name one store."""
    for number in range(20):
        part = work.Level(1_000 + number, 13_000)
        sent = []
        for _ in range(2):
            core = _core_with_stores()
            core.arrive("long", "r", levels=(part, OWN))
            sent.append(core.dispatch())
        saving, fetching = sent
        assert saving.kv_save_to == fetching.kv_fetch_from != ""


def a_store_that_does_not_answer_is_left_out() -> None:
    """An unresponsive store is used neither for fetches nor for saves.

    Symptom: each long prompt waits some hundred milliseconds in vain.
    Sequence: the daemon that follows the store gets no answer and reports it.
    Cause: the store was used as long as the table listed it.
    """
    core = _core()
    core.tell(server_inputs.ServerDraining, "keep", core.now_ms + 3_000)
    sent = _dispatch_prompt(core, "r1")
    assert (sent.kv_fetch_from, sent.kv_save_to) == ("", "")


def partly_cached_levels_count_in_part() -> None:
    """Engines evict from a level's end, block by block.

    Symptom: a server that caches a tenth of a rulebook counts as having all.
    Sequence: an eviction leaves 1,000 of 13,000 tokens.
    Cause: a level was recorded either as cached or as not.
    """
    core = _core()
    first = _dispatch_prompt(core, "r1")
    core.now_ms += 1_000
    key = levels.key_for_weights(SHARED.key, "1")
    _report_cache(core, first.server_id, stored=(key,), tokens=(1_000,))
    server = core.world.servers[first.server_id]
    request = core.world.requests["r1"]
    assert cached_state.cached_tokens(server, request, "1") == 1_000


def small_levels_are_not_reported_to_peers() -> None:
    """Peers get updates only on levels above a minimum size.

    Symptom: among sixty daemons, a third of all bytes between failure domains
        are updates on levels that an engine computes in half a millisecond.
    Sequence: an engine stores a rulebook and a greeting, evicts the greeting,
        then most of the rulebook, then the rest.
    Cause: all events were passed on.
    """
    digester = digests.Digester("e1")
    summary = digester.digest(
        _events((1, SHARED.key, 13_000), (2, 99, 55)), now_ms=1
    )
    assert summary.stored == (SHARED.key,)
    assert summary.tokens == (13_000,)
    assert digester.digest(_events((3, 99, 0)), now_ms=2) is None
    summary = digester.digest(_events((4, SHARED.key, 100)), now_ms=3)
    assert (summary.stored, summary.removed) == ((), (SHARED.key,))
    assert digester.digest(_events((5, SHARED.key, 0)), now_ms=4) is None
    assert digester.sequence == 5


def all_levels_of_unknown_size_are_reported() -> None:
    """The product's engines report keys only, so no level is known as small.

    Symptom: placement by cached levels fails on the product's interface.
    Sequence: an engine stores a level of unknown size and evicts it.
    Cause: an unknown size counted as a small one.
    """
    digester = digests.Digester("e1")
    assert digester.digest(_events((1, 7, 0, "stored")), now_ms=1).stored == (
        7,
    )
    assert digester.digest(_events((2, 7, 0)), now_ms=2).removed == (7,)


def an_unreported_small_level_does_not_hide_a_large_one() -> None:
    """A prompt that starts with a greeting uses the cached rulebook after it.

    Symptom: prompts whose first shared part is small are computed again.
    Sequence: engines report the rulebook, but not the greeting before it.
    Cause: the first level that is not known ended the search.
    """
    core = _core()
    greeting = work.Level(key=10, tokens=50)
    core.arrive("long", "r1", levels=(greeting, SHARED, OWN))
    first = core.dispatch()
    other = next(
        name
        for name in core.world.servers_by_target[routed_core.ENGINES]
        if name != first.server_id
    )
    key = levels.key_for_weights(SHARED.key, "1")
    _report_cache(core, other, stored=(key,), tokens=(13_000,))
    server, request = core.world.servers[other], core.world.requests["r1"]
    assert cached_state.cached_tokens(server, request, "1") == 13_050


def a_small_first_level_does_not_make_cached_state_look_old() -> None:
    """A prompt that starts with a greeting is copied from the nearest server.

    Symptom: such prompts are copied from the store, three times as slow,
        although an engine has just computed them.
    Sequence: an idle engine's neighbour and the store have cached the
        rulebook after a greeting; the neighbour is busy.
    Cause: the age of the rulebook was taken from the greeting, which engines
        don't report, so that it seemed to be long evicted.
    """
    core = _core()
    greeting = work.Level(key=10, tokens=50)
    key = levels.key_for_weights(SHARED.key, "1")
    for caching_server in ("e1", "keep"):
        _report_cache(core, caching_server, stored=(key,), tokens=(13_000,))
    core.world.servers["e1"].backlog_until_ms[0] = core.now_ms + 500.0
    core.arrive("long", "r1", levels=(greeting, SHARED, OWN))
    sent = core.dispatch()
    assert sent.server_id != "e1"
    assert sent.kv_fetch_from == core.world.servers["e1"].address


def _events(*event_fields: tuple) -> protocol.CacheEvents:
    """Returns events from (number, key, remaining tokens, optional kind)."""
    kinds = protocol.CacheEventKind
    return protocol.CacheEvents(
        incarnation="e1",
        weights_version="1",
        oldest=0,
        events=tuple(
            protocol.CacheEvent(
                number,
                kinds.STORED if tokens or kind else kinds.REMOVED,
                key,
                tokens,
            )
            for number, key, tokens, *kind in event_fields
        ),
    )


def a_store_that_restarts_is_empty() -> None:
    """What a store kept before its restart is no longer expected there.

    Symptom: after a restart of the store nothing is saved to it again.
    Sequence: the store has a rulebook; its event numbers start again.
    Cause: the same name counted as the same contents.
    """
    core = _core()
    _dispatch_prompt(core, "r1")
    core.now_ms += 2_000
    assert _dispatch_prompt(core, "r2").kv_save_to == ""
    _report_cache(core, "keep", cleared=True)
    assert _dispatch_prompt(core, "r3").kv_save_to == STORE
