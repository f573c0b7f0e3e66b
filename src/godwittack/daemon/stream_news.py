"""Tells other daemons which software version began a stream, and asks them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from result import Err

from godwittack.core import inputs, stream_versions, work
from godwittack.peer import peer_pb2, ranges

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from godwittack.clock import Clock
    from godwittack.core import effects, entities
    from godwittack.daemon import dispatch_announcer
    from godwittack.peer import exchange

# A caller waits for the answers; a daemon that is alive needs some 2 ms.
ASK_TIMEOUT_MS = 200


class StreamClient(Protocol):
    """Asks other daemons about streams."""

    async def ask_stream(
        self, address: str, query: peer_pb2.StreamQuery, *, timeout_ms: int
    ) -> Result[peer_pb2.StreamReply, exchange.PeerError]:
        """Returns what a daemon knows of a stream."""


class StreamNews:
    """Exchanges the software versions of streams with other daemons.

    A record is a datagram: it must be there before the caller that has the
    first event can come back, and three daemons get it, so that one may be
    lost.
    """

    def __init__(
        self,
        *,
        world: entities.World,
        client: StreamClient,
        datagrams: dispatch_announcer.DatagramSender,
        address_of: Callable[[str], str],
        clock: Clock,
    ) -> None:
        """Exchanges the records of `world`.

        Args:
            world: The core's state.
            client: Asks other daemons.
            datagrams: Tells other daemons.
            address_of: Returns a daemon's address; empty if not known.
            clock: Source of time.
        """
        self._world = world
        self._client = client
        self._datagrams = datagrams
        self._address_of = address_of
        self._clock = clock

    def tell(self, told: effects.TellStream) -> None:
        """Tells other daemons which version began a stream."""
        begun = peer_pb2.StreamBegun(
            key=told.key,
            target=told.target,
            version=told.version,
            left_ms=ranges.uint32(told.left_ms),
        )
        addresses = map(self._address_of, told.daemons)
        self._datagrams.broadcast(
            filter(None, addresses), peer_pb2.News(streams=[begun])
        )

    def read(self, news: peer_pb2.News) -> list[inputs.StreamTold]:
        """Returns the streams that another daemon began."""
        return [
            inputs.StreamTold(
                at_ms=self._clock.now_ms(),
                key=begun.key,
                target=begun.target,
                version=begun.version,
                left_ms=begun.left_ms,
            )
            for begun in news.streams
        ]

    async def ask(
        self, asked: effects.AskStream, daemon: str
    ) -> inputs.StreamAnswered:
        """Returns what another daemon knows of a stream."""
        knowledge = None
        address = self._address_of(daemon)
        if address:
            result = await self._client.ask_stream(
                address,
                peer_pb2.StreamQuery(key=asked.key, target=asked.target),
                timeout_ms=ASK_TIMEOUT_MS,
            )
            if not isinstance(result, Err):
                knowledge = _knowledge(result.ok_value)
        return inputs.StreamAnswered(
            at_ms=self._clock.now_ms(),
            request_id=asked.request_id,
            daemon=daemon,
            knowledge=knowledge,
        )

    def answer_query(self, body: bytes) -> peer_pb2.StreamReply:
        """Answers another daemon's question."""
        query = peer_pb2.StreamQuery.FromString(body)
        known = stream_versions.knowledge(
            self._world,
            query.key,
            query.target,
            now_ms=self._clock.now_ms(),
        )
        return peer_pb2.StreamReply(
            is_known=known.is_known,
            version=known.version,
            recent_versions=known.recent_versions,
            is_complete=known.is_complete,
            target=known.target,
        )


def _knowledge(reply: peer_pb2.StreamReply) -> work.StreamKnowledge:
    return work.StreamKnowledge(
        is_known=reply.is_known,
        version=reply.version,
        recent_versions=tuple(reply.recent_versions),
        is_complete=reply.is_complete,
        target=reply.target,
    )


__all__ = ["StreamClient", "StreamNews"]
