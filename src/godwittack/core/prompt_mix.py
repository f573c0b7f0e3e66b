"""Estimates how many engines short and long prompts need.

All daemons must split the engines alike: one that counts only its own requests,
a long one every 3 s, would be wrong by a third, and half of the engines would
be mixed. So the need of long prompts is taken from announcements, which reach
all daemons, and short prompts get the rest.
"""

from __future__ import annotations

import dataclasses
import math

# Time constants: long prompts come in bursts of 6 s, of which a daemon learns
# from announcements; of short ones it counts only its own, some five a second.
LONG_TIME_CONSTANT_MS = 2_500.0
SHORT_TIME_CONSTANT_MS = 10_000.0
# Assumed until short prompts have ended.
ASSUMED_SHORT_MS = 15.0
ASSUMED_LONG_MS = 200.0
ENGINE_TIME_SMOOTHING = 0.1
# Change of the engines for short prompts from which the split is changed: an
# engine that changes sides is mixed until its long prompts have ended.
MIN_SPLIT_CHANGE = 0.75
# Engines per engine that is busy. Steps of other requests between the chunks,
# and parts that were evicted meanwhile, make a long prompt take half longer
# than its tokens; and a queue of one prompt is within its target latency.
LONG_HEADROOM = 2.0
SHORT_HEADROOM = 1.3
# Least part of the engines for long prompts: at a start or at the beginning of
# a burst, the estimate is seconds late.
MIN_LONG_PART = 0.25


@dataclasses.dataclass(slots=True)
class PromptMix:
    """What short and long prompts of a target need, and the engines they get.

    Attributes:
        long_ms: Decayed time that engines take for the long prompts of all
            daemons.
        short_requests: Decayed number of this daemon's short requests.
        short_engine_ms: Smoothed engine time of a short request: its part of
            the time that it holds one of the slots.
        long_engine_ms: The same for a long one, or the time to compute it if
            that is longer.
        engine_count: Number of engines that were last split.
        short_engine_count: How many of them were for short prompts.
        short_engines: Ids of these.
        logged_engines: The same as last logged.
        logged_at_ms: When they were logged.
    """

    long_ms: float = 0.0
    short_requests: float = 0.0
    short_engine_ms: float = ASSUMED_SHORT_MS
    long_engine_ms: float = ASSUMED_LONG_MS
    engine_count: int = 0
    short_engine_count: int = 0
    short_engines: frozenset[str] = frozenset()
    logged_engines: frozenset[str] = frozenset()
    logged_at_ms: int = -1_000_000
    _long_at_ms: int = 0
    _short_at_ms: int = 0

    def add_long(self, engine_ms: float, *, now_ms: int) -> None:
        """Counts a long prompt that a daemon has sent to an engine."""
        self._decay_long(now_ms)
        self.long_ms += engine_ms

    def count_short(self, *, now_ms: int) -> None:
        """Counts a short request of this daemon."""
        kept = _kept(now_ms - self._short_at_ms, SHORT_TIME_CONSTANT_MS)
        self._short_at_ms = now_ms
        self.short_requests = self.short_requests * kept + 1.0

    def record_engine_time(self, *, is_long: bool, engine_ms: float) -> None:
        """Updates the engine time that requests take."""
        if is_long:
            change_ms = engine_ms - self.long_engine_ms
            self.long_engine_ms += ENGINE_TIME_SMOOTHING * change_ms
        else:
            change_ms = engine_ms - self.short_engine_ms
            self.short_engine_ms += ENGINE_TIME_SMOOTHING * change_ms

    def needs(self, *, daemons: int, now_ms: int) -> tuple[float, float]:
        """Returns the engines that short and long prompts need."""
        self._decay_long(now_ms)
        kept = _kept(now_ms - self._short_at_ms, SHORT_TIME_CONSTANT_MS)
        short_per_ms = (
            self.short_requests * kept * daemons / SHORT_TIME_CONSTANT_MS
        )
        return (
            short_per_ms * self.short_engine_ms * SHORT_HEADROOM,
            self.long_ms / LONG_TIME_CONSTANT_MS * LONG_HEADROOM,
        )

    def split(self, engine_count: int, *, daemons: int, now_ms: int) -> int:
        """Returns how many of at least two engines are for short prompts."""
        short_need, long_need = self.needs(daemons=daemons, now_ms=now_ms)
        long_need = max(long_need, MIN_LONG_PART * engine_count)
        short_count = engine_count - long_need
        if short_need > short_count:
            short_count = engine_count * short_need / (short_need + long_need)
        change = abs(short_count - self.short_engine_count)
        if engine_count != self.engine_count or change >= MIN_SPLIT_CHANGE:
            self.engine_count = engine_count
            self.short_engine_count = min(
                engine_count - 1, max(1, round(short_count))
            )
        return self.short_engine_count

    def _decay_long(self, now_ms: int) -> None:
        kept = _kept(now_ms - self._long_at_ms, LONG_TIME_CONSTANT_MS)
        self.long_ms *= kept
        self._long_at_ms = now_ms


def _kept(elapsed_ms: int, time_constant_ms: float) -> float:
    return math.exp(-max(0, elapsed_ms) / time_constant_ms)


__all__ = ["PromptMix"]
