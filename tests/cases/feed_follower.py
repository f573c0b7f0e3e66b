"""Following the store's rows: which are applied, and until when they hold."""

from __future__ import annotations

import random

from result import Err, Ok

from godwittack.clock import ManualClock
from godwittack.daemon import following
from godwittack.member import freshness
from godwittack.store import protocol

START_MS = 100_000


class FakeFeed:
    """Answers calls from a list and records them."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.answers: list[tuple[int, object]] = []
        self.asked: list[str] = []

    def then(self, answer, *, takes_ms: int = 4) -> None:
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

    def _next(self, asked):
        self.asked.append(asked)
        takes_ms, answer = self.answers.pop(0)
        self.clock.advance(by_ms=takes_ms)
        return answer


def page(newest: int, *rows: tuple[str, str], clock_ms: int = 0, gone=()):
    """Returns a page with rows, all of that version."""
    changed = [
        protocol.ChangedRow(key=key, value=value, version=newest)
        for key, value in rows
    ]
    changed += [
        protocol.ChangedRow(key=key, value="", version=newest, deleted=True)
        for key in gone
    ]
    return Ok(
        protocol.FeedPage(
            rows=tuple(changed), newest_version=newest, service_ms=clock_ms
        )
    )


def error(**fields):
    """Returns a failed call."""
    return Err(
        protocol.PlatformError(step="feed", peer="p", detail="test", **fields)
    )


class Followed:
    """A feed follower and what it published."""

    def __init__(self) -> None:
        self.clock = ManualClock(START_MS)
        self.feed = FakeFeed(self.clock)
        self.told: list[dict[str, str]] = []
        self.confirmed: list[int] = []
        self.follower = following.RowsFollower(
            feed=self.feed,
            table="op",
            clock=self.clock,
            rng=random.Random(1),
            wait_ms=2_000,
            on_rows=lambda rows: self.told.append(
                {key: row.value for key, row in rows.items()}
            ),
            on_confirmed=self.confirmed.append,
        )

    async def step(self, answer, *, takes_ms: int = 4) -> bool:
        """Makes one call that gets this answer."""
        self.feed.then(answer, takes_ms=takes_ms)
        return await self.follower.step()


async def changes_are_merged_and_published() -> None:
    """Changed, new and removed rows are published as one whole table.

    Guards against a page of changes treated as the whole table, so that a
    removed route is still served or one is missing: a snapshot of two rows; one
    changes, one is removed.
    """
    case = Followed()
    await case.step(page(5, ("a", "1"), ("b", "1")))
    await case.step(page(7, ("a", "2"), gone=("b",)))
    assert case.told == [{"a": "1", "b": "1"}, {"a": "2"}], case.told
    assert case.feed.asked == ["snapshot op", "changes op 5"]


async def a_row_added_and_removed_unseen_advances_the_version() -> None:
    """A change that leaves the rows as they were still advances the version.

    Another writer added a row and removed it between two reads of this daemon.
    The rows were as before, so that the new version was not published; the
    active version stayed behind the one read, and no further answer of the
    store confirmed it until some other row changed. Keys would be refused once
    the last confirmation is too old.
    """
    case = Followed()
    known = freshness.Freshness(topic=freshness.Topic.SERVERS)
    case.follower._known = known
    case.follower._on_rows = lambda rows: known.record_version(
        case.follower.version
    )
    await case.step(page(5, ("a", "1")))
    confirmed = len(case.confirmed)
    await case.step(page(7, gone=("b",)))
    assert known.version == 7
    assert len(case.confirmed) == confirmed + 1


async def lost_history_leads_to_a_new_snapshot() -> None:
    """When the store has dropped its history, a snapshot is read.

    Guards against changes that are missed for good: the feed reports that the
    requested version is too old, and the same call was repeated.
    """
    case = Followed()
    await case.step(page(5, ("a", "1")))
    await case.step(error(history_lost=True))
    await case.step(page(9, ("b", "1")))
    assert case.feed.asked[-1] == "snapshot op"
    assert case.told[-1] == {"b": "1"}


async def a_stale_read_reverts_nothing() -> None:
    """A read older than the known version is ignored.

    Guards against a change that is reverted: version 7 is known, and a lagging
    replica answers with version 5. The last answer was applied and counted as a
    confirmation.
    """
    case = Followed()
    await case.step(page(7, ("a", "2")))
    confirmed = len(case.confirmed)
    await case.step(page(5, ("a", "1")))
    assert case.told == [{"a": "2"}]
    assert len(case.confirmed) == confirmed


async def a_long_poll_confirms_from_its_answer_on() -> None:
    """The store's clock dates the answer to a long poll.

    Guards against keys refused although the store has just confirmed them:
    after a quick snapshot, a call waits for 2 s, and the confirmation was dated
    from before the call.
    """
    case = Followed()
    await case.step(page(5, ("a", "1"), clock_ms=50_002))
    await case.step(page(5, clock_ms=52_006), takes_ms=2_004)
    assert case.confirmed == [START_MS, START_MS + 2_004], case.confirmed


async def a_delayed_answer_is_dated_by_the_store_s_clock() -> None:
    """An answer delayed in transit confirms only the time it was made.

    Guards against a revoked key that is served past its time limit: the store
    answers at once, the answer arrives 3 s later, and was dated by its arrival.
    """
    case = Followed()
    await case.step(page(5, ("a", "1"), clock_ms=50_002))
    await case.step(page(5, clock_ms=50_010), takes_ms=3_000)
    assert case.confirmed[-1] <= START_MS + 10, case.confirmed


async def an_outage_keeps_the_last_known_rows() -> None:
    """While the store is unavailable, the last rows stay active.

    Guards against an error treated as an empty table, so that everything is
    refused during an outage: calls fail, then the store returns unchanged.
    """
    case = Followed()
    await case.step(page(5, ("a", "1")))
    for _ in range(5):
        assert not await case.step(error())
    await case.step(page(5))
    assert case.told == [{"a": "1"}]
    assert case.follower.recovered_at_ms == case.clock.now_ms()
