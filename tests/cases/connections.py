"""What a server's bytes mean, at each byte where they may go wrong."""

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


def whole(body: bytes, head: bytes = HEAD) -> bytes:
    """Returns an answer with a length."""
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def chunk(data: bytes) -> bytes:
    """Returns one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


@dataclasses.dataclass
class Sink:
    """Keeps what happened on one attempt."""

    frames_seen: list[work.Frame] = dataclasses.field(default_factory=list)
    answered: work.Answer | None = None
    failure: tuple[inputs.FailurePhase, inputs.FailureCause] | None = None
    head: work.Head | None = None

    def opened(self, echoed_request, stamp, head=None) -> None:
        """The head of a stream came."""
        del echoed_request, stamp
        self.head = head

    def usage(self, *, prompt, cached, generated) -> None:
        """Not told by these servers."""

    async def frames(self, frames) -> None:
        """Events came."""
        self.frames_seen.extend(frames)

    def answer(self, echoed_request, answer, stamp) -> None:
        """A whole answer came."""
        del echoed_request, stamp
        self.answered = answer

    def failed(self, phase, cause, detail) -> None:
        """The attempt failed."""
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
            wire=servers.ServerFormat(lambda target: "m"),
            clock=clock,
            control_timeout_ms=500,
        )

    async def send(self, name: str = "r1", body: bytes = b"b", **fields):
        """Runs one attempt and returns its sink."""
        sink = Sink()
        call = protocol.Call(
            method="POST",
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


async def what_is_out_of_time_is_not_sent() -> None:
    """Guards against a send after its connection has taken the time left."""
    async with ScriptedServer(Reply(whole(b"1"))) as server:
        backend = Backend(server)
        sink = await backend.send(ends_at_ms=SystemClock().now_ms())
        assert sink.failure == (
            inputs.FailurePhase.DECLINED,
            inputs.FailureCause.REFUSED,
        ), sink.failure
        assert (await backend.send("r2")).answered.body == b"1"


async def what_its_server_wants_no_more_is_not_sent() -> None:
    """Guards against a send decided before its server asked for rest."""
    async with ScriptedServer(Reply(whole(b"1")), Reply(whole(b"2"))) as server:
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


async def another_process_tells_nothing_of_a_server() -> None:
    """Guards against words of the process that now has a server's address."""
    words = b"Server-Leaving: 1\r\nRetry-After: 3\r\n"
    declined = HEAD.replace(b"200 OK", b"421 Misdirected Request") + words
    by_other = whole(b"", declined + b"X-Godwittack-Instance-Id: i-2\r\n")
    by_itself = whole(b"", HEAD.replace(b"200 OK", b"503 Full") + words)
    told: list[object] = []
    async with ScriptedServer(Reply(by_other), Reply(by_itself)) as server:
        backend = Backend(server)
        backend.routed.listener.submit = told.append
        await backend.send()
        assert told == []
        await backend.send("r2")
        kinds = [type(word) for word in told]
        assert kinds == [server_inputs.ServerLeaving, server_inputs.RestAsked]


async def control_calls_tell_of_their_server() -> None:
    """Guards against words in reports, events and orders that nobody reads."""
    declined = b"HTTP/1.1 503 Full\r\nServer-Leaving: 1\r\nRetry-After: 2\r\n"
    order = protocol.Order(
        kind=protocol.OrderKind.LOAD_WEIGHTS,
        fencing=1,
        value="2",
        target="t",
        server_id="i-1",
    )
    async with ScriptedServer(*[Reply(whole(b"", declined))] * 3) as server:
        backend = Backend(server)
        told: list[object] = []
        backend.routed.listener.submit = told.append
        for call in (
            backend.routed.load(server.address, server_id="i-1"),
            backend.routed.cache_events(
                server.address, after=0, server_id="i-1"
            ),
            backend.routed.order(server.address, order),
        ):
            told.clear()
            assert (await call).is_err()
            leaving, rest = told
            assert leaving.server_id == rest.server_id == "i-1"
            assert rest.rest_ms == 2_000


async def our_own_interface_hears_that_a_server_wants_rest() -> None:
    """Guards against a wish for rest that only one interface reads."""
    full = whole(b"", b"HTTP/1.1 503 Full\r\nRetry-After: 1.5\r\n")
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
        told: list[object] = []
        backend.listener.submit = told.append
        sink = Sink()
        dispatch = dataclasses.replace(sent, address=server.address)
        await backend.send(dispatch, call, sink)
        assert sink.failure == (SENT, inputs.FailureCause.REFUSED)
        (rest,) = told
        assert (rest.server_id, rest.rest_ms) == ("i-1", 1_500)


async def a_kept_connection_is_used_again() -> None:
    """Two calls in a row take one connection.

    Symptom: a connection a request, each of which holds a slot for a while.
    Sequence: two whole answers.
    Cause: connections never kept.
    """
    async with ScriptedServer(Reply(whole(b"1")), Reply(whole(b"2"))) as server:
        backend = Backend(server)
        assert (await backend.send()).answered.body == b"1"
        assert (await backend.send("r2")).answered.body == b"2"
        assert server.connections == 1
        head, body = server.requests[0]
        assert head.startswith(b"POST /p/x?y=%2f HTTP/1.1\r\n") and body == b"b"


async def a_second_answer_reaches_nobody() -> None:
    """Bytes after a complete answer belong to no request.

    Symptom: a caller gets the answer to another's request.
    Sequence: a server sends two answers to one request, at once or late.
    Cause: the next answer on a connection taken for the next request's.
    """
    for say in (
        Reply(whole(b"1") + whole(b"x", OTHER)),
        Reply(whole(b"1"), later=whole(b"x", OTHER)),
        Reply(whole(b"1") + b"junk"),
        Reply(whole(b"1"), later=b"junk"),
    ):
        async with ScriptedServer(say, Reply(whole(b"2"))) as server:
            backend = Backend(server)
            assert (await backend.send()).answered.body == b"1"
            await asyncio.sleep(3 * LATER_S)
            assert (await backend.send("r2")).answered.body == b"2"
            assert server.connections == 2, say


async def a_late_answer_to_another_is_read_past() -> None:
    """An answer that names another request is not the one asked for.

    Symptom: a caller gets the answer to another's request, or a call that
        ran is reported as failed.
    Sequence: the extra answer to the first request comes just before the
        answer to the second.
    Cause: the first answer after a request taken for its own.
    """
    async with ScriptedServer(
        Reply(whole(b"1")), Reply(whole(b"x", OTHER) + whole(b"2"))
    ) as server:
        backend = Backend(server)
        await backend.send()
        assert (await backend.send("r2")).answered.body == b"2"


async def an_answer_cut_short_is_none() -> None:
    """What ends before its end is no answer.

    Symptom: half an answer looks whole to a caller.
    Sequence: the connection ends in the head, in a body with a length, in a
        chunk, or is reset where the end of the connection marks the body's.
    Cause: the end of a connection taken for the end of an answer.
    """
    cut = (
        Reply(b"", then="close"),
        Reply(b"HTTP/1.1 200 O", then="close"),
        Reply(whole(b"12345")[:-1], then="close"),
        Reply(HEAD + CHUNKED + chunk(b"123"), then="close"),
        Reply(HEAD + b"\r\n123", then="reset"),
        Reply(b"not an answer at all\r\n\r\n", then="close"),
    )
    for say in cut:
        async with ScriptedServer(say) as server:
            sink = await Backend(server).send()
            assert sink.answered is None, say
            assert sink.failure == (SENT, inputs.FailureCause.BROKEN), say


async def an_answer_without_length_ends_in_order() -> None:
    """An answer may end with its connection.

    Symptom: whole answers of old servers are taken for cut ones.
    Sequence: no length, no chunks; the connection is closed in order.
    Cause: every end of a connection taken for a failure.
    """
    async with ScriptedServer(Reply(HEAD + b"\r\n123", then="close")) as server:
        assert (await Backend(server).send()).answered.body == b"123"


async def a_server_s_word_that_nothing_ran_is_told_apart() -> None:
    """Only a server's own word says that a request has not run.

    Symptom: calls that ran are repeated, or ones that did not are lost.
    Sequence: 503 with and without that word, 421 by another server.
    Cause: the status alone looked at.
    """
    busy = HEAD.replace(b"200 OK", b"503 Busy")
    not_run = busy + b"X-Godwittack-Not-Executed: 1\r\n"
    misdirected = HEAD.replace(b"200 OK", b"421 No")
    other = misdirected + b"X-Godwittack-Instance-Id: i-2\r\n"
    cases = (
        (whole(b"", not_run), (DECLINED, inputs.FailureCause.REFUSED)),
        (whole(b"", other), (DECLINED, inputs.FailureCause.OTHER_SERVER)),
        (whole(b"", misdirected), (DECLINED, inputs.FailureCause.REFUSED)),
        (whole(b"", busy), None),
    )
    for data, failure in cases:
        async with ScriptedServer(Reply(data)) as server:
            sink = await Backend(server).send()
            assert sink.failure == failure, (data, sink)
            assert (sink.answered is None) == (failure is not None)


async def a_body_answered_early_is_sent_to_its_end() -> None:
    """The rest of a body is never followed by other bytes in its place.

    Symptom: a server runs a request with parts of the next one in its body.
    Sequence: a server answers before it has read a long body, keeps the
        connection and reads on; the next request follows.
    Cause: sending stopped at the answer.
    """
    body = bytes(range(256)) * 8_000
    async with ScriptedServer(
        Reply(whole(b"1"), reads_body=False), Reply(whole(b"2"))
    ) as server:
        backend = Backend(server)
        assert (await backend.send(body=body)).answered.body == b"1"
        await asyncio.sleep(3 * LATER_S)
        assert (await backend.send("r2")).answered.body == b"2"
        assert [len(b) for _, b in server.requests] == [len(body), 1]
        assert server.requests[0][1] == body


async def a_stream_is_cut_back_to_whole_events() -> None:
    """An event that stops in its middle is not handed on.

    Symptom: half an event, and then the same event again, in one stream.
    Sequence: a server stops in the middle of the third event.
    Cause: bytes relayed as they come.
    """
    events = b"id: 3\ndata: a\n\nid: 4\ndata: b\n\nid: 5\nda"
    async with ScriptedServer(
        Reply(STREAM + CHUNKED + chunk(events), then="close")
    ) as server:
        sink = await Backend(server).send(stamp=STAMP)
        assert [f.number for f in sink.frames_seen] == [3, 4]
        assert sink.failure == (SENT, inputs.FailureCause.BROKEN)


async def a_stream_ends_with_its_server_s_end() -> None:
    """The last chunk ends a stream, and the connection is kept.

    Symptom: streams that never end, or a new connection for each.
    Sequence: two whole streams.
    Cause: the end looked for in the events.
    """
    say = Reply(STREAM + CHUNKED + chunk(b"id: 1\ndata: a\n\n") + b"0\r\n\r\n")
    async with ScriptedServer(say, say) as server:
        backend = Backend(server)
        for name in ("r1", "r2"):
            sink = await backend.send(name, stamp=STAMP)
            assert sink.frames_seen[-1].terminal and sink.failure is None
        assert server.connections == 1


async def a_server_that_is_not_there_got_nothing() -> None:
    """A refused connection proves that nothing was sent.

    Symptom: calls that can be sent elsewhere are given up.
    Sequence: nobody listens at the address.
    Cause: all failures taken alike.
    """
    async with ScriptedServer() as server:
        address = server.address
    backend = Backend(server)
    sink = await backend.send(address=address)
    assert sink.failure[0] is inputs.FailurePhase.CONNECT


async def a_call_turned_away_on_connecting_got_nothing() -> None:
    """A connection that is reset before anything was sent proves that.

    Symptom: calls that may run once end with 502 while other servers are
    idle.
    Sequence: a server with a long queue accepts a connection and resets it at
    once; the call has been written to it by then.
    Cause: the call follows the opening without a pause, so that nobody can
    say whether it ran.
    """
    async with ScriptedServer(Reply(whole(b"1")), resets=1) as server:
        backend = Backend(server)
        sink = await backend.send(fresh_connection=True)
        assert sink.failure[0] is inputs.FailurePhase.CONNECT
        assert server.requests == []
        sink = await backend.send("r2", fresh_connection=True)
        assert sink.answered.body == b"1"


async def a_connection_closed_while_idle_is_not_used() -> None:
    """A kept connection that its server closed is left out.

    Symptom: calls that may run once are lost on dead connections.
    Sequence: a server answers, then closes; the next call follows.
    Cause: kept connections taken without a look.
    """
    async with ScriptedServer(
        Reply(whole(b"1"), then="close"), Reply(whole(b"2"))
    ) as server:
        backend = Backend(server)
        await backend.send()
        await asyncio.sleep(LATER_S)
        assert (await backend.send("r2")).answered.body == b"2"


async def a_cancelled_attempt_closes_its_connection() -> None:
    """A server sees that nobody waits any more.

    Symptom: servers work on for callers that have left.
    Sequence: an attempt is cancelled before its answer.
    Cause: the connection kept for later use.
    """
    async with ScriptedServer(Reply(b"")) as server:
        backend = Backend(server)
        task = asyncio.create_task(backend.send())
        await asyncio.sleep(LATER_S)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert backend.pool.take("i-1") is None
