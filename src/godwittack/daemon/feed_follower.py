"""Keeps a copy of one table of the store by its change feed and snapshots."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from absl import logging
from result import Err, Ok

from godwittack.daemon import answer_dating
from godwittack.member import assignment, freshness, staleness

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from godwittack.clock import Clock
    from godwittack.store import protocol

# Backoff after a failed call, doubled up to the maximum: the recovery of the
# store is noticed within a second without calling it in a tight loop.
RETRY_FIRST_MS = 100
RETRY_MAX_MS = 800
# The same for daemons that are not readers, up to the age at which they read by
# themselves. Together they made most of the calls during an outage; readers
# notice the recovery and confirm it to them.
NON_READER_RETRY_FIRST_MS = 400
# A feed may become stale without an error, so readers also take a snapshot. It
# is shorter than stores keep their history.
SNAPSHOT_INTERVAL_MS = 15_000
# Pause before the next snapshot where one was older than the rows.
STALE_SNAPSHOT_RETRY_MS = 1_000
CHECK_INTERVAL_MS = 100
# Limits of a table whose changes have no bound of their own.
DEFAULT_LIMITS = staleness.StalenessLimits.from_bound(3_000, poll_ms=1_000)
# How long the store may hold a call of a daemon that is not a reader, which
# needs the current state without waiting for changes.
NON_READER_WAIT_MS = 1
# Pause between two such calls, for example before the operators' first table.
NON_READER_INTERVAL_MS = 500

Rows = dict[str, "protocol.ChangedRow"]


class FeedFollower:
    """Keeps the rows of one table up to date by its feed and snapshots.

    Attributes:
        rows: Rows by key, as last read.
        version: Newest version of a row, including removed rows.
        failing_since_ms: Since when calls to the store fail; -1 while they
            succeed.
        recovered_at_ms: When calls last succeeded again after a failure.
    """

    def __init__(
        self,
        *,
        feed: protocol.RowFeed,
        table: str,
        clock: Clock,
        rng: random.Random,
        on_rows: Callable[[Mapping[str, protocol.ChangedRow]], None],
        on_confirmed: Callable[[int], None] = lambda as_of_ms: None,
        table_freshness: freshness.Freshness | None = None,
        is_reader: Callable[[], bool] = lambda: True,
        rank: Callable[[], int] = lambda: 0,
        limits: staleness.StalenessLimits = DEFAULT_LIMITS,
    ) -> None:
        """Calls `on_rows` on changes.

        Args:
            feed: Change feed of the store.
            table: Table to follow.
            clock: Source of time.
            rng: Spreads retries.
            on_rows: Called with all rows after a change.
            on_confirmed: Called with the time at which the rows were last
                known to be the newest.
            table_freshness: Freshness of the rows as reported by peers.
            is_reader: Returns whether this daemon polls the store
                continuously.
            rank: Returns the position of this daemon among those that may read
                the store for others.
            limits: How old the rows may become.
        """
        self.rows: Rows = {}
        self.failing_since_ms = -1
        self.recovered_at_ms = -1_000_000
        self._feed = feed
        self._table = table
        self._clock = clock
        self._rng = rng
        self._on_rows = on_rows
        self._on_confirmed = on_confirmed
        self._freshness = table_freshness
        self._is_reader = is_reader
        self._rank = rank
        self._limits = limits
        self.version = 0
        self._feed_version = 0
        self._snapshot_at_ms = -SNAPSHOT_INTERVAL_MS
        self._needs_snapshot = True
        # Set until the feed continues after lost history: rows that were read
        # meanwhile may be older than what was lost.
        self._is_history_lost = False
        # When the call was made that set the position in the feed.
        self._position_at_ms = -SNAPSHOT_INTERVAL_MS
        self._reading: asyncio.Task[bool] | None = None
        self._retry_ms = RETRY_FIRST_MS
        self._dating = answer_dating.AnswerDating(clock)

    @property
    def read_version(self) -> int:
        """Newest version of the store up to which the rows were read."""
        return max(self.version, self._feed_version)

    async def follow_forever(self) -> None:
        """Follows until cancelled."""
        try:
            while True:
                await self._follow_once()
        finally:
            if self._reading is not None:
                self._reading.cancel()

    async def _follow_once(self) -> None:
        if self.can_skip_read():
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
        elif not await self.step():
            await self._pause_after_failure()
        elif not (
            self._is_reader() or self._must_continue() or self.can_skip_read()
        ):
            pause_ms = min(NON_READER_INTERVAL_MS, self._limits.behind_ms)
            await asyncio.sleep(pause_ms / 1000)

    def _must_continue(self) -> bool:
        """Returns whether the rows are known to be incomplete."""
        return self._needs_snapshot or self._is_history_lost

    async def _pause_after_failure(self) -> None:
        """Waits until the next call, or until a peer makes it worthwhile."""
        failed_at_ms = self._clock.now_ms()
        ends_ms = failed_at_ms + self.next_pause_ms()
        while (left_ms := ends_ms - self._clock.now_ms()) > 0:
            if self.may_end_pause(failed_at_ms=failed_at_ms):
                return
            await asyncio.sleep(min(left_ms, CHECK_INTERVAL_MS) / 1000)

    def next_pause_ms(self) -> float:
        """Returns the pause after a failed call, and doubles the next one.

        A daemon without any rows can't serve yet, and pauses no longer than a
        reader.
        """
        first_ms, max_ms = RETRY_FIRST_MS, RETRY_MAX_MS
        if not self._is_reader() and not self._needs_snapshot:
            first_ms, max_ms = (
                NON_READER_RETRY_FIRST_MS,
                max(NON_READER_RETRY_FIRST_MS, self._limits.own_read_ms),
            )
        pause_ms = min(max_ms, max(first_ms, self._retry_ms))
        self._retry_ms = min(max_ms, 2 * pause_ms)
        return pause_ms * self._rng.uniform(0.5, 1.0)

    def may_end_pause(self, *, failed_at_ms: int) -> bool:
        """Returns whether a peer's news ends the pause after a failed call.

        Only news from after the call count: the store may turn this daemon away
        and serve its peers, and each of their confirmations would cause a call.

        Args:
            failed_at_ms: When the call failed.
        """
        if self._is_reader() or self._freshness is None:
            return False
        has_newer_version = self._freshness.behind_since_ms > failed_at_ms
        return has_newer_version or self.can_skip_read()

    def can_skip_read(self) -> bool:
        """Returns whether peers confirmed the rows recently enough."""
        table_freshness = self._freshness
        if table_freshness is None or self._is_reader():
            return False
        if self._must_continue():
            return False
        now_ms = self._clock.now_ms()
        behind = table_freshness.behind_since_ms >= 0
        if behind and (
            now_ms - table_freshness.behind_since_ms >= self._limits.behind_ms
        ):
            return False
        own_read_age_ms = self._limits.own_read_age_ms(
            self._rank(), readers=assignment.STORE_READER_COUNT
        )
        return now_ms - table_freshness.confirmed_at_ms < own_read_age_ms

    async def read_now(self, *, must_read_all: bool = False) -> bool:
        """Reads the newest rows at once, also beside a call that waits.

        Calls at the same time share one read.

        Args:
            must_read_all: Whether to read all rows. The feed does not show that
                nothing changed in the last `staleness.FEED_SILENCE_MS`.

        Returns:
            Whether the rows are those of the store at some time since the
            call; without reading all of them, at most
            `staleness.FEED_SILENCE_MS` before it.
        """
        if self._reading is None:
            self._reading = asyncio.create_task(
                self._read_newest(must_read_all=must_read_all)
            )
            self._reading.add_done_callback(self._forget_read)
        return await asyncio.shield(self._reading)

    def _forget_read(self, reading: asyncio.Task[bool]) -> None:
        del reading
        self._reading = None

    async def _read_newest(self, *, must_read_all: bool) -> bool:
        """Reads all rows if asked to, or if their history is lost."""
        if not must_read_all and not self._needs_snapshot:
            if not await self.step(wait_ms=NON_READER_WAIT_MS):
                return False
            if not self._needs_snapshot:
                return self._is_confirmed()
        if not await self.step(must_read_all=True):
            return False
        if self._is_history_lost:
            await self.step(wait_ms=NON_READER_WAIT_MS)
        return self._is_confirmed()

    async def step(
        self, *, must_read_all: bool = False, wait_ms: int = 0
    ) -> bool:
        """Makes one call; returns whether it succeeded.

        Args:
            must_read_all: Whether to read all rows, not only changes.
            wait_ms: How long the store may hold the call; 0 for the usual time.
        """
        started_ms = self._clock.now_ms()
        after = self._feed_version
        is_snapshot = must_read_all or self._must_read_all(started_ms)
        if is_snapshot:
            result = await self._snapshot()
        else:
            result = await self._feed.changes(
                self._table,
                after=after,
                wait_ms=wait_ms or self._usual_wait_ms(),
            )
        if isinstance(result, Err):
            if after < self._feed_version:
                # Another call has succeeded in the meantime.
                logging.info(
                    "event=store_failure_dropped table=%s after=%d"
                    " position=%d history_lost=%d detail=%r",
                    self._table,
                    after,
                    self._feed_version,
                    result.err_value.history_lost,
                    result.err_value.detail,
                )
                return True
            return self._record_failure(result.err_value)
        self._record_answer()
        page = result.ok_value
        if after <= page.newest_version < self._feed_version:
            # Another call has brought newer rows in the meantime.
            return True
        if self._is_stale(page, is_snapshot=is_snapshot):
            # The feed is polled before a snapshot is due again.
            self._snapshot_at_ms = self._position_at_ms = (
                started_ms - SNAPSHOT_INTERVAL_MS + STALE_SNAPSHOT_RETRY_MS
            )
            return False
        if is_snapshot:
            self._snapshot_at_ms = started_ms
            # An empty table has a state as well.
            self.version = max(1, self.version)
        self._apply(page, started_ms, is_snapshot=is_snapshot)
        if not is_snapshot:
            self._is_history_lost = False
            # The feed has passed a version that a peer has, and its rows were
            # not among the changes.
            if self._is_behind() and page.newest_version >= (
                self._newest_known()
            ):
                self._needs_snapshot = True
        if not self._is_history_lost:
            self._retry_ms = RETRY_FIRST_MS
        if self._is_confirmed():
            self._on_confirmed(self._dating.as_of_ms(page, started_ms))
        return True

    def _newest_known(self) -> int:
        """Returns the newest version that any daemon is known to have."""
        if self._freshness is None:
            return 0
        return max(self._freshness.version, self._freshness.heard_version)

    def _is_behind(self) -> bool:
        return self.version < self._newest_known()

    def _is_confirmed(self) -> bool:
        """Returns whether an answer shows that the active rows are the newest.

        It does not where the newest rows could not be decoded: the active rows
        are then not those that the store confirms.
        """
        if self._is_history_lost or self._is_behind():
            return False
        return (
            self._freshness is None or self._freshness.version >= self.version
        )

    def _must_read_all(self, now_ms: int) -> bool:
        """Returns whether to read all rows, and not only changes.

        A position that is not moved may be older than the store's history.
        """
        read_at_ms = (
            self._snapshot_at_ms if self._is_reader() else self._position_at_ms
        )
        is_due = now_ms - read_at_ms >= SNAPSHOT_INTERVAL_MS
        return self._needs_snapshot or is_due

    def _usual_wait_ms(self) -> int:
        return self._limits.poll_ms if self._is_reader() else NON_READER_WAIT_MS

    def _is_stale(self, page: protocol.FeedPage, *, is_snapshot: bool) -> bool:
        """Returns whether a page is older than rows that are already known.

        Applied, it would revert rows that the store has acknowledged. Changes
        that are newer than the rows here are applied also if a peer has newer
        ones; a snapshot would be taken for the peer's version.
        """
        known = self._feed_version
        if is_snapshot:
            known = max(known, self._newest_known())
        # The first version of a table is that of an empty store as well.
        if max(1, page.newest_version) >= known:
            return False
        logging.info(
            "event=store_read_stale table=%s newest=%d known=%d",
            self._table,
            page.newest_version,
            known,
        )
        return True

    async def _snapshot(self) -> protocol.PlatformResult[protocol.FeedPage]:
        """Reads all rows.

        Where they take several pages, the feed, which continues from the first
        page's version, repeats the changes made between them.
        """
        result = await self._feed.page(self._table, from_key="")
        if isinstance(result, Err) or not result.ok_value.next_key:
            return result
        first = result.ok_value
        rows = list(first.rows)
        while result.ok_value.next_key:
            result = await self._feed.page(
                self._table, from_key=result.ok_value.next_key
            )
            if isinstance(result, Err):
                return result
            rows.extend(result.ok_value.rows)
        return Ok(dataclasses.replace(first, rows=tuple(rows), next_key=""))

    def _apply(
        self, page: protocol.FeedPage, started_ms: int, *, is_snapshot: bool
    ) -> None:
        before, version_before = self.rows, self.version
        rows: Rows = {} if is_snapshot else dict(before)
        if is_snapshot:
            # A peer's version may be that of a row that was removed since.
            self.version = max(self.version, self._newest_known())
        for row in page.rows:
            # Later pages may have rows that are newer than the first page. The
            # feed repeats them with what else changed by then; until then the
            # rows are those of the first page's version.
            self.version = max(
                self.version, min(row.version, page.newest_version)
            )
            if row.deleted:
                rows.pop(row.key, None)
            else:
                rows[row.key] = row
        if is_snapshot and version_before:
            self._number_snapshot(rows, page, version_before)
        self.rows = rows
        self._advance(page, started_ms, is_snapshot=is_snapshot)
        if is_snapshot:
            self._needs_snapshot = False
        # A row may have been added and removed between two calls. If it were
        # not reported, its version would be read but never active, and no
        # answer would confirm the active one: keys would be refused, and no
        # daemon could skip a call.
        is_newer = self.version > version_before
        if is_newer:
            logging.info(
                "event=rows_read table=%s version=%d before=%d store=%d how=%s",
                self._table,
                self.version,
                version_before,
                page.newest_version,
                "snapshot" if is_snapshot else "feed",
            )
        if rows != before or is_newer or (is_snapshot and not before):
            self._on_rows(rows)

    def _number_snapshot(
        self, rows: Rows, page: protocol.FeedPage, version_before: int
    ) -> None:
        """Gives rows that the feed left out a newer version.

        A removed row has no version in a snapshot, and one that was missed has
        an older version than the rows that the feed did bring. By the number of
        the newest row, neither would be new to the core or to other daemons.
        """
        is_removed = bool(self.rows.keys() - rows.keys())
        is_missed = rows != self.rows and self.version == version_before
        if is_removed or is_missed:
            self.version = max(self.version, page.newest_version)

    def _advance(
        self, page: protocol.FeedPage, started_ms: int, *, is_snapshot: bool
    ) -> None:
        """Continues the feed after the last row that was read.

        An answer names the newest version of all tables, and may leave out
        changes that were just made: a change that the position passes is missed
        until the next snapshot, and each answer until then confirms the rows
        without it.
        """
        position = page.newest_version
        if not is_snapshot:
            last = max((row.version for row in page.rows), default=0)
            position = min(position, last)
        has_moved = position > self._feed_version and not page.dropped
        if is_snapshot or has_moved:
            self._feed_version = position
            self._position_at_ms = started_ms
        elif page.rows or page.dropped:
            # The feed would repeat these rows at once.
            self._needs_snapshot = True

    def _record_answer(self) -> None:
        now_ms = self._clock.now_ms()
        if self.failing_since_ms < 0:
            return
        self.recovered_at_ms = now_ms
        logging.info(
            "event=store_regained table=%s after_ms=%d",
            self._table,
            now_ms - self.failing_since_ms,
        )
        self.failing_since_ms = -1

    def _record_failure(self, error: protocol.PlatformError) -> bool:
        if error.history_lost:
            # A snapshot from which the feed can't continue either is older
            # than what was lost; the next one may be as well.
            is_repeated = self._is_history_lost
            self._needs_snapshot = self._is_history_lost = True
            logging.info(
                "event=store_history_lost table=%s known=%d",
                self._table,
                self._feed_version,
            )
            return not is_repeated
        if self.failing_since_ms < 0:
            self.failing_since_ms = self._clock.now_ms()
            logging.info(
                "event=store_lost table=%s step=%s peer=%s detail=%r",
                self._table,
                error.step,
                error.peer,
                error.detail,
            )
        return False


__all__ = ["Rows", "FeedFollower"]
