"""Counts short and long prompts, and how long each holds an engine's slot."""

from __future__ import annotations

import dataclasses
import math

# Time constant of the mix: one of 76 daemons gets a long prompt every 3 s.
MIX_TIME_CONSTANT_MS = 20_000.0
# Assumed before requests were counted: their number, their time in a slot on
# engines of their own, and the share of short ones.
ASSUMED_REQUESTS = 10.0
ASSUMED_SHORT_SHARE = 0.9
ASSUMED_SHORT_MS = 200.0
ASSUMED_LONG_MS = 1_000.0
SERVICE_TIME_SMOOTHING = 0.1
# Change of the engines for short prompts from which the split is changed: an
# engine that changes sides is mixed until its long prompts have ended.
MIN_SPLIT_CHANGE = 0.75
# Slot time that short prompts get relative to their need: they arrive in
# bursts, and their target latency leaves no time to wait for a slot.
SHORT_HEADROOM = 1.5


@dataclasses.dataclass(slots=True)
class PromptMix:
    """Numbers of short and long requests, and how long they hold a slot.

    Attributes:
        short_requests: Decayed number of short requests.
        long_requests: The same for long ones.
        short_service_ms: Smoothed time that a short one holds a slot.
        long_service_ms: The same for long ones.
        counted_at_ms: When the numbers were last decayed.
        engine_count: Number of engines that were last split.
        short_engine_count: How many of them were for short prompts.
    """

    short_requests: float = ASSUMED_REQUESTS * ASSUMED_SHORT_SHARE
    long_requests: float = ASSUMED_REQUESTS * (1.0 - ASSUMED_SHORT_SHARE)
    short_service_ms: float = ASSUMED_SHORT_MS
    long_service_ms: float = ASSUMED_LONG_MS
    counted_at_ms: int = 0
    engine_count: int = 0
    short_engine_count: int = 0

    def count(self, *, is_long: bool, now_ms: int) -> None:
        """Counts a request."""
        elapsed_ms = max(0, now_ms - self.counted_at_ms)
        kept = math.exp(-elapsed_ms / MIX_TIME_CONSTANT_MS)
        self.counted_at_ms = now_ms
        self.short_requests = self.short_requests * kept + (not is_long)
        self.long_requests = self.long_requests * kept + is_long

    def record_service(self, *, is_long: bool, took_ms: int) -> None:
        """Updates the time that requests hold a slot."""
        if is_long:
            change_ms = took_ms - self.long_service_ms
            self.long_service_ms += SERVICE_TIME_SMOOTHING * change_ms
        else:
            change_ms = took_ms - self.short_service_ms
            self.short_service_ms += SERVICE_TIME_SMOOTHING * change_ms

    def short_share(self) -> float:
        """Returns the share of the engines that short prompts need."""
        short_ms = self.short_requests * self.short_service_ms * SHORT_HEADROOM
        long_ms = self.long_requests * self.long_service_ms
        return short_ms / max(1e-9, short_ms + long_ms)

    def split(self, engine_count: int) -> int:
        """Returns how many of at least two engines are for short prompts."""
        needed = self.short_share() * engine_count
        change = abs(needed - self.short_engine_count)
        if engine_count != self.engine_count or change >= MIN_SPLIT_CHANGE:
            self.engine_count = engine_count
            self.short_engine_count = min(
                engine_count - 1, max(1, round(needed))
            )
        return self.short_engine_count


__all__ = ["PromptMix"]
