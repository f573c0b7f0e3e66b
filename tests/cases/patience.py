"""Callers' connections that take too long, over real sockets."""

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


@contextlib.asynccontextmanager
async def connected():
    """Runs a server whose answers wait, and opens a connection to it."""
    clock = ManualClock(1_000)
    may_answer = asyncio.Event()
    bodies: list[bytes] = []

    async def handle(request):
        bodies.append(await request.read())
        await may_answer.wait()
        return web.Response(text="whole")

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


async def a_head_that_never_ends_is_not_waited_for():
    """Symptom: a daemon has no descriptors left, and few requests.

    Sequence: callers open connections, send half of a request's headers, and
    nothing more. Cause: nothing limits how long the headers may take.
    """
    async with connected() as test:
        test.writer.write(REQUEST[:20])
        await asyncio.sleep(0.05)
        test.clock.advance(by_ms=LIMITS.header_timeout_ms - 1)
        assert test.server.close_overdue(LIMITS) == 0
        test.clock.advance(by_ms=1)
        assert test.server.close_overdue(LIMITS) == 1
        assert await test.reader.read() == b""


async def a_connection_kept_for_nothing_is_closed():
    """Symptom: as above, with connections that are idle.

    Sequence: a request is answered, and no other follows for longer than the
    operators' limit. Until then the connection stays.
    """
    async with connected() as test:
        test.may_answer.set()
        test.writer.write(REQUEST + b"abc")
        assert b"whole" in await test.reader.readuntil(b"whole")
        test.clock.advance(by_ms=LIMITS.idle_timeout_ms - 1)
        assert test.server.close_overdue(LIMITS) == 0
        test.clock.advance(by_ms=1)
        assert test.server.close_overdue(LIMITS) == 1
        assert await test.reader.read() == b""


async def a_request_being_served_is_no_idle_connection():
    """Symptom: a long answer is cut off with no trouble anywhere.

    Sequence: a request waits for its server longer than both limits. Cause if
    it happens: time is counted from the last byte read, not from the answer.
    """
    async with connected() as test:
        test.writer.write(REQUEST + b"abc")
        await asyncio.sleep(0.05)
        test.clock.advance(by_ms=2 * LIMITS.idle_timeout_ms)
        assert test.server.close_overdue(LIMITS) == 0
        test.may_answer.set()
        assert b"whole" in await test.reader.readuntil(b"whole")


async def no_limit_ends_nothing():
    """A table without limits of time, or none yet, closes nothing."""
    async with connected() as test:
        test.clock.advance(by_ms=1 << 30)
        assert test.server.close_overdue(forwarding.CallerLimits()) == 0


async def a_compressed_body_is_passed_on_as_it_came():
    """Symptom: a server gets another body than the caller sent.

    Sequence: a caller sends a compressed body and says so. Cause: the HTTP
    library unpacks it, and its header still says that it is compressed.
    """
    async with connected() as test:
        test.may_answer.set()
        test.writer.write(
            REQUEST.replace(b"Host", b"Content-Encoding: gzip\r\nHost")
            + b"\x1f\x8b\x08"
        )
        assert b"whole" in await test.reader.readuntil(b"whole")
        assert test.bodies == [b"\x1f\x8b\x08"]
