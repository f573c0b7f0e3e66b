"""Finds out whether a process listens on a port, on Linux."""

from __future__ import annotations

import pathlib

# State of a listening_sockets socket in /proc/net/tcp.
LISTEN_STATE = "0A"


def listens(pid: int, port: int) -> bool:
    """Returns whether a process listens for TCP connections on a port."""
    listening_sockets = _sockets_listening_on(port)
    return any(name in listening_sockets for name in _sockets_of(pid))


def _sockets_listening_on(port: int) -> set[str]:
    sockets = set()
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        address, state, inode = fields[1], fields[3], fields[9]
        if state == LISTEN_STATE and int(address.split(":")[1], 16) == port:
            sockets.add(f"socket:[{inode}]")
    return sockets


def _sockets_of(pid: int) -> list[str]:
    sockets = []
    for file in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            sockets.append(str(file.readlink()))
        except FileNotFoundError:
            # Closed after the directory was read.
            continue
    return sockets
