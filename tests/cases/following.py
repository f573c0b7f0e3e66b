"""Which streams go on by copies that were followed, and read once more."""

from __future__ import annotations

import asyncio

from cases import routed_core, stream_versions
from cases import stream_history as stream_history_cases
from godwittack.clock import ManualClock
from godwittack.core import (
    confirming,
    effects,
    inputs,
    stream_history,
    stream_records,
    work,
)
from godwittack.member import freshness

LIFE_MS = stream_records.STREAM_LIFE_MS
MAX_UNSEEN_MS = routed_core.PLATFORM_POLICY["max_unseen_ms"]
# Lets a daemon read and write the row.
SETTLE_S = 0.02
TABLE, SERVERS = freshness.Topic


def _core() -> routed_core.Core:
    """Returns a core that is the only daemon and has followed all changes."""
    core = routed_core.Core(servers=1, **routed_core.PLATFORM_POLICY)
    core.tell(inputs.MembersChanged, ("d",))
    core.confirm()
    core.follow(for_ms=LIFE_MS + 1)
    return core


def _take_up(core: routed_core.Core, name: str = "a") -> None:
    core.arrive("long", f"{name}~2", resumes=name, resume_after=2)


def _requested(core: routed_core.Core) -> list[freshness.Topic]:
    return [effect.topic for effect in core.find(effects.ConfirmState)]


def _goes_on(core: routed_core.Core) -> bool:
    """Returns whether a stream goes on if both copies can be read."""
    core.now_ms += confirming.READ_INTERVAL_MS
    _take_up(core, f"at{core.now_ms}")
    core.end_reads(has_read=True)
    if core.find(effects.Dispatch):
        return True
    stream_versions.check_refused(core)
    return False


def _miss(core: routed_core.Core, *topics: freshness.Topic, ms: int) -> None:
    """Leaves copies unconfirmed for a time, and the others not."""
    end_ms = core.now_ms + ms
    while core.now_ms < end_ms:
        core.now_ms = min(end_ms, core.now_ms + routed_core.CONFIRM_INTERVAL_MS)
        for topic in set(freshness.Topic) - set(topics):
            core.tell(inputs.StateConfirmed, topic, core.now_ms, "store")


def _read_history(core: routed_core.Core, *gone: tuple[str, int]) -> None:
    """Delivers the row, with versions that have left, and how long ago."""
    target = inputs.TargetHistory(
        target=routed_core.ENGINES,
        known_for_ms=LIFE_MS,
        listed=("v1",),
        gone_for_ms=gone,
    )
    routes = tuple(stream_history.route_digests(core.world).items())
    core.tell_named(inputs.StreamHistoryRead, targets=(target,), routes=routes)


def a_stream_without_a_record_waits_for_both_copies() -> None:
    """Guards against streams refused, or not read for, in a fleet in step."""
    core = _core()
    _take_up(core)
    assert set(_requested(core)) == {TABLE, SERVERS}, core.last_effects
    core.tell(inputs.ConfirmationEnded, TABLE, has_read=True)
    assert not core.find(effects.Dispatch), core.last_effects
    core.tell(inputs.ConfirmationEnded, SERVERS, has_read=True)
    assert core.dispatch().server_id == "e1"


def what_the_read_shows_counts() -> None:
    """Guards against a version that joined since the last confirmation."""
    core = _core()
    _take_up(core)
    reads = core.last_effects
    core.list_server("e2", routed_core.ENGINES, software_version="v2")
    core.last_effects = reads
    core.end_reads(has_read=True)
    stream_versions.check_refused(core)


def a_failed_read_refuses_with_a_time() -> None:
    """Guards against a stream joined by a copy that can't be read."""
    for failed in freshness.Topic:
        core = _core()
        _take_up(core)
        collected = []
        for topic in freshness.Topic:
            collected += core.tell(
                inputs.ConfirmationEnded, topic, has_read=topic is not failed
            )
        core.last_effects = collected
        stream_versions.check_refused(core)
        _take_up(core, "b")
        stream_versions.check_refused(core)
        assert failed not in _requested(core), core.last_effects
        core.now_ms += confirming.RETRY_MS
        _take_up(core, "c")
        assert failed in _requested(core), core.last_effects


def a_read_that_never_ends_resumes_nothing() -> None:
    """Guards against a caller that is served, or held, by a lost read."""
    core = _core()
    _take_up(core)
    core.wait(6_000)
    assert not core.find(effects.Dispatch), core.last_effects
    refused = core.refusal()
    assert refused.outcome is effects.Outcome.NOT_RUN, refused
    assert not core.world.awaiting_reads


def a_caller_that_leaves_awaits_no_read() -> None:
    """Guards against a request that goes on after its caller has left."""
    core = _core()
    _take_up(core)
    reads = core.last_effects
    core.tell(inputs.CallerGone, "a~2")
    core.last_effects = reads
    core.end_reads(has_read=True)
    assert not core.find(effects.Dispatch), core.last_effects
    assert not core.world.requests and not core.world.awaiting_reads


def a_read_begun_before_the_caller_came_does_not_count() -> None:
    """Guards against a read that was answered before the stream began."""
    core = _core()
    _take_up(core, "a")
    core.now_ms += 50
    _take_up(core, "b")
    assert not _requested(core), core.last_effects
    dispatched = []
    for topic in freshness.Topic:
        core.tell(inputs.ConfirmationEnded, topic, has_read=True)
        dispatched += core.find(effects.Dispatch)
    assert [sent.request_id for sent in dispatched] == ["a~2"], dispatched
    core.wait(confirming.READ_INTERVAL_MS)
    assert set(_requested(core)) == {TABLE, SERVERS}, core.last_effects
    core.end_reads(has_read=True)
    assert core.dispatch().request_id == "b~2"


def many_streams_share_a_read() -> None:
    """Guards against a call of the store for each stream of a dead daemon."""
    core = _core()
    requested = dict.fromkeys(freshness.Topic, 0)
    sent, begin_ms = 0, core.now_ms
    for number in range(200):
        core.now_ms += 5
        _take_up(core, f"s{number}")
        if number % 10 == 9:
            core.last_effects += core.tell(inputs.Tick)
        for topic in _requested(core):
            requested[topic] += 1
        core.end_reads(has_read=True)
        sent += len(core.find(effects.Dispatch))
    most = 1 + (core.now_ms - begin_ms) // confirming.READ_INTERVAL_MS
    assert all(0 < reads <= most for reads in requested.values()), requested
    assert sent >= 100, sent


def a_gap_makes_the_history_incomplete_for_a_minute() -> None:
    """Guards against a version, or a move, that came and went unseen."""
    for topic in freshness.Topic:
        core = _core()
        _miss(core, topic, ms=MAX_UNSEEN_MS)
        core.confirm()
        assert _goes_on(core), topic
        _miss(core, topic, ms=MAX_UNSEEN_MS + 1)
        core.confirm()
        gap_ended_ms = core.now_ms
        assert not _goes_on(core), topic
        core.follow(for_ms=gap_ended_ms + LIFE_MS - 1_000 - core.now_ms)
        assert not _goes_on(core), topic
        core.follow(for_ms=1_000)
        assert _goes_on(core), topic


def a_copy_that_nothing_confirms_is_not_followed() -> None:
    """Guards against a daemon that takes a long silence for no change."""
    for topic in freshness.Topic:
        core = _core()
        _miss(core, topic, ms=MAX_UNSEEN_MS + 1)
        assert not _goes_on(core), topic


def the_history_row_ends_a_gap() -> None:
    """Guards against a row that is read too early, or never used."""
    core = _core()
    core.now_ms += MAX_UNSEEN_MS + 1
    # What happens until the cut has healed may be missing from the row.
    _read_history(core)
    assert not _goes_on(core)
    core.confirm()
    assert not _goes_on(core)
    _read_history(core)
    assert _goes_on(core)


def a_version_of_a_gap_counts_once_the_row_was_read() -> None:
    """Guards against a row that only says that nothing was missed."""
    core = _core()
    _miss(core, *freshness.Topic, ms=MAX_UNSEEN_MS + 1)
    core.confirm()
    _read_history(core, ("v2", 1_000))
    assert not _goes_on(core)
    core.follow(for_ms=LIFE_MS)
    assert _goes_on(core)


def a_new_daemon_knows_no_earlier_target_without_the_row() -> None:
    """Guards against a route that moved a moment before a daemon started."""
    core = routed_core.Core(servers=1, **routed_core.PLATFORM_POLICY)
    core.confirm()
    core.tell(inputs.MembersChanged, ("d", "p1"))
    for is_row_read in (False, True):
        if is_row_read:
            _read_history(core)
        core.now_ms += confirming.READ_INTERVAL_MS
        _take_up(core, f"a{is_row_read}")
        core.tell_named(
            inputs.StreamAnswered,
            request_id=f"a{is_row_read}~2",
            daemon="p1",
            knowledge=work.StreamKnowledge(
                is_known=False,
                version="",
                recent_versions=("v1",),
                is_complete=True,
            ),
        )
        core.end_reads(has_read=True)
        assert bool(core.find(effects.Dispatch)) == is_row_read


async def _resumes_after_gap(*, is_moved: bool) -> bool:
    """Returns whether a daemon resumes after a gap that another one saw."""
    away, back = (
        routed_core.route("long", target, streaming=True, resumable=True)
        for target in (routed_core.SERVICE, routed_core.ENGINES)
    )
    store = stream_history_cases.Store(ManualClock(LIFE_MS))
    other, late = (
        stream_history_cases.Daemon(
            store, "v1", routes=(back,), first=True, **fields
        )
        for fields in ({}, routed_core.PLATFORM_POLICY)
    )
    await other.settle()
    late.core.confirm()
    keeping = asyncio.create_task(late.history.keep_forever())
    try:
        await asyncio.sleep(SETTLE_S)
        assert _goes_on(late.core)
        for version, route in ((3, away), (4, back)) if is_moved else ():
            moved = routed_core.table(version, routes=(route,))
            other.core.tell(inputs.TableChanged, moved)
            await other.settle()
        store.clock.advance(by_ms=MAX_UNSEEN_MS + 1_000)
        late.core.now_ms = store.clock.now_ms()
        late.core.tell(
            inputs.TableChanged, routed_core.table(4, routes=(back,))
        )
        late.core.confirm()
        assert not _goes_on(late.core)
        late.history.check()
        await asyncio.sleep(SETTLE_S)
        return _goes_on(late.core)
    finally:
        keeping.cancel()


async def a_daemon_reads_the_row_again_after_a_gap() -> None:
    """Guards against streams refused for a minute after each short cut."""
    assert await _resumes_after_gap(is_moved=False)


async def a_move_and_back_within_a_gap_resumes_no_unknown_stream() -> None:
    """Guards against a row that tells where routes lead, not where they led."""
    assert not await _resumes_after_gap(is_moved=True)
