"""Confirms the daemon's copies of the store's rows for the core."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from godwittack.core import inputs
from godwittack.member import freshness

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from godwittack.daemon import feed_follower
    from godwittack.daemon import runtime as runtimes


# Time after which the daemons that poll the store are asked as well.
PROBE_AFTER_MS = 150


class StateConfirmer:
    """Reads copies anew when a decision needs a recent confirmation.

    If the store does not answer at once, the daemons that poll it are asked
    what it confirmed to them: it may turn this one away and serve the others.
    """

    def __init__(
        self,
        *,
        runtime: runtimes.Runtime,
        table: feed_follower.FeedFollower,
        servers: feed_follower.FeedFollower,
        probe_readers: Callable[[], Coroutine[object, object, None]],
    ) -> None:
        """Confirms by the followers of each copy.

        Args:
            runtime: Runs the core.
            table: Keeps the operators' rows.
            servers: Keeps the instance list.
            probe_readers: Probes the daemons that poll the store, and applies
                what they confirm.
        """
        self._runtime = runtime
        self._table = table
        self._servers = servers
        self._probe_readers = probe_readers

    async def confirm(self, topic: freshness.Topic) -> None:
        """Reads a copy anew, and reports the end of the read to the core."""
        has_read = False
        try:
            if topic is freshness.Topic.TABLE:
                has_read = await self._read_table()
            else:
                # What a peer confirms is older than the question.
                has_read = await self._servers.read_now(must_read_all=True)
        except Exception:
            # Waiting requests must be answered nevertheless.
            logging.exception("event=confirmation_failed topic=%s", topic.name)
        finally:
            self._runtime.submit(
                inputs.ConfirmationEnded(
                    self._runtime.clock.now_ms(), topic, has_read
                )
            )

    async def _read_table(self) -> bool:
        reading = asyncio.ensure_future(self._table.read_now())
        try:
            await asyncio.wait({reading}, timeout=PROBE_AFTER_MS / 1000)
            if not reading.done() or not reading.result():
                await self._probe_readers()
            return await reading
        finally:
            reading.cancel()


def submit_confirmation(
    runtime: runtimes.Runtime, confirmed: freshness.Freshness
) -> None:
    """Reports the last confirmation of a copy to the core."""
    runtime.submit(
        inputs.StateConfirmed(
            runtime.clock.now_ms(),
            confirmed.topic,
            confirmed.confirmed_at_ms,
            confirmed.confirmed_by,
        )
    )


__all__ = ["StateConfirmer", "submit_confirmation"]
