"""Groups conditional writes of one daemon into shared transactions."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from godwittack.store import protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_BATCH_WRITES = 64


@dataclasses.dataclass(slots=True)
class _Pending:
    condition: protocol.Condition
    write: protocol.RowWrite
    done: asyncio.Future[
        Result[protocol.TransactionResult, protocol.PlatformError]
    ]


class WriteBatcher:
    """Commits writes that are pending at the same time in one transaction.

    The service accepts several hundred writes a second from all daemons
    together. While one transaction is in flight, further writes are queued and
    committed together.
    """

    def __init__(self, service: protocol.TableService) -> None:
        """Writes to `service`."""
        self._service = service
        self._queue: list[_Pending] = []
        self._flusher: asyncio.Task[None] | None = None

    async def write(
        self, condition: protocol.Condition, write: protocol.RowWrite
    ) -> Result[protocol.TransactionResult, protocol.PlatformError]:
        """Makes one conditional write, possibly in a batch with others."""
        future: asyncio.Future[
            Result[protocol.TransactionResult, protocol.PlatformError]
        ] = asyncio.get_running_loop().create_future()
        self._queue.append(_Pending(condition, write, future))
        if self._flusher is None or self._flusher.done():
            self._flusher = asyncio.create_task(self._flush())
        return await future

    async def _flush(self) -> None:
        while self._queue:
            batch = _distinct(self._queue[:MAX_BATCH_WRITES])
            self._queue = [p for p in self._queue if p not in batch]
            await self._commit(batch)

    async def _commit(self, batch: list[_Pending]) -> None:
        """Commits a batch; a failed condition fails only its own write."""
        while batch:
            reply = await self._service.transact(
                tuple(p.condition for p in batch),
                tuple(p.write for p in batch),
            )
            if isinstance(reply, Err) or reply.ok_value.committed:
                for pending in batch:
                    _resolve(pending, reply)
                return
            rows = {row.row_id: row for row in reply.ok_value.rows}
            remaining: list[_Pending] = []
            for pending in batch:
                row = rows[pending.condition.row_id]
                if row.version == pending.condition.version:
                    remaining.append(pending)
                else:
                    _resolve(
                        pending, Ok(protocol.TransactionResult(False, (row,)))
                    )
            if len(remaining) == len(batch):
                # No condition fails now, yet nothing was committed: the rows
                # changed and changed back. The callers retry.
                for pending in remaining:
                    row = rows[pending.condition.row_id]
                    _resolve(
                        pending, Ok(protocol.TransactionResult(False, (row,)))
                    )
                return
            batch = remaining


def _distinct(writes: Iterable[_Pending]) -> list[_Pending]:
    """Returns the first write of each row; a batch writes a row only once."""
    seen: set[protocol.RowId] = set()
    chosen: list[_Pending] = []
    for pending in writes:
        if pending.condition.row_id not in seen:
            seen.add(pending.condition.row_id)
            chosen.append(pending)
    return chosen


def _resolve(
    pending: _Pending,
    result: Result[protocol.TransactionResult, protocol.PlatformError],
) -> None:
    if not pending.done.done():
        pending.done.set_result(result)


__all__ = ["WriteBatcher"]
