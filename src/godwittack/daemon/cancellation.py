"""Cancels tasks until they have ended."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

RETRY_S = 0.1


async def cancel_all(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancels tasks and waits until all have ended.

    The HTTP client takes a cancellation for its own if its timeout ends in the
    same iteration of the event loop. The task then goes on, so that it must be
    cancelled again.
    """
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=RETRY_S)


__all__ = ["cancel_all"]
