"""Believed cache contents of backend servers, and recent use of levels."""

from __future__ import annotations

import collections
import dataclasses
import math

DEMAND_HALF_LIFE_MS = 5_000
MAX_DEMAND_KEYS = 20_000
MIN_TOTAL_REQUESTS = 20.0
SERVER_COUNT_SHRINK_RATIO = 0.7


@dataclasses.dataclass(slots=True)
class Residency:
    """Level keys believed to be cached on one backend server.

    Keys come from the engine's events or from this daemon's own dispatches.
    Both are only hints: the engine decides what it keeps, and a wrong hint
    costs a recomputation.
    """

    _cached_at_ms: collections.OrderedDict[int, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    _tokens: dict[int, int] = dataclasses.field(default_factory=dict)

    def record(
        self, key: int, *, cached_at_ms: int, max_keys: int, tokens: int = 0
    ) -> None:
        """Records that `key` was stored or used.

        Args:
            key: Level key.
            cached_at_ms: When it was stored or used, or will be stored.
            max_keys: Maximum number of keys to keep.
            tokens: Number of its tokens that are stored; 0 for all.
        """
        if tokens:
            self._tokens[key] = tokens
        else:
            self._tokens.pop(key, None)
        self._cached_at_ms[key] = cached_at_ms
        self._cached_at_ms.move_to_end(key)
        if len(self._cached_at_ms) > max_keys:
            old, _ = self._cached_at_ms.popitem(last=False)
            self._tokens.pop(old, None)

    def forget(self, key: int) -> None:
        """Removes `key`, as after an eviction."""
        self._cached_at_ms.pop(key, None)
        self._tokens.pop(key, None)

    def clear(self) -> None:
        """Removes all keys, as after a crash."""
        self._cached_at_ms.clear()
        self._tokens.clear()

    def cached_at_ms(self, key: int) -> int | None:
        """Returns when `key` was last stored or used; None if not cached."""
        return self._cached_at_ms.get(key)

    def stored_tokens(self, key: int, *, level_tokens: int) -> int:
        """Returns how many tokens of a recorded level are stored.

        Engines evict blocks from the end of a level, and store it block by
        block, so that a level may be cached in part.

        Args:
            key: Level key.
            level_tokens: Tokens of the whole level.
        """
        return min(level_tokens, self._tokens.get(key, level_tokens))

    def __len__(self) -> int:
        """Returns how many keys are recorded."""
        return len(self._cached_at_ms)


@dataclasses.dataclass(slots=True)
class DecayingCount:
    """A count that decays exponentially, by half in `DEMAND_HALF_LIFE_MS`."""

    at_ms: int
    value: float = 0.0

    def add(self, now_ms: int) -> None:
        """Adds one."""
        self.value = self.value_at(now_ms) + 1.0
        self.at_ms = now_ms

    def value_at(self, now_ms: int) -> float:
        """Returns the decayed count at `now_ms`."""
        return self.value * 0.5 ** ((now_ms - self.at_ms) / DEMAND_HALF_LIFE_MS)


@dataclasses.dataclass(slots=True)
class LevelDemand:
    """Recent requests by level key and by target."""

    _counts: collections.OrderedDict[int, DecayingCount] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    _totals: dict[str, DecayingCount] = dataclasses.field(default_factory=dict)
    _server_counts: dict[int, int] = dataclasses.field(default_factory=dict)

    def add(self, key: int, *, now_ms: int) -> None:
        """Counts one request that uses level `key`."""
        row = self._counts.get(key)
        if row is None:
            row = self._counts[key] = DecayingCount(at_ms=now_ms)
        row.add(now_ms)
        self._counts.move_to_end(key)
        if len(self._counts) > MAX_DEMAND_KEYS:
            old, _ = self._counts.popitem(last=False)
            self._server_counts.pop(old, None)

    def add_total(self, target: str, *, now_ms: int) -> None:
        """Counts one request for `target`."""
        total = self._totals.setdefault(target, DecayingCount(at_ms=now_ms))
        total.add(now_ms)

    def has_key(self, key: int) -> bool:
        """Returns whether a request that uses `key` was counted before."""
        return key in self._counts

    def share(self, target: str, key: int, *, now_ms: int) -> float:
        """Returns the fraction of a target's recent requests that use `key`."""
        row = self._counts.get(key)
        total = self._totals.get(target)
        if row is None or total is None:
            return 0.0
        # Of only a few requests, each would be a large fraction.
        weight = max(total.value_at(now_ms), MIN_TOTAL_REQUESTS)
        return row.value_at(now_ms) / weight

    def server_count(
        self, key: int, *, servers_needed: float, max_servers: int
    ) -> int:
        """Returns on how many servers `key` should be cached.

        Args:
            key: Level key.
            servers_needed: Demand in servers, may be fractional.
            max_servers: Number of servers available.
        """
        count = self._server_counts.get(key, 1)
        # Hysteresis: demand that varies around a threshold would otherwise add
        # and remove a server repeatedly, and recompute the prefix each time.
        if (
            servers_needed > count
            or servers_needed < (count - 1) * SERVER_COUNT_SHRINK_RATIO
        ):
            count = math.ceil(servers_needed)
        count = max(1, min(count, max_servers))
        if count == 1:
            self._server_counts.pop(key, None)
        else:
            self._server_counts[key] = count
        return count


__all__ = ["DecayingCount", "LevelDemand", "Residency"]
