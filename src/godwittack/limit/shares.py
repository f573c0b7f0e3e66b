"""Each daemon's share of a limit for all daemons together."""

from __future__ import annotations

import collections
import dataclasses
import math

from godwittack.member import assignment

WINDOW_MS = 500
# Weight of a window's demand in the announced figure. Shares that follow each
# window change all the time, and every change overshoots: a daemon whose share
# grows is faster than one that must wait for its requests to end.
SMOOTHING = 0.35
# Windows for which a larger share must have been due before it is used: by then
# every other daemon has received the figures and reduced its own share.
GROWTH_DELAY_WINDOWS = 1
# Part of the unused limit that is split evenly; the rest follows demand.
EVEN_SPLIT_RATIO = 0.5
# Seconds of its rate that a daemon may let through at once.
BURST_S = 0.25
NO_SHARE_WAIT_MS = 5_000
RATE_SUFFIX = "#rate"


@dataclasses.dataclass(slots=True)
class CellUsage:
    """This daemon's own usage of one limited cell.

    Attributes:
        in_flight: Requests running now.
        peak: Maximum running at one time in the current window.
        refused: Requests refused for this cell in the current window.
        arrivals: Requests that arrived in the current window.
        demand: Requests running or refused, as announced to peers.
        rate_per_s: Requests arriving per second, as announced to peers.
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
    """The demand for one cell that one daemon last announced."""

    demand: float
    rate_per_s: float


@dataclasses.dataclass(slots=True)
class Shares:
    """Splits limits between daemons by the demand that each has announced.

    While the total demand is below the limit, a daemon's share is its demand
    and a part of the unused rest, so that demand that shifts to it is not
    refused while the total is far below the limit. Above the limit, the shares
    follow demand. Every daemon computes all shares from the same announced
    figures, its own included, so that they add up to the limit while views
    agree.

    Attributes:
        daemon: This daemon's name among the others.
        live: All live daemons.
        groups: Daemons that split a cell's limit, by cell. Used in a large
            fleet only, where few daemons receive one workspace's requests.
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
    _window_start_ms: int = -WINDOW_MS
    _window: int = 0
    _recent: dict[str, collections.deque[tuple[int, float]]] = (
        dataclasses.field(
            default_factory=lambda: collections.defaultdict(
                lambda: collections.deque(maxlen=GROWTH_DELAY_WINDOWS + 1)
            )
        )
    )

    def record_arrival(self, cell: str) -> None:
        """Counts a request for the cell, whether admitted or not."""
        self.cells[cell].arrivals += 1

    def record_start(self, cell: str) -> None:
        """Counts a request that is now in flight."""
        usage = self.cells[cell]
        usage.in_flight += 1
        usage.peak = max(usage.peak, usage.in_flight)

    def record_end(self, cell: str) -> None:
        """Counts a request that has ended."""
        usage = self.cells[cell]
        usage.in_flight = max(0, usage.in_flight - 1)

    def allows_request(self, cell: str, *, limit: int) -> bool:
        """Returns whether one more may be in flight, or counts a refusal."""
        usage = self.cells[cell]
        if usage.in_flight < self._in_flight_share(cell, limit):
            return True
        usage.refused += 1
        return False

    def take_rate_token(
        self, cell: str, *, limit_per_s: float, now_ms: int
    ) -> bool:
        """Takes a token from the rate share; False if none is left."""
        usage = self.cells[cell]
        share = self._rate_share(cell, limit_per_s)
        burst = max(1.0, share * BURST_S)
        if usage.refilled_at_ms < 0:
            usage.tokens = burst
        else:
            elapsed_ms = now_ms - usage.refilled_at_ms
            usage.tokens = min(burst, usage.tokens + share * elapsed_ms / 1000)
        usage.refilled_at_ms = now_ms
        if usage.tokens < 1.0:
            return False
        usage.tokens -= 1.0
        return True

    def rate_wait_ms(self, cell: str, *, limit_per_s: float) -> int:
        """Returns how long until the rate share lets one more through."""
        share = self._rate_share(cell, limit_per_s)
        if share <= 0:
            return NO_SHARE_WAIT_MS
        missing = 1.0 - self.cells[cell].tokens
        return min(NO_SHARE_WAIT_MS, math.ceil(missing / share * 1000))

    def arrival_ratio(self, cell: str) -> float:
        """Returns all daemons' arrivals divided by this one's, at least 1."""
        own_per_s = self.cells[cell].rate_per_s
        reported = self.reported[cell]
        if own_per_s <= 0.0 or not reported:
            return 1.0
        others_per_s = sum(
            demand.rate_per_s
            for name, demand in reported.items()
            if name != self.daemon
        )
        return min(
            1.0 + others_per_s / own_per_s, float(max(1, len(self.live)))
        )

    def record_peer_demand(
        self, *, daemon: str, cell: str, demand: float, rate_per_s: float
    ) -> None:
        """Records a peer's demand for a cell."""
        if demand or rate_per_s:
            self.reported[cell][daemon] = ReportedDemand(demand, rate_per_s)
        else:
            self.reported[cell].pop(daemon, None)

    def forget_peer(self, daemon: str) -> None:
        """Drops a peer's demand, so that its share returns to the others."""
        for by_daemon in self.reported.values():
            by_daemon.pop(daemon, None)

    def update_demand(self, now_ms: int) -> None:
        """Ends the demand window if it is over; called on each tick."""
        span_ms = now_ms - self._window_start_ms
        if span_ms < WINDOW_MS:
            return
        self._window_start_ms = now_ms
        self._window += 1
        for cell, usage in self.cells.items():
            rate_per_s = usage.arrivals * 1000 / span_ms
            usage.rate_per_s += SMOOTHING * (rate_per_s - usage.rate_per_s)
            demand = float(usage.peak + usage.refused)
            usage.demand += SMOOTHING * (demand - usage.demand)
            usage.arrivals = 0
            usage.refused = 0
            usage.peak = usage.in_flight
            self.reported[cell][self.daemon] = ReportedDemand(
                usage.demand, usage.rate_per_s
            )

    def _in_flight_share(self, cell: str, limit: int) -> int:
        demands = {
            name: reported.demand
            for name, reported in self._demand_by_daemon(cell).items()
        }
        exact_shares = _split_limit(float(limit), demands)
        share = _round_shares(exact_shares, limit)[self.daemon]
        return int(self._delay_growth(cell, share))

    def _rate_share(self, cell: str, limit_per_s: float) -> float:
        rates = {
            name: reported.rate_per_s
            for name, reported in self._demand_by_daemon(cell).items()
        }
        share = _split_limit(limit_per_s, rates)[self.daemon]
        return self._delay_growth(cell + RATE_SUFFIX, share)

    def _delay_growth(self, cell: str, share: float) -> float:
        """Returns the smallest share of the last windows and this one."""
        recent = self._recent[cell]
        if recent and recent[-1][0] == self._window:
            recent[-1] = (self._window, min(recent[-1][1], share))
        else:
            recent.append((self._window, share))
        oldest = self._window - GROWTH_DELAY_WINDOWS
        return min(value for window, value in recent if window >= oldest)

    def _demand_by_daemon(self, cell: str) -> dict[str, ReportedDemand]:
        reported = self.reported[cell]
        no_demand = ReportedDemand(0.0, 0.0)
        # Among hundreds of daemons, few receive a cell's requests; each of the
        # others would hold an unused part of the cell's limit.
        is_mesh = len(self.live) <= assignment.MESH_LIMIT
        involved = self.groups[cell] | reported.keys()
        daemons = (self.live if is_mesh else involved) | {self.daemon}
        return {name: reported.get(name, no_demand) for name in sorted(daemons)}


def _split_limit(limit: float, demands: dict[str, float]) -> dict[str, float]:
    """Returns each daemon's share; the shares add up to the limit."""
    total = sum(demands.values())
    if total > 0 and total >= limit:
        return {
            name: limit * demand / total for name, demand in demands.items()
        }
    free = limit - total
    even_part = free * (EVEN_SPLIT_RATIO if total else 1.0) / len(demands)
    growth_ratio = free * (1.0 - EVEN_SPLIT_RATIO) / total if total else 0.0
    return {
        name: demand + even_part + growth_ratio * demand
        for name, demand in demands.items()
    }


def _round_shares(exact_shares: dict[str, float], limit: int) -> dict[str, int]:
    """Rounds shares to whole requests that still add up to the limit.

    Rounding each share up would pass the limit by the number of daemons,
    rounding each down would leave a part unused; the largest remainders get
    what is left, in the same order on every daemon.
    """
    rounded = {name: int(share + 1e-9) for name, share in exact_shares.items()}
    unassigned = limit - sum(rounded.values())
    by_remainder = sorted(
        exact_shares,
        key=lambda name: (rounded[name] - exact_shares[name], name),
    )
    for name in by_remainder[: max(0, unassigned)]:
        rounded[name] += 1
    return rounded


__all__ = ["CellUsage", "ReportedDemand", "Shares"]
