"""Pool of idle connections to backend servers, within their idle limits."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

from godwittack import address as addresses
from godwittack.backend import connection as connections
from godwittack.backend import reply_limits

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.clock import Clock

# A connection expires this long before the server's own idle limit, so that a
# request and the server's close do not cross on the network.
IDLE_MARGIN_MS = 1_500
# The same for requests that may be repeated after such a crossing.
SHORT_IDLE_MARGIN_MS = 500
# Idle limit of a connection whose server does not state one.
DEFAULT_IDLE_LIMIT_MS = 3_000
MAX_IDLE_PER_ADDRESS = 32


class Pool:
    """Opens connections and keeps reusable ones.

    Attributes:
        keeps_expiring: Whether connections of a key are kept for requests that
            may use them within the usual margin.
        on_idle: Called with each key whose number of idle connections changed.
        opened: Connections opened so far.
        open_count: Connections that are open.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        connect_timeout_ms: int,
        limits: reply_limits.ReplyLimits = reply_limits.DEFAULT,
    ) -> None:
        """Starts without connections."""
        self._clock = clock
        self._limits = limits
        self._connect_timeout_s = connect_timeout_ms / 1000
        self._idle: dict[str, collections.deque[connections.Connection]] = (
            collections.defaultdict(collections.deque)
        )
        self.keeps_expiring: Callable[[str], bool] = lambda key: False
        self.on_idle: Callable[[str], None] = lambda key: None
        self.opened = 0
        self.open_count = 0

    def acquire(
        self, key: str, *, margin_ms: int = 0, request_id: str = ""
    ) -> connections.Connection | None:
        """Returns the most recently used idle connection, if one is usable.

        Args:
            key: Name of the connections.
            margin_ms: How long before its server closes it a connection may be
                used; 0 for the usual margin.
            request_id: Id of the request to be sent; empty if answers are not
                matched by it.
        """
        idle = self._idle.get(key)
        if not idle:
            return None
        self._retire_stale(idle, self._keep_margin_ms(key))
        taken = self._take(idle, margin_ms or IDLE_MARGIN_MS, request_id)
        self.on_idle(key)
        return taken

    def _retire_stale(
        self,
        idle: collections.deque[connections.Connection],
        keep_margin_ms: int,
    ) -> None:
        """Closes the newest connections that are closed or expired."""
        while idle and (
            not idle[-1].is_open or self._is_expired(idle[-1], keep_margin_ms)
        ):
            idle.pop().retire()

    def _take(
        self,
        idle: collections.deque[connections.Connection],
        margin_ms: int,
        request_id: str,
    ) -> connections.Connection | None:
        """Removes and returns the newest connection that may be used."""
        for connection in reversed(idle):
            if self._is_expired(connection, margin_ms):
                return None
            if connection.is_open and not connection.has_carried(request_id):
                idle.remove(connection)
                return connection
        return None

    def idle(self, key: str) -> tuple[int, int]:
        """Returns the number of idle connections of a key.

        Returns:
            The number, and when the server closes the newest one.
        """
        idle = self._idle.get(key)
        if not idle:
            return 0, 0
        newest = idle[-1]
        limit_ms = newest.keep_alive_ms or DEFAULT_IDLE_LIMIT_MS
        return len(idle), newest.idle_since_ms + limit_ms

    async def open(self, address: str) -> connections.Connection:
        """Opens a connection.

        Raises:
            OSError: The connection was refused, reset, or not opened in time.
        """
        host, port = addresses.split(address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: connections.Connection(self._limits), host, port
                )
        except TimeoutError as error:
            raise OSError("no connection in time") from error
        self.opened += 1
        self.open_count += 1
        connection.on_lost = self._count_lost
        return connection

    def _count_lost(self) -> None:
        self.open_count -= 1

    def release(
        self,
        key: str,
        connection: connections.Connection,
        reply: connections.Reply,
    ) -> None:
        """Keeps a connection after a complete answer, or closes it."""
        idle = self._idle[key]
        reusable = connection.finish(reply, now_ms=self._clock.now_ms())
        if not reusable or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.retire()
            return
        idle.append(connection)
        self.on_idle(key)

    def drop(self, key: str) -> None:
        """Closes all idle connections of a key."""
        dropped = self._idle.pop(key, None)
        if not dropped:
            return
        for connection in dropped:
            connection.close()
        self.on_idle(key)

    def close_expired(self) -> None:
        """Closes connections that are closed by the server or expired."""
        for key, idle in list(self._idle.items()):
            margin_ms = self._keep_margin_ms(key)
            before = len(idle)
            while idle and (
                not idle[0].is_open or self._is_expired(idle[0], margin_ms)
            ):
                idle.popleft().retire()
            if len(idle) < before:
                self.on_idle(key)
            if not idle:
                del self._idle[key]

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def _keep_margin_ms(self, key: str) -> int:
        """Returns how long before its server closes it a connection is kept."""
        return (
            SHORT_IDLE_MARGIN_MS if self.keeps_expiring(key) else IDLE_MARGIN_MS
        )

    def _is_expired(
        self, connection: connections.Connection, margin_ms: int
    ) -> bool:
        limit_ms = DEFAULT_IDLE_LIMIT_MS
        if connection.keep_alive_ms:
            limit_ms = max(0, connection.keep_alive_ms - margin_ms)
        return self._clock.now_ms() - connection.idle_since_ms >= limit_ms


__all__ = ["Pool"]
