"""Orders that lease holders sent, and the check for conflicting orders."""

from __future__ import annotations

import dataclasses

# Minimum time between the orders of two holders to one server.
LEASE_MS = 3_000


@dataclasses.dataclass
class SentOrder:
    """An order at the time when its holder sent it."""

    holder: str
    fencing: int
    sent_at_s: float


def conflicts(
    server: str, earlier: list[SentOrder], order: SentOrder
) -> list[str]:
    """Describes conflicts of an order with earlier ones of other holders.

    The order of another holder is a conflict within a lease, or if the fencing
    number does not increase.
    """
    return [
        f"{server}: {previous}, {order}"
        for previous in earlier
        if previous.holder != order.holder
        and (
            (order.sent_at_s - previous.sent_at_s) * 1000 < LEASE_MS
            or order.fencing <= previous.fencing
        )
    ]


__all__ = ["LEASE_MS", "SentOrder", "conflicts"]
