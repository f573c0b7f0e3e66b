"""What is promised of weights on a large fleet, looked at all the time."""

from __future__ import annotations

import collections
import contextlib

from sim import loading_engines, sent_orders

# The operators allow a request on replaced weights for so long after a naming,
# and the fleet for longer, in which a tenth of it may be behind.
USE_S = 10.0
FLEET_S = 14.0
BEHIND_PART = 0.1
# A load and the runs that end before it take no longer: after so long without
# trouble no engine is under load that its lead has lost sight of.
LOAD_LIMIT_S = 4.0


class Promises:
    """Times without trouble, and what was broken in them."""

    def __init__(self, fleet: loading_engines.EngineFleet) -> None:
        self.fleet = fleet
        # By version: when it was named, and the quiet time up to then.
        self.named_s: dict[int, float] = {1: 0.0}
        self.quiet_at_naming_s: dict[int, float] = {1: 0.0}
        self.troubles: collections.Counter[str] = collections.Counter()
        self.calm_since_s = 0.0
        self.quiet_s = 0.0
        self.two_at_once: list[str] = []
        self.cut: list[str] = []
        self.crowded: list[str] = []
        self.too_old: dict[tuple[str, int], float] = {}
        self.behind: dict[int, int] = {}
        self.longest_old_s = 0.0
        self.longest_behind_s = 0.0

    @property
    def last_named(self) -> int:
        """The version wanted now."""
        return max(self.named_s)

    def name(self, now_s: float) -> None:
        """Notes that the next version is named."""
        version = self.last_named + 1
        self.named_s[version] = now_s
        self.quiet_at_naming_s[version] = self.quiet_s

    @contextlib.contextmanager
    def trouble(self, kind: str):
        """Holds for as long as a trouble of leads, store or orders lasts."""
        self.troubles[kind] += 1
        try:
            yield
        finally:
            self.troubles[kind] -= 1

    def disturbed(self, now_s: float) -> None:
        """Notes a trouble of a moment, such as the death of a lead."""
        self.calm_since_s = now_s

    def ordered(
        self, engine: loading_engines.Engine, order: sent_orders.SentOrder
    ) -> None:
        """Checks an order against those that other holders sent before."""
        self.two_at_once += sent_orders.conflicts(
            engine.name, engine.sent, order
        )
        engine.sent.append(order)

    def worked(self, engine: loading_engines.Engine, now_s: float) -> None:
        """Checks that no request is sent where weights are loaded.

        It would find other weights than it was sent for.
        """
        calm = now_s - self.calm_since_s > LOAD_LIMIT_S
        if engine.loads and not engine.is_late and calm:
            self.cut.append(f"{engine.name} at {now_s:.2f}")

    def look(self, now_s: float) -> None:
        """Looks at all engines, once a tick."""
        if +self.troubles:
            self.calm_since_s = now_s
        elif not any(engine.is_dark(now_s) for engine in self.fleet):
            self.quiet_s += loading_engines.TICK_S
        self._look_at_loads(now_s)
        for engine in self.fleet:
            self._look_at_age(engine, now_s)
        for version, quiet_s in self.quiet_at_naming_s.items():
            self._look_at_naming(version, self.quiet_s - quiet_s, now_s)

    def _look_at_loads(self, now_s: float) -> None:
        loading = sum(
            bool(engine.loads)
            and not engine.is_late
            and not engine.is_dark(now_s)
            for engine in self.fleet
        )
        if loading > self.fleet.most_loading:
            self.crowded.append(f"{loading} load at {now_s:.2f}")

    def _look_at_age(
        self, engine: loading_engines.Engine, now_s: float
    ) -> None:
        newer_s = self.named_s.get(engine.version + 1)
        if newer_s is None or engine.is_dark(now_s):
            return
        since_s = max(newer_s, self.calm_since_s, engine.up_since_s)
        old_s = now_s - since_s
        self.longest_old_s = max(self.longest_old_s, old_s)
        if old_s > USE_S:
            self.too_old.setdefault((engine.name, engine.version), now_s)

    def _look_at_naming(
        self, version: int, quiet_s: float, now_s: float
    ) -> None:
        behind = sum(
            engine.version < version and not engine.is_dark(now_s)
            for engine in self.fleet
        )
        if behind <= BEHIND_PART * len(self.fleet):
            return
        self.longest_behind_s = max(self.longest_behind_s, quiet_s)
        if quiet_s > FLEET_S:
            self.behind.setdefault(version, behind)
