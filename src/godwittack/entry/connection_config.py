"""What the connections of a listener share."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from godwittack.clock import loop_delay
from godwittack.entry import request_limits
from godwittack.limit import connection_memory

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.clock import Clock

# Buffer of the operating system for each connection: otherwise it accepts up to
# 6 MB of a body that waits to be read.
RECEIVE_BUFFER_BYTES = 16 << 10
DEFAULT_DISCARD_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionConfig:
    """What the connections of a listener share.

    Attributes:
        clock: Source of time.
        delay: How late the event loop may read.
        memory: Account of the memory that connections hold.
        limits: Returns the limits of the next request.
        discard_ms: How long the rest of a body is read after its answer.
        receive_buffer_bytes: Buffer of the operating system.
        decompresses: Whether bodies are decompressed.
        upgrades: Whether connections may switch to WebSocket.
    """

    clock: Clock
    delay: loop_delay.ReadDelay = dataclasses.field(
        default_factory=loop_delay.NoDelay
    )
    memory: connection_memory.ConnectionMemory = dataclasses.field(
        default_factory=connection_memory.ConnectionMemory
    )
    limits: Callable[[], request_limits.RequestLimits] = lambda: (
        request_limits.DEFAULT_LIMITS
    )
    discard_ms: int = DEFAULT_DISCARD_MS
    receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES
    decompresses: bool = False
    upgrades: bool = False


__all__ = ["RECEIVE_BUFFER_BYTES", "ConnectionConfig"]
