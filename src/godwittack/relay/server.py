"""Passes other daemons' attempts to backend servers that this one reaches."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import heapq
from typing import TYPE_CHECKING

from aiohttp import web
from google.protobuf import message as proto
from result import Err, Ok

from godwittack.core import (
    availability,
    brittle,
    crashes,
    effects,
    entities,
    inputs,
    paths,
    server_inputs,
    work,
)
from godwittack.entry import connection_timeouts, reservations
from godwittack.peer import exchange, peer_pb2, ranges
from godwittack.relay import codec

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from godwittack.backend import protocol, signals
    from godwittack.clock import Clock
    from godwittack.daemon import observer as observers

# Attempts passed on at the same time; beyond it, others are asked to do it.
MAX_ATTEMPTS = 256
# Events buffered for a daemon that reads slowly.
MAX_BUFFERED_EVENTS = 64
# Other servers that a daemon probes to find out whether it is cut off.
MAX_OTHERS = 3
# Time for which a refused connection answers further questions.
REFUSED_KEEP_MS = 300


class EventQueue:
    """Implements `AttemptSink`; queues the events of one attempt."""

    def __init__(self, memory: reservations.Reservation) -> None:
        """Starts without events.

        Args:
            memory: Memory for the attempt and its answer.
        """
        self._memory = memory
        self.outcome = "broken"
        self._events: collections.deque[peer_pb2.RelayEvent] = (
            collections.deque()
        )
        self._is_finished = False
        self._changed = asyncio.Event()
        self._has_room = asyncio.Event()

    @property
    def size(self) -> int:
        """Number of queued events."""
        return len(self._events)

    def opened(
        self,
        echoed_request: str,
        stamp: work.Stamp | None,
        head: work.Head | None = None,
    ) -> None:
        """Queues the head of a stream."""
        self._put(codec.opened(echoed_request, stamp, head))

    def usage(self, *, prompt: int, cached: int, generated: int) -> None:
        """Queues the token usage that the engine reported."""
        usage = peer_pb2.RelayUsage(
            prompt=ranges.uint32(prompt),
            cached=ranges.uint32(cached),
            generated=ranges.uint32(generated),
        )
        self._put(peer_pb2.RelayEvent(usage=usage))

    async def frames(self, frames: tuple[work.Frame, ...]) -> None:
        """Queues frames; waits while too many events are queued."""
        for frame in frames:
            self._put(codec.frame(frame))
            if frame.terminal:
                self.outcome = "finished"
        while len(self._events) >= MAX_BUFFERED_EVENTS:
            self._has_room.clear()
            await self._has_room.wait()

    async def make_room(self, size_bytes: int) -> None:
        """Waits for memory for a plain answer, and for the event with it."""
        await self._memory.take_answer(2 * size_bytes)

    def answer(
        self,
        echoed_request: str,
        answer: work.Answer,
        stamp: work.Stamp | None,
    ) -> None:
        """Queues a complete answer."""
        self.outcome = "finished"
        self._put(codec.answer(echoed_request, answer, stamp))

    def failed(
        self,
        phase: inputs.FailurePhase,
        cause: inputs.FailureCause,
        detail: str,
    ) -> None:
        """Queues the end of an attempt without an answer."""
        self.outcome = f"{phase.value}_{cause.value}"
        self._put(codec.failure(phase, cause, detail))

    def signals(
        self, reported: signals.ServerSignals, *, may_lift_limit: bool
    ) -> None:
        """Queues what the server reported about itself."""
        self._put(codec.server_signals(reported, may_lift_limit=may_lift_limit))

    def finish(self, task: asyncio.Task[None]) -> None:
        """Ends the queue once the attempt has ended."""
        if not task.cancelled() and task.exception() is not None:
            self.failed(
                inputs.FailurePhase.SENT,
                inputs.FailureCause.BROKEN,
                repr(task.exception()),
            )
        self._is_finished = True
        self._changed.set()

    async def get(self) -> peer_pb2.RelayEvent | None:
        """Waits for the next event; returns None at the end."""
        while not self._events:
            if self._is_finished:
                return None
            self._changed.clear()
            await self._changed.wait()
        event = self._events.popleft()
        self._has_room.set()
        return event

    def _put(self, event: peer_pb2.RelayEvent) -> None:
        self._events.append(event)
        self._changed.set()


@dataclasses.dataclass(frozen=True, slots=True)
class _Refused:
    """A probe whose connection was refused."""

    at_ms: int
    reply: peer_pb2.PathReply


class RelayServer:
    """Serves the attempts and questions of other daemons.

    Attributes:
        queues: Events of the attempts that are passed on at present.
        submit: Passes inputs to this daemon's core.
        observer: Records one event for each attempt.
        is_overloaded: Returns whether this daemon lacks processor time.
        body_memory: Memory for the bodies of requests.
    """

    def __init__(
        self,
        *,
        world: entities.World,
        backend: protocol.BackendClient,
        clock: Clock,
        submit: Callable[[inputs.Input], None],
        observer: observers.Observer,
        is_overloaded: Callable[[], bool] = lambda: False,
        body_memory: reservations.SharedBodyMemory | None = None,
    ) -> None:
        """Sends over the connections of `backend`."""
        self.body_memory = body_memory or reservations.SharedBodyMemory(
            capacity_bytes=0, clock=clock
        )
        self._world = world
        self._backend = backend
        self._clock = clock
        self.submit = submit
        self.observer = observer
        self.is_overloaded = is_overloaded
        self.queues: list[EventQueue] = []
        self._idle = asyncio.Event()
        self._idle.set()
        self._probes: dict[str, asyncio.Task[peer_pb2.PathReply]] = {}
        self._refused: dict[str, _Refused] = {}

    async def wait_until_idle(self) -> None:
        """Waits until no attempt of another daemon is being passed on."""
        await self._idle.wait()

    async def relay(self, request: web.BaseRequest) -> web.StreamResponse:
        """Passes one attempt to its server, and its events back."""
        if request.content_length is None:
            return web.Response(status=411, text="send a body with a length")
        reservation = self.body_memory.try_reserve(
            request.content_length, connection_timeouts.holder_of(request)
        )
        if reservation is None:
            return web.Response(
                status=exchange.STATUS_DECLINED,
                text="this daemon has no memory for the body",
            )
        try:
            return await self._relay(request, reservation)
        finally:
            reservation.release()

    async def _relay(
        self, request: web.BaseRequest, memory: reservations.Reservation
    ) -> web.StreamResponse:
        # Bounded by the memory that is reserved for it, not by the limit of the
        # HTTP library, which is lower than that of callers' bodies.
        body = await request.content.read()
        message = peer_pb2.RelayCall.FromString(body)
        dispatch = codec.dispatch_from_proto(
            message, now_ms=self._clock.now_ms()
        )
        declined = self._decline_reason(dispatch)
        if declined:
            self._record(message, f"declined: {declined}", 0)
            return web.Response(status=exchange.STATUS_DECLINED, text=declined)
        # Taken before the first wait: another attempt may want the same place,
        # or the server's entry be removed.
        server = self._world.servers[dispatch.server_id]
        server.passed_on += not dispatch.has_own_place
        queue = EventQueue(memory)
        self.queues.append(queue)
        self._idle.clear()
        response = web.StreamResponse()
        started_ms = self._clock.now_ms()
        task: asyncio.Task[None] | None = None
        try:
            await response.prepare(request)
            task = asyncio.create_task(
                self._backend.send(
                    dispatch, codec.call_from_proto(message), queue
                )
            )
            task.add_done_callback(queue.finish)
            while (event := await queue.get()) is not None:
                await response.write(codec.frame_event(event))
            await _write_end(request, response)
        except asyncio.CancelledError:
            queue.outcome = "sender_gone"
            raise
        except ConnectionError:
            queue.outcome = "sender_gone"
        finally:
            self.queues.remove(queue)
            server.passed_on -= not dispatch.has_own_place
            if not self.queues:
                self._idle.set()
            if task is not None:
                # Closes the connection to the server if the sender has gone.
                task.cancel()
            self._record(
                message, queue.outcome, self._clock.now_ms() - started_ms
            )
        return response

    async def cancel(self, body: bytes) -> proto.Message:
        """Ends a stream on an engine."""
        message = peer_pb2.RelayCancel.FromString(body)
        known = {server.address for server in self._world.servers.values()}
        if message.address in known:
            await self._backend.cancel(message.address, message.stream_id)
        return peer_pb2.RelayCancelled()

    async def answer_path(self, body: bytes) -> proto.Message:
        """Probes a server over a new connection, for another daemon."""
        query = peer_pb2.PathQuery.FromString(body)
        server = self._world.servers.get(query.server_id)
        if server is None or server.address != query.address:
            return _reply(server_inputs.PathVerdict.UNKNOWN)
        refused = self._refused.get(query.server_id)
        now_ms = self._clock.now_ms()
        if refused is not None and now_ms - refused.at_ms < REFUSED_KEEP_MS:
            return refused.reply
        probe = self._probes.get(query.server_id)
        if probe is None:
            probe = asyncio.create_task(self._probe(server))
            self._probes[query.server_id] = probe
            probe.add_done_callback(
                lambda _: self._probes.pop(query.server_id, None)
            )
        return await asyncio.shield(probe)

    def _decline_reason(self, dispatch: effects.Dispatch) -> str:
        """Returns why an attempt isn't passed on; empty if it is."""
        server = self._world.servers.get(dispatch.server_id)
        now_ms = self._clock.now_ms()
        if self._world.stopping:
            return "this daemon stops"
        if server is None or server.address != dispatch.address:
            return "this daemon does not know the server"
        if paths.is_lost(server):
            return "this daemon does not reach the server"
        if not availability.may_send(self._world, dispatch, now_ms=now_ms):
            return "the server accepts no work from this daemon"
        if not dispatch.has_own_place and not brittle.may_pass_on(
            self._world, server
        ):
            return "this daemon has no place at the server"
        if crashes.is_blocked(self._world, dispatch.suspects):
            return "what it holds crashes servers"
        if len(self.queues) >= MAX_ATTEMPTS or self.is_overloaded():
            return "this daemon is overloaded"
        return ""

    async def _probe(self, server: entities.ServerRow) -> peer_pb2.PathReply:
        others = self._other_servers(server)
        result, *other_results = await asyncio.gather(
            self._load(server), *map(self._load, others)
        )
        now_ms = self._clock.now_ms()
        is_alive = _is_alive(result)
        is_refused = (
            isinstance(result, Err) and result.err_value.connection_refused
        )
        self.submit(
            server_inputs.ProbeAnswered(
                now_ms,
                server.server_id,
                is_alive,
                incarnation=_incarnation(result),
                ended=is_refused,
                fresh_connection=True,
                was_asked=True,
            )
        )
        verdict = server_inputs.PathVerdict.SILENT
        if is_alive:
            verdict = server_inputs.PathVerdict.ALIVE
        elif is_refused:
            verdict = server_inputs.PathVerdict.ENDED
        reply = _reply(
            verdict,
            incarnation=_incarnation(result),
            reaches_others=not others or any(map(_is_alive, other_results)),
        )
        if is_refused:
            self._refused[server.server_id] = _Refused(now_ms, reply)
        return reply

    def _other_servers(
        self, server: entities.ServerRow
    ) -> list[entities.ServerRow]:
        """Returns other servers, which show whether this daemon is cut off.

        Of the same target, as a cut may concern one service only. Several, as
        many servers may end at one time; those heard from last are the least
        likely to have ended, unless their paths are known to be lost.
        """
        others = [
            other
            for other in self._world.servers.values()
            if other is not server and not other.leaving
        ]
        same_target = [o for o in others if o.target == server.target]
        return heapq.nsmallest(
            MAX_OTHERS,
            same_target or others,
            key=lambda other: (paths.is_lost(other), -other.last_contact_ms),
        )

    async def _load(
        self, server: entities.ServerRow
    ) -> Result[protocol.EngineLoad, protocol.BackendError]:
        return await self._backend.load(
            server.address, server_id=server.server_id, fresh_connection=True
        )

    def _record(
        self, message: peer_pb2.RelayCall, outcome: str, took_ms: int
    ) -> None:
        self.observer.record(
            effects.Event(
                "relayed",
                message.request_id,
                (
                    effects.Field("attempt", message.attempt_id),
                    effects.Field("server", message.server_id),
                    effects.Field("sender", message.sender_id),
                    effects.Field("outcome", outcome),
                    effects.Field("took_ms", took_ms),
                    effects.Field("active", len(self.queues)),
                ),
            )
        )


async def _write_end(
    request: web.BaseRequest, response: web.StreamResponse
) -> None:
    """Ends a response; returns once the system has taken all of its bytes.

    Those left in this process would be lost if it ended.
    """
    if request.transport is not None:
        request.transport.set_write_buffer_limits(high=0)
    await response.write_eof()
    if request.transport is not None:
        request.transport.set_write_buffer_limits()


def _reply(
    verdict: server_inputs.PathVerdict,
    *,
    incarnation: str = "",
    reaches_others: bool = False,
) -> peer_pb2.PathReply:
    return peer_pb2.PathReply(
        verdict=verdict.value,
        incarnation=incarnation,
        reaches_others=reaches_others,
    )


def _is_alive(
    result: Result[protocol.EngineLoad, protocol.BackendError],
) -> bool:
    """Returns whether a server responded; a rejection counts as well."""
    return isinstance(result, Ok) or result.err_value.status > 0


def _incarnation(
    result: Result[protocol.EngineLoad, protocol.BackendError],
) -> str:
    return result.ok_value.incarnation if isinstance(result, Ok) else ""


__all__ = ["RelayServer"]
