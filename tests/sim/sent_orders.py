"""Orders as they left their holders, and what two of them must keep."""

from __future__ import annotations

import dataclasses

# Time that lies between the orders of two holders to one server.
LEASE_MS = 3_000


@dataclasses.dataclass
class SentOrder:
    """An order as it left its holder."""

    holder: str
    fencing: int
    at_s: float


def conflicts(
    server: str, earlier: list[SentOrder], order: SentOrder
) -> list[str]:
    """Returns what is wrong between an order and those of other holders."""
    return [
        f"{server}: {before}, {order}"
        for before in earlier
        if before.holder != order.holder
        and (
            (order.at_s - before.at_s) * 1000 < LEASE_MS
            or order.fencing <= before.fencing
        )
    ]


__all__ = ["LEASE_MS", "SentOrder", "conflicts"]
