"""Full load on engines of another pace than assumed: who is still in time.

Engines here compute one prompt after another, the most urgent one first, as
many tokens a millisecond as they were given; a caller leaves at its deadline.
"""

from __future__ import annotations

import dataclasses
import heapq
import random

from cases import routed_core
from godwittack.core import effects, inputs, work

SEED = 8
US_PER_TOKEN = 15.0
FIRST_MS = 15
AIM_MS = 500
DEADLINE_MS = 3_000
STEP_MS = 5
ENGINES = 3
TOKENS = (800, 5_000)


@dataclasses.dataclass
class Load:
    """What a crowd got.

    Attributes:
        asked: Requests.
        in_time: Those whose first token came within their aim.
        late: Those whose first token came later.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0


class Engine:
    """Computes what was sent to it."""

    def __init__(self) -> None:
        self.waiting: list[tuple[int, int, effects.Dispatch, int]] = []
        self.free_at_ms = 0.0
        self.done: list[tuple[float, effects.Dispatch]] = []

    def take(self, sent: effects.Dispatch, number: int, tokens: int) -> None:
        """Puts a prompt in line."""
        heapq.heappush(self.waiting, (sent.priority, number, sent, tokens))

    def advance(self, now_ms: int, gone: set[str]) -> None:
        """Computes up to a time; prompts of callers that left are dropped."""
        while self.waiting and self.free_at_ms <= now_ms:
            _, _, sent, tokens = heapq.heappop(self.waiting)
            if sent.request_id in gone:
                continue
            starts_ms = max(self.free_at_ms, now_ms - STEP_MS)
            self.free_at_ms = starts_ms + tokens * US_PER_TOKEN / 1000
            self.done.append((self.free_at_ms + FIRST_MS, sent))


def play(*, load: float, for_s: float, **numbers) -> Load:
    """Plays a crowd.

    Args:
        load: Work asked for a second over what the engines can do.
        for_s: How long it lasts.
        numbers: Of the core's policy.
    """
    core = routed_core.Core(
        servers=ENGINES,
        **{"prefill_us_per_token": 7, "hold_ms": 100, **numbers},
    )
    route = routed_core.route(
        "crowd",
        routed_core.ENGINES,
        streaming=True,
        timeout_ms=DEADLINE_MS,
        aim_ms=AIM_MS,
    )
    core.tell(
        inputs.TableChanged,
        routed_core.table(2, routes=(*routed_core.ROUTES, route)),
    )
    rng = random.Random(SEED)
    engines = {f"e{n}": Engine() for n in range(1, ENGINES + 1)}
    got = Load()
    arrived: dict[str, int] = {}
    gone: set[str] = set()
    mean_ms = sum(TOKENS) / 2 * US_PER_TOKEN / 1000
    gap_ms = mean_ms / ENGINES / load
    next_ms = float(core.now_ms)
    ends_ms = core.now_ms + for_s * 1000

    def carry_out(made: list[effects.Effect]) -> None:
        for effect in made:
            if isinstance(effect, effects.Dispatch):
                number = int(effect.request_id)
                size = sizes[effect.request_id]
                engines[effect.server_id].take(effect, number, size)

    sizes: dict[str, int] = {}
    while core.now_ms < ends_ms + DEADLINE_MS:
        core.now_ms += STEP_MS
        while next_ms <= core.now_ms < ends_ms:
            next_ms += rng.expovariate(1 / gap_ms)
            name = str(got.asked)
            got.asked += 1
            arrived[name] = core.now_ms
            sizes[name] = rng.randint(*TOKENS)
            carry_out(
                core.arrive(
                    "crowd",
                    name,
                    deadline_ms=DEADLINE_MS,
                    levels=(work.Level(10_000 + int(name), sizes[name]),),
                )
            )
        for engine in engines.values():
            engine.advance(core.now_ms, gone)
            for at_ms, sent in [d for d in engine.done if d[0] <= core.now_ms]:
                engine.done.remove((at_ms, sent))
                if sent.request_id in gone:
                    continue
                took_ms = at_ms - arrived[sent.request_id]
                got.in_time += took_ms <= AIM_MS
                got.late += took_ms > AIM_MS
                core.open(sent)
                carry_out(core.made)
                carry_out(core.frames(sent, 1, end=True))
        for name, since_ms in arrived.items():
            if name not in gone and core.now_ms - since_ms >= DEADLINE_MS:
                gone.add(name)
                carry_out(core.tell(inputs.CallerGone, name))
        if core.now_ms % 50 == 0:
            carry_out(core.tell(inputs.Tick))
    return got


def a_crowd_leaves_most_answers_in_time() -> None:
    """With half more work than engines can do, half of it is in time.

    Symptom: for seconds after a burst every first token is late, at a median
        of 1.4 s where 0.5 s were wanted.
    Sequence: 1.5 times the work that engines can do, for eight seconds, on
        engines half as fast as the settings assume.
    Cause: requests served in the order of arrival, each a little later than
        the one before; and queues taken for half as long as they are.
    """
    before = play(load=1.5, for_s=8.0, behind_rank=0, learns_pace=0)
    after = play(load=1.5, for_s=8.0)
    assert before.in_time < 0.25 * before.asked, before
    assert after.in_time > 0.5 * after.asked, after


def a_calm_hour_is_served_as_before() -> None:
    """Without pressure nothing goes behind.

    Symptom: answers that could be in time are sent behind others.
    Sequence: half of the work that engines can do.
    Cause: an estimate that is far too high.
    """
    got = play(load=0.5, for_s=8.0)
    assert got.in_time > 0.99 * got.asked, got
