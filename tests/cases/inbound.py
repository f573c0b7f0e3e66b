"""Requests of one connection, and the account of what connections hold."""

from __future__ import annotations

import asyncio
import contextlib
import resource
from typing import TYPE_CHECKING
from unittest import mock

from aiohttp import web

from cluster import crowd, raw_caller
from cluster import platform as platforms
from godwittack.clock import ManualClock, SystemClock
from godwittack.config import settings as configs
from godwittack.daemon import connection_room
from godwittack.entry import (
    connection_config,
    connection_timeouts,
    request_limits,
)
from godwittack.limit import connection_memory

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

KB = 1 << 10
MB = 1 << 20
ANSWER_S = 5.0
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LIMITS = request_limits.RequestLimits(head_bytes=4_000, body_bytes=100)
WIDE_LIMITS = request_limits.RequestLimits(
    head_bytes=100_000, body_bytes=50_000
)
# Time within which a configuration is in force after its acknowledgement.
APPLY_S = 2.0
# Time in which a part of a request reaches the server.
ARRIVAL_S = 0.05


class _Client:
    """A client that is waited for since some time."""

    def __init__(
        self,
        since_ms: int | None = None,
        kind: connection_memory.WaitKind = connection_memory.WaitKind.GOING_ON,
    ) -> None:
        self.wait = None
        if since_ms is not None:
            self.wait = connection_memory.Wait(kind, since_ms)
        self.is_closed = False

    def awaited(self) -> connection_memory.Wait | None:
        """Returns the wait for it."""
        return self.wait

    def close_for_room(self) -> None:
        """Records that it was closed."""
        self.is_closed = True


def _account(*clients: _Client, size_bytes: int = 100 * KB):
    """Returns a full account whose connections hold the same."""
    account = connection_memory.ConnectionMemory()
    for client in clients:
        account.open(client, size_bytes, now_ms=0)
    account.capacity_bytes = account.used_bytes
    return account


def the_most_costly_wait_is_ended_first() -> None:
    """Guards against callers closed beside others that hold megabytes."""
    small, large = _Client(0), _Client(5_000)
    account = _account(small, _Client())
    account.open(large, 0, now_ms=0)
    (holder,) = (h for h in account._holders if h.client is large)
    account.add(holder, 4 * MB)
    account.capacity_bytes = account.used_bytes
    assert account.open(_Client(), KB, now_ms=10_000) is not None
    assert large.is_closed and not small.is_closed


def answered_and_unused_connections_are_closed_before_others() -> None:
    """Guards against requests cut beside clients that need no answer."""
    kind = connection_memory.WaitKind
    used = _Client(0)
    unused = _Client(9_700, kind.UNUSED)
    answered = _Client(9_999, kind.ANSWERED)
    account = _account(used, unused, answered, size_bytes=30 * KB)
    assert account.open(_Client(), KB, now_ms=10_000) is not None
    assert answered.is_closed and not unused.is_closed and not used.is_closed
    assert account.open(_Client(), 50 * KB, now_ms=10_200) is not None
    assert unused.is_closed and not used.is_closed


def a_client_on_a_working_link_is_not_closed() -> None:
    """Guards against callers closed while their request is on its way."""
    young = _Client(9_100)
    account = _account(young, _Client())
    assert account.open(_Client(), KB, now_ms=10_000) is None
    assert not young.is_closed and account.rejected == 1


def large_amounts_leave_room_for_short_requests() -> None:
    """Guards against short requests refused beside bodies and answers."""
    account = connection_memory.ConnectionMemory(10 * MB)
    holder = account.open(_Client(), 0, now_ms=0)
    while account.take(holder, MB, now_ms=0):
        pass
    assert account.used_bytes == 8 * MB
    assert account.take(holder, 50 * KB, now_ms=0)


def a_large_amount_waits_for_what_is_given_back() -> None:
    """Guards against memory used twice while a connection is closed."""
    slow = _Client(0)
    account = _account(slow, size_bytes=4 * MB)
    account.capacity_bytes = 6 * MB
    taker = account.open(_Client(), 0, now_ms=0)
    assert not account.take(taker, MB, now_ms=10_000) and slow.is_closed
    (holder,) = (h for h in account._holders if h.client is slow)
    account.add(holder, -4 * MB)
    assert account.take(taker, MB, now_ms=10_000)


def connections_beyond_the_maximum_are_refused() -> None:
    """Guards against a daemon without descriptors for its servers."""
    account = connection_memory.ConnectionMemory(max_connections=2)
    holders = [account.open(_Client(), KB, now_ms=0) for _ in range(3)]
    assert holders[1] is not None and holders[2] is None
    account.end(holders[0])
    assert account.open(_Client(), KB, now_ms=0) is not None


def _room(system_fds: int, **fields: object) -> connection_room.ConnectionRoom:
    """Returns what clients may take where the system has some limit."""
    loaded = configs.Settings.model_construct(**fields)
    limit = (system_fds, system_fds)
    with mock.patch.object(resource, "getrlimit", return_value=limit):
        return connection_room.ConnectionRoom(
            loaded, clock=ManualClock(1_000), resident_bytes=lambda: 70 * MB
        )


def the_room_follows_the_machine() -> None:
    """Guards against an account that is larger than the machine allows."""
    room = _room(4_100, memory_mb=150, max_fds=None)
    assert room.account.max_connections == 2_925
    assert room.account.capacity_bytes < 80 * MB
    assert _room(4_100, max_fds=400).account.max_connections == 150
    assert _room(100, max_fds=400).account.max_connections == 38
    unlimited = _room(resource.RLIM_INFINITY, max_fds=None)
    assert unlimited.account.max_connections == 0
    assert unlimited.account.capacity_bytes == 0


@contextlib.asynccontextmanager
async def _echo(read_limits: Callable[[], request_limits.RequestLimits]):
    """Runs a server that answers with the length of each body."""

    async def handle(request):
        return web.Response(text=f"read {len(await request.read())}.")

    config = connection_config.ConnectionConfig(
        clock=SystemClock(), limits=read_limits
    )
    runner = web.ServerRunner(
        connection_timeouts.TimeoutServer(handle, config=config),
        shutdown_timeout=0.1,
    )
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    try:
        yield runner.addresses[0][:2]
    finally:
        await runner.cleanup()


async def _exchange(address, *parts: bytes, answers: int = 1) -> bytes:
    """Sends bytes in parts; returns what was answered."""
    reader, writer = await asyncio.open_connection(*address)
    received = b""
    try:
        async with asyncio.timeout(ANSWER_S):
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)
            while received.count(b"HTTP/1.1 ") < answers or not (
                received.endswith(b".")
            ):
                data = await reader.read(4_096)
                if not data:
                    break
                received += data
    finally:
        writer.close()
    return received


async def requests_split_anywhere_are_read() -> None:
    """Guards against the end of a head or body that is missed or taken late."""
    first = CHUNKED + b"3;a=b\r\nabc\r\n2\r\n\r\n\r\n0\r\nX-T: 1\r\n\r\n"
    second = HEAD + b"Content-Length: 4\r\n\r\n\r\n\r\n"
    data = b"\r\n" + first + second
    async with _echo(lambda: LIMITS) as address:
        for split in range(1, len(data)):
            answers = await _exchange(
                address, data[:split], data[split:], answers=2
            )
            assert b"read 5." in answers and b"read 4." in answers, split


async def what_one_request_may_have_is_served() -> None:
    """Guards against limits that a client within the table's meets."""
    head_bytes = LIMITS.head_bytes
    short_headers = b"".join(b"X-%d: p\r\n" % n for n in range(300))
    end = b"Content-Length: 1\r\n\r\n"
    pad = b"p" * (head_bytes - len(HEAD + b"X: \r\n" + end))
    one_byte_chunks = b"1\r\nx\r\n" * LIMITS.body_bytes + b"0\r\n\r\n"
    async with _echo(lambda: LIMITS) as address:
        for request, size in (
            (HEAD + short_headers + end + b"x", 1),
            (HEAD + b"X: " + pad + b"\r\n" + end + b"x", 1),
            (CHUNKED + one_byte_chunks, LIMITS.body_bytes),
        ):
            answer = await _exchange(address, request)
            assert b"read %d." % size in answer, (answer, request[:100])


async def what_exceeds_a_limit_is_refused() -> None:
    """Guards against requests that are read on without a limit."""
    framing = b"1" + b";e=" + b"e" * 6_000
    async with _echo(lambda: LIMITS) as address:
        for request in (
            b"\r\n" * 3_000,
            HEAD + b"X: " + b"p" * 5_000,
            b"POST /" + b"p" * 5_000,
            CHUNKED + framing,
            CHUNKED + b"1\r\nx\r\n0\r\n" + b"X-T: p\r\n" * 1_000,
            CHUNKED + b"ff\r\n" + b"x" * 255 + b"\r\n0\r\n\r\n",
            CHUNKED + b"no size\r\n",
        ):
            answer = await _exchange(address, request)
            status = answer.split()[1]
            assert status in (b"400", b"413", b"431"), (answer, request[:60])
            assert answer.count(b"HTTP/1.") == 1, answer


async def a_body_in_chunks_of_one_byte_is_served() -> None:
    """Guards against a body within the limits that takes seconds to decode."""
    async with platforms.Platform() as made:
        crowd.allow_long_bodies(made, 2)
        status = 0

        async def is_allowed() -> bool:
            answer, _, _ = await made.call(
                "release", "long", body=bytes(crowd.BODY_BYTES)
            )
            return answer == 200

        await platforms.until("long bodies are allowed", is_allowed)
        host, port = made.fields[0]["listen"]["front"].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(crowd.head("tiny", headers=crowd.CHUNKED))
        writer.write(b"1\r\nx\r\n" * crowd.BODY_BYTES + b"0\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split()[1])
        writer.close()
        assert status == 200, head


class _ChangingLimits:
    """Limits that change while connections are open."""

    def __init__(self) -> None:
        self.now = LIMITS

    def read(self) -> request_limits.RequestLimits:
        """Returns the limits in force."""
        return self.now


@contextlib.asynccontextmanager
async def _kept_connection(
    limits: _ChangingLimits,
) -> AsyncIterator[raw_caller.Connection]:
    """Opens a connection that has had one answer."""
    async with _echo(limits.read) as address:
        streams = await asyncio.open_connection(*address)
        connection = raw_caller.Connection(*streams)
        try:
            assert await _status(connection, HEAD + b"\r\n") == 200
            yield connection
        finally:
            connection.close()


async def _status(connection: raw_caller.Connection, request: bytes) -> int:
    """Sends a request; returns the status of its answer."""
    connection.write(request)
    return await _next_status(connection)


async def _next_status(connection: raw_caller.Connection) -> int:
    async with asyncio.timeout(ANSWER_S):
        return (await connection.read()).status


def _with_length(size: int) -> bytes:
    return HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * size


def _in_chunks(size: int, extension: bytes = b"") -> bytes:
    chunk = b"%x%s\r\n" % (size, extension) + b"x" * size
    return CHUNKED + chunk + b"\r\n0\r\n\r\n"


async def a_kept_connection_follows_raised_limits() -> None:
    """Guards against requests refused by the limits of the one before."""
    for request in (
        _with_length(40_000),
        _in_chunks(40_000),
        _in_chunks(100, b";e=" + b"e" * 90_000),
        HEAD + b"X: " + b"p" * 90_000 + b"\r\n\r\n",
        HEAD + b"X: p\r\n" * 10_000 + b"\r\n",
    ):
        limits = _ChangingLimits()
        async with _kept_connection(limits) as connection:
            limits.now = WIDE_LIMITS
            status = await _status(connection, request)
            assert status == 200, (status, request[:100])


async def a_kept_connection_follows_lowered_limits() -> None:
    """Guards against requests served by the limits of the one before."""
    for request, expected in (
        (_with_length(200), 400),
        (_in_chunks(200), 400),
        (HEAD + b"X: " + b"p" * 9_000 + b"\r\n\r\n", 431),
    ):
        limits = _ChangingLimits()
        limits.now = WIDE_LIMITS
        async with _kept_connection(limits) as connection:
            limits.now = LIMITS
            status = await _status(connection, request)
            assert status == expected, (status, request[:100])


async def a_request_that_is_arriving_may_have_either_limit() -> None:
    """Guards against requests refused for a change while they arrive."""
    long_head = HEAD + b"X: " + b"p" * 90_000 + b"\r\n\r\n"
    for request in (_with_length(40_000), _in_chunks(40_000), long_head):
        split = len(CHUNKED) + 20
        for before, after in ((LIMITS, WIDE_LIMITS), (WIDE_LIMITS, LIMITS)):
            limits = _ChangingLimits()
            async with _kept_connection(limits) as connection:
                limits.now = before
                connection.write(request[:split])
                await asyncio.sleep(ARRIVAL_S)
                limits.now = after
                status = await _status(connection, request[split:])
                assert status == 200, (status, request[:100], before)


async def a_request_behind_another_follows_the_limits() -> None:
    """Guards against pipelined requests that meet the limits of the first."""
    limits = _ChangingLimits()
    async with _kept_connection(limits) as connection:
        first = _with_length(50)
        connection.write(first[:-1])
        await asyncio.sleep(ARRIVAL_S)
        limits.now = WIDE_LIMITS
        connection.write(first[-1:] + _with_length(40_000))
        assert await _next_status(connection) == 200
        assert await _next_status(connection) == 200


def _request(request_id: str, *, head_kb: int, body_bytes: int) -> bytes:
    """Returns a call whose head is longer by some lines of 1 KB."""
    pad = f"X-Pad: {'p' * (KB - 9)}\r\n" * head_kb
    fields = f"{pad}Content-Length: {body_bytes}\r\n\r\n"
    return crowd.head(request_id, headers=fields) + bytes(body_bytes)


async def kept_connections_follow_a_configuration() -> None:
    """Guards against kept connections that refuse by an old configuration."""
    low = {"max-header-bytes": 4_096, "max-body-bytes": 65_536}
    high = {"max-header-bytes": 65_536, "max-body-bytes": 4 << 20}
    short = _request("short", head_kb=0, body_bytes=10)
    longer = (
        _request("body", head_kb=0, body_bytes=100_000),
        _request("head", head_kb=60, body_bytes=10),
        _request("both", head_kb=15, body_bytes=1_000_000),
    )
    async with platforms.Platform(daemons=2) as made:

        async def configure(version: int, limits: dict[str, int]) -> None:
            config = {**platforms.config(version), "limits": limits}
            made.store.put("op", "config", config)
            await asyncio.sleep(APPLY_S)

        await configure(2, low)
        kept = [
            await raw_caller.Connection.open(made, daemon)
            for daemon in range(len(made.fields))
            for _ in longer
        ]
        requests = longer * len(made.fields)
        for connection in kept:
            assert await _status(connection, short) == 200
        await configure(3, high)
        for connection, request in zip(kept, requests, strict=True):
            status = await _status(connection, request)
            assert status == 200, (status, request[:100])
        await configure(4, low)
        for connection, request in zip(kept, requests, strict=True):
            status = await _status(connection, request)
            assert status in (413, 431), (status, request[:100])
            connection.close()
