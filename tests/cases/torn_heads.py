"""Real daemons beside servers whose answers end inside their heads."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING

from result import Err, Ok

from cases import connections, relaying
from cases.broken_off import WHOLE_STREAM
from cluster import platform, raw_caller
from godwittack.backend import bounded_client, http, protocol, signals
from godwittack.clock import SystemClock
from godwittack.core import effects, inputs, work
from godwittack.peer import exchange
from godwittack.relay import client as relay_client
from godwittack.relay import codec
from godwittack.store import http as store_http
from godwittack.store import protocol as store_protocol
from standins.scripted import Reply, ScriptedServer
from standins.torn import Form, Torn

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Nothing, part of the status line, parts of the headers, and all but the last
# three, two and one bytes of a head of some 250 bytes.
PLACES = (0.0, 0.02, 0.06, 0.2, 0.45, 0.7, 0.9, 0.989, 0.994, 0.998)
FEW_PLACES = (0.0, 0.3, 0.999)
# Enough that a few ejected ones are not missed.
SERVERS = 12
UNSAFE = ("confirm", "short")
SAFE = ("release", "long")
# Relayed requests of each kind that follow each other before a case begins: a
# daemon that has just been cut off refuses some.
RELAYED_CALLS = 10
SILENT_S = 1.2
WORK_S = 0.3
# Time in which the daemon would have passed on a request that it has read.
PASSED_ON_S = 0.3
LONG_HEAD_BYTES = 20_000
SLOW_PIECES = 50
SLOW_GAP_S = 0.025


def _body(request_id: str) -> bytes:
    """Returns the body of a request, which no other one has."""
    return f"{request_id} is answered with its own bytes".encode()


def _tear(made: platform.Platform, fault: Torn | None) -> None:
    for replica in made.replicas.values():
        replica.faults.torn = fault


async def _call(
    made: platform.Platform, name: str, request_id: str
) -> raw_caller.Received:
    return await raw_caller.call(made, name, request_id, body=_body(request_id))


def _is_whole(
    name: str, request_id: str, received: raw_caller.Received
) -> bool:
    """Returns whether a request was answered with its own whole answer."""
    expected = _body(request_id)[::-1]
    if name in ("long", "short"):
        expected = WHOLE_STREAM
    return received.status == 200 and received.body == expected


async def _check_whole(
    made: platform.Platform, name: str, request_id: str
) -> None:
    received = await _call(made, name, request_id)
    assert _is_whole(name, request_id, received), received
    assert received.has_ended, received


async def _check(made: platform.Platform, case: str, fault: Torn) -> None:
    """Sends a request of each kind whose first answer is torn."""
    _tear(made, None)
    for replica in made.replicas.values():
        replica.work_s = replica.event_gap_s = 0.0
    try:
        await asyncio.gather(*(made.earn_retry(name) for name in SAFE))
    except AssertionError as error:
        raise AssertionError(f"{error}: {made.log()[-4000:]}") from error
    _tear(made, fault)
    names = (*SAFE, *UNSAFE)
    all_received = await asyncio.gather(
        *(_call(made, name, f"{case}-{name}") for name in names)
    )
    for name, received in zip(names, all_received, strict=True):
        request_id = f"{case}-{name}"
        shown = (request_id, received, made.log()[-2000:])
        runs = len(made.ran(request_id))
        if name in SAFE:
            assert _is_whole(name, request_id, received), shown
            assert runs == 2, (runs, *shown)
        else:
            assert received.status == 502, shown
            assert runs == 1, (runs, *shown)
    assert fault.count == len(names), fault
    assert made.processes[0].returncode is None


async def a_head_that_breaks_off_is_no_answer() -> None:
    """Guards against a success made of part of a head.

    Safe requests are sent again, unsafe ones run once.
    """
    async with platform.Platform(engines=SERVERS, services=SERVERS) as made:
        for form, place, resets in itertools.product(
            Form, PLACES, (False, True)
        ):
            fault = Torn(form, place, resets)
            await _check(made, f"{form}-{place}-{resets}", fault)


async def a_long_head_that_breaks_off_is_no_answer() -> None:
    """Guards against a head whose end is assumed at the end of a read."""
    async with platform.Platform(engines=SERVERS, services=SERVERS) as made:
        for form, place, resets in itertools.product(
            Form, FEW_PLACES, (False, True)
        ):
            fault = Torn(form, place, resets, padding_bytes=LONG_HEAD_BYTES)
            await _check(made, f"{form}-{place}-{resets}", fault)


async def a_head_in_many_pieces_is_read_whole() -> None:
    """Guards against a slow head that is taken for a torn one, and the reverse.

    The pieces arrive for over a second.
    """
    async with platform.Platform(engines=SERVERS, services=SERVERS) as made:
        for form in Form:
            slow = {"pieces": SLOW_PIECES, "gap_s": SLOW_GAP_S}
            _tear(made, Torn(form, torn_run=0, **slow))
            await asyncio.gather(
                *(
                    _check_whole(made, name, f"whole-{form}-{name}")
                    for name in (*SAFE, *UNSAFE)
                )
            )
            _tear(made, Torn(form, 0.95, **slow))
            request_id = f"torn-{form}"
            received = await _call(made, "confirm", request_id)
            assert received.status == 502, received
            assert len(made.ran(request_id)) == 1


async def _until_relayed(made: platform.Platform) -> None:
    """Waits until a daemon that is cut off passes all requests on."""
    numbers = itertools.count()

    async def are_relayed() -> bool:
        for name in SAFE * RELAYED_CALLS:
            status, _, _ = await made.call(name, f"cut-{next(numbers)}")
            if status != 200:
                return False
        return made.log(1).count("event=relayed") >= RELAYED_CALLS

    await platform.until("all requests are relayed", are_relayed)


async def a_relayed_head_that_breaks_off_is_no_answer() -> None:
    """Guards against an answer that another daemon makes of part of a head."""
    for resets in (False, True):
        async with platform.Platform(
            daemons=2, engines=SERVERS, services=SERVERS, can_cut=True
        ) as made:
            await made.earn_retry("release")
            made.cut(0, "reset")
            await _until_relayed(made)
            for form, place in itertools.product(Form, FEW_PLACES):
                await _check(made, f"{form}-{place}", Torn(form, place, resets))
            assert made.log(1).count("event=relayed") >= 4 * len(Form)


async def a_torn_answer_beside_a_silent_server_ends_nothing() -> None:
    """Guards against a failure of the second server that ends the first run."""
    async with platform.Platform() as made:
        for name, resets in zip(SAFE, (False, True), strict=True):
            _tear(made, None)
            for _ in range(2):
                await made.earn_retry(name)
            fault = Torn(torn_run=2, resets=resets)
            _tear(made, fault)
            for replica in made.replicas.values():
                replica.work_s = WORK_S
            request_id = f"beside-{name}"
            call = asyncio.create_task(_call(made, name, request_id))
            await asyncio.sleep(WORK_S / 2)
            (first,) = (
                replica
                for replica in made.replicas.values()
                if any(r.request_id == request_id for r in replica.ran)
            )
            first.fall_silent(SILENT_S)
            received = await call
            shown = (received, made.log()[-2000:])
            assert _is_whole(name, request_id, received), shown
            assert fault.count == 1, shown
            await asyncio.sleep(SILENT_S)


async def reports_that_break_off_in_their_heads_change_nothing() -> None:
    """Guards against a daemon that ends, or a server without its load."""
    async with platform.Platform(engines=len(Form)) as made:
        engines = [r for r in made.replicas.values() if r.model]
        for place in FEW_PLACES:
            faults = [Torn(form, place) for form in Form]
            for replica, fault in zip(engines, faults, strict=True):
                replica.faults.torn_control = fault

            async def are_torn(faults: list[Torn] = faults) -> bool:
                return all(fault.count for fault in faults)

            await platform.until("all reports are torn", are_torn)
            for name in (*SAFE, *UNSAFE):
                await _check_whole(made, name, f"{place}-{name}")
        assert "Traceback" not in made.log(), made.log()[-4000:]
        assert made.processes[0].returncode is None


async def an_order_whose_answer_breaks_off_is_carried_out_once() -> None:
    """Guards against an order that is sent again although it was accepted."""
    async with platform.Platform() as made:
        engines = [r for r in made.replicas.values() if r.model]
        for number, place in enumerate((0.0, 0.05, 0.999), start=2):
            for replica in engines:
                replica.faults.torn_control = Torn(place=place)
            made.store.put("op", "version/m", {"model": "m", "version": number})

            async def is_loaded(number: int = number) -> bool:
                return all(r.version == number for r in engines)

            await platform.until(f"version {number} is loaded", is_loaded)
            for replica in engines:
                accepted = [o["version"] for o in replica.orders]
                assert accepted == list(range(2, number + 1)), accepted


async def a_store_whose_answers_break_off_in_their_heads_is_read_again() -> (
    None
):
    """Guards against a change that is lost with the answer that brought it."""
    async with platform.Platform() as made:
        for number, (form, place) in enumerate(
            itertools.product(Form, FEW_PLACES), start=2
        ):
            made.store.faults.torn = Torn(form, place)
            key = f"key-{number}"
            keys = (platform.KEY, key)
            made.store.put("op", "config", platform.config(number, keys=keys))

            async def is_known(key: str = key, number: int = number) -> bool:
                status, _, _ = await made.call(
                    "release", f"r-{number}", key=key
                )
                return status == 200

            await platform.until(f"{key} is known", is_known)
            assert made.store.faults.torn.count, form
        assert "Traceback" not in made.log(), made.log()[-4000:]


def _requests(request_id: str) -> list[tuple[bytes, int]]:
    """Returns requests with a length and chunks, and where their heads end."""
    head = (
        "POST /{} HTTP/1.1\r\n"
        f"Host: {platform.HOST}\r\nX-Godwittack-Request-Id: {request_id}-{{}}"
        f"\r\nX-Godwittack-Credential: {platform.KEY}\r\n"
    )
    found = []
    for name in ("confirm", "release"):
        length = head.format(f"{name}/x", f"{name}-l").encode()
        length += b"Content-Length: 4\r\n\r\n"
        found.append((length + b"body", len(length)))
        chunked = head.format(f"{name}/x", f"{name}-c").encode()
        chunked += b"Transfer-Encoding: chunked\r\n\r\n"
        found.append((chunked + b"4\r\nbody\r\n0\r\n\r\n", len(chunked)))
    return found


async def a_request_that_breaks_off_never_runs() -> None:
    """Guards against part of a request that is run as the whole one.

    The caller closes its connection, resets it, or ends only its own half.
    """
    async with platform.Platform() as made:
        host, port = made.fields[0]["listen"]["front"].split(":")

        async def tear(data: bytes, end: str) -> bytes:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            await asyncio.sleep(PASSED_ON_S / 10)
            if end == "half":
                writer.write_eof()
                try:
                    async with asyncio.timeout(PASSED_ON_S):
                        answer = await reader.read()
                except (TimeoutError, ConnectionError):
                    answer = b""
                writer.close()
                return answer
            if end == "reset":
                writer.transport.abort()
            writer.close()
            return b""

        ends = ("close", "reset", "half")
        torn = []
        for number, end in enumerate(ends):
            for data, head_bytes in _requests(f"t{number}"):
                cuts = {0, 1, 9, head_bytes // 2, head_bytes - 1, head_bytes}
                cuts |= set(range(head_bytes + 1, len(data)))
                torn += [tear(data[:cut], end) for cut in sorted(cuts)]
        answers = await asyncio.gather(*torn)
        assert not any(b" 200 " in answer for answer in answers), answers
        await asyncio.sleep(PASSED_ON_S)
        ran = [r for replica in made.replicas.values() for r in replica.ran]
        assert not ran, ran
        assert "Traceback" not in made.log(), made.log()[-4000:]
        received = await _call(made, "confirm", "last")
        assert _is_whole("confirm", "last", received), received


async def a_request_in_another_coding_is_not_run() -> None:
    """Guards against a body in a transfer coding whose name is not passed on.

    The server would read the coded bytes as the caller's body.
    """
    async with platform.Platform() as made:
        for number, coding in enumerate(("gzip, chunked", "GZIP , Chunked")):
            received = await raw_caller.call(
                made,
                "release",
                f"r{number}",
                body=b"4\r\nbody\r\n0\r\n\r\n",
                headers={"Transfer-Encoding": coding, "Content-Length": ""},
            )
            assert received.status == 501, received
            assert not made.ran(f"r{number}")
        received = await raw_caller.call(
            made,
            "release",
            "chunked",
            body=b"4\r\nbody\r\n0\r\n\r\n",
            headers={"Transfer-Encoding": " Chunked", "Content-Length": ""},
        )
        assert received.status == 200, received


async def a_caller_that_closes_its_half_counts_as_gone() -> None:
    """Guards against work for a caller that has left.

    It can't be told from one that only sends nothing more.
    """
    async with platform.Platform() as made:
        for replica in made.replicas.values():
            replica.work_s = SILENT_S
        host, port = made.fields[0]["listen"]["front"].split(":")
        safe = [d for d, _ in _requests("half") if b"release" in d]
        for number, data in enumerate(safe):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            await asyncio.sleep(PASSED_ON_S)
            ran = [r for v in made.replicas.values() for r in v.ran]
            assert len(ran) == number + 1, ran
            writer.write_eof()
            async with asyncio.timeout(PASSED_ON_S):
                assert await reader.read() == b""
            await asyncio.sleep(PASSED_ON_S)
            cancelled = [r for v in made.replicas.values() for r in v.cancelled]
            assert len(cancelled) == number + 1, cancelled
            writer.close()


async def a_head_that_breaks_off_before_another_is_no_answer() -> None:
    """Guards against another request's body under the head of an answer.

    A server stops inside a header after its request's id, and sends the answer
    to another request on the same connection.
    """
    torn = connections.HEAD + b"X-Godwittack-Response-Signature: sig"
    other = connections.complete(b"other", connections.OTHER)
    for reply in (Reply(torn + other), Reply(torn, later=other)):
        async with ScriptedServer(reply) as server:
            sink = await connections.Backend(server).send()
            assert sink.answered is None, sink
            broken = (connections.SENT, inputs.FailureCause.BROKEN)
            assert sink.failure == broken, sink


async def a_head_torn_anywhere_before_another_is_no_answer() -> None:
    """Guards against a place in a head at which another answer can go on.

    At some places the second answer only names the other request and is
    skipped; the answer then fails as the connection ends.
    """
    length, chunks = b"Content-Length: 5\r\n\r\n", connections.CHUNKED
    for framing, body in (
        (length, b"other"),
        (chunks, connections.chunk(b"other") + b"0\r\n\r\n"),
    ):
        own = connections.HEAD.replace(b"{id}", b"r1")
        own += b"X-Godwittack-Response-Signature: sig.r1\r\n" + framing
        other = connections.OTHER + framing + body
        for cut in range(len(own)):
            reply = Reply(own[:cut] + other, then="close")
            async with ScriptedServer(reply) as server:
                sink = await connections.Backend(server).send()
                assert sink.answered is None, (own[:cut], sink)
                broken = (connections.SENT, inputs.FailureCause.BROKEN)
                assert sink.failure == broken, (own[:cut], sink)


async def an_answer_without_a_body_is_whole_or_none() -> None:
    """Guards against part of a head that passes for an answer without a body.

    To HEAD, and with the statuses 204 and 304; cut at every byte.
    """
    head = connections.HEAD + b"Content-Length: 5\r\n\r\n"
    for method, status in (
        ("HEAD", b"200 OK"),
        ("POST", b"204 No Content"),
        ("GET", b"304 Not Modified"),
    ):
        whole = head.replace(b"{id}", b"r1").replace(b"200 OK", status)
        for cut in range(len(whole) + 1):
            reply = Reply(whole[:cut], then="close")
            async with ScriptedServer(reply) as server:
                backend = connections.Backend(server)
                sink = await backend.send(method=method, body=b"")
                assert (sink.answered is not None) == (cut == len(whole)), (
                    whole[:cut],
                    sink,
                )
                assert sink.answered is None or sink.answered.is_delimited


async def an_unreadable_number_in_a_head_loses_no_answer() -> None:
    """Guards against a whole answer that fails as `int` rejects a header.

    Digits of other scripts, and more than `int` converts.
    """
    idle_limits = ("\xb2".encode("latin-1"), b"9" * 5_000, b"", b"-1", b"+1")
    for idle_limit in idle_limits:
        keep_alive = b"Keep-Alive: timeout=" + idle_limit + b"\r\n"
        answer = connections.complete(b"1", connections.HEAD + keep_alive)
        report = connections.complete(b"{}", connections.HEAD + keep_alive)
        async with ScriptedServer(Reply(answer), Reply(report)) as server:
            backend = connections.Backend(server)
            sink = await backend.send()
            assert sink.failure is None, (idle_limit[:5], sink.failure)
            assert sink.answered.body == b"1", idle_limit[:5]
            loaded = await backend.routed.load(server.address, server_id="i-1")
            assert isinstance(loaded, Ok), loaded
    length = b"Content-Length: " + b"0" * 5_000 + b"2\r\n\r\n{}"
    async with ScriptedServer(
        *[Reply(connections.HEAD + length)] * 2
    ) as server:
        backend = connections.Backend(server)
        assert (await backend.send()).answered.body == b"{}"
        loaded = await backend.routed.load(server.address, server_id="i-1")
        assert isinstance(loaded, Ok), loaded


async def a_connection_that_its_server_closes_is_not_used_again() -> None:
    """Guards against a request that is lost as its server closes.

    `Connection` names several options, comes twice, or is missing in HTTP/1.0.
    """
    old = connections.HEAD.replace(b"HTTP/1.1", b"HTTP/1.0")
    for head, connection_count in (
        (connections.HEAD + b"Connection: x, close\r\n", 2),
        (connections.HEAD + b"Connection: x\r\nConnection: Close\r\n", 2),
        (old, 2),
        (old + b"Connection: keep-alive\r\n", 1),
        (connections.HEAD + b"Connection: keep-alive\r\n", 1),
    ):
        answers = [Reply(connections.complete(b"1", head))] * 2
        async with ScriptedServer(*answers) as server:
            backend = connections.Backend(server)
            for name in ("r1", "r2"):
                assert (await backend.send(name)).answered.body == b"1", head
            assert server.connections == connection_count, head


@contextlib.asynccontextmanager
async def _own_backend() -> AsyncIterator[http.HttpBackend]:
    """Returns the client of servers that speak the own interface."""
    async with bounded_client.open_session(
        bounded_client.BoundedConnector(force_close=True)
    ) as session:
        yield http.HttpBackend(
            pooled=session,
            fresh=session,
            clock=SystemClock(),
            connect_timeout_ms=500,
            control_timeout_ms=500,
        )


async def _send_own(
    backend: http.HttpBackend, address: str
) -> connections.Sink:
    sink = connections.Sink()
    sent = effects.Dispatch(
        request_id="r1",
        attempt_id="r1",
        server_id="i-1",
        address=address,
        stamp=None,
    )
    call = protocol.Call(method="POST", path="/x", headers=(), body=b"b")
    async with asyncio.timeout(2):
        await backend.send(sent, call, sink)
    return sink


async def an_answer_of_the_own_interface_makes_no_claim() -> None:
    """Guards against a length of ours for a body whose end is not marked.

    A transfer coding without chunks ends with the connection; the library
    takes the greatest length for none, and any number for a status.
    """
    head = b"HTTP/1.1 200 OK\r\n"
    malformed = (
        head + b"Transfer-Encoding: gzip\r\n\r\nhalf",
        head + b"Transfer-Encoding: xchunked\r\n\r\nhalf",
        head + b"Transfer-Encoding: identity\r\n\r\nhalf",
        head + b"Transfer-Encoding: chun\r\n ked\r\n\r\n4\r\nhalf\r\n",
        head
        + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\nhalf",
        head + b"Content-Length: %d\r\n\r\nhalf" % (2**64 - 1),
        b"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nhalf",
        b"HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\nhalf",
        b"HTTP/1.1 101 OK\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    )
    chunks = b"4\r\nbody\r\n0\r\n\r\n"
    whole = (
        (head + b"Content-Length: 4\r\n\r\nbody", b"body", True),
        (
            head + b"Transfer-Encoding: Chunked\r\n\r\n" + chunks,
            b"body",
            True,
        ),
        (head + b"\r\nbody", b"body", False),
        (head + b"\r\n", b"", False),
    )
    async with _own_backend() as backend:
        for data in malformed:
            async with ScriptedServer(Reply(data, then="close")) as server:
                sink = await _send_own(backend, server.address)
                assert sink.answered is None, (data, sink)
                broken = (connections.SENT, inputs.FailureCause.BROKEN)
                assert sink.failure == broken, (data, sink)
        for data, body, has_mark in whole:
            async with ScriptedServer(Reply(data, then="close")) as server:
                sink = await _send_own(backend, server.address)
                assert sink.answered.body == body, (data, sink)
                assert sink.answered.is_delimited == has_mark, (data, sink)


async def a_head_that_frames_no_answer_fails_at_once() -> None:
    """Guards against a wait for the end of what can't end, and raw chunks.

    A status that is none, and a second transfer coding that ends with the
    connection, on a connection that stays open.
    """
    chunked = b"Transfer-Encoding: chunked\r\n"
    event = connections.chunk(b"id: 1\ndata: e1\n\n")
    for data in (
        connections.complete(b"1", connections.HEAD.replace(b"200", b"000")),
        connections.complete(b"1", connections.HEAD.replace(b"200", b"099")),
        connections.STREAM
        + chunked
        + b"Transfer-Encoding: identity\r\n\r\n"
        + event,
        connections.HEAD + chunked + b"Transfer-Encoding: gzip\r\n\r\n",
    ):
        async with ScriptedServer(Reply(data)) as server:
            sink = await connections.Backend(server).send(
                stamp=connections.STAMP
            )
            assert not sink.frames_seen, (data, sink)
            assert sink.answered is None, (data, sink)
            broken = (connections.SENT, inputs.FailureCause.BROKEN)
            assert sink.failure == broken, (data, sink)


async def an_answer_of_a_store_that_breaks_off_is_an_error() -> None:
    """Guards against an exception that ends the task that asked the store.

    The answer has no length, and its connection is closed after its head or in
    its body.
    """
    row = store_protocol.RowId("t", "k")
    for body in (b"", b'{"table":"t"', b"[{"):
        answers = [Reply(b"HTTP/1.1 200 OK\r\n\r\n" + body, then="close")] * 5
        async with (
            ScriptedServer(*answers) as server,
            bounded_client.open_session(
                bounded_client.BoundedConnector(force_close=True)
            ) as session,
        ):
            store = store_http.HttpPlatform(
                session=session,
                base_url=f"http://{server.address}",
                timeout_ms=500,
                backoff_ms=0,
                clock=SystemClock(),
            )
            written = await store.transact((), ())
            assert isinstance(written, Err), (body, written)
            assert written.err_value.may_have_run, (body, written)
            for result in (
                await store.read(row),
                await store.scan("t", after="", limit=1),
                await store.versions("m"),
                await store.instances(),
            ):
                assert isinstance(result, Err), (body, result)


def _heads() -> tuple[tuple[bytes, ...], tuple[bytes, ...]]:
    """Returns answers that frame nothing or another amount, and valid ones."""
    own = connections.HEAD
    chunked = own + connections.CHUNKED
    length = own + b"Content-Length: 4\r\n\r\nbody"
    whole = b"4\r\nbody\r\n0\r\n\r\n"
    malformed = (
        length.replace(b"\r\n", b"\n"),
        own + b"X-Folded: a\r\n b\r\nContent-Length: 4\r\n\r\nbody",
        own + b"Content-Length: 4\r\n 0\r\n\r\nbody",
        own + b"Content-Length: 4\r\nContent-Length: 3\r\n\r\nbody",
        own
        + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        + whole,
        own
        + b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"
        + whole,
        *(
            own + b"Content-Length: " + text + b"\r\n\r\nbody"
            for text in (
                b"",
                b"-4",
                b"+4",
                b"4 0",
                b"4, 4",
                b"0x4",
                b"4;",
                b"9" * 30,
                b"%d" % (2**64 - 1),
                "\u0664".encode(),
                "\xb2".encode("latin-1"),
            )
        ),
        *(
            length.replace(b"HTTP/1.1 200 OK", line)
            for line in (
                b"HTTP/1.1 20 OK",
                b"HTTP/1.1 2000 OK",
                b"HTTP/1.1 -200 OK",
                b"HTTP/1.1 OK",
                b"HTTP/1.2 200 OK",
                b"HTTP 200 OK",
                b"200 OK",
            )
        ),
        *(
            chunked + size + b"\r\nbody\r\n0\r\n\r\n"
            for size in (
                b"",
                b"-4",
                b"+4",
                b"0x4",
                b"3",
                b"5",
                b"f" * 16,
                b"f" * 17,
                b"1" + b"0" * 15 + b"4",
            )
        ),
        *(chunked + whole[:cut] for cut in range(len(whole))),
        *(
            chunked + b"4\r\nbody\r\n" + end
            for end in (b"0;a=", b"0\r\nX-Trailer: a", b"0\r\nX-Trailer: a\r\n")
        ),
    )
    valid = (
        length,
        length.replace(b"200 OK", b"200"),
        length.replace(b"200 OK", b"200 " + b"x" * LONG_HEAD_BYTES),
        own + b"Content-Length:  0004\t\r\n\r\nbody",
        chunked + whole,
        chunked + b"4;a=b\r\nbody\r\n0;c\r\nX-Trailer: a\r\n\r\n",
    )
    return malformed, valid


async def a_malformed_head_is_no_answer() -> None:
    """Guards against a guess where a head or a chunk has two meanings."""
    malformed, valid = _heads()
    for data in malformed:
        async with ScriptedServer(Reply(data, then="close")) as server:
            sink = await connections.Backend(server).send()
            assert sink.answered is None, (data, sink)
            phase, _ = sink.failure
            assert phase is connections.SENT, (data, sink)
    for data in valid:
        async with ScriptedServer(Reply(data)) as server:
            sink = await connections.Backend(server).send()
            assert sink.failure is None, (data[:200], sink)
            assert sink.answered.body == b"body", (data[:200], sink)


async def a_relay_that_breaks_off_brings_no_answer() -> None:
    """Guards against part of another daemon's messages taken for an answer.

    Cut at each byte, the attempt may have run.
    """
    answer = work.Answer(200, (work.Header("X-A", "b"),), b"body")
    head = work.Head(200, ())
    frames = (work.Frame(1, b"id: 1\n\n"), work.Frame(2, b"", terminal=True))
    for events in (
        (codec.answer("r1", answer, None),),
        (codec.opened("r1", None, head), *map(codec.frame, frames)),
    ):
        messages = b"".join(map(codec.frame_event, events))
        whole = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        whole += connections.chunk(messages)
        for cut in range(len(whole) + 1):
            reply = Reply(whole[:cut], then="close")
            async with ScriptedServer(reply) as server:
                sink = await _send_relayed(server.address)
            is_whole = messages in whole[:cut]
            ends = [frame for frame in sink.frames_seen if frame.terminal]
            assert bool(sink.answered or ends) == is_whole, (cut, sink)
            if not is_whole:
                relayed = (connections.SENT, inputs.FailureCause.RELAY)
                assert sink.failure == relayed, (cut, sink)


async def _send_relayed(address: str) -> connections.Sink:
    """Returns what an attempt through a daemon at an address brings."""
    peers = exchange.PeerClient(secret=b"s", timeout_ms=500)
    client = relay_client.RelayClient(
        peers=peers,
        own_id="sender",
        address_of={"relay": address}.get,
        reporter=signals.SignalReporter(clock=SystemClock()),
        clock=SystemClock(),
        probe_timeout_ms=500,
    )
    sink = connections.Sink()
    sent = effects.Dispatch(
        request_id="r1",
        attempt_id="a1",
        server_id="i-1",
        address="127.0.0.1:1",
        stamp=None,
        relay="relay",
        fresh_connection=True,
    )
    call = protocol.Call(method="POST", path="/x", headers=(), body=b"b")
    async with asyncio.timeout(2):
        await client.send(sent, call, sink)
    await peers.close()
    return sink


async def a_relayed_request_that_breaks_off_never_runs() -> None:
    """Guards against an attempt made of part of a daemon's message.

    Such a part may be a valid message without the last fields.
    """
    async with relaying.Relays() as relays:
        message = codec.call_to_proto(
            relays.dispatch(relays.plain),
            relaying.call(),
            sender_id="sender",
            now_ms=relays.clock.now_ms(),
        ).SerializeToString()
        head = (
            f"POST {exchange.RELAY_PATH} HTTP/1.1\r\nHost: relay\r\n"
            f"{exchange.PROOF_HEADER}: {exchange.proof(relaying.SECRET)}\r\n"
            f"Content-Length: {len(message)}\r\n\r\n"
        ).encode()
        host, port = relays.address.split(":")
        for cut in range(0, len(message), 16):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(head + message[:cut])
            await asyncio.sleep(0)
            writer.close()
        await asyncio.sleep(PASSED_ON_S)
        assert not relays.plain.ran, relays.plain.ran
        sink = await relays.send(relays.plain)
        assert sink.answered is not None, sink
