"""HTTP servers of a daemon, over real sockets."""

from __future__ import annotations

import asyncio
import socket
from unittest import mock

from aiohttp import web

from cluster import processes
from godwittack import accepting
from godwittack.clock import SystemClock
from godwittack.daemon import listeners
from godwittack.entry import connection_config

REQUEST = b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n"
CONNECTIONS = 20
ANSWERED_S = 2.0


async def connections_opened_before_the_stop_are_served():
    """A connection that a caller has opened is accepted and keeps working.

    Guards against connections lost when the listening socket is closed: those
    that the event loop had just accepted had no transport yet, and a closed
    server gives them none; those that waited in the system's queue are reset.
    """
    for iterations in range(4):
        await _connect_and_stop(iterations)


async def _connect_and_stop(iterations: int) -> None:
    async def handle(request):
        del request
        return web.Response(body=b"whole")

    served = listeners.Listeners(
        connection_config.ConnectionConfig(clock=SystemClock())
    )
    port = processes.free_port()
    await served.listen(f"127.0.0.1:{port}", handle)
    connections = [
        socket.create_connection(("127.0.0.1", port))
        for _ in range(CONNECTIONS)
    ]
    for _ in range(iterations):
        await asyncio.sleep(0)
    await served.stop()
    assert served.has_connections()
    for connection in connections:
        connection.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=connection)
        writer.write(REQUEST)
        async with asyncio.timeout(ANSWERED_S):
            assert b"whole" in await reader.readuntil(b"whole")
        writer.close()
    try:
        await asyncio.open_connection("127.0.0.1", port)
    except ConnectionRefusedError:
        return
    raise AssertionError("the daemon still listens")


async def the_queue_of_connections_is_long_from_its_start():
    """No connection is dropped while a longer queue is not yet set.

    Guards against peers that give up after 400 ms: the packet that opens a
    connection to a full queue is sent again after a second.
    """
    lengths = []
    listen = socket.socket.listen

    def record(sock, backlog):
        lengths.append(backlog)
        listen(sock, backlog)

    served = listeners.Listeners(
        connection_config.ConnectionConfig(clock=SystemClock())
    )
    with mock.patch.object(socket.socket, "listen", record):
        await served.listen(f"127.0.0.1:{processes.free_port()}", _never)
    await served.stop()
    assert lengths == [listeners.HTTP_BACKLOG], lengths


async def a_crowd_is_accepted_in_small_parts():
    """A busy moment is not spent on accepting all who wait.

    Guards against hundreds of connections that are open before the first of
    them can be refused.
    """
    served = listeners.Listeners(
        connection_config.ConnectionConfig(clock=SystemClock())
    )
    port = processes.free_port()
    await served.listen(f"127.0.0.1:{port}", _never)
    opened = []
    attach = accepting.Listener._attach

    def record(listener, connection):
        opened[-1] += 1
        attach(listener, connection)

    clients = [
        socket.create_connection(("127.0.0.1", port))
        for _ in range(3 * accepting.ACCEPTED_AT_ONCE)
    ]
    with mock.patch.object(accepting.Listener, "_attach", record):
        while sum(opened) < len(clients):
            opened.append(0)
            await asyncio.sleep(0)
    await served.stop()
    for client in clients:
        client.close()
    assert max(opened) <= accepting.ACCEPTED_AT_ONCE, opened


async def _never(request):
    raise AssertionError(request)
