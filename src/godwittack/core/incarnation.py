"""Names incarnations: the single process starts of a backend server.

A server may restart under the same id. It has then lost all state: its cache
is empty, its count of orders starts again, and an order to leave was meant for
the process that ended. The start time in the name keeps delayed messages of
the previous process from being attributed to the current one.
"""

from __future__ import annotations

from godwittack import digits

_SEPARATOR = "@"


def make_name(server_id: str, started_at_ms: int) -> str:
    """Returns the name of an incarnation of a server.

    Args:
        server_id: The server's id.
        started_at_ms: Unix milliseconds of its start; 0 if not reported.
    """
    # An id that looks like the name of an incarnation gets a start time as
    # well, so that the one in the id does not count.
    has_start = started_at_ms or _SEPARATOR in server_id
    return f"{server_id}{_SEPARATOR}{started_at_ms}" if has_start else server_id


def started_at_ms(incarnation: str) -> int:
    """Returns an incarnation's start time; 0 if its name has none."""
    _, separator, started = incarnation.rpartition(_SEPARATOR)
    return (digits.parse(started) or 0) if separator else 0


def is_older(incarnation: str, other: str) -> bool:
    """Returns whether an incarnation is known to be older than another.

    Both must belong to one server. A name without a start time is older than
    one that has it, as it does not prove which process it comes from.
    """
    return incarnation != other and (
        started_at_ms(incarnation) < started_at_ms(other)
    )


__all__ = ["is_older", "make_name", "started_at_ms"]
