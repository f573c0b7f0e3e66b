"""Following the store's rows: which are applied, and until when they hold."""

from __future__ import annotations

import random

from result import Err, Ok

from godwittack.clock import ManualClock
from godwittack.daemon import feed_follower
from godwittack.member import freshness
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
        self, *, is_reader: bool = True, has_peers: bool = False
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
            wait_ms=2_000,
            on_rows=lambda rows: self.published.append(
                {key: row.value for key, row in rows.items()}
            ),
            on_confirmed=self.confirmed.append,
            table_freshness=self.freshness if has_peers else None,
            is_reader=lambda: is_reader,
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
