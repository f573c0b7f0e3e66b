"""The store's rows: what is believed of them, and until when."""

from __future__ import annotations

import random

from result import Err, Ok

from godwittack.clock import ManualClock
from godwittack.daemon import feed_follower
from godwittack.member import freshness
from godwittack.store import protocol

START_MS = 100_000


class FakeFeed:
    """Answers calls from a list; keeps what was asked."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.answers: list[tuple[int, object]] = []
        self.asked: list[str] = []

    def then(self, answer, *, takes_ms: int = 4) -> None:
        """Adds an answer."""
        self.answers.append((takes_ms, answer))

    async def page(self, table, *, from_key):
        """Answers a reading."""
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
    """Returns a call that brought nothing."""
    return Err(
        protocol.PlatformError(step="feed", peer="p", detail="test", **fields)
    )


class Followed:
    """A follower with what it told."""

    def __init__(self) -> None:
        self.clock = ManualClock(START_MS)
        self.feed = FakeFeed(self.clock)
        self.told: list[dict[str, str]] = []
        self.confirmed: list[int] = []
        self.follower = feed_follower.FeedFollower(
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


async def changes_are_merged_and_told() -> None:
    """Rows that change, come and go are told whole.

    Symptom: a route that was dropped is served on, or one is missing.
    Sequence: a snapshot of two rows; one changes, one goes.
    Cause: a page of changes taken for the whole table.
    """
    case = Followed()
    await case.step(page(5, ("a", "1"), ("b", "1")))
    await case.step(page(7, ("a", "2"), gone=("b",)))
    assert case.told == [{"a": "1", "b": "1"}, {"a": "2"}], case.told
    assert case.feed.asked == ["snapshot op", "changes op 5"]


async def a_row_made_and_removed_unseen_is_a_version() -> None:
    """What the store has done with a row nobody here saw counts as read.

    Another writer made a row and removed it while this daemon did not read.
    The rows were as before, so that nobody was told of the new version; the
    version in force stayed behind the one read, and none of the store's
    answers confirmed it any more, until some other row changed. Keys would
    be refused once the last confirmation is too old.
    """
    case = Followed()
    known = freshness.Freshness(topic=freshness.Topic.SERVERS)
    case.follower._freshness = known
    case.follower._on_rows = lambda rows: known.record_version(
        case.follower.version
    )
    await case.step(page(5, ("a", "1")))
    confirmed = len(case.confirmed)
    await case.step(page(7, gone=("b",)))
    assert known.version == 7
    assert len(case.confirmed) == confirmed + 1


async def lost_history_is_read_anew() -> None:
    """Where the store has forgotten its history, a snapshot follows.

    Symptom: changes are missed for good.
    Sequence: the feed says that the version asked for is too old.
    Cause: the call repeated as it was.
    """
    case = Followed()
    await case.step(page(5, ("a", "1")))
    await case.step(error(history_lost=True))
    await case.step(page(9, ("b", "1")))
    assert case.feed.asked[-1] == "snapshot op"
    assert case.told[-1] == {"b": "1"}


async def a_stale_reading_takes_nothing_back() -> None:
    """A reading older than what is known is left out.

    Symptom: a change that was in force goes back.
    Sequence: version 7 is known; a lagging copy answers with version 5.
    Cause: whatever came last was believed, and called a confirmation.
    """
    case = Followed()
    await case.step(page(7, ("a", "2")))
    confirmed = len(case.confirmed)
    await case.step(page(5, ("a", "1")))
    assert case.told == [{"a": "2"}]
    assert len(case.confirmed) == confirmed


async def a_long_call_confirms_from_its_answer_on() -> None:
    """The store's clock dates an answer that was waited for.

    Symptom: keys refused although the store has just confirmed them.
    Sequence: a quick snapshot; a call that waits for 2 s.
    Cause: the confirmation counted from before the call.
    """
    case = Followed()
    await case.step(page(5, ("a", "1"), clock_ms=50_002))
    await case.step(page(5, clock_ms=52_006), takes_ms=2_004)
    assert case.confirmed == [START_MS, START_MS + 2_004], case.confirmed


async def an_answer_that_was_held_up_confirms_less() -> None:
    """An answer delayed on its way is as old as it is.

    Symptom: a key taken away is served beyond its bound.
    Sequence: the store answers at once, the answer arrives 3 s later.
    Cause: the time of arrival taken for the time of the answer.
    """
    case = Followed()
    await case.step(page(5, ("a", "1"), clock_ms=50_002))
    await case.step(page(5, clock_ms=50_010), takes_ms=3_000)
    assert case.confirmed[-1] <= START_MS + 10, case.confirmed


async def an_outage_keeps_what_is_known() -> None:
    """While the store is away, the last rows stay in force.

    Symptom: everything is refused during an outage of the store.
    Sequence: calls fail; the store comes back unchanged.
    Cause: an error taken for an empty table.
    """
    case = Followed()
    await case.step(page(5, ("a", "1")))
    for _ in range(5):
        assert not await case.step(error())
    await case.step(page(5))
    assert case.told == [{"a": "1"}]
    assert case.follower.recovered_at_ms == case.clock.now_ms()
