"""Stores which requests crash servers as rows in the platform's store.

Daemons publish crashes to each other. If all of them end at the same time,
only the store still has the record of requests that crash servers.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import pydantic
import xxhash
from absl import logging
from result import Err

from godwittack.backend import json_fields
from godwittack.core import inputs, quarantine
from godwittack.store import protocol

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from godwittack.core import effects
    from godwittack.daemon import runtime as runtimes

TABLE = "quarantines"
# Rows are never removed: a content overwrites the one before it in its slot.
SLOTS = 256
MAX_TRIES = 5
RETRY_PAUSE_S = 0.5


class Store(protocol.ConditionalRows, protocol.RowFeed, Protocol):
    """Store whose rows can be written, and read in pages from a key on."""


class _CrashJson(pydantic.BaseModel):
    start: str
    reporter: str
    at_wall_ms: json_fields.Count
    content: str = ""
    runs: json_fields.Count = 1
    silent_ms: json_fields.Count = quarantine.UNKNOWN_MS
    run_ms: json_fields.Count = quarantine.UNKNOWN_MS


class _CompletionJson(pydantic.BaseModel):
    content: str
    at_wall_ms: json_fields.Count
    count: json_fields.Count


class _RowJson(pydantic.BaseModel):
    """A stored row.

    Attributes:
        content: Key of what crashes servers.
        crashes: Its crashes.
        broken: Runs on its target that were lost in crashes; for parts.
        completions: Completed runs of the part and on its target.
    """

    content: str
    crashes: json_fields.Items[_CrashJson] = ()
    broken: json_fields.Items[_CrashJson] = ()
    completions: json_fields.Items[_CompletionJson] = ()


class CrashRows:
    """Writes contents that crash servers repeatedly, and reads them once.

    They are read when this daemon first observes a server that ends during a
    request, so that a daemon that observes no crash makes no call.
    """

    def __init__(self, *, store: Store, runtime: runtimes.Runtime) -> None:
        """Reads from and writes to `store`."""
        self._store = store
        self._runtime = runtime
        self._has_read = False
        self._written_counts: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record(self, update: effects.TellCrashes) -> None:
        """Stores crashes and completions that this daemon publishes."""
        if update.crashes and not self._has_read:
            self._has_read = True
            self._spawn(self._read())
        for content in sorted({crash.content for crash in update.crashes}):
            self._write_crashes(content)
        for content in sorted({done.content for done in update.completions}):
            self._written_counts.pop(content, None)
            # Only completions of stored contents are published to every
            # daemon, with no target. Another daemon may have written the row.
            if not update.target:
                self._spawn(self._write(_RowJson(content=content)))

    def close(self) -> None:
        """Cancels calls in progress."""
        for task in self._tasks:
            task.cancel()

    def _write_crashes(self, content: str) -> None:
        crash_history = self._runtime.core.world.quarantine
        crashes = crash_history.crashes(content)
        if not crash_history.is_persisted(content):
            return
        if self._written_counts.get(content, 0) >= len(crashes):
            return
        self._written_counts[content] = len(crashes)
        clock = self._runtime.clock
        wall_offset_ms = clock.wall_ms() - clock.now_ms()
        broken, completions = crash_history.stored_context(content)
        row = _RowJson(
            content=content,
            crashes=_to_json(crashes, wall_offset_ms),
            broken=_to_json(broken, wall_offset_ms),
            completions=tuple(
                _CompletionJson(
                    content=done.content,
                    at_wall_ms=done.at_ms + wall_offset_ms,
                    count=done.count,
                )
                for done in completions
            ),
        )
        self._spawn(self._write(row))

    async def _write(self, row: _RowJson) -> None:
        slot = xxhash.xxh3_64_intdigest(row.content.encode()) % SLOTS
        write = protocol.RowWrite(
            protocol.RowId(TABLE, f"{slot:03d}"), row.model_dump_json()
        )
        for _ in range(MAX_TRIES):
            result = await self._store.transact((), (write,))
            if not isinstance(result, Err):
                return
            logging.info(
                "event=quarantine_unwritten content=%s detail=%r",
                row.content,
                str(result.err_value),
            )
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _read(self) -> None:
        for _ in range(MAX_TRIES):
            result = await self._store.page(TABLE, from_key="")
            if not isinstance(result, Err):
                self._apply_rows(result.ok_value.rows)
                return
            logging.info(
                "event=quarantines_unread detail=%r", str(result.err_value)
            )
            await asyncio.sleep(RETRY_PAUSE_S)
        # Retried at the next crash.
        self._has_read = False

    def _apply_rows(self, rows: tuple[protocol.ChangedRow, ...]) -> None:
        clock = self._runtime.clock
        wall_offset_ms = clock.wall_ms() - clock.now_ms()
        crashes: list[quarantine.Crash] = []
        completions: list[quarantine.Completion] = []
        for row in rows:
            try:
                stored = _RowJson.model_validate_json(row.value)
            except pydantic.ValidationError as error:
                logging.warning(
                    "event=quarantine_unreadable row=%s detail=%r",
                    row.key,
                    str(error.errors()[0]["msg"]),
                )
                continue
            crashes.extend(
                quarantine.Crash(
                    content=crash.content or stored.content,
                    start=crash.start,
                    reporter=crash.reporter,
                    at_ms=min(
                        clock.now_ms(), crash.at_wall_ms - wall_offset_ms
                    ),
                    runs=crash.runs,
                    silent_ms=crash.silent_ms,
                    run_ms=crash.run_ms,
                )
                for crash in stored.crashes + stored.broken
                if _is_still_relevant(
                    stored, crash, now_wall_ms=clock.wall_ms()
                )
            )
            completions.extend(
                quarantine.Completion(
                    content=done.content,
                    at_ms=min(clock.now_ms(), done.at_wall_ms - wall_offset_ms),
                    reporter=quarantine.STORED,
                    count=done.count,
                )
                for done in stored.completions
            )
        if crashes:
            self._runtime.submit(
                inputs.CrashesTold(
                    clock.now_ms(), tuple(crashes), tuple(completions)
                )
            )

    def _spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _to_json(
    crashes: tuple[quarantine.Crash, ...], wall_offset_ms: int
) -> tuple[_CrashJson, ...]:
    return tuple(
        _CrashJson(
            content=crash.content,
            start=crash.start,
            reporter=crash.reporter,
            at_wall_ms=crash.at_ms + wall_offset_ms,
            runs=crash.runs,
            silent_ms=crash.silent_ms,
            run_ms=crash.run_ms,
        )
        for crash in crashes
    )


def _is_still_relevant(
    stored: _RowJson, crash: _CrashJson, *, now_wall_ms: int
) -> bool:
    """Returns whether a daemon that kept running would still know of a crash.

    Crashes of a content in quarantine count at any age, since a quarantine may
    last longer than crashes are remembered otherwise.
    """
    if len(stored.crashes) >= quarantine.CRASHES_TO_QUARANTINE:
        return True
    return now_wall_ms - crash.at_wall_ms <= quarantine.RETENTION_MS


__all__ = ["CrashRows", "Store"]
