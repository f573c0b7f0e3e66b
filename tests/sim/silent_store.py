"""A follower of a store whose feed falls silent, on virtual time."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import random

from result import Err, Ok

from godwittack.daemon import feed_follower
from godwittack.member import freshness, staleness
from godwittack.store import protocol
from sim import loop as loops

SESSION_S = 12.0
SILENCE_S = staleness.FEED_SILENCE_MS / 1000
CALL_TIMEOUT_S = 0.6
# A confirmation is dated by the store's clock, which is read in whole ms.
ROUNDING_MS = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What a session is made of.

    Attributes:
        silences_s: When each second without news begins; the history is lost
            at its end.
        is_held_answered: Whether calls that wait are answered without rows as a
            silence ends, not reset.
        longest_delay_s: Longest way of a call, or of its answer.
        reads: Reads beside the calls of the follower.
    """

    silences_s: tuple[float, ...]
    is_held_answered: bool
    longest_delay_s: float
    reads: int

    @classmethod
    def drawn(cls, rng: random.Random) -> Plan:
        """Returns a plan by chance."""
        first_s = rng.uniform(1.0, 4.0)
        silences_s = [first_s]
        if rng.random() < 0.4:
            silences_s.append(first_s + rng.uniform(1.0, 4.0))
        return cls(
            silences_s=tuple(silences_s),
            is_held_answered=rng.random() < 0.5,
            longest_delay_s=rng.choice((0.003, 0.05, 0.35)),
            reads=rng.choice((0, 3, 12)),
        )


class SilentStore:
    """Implements `RowFeed`; answers in a silence name the newest version."""

    def __init__(self, plan: Plan, rng: random.Random) -> None:
        self._plan = plan
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()
        self.version = 1
        self.acknowledged: list[tuple[float, protocol.ChangedRow]] = [
            (self._started_s, _row(1))
        ]
        self._lost_up_to = 0
        self._changed = asyncio.Event()

    def write(self, *, is_other_table: bool) -> None:
        """Commits a change."""
        self.version += 1
        if not is_other_table:
            row = _row(self.version)
            self.acknowledged.append((self._loop.time(), row))
        self._wake()

    def end_silence(self) -> None:
        """Loses the history, and wakes the calls that wait."""
        self._lost_up_to = self.version
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def page(self, table, *, from_key):
        """Answers with all rows."""
        del table, from_key
        return await self._call(self._snapshot(), limit_s=CALL_TIMEOUT_S)

    async def changes(self, table, *, after, wait_ms):
        """Answers with changes once there are any."""
        del table
        return await self._call(
            self._changes(after, wait_ms / 1000),
            limit_s=CALL_TIMEOUT_S + wait_ms / 1000,
        )

    async def _call(self, answer, *, limit_s: float):
        try:
            async with asyncio.timeout(limit_s):
                await self._delay()
                page = await answer
                await self._delay()
                return page
        except TimeoutError:
            return _failed("no answer in time")
        finally:
            answer.close()

    async def _delay(self) -> None:
        await asyncio.sleep(
            self._rng.uniform(0.001, self._plan.longest_delay_s)
        )

    async def _snapshot(self):
        return self._page(self.acknowledged[-1][1])

    async def _changes(self, after: int, wait_s: float):
        ends_s = self._loop.time() + wait_s
        if after < self._lost_up_to:
            return _failed("status 410", history_lost=True)
        while True:
            changed = self._changed
            newest = self._newest_heard()
            if newest.version > after:
                return self._page(newest)
            left_s = ends_s - self._loop.time()
            if left_s <= 0:
                return self._page()
            await asyncio.wait(
                [asyncio.ensure_future(changed.wait())], timeout=left_s
            )
            if after < self._lost_up_to:
                if self._plan.is_held_answered:
                    return self._page()
                return _failed("reset")

    def _newest_heard(self) -> protocol.ChangedRow:
        """Returns the newest row that the feed has heard of."""
        now_s = self._loop.time() - self._started_s
        begun_s = [
            starts_s
            for starts_s in self._plan.silences_s
            if starts_s <= now_s < starts_s + SILENCE_S
        ]
        heard = [
            row
            for at_s, row in self.acknowledged
            if not begun_s or at_s - self._started_s < min(begun_s)
        ]
        return heard[-1]

    def _page(self, *rows: protocol.ChangedRow):
        return Ok(
            protocol.FeedPage(
                rows=rows,
                newest_version=self.version,
                service_ms=round(self._loop.time() * 1000) - 500_000,
            )
        )


class Session:
    """Follows a table while it changes, and collects false confirmations."""

    def __init__(self, seed: int) -> None:
        self.plan = Plan.drawn(random.Random(seed))
        self.false: list[str] = []
        self._rng = random.Random(seed)

    def play(self) -> list[str]:
        """Returns the confirmations of rows that were not the newest."""
        loops.run(self._play())
        return self.false

    async def _play(self) -> None:
        loop = asyncio.get_running_loop()
        clock = loops.LoopClock(loop)
        store = SilentStore(self.plan, self._rng)
        copy = freshness.Freshness(topic=freshness.Topic.TABLE)
        values: list[str] = [""]
        is_reader = True

        def apply(rows) -> None:
            values[0] = rows["config"].value
            copy.record_version(follower.version)

        def check(as_of_ms: int) -> None:
            copy.record_confirmation(as_of_ms)
            shown_s = (as_of_ms - staleness.FEED_SILENCE_MS - ROUNDING_MS) / 1e3
            seen = [row for at_s, row in store.acknowledged if at_s <= shown_s]
            value = seen[-1].value if seen else ""
            if value and int(values[0][1:]) < int(value[1:]):
                self.false.append(
                    f"{values[0]} confirmed as of {as_of_ms}, {value} before"
                )

        follower = feed_follower.FeedFollower(
            feed=store,
            table="op",
            clock=clock,
            rng=self._rng,
            on_rows=apply,
            on_confirmed=check,
            table_freshness=copy,
            is_reader=lambda: is_reader,
            limits=staleness.StalenessLimits.from_bound(3_000, poll_ms=1_000),
        )
        following = asyncio.ensure_future(follower.follow_forever())
        for at_s, event in self._events(store, follower):
            await asyncio.sleep(max(0.0, 1000.0 + at_s - loop.time()))
            if event == "role":
                is_reader = not is_reader
            elif callable(event):
                event()
        following.cancel()

    def _events(self, store: SilentStore, follower):
        """Returns what happens, by the time since the start."""
        rng, plan = self._rng, self.plan
        reads: set[asyncio.Task[bool]] = set()

        def read() -> None:
            reads.add(asyncio.ensure_future(follower.read_now()))

        events = [(SESSION_S, None)]
        for starts_s in plan.silences_s:
            ends_s = starts_s + SILENCE_S
            events.append((ends_s, store.end_silence))
            for _ in range(rng.randint(1, 2)):
                events.append(
                    (
                        rng.uniform(starts_s, ends_s),
                        lambda: store.write(is_other_table=False),
                    )
                )
            for _ in range(plan.reads):
                events.append((rng.uniform(starts_s - 1, ends_s + 1), read))
            if rng.random() < 0.3:
                events.append((rng.uniform(starts_s - 1, ends_s), "role"))
        for is_other_table in rng.choices((True, True, False), k=8):
            change = functools.partial(
                store.write, is_other_table=is_other_table
            )
            events.append((rng.uniform(0.1, 8.0), change))
        return sorted(events, key=lambda event: event[0])


def _row(version: int) -> protocol.ChangedRow:
    return protocol.ChangedRow(
        key="config", value=f"v{version}", version=version
    )


def _failed(detail: str, *, history_lost: bool = False):
    return Err(
        protocol.PlatformError(
            step="feed", peer="store", detail=detail, history_lost=history_lost
        )
    )


__all__ = ["Plan", "Session", "SilentStore"]
