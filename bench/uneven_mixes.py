"""The two mixes of short and long prompts in docs/design/uneven-load.md."""

from __future__ import annotations

import dataclasses
import functools
import itertools
import math
import random
from typing import TYPE_CHECKING

from bench import workload
from godwittack.core import work

if TYPE_CHECKING:
    from collections.abc import Callable

SHORT, LONG = "short", "long"
DOMAINS = ("domain-0", "domain-1", "domain-2")
# Delay between two instances of one failure domain; not stated for the mixes.
LOCAL_HOP_MS = 0.1
# Shared texts and their popularity are not stated: as in
# tests/sim/uneven_fleets.py. The sizes have the stated mean of 13,300 tokens.
SHARED_TEXTS = 40
SHARED_TEXT_TOKENS = (3_000, 6_000, 8_000, 9_600, 39_900)
SHARED_SHORT_TEXTS = 5
SHARED_SHORT_TOKENS = 92
MEAN_SHORT_TOKENS, MAX_SHORT_TOKENS = 291, 1_830
MEAN_LONG_TOKENS, MAX_LONG_TOKENS = 3_720, 53_200
MIN_OWN_TOKENS = 20
# Spread of the own tokens of long prompts, for which only mean and largest are
# stated: a log-normal distribution.
LONG_TOKENS_SIGMA = 1.1
BURST_MS = 6_000
# Time at the usual load after each pair of bursts of mix A.
USUAL_MS = 3_000
BURST_FACTORS = (2.1, 2.5)
SWING_PART, SWING_MS = 0.55, 13_000
# Bound of the demand relative to the usual load, in both mixes.
MAX_DEMAND = max(*BURST_FACTORS, 1 + SWING_PART)
# Time at the usual load before the measured time, while caches fill.
WARM_UP_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """One kind of prompt.

    Attributes:
        per_s: Prompts per second at the usual load.
        output_tokens: Mean length of an answer.
        aim_ms: Target latency of the first token.
        deadline_ms: Time until a request without an answer is useless.
        priority: 0 is the most urgent.
        value: Value of a response in time.
        late_value: Value of a late response.
    """

    per_s: float
    output_tokens: int
    aim_ms: int
    deadline_ms: int
    priority: int
    value: float
    late_value: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Mix(workload.BaseDeployment):
    """One mix, and the engines that serve it.

    Attributes:
        speeds: Relative speeds, which the engines have in turn.
        remote_hop_ms: One-way delay between two failure domains.
        chunk_tokens: As in `ChunkedSpec`, like the next four.
        slow_share: Part of the engines that are slow at any moment.
        slowdown: How many times longer work takes there.
        slow_ms: How long an engine stays slow.
        states_pace: Whether responses state the pace of the machine.
        demand: Demand relative to the usual load, of a kind in a domain at a
            time in ms, given the burst factor of that time.
        settings: Settings of `decisions` by default.
    """

    speeds: tuple[float, ...]
    workspaces: int
    workspace_exponent: float
    kinds: dict[str, Kind]
    remote_hop_ms: float
    chunk_tokens: int
    tokens_per_ms: float
    ms_per_pair: float
    step_ms: float
    first_token_ms: float
    slow_share: float = 0.0
    slowdown: float = 1.0
    slow_ms: int = 600
    states_pace: bool = False
    demand: Callable[[str, int, float, float], float]
    settings: dict[str, int | float]

    @property
    def max_deadline_ms(self) -> int:
        """Time after which every request has ended."""
        return max(kind.deadline_ms for kind in self.kinds.values())


def _bursts(kind: str, domain: int, at_ms: float, factor: float) -> float:
    """Returns the demand of mix A: bursts of long prompts, then of short."""
    del domain
    in_cycle_ms = at_ms % (USUAL_MS + 2 * BURST_MS)
    if at_ms < 0 or in_cycle_ms >= 2 * BURST_MS:
        return 1.0
    is_long_burst = in_cycle_ms < BURST_MS
    return factor if (kind == LONG) == is_long_burst else 1.0


def _swings(kind: str, domain: int, at_ms: float, factor: float) -> float:
    """Returns the demand of mix B, with a phase for each failure domain."""
    del kind, factor
    phase = at_ms / SWING_MS + domain / len(DOMAINS)
    return 1.0 + SWING_PART * math.sin(2 * math.pi * phase)


MIXES = {
    "A": Mix(
        name="A",
        engines=28,
        daemons=76,
        reuse_weight=0.5,
        cache_tokens=140_763,
        hop_ms=LOCAL_HOP_MS,
        speeds=(1.0, 1.0, 1.3),
        # Few of the workspaces are large.
        workspaces=16,
        workspace_exponent=1.0,
        kinds={
            LONG: Kind(
                per_s=24.6,
                output_tokens=90,
                aim_ms=1_263,
                deadline_ms=6_317,
                priority=2,
                value=4.0,
                late_value=1.8,
            ),
            SHORT: Kind(
                per_s=371,
                output_tokens=45,
                aim_ms=273,
                deadline_ms=3_282,
                priority=0,
                value=2.4,
                late_value=0.29,
            ),
        },
        remote_hop_ms=0.5,
        chunk_tokens=1_024,
        tokens_per_ms=61.2,
        ms_per_pair=0.324e-6,
        step_ms=3.4,
        first_token_ms=6.0,
        demand=_bursts,
        settings={
            "uneven_servers": 2,
            "long_prompt_tokens": 2_048,
            "uneven_hold_ms": 1_500,
            "cross_domain_cost_ms": 5,
        },
    ),
    "B": Mix(
        name="B",
        engines=30,
        daemons=58,
        reuse_weight=0.5,
        cache_tokens=186_200,
        hop_ms=LOCAL_HOP_MS,
        speeds=(0.6, 1.0, 1.6),
        workspaces=71,
        workspace_exponent=0.5,
        kinds={
            LONG: Kind(
                per_s=104,
                output_tokens=90,
                aim_ms=563,
                deadline_ms=6_760,
                priority=1,
                value=5.5,
                late_value=1.7,
            ),
            SHORT: Kind(
                per_s=250,
                output_tokens=45,
                aim_ms=273,
                deadline_ms=3_282,
                priority=0,
                value=1.5,
                late_value=0.46,
            ),
        },
        remote_hop_ms=1.4,
        chunk_tokens=2_048,
        tokens_per_ms=157,
        ms_per_pair=0.109e-6,
        step_ms=3.55,
        first_token_ms=26.0,
        slow_share=1 / 7,
        slowdown=2.5,
        states_pace=True,
        demand=_swings,
        settings={
            "uneven_servers": 1,
            "uneven_hold_ms": 1_500,
            "cross_domain_cost_ms": 5,
        },
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class MixRequest(workload.Request):
    """A request of a mix.

    Attributes:
        kind: `short` or `long`.
        failure_domain: Failure domain of its daemon.
    """

    kind: str
    failure_domain: str


class MixWorkload:
    """Generates the requests of a mix; a seed always gives the same ones."""

    def __init__(self, mix: Mix, seed: int) -> None:
        """Sets the popularity of the workspaces."""
        self.mix = mix
        self.seed = seed
        self.rng = random.Random(f"mix/{mix.name}/{seed}")
        self._numbers = itertools.count()
        self._keys = itertools.count(1_000_000)
        ranks = range(1, mix.workspaces + 1)
        self._weights = [rank**-mix.workspace_exponent for rank in ranks]

    def workspace_names(self) -> list[str]:
        """Returns the names of all workspaces."""
        return [f"ws{n}" for n in range(self.mix.workspaces)]

    def rate_per_s(self, kind: str, domain: int, at_ms: float) -> float:
        """Returns the demand for a kind of prompt in a failure domain."""
        since_start_ms = at_ms - WARM_UP_MS
        cycle = since_start_ms // (USUAL_MS + 2 * BURST_MS)
        factor = _burst_factor(self.seed, cycle)
        relative = self.mix.demand(kind, domain, since_start_ms, factor)
        return self.mix.kinds[kind].per_s / len(DOMAINS) * relative

    def draw(self, kind: str, domain: int) -> MixRequest:
        """Returns the next request of a kind in a failure domain."""
        daemons = range(domain, self.mix.daemons, len(DOMAINS))
        mean_output = self.mix.kinds[kind].output_tokens
        return MixRequest(
            number=next(self._numbers),
            workspace=self.rng.choices(
                self.workspace_names(), weights=self._weights
            )[0],
            levels=self._levels(kind),
            output_tokens=max(4, int(self.rng.expovariate(1 / mean_output))),
            daemon=self.rng.choice(daemons),
            kind=kind,
            failure_domain=DOMAINS[domain],
        )

    def _levels(self, kind: str) -> tuple[work.Level, ...]:
        rng, own_key = self.rng, next(self._keys)
        if kind == SHORT:
            own = rng.expovariate(1 / MEAN_SHORT_TOKENS)
            shared = work.Level(
                1 + rng.randrange(SHARED_SHORT_TEXTS), SHARED_SHORT_TOKENS
            )
            return shared, work.Level(own_key, _limit(own, MAX_SHORT_TOKENS))
        # The first of the texts are the most popular.
        text = min(rng.randrange(SHARED_TEXTS), rng.randrange(SHARED_TEXTS))
        sizes = SHARED_TEXT_TOKENS
        shared = work.Level(1_000 + text, sizes[text % len(sizes)])
        mu = math.log(MEAN_LONG_TOKENS) - LONG_TOKENS_SIGMA**2 / 2
        own = rng.lognormvariate(mu, LONG_TOKENS_SIGMA)
        return shared, work.Level(own_key, _limit(own, MAX_LONG_TOKENS))


@functools.cache
def _burst_factor(seed: int, cycle: float) -> float:
    """Returns the factor of a cycle's two bursts, the same for both."""
    return random.Random(f"burst/{seed}/{cycle}").uniform(*BURST_FACTORS)


def _limit(tokens: float, maximum: int) -> int:
    return max(MIN_OWN_TOKENS, min(maximum, round(tokens)))


__all__ = [
    "DOMAINS",
    "LOCAL_HOP_MS",
    "LONG",
    "MAX_DEMAND",
    "MIXES",
    "SHORT",
    "WARM_UP_MS",
    "Kind",
    "Mix",
    "MixRequest",
    "MixWorkload",
]
