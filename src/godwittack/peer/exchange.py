"""Client of other daemons: HTTP calls, and update streams over WebSockets."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import socket
from typing import TYPE_CHECKING, TypeVar

import aiohttp
from google.protobuf import message as proto
from result import Ok, Result

from godwittack import liveness
from godwittack.peer import failure, news_stream, peer_pb2, traffic

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager

PROTOCOL_VERSION = 1
PROOF_HEADER = "x-godwittack-proof"
EXCHANGE_PATH = "/peer/exchange"
TABLE_PATH = "/peer/table"
REPORT_PATH = "/peer/report"
NEWS_PATH = "/peer/news"
RELAY_PATH = "/peer/relay"
RELAY_CANCEL_PATH = "/peer/relay-cancel"
PATH_PATH = "/peer/path"
STREAM_PATH = "/peer/stream"
STATUS_OK = 200
STATUS_DECLINED = 503
_PROOF_LABEL = b"godwittack peer"

_Message = TypeVar("_Message", bound=proto.Message)

PeerError = failure.PeerError


class PeerClient:
    """Sends messages to other daemons.

    Streams use WebSockets rather than gRPC: a message costs 317 us of
    processor time at each end, timer and decoding included. With gRPC, whose
    own thread polls beside the event loop, it costs 568 us to send and 448 us
    to receive.
    """

    def __init__(
        self,
        *,
        secret: bytes,
        timeout_ms: int,
        messages: traffic.PeerTraffic | None = None,
    ) -> None:
        """Authenticates with the cluster's secret.

        Args:
            secret: The cluster's secret.
            timeout_ms: Timeout of one call.
            messages: Counts each message; None for counts of its own.
        """
        self._messages = messages or traffic.PeerTraffic()
        self._headers = {PROOF_HEADER: proof(secret)}
        self._timeout_s = timeout_ms / 1000
        self._client_session: aiohttp.ClientSession | None = None
        self._fresh_session: aiohttp.ClientSession | None = None

    async def exchange(
        self, address: str, message: peer_pb2.Envelope
    ) -> Result[peer_pb2.Envelope, PeerError]:
        """Sends an envelope and returns the peer's."""
        return await self._call(
            traffic.Kind.EXCHANGE,
            "exchange",
            address,
            EXCHANGE_PATH,
            message,
            peer_pb2.Envelope,
        )

    def open_news(
        self, address: str, *, on_broken: Callable[[], None]
    ) -> news_stream.NewsStream:
        """Returns a stream of updates to a peer; the first message opens it.

        Args:
            address: Address of the peer.
            on_broken: Called once if the open stream breaks.
        """
        return news_stream.NewsStream(
            session=self._get_session(),
            address=address,
            path=NEWS_PATH,
            headers=self._headers,
            timeout_s=self._timeout_s,
            messages=self._messages,
            on_broken=on_broken,
        )

    async def fetch_table(
        self, address: str, *, known_version: int, base_digest: int = 0
    ) -> Result[peer_pb2.TableReply, PeerError]:
        """Returns a peer's table, or its difference to the table here.

        Args:
            address: Address of the peer.
            known_version: Version of the table here.
            base_digest: Digest of its JSON; 0 for no difference.
        """
        request = peer_pb2.TableRequest(
            known_version=known_version,
            accepts_deflate=True,
            base_digest=base_digest,
        )
        return await self._call(
            traffic.Kind.TABLE,
            "fetch table",
            address,
            TABLE_PATH,
            request,
            peer_pb2.TableReply,
        )

    async def fetch_report(
        self, address: str
    ) -> Result[peer_pb2.ReportReply, PeerError]:
        """Returns a peer's counters."""
        request = peer_pb2.ReportRequest()
        return await self._call(
            traffic.Kind.REPORT,
            "fetch report",
            address,
            REPORT_PATH,
            request,
            peer_pb2.ReportReply,
        )

    def open_call(
        self,
        address: str,
        path: str,
        message: proto.Message,
        *,
        fresh_connection: bool,
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        """Sends a message whose answer is a stream, without a time limit.

        Args:
            address: Address of the peer.
            path: Path of the call.
            message: The message.
            fresh_connection: Whether to open a connection for the call. A
                pooled one may be dead, and a call written to it be lost.
        """
        self._messages.count(traffic.Kind.RELAY, message.ByteSize())
        return self._get_session(fresh=fresh_connection).post(
            f"http://{address}{path}",
            data=message.SerializeToString(),
            headers=self._headers,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self._timeout_s
            ),
        )

    async def ask_path(
        self, address: str, query: peer_pb2.PathQuery, *, timeout_ms: int
    ) -> Result[peer_pb2.PathReply, PeerError]:
        """Asks a peer whether it reaches a server."""
        return await self._call(
            traffic.Kind.PATH,
            "ask path",
            address,
            PATH_PATH,
            query,
            peer_pb2.PathReply,
            timeout_s=timeout_ms / 1000,
        )

    async def ask_stream(
        self, address: str, query: peer_pb2.StreamQuery, *, timeout_ms: int
    ) -> Result[peer_pb2.StreamReply, PeerError]:
        """Asks a peer which software version began a stream."""
        return await self._call(
            traffic.Kind.STREAM,
            "ask stream",
            address,
            STREAM_PATH,
            query,
            peer_pb2.StreamReply,
            timeout_s=timeout_ms / 1000,
        )

    async def cancel_stream(
        self, address: str, message: peer_pb2.RelayCancel
    ) -> Result[peer_pb2.RelayCancelled, PeerError]:
        """Asks a peer to end a stream on an engine."""
        return await self._call(
            traffic.Kind.CANCEL,
            "cancel stream",
            address,
            RELAY_CANCEL_PATH,
            message,
            peer_pb2.RelayCancelled,
        )

    async def close(self) -> None:
        """Closes all connections."""
        for session in (self._client_session, self._fresh_session):
            if session is not None:
                await session.close()

    def _get_session(self, *, fresh: bool = False) -> aiohttp.ClientSession:
        # A session belongs to the event loop in which it is created.
        if fresh:
            if self._fresh_session is None:
                self._fresh_session = aiohttp.ClientSession(
                    connector=aiohttp.TCPConnector(
                        limit=0, force_close=True, socket_factory=_open_socket
                    ),
                    trace_configs=[traffic.trace_config()],
                )
            return self._fresh_session
        if self._client_session is None:
            self._client_session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0, keepalive_timeout=30, socket_factory=_open_socket
                ),
                trace_configs=[traffic.trace_config()],
            )
        return self._client_session

    async def _call(
        self,
        kind: traffic.Kind,
        step: str,
        address: str,
        path: str,
        message: proto.Message,
        reply_type: type[_Message],
        *,
        timeout_s: float | None = None,
    ) -> Result[_Message, PeerError]:
        self._messages.count(kind, message.ByteSize())
        timeout_s = timeout_s or self._timeout_s
        with self._messages.follow(kind) as progress:
            try:
                # A timeout closes the connection, and the next call uses
                # another.
                async with (
                    asyncio.timeout(timeout_s),
                    self._get_session().post(
                        f"http://{address}{path}",
                        data=message.SerializeToString(),
                        headers=self._headers,
                    ) as response,
                ):
                    body = await response.read()
                if response.status != 200:
                    return failure.error(
                        step, address, _status_detail(response.status, body)
                    )
                answer = reply_type.FromString(body)
            except TimeoutError:
                progress.fail()
                return failure.error(
                    step, address, failure.timeout_detail(progress, timeout_s)
                )
            except (aiohttp.ClientError, proto.DecodeError) as error:
                progress.fail()
                return failure.error(step, address, repr(error))
        self._messages.count(kind, len(body))
        return Ok(answer)


def proof(secret: bytes) -> str:
    """Returns the proof that a daemon knows the cluster's secret."""
    return hmac.new(secret, _PROOF_LABEL, hashlib.sha256).hexdigest()


def _open_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Returns a socket that detects a dead network path by TCP keep-alive.

    An open connection can stop working for good while new ones work, and
    writes to it would be lost unnoticed. WebSocket pings would cost each of
    sixty daemons fifteen wake-ups a second.
    """
    family, kind, protocol, _, _ = info
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    liveness.enable_keepalive(sock)
    liveness.limit_unacknowledged(sock)
    return sock


def _status_detail(status: int, body: bytes) -> str:
    return f"status {status} {body[:200].decode(errors='replace')}"


__all__ = [
    "EXCHANGE_PATH",
    "NEWS_PATH",
    "PATH_PATH",
    "PROOF_HEADER",
    "PROTOCOL_VERSION",
    "RELAY_CANCEL_PATH",
    "RELAY_PATH",
    "REPORT_PATH",
    "STATUS_DECLINED",
    "STATUS_OK",
    "STREAM_PATH",
    "TABLE_PATH",
    "PeerClient",
    "PeerError",
    "proof",
]
