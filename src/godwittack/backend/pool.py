"""Pool of idle connections to backend servers, within their idle limits."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

from godwittack import address as addresses
from godwittack.backend import connection as connections
from godwittack.backend import reply_limits

if TYPE_CHECKING:
    from godwittack.clock import Clock

# A connection expires this long before the server's own idle limit, so that a
# request and the server's close do not cross on the network.
IDLE_MARGIN_MS = 1_500
# Idle limit of a connection whose server does not state one.
DEFAULT_IDLE_LIMIT_MS = 3_000
MAX_IDLE_PER_ADDRESS = 32


class Pool:
    """Opens connections and keeps reusable ones."""

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

    def acquire(self, key: str) -> connections.Connection | None:
        """Returns the most recently used idle connection, if one is usable."""
        idle = self._idle.get(key)
        while idle:
            candidate = idle.pop()
            if candidate.is_open and not self._is_expired(candidate):
                return candidate
            candidate.retire()
        return None

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
        return connection

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

    def drop(self, key: str) -> None:
        """Closes all idle connections of a key."""
        for connection in self._idle.pop(key, ()):
            connection.close()

    def close_expired(self) -> None:
        """Closes connections that are closed by the server or expired."""
        for key, idle in list(self._idle.items()):
            while idle and (not idle[0].is_open or self._is_expired(idle[0])):
                idle.popleft().retire()
            if not idle:
                del self._idle[key]

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def _is_expired(self, connection: connections.Connection) -> bool:
        limit_ms = DEFAULT_IDLE_LIMIT_MS
        if connection.keep_alive_ms:
            limit_ms = max(0, connection.keep_alive_ms - IDLE_MARGIN_MS)
        return self._clock.now_ms() - connection.idle_since_ms >= limit_ms


__all__ = ["Pool"]
