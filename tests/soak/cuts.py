"""Seeded soak sessions in which daemons are cut off from servers.

`cd tests && python -m soak.cuts SEED [COUNT [DAEMONS [BUSY]]]` plays seeds by
hand. Paths are cut in all modes, to all servers or some, at a few daemons or at
all but one, for seconds or on and off, while daemons are killed and paused, the
store is silent, servers decline and become brittle. What ran is counted at the
servers.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import sys
import time

from cluster.platform import Platform
from soak import repeats

# Limits that operators set.
STABLE_S = 3.0
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50
MIN_SHARE_OF_OTHERS = 2 / 3
MAX_FALLS = 2
MAX_FALLS_SHARE = 0.1
MODES = ("hang", "reset", "linger", "deaf")
ONCE = ("confirm", "short")

CUTS = repeats.Plan(
    requests=("release", "confirm", "long", "short"),
    faults=(
        "cut_some",
        "cut_some",
        "cut_service",
        "cut_most",
        "cut_flapping",
        "kill_one",
        "pause",
        "store_silent",
        "decline",
        "lose_answers",
    ),
    fault_gaps_s=(1.5, 4.0),
    initial_calm_s=2.0,
)
BRITTLE = repeats.Plan(
    requests=("release", "confirm", "release", "short"),
    faults=("become_brittle", "kill_one", "pause", "cut_some"),
    fault_gaps_s=(2.0, 5.0),
    initial_calm_s=2.0,
    request_gap_s=(0.01, 0.1),
)


@dataclasses.dataclass(frozen=True)
class Try:
    """A caller's first try."""

    name: str
    kind: str
    daemon: int
    at_s: float
    result: str


@dataclasses.dataclass(frozen=True)
class CutPeriod:
    """A time in which daemons reached no server."""

    daemons: frozenset[int]
    from_s: float
    to_s: float


@dataclasses.dataclass(frozen=True)
class BrittlePeriod:
    """A time in which servers were brittle."""

    servers: tuple[str, ...]
    from_s: float
    to_s: float


class Session(repeats.Session):
    """Plays one seed and lists the promises that were broken."""

    async def play(self) -> list[str]:
        """Plays the session and returns the violations."""
        self.tries: list[Try] = []
        self.cut_periods: list[CutPeriod] = []
        self.brittle_periods: list[BrittlePeriod] = []
        self.served_in_cuts: list[tuple[int, int, int, int]] = []
        self._cuts: collections.Counter[int] = collections.Counter()
        return await super().play()

    def _create_platform(self) -> Platform:
        return Platform(
            daemons=self.daemons,
            engines=repeats.ENGINES,
            services=repeats.SERVICES,
            can_cut=True,
        )

    async def _send_crashing_requests(self) -> None:
        """Sends none: no server crashes on a request here."""

    async def _send_request(self, name: str, kind: str, body: bytes) -> str:
        at_s = time.monotonic()
        result = await super()._send_request(name, kind, body)
        daemon = self.daemon_by_request[name]
        self.tries.append(Try(name, kind, daemon, at_s, result))
        return result

    def _uncut(self) -> list[int]:
        return [n for n in range(self.daemons) if not self._cuts[n]]

    def _choose_uncut(self, most: int) -> list[int]:
        """Returns daemons to cut off; at least one is left."""
        free = self._uncut()
        count = min(most, len(free) - 1)
        return self.rng.sample(free, count) if count > 0 else []

    async def _hold_cut(
        self,
        chosen: list[int],
        *,
        seconds: float,
        servers: list[str] | None = None,
    ) -> None:
        mode = self.rng.choice(MODES)
        self.faults.append(f"  {mode} {chosen} {servers or 'all'}")
        for number in chosen:
            self._cuts[number] += 1
            self.fleet.cut(number, mode, servers)
        from_s = time.monotonic()
        await asyncio.sleep(seconds)
        for number in chosen:
            self.fleet.heal(number)
            self._cuts[number] -= 1
        if servers is None:
            self.cut_periods.append(
                CutPeriod(frozenset(chosen), from_s, time.monotonic())
            )

    async def _cut_some(self) -> None:
        chosen = self._choose_uncut(self.rng.randint(1, self.daemons // 2))
        await self._hold_cut(chosen, seconds=self.rng.uniform(4.0, 8.0))

    async def _cut_most(self) -> None:
        chosen = self._choose_uncut(self.daemons - 1)
        await self._hold_cut(chosen, seconds=self.rng.uniform(4.0, 6.0))

    async def _cut_service(self) -> None:
        plain = self.rng.random() < 0.5
        servers = [
            name
            for name, replica in self.fleet.replicas.items()
            if plain is not bool(replica.model)
        ]
        chosen = self._choose_uncut(self.daemons // 2)
        await self._hold_cut(
            chosen, seconds=self.rng.uniform(3.0, 6.0), servers=servers
        )

    async def _cut_flapping(self) -> None:
        chosen = self._choose_uncut(2)
        for _ in range(self.rng.randint(3, 8)):
            await self._hold_cut(chosen, seconds=self.rng.uniform(0.1, 0.9))
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))

    async def _become_brittle(self) -> None:
        plain = [r for r in self.fleet.replicas.values() if not r.model]
        tolerance = self.rng.choice((1, 5, 20))
        for replica in plain:
            replica.slots = 4
            replica.work_s = 0.05
            replica.brittle = tolerance
        from_s = time.monotonic()
        await asyncio.sleep(self.rng.uniform(5.0, 8.0))
        for replica in plain:
            replica.brittle = -1
        self.brittle_periods.append(
            BrittlePeriod(
                tuple(r.instance for r in plain), from_s, time.monotonic()
            )
        )

    def _check(self) -> None:
        super()._check()
        self._check_truth()
        for period in self.cut_periods:
            self._check_served(period)
        for brittle_period in self.brittle_periods:
            self._check_falls(brittle_period)

    def _check_truth(self) -> None:
        runs = collections.Counter(
            ran.request_id
            for replica in self.fleet.replicas.values()
            for ran in replica.ran
        )
        for tried in self.tries:
            if tried.kind not in ONCE:
                continue
            if runs[tried.name] > 1:
                self.violations.append(f"{tried} ran {runs[tried.name]} times")
            if tried.result == "503" and runs[tried.name]:
                self.violations.append(f"{tried} was refused and ran")

    def _check_served(self, period: CutPeriod) -> None:
        """Compares first tries at daemons cut off with those at others."""
        tries = [
            tried
            for tried in self.tries
            if period.from_s + STABLE_S <= tried.at_s < period.to_s
            and self._is_undisturbed(tried.daemon, tried.at_s)
        ]
        cut = [t for t in tries if t.daemon in period.daemons]
        others = [t for t in tries if t.daemon not in period.daemons]
        served_cut = sum(t.result == "200" for t in cut)
        served_others = sum(t.result == "200" for t in others)
        counts = (served_cut, len(cut), served_others, len(others))
        self.served_in_cuts.append(counts)
        if not cut or not others:
            return
        share = served_cut / len(cut)
        failed = len(cut) - served_cut
        allowed = MAX_FAILED + MAX_FAILED_SHARE * len(tries)
        if (
            share < MIN_SHARE_OF_OTHERS * served_others / len(others)
            and failed > allowed
        ):
            reasons = collections.Counter(
                (t.kind, t.result) for t in cut if t.result != "200"
            )
            self.violations.append(
                f"daemons cut off served {served_cut} of {len(cut)}, the others"
                f" {served_others} of {len(others)}; {reasons}"
            )

    def _check_falls(self, period: BrittlePeriod) -> None:
        falls = sum(
            period.from_s + STABLE_S <= at_s < period.to_s
            for name in period.servers
            for at_s in self.fleet.replicas[name].falls_s
        )
        if falls > MAX_FALLS + MAX_FALLS_SHARE * len(period.servers):
            self.violations.append(f"brittle servers fell over {falls} times")

    def summary(self) -> str:
        """Summarizes the counts of the finished session."""
        falls = sum(len(r.falls_s) for r in self.fleet.replicas.values())
        return f"cuts {self.served_in_cuts}, {falls} falls"


def create(seed: int, *, daemons: int, busy: int = 0) -> Session:
    """Returns a session; every third one has brittle servers."""
    plan = BRITTLE if seed % 3 == 2 else CUTS
    return Session(seed, daemons=daemons, busy=busy, plan=plan)


if __name__ == "__main__":
    sys.exit(repeats.play_seeds(create))
