"""Learns the parts of the time that a model's engines take for a prompt.

Attention makes the largest prompts more than twice as slow as their tokens
alone: each new token is compared with every token before it. The time has a
fixed part, a part per new token, and a part per pair of a new token and a token
before it.

Each part is fitted to what the other parts leave of the measured times. Waiting
only makes these longer, so a low quantile counts.
"""

from __future__ import annotations

import collections
import dataclasses

MAX_SAMPLES = 32
MIN_SAMPLES = 6
QUANTILE = 0.25
# Prompts shorter than this show the fixed part.
SHORT_PROMPT_TOKENS = 300
# Prompts of at least this length show the other parts.
LONG_PROMPT_TOKENS = 1_000
# Maximum growth of a part per sample, as in `prefill_cost`: under overload no
# prompt finds an idle engine.
MAX_GROWTH_PER_SAMPLE = 1.005
# A prompt that was cached, unknown to this daemon, seems to take no time.
MIN_MS_PER_TOKEN = 1e-4
# Passes over the parts for each sample; each is fitted to the rest of the
# others.
FIT_PASSES = 2
# Least share of the part per token in the time for usual prompts. From few
# samples alone, either part may seem to take all of the time.
MIN_TOKEN_SHARE = 0.4
# The two halves of the samples must differ by this factor in tokens before each
# new token, or the parts per token and per pair can't be told apart.
MIN_CONTEXT_RATIO = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Time to the first token of one prompt.

    Attributes:
        new_tokens: Prompt tokens that the engine had to compute.
        cached_tokens: Prompt tokens before them that it had cached.
        took_ms: Time from sending to the first token, at the usual pace of the
            engine's machine.
    """

    new_tokens: int
    cached_tokens: int
    took_ms: float

    @property
    def context_tokens(self) -> float:
        """Mean number of tokens before each new token."""
        return self.cached_tokens + self.new_tokens / 2

    @property
    def pairs(self) -> float:
        """Pairs of a new token and a token before it."""
        return self.new_tokens * self.context_tokens


def _samples() -> collections.deque[Sample]:
    return collections.deque(maxlen=MAX_SAMPLES)


@dataclasses.dataclass(slots=True)
class PromptCost:
    """Estimated parts of the time for a prompt; 0 until there are samples.

    Attributes:
        fixed_ms: Time to a first token in addition to computing.
        ms_per_token: Time per new token.
        ms_per_pair: Time per pair of a new token and a token before it.
        mean_ms_per_token: Time per new token of usual prompts, pairs included.
        told_ms_per_token: Lowest such time that another daemon told, for a
            daemon that has just started; 0 if none did.
    """

    fixed_ms: float = 0.0
    ms_per_token: float = 0.0
    ms_per_pair: float = 0.0
    mean_ms_per_token: float = 0.0
    told_ms_per_token: float = 0.0
    _short: collections.deque[Sample] = dataclasses.field(
        default_factory=_samples
    )
    _long: collections.deque[Sample] = dataclasses.field(
        default_factory=_samples
    )

    @property
    def is_known(self) -> bool:
        """Whether enough long prompts were seen."""
        return self.ms_per_token > 0

    def computing_ms(self, *, new_tokens: float, cached_tokens: float) -> float:
        """Returns the time for which a prompt occupies an engine."""
        pairs = new_tokens * (cached_tokens + new_tokens / 2)
        return new_tokens * self.ms_per_token + pairs * self.ms_per_pair

    def record_told(self, ms_per_token: float) -> None:
        """Records the time per token that another daemon told."""
        self.told_ms_per_token = min(
            ms_per_token, self.told_ms_per_token or ms_per_token
        )

    def add_sample(self, sample: Sample) -> None:
        """Updates the parts from the time to a first token."""
        if sample.new_tokens < SHORT_PROMPT_TOKENS:
            self._short.append(sample)
        elif sample.new_tokens >= LONG_PROMPT_TOKENS:
            self._long.append(sample)
            self._fit_long()
        if len(self._short) >= MIN_SAMPLES:
            self.fixed_ms = _low_quantile(
                max(0.0, s.took_ms - self._computing_ms(s)) for s in self._short
            )

    def _fit_long(self) -> None:
        if len(self._long) < MIN_SAMPLES:
            return
        mean = _low_quantile(
            self._rest_ms(s, 0.0) / s.new_tokens for s in self._long
        )
        self.mean_ms_per_token = max(
            _limit_growth(mean, self.mean_ms_per_token), MIN_MS_PER_TOKEN
        )
        ordered = sorted(self._long, key=lambda s: s.context_tokens)
        middle = len(ordered) // 2
        shallow, deep = ordered[:middle], ordered[middle:]
        has_contrast = (
            deep[len(deep) // 2].context_tokens
            >= MIN_CONTEXT_RATIO * shallow[len(shallow) // 2].context_tokens
        )
        if not has_contrast:
            shallow = ordered
        before = (self.ms_per_token, self.ms_per_pair)
        for _ in range(FIT_PASSES):
            per_token = _low_quantile(
                self._rest_ms(s, s.pairs * self.ms_per_pair) / s.new_tokens
                for s in shallow
            )
            self.ms_per_token = min(
                max(
                    _limit_growth(per_token, before[0]),
                    self.mean_ms_per_token * MIN_TOKEN_SHARE,
                ),
                self.mean_ms_per_token,
            )
            if has_contrast:
                per_pair = _low_quantile(
                    self._rest_ms(s, s.new_tokens * self.ms_per_token) / s.pairs
                    for s in deep
                )
                self.ms_per_pair = _limit_growth(per_pair, before[1])

    def _rest_ms(self, sample: Sample, other_ms: float) -> float:
        return max(0.0, sample.took_ms - self.fixed_ms - other_ms)

    def _computing_ms(self, sample: Sample) -> float:
        return self.computing_ms(
            new_tokens=sample.new_tokens, cached_tokens=sample.cached_tokens
        )


def _limit_growth(new: float, before: float) -> float:
    return min(new, before * MAX_GROWTH_PER_SAMPLE) if before else new


def _low_quantile(values: collections.abc.Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[int(len(ordered) * QUANTILE)]


__all__ = ["PromptCost", "Sample"]
