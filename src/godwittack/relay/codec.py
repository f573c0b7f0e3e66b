"""Converts attempts and their events to and from protobuf messages."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Protocol

from result import Err, Ok

from godwittack.backend import protocol, signals
from godwittack.core import effects, inputs, work
from godwittack.peer import peer_pb2, ranges

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

_LENGTH = struct.Struct(">I")
# A whole answer of the maximum size, with its headers.
MAX_EVENT_BYTES = 33 << 20
# Events up to this size need no memory of their own.
SMALL_EVENT_BYTES = 64 << 10


class MalformedEventError(Exception):
    """A stream of events has an impossible length or ends within an event."""


class Reader(Protocol):
    """Reads from a stream."""

    async def readexactly(self, n: int) -> bytes:
        """Returns `n` bytes; raises IncompleteReadError at an earlier end."""


def call_to_proto(
    dispatch: effects.Dispatch,
    call: protocol.Call,
    *,
    sender_id: str,
    now_ms: int,
) -> peer_pb2.RelayCall:
    """Returns an attempt as a message."""
    message = peer_pb2.RelayCall(
        sender_id=sender_id,
        request_id=dispatch.request_id,
        attempt_id=dispatch.attempt_id,
        server_id=dispatch.server_id,
        address=dispatch.address,
        incarnation=dispatch.incarnation,
        resume_stream=dispatch.resume_stream,
        after=ranges.uint64(dispatch.after),
        fresh_connection=dispatch.fresh_connection,
        priority=ranges.uint32(dispatch.priority),
        workspace=dispatch.workspace,
        cache_scope=dispatch.cache_scope,
        kv_fetch_from=dispatch.kv_fetch_from,
        kv_save_to=dispatch.kv_save_to,
        method=call.method,
        path=call.path,
        headers=_headers_to_proto(call.headers),
        body=call.body,
        caller_request_id=call.request_id,
        has_no_place=not dispatch.has_own_place,
        suspects=dispatch.suspects,
        streaming=dispatch.streaming,
    )
    if dispatch.ends_at_ms:
        message.has_deadline = True
        message.remaining_ms = ranges.uint32(dispatch.ends_at_ms - now_ms)
    if dispatch.stamp is not None:
        message.stamp.CopyFrom(_stamp_to_proto(dispatch.stamp))
    return message


def dispatch_from_proto(
    message: peer_pb2.RelayCall, *, now_ms: int
) -> effects.Dispatch:
    """Returns an attempt that another daemon decided on."""
    # An attempt without time left must not become one without a limit.
    ends_at_ms = now_ms + message.remaining_ms if message.has_deadline else 0
    return effects.Dispatch(
        request_id=message.request_id,
        attempt_id=message.attempt_id,
        server_id=message.server_id,
        address=message.address,
        stamp=_stamp_from_proto(message),
        resume_stream=message.resume_stream,
        after=message.after,
        fresh_connection=message.fresh_connection,
        priority=message.priority,
        workspace=message.workspace,
        ends_at_ms=ends_at_ms,
        cache_scope=message.cache_scope,
        kv_fetch_from=message.kv_fetch_from,
        kv_save_to=message.kv_save_to,
        incarnation=message.incarnation,
        has_own_place=not message.has_no_place,
        suspects=tuple(message.suspects),
        streaming=message.streaming,
    )


def call_from_proto(message: peer_pb2.RelayCall) -> protocol.Call:
    """Returns the caller's request of an attempt."""
    return protocol.Call(
        method=message.method,
        path=message.path,
        headers=_headers_from_proto(message.headers),
        body=message.body,
        request_id=message.caller_request_id,
    )


def opened(
    echoed_request: str, stamp: work.Stamp | None, head: work.Head | None
) -> peer_pb2.RelayEvent:
    """Returns the event for the head of a stream."""
    message = peer_pb2.RelayOpened(echoed_request=echoed_request)
    if stamp is not None:
        message.stamp.CopyFrom(_stamp_to_proto(stamp))
    if head is not None:
        message.has_head = True
        message.status = head.status
        message.is_delimited = head.is_delimited
        message.headers.extend(_headers_to_proto(head.headers))
    return peer_pb2.RelayEvent(opened=message)


def frame(sent: work.Frame) -> peer_pb2.RelayEvent:
    """Returns the event for one piece of a stream."""
    return peer_pb2.RelayEvent(
        frame=peer_pb2.RelayFrame(
            number=ranges.uint64(sent.number),
            data=sent.data,
            is_terminal=sent.terminal,
        )
    )


def answer(
    echoed_request: str, sent: work.Answer, stamp: work.Stamp | None
) -> peer_pb2.RelayEvent:
    """Returns the event for a complete answer."""
    message = peer_pb2.RelayAnswer(
        echoed_request=echoed_request,
        status=sent.status,
        headers=_headers_to_proto(sent.headers),
        body=sent.body,
        is_delimited=sent.is_delimited,
    )
    if stamp is not None:
        message.stamp.CopyFrom(_stamp_to_proto(stamp))
    return peer_pb2.RelayEvent(answer=message)


def failure(
    phase: inputs.FailurePhase, cause: inputs.FailureCause, detail: str
) -> peer_pb2.RelayEvent:
    """Returns the event for the end of an attempt without an answer."""
    return peer_pb2.RelayEvent(
        failure=peer_pb2.RelayFailure(
            phase=phase.value, cause=cause.value, detail=detail
        )
    )


def server_signals(
    sent: signals.ServerSignals, *, may_lift_limit: bool
) -> peer_pb2.RelayEvent:
    """Returns the event for what a server reported about itself."""
    message = peer_pb2.RelaySignals(
        is_leaving=sent.is_leaving, may_lift_limit=may_lift_limit
    )
    if sent.load is not None:
        message.has_load = True
        message.running = ranges.uint32(sent.load.running)
        message.waiting = ranges.uint32(sent.load.waiting)
        message.slots = ranges.uint32(sent.load.slots)
        message.pace_percent = sent.load.pace_percent or 0
    if isinstance(sent.rate_limit, Ok):
        limit_per_s = sent.rate_limit.ok_value
        if limit_per_s is not None:
            message.has_rate_limit = True
            message.rate_limit_per_s = limit_per_s
    else:
        # A limit that can't be read leaves the known one as it is.
        message.may_lift_limit = False
    if isinstance(sent.brittle, Ok):
        if sent.brittle.ok_value is not None:
            message.is_brittle = True
            message.max_rejected_per_s = sent.brittle.ok_value
    else:
        message.is_brittleness_unreadable = True
    if isinstance(sent.rest, Ok):
        message.rest_ms = ranges.uint32(sent.rest.ok_value or 0)
    else:
        message.rest_ms = signals.DEFAULT_REST_MS
    return peer_pb2.RelayEvent(signals=message)


def read_signals(message: peer_pb2.RelaySignals) -> signals.ServerSignals:
    """Returns what a server reported about itself."""
    load = None
    if message.has_load:
        load = signals.EchoedLoad(
            running=message.running,
            waiting=message.waiting,
            slots=message.slots,
            pace_percent=message.pace_percent or None,
        )
    return signals.ServerSignals(
        load=load,
        rate_limit=Ok(
            message.rate_limit_per_s if message.has_rate_limit else None
        ),
        is_leaving=message.is_leaving,
        rest=Ok(message.rest_ms or None),
        brittle=Err("unreadable")
        if message.is_brittleness_unreadable
        else Ok(message.max_rejected_per_s if message.is_brittle else None),
    )


async def deliver(
    event: peer_pb2.RelayEvent, sink: protocol.AttemptSink
) -> bool:
    """Passes an event to a sink; returns whether the attempt has ended."""
    match event.WhichOneof("event"):
        case "opened":
            sink.opened(
                event.opened.echoed_request,
                _stamp_from_proto(event.opened),
                _read_head(event.opened),
            )
        case "frame":
            received = work.Frame(
                event.frame.number,
                event.frame.data,
                event.frame.is_terminal,
            )
            await sink.frames((received,))
            return received.terminal
        case "answer":
            sink.answer(
                event.answer.echoed_request,
                work.Answer(
                    event.answer.status,
                    _headers_from_proto(event.answer.headers),
                    event.answer.body,
                    event.answer.is_delimited,
                ),
                _stamp_from_proto(event.answer),
            )
            return True
        case "usage":
            sink.usage(
                prompt=event.usage.prompt,
                cached=event.usage.cached,
                generated=event.usage.generated,
            )
        case "failure":
            sink.failed(
                inputs.FailurePhase(event.failure.phase),
                inputs.FailureCause(event.failure.cause),
                event.failure.detail,
            )
            return True
    return False


def frame_event(event: peer_pb2.RelayEvent) -> bytes:
    """Returns an event with its length before it."""
    payload = event.SerializeToString()
    return _LENGTH.pack(len(payload)) + payload


async def read_event(
    reader: Reader, make_room: Callable[[int], Awaitable[None]]
) -> peer_pb2.RelayEvent:
    """Returns the next event of a stream.

    Args:
        reader: Reads the stream.
        make_room: Waits for memory for a large event.

    Raises:
        MalformedEventError: The length of the event is impossible.
        asyncio.IncompleteReadError: The stream ended.
    """
    (size,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if size > MAX_EVENT_BYTES:
        raise MalformedEventError(f"an event of {size} bytes")
    if size > SMALL_EVENT_BYTES:
        # For its bytes, and for what is decoded from them.
        await make_room(2 * size)
    return peer_pb2.RelayEvent.FromString(await reader.readexactly(size))


def _read_head(message: peer_pb2.RelayOpened) -> work.Head | None:
    if not message.has_head:
        return None
    return work.Head(
        message.status,
        _headers_from_proto(message.headers),
        message.is_delimited,
    )


def _stamp_to_proto(stamp: work.Stamp) -> peer_pb2.Stamp:
    return peer_pb2.Stamp(
        workspace=stamp.workspace,
        target=stamp.target,
        weights_version=stamp.weights_version,
        incarnation=stamp.incarnation,
    )


def _stamp_from_proto(
    message: peer_pb2.RelayCall | peer_pb2.RelayOpened | peer_pb2.RelayAnswer,
) -> work.Stamp | None:
    if not message.HasField("stamp"):
        return None
    return work.Stamp(
        workspace=message.stamp.workspace,
        target=message.stamp.target,
        weights_version=message.stamp.weights_version,
        incarnation=message.stamp.incarnation,
    )


def _headers_to_proto(
    headers: Iterable[work.Header],
) -> list[peer_pb2.Header]:
    return [peer_pb2.Header(name=h.name, value=h.value) for h in headers]


def _headers_from_proto(
    headers: Iterable[peer_pb2.Header],
) -> tuple[work.Header, ...]:
    return tuple(work.Header(h.name, h.value) for h in headers)


__all__ = [
    "MalformedEventError",
    "answer",
    "call_from_proto",
    "call_to_proto",
    "deliver",
    "dispatch_from_proto",
    "failure",
    "frame",
    "frame_event",
    "opened",
    "read_event",
    "read_signals",
    "server_signals",
]
