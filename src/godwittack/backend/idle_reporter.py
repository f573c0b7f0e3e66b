"""Reports to the core how many idle connections each server has."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from godwittack.core import server_inputs

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.backend import pool as pools
    from godwittack.clock import Clock


class IdleReporter:
    """Reports changes, once per server and pass of the event loop.

    The core gets the count as an input, so that a recorded session is replayed
    with the same decisions.
    """

    def __init__(
        self,
        *,
        pool: pools.Pool,
        clock: Clock,
        submit: Callable[[server_inputs.IdleConnections], None],
        is_reported: Callable[[str], bool],
    ) -> None:
        """Sets where counts come from and go to.

        Args:
            pool: The pool of connections, with server ids as keys.
            clock: Source of time.
            submit: Submits an input to the core.
            is_reported: Returns whether the core uses a server's count.
        """
        self._pool = pool
        self._clock = clock
        self._submit = submit
        self._is_reported = is_reported
        self._changed: set[str] = set()

    def record(self, key: str) -> None:
        """Reports a server soon, after the change that is being made."""
        if not self._is_reported(key):
            return
        if not self._changed:
            asyncio.get_running_loop().call_soon(self._report)
        self._changed.add(key)

    def _report(self) -> None:
        changed, self._changed = sorted(self._changed), set()
        for server_id in changed:
            count, closes_at_ms = self._pool.idle(server_id)
            self._submit(
                server_inputs.IdleConnections(
                    at_ms=self._clock.now_ms(),
                    server_id=server_id,
                    count=count,
                    closes_at_ms=closes_at_ms,
                )
            )


__all__ = ["IdleReporter"]
