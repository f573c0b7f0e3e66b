"""Lease to order the servers of a model, with orders recorded before sending.

Load pattern: new weights are published while the holder of the lease is down,
or some daemons cannot reach the store; until another daemon may order, the
weights of servers become too old for use.

One row per model records the holder, its fencing number, and the servers that
it is about to order with a deadline for each. Before each order the row is
written, on condition that no other daemon wrote it, and the order must be sent
within a short time after that write. So the lease blocks nothing while nothing
is ordered: another daemon takes over with one write, and waits only for the
servers with recent orders in the row.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import pydantic
from absl import logging
from result import Err, Ok, Result

from godwittack.backend import json_fields
from godwittack.store import protocol

if TYPE_CHECKING:
    from collections.abc import Collection

    from godwittack.clock import Clock

TABLE = "leases"
# Idle time returned for a row without orders: longer than any takeover wait.
NO_ORDER_IDLE_MS = 3_600_000


class _OrderJson(pydantic.BaseModel):
    # Time of the store's clock until which the order may be sent.
    until_ms: int
    fencing: json_fields.Count


class _RowJson(pydantic.BaseModel):
    holder: str
    fencing: json_fields.Count
    # Incremented by each write, to recognize one whose reply was lost.
    writes: int
    orders: dict[str, _OrderJson] = {}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeasePolicy:
    """Times of a lease.

    Attributes:
        lease_ms: Minimum time between orders of two holders to one server. A
            server that does not check fencing numbers would otherwise carry
            out the late order of a holder that was suspended, after newer
            ones.
        send_ms: Time from the start of a write in which the orders that it
            records may be sent; longer than a call to the store may take.
        retention_ms: Time for which an order stays in the row after that time.
    """

    lease_ms: int = 4_000
    send_ms: int = 800
    retention_ms: int = 10_000


class _StoreClock:
    """Bounds of the offset between the local clock and the store's clock.

    The store's time in a reply lies between the sending of the call and the
    arrival of the reply.
    """

    def __init__(self) -> None:
        self._min_offset_ms: int | None = None
        self._max_offset_ms = 0

    def observe(
        self, service_ms: int, *, sent_ms: int, received_ms: int
    ) -> None:
        min_ms, max_ms = service_ms - received_ms, service_ms - sent_ms
        if self._min_offset_ms is None or not (
            self._min_offset_ms <= max_ms and min_ms <= self._max_offset_ms
        ):
            # The first reply, or one of the clocks was set.
            self._min_offset_ms, self._max_offset_ms = min_ms, max_ms
            return
        self._min_offset_ms = max(self._min_offset_ms, min_ms)
        self._max_offset_ms = min(self._max_offset_ms, max_ms)

    def earliest_ms(self, now_ms: int) -> int:
        return now_ms + (self._min_offset_ms or 0)

    def latest_ms(self, now_ms: int) -> int:
        return now_ms + self._max_offset_ms


class Lease:
    """One daemon's copy of a model's row, and the orders that it may send."""

    def __init__(
        self,
        *,
        service: protocol.ConditionalRows,
        name: str,
        holder: str,
        policy: LeasePolicy,
        clock: Clock,
    ) -> None:
        """Starts without reading the row `name`; may order nothing yet."""
        self._service = service
        self._row_id = protocol.RowId(TABLE, name)
        self._own_id = holder
        self._policy = policy
        self._clock = clock
        self._store_clock = _StoreClock()
        self._row = _RowJson(holder="", fencing=0, writes=0)
        self._row_version = -1
        self._granted_until_ms: dict[str, int] = {}

    @property
    def holder(self) -> str:
        """The daemon that ordered last, as far as known here; may be empty."""
        return self._row.holder

    @property
    def fencing(self) -> int:
        """The last holder's fencing number; each new holder's is higher."""
        return self._row.fencing

    @property
    def is_own(self) -> bool:
        """Whether this daemon ordered last, as far as it knows."""
        return self._row.holder == self._own_id

    def may_send(self, server_id: str) -> bool:
        """Returns whether an order to a server may be sent now."""
        until_ms = self._granted_until_ms.get(server_id, -1)
        return self.is_own and self._clock.now_ms() < until_ms

    def is_recorded(self, server_id: str) -> bool:
        """Returns whether this daemon, as holder, recorded an order to it."""
        order = self._row.orders.get(server_id)
        return self.is_own and order is not None and self._is_own_order(order)

    def held_by_others(self) -> frozenset[str]:
        """Returns servers that another holder ordered too recently."""
        now_ms = self._store_clock.earliest_ms(self._clock.now_ms())
        return frozenset(
            server_id
            for server_id, order in self._row.orders.items()
            if not (self.is_own and self._is_own_order(order))
            and now_ms < order.until_ms + self._policy.lease_ms
        )

    def idle_ms(self) -> int:
        """Returns how long ago the last order was recorded."""
        if not self._row.orders:
            return NO_ORDER_IDLE_MS
        last_ms = max(order.until_ms for order in self._row.orders.values())
        now_ms = self._store_clock.earliest_ms(self._clock.now_ms())
        return max(0, now_ms - last_ms + self._policy.send_ms)

    def forfeit(self) -> None:
        """Gives up the lease: a server has seen a higher fencing number."""
        self._row = self._row.model_copy(update={"holder": ""})
        self._granted_until_ms.clear()

    async def refresh(self) -> bool:
        """Reads the row; returns whether the store replied."""
        sent_ms = self._clock.now_ms()
        reply = await self._service.read(self._row_id)
        if isinstance(reply, Err):
            return False
        self._observe_store_time(reply.ok_value.service_ms, sent_ms)
        self._apply_row(reply.ok_value)
        return True

    async def record(self, server_ids: Collection[str]) -> bool:
        """Records orders before they are sent; returns whether they may be.

        Makes this daemon the holder if another one was.
        """
        was_own = self.is_own
        if self._row_version < 0 and not await self.refresh():
            return False
        if was_own and not self.is_own:
            # First read since a write that left the row's version unknown:
            # the decision was made as the holder and does not consider the
            # other holder's orders.
            return False
        sent_ms = self._clock.now_ms()
        new_row = self._with_orders(server_ids, sent_ms)
        reply = await self._service.transact(
            (protocol.Condition(self._row_id, self._row_version),),
            (protocol.RowWrite(self._row_id, new_row.model_dump_json()),),
        )
        if isinstance(reply, Err):
            # It may have been written; reading the row shows it.
            if not await self.refresh() or self._row != new_row:
                return False
        else:
            result = reply.ok_value
            self._observe_store_time(result.service_ms, sent_ms)
            if not result.committed:
                if result.rows:
                    self._apply_row(result.rows[0])
                else:
                    self._row_version = -1
                return False
            self._row, self._row_version = new_row, result.version
            if not result.version and not await self.refresh():
                self._row_version = -1
            if self._row != new_row:
                return False
        until_ms = sent_ms + self._policy.send_ms
        self._granted_until_ms.update(dict.fromkeys(server_ids, until_ms))
        return True

    def _with_orders(
        self, server_ids: Collection[str], sent_ms: int
    ) -> _RowJson:
        fencing = self._row.fencing if self.is_own else self._row.fencing + 1
        now_ms = self._store_clock.earliest_ms(sent_ms)
        retained = {
            server_id: order
            for server_id, order in self._row.orders.items()
            if now_ms < order.until_ms + self._policy.retention_ms
        }
        until_ms = self._store_clock.latest_ms(sent_ms) + self._policy.send_ms
        new_order = _OrderJson(until_ms=until_ms, fencing=fencing)
        return _RowJson(
            holder=self._own_id,
            fencing=fencing,
            writes=self._row.writes + 1,
            orders={**retained, **dict.fromkeys(server_ids, new_order)},
        )

    def _is_own_order(self, order: _OrderJson) -> bool:
        return order.fencing == self._row.fencing

    def _observe_store_time(self, service_ms: int, sent_ms: int) -> None:
        self._store_clock.observe(
            service_ms, sent_ms=sent_ms, received_ms=self._clock.now_ms()
        )

    def _apply_row(self, row: protocol.StoredRow) -> None:
        if row.version <= self._row_version:
            return
        self._row_version = row.version
        if not row.version:
            return
        parsed = self._parse_row(row)
        if isinstance(parsed, Err):
            # Written by something else. Fencing numbers never exceed the
            # row's version, so they keep rising when they continue from it.
            logging.error(
                "event=lease_unreadable row=%s version=%d detail=%r",
                self._row_id.key,
                row.version,
                parsed.err_value,
            )
            self._row = self._replacement_row(row.version)
        else:
            self._row = parsed.ok_value
        if not self.is_own:
            self._granted_until_ms.clear()

    def _parse_row(self, row: protocol.StoredRow) -> Result[_RowJson, str]:
        """Returns a row's contents, or why no lease has written them.

        An order may be sent for a moment after it was recorded. One that lies
        further ahead would keep its server from being ordered until then, by
        any daemon; it also occurs if the store's clock starts anew.
        """
        try:
            parsed = _RowJson.model_validate_json(row.value)
        except pydantic.ValidationError as error:
            return Err(json_fields.first_error(error))
        if parsed.fencing > row.version:
            return Err("its fencing number exceeds its version")
        latest_ms = self._store_clock.latest_ms(self._clock.now_ms())
        max_until_ms = (
            latest_ms + self._policy.send_ms + self._policy.retention_ms
        )
        if any(
            order.until_ms > max_until_ms for order in parsed.orders.values()
        ):
            return Err("an order lies too far ahead")
        return Ok(parsed)

    def _replacement_row(self, version: int) -> _RowJson:
        """Returns a substitute for an unreadable row: all were just ordered."""
        until_ms = self._store_clock.latest_ms(self._clock.now_ms())
        assumed_order = _OrderJson(
            until_ms=until_ms + self._policy.send_ms, fencing=version
        )
        return _RowJson(
            holder="",
            fencing=version,
            writes=version,
            orders=dict.fromkeys(self._row.orders, assumed_order),
        )


__all__ = ["Lease", "LeasePolicy"]
