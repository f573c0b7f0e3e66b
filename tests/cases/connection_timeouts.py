"""Timeouts of callers' connections, over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import types
from unittest import mock

from aiohttp import web

from cluster import processes
from godwittack.clock import ManualClock
from godwittack.core import work
from godwittack.daemon import listeners
from godwittack.entry import connection_config, connection_timeouts, delimiting
from godwittack.table import forwarding

LIMITS = forwarding.CallerLimits(header_timeout_ms=1_000, idle_timeout_ms=5_000)
REQUEST = b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
ANSWER_S = 2.0
# More than both ends of a connection buffer.
LONG_ANSWER_BYTES = 32 << 20
# More than the system takes of an answer with small buffers at both ends, and
# less than what makes a writer wait.
UNFRAMED_BYTES = 60 << 10
SMALL_BUFFER_BYTES = 4 << 10


@contextlib.asynccontextmanager
async def connected(
    answer: bytes = b"whole", *, reads_bodies: bool = True, handle=None
):
    """Runs a server that answers when the test lets it, and connects."""
    clock = ManualClock(1_000)
    may_answer = asyncio.Event()
    bodies: list[bytes] = []

    async def answer_later(request):
        if reads_bodies:
            bodies.append(await request.read())
        await may_answer.wait()
        return web.Response(body=answer)

    server = connection_timeouts.TimeoutServer(
        handle or answer_later,
        config=connection_config.ConnectionConfig(clock=clock),
    )
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    # With a small receive buffer, set before the connection is opened.
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.connect(runner.addresses[0][:2])
    reader, writer = await asyncio.open_connection(sock=sock)
    try:
        yield types.SimpleNamespace(
            clock=clock,
            server=server,
            reader=reader,
            writer=writer,
            bodies=bodies,
            may_answer=may_answer,
        )
    finally:
        writer.close()
        may_answer.set()
        await runner.cleanup()


async def unfinished_request_headers_time_out():
    """A connection whose request headers never end is closed.

    Guards against a daemon that runs out of descriptors with few requests:
    callers open connections, send half of a request's headers, and nothing
    more, and nothing limits how long the headers may take.
    """
    async with connected() as setup:
        setup.writer.write(REQUEST[:20])
        await asyncio.sleep(0.05)
        setup.clock.advance(by_ms=LIMITS.header_timeout_ms - 1)
        assert setup.server.close_overdue(LIMITS) == 0
        setup.clock.advance(by_ms=1)
        assert setup.server.close_overdue(LIMITS) == 1
        assert await setup.reader.read() == b""


async def an_idle_connection_is_closed():
    """A connection stays open for the operators' limit, not for longer.

    Guards against idle connections that use up all descriptors: a request is
    answered, and no other follows for longer than the limit.
    """
    async with connected() as setup:
        setup.may_answer.set()
        setup.writer.write(REQUEST + b"abc")
        assert b"whole" in await setup.reader.readuntil(b"whole")
        setup.clock.advance(by_ms=LIMITS.idle_timeout_ms - 1)
        assert setup.server.close_overdue(LIMITS) == 0
        setup.clock.advance(by_ms=1)
        assert setup.server.close_overdue(LIMITS) == 1
        assert await setup.reader.read() == b""


async def a_connection_with_a_running_request_is_not_idle():
    """A request may wait for its server for longer than both limits.

    Guards against a long answer that is cut off without any fault: time counted
    from the last byte read, not from the answer.
    """
    async with connected() as setup:
        setup.writer.write(REQUEST + b"abc")
        await asyncio.sleep(0.05)
        setup.clock.advance(by_ms=2 * LIMITS.idle_timeout_ms)
        assert setup.server.close_overdue(LIMITS) == 0
        setup.may_answer.set()
        assert b"whole" in await setup.reader.readuntil(b"whole")


async def without_limits_no_connection_is_closed():
    """A table without time limits, or no table yet, closes nothing."""
    async with connected() as setup:
        setup.clock.advance(by_ms=1 << 30)
        assert setup.server.close_overdue(forwarding.CallerLimits()) == 0


async def a_compressed_body_is_forwarded_unchanged():
    """A server gets the body that the caller sent.

    Guards against a body that the HTTP library decompresses while its header
    still declares it compressed.
    """
    async with connected() as setup:
        setup.may_answer.set()
        setup.writer.write(
            REQUEST.replace(b"Host", b"Content-Encoding: gzip\r\nHost")
            + b"\x1f\x8b\x08"
        )
        assert b"whole" in await setup.reader.readuntil(b"whole")
        assert setup.bodies == [b"\x1f\x8b\x08"]


async def an_answer_that_is_read_slowly_is_not_idle():
    """A response that is being written outlives the idle timeout.

    Guards against long answers cut for slow callers: the connection counted as
    idle once the handler had returned the response.
    """
    async with connected(answer=b"x" * LONG_ANSWER_BYTES) as setup:
        setup.may_answer.set()
        setup.writer.write(REQUEST + b"abc")
        await setup.reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.05)
        setup.clock.advance(by_ms=2 * LIMITS.idle_timeout_ms)
        assert setup.server.close_overdue(LIMITS) == 0
        assert setup.server.close_idle(min_idle_ms=0) == 0
        await setup.reader.readexactly(LONG_ANSWER_BYTES)


async def an_idle_connection_with_unread_bytes_is_not_closed():
    """A request that has arrived but was not read yet is answered.

    Guards against requests reset by a daemon whose event loop is late: they
    waited in the socket of a connection that it closed as idle.
    """
    async with connected() as setup:
        setup.may_answer.set()
        await asyncio.sleep(0.05)
        setup.clock.advance(by_ms=LIMITS.idle_timeout_ms)
        setup.writer.write(REQUEST + b"abc")
        assert setup.server.close_overdue(LIMITS) == 0
        assert setup.server.close_idle(min_idle_ms=0) == 0
        assert b"whole" in await setup.reader.readuntil(b"whole")


async def a_stopping_server_answers_pipelined_requests():
    """Each request that was read is answered, the last one with a close.

    Guards against requests dropped at a stop: the first answer closed the
    connection although the next request had been read with the first.
    """
    async with connected() as setup:
        setup.writer.write(2 * (REQUEST + b"abc"))
        await asyncio.sleep(0.05)
        setup.server.stopping = True
        setup.may_answer.set()
        answers = await setup.reader.read()
        assert answers.count(b"whole") == 2, answers
        assert answers.count(b"Connection: close") == 1, answers


async def a_connection_whose_body_is_still_discarded_is_not_idle():
    """An answer sent before its request's body arrived stays readable.

    Guards against early answers lost in a reset: the connection counted as idle
    while the rest of the body was under way. Once the body has ended, the
    connection is idle, and not one whose headers are unfinished.
    """
    async with connected(reads_bodies=False) as setup:
        setup.may_answer.set()
        setup.writer.write(REQUEST)
        assert b"whole" in await setup.reader.readuntil(b"whole")
        setup.clock.advance(by_ms=LIMITS.idle_timeout_ms)
        assert setup.server.close_overdue(LIMITS) == 0
        assert setup.server.close_idle(min_idle_ms=0) == 0
        setup.writer.write(b"abc")
        await asyncio.sleep(0.05)
        assert setup.server.count_states() == {"idle": 1}
        assert setup.server.close_idle(min_idle_ms=0) == 1
        assert await setup.reader.read() == b""


async def a_pipelined_request_that_waits_for_its_handler_is_not_idle():
    """A request that was read is answered, however late the event loop is.

    Guards against a connection closed between the answer to one request and the
    handler of the next one, which had been read with it.
    """
    async with connected() as setup:
        setup.writer.write(2 * (REQUEST + b"abc"))
        await asyncio.sleep(0.05)
        (connection,) = setup.server.connections
        finish = type(connection).finish_response
        looks: list[asyncio.Task[None]] = []

        async def look_later():
            await asyncio.sleep(0)
            setup.clock.advance(by_ms=LIMITS.idle_timeout_ms)
            setup.server.close_idle(min_idle_ms=1)

        async def finish_then_be_late(self, *args):
            result = await finish(self, *args)
            looks.append(asyncio.create_task(look_later()))
            return result

        with mock.patch.object(
            type(connection), "finish_response", finish_then_be_late
        ):
            setup.may_answer.set()
            await setup.reader.readuntil(b"whole")
            await setup.reader.readuntil(b"whole")


async def requests_are_refused_by_the_clock():
    """A stopping daemon refuses from a moment on, however late its loop is.

    Guards against requests begun after callers should have left, as the event
    loop reached the step that refuses them late.
    """
    async with connected() as setup:
        (connection,) = await _until_connected(setup.server)
        setup.server.refuse_from_ms = setup.clock.now_ms() + 1
        assert not connection.must_refuse
        setup.clock.advance(by_ms=1)
        assert connection.must_refuse


async def _until_connected(server):
    while not server.connections:
        await asyncio.sleep(0.01)
    return server.connections


async def an_answer_without_framing_is_sent_before_its_orderly_end():
    """The system has an answer without a length before its end is marked.

    Guards against the first part of a body that looks whole: the process ended
    while it held the rest, and the connection was closed in order.
    """
    unsent_bytes: list[int] = []

    async def handle(request):
        transport = request.transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        answer = work.Answer(200, (), bytes(UNFRAMED_BYTES), False)
        response = await delimiting.send_answer(
            request, answer, piece_timeout_ms=1_000
        )
        unsent_bytes.append(transport.get_write_buffer_size())
        return response

    async with connected(handle=handle) as setup:
        transport = setup.writer.transport
        transport.pause_reading()
        setup.writer.write(REQUEST + b"abc")
        await asyncio.sleep(0.05)
        transport.resume_reading()
        await setup.reader.readuntil(b"\r\n\r\n")
        assert len(await setup.reader.read()) == UNFRAMED_BYTES
        assert unsent_bytes == [0], unsent_bytes


async def a_connection_accepted_as_a_daemon_stops_listening_is_answered():
    """A caller that connects just before gets an answer.

    Guards against an accepted connection that is neither read nor closed: the
    listener was closed before the event loop had made its transport.
    """

    async def handle(request):
        return web.Response(body=await request.read())

    port = processes.free_port()
    served = listeners.Listeners(
        connection_config.ConnectionConfig(clock=ManualClock(1_000))
    )
    await served.listen(f"127.0.0.1:{port}", handle)
    connection = socket.create_connection(("127.0.0.1", port))
    connection.sendall(REQUEST + b"abc")
    connection.setblocking(False)
    await served.stop()
    reader, writer = await asyncio.open_connection(sock=connection)
    try:
        async with asyncio.timeout(ANSWER_S):
            assert await reader.readuntil(b"abc")
    finally:
        writer.close()


async def an_answer_that_is_no_longer_read_is_aborted():
    """A connection whose caller reads nothing is closed after a while.

    Guards against a planned stop that waits for its whole patience for a caller
    that has stopped reading; one that reads slowly is waited for.
    """
    async with connected(answer=b"x" * LONG_ANSWER_BYTES) as setup:
        setup.may_answer.set()
        setup.writer.write(REQUEST + b"abc")
        await setup.reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.05)
        assert setup.server.close_unread(timeout_ms=1_000) == 0
        for _ in range(3):
            setup.clock.advance(by_ms=999)
            await setup.reader.readexactly(LONG_ANSWER_BYTES // 4)
            await asyncio.sleep(0.05)
            assert setup.server.close_unread(timeout_ms=1_000) == 0
        setup.clock.advance(by_ms=1_000)
        assert setup.server.close_unread(timeout_ms=1_000) == 1
        await asyncio.sleep(0.05)
        assert not setup.server.connections
