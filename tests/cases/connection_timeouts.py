"""Timeouts of callers' connections, over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import types

from aiohttp import web

from godwittack.clock import ManualClock
from godwittack.entry import connection_timeouts
from godwittack.table import forwarding

LIMITS = forwarding.CallerLimits(header_timeout_ms=1_000, idle_timeout_ms=5_000)
REQUEST = b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
MAX_LINE_BYTES = 1 << 16
# More than both ends of a connection buffer.
LONG_ANSWER_BYTES = 32 << 20


@contextlib.asynccontextmanager
async def connected(answer: bytes = b"whole", *, reads_bodies: bool = True):
    """Runs a server that answers when the test lets it, and connects."""
    clock = ManualClock(1_000)
    may_answer = asyncio.Event()
    bodies: list[bytes] = []

    async def handle(request):
        if reads_bodies:
            bodies.append(await request.read())
        await may_answer.wait()
        return web.Response(body=answer)

    server = connection_timeouts.TimeoutServer(
        handle, clock=clock, max_line_bytes=MAX_LINE_BYTES
    )
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    reader, writer = await asyncio.open_connection(*runner.addresses[0][:2])
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
