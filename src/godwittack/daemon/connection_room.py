"""Keeps the account of connections within what the process may use."""

from __future__ import annotations

import collections
import ctypes
import gc
import pathlib
import resource
from typing import TYPE_CHECKING

from absl import logging

from godwittack.limit import connection_memory

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.clock import Clock
    from godwittack.config import settings as configs
    from godwittack.metric import meters

PAGE_BYTES = resource.getpagesize()
# Part of the memory that stays free, for what is no part of the account.
MARGIN_RATIO = 0.1
# Part of the rest that the account may give out: its sizes are estimates, and
# allocators need more than they are asked for.
ACCOUNT_RATIO = 0.75
# However much the process holds itself, some requests are served beside one
# with the longest body.
MIN_CAPACITY_BYTES = 4 << 20
# Number of updates over which the memory of the process itself is the lowest
# that was seen: memory that was freed lately may still count as used.
OWN_SAMPLES = 60
# Freed memory that is returned to the system, as a part of all memory.
RETURNED_RATIO = 0.05
# Option of the C library's allocator.
M_MMAP_THRESHOLD = -3
LARGE_BLOCK_BYTES = 256 << 10
# Part of the descriptors for connections to servers, daemons and the store.
OUTBOUND_RATIO = 0.25


class ConnectionRoom:
    """Sets how much memory and how many connections clients may take.

    Attributes:
        account: What connections hold.
        longest_body_bytes: Returns the length of the longest allowed body.
        outbound_connections: Returns the number of connections to servers.
    """

    def __init__(
        self,
        settings: configs.Settings,
        *,
        clock: Clock,
        resident_bytes: Callable[[], int],
    ) -> None:
        """Starts before there are connections.

        Args:
            settings: Settings of the daemon.
            clock: Source of time.
            resident_bytes: Returns the memory of the process; 0 if not known.
        """
        self.account = connection_memory.ConnectionMemory()
        self.account.on_closed = self._count_closed
        self._settings = settings
        self._clock = clock
        self._resident_bytes = resident_bytes
        self._start_bytes = resident_bytes()
        self._own_bytes: collections.deque[int] = collections.deque(
            maxlen=OWN_SAMPLES
        )
        self._counted = (0, 0)
        self._longest_wait_ms = 0
        self._largest_bytes = 0
        self.longest_body_bytes: Callable[[], int]
        self.longest_body_bytes = lambda: settings.max_body_bytes
        self.outbound_connections: Callable[[], int] = lambda: 0
        self.update()

    def update(self) -> None:
        """Adapts the account to the process, and logs what it has refused."""
        counted = (self.account.closed, self.account.rejected)
        closed, rejected = (
            now - before
            for now, before in zip(counted, self._counted, strict=True)
        )
        self._counted = counted
        self._set_capacity(is_pressed=bool(closed or rejected))
        self._set_max_connections()
        self.account.close_excess(now_ms=self._clock.now_ms())
        if closed or rejected:
            self._log(closed, rejected)

    def add_gauges(self, metrics: meters.Meters) -> None:
        """Adds what the account holds and has refused to the metrics."""
        account = self.account
        metrics.add_gauge("godwittack_inbound", lambda: account.connections)
        metrics.add_gauge(
            "godwittack_inbound_bytes", lambda: account.used_bytes
        )
        metrics.add_gauge(
            "godwittack_inbound_capacity_bytes", lambda: account.capacity_bytes
        )
        metrics.add_gauge("godwittack_inbound_closed", lambda: account.closed)
        metrics.add_gauge(
            "godwittack_inbound_rejected", lambda: account.rejected
        )

    def _set_capacity(self, *, is_pressed: bool) -> None:
        memory_bytes = self._settings.memory_bytes
        if not memory_bytes:
            return
        resident_bytes = self._resident_bytes()
        self._own_bytes.append(resident_bytes - self.account.used_bytes)
        own_bytes = max(self._start_bytes, min(self._own_bytes))
        freed_bytes = resident_bytes - self.account.used_bytes - own_bytes
        if is_pressed and freed_bytes > RETURNED_RATIO * memory_bytes:
            return_freed_memory()
        usable_bytes = round(memory_bytes * (1 - MARGIN_RATIO))
        self.account.capacity_bytes = max(
            MIN_CAPACITY_BYTES + self.longest_body_bytes(),
            round((usable_bytes - own_bytes) * ACCOUNT_RATIO),
        )

    def _set_max_connections(self) -> None:
        system_fds, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        limits = [self._settings.max_fds or 0, system_fds]
        max_fds = min((limit for limit in limits if limit > 0), default=0)
        if not max_fds:
            return
        sockets = max(max_fds - self._settings.file_fds, max_fds // 2)
        outbound = max(
            round(sockets * OUTBOUND_RATIO), self.outbound_connections()
        )
        self.account.max_connections = max(1, sockets - outbound)

    def _count_closed(self, size_bytes: int, waited_ms: int) -> None:
        self._longest_wait_ms = max(self._longest_wait_ms, waited_ms)
        self._largest_bytes = max(self._largest_bytes, size_bytes)

    def _log(self, closed: int, rejected: int) -> None:
        account = self.account
        logging.warning(
            "event=no_room_for_connections closed=%d rejected=%d"
            " longest_wait_ms=%d largest_bytes=%d connections=%d"
            " max_connections=%d used_bytes=%d capacity_bytes=%d",
            closed,
            rejected,
            self._longest_wait_ms,
            self._largest_bytes,
            account.connections,
            account.max_connections,
            account.used_bytes,
            account.capacity_bytes,
        )
        self._longest_wait_ms = self._largest_bytes = 0


def resident_bytes() -> int:
    """Returns the memory of this process; 0 if the system doesn't tell."""
    try:
        text = pathlib.Path("/proc/self/statm").read_text(encoding="ascii")
        return int(text.split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def prepare_process() -> None:
    """Lets memory be freed and returned soon, once all modules are loaded.

    Large blocks are returned to the system as they are freed, and not kept for
    later ones. Full collections pass over what exists now, which makes them a
    matter of milliseconds.
    """
    set_option = getattr(ctypes.CDLL(None), "mallopt", None)
    if set_option is not None:
        set_option(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    gc.collect()
    gc.freeze()


def return_freed_memory() -> None:
    """Frees what only cycles refer to, and returns freed memory.

    Connections that broke off leave cycles of tasks and exceptions, which the
    interpreter would look for only after many thousands more.
    """
    gc.collect()
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


__all__ = [
    "ConnectionRoom",
    "prepare_process",
    "resident_bytes",
    "return_freed_memory",
]
