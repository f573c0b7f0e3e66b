"""Queues updates for one peer and sends them on one stream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from absl import logging
from result import Err, Result

from godwittack.peer import peer_pb2, pending, wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.clock import Clock
    from godwittack.core import inputs, quarantine
    from godwittack.limit import quota
    from godwittack.peer import exchange

RETRY_PAUSE_MS = 500
# Minimum time between two transfers of all crashes to one peer. In between,
# its own update about the same crashes may arrive.
RESEND_INTERVAL_MS = 500
# A stream without messages for this long is closed.
IDLE_TIMEOUT_MS = 10_000
# Reports of use that are repeated on a new stream, in case they were lost.
USAGE_KEPT_MS = 30_000


class NewsStream(Protocol):
    """An open stream of updates to one peer."""

    async def send(
        self, news: peer_pb2.News
    ) -> Result[None, exchange.PeerError]:
        """Sends a message; after an error the stream can't be used again."""

    def close(self) -> None:
        """Closes the stream."""


class NewsClient(Protocol):
    """Opens streams of updates."""

    def open_news(
        self, address: str, *, on_broken: Callable[[], None]
    ) -> NewsStream:
        """Returns a stream to a peer, which opens with the first message."""


class Outbox:
    """Queue of updates for one peer, and the stream that carries them.

    Attributes:
        pending: Updates not sent yet.
        last_demands: The demand sent or queued last.
        last_usages: The reports of use sent or queued last, by workspace.
        last_used_ms: When a message was last sent.
    """

    def __init__(
        self,
        *,
        own_id: str,
        address: str,
        client: NewsClient,
        clock: Clock,
    ) -> None:
        """Starts a task that sends to `address` once updates are pending."""
        self.pending = pending.PendingNews()
        self.last_demands: tuple[inputs.CellDemand, ...] = ()
        self.last_usages: dict[str, quota.Usage] = {}
        self.last_used_ms = clock.now_ms()
        self._own_id = own_id
        self._address = address
        self._client = client
        self._clock = clock
        self._stream: NewsStream | None = None
        self._writer = wire.NewsWriter()
        self._last_resend_ms = -RESEND_INTERVAL_MS
        self._send_requested = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def queue_demands(self, demands: tuple[inputs.CellDemand, ...]) -> None:
        """Queues the demand if it differs from the last one."""
        if demands != self.last_demands:
            self.last_demands = demands
            self.pending.demands = demands

    def send_crashes(
        self,
        crashes: tuple[quarantine.Crash, ...],
        completions: tuple[quarantine.Completion, ...],
    ) -> None:
        """Sends crashes and completed runs at once."""
        self.pending.crashes.update(crashes)
        self.pending.completions.update(completions)
        self.send_pending()

    def send_usages(self, usages: tuple[quota.Usage, ...]) -> None:
        """Sends reports of use at once."""
        reports = {usage.workspace: usage for usage in usages}
        self.last_usages.update(reports)
        self.pending.usages.update(reports)
        self.send_pending()

    def resend_all_crashes(self, crash_history: quarantine.Quarantine) -> None:
        """Sends all known crashes, at most once per resend interval."""
        now_ms = self._clock.now_ms()
        if now_ms - self._last_resend_ms >= RESEND_INTERVAL_MS:
            self._last_resend_ms = now_ms
            self.send_crashes(
                crash_history.crashes_to_exchange()
                + crash_history.broken_runs(),
                crash_history.completions(),
            )

    def send_pending(self) -> None:
        """Has the pending updates sent at once."""
        if not self.pending.is_empty():
            self._send_requested.set()

    def is_idle(self, now_ms: int) -> bool:
        """Returns whether the stream may be closed.

        Pending updates prevent it, even if their sending has just been
        requested: closing would lose them.
        """
        unused_ms = now_ms - self.last_used_ms
        has_work = self.last_demands or not self.pending.is_empty()
        return unused_ms > IDLE_TIMEOUT_MS and not has_work

    def close(self) -> None:
        """Closes the stream and drops pending updates."""
        self._task.cancel()
        if self._stream is not None:
            self._stream.close()

    def _handle_broken_stream(self) -> None:
        """Queues again what may have been lost with the stream.

        Loads are repeated and the instance list has versions, but demand and
        use are sent only on changes: until the next one, the peer would apply
        limits by outdated figures.
        """
        self._stream = None
        if self.last_demands and self.pending.demands is None:
            self.pending.demands = self.last_demands
        self.pending.usages = {**self._recent_usages(), **self.pending.usages}
        self.send_pending()

    def _recent_usages(self) -> dict[str, quota.Usage]:
        oldest_ms = self._clock.now_ms() - USAGE_KEPT_MS
        self.last_usages = {
            workspace: usage
            for workspace, usage in self.last_usages.items()
            if usage.at_ms >= oldest_ms
        }
        return self.last_usages

    async def _run(self) -> None:
        while True:
            await self._send_requested.wait()
            self._send_requested.clear()
            updates, self.pending = self.pending, pending.PendingNews()
            try:
                is_sent = await self._send(updates)
            except ValueError as error:
                # Sent again, they would fail again, and without this task the
                # peer would get no further updates.
                self._drop_unencodable(error)
                continue
            if is_sent:
                continue
            self.pending = updates.merged_with(self.pending)
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)
            self._send_requested.set()

    def _drop_unencodable(self, error: ValueError) -> None:
        """Continues on a new stream after updates that can't be encoded."""
        logging.error(
            "event=news_unencodable peer=%s detail=%r",
            self._address,
            str(error),
        )
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    async def _send(self, updates: pending.PendingNews) -> bool:
        self.last_used_ms = self._clock.now_ms()
        is_new_stream = self._stream is None
        if self._stream is None:
            self._stream = self._client.open_news(
                self._address, on_broken=self._handle_broken_stream
            )
            self._writer = wire.NewsWriter()
            # The demand sent on a stream that broke may not have arrived.
            updates.demands = self.last_demands
            updates.usages = {**self._recent_usages(), **updates.usages}
        message = self._writer.write(updates, now_ms=self._clock.now_ms())
        if is_new_stream:
            message.sender_id = self._own_id
        result = await self._stream.send(message)
        if isinstance(result, Err):
            logging.info(
                "event=news_lost peer=%s detail=%s",
                self._address,
                result.err_value.detail,
            )
            self._stream = None
            return False
        return True


__all__ = ["NewsClient", "NewsStream", "Outbox"]
