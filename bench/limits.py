"""`scripts/bench.sh limits`: a global limit kept over nine daemons."""

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
LIMIT = 200
RATE_LIMIT = 300.0
SERVICE_MS = 400
SEEDS = (1, 2, 3)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitFigures:
    """What a run came to, as parts of the limit.

    Attributes:
        overshoot: Largest excess over the limit in any tick.
        overshoot_mean: Mean excess.
        use: Part of the limit used while demand was above it.
    """

    scene: str
    seed: int
    kind: str
    overshoot: float
    overshoot_mean: float
    use: float


class Fleet:
    """Daemons that tell each other their demand, a gossip round late."""

    def __init__(self, seed: int) -> None:
        """Starts with nobody in flight."""
        self.rng = random.Random(seed)
        self.names = [f"d{n}" for n in range(DAEMONS)]
        self.now_ms = 0
        self.live = set(self.names)
        self.cut: set[str] = set()
        self.shares = {name: self._new(name) for name in self.names}
        self.done: list[tuple[int, int, str]] = []
        self.count = 0
        self.accepted = 0

    def step(self, demand_per_s: dict[str, float], *, kind: str) -> None:
        """Lets one tick of requests arrive, end, and be told."""
        end_ms = self.now_ms + TICK_MS
        self.accepted = 0
        while self.now_ms < end_ms:
            self.now_ms += 10
            self._finish()
            for name in sorted(self.live):
                self._arrive(name, demand_per_s[name] / 100, kind)
        for name in self.live:
            self.shares[name].update_demand(self.now_ms)
        if self.now_ms % GOSSIP_MS == 0:
            self._gossip()

    def kill(self, name: str) -> None:
        """Ends a daemon; its requests at the engines end with it."""
        self.live.discard(name)
        self.done = [d for d in self.done if d[2] != name]
        heapq.heapify(self.done)

    def start(self, name: str) -> None:
        """Starts a daemon anew."""
        self.live.add(name)
        self.shares[name] = self._new(name)

    def notice(self, name: str) -> None:
        """Tells the others that a daemon is gone."""
        for other in self.live:
            self.shares[other].forget_peer(name)
            self.shares[other].live = frozenset(self.live)

    def in_flight(self) -> int:
        """Returns the requests running over all daemons."""
        return sum(self.shares[n].cells[CELL].in_flight for n in self.live)

    def _new(self, name: str) -> shares.Shares:
        return shares.Shares(daemon=name, live=frozenset(self.live))

    def _arrive(self, name: str, mean: float, kind: str) -> None:
        share = self.shares[name]
        for _ in range(_poisson(self.rng, mean)):
            share.record_arrival(CELL)
            if kind == "rate":
                taken = share.take_rate_token(
                    CELL, limit_per_s=RATE_LIMIT, now_ms=self.now_ms
                )
                self.accepted += taken
                continue
            if not share.allows_request(CELL, limit=LIMIT):
                continue
            share.record_start(CELL)
            ends_ms = self.now_ms + int(self.rng.expovariate(1 / SERVICE_MS))
            self.count += 1
            heapq.heappush(self.done, (ends_ms, self.count, name))

    def _finish(self) -> None:
        while self.done and self.done[0][0] <= self.now_ms:
            _, _, name = heapq.heappop(self.done)
            self.shares[name].record_end(CELL)

    def _gossip(self) -> None:
        for teller in self.live - self.cut:
            use = self.shares[teller].cells[CELL]
            for hearer in self.live - self.cut - {teller}:
                self.shares[hearer].record_peer_demand(
                    daemon=teller,
                    cell=CELL,
                    demand=use.demand,
                    rate_per_s=use.rate_per_s,
                )


def run_scene(scene: str, seed: int, kind: str) -> LimitFigures:
    """Plays one scene for two minutes."""
    fleet = Fleet(seed)
    excess: list[float] = []
    used: list[float] = []
    rates: list[int] = []
    scale = LIMIT * 1000 / SERVICE_MS if kind == "in_flight" else RATE_LIMIT
    for tick in range(1200):
        demand = _demand(scene, fleet, tick, scale)
        _trouble(scene, fleet, tick)
        fleet.step(demand, kind=kind)
        if tick < 100:
            continue
        rates.append(fleet.accepted)
        # A rate is looked at over a second.
        now = (
            fleet.in_flight() / LIMIT
            if kind == "in_flight"
            else sum(rates[-10:]) / RATE_LIMIT
        )
        if kind == "rate" and len(rates) < 10:
            continue
        excess.append(max(0.0, now - 1.0))
        wanted = sum(demand[name] for name in fleet.live)
        if wanted > 1.2 * scale:
            used.append(min(1.0, now))
    return LimitFigures(
        scene=scene,
        seed=seed,
        kind=kind,
        overshoot=max(excess),
        overshoot_mean=statistics.mean(excess),
        use=statistics.mean(used) if used else 1.0,
    )


SCENES = ("skewed", "shifting", "deaths", "cut_off", "comes_back")


def main(words: list[str]) -> int:
    """Plays all scenes and prints medians over seeds."""
    parser = argparse.ArgumentParser(prog="bench limits")
    parser.add_argument("--json")
    asked = parser.parse_args(words)
    runs = []
    print("scene        kind       worst excess  mean excess  use")
    for kind in ("in_flight", "rate"):
        for scene in SCENES:
            chosen = [run_scene(scene, seed, kind) for seed in SEEDS]
            runs.extend(chosen)
            print(
                f"{scene:12s} {kind:10s}"
                f" {_median(chosen, 'overshoot'):11.1%}"
                f" {_median(chosen, 'overshoot_mean'):12.2%}"
                f" {_median(chosen, 'use'):6.1%}"
            )
    if asked.json:
        told = {"runs": [dataclasses.asdict(run) for run in runs]}
        pathlib.Path(asked.json).write_text(json.dumps(told, indent=1))
    return 0


def _demand(
    scene: str, fleet: Fleet, tick: int, scale: float
) -> dict[str, float]:
    weights = {n: 1 / (i + 1) for i, n in enumerate(fleet.names)}
    if scene == "shifting":
        turn = tick // 100
        weights = {
            n: 1 / ((i + turn) % DAEMONS + 1) for i, n in enumerate(fleet.names)
        }
    total = sum(weights.values())
    return {n: 1.5 * scale * w / total for n, w in weights.items()}


def _trouble(scene: str, fleet: Fleet, tick: int) -> None:
    victim = fleet.names[1]
    if scene in ("deaths", "comes_back"):
        if tick % 300 == 150:
            fleet.kill(victim)
        # Noticed by probes some seconds later.
        if tick % 300 == 185:
            fleet.notice(victim)
        if scene == "comes_back" and tick % 300 == 250:
            fleet.start(victim)
            fleet.notice("")
    if scene == "cut_off":
        if tick % 300 == 150:
            fleet.cut.add(victim)
        if tick % 300 == 185:
            # The rest counts it as dead; it still serves, until it loses
            # its right after some seconds.
            fleet.live.discard(victim)
            fleet.notice(victim)
            fleet.live.add(victim)
        if tick % 300 == 200:
            fleet.kill(victim)
        if tick % 300 == 250:
            fleet.cut.discard(victim)
            fleet.start(victim)
            fleet.notice("")


def _median(runs: list[LimitFigures], name: str) -> float:
    return statistics.median(getattr(run, name) for run in runs)


def _poisson(rng: random.Random, mean: float) -> int:
    count, left = 0, rng.expovariate(1.0)
    while left < mean:
        count += 1
        left += rng.expovariate(1.0)
    return count


__all__ = ["LimitFigures", "main", "run_scene"]
