"""Parsing of servers' answers and handling of their connections."""

from __future__ import annotations

import asyncio
import dataclasses

import aiohttp

from cases import routed_core
from godwittack.backend import http, pool, protocol, routed
from godwittack.clock import SystemClock
from godwittack.core import (
    availability,
    effects,
    inputs,
    server_inputs,
    work,
)
from godwittack.platform import servers
from standins.scripted import LATER_S, Reply, ScriptedServer

HEAD = b"HTTP/1.1 200 OK\r\nX-Godwittack-Request-Id: {id}\r\n"
OTHER = HEAD.replace(b"{id}", b"another")
STREAM = HEAD + b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
SENT = inputs.FailurePhase.SENT
DECLINED = inputs.FailurePhase.DECLINED


def complete(body: bytes, head: bytes = HEAD) -> bytes:
    """Returns an answer with a length."""
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def chunk(data: bytes) -> bytes:
    """Returns one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


@dataclasses.dataclass
class Sink:
    """Records what happened on one attempt."""

    frames_seen: list[work.Frame] = dataclasses.field(default_factory=list)
    answered: work.Answer | None = None
    failure: tuple[inputs.FailurePhase, inputs.FailureCause] | None = None
    head: work.Head | None = None

    def opened(self, echoed_request, stamp, head=None) -> None:
        """Records the head of a stream."""
        del echoed_request, stamp
        self.head = head

    def usage(self, *, prompt, cached, generated) -> None:
        """Ignores usage, which these servers do not report."""

    async def frames(self, frames) -> None:
        """Records events."""
        self.frames_seen.extend(frames)

    async def make_room(self, size_bytes) -> None:
        """Returns at once."""

    def answer(self, echoed_request, answer, stamp) -> None:
        """Records a complete answer."""
        del echoed_request, stamp
        self.answered = answer

    def signals(self, reported, *, may_lift_limit) -> None:
        """Ignores signals, which the backend client reports itself."""

    def failed(self, phase, cause, detail) -> None:
        """Records a failure."""
        del detail
        self.failure = (phase, cause)


class Backend:
    """A routed backend against one scripted server."""

    def __init__(self, server: ScriptedServer) -> None:
        self._server = server
        clock = SystemClock()
        self.pool = pool.Pool(clock=clock, connect_timeout_ms=500)
        self.routed = routed.RoutedBackend(
            pool=self.pool,
            server_format=servers.ServerFormat(lambda target: "m"),
            clock=clock,
            control_timeout_ms=500,
        )

    async def send(
        self,
        name: str = "r1",
        body: bytes = b"b",
        method: str = "POST",
        **fields,
    ):
        """Runs one attempt and returns its sink."""
        sink = Sink()
        call = protocol.Call(
            method=method,
            path="/p/x?y=%2f",
            headers=(work.Header("X-Godwittack-Request-Id", name),),
            body=body,
            request_id=name,
        )
        sent = effects.Dispatch(
            request_id=name,
            attempt_id=name,
            server_id="i-1",
            **{
                "address": self._server.address,
                "stamp": None,
                "ends_at_ms": 1_000_000_000_000,
                **fields,
            },
        )
        async with asyncio.timeout(2):
            await self.routed.send(sent, call, sink)
        return sink


STAMP = work.Stamp(
    workspace="desk", target="t", weights_version="1", incarnation="i-1"
)


async def a_call_past_its_deadline_is_not_sent() -> None:
    """Guards against a send after connecting has used up the time left."""
    async with ScriptedServer(Reply(complete(b"1"))) as server:
        backend = Backend(server)
        sink = await backend.send(ends_at_ms=SystemClock().now_ms())
        assert sink.failure == (
            inputs.FailurePhase.DECLINED,
            inputs.FailureCause.REFUSED,
        ), sink.failure
        assert (await backend.send("r2")).answered.body == b"1"


async def a_call_is_not_sent_once_its_server_rests_or_leaves() -> None:
    """Guards against a send decided before its server requested a rest."""
    async with ScriptedServer(
        Reply(complete(b"1")), Reply(complete(b"2"))
    ) as server:
        backend = Backend(server)
        core = routed_core.Core(servers=0)
        core.list_server("i-1", routed_core.SERVICE)
        backend.routed.may_send = lambda sent: availability.may_send(
            core.world, sent, now_ms=core.now_ms
        )
        open_at_once = backend.pool.open

        async def open_slowly(address: str):
            core.tell_named(
                server_inputs.RestAsked, server_id="i-1", rest_ms=1_000
            )
            return await open_at_once(address)

        backend.pool.open = open_slowly
        sink = await backend.send(fresh_connection=True)
        assert server.requests == []
        assert sink.failure == (
            inputs.FailurePhase.CONNECT,
            inputs.FailureCause.WITHHELD,
        )
        core.now_ms += 1_000
        backend.pool.open = open_at_once
        assert (await backend.send("r2")).answered.body == b"1"
        core.tell(server_inputs.ServerLeaving, "i-1")
        await backend.send("r3")
        assert len(server.requests) == 1


async def signals_of_another_process_are_ignored() -> None:
    """Guards against signals of a process that now has a server's address."""
    signal_headers = b"Server-Leaving: 1\r\nRetry-After: 3\r\n"
    declined = (
        HEAD.replace(b"200 OK", b"421 Misdirected Request") + signal_headers
    )
    from_other = complete(b"", declined + b"X-Godwittack-Instance-Id: i-2\r\n")
    from_server = complete(
        b"", HEAD.replace(b"200 OK", b"503 Full") + signal_headers
    )
    reported: list[object] = []
    async with ScriptedServer(Reply(from_other), Reply(from_server)) as server:
        backend = Backend(server)
        backend.routed.signal_reporter.submit = reported.append
        await backend.send()
        assert reported == []
        await backend.send("r2")
        kinds = [type(signal) for signal in reported]
        assert kinds == [server_inputs.ServerLeaving, server_inputs.RestAsked]


async def control_calls_report_their_server_s_signals() -> None:
    """Guards against ignored signals in reports, events and orders."""
    declined = b"HTTP/1.1 503 Full\r\nServer-Leaving: 1\r\nRetry-After: 2\r\n"
    order = protocol.Order(
        kind=protocol.OrderKind.LOAD_WEIGHTS,
        fencing=1,
        value="2",
        target="t",
        server_id="i-1",
    )
    async with ScriptedServer(*[Reply(complete(b"", declined))] * 3) as server:
        backend = Backend(server)
        reported: list[object] = []
        backend.routed.signal_reporter.submit = reported.append
        for call in (
            backend.routed.load(server.address, server_id="i-1"),
            backend.routed.cache_events(
                server.address, after=0, server_id="i-1"
            ),
            backend.routed.order(server.address, order),
        ):
            reported.clear()
            assert (await call).is_err()
            leaving, rest = reported
            assert leaving.server_id == rest.server_id == "i-1"
            assert rest.rest_ms == 2_000


async def the_http_backend_reports_a_requested_rest() -> None:
    """Guards against a rest that only the routed backend reports."""
    full = complete(b"", b"HTTP/1.1 503 Full\r\nRetry-After: 1.5\r\n")
    sent = effects.Dispatch(
        request_id="r1",
        attempt_id="r1",
        server_id="i-1",
        address="",
        stamp=STAMP,
    )
    call = protocol.Call(method="POST", path="/x", headers=(), body=b"b")
    async with (
        ScriptedServer(Reply(full)) as server,
        aiohttp.ClientSession() as session,
    ):
        backend = http.HttpBackend(
            pooled=session,
            fresh=session,
            clock=SystemClock(),
            connect_timeout_ms=500,
            control_timeout_ms=500,
        )
        reported: list[object] = []
        backend.signal_reporter.submit = reported.append
        sink = Sink()
        dispatch = dataclasses.replace(sent, address=server.address)
        await backend.send(dispatch, call, sink)
        assert sink.failure == (SENT, inputs.FailureCause.REFUSED)
        (rest,) = reported
        assert (rest.server_id, rest.rest_ms) == ("i-1", 1_500)


async def an_idle_connection_is_reused() -> None:
    """Two consecutive calls use one connection.

    Guards against a new connection for each request, which occupies a slot for
    a while.
    """
    async with ScriptedServer(
        Reply(complete(b"1")), Reply(complete(b"2"))
    ) as server:
        backend = Backend(server)
        assert (await backend.send()).answered.body == b"1"
        assert (await backend.send("r2")).answered.body == b"2"
        assert server.connections == 1
        head, body = server.requests[0]
        assert head.startswith(b"POST /p/x?y=%2f HTTP/1.1\r\n") and body == b"b"


async def a_second_answer_to_one_request_is_discarded() -> None:
    """Bytes after a complete answer belong to no request.

    Guards against a caller that gets the answer to another's request: a server
    sends two answers to one request, at once or late, and the next answer on a
    connection was assigned to the next request.
    """
    for say in (
        Reply(complete(b"1") + complete(b"x", OTHER)),
        Reply(complete(b"1"), later=complete(b"x", OTHER)),
        Reply(complete(b"1") + b"junk"),
        Reply(complete(b"1"), later=b"junk"),
    ):
        async with ScriptedServer(say, Reply(complete(b"2"))) as server:
            backend = Backend(server)
            assert (await backend.send()).answered.body == b"1"
            await asyncio.sleep(3 * LATER_S)
            assert (await backend.send("r2")).answered.body == b"2"
            assert server.connections == 2, say


async def a_late_answer_to_another_request_is_skipped() -> None:
    """An answer that names another request is not the expected one.

    Guards against a caller that gets the answer to another's request, or a call
    that ran but is reported as failed: the extra answer to the first request
    arrives just before the answer to the second.
    """
    async with ScriptedServer(
        Reply(complete(b"1")), Reply(complete(b"x", OTHER) + complete(b"2"))
    ) as server:
        backend = Backend(server)
        await backend.send()
        assert (await backend.send("r2")).answered.body == b"2"


async def a_truncated_answer_is_rejected() -> None:
    """An answer cut off before its end is not delivered.

    Guards against half an answer that looks complete to a caller: the
    connection ends in the head, in a body with a length or in a chunk, or is
    reset where the end of the connection marks that of the body.
    """
    truncated = (
        Reply(b"", then="close"),
        Reply(b"HTTP/1.1 200 O", then="close"),
        Reply(complete(b"12345")[:-1], then="close"),
        Reply(HEAD + CHUNKED + chunk(b"123"), then="close"),
        Reply(HEAD + b"\r\n123", then="reset"),
        Reply(b"not an answer at all\r\n\r\n", then="close"),
    )
    for say in truncated:
        async with ScriptedServer(say) as server:
            sink = await Backend(server).send()
            assert sink.answered is None, say
            assert sink.failure == (SENT, inputs.FailureCause.BROKEN), say


async def an_answer_without_a_length_ends_with_its_connection() -> None:
    """An answer may end with its connection.

    Guards against complete answers of old servers treated as truncated: no
    length, no chunks, and the connection is closed in order.
    """
    async with ScriptedServer(Reply(HEAD + b"\r\n123", then="close")) as server:
        assert (await Backend(server).send()).answered.body == b"123"


async def declined_calls_are_distinguished_from_failed_ones() -> None:
    """Only the server itself can declare that a request has not run.

    Guards against calls that ran and are repeated, or calls that did not run
    and are lost, because only the status was checked: 503 with and without the
    header for a call that was not executed, and 421 by another server.
    """
    busy = HEAD.replace(b"200 OK", b"503 Busy")
    not_run = busy + b"X-Godwittack-Not-Executed: 1\r\n"
    misdirected = HEAD.replace(b"200 OK", b"421 No")
    other = misdirected + b"X-Godwittack-Instance-Id: i-2\r\n"
    cases = (
        (complete(b"", not_run), (DECLINED, inputs.FailureCause.REFUSED)),
        (complete(b"", other), (DECLINED, inputs.FailureCause.OTHER_SERVER)),
        (complete(b"", misdirected), (DECLINED, inputs.FailureCause.REFUSED)),
        (complete(b"", busy), None),
    )
    for data, failure in cases:
        async with ScriptedServer(Reply(data)) as server:
            sink = await Backend(server).send()
            assert sink.failure == failure, (data, sink)
            assert (sink.answered is None) == (failure is not None)


async def a_body_is_sent_to_its_end_after_an_early_answer() -> None:
    """The rest of a body is never replaced by other bytes.

    Guards against a server that reads the next request as part of a body: it
    answers before it has read a long body, keeps the connection and reads on;
    sending stopped at the answer, and the next request follows.
    """
    body = bytes(range(256)) * 8_000
    async with ScriptedServer(
        Reply(complete(b"1"), reads_body=False), Reply(complete(b"2"))
    ) as server:
        backend = Backend(server)
        assert (await backend.send(body=body)).answered.body == b"1"
        await asyncio.sleep(3 * LATER_S)
        assert (await backend.send("r2")).answered.body == b"2"
        assert [len(b) for _, b in server.requests] == [len(body), 1]
        assert server.requests[0][1] == body


async def a_broken_stream_delivers_only_whole_events() -> None:
    """An incomplete event is not forwarded.

    Guards against half an event, followed by the same event again, in one
    stream: a server stops in the middle of the third event, and bytes were
    relayed as they arrived.
    """
    events = b"id: 3\ndata: a\n\nid: 4\ndata: b\n\nid: 5\nda"
    async with ScriptedServer(
        Reply(STREAM + CHUNKED + chunk(events), then="close")
    ) as server:
        sink = await Backend(server).send(stamp=STAMP)
        assert [f.number for f in sink.frames_seen] == [3, 4]
        assert sink.failure == (SENT, inputs.FailureCause.BROKEN)


async def a_stream_ends_with_its_last_chunk() -> None:
    """The last chunk ends a stream, and the connection is kept.

    Guards against streams that never end, or a new connection for each, because
    the end is expected in the events: two complete streams.
    """
    say = Reply(STREAM + CHUNKED + chunk(b"id: 1\ndata: a\n\n") + b"0\r\n\r\n")
    async with ScriptedServer(say, say) as server:
        backend = Backend(server)
        for name in ("r1", "r2"):
            sink = await backend.send(name, stamp=STAMP)
            assert sink.frames_seen[-1].terminal and sink.failure is None
        assert server.connections == 1


async def a_refused_connection_counts_as_not_sent() -> None:
    """A refused connection proves that nothing was sent.

    Guards against failing calls that can be sent elsewhere: nothing listens at
    the address, and all failures were handled alike.
    """
    async with ScriptedServer() as server:
        address = server.address
    backend = Backend(server)
    sink = await backend.send(address=address)
    assert sink.failure[0] is inputs.FailurePhase.CONNECT


async def a_reset_on_connecting_counts_as_not_sent() -> None:
    """A reset before anything was sent proves that nothing was sent.

    Guards against calls that may run only once ending with 502 while other
    servers are idle: a server with a long queue accepts a connection and resets
    it at once. A call written right after connecting has been sent by then, and
    it is unknown whether it ran.
    """
    async with ScriptedServer(Reply(complete(b"1")), resets=1) as server:
        backend = Backend(server)
        sink = await backend.send(fresh_connection=True)
        assert sink.failure[0] is inputs.FailurePhase.CONNECT
        assert server.requests == []
        sink = await backend.send("r2", fresh_connection=True)
        assert sink.answered.body == b"1"


async def a_connection_closed_while_idle_is_not_reused() -> None:
    """An idle connection that its server closed is not used.

    Guards against calls that may run only once being lost on dead connections:
    a server answers, then closes; the next call follows, and idle connections
    were not checked before use.
    """
    async with ScriptedServer(
        Reply(complete(b"1"), then="close"), Reply(complete(b"2"))
    ) as server:
        backend = Backend(server)
        await backend.send()
        await asyncio.sleep(LATER_S)
        assert (await backend.send("r2")).answered.body == b"2"


async def a_cancelled_attempt_closes_its_connection() -> None:
    """A server can see that no caller waits any more.

    Guards against servers that keep working for callers that have left: an
    attempt is cancelled before its answer, and its connection was kept for
    reuse.
    """
    async with ScriptedServer(Reply(b"")) as server:
        backend = Backend(server)
        task = asyncio.create_task(backend.send())
        await asyncio.sleep(LATER_S)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert backend.pool.acquire("i-1") is None
