"""How long engines take for a prompt token, learnt from first tokens."""

from __future__ import annotations

import random

from cases import routed_core
from godwittack.core import backlog, effects, prefill_cost, work

SEED = 3
TRUE_US = 15.0
FIRST_MS = 16
REQUESTS_PER_S = 12.0


class Engine:
    """Computes prompts one after another at a pace of its own."""

    def __init__(self, us_per_token: float) -> None:
        self.us_per_token = us_per_token
        self.free_at_ms = 0.0

    def first_token_ms(self, now_ms: float, tokens: int) -> int:
        """Returns how long a prompt's first token takes."""
        starts_ms = max(now_ms, self.free_at_ms)
        self.free_at_ms = starts_ms + tokens * self.us_per_token / 1000
        return round(self.free_at_ms - now_ms) + FIRST_MS


def _learn(*, for_s: float, load: float = 1.0, unseen: float = 0.0) -> float:
    """Returns what one daemon believes after some traffic.

    Args:
        for_s: How long the traffic lasts.
        load: How much there is; 1.9 is all that the engine can compute.
        unseen: Part of the prompts that other daemons send.
    """
    rng = random.Random(SEED)
    engine, known = Engine(TRUE_US), prefill_cost.PrefillCost()
    now_ms = 0.0
    pending: list[tuple[float, int, int]] = []
    while now_ms < for_s * 1000:
        now_ms += rng.expovariate(REQUESTS_PER_S * load) * 1000
        tokens = min(40_000, round(rng.lognormvariate(7.4, 1.1)))
        took_ms = engine.first_token_ms(now_ms, tokens)
        for seen in [p for p in pending if p[0] <= now_ms]:
            pending.remove(seen)
            known.add_sample(tokens=seen[1], took_ms=seen[2])
        if rng.random() >= unseen:
            pending.append((now_ms + took_ms, tokens, took_ms))
    return known.us_per_token


def a_pace_is_learnt_within_seconds() -> None:
    """Whatever was assumed before, three seconds of traffic show it.

    Symptom: 20 to 60 ms of waiting expected where there is more than a second.
    Sequence: a site's engines compute half as many tokens a millisecond as
        those that the settings were made for; or ten times as many.
    Cause: a number written down for one kind of engine.
    """
    for unseen in (0.0, 0.5):
        learnt = _learn(for_s=3.0, unseen=unseen)
        assert 0.7 * TRUE_US < learnt < 1.6 * TRUE_US, (unseen, learnt)


def a_crowd_does_not_make_engines_look_slow() -> None:
    """Waiting is told apart from computing.

    Symptom: under full load engines seem twenty times slower, and everything
        is refused.
    Sequence: more prompts than the engine can compute, for ten seconds.
    Cause: the whole wait for a first token, 5 s by then, taken for computing.
    """
    learnt = _learn(for_s=10.0, load=2.5, unseen=0.5)
    assert learnt < 3.0 * TRUE_US, learnt


def one_cached_prompt_does_not_make_engines_look_fast() -> None:
    """A few prompts of which more was cached than known change little.

    Symptom: queues look shorter than they are after a while.
    Sequence: one first token in ten comes at once.
    Cause: the least of all bounds taken.
    """
    known = prefill_cost.PrefillCost()
    for number in range(200):
        took_ms = 20 if number % 10 == 0 else 90
        known.add_sample(tokens=6_000, took_ms=took_ms)
    assert known.us_per_token == 15.0, known.us_per_token


def few_samples_change_nothing() -> None:
    """A single slow answer is no pace.

    Symptom: the first request after a start decides how long queues look.
    Sequence: three first tokens, the first of them late.
    Cause: an estimate from one sample.
    """
    known = prefill_cost.PrefillCost()
    for took_ms in (4_000, 60, 70):
        known.add_sample(tokens=4_000, took_ms=took_ms)
    assert known.us_per_token == 0.0


def _arrive(core: routed_core.Core, name: str, tokens: int) -> None:
    key = 1_000 * ord(name[0]) + int(name[1:])
    core.arrive("long", name, levels=(work.Level(key, tokens),))


def queues_look_as_long_as_they_are() -> None:
    """What waits at an engine is counted at the pace that it showed.

    Symptom: under full load 20 to 60 ms of waiting are expected where first
        tokens take more than a second; nothing is held, moved or refused.
    Sequence: the settings assume 7 us a token; eight first tokens show 15;
        five prompts are sent to the same engine at one moment.
    Cause: the backlog counted at the pace assumed.
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


def prompts_are_told_by_the_time_they_take() -> None:
    """Other daemons hear of what keeps an engine busy for a while.

    Symptom: seven daemons send short prompts to the same engine at one time.
    Sequence: prompts of 1,000 tokens, on engines that take 7 us a token and
        on others that take 15.
    Cause: a threshold in tokens, made for engines twice as fast.
    """
    for us_per_token, told in ((7, False), (15, True)):
        core = routed_core.Core(servers=1, prefill_us_per_token=us_per_token)
        _arrive(core, "a1", 1_000)
        assert bool(core.find(effects.Announce)) == told, us_per_token
