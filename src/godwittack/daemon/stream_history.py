"""Records in the store where streams may have begun.

A caller may take a stream up after all daemons were killed and started again.
They then know of no earlier stream: it goes on only if a single software
version and a single target are possible, which this row tells them.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import pydantic
from absl import logging
from result import Err

from godwittack.core import confirming, inputs, stream_history, stream_records
from godwittack.store import protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.daemon import runtime as runtimes

ROW = protocol.RowId("stream_history", "all")
# The store takes rows of up to 64 KiB.
MAX_ROW_BYTES = 48_000
RETRY_PAUSE_S = 0.5
# A daemon may become the one that writes without any change of its view.
CHECK_INTERVAL_S = 1.0


class _TargetJson(pydantic.BaseModel):
    """What one target's streams may have begun at.

    Attributes:
        since_ms: Since when all versions are recorded, by the store's clock;
            None if since the very first start.
        listed: Versions that its servers have.
        gone_ms: When the last server of each other version left.
    """

    since_ms: int | None
    listed: tuple[str, ...]
    gone_ms: dict[str, int] = {}


class _HistoryJson(pydantic.BaseModel):
    """The stored row.

    Attributes:
        list_version: Version of the instance list that it is as of.
        table_version: Version of the operators' table that it is as of.
        targets: Versions by target.
        routes: Digests of the targets of resumable routes.
        moved_ms: When each route last led to other targets than before, by the
            store's clock, for as long as streams of then may live.
    """

    list_version: int
    table_version: int
    targets: dict[str, _TargetJson]
    routes: dict[str, str]
    moved_ms: dict[str, int] = {}


class StreamHistory:
    """Writes the row as versions and routes change, and reads it.

    It is read at the start, and again after a time in which this daemon may
    have missed changes.
    """

    def __init__(
        self,
        *,
        store: protocol.ConditionalRows,
        runtime: runtimes.Runtime,
        list_version: Callable[[], int],
        is_writer: Callable[[], bool],
        is_first_start: bool,
    ) -> None:
        """Reads and writes nothing yet.

        Args:
            store: Holds the row.
            runtime: Runs the core, which is told of what was read.
            list_version: Returns the version of the instance list that the
                core has; 0 for none.
            is_writer: Returns whether this daemon should write changes.
            is_first_start: Whether no daemon of the system ever ran before, so
                that a missing row hides no stream.
        """
        self._store = store
        self._runtime = runtime
        self._list_version = list_version
        self._is_writer = is_writer
        self._is_first_start = is_first_start
        self._changed = asyncio.Event()
        self._followed_since_ms = -1_000_000
        self._row_version = 0
        self._history: _HistoryJson | None = None
        # The store's clock when the row was last read, and ours.
        self._read_at_ms = (0, 0)

    def check(self) -> None:
        """Must be called after a change of the list or of the table."""
        self._changed.set()

    async def keep_forever(self) -> None:
        """Reads the row and then writes each change, until cancelled."""
        while not self._is_ready():
            await self._wait_for_change()
        await self._read_and_report()
        while True:
            if self._followed_since_ms < confirming.followed_since_ms(
                self._runtime.core.world
            ):
                await self._read_and_report()
            current = self._merge()
            if current != self._history and self._is_writer():
                if not await self._write(current):
                    await asyncio.sleep(RETRY_PAUSE_S)
            else:
                await self._wait_for_change()

    async def _read_and_report(self) -> None:
        """Reads the row until the store answers, and reports it to the core."""
        while True:
            world = self._runtime.core.world
            self._followed_since_ms = confirming.followed_since_ms(world)
            if await self._read():
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        if self._history is not None:
            self._runtime.submit(self._as_input(self._history))

    async def _wait_for_change(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self._changed.wait()
        self._changed.clear()

    def _is_ready(self) -> bool:
        return self._table_version > 0 and self._list_version() > 0

    @property
    def _table_version(self) -> int:
        return self._runtime.core.world.table.version

    def _store_ms(self) -> int:
        """Returns the time by the store's clock."""
        store_ms, own_ms = self._read_at_ms
        return store_ms + self._runtime.clock.now_ms() - own_ms

    async def _read(self) -> bool:
        """Reads the row; returns whether the store answered."""
        result = await self._store.read(ROW)
        if isinstance(result, Err):
            self._log("stream_history_unread", str(result.err_value))
            return False
        self._apply(result.ok_value)
        return True

    def _apply(self, row: protocol.StoredRow) -> None:
        self._row_version = row.version
        self._read_at_ms = (row.service_ms, self._runtime.clock.now_ms())
        self._history = None
        if not row.version:
            return
        # The row exists, so that an unreadable one hides streams as well.
        self._is_first_start = False
        try:
            self._history = _HistoryJson.model_validate_json(row.value)
        except pydantic.ValidationError as error:
            detail = str(error.errors()[0]["msg"])
            self._log("stream_history_unreadable", detail)

    async def _write(self, history: _HistoryJson) -> bool:
        """Writes the row if nobody else has; returns whether to go on."""
        value = history.model_dump_json()
        if len(value) > MAX_ROW_BYTES:
            history = history.model_copy(update={"routes": {}, "moved_ms": {}})
            value = history.model_dump_json()
        result = await self._store.transact(
            (protocol.Condition(ROW, self._row_version),),
            (protocol.RowWrite(ROW, value),),
        )
        if isinstance(result, Err):
            self._log("stream_history_unwritten", str(result.err_value))
            # It may have been written nevertheless.
            return await self._read()
        answer = result.ok_value
        if not answer.committed:
            return await self._read()
        self._row_version = answer.version
        self._history = history
        return True

    def _merge(self) -> _HistoryJson:
        """Returns the row with this daemon's view, where that is newer."""
        world = self._runtime.core.world
        stored = self._history or _HistoryJson(
            list_version=0, table_version=0, targets={}, routes={}
        )
        routes, table_version = stored.routes, stored.table_version
        moved_ms = stored.moved_ms
        digests = stream_history.route_digests(world)
        if self._table_version > table_version and digests != routes:
            moved_ms = self._update_moved(stored, digests)
            routes, table_version = digests, self._table_version
        targets = dict(stored.targets)
        list_version = self._list_version()
        for target, listed in stream_history.listed_versions(world).items():
            known = targets.get(target)
            if known is None:
                targets[target] = _TargetJson(
                    since_ms=None if self._is_first_start else self._store_ms(),
                    listed=tuple(sorted(listed)),
                )
            elif (
                list_version > stored.list_version
                and set(known.listed) != listed
            ):
                targets[target] = self._update(known, listed)
        if targets == stored.targets:
            list_version = stored.list_version
        return _HistoryJson(
            list_version=list_version,
            table_version=table_version,
            targets=targets,
            routes=routes,
            moved_ms=moved_ms,
        )

    def _update_moved(
        self, stored: _HistoryJson, digests: dict[str, str]
    ) -> dict[str, int]:
        now_ms = self._store_ms()
        moved_ms = {
            route: at_ms
            for route, at_ms in stored.moved_ms.items()
            if now_ms - at_ms < stream_records.STREAM_LIFE_MS
        }
        for route, targets in stored.routes.items():
            if digests.get(route) != targets:
                moved_ms[route] = now_ms
        return moved_ms

    def _update(
        self, known: _TargetJson, listed: frozenset[str]
    ) -> _TargetJson:
        now_ms = self._store_ms()
        life_ms = stream_records.STREAM_LIFE_MS
        gone_ms = {
            version: at_ms
            for version, at_ms in known.gone_ms.items()
            if now_ms - at_ms < life_ms
        }
        gone_ms.update(dict.fromkeys(set(known.listed) - listed, now_ms))
        return _TargetJson(
            since_ms=known.since_ms,
            listed=tuple(sorted(listed)),
            gone_ms=gone_ms,
        )

    def _as_input(self, history: _HistoryJson) -> inputs.StreamHistoryRead:
        now_ms = self._store_ms()
        return inputs.StreamHistoryRead(
            at_ms=self._runtime.clock.now_ms(),
            targets=tuple(
                inputs.TargetHistory(
                    target=target,
                    known_for_ms=stream_records.STREAM_LIFE_MS
                    if known.since_ms is None
                    else max(0, now_ms - known.since_ms),
                    listed=known.listed,
                    gone_for_ms=tuple(
                        (version, max(0, now_ms - at_ms))
                        for version, at_ms in sorted(known.gone_ms.items())
                    ),
                )
                for target, known in sorted(history.targets.items())
            ),
            routes=tuple(sorted(history.routes.items())),
            moved_for_ms=tuple(
                (route, max(0, now_ms - at_ms))
                for route, at_ms in sorted(history.moved_ms.items())
            ),
        )

    def _log(self, event: str, detail: str) -> None:
        logging.info("event=%s detail=%r", event, detail)


__all__ = ["ROW", "StreamHistory"]
