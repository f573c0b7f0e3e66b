"""Listens to callers, lookups and readiness checks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from godwittack import address as addresses
from godwittack.entry import connection_timeouts

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from godwittack.clock import Clock, loop_delay
    from godwittack.table import forwarding

HTTP_BACKLOG = 1_024
# Of one line of a request's head, as the HTTP library reads it; the table's
# own limit on all headers is checked after that, with an answer that says so.
MAX_LINE_BYTES = 1 << 16


class Listeners:
    """All HTTP servers of one daemon."""

    def __init__(
        self, clock: Clock, delay: loop_delay.ReadDelay | None = None
    ) -> None:
        """Listens to nothing yet; `delay` tells how late the loop may read."""
        self._clock = clock
        self._delay = delay
        self._servers: list[connection_timeouts.TimeoutServer] = []
        self._sites: list[web.TCPSite] = []

    async def listen(
        self,
        address: str,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> None:
        """Hands requests at an address to a handler.

        Raises:
            OSError: The address is in use.
        """
        server = connection_timeouts.TimeoutServer(
            handler,
            clock=self._clock,
            max_line_bytes=MAX_LINE_BYTES,
            delay=self._delay,
        )
        runner = web.ServerRunner(server)
        await runner.setup()
        host, port = addresses.split(address)
        site = web.TCPSite(runner, host, port, backlog=HTTP_BACKLOG)
        await site.start()
        self._servers.append(server)
        self._sites.append(site)

    def end_slow(self, limits: forwarding.CallerLimits) -> None:
        """Closes connections whose callers are slower than the limits."""
        for server in self._servers:
            server.close_overdue(limits)

    async def stop(self) -> None:
        """Accepts no more connections."""
        for site in self._sites:
            await site.stop()


__all__ = ["Listeners"]
