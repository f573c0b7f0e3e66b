"""Accounts for the memory that connections make a daemon hold.

Load pattern: clients that the daemon doesn't control open many connections and
stop halfway, in a head, a body or the reading of an answer. Each state alone
stays below a limit of its own; together they exceed the machine's memory, and
the process is ended with all of its streams.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

# Larger amounts than a short request takes leave this part of the memory to
# short requests, and wait until closed connections have given theirs back.
BULK_BYTES = 56 << 10
SHORT_REQUESTS_RATIO = 0.2
# Searching all connections takes a while, so one search makes room for more
# than the request at hand, and the next one is made later.
SEARCH_INTERVAL_MS = 100
SEARCH_SLACK_RATIO = 0.1


class WaitKind(enum.IntEnum):
    """What a client is waited for, those to give up first with higher values.

    GOING_ON: The rest of a request, the next request of a connection that has
        had some, or that the client reads its answer.
    UNUSED: The first request. Callers connect when they have one to send.
    ANSWERED: The rest of a request that has its answer.
    """

    GOING_ON = 0
    UNUSED = 1
    ANSWERED = 2


# How long a client on a working link may be waited for before its connection
# is among those that are closed to make room.
MIN_WAIT_MS = {
    WaitKind.GOING_ON: 1_000,
    WaitKind.UNUSED: 200,
    WaitKind.ANSWERED: 0,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """A wait for a client.

    Attributes:
        kind: What for.
        since_ms: When it began.
    """

    kind: WaitKind
    since_ms: int


class Client(Protocol):
    """The other end of a connection."""

    def awaited(self) -> Wait | None:
        """Returns the wait for it, None while it isn't waited for."""

    def close_for_room(self) -> None:
        """Closes the connection; what it holds is given back soon after."""


class Fixed:
    """A client that is never closed to make room."""

    def awaited(self) -> Wait | None:
        """Returns that it isn't waited for."""
        return None

    def close_for_room(self) -> None:
        """Does nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    """A connection that may be closed to make room."""

    holder: Holder
    kind: WaitKind
    waited_ms: int

    @property
    def rank(self) -> tuple[WaitKind, int]:
        """How soon it is closed: by what it is waited for, then by cost."""
        return self.kind, self.holder.size_bytes * self.waited_ms


@dataclasses.dataclass(slots=True, eq=False)
class Holder:
    """One connection in the account.

    Attributes:
        client: The connection.
        size_bytes: Memory that it holds.
        long_body_bytes: Memory of those for a long body that is arriving.
        is_closing: Whether it was closed to make room.
    """

    client: Client
    size_bytes: int = 0
    long_body_bytes: int = 0
    is_closing: bool = False


class ConnectionMemory:
    """Memory of all connections of one daemon.

    Attributes:
        capacity_bytes: All of it; 0 for no limit.
        max_connections: Connections that may be open; 0 for no limit.
        used_bytes: Memory that is taken.
        closed: Connections closed to make room for others.
        rejected: Times that there was no room.
        on_freed: Called when memory was given back.
        on_closed: Called with what each connection holds that is closed to
            make room, and how long its client was waited for.
    """

    def __init__(
        self, capacity_bytes: int = 0, *, max_connections: int = 0
    ) -> None:
        """Starts without connections."""
        self.capacity_bytes = capacity_bytes
        self.max_connections = max_connections
        self.used_bytes = 0
        self.closed = 0
        self.rejected = 0
        self.on_freed: Callable[[], None] = lambda: None
        self.on_closed: Callable[[int, int], None]
        self.on_closed = lambda size_bytes, waited_ms: None
        self._holders: set[Holder] = set()
        self._closing = 0
        self._closing_bytes = 0
        self._searched_at_ms = -SEARCH_INTERVAL_MS

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._holders)

    def open(
        self, client: Client, size_bytes: int, *, now_ms: int
    ) -> Holder | None:
        """Adds a connection; returns None if there is no room for it.

        Args:
            client: The connection.
            size_bytes: Memory that it holds while it is open.
            now_ms: The current time.
        """
        self.close_excess(now_ms=now_ms)
        holder = Holder(client)
        if not self._has_place():
            self.rejected += 1
            return None
        if not self.take(holder, size_bytes, now_ms=now_ms):
            return None
        self._holders.add(holder)
        return holder

    def close_excess(self, *, now_ms: int) -> None:
        """Closes connections until there are fewer than the maximum."""
        if self._has_place() or not self._may_search(now_ms):
            return
        spare = max(1, round(self.max_connections * SEARCH_SLACK_RATIO))
        excess = len(self._holders) - self._closing - self.max_connections
        for number, candidate in enumerate(self._candidates(now_ms)):
            is_in_use = candidate.kind is WaitKind.GOING_ON
            if is_in_use and number >= excess + spare:
                return
            self._close(candidate)

    def end(self, holder: Holder) -> None:
        """Removes a connection; its requests may still hold memory."""
        if holder in self._holders:
            self._holders.remove(holder)
            self._closing -= holder.is_closing

    def take(self, holder: Holder, size_bytes: int, *, now_ms: int) -> bool:
        """Takes memory before it is held; returns whether there is enough.

        Closes connections whose clients are waited for if there is not.
        """
        if not self._has_room(size_bytes):
            self._make_room(size_bytes, holder, now_ms)
            if not self._has_room(size_bytes):
                self.rejected += 1
                return False
        self.add(holder, size_bytes)
        return True

    def add(self, holder: Holder, size_bytes: int) -> None:
        """Records memory, whether there is enough or not.

        Args:
            holder: The connection.
            size_bytes: Bytes; negative ones are given back.
        """
        holder.size_bytes += size_bytes
        self.used_bytes += size_bytes
        if holder.is_closing:
            self._closing_bytes += size_bytes
        if size_bytes < 0:
            self.on_freed()

    def close_long_body(self, *, now_ms: int) -> bool:
        """Closes the long body that was waited for at the highest cost.

        Returns:
            Whether there was one.
        """
        if not self._may_search(now_ms):
            return False
        for candidate in self._candidates(now_ms):
            if candidate.holder.long_body_bytes:
                self._close(candidate)
                return True
        return False

    def _has_place(self) -> bool:
        # Those that are being closed have their descriptors until they have
        # ended.
        return not 0 < self.max_connections <= len(self._holders)

    def _has_room(self, size_bytes: int) -> bool:
        if not self.capacity_bytes:
            return True
        used_bytes = self.used_bytes
        if size_bytes <= BULK_BYTES:
            used_bytes -= self._closing_bytes
        return used_bytes + size_bytes <= self._limit_bytes(size_bytes)

    def _limit_bytes(self, size_bytes: int) -> float:
        """Returns how much may be used for an amount to be taken."""
        if size_bytes <= BULK_BYTES:
            return self.capacity_bytes
        return self.capacity_bytes * (1 - SHORT_REQUESTS_RATIO)

    def _make_room(self, size_bytes: int, taker: Holder, now_ms: int) -> None:
        if not self._may_search(now_ms):
            return
        limit_bytes = self._limit_bytes(size_bytes) - size_bytes
        limit_bytes -= self.capacity_bytes * SEARCH_SLACK_RATIO
        for candidate in self._candidates(now_ms):
            if self.used_bytes - self._closing_bytes <= limit_bytes:
                return
            if candidate.holder is not taker:
                self._close(candidate)

    def _may_search(self, now_ms: int) -> bool:
        if now_ms - self._searched_at_ms < SEARCH_INTERVAL_MS:
            return False
        self._searched_at_ms = now_ms
        return True

    def _candidates(self, now_ms: int) -> list[_Candidate]:
        """Returns the connections that may be closed, those to close first."""
        candidates = []
        for holder in self._holders:
            wait = None if holder.is_closing else holder.client.awaited()
            if wait is None:
                continue
            waited_ms = now_ms - wait.since_ms
            if waited_ms >= MIN_WAIT_MS[wait.kind]:
                candidates.append(_Candidate(holder, wait.kind, waited_ms))
        candidates.sort(key=lambda candidate: candidate.rank, reverse=True)
        return candidates

    def _close(self, candidate: _Candidate) -> None:
        holder = candidate.holder
        self.closed += 1
        holder.is_closing = True
        self._closing += 1
        self._closing_bytes += holder.size_bytes
        self.on_closed(holder.size_bytes, candidate.waited_ms)
        holder.client.close_for_room()


__all__ = [
    "MIN_WAIT_MS",
    "Client",
    "ConnectionMemory",
    "Fixed",
    "Holder",
    "Wait",
    "WaitKind",
]
