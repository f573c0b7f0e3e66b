"""Detects overload of this daemon by how late its timers fire."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from godwittack.member import overload

if TYPE_CHECKING:
    from godwittack.clock import Clock
    from godwittack.member import view

CHECK_INTERVAL_MS = 100


async def watch_forever(*, members: view.View, clock: Clock) -> None:
    """Publishes to the other daemons whether this one is overloaded."""
    detector = overload.OverloadDetector()
    while True:
        due_ms = clock.now_ms() + CHECK_INTERVAL_MS
        await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
        now_ms = clock.now_ms()
        if detector.observe(now_ms - due_ms, now_ms=now_ms):
            members.set_overloaded(detector.is_overloaded)
            logging.info(
                "event=overload overloaded=%d lag_ms=%.0f",
                detector.is_overloaded,
                detector.lag_ms,
            )


__all__ = ["CHECK_INTERVAL_MS", "watch_forever"]
