"""Listens for connections, and stops without losing any that were opened."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Connections accepted before the first of them gets its protocol, which may
# refuse it.
ACCEPTED_AT_ONCE = 8
# Iterations of the event loop after which an accepted connection has its
# protocol.
ATTACH_ITERATIONS = 2


class Listener:
    """Accepts connections at one address."""

    def __init__(
        self,
        server: asyncio.Server,
        factory: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        """Uses a server that accepts with `factory`."""
        self._server = server
        self._factory = factory

    @classmethod
    async def open(
        cls,
        factory: Callable[[], asyncio.BaseProtocol],
        host: str,
        port: int,
        *,
        backlog: int,
        receive_buffer_bytes: int,
    ) -> Listener:
        """Starts to listen.

        Args:
            factory: Returns the protocol of a new connection.
            host: Address to listen on.
            port: Port to listen on.
            backlog: Connections that may wait to be accepted.
            receive_buffer_bytes: What the system receives on a connection
                before it is read, also on those that wait.

        Raises:
            OSError: The address is in use.
        """
        loop = asyncio.get_running_loop()
        # The event loop accepts as many at a time as it thinks may wait.
        server = await loop.create_server(
            factory, host, port, backlog=ACCEPTED_AT_ONCE, start_serving=False
        )
        for sock in server.sockets:
            # Connections inherit it.
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        await server.start_serving()
        for sock in server.sockets:
            with socket.socket(fileno=os.dup(sock.fileno())) as listening:
                listening.listen(backlog)
        return cls(server, factory)

    async def close(self) -> None:
        """Accepts the connections that wait, and no more.

        The system resets connections that are not accepted when the socket is
        closed. The event loop accepts a connection in one iteration, and in the
        next one drops it without closing it if the server was closed meanwhile.
        """
        loop = asyncio.get_running_loop()
        listening = self._server.sockets
        for sock in listening:
            loop.remove_reader(sock.fileno())
        for _ in range(ATTACH_ITERATIONS):
            await asyncio.sleep(0)
        waiting = [
            connection
            for sock in listening
            for connection in _accept_all(sock.fileno())
        ]
        self._server.close()
        for connection in waiting:
            await loop.connect_accepted_socket(self._factory, connection)


def _accept_all(descriptor: int) -> list[socket.socket]:
    """Accepts all connections that wait."""
    accepted: list[socket.socket] = []
    with socket.socket(fileno=os.dup(descriptor)) as listening:
        while True:
            try:
                accepted.append(listening.accept()[0])
            except ConnectionAbortedError:
                continue
            except OSError:
                # None waits, or there is no descriptor left for one.
                return accepted


__all__ = ["Listener"]
