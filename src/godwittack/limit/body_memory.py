"""Accounts for the memory that the bodies of requests occupy.

Load pattern: dozens of requests with bodies of megabytes arrive within two
seconds. Each body stays in memory until its request has ended, since it may be
sent again, and a process that exceeds its memory is ended with all its streams.
"""

from __future__ import annotations

# Bodies up to this length never wait: socket and HTTP library hold as much of a
# body that is not read.
SHORT_BYTES = 256 << 10
# Part of the memory that long bodies don't use.
SHORT_RATIO = 0.25
HOLD_SMOOTHING = 0.1


class BodyMemory:
    """Memory for the bodies of all requests of one daemon.

    Attributes:
        capacity_bytes: All of it; 0 for no limit.
        short_bytes: Bytes of short bodies.
        long_bytes: Bytes of long bodies.
    """

    def __init__(self, capacity_bytes: int) -> None:
        """Starts without bodies."""
        self.capacity_bytes = capacity_bytes
        self.short_bytes = 0
        self.long_bytes = 0
        self._long_capacity_bytes = round(capacity_bytes * (1 - SHORT_RATIO))
        self._hold_ms = 0.0

    @property
    def used_bytes(self) -> int:
        """Bytes of all bodies."""
        return self.short_bytes + self.long_bytes

    def take(self, size_bytes: int) -> bool:
        """Takes memory for a body; returns whether there is enough.

        One long body is always let in, so that the longest allowed one is
        served on a machine with little memory.
        """
        if not self._has_room(size_bytes):
            return False
        self._add(size_bytes, 1)
        return True

    def give_back(self, size_bytes: int, *, held_ms: int | None = None) -> None:
        """Gives back the memory of a body.

        Args:
            size_bytes: Its size, as it was taken.
            held_ms: How long its request held it; None if that says nothing of
                others.
        """
        self._add(size_bytes, -1)
        if size_bytes > SHORT_BYTES and held_ms is not None:
            previous_ms = self._hold_ms or held_ms
            self._hold_ms = previous_ms + HOLD_SMOOTHING * (
                held_ms - previous_ms
            )

    def resize(self, old_bytes: int, new_bytes: int) -> None:
        """Changes the size of a body that turned out to be shorter."""
        self._add(old_bytes, -1)
        self._add(new_bytes, 1)

    def expected_wait_ms(self, size_bytes: int, *, ahead_bytes: int) -> int:
        """Estimates when there is memory for a long body.

        Args:
            size_bytes: Its size.
            ahead_bytes: Bytes of long bodies that wait already.
        """
        free_bytes = max(0, self._long_capacity_bytes - self.long_bytes)
        missing_bytes = max(0, ahead_bytes + size_bytes - free_bytes)
        return round(
            self._hold_ms * missing_bytes / max(1, self._long_capacity_bytes)
        )

    def _add(self, size_bytes: int, sign: int) -> None:
        if size_bytes > SHORT_BYTES:
            self.long_bytes += sign * size_bytes
        else:
            self.short_bytes += sign * size_bytes

    def _has_room(self, size_bytes: int) -> bool:
        if not self.capacity_bytes:
            return True
        if size_bytes <= SHORT_BYTES:
            # A single long body may be longer than the memory.
            long_bytes = min(self.long_bytes, self._long_capacity_bytes)
            used_bytes = long_bytes + self.short_bytes
            return used_bytes + size_bytes <= self.capacity_bytes
        if not self.long_bytes:
            return True
        return (
            self.long_bytes + size_bytes <= self._long_capacity_bytes
            and self.used_bytes + size_bytes <= self.capacity_bytes
        )


__all__ = ["SHORT_BYTES", "BodyMemory"]
