"""Planned stops of daemons with the project's own interface, as processes."""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
import time

from cluster import open_connection, processes

KEEP_MS = 500
# From SIGTERM until the daemon has stopped listening, with some time to spare:
# it serves for KEEP_MS and one period of gossip.
LISTENS_S = 2.0
# For the end of a process once nothing is left to do.
END_S = 5.0
RUN_MS = 300
# A caller that sends on a connection as it is closed learns of it at once.
CLOSE_SEEN_S = 0.2
LONG_ANSWER_BYTES = 28 << 20
STREAM_TOKENS = 700
SLOW_READ_S = 16.0


@contextlib.contextmanager
def serving(daemons: int = 1, **settings):
    """Runs daemons with an engine and a plain service."""
    cluster = processes.Cluster()
    try:
        cluster.extra_settings.update(address_keep_ms=KEEP_MS, **settings)
        cluster.start_platform()
        cluster.start_engine("engine-1", "rulebook")
        cluster.start_service("portal-1", "portal")
        cluster.start_daemons(*(f"entry-{n + 1}" for n in range(daemons)))
        yield cluster
    finally:
        cluster.close()


async def end_of(cluster, *, within_s: float) -> int:
    """Waits until the daemon has ended by itself; returns its exit code."""
    process = cluster.processes["entry-1"]
    async with asyncio.timeout(within_s):
        while process.poll() is None:
            await asyncio.sleep(0.02)
    return process.returncode


def stop(cluster) -> None:
    """Sends SIGTERM to the daemon."""
    cluster.signal("entry-1", signal.SIGTERM)


def runs_of(cluster, name: str) -> int:
    """Returns how often the service ran a call to a path of this name."""
    return cluster.counts("portal-1")["runs"].get(f"/{name}", 0)


def a_stop_ends_while_callers_keep_sending():
    """The stop ends soon, and each request is answered or was not read.

    Guards against a stop that lasts until its patience ends, as callers on open
    connections always have a request in flight, and against requests cut when
    connections are closed.
    """
    with serving() as cluster:
        cluster.fault("portal-1", "work_ms", RUN_MS)
        answers = asyncio.run(_stop_under_use(cluster))
        refused = 0
        for name, answer in answers:
            ran = runs_of(cluster, name)
            if answer.is_whole and answer.status == 200:
                assert ran == 1, (name, answer, ran)
            elif answer.is_whole:
                refused += 1
                assert answer.status == 503 and answer.closes, (name, answer)
                assert answer.reason == "stopping", (name, answer)
                assert answer.outcome == "not_run" and not ran, (name, answer)
            else:
                assert not ran, (name, answer)
                assert answer.ended_after_s < CLOSE_SEEN_S, (name, answer)
        assert refused, "no request arrived once the daemon had stopped"
        assert "Traceback" not in cluster.log("entry-1")


async def _stop_under_use(cluster):
    """Returns the names of calls around a stop, with their answers."""
    answers: list[tuple[str, open_connection.Answer]] = []
    busy = [
        asyncio.create_task(_call_repeatedly(cluster, number, answers))
        for number in range(8)
    ]
    resting = [
        await open_connection.OpenConnection.connect(cluster) for _ in range(80)
    ]
    await asyncio.sleep(2 * RUN_MS / 1000)
    stop(cluster)
    await asyncio.sleep(0.7)
    late = []
    for number, connection in enumerate(resting):
        await asyncio.sleep(0.01)
        late.append(
            asyncio.create_task(_call(connection, f"resting-{number}", answers))
        )
    assert await end_of(cluster, within_s=END_S) == 0
    async with asyncio.timeout(END_S):
        await asyncio.gather(*busy, *late)
    return answers


async def _call(connection, name, answers) -> open_connection.Answer:
    connection.send("GET", f"/svc/portal/{name}")
    answer = await connection.read()
    answers.append((name, answer))
    return answer


async def _call_repeatedly(cluster, number, answers) -> None:
    """Calls until the daemon doesn't listen, over open connections."""
    count = 0
    while True:
        try:
            connection = await open_connection.OpenConnection.connect(cluster)
        except OSError:
            return
        answer = open_connection.Answer(is_whole=True)
        while answer.is_whole and not answer.closes:
            count += 1
            answer = await _call(connection, f"busy-{number}-{count}", answers)
        connection.close()


def an_answer_read_slowly_outlives_the_stop():
    """An answer is written to its end before the process ends.

    Guards against answers cut for callers that read slowly: the request had
    ended, and its connection was closed 10 s later.
    """
    with serving() as cluster:
        cluster.fault("portal-1", "answer_bytes", LONG_ANSWER_BYTES)
        answer = asyncio.run(_read_slowly(cluster))
        assert answer.is_whole, (len(answer.body), answer.ended_after_s)
        assert len(answer.body) > LONG_ANSWER_BYTES


async def _read_slowly(cluster) -> open_connection.Answer:
    connection = await open_connection.OpenConnection.connect(cluster)
    connection.send("GET", "/svc/portal/long")
    reading = asyncio.create_task(
        connection.read(bytes_per_s=LONG_ANSWER_BYTES / SLOW_READ_S)
    )
    await asyncio.sleep(0.5)
    stop(cluster)
    answer = await reading
    assert await end_of(cluster, within_s=END_S) == 0
    return answer


def a_caller_that_stops_reading_does_not_delay_the_stop():
    """An answer that nobody reads is cut after `slow_caller_ms`.

    Guards against a stop that lasts until its patience ends for one caller that
    hangs with an answer half read.
    """
    with serving(slow_caller_ms=1_000) as cluster:
        cluster.fault("portal-1", "answer_bytes", LONG_ANSWER_BYTES)
        asyncio.run(_stop_reading(cluster))


async def _stop_reading(cluster) -> None:
    connection = await open_connection.OpenConnection.connect(cluster)
    connection.send("GET", "/svc/portal/unread")
    await asyncio.sleep(0.5)
    stop(cluster)
    assert await end_of(cluster, within_s=END_S) == 0
    connection.close()


def requests_left_when_the_patience_ends_are_answered():
    """What can't end in time gets a final answer, and a stream can be resumed.

    Guards against connections closed without an answer, from which a caller
    can't tell whether its request has run, and against streams that end at
    their engine although callers can resume them through another daemon.
    """
    with serving(2, stop_patience_ms=500) as cluster:
        cluster.fault("portal-1", "work_ms", 30_000)
        safe, once, stream, rest = asyncio.run(_overrun_patience(cluster))
        for answer in (safe, once):
            assert answer.is_whole and answer.status == 502, answer
            assert answer.reason == "stopping", answer
            assert answer.outcome == "unknown", answer
        assert stream.status == 200, stream
        assert b"event: error" in stream.body, stream.body[-300:]
        assert b"[DONE]" not in stream.body, stream.body[-300:]
        assert rest.status == 200 and rest.is_whole, rest.body[-300:]
        ids = _event_ids(stream) + _event_ids(rest)
        assert ids == list(range(1, len(ids) + 1)), ids
        assert len(ids) > STREAM_TOKENS and b"[DONE]" in rest.body, len(ids)


async def _overrun_patience(cluster) -> list[open_connection.Answer]:
    connections = [
        await open_connection.OpenConnection.connect(cluster) for _ in range(3)
    ]
    safe, once, stream = connections
    safe.send("GET", "/svc/portal/safe")
    key = {"Idempotency-Key": "claim-68"}
    once.send("POST", "/svc/portal/once", {"case": 1}, key)
    body = {
        "model": "rulebook",
        "stream": True,
        "max_tokens": STREAM_TOKENS,
        "messages": [{"role": "user", "content": "Does it qualify?"}],
    }
    stream.send("POST", "/v1/chat/completions", body)
    await asyncio.sleep(0.5)
    stop(cluster)
    answers = await asyncio.gather(*(c.read() for c in connections))
    assert await end_of(cluster, within_s=END_S) == 0
    return [*answers, await _resume(cluster, answers[-1])]


async def _resume(cluster, broken) -> open_connection.Answer:
    """Reads the rest of a stream through another daemon."""
    connection = await open_connection.OpenConnection.connect(
        cluster, "entry-2"
    )
    headers = {
        "X-Resume-Token": broken.resume_token,
        "Last-Event-ID": str(_event_ids(broken)[-1]),
    }
    connection.send("GET", "/v1/resume", None, headers)
    return await connection.read()


def _event_ids(answer: open_connection.Answer) -> list[int]:
    found = re.findall(rb"^id: (\d+)$", answer.body, re.MULTILINE)
    return [int(number) for number in found]


def a_body_that_arrives_during_the_stop_is_answered():
    """A body may take as long as before the stop; its request is served.

    Guards against connections closed while a body is under way: the daemon
    waited for requests that it had read, and 5 s for the others.
    """
    with serving() as cluster:
        answer = asyncio.run(_send_body_slowly(cluster))
        assert answer.is_whole and answer.status == 200, answer
        assert answer.closes, answer
        assert cluster.counts("portal-1")["runs"]["k-16"] == 1


async def _send_body_slowly(cluster) -> open_connection.Answer:
    connection = await open_connection.OpenConnection.connect(cluster)
    pieces = 16
    connection.write(
        open_connection.head(
            "POST", "/svc/portal/body", pieces, {"Idempotency-Key": "k-16"}
        )
    )
    await asyncio.sleep(0.2)
    stop(cluster)
    for _ in range(pieces):
        await asyncio.sleep(0.5)
        connection.write(b"1")
    answer = await connection.read()
    assert await end_of(cluster, within_s=END_S) == 0
    return answer


def connections_without_a_request_do_not_delay_the_stop():
    """Idle connections are closed in order, endless heads after a while.

    Guards against a stop that waits for connections on which nothing happens,
    or resets them. Readiness tells of the stop from its beginning.
    """
    with serving(body_timeout_ms=1_000) as cluster:
        asyncio.run(_stop_with_idle_connections(cluster))


async def _stop_with_idle_connections(cluster) -> None:
    unused, used, unfinished = [
        await open_connection.OpenConnection.connect(cluster) for _ in range(3)
    ]
    used.send("GET", "/svc/portal/used")
    assert (await used.read()).status == 200
    stop(cluster)
    began_s = time.monotonic()
    await asyncio.sleep(0.3)
    asking = await open_connection.OpenConnection.connect(cluster)
    asking.send("GET", "/readyz")
    readiness = await asking.read()
    assert readiness.status == 503 and readiness.closes, readiness
    unfinished.write(open_connection.head("GET", "/svc/portal/x", 0)[:20])
    async with asyncio.timeout(LISTENS_S):
        assert await unused.read_close() == b""
        assert await used.read_close() == b""
    assert await end_of(cluster, within_s=END_S) == 0
    assert time.monotonic() - began_s < END_S
