"""Decides when a daemon may order loads and take over from another lead.

Load pattern: weights are published every few seconds while daemons are killed,
suspended, or rejected by the store. The next lead must order at once if no
other daemon does, and must wait while another one works: two concurrent
roll-outs take more servers out of service than either would alone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Wait per daemon ahead in rank, for its first order. That order takes two calls
# to the store, about 20 ms each, or 350 ms if the store is slow.
ORDER_WAIT_MS = 600
# The same wait after a recent order: a load takes up to several seconds,
# including the requests that must end first, and nothing is recorded meanwhile.
ORDER_WAIT_DURING_LOAD_MS = 2_000
# Age up to which an order counts as recent.
RECENT_ORDER_MS = 4_000


def rank(own: str, holder: str, ranked: Sequence[str]) -> int:
    """Returns how many daemons come before this one.

    The present holder comes first if it is alive, since it need not wait for
    the servers that it ordered recently.

    Args:
        own: Id of this daemon.
        holder: Id of the daemon that ordered last; may be empty.
        ranked: Ids of the candidates in rank order.
    """
    order = [daemon for daemon in ranked if daemon != holder]
    if holder in ranked:
        order.insert(0, holder)
    return order.index(own) if own in order else len(order)


def may_order(*, daemons_before: int, unchanged_ms: int, idle_ms: int) -> bool:
    """Returns whether a daemon may order now.

    Args:
        daemons_before: How many daemons come before it in rank.
        unchanged_ms: For how long the same servers have needed the same
            weights.
        idle_ms: How long ago the last order was recorded.
    """
    wait_ms = (
        ORDER_WAIT_DURING_LOAD_MS
        if idle_ms < RECENT_ORDER_MS
        else ORDER_WAIT_MS
    )
    return min(unchanged_ms, idle_ms) >= daemons_before * wait_ms


__all__ = ["may_order", "rank"]
