"""A stream of updates to one peer, over a WebSocket."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
from result import Ok, Result

from godwittack.peer import failure, traffic

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.peer import peer_pb2


class NewsStream:
    """Stream of updates to one peer."""

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        address: str,
        path: str,
        headers: dict[str, str],
        timeout_s: float,
        messages: traffic.PeerTraffic,
        on_broken: Callable[[], None],
    ) -> None:
        """Prepares a stream; the first message opens its connection."""
        self._session = session
        self._address = address
        self._path = path
        self._headers = headers
        self._timeout_s = timeout_s
        self._messages = messages
        self._on_broken = on_broken
        self._socket: aiohttp.ClientWebSocketResponse | None = None
        self._watch_task: asyncio.Task[None] | None = None

    async def send(
        self, news: peer_pb2.News
    ) -> Result[None, failure.PeerError]:
        """Sends a message; after an error the stream is closed for good."""
        payload = news.SerializeToString()
        self._messages.count(traffic.Kind.NEWS, len(payload))
        with self._messages.follow(traffic.Kind.NEWS) as progress:
            try:
                async with asyncio.timeout(self._timeout_s):
                    if self._socket is None:
                        self._socket = await self._open()
                    progress.phase = traffic.Phase.WRITE
                    await self._socket.send_bytes(payload)
            except TimeoutError:
                progress.fail()
                self.close()
                detail = failure.timeout_detail(progress, self._timeout_s)
                return failure.error("send news", self._address, detail)
            except (aiohttp.ClientError, OSError) as error:
                progress.fail()
                self.close()
                return failure.error("send news", self._address, repr(error))
        return Ok(None)

    def close(self) -> None:
        """Ends the stream."""
        if self._watch_task is not None:
            self._watch_task.cancel()

    async def _open(self) -> aiohttp.ClientWebSocketResponse:
        socket = await self._session.ws_connect(
            f"http://{self._address}{self._path}",
            headers=self._headers,
        )
        self._watch_task = asyncio.create_task(self._watch(socket))
        return socket

    async def _watch(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        """Waits until the stream ends.

        The peer sends nothing on it. Only a pending read detects that the peer
        has closed it; without one the next update would be lost unnoticed.
        """
        try:
            await socket.receive()
            self._on_broken()
        finally:
            await socket.close()


__all__ = ["NewsStream"]
