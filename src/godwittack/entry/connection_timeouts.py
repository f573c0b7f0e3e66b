"""Ends callers' connections on which nothing comes for too long.

A connection that never completes a request, or is kept for none, holds a
descriptor and memory; a few thousand of them take all that a daemon has.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from godwittack.clock import loop_delay

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

    from godwittack.clock import Clock
    from godwittack.table import forwarding

    Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


# Rounds of the loop from a new connection to what its caller has sent at once.
ACCEPT_TO_READ_ROUNDS = 2


def waited_ms(request: web.BaseRequest) -> int:
    """Returns how long a request may have waited since it was sent."""
    connection = request.protocol
    assert isinstance(connection, _Connection)
    return connection.waited_ms()


class TimeoutServer(web.Server):
    """An HTTP server that ends connections by the table's limits."""

    def __init__(
        self,
        handler: Handler,
        *,
        clock: Clock,
        max_line_bytes: int,
        delay: loop_delay.ReadDelay | None = None,
    ) -> None:
        """Serves requests.

        Args:
            handler: Serves one request.
            clock: Source of time.
            max_line_bytes: Longest line of a request's head that is read.
            delay: How late the loop may read; None for on time.
        """
        super().__init__(self._handle, handler_cancellation=True)
        self._serve = handler
        self._clock = clock
        self._max_line_bytes = max_line_bytes
        self._delay = delay or loop_delay.NoDelay()

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        return _Connection(
            self,
            clock=self._clock,
            loop=self._loop,
            max_line_bytes=self._max_line_bytes,
            delay=self._delay,
        )

    def close_overdue(self, limits: forwarding.CallerLimits) -> int:
        """Closes connections past a limit; returns how many."""
        now_ms = self._clock.now_ms()
        slow = [
            found
            for found in self.connections
            if isinstance(found, _Connection)
            and found.is_overdue(limits, now_ms=now_ms)
        ]
        for found in slow:
            found.close()
            if found.transport is not None:
                found.transport.close()
        return len(slow)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, _Connection)
        connection.request_started()
        try:
            return await self._serve(request)
        finally:
            connection.request_finished()


class _Connection(web.RequestHandler):
    """One connection, and since when it waits for what."""

    # The base class has slots; these are its subclass's own.
    __slots__ = (
        "_accepted_in_round",
        "_clock",
        "_delay",
        "_first_byte_ms",
        "_idle_since_ms",
        "_in_handler",
        "_sent_by_ms",
    )

    def __init__(
        self,
        manager: web.Server,
        *,
        clock: Clock,
        loop: asyncio.AbstractEventLoop,
        max_line_bytes: int,
        delay: loop_delay.ReadDelay,
    ) -> None:
        super().__init__(
            manager,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            max_line_size=max_line_bytes,
            max_field_size=max_line_bytes,
            # A body is passed on as it came, also where it is compressed.
            auto_decompress=False,
        )
        self._clock = clock
        self._delay = delay
        self._accepted_in_round = delay.rounds
        self._sent_by_ms = clock.now_ms() - delay.accepted_ms()
        self._first_byte_ms = -1
        self._idle_since_ms = clock.now_ms()
        self._in_handler = False

    def data_received(self, data: bytes) -> None:
        """Notes when a request's first bytes came."""
        if self._first_byte_ms < 0:
            self._first_byte_ms = self._clock.now_ms()
            if (
                self._delay.rounds
                > self._accepted_in_round + ACCEPT_TO_READ_ROUNDS
            ):
                waited_ms = self._delay.read_ms()
                self._sent_by_ms = self._first_byte_ms - waited_ms
        super().data_received(data)

    def waited_ms(self) -> int:
        """Returns how long the request may have waited, by now."""
        if self._first_byte_ms < 0:
            # It came in one piece with the request before.
            return 0
        return max(0, self._clock.now_ms() - self._sent_by_ms)

    def request_started(self) -> None:
        """Notes that a request's headers were read."""
        self._in_handler = True

    def request_finished(self) -> None:
        """Notes that a request was answered."""
        self._in_handler = False
        self._first_byte_ms = -1
        self._idle_since_ms = self._clock.now_ms()

    def is_overdue(
        self, limits: forwarding.CallerLimits, *, now_ms: int
    ) -> bool:
        """Returns whether the caller has taken longer than it may."""
        if self._in_handler:
            return False
        if self._first_byte_ms >= 0:
            limit_ms = limits.header_timeout_ms
            return 0 < limit_ms <= now_ms - self._first_byte_ms
        limit_ms = limits.idle_timeout_ms
        return 0 < limit_ms <= now_ms - self._idle_since_ms


__all__ = ["TimeoutServer", "waited_ms"]
