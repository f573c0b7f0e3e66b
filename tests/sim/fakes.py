"""Fakes of the services that a daemon calls: table service, plain services."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random

from result import Err, Ok

from godwittack.backend import protocol as backend
from godwittack.core import inputs, work
from godwittack.store import protocol as platform

CLOCK_AHEAD_MS = 7_000_000
# Versions by which a lagging replica may be behind.
STALE_VERSIONS = 4


class Gate:
    """Blocks all messages of a daemon while it is paused."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()

    def pause(self) -> None:
        """Pauses the daemon, as SIGSTOP does."""
        self._open.clear()

    def resume(self) -> None:
        """Resumes the daemon."""
        self._open.set()

    async def wait_until_open(self) -> None:
        """Waits until the daemon is not paused."""
        await self._open.wait()


@dataclasses.dataclass
class TableFaults:
    """Faults of the table service; probabilities are per call."""

    down: bool = False
    lose_request: float = 0.0
    lose_reply: float = 0.0
    late_apply: float = 0.0
    late_ms: int = 3_000
    stale_read: float = 0.0
    latency_ms: tuple[int, int] = (1, 8)
    timeout_ms: int = 500


class TableFake:
    """Table service whose replies may be lost and writes applied late."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.faults = TableFaults()
        self.rows: dict[platform.RowId, platform.StoredRow] = {}
        self.older_rows: dict[platform.RowId, list[platform.StoredRow]] = {}
        self.version = 0
        self.on_write = lambda: None

    async def transact(self, conditions, writes):
        """Makes all writes if all conditions hold."""
        await asyncio.sleep(self.rng.randint(*self.faults.latency_ms) / 1000)
        if self.faults.down or self._occurs(self.faults.lose_request):
            return await self._time_out("transact")
        if self._occurs(self.faults.late_apply):
            # The request is delayed in the network and takes effect after its
            # sender has timed out.
            asyncio.get_running_loop().call_later(
                self.faults.late_ms / 1000, self._apply, conditions, writes
            )
            return await self._time_out("transact")
        reply = self._apply(conditions, writes)
        if self._occurs(self.faults.lose_reply):
            return await self._time_out("transact")
        return Ok(reply)

    async def read(self, row_id):
        """Returns one row."""
        await asyncio.sleep(0.002)
        if self.faults.down:
            return await self._time_out("read")
        if self._occurs(self.faults.stale_read):
            older = self.older_rows.get(row_id, [self._row(row_id)])
            row = self.rng.choice(older[-STALE_VERSIONS:])
            return Ok(dataclasses.replace(row, service_ms=self.now_ms()))
        return Ok(self._row(row_id))

    async def scan(self, table, *, after, limit):
        """Returns rows in key order."""
        if self.faults.down:
            return await self._time_out("scan")
        rows = [
            row
            for row_id, row in sorted(
                self.rows.items(), key=lambda item: item[0].key
            )
            if row_id.table == table and row_id.key > after
        ]
        return Ok(rows[:limit])

    def _apply(self, conditions, writes) -> platform.TransactionResult:
        current = tuple(self._row(c.row_id) for c in conditions)
        for row, condition in zip(current, conditions, strict=True):
            if row.version != condition.version:
                return platform.TransactionResult(
                    False, current, service_ms=self.now_ms()
                )
        for write in writes:
            self.version += 1
            before = self._row(write.row_id)
            self.older_rows.setdefault(write.row_id, []).append(before)
            self.rows[write.row_id] = platform.StoredRow(
                write.row_id, write.value, self.version
            )
            self.on_write()
        return platform.TransactionResult(True, (), service_ms=self.now_ms())

    def now_ms(self) -> int:
        """Returns the service's clock, whose origin is not the daemons'."""
        return round(asyncio.get_running_loop().time() * 1000) + CLOCK_AHEAD_MS

    def _row(self, row_id) -> platform.StoredRow:
        row = self.rows.get(row_id, platform.StoredRow(row_id, "", 0))
        return dataclasses.replace(row, service_ms=self.now_ms())

    def _occurs(self, probability: float) -> bool:
        return self.rng.random() < probability

    async def _time_out(self, step: str):
        await asyncio.sleep(self.faults.timeout_ms / 1000)
        return Err(
            platform.PlatformError(step=step, peer="fake", detail="no answer")
        )


@dataclasses.dataclass
class ServiceFaults:
    """Faults of a plain service; probabilities are per call."""

    refuse_connection: float = 0.0
    lose_request: float = 0.0
    lose_answer: float = 0.0
    work_ms: tuple[int, int] = (5, 60)


class ServiceFake:
    """A plain service that counts its runs by request and by key."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.faults = ServiceFaults()
        self.runs_by_request: collections.Counter[str] = collections.Counter()
        self.runs_by_key: collections.Counter[str] = collections.Counter()

    def run(self, request_id: str, call: backend.Call) -> work.Answer:
        """Executes a call."""
        key = next(
            (h.value for h in call.headers if h.name == "idempotency-key"), ""
        )
        self.runs_by_request[request_id] += 1
        self.runs_by_key[key] += 1
        body = f"{key} run {self.runs_by_key[key]}".encode()
        return work.Answer(200, (), body)


class ServiceBackend:
    """One daemon's connection to plain services."""

    def __init__(
        self, services: dict[str, ServiceFake], gate: Gate, world
    ) -> None:
        self.services = services
        self.gate = gate
        self.world = world
        self.on_send = lambda: None

    async def send(self, dispatch, call, sink) -> None:
        """Makes one attempt; the service may run it after the daemon ended."""
        self.on_send()
        await self.gate.wait_until_open()
        service = self.services[dispatch.server_id]
        faults, rng = service.faults, service.rng
        await asyncio.sleep(0.001)
        if rng.random() < faults.refuse_connection:
            sink.failed(
                inputs.FailurePhase.CONNECT,
                inputs.FailureCause.BROKEN,
                "refused",
            )
            return
        if rng.random() < faults.lose_request:
            await asyncio.sleep(0.2)
            await self.gate.wait_until_open()
            self._report_broken(sink)
            return
        running = self.world.spawn(self._run(service, dispatch, call))
        answer = await asyncio.shield(running)
        await self.gate.wait_until_open()
        if rng.random() < faults.lose_answer:
            self._report_broken(sink)
            return
        sink.answer("", answer, None)

    def drop_connections(self, server_id) -> None:
        """Does nothing: no connections are kept."""

    async def load(self, address, *, server_id="", fresh_connection=False):
        """Answers every probe, since the service never fails."""
        return Ok(
            backend.EngineLoad(
                incarnation="", weights_version="", running=0, waiting=0
            )
        )

    async def cancel(self, address, stream_id) -> None:
        """Does nothing: a plain call can't be cancelled."""

    async def _run(self, service, dispatch, call):
        await asyncio.sleep(service.rng.randint(*service.faults.work_ms) / 1000)
        return service.run(dispatch.request_id, call)

    def _report_broken(self, sink) -> None:
        sink.failed(
            inputs.FailurePhase.SENT, inputs.FailureCause.BROKEN, "broken"
        )


class PausableTable:
    """One daemon's connection to the table service."""

    def __init__(self, table: TableFake, gate: Gate, world) -> None:
        self.table = table
        self.gate = gate
        self.world = world

    async def transact(self, conditions, writes):
        """Sends a transaction, which takes effect even if the daemon ends."""
        await self.gate.wait_until_open()
        sent = self.world.spawn(self.table.transact(conditions, writes))
        reply = await asyncio.shield(sent)
        await self.gate.wait_until_open()
        return reply

    async def read(self, row_id):
        """Reads one row."""
        await self.gate.wait_until_open()
        reply = await self.table.read(row_id)
        await self.gate.wait_until_open()
        return reply

    async def scan(self, table, *, after, limit):
        """Reads rows."""
        await self.gate.wait_until_open()
        return await self.table.scan(table, after=after, limit=limit)
