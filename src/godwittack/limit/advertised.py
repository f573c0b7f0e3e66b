"""A rate limit that a server advertises, and one daemon's share of it.

A few daemons hold equal shares; the others send nothing while the limit is in
effect. Each share may be used with a burst of one request, so that in any time
span the holders together send at most the rate and one request each. Their
number bounds the excess over the rate, even if there are more daemons than the
rate has requests.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from godwittack.member import assignment

if TYPE_CHECKING:
    from collections.abc import Iterable

# Holders of a share at the lowest rate. Each request per second adds one.
MIN_HOLDERS = 3
# At a lower rate, it would take long to learn that a server lifted its limit.
MIN_RATE_PER_S = 0.2
BURST_REQUESTS = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class AdvertisedLimit:
    """An advertised limit with this daemon's share of it.

    Attributes:
        per_s: Requests per second from all daemons together.
        share_per_s: This daemon's share; 0 if it holds none.
        tokens: Requests that it may send at once.
        refilled_at_ms: When tokens were last added.
    """

    per_s: float
    refilled_at_ms: int
    share_per_s: float = 0.0
    tokens: float = 0.0

    def assign_share(
        self, *, server_id: str, own_daemon: str, daemons: Iterable[str]
    ) -> None:
        """Computes this daemon's share.

        Args:
            server_id: The server that advertised the limit.
            own_daemon: This daemon.
            daemons: Serving daemons, with or without this one.
        """
        names = tuple(sorted(daemons))
        count = min(len(names), MIN_HOLDERS + math.floor(self.per_s))
        is_holder = (
            own_daemon in assignment.rank(f"limit/{server_id}", names)[:count]
        )
        rate_per_s = max(self.per_s, MIN_RATE_PER_S)
        self.share_per_s = rate_per_s / count if is_holder else 0.0

    def wait_ms(self, *, now_ms: int) -> float:
        """Returns how long until a request may be sent; infinity if never."""
        self._refill(now_ms)
        if self.tokens >= BURST_REQUESTS:
            return 0.0
        if self.share_per_s <= 0:
            return math.inf
        return (BURST_REQUESTS - self.tokens) / self.share_per_s * 1000

    def take(self, *, now_ms: int) -> None:
        """Takes a token for a request that is sent."""
        self._refill(now_ms)
        self.tokens -= 1.0

    def _refill(self, now_ms: int) -> None:
        gained = (now_ms - self.refilled_at_ms) * self.share_per_s / 1000
        self.tokens = min(BURST_REQUESTS, self.tokens + gained)
        self.refilled_at_ms = now_ms


__all__ = ["AdvertisedLimit"]
