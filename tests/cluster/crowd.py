"""Clients that keep to no limit, and what they make a daemon hold."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import pathlib
import resource
import socket
from typing import TYPE_CHECKING

from cluster import platform as platforms

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cluster.platform import Platform

MB = 1_000_000
# A machine with less memory than most, so that few clients exceed it.
MEMORY_MB = 120
# Descriptors of a machine, and those of them that are kept for files.
DESCRIPTORS = 4_100
FILE_DESCRIPTORS = 200
BODY_BYTES = 4 << 20
HEADER_BYTES = 16_384
PIECE = b"10000\r\n" + b"p" * 65_536 + b"\r\n"
ANSWER_BYTES = 4 << 20
# Requests of these kinds get long answers from the crowd's backend servers.
LONG_ANSWER = "slow"
RECEIVE_BUFFER_BYTES = 4_096
SLOW_READ_BYTES = 2_048
SAMPLE_S = 0.05
RECONNECT_S = 0.1
PAGE_BYTES = resource.getpagesize()
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
PROMPT = (
    "X-Godwittack-Model: m\r\nX-Godwittack-Token-Usage: 900,10\r\n"
    "X-Godwittack-Prefix-Hash: ab12:800,cd0001:100\r\n"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """What one client sends.

    Attributes:
        first: Sent once.
        rest: Sent again and again.
        limit_bytes: Bytes of `rest` in all; 0 for no limit.
        reads_slowly: Whether it reads its answer some KB a second.
        listener: The daemon's listener.
    """

    first: bytes
    rest: bytes = b""
    limit_bytes: int = 0
    reads_slowly: bool = False
    listener: str = "front"


def head(
    request_id: str,
    *,
    route: str = "release",
    headers: str = "",
    key: str = platforms.KEY,
) -> bytes:
    """Returns a request line and headers; `headers` ends them."""
    return (
        f"POST /{route}/x HTTP/1.1\r\nHost: {platforms.HOST}\r\n"
        f"X-Godwittack-Request-Id: {request_id}\r\n"
        f"X-Godwittack-Deadline-Ms: 6000\r\n"
        f"X-Godwittack-Credential: {key}\r\n{headers}"
    ).encode()


def _lines(name: str) -> bytes:
    return b"%s: %s\r\n" % (name.encode(), b"p" * 900) * 64


def _other_listener(listener: str) -> Callable[[str], Script]:
    return lambda request_id: Script(
        b"GET /x HTTP/1.1\r\nHost: x\r\n", _lines("X-P"), listener=listener
    )


NO_BODY = "Content-Length: 0\r\n\r\n"
SCRIPTS: dict[str, Callable[[str], Script]] = {
    "large chunks": lambda request_id: Script(
        head(request_id, headers=CHUNKED), PIECE, BODY_BYTES - 65_536
    ),
    "tiny chunks": lambda request_id: Script(
        head(request_id, headers=CHUNKED), b"1\r\nx\r\n" * 8_000
    ),
    "bodies short of their length": lambda request_id: Script(
        head(request_id, headers=f"Content-Length: {BODY_BYTES}\r\n\r\n"),
        b"p" * 65_536,
        BODY_BYTES - 65_536,
    ),
    "chunk extensions": lambda request_id: Script(
        head(request_id, headers=CHUNKED) + b"2;", b"e" * 65_536
    ),
    "trailers": lambda request_id: Script(
        head(request_id, headers=CHUNKED) + b"2\r\nxx\r\n0\r\n", _lines("X-T")
    ),
    "header lines": lambda request_id: Script(head(request_id), _lines("X-P")),
    "one header": lambda request_id: Script(
        head(request_id) + b"X-P: ", b"p" * 65_536
    ),
    "request lines": lambda request_id: Script(b"POST /", b"p" * 65_536),
    "unfinished heads": lambda request_id: Script(
        head(request_id)
        + b"".join(b"X-%d: %s\r\n" % (n, b"p" * 8_000) for n in range(120))
    ),
    "empty lines": lambda request_id: Script(b"\r\n", b"\r\n" * 32_768),
    "long answers": lambda request_id: Script(
        head(f"{LONG_ANSWER}.{request_id}", headers=NO_BODY), reads_slowly=True
    ),
    "streams": lambda request_id: Script(
        head(
            f"{LONG_ANSWER}.{request_id}",
            route="long",
            headers=PROMPT + NO_BODY,
        ),
        reads_slowly=True,
    ),
    "pipelined bodies": lambda request_id: Script(
        b"",
        head(request_id, headers="Content-Length: 60000\r\n\r\n")
        + b"p" * 60_000,
    ),
    "refused bodies": lambda request_id: Script(
        head(request_id, headers=CHUNKED, key="none"), PIECE
    ),
    "expected continuations": lambda request_id: Script(
        head(
            request_id,
            headers=f"Expect: 100-continue\r\n{CHUNKED}",
        ),
        PIECE,
        BODY_BYTES - 65_536,
    ),
    "silence": lambda request_id: Script(b""),
    "directory": _other_listener("directory"),
    "ready": _other_listener("ready"),
    "control": _other_listener("control"),
    "metrics": _other_listener("metrics"),
}


class Crowd:
    """Clients of one daemon that all send the same, for some time."""

    def __init__(
        self,
        made: Platform,
        kind: str,
        *,
        clients: int,
        seconds: float,
        daemon: int = 0,
    ) -> None:
        """Prepares clients of one daemon of `made`."""
        self._made = made
        self._daemon = daemon
        self._kind = kind
        self._clients = clients
        self._seconds = seconds

    async def play(self) -> None:
        """Connects all clients, again where they were closed."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + self._seconds
        await asyncio.gather(
            *(self._repeat(number, ends_s) for number in range(self._clients))
        )

    async def _repeat(self, number: int, ends_s: float) -> None:
        loop = asyncio.get_running_loop()
        attempt = 0
        while loop.time() < ends_s:
            attempt += 1
            script = SCRIPTS[self._kind](f"rude.{number}.{attempt}")
            try:
                async with asyncio.timeout_at(ends_s):
                    await self._follow(script)
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(RECONNECT_S)

    async def _follow(self, script: Script) -> None:
        loop = asyncio.get_running_loop()
        listeners = _listeners(self._made, self._daemon)
        host, port = listeners[script.listener].split(":")
        with socket.socket() as connection:
            connection.setblocking(False)
            if script.reads_slowly:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
                )
            await loop.sock_connect(connection, (host, int(port)))
            await loop.sock_sendall(connection, script.first)
            if script.reads_slowly:
                while await loop.sock_recv(connection, SLOW_READ_BYTES):
                    await asyncio.sleep(1.0)
                return
            await self._send(connection, script)
            # Stays open, and reads nothing.
            await asyncio.sleep(self._seconds)

    async def _send(self, connection: socket.socket, script: Script) -> None:
        loop = asyncio.get_running_loop()
        sent = 0
        limit = script.limit_bytes or 1 << 40
        while script.rest and sent + len(script.rest) <= limit:
            await loop.sock_sendall(connection, script.rest)
            sent += len(script.rest)
            await asyncio.sleep(0)


@dataclasses.dataclass(slots=True)
class Peak:
    """The most that a daemon has held.

    Attributes:
        bytes: Resident memory, and bytes received but not read.
        sockets: Sockets.
        descriptors: All descriptors.
    """

    bytes: int = 0
    sockets: int = 0
    descriptors: int = 0

    async def watch(self, made: Platform, daemon: int = 0) -> None:
        """Samples a daemon until it is cancelled."""
        ports = {
            int(address.split(":")[1])
            for address in _listeners(made, daemon).values()
        }
        while True:
            pid = made.processes[daemon].pid
            links = _descriptors(pid)
            inodes = {
                link[8:-1] for link in links if link.startswith("socket:[")
            }
            held = _resident_bytes(pid) + _unread_bytes(ports, inodes)
            self.bytes = max(self.bytes, held)
            self.sockets = max(self.sockets, len(inodes))
            self.descriptors = max(self.descriptors, len(links))
            await asyncio.sleep(SAMPLE_S)


def check_bounds(peak: Peak, descriptors: int) -> None:
    """Checks what a daemon held against its machine."""
    assert peak.bytes <= MEMORY_MB * MB, peak
    assert peak.descriptors <= descriptors, peak
    assert peak.sockets <= descriptors - FILE_DESCRIPTORS, peak


def answer_long(made: Platform) -> None:
    """Lets all backend servers answer some requests at length."""
    for replica in made.replicas.values():
        replica.long_answer_bytes = ANSWER_BYTES
        replica.long_answer_prefix = LONG_ANSWER


def allow_long_bodies(made: Platform, version: int) -> None:
    """Puts the limits that the crowd exceeds into the table."""
    config = platforms.config(version)
    config["limits"] = {
        "max-header-bytes": HEADER_BYTES,
        "max-body-bytes": BODY_BYTES,
        "header-timeout-ms": 3_000,
        "idle-timeout-ms": 15_000,
    }
    made.store.put("op", "config", config)


def mixture(rng: random.Random, *, clients: int) -> list[tuple[str, int]]:
    """Returns some kinds of clients, and how many there are of each."""
    kinds = rng.sample(sorted(SCRIPTS), k=3)
    return [(kind, clients // len(kinds)) for kind in kinds]


def _listeners(made: Platform, daemon: int) -> dict[str, str]:
    """Returns the addresses on which a daemon listens."""
    fields = made.fields[daemon]
    port = fields["internal-port-range"][1]
    return {**fields["listen"], "metrics": f"{fields['ip']}:{port}"}


def _descriptors(pid: int) -> list[str]:
    links = []
    folder = pathlib.Path(f"/proc/{pid}/fd")
    try:
        names = os.listdir(folder)
    except OSError:
        return []
    for name in names:
        try:
            links.append(os.readlink(folder / name))
        except OSError:
            continue
    return links


def _resident_bytes(pid: int) -> int:
    try:
        text = pathlib.Path(f"/proc/{pid}/statm").read_text()
        return int(text.split()[1]) * PAGE_BYTES
    except (OSError, IndexError):
        return 0


def _unread_bytes(ports: set[int], inodes: set[str]) -> int:
    """Returns what a daemon's sockets have received, also unaccepted ones."""
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        port = int(fields[1].split(":")[1], 16)
        is_established = fields[3] == "01"
        if is_established and (port in ports or fields[9] in inodes):
            total += int(fields[4].split(":")[1], 16)
    return total


__all__ = [
    "DESCRIPTORS",
    "MEMORY_MB",
    "SCRIPTS",
    "Crowd",
    "Peak",
    "allow_long_bodies",
    "answer_long",
    "check_bounds",
    "mixture",
]
