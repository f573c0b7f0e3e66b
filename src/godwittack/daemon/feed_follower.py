"""Follows one table of the store, by its feed and by readings."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from absl import logging
from result import Err, Ok

from godwittack.member import freshness

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from godwittack.clock import Clock
    from godwittack.store import protocol

# Pause after a call without an answer, and its growth up to a limit: a store
# that comes back is noticed within a second without being called in a loop.
RETRY_FIRST_MS = 100
RETRY_MAX_MS = 800
# A feed may go stale without a word; a plain reading settles it this often.
SNAPSHOT_INTERVAL_MS = 15_000
# A daemon that is no reader asks the store itself once the last confirmation
# is older: half of the time for which it may serve keys by one.
MAX_CONFIRMATION_AGE_MS = 2_000
# Time that news of a change takes, after which what a peer has and this
# daemon lacks is read from the store.
MAX_BEHIND_MS = 400
CHECK_INTERVAL_MS = 100
# How long the store holds a call that asks for the state alone.
NON_READER_WAIT_MS = 1
# Between two such calls, as before the operators' first table.
NON_READER_INTERVAL_MS = 500

Rows = dict[str, "protocol.ChangedRow"]


class FeedFollower:
    """Keeps the rows of one table, by its feed and by readings.

    Attributes:
        rows: Rows by key, as last told.
        version: Newest version of a row, of those removed as well.
        failing_since_ms: Since when it has not; -1 while it does.
    """

    def __init__(
        self,
        *,
        feed: protocol.RowFeed,
        table: str,
        clock: Clock,
        rng: random.Random,
        wait_ms: int,
        on_rows: Callable[[Mapping[str, protocol.ChangedRow]], None],
        on_confirmed: Callable[[int], None] = lambda made_at_ms: None,
        table_freshness: freshness.Freshness | None = None,
        is_reader: Callable[[], bool] = lambda: True,
    ) -> None:
        """Tells `on_rows` of changes.

        Args:
            feed: The store.
            table: Table to follow.
            clock: Source of time.
            rng: Spreads retries.
            wait_ms: How long the store may hold a call for changes.
            on_rows: Told all rows after a change.
            on_confirmed: Told since when the rows are known to be the newest.
            table_freshness: How fresh the rows are by peers' word.
            is_reader: Whether this daemon asks the store all the time.
        """
        self.rows: Rows = {}
        self.failing_since_ms = -1
        self.recovered_at_ms = -1_000_000
        self._feed = feed
        self._table = table
        self._clock = clock
        self._rng = rng
        self._wait_ms = wait_ms
        self._on_rows = on_rows
        self._on_confirmed = on_confirmed
        self._freshness = table_freshness
        self._is_reader = is_reader
        self._max_confirmation_age_ms = MAX_CONFIRMATION_AGE_MS * rng.uniform(
            0.85, 1.15
        )
        self.version = 0
        self._feed_version = 0
        self._snapshot_at_ms = -SNAPSHOT_INTERVAL_MS
        self._needs_snapshot = True
        self._retry_ms = RETRY_FIRST_MS
        self._clock_offset_ms = -(1 << 62)

    @property
    def read_version(self) -> int:
        """Newest version of the store up to which the rows were read."""
        return max(self.version, self._feed_version)

    async def follow_forever(self) -> None:
        """Follows until cancelled."""
        while True:
            if self.can_skip_read():
                await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            elif await self.step():
                if not self._is_reader():
                    await asyncio.sleep(NON_READER_INTERVAL_MS / 1000)
            else:
                pause_ms = self._retry_ms * self._rng.uniform(0.5, 1.0)
                self._retry_ms = min(RETRY_MAX_MS, 2 * self._retry_ms)
                await asyncio.sleep(pause_ms / 1000)

    def can_skip_read(self) -> bool:
        """Returns whether peers' word is enough for now."""
        known = self._freshness
        if self._needs_snapshot or known is None or self._is_reader():
            return False
        now_ms = self._clock.now_ms()
        behind = known.behind_since_ms >= 0
        if behind and now_ms - known.behind_since_ms >= MAX_BEHIND_MS:
            return False
        return now_ms - known.confirmed_at_ms < self._max_confirmation_age_ms

    async def step(self) -> bool:
        """Makes one call; returns whether it was answered."""
        started_ms = self._clock.now_ms()
        settles = started_ms - self._snapshot_at_ms >= SNAPSHOT_INTERVAL_MS
        settles = settles and self._is_reader()
        whole = self._needs_snapshot or settles
        if whole:
            got = await self._snapshot()
        else:
            got = await self._feed.changes(
                self._table,
                after=self._feed_version,
                wait_ms=self._wait_ms
                if self._is_reader()
                else NON_READER_WAIT_MS,
            )
        if isinstance(got, Err):
            return self._record_failure(got.err_value)
        self._record_answer(started_ms)
        page = got.ok_value
        if page.newest < self._feed_version:
            # Read from a copy that lags: taking it in would take back what
            # is known to have been acknowledged.
            logging.info(
                "event=store_read_stale table=%s newest=%d known=%d",
                self._table,
                page.newest,
                self._feed_version,
            )
            return False
        if whole:
            # An empty table has a state as well.
            self.version = max(1, self.version)
        self._apply(page, whole=whole)
        if whole:
            self._snapshot_at_ms = started_ms
        made_at_ms = self._answer_as_of_ms(page, started_ms)
        if self._freshness is None or self._freshness.version >= self.version:
            # Not where the newest rows could not be read: what is in force
            # then is not what the store confirms.
            self._on_confirmed(made_at_ms)
        return True

    async def _snapshot(self) -> protocol.Got[protocol.FeedPage]:
        """Reads all rows.

        Where they take several pages, what changed between those is told
        again by the feed, which goes on from the first page's version.
        """
        got = await self._feed.page(self._table, from_key="")
        if isinstance(got, Err) or not got.ok_value.next_key:
            return got
        first = got.ok_value
        rows = list(first.rows)
        while got.ok_value.next_key:
            got = await self._feed.page(
                self._table, from_key=got.ok_value.next_key
            )
            if isinstance(got, Err):
                return got
            rows.extend(got.ok_value.rows)
        return Ok(dataclasses.replace(first, rows=tuple(rows), next_key=""))

    def _answer_as_of_ms(self, page: protocol.FeedPage, started_ms: int) -> int:
        """Returns a time here before which the store's answer was not made.

        A call that waits for changes says nothing newer than its answer, but
        was sent long before. Every answer holds the store's clock: one that
        came quickly shows how far that is from ours at least, and dates the
        others. Without it keys would be refused two seconds too soon after
        the store was last heard.
        """
        if not page.service_ms:
            return started_ms
        offset_ms = started_ms - page.service_ms
        self._clock_offset_ms = max(self._clock_offset_ms, offset_ms)
        dated_ms = page.service_ms + self._clock_offset_ms
        return min(max(started_ms, dated_ms), self._clock.now_ms())

    def _apply(self, page: protocol.FeedPage, *, whole: bool) -> None:
        before, version_before = self.rows, self.version
        rows: Rows = {} if whole else dict(before)
        for row in page.rows:
            self.version = max(self.version, row.version)
            if row.deleted:
                rows.pop(row.key, None)
            else:
                rows[row.key] = row
        self.rows = rows
        self._feed_version = page.newest
        self._needs_snapshot = False
        # A row may have been made and removed between two calls. Not told of,
        # its version would be read and never in force, and no answer would
        # confirm what is: keys are refused, and nobody rests.
        is_newer = self.version > version_before
        if rows != before or is_newer or (whole and not before):
            self._on_rows(rows)

    def _record_answer(self, started_ms: int) -> None:
        now_ms = self._clock.now_ms()
        self._retry_ms = RETRY_FIRST_MS
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
            self._needs_snapshot = True
            logging.info("event=store_history_lost table=%s", self._table)
            return True
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
