"""Simulated fleets that repeat requests while their membership changes."""

from __future__ import annotations

import dataclasses
import random

from cases import routed_core
from godwittack.core import effects, inputs

STEP_MS = 20
WINDOW_MS = 10_000
MAX_VIEW_DELAY_MS = 2_000
DECLINED = inputs.FailurePhase.DECLINED


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Rate of requests, share declined by servers, and budget of repeats."""

    requests_per_s: float = 144.0
    declined_share: float = 0.7
    ratio: float = 0.2
    slack: float = 166.0


class Daemon:
    """One daemon: a core whose membership view may lag."""

    def __init__(self, fleet: Fleet, address: int) -> None:
        self.address = address
        self.name = f"d{address}.{fleet.starts}"
        self.part = 0
        self.core = routed_core.Core(
            servers=4,
            started_at_ms=fleet.now_ms,
            retry_ratio=fleet.load.ratio * 0.75,
            retry_burst=fleet.load.slack,
        )
        self.core.world.daemon = self.name
        self.view_due_ms = -1

    def apply_view(self, live: tuple[str, ...], expected: int) -> None:
        """Applies a membership view."""
        self.core.tell(inputs.MembersChanged, live, (), expected)


class Fleet:
    """Daemons that callers choose at random, and the times of all sends."""

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
        # Addresses of all daemons that are expected to run.
        self.addresses: set[int] = set()
        for address in range(daemons):
            self.start(address)

    def start(self, address: int) -> None:
        """Starts or restarts a daemon at an address."""
        self.starts += 1
        self.addresses.add(address)
        self.running[address] = Daemon(self, address)
        self._schedule_views()

    def kill(self, share: float = 1.0) -> list[int]:
        """Ends a share of the daemons; returns their addresses."""
        count = round(share * len(self.running))
        killed = self.rng.sample(sorted(self.running), count)
        for address in killed:
            del self.running[address]
        self._schedule_views()
        return killed

    def replace(self, address: int, successor: int) -> None:
        """Removes a daemon and starts a successor at another address."""
        self.running.pop(address, None)
        self.start(successor)

    def partition(self, parts: int) -> None:
        """Partitions the daemons at random; views end at the partition."""
        for daemon in self.running.values():
            daemon.part = self.rng.randrange(parts)
        self._schedule_views()

    def play(self, ms: int) -> None:
        """Sends requests for a period of virtual time."""
        ends_ms = self.now_ms + ms
        while self.now_ms < ends_ms:
            self.now_ms += STEP_MS
            for daemon in self.running.values():
                self._deliver_view(daemon)
            arrivals = self.load.requests_per_s * STEP_MS / 1000
            count = int(arrivals) + (self.rng.random() < arrivals % 1)
            for _ in range(count):
                self._send_request()

    def excess(self) -> float:
        """Returns by how much repeats of the worst window exceed the budget."""
        worst = -self.load.slack
        for start_ms in range(0, self.now_ms, 250):
            repeats = _count_in_window(self.repeats_ms, start_ms)
            requests = max(
                _count_in_window(self.requests_ms, start_ms - before_ms)
                for before_ms in (0, WINDOW_MS // 2, WINDOW_MS)
            )
            allowed = self.load.ratio * requests + self.load.slack
            worst = max(worst, repeats - allowed)
        return worst

    def _schedule_views(self) -> None:
        for daemon in self.running.values():
            delay_ms = self.rng.randrange(MAX_VIEW_DELAY_MS)
            daemon.view_due_ms = self.now_ms + delay_ms

    def _deliver_view(self, daemon: Daemon) -> None:
        if not 0 <= daemon.view_due_ms <= self.now_ms:
            return
        daemon.view_due_ms = -1
        daemon.core.now_ms = self.now_ms
        live = sorted(
            other.name
            for other in self.running.values()
            if other.part == daemon.part
        )
        daemon.apply_view(tuple(live), len(self.addresses))

    def _send_request(self) -> None:
        self.requests_ms.append(self.now_ms)
        if not self.running:
            return
        daemon = self.rng.choice(list(self.running.values()))
        core = daemon.core
        core.now_ms = self.now_ms
        core.arrive("release", f"r{len(self.requests_ms)}")
        is_first = True
        while dispatches := core.find(effects.Dispatch):
            if not is_first:
                self.repeats_ms.append(self.now_ms)
            is_first = False
            if self.rng.random() < self.load.declined_share:
                core.fail(dispatches[0], DECLINED, inputs.FailureCause.REFUSED)
            else:
                core.answer(dispatches[0])


def _count_in_window(moments_ms: list[int], start_ms: int) -> int:
    return sum(start_ms <= at_ms < start_ms + WINDOW_MS for at_ms in moments_ms)


__all__ = ["Fleet", "Load"]
