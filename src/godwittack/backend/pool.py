"""Kept connections to backend servers, within each server's limits."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

from godwittack import address as addresses
from godwittack.backend import connection as connections

if TYPE_CHECKING:
    from godwittack.clock import Clock

# Used again this long before the server's own limit, so that a request and
# the server's close do not cross on the way.
IDLE_MARGIN_MS = 1_500
# Idle time after which a connection is not used where no limit is named.
DEFAULT_IDLE_LIMIT_MS = 3_000
MAX_IDLE_PER_ADDRESS = 32


class Pool:
    """Opens connections and keeps those that may be used again."""

    def __init__(self, *, clock: Clock, connect_timeout_ms: int) -> None:
        """Keeps nothing yet."""
        self._clock = clock
        self._connect_timeout_s = connect_timeout_ms / 1000
        self._idle: dict[str, collections.deque[connections.Connection]] = (
            collections.defaultdict(collections.deque)
        )

    def acquire(self, key: str) -> connections.Connection | None:
        """Returns the kept connection that was used last, if one is good."""
        idle = self._idle.get(key)
        while idle:
            found = idle.pop()
            if found.is_open and not self._is_expired(found):
                return found
            found.close()
        return None

    async def open(self, address: str) -> connections.Connection:
        """Opens a connection.

        Raises:
            OSError: Refused, reset, or not opened in time.
        """
        host, port = addresses.split(address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, made = await loop.create_connection(
                    connections.Connection, host, port
                )
        except TimeoutError as error:
            raise OSError("no connection in time") from error
        return made

    def release(
        self,
        key: str,
        used: connections.Connection,
        reply: connections.Reply,
    ) -> None:
        """Keeps a connection after a whole answer, or closes it."""
        idle = self._idle[key]
        reusable = used.finish(reply, now_ms=self._clock.now_ms())
        if not reusable or len(idle) >= MAX_IDLE_PER_ADDRESS:
            used.close()
            return
        idle.append(used)

    def close_expired(self) -> None:
        """Closes what has been idle for too long."""
        for key, idle in list(self._idle.items()):
            while idle and (not idle[0].is_open or self._is_expired(idle[0])):
                idle.popleft().close()
            if not idle:
                del self._idle[key]

    def close(self) -> None:
        """Closes all."""
        for idle in self._idle.values():
            for kept in idle:
                kept.close()
        self._idle.clear()

    def _is_expired(self, kept: connections.Connection) -> bool:
        limit_ms = DEFAULT_IDLE_LIMIT_MS
        if kept.keep_alive_ms:
            limit_ms = max(0, kept.keep_alive_ms - IDLE_MARGIN_MS)
        return self._clock.now_ms() - kept.idle_since_ms >= limit_ms


__all__ = ["Pool"]
