"""Runs a daemon whose paths to some backend servers can be cut.

`python -P cut_daemon.py FOLDER SETTINGS` runs `deploy/daemon.py SETTINGS`. The
file `FOLDER/NAME.cut`, where NAME is the stem of SETTINGS, holds the cut as
JSON: `{"mode": "hang", "ports": [8001]}`; without it no path is cut. With
`"datagrams": true` no datagrams are sent to these ports either; a cut in both
directions must be made at both ends. The cut is made in the daemon's event
loop, so that the server, other daemons and callers are not affected.
"""

from __future__ import annotations

import asyncio
import enum
import json
import pathlib
import runpy
import sys
import time

DAEMON = pathlib.Path(__file__).resolve().parents[2] / "deploy" / "daemon.py"
READ_INTERVAL_S = 0.01
POLL_S = 0.02


class CutMode(enum.StrEnum):
    """What a cut does to connections to servers.

    HANG: new connections hang, open ones carry nothing. RESET: new ones are
    refused, open ones are reset. LINGER: new ones are refused, open ones live
    on. DEAF: requests arrive, answers don't; new connections hang.
    """

    HANG = "hang"
    RESET = "reset"
    LINGER = "linger"
    DEAF = "deaf"


class Cut:
    """The present cut, read from its file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._read_at_s = 0.0
        self._mode: CutMode | None = None
        self._ports: frozenset[int] = frozenset()
        self._drops_datagrams = False

    def mode(self, port: int) -> CutMode | None:
        """Returns how the path to a server's port is cut, None if it isn't."""
        self._read_if_due()
        return self._mode if port in self._ports else None

    def drops_datagrams(self, port: int) -> bool:
        """Returns whether no datagrams are sent to a port."""
        self._read_if_due()
        return self._drops_datagrams and port in self._ports

    def _read_if_due(self) -> None:
        now_s = time.monotonic()
        if now_s - self._read_at_s >= READ_INTERVAL_S:
            self._read_at_s = now_s
            self._read()

    def _read(self) -> None:
        try:
            stored = json.loads(self._path.read_text())
        except (OSError, ValueError):
            self._mode, self._ports = None, frozenset()
            return
        self._mode = CutMode(stored["mode"])
        self._ports = frozenset(stored["ports"])
        self._drops_datagrams = stored.get("datagrams", False)


class CutTransport:
    """Applies the cut to one open connection."""

    def __init__(self, transport, port: int, cut: Cut) -> None:
        self.transport = transport
        self._port = port
        self._cut = cut
        self._write = transport.write
        self._read_ready = transport._read_ready
        transport.write = self._write_unless_cut
        transport.writelines = lambda data: self._write_unless_cut(
            b"".join(data)
        )
        transport._read_ready = self._read_unless_cut

    def reset_if_cut(self) -> bool:
        """Resets the connection if the cut does; returns whether it did."""
        if self._cut.mode(self._port) is not CutMode.RESET:
            return False
        self.transport._force_close(ConnectionResetError(104, "reset by cut"))
        return True

    def _write_unless_cut(self, data: bytes) -> None:
        if self._cut.mode(self._port) is not CutMode.HANG:
            self._write(data)

    def _read_unless_cut(self) -> None:
        if self._cut.mode(self._port) in (CutMode.HANG, CutMode.DEAF):
            self.transport._loop._remove_reader(self.transport._sock_fd)
            self.transport._loop.call_later(POLL_S, self._resume_reading)
            return
        self._read_ready()

    def _resume_reading(self) -> None:
        transport = self.transport
        if transport.is_closing() or transport._paused:
            return
        transport._loop._add_reader(transport._sock_fd, self._read_unless_cut)


class CutLoop(asyncio.SelectorEventLoop):
    """Event loop whose connections to servers can be cut."""

    cut: Cut

    def __init__(self, selector=None) -> None:
        super().__init__(selector)
        self._cut_transports: list[CutTransport] = []

    async def create_connection(
        self, protocol_factory, host=None, port=None, **kwargs
    ):
        """Opens a connection unless the path is cut."""
        sock = kwargs.get("sock")
        server_port = sock.getpeername()[1] if sock is not None else port
        if sock is None:
            await self._pass(server_port)
        transport, protocol = await super().create_connection(
            protocol_factory, host, port, **kwargs
        )
        transport._loop._remove_reader(transport._sock_fd)
        self._cut_transports.append(
            CutTransport(transport, server_port, self.cut)
        )
        if not transport.is_closing() and not transport._paused:
            self._add_reader(transport._sock_fd, transport._read_ready)
        return transport, protocol

    async def create_datagram_endpoint(self, protocol_factory, **kwargs):
        """Opens a socket that sends no datagrams where the path is cut."""
        transport, protocol = await super().create_datagram_endpoint(
            protocol_factory, **kwargs
        )
        send = transport.sendto

        def send_unless_cut(data, addr=None) -> None:
            if addr is None or not self.cut.drops_datagrams(addr[1]):
                send(data, addr)

        transport.sendto = send_unless_cut
        return transport, protocol

    async def sock_connect(self, sock, address):
        """Connects a socket unless the path is cut."""
        if isinstance(address, tuple):
            await self._pass(address[1])
        return await super().sock_connect(sock, address)

    async def _pass(self, port: int) -> None:
        mode = self.cut.mode(port)
        if mode in (CutMode.HANG, CutMode.DEAF):
            await asyncio.sleep(3_600)
        if mode is not None:
            raise ConnectionRefusedError(111, "refused by cut")

    def _run_once(self) -> None:
        self._cut_transports = [
            cut_transport
            for cut_transport in self._cut_transports
            if not cut_transport.transport.is_closing()
            and not cut_transport.reset_if_cut()
        ]
        super()._run_once()


def main() -> None:
    """Runs the daemon."""
    folder, settings = sys.argv[1], sys.argv[2]
    name = pathlib.Path(settings).stem
    CutLoop.cut = Cut(pathlib.Path(folder) / f"{name}.cut")
    asyncio.SelectorEventLoop = CutLoop
    sys.argv = [str(DAEMON), settings]
    runpy.run_path(str(DAEMON), run_name="__main__")


if __name__ == "__main__":
    main()
