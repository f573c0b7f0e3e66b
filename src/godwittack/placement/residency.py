"""What each backend server is believed to hold, and how hot levels are."""

from __future__ import annotations

import collections
import dataclasses
import math

HEAT_HALF_LIFE_MS = 5_000
HEAT_MAX_KEYS = 20_000
HEAT_MIN_TOTAL = 20.0
SPREAD_SHRINK_AT = 0.7


@dataclasses.dataclass(slots=True)
class Residency:
    """Level keys believed to be cached on one backend server.

    A key is known either from the engine's events or from this daemon's own
    dispatches. Both are only hints: the engine decides, and a wrong one
    costs a recomputation.
    """

    _seen_ms: collections.OrderedDict[int, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    _tokens: dict[int, int] = dataclasses.field(default_factory=dict)

    def note(
        self, key: int, *, now_ms: int, limit: int, tokens: int = 0
    ) -> None:
        """Remembers that `key` was stored or used.

        Args:
            key: Level key.
            now_ms: Time of that.
            limit: Keys remembered at most.
            tokens: How many of its tokens are stored; 0 for all.
        """
        if tokens:
            self._tokens[key] = tokens
        else:
            self._tokens.pop(key, None)
        self._seen_ms[key] = now_ms
        self._seen_ms.move_to_end(key)
        if len(self._seen_ms) > limit:
            old, _ = self._seen_ms.popitem(last=False)
            self._tokens.pop(old, None)

    def forget(self, key: int) -> None:
        """Removes `key`, as after an eviction."""
        self._seen_ms.pop(key, None)
        self._tokens.pop(key, None)

    def clear(self) -> None:
        """Drops everything, as after a crash."""
        self._seen_ms.clear()
        self._tokens.clear()

    def seen_ms(self, key: int) -> int | None:
        """Returns when `key` was last known to be cached."""
        return self._seen_ms.get(key)

    def tokens(self, key: int, *, whole: int) -> int:
        """Returns how many tokens of a remembered level are stored.

        Engines evict by blocks from a level's end, and store it piece by
        piece: a level may be there in part.
        """
        return min(whole, self._tokens.get(key, whole))

    def __len__(self) -> int:
        """Returns how many keys are remembered."""
        return len(self._seen_ms)


@dataclasses.dataclass(slots=True)
class Decayed:
    """A count that halves every `HEAT_HALF_LIFE_MS`."""

    at_ms: int
    value: float = 0.0

    def add(self, now_ms: int) -> None:
        """Adds one."""
        self.value = self.value_at(now_ms) + 1.0
        self.at_ms = now_ms

    def value_at(self, now_ms: int) -> float:
        """Returns the count as decayed until `now_ms`."""
        return self.value * 0.5 ** ((now_ms - self.at_ms) / HEAT_HALF_LIFE_MS)


@dataclasses.dataclass(slots=True)
class Heat:
    """Recent demand by level key, as a share of its target's requests."""

    _rows: collections.OrderedDict[int, Decayed] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    _totals: dict[str, Decayed] = dataclasses.field(default_factory=dict)
    _spread: dict[int, int] = dataclasses.field(default_factory=dict)

    def add(self, key: int, *, now_ms: int) -> None:
        """Counts one request on `key`."""
        row = self._rows.get(key)
        if row is None:
            row = self._rows[key] = Decayed(at_ms=now_ms)
        row.add(now_ms)
        self._rows.move_to_end(key)
        if len(self._rows) > HEAT_MAX_KEYS:
            old, _ = self._rows.popitem(last=False)
            self._spread.pop(old, None)

    def add_total(self, target: str, *, now_ms: int) -> None:
        """Counts one request of `target`."""
        total = self._totals.setdefault(target, Decayed(at_ms=now_ms))
        total.add(now_ms)

    def knows(self, key: int) -> bool:
        """Returns whether a request on `key` was counted before."""
        return key in self._rows

    def share(self, target: str, key: int, *, now_ms: int) -> float:
        """Returns which part of the target's recent requests used `key`."""
        row = self._rows.get(key)
        total = self._totals.get(target)
        if row is None or total is None:
            return 0.0
        # With few requests seen, each would look like a large share.
        weight = max(total.value_at(now_ms), HEAT_MIN_TOTAL)
        return row.value_at(now_ms) / weight

    def spread(self, key: int, *, need: float, most: int) -> int:
        """Returns over how many servers `key` should stand.

        Args:
            key: Level key.
            need: Servers' worth of demand, a fraction.
            most: Servers there are.
        """
        now = self._spread.get(key, 1)
        # Without a gap between growing and shrinking, a demand near the
        # border would move the prefix back and forth and recompute it each
        # time.
        if need > now or need < (now - 1) * SPREAD_SHRINK_AT:
            now = math.ceil(need)
        now = max(1, min(now, most))
        if now == 1:
            self._spread.pop(key, None)
        else:
            self._spread[key] = now
        return now


__all__ = ["Decayed", "Heat", "Residency"]
