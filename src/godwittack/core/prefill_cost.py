"""Estimates the time that a model's engines take to compute a prompt token.

Load pattern: engines of one site compute 157 tokens a millisecond, those of
another 66. With the wrong figure queues look half as long as they are: under
full load 20 to 60 ms were expected where requests waited for more than a
second. Then no request is queued, placed on another server, or sent after
those that can still meet their deadline.

Each first token gives an upper bound: the compute time per token is at most the
whole wait for the first token, divided by the tokens. Some prompts reach an
idle engine, so that the lowest bounds are close to the actual time. Under full
load no prompt does; the estimate then rises only slowly.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from godwittack.core import prompt_cost

if TYPE_CHECKING:
    from godwittack.core import entities

# Only recent samples are kept, since engines may be replaced.
MAX_SAMPLES = 16
# Samples needed before they replace the assumed value.
MIN_SAMPLES = 6
# Quantile of the samples that is used instead of the minimum: of some prompts
# more was cached than this daemon knew.
QUANTILE = 0.25
# Maximum growth of the estimate per sample: under overload, waiting makes the
# estimate too high by a third only after some ten seconds, not at once.
MAX_GROWTH_PER_SAMPLE = 1.005
# Prompts shorter than this show the fixed time of a first token.
SHORT_PROMPT_TOKENS = 300
# Prompts of at least this length show the compute time per token.
LONG_PROMPT_TOKENS = 1_000
# Relative change of the estimate from which it is logged.
LOG_CHANGE_RATIO = 0.3


class _Samples:
    """The most recent samples of one quantity."""

    def __init__(self) -> None:
        self._values: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )

    def add(self, value: float) -> None:
        """Adds a sample."""
        self._values.append(value)

    def quantile(self) -> float:
        """Returns the `QUANTILE` of the samples, or 0 if there are too few."""
        if len(self._values) < MIN_SAMPLES:
            return 0.0
        ordered = sorted(self._values)
        return ordered[int(len(ordered) * QUANTILE)]


@dataclasses.dataclass(slots=True)
class PrefillCost:
    """Estimated prefill cost of one model's engines.

    Attributes:
        us_per_token: Microseconds per prompt token; 0 until there are enough
            samples.
        parts: The same, apart for what is fixed, per token and per pair of
            tokens; learnt only for uneven targets.
    """

    us_per_token: float = 0.0
    parts: prompt_cost.PromptCost = dataclasses.field(
        default_factory=prompt_cost.PromptCost
    )
    _short_prompt_ms: _Samples = dataclasses.field(default_factory=_Samples)
    _us_per_token_bounds: _Samples = dataclasses.field(default_factory=_Samples)

    def add_sample(self, *, tokens: int, took_ms: int) -> None:
        """Updates the estimate from the time to a first token.

        Args:
            tokens: Prompt tokens that the engine had to compute.
            took_ms: Time from sending to the first token.
        """
        if tokens < SHORT_PROMPT_TOKENS:
            self._short_prompt_ms.add(took_ms)
        if tokens < LONG_PROMPT_TOKENS:
            return
        computing_ms = max(0.0, took_ms - self._short_prompt_ms.quantile())
        self._us_per_token_bounds.add(computing_ms * 1000 / tokens)
        bound_us = self._us_per_token_bounds.quantile()
        if self.us_per_token:
            bound_us = min(bound_us, self.us_per_token * MAX_GROWTH_PER_SAMPLE)
        self.us_per_token = bound_us


def us_per_token(world: entities.World, server: entities.ServerRow) -> float:
    """Returns the microseconds that a server takes to compute a prompt token.

    Uses the value reported by the server, else the estimate for the engines of
    its model, else the value assumed by the policy.
    """
    if server.prefill_us_per_token:
        return float(server.prefill_us_per_token)
    estimate = world.prefill_costs[server.target]
    if estimate.parts.is_known:
        return estimate.parts.mean_ms_per_token * 1000
    estimated = estimate.us_per_token or estimate.parts.told_ms_per_token * 1000
    return estimated or float(world.policy.prefill_us_per_token)


def prompt_ms(
    world: entities.World,
    server: entities.ServerRow,
    *,
    new_tokens: float,
    cached_tokens: float,
) -> float:
    """Returns the time to a first token at an idle engine of usual pace."""
    parts = world.prefill_costs[server.target].parts
    if not parts.is_known:
        return new_tokens * us_per_token(world, server) / 1000
    return parts.fixed_ms + parts.computing_ms(
        new_tokens=new_tokens, cached_tokens=cached_tokens
    )


def equivalent_tokens(
    world: entities.World,
    server: entities.ServerRow,
    *,
    new_tokens: float,
    cached_tokens: float,
) -> float:
    """Returns the tokens that take as long at the mean time per token.

    Announcements carry a number of tokens only, and daemons of earlier releases
    multiply it by the time per token.
    """
    parts = world.prefill_costs[server.target].parts
    if not parts.is_known:
        return new_tokens
    computing_ms = parts.computing_ms(
        new_tokens=new_tokens, cached_tokens=cached_tokens
    )
    return computing_ms * 1000 / us_per_token(world, server)


def is_known(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether the parts of the time for a prompt have been learnt."""
    return world.prefill_costs[server.target].parts.is_known


def record_first_token(
    world: entities.World,
    attempt: entities.AttemptRow,
    server: entities.ServerRow,
) -> None:
    """Updates the estimate when the first token of an attempt arrives."""
    if not world.policy.learns_pace:
        return
    estimate = world.prefill_costs[server.target]
    before = estimate.us_per_token
    estimate.add_sample(
        tokens=attempt.expected_tokens,
        took_ms=world.now_ms - attempt.sent_at_ms,
    )
    if _is_notable_change(estimate.us_per_token, before):
        world.event(
            "pace_learnt",
            target=server.target,
            us_per_token=round(estimate.us_per_token, 1),
            before=round(before, 1),
        )


def _is_notable_change(new: float, old: float) -> bool:
    """Returns whether an estimate has changed enough to be logged."""
    return new != old and (not old or abs(new - old) > LOG_CHANGE_RATIO * old)


__all__ = [
    "PrefillCost",
    "equivalent_tokens",
    "is_known",
    "prompt_ms",
    "record_first_token",
    "us_per_token",
]
