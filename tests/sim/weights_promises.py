"""Continuous checks of the promises about weights on a large fleet."""

from __future__ import annotations

import collections
import contextlib

from sim import loading_engines, sent_orders

# After a publication, operators allow requests on outdated weights for the
# first limit. Within the second one, at most a tenth of the fleet is outdated.
OUTDATED_USE_LIMIT_S = 10.0
ROLLOUT_LIMIT_S = 14.0
MAX_OUTDATED_SHARE = 0.1
# Upper bound for a load and the requests that end before it. After so long
# without disturbance, the lead knows of every load that is still running.
LOAD_LIMIT_S = 4.0


class Promises:
    """Measures undisturbed time and records violations that occur in it."""

    def __init__(self, fleet: loading_engines.EngineFleet) -> None:
        self.fleet = fleet
        # By version: when it was published, and the quiet time up to then.
        self.published_s: dict[int, float] = {1: 0.0}
        self.quiet_at_publication_s: dict[int, float] = {1: 0.0}
        self.disturbances: collections.Counter[str] = collections.Counter()
        self.undisturbed_since_s = 0.0
        # Time without disturbances or unreachable engines.
        self.quiet_s = 0.0
        self.order_conflicts: list[str] = []
        self.requests_during_load: list[str] = []
        self.excess_loads: list[str] = []
        self.outdated_engines: dict[tuple[str, int], float] = {}
        self.late_rollouts: dict[int, int] = {}
        self.longest_outdated_s = 0.0
        self.longest_rollout_s = 0.0

    @property
    def last_version(self) -> int:
        """The version published last."""
        return max(self.published_s)

    def publish(self, now_s: float) -> None:
        """Publishes the next version."""
        version = self.last_version + 1
        self.published_s[version] = now_s
        self.quiet_at_publication_s[version] = self.quiet_s

    @contextlib.contextmanager
    def disturbance(self, kind: str):
        """Marks a lasting disturbance of leads, the store or orders."""
        self.disturbances[kind] += 1
        try:
            yield
        finally:
            self.disturbances[kind] -= 1

    def record_disturbance(self, now_s: float) -> None:
        """Records a momentary disturbance, such as the failure of a lead."""
        self.undisturbed_since_s = now_s

    def record_order(
        self, engine: loading_engines.Engine, order: sent_orders.SentOrder
    ) -> None:
        """Records an order and its conflicts with those of other holders."""
        self.order_conflicts += sent_orders.conflicts(
            engine.name, engine.orders, order
        )
        engine.orders.append(order)

    def check_request(
        self, engine: loading_engines.Engine, now_s: float
    ) -> None:
        """Checks that no request is sent to an engine that loads weights.

        It would run on other weights than it was sent for.
        """
        is_undisturbed = now_s - self.undisturbed_since_s > LOAD_LIMIT_S
        if engine.loading_version and not engine.is_late and is_undisturbed:
            self.requests_during_load.append(f"{engine.name} at {now_s:.2f}")

    def check(self, now_s: float) -> None:
        """Checks all engines, once a tick."""
        if +self.disturbances:
            self.undisturbed_since_s = now_s
        elif not any(engine.is_unreachable(now_s) for engine in self.fleet):
            self.quiet_s += loading_engines.TICK_S
        self._check_loads(now_s)
        for engine in self.fleet:
            self._check_age(engine, now_s)
        for version, quiet_s in self.quiet_at_publication_s.items():
            self._check_rollout(version, self.quiet_s - quiet_s, now_s)

    def _check_loads(self, now_s: float) -> None:
        loading = sum(
            bool(engine.loading_version)
            and not engine.is_late
            and not engine.is_unreachable(now_s)
            for engine in self.fleet
        )
        if loading > self.fleet.max_loading:
            self.excess_loads.append(f"{loading} loading at {now_s:.2f}")

    def _check_age(self, engine: loading_engines.Engine, now_s: float) -> None:
        replaced_at_s = self.published_s.get(engine.version + 1)
        if replaced_at_s is None or engine.is_unreachable(now_s):
            return
        since_s = max(
            replaced_at_s, self.undisturbed_since_s, engine.reachable_since_s
        )
        outdated_s = now_s - since_s
        self.longest_outdated_s = max(self.longest_outdated_s, outdated_s)
        if outdated_s > OUTDATED_USE_LIMIT_S:
            self.outdated_engines.setdefault(
                (engine.name, engine.version), now_s
            )

    def _check_rollout(
        self, version: int, quiet_s: float, now_s: float
    ) -> None:
        outdated = sum(
            engine.version < version and not engine.is_unreachable(now_s)
            for engine in self.fleet
        )
        if outdated <= MAX_OUTDATED_SHARE * len(self.fleet):
            return
        self.longest_rollout_s = max(self.longest_rollout_s, quiet_s)
        if quiet_s > ROLLOUT_LIMIT_S:
            self.late_rollouts.setdefault(version, outdated)
