"""Leases in the table service that need no common clock."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import pydantic
from result import Err

from godwittack.store import protocol

if TYPE_CHECKING:
    from godwittack.clock import Clock

TABLE = "leases"


class _LeaseJson(pydantic.BaseModel):
    holder: str
    fencing: int
    renewals: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeasePolicy:
    """Times of a lease.

    Attributes:
        lease_ms: Time after a renewal for which the holder may act, and for
            which others must have seen no renewal before they take over.
        margin_ms: Taken off the holder's time and added to the others', for
            clocks that run at different speeds.
    """

    lease_ms: int = 4_000
    margin_ms: int = 500


class Lease:
    """One daemon's view of one lease.

    Nobody compares clocks of two instances: the holder counts from the moment
    before its last renewal was sent, a candidate from the moment when it first
    saw the row as it still stands. A holder that was paused finds its time
    over before it acts.
    """

    def __init__(
        self,
        *,
        service: protocol.ConditionalRows,
        name: str,
        holder: str,
        policy: LeasePolicy,
        clock: Clock,
    ) -> None:
        """Looks at the row `name`; holds nothing yet."""
        self._service = service
        self._row_id = protocol.RowId(TABLE, name)
        self._holder = holder
        self._policy = policy
        self._clock = clock
        self._held_until_ms = -1
        self._held_since_ms = -1
        self._stands: _LeaseJson | None = None
        self._row_version = 0
        self._seen_since_ms = clock.now_ms()
        self.fencing = 0

    def valid(self) -> bool:
        """Returns whether this daemon may act as holder at this moment."""
        return self._clock.now_ms() < self._held_until_ms

    def settled(self) -> bool:
        """Returns whether a holder before can have no order on its way.

        Servers that do not check fencing numbers would carry out an order of
        a holder that was paused between its check and its sending.
        """
        waited_ms = self._clock.now_ms() - self._held_since_ms
        return self.valid() and waited_ms >= self._policy.lease_ms

    def forfeit(self) -> None:
        """Gives the lease up: a server has seen a higher fencing number."""
        self._held_until_ms = -1
        self._stands = None
        self._seen_since_ms = self._clock.now_ms()

    async def step(self) -> None:
        """Renews a held lease, or takes over one that stands still."""
        if self._stands is not None and self._stands.holder == self._holder:
            if not self._is_fresh():
                await self._write(self._stands.fencing)
            return
        await self._look()
        still_ms = self._clock.now_ms() - self._seen_since_ms
        patience_ms = self._policy.lease_ms + self._policy.margin_ms
        free = self._row_version == 0
        if free or still_ms >= patience_ms:
            number = self._stands.fencing + 1 if self._stands else 1
            await self._write(number)

    async def _look(self) -> None:
        got = await self._service.read(self._row_id)
        if not isinstance(got, Err):
            self._see(got.ok_value)

    async def _write(self, fencing: int) -> None:
        started_ms = self._clock.now_ms()
        renewals = self._stands.renewals + 1 if self._stands else 0
        wanted = _LeaseJson(
            holder=self._holder, fencing=fencing, renewals=renewals
        )
        got = await self._service.transact(
            (protocol.Condition(self._row_id, self._row_version),),
            (protocol.RowWrite(self._row_id, wanted.model_dump_json()),),
        )
        if isinstance(got, Err):
            # Whether it was written is not known: the next look tells, and
            # until then the time held runs out by itself.
            await self._look()
            return
        if not got.ok_value.committed:
            self._see(got.ok_value.rows[0])
            return
        taken = fencing != self.fencing
        self.fencing = fencing
        self._stands = wanted
        if taken:
            self._held_since_ms = started_ms
        self._held_until_ms = (
            started_ms + self._policy.lease_ms - self._policy.margin_ms
        )
        if got.ok_value.version:
            self._row_version = got.ok_value.version
            return
        await self._look()

    def _is_fresh(self) -> bool:
        """Returns whether over half of the time held is left.

        Renewed with each step, a lease would take a call of the service each
        time, and its calls are limited.
        """
        left_ms = self._held_until_ms - self._clock.now_ms()
        return left_ms > self._policy.lease_ms / 2

    def _see(self, row: protocol.StoredRow) -> None:
        if row.version < self._row_version:
            return
        if row.version != self._row_version:
            self._row_version = row.version
            # After the reading: this process may have been stopped before it
            # was made, and the holder may have renewed meanwhile.
            self._seen_since_ms = self._clock.now_ms()
        if row.version:
            self._stands = _LeaseJson.model_validate_json(row.value)


__all__ = ["Lease", "LeasePolicy"]
