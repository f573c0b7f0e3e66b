"""Early and malformed answers of servers, of which no part is an answer."""

from __future__ import annotations

import asyncio

import aiohttp
from result import Err

from cases import connections
from godwittack.core import inputs
from godwittack.platform import rows
from standins.scripted import Reply, ScriptedServer

UPLOAD = bytes(range(256)) * 16_000
PART = b"a part of the body"
OLD_HEAD = connections.HEAD.replace(b"HTTP/1.1", b"HTTP/1.0")
# Statuses that are none, or no final ones.
ODD_STATUSES = ("000", "0", "00", "099", "1000", "-1", "abc", "2OO", "20")
SENT = inputs.FailurePhase.SENT


def _early(head: bytes, data: bytes = PART) -> Reply:
    """Returns a reply that a reset follows while the body is written."""
    return Reply(head + data, reads_body=False, then="stop")


async def an_early_answer_that_a_reset_ends_is_not_complete() -> None:
    """An answer without a length that breaks off is no answer.

    Guards against a part of a body that a client gets as a whole one: a server
    answers a long upload at once with 200 and resets its connection while the
    upload is still being written.
    """
    for head, data in (
        (connections.HEAD + b"\r\n", PART),
        (OLD_HEAD + b"\r\n", PART),
        (connections.HEAD + b"\r\n", b""),
        (connections.HEAD + b"Content-Length: 900\r\n\r\n", PART),
        (connections.HEAD + connections.CHUNKED, connections.chunk(PART)),
        (connections.HEAD + connections.CHUNKED, b"1"),
        (connections.HEAD + connections.CHUNKED, b"12\r"),
    ):
        for body in (UPLOAD, UPLOAD[:200_000], b"b"):
            async with ScriptedServer(_early(head, data)) as server:
                sink = await connections.Backend(server).send(body=body)
                assert sink.answered is None, (head, data, len(body))
                assert sink.failure is not None
                assert sink.failure[0] is SENT, sink.failure


async def an_early_stream_that_a_reset_ends_is_not_complete() -> None:
    """A stream without framing that breaks off is not ended.

    Guards against a stream that a client takes for complete.
    """
    events = b"id: 3\ndata: a\n\nid: 4\nda"
    for framing in (b"\r\n", connections.CHUNKED):
        data = events if framing == b"\r\n" else connections.chunk(events)
        async with ScriptedServer(
            _early(connections.STREAM + framing, data)
        ) as server:
            sink = await connections.Backend(server).send(
                body=UPLOAD, stamp=connections.STAMP
            )
            assert sink.failure is not None, framing
            assert [f.number for f in sink.frames_seen] in ([], [3]), framing
            assert not any(f.terminal for f in sink.frames_seen), framing


async def a_status_that_is_none_is_no_answer() -> None:
    """An answer with an impossible status is a failure of its server.

    Guards against a client that gets 000 as its answer, and against a call that
    counts as declined, and so as not run.
    """
    for status in ODD_STATUSES:
        head = connections.HEAD.replace(b"200 OK", f"{status} OK".encode())
        for stamp in (None, connections.STAMP):
            async with ScriptedServer(
                Reply(connections.complete(b"whole", head))
            ) as server:
                sink = await connections.Backend(server).send(stamp=stamp)
                assert sink.answered is None, status
                assert sink.head is None, status
                assert sink.failure is not None, status
                assert sink.failure[0] is SENT, (status, sink.failure)


async def a_store_s_status_that_is_none_is_an_error() -> None:
    """An answer of the store with an impossible status changes nothing.

    Guards against a write that counts as made, or as not made, and rows that
    were never there.
    """
    body = b'{"rows":[],"row-version":9,"now-ms":1}'
    for status in ODD_STATUSES:
        head = f"HTTP/1.1 {status} OK\r\n".encode()
        reply = Reply(connections.complete(body, head))
        async with (
            ScriptedServer(reply, reply) as server,
            aiohttp.ClientSession() as session,
        ):
            store = rows.Rows(
                session=session, address=server.address, timeout_ms=500
            )
            page = await store.changes("op", after=1, wait_ms=1)
            written = await store.transact((), ())
            for result in (page, written):
                assert isinstance(result, Err), (status, result)
            assert written.err_value.may_have_run, status


async def a_report_s_status_that_is_none_is_no_report() -> None:
    """A report of a server with an impossible status is not applied.

    Guards against a server that looks idle, or newly started.
    """
    for status in ODD_STATUSES:
        head = connections.HEAD.replace(b"200 OK", f"{status} OK".encode())
        async with ScriptedServer(
            Reply(connections.complete(b'{"running":0}', head))
        ) as server:
            backend = connections.Backend(server)
            async with asyncio.timeout(2):
                report = await backend.routed.poll_load(
                    server.address, server_id="i-1"
                )
            assert isinstance(report, Err), (status, report)
