"""Tells which process listens on a port, on Linux."""

from __future__ import annotations

import pathlib

# State of a listening socket in /proc/net/tcp.
LISTENS = "0A"


def listens(pid: int, port: int) -> bool:
    """Returns whether a process listens for TCP connections on a port."""
    listening = _sockets_at(port)
    return any(name in listening for name in _sockets_of(pid))


def _sockets_at(port: int) -> set[str]:
    found = set()
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        address, state, inode = fields[1], fields[3], fields[9]
        if state == LISTENS and int(address.split(":")[1], 16) == port:
            found.add(f"socket:[{inode}]")
    return found


def _sockets_of(pid: int) -> list[str]:
    found = []
    for file in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            found.append(str(file.readlink()))
        except FileNotFoundError:
            # Closed since the folder was read.
            continue
    return found
