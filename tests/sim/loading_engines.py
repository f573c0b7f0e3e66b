"""Simulated engines of a large fleet, which take time to load weights."""

from __future__ import annotations

import dataclasses
import random

from sim import sent_orders

TICK_S = 0.05
# The weights store slows down while a larger share of the fleet loads.
MAX_LOADING_SHARE = 0.37
# Time of a load alone. Including the requests that must end first, it takes
# 0.5 to 3 s.
LOAD_S = (0.43, 0.7)
SHORT_REQUEST_S = (0.1, 0.6)
LONG_REQUEST_S = (0.6, 2.3)
LONG_REQUEST_SHARE = 0.04


@dataclasses.dataclass
class Engine:
    """One engine with its running requests, its load and the orders it got.

    Attributes:
        reachable_since_s: When it last restarted or became reachable.
        request_ends_s: When each of its requests ends; a load waits for all.
        loading_version: Version that it was ordered to load; 0 if none.
        is_late: Whether it executes an order long after it was sent.
    """

    name: str
    version: int = 1
    started_at_ms: int = 1
    accepted_orders: int = 0
    reachable_since_s: float = 0.0
    unreachable_until_s: float = 0.0
    request_ends_s: list[float] = dataclasses.field(default_factory=list)
    loading_version: int = 0
    load_left_s: float = 0.0
    is_late: bool = False
    orders: list[sent_orders.SentOrder] = dataclasses.field(
        default_factory=list
    )

    @property
    def incarnation(self) -> str:
        """Returns the incarnation id of its current process."""
        return f"{self.name}@{self.started_at_ms}"

    def is_unreachable(self, now_s: float) -> bool:
        """Returns whether no daemon can reach it."""
        return now_s < self.unreachable_until_s

    def restart(self, now_s: float) -> None:
        """Restarts under its id, with the weights it had."""
        self.started_at_ms = round(now_s * 1000)
        self.reachable_since_s = max(now_s, self.unreachable_until_s)
        self.accepted_orders = 0
        self.loading_version = 0
        self.request_ends_s.clear()

    def disconnect(self, now_s: float, *, for_s: float) -> None:
        """Makes it unreachable for a time; it keeps running."""
        self.unreachable_until_s = now_s + for_s
        self.reachable_since_s = self.unreachable_until_s

    def accept(self, version: int, *, load_s: float, is_late: bool) -> None:
        """Accepts an order to load, which waits for running requests."""
        self.accepted_orders += 1
        self.loading_version = version
        self.load_left_s = load_s
        self.is_late = is_late


class EngineFleet:
    """All engines of one model, and the weights store that they load from."""

    def __init__(self, rng: random.Random, *, engines: int) -> None:
        self.rng = rng
        self.engines = {
            f"e{number}": Engine(f"e{number}") for number in range(engines)
        }
        self.max_loading = int(engines * MAX_LOADING_SHARE)

    def __iter__(self):
        """Yields each engine."""
        return iter(self.engines.values())

    def __len__(self) -> int:
        """Returns the number of engines."""
        return len(self.engines)

    def draw_load_s(self) -> float:
        """Returns a random load time for a store that is not slowed down."""
        return self.rng.uniform(*LOAD_S)

    def start_request(self, engine: Engine, now_s: float) -> None:
        """Starts a request at an engine, unless the engine is loading."""
        if engine.loading_version:
            return
        is_long = self.rng.random() < LONG_REQUEST_SHARE
        request_s = self.rng.uniform(
            *(LONG_REQUEST_S if is_long else SHORT_REQUEST_S)
        )
        engine.request_ends_s.append(now_s + request_s)

    def tick(self, now_s: float) -> None:
        """Advances requests and loads by one tick."""
        loading = []
        for engine in self:
            engine.request_ends_s = [
                at_s for at_s in engine.request_ends_s if at_s > now_s
            ]
            if engine.loading_version and not engine.request_ends_s:
                loading.append(engine)
        slowdown = max(1.0, len(loading) / self.max_loading)
        for engine in loading:
            engine.load_left_s -= TICK_S / slowdown
            if engine.load_left_s <= 0:
                engine.version, engine.loading_version = (
                    engine.loading_version,
                    0,
                )
