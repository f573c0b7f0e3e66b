"""Memory for requests and their answers, taken before they are read."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from godwittack.core import effects
from godwittack.limit import body_memory, connection_memory

if TYPE_CHECKING:
    from godwittack.clock import Clock

# Bytes that the socket and the HTTP library hold of a body that is not read.
UNREAD_BYTES = body_memory.SHORT_BYTES
MIN_RETRY_MS = 200
# Memory for a request besides its head and body: the state that the core keeps
# of it, and what the connection to its server buffers.
REQUEST_BYTES = 48 << 10
# Memory for a stream whose caller doesn't read: the events that are queued,
# those that are being written, and those that its server has sent meanwhile.
STALLED_STREAM_BYTES = 256 << 10
# Interval at which an answer looks for memory, which is also made by time.
ROOM_POLL_S = 0.05
# What the answer of one request may take beyond the account: its body may fill
# the account alone, and it would wait for itself.
EXCESS_BYTES = 4 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class BodyError:
    """Why a body was not read.

    Attributes:
        status: HTTP status of the response.
        detail: One human-readable line.
        retry_after_ms: When there may be memory for it; 0 if that is not why.
    """

    status: int
    detail: str
    retry_after_ms: int = 0

    def refusal(self, request_id: str) -> effects.Refuse:
        """Returns the refusal of a request that found no memory."""
        return effects.Refuse(
            request_id=request_id,
            status=self.status,
            outcome=effects.Outcome.NOT_RUN,
            reason=effects.Reason.NO_MEMORY,
            detail=self.detail,
            retry_after_ms=self.retry_after_ms,
        )


@dataclasses.dataclass(slots=True)
class _Waiter:
    size_bytes: int
    holder: connection_memory.Holder
    granted: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Reservation:
    """Memory for one request and its answer, until it is released."""

    def __init__(
        self,
        memory: SharedBodyMemory,
        size_bytes: int,
        *,
        holder: connection_memory.Holder,
        now_ms: int,
    ) -> None:
        """Is taken from `memory` already."""
        self._memory = memory
        self._holder = holder
        self._taken_at_ms = now_ms
        self._answer_bytes = 0
        self._excess_bytes = 0
        self._is_stalled = False
        self.size_bytes = size_bytes

    def shrink(self, size_bytes: int) -> None:
        """Gives back what a body didn't need; it is complete now."""
        self._memory.shrink(self._holder, self.size_bytes, size_bytes)
        self._holder.long_body_bytes = 0
        self.size_bytes = size_bytes

    def replace_by(self, other: Reservation) -> None:
        """Takes over another reservation, and gives this one's memory back."""
        self._memory.give_back(self._holder, self.size_bytes)
        self.size_bytes = other.size_bytes

    async def take_answer(self, size_bytes: int) -> None:
        """Takes memory for a part of the answer; waits until there is some."""
        account = self._memory.connections
        while not account.take(
            self._holder, size_bytes, now_ms=self._memory.now_ms()
        ):
            if self._may_exceed(size_bytes):
                account.add(self._holder, size_bytes)
                self._excess_bytes += size_bytes
                break
            await asyncio.sleep(ROOM_POLL_S)
        self._answer_bytes += size_bytes

    def _may_exceed(self, size_bytes: int) -> bool:
        """Returns whether the answer may go on without memory for it."""
        return (
            self._excess_bytes + size_bytes <= EXCESS_BYTES
            and self._memory.begin_excess(self)
        )

    def begin_stall(self) -> None:
        """Takes memory for a stream that its caller doesn't read."""
        account = self._memory.connections
        if not account.take(
            self._holder, STALLED_STREAM_BYTES, now_ms=self._memory.now_ms()
        ):
            self._holder.client.close_for_room()
            return
        self._is_stalled = True

    def end_stall(self) -> None:
        """Gives back the memory of a stream that goes on."""
        if self._is_stalled:
            self._is_stalled = False
            self._memory.connections.add(self._holder, -STALLED_STREAM_BYTES)

    def release(self) -> None:
        """Gives the memory back."""
        self.end_stall()
        self._memory.end_excess(self)
        self._excess_bytes = 0
        self._memory.connections.add(self._holder, -self._answer_bytes)
        self._answer_bytes = 0
        self._memory.give_back(
            self._holder, self.size_bytes, since_ms=self._taken_at_ms
        )
        self._holder.long_body_bytes = 0


class SharedBodyMemory:
    """Lets long bodies wait for memory, in the order of their arrival.

    Attributes:
        connections: Account of all that connections hold, also bodies.
        rejected: Bodies for which there was no memory in time.
    """

    def __init__(
        self,
        *,
        capacity_bytes: int,
        clock: Clock,
        connections: connection_memory.ConnectionMemory | None = None,
    ) -> None:
        """Starts without bodies; a capacity of 0 is no limit."""
        self._account = body_memory.BodyMemory(capacity_bytes)
        self._clock = clock
        self._waiters: collections.deque[_Waiter] = collections.deque()
        self.connections = connections or connection_memory.ConnectionMemory()
        self.connections.on_freed = self._grant
        self._exceeding: Reservation | None = None
        self.rejected = 0

    @property
    def used_bytes(self) -> int:
        """Bytes of all bodies."""
        return self._account.used_bytes

    @property
    def waiting(self) -> int:
        """Bodies that wait for memory."""
        return len(self._waiters)

    def now_ms(self) -> int:
        """Returns the current time."""
        return self._clock.now_ms()

    def begin_excess(self, reservation: Reservation) -> bool:
        """Lets one request at a time exceed the account by its answer."""
        if self._exceeding is None:
            self._exceeding = reservation
        return self._exceeding is reservation

    def end_excess(self, reservation: Reservation) -> None:
        """Lets another request exceed the account."""
        if self._exceeding is reservation:
            self._exceeding = None

    def try_reserve(
        self,
        size_bytes: int,
        holder: connection_memory.Holder | None = None,
    ) -> Reservation | None:
        """Takes memory for a body that doesn't wait; None if there is none.

        Args:
            size_bytes: Length of the body.
            holder: The connection that it arrives on; None for no connection.
        """
        holder = holder or _unconnected()
        is_long = size_bytes > body_memory.SHORT_BYTES
        if is_long and self._waiters:
            return None
        if not self._take(holder, size_bytes):
            return None
        return self._reservation(holder, size_bytes)

    async def reserve(
        self,
        size_bytes: int,
        *,
        max_wait_ms: int,
        holder: connection_memory.Holder | None = None,
    ) -> Result[Reservation, BodyError]:
        """Takes memory for a body, or says when to come back.

        Args:
            size_bytes: Length of the body.
            max_wait_ms: How long it may wait.
            holder: The connection that it arrives on; None for no connection.
        """
        holder = holder or _unconnected()
        reservation = self.try_reserve(size_bytes, holder)
        if reservation is not None:
            return Ok(reservation)
        is_long = size_bytes > body_memory.SHORT_BYTES
        if is_long:
            self.connections.close_long_body(now_ms=self.now_ms())
        expected_ms = self._account.expected_wait_ms(
            size_bytes, ahead_bytes=sum(w.size_bytes for w in self._waiters)
        )
        may_wait = is_long and expected_ms <= max_wait_ms
        if may_wait and await self._wait(holder, size_bytes, max_wait_ms):
            return Ok(self._reservation(holder, size_bytes))
        self.rejected += 1
        return Err(
            BodyError(
                503,
                f"{self.connections.used_bytes} bytes of other requests are in"
                " memory",
                max(MIN_RETRY_MS, expected_ms),
            )
        )

    def give_back(
        self,
        holder: connection_memory.Holder,
        size_bytes: int,
        *,
        since_ms: int | None = None,
    ) -> None:
        """Gives memory back, and passes it on to bodies that wait.

        Args:
            holder: The connection that took it.
            size_bytes: Bytes given back.
            since_ms: When a request took them; None if that says nothing of
                others.
        """
        held_ms = None if since_ms is None else self.now_ms() - since_ms
        self._account.give_back(size_bytes, held_ms=held_ms)
        self.connections.add(holder, -size_bytes - REQUEST_BYTES)

    def shrink(
        self,
        holder: connection_memory.Holder,
        old_bytes: int,
        new_bytes: int,
    ) -> None:
        """Gives a part of a reservation's memory back."""
        self._account.resize(old_bytes, new_bytes)
        self.connections.add(holder, new_bytes - old_bytes)

    def _reservation(
        self, holder: connection_memory.Holder, size_bytes: int
    ) -> Reservation:
        if size_bytes > body_memory.SHORT_BYTES:
            holder.long_body_bytes = size_bytes
        return Reservation(
            self, size_bytes, holder=holder, now_ms=self.now_ms()
        )

    def _take(self, holder: connection_memory.Holder, size_bytes: int) -> bool:
        """Takes memory for a body and its request."""
        if not self._account.take(size_bytes):
            return False
        wanted_bytes = size_bytes + REQUEST_BYTES
        if self.connections.take(holder, wanted_bytes, now_ms=self.now_ms()):
            return True
        is_long = size_bytes > body_memory.SHORT_BYTES
        if is_long and self._account.long_bytes == size_bytes:
            # The longest body is served on a machine with little memory.
            self.connections.add(holder, wanted_bytes)
            return True
        self._account.give_back(size_bytes)
        return False

    async def _wait(
        self,
        holder: connection_memory.Holder,
        size_bytes: int,
        max_wait_ms: int,
    ) -> bool:
        """Waits for memory; returns whether it was taken."""
        if not self._account.take(UNREAD_BYTES):
            return False
        waiter = _Waiter(size_bytes, holder)
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(max_wait_ms / 1000):
                await waiter.granted.wait()
        except TimeoutError:
            # It may have been granted at the same moment.
            pass
        except asyncio.CancelledError:
            if waiter.granted.is_set():
                self.give_back(holder, size_bytes)
            raise
        finally:
            if not waiter.granted.is_set():
                self._waiters.remove(waiter)
            self._account.give_back(UNREAD_BYTES)
            self._grant()
        return waiter.granted.is_set()

    def _grant(self) -> None:
        while self._waiters and self._take(
            self._waiters[0].holder, self._waiters[0].size_bytes
        ):
            self._waiters.popleft().granted.set()


def _unconnected() -> connection_memory.Holder:
    """Returns an entry for memory that no connection holds."""
    return connection_memory.Holder(connection_memory.Fixed())


__all__ = ["BodyError", "Reservation", "SharedBodyMemory"]
