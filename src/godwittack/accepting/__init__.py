"""Listens for connections, and stops without losing any that were opened."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import socket
from typing import TYPE_CHECKING

from absl import logging

if TYPE_CHECKING:
    from collections.abc import Callable

# Connections accepted before the first of them gets its protocol, which may
# refuse it.
ACCEPTED_AT_ONCE = 8
# Iterations of the event loop after which an accepted connection has its
# protocol.
ATTACH_ITERATIONS = 2
# Pause after a connection that could not be accepted for lack of descriptors or
# memory.
RETRY_MS = 100


class Listener:
    """Accepts connections at one address.

    The event loop's own server accepts as many connections at a time as its
    queue has places. With a short queue the system drops the first packet of
    further connections, which is sent again only after a second; with a long
    one, hundreds are accepted before the first of them can be refused.
    """

    def __init__(
        self,
        listening: list[socket.socket],
        factory: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        """Accepts at sockets that listen, with `factory`."""
        self._loop = asyncio.get_running_loop()
        self._listening = listening
        self._factory = factory
        self._attaching: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self._resume()

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
        listening: list[socket.socket] = []
        try:
            for family, address in await _resolve(host, port):
                sock = socket.socket(family, socket.SOCK_STREAM)
                listening.append(sock)
                sock.setblocking(False)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                if family == socket.AF_INET6:
                    sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
                # Connections inherit it.
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
                )
                sock.bind(address)
                sock.listen(backlog)
        except OSError:
            for sock in listening:
                sock.close()
            raise
        return cls(listening, factory)

    async def close(self) -> None:
        """Accepts the connections that wait, and no more.

        The system resets connections that are not accepted when the socket is
        closed, and those for which there is no descriptor left.
        """
        self._suspend()
        for _ in range(ATTACH_ITERATIONS):
            await asyncio.sleep(0)
        listening, self._listening = self._listening, []
        for sock in listening:
            with contextlib.suppress(OSError):
                while (connection := _accept(sock)) is not None:
                    self._attach(connection)
            sock.close()
        await asyncio.gather(*self._attaching)

    def _resume(self) -> None:
        self._retry = None
        for sock in self._listening:
            self._loop.add_reader(sock, self._accept_some, sock)

    def _suspend(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
        for sock in self._listening:
            self._loop.remove_reader(sock)

    def _accept_some(self, sock: socket.socket) -> None:
        try:
            for _ in range(ACCEPTED_AT_ONCE):
                connection = _accept(sock)
                if connection is None:
                    return
                self._attach(connection)
        except OSError as error:
            # The socket stays readable, and the loop would call again at once.
            logging.warning("event=not_accepted detail=%r", str(error))
            self._suspend()
            self._retry = self._loop.call_later(RETRY_MS / 1000, self._resume)

    def _attach(self, connection: socket.socket) -> None:
        """Gives a connection its protocol in one of the next iterations."""
        task = self._loop.create_task(self._connect(connection))
        self._attaching.add(task)
        task.add_done_callback(self._attaching.discard)

    async def _connect(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, connection)
        except OSError as error:
            logging.info("event=not_attached detail=%r", str(error))
            connection.close()


def _accept(sock: socket.socket) -> socket.socket | None:
    """Returns a connection that waits; None if there is none.

    Raises:
        OSError: There is no descriptor or memory for it.
    """
    while True:
        try:
            connection, _ = sock.accept()
        except ConnectionAbortedError:
            continue
        except (BlockingIOError, InterruptedError):
            return None
        connection.setblocking(False)
        return connection


async def _resolve(
    host: str, port: int
) -> list[tuple[int, tuple[object, ...]]]:
    """Returns the family and address of each socket for a host."""
    try:
        version = ipaddress.ip_address(host).version
    except ValueError:
        found = await asyncio.get_running_loop().getaddrinfo(
            host or None,
            port,
            type=socket.SOCK_STREAM,
            flags=socket.AI_PASSIVE,
        )
        return list(dict.fromkeys((info[0], info[4]) for info in found))
    family = socket.AF_INET if version == 4 else socket.AF_INET6
    return [(family, (host, port))]


__all__ = ["Listener"]
