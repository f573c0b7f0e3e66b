"""Each daemon's share of a limit that holds over all daemons."""

from __future__ import annotations

import collections
import dataclasses
import math

RATE_WINDOW_MS = 1_000
GROWTH_DELAY_MS = 1_500
MIN_DEMAND = 0.5
BURST_S = 0.5


@dataclasses.dataclass(slots=True)
class CellUse:
    """This daemon's own use of one limited cell.

    Attributes:
        arrivals_ms: Times of recent arrivals, refused ones included.
        tokens: Requests that the rate limit still lets through now.
        granted: Share in force, in the limit's unit.
        lower_since_ms: Since when a larger share could have been taken.
    """

    in_flight: int = 0
    peak_wanted: int = 0
    wanted: float = 0.0
    rate_per_s: float = 0.0
    arrivals: int = 0
    window_from_ms: int = 0
    tokens: float = 0.0
    refilled_at_ms: int = 0
    rate_share: float = -1.0
    flight_share: float = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUse:
    """What a peer said of one cell."""

    at_ms: int
    wanted: float
    rate_per_s: float
    in_flight: int


@dataclasses.dataclass(slots=True)
class Shares:
    """Splits limits between daemons in proportion to demand.

    A daemon computes its share from its own demand and what peers told of
    theirs. Demand is told before it is used: a share follows the *told* own
    demand, which peers have seen as well, so that while views agree the
    shares add up to the limit and not above it. A share that shrinks does so
    at once; one that grows waits `GROWTH_DELAY_MS`, the time after which
    every peer has heard of the new demand and shrunk its own.

    Attributes:
        daemons: Live daemons, this one included.
    """

    daemons: int = 1
    cells: dict[str, CellUse] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(CellUse)
    )
    peers: dict[str, dict[str, PeerUse]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(dict)
    )
    _told: dict[str, list[tuple[int, float, float]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )

    def arrived(self, cell: str) -> None:
        """Counts a request that wants to use the cell, allowed or not."""
        use = self.cells[cell]
        use.arrivals += 1
        use.peak_wanted += 1

    def began(self, cell: str) -> None:
        """Counts a request now in flight."""
        self.cells[cell].in_flight += 1

    def ended(self, cell: str) -> None:
        """Counts a request that left."""
        use = self.cells[cell]
        use.in_flight = max(0, use.in_flight - 1)

    def room(self, cell: str, *, limit: int) -> bool:
        """Returns whether one more request may be in flight."""
        return self.cells[cell].in_flight < self._flight_share(cell, limit)

    def take_rate(self, cell: str, *, limit_per_s: float, now_ms: int) -> bool:
        """Takes one request from the rate share, or returns False."""
        use = self.cells[cell]
        share = self._rate_share(cell, limit_per_s)
        burst = max(1.0, share * BURST_S)
        elapsed_ms = now_ms - use.refilled_at_ms
        if use.refilled_at_ms == 0:
            use.tokens = burst
        else:
            use.tokens = min(burst, use.tokens + share * elapsed_ms / 1000)
        use.refilled_at_ms = now_ms
        if use.tokens < 1.0:
            return False
        use.tokens -= 1.0
        return True

    def rate_wait_ms(self, cell: str, *, limit_per_s: float) -> int:
        """Returns how long until the rate share lets one more through."""
        use = self.cells[cell]
        share = use.rate_share if use.rate_share > 0 else limit_per_s
        if share <= 0:
            return 60_000
        return math.ceil((1.0 - use.tokens) / share * 1000)

    def peer_told(
        self,
        *,
        daemon_id: str,
        cell: str,
        wanted: float,
        rate_per_s: float,
        in_flight: int,
        now_ms: int,
    ) -> None:
        """Takes in a peer's demand."""
        self.peers[daemon_id][cell] = PeerUse(
            now_ms, wanted, rate_per_s, in_flight
        )

    def peer_gone(self, daemon_id: str) -> None:
        """Forgets a dead peer, so that its share returns to the others."""
        self.peers.pop(daemon_id, None)

    def measure(self, now_ms: int) -> None:
        """Closes a demand window; runs each tick."""
        for use in self.cells.values():
            span_ms = now_ms - use.window_from_ms
            if span_ms < RATE_WINDOW_MS // 2:
                continue
            rate = use.arrivals * 1000 / span_ms
            use.rate_per_s = 0.5 * use.rate_per_s + 0.5 * rate
            wanted = float(max(use.in_flight, use.peak_wanted))
            use.wanted = max(wanted, 0.5 * use.wanted + 0.5 * wanted)
            use.arrivals = 0
            use.peak_wanted = use.in_flight
            use.window_from_ms = now_ms

    def _flight_share(self, cell: str, limit: int) -> int:
        use = self.cells[cell]
        others = self._peer_demand(cell)
        own = max(use.wanted, MIN_DEMAND)
        total = own + sum(max(p.wanted, MIN_DEMAND) for p in others)
        silent = max(0, self.daemons - 1 - len(others))
        total += silent * MIN_DEMAND
        exact = limit * own / total
        use.flight_share = exact
        # Rounding up on every daemon would pass the limit by their number.
        # A daemon without a whole slot may use one only where the limit has
        # room for one a daemon.
        if exact < 1 and limit >= self.daemons:
            return 1
        return int(exact + 1e-9)

    def _rate_share(self, cell: str, limit_per_s: float) -> float:
        use = self.cells[cell]
        others = self._peer_demand(cell)
        own = max(use.rate_per_s, MIN_DEMAND)
        total = own + sum(max(p.rate_per_s, MIN_DEMAND) for p in others)
        silent = max(0, self.daemons - 1 - len(others))
        total += silent * MIN_DEMAND
        use.rate_share = limit_per_s * own / total
        return use.rate_share

    def _peer_demand(self, cell: str) -> list[PeerUse]:
        return [told[cell] for told in self.peers.values() if cell in told]


__all__ = ["CellUse", "PeerUse", "Shares"]
