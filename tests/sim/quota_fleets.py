"""Simulated fleets that admit one workspace's requests under its quota.

Decisions are those of `limit.quota`; callers, the network and the detection of
lost contact are small models on virtual time.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
from typing import TYPE_CHECKING

from godwittack.limit import buckets, quota

if TYPE_CHECKING:
    from collections.abc import Callable

WORKSPACE = "desk"
STEP_MS = 10
TICK_MS = 50
START_MS = 16_000
RUN_MS = 26_000
FAULT_MS = START_MS + 8_000
# Time until a daemon notices how much of the fleet it is in contact with.
REACH_DELAY_MS = 1_000
SIZES = (60, 120, 150, 200, 250, 300, 1_600, 200, 120, 150)
MEAN_SIZE = sum(SIZES) / len(SIZES)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """One session.

    Attributes:
        load_factor: Use that callers ask for, relative to the quota.
        hop_ms: How long all requests come at one daemon before they move to
            another; 0 if they come at all daemons.
        fault: What happens from `FAULT_MS` on.
        fault_part: Part of the daemons that it affects.
        size_factor: Size of requests, relative to `SIZES`.
        delay_ms: Longest time that a report takes.
        lost: Part of the reports that arrive a second later.
    """

    daemons: int
    load_factor: float = 3.0
    hop_ms: int = 0
    fault: str = ""
    fault_part: float = 0.34
    size_factor: int = 1
    limit: quota.Quota = dataclasses.field(
        default_factory=lambda: quota.Quota(per_s=10_000.0, burst=10_000.0)
    )
    tolerance: quota.Tolerance = dataclasses.field(
        default_factory=lambda: quota.Tolerance(slack=6_000.0)
    )
    delay_ms: int = 60
    lost: float = 0.0


class Fleet:
    """Daemons that report to each other what they admit."""

    def __init__(self, plan: Plan, *, seed: int) -> None:
        self.plan = plan
        self.limit = plan.limit
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.admitted: list[tuple[int, int]] = []
        self.refused = 0
        self.asked = 0
        self.reports = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_count = 0
        self._starts = 0
        self._frozen: set[int] = set()
        self._backlog: list[tuple[int, int]] = []
        self._cut: set[int] = set()
        self._current = 0
        self.daemons: dict[int, buckets.Buckets] = {}
        self.names: dict[int, str] = {}
        for number in range(plan.daemons):
            self.start(number)

    def start(self, number: int) -> None:
        """Starts a daemon without any state."""
        self._starts += 1
        self.names[number] = f"d{number}@{self._starts}"
        daemon = buckets.Buckets(tolerance=self.plan.tolerance)
        daemon.start_listening(self.now_ms)
        self.daemons[number] = daemon
        self._set_reach(number)

    def after(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Runs an action later."""
        self._event_count += 1
        heapq.heappush(
            self._events, (self.now_ms + delay_ms, self._event_count, action)
        )

    def play(self) -> Fleet:
        """Plays the whole session."""
        if self.plan.fault:
            getattr(self, f"_plan_{self.plan.fault}")()
        due = 0.0
        per_ms = self.limit.per_s * self.plan.load_factor / 1000
        while self.now_ms < START_MS + RUN_MS:
            self.now_ms += STEP_MS
            while self._events and self._events[0][0] <= self.now_ms:
                heapq.heappop(self._events)[2]()
            if self.now_ms % TICK_MS == 0:
                self._tick()
            if self.now_ms < START_MS:
                continue
            due += per_ms * STEP_MS
            while due > 0:
                size = self.rng.choice(SIZES) * self.plan.size_factor
                due -= size
                self._ask(self._choose(), size)
        return self

    def worst_window(self, limit: quota.Quota | None = None) -> float:
        """Returns the largest use in a window against its bound."""
        return self.worst_window_from(START_MS, limit or self.plan.limit)

    def worst_window_from(self, since_ms: int, limit: quota.Quota) -> float:
        """Returns the same for windows that begin later."""
        tolerance = self.plan.tolerance
        bound = tolerance.allowed(limit) + tolerance.excess(limit)
        window_ms = tolerance.window_s * 1000
        worst = total = first = 0
        rows = [row for row in self.admitted if row[0] >= since_ms]
        for at_ms, units in rows:
            total += units
            while rows[first][0] <= at_ms - window_ms:
                total -= rows[first][1]
                first += 1
            worst = max(worst, total)
        return worst / bound

    def use(self) -> float:
        """Returns the use of the quota in the later seconds."""
        since_ms = START_MS + 10_000
        used = sum(units for at_ms, units in self.admitted if at_ms > since_ms)
        span_s = (START_MS + RUN_MS - since_ms) / 1000
        return used / (self.limit.per_s * span_s)

    def _choose(self) -> int:
        if not self.plan.hop_ms:
            return self.rng.choice(list(self.daemons))
        turn = self.now_ms // self.plan.hop_ms
        if turn != self._current:
            self._current = turn
            self._at = self.rng.choice(list(self.daemons))
        return self._at

    _at = 0

    def _ask(self, number: int, size: int) -> None:
        self.asked += 1
        if number in self._frozen:
            self._backlog.append((number, size))
            return
        verdict = self.daemons[number].admit(
            WORKSPACE, self.limit, units=size, now_ms=self.now_ms
        )
        if verdict.is_admitted:
            self.admitted.append((self.now_ms, size))
        else:
            self.refused += 1
            assert verdict.retry_after_ms > 0

    def _tick(self) -> None:
        for number, daemon in self.daemons.items():
            if number in self._frozen:
                continue
            for usage in daemon.due_reports(self.now_ms):
                self._report(number, usage)
            if self.now_ms % 400 == 0:
                self._set_reach(number)

    def _report(self, sender: int, usage: quota.Usage) -> None:
        name = self.names[sender]
        for number in list(self.daemons):
            if number == sender or not self._reaches(sender, number):
                continue
            self.reports += 1
            delay_ms = self.rng.randint(5, self.plan.delay_ms)
            if self.rng.random() < self.plan.lost:
                delay_ms += 1_000
            self.after(
                delay_ms,
                lambda number=number: self._deliver(number, name, usage),
            )

    def _deliver(self, number: int, name: str, usage: quota.Usage) -> None:
        if number in self._frozen:
            self.after(100, lambda: self._deliver(number, name, usage))
        elif number in self.daemons:
            self.daemons[number].apply_report(
                name, usage, self.limit, now_ms=self.now_ms
            )

    def _reaches(self, one: int, other: int) -> bool:
        return (one in self._cut) == (other in self._cut) and not (
            self.plan.fault == "cut" and one in self._cut
        )

    def _set_reach(self, number: int) -> None:
        others = [n for n in self.daemons if n != number]
        reached = sum(self._reaches(number, other) for other in others)
        part = (1 + reached) / self.plan.daemons

        def apply() -> None:
            if number in self.daemons and number not in self._frozen:
                self.daemons[number].set_reach(
                    part,
                    daemons=self.plan.daemons,
                    own_part=1 / self.plan.daemons,
                    now_ms=self.now_ms,
                )

        self.after(REACH_DELAY_MS if self._cut else 0, apply)

    def _affected(self) -> list[int]:
        count = max(1, round(self.plan.daemons * self.plan.fault_part))
        return list(range(count))

    def _plan_killed(self) -> None:
        def kill() -> None:
            self.daemons.clear()
            for number in range(self.plan.daemons):
                self.start(number)

        self.after(FAULT_MS, kill)

    def _plan_rolling(self) -> None:
        for number in range(min(12, self.plan.daemons)):
            self.after(
                FAULT_MS + 1_200 * number, lambda n=number: self.start(n)
            )

    def _plan_frozen(self) -> None:
        def freeze() -> None:
            self._frozen.update(self._affected())

        def wake() -> None:
            self._frozen.clear()
            # A daemon reads its callers before the reports that wait.
            for number, size in self._backlog[-200:]:
                self._ask(number, size)

        self.after(FAULT_MS, freeze)
        self.after(FAULT_MS + 4_000, wake)

    def _plan_cut(self) -> None:
        self.after(FAULT_MS, lambda: self._cut.update(self._affected()))
        self.after(FAULT_MS + 6_000, self._cut.clear)

    _plan_parted = _plan_cut

    def _plan_lowered(self) -> None:
        def lower() -> None:
            half = self.plan.limit.per_s / 2
            self.limit = quota.Quota(per_s=half, burst=half)

        self.after(FAULT_MS, lower)


__all__ = ["FAULT_MS", "Fleet", "Plan"]
