"""Where a long prompt goes, and where its cached levels come from."""

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


def _ask(core: routed_core.Core, name: str) -> effects.Dispatch:
    core.arrive("long", name, levels=(SHARED, OWN))
    return core.dispatch()


def _digest(core: routed_core.Core, server: str, **fields) -> None:
    core.tell_named(
        server_inputs.CacheDigest,
        server_id=server,
        incarnation=server,
        weights_version="1",
        **{"cleared": False, "stored": (), "removed": (), **fields},
    )


def a_prompt_seen_before_goes_where_it_is_held() -> None:
    """A second question on a rulebook finds it cached.

    Symptom: every question computes the whole rulebook anew.
    Sequence: two questions on one rulebook, a second apart, no load.
    Cause: placement by load alone.
    """
    core = _core()
    first = _ask(core, "r1")
    assert first.kv_save_to == STORE
    core.now_ms += 1_000
    second = _ask(core, "r2")
    assert second.server_id == first.server_id
    assert second.kv_save_to == ""


def a_busy_holder_is_copied_from() -> None:
    """A holder with a long backlog lends its state to an idle server.

    Symptom: questions wait behind each other at one server, others idle.
    Sequence: the holder has 500 ms of prompts before it.
    Cause: the cache followed whatever the wait.
    """
    core = _core()
    first = _ask(core, "r1")
    core.now_ms += 1_000
    holder = core.world.servers[first.server_id]
    holder.backlog_until_ms[0] = core.now_ms + 500.0
    second = _ask(core, "r2")
    assert second.server_id != first.server_id
    assert second.kv_fetch_from in (holder.address, STORE)


def what_is_still_computed_is_not_copied() -> None:
    """A copy is not asked of a server that has not computed the levels yet.

    Symptom: shared levels computed twice at the same time.
    Sequence: the second question comes 10 ms after the first.
    Cause: levels taken for cached as soon as they were sent.
    """
    core = _core()
    first = _ask(core, "r1")
    core.now_ms += 10
    server = core.world.servers[first.server_id]
    request = core.world.requests["r1"]
    held = cached_state.cached_tokens(
        server, request, "1", ready_by_ms=core.now_ms
    )
    assert held == 0
    assert cached_state.cached_tokens(server, request, "1") == 16_000


def a_store_is_named_for_what_may_have_been_lost() -> None:
    """Long shared levels never depend on one belief.

    Symptom: levels that were evicted a moment ago are computed again.
    Sequence: a question goes to the server believed to hold its levels.
    Cause: no source named where none seemed to be needed.
    """
    core = _core()
    first = _ask(core, "r1")
    core.now_ms += 1_000
    assert _ask(core, "r2").kv_fetch_from != ""
    assert first.kv_fetch_from == STORE


def prompts_with_one_opening_spread_over_all_engines() -> None:
    """The home of a prompt follows from all of its shared levels.

    By the first level alone, prompts that open with one of three instructions
    had three homes among 56 engines; one was sent six times the mean.
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


def an_engine_with_few_free_slots_is_left_for_idle_ones() -> None:
    """A small cached part is not worth the wait at a nearly full engine.

    Reports are a second old; seven of eight slots in use then are eight of
    eight now and then, and a short request waits half a second for one.
    """
    small = (work.Level(7, 55), work.Level(8, 37), work.Level(9, 300))
    for running, is_left in ((1, False), (7, True)):
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
        left = core.dispatch().server_id != first.server_id
        assert left is is_left, (running, left)


def an_engine_that_comes_back_idle_is_not_sent_everything() -> None:
    """Forty daemons with one report don't all choose the one idle engine.

    Each sent its next requests to an engine that had just loaded new weights:
    eight slots, and a wait of half a second behind what others had sent.
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
    """Stores of cached state hold different parts, not the same ones.

    Each part was saved to every store in turn, by the requests after each
    other; the stores together held no more than one of them.
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


def a_daemon_that_heard_of_no_save_asks_the_store_that_has_it() -> None:
    """Who saves a part and who looks for it name the same store."""
    for number in range(20):
        part = work.Level(1_000 + number, 13_000)
        sent = []
        for _ in range(2):
            core = _core_with_stores()
            core.arrive("long", "r", levels=(part, OWN))
            sent.append(core.dispatch())
        saves, asks = sent
        assert saves.kv_save_to == asks.kv_fetch_from != ""


def a_store_that_does_not_answer_is_left_out() -> None:
    """A dead store is neither asked nor given anything.

    Symptom: each long prompt waits some hundred milliseconds for nothing.
    Sequence: the daemon that follows the store gets no answer and says so.
    Cause: the store taken from the table alone.
    """
    core = _core()
    core.tell(server_inputs.ServerDraining, "keep", core.now_ms + 3_000)
    sent = _ask(core, "r1")
    assert (sent.kv_fetch_from, sent.kv_save_to) == ("", "")


def levels_held_in_part_count_in_part() -> None:
    """Engines evict from a level's end, block by block.

    Symptom: a server that holds a tenth of a rulebook is taken for its
        holder.
    Sequence: an eviction leaves 1,000 of 13,000 tokens.
    Cause: a level known as held or not.
    """
    core = _core()
    first = _ask(core, "r1")
    core.now_ms += 1_000
    key = levels.key_for_weights(SHARED.key, "1")
    _digest(core, first.server_id, stored=(key,), tokens=(1_000,))
    server = core.world.servers[first.server_id]
    request = core.world.requests["r1"]
    assert cached_state.cached_tokens(server, request, "1") == 1_000


def small_levels_are_not_told_to_peers() -> None:
    """News of cached levels is that of levels worth knowing.

    Symptom: among sixty daemons a third of all bytes between failure domains
        are news of levels that an engine computes in half a millisecond.
    Sequence: an engine stores a rulebook and a greeting, evicts the greeting,
        then most of the rulebook, then the rest.
    Cause: all events passed on alike.
    """
    digester = digests.Digester("e1")
    told = digester.digest(
        _events((1, SHARED.key, 13_000), (2, 99, 55)), now_ms=1
    )
    assert told.stored == (SHARED.key,)
    assert told.tokens == (13_000,)
    assert digester.digest(_events((3, 99, 0)), now_ms=2) is None
    told = digester.digest(_events((4, SHARED.key, 100)), now_ms=3)
    assert (told.stored, told.removed) == ((), (SHARED.key,))
    assert digester.digest(_events((5, SHARED.key, 0)), now_ms=4) is None
    assert digester.sequence == 5


def an_engine_that_tells_no_tokens_has_all_its_levels_told() -> None:
    """The product's own engines tell keys alone; nothing is known as small.

    Symptom: placement by cached levels stops working on the own interface.
    Sequence: an engine stores a level of unknown size and evicts it.
    Cause: no size taken for a small one.
    """
    digester = digests.Digester("e1")
    assert digester.digest(_events((1, 7, 0, "stored")), now_ms=1).stored == (
        7,
    )
    assert digester.digest(_events((2, 7, 0)), now_ms=2).removed == (7,)


def a_small_level_before_a_large_one_is_no_gap() -> None:
    """A prompt that opens with a greeting is found all the same.

    Symptom: prompts whose first shared part is small are computed anew.
    Sequence: nobody tells of the greeting, everybody of the rulebook behind.
    Cause: the first level that is not known ends the search.
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
    _digest(core, other, stored=(key,), tokens=(13_000,))
    server, request = core.world.servers[other], core.world.requests["r1"]
    assert cached_state.cached_tokens(server, request, "1") == 13_050


def a_small_level_first_casts_no_doubt_on_its_holder() -> None:
    """A prompt that opens with a greeting is copied from the nearest holder.

    Symptom: such prompts come from the store, three times as slow, although
        an engine has just computed them.
    Sequence: an idle engine's neighbour and the store hold the rulebook
        behind a greeting; the neighbour is busy.
    Cause: when the rulebook was seen taken from the greeting, which nobody
        tells of, so that it seemed to be long gone.
    """
    core = _core()
    greeting = work.Level(key=10, tokens=50)
    key = levels.key_for_weights(SHARED.key, "1")
    for holder in ("e1", "keep"):
        _digest(core, holder, stored=(key,), tokens=(13_000,))
    core.world.servers["e1"].backlog_until_ms[0] = core.now_ms + 500.0
    core.arrive("long", "r1", levels=(greeting, SHARED, OWN))
    sent = core.dispatch()
    assert sent.server_id != "e1"
    assert sent.kv_fetch_from == core.world.servers["e1"].address


def _events(*told: tuple) -> protocol.CacheEvents:
    """Returns a piece of a stream of (number, key, tokens now, kind)."""
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
            for number, key, tokens, *kind in told
        ),
    )


def a_store_that_starts_anew_is_empty() -> None:
    """What a store held before its restart is not asked for.

    Symptom: after a restart of the store nothing is saved to it again.
    Sequence: the store holds a rulebook; its numbering begins anew.
    Cause: the same name taken for the same contents.
    """
    core = _core()
    _ask(core, "r1")
    core.now_ms += 2_000
    assert _ask(core, "r2").kv_save_to == ""
    _digest(core, "keep", cleared=True)
    assert _ask(core, "r3").kv_save_to == STORE
