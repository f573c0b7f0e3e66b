"""Limits numbers to the ranges of the fields of messages between daemons.

A number out of range makes the encoder raise an error, and the whole message is
lost. Ages, sums and numbers that servers report have no limit of their own.
"""

from __future__ import annotations

MAX_UINT32 = 2**32 - 1
MAX_UINT64 = 2**64 - 1


def uint32(value: int) -> int:
    """Returns the closest value that a field of 32 bits can have."""
    return min(max(value, 0), MAX_UINT32)


def uint64(value: int) -> int:
    """Returns the closest value that a field of 64 bits can have."""
    return min(max(value, 0), MAX_UINT64)


__all__ = ["uint32", "uint64"]
