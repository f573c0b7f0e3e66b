"""`scripts/bench.sh limits`: a global limit shared by nine daemons."""

from __future__ import annotations

import argparse
import dataclasses
import heapq
import json
import pathlib
import random
import statistics

from godwittack.limit import shares

DAEMONS = 9
TICK_MS = 100
GOSSIP_MS = 500
CELL = "workspace/desk"
IN_FLIGHT_LIMIT = 200
RATE_LIMIT = 300.0
SERVICE_MS = 400
SEEDS = (1, 2, 3)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitFigures:
    """Results of a run, as fractions of the limit.

    Attributes:
        overshoot: Largest excess over the limit in any tick.
        overshoot_mean: Mean excess.
        use: Fraction of the limit used while demand was above it.
    """

    scene: str
    seed: int
    kind: str
    overshoot: float
    overshoot_mean: float
    use: float


class Fleet:
    """Daemons that exchange their demand once per gossip round."""

    def __init__(self, seed: int) -> None:
        """Starts without requests in flight."""
        self.rng = random.Random(seed)
        self.names = [f"d{n}" for n in range(DAEMONS)]
        self.now_ms = 0
        self.live = set(self.names)
        self.partitioned: set[str] = set()
        self.shares = {name: self._new_shares(name) for name in self.names}
        self.pending_ends: list[tuple[int, int, str]] = []
        self.request_count = 0
        self.accepted_in_tick = 0

    def step(self, demand_per_s: dict[str, float], *, kind: str) -> None:
        """Simulates a tick: arrivals, ends, and demand reports when due."""
        end_ms = self.now_ms + TICK_MS
        self.accepted_in_tick = 0
        while self.now_ms < end_ms:
            self.now_ms += 10
            self._finish_requests()
            for name in sorted(self.live):
                self._generate_arrivals(name, demand_per_s[name] / 100, kind)
        for name in self.live:
            self.shares[name].update_demand(self.now_ms)
        if self.now_ms % GOSSIP_MS == 0:
            self._exchange_demand()

    def kill(self, name: str) -> None:
        """Kills a daemon; its requests at the engines end with it."""
        self.live.discard(name)
        self.pending_ends = [d for d in self.pending_ends if d[2] != name]
        heapq.heapify(self.pending_ends)

    def start(self, name: str) -> None:
        """Starts a daemon with empty state."""
        self.live.add(name)
        self.shares[name] = self._new_shares(name)

    def update_membership(self, removed: str) -> None:
        """Removes a daemon's demand, if any, and updates all live sets."""
        for name in self.live:
            self.shares[name].forget_peer(removed)
            self.shares[name].live = frozenset(self.live)

    def in_flight(self) -> int:
        """Returns the number of running requests of all daemons."""
        return sum(self.shares[n].cells[CELL].in_flight for n in self.live)

    def _new_shares(self, name: str) -> shares.Shares:
        return shares.Shares(daemon=name, live=frozenset(self.live))

    def _generate_arrivals(
        self, name: str, mean_arrivals: float, kind: str
    ) -> None:
        share = self.shares[name]
        for _ in range(_poisson(self.rng, mean_arrivals)):
            share.record_arrival(CELL)
            if kind == "rate":
                is_accepted = share.take_rate_token(
                    CELL, limit_per_s=RATE_LIMIT, now_ms=self.now_ms
                )
                self.accepted_in_tick += is_accepted
                continue
            if not share.allows_request(CELL, limit=IN_FLIGHT_LIMIT):
                continue
            share.record_start(CELL)
            ends_ms = self.now_ms + int(self.rng.expovariate(1 / SERVICE_MS))
            self.request_count += 1
            heapq.heappush(
                self.pending_ends, (ends_ms, self.request_count, name)
            )

    def _finish_requests(self) -> None:
        while self.pending_ends and self.pending_ends[0][0] <= self.now_ms:
            _, _, name = heapq.heappop(self.pending_ends)
            self.shares[name].record_end(CELL)

    def _exchange_demand(self) -> None:
        for sender in self.live - self.partitioned:
            usage = self.shares[sender].cells[CELL]
            for receiver in self.live - self.partitioned - {sender}:
                self.shares[receiver].record_peer_demand(
                    daemon=sender,
                    cell=CELL,
                    demand=usage.demand,
                    rate_per_s=usage.rate_per_s,
                )


def run_scenario(scenario: str, seed: int, kind: str) -> LimitFigures:
    """Simulates one scenario for two minutes."""
    fleet = Fleet(seed)
    excesses: list[float] = []
    usages_under_load: list[float] = []
    rates: list[int] = []
    scale = (
        IN_FLIGHT_LIMIT * 1000 / SERVICE_MS
        if kind == "in_flight"
        else RATE_LIMIT
    )
    for tick in range(1200):
        demand = _demand(scenario, fleet, tick, scale)
        _inject_faults(scenario, fleet, tick)
        fleet.step(demand, kind=kind)
        if tick < 100:
            continue
        rates.append(fleet.accepted_in_tick)
        # A rate is averaged over a second.
        usage = (
            fleet.in_flight() / IN_FLIGHT_LIMIT
            if kind == "in_flight"
            else sum(rates[-10:]) / RATE_LIMIT
        )
        if kind == "rate" and len(rates) < 10:
            continue
        excesses.append(max(0.0, usage - 1.0))
        total_demand = sum(demand[name] for name in fleet.live)
        if total_demand > 1.2 * scale:
            usages_under_load.append(min(1.0, usage))
    return LimitFigures(
        scene=scenario,
        seed=seed,
        kind=kind,
        overshoot=max(excesses),
        overshoot_mean=statistics.mean(excesses),
        use=statistics.mean(usages_under_load) if usages_under_load else 1.0,
    )


SCENARIOS = ("skewed", "shifting", "deaths", "cut_off", "comes_back")


def main(arguments: list[str]) -> int:
    """Simulates all scenarios and prints medians over seeds."""
    parser = argparse.ArgumentParser(prog="bench limits")
    parser.add_argument("--json")
    options = parser.parse_args(arguments)
    runs = []
    print("scene        kind       worst excess  mean excess  use")
    for kind in ("in_flight", "rate"):
        for scenario in SCENARIOS:
            scenario_runs = [
                run_scenario(scenario, seed, kind) for seed in SEEDS
            ]
            runs.extend(scenario_runs)
            print(
                f"{scenario:12s} {kind:10s}"
                f" {_median(scenario_runs, 'overshoot'):11.1%}"
                f" {_median(scenario_runs, 'overshoot_mean'):12.2%}"
                f" {_median(scenario_runs, 'use'):6.1%}"
            )
    if options.json:
        report = {"runs": [dataclasses.asdict(run) for run in runs]}
        pathlib.Path(options.json).write_text(json.dumps(report, indent=1))
    return 0


def _demand(
    scenario: str, fleet: Fleet, tick: int, scale: float
) -> dict[str, float]:
    weights = {n: 1 / (i + 1) for i, n in enumerate(fleet.names)}
    if scenario == "shifting":
        rotation = tick // 100
        weights = {
            n: 1 / ((i + rotation) % DAEMONS + 1)
            for i, n in enumerate(fleet.names)
        }
    total = sum(weights.values())
    return {n: 1.5 * scale * w / total for n, w in weights.items()}


def _inject_faults(scenario: str, fleet: Fleet, tick: int) -> None:
    victim = fleet.names[1]
    if scenario in ("deaths", "comes_back"):
        if tick % 300 == 150:
            fleet.kill(victim)
        # Probes detect it some seconds later.
        if tick % 300 == 185:
            fleet.update_membership(victim)
        if scenario == "comes_back" and tick % 300 == 250:
            fleet.start(victim)
            fleet.update_membership("")
    if scenario == "cut_off":
        if tick % 300 == 150:
            fleet.partitioned.add(victim)
        if tick % 300 == 185:
            # The others consider it dead; it serves until its serving lease
            # expires some seconds later.
            fleet.live.discard(victim)
            fleet.update_membership(victim)
            fleet.live.add(victim)
        if tick % 300 == 200:
            fleet.kill(victim)
        if tick % 300 == 250:
            fleet.partitioned.discard(victim)
            fleet.start(victim)
            fleet.update_membership("")


def _median(runs: list[LimitFigures], name: str) -> float:
    return statistics.median(getattr(run, name) for run in runs)


def _poisson(rng: random.Random, mean: float) -> int:
    count, elapsed = 0, rng.expovariate(1.0)
    while elapsed < mean:
        count += 1
        elapsed += rng.expovariate(1.0)
    return count


__all__ = ["LimitFigures", "main", "run_scenario"]
