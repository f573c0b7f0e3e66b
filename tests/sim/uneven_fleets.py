"""A fleet of router cores before engines of different and changing pace."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
import sys

from cases import routed_core
from godwittack.core import effects, inputs, server_inputs, work

ENGINES = 30
SPEEDS = (0.6, 1.0, 1.6)
SLOTS = 12
TOKENS_PER_MS = 157
MS_PER_PAIR = 0.109e-6
FIRST_TOKEN_MS = 26
COPY_MS_PER_TOKEN = 1.7e-3
CACHE_TOKENS = 186_200
SLOW_PERCENT = 250
SLOW_MS = 600
SLOW_SHARE = 1 / 7
SHORT_PER_S = 250
LONG_PER_S = 104
SHARED_TEXTS = 40
GENERATION_MS = {"short": 350, "long": 700}
TICK_MS = 50
REPORT_MS = 600
LINK_MS = 2
FLUSH_MS = 570
TARGETS_MS = {"short": 273, "long": 563}
DEADLINES_MS = {"short": 3_282, "long": 6_760}
ROUTES = tuple(
    routed_core.route(
        kind,
        routed_core.ENGINES,
        streaming=True,
        priority=priority,
        timeout_ms=DEADLINES_MS[kind],
    )
    for priority, kind in enumerate(("short", "long"))
)


@dataclasses.dataclass(slots=True)
class Prompt:
    """A request as its engine sees it."""

    kind: str
    core: routed_core.Core
    sent: effects.Dispatch
    levels: tuple[work.Level, ...]
    arrived_ms: int


class Engine:
    """Admits by priority, then computes prompts one after another."""

    def __init__(self, fleet: Fleet, name: str, speed: float) -> None:
        self.fleet = fleet
        self.name = name
        self.speed = speed
        self.slow_until_ms = 0
        self.computing = False
        self.waiting: list[tuple[int, int, Prompt]] = []
        self.admitted: collections.deque[Prompt] = collections.deque()
        self.running = 0
        self.cached: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    @property
    def pace_percent(self) -> int:
        """Pace of its machine at this moment."""
        is_slow = self.slow_until_ms > self.fleet.now_ms
        return SLOW_PERCENT if is_slow else 100

    def add(self, prompt: Prompt) -> None:
        """Receives a request."""
        order = (prompt.sent.priority, next(self.fleet.counter), prompt)
        heapq.heappush(self.waiting, order)
        self._go_on()

    def _go_on(self) -> None:
        while self.waiting and self.running < SLOTS:
            self.running += 1
            self.admitted.append(heapq.heappop(self.waiting)[2])
        if self.admitted and not self.computing:
            self.computing = True
            prompt = self.admitted.popleft()
            took_ms = self._prefill_ms(prompt)
            self.fleet.at(took_ms, lambda: self._computed(prompt))

    def _prefill_ms(self, prompt: Prompt) -> float:
        """Returns how long a prompt takes, and caches its levels."""
        reused = copied = 0
        source = self.fleet.engines_by_address.get(prompt.sent.kv_fetch_from)
        for level in prompt.levels:
            if level.key in self.cached:
                reused += level.tokens
            elif source is not None and level.key in source.cached:
                copied += level.tokens
            else:
                break
        new = sum(lv.tokens for lv in prompt.levels) - reused - copied
        for level in prompt.levels:
            self.cached[level.key] = level.tokens
            self.cached.move_to_end(level.key)
        while sum(self.cached.values()) > CACHE_TOKENS:
            self.cached.popitem(last=False)
        pairs = new * (reused + copied + new / 2)
        work_ms = new / TOKENS_PER_MS + pairs * MS_PER_PAIR
        # A step is lengthened by the requests that generate in it.
        work_ms *= (1 + 0.02 * self.running) / self.speed
        return self._stretched(work_ms) + copied * COPY_MS_PER_TOKEN

    def _stretched(self, work_ms: float) -> float:
        slow_ms = max(0, self.slow_until_ms - self.fleet.now_ms)
        ratio = SLOW_PERCENT / 100
        if work_ms * ratio <= slow_ms:
            return work_ms * ratio
        return slow_ms + work_ms - slow_ms / ratio

    def _computed(self, prompt: Prompt) -> None:
        self.computing = False
        self.fleet.at(FIRST_TOKEN_MS, lambda: self._first_token(prompt))
        self._go_on()

    def _first_token(self, prompt: Prompt) -> None:
        self.fleet.first_token(self, prompt)
        took_ms = GENERATION_MS[prompt.kind] / self.speed
        self.fleet.at(took_ms, lambda: self._end(prompt))

    def _end(self, prompt: Prompt) -> None:
        self.running -= 1
        self.fleet.end(self, prompt)
        self._go_on()


class Fleet:
    """Daemons that share engines, on virtual time."""

    def __init__(
        self,
        *,
        daemons: int = 20,
        seed: int = 1,
        uneven_servers: int,
        load: float = 1.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.load = load
        self.now_ms = 20_000
        self.counter = itertools.count()
        self._events: list = []
        self.took_ms: dict[str, list[int]] = {"short": [], "long": []}
        self.refused = collections.Counter()
        self.prompts: dict[str, tuple[str, tuple, int]] = {}
        self.engines = {
            f"e{n + 1}": Engine(self, f"e{n + 1}", SPEEDS[n % len(SPEEDS)])
            for n in range(ENGINES)
        }
        self.cores = [
            routed_core.Core(
                servers=ENGINES,
                started_at_ms=self.now_ms,
                uneven_servers=uneven_servers,
            )
            for _ in range(daemons)
        ]
        for core in self.cores:
            core.tell(inputs.TableChanged, routed_core.table(2, routes=ROUTES))
        self.engines_by_address = {
            row.address: self.engines[name]
            for name, row in self.cores[0].world.servers.items()
            if name in self.engines
        }
        self.pending: dict[int, dict[str, effects.TellLoad]] = (
            collections.defaultdict(dict)
        )

    def at(self, in_ms: float, call) -> None:
        """Calls a function after some time."""
        due_ms = self.now_ms + in_ms
        heapq.heappush(self._events, (due_ms, next(self.counter), call))

    def play(self, *, seconds: float, measured_from_s: float = 0.0) -> None:
        """Plays the load; only first tokens after a time count."""
        start_ms = self.now_ms
        self.measured_from_ms = start_ms + measured_from_s * 1000
        self._schedule(seconds * 1000)
        while self._events:
            due_ms, _, call = heapq.heappop(self._events)
            self.now_ms = max(self.now_ms, round(due_ms))
            if self.now_ms > start_ms + seconds * 1000:
                break
            call()

    def _schedule(self, until_ms: float) -> None:
        for kind, per_s in (("short", SHORT_PER_S), ("long", LONG_PER_S)):
            due_ms = 0.0
            while due_ms < until_ms:
                due_ms += self.rng.expovariate(per_s * self.load) * 1000
                self.at(due_ms, lambda kind=kind: self._arrive(kind))
        for core in self.cores:
            first_ms = self.rng.uniform(0, TICK_MS)
            for number in range(int(until_ms // TICK_MS)):
                self.at(
                    first_ms + number * TICK_MS,
                    lambda core=core: self._tell(core, inputs.Tick),
                )
        for engine in self.engines.values():
            first_ms = self.rng.uniform(0, REPORT_MS)
            for number in range(int(until_ms // REPORT_MS)):
                self.at(
                    first_ms + number * REPORT_MS,
                    lambda engine=engine: self._report(engine),
                )
            due_ms = 0.0
            while due_ms < until_ms:
                usual_ms = SLOW_MS * (1 - SLOW_SHARE) / SLOW_SHARE
                due_ms += self.rng.expovariate(1 / usual_ms)
                self.at(due_ms, lambda engine=engine: self._slow(engine))
                due_ms += SLOW_MS
        for number in range(len(self.cores)):
            first_ms = self.rng.uniform(0, FLUSH_MS)
            for step in range(int(until_ms // FLUSH_MS)):
                self.at(
                    first_ms + step * FLUSH_MS,
                    lambda number=number: self._flush(number),
                )

    def _slow(self, engine: Engine) -> None:
        engine.slow_until_ms = self.now_ms + SLOW_MS

    def _prompt(self, kind: str) -> tuple[work.Level, ...]:
        own_key = 1_000_000 + next(self.counter)
        if kind == "short":
            own = min(1_830, 20 + round(self.rng.expovariate(1 / 270)))
            shared = work.Level(10 + self.rng.randrange(5), 92)
            return shared, work.Level(own_key, own)
        text = min(
            self.rng.randrange(SHARED_TEXTS), self.rng.randrange(SHARED_TEXTS)
        )
        shared_tokens = random.Random(text).choice(
            (4_000, 8_000, 12_000, 14_000, 39_900)
        )
        own = min(53_200, 300 + round(self.rng.lognormvariate(7.5, 1.1)))
        shared = work.Level(1_000 + text, shared_tokens)
        return shared, work.Level(own_key, own)

    def _arrive(self, kind: str) -> None:
        core = self.rng.choice(self.cores)
        levels = self._prompt(kind)
        name = f"{kind}{next(self.counter)}"
        self.prompts[name] = (kind, levels, self.now_ms)
        core.now_ms = self.now_ms
        core.arrive(
            kind,
            name,
            levels=levels,
            deadline_ms=DEADLINES_MS[kind],
        )
        self._handle(core, core.last_effects)

    def _tell(self, core: routed_core.Core, kind, **fields) -> None:
        core.now_ms = self.now_ms
        self._handle(core, core.tell_named(kind, **fields))

    def _report(self, engine: Engine) -> None:
        age_ms = round(self.rng.uniform(300, 900))
        fields = {
            "server_id": engine.name,
            "incarnation": engine.name,
            "weights_version": "1",
            "running": engine.running,
            "waiting": len(engine.waiting),
            "waiting_tokens": 0,
            "prefill_us_per_token": 0,
            "slots": SLOTS,
            "age_ms": age_ms,
        }
        for core in self.cores:
            self.at(
                age_ms,
                lambda core=core: self._tell(
                    core, server_inputs.LoadReported, **fields
                ),
            )

    def _handle(self, core: routed_core.Core, new_effects) -> None:
        for effect in new_effects:
            match effect:
                case effects.Dispatch():
                    kind, levels, arrived_ms = self.prompts[effect.request_id]
                    engine = self.engines[effect.server_id]
                    engine.add(Prompt(kind, core, effect, levels, arrived_ms))
                case effects.Refuse():
                    kind, _, _ = self.prompts[effect.request_id]
                    self.refused[kind] += 1
                case effects.Announce():
                    self._announce(core, effect)
                case effects.TellLoad():
                    number = self.cores.index(core)
                    self.pending[number][effect.server_id] = effect

    def _announce(
        self, sender: routed_core.Core, announced: effects.Announce
    ) -> None:
        load = None
        if announced.load is not None:
            load = server_inputs.LoadTold(
                at_ms=self.now_ms + LINK_MS,
                server_id=announced.server_id,
                running=announced.load.running,
                waiting=announced.load.waiting,
                pace_percent=announced.load.pace_percent,
                age_ms=self.now_ms - announced.load.at_ms,
                delay_ms=announced.delay_ms,
            )
        for core in self.cores:
            if core is not sender:
                self.at(
                    LINK_MS,
                    lambda core=core: self._tell(
                        core,
                        server_inputs.PeerDispatched,
                        server_id=announced.server_id,
                        tokens=announced.tokens,
                        priority=announced.priority,
                        levels=announced.levels,
                        load=load,
                    ),
                )

    def _flush(self, number: int) -> None:
        pending = self.pending.pop(number, {})
        sender = f"d{number}"
        for core in self.cores:
            if core is not self.cores[number] and pending:
                self.at(
                    LINK_MS, lambda core=core: self._told(core, sender, pending)
                )

    def _told(
        self,
        core: routed_core.Core,
        sender: str,
        pending: dict[str, effects.TellLoad],
    ) -> None:
        for load in pending.values():
            self._tell(
                core,
                server_inputs.LoadTold,
                server_id=load.server_id,
                running=load.running,
                waiting=load.waiting,
                slots=load.slots,
                pace_percent=load.pace_percent,
                age_ms=self.now_ms - load.at_ms,
                incarnation=load.incarnation,
                daemon=sender,
                reference_prompt_us=load.reference_prompt_us,
                samples=load.samples,
                delay_ms=load.delay_ms,
            )

    def first_token(self, engine: Engine, prompt: Prompt) -> None:
        """Delivers the head and first event of a stream."""
        core = prompt.core
        core.now_ms = self.now_ms
        if prompt.sent.request_id in core.world.requests:
            if self.now_ms >= self.measured_from_ms:
                took_ms = self.now_ms - prompt.arrived_ms
                self.took_ms[prompt.kind].append(took_ms)
            self._echo(engine, core)
            self._handle(core, core.open(prompt.sent))
            self._handle(core, core.frames(prompt.sent, 1))

    def _echo(self, engine: Engine, core: routed_core.Core) -> None:
        self._tell(
            core,
            server_inputs.LoadEchoed,
            server_id=engine.name,
            running=engine.running,
            waiting=len(engine.waiting),
            slots=SLOTS,
            pace_percent=engine.pace_percent,
        )

    def end(self, engine: Engine, prompt: Prompt) -> None:
        """Delivers the end of a stream."""
        core = prompt.core
        core.now_ms = self.now_ms
        if prompt.sent.request_id in core.world.requests:
            self._handle(core, core.frames(prompt.sent, 2, end=True))


def quantile(values: list[int], part: float) -> int:
    """Returns a quantile of values."""
    return sorted(values)[int(len(values) * part)]


def in_time(fleet: Fleet, kind: str) -> float:
    """Returns the part of answers that began within their target latency."""
    took = fleet.took_ms[kind]
    return sum(ms <= TARGETS_MS[kind] for ms in took) / len(took)


def describe(fleet: Fleet) -> str:
    """Returns median, 95th percentile and part in time of first tokens."""
    return " ".join(
        f"{kind}: {quantile(took, 0.5)} {quantile(took, 0.95)} ms"
        f" {in_time(fleet, kind):.3f} refused {fleet.refused[kind]}"
        for kind, took in fleet.took_ms.items()
    )


def main(seed: int, load: float, seconds: float) -> None:
    """Prints a comparison of the setting off and on."""
    for setting in (0, 1):
        fleet = Fleet(uneven_servers=setting, seed=seed, load=load)
        fleet.play(seconds=seconds, measured_from_s=seconds / 3)
        print(setting, describe(fleet))


if __name__ == "__main__":
    main(int(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3]))
