"""Planned stops of daemons whose callers use their connections."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import random
import signal
import time

from cluster import processes, raw_caller
from cluster.platform import Platform
from godwittack.backend import bounded_client
from godwittack.daemon import base
from godwittack.store import call
from soak import stops

SEED = 1
# Time limit of callers and routes: longer than a stop.
LIMIT_MS = 15_000
# Time after SIGTERM from which no caller holds the daemon's address.
EXPIRED_S = 3.0
# Time after SIGTERM at which requests that are left must end.
END_S = 6.8
# The process ends by then, or is killed.
GRACE_S = 8.0
REFUSED = 503
# Time limit of a call to the store.
CALL_MS = 300
# A request that is served until shortly before the end.
KEPT = "kept"
# Places of a server, and requests that wait for one.
PLACES = 2
WAITING = 6
# By then a daemon has read the next report of each server.
REPORTED_S = 1.5
HEADERS = {"X-Godwittack-Deadline-Ms": str(LIMIT_MS)}


@dataclasses.dataclass
class Stop:
    """A platform with a daemon that stops."""

    made: Platform
    daemon: int = 0
    at_s: float = 0.0

    def start(self) -> None:
        """Sends SIGTERM."""
        self.made.signal(self.daemon, signal.SIGTERM)
        self.at_s = time.monotonic()

    async def until(self, after_s: float) -> None:
        """Waits until some time after SIGTERM."""
        await asyncio.sleep(self.at_s + after_s - time.monotonic())

    async def wait(self) -> None:
        """Waits for the end of the process, and checks its exit code."""
        async with asyncio.timeout(2 * GRACE_S):
            code = await self.made.processes[self.daemon].wait()
        assert code == 0, code
        assert time.monotonic() - self.at_s < GRACE_S

    async def connect(self) -> raw_caller.Connection:
        """Opens a caller's connection to the daemon."""
        return await raw_caller.Connection.open(self.made, self.daemon)

    def arrived(self, request_id: str) -> bool:
        """Returns whether a request has been sent to a server."""
        return any(
            arrival.request_id == request_id
            for replica in self.made.replicas.values()
            for arrival in replica.arrivals
        )


def _set_work(made: Platform, work_s: float) -> None:
    for replica in made.replicas.values():
        replica.work_s = work_s


async def _read(
    connection: raw_caller.Connection, *, gap_s: float = 0.0
) -> raw_caller.Received:
    async with asyncio.timeout(LIMIT_MS / 1000):
        return await connection.read(gap_s=gap_s)


async def connections_that_rest_through_a_stop_lose_no_request() -> None:
    """Callers that send again as the process ends get whole answers.

    Guards against requests read after the last look at those in flight: each
    caller sends on an open connection just after the request before has ended.
    """
    async with Platform(timeout_ms=LIMIT_MS) as made:
        _set_work(made, 0.12)
        stop = Stop(made)
        connections = [await stop.connect() for _ in range(40)]
        await asyncio.sleep(0.3)
        stop.start()
        await stop.until(EXPIRED_S - 0.8)
        lost = []
        for number, connection in enumerate(connections):
            if connection.is_closed:
                continue
            name = ("confirm", "release", "short", "long")[number % 4]
            request_id = f"{name}-{number}"
            with contextlib.suppress(ConnectionError):
                await connection.send(name, request_id, headers=HEADERS)
            received = await _read(connection)
            if not received.has_ended and stop.arrived(request_id):
                lost.append(
                    (request_id, round(time.monotonic() - stop.at_s, 2))
                )
            await asyncio.sleep(0.03)
        await stop.wait()
    assert not lost, lost


async def a_request_that_a_stop_leaves_no_time_for_is_not_begun() -> None:
    """Requests that come once the address has expired are not begun.

    Guards against runs that can't end before the process, which are begun and
    cut together as it ends.
    """
    rng = random.Random(SEED)

    def work_s(request_id: str) -> float:
        return 4.5 if request_id == KEPT else 5.0

    async with Platform(timeout_ms=LIMIT_MS) as made:
        for replica in made.replicas.values():
            replica.work_s_by_request = work_s
        stop = Stop(made)

        async def send(number: int) -> str:
            """Sends most of a head, and the rest once the address expired."""
            name = ("confirm", "release", "short")[number % 3]
            connection = await stop.connect()
            request_id = f"{name}-{number}"
            data = raw_caller.head(name, request_id, b"body", headers=HEADERS)
            connection.write(data[:-20])
            await stop.until(rng.uniform(EXPIRED_S + 0.3, END_S - 0.5))
            connection.write(data[-20:] + b"body")
            received = await _read(connection)
            if stop.arrived(request_id):
                return f"begun, then status {received.status}"
            if "retry-after:" not in received.head:
                return "without Retry-After"
            return f"{received.status} closes={received.closes}"

        stop.start()
        await stop.until(EXPIRED_S - 1.5)
        kept = asyncio.create_task(
            raw_caller.call(
                made, "confirm", KEPT, headers=HEADERS, read_s=END_S
            )
        )
        ends = await asyncio.gather(*(send(number) for number in range(24)))
        assert (await kept).status == 200
        await stop.wait()
    assert set(ends) == {"503 closes=True"}, ends


async def an_answer_that_is_read_slowly_outlives_its_daemons_stop() -> None:
    """A caller reads a long answer whole while its daemon stops.

    Guards against a process that ends while answers wait in its buffers: their
    requests have ended for the core, and their servers are done.
    """
    answer = b"x" * 20_000_000
    async with Platform(timeout_ms=LIMIT_MS) as made:
        for replica in made.replicas.values():
            replica.answer_to = lambda _: answer
        stop = Stop(made)
        connection = await stop.connect()
        await connection.send("release", "slow", headers=HEADERS)
        reading = asyncio.create_task(_read(connection, gap_s=0.04))
        await asyncio.sleep(0.2)
        stop.start()
        received = await reading
        read_s = time.monotonic() - stop.at_s
        await stop.wait()
    assert received.has_ended, (len(received.body), read_s)
    assert received.body == answer
    assert read_s > EXPIRED_S, read_s


async def a_request_that_waits_as_the_time_is_up_is_answered() -> None:
    """All requests are answered where places are taken until the end.

    Guards against requests that wait for a place, or run, and whose connections
    are closed without an answer.
    """
    made = Platform(daemons=1, timeout_ms=LIMIT_MS)
    for replica in made.replicas.values():
        replica.slots = PLACES
        # Requests wait in the daemon, not at servers that tolerate no excess.
        replica.brittle = -1 if replica.model else 1
        replica.work_s = LIMIT_MS / 1000
    async with made:
        await asyncio.sleep(REPORTED_S)
        stop = Stop(made)

        async def send(number: int) -> tuple[bool, int]:
            connection = await stop.connect()
            request_id = f"confirm-{number}"
            await connection.send("confirm", request_id, headers=HEADERS)
            received = await _read(connection)
            assert received.has_ended, (request_id, stop.arrived(request_id))
            return stop.arrived(request_id), received.status

        running = 2 * PLACES
        sent = [asyncio.create_task(send(number)) for number in range(running)]
        await asyncio.sleep(REPORTED_S)
        stop.start()
        sent += [asyncio.create_task(send(running + n)) for n in range(WAITING)]
        ends = collections.Counter(await asyncio.gather(*sent))
        await stop.wait()
    assert ends == {(True, 502): running, (False, REFUSED): WAITING}, ends


async def a_body_under_way_as_its_daemon_stops_is_answered() -> None:
    """Bodies that end once the address has expired are answered.

    Guards against connections closed inside a body that the core doesn't know
    of yet.
    """
    body = b"b" * 60_000
    async with Platform(timeout_ms=LIMIT_MS) as made:
        stop = Stop(made)
        stop.start()

        async def send(number: int) -> tuple[bool, int]:
            connection = await stop.connect()
            request_id = f"confirm-{number}"
            head = raw_caller.head("confirm", request_id, body, headers=HEADERS)
            connection.write(head)
            with contextlib.suppress(ConnectionError):
                await connection.send_in_pieces(body, pieces=10, gap_s=0.15)
            received = await _read(connection)
            assert received.has_ended, (number, time.monotonic() - stop.at_s)
            return stop.arrived(request_id), received.status

        await stop.until(EXPIRED_S - 1.7)
        sent = []
        for number in range(8):
            sent.append(asyncio.create_task(send(number)))
            await asyncio.sleep(0.2)
        ends = await asyncio.gather(*sent)
        await stop.wait()
    assert set(ends) == {(True, 200), (False, REFUSED)}, ends


async def a_relayed_attempt_ends_before_its_daemon_does() -> None:
    """Attempts that a stopping daemon passes on for another one end whole.

    Guards against a process that ends with attempts of other daemons, which its
    own core doesn't count as requests.
    """
    async with Platform(daemons=2, can_cut=True, timeout_ms=LIMIT_MS) as made:
        for number in range(2):
            await made.until_met(number)
        made.cut(0, "reset")
        for number in range(12):
            await made.call("release", f"warm-{number}")
        _set_work(made, 4.5)
        stop = Stop(made, daemon=1)
        calls = [
            asyncio.create_task(
                raw_caller.call(
                    made,
                    "confirm",
                    f"confirm-{number}",
                    headers=HEADERS,
                    read_s=LIMIT_MS / 1000,
                )
            )
            for number in range(6)
        ]
        await asyncio.sleep(0.5)
        assert all(stop.arrived(f"confirm-{n}") for n in range(6))
        stop.start()
        statuses = [
            received.status for received in await asyncio.gather(*calls)
        ]
        await stop.wait()
        assert " relay=edge-2@" in made.log(0)
    assert statuses == [200] * 6, statuses


async def a_stream_that_outlasts_a_stop_does_not_look_complete() -> None:
    """Streams that run when the process must end are cut visibly.

    Guards against a broken stream that is closed like a complete one.
    """
    async with Platform(timeout_ms=LIMIT_MS) as made:
        for replica in made.replicas.values():
            replica.event_gap_s, replica.event_count = 0.5, 30
        stop = Stop(made)
        stop.start()

        async def send(name: str) -> raw_caller.Received:
            connection = await stop.connect()
            await connection.send(name, name, headers=HEADERS)
            return await _read(connection)

        answers = await asyncio.gather(send("long"), send("short"))
        await stop.wait()
    for received in answers:
        assert received.body.startswith(b"id: 1\n"), received
        assert not received.has_ended, received


async def a_call_that_times_out_as_it_is_cancelled_ends() -> None:
    """A task whose call to a silent store times out at the stop ends with it.

    Guards against a process that never ends: the HTTP client takes the
    cancellation for its own where both fall into one iteration of the loop.
    """
    port = processes.free_port()

    async def stay_silent(reader, writer) -> None:
        await reader.read()
        writer.close()

    store = await asyncio.start_server(stay_silent, "127.0.0.1", port)
    connector = bounded_client.BoundedConnector()
    async with store, bounded_client.open_session(connector) as session:

        async def call_forever() -> None:
            while True:
                await call.exchange(
                    session,
                    "GET",
                    f"http://127.0.0.1:{port}/",
                    body=None,
                    timeout_ms=CALL_MS,
                )

        tasks = base.BackgroundTasks()
        tasks.start(call_forever())
        await asyncio.sleep(CALL_MS / 2_000)
        # The loop is late, so that the timeout is due in its next iteration.
        time.sleep(CALL_MS / 1_000)
        await asyncio.sleep(0)
        async with asyncio.timeout(2.0):
            await tasks.cancel()


async def a_short_session_of_stops_loses_no_request() -> None:
    """Guards against requests cut by stops beside other faults."""
    session = stops.create(SEED, daemons=4)
    violations = await session.play()
    assert not violations, (violations, session.faults)
