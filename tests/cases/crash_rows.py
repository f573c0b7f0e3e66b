"""Quarantines stored in the platform's store."""

from __future__ import annotations

import asyncio
import json
import types

from result import Err, Ok

from cases import routed_core
from godwittack.clock import ManualClock
from godwittack.core import (
    crashes,
    effects,
    inputs,
    quarantine,
    suspects,
)
from godwittack.daemon import crash_rows
from godwittack.store import protocol

FAILED = Err(protocol.PlatformError(step="read", peer="fake", detail="down"))


class Store:
    """Rows in memory; fails as many calls as set."""

    def __init__(self) -> None:
        self.rows: dict[str, str] = {}
        self.fails = 0
        self.reads = 0

    def _is_down(self) -> bool:
        self.fails -= 1
        return self.fails >= 0

    async def transact(self, conditions, writes):
        """Applies the writes."""
        assert not conditions
        if self._is_down():
            return FAILED
        for write in writes:
            assert write.row_id.table == crash_rows.TABLE
            self.rows[write.row_id.key] = write.value
        return Ok(protocol.TransactionResult(True, ()))

    async def page(self, table, *, from_key):
        """Returns all rows."""
        assert (table, from_key) == (crash_rows.TABLE, "")
        self.reads += 1
        if self._is_down():
            return FAILED
        rows = (
            protocol.ChangedRow(key=key, value=value, version=1)
            for key, value in self.rows.items()
        )
        return Ok(protocol.FeedPage(rows=tuple(rows), newest_version=1))


class Daemon:
    """A core and its stored crash rows."""

    def __init__(self, store: Store) -> None:
        self.core = routed_core.Core()
        clock = self.clock = ManualClock(self.core.now_ms)
        runtime = types.SimpleNamespace(
            core=self.core.router, clock=clock, submit=self.core.router.step
        )
        self.rows = crash_rows.CrashRows(store=store, runtime=runtime)

    def crash(self, *starts: str, content: str = "desk/f") -> None:
        """Records that servers crashed on a content."""
        seen_crashes = tuple(
            quarantine.Crash(
                content=content, start=start, reporter="d", at_ms=1_000
            )
            for start in starts
        )
        for crash in seen_crashes:
            self.known.add(crash)
        self.rows.record(effects.TellCrashes(target="", crashes=seen_crashes))

    @property
    def known(self) -> quarantine.Quarantine:
        """Returns the crashes known to its core."""
        return self.core.world.quarantine


async def _settle() -> None:
    await asyncio.sleep(0.01)


async def unreadable_rows_are_skipped() -> None:
    """Guards against one bad row that hides all quarantines."""
    store = Store()
    store.rows = {"000": "{", "001": '{"crashes": []}', "002": "[1]"}
    first = Daemon(store)
    first.crash("s1", "s2", "s3")
    await _settle()
    assert len(store.rows) == 4
    second = Daemon(store)
    second.crash("s9", content="desk/g")
    await _settle()
    assert second.known.until_ms("desk/f") == first.known.until_ms("desk/f")


async def a_call_to_an_unavailable_store_is_retried() -> None:
    """Guards against quarantines lost to one failed call."""
    store = Store()
    first = Daemon(store)
    store.fails = 2
    first.crash("s1", "s2", "s3")
    await asyncio.sleep(3 * crash_rows.RETRY_PAUSE_S)
    assert len(store.rows) == 1
    second = Daemon(store)
    store.fails = crash_rows.MAX_TRIES
    second.crash("s9", content="desk/g")
    await asyncio.sleep((crash_rows.MAX_TRIES + 1) * crash_rows.RETRY_PAUSE_S)
    assert not second.known.until_ms("desk/f")
    second.crash("s8", content="desk/g")
    await _settle()
    assert second.known.until_ms("desk/f")


async def a_quarantine_that_was_lifted_stays_so() -> None:
    """Guards against refusing a harmless request after the next restart."""
    store = Store()
    first = Daemon(store)
    first.crash("s1", "s2", "s3")
    await _settle()
    completion = quarantine.Completion(content="desk/f", at_ms=2_000)
    first.rows.record(effects.TellCrashes(target="", completions=(completion,)))
    await _settle()
    second = Daemon(store)
    second.crash("s9", content="desk/g")
    await _settle()
    assert not second.known.until_ms("desk/f")


async def a_quarantine_that_another_daemon_lifted_stays_so() -> None:
    """Guards against a row that only its writer can overwrite."""
    store = Store()
    Daemon(store).crash("s1", "s2", "s3")
    await _settle()
    lifting = Daemon(store)
    completion = quarantine.Completion(content="desk/f", at_ms=2_000)
    lifting.rows.record(
        effects.TellCrashes(target="", completions=(completion,))
    )
    await _settle()
    later = Daemon(store)
    later.crash("s9", content="desk/g")
    await _settle()
    assert not later.known.until_ms("desk/f")


async def crashes_before_a_quarantine_outlive_the_daemons() -> None:
    """Guards against a count that restarts when all daemons are killed."""
    store = Store()
    Daemon(store).crash("s1", "s2")
    await _settle()
    later = Daemon(store)
    later.crash("s3")
    await _settle()
    assert later.known.until_ms("desk/f")


async def a_completed_run_clears_crashes_before_a_quarantine() -> None:
    """Guards against old crashes that quarantine a harmless request."""
    store = Store()
    first = Daemon(store)
    first.crash("s1", "s2")
    await _settle()
    other = Daemon(store)
    for crash in first.known.crashes("desk/f"):
        other.known.add(crash)
    work = types.SimpleNamespace(target="m", route=None)
    request = types.SimpleNamespace(
        content="desk/f", suspect_keys=("desk/f",), request_id="r", work=work
    )
    other.core.world.pending_effects = []
    crashes.record_completion(other.core.world, request)
    for effect in other.core.world.pending_effects:
        if isinstance(effect, effects.TellCrashes):
            other.rows.record(effect)
    await _settle()
    later = Daemon(store)
    later.crash("s3")
    await _settle()
    assert not later.known.until_ms("desk/f")


async def expired_crashes_are_not_read() -> None:
    """Guards against a quarantine by crashes that daemons have expired."""
    store = Store()
    Daemon(store).crash("s1", "s2")
    await _settle()
    later = Daemon(store)
    later.clock.advance(by_ms=quarantine.RETENTION_MS + 1)
    later.crash("s3")
    await _settle()
    assert not later.known.until_ms("desk/f")


async def daemons_without_crashes_make_no_store_call() -> None:
    """Guards against store calls on days without crashes."""
    store = Store()
    daemon = Daemon(store)
    completion = quarantine.Completion(content="desk/f", at_ms=2_000)
    # Never quarantined, so it is sent only to the daemons of its servers.
    daemon.rows.record(
        effects.TellCrashes(target="m", completions=(completion,))
    )
    for _ in range(3):
        daemon.crash("s1")
    await _settle()
    assert store.reads == 1 and not store.rows


async def a_part_stays_in_quarantine_over_a_restart_of_all_daemons() -> None:
    """Guards against parts whose crashes are stored without their weight."""
    store = Store()
    first = Daemon(store)
    bad = suspects.part_key(routed_core.ENGINES, "bad")
    target = suspects.target_key(routed_core.ENGINES)
    told = tuple(
        quarantine.Crash(
            content=key,
            start=f"s{number}",
            reporter="d",
            at_ms=first.core.now_ms - 1_000 * number,
        )
        for key in (bad, target)
        for number in range(4)
    )
    runs = quarantine.Completion(
        content=target, at_ms=told[-1].at_ms, reporter="d", count=200
    )
    first.core.tell(inputs.CrashesTold, told, (runs,))
    announced = [
        effect
        for effect in first.core.wait(1_000)
        if isinstance(effect, effects.TellCrashes)
    ]
    assert first.known.is_persisted(bad)
    for effect in announced:
        first.rows.record(effect)
    await _settle()
    second = Daemon(store)
    second.crash("s9", content="desk/g")
    await _settle()
    second.core.wait(1_000)
    assert second.known.blamed((bad,)), store.rows


async def a_row_of_an_older_daemon_leaves_a_trial() -> None:
    """Guards against long quarantines that older daemons have stored."""
    store = Store()
    first = Daemon(store)
    for number in range(3):
        crash = quarantine.Crash(
            content="desk/f",
            start=f"s{number}",
            reporter="d",
            at_ms=first.core.now_ms - 900 * number,
        )
        first.known.add(crash)
        first.rows.record(effects.TellCrashes(target="", crashes=(crash,)))
    await _settle()
    for key, value in store.rows.items():
        row = json.loads(value)
        for stored in row["crashes"]:
            del stored["silent_ms"]
        store.rows[key] = json.dumps(row)
    second = Daemon(store)
    second.crash("s9", content="desk/g")
    await _settle()
    assert second.known.blamed(("desk/f",))
    left_ms = second.known.until_ms("desk/f") - second.core.now_ms
    assert left_ms <= quarantine.TRIAL_AFTER_MS, left_ms
