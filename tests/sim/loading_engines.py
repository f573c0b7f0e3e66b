"""Engines of a large fleet, whose loads of weights take different times."""

from __future__ import annotations

import dataclasses
import random

from sim import sent_orders

TICK_S = 0.05
# The weight store slows down while more than this part of the fleet loads.
LOADING_PART = 0.37
# A load by itself. With the requests that end before it, it takes 0.5 to 3 s.
LOAD_S = (0.43, 0.7)
SHORT_RUN_S = (0.1, 0.6)
LONG_RUN_S = (0.6, 2.3)
LONG_RUN_PART = 0.04


@dataclasses.dataclass
class Engine:
    """One engine: what it runs, what it loads, and who ordered it.

    Attributes:
        up_since_s: When it could last be reached again, or started again.
        ends_s: When each of its requests ends; a load waits for all of them.
        loads: Version that it was ordered to load; empty if none.
        is_late: Whether it carries out an order long after it was given.
    """

    name: str
    version: int = 1
    born_ms: int = 1
    taken: int = 0
    up_since_s: float = 0.0
    dark_until_s: float = 0.0
    ends_s: list[float] = dataclasses.field(default_factory=list)
    loads: int = 0
    load_left_s: float = 0.0
    is_late: bool = False
    sent: list[sent_orders.SentOrder] = dataclasses.field(default_factory=list)

    @property
    def incarnation(self) -> str:
        """Names this start of it."""
        return f"{self.name}@{self.born_ms}"

    def is_dark(self, now_s: float) -> bool:
        """Returns whether nobody reaches it."""
        return now_s < self.dark_until_s

    def restart(self, now_s: float) -> None:
        """Starts again under its id, with the weights it had."""
        self.born_ms = round(now_s * 1000)
        self.up_since_s = max(now_s, self.dark_until_s)
        self.taken = 0
        self.loads = 0
        self.ends_s.clear()

    def go_dark(self, now_s: float, *, for_s: float) -> None:
        """Can't be reached for a time; what it does goes on."""
        self.dark_until_s = now_s + for_s
        self.up_since_s = self.dark_until_s

    def take(self, version: int, *, load_s: float, is_late: bool) -> None:
        """Takes an order; requests that run end first."""
        self.taken += 1
        self.loads = version
        self.load_left_s = load_s
        self.is_late = is_late


class EngineFleet:
    """All engines of one model, and the weight store that they load from."""

    def __init__(self, rng: random.Random, *, engines: int) -> None:
        self.rng = rng
        self.engines = {
            f"e{number}": Engine(f"e{number}") for number in range(engines)
        }
        self.most_loading = int(engines * LOADING_PART)

    def __iter__(self):
        """Yields each engine."""
        return iter(self.engines.values())

    def __len__(self) -> int:
        """Counts them."""
        return len(self.engines)

    def load_s(self) -> float:
        """Returns how long the next load takes where the store is not slow."""
        return self.rng.uniform(*LOAD_S)

    def run(self, engine: Engine, now_s: float) -> None:
        """Begins a request at an engine; one that loads lets it wait."""
        if engine.loads:
            return
        is_long = self.rng.random() < LONG_RUN_PART
        run_s = self.rng.uniform(*(LONG_RUN_S if is_long else SHORT_RUN_S))
        engine.ends_s.append(now_s + run_s)

    def tick(self, now_s: float) -> None:
        """Ends requests and goes on with loads."""
        loading = []
        for engine in self:
            engine.ends_s = [at_s for at_s in engine.ends_s if at_s > now_s]
            if engine.loads and not engine.ends_s:
                loading.append(engine)
        slower = max(1.0, len(loading) / self.most_loading)
        for engine in loading:
            engine.load_left_s -= TICK_S / slower
            if engine.load_left_s <= 0:
                engine.version, engine.loads = engine.loads, 0
