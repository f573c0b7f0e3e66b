"""Streams that are taken up after all daemons were started again."""

from __future__ import annotations

import asyncio
import contextlib
import types

from result import Err, Ok

from cases import routed_core
from godwittack.clock import ManualClock
from godwittack.core import (
    effects,
    inputs,
    server_inputs,
    stream_records,
)
from godwittack.daemon import stream_history
from godwittack.store import protocol

LIFE_MS = stream_records.STREAM_LIFE_MS
FAILED = Err(protocol.PlatformError(step="call", peer="fake", detail="down"))
# The store's clock has an origin of its own.
STORE_AHEAD_MS = 5_000_000


class Store:
    """One row in memory, written under a condition."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.value, self.version = "", 0
        self.writes = 0
        self.fails = 0

    def _row(self) -> protocol.StoredRow:
        now_ms = self.clock.now_ms() + STORE_AHEAD_MS
        return protocol.StoredRow(
            stream_history.ROW, self.value, self.version, now_ms
        )

    def _is_down(self) -> bool:
        self.fails -= 1
        return self.fails >= 0

    async def read(self, row_id):
        """Returns the row."""
        assert row_id == stream_history.ROW
        return FAILED if self._is_down() else Ok(self._row())

    async def transact(self, conditions, writes):
        """Writes the row if it has the expected version."""
        if self._is_down():
            return FAILED
        (condition,), (write,) = conditions, writes
        if condition.version != self.version:
            return Ok(protocol.TransactionResult(False, (self._row(),)))
        self.value, self.version = write.value, self.version + 1
        self.writes += 1
        return Ok(protocol.TransactionResult(True, (), self.version))


class Daemon:
    """A core that has just started, and what it reads and writes."""

    def __init__(
        self,
        store: Store,
        *versions: str,
        list_version: int = 1,
        routes=routed_core.ROUTES,
        first: bool = False,
        **policy_fields,
    ) -> None:
        self.core = routed_core.Core(
            servers=0, started_at_ms=store.clock.now_ms(), **policy_fields
        )
        self.core.tell(inputs.TableChanged, routed_core.table(2, routes=routes))
        for number, version in enumerate(versions, 1):
            self.list(f"e{number}", version)
        self.list_version = list_version
        runtime = types.SimpleNamespace(
            core=self.core.router,
            clock=store.clock,
            submit=self.core.router.step,
        )
        self.history = stream_history.StreamHistory(
            store=store,
            runtime=runtime,
            list_version=lambda: self.list_version,
            is_writer=lambda: True,
            is_first_start=first,
        )

    def list(self, name: str, version: str, **fields) -> None:
        """Lists an engine."""
        self.core.list_server(
            name, routed_core.ENGINES, software_version=version, **fields
        )

    def remove(self, name: str) -> None:
        """Removes an engine from the list."""
        self.core.tell_named(
            server_inputs.ServerListed, server_id=name, gone=True
        )

    async def settle(self) -> None:
        """Lets it read the row and write its changes."""
        self.history.check()
        task = asyncio.create_task(self.history.keep_forever())
        await asyncio.sleep(0.02)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    def resumes(self) -> bool:
        """Returns whether it resumes a stream of which no record is left."""
        self.core.now_ms = max(self.core.now_ms, self.core.world.now_ms)
        self.core.arrive(
            "long", "r~1", caller_request_id="r", resumes="a", resume_after=2
        )
        if self.core.find(effects.Dispatch):
            return True
        refused = self.core.refusal()
        assert refused.reason is effects.Reason.VERSION_UNKNOWN, refused
        return False


async def _run_before(*versions: str, first: bool = True, **fields) -> Store:
    """Returns the store of daemons that were killed a moment ago."""
    store = Store(ManualClock(1_000))
    await Daemon(store, *versions, first=first, **fields).settle()
    store.clock.advance(by_ms=1_000)
    return store


async def the_only_version_resumes_streams_after_a_restart() -> None:
    """Guards against streams that all break off when all daemons are killed."""
    store = await _run_before("v1", "v1")
    daemon = Daemon(store, "v1")
    assert not daemon.resumes()
    await daemon.settle()
    assert daemon.resumes()


async def two_versions_resume_no_unknown_stream_after_a_restart() -> None:
    """Guards against streams joined from two versions that both serve."""
    store = await _run_before("v1", "v2")
    daemon = Daemon(store, "v1", "v2")
    await daemon.settle()
    assert not daemon.resumes()


async def a_version_that_left_during_a_restart_counts() -> None:
    """Guards against streams of a version that left while no daemon ran."""
    store = await _run_before("v1", "v2")
    daemon = Daemon(store, "v2", list_version=2)
    await daemon.settle()
    assert not daemon.resumes()
    # And by a daemon that starts later, until no such stream is left.
    store.clock.advance(by_ms=LIFE_MS - 1_000)
    later = Daemon(store, "v2", list_version=2)
    await later.settle()
    assert not later.resumes()
    store.clock.advance(by_ms=1_001)
    last = Daemon(store, "v2", list_version=2)
    await last.settle()
    assert last.resumes()


async def a_version_that_left_before_a_restart_counts() -> None:
    """Guards against streams of a version that left shortly before it."""
    store = Store(ManualClock(1_000))
    daemon = Daemon(store, "v1", "v2", first=True)
    await daemon.settle()
    daemon.remove("e1")
    daemon.list_version = 2
    await daemon.settle()
    restarted = Daemon(store, "v2", list_version=2)
    await restarted.settle()
    assert not restarted.resumes()


async def a_route_that_moved_during_a_restart_resumes_no_stream() -> None:
    """Guards against streams joined from two services of one version."""
    store = await _run_before("v1")
    moved = tuple(
        routed_core.route("long", "other", streaming=True, resumable=True)
        if route.name == "long"
        else route
        for route in routed_core.ROUTES
    )
    await Daemon(store, "v1", routes=moved).settle()
    store = await _run_before("v1", routes=moved)
    daemon = Daemon(store, "v1")
    await daemon.settle()
    assert not daemon.resumes()


async def a_missing_row_resumes_no_stream() -> None:
    """Guards against a claim about streams from before the row existed."""
    store = await _run_before("v1", first=False)
    daemon = Daemon(store, "v1")
    await daemon.settle()
    assert not daemon.resumes()
    store.clock.advance(by_ms=LIFE_MS)
    later = Daemon(store, "v1")
    await later.settle()
    assert later.resumes()


async def an_unreadable_row_resumes_no_stream() -> None:
    """Guards against a claim from a row that another writer has damaged."""
    store = await _run_before("v1")
    store.value = "{"
    daemon = Daemon(store, "v1", first=True)
    await daemon.settle()
    assert not daemon.resumes()
    assert store.writes == 2, store.value


async def an_older_list_changes_no_row() -> None:
    """Guards against a daemon that lags and drops a version from the row."""
    store = Store(ManualClock(1_000))
    lagging = Daemon(store, "v1", first=True)
    await lagging.settle()
    ahead = Daemon(store, "v1", "v2", list_version=3)
    await ahead.settle()
    written = store.value
    lagging.list_version = 2
    lagging.list("e9", "v3")
    await lagging.settle()
    assert store.value == written, store.value


async def a_silent_store_resumes_no_stream() -> None:
    """Guards against a claim by a daemon that could not read the row."""
    store = await _run_before("v1")
    store.fails = 1_000
    daemon = Daemon(store, "v1")
    await daemon.settle()
    assert not daemon.resumes()


async def each_change_is_written_once() -> None:
    """Guards against writes by daemons that see what the row has already."""
    store = await _run_before("v1")
    writes = store.writes
    for _ in range(3):
        await Daemon(store, "v1", list_version=9).settle()
    assert store.writes == writes == 1, store.writes


__all__ = ["Daemon", "Store"]
