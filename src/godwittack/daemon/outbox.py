"""What waits for one peer, and the stream that it is told on."""

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
    from godwittack.peer import exchange

RETRY_MS = 500
# Pause between two accounts of all crashes to one peer. Meanwhile its own news
# of the same crashes is on its way.
TELL_AGAIN_MS = 500
# A stream to a peer that has been told nothing for so long is closed.
IDLE_MS = 10_000


class NewsStream(Protocol):
    """An open stream of news to one peer."""

    async def send(
        self, news: peer_pb2.News
    ) -> Result[None, exchange.PeerError]:
        """Sends a message; after an error the stream is of no more use."""

    def close(self) -> None:
        """Ends the stream."""


class NewsClient(Protocol):
    """Opens streams of news."""

    def open_news(
        self, address: str, *, on_broken: Callable[[], None]
    ) -> NewsStream:
        """Returns a stream to a peer; opens with the first message."""


class Outbox:
    """What waits for one peer, and the stream to it."""

    def __init__(
        self,
        *,
        own_id: str,
        address: str,
        client: NewsClient,
        clock: Clock,
    ) -> None:
        """Tells the peer at `address`, once there is something to tell."""
        self.pending = pending.PendingNews()
        self.demands_told: tuple[inputs.CellDemand, ...] = ()
        self.used_at_ms = clock.now_ms()
        self._own_id = own_id
        self._address = address
        self._client = client
        self._clock = clock
        self._stream: NewsStream | None = None
        self._writer = wire.NewsWriter()
        self._told_again_ms = -TELL_AGAIN_MS
        self._due = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def tell_demands(self, demands: tuple[inputs.CellDemand, ...]) -> None:
        """Queues the demand where it is not the one told last."""
        if demands != self.demands_told:
            self.demands_told = demands
            self.pending.demands = demands

    def tell_crashes(
        self,
        crashes: tuple[quarantine.Crash, ...],
        completions: tuple[quarantine.Completion, ...],
    ) -> None:
        """Sends crashes and runs without one now."""
        self.pending.crashes.update(crashes)
        self.pending.completions.update(completions)
        self.wake()

    def tell_crashes_again(self, known: quarantine.Quarantine) -> None:
        """Sends all that is known of crashes, unless it was a moment ago."""
        now_ms = self._clock.now_ms()
        if now_ms - self._told_again_ms >= TELL_AGAIN_MS:
            self._told_again_ms = now_ms
            self.tell_crashes(known.crashes_to_exchange(), known.completions())

    def wake(self) -> None:
        """Has what waits sent now."""
        if not self.pending.is_empty():
            self._due.set()

    def is_idle(self, now_ms: int) -> bool:
        """Returns whether the stream may be closed.

        Not while something waits: woken a moment ago, it would be lost.
        """
        unused_ms = now_ms - self.used_at_ms
        waits = self.demands_told or not self.pending.is_empty()
        return unused_ms > IDLE_MS and not waits

    def close(self) -> None:
        """Ends the stream; what waits is lost."""
        self._task.cancel()
        if self._stream is not None:
            self._stream.close()

    def _broken(self) -> None:
        """Tells the demand again, which may have been lost with the stream.

        Loads repeat and the list has versions; demand is told on changes
        only, so that the peer would split limits by an old one until then.
        """
        self._stream = None
        if self.demands_told and self.pending.demands is None:
            self.pending.demands = self.demands_told
            self._due.set()

    async def _run(self) -> None:
        while True:
            await self._due.wait()
            self._due.clear()
            news, self.pending = self.pending, pending.PendingNews()
            if await self._send(news):
                continue
            self.pending = news.merged_with(self.pending)
            await asyncio.sleep(RETRY_MS / 1000)
            self._due.set()

    async def _send(self, news: pending.PendingNews) -> bool:
        self.used_at_ms = self._clock.now_ms()
        opens = self._stream is None
        if self._stream is None:
            self._stream = self._client.open_news(
                self._address, on_broken=self._broken
            )
            self._writer = wire.NewsWriter()
            # What was told on a stream that broke may not have arrived.
            news.demands = self.demands_told
        message = self._writer.write(news, now_ms=self._clock.now_ms())
        if opens:
            message.sender_id = self._own_id
        got = await self._stream.send(message)
        if isinstance(got, Err):
            logging.info(
                "event=news_lost peer=%s detail=%s",
                self._address,
                got.err_value.detail,
            )
            self._stream = None
            return False
        return True


__all__ = ["NewsClient", "NewsStream", "Outbox"]
