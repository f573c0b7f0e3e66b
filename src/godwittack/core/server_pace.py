"""What is known of the pace of one server, and arithmetic on it."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from godwittack.core import prompt_queue

if TYPE_CHECKING:
    from collections.abc import Iterable

    from godwittack.core import prompt_cost

USUAL_PERCENT = 100
# Time for which a machine stays slow, and after which a pace is out of date.
MOMENTARY_PACE_MS = 600
# Three lower samples, or six higher ones, change the lower quartile of eight:
# a wrong base pace is corrected within eight samples.
MAX_SAMPLES = 8
QUANTILE = 0.25
# Time constant with which an observed delay decays: other daemons' prompts are
# computed, or known from announcements, within about a second.
DELAY_DECAY_MS = 500.0
# Weight of a new observation against the decayed one.
DELAY_GAIN = 0.5
MAX_DELAY_MS = 3_000.0
# Other daemons' estimates of a server are dropped after this time.
TOLD_TTL_MS = 60_000
# More prompts than an engine computes between two reports of its load.
MAX_ANNOUNCED = 32


@dataclasses.dataclass(frozen=True, slots=True)
class EchoedLoad:
    """Load and pace in a server's newest response, from any daemon.

    Attributes:
        running: Requests running.
        waiting: Requests waiting.
        pace_percent: Time that work takes in percent of the usual time.
        at_ms: When the response was received.
    """

    running: int
    waiting: int
    pace_percent: int
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ToldPace:
    """Another daemon's estimate of a server.

    Attributes:
        reference_ms: Time that the server takes for the reference prompt.
        samples: Number of samples behind it.
        at_ms: When it was received.
    """

    reference_ms: float
    samples: int
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SharedPace:
    """What this daemon told the others of a server last."""

    at_ms: int = -1_000_000
    delay_ms: float = 0.0
    reference_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class ServerPace:
    """What is known of the pace of one server.

    Attributes:
        echoed: Load and pace in the newest response; None before the first.
        prompts: Prompts that it has to compute.
        delay_ms: By how much a first token came later than estimated.
        delay_at_ms: When that was observed.
        announced_at_ms: When other daemons announced their last prompts.
        samples: Recent first tokens of this daemon.
        sampled_at_ms: When the last of them was taken.
        told: Estimates of other daemons, by daemon.
        shared: What this daemon told them last.
        base: Last computed base pace.
        base_at_ms: When it was computed; -1 if it must be computed again.
        logged_base: Base pace that was last logged.
    """

    echoed: EchoedLoad | None = None
    prompts: prompt_queue.PromptQueue = dataclasses.field(
        default_factory=prompt_queue.PromptQueue
    )
    delay_ms: float = 0.0
    delay_at_ms: int = 0
    announced_at_ms: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_ANNOUNCED)
    )
    samples: collections.deque[prompt_cost.Sample] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    sampled_at_ms: int = -1_000_000
    told: dict[str, ToldPace] = dataclasses.field(default_factory=dict)
    shared: SharedPace = dataclasses.field(default_factory=SharedPace)
    base: float = 1.0
    base_at_ms: int = -1
    logged_base: float = 1.0

    def reset_process(self) -> None:
        """Forgets what depends on the process; the machine is the same."""
        self.echoed = None
        self.prompts.clear()
        self.announced_at_ms.clear()
        self.delay_ms = 0.0

    def momentary(self, now_ms: int) -> float:
        """Returns the time that work takes now, relative to the usual time."""
        if self.slow_until_ms() <= now_ms or self.echoed is None:
            return 1.0
        return self.echoed.pace_percent / USUAL_PERCENT

    def slow_until_ms(self) -> int:
        """Returns when the momentary pace expires; 0 if none is known."""
        if self.echoed is None or not self.echoed.pace_percent:
            return 0
        return self.echoed.at_ms + MOMENTARY_PACE_MS

    def stretched_ms(self, work_ms: float, *, from_ms: float) -> float:
        """Returns how long work takes at the momentary pace while it lasts.

        Args:
            work_ms: Time that it takes at the usual pace.
            from_ms: When it begins.
        """
        left_ms = self.slow_until_ms() - from_ms
        if left_ms <= 0 or self.echoed is None:
            return work_ms
        momentary = self.echoed.pace_percent / USUAL_PERCENT
        done_ms = left_ms / momentary
        if work_ms <= done_ms:
            return work_ms * momentary
        return left_ms + work_ms - done_ms

    def current_delay_ms(self, now_ms: int) -> float:
        """Returns what is left of the delay observed last."""
        age_ms = max(0, now_ms - self.delay_at_ms)
        # Close to an exponential decay, without a call for each placement.
        left = 1.0 - age_ms / (2 * DELAY_DECAY_MS)
        return self.delay_ms * left * left if left > 0 else 0.0

    def record_delay(self, observed_ms: float, now_ms: int) -> None:
        """Updates the delay from a first token."""
        observed_ms = min(max(0.0, observed_ms), MAX_DELAY_MS)
        before_ms = self.current_delay_ms(now_ms)
        self.delay_ms = before_ms + DELAY_GAIN * (observed_ms - before_ms)
        self.delay_at_ms = now_ms


def weighted_quantile(values: Iterable[tuple[float, int]]) -> float:
    """Returns the `QUANTILE` of values with weights; 0 without values."""
    ordered = sorted(values)
    rest = sum(weight for _, weight in ordered) * QUANTILE
    for value, weight in ordered:
        rest -= weight
        if rest < 0:
            return value
    return ordered[-1][0] if ordered else 0.0


__all__ = [
    "MOMENTARY_PACE_MS",
    "TOLD_TTL_MS",
    "USUAL_PERCENT",
    "EchoedLoad",
    "ServerPace",
    "SharedPace",
    "ToldPace",
    "weighted_quantile",
]
