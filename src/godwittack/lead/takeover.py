"""Decides when a daemon orders, and when it takes over from another.

Load pattern: weights are named every few seconds while daemons are killed,
frozen, or turned away by the store. Whoever orders next must do so at once
where nobody else does, and must not where another is at work: two that roll
out beside each other take more servers out of service than either would.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# What each daemon before in rank is given for its first order. It takes two
# calls of the store, some 20 ms each and 350 where the store is slow.
ORDER_WAIT_MS = 600
# The same where an order was recorded a moment ago: a load takes up to some
# seconds, with the runs that end first, and shows nothing meanwhile.
ORDER_WAIT_DURING_LOAD_MS = 2_000
# Time for which an order counts as recorded a moment ago.
RECENT_ORDER_MS = 4_000


def rank(own: str, holder: str, ranked: Sequence[str]) -> int:
    """Returns how many daemons come before this one.

    The holder comes first where it lives: servers that it ordered a moment ago
    need not be waited for.
    """
    order = [name for name in ranked if name != holder]
    if holder in ranked:
        order.insert(0, holder)
    return order.index(own) if own in order else len(order)


def may_order(*, daemons_before: int, unchanged_ms: int, idle_ms: int) -> bool:
    """Returns whether a daemon may order now.

    Args:
        daemons_before: Its rank.
        unchanged_ms: For how long servers need the weights that they need.
        idle_ms: How long ago the last order was recorded.
    """
    patience_ms = (
        ORDER_WAIT_DURING_LOAD_MS
        if idle_ms < RECENT_ORDER_MS
        else ORDER_WAIT_MS
    )
    return min(unchanged_ms, idle_ms) >= daemons_before * patience_ms


__all__ = ["may_order", "rank"]
