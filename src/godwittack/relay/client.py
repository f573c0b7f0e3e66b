"""Sends attempts to backend servers through other daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
from google.protobuf import message as proto
from result import Err

from godwittack.backend import signals
from godwittack.core import inputs, server_inputs
from godwittack.peer import exchange, peer_pb2
from godwittack.relay import codec

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.backend import protocol
    from godwittack.clock import Clock
    from godwittack.core import effects

# Beyond the time that the asked daemon allows its probe.
ASK_MARGIN_MS = 150


class RelayClient:
    """Passes attempts and questions about servers to other daemons."""

    def __init__(
        self,
        *,
        peers: exchange.PeerClient,
        own_id: str,
        address_of: Callable[[str], str],
        reporter: signals.SignalReporter,
        clock: Clock,
        probe_timeout_ms: int,
    ) -> None:
        """Starts without connections.

        Args:
            peers: Client of other daemons.
            own_id: This daemon's id.
            address_of: Returns a daemon's address; empty if not known.
            reporter: Passes what servers report about themselves to the core.
            clock: Source of time.
            probe_timeout_ms: Timeout of a daemon's probe of a server.
        """
        self._peers = peers
        self._own_id = own_id
        self._address_of = address_of
        self._reporter = reporter
        self._clock = clock
        self._ask_timeout_ms = probe_timeout_ms + ASK_MARGIN_MS

    async def send(
        self,
        dispatch: effects.Dispatch,
        call: protocol.Call,
        sink: protocol.AttemptSink,
    ) -> None:
        """Runs one attempt to its end through `dispatch.relay`.

        A daemon that declines does so before it sends anything. Whatever
        breaks after the call was written may have run.
        """
        address = self._address_of(dispatch.relay)
        if not address:
            _fail_unsent(sink, f"{dispatch.relay} is not known")
            return
        message = codec.call_to_proto(
            dispatch, call, sender_id=self._own_id, now_ms=self._clock.now_ms()
        )
        request = self._peers.open_call(
            address,
            exchange.RELAY_PATH,
            message,
            fresh_connection=dispatch.fresh_connection,
        )
        try:
            async with request as response:
                if response.status != exchange.STATUS_OK:
                    body = await response.read()
                    detail = body[:200].decode(errors="replace")
                    sink.failed(
                        inputs.FailurePhase.DECLINED,
                        inputs.FailureCause.RELAY,
                        f"{dispatch.relay}: {response.status} {detail}",
                    )
                    return
                await self._receive(dispatch, response.content, sink)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            _fail_unsent(sink, f"{dispatch.relay} can't be reached")
        except (
            aiohttp.ClientError,
            asyncio.IncompleteReadError,
            codec.MalformedEventError,
            proto.DecodeError,
            OSError,
            ValueError,
        ) as error:
            sink.failed(
                inputs.FailurePhase.SENT,
                inputs.FailureCause.RELAY,
                f"{dispatch.relay}: {error!r}",
            )

    async def ask(
        self, daemon: str, *, server_id: str, address: str
    ) -> server_inputs.PathAnswered:
        """Returns a daemon's answer whether it reaches a server."""
        reply = peer_pb2.PathReply()
        peer_address = self._address_of(daemon)
        if peer_address:
            result = await self._peers.ask_path(
                peer_address,
                peer_pb2.PathQuery(server_id=server_id, address=address),
                timeout_ms=self._ask_timeout_ms,
            )
            if not isinstance(result, Err):
                reply = result.ok_value
        return server_inputs.PathAnswered(
            at_ms=self._clock.now_ms(),
            server_id=server_id,
            daemon=daemon,
            verdict=_verdict(reply.verdict),
            incarnation=reply.incarnation,
            reaches_others=reply.reaches_others,
        )

    async def cancel(self, daemon: str, address: str, stream_id: str) -> None:
        """Ends a stream on an engine through a daemon; failures are ignored."""
        peer_address = self._address_of(daemon)
        if peer_address:
            await self._peers.cancel_stream(
                peer_address,
                peer_pb2.RelayCancel(address=address, stream_id=stream_id),
            )

    async def _receive(
        self,
        dispatch: effects.Dispatch,
        reader: codec.Reader,
        sink: protocol.AttemptSink,
    ) -> None:
        while True:
            event = await codec.read_event(reader, sink.make_room)
            if event.HasField("signals"):
                self._report(dispatch, event.signals)
            elif await codec.deliver(event, sink):
                return

    def _report(
        self, dispatch: effects.Dispatch, message: peer_pb2.RelaySignals
    ) -> None:
        origin = signals.SignalOrigin(
            server_id=dispatch.server_id,
            incarnation=dispatch.incarnation,
            request_id=dispatch.request_id,
            is_relayed=True,
        )
        self._reporter.report(
            origin,
            codec.read_signals(message),
            may_lift_limit=message.may_lift_limit,
        )


def _verdict(text: str) -> server_inputs.PathVerdict:
    try:
        return server_inputs.PathVerdict(text)
    except ValueError:
        return server_inputs.PathVerdict.UNKNOWN


def _fail_unsent(sink: protocol.AttemptSink, detail: str) -> None:
    sink.failed(inputs.FailurePhase.CONNECT, inputs.FailureCause.RELAY, detail)


__all__ = ["RelayClient"]
