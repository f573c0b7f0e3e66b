"""Engines with little memory, and the load of deployment A on some of them."""

from __future__ import annotations

import collections
import dataclasses
import random

from cases import routed_core
from godwittack.core import effects, inputs, server_inputs, work
from godwittack.peer import codec
from godwittack.table import forwarding

TOTAL_TOKENS = 140_763
SLOTS = 12
BLOCK_TOKENS = 16
PREFILL_TOKENS_PER_MS = 61.2
MS_PER_GENERATED_TOKEN = 4
STEP_MS = 10
REPORT_INTERVAL_MS = 300
# Most tokens of an answer; a tenth of them to all of them are generated.
ANSWER_TOKENS = {"long": 1_600, "short": 150}
# Mean and largest shared and own part of long prompts.
LONG_TOKENS = ((13_300, 39_900), (3_720, 53_200))
DOCUMENTS = 12
DEADLINE_MS = {"long": 6_317, "short": 3_282}
# Per engine and second; bursts of long prompts last 6 s.
LONG_PER_S, SHORT_PER_S, BURST_FACTOR = 24.6 / 28, 371 / 28, 2.5
ENGINES, DAEMONS = 4, 3

ROUTES = (
    routed_core.route(
        "long",
        routed_core.ENGINES,
        streaming=True,
        timeout_ms=DEADLINE_MS["long"],
        aim_ms=1_263,
        priority=2,
    ),
    routed_core.route(
        "short",
        routed_core.ENGINES,
        streaming=True,
        timeout_ms=DEADLINE_MS["short"],
        aim_ms=273,
    ),
)
REPORT = {
    "weights_version": "1",
    "running": 1,
    "waiting": 0,
    "waiting_tokens": 0,
    "prefill_us_per_token": 0,
    "slots": SLOTS,
    "kv_total_tokens": TOTAL_TOKENS,
}


def _table():
    """Returns the configuration of deployment A, with one model."""
    result = routed_core.table(2, routes=ROUTES)
    limits = forwarding.EngineLimits(
        model="m",
        slots=SLOTS,
        kv_capacity_tokens=TOTAL_TOKENS,
        kv_token_bytes=163_840,
        link_mbps=1_100_000,
    )
    engines = {routed_core.ENGINES: limits}
    return dataclasses.replace(
        result,
        forwarding=dataclasses.replace(result.forwarding, engines=engines),
    )


def memory_core(
    *, is_on: bool, engines: int = ENGINES, uneven_servers: int = 1
) -> routed_core.Core:
    """Returns a core whose engines have reported their pace."""
    core = routed_core.Core(
        servers=engines,
        uneven_servers=uneven_servers,
        engine_memory=int(is_on),
        learns_pace=0,
        prefill_us_per_token=16,
    )
    core.tell(inputs.TableChanged, _table())
    for number in range(1, engines + 1):
        echo_pace(core, f"e{number}")
    return core


def echo_pace(
    core: routed_core.Core, server: str, **load
) -> list[effects.Effect]:
    """Delivers a load header with a pace."""
    return core.tell_named(
        server_inputs.LoadEchoed,
        server_id=server,
        **{"running": 0, "waiting": 0, "slots": SLOTS, "pace_percent": 100}
        | load,
    )


def report(
    core: routed_core.Core, server: str, used_tokens: int, **fields
) -> list[effects.Effect]:
    """Delivers an engine's report of its memory."""
    return core.tell_named(
        server_inputs.LoadReported,
        server_id=server,
        kv_used_tokens=used_tokens,
        **REPORT | {"incarnation": server} | fields,
    )


def blocks(tokens: int) -> int:
    """Returns the memory allocated for some tokens."""
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


@dataclasses.dataclass(eq=False)
class Job:
    """One request at an engine."""

    sent: effects.Dispatch
    core: routed_core.Core
    shared: tuple[int, int]
    own_tokens: int
    answer_tokens: int
    prefill_left: float = 0.0
    generated: float = 0.0
    began: bool = False

    @property
    def own_memory(self) -> int:
        """Memory that no other request uses."""
        return blocks(self.own_tokens + int(self.generated))


class Engine:
    """An engine that preempts running requests when its memory is full.

    It begins the most urgent waiting request first. A more urgent one that does
    not fit, and an answer that grows, take the memory of the least urgent and
    newest running request, which waits again.
    """

    def __init__(self) -> None:
        self.waiting: list[Job] = []
        self.running: list[Job] = []
        self.cached: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self.preempted = 0

    def used_tokens(self) -> int:
        """Returns the memory that can't be freed."""
        shared = dict(job.shared for job in self.running)
        return sum(shared.values()) + sum(j.own_memory for j in self.running)

    def step(self) -> tuple[list[Job], list[Job]]:
        """Computes for `STEP_MS`; returns the jobs that begin and that end."""
        self._admit()
        budget = PREFILL_TOKENS_PER_MS * STEP_MS
        for job in sorted(self.running, key=lambda j: j.sent.priority):
            done = min(budget, job.prefill_left)
            job.prefill_left -= done
            budget -= done
        ready = [job for job in self.running if job.prefill_left <= 0]
        for job in ready:
            job.generated += STEP_MS / MS_PER_GENERATED_TOKEN
        begun = [job for job in ready if not job.began]
        for job in begun:
            job.began = True
        ended = [job for job in ready if job.generated >= job.answer_tokens]
        self.running = [job for job in self.running if job not in ended]
        while self.used_tokens() > TOTAL_TOKENS:
            self._preempt(self._victims()[0])
        self._evict()
        return begun, ended

    def remove(self, job: Job) -> None:
        """Ends a job whose time is over."""
        for jobs in (self.running, self.waiting):
            if job in jobs:
                jobs.remove(job)

    def _admit(self) -> None:
        self.waiting.sort(key=lambda job: job.sent.priority)
        while self.waiting and len(self.running) < SLOTS:
            job = self.waiting[0]
            while self._missing(job) > 0:
                victims = self._victims(less_urgent_than=job.sent.priority)
                if not victims:
                    return
                self._preempt(victims[0])
                self.waiting.sort(key=lambda j: j.sent.priority)
            self.waiting.remove(job)
            key, shared_tokens = job.shared
            new_tokens = job.own_tokens + int(job.generated)
            if key not in self.cached:
                new_tokens += shared_tokens
            self.cached[key] = shared_tokens
            self.cached.move_to_end(key)
            job.prefill_left = new_tokens
            self.running.append(job)

    def _missing(self, job: Job) -> int:
        is_shared = any(one.shared[0] == job.shared[0] for one in self.running)
        needed = job.own_memory + (0 if is_shared else job.shared[1])
        return self.used_tokens() + needed - TOTAL_TOKENS

    def _victims(self, less_urgent_than: int = -1) -> list[Job]:
        return sorted(
            (j for j in self.running if j.sent.priority > less_urgent_than),
            key=lambda j: (-j.sent.priority, -self.running.index(j)),
        )

    def _preempt(self, job: Job) -> None:
        self.preempted += 1
        self.running.remove(job)
        self.waiting.insert(0, job)

    def _evict(self) -> None:
        in_use = {job.shared[0] for job in self.running}
        free = TOTAL_TOKENS - self.used_tokens()
        for key in list(self.cached):
            idle = sum(t for k, t in self.cached.items() if k not in in_use)
            if idle <= free:
                return
            if key not in in_use:
                del self.cached[key]


@dataclasses.dataclass
class Result:
    """What became of one request."""

    kind: str
    parts: tuple[work.Level, ...]
    arrived_ms: int
    first_token_ms: int = -1


class Load:
    """Daemons that share some engines, with a burst of long prompts.

    Reports are 300 ms apart, and announcements reach the others in the next
    step.
    """

    def __init__(self, *, is_on: bool, seed: int = 1) -> None:
        self._random = random.Random(seed)
        self._cores = [memory_core(is_on=is_on) for _ in range(DAEMONS)]
        self.engines = {f"e{n}": Engine() for n in range(1, ENGINES + 1)}
        self.results: dict[str, Result] = {}
        self._jobs: dict[tuple[int, str], Job] = {}
        self._announced: list[tuple[routed_core.Core, effects.Announce]] = []

    @property
    def preempted(self) -> int:
        """Preemptions of all engines."""
        return sum(engine.preempted for engine in self.engines.values())

    def play(self, *, seconds: int) -> None:
        """Plays load with bursts of long prompts, then lets it end."""
        begins_ms = self._cores[0].now_ms
        for at_ms in range(0, (seconds + 8) * 1_000, STEP_MS):
            for core in self._cores:
                core.now_ms = begins_ms + at_ms
            if at_ms < seconds * 1_000:
                self._arrive(at_ms)
            self._run_engines()
            self._announce()
            if at_ms % REPORT_INTERVAL_MS < STEP_MS:
                self._report()
            if at_ms % 50 < STEP_MS:
                for core in self._cores:
                    self._handle(core, core.tell(inputs.Tick))

    def of(self, kind: str) -> list[Result]:
        """Returns the results of one kind, the largest prompts first."""
        found = [one for one in self.results.values() if one.kind == kind]
        return sorted(found, key=lambda one: -sum(p.tokens for p in one.parts))

    def _arrive(self, at_ms: int) -> None:
        is_burst = at_ms % 12_000 >= 6_000
        factor = BURST_FACTOR if is_burst else 1.0
        chances = {"long": LONG_PER_S * factor, "short": SHORT_PER_S}
        for kind, per_s in chances.items():
            if self._random.random() < per_s * ENGINES * STEP_MS / 1_000:
                self._send(kind)

    def _send(self, kind: str) -> None:
        name = f"{kind}{len(self.results)}"
        document = self._random.randrange(DOCUMENTS)
        sizes = random.Random(document)
        if kind == "long":
            (mean, most), (own_mean, own_most) = LONG_TOKENS
            shared = min(most, 4_000 + int(sizes.expovariate(1 / (mean - 4e3))))
            own = min(own_most, 1 + int(self._random.expovariate(1 / own_mean)))
            if self._random.random() < 0.03:
                document, shared, own = DOCUMENTS, most, own_most
        else:
            document, shared = 1_000 + document, 92
            own = min(1_830, 1 + int(self._random.expovariate(1 / 291)))
        parts = (
            work.Level(document + 1, shared),
            work.Level(10_000 + len(self.results), own),
        )
        core = self._random.choice(self._cores)
        self.results[name] = Result(kind, parts, core.now_ms)
        new_effects = core.arrive(
            kind,
            name,
            levels=parts,
            max_tokens=ANSWER_TOKENS[kind],
            deadline_ms=DEADLINE_MS[kind],
        )
        self._handle(core, new_effects)

    def _handle(self, core, new_effects: list[effects.Effect]) -> None:
        for effect in new_effects:
            if isinstance(effect, effects.Dispatch):
                result = self.results[effect.request_id]
                shared, own = result.parts
                most = ANSWER_TOKENS[result.kind]
                job = Job(
                    effect,
                    core,
                    (shared.key, shared.tokens),
                    own.tokens,
                    self._random.randint(most // 10, most),
                )
                key = (self._cores.index(core), effect.attempt_id)
                self._jobs[key] = job
                self.engines[effect.server_id].waiting.append(job)
            elif isinstance(effect, effects.CancelAttempt):
                job = self._jobs[self._cores.index(core), effect.attempt_id]
                self.engines[job.sent.server_id].remove(job)
            elif isinstance(effect, effects.Announce):
                self._announced.append((core, effect))

    def _run_engines(self) -> None:
        for name, engine in self.engines.items():
            begun, ended = engine.step()
            for job in begun:
                result = self.results[job.sent.request_id]
                result.first_token_ms = job.core.now_ms - result.arrived_ms
                self._handle(job.core, job.core.open(job.sent))
                self._handle(job.core, job.core.frames(job.sent, 1))
                new_effects = echo_pace(
                    job.core,
                    name,
                    running=len(engine.running),
                    waiting=len(engine.waiting),
                )
                self._handle(job.core, new_effects)
            for job in ended:
                self._handle(job.core, job.core.frames(job.sent, 2, end=True))

    def _announce(self) -> None:
        announced, self._announced = self._announced, []
        for sender, announcement in announced:
            message = codec.announcement_to_proto(
                announcement, now_ms=sender.now_ms
            )
            for core in self._cores:
                if core is not sender:
                    core.router.step(
                        codec.announcement_from_proto(
                            message, now_ms=core.now_ms
                        )
                    )

    def _report(self) -> None:
        for name, engine in self.engines.items():
            following = engine.waiting[0] if engine.waiting else None
            next_tokens = (
                following.shared[1] + following.own_tokens if following else 0
            )
            for core in self._cores:
                new_effects = report(
                    core,
                    name,
                    engine.used_tokens(),
                    running=len(engine.running),
                    waiting=len(engine.waiting),
                    next_tokens=next_tokens,
                )
                self._handle(core, new_effects)


__all__ = ["REPORT", "SLOTS", "TOTAL_TOKENS", "Load", "Result", "memory_core"]
__all__ += ["report"]
