"""Counts short and long prompts, and the engine time that each takes."""

from __future__ import annotations

import dataclasses
import math

# Time constant of the mix: one of 76 daemons gets a long prompt every 3 s.
MIX_TIME_CONSTANT_MS = 20_000.0
# Assumed before requests were counted: their number, the share of short ones,
# and the engine time that each takes.
ASSUMED_REQUESTS = 10.0
ASSUMED_SHORT_SHARE = 0.9
ASSUMED_SHORT_MS = 20.0
ASSUMED_LONG_MS = 200.0
ENGINE_TIME_SMOOTHING = 0.1
# Change of the engines for short prompts from which the split is changed: an
# engine that changes sides is mixed until its long prompts have ended.
MIN_SPLIT_CHANGE = 0.75
# Engine time that short prompts get relative to their need. With 1.5 long ones
# got half of their value in time, while short ones got nine tenths.
SHORT_HEADROOM = 0.8


@dataclasses.dataclass(slots=True)
class PromptMix:
    """Numbers of short and long requests, and the engine time they take.

    The engine time of a request is the time to compute its prompt, and its part
    of the time that it holds one of the slots.

    Attributes:
        short_requests: Decayed number of short requests.
        long_requests: The same for long ones.
        short_engine_ms: Smoothed engine time of a short one.
        long_engine_ms: The same for long ones.
        counted_at_ms: When the numbers were last decayed.
        engine_count: Number of engines that were last split.
        short_engine_count: How many of them were for short prompts.
    """

    short_requests: float = ASSUMED_REQUESTS * ASSUMED_SHORT_SHARE
    long_requests: float = ASSUMED_REQUESTS * (1.0 - ASSUMED_SHORT_SHARE)
    short_engine_ms: float = ASSUMED_SHORT_MS
    long_engine_ms: float = ASSUMED_LONG_MS
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

    def record_engine_time(self, *, is_long: bool, engine_ms: float) -> None:
        """Updates the engine time that requests take."""
        if is_long:
            change_ms = engine_ms - self.long_engine_ms
            self.long_engine_ms += ENGINE_TIME_SMOOTHING * change_ms
        else:
            change_ms = engine_ms - self.short_engine_ms
            self.short_engine_ms += ENGINE_TIME_SMOOTHING * change_ms

    def short_share(self) -> float:
        """Returns the share of the engines that short prompts need."""
        short_ms = self.short_requests * self.short_engine_ms * SHORT_HEADROOM
        long_ms = self.long_requests * self.long_engine_ms
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
