"""Memory for the bodies of requests."""

from __future__ import annotations

import asyncio
import pathlib

import aiohttp
import yarl
from aiohttp import web

from cases import connections, relaying
from cluster import platform as platforms
from cluster.processes import free_port
from godwittack.backend import connection, protocol
from godwittack.clock import SystemClock
from godwittack.daemon import caller
from godwittack.entry import (
    bodies,
    connection_config,
    connection_timeouts,
    reservations,
)
from godwittack.limit import body_memory, connection_memory
from standins import scripted

MB = 1 << 20
SHORT = body_memory.SHORT_BYTES
# Memory of a machine, and what its configuration allows as a body.
MEMORY_MB = 150
BODY_BYTES = 4 * MB
BURST, PER_S = 60, 25
# What a caller may hold that has sent none of its body.
SLOW_HELD_BYTES = 16 << 10


def _memory(capacity_bytes: int) -> reservations.SharedBodyMemory:
    return reservations.SharedBodyMemory(
        capacity_bytes=capacity_bytes, clock=SystemClock()
    )


async def _settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


async def long_bodies_wait_in_the_order_of_their_arrival() -> None:
    """Guards against a long body that others overtake until it is refused."""
    memory = _memory(8 * MB)
    first = (await memory.reserve(4 * MB, max_wait_ms=1_000)).ok_value
    served: list[int] = []

    async def wait(number: int, size_bytes: int) -> None:
        (await memory.reserve(size_bytes, max_wait_ms=1_000)).unwrap()
        served.append(number)

    waits = [
        asyncio.create_task(wait(n, size))
        for n, size in enumerate((4 * MB, MB, 4 * MB))
    ]
    await _settle()
    assert not served and memory.waiting == 3
    first.release()
    await _settle()
    assert served == [0, 1], served
    for task in waits:
        task.cancel()


async def short_bodies_never_wait_for_long_ones() -> None:
    """Guards against short requests held up behind long bodies."""
    memory = _memory(8 * MB)
    (await memory.reserve(6 * MB, max_wait_ms=1_000)).unwrap()
    waiting = asyncio.create_task(memory.reserve(MB, max_wait_ms=1_000))
    await _settle()
    reserved = [await memory.reserve(SHORT, max_wait_ms=0) for _ in range(7)]
    assert all(result.is_ok() for result in reserved)
    assert (await memory.reserve(SHORT, max_wait_ms=1_000)).is_err()
    waiting.cancel()


async def a_body_without_memory_in_time_is_rejected_at_once() -> None:
    """Guards against a wait for memory that can't be free in time."""
    memory = _memory(8 * MB)
    held = (await memory.reserve(6 * MB, max_wait_ms=0)).unwrap()
    await asyncio.sleep(0.1)
    held.release()
    # Bodies are held for 100 ms: two more are ahead of it.
    (await memory.reserve(6 * MB, max_wait_ms=0)).unwrap()
    ahead = asyncio.create_task(memory.reserve(6 * MB, max_wait_ms=1_000))
    await _settle()
    async with asyncio.timeout(0.05):
        error = (await memory.reserve(6 * MB, max_wait_ms=150)).unwrap_err()
    assert error.status == 503 and error.retry_after_ms >= 200, error
    assert memory.rejected == 1
    ahead.cancel()


async def memory_is_given_back_by_callers_that_leave() -> None:
    """Guards against memory lost with callers that leave while they wait."""
    memory = _memory(8 * MB)
    held = (await memory.reserve(6 * MB, max_wait_ms=0)).unwrap()
    for moment in ("while it waits", "as it is granted", "too late"):
        task = asyncio.create_task(memory.reserve(6 * MB, max_wait_ms=50))
        await _settle()
        if moment == "as it is granted":
            held.release()
        if moment == "too late":
            await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        if moment == "as it is granted":
            held = (await memory.reserve(6 * MB, max_wait_ms=0)).unwrap()
        assert memory.used_bytes == 6 * MB, moment
        assert not memory.waiting, moment
    held.release()
    assert memory.used_bytes == 0


def the_longest_body_is_served_with_little_memory() -> None:
    """Guards against a body that a small machine never serves."""
    account = body_memory.BodyMemory(MB)
    assert account.take(BODY_BYTES)
    assert not account.take(BODY_BYTES)
    assert account.take(1_000)
    account.give_back(BODY_BYTES)
    assert account.take(BODY_BYTES)


async def the_answer_to_the_longest_body_is_not_waited_for() -> None:
    """One request at a time gets its answer though its body fills the memory.

    Guards against a request that waits for its own memory until its deadline.
    """
    account = connection_memory.ConnectionMemory()
    account.capacity_bytes = 8 * MB
    memory = reservations.SharedBodyMemory(
        capacity_bytes=8 * MB, clock=SystemClock(), connections=account
    )
    first = (await memory.reserve(4 * MB, max_wait_ms=100)).ok_value
    second = (await memory.reserve(SHORT, max_wait_ms=100)).ok_value
    async with asyncio.timeout(1):
        for _ in range(64):
            await first.take_answer(4 * MB // 64)
    waiting = asyncio.create_task(second.take_answer(MB))
    await asyncio.sleep(0.1)
    assert not waiting.done()
    first.release()
    async with asyncio.timeout(1):
        await waiting
    second.release()
    assert account.used_bytes == 0, account.used_bytes


def without_a_limit_all_bodies_are_let_in() -> None:
    """Guards against a limit where no memory is set."""
    account = body_memory.BodyMemory(0)
    assert all(account.take(BODY_BYTES) for _ in range(1_000))


def a_body_is_held_while_an_attempt_may_use_it() -> None:
    """Guards against bodies not counted once their callers have left."""
    memory = _memory(MB)
    call = protocol.Call(method="POST", path="/", headers=(), body=b"x")
    held = caller.Caller(call, memory.try_reserve(1))
    held.hold()  # An attempt.
    held.release()  # The caller's connection.
    held.release()  # The request has ended.
    assert memory.used_bytes == 1
    held.release()
    assert memory.used_bytes == 0


async def a_body_is_written_as_its_server_reads_it() -> None:
    """Guards against a second copy of each body that a server reads slowly."""
    body = bytes(8 * MB)
    async with scripted.ScriptedServer(
        scripted.Reply(connections.complete(b"1"), reads_body=False)
    ) as server:
        host, port = server.address.split(":")
        loop = asyncio.get_running_loop()
        transport, opened = await loop.create_connection(
            connection.Connection, host, int(port)
        )
        head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
        opened.send(head, body, matches=lambda reply: True)
        assert transport.get_write_buffer_size() < MB
        reply = await opened.read_head()
        assert reply.status == 200
        async with asyncio.timeout(2):
            while not server.requests:
                await asyncio.sleep(0.01)
        assert server.requests[0][1] == body
        opened.close()


class _Echo:
    """Answers with the length of each body, read within some memory."""

    def __init__(self, capacity_bytes: int) -> None:
        self.memory = _memory(capacity_bytes)
        self.reader = bodies.BodyReader(self.memory)
        self.started: list[web.BaseRequest] = []
        # The memory that a request holds once its body has been read.
        self.held_bytes: list[int] = []
        self._runner = web.ServerRunner(
            connection_timeouts.TimeoutServer(
                self._handle,
                config=connection_config.ConnectionConfig(clock=SystemClock()),
            ),
            shutdown_timeout=0.1,
        )
        self.url = yarl.URL(f"http://127.0.0.1:{free_port()}/")

    async def __aenter__(self) -> _Echo:
        await self._runner.setup()
        await web.TCPSite(self._runner, self.url.host, self.url.port).start()
        return self

    async def __aexit__(self, *unused) -> None:
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        self.started.append(request)
        read = await self.reader.read(
            request, max_bytes=BODY_BYTES, timeout_ms=2_000
        )
        if read.is_err():
            error = read.err_value
            return web.Response(status=error.status, text=error.detail)
        body, reservation = read.ok_value
        self.held_bytes.append(reservation.size_bytes)
        reservation.release()
        return web.Response(text=str(len(body)))


async def _pieces(count: int, size_bytes: int):
    for _ in range(count):
        yield b"x" * size_bytes
        await asyncio.sleep(0)


async def a_body_in_chunks_takes_what_it_needs() -> None:
    """Guards against chunked bodies of which the memory is not counted."""
    async with _Echo(8 * MB) as echo, aiohttp.ClientSession() as session:
        for count, size_bytes in ((1, 100), (16, 100_000), (0, 1)):
            async with session.post(
                echo.url, data=_pieces(count, size_bytes)
            ) as response:
                assert await response.text() == str(count * size_bytes)
            assert echo.held_bytes[-1] == count * size_bytes
        assert echo.memory.used_bytes == 0
        async with session.post(
            echo.url, data=_pieces(50, 100_000)
        ) as response:
            assert response.status == 413
        assert echo.memory.used_bytes == 0


async def slow_callers_hold_what_they_have_sent() -> None:
    """Guards against short requests refused beside callers that send slowly."""
    slow = 40
    async with _Echo(MB) as echo, aiohttp.ClientSession() as session:
        writers = []
        for number in range(slow):
            _, writer = await asyncio.open_connection(
                echo.url.host, echo.url.port
            )
            framing = b"Content-Length: 100000"
            if number % 2:
                framing = b"Transfer-Encoding: chunked"
            writer.write(
                b"POST / HTTP/1.1\r\nHost: h\r\n" + framing + b"\r\n\r\n"
            )
            writers.append(writer)
        while len(echo.started) < slow:
            await asyncio.sleep(0.01)
        assert echo.memory.used_bytes <= slow * SLOW_HELD_BYTES
        async with session.post(echo.url, data=bytes(100_000)) as response:
            assert response.status == 200
        for writer in writers:
            writer.close()
        async with asyncio.timeout(1):
            while echo.memory.used_bytes:
                await asyncio.sleep(0.01)


async def a_rejected_caller_gets_the_response() -> None:
    """Guards against a reset in place of the response to an unread body."""
    async with _Echo(8 * MB) as echo, aiohttp.ClientSession() as session:
        held = echo.memory.try_reserve(6 * MB)
        for data in (bytes(BODY_BYTES), _pieces(16, 100_000)):
            async with session.post(echo.url, data=data) as response:
                assert response.status == 503
        assert echo.memory.used_bytes == 6 * MB
        held.release()
        async with session.post(echo.url, data=bytes(BODY_BYTES)) as response:
            assert await response.text() == str(BODY_BYTES)


async def a_relay_without_memory_declines() -> None:
    """Guards against bodies of other daemons that are not counted."""
    async with relaying.Relays() as relays:
        memory = _memory(1_000)
        relays.relay.body_memory = memory
        sink = await relays.send(relays.plain, fresh_connection=True)
        assert sink.failure is not None
        phase, cause = sink.failure
        assert phase is relaying.inputs.FailurePhase.DECLINED
        assert cause is relaying.inputs.FailureCause.RELAY
        assert not relays.plain.ran
        relays.relay.body_memory = _memory(100_000)
        sink = await relays.send(relays.plain, fresh_connection=True)
        assert sink.answered is not None, sink.failure
        assert relays.relay.body_memory.used_bytes == 0


async def _until_served(made: platforms.Platform, what: str) -> None:
    """Waits until a request with the longest body is served."""
    body = bytes(BODY_BYTES)

    async def is_served() -> bool:
        status, _, _ = await made.call("long", "served", body=body)
        return status == 200

    await platforms.until(what, is_served)


async def allow_long_bodies(made: platforms.Platform) -> None:
    """Raises the limit on bodies, and waits until it is in force."""
    config = platforms.config(2)
    config["limits"]["max-body-bytes"] = BODY_BYTES
    made.store.put("op", "config", config)
    await _until_served(made, "long bodies are allowed")


def _request(request_id: str, body: bytes) -> bytes:
    lines = (
        "POST /release/x HTTP/1.1",
        f"Host: {platforms.HOST}",
        f"X-Godwittack-Request-Id: {request_id}",
        f"X-Godwittack-Credential: {platforms.KEY}",
        f"Content-Length: {len(body)}",
    )
    return "\r\n".join((*lines, "", "")).encode() + body


async def a_rejected_body_does_not_age_the_next_request() -> None:
    """Guards against a deadline counted from the rest of a rejected body."""
    async with platforms.Platform(settings="memory_mb: 1") as made:
        for replica in made.replicas.values():
            replica.event_count, replica.event_gap_s = 20, 0.1
        await allow_long_bodies(made)
        body = bytes(BODY_BYTES)
        holds = asyncio.create_task(made.call("long", "holds", body=body))
        await asyncio.sleep(0.5)
        front = made.fields[0]["listen"]["front"]
        reader, writer = await asyncio.open_connection(*front.split(":"))
        # Its memory is held for longer than it may wait.
        writer.write(_request("rejected", body))
        await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        assert b" 503 " in head, head
        await asyncio.sleep(1.0)
        writer.write(_request("next", b""))
        await reader.readuntil(b" 200 OK\r\n")
        writer.close()
        await holds
        (placed,) = [
            line
            for line in made.log().splitlines()
            if "event=placed request=next~" in line
        ]
        waited_ms = int(placed.partition(" waited_ms=")[2].split()[0])
        assert waited_ms < 500, placed


def anonymous_kb(pid: int) -> int:
    """Returns the memory of a process without pages of files."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1])
    return 0


async def a_burst_of_long_bodies_keeps_to_the_memory() -> None:
    """Guards against a daemon ended for its memory, with all its streams."""
    async with platforms.Platform(
        settings=f"memory_mb: {MEMORY_MB}", engines=6
    ) as made:
        made.session.connector._limit = 0
        for replica in made.replicas.values():
            replica.event_count, replica.event_gap_s = 17, 0.06
        await allow_long_bodies(made)
        body = bytes(BODY_BYTES)
        peak_kb = 0
        statuses: list[int] = []

        async def send(number: int) -> None:
            await asyncio.sleep(number / PER_S)
            status, headers, data = await made.call(
                "long", f"r{number}", body=body
            )
            statuses.append(status)
            if status == 200:
                assert data.count(b"id: ") == 17
            else:
                assert status == 503 and float(headers["retry-after"]) > 0

        calls = [asyncio.create_task(send(n)) for n in range(BURST)]
        while not all(call.done() for call in calls):
            peak_kb = max(peak_kb, anonymous_kb(made.processes[0].pid))
            await asyncio.sleep(0.01)
        await asyncio.gather(*calls)
        assert peak_kb < MEMORY_MB * 1_024, peak_kb
        assert len(statuses) == BURST and 200 in statuses, statuses
        # Short requests are still served, and so are long ones.
        status, _, _ = await made.call("release", "short")
        assert status == 200
        await _until_served(made, "there is memory again")
