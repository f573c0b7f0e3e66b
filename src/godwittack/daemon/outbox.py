"""Queues updates for one peer and sends them on one stream."""

from __future__ import annotations

import asyncio
import contextlib
import random
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

# Pause after a failed message, doubled up to the maximum: a peer behind a full
# link would otherwise get more connections than one that answers.
RETRY_FIRST_MS = 500
RETRY_MAX_MS = 2_000
# Minimum time between two messages to one peer, per peer. The first of a burst
# is sent at once, and the rest of it with the next message.
INTERVAL_PER_PEER_MS = 2
MAX_INTERVAL_MS = 200
# Minimum time between two transfers of all crashes to one peer, doubled up to
# the maximum. In between, its own update about the same crashes may arrive, and
# what two daemons keep may differ for good.
RESEND_FIRST_MS = 500
RESEND_MAX_MS = 8_000
# A stream without messages for this long is closed.
IDLE_TIMEOUT_MS = 10_000
# Loads that have waited for longer are not sent.
MAX_LOAD_AGE_MS = 2_000
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
        peers: Callable[[], int] = lambda: 1,
    ) -> None:
        """Starts a task that sends to `address` once updates are pending.

        Args:
            own_id: Id of this daemon.
            address: Address of the peer.
            client: Opens the stream.
            clock: Source of time.
            peers: Returns the number of peers with an outbox.
        """
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
        self._peers = peers
        # Differs from daemon to daemon, so that they retry at different times.
        self._rng = random.Random(f"{own_id} {address}")
        self._retry_ms = RETRY_FIRST_MS
        self._sent_ms = clock.now_ms() - MAX_INTERVAL_MS
        self._resend_ms = RESEND_FIRST_MS
        self._resent_ms = clock.now_ms() - RESEND_MAX_MS
        self._send_requested = asyncio.Event()
        self._is_urgent = asyncio.Event()
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
        """Sends all known crashes, unless they were sent a while ago."""
        since_ms = self._clock.now_ms() - self._resent_ms
        if since_ms < self._resend_ms:
            return
        is_repeated = since_ms < RESEND_MAX_MS
        self._resend_ms = (
            min(RESEND_MAX_MS, 2 * self._resend_ms)
            if is_repeated
            else RESEND_FIRST_MS
        )
        self._resent_ms = self._clock.now_ms()
        self.send_crashes(
            crash_history.crashes_to_exchange() + crash_history.broken_runs(),
            crash_history.completions(),
        )

    def send_pending(self) -> None:
        """Has the pending updates sent at once, or soon after the last ones."""
        if not self.pending.is_empty():
            self._send_requested.set()

    def send_urgently(self) -> None:
        """Has the pending updates sent without waiting after the last ones."""
        self._is_urgent.set()
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
            await self._wait_for_turn()
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
                self._retry_ms = RETRY_FIRST_MS
                continue
            self.pending = updates.merged_with(self.pending)
            await asyncio.sleep(self._next_pause_ms() / 1000)
            self._send_requested.set()

    async def _wait_for_turn(self) -> None:
        interval_ms = min(MAX_INTERVAL_MS, INTERVAL_PER_PEER_MS * self._peers())
        early_ms = self._sent_ms + interval_ms - self._clock.now_ms()
        if early_ms > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(early_ms / 1000):
                    await self._is_urgent.wait()
        self._is_urgent.clear()
        self._sent_ms = self._clock.now_ms()

    def _next_pause_ms(self) -> float:
        """Returns the pause after a failed message, and doubles the next."""
        pause_ms = self._retry_ms
        self._retry_ms = min(RETRY_MAX_MS, 2 * pause_ms)
        return pause_ms * self._rng.uniform(0.5, 1.0)

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

    def _drop_outdated(self, updates: pending.PendingNews) -> None:
        """Leaves out loads that the peer would not use any more."""
        oldest_ms = self._clock.now_ms() - MAX_LOAD_AGE_MS
        updates.loads = {
            name: load
            for name, load in updates.loads.items()
            if load.at_ms >= oldest_ms
        }
        updates.told_loads = {
            name: load
            for name, load in updates.told_loads.items()
            if load.at_ms >= oldest_ms
        }

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
        self._drop_outdated(updates)
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
