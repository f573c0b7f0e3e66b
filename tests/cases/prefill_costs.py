"""Prefill cost per prompt token, estimated from first tokens."""

from __future__ import annotations

import random

from cases import routed_core
from godwittack.core import backlog, effects, prefill_cost, work

SEED = 3
ACTUAL_US_PER_TOKEN = 15.0
FIRST_TOKEN_MS = 16
REQUESTS_PER_S = 12.0


class Engine:
    """Computes prompts one after another at a fixed cost per token."""

    def __init__(self, us_per_token: float) -> None:
        self.us_per_token = us_per_token
        self.free_at_ms = 0.0

    def first_token_ms(self, now_ms: float, tokens: int) -> int:
        """Returns how long a prompt's first token takes."""
        starts_ms = max(now_ms, self.free_at_ms)
        self.free_at_ms = starts_ms + tokens * self.us_per_token / 1000
        return round(self.free_at_ms - now_ms) + FIRST_TOKEN_MS


def _estimate(*, for_s: float, load: float = 1.0, unseen: float = 0.0) -> float:
    """Returns the estimate of one daemon after some traffic.

    Args:
        for_s: How long the traffic lasts.
        load: Relative load; 1.9 is all that the engine can compute.
        unseen: Share of the prompts that other daemons send.
    """
    rng = random.Random(SEED)
    engine, estimate = Engine(ACTUAL_US_PER_TOKEN), prefill_cost.PrefillCost()
    now_ms = 0.0
    pending: list[tuple[float, int, int]] = []
    while now_ms < for_s * 1000:
        now_ms += rng.expovariate(REQUESTS_PER_S * load) * 1000
        tokens = min(40_000, round(rng.lognormvariate(7.4, 1.1)))
        took_ms = engine.first_token_ms(now_ms, tokens)
        for sample in [p for p in pending if p[0] <= now_ms]:
            pending.remove(sample)
            estimate.add_sample(tokens=sample[1], took_ms=sample[2])
        if rng.random() >= unseen:
            pending.append((now_ms + took_ms, tokens, took_ms))
    return estimate.us_per_token


def the_prefill_cost_is_learnt_within_seconds() -> None:
    """Three seconds of traffic are enough, whatever the configured cost.

    Symptom: estimated waits are 20 to 60 ms where they exceed a second.
    Sequence: a site's engines compute half as many tokens a millisecond as
        those that the settings are made for, or ten times as many.
    Cause: a constant that fits one kind of engine.
    """
    for unseen in (0.0, 0.5):
        learnt = _estimate(for_s=3.0, unseen=unseen)
        assert 0.7 * ACTUAL_US_PER_TOKEN < learnt < 1.6 * ACTUAL_US_PER_TOKEN, (
            unseen,
            learnt,
        )


def queueing_does_not_make_engines_look_slow() -> None:
    """Waiting time does not count as computing time.

    Symptom: under full load engines seem twenty times slower, and all requests
        are refused.
    Sequence: more prompts than the engine can compute, for ten seconds.
    Cause: the whole wait for a first token, up to 5 s, counted as computing.
    """
    learnt = _estimate(for_s=10.0, load=2.5, unseen=0.5)
    assert learnt < 3.0 * ACTUAL_US_PER_TOKEN, learnt


def one_cached_prompt_does_not_make_engines_look_fast() -> None:
    """Prompts of which more was cached than known hardly change the estimate.

    Symptom: after a while, estimated waits are too short.
    Sequence: one first token in ten arrives at once.
    Cause: the estimate was the lowest of all bounds.
    """
    estimate = prefill_cost.PrefillCost()
    for number in range(200):
        took_ms = 20 if number % 10 == 0 else 90
        estimate.add_sample(tokens=6_000, took_ms=took_ms)
    assert estimate.us_per_token == 15.0, estimate.us_per_token


def few_samples_change_nothing() -> None:
    """A single slow answer does not change the estimate.

    Symptom: the first request after a start determines all estimated waits.
    Sequence: three first tokens, the first of them late.
    Cause: the estimate was made from one sample.
    """
    estimate = prefill_cost.PrefillCost()
    for took_ms in (4_000, 60, 70):
        estimate.add_sample(tokens=4_000, took_ms=took_ms)
    assert estimate.us_per_token == 0.0


def _arrive(core: routed_core.Core, name: str, tokens: int) -> None:
    key = 1_000 * ord(name[0]) + int(name[1:])
    core.arrive("long", name, levels=(work.Level(key, tokens),))


def queue_estimates_use_the_learnt_prefill_cost() -> None:
    """The wait at an engine is estimated by the learnt cost, not the assumed.

    Symptom: under full load the estimated wait is 20 to 60 ms where first
        tokens take more than a second; no request is queued, placed elsewhere
        or refused.
    Sequence: the settings assume 7 us a token; eight first tokens show 15;
        five prompts are sent to the same engine at once.
    Cause: the backlog was estimated by the assumed cost.
    """
    core = routed_core.Core(servers=1, prefill_us_per_token=7, hold_ms=10_000)
    for number in range(8):
        _arrive(core, f"a{number}", 4_000)
        sent = core.dispatch()
        core.now_ms += 60
        core.open(sent)
        core.frames(sent, 1, end=True)
        core.wait(500)
    for number in range(5):
        _arrive(core, f"b{number}", 4_000)
    (server,) = core.world.servers_by_target[routed_core.ENGINES].values()
    waits_ms = backlog.wait_ms(core.world, server, priority=0)
    assert 0.9 * 300 < waits_ms < 1.1 * 300, waits_ms


def prompts_are_announced_by_their_computing_time() -> None:
    """Prompts that keep an engine busy for long are announced to peers.

    Symptom: seven daemons send short prompts to the same engine at once.
    Sequence: prompts of 1,000 tokens, on engines that take 7 us a token and
        on others that take 15.
    Cause: the threshold was in tokens, for engines twice as fast.
    """
    for us_per_token, is_announced in ((7, False), (15, True)):
        core = routed_core.Core(servers=1, prefill_us_per_token=us_per_token)
        _arrive(core, "a1", 1_000)
        assert bool(core.find(effects.Announce)) == is_announced, us_per_token
