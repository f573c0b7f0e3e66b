"""Fleets of cores that repeat requests, while daemons come, go and part."""

from __future__ import annotations

import dataclasses
import random

from cases import routed_core
from godwittack.core import effects, inputs

STEP_MS = 20
WINDOW_MS = 10_000
LONGEST_NEWS_MS = 2_000
DECLINED = inputs.FailurePhase.DECLINED


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """What callers send and servers decline, and what is allowed."""

    requests_per_s: float = 144.0
    declined: float = 0.7
    ratio: float = 0.2
    slack: float = 166.0


class Daemon:
    """One process: a core with its view, which may be late."""

    def __init__(self, fleet: Fleet, address: int) -> None:
        self.address = address
        self.name = f"d{address}.{fleet.starts}"
        self.side = 0
        self.core = routed_core.Core(
            servers=4,
            started_at_ms=fleet.now_ms,
            retry_ratio=fleet.load.ratio * 0.75,
            retry_burst=fleet.load.slack,
        )
        self.core.world.daemon = self.name
        self.told_at_ms = -1

    def hear(self, live: tuple[str, ...], known: int) -> None:
        """Takes in a view."""
        self.core.submit(inputs.MembersChanged, live, (), known)


class Fleet:
    """Daemons that callers choose at random, and every send they make."""

    def __init__(
        self, *, seed: int, daemons: int, load: Load | None = None
    ) -> None:
        self.rng = random.Random(seed)
        self.load = load or Load()
        self.now_ms = 0
        self.starts = 0
        self.requests_ms: list[int] = []
        self.repeats_ms: list[int] = []
        self.running: dict[int, Daemon] = {}
        # Addresses of daemons that should be there, as the living know them.
        self.addresses: set[int] = set()
        for address in range(daemons):
            self.start(address)

    def start(self, address: int) -> None:
        """Starts a daemon, anew where it ran before."""
        self.starts += 1
        self.addresses.add(address)
        self.running[address] = Daemon(self, address)
        self._views_change()

    def kill(self, share: float = 1.0) -> list[int]:
        """Ends a share of the daemons; returns their addresses."""
        count = round(share * len(self.running))
        killed = self.rng.sample(sorted(self.running), count)
        for address in killed:
            del self.running[address]
        self._views_change()
        return killed

    def replace(self, address: int, successor: int) -> None:
        """Has another daemon come in the place of one that is gone."""
        self.running.pop(address, None)
        self.start(successor)

    def part(self, sides: int) -> None:
        """Cuts the daemons into sides that don't hear of each other."""
        for daemon in self.running.values():
            daemon.side = self.rng.randrange(sides)
        self._views_change()

    def play(self, ms: int) -> None:
        """Lets callers send for a while."""
        ends_ms = self.now_ms + ms
        while self.now_ms < ends_ms:
            self.now_ms += STEP_MS
            for daemon in self.running.values():
                self._tell_view(daemon)
            arrivals = self.load.requests_per_s * STEP_MS / 1000
            count = int(arrivals) + (self.rng.random() < arrivals % 1)
            for _ in range(count):
                self._ask()

    def excess(self) -> float:
        """Returns by how much the worst window exceeds what is allowed."""
        worst = -self.load.slack
        for start_ms in range(0, self.now_ms, 250):
            repeats = _between(self.repeats_ms, start_ms)
            requests = max(
                _between(self.requests_ms, start_ms - before_ms)
                for before_ms in (0, WINDOW_MS // 2, WINDOW_MS)
            )
            allowed = self.load.ratio * requests + self.load.slack
            worst = max(worst, repeats - allowed)
        return worst

    def _views_change(self) -> None:
        for daemon in self.running.values():
            late_ms = self.rng.randrange(LONGEST_NEWS_MS)
            daemon.told_at_ms = self.now_ms + late_ms

    def _tell_view(self, daemon: Daemon) -> None:
        if not 0 <= daemon.told_at_ms <= self.now_ms:
            return
        daemon.told_at_ms = -1
        daemon.core.now_ms = self.now_ms
        live = sorted(
            other.name
            for other in self.running.values()
            if other.side == daemon.side
        )
        daemon.hear(tuple(live), len(self.addresses))

    def _ask(self) -> None:
        self.requests_ms.append(self.now_ms)
        if not self.running:
            return
        daemon = self.rng.choice(list(self.running.values()))
        core = daemon.core
        core.now_ms = self.now_ms
        core.arrive("release", f"r{len(self.requests_ms)}")
        is_first = True
        while sent := core.find(effects.Dispatch):
            if not is_first:
                self.repeats_ms.append(self.now_ms)
            is_first = False
            if self.rng.random() < self.load.declined:
                core.fail(sent[0], DECLINED, inputs.FailureCause.REFUSED)
            else:
                core.answer(sent[0])


def _between(moments_ms: list[int], start_ms: int) -> int:
    return sum(start_ms <= at_ms < start_ms + WINDOW_MS for at_ms in moments_ms)


__all__ = ["Fleet", "Load"]
