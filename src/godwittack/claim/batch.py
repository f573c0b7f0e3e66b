"""Commits conditional writes of one daemon in shared transactions."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from godwittack.store import protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_BATCH = 64


@dataclasses.dataclass(slots=True)
class _Pending:
    condition: protocol.Condition
    write: protocol.RowWrite
    done: asyncio.Future[
        Result[protocol.TransactionResult, protocol.PlatformError]
    ]


class WriteBatcher:
    """Puts writes that wait at the same time into one transaction.

    The service takes several hundred writes a second for all daemons. While
    one transaction is on its way, later writes gather and go together.
    """

    def __init__(self, service: protocol.TableService) -> None:
        """Writes to `service`."""
        self._service = service
        self._waiting: list[_Pending] = []
        self._flusher: asyncio.Task[None] | None = None

    async def write(
        self, condition: protocol.Condition, write: protocol.RowWrite
    ) -> Result[protocol.TransactionResult, protocol.PlatformError]:
        """Makes one conditional write, perhaps together with others."""
        future: asyncio.Future[
            Result[protocol.TransactionResult, protocol.PlatformError]
        ] = asyncio.get_running_loop().create_future()
        self._waiting.append(_Pending(condition, write, future))
        if self._flusher is None or self._flusher.done():
            self._flusher = asyncio.create_task(self._flush())
        return await future

    async def _flush(self) -> None:
        while self._waiting:
            batch = _distinct(self._waiting[:MAX_BATCH])
            self._waiting = [p for p in self._waiting if p not in batch]
            await self._commit(batch)

    async def _commit(self, batch: list[_Pending]) -> None:
        """Commits a batch; a failed condition fails only its own write."""
        while batch:
            got = await self._service.transact(
                tuple(p.condition for p in batch),
                tuple(p.write for p in batch),
            )
            if isinstance(got, Err) or got.ok_value.committed:
                for pending in batch:
                    _settle(pending, got)
                return
            rows = {row.row_id: row for row in got.ok_value.rows}
            rest: list[_Pending] = []
            for pending in batch:
                row = rows[pending.condition.row_id]
                if row.version == pending.condition.version:
                    rest.append(pending)
                else:
                    _settle(
                        pending, Ok(protocol.TransactionResult(False, (row,)))
                    )
            if len(rest) == len(batch):
                # No condition failed, yet nothing was committed: the rows
                # changed back in between. The callers try again.
                for pending in rest:
                    row = rows[pending.condition.row_id]
                    _settle(
                        pending, Ok(protocol.TransactionResult(False, (row,)))
                    )
                return
            batch = rest


def _distinct(waiting: Iterable[_Pending]) -> list[_Pending]:
    """Returns the first write of each row; a row is written once a batch."""
    seen: set[protocol.RowId] = set()
    chosen: list[_Pending] = []
    for pending in waiting:
        if pending.condition.row_id not in seen:
            seen.add(pending.condition.row_id)
            chosen.append(pending)
    return chosen


def _settle(
    pending: _Pending,
    got: Result[protocol.TransactionResult, protocol.PlatformError],
) -> None:
    if not pending.done.done():
        pending.done.set_result(got)


__all__ = ["WriteBatcher"]
