"""Calls between daemons: client with long-lived channels, and server."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import hmac
from typing import TYPE_CHECKING, Protocol

import grpc
import grpc.aio
from result import Err, Ok, Result

from godwittack.peer import peer_pb2, peer_pb2_grpc, wire

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from google.protobuf import message as proto

PROTOCOL_VERSION = 1
_SERVER_OPTIONS = (
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 2_000),
    ("grpc.http2.max_ping_strikes", 0),
)
_PROOF_KEY = "x-godwittack-proof"
_PROOF_LABEL = b"godwittack peer"
_CHANNEL_OPTIONS = (
    # An open connection can go silent for good while new ones work. A stream
    # of news over it would wait for ever; an unanswered ping ends it.
    ("grpc.keepalive_time_ms", 5_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    ("grpc.http2.max_pings_without_data", 0),
    # Pings that measure the bandwidth come with every message received, and
    # are more bytes than it has.
    ("grpc.http2.bdp_probe", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.use_local_subchannel_pool", 1),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerError:
    """A message that another daemon did not answer.

    Attributes:
        step: What was being done.
        peer: Address of the daemon.
        detail: One line for people.
    """

    step: str
    peer: str
    detail: str

    def __str__(self) -> str:
        """Returns the error as one line."""
        return f"{self.step} at {self.peer}: {self.detail}"


class PeerHandler(Protocol):
    """What a daemon does with messages of others."""

    def exchanged(self, told: peer_pb2.Envelope) -> peer_pb2.Envelope:
        """Takes in an envelope and returns the own one."""

    def told(
        self, sender_id: str, news: peer_pb2.News, reader: wire.NewsReader
    ) -> None:
        """Takes in the next message of a stream, which `reader` reads."""

    def table(self, asked: peer_pb2.TableRequest) -> peer_pb2.TableReply:
        """Returns the table where it is newer than the one named."""

    def report(self) -> peer_pb2.ReportReply:
        """Returns this daemon's counts."""


class PeerClient:
    """Sends messages to other daemons."""

    def __init__(
        self,
        *,
        secret: bytes,
        timeout_ms: int,
        count_bytes: Callable[[int], None] = lambda size: None,
    ) -> None:
        """Proves itself with the cluster's secret.

        Args:
            secret: The cluster's secret.
            timeout_ms: Limit for one call.
            count_bytes: Told the size of each message sent and received.
        """
        self._count_bytes = count_bytes
        self._metadata = ((_PROOF_KEY, _proof(secret)),)
        self._timeout_s = timeout_ms / 1000
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def exchange(
        self, address: str, message: peer_pb2.Envelope
    ) -> Result[peer_pb2.Envelope, PeerError]:
        """Sends an envelope and returns the peer's."""
        stub = self._stub(address)
        return await self._call("exchange", address, stub.Exchange, message)

    def open_news(self, address: str) -> NewsStream:
        """Returns a stream of news to a peer; opens with the first message."""
        return NewsStream(
            address=address,
            call=self._stub(address).Tell(metadata=self._metadata),
            timeout_s=self._timeout_s,
            count_bytes=self._count_bytes,
        )

    async def fetch_table(
        self, address: str, *, known_version: int
    ) -> Result[peer_pb2.TableReply, PeerError]:
        """Returns a peer's table."""
        asked = peer_pb2.TableRequest(known_version=known_version)
        stub = self._stub(address)
        return await self._call("fetch table", address, stub.FetchTable, asked)

    async def fetch_report(
        self, address: str
    ) -> Result[peer_pb2.ReportReply, PeerError]:
        """Returns a peer's counts."""
        stub = self._stub(address)
        return await self._call(
            "fetch report", address, stub.FetchReport, peer_pb2.ReportRequest()
        )

    async def forget(self, address: str) -> None:
        """Closes the channel to a daemon that is gone."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            await channel.close()

    async def close(self) -> None:
        """Closes all channels."""
        for address in list(self._channels):
            await self.forget(address)

    def _stub(self, address: str) -> peer_pb2_grpc.PeerStub:
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(
                address, options=_CHANNEL_OPTIONS
            )
            self._channels[address] = channel
        return peer_pb2_grpc.PeerStub(channel)

    async def _call(
        self,
        step: str,
        address: str,
        method: Callable[..., Awaitable[proto.Message]],
        message: proto.Message,
    ) -> Result:
        self._count_bytes(message.ByteSize())
        try:
            got = await method(
                message, timeout=self._timeout_s, metadata=self._metadata
            )
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                # The connection may be silent while the peer is well, which
                # would show as a suspicion that nobody else shares. The next
                # try goes over a new one.
                await self.forget(address)
            return Err(
                PeerError(
                    step=step,
                    peer=address,
                    detail=f"{error.code().name} {error.details()}",
                )
            )
        self._count_bytes(got.ByteSize())
        return Ok(got)


class NewsStream:
    """One open stream of news to a peer."""

    def __init__(
        self,
        *,
        address: str,
        call: grpc.aio.StreamUnaryCall[peer_pb2.News, peer_pb2.NewsEnd],
        timeout_s: float,
        count_bytes: Callable[[int], None],
    ) -> None:
        """Sends over `call`."""
        self._address = address
        self._call = call
        self._timeout_s = timeout_s
        self._count_bytes = count_bytes

    async def send(self, news: peer_pb2.News) -> Result[None, PeerError]:
        """Sends a message; after an error the stream is of no more use."""
        self._count_bytes(news.ByteSize())
        try:
            async with asyncio.timeout(self._timeout_s):
                await self._call.write(news)
        except (
            TimeoutError,
            asyncio.InvalidStateError,
            grpc.aio.AioRpcError,
        ) as error:
            self._call.cancel()
            return Err(
                PeerError(
                    step="tell news", peer=self._address, detail=repr(error)
                )
            )
        return Ok(None)

    def close(self) -> None:
        """Ends the stream."""
        self._call.cancel()


class PeerServer(peer_pb2_grpc.PeerServicer):
    """Answers other daemons that know the cluster's secret."""

    def __init__(
        self,
        *,
        handler: PeerHandler,
        secret: bytes,
        count_bytes: Callable[[int], None] = lambda size: None,
    ) -> None:
        """Hands messages to `handler`, and their sizes to `count_bytes`."""
        self._handler = handler
        self._count_bytes = count_bytes
        self._expected = _proof(secret)
        self._server = grpc.aio.server(options=_SERVER_OPTIONS)
        peer_pb2_grpc.add_PeerServicer_to_server(self, self._server)

    async def start(self, address: str) -> None:
        """Listens on `address`.

        Raises:
            OSError: The address is in use.
        """
        try:
            self._server.add_insecure_port(address)
        except RuntimeError as error:
            raise OSError(str(error)) from error
        await self._server.start()

    async def stop(self, *, grace_ms: int) -> None:
        """Stops listening."""
        await self._server.stop(grace_ms / 1000)

    async def Exchange(  # noqa: N802 - the name is the protocol's.
        self, request: peer_pb2.Envelope, context: grpc.aio.ServicerContext
    ) -> peer_pb2.Envelope:
        """Answers `Exchange`."""
        await self._check(context)
        answer = self._handler.exchanged(request)
        self._count_bytes(request.ByteSize() + answer.ByteSize())
        return answer

    async def Tell(  # noqa: N802 - the name is the protocol's.
        self,
        request_iterator: AsyncIterator[peer_pb2.News],
        context: grpc.aio.ServicerContext,
    ) -> peer_pb2.NewsEnd:
        """Answers `Tell`."""
        await self._check(context)
        sender_id, reader = "", wire.NewsReader()
        async for news in request_iterator:
            self._count_bytes(news.ByteSize())
            sender_id = sender_id or news.sender_id
            self._handler.told(sender_id, news, reader)
        return peer_pb2.NewsEnd()

    async def FetchTable(  # noqa: N802 - the name is the protocol's.
        self, request: peer_pb2.TableRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.TableReply:
        """Answers `FetchTable`."""
        await self._check(context)
        return self._handler.table(request)

    async def FetchReport(  # noqa: N802 - the name is the protocol's.
        self,
        request: peer_pb2.ReportRequest,
        context: grpc.aio.ServicerContext,
    ) -> peer_pb2.ReportReply:
        """Answers `FetchReport`."""
        await self._check(context)
        return self._handler.report()

    async def _check(self, context: grpc.aio.ServicerContext) -> None:
        for key, value in context.invocation_metadata() or ():
            if key == _PROOF_KEY and hmac.compare_digest(
                str(value), self._expected
            ):
                return
        await context.abort(
            grpc.StatusCode.UNAUTHENTICATED, "not a daemon of this cluster"
        )


def _proof(secret: bytes) -> str:
    return hmac.new(secret, _PROOF_LABEL, hashlib.sha256).hexdigest()


__all__ = [
    "PROTOCOL_VERSION",
    "NewsStream",
    "PeerClient",
    "PeerError",
    "PeerHandler",
    "PeerServer",
]
