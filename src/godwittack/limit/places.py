"""Divides the places of a server, and the rejections it bears, among daemons.

The shares of all daemons add up to no more than the whole, whatever each knows
of the others' use, as long as all count the same daemons. Those that count too
many get less.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from godwittack.member import assignment

if TYPE_CHECKING:
    from collections.abc import Iterable


def share(
    total: float, *, key: str, own_daemon: str, daemons: Iterable[str]
) -> int:
    """Returns one daemon's share of a number of whole units.

    The units that are left over go to the daemons that rank first.

    Args:
        total: Units of all daemons; a fraction of a unit is dropped.
        key: What is divided; ranks the daemons.
        own_daemon: The daemon.
        daemons: All daemons that get a share.
    """
    names = tuple(sorted(daemons))
    if own_daemon not in names:
        return 0
    every, left_over = divmod(max(0, math.floor(total)), len(names))
    if not left_over:
        return every
    return every + (own_daemon in assignment.rank(key, names)[:left_over])


def holders(
    total: float, *, key: str, daemons: Iterable[str]
) -> tuple[str, ...]:
    """Returns the daemons whose share is at least one unit."""
    names = tuple(sorted(daemons))
    return assignment.rank(key, names)[: max(0, math.floor(total))]


__all__ = ["holders", "share"]
