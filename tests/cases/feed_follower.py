"""Following the store's rows: which are applied, and until when they hold."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from unittest import mock

from result import Err, Ok

from godwittack.clock import ManualClock
from godwittack.daemon import feed_follower
from godwittack.member import freshness, staleness
from godwittack.store import protocol

START_MS = 100_000


class FakeFeed:
    """Answers calls from a list and records them."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.answers: list[tuple[int, object]] = []
        self.calls: list[str] = []

    def add_answer(self, answer, *, takes_ms: int = 4) -> None:
        """Adds an answer."""
        self.answers.append((takes_ms, answer))

    async def page(self, table, *, from_key):
        """Answers a call for a snapshot."""
        del from_key
        return self._next(f"snapshot {table}")

    async def changes(self, table, *, after, wait_ms):
        """Answers a call for changes."""
        del wait_ms
        return self._next(f"changes {table} {after}")

    def _next(self, call):
        self.calls.append(call)
        takes_ms, answer = self.answers.pop(0)
        self.clock.advance(by_ms=takes_ms)
        return answer


def page(version: int, *rows: tuple[str, str], clock_ms: int = 0, removed=()):
    """Returns a page with rows, all of that version."""
    changed_rows = [
        protocol.ChangedRow(key=key, value=value, version=version)
        for key, value in rows
    ]
    changed_rows += [
        protocol.ChangedRow(key=key, value="", version=version, deleted=True)
        for key in removed
    ]
    return Ok(
        protocol.FeedPage(
            rows=tuple(changed_rows),
            newest_version=version,
            service_ms=clock_ms,
        )
    )


def error(**fields):
    """Returns a failed call."""
    return Err(
        protocol.PlatformError(step="feed", peer="p", detail="test", **fields)
    )


class FollowerHarness:
    """A feed follower and what it published."""

    def __init__(
        self,
        *,
        is_reader: bool = True,
        has_peers: bool = False,
        limits: staleness.StalenessLimits = feed_follower.DEFAULT_LIMITS,
    ) -> None:
        self.clock = ManualClock(START_MS)
        self.feed = FakeFeed(self.clock)
        self.freshness = freshness.Freshness(topic=freshness.Topic.TABLE)
        self.published: list[dict[str, str]] = []
        self.confirmed: list[int] = []
        self.follower = feed_follower.FeedFollower(
            feed=self.feed,
            table="op",
            clock=self.clock,
            rng=random.Random(1),
            on_rows=lambda rows: self.published.append(
                {key: row.value for key, row in rows.items()}
            ),
            on_confirmed=self.confirmed.append,
            table_freshness=self.freshness if has_peers else None,
            is_reader=lambda: is_reader,
            limits=limits,
        )

    async def step(self, answer, *, takes_ms: int = 4) -> bool:
        """Makes one call that gets this answer."""
        self.feed.add_answer(answer, takes_ms=takes_ms)
        return await self.follower.step()


async def changes_are_merged_and_published() -> None:
    """Changed, new and removed rows are published as one whole table.

    Guards against a page of changes treated as the whole table, so that a
    removed route is still served or one is missing: a snapshot of two rows; one
    changes, one is removed.
    """
    harness = FollowerHarness()
    await harness.step(page(5, ("a", "1"), ("b", "1")))
    await harness.step(page(7, ("a", "2"), removed=("b",)))
    assert harness.published == [{"a": "1", "b": "1"}, {"a": "2"}], (
        harness.published
    )
    assert harness.feed.calls == ["snapshot op", "changes op 5"]


async def a_row_added_and_removed_unseen_advances_the_version() -> None:
    """A change that leaves the rows as they were still advances the version.

    Another writer added a row and removed it between two reads of this daemon.
    The rows were as before, so that the new version was not published; the
    active version stayed behind the one read, and no further answer of the
    store confirmed it until some other row changed. Keys would be refused once
    the last confirmation is too old.
    """
    harness = FollowerHarness()
    row_freshness = freshness.Freshness(topic=freshness.Topic.SERVERS)
    harness.follower._freshness = row_freshness
    harness.follower._on_rows = lambda rows: row_freshness.record_version(
        harness.follower.version
    )
    await harness.step(page(5, ("a", "1")))
    confirmed = len(harness.confirmed)
    await harness.step(page(7, removed=("b",)))
    assert row_freshness.version == 7
    assert len(harness.confirmed) == confirmed + 1


async def lost_history_leads_to_a_new_snapshot() -> None:
    """When the store has dropped its history, a snapshot is read.

    Guards against changes that are missed forever: the feed reports that the
    requested version is too old, and the same call was repeated.
    """
    harness = FollowerHarness()
    await harness.step(page(5, ("a", "1")))
    await harness.step(error(history_lost=True))
    await harness.step(page(9, ("b", "1")))
    assert harness.feed.calls[-1] == "snapshot op"
    assert harness.published[-1] == {"b": "1"}


async def a_stale_read_reverts_nothing() -> None:
    """A read older than the known version is ignored.

    Guards against a change that is reverted: version 7 is known, and a lagging
    replica answers with version 5. The last answer was applied and counted as a
    confirmation.
    """
    harness = FollowerHarness()
    await harness.step(page(7, ("a", "2")))
    confirmed = len(harness.confirmed)
    await harness.step(page(5, ("a", "1")))
    assert harness.published == [{"a": "2"}]
    assert len(harness.confirmed) == confirmed


async def a_long_poll_confirms_from_its_answer_on() -> None:
    """The store's clock dates the answer to a long poll.

    Guards against keys refused although the store has just confirmed them:
    after a quick snapshot, a call waits for 2 s, and the confirmation was dated
    from before the call.
    """
    harness = FollowerHarness()
    await harness.step(page(5, ("a", "1"), clock_ms=50_002))
    await harness.step(page(5, clock_ms=52_006), takes_ms=2_004)
    assert harness.confirmed == [START_MS, START_MS + 2_004], harness.confirmed


async def a_delayed_answer_is_dated_by_the_store_s_clock() -> None:
    """An answer delayed in transit confirms only the time it was made.

    Guards against a revoked key that is served past its time limit: the store
    answers at once, the answer arrives 3 s later, and was dated by its arrival.
    """
    harness = FollowerHarness()
    await harness.step(page(5, ("a", "1"), clock_ms=50_002))
    await harness.step(page(5, clock_ms=50_010), takes_ms=3_000)
    assert harness.confirmed[-1] <= START_MS + 10, harness.confirmed


async def the_feed_is_asked_after_a_late_snapshot() -> None:
    """A daemon that does not poll asks the feed after an older snapshot.

    Guards against a change that is missed while reads of rows lag: the last row
    is older than the history, and each snapshot is older than that row.
    """
    harness = FollowerHarness(is_reader=False)
    await harness.step(page(5, ("a", "1")))
    await harness.step(page(7, ("a", "2")))
    harness.clock.advance(by_ms=feed_follower.SNAPSHOT_INTERVAL_MS)
    assert not await harness.step(page(5, ("a", "1")))
    await harness.step(page(8, ("a", "3")))
    assert harness.feed.calls[-2:] == ["snapshot op", "changes op 7"]
    assert harness.published[-1] == {"a": "3"}, harness.published


async def a_row_that_cannot_be_decoded_is_asked_for_once() -> None:
    """Rows that are left out of an answer lead to a snapshot.

    Guards against calls without a pause: the feed repeats what came after the
    last row that was read.
    """
    harness = FollowerHarness()
    await harness.step(page(5, ("a", "1")))
    unreadable = protocol.FeedPage(rows=(), newest_version=7, dropped=1)
    await harness.step(Ok(unreadable))
    await harness.step(page(7, ("a", "1")))
    await harness.step(page(7))
    assert harness.feed.calls[-2:] == ["snapshot op", "changes op 7"], (
        harness.feed.calls
    )


async def an_outage_keeps_the_last_known_rows() -> None:
    """While the store is unavailable, the last rows stay active.

    Guards against an error treated as an empty table, so that everything is
    refused during an outage: calls fail, then the store returns unchanged.
    """
    harness = FollowerHarness()
    await harness.step(page(5, ("a", "1")))
    for _ in range(5):
        assert not await harness.step(error())
    await harness.step(page(5))
    assert harness.published == [{"a": "1"}]
    assert harness.follower.recovered_at_ms == harness.clock.now_ms()


async def daemons_that_are_not_readers_call_less_in_an_outage() -> None:
    """A daemon with rows backs off further than the readers.

    Guards against an outage in which all daemons call the store twice a second
    although the readers' calls are enough to notice its return.
    """
    reader = FollowerHarness()
    other = FollowerHarness(is_reader=False, has_peers=True)
    pauses = {}
    for name, harness in (("reader", reader), ("other", other)):
        await harness.step(page(5, ("a", "1")))
        pauses[name] = [harness.follower.next_pause_ms() for _ in range(6)]
    assert max(pauses["reader"]) <= 800, pauses
    assert sum(pauses["other"]) > 2 * sum(pauses["reader"]), pauses
    assert max(pauses["other"]) <= 3_200, pauses


async def a_daemon_without_rows_backs_off_no_further_than_a_reader() -> None:
    """A daemon that has just started keeps asking for its first rows.

    Guards against daemons that serve nobody for three seconds after the store
    has returned.
    """
    harness = FollowerHarness(is_reader=False, has_peers=True)
    await harness.step(error())
    pauses = [harness.follower.next_pause_ms() for _ in range(6)]
    assert max(pauses) <= 800, pauses


async def a_peer_with_a_newer_version_ends_the_pause_once() -> None:
    """A newer version that a peer reports ends a pause, but no later one.

    Guards against a change that is applied seconds late after an outage, and
    against a call without a pause for as long as the store turns this daemon
    away and serves its peers: one fleet made 20 times its usual calls.
    """
    harness = FollowerHarness(is_reader=False, has_peers=True)
    await harness.step(page(5, ("a", "1")))
    harness.freshness.record_version(5)
    await harness.step(error())
    failed_at_ms = harness.clock.now_ms()
    assert not harness.follower.may_end_pause(failed_at_ms=failed_at_ms)
    harness.clock.advance(by_ms=500)
    harness.freshness.record_newer_version(now_ms=harness.clock.now_ms())
    assert harness.follower.may_end_pause(failed_at_ms=failed_at_ms)
    await harness.step(error())
    failed_at_ms = harness.clock.now_ms()
    harness.freshness.record_confirmation(failed_at_ms - 3_000)
    assert not harness.follower.may_end_pause(failed_at_ms=failed_at_ms)


async def a_reader_keeps_its_pauses_beside_other_readers() -> None:
    """A reader that the store turns away waits, whatever others confirm.

    Guards against readers that call the store in a loop while it serves other
    daemons.
    """
    harness = FollowerHarness(has_peers=True)
    await harness.step(page(5, ("a", "1")))
    await harness.step(error())
    failed_at_ms = harness.clock.now_ms()
    harness.clock.advance(by_ms=50)
    harness.freshness.record_version(5)
    harness.freshness.record_confirmation(harness.clock.now_ms())
    assert not harness.follower.may_end_pause(failed_at_ms=failed_at_ms)


async def _calls_and_pauses(harness: FollowerHarness, *answers) -> list[str]:
    """Follows until the answers are used up; returns the calls and pauses."""
    for answer in answers:
        harness.feed.add_answer(answer)
    calls = harness.feed.calls

    async def sleep(delay_s: float) -> None:
        harness.clock.advance(by_ms=max(1, round(1_000 * delay_s)))
        if calls[-1] != "pause":
            calls.append("pause")

    with (
        mock.patch.object(asyncio, "sleep", sleep),
        contextlib.suppress(IndexError),
    ):
        await harness.follower.follow_forever()
    return calls


async def lost_history_is_followed_by_a_read_at_once() -> None:
    """A daemon that is not a reader does not pause before the snapshot.

    Guards against a change that is in force half a second late in just the
    disruption in which it can't come from peers: lost history counted as an
    answer, after which such daemons pause.
    """
    harness = FollowerHarness(is_reader=False, has_peers=True)
    calls = await _calls_and_pauses(
        harness, page(5, ("a", "1")), error(history_lost=True), page(9)
    )
    lost = calls.index("changes op 5")
    assert calls[lost + 1] == "snapshot op", calls


async def history_lost_again_is_a_failure() -> None:
    """A snapshot that the feed can't continue from is followed by a pause.

    Guards against a loop of calls: reads of rows lagged behind the history that
    was lost, so that each snapshot led to lost history again, 150 calls a
    second and daemon.
    """
    harness = FollowerHarness()
    await harness.step(page(5, ("a", "1")))
    await harness.step(error(history_lost=True))
    await harness.step(page(5, ("a", "1")))
    assert not await harness.step(error(history_lost=True)), harness.feed.calls


async def a_snapshot_after_lost_history_confirms_nothing_yet() -> None:
    """Rows read after lost history hold once the feed continues from them.

    Guards against old rows that count as the newest: reads of rows lagged, and
    each snapshot confirmed the rows of before the lost history.
    """
    harness = FollowerHarness()
    await harness.step(page(5, ("a", "1")))
    await harness.step(error(history_lost=True))
    confirmed = len(harness.confirmed)
    await harness.step(page(9, ("a", "2")))
    assert len(harness.confirmed) == confirmed, harness.confirmed
    await harness.step(page(9))
    assert len(harness.confirmed) == confirmed + 1, harness.confirmed


async def _follower_behind(*, peer_version: int) -> FollowerHarness:
    """Returns a follower of version 5 that knows a peer with a newer one."""
    harness = FollowerHarness(has_peers=True)
    await harness.step(page(5, ("a", "1")))
    harness.freshness.record_version(5)
    harness.freshness.apply_belief(
        freshness.Belief(freshness.Topic.TABLE, peer_version, age_ms=0),
        asked_at_ms=harness.clock.now_ms(),
        now_ms=harness.clock.now_ms(),
    )
    return harness


async def an_answer_older_than_a_peer_s_version_confirms_nothing() -> None:
    """The store's answer is no proof against a peer's newer version.

    Guards against old routes that count as the newest: the feed hears of no
    changes for a while, and answers without rows, with the version of before,
    while a peer has read a newer one.
    """
    harness = await _follower_behind(peer_version=7)
    confirmed = len(harness.confirmed)
    await harness.step(page(5))
    assert len(harness.confirmed) == confirmed, harness.confirmed


async def a_passed_version_without_its_rows_leads_to_a_snapshot() -> None:
    """Rows that the feed has left out are read.

    Guards against a change that is missed for good: a peer has version 7, the
    feed goes on to version 8 without its rows, and each further call asks for
    what came later.
    """
    harness = await _follower_behind(peer_version=7)
    await harness.step(page(8))
    await harness.step(page(8, ("a", "2")))
    assert harness.feed.calls[-1] == "snapshot op", harness.feed.calls


async def pages_of_different_versions_make_no_newest_table() -> None:
    """A change between two pages of a snapshot is in force after the feed.

    Guards against old rows under the newest number: row b of version 7 is on
    the second page, row a of version 6 was read on the first before it changed.
    The table counted as version 7, so that the whole one, of version 7 as well,
    was not newer.
    """
    harness = FollowerHarness()
    built: list[tuple[int, dict[str, str]]] = []
    harness.follower._on_rows = lambda rows: built.append(
        (
            harness.follower.version,
            {key: row.value for key, row in rows.items()},
        )
    )
    first = page(5, ("a", "1")).ok_value
    harness.feed.add_answer(Ok(dataclasses.replace(first, next_key="b")))
    await harness.step(page(7, ("b", "2")))
    versions_before = [version for version, _ in built]
    feed_rows = (
        *page(6, ("a", "2")).ok_value.rows,
        *page(7, ("b", "2")).ok_value.rows,
    )
    whole = dataclasses.replace(page(7).ok_value, rows=feed_rows)
    await harness.step(Ok(whole))
    assert built[-1] == (7, {"a": "2", "b": "2"}), built
    assert all(version < 7 for version in versions_before), built
