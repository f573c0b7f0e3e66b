"""Each daemon's share of a limit that holds over all daemons."""

from __future__ import annotations

import collections
import dataclasses
import math

from godwittack.member import duty

WINDOW_MS = 500
# Part of a window's demand that enters the figure told. Shares that follow
# each window move all the time, and every move overshoots: the daemon that
# grows is faster than the one that must wait for its requests to end.
SMOOTHING = 0.35
# Windows for which a larger share must have stood before it is used: by then
# every other daemon has heard the figures and taken back its own.
GROWTH_DELAY_WINDOWS = 1
# Part of the free room that is split evenly; the rest follows demand.
EVEN_SPLIT_RATIO = 0.5
# Seconds of its rate that a daemon may let through at once.
BURST_S = 0.25
NO_SHARE_WAIT_MS = 5_000
RATE_SUFFIX = "#rate"


@dataclasses.dataclass(slots=True)
class CellUsage:
    """This daemon's own use of one limited cell.

    Attributes:
        in_flight: Requests running now.
        peak: Most that ran at one time in the current window.
        refused: Requests refused for this cell in the current window.
        arrivals: Requests that arrived in the current window.
        demand: Requests running or refused, as told to the others.
        rate_per_s: Requests arriving a second, as told to the others.
        tokens: Requests that the rate still lets through at once.
    """

    in_flight: int = 0
    peak: int = 0
    refused: int = 0
    arrivals: int = 0
    demand: float = 0.0
    rate_per_s: float = 0.0
    tokens: float = 0.0
    refilled_at_ms: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedDemand:
    """What one daemon last said of one cell."""

    demand: float
    rate_per_s: float


@dataclasses.dataclass(slots=True)
class Shares:
    """Splits limits between daemons by what each has told of its demand.

    While the demand of all is below the limit, a daemon has what it wants
    and a part of the free room, so that a demand that moves to it is not
    refused while the limit is far. Above the limit, the shares follow demand.
    Every daemon computes all shares from the same told figures, its own
    included, so that they add up to the limit while views agree.

    Attributes:
        daemon: This daemon's name among the others.
        live: All live daemons.
        groups: Daemons that split a cell, by its name. Used in a large fleet
            only, where few daemons see the requests of one workspace.
    """

    daemon: str = ""
    live: frozenset[str] = frozenset()
    cells: dict[str, CellUsage] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(CellUsage)
    )
    reported: dict[str, dict[str, ReportedDemand]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(dict)
    )
    groups: dict[str, set[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(set)
    )
    _window_from_ms: int = -WINDOW_MS
    _window: int = 0
    _recent: dict[str, collections.deque[tuple[int, float]]] = (
        dataclasses.field(
            default_factory=lambda: collections.defaultdict(
                lambda: collections.deque(maxlen=GROWTH_DELAY_WINDOWS + 1)
            )
        )
    )

    def record_arrival(self, cell: str) -> None:
        """Counts a request that wants to use the cell, allowed or not."""
        self.cells[cell].arrivals += 1

    def record_start(self, cell: str) -> None:
        """Counts a request now in flight."""
        use = self.cells[cell]
        use.in_flight += 1
        use.peak = max(use.peak, use.in_flight)

    def record_end(self, cell: str) -> None:
        """Counts a request that left."""
        use = self.cells[cell]
        use.in_flight = max(0, use.in_flight - 1)

    def allows_request(self, cell: str, *, limit: int) -> bool:
        """Returns whether one more request may be in flight."""
        use = self.cells[cell]
        if use.in_flight < self._flight_share(cell, limit):
            return True
        use.refused += 1
        return False

    def take_rate_token(
        self, cell: str, *, limit_per_s: float, now_ms: int
    ) -> bool:
        """Takes one request from the rate share, or returns False."""
        use = self.cells[cell]
        share = self._rate_share(cell, limit_per_s)
        burst = max(1.0, share * BURST_S)
        if use.refilled_at_ms < 0:
            use.tokens = burst
        else:
            elapsed_ms = now_ms - use.refilled_at_ms
            use.tokens = min(burst, use.tokens + share * elapsed_ms / 1000)
        use.refilled_at_ms = now_ms
        if use.tokens < 1.0:
            return False
        use.tokens -= 1.0
        return True

    def rate_wait_ms(self, cell: str, *, limit_per_s: float) -> int:
        """Returns how long until the rate share lets one more through."""
        share = self._rate_share(cell, limit_per_s)
        if share <= 0:
            return NO_SHARE_WAIT_MS
        missing = 1.0 - self.cells[cell].tokens
        return min(NO_SHARE_WAIT_MS, math.ceil(missing / share * 1000))

    def arrival_ratio(self, cell: str) -> float:
        """Returns the arrivals of all daemons over this one's, at least 1."""
        own = self.cells[cell].rate_per_s
        told = self.reported[cell]
        if own <= 0.0 or not told:
            return 1.0
        everyone = sum(
            use.rate_per_s for name, use in told.items() if name != self.daemon
        )
        return min(1.0 + everyone / own, float(max(1, len(self.live))))

    def record_peer_demand(
        self, *, daemon: str, cell: str, demand: float, rate_per_s: float
    ) -> None:
        """Takes in a peer's demand."""
        if demand or rate_per_s:
            self.reported[cell][daemon] = ReportedDemand(demand, rate_per_s)
        else:
            self.reported[cell].pop(daemon, None)

    def forget_peer(self, daemon: str) -> None:
        """Forgets a dead peer, so that its share returns to the others."""
        for told in self.reported.values():
            told.pop(daemon, None)

    def update_demand(self, now_ms: int) -> None:
        """Closes a demand window, where one is over; runs each tick."""
        span_ms = now_ms - self._window_from_ms
        if span_ms < WINDOW_MS:
            return
        self._window_from_ms = now_ms
        self._window += 1
        for cell, use in self.cells.items():
            rate = use.arrivals * 1000 / span_ms
            use.rate_per_s += SMOOTHING * (rate - use.rate_per_s)
            wanted = float(use.peak + use.refused)
            use.demand += SMOOTHING * (wanted - use.demand)
            use.arrivals = 0
            use.refused = 0
            use.peak = use.in_flight
            self.reported[cell][self.daemon] = ReportedDemand(
                use.demand, use.rate_per_s
            )

    def _flight_share(self, cell: str, limit: int) -> int:
        wanted = {name: told.demand for name, told in self._known(cell).items()}
        exact = _split(float(limit), wanted)
        share = _whole(exact, limit)[self.daemon]
        return int(self._grown_late(cell, share))

    def _rate_share(self, cell: str, limit_per_s: float) -> float:
        rates = {
            name: told.rate_per_s for name, told in self._known(cell).items()
        }
        share = _split(limit_per_s, rates)[self.daemon]
        return self._grown_late(cell + RATE_SUFFIX, share)

    def _grown_late(self, cell: str, share: float) -> float:
        """Returns the least share of the last windows, this one included."""
        recent = self._recent[cell]
        if recent and recent[-1][0] == self._window:
            recent[-1] = (self._window, min(recent[-1][1], share))
        else:
            recent.append((self._window, share))
        oldest = self._window - GROWTH_DELAY_WINDOWS
        return min(value for window, value in recent if window >= oldest)

    def _known(self, cell: str) -> dict[str, ReportedDemand]:
        told = self.reported[cell]
        none = ReportedDemand(0.0, 0.0)
        # Among hundreds of daemons few see a cell's requests; the rest would
        # each hold a part of its free room that nobody uses.
        everyone = len(self.live) <= duty.MESH_LIMIT
        some = self.groups[cell] | told.keys()
        names = (self.live if everyone else some) | {self.daemon}
        return {name: told.get(name, none) for name in sorted(names)}


def _split(limit: float, demand: dict[str, float]) -> dict[str, float]:
    """Returns each daemon's share; the shares add up to the limit."""
    total = sum(demand.values())
    if total > 0 and total >= limit:
        return {name: limit * d / total for name, d in demand.items()}
    free = limit - total
    even = free * (EVEN_SPLIT_RATIO if total else 1.0) / len(demand)
    by_demand = free * (1.0 - EVEN_SPLIT_RATIO) / total if total else 0.0
    return {
        name: wanted + even + by_demand * wanted
        for name, wanted in demand.items()
    }


def _whole(exact: dict[str, float], limit: int) -> dict[str, int]:
    """Rounds shares to whole requests that still add up to the limit.

    Rounding each share up would pass the limit by the number of daemons,
    rounding each down would leave a part unused; the largest remainders get
    what is left, in the same order on every daemon.
    """
    floors = {name: int(share + 1e-9) for name, share in exact.items()}
    left = limit - sum(floors.values())
    order = sorted(exact, key=lambda name: (floors[name] - exact[name], name))
    for name in order[: max(0, left)]:
        floors[name] += 1
    return floors


__all__ = ["CellUsage", "Shares", "ReportedDemand"]
