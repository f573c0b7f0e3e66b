"""Counts messages between daemons by kind, and where failed calls waited."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import dataclasses
import enum
from typing import TYPE_CHECKING

import aiohttp
from absl import logging

if TYPE_CHECKING:
    import types
    from collections.abc import Iterator, Mapping

# Interval between two log lines about failed messages.
LOG_INTERVAL_MS = 5_000


class Phase(enum.StrEnum):
    """What a call to another daemon is waiting for.

    CONNECTION: one that is free, or the permission to open one. CONNECT: its
    opening. ANSWER: the peer's answer; for a stream, that of its opening.
    WRITE: that the peer reads what was sent on an open stream.
    """

    CONNECTION = "connection"
    CONNECT = "connect"
    ANSWER = "answer"
    WRITE = "write"


class Kind(enum.StrEnum):
    """Kind of message between daemons."""

    EXCHANGE = "exchange"
    NEWS = "news"
    TABLE = "table"
    REPORT = "report"
    RELAY = "relay"
    PATH = "path"
    STREAM = "stream"
    CANCEL = "cancel"
    DATAGRAM = "datagram"


@dataclasses.dataclass(slots=True)
class Counts:
    """Counts of one kind of message.

    Attributes:
        messages: Sent and received.
        size_bytes: Their size together.
        opened: Connections that were opened for them.
        failed: Those not answered, by what they waited for.
    """

    messages: int = 0
    size_bytes: int = 0
    opened: int = 0
    failed: dict[Phase, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Progress:
    """What one call is waiting for, as aiohttp reports it."""

    counts: Counts
    phase: Phase = Phase.CONNECTION

    def fail(self) -> None:
        """Counts the call as failed."""
        failed = self.counts.failed
        failed[self.phase] = failed.get(self.phase, 0) + 1


_progress: contextvars.ContextVar[Progress | None] = contextvars.ContextVar(
    "peer_call_progress", default=None
)


class PeerTraffic:
    """All messages of one daemon to and from others.

    Attributes:
        by_kind: Counts of each kind of message.
    """

    def __init__(self) -> None:
        """Starts at 0."""
        self.by_kind: Mapping[Kind, Counts] = {kind: Counts() for kind in Kind}
        self._logged: dict[Kind, tuple[int, int, int, dict[Phase, int]]] = {}

    @property
    def total_bytes(self) -> int:
        """Size of all messages."""
        return sum(counts.size_bytes for counts in self.by_kind.values())

    def count(self, kind: Kind, size_bytes: int) -> None:
        """Counts a message that was sent or received."""
        counts = self.by_kind[kind]
        counts.messages += 1
        counts.size_bytes += size_bytes

    @contextlib.contextmanager
    def follow(self, kind: Kind) -> Iterator[Progress]:
        """Follows a call that is made inside this context."""
        progress = Progress(self.by_kind[kind])
        token = _progress.set(progress)
        try:
            yield progress
        finally:
            _progress.reset(token)

    async def log_forever(self) -> None:
        """Logs failed messages periodically until cancelled."""
        while True:
            await asyncio.sleep(LOG_INTERVAL_MS / 1000)
            self.log_failures()

    def log_failures(self) -> None:
        """Logs each kind of message that has failed since the last call."""
        for kind, counts in self.by_kind.items():
            now = (
                counts.messages,
                counts.size_bytes,
                counts.opened,
                dict(counts.failed),
            )
            messages, size_bytes, opened, failed = self._logged.get(
                kind, (0, 0, 0, {})
            )
            self._logged[kind] = now
            if counts.failed == failed:
                continue
            logging.info(
                "event=peer_messages_failed kind=%s messages=%d bytes=%d"
                " opened=%d %s",
                kind,
                counts.messages - messages,
                counts.size_bytes - size_bytes,
                counts.opened - opened,
                " ".join(
                    f"waited_for_{phase}={count - failed.get(phase, 0)}"
                    for phase, count in sorted(counts.failed.items())
                ),
            )


def trace_config() -> aiohttp.TraceConfig:
    """Returns the hooks by which aiohttp reports the progress of calls."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(_record_connect)
    trace.on_connection_create_end.append(_record_connected)
    trace.on_connection_reuseconn.append(_record_reuse)
    return trace


async def _record_connect(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: aiohttp.TraceConnectionCreateStartParams,
) -> None:
    del session, context, params
    if (progress := _progress.get()) is not None:
        progress.phase = Phase.CONNECT


async def _record_connected(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    del session, context, params
    if (progress := _progress.get()) is not None:
        progress.phase = Phase.ANSWER
        progress.counts.opened += 1


async def _record_reuse(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: aiohttp.TraceConnectionReuseconnParams,
) -> None:
    del session, context, params
    if (progress := _progress.get()) is not None:
        progress.phase = Phase.ANSWER


__all__ = [
    "Counts",
    "Kind",
    "PeerTraffic",
    "Phase",
    "Progress",
    "trace_config",
]
