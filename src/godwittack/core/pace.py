"""Learns how long a model's engines take for a prompt token.

Load pattern: engines of one site compute 157 tokens a millisecond, those of
another 66. By the wrong figure queues look half as long as they are: under full
load 20 to 60 ms were expected where requests waited for more than a second, so
that nothing was held back, moved or sent behind what could still be in time.

Each first token shows a bound: no engine takes longer a token than the whole
wait for it. Some prompts find an engine idle, so that the least of these bounds
is near. Under full load none does; the estimate then rises slowly only.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.core import entities

# Samples kept; the last ones count, since engines may be replaced.
KEPT = 16
# Samples from which they outweigh what was assumed.
LEAST = 6
# Part of the samples that lie below the bound: of some prompts more was cached
# than was known here.
QUANTILE = 0.25
# Growth of the estimate a sample, where all of them took longer: waiting makes
# it too high by a third after some ten seconds of a crowd, not at once.
RISE = 1.005
# Prompts shorter than this show how long a first token takes by itself.
SHORT_TOKENS = 300
# Prompts from here on show the time of a token.
LONG_TOKENS = 1_000
# A change by this part is told in the log.
TOLD_PART = 0.3


class _Samples:
    """The last values of one kind."""

    def __init__(self) -> None:
        self._values: collections.deque[float] = collections.deque(maxlen=KEPT)

    def add(self, value: float) -> None:
        """Takes in a value."""
        self._values.append(value)

    def quantile(self) -> float:
        """Returns a low quantile, 0 for too few samples."""
        if len(self._values) < LEAST:
            return 0.0
        ordered = sorted(self._values)
        return ordered[int(len(ordered) * QUANTILE)]


@dataclasses.dataclass(slots=True)
class Pace:
    """What is known of one model's engines.

    Attributes:
        us_per_token: Microseconds for a prompt token, 0 until it is learnt.
    """

    us_per_token: float = 0.0
    _first_ms: _Samples = dataclasses.field(default_factory=_Samples)
    _token_us: _Samples = dataclasses.field(default_factory=_Samples)

    def saw_first_token(self, *, tokens: int, took_ms: int) -> None:
        """Takes in how long a first token took.

        Args:
            tokens: Prompt tokens that the engine had to compute.
            took_ms: Time from sending to the first token.
        """
        if tokens < SHORT_TOKENS:
            self._first_ms.add(took_ms)
        if tokens < LONG_TOKENS:
            return
        computing_ms = max(0.0, took_ms - self._first_ms.quantile())
        self._token_us.add(computing_ms * 1000 / tokens)
        bound_us = self._token_us.quantile()
        if self.us_per_token:
            bound_us = min(bound_us, self.us_per_token * RISE)
        self.us_per_token = bound_us


def us_per_token(world: entities.World, server: entities.ServerRow) -> float:
    """Returns the microseconds that a prompt token takes on a server.

    As the server reports it, as learnt of its model's engines, or as assumed.
    """
    if server.prefill_us_per_token:
        return float(server.prefill_us_per_token)
    learnt = world.prefill_costs[server.target].us_per_token
    return learnt or float(world.policy.prefill_us_per_token)


def learn(
    world: entities.World,
    attempt: entities.AttemptRow,
    server: entities.ServerRow,
) -> None:
    """Takes in that the first token of an attempt came just now."""
    if not world.policy.learns_pace:
        return
    known = world.prefill_costs[server.target]
    before = known.us_per_token
    known.saw_first_token(
        tokens=attempt.expected_tokens,
        took_ms=world.now_ms - attempt.sent_at_ms,
    )
    if _differs(known.us_per_token, before):
        world.event(
            "pace_learnt",
            target=server.target,
            us_per_token=round(known.us_per_token, 1),
            before=round(before, 1),
        )


def _differs(one: float, other: float) -> bool:
    """Returns whether an estimate has changed enough to be told."""
    return one != other and (not other or abs(one - other) > TOLD_PART * other)


__all__ = ["Pace", "learn", "us_per_token"]
