"""The right to order a model's servers, recorded before it is used.

Load pattern: new weights are named while their holder, or the store for some
daemons, is away; until another daemon may order, servers grow too old for use.

One row a model says who orders, under which fencing number, and which servers
it is about to order until when. Each order needs a write of that row before it,
under the condition that nobody else wrote, and must be sent within a short
time of that write. So nobody holds anything while nothing is ordered: another
daemon may take over with one write, and needs to wait for just those servers
that the row says were ordered a moment ago.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import pydantic
from absl import logging
from result import Err

from godwittack.store import protocol

if TYPE_CHECKING:
    from collections.abc import Collection

    from godwittack.clock import Clock

TABLE = "leases"
# Idle time told of a row that records no order: longer than any patience.
NO_ORDER_IDLE_MS = 3_600_000


class _OrderJson(pydantic.BaseModel):
    # Time of the store's clock until which the order may be sent.
    until_ms: int
    fencing: int


class _RowJson(pydantic.BaseModel):
    holder: str
    fencing: int
    # Counts up, so that a write without an answer is known by its number.
    writes: int
    orders: dict[str, _OrderJson] = {}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeasePolicy:
    """Times of a lease.

    Attributes:
        lease_ms: Time between the orders of two holders to one server. One
            that does not check fencing numbers would carry out an order that
            its holder was paused with, after newer ones.
        send_ms: Time from the start of a write in which the orders that it
            records may be sent; longer than a call of the store may take.
        retention_ms: Time for which an order stays in the row after that.
    """

    lease_ms: int = 4_000
    send_ms: int = 800
    retention_ms: int = 10_000


class _StoreClock:
    """The store's steady clock, between two bounds.

    An answer's time lies between the sending of the call and its arrival.
    """

    def __init__(self) -> None:
        self._min_offset_ms: int | None = None
        self._max_offset_ms = 0

    def observe(self, service_ms: int, *, sent_ms: int, got_ms: int) -> None:
        least_ms, most_ms = service_ms - got_ms, service_ms - sent_ms
        if self._min_offset_ms is None or not (
            self._min_offset_ms <= most_ms and least_ms <= self._max_offset_ms
        ):
            # The first answer, or a clock that was set anew.
            self._min_offset_ms, self._max_offset_ms = least_ms, most_ms
            return
        self._min_offset_ms = max(self._min_offset_ms, least_ms)
        self._max_offset_ms = min(self._max_offset_ms, most_ms)

    def earliest_ms(self, now_ms: int) -> int:
        return now_ms + (self._min_offset_ms or 0)

    def latest_ms(self, now_ms: int) -> int:
        return now_ms + self._max_offset_ms


class Lease:
    """One daemon's view of one row, and of what it may send by it."""

    def __init__(
        self,
        *,
        service: protocol.ConditionalRows,
        name: str,
        holder: str,
        policy: LeasePolicy,
        clock: Clock,
    ) -> None:
        """Looks at the row `name` when asked to; may order nothing yet."""
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
        """Who ordered last, as far as this daemon knows; may be empty."""
        return self._row.holder

    @property
    def fencing(self) -> int:
        """The last holder's number, which rises with each change of holder."""
        return self._row.fencing

    @property
    def is_own(self) -> bool:
        """Whether this daemon ordered last, as far as it knows."""
        return self._row.holder == self._own_id

    def may_send(self, server_id: str) -> bool:
        """Returns whether an order to a server may go out at this moment."""
        until_ms = self._granted_until_ms.get(server_id, -1)
        return self.is_own and self._clock.now_ms() < until_ms

    def is_recorded(self, server_id: str) -> bool:
        """Returns whether this holder has recorded an order to a server."""
        order = self._row.orders.get(server_id)
        return self.is_own and order is not None and self._is_own_order(order)

    def held_by_others(self) -> frozenset[str]:
        """Returns servers that another holder ordered too short a time ago."""
        now_ms = self._store_clock.earliest_ms(self._clock.now_ms())
        return frozenset(
            name
            for name, order in self._row.orders.items()
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
        """Gives the right up: a server has seen a higher fencing number."""
        self._row = self._row.model_copy(update={"holder": ""})
        self._granted_until_ms.clear()

    async def refresh(self) -> bool:
        """Reads the row; returns whether the store answered."""
        sent_ms = self._clock.now_ms()
        got = await self._service.read(self._row_id)
        if isinstance(got, Err):
            return False
        self._observe_store_time(got.ok_value.service_ms, sent_ms)
        self._apply_row(got.ok_value)
        return True

    async def record(self, server_ids: Collection[str]) -> bool:
        """Records orders that are about to be sent; returns whether it may.

        Makes this daemon the holder where another one was.
        """
        was_own = self.is_own
        if self._row_version < 0 and not await self.refresh():
            return False
        if was_own and not self.is_own:
            # Read for the first time since a write: what was decided on as
            # the holder knows nothing of the other's orders.
            return False
        sent_ms = self._clock.now_ms()
        wanted = self._with_orders(server_ids, sent_ms)
        got = await self._service.transact(
            (protocol.Condition(self._row_id, self._row_version),),
            (protocol.RowWrite(self._row_id, wanted.model_dump_json()),),
        )
        if isinstance(got, Err):
            # Whether it was written is not known; the row tells.
            if not await self.refresh() or self._row != wanted:
                return False
        else:
            done = got.ok_value
            self._observe_store_time(done.service_ms, sent_ms)
            if not done.committed:
                self._apply_row(done.rows[0])
                return False
            self._row, self._row_version = wanted, done.version
            if not done.version and not await self.refresh():
                self._row_version = -1
            if self._row != wanted:
                return False
        until_ms = sent_ms + self._policy.send_ms
        self._granted_until_ms.update(dict.fromkeys(server_ids, until_ms))
        return True

    def _with_orders(
        self, server_ids: Collection[str], sent_ms: int
    ) -> _RowJson:
        fencing = self._row.fencing if self.is_own else self._row.fencing + 1
        now_ms = self._store_clock.earliest_ms(sent_ms)
        kept = {
            name: order
            for name, order in self._row.orders.items()
            if now_ms < order.until_ms + self._policy.retention_ms
        }
        until_ms = self._store_clock.latest_ms(sent_ms) + self._policy.send_ms
        new = _OrderJson(until_ms=until_ms, fencing=fencing)
        return _RowJson(
            holder=self._own_id,
            fencing=fencing,
            writes=self._row.writes + 1,
            orders={**kept, **dict.fromkeys(server_ids, new)},
        )

    def _is_own_order(self, order: _OrderJson) -> bool:
        return order.fencing == self._row.fencing

    def _observe_store_time(self, service_ms: int, sent_ms: int) -> None:
        self._store_clock.observe(
            service_ms, sent_ms=sent_ms, got_ms=self._clock.now_ms()
        )

    def _apply_row(self, row: protocol.StoredRow) -> None:
        if row.version <= self._row_version:
            return
        self._row_version = row.version
        if not row.version:
            return
        try:
            self._row = _RowJson.model_validate_json(row.value)
        except pydantic.ValidationError as error:
            # By another writer. No number of a holder was ever above the
            # row's version, so that numbers go on rising from that.
            logging.error(
                "event=lease_unreadable row=%s version=%d detail=%r",
                self._row_id.key,
                row.version,
                error.errors()[0]["msg"],
            )
            self._row = self._replacement_row(row.version)
        if not self.is_own:
            self._granted_until_ms.clear()

    def _replacement_row(self, version: int) -> _RowJson:
        """Returns a row for one that can't be read: all may be ordered now."""
        until_ms = self._store_clock.latest_ms(self._clock.now_ms())
        any_order = _OrderJson(
            until_ms=until_ms + self._policy.send_ms, fencing=version
        )
        return _RowJson(
            holder="",
            fencing=version,
            writes=version,
            orders=dict.fromkeys(self._row.orders, any_order),
        )


__all__ = ["Lease", "LeasePolicy"]
