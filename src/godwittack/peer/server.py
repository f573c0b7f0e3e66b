"""Answers the calls and streams of other daemons."""

from __future__ import annotations

import asyncio
import hmac
from typing import TYPE_CHECKING, Protocol

import aiohttp
from absl import logging
from aiohttp import web
from google.protobuf import message as proto

from godwittack import accepting
from godwittack import address as addresses
from godwittack.clock import SystemClock
from godwittack.entry import (
    connection_config,
    connection_timeouts,
    request_limits,
)
from godwittack.limit import connection_memory
from godwittack.peer import exchange, peer_pb2, traffic, wire

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from godwittack.clock import Clock

# Connections that may wait to be accepted: after a network partition heals,
# hundreds of daemons connect within one probing period.
BACKLOG = 1_024
# Buffer of the operating system for each connection.
RECEIVE_BUFFER_BYTES = 128 << 10
# Limits of calls; a caller's body may be passed on in one.
LIMITS = request_limits.RequestLimits(head_bytes=32 << 10, body_bytes=64 << 20)
# How long the rest of a call is read after its answer.
DISCARD_MS = 1_000
# Time for peers to acknowledge the end of their streams, and for open calls.
STOP_TIMEOUT_S = 0.1
# Time in which calls are still answered once no connection is accepted: the
# round trip of a daemon that has just connected, and the end of a long body.
MIN_LAST_CALLS_S = 0.05
MAX_LAST_CALLS_S = 0.2
# Kinds of calls, by path.
_KINDS = {
    exchange.EXCHANGE_PATH: traffic.Kind.EXCHANGE,
    exchange.TABLE_PATH: traffic.Kind.TABLE,
    exchange.REPORT_PATH: traffic.Kind.REPORT,
    exchange.PATH_PATH: traffic.Kind.PATH,
    exchange.STREAM_PATH: traffic.Kind.STREAM,
    exchange.RELAY_CANCEL_PATH: traffic.Kind.CANCEL,
}


class PeerHandler(Protocol):
    """Handles messages of other daemons."""

    def handle_exchange(self, message: peer_pb2.Envelope) -> peer_pb2.Envelope:
        """Applies a peer's envelope and returns this daemon's."""

    def handle_news(
        self, sender_id: str, news: peer_pb2.News, reader: wire.NewsReader
    ) -> None:
        """Applies the next message of a stream; `reader` decodes it."""

    def handle_table_request(
        self, request: peer_pb2.TableRequest
    ) -> peer_pb2.TableReply:
        """Returns the table if it is newer than the version in the request."""

    def handle_report_request(self) -> peer_pb2.ReportReply:
        """Returns this daemon's counters."""


class RelayHandler(Protocol):
    """Passes on attempts of other daemons to backend servers."""

    async def relay(self, request: web.BaseRequest) -> web.StreamResponse:
        """Passes on one attempt and answers with its events."""

    async def cancel(self, body: bytes) -> proto.Message:
        """Ends a stream on an engine."""

    async def answer_path(self, body: bytes) -> proto.Message:
        """Returns whether this daemon reaches a server."""


class StreamHandler(Protocol):
    """Answers questions of other daemons about streams."""

    def answer_query(self, body: bytes) -> proto.Message:
        """Returns what this daemon knows of a stream."""


class PeerServer:
    """Answers other daemons that know the cluster's secret."""

    def __init__(
        self,
        *,
        handler: PeerHandler,
        secret: bytes,
        messages: traffic.PeerTraffic | None = None,
        relay: RelayHandler | None = None,
        streams: StreamHandler | None = None,
        clock: Clock | None = None,
        memory: connection_memory.ConnectionMemory | None = None,
    ) -> None:
        """Passes messages to handlers.

        Args:
            handler: Handles messages.
            secret: The cluster's secret.
            messages: Counts each message; None for counts of its own.
            relay: Passes on attempts; None to offer that to no daemon.
            streams: Answers questions about streams; None for no answers.
            clock: Source of time; None for the system's.
            memory: Account of the memory of connections; None for no limit.
        """
        self._handler = handler
        self._relay = relay
        self._relay_calls: dict[
            str, Callable[[bytes], Awaitable[proto.Message]]
        ] = {}
        if relay is not None:
            self._relay_calls = {
                exchange.RELAY_CANCEL_PATH: relay.cancel,
                exchange.PATH_PATH: relay.answer_path,
            }
        self._messages = messages or traffic.PeerTraffic()
        self._expected_proof = exchange.proof(secret)
        self._calls: dict[str, Callable[[bytes], proto.Message]] = {
            exchange.EXCHANGE_PATH: lambda body: handler.handle_exchange(
                peer_pb2.Envelope.FromString(body)
            ),
            exchange.TABLE_PATH: lambda body: handler.handle_table_request(
                peer_pb2.TableRequest.FromString(body)
            ),
            exchange.REPORT_PATH: lambda body: handler.handle_report_request(),
        }
        if streams is not None:
            self._calls[exchange.STREAM_PATH] = streams.answer_query
        self._sockets: set[web.WebSocketResponse] = set()
        self._listener: accepting.Listener | None = None
        self._open_calls = 0
        self._is_stopping = False
        config = connection_config.ConnectionConfig(
            clock=clock or SystemClock(),
            memory=memory or connection_memory.ConnectionMemory(),
            limits=lambda: LIMITS,
            discard_ms=DISCARD_MS,
            receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
            upgrades=True,
        )
        self._server = connection_timeouts.TimeoutServer(
            self._answer, config=config
        )
        self._runner = web.ServerRunner(
            self._server, shutdown_timeout=STOP_TIMEOUT_S
        )

    async def start(self, address: str) -> None:
        """Listens on `address`.

        Raises:
            OSError: The address is in use.
        """
        host, port = addresses.split(address)
        await self._runner.setup()
        assert self._runner.server is not None
        self._listener = await accepting.Listener.open(
            self._runner.server,
            host,
            port,
            backlog=BACKLOG,
            receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
        )

    async def stop(self) -> None:
        """Stops listening, answers the last calls and ends all streams."""
        self._is_stopping = True
        await asyncio.gather(
            *(
                socket.close(code=aiohttp.WSCloseCode.GOING_AWAY)
                for socket in list(self._sockets)
            )
        )
        if self._listener is not None:
            await self._listener.close()
        await self._answer_last_calls()
        await self._runner.cleanup()

    async def _answer_last_calls(self) -> None:
        """Answers calls that cross the end of this daemon.

        Another daemon can't tell whether an attempt has run if its connection
        is closed, but knows that one that is declined has not.
        """
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + MAX_LAST_CALLS_S
        await asyncio.sleep(MIN_LAST_CALLS_S)
        while self._open_calls and loop.time() < ends_s:
            await asyncio.sleep(MIN_LAST_CALLS_S)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        self._open_calls += 1
        try:
            response = await self._dispatch(request)
        finally:
            self._open_calls -= 1
        if self._is_stopping and not response.prepared:
            response.force_close()
        return response

    async def _dispatch(self, request: web.BaseRequest) -> web.StreamResponse:
        proof = request.headers.get(exchange.PROOF_HEADER, "")
        if not hmac.compare_digest(
            proof.encode(), self._expected_proof.encode()
        ):
            response = web.Response(
                status=401, text="not a daemon of this cluster"
            )
            response.force_close()
            return response
        if request.path == exchange.NEWS_PATH:
            return await self._receive_news(request)
        try:
            if request.path == exchange.RELAY_PATH and self._relay is not None:
                return await self._relay.relay(request)
            return await self._answer_call(request)
        except proto.DecodeError as error:
            return web.Response(status=400, text=repr(error))

    async def _answer_call(self, request: web.BaseRequest) -> web.Response:
        call = self._calls.get(request.path)
        relay_call = self._relay_calls.get(request.path)
        body = await request.read()
        if call is not None:
            answer = call(body)
        elif relay_call is not None:
            answer = await relay_call(body)
        else:
            return web.Response(status=404, text="no such call")
        payload = answer.SerializeToString()
        self._messages.count(_KINDS[request.path], len(body) + len(payload))
        return web.Response(body=payload)

    async def _receive_news(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        socket = web.WebSocketResponse(timeout=STOP_TIMEOUT_S, compress=False)
        await socket.prepare(request)
        self._sockets.add(socket)
        sender_id, reader = "", wire.NewsReader()
        try:
            async for message in socket:
                if message.type is not aiohttp.WSMsgType.BINARY:
                    break
                self._messages.count(traffic.Kind.NEWS, len(message.data))
                news = peer_pb2.News.FromString(message.data)
                sender_id = sender_id or news.sender_id
                self._handler.handle_news(sender_id, news, reader)
        except proto.DecodeError as error:
            logging.warning(
                "event=news_unreadable peer=%s detail=%r", sender_id, error
            )
        finally:
            self._sockets.discard(socket)
        return socket


__all__ = ["PeerHandler", "PeerServer", "RelayHandler", "StreamHandler"]
