"""A rate that a server takes from all daemons together, and the part of one.

A few daemons hold equal parts; the others send nothing while the limit holds.
Each part may be used with a burst of one request, so that in any time span the
holders together send at most the rate and one request each: their number is
what bounds the excess over the rate, also where a fleet has more daemons than
the rate has requests.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from godwittack.member import duty

if TYPE_CHECKING:
    from collections.abc import Iterable

# Holders of the smallest rate. Each request a second adds one.
MIN_HOLDERS = 3
# Below it nobody would learn for long that a server names a limit no more.
MIN_RATE_PER_S = 0.2
BURST = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class AdvertisedLimit:
    """A limit as known here, with this daemon's part of it.

    Attributes:
        per_s: Requests a second from all daemons together.
        share_per_s: This daemon's part; 0 for one that holds none.
        tokens: Requests that it may send at once.
        refilled_at_ms: Up to when tokens are counted.
    """

    per_s: float
    refilled_at_ms: int
    share_per_s: float = 0.0
    tokens: float = 0.0

    def assign_share(
        self, *, server_id: str, own_daemon: str, daemons: Iterable[str]
    ) -> None:
        """Works this daemon's part out.

        Args:
            server_id: The server that named the limit.
            own_daemon: This daemon.
            daemons: Those that send requests, this one included or not.
        """
        names = tuple(sorted(daemons))
        count = min(len(names), MIN_HOLDERS + math.floor(self.per_s))
        held = own_daemon in duty.rank(f"limit/{server_id}", names)[:count]
        rate_per_s = max(self.per_s, MIN_RATE_PER_S)
        self.share_per_s = rate_per_s / count if held else 0.0

    def wait_ms(self, *, now_ms: int) -> float:
        """Returns how long until a request may be sent; infinity for never."""
        self._fill(now_ms)
        if self.tokens >= BURST:
            return 0.0
        if self.share_per_s <= 0:
            return math.inf
        return (BURST - self.tokens) / self.share_per_s * 1000

    def take(self, *, now_ms: int) -> None:
        """Counts a request that is sent."""
        self._fill(now_ms)
        self.tokens -= 1.0

    def _fill(self, now_ms: int) -> None:
        gained = (now_ms - self.refilled_at_ms) * self.share_per_s / 1000
        self.tokens = min(BURST, self.tokens + gained)
        self.refilled_at_ms = now_ms


__all__ = ["AdvertisedLimit"]
