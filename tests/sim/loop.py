"""An event loop whose time jumps to the next timer."""

from __future__ import annotations

import asyncio


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers deterministically and without waiting for them."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 1000.0

    def time(self) -> float:
        """Returns virtual seconds."""
        return self._now_s

    def _run_once(self) -> None:
        # asyncio has no public hook between two iterations of the loop.
        if not self._ready and self._scheduled:
            self._now_s = max(self._now_s, self._scheduled[0].when())
        super()._run_once()


class LoopClock:
    """Implements the daemon's clock on the virtual time of a loop."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, *, wall_offset_ms: int = 0
    ) -> None:
        self._loop = loop
        self._wall_offset_ms = wall_offset_ms

    def now_ms(self) -> int:
        """Returns virtual milliseconds."""
        return round(self._loop.time() * 1000)

    def wall_ms(self) -> int:
        """Returns virtual milliseconds plus the wall clock's error."""
        return self.now_ms() + self._wall_offset_ms


def run(main):
    """Runs a coroutine on virtual time and returns its result."""
    loop = VirtualLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
        asyncio.set_event_loop(None)
