"""Simulated fleets before engines that crash on parts of prompts.

Decisions and messages are those of the core; engines, callers and the network
are small models on virtual time. Engines end for other reasons as well, some
daemons start again or hear of others late.
"""

from __future__ import annotations

import bisect
import dataclasses
import heapq
import random
from typing import TYPE_CHECKING

from godwittack.core import crashes, effects, entities, inputs, policy, work

if TYPE_CHECKING:
    from collections.abc import Callable

TARGET = "llm"
RUN_MS = 30_000
CALM_MS = 4_000
TICK_MS = 50
DOWN_MS = 3_000
# Limits that operators set.
FIFTH = 5
REFUSED_AFTER_MS = 3_000
MAX_LATE = 3
FIRST_PARTS = 5
SECOND_PARTS = 60
# A daemon that is disturbed is out of touch until it was calm for so long.
STABLE_MS = 3_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """One kind of session.

    Attributes:
        daemons: How many.
        engines: How many.
        rate_per_s: Sound requests.
        bad_parts: Parts that crash engines.
        bad_per_s: Requests with one of them.
        bad_share: Share of these that crash their engine.
        run_ms: Mean time of a run.
        faults: Other faults of the session.
    """

    daemons: int = 9
    engines: int = 6
    rate_per_s: float = 90.0
    bad_parts: tuple[str, ...] = ("bad",)
    bad_per_s: float = 2.0
    bad_share: float = 1.0
    run_ms: float = 250.0
    faults: tuple[str, ...] = ()


class Daemon:
    """The tables of one daemon, and how late it hears of others."""

    def __init__(self, name: str, engines: dict[str, str], now_ms: int) -> None:
        self.name = name
        self.world = entities.World(
            daemon=name, policy=policy.Policy(), now_ms=now_ms
        )
        self.calm_since_ms = now_ms
        for server_id in engines:
            self.list_engine(server_id)

    def list_engine(self, server_id: str) -> None:
        """Adds an engine to the daemon's list."""
        self.world.servers[server_id] = entities.ServerRow(
            server_id=server_id,
            address=server_id,
            target=TARGET,
            incarnation=f"{server_id}@1",
        )

    def is_in_touch(self, now_ms: int) -> bool:
        """Returns whether the limits on time apply to it."""
        return now_ms - self.calm_since_ms >= STABLE_MS


@dataclasses.dataclass
class Run:
    """A request that runs on an engine."""

    daemon: Daemon
    request: entities.RequestRow
    attempt: entities.AttemptRow
    is_ended: bool = False


class Fleet:
    """Plays one seed.

    Attributes:
        crashes_ms: When an engine ended under a bad part, by part.
        sent_ms: When daemons in touch sent a request with it, by part.
        sound_refused: Sound requests that were refused.
        sound_sent: Sound requests that were sent.
    """

    def __init__(self, seed: int, plan: Plan) -> None:
        self.rng = random.Random(seed)
        self.plan = plan
        self.now_ms = 0
        self.crashes_ms: dict[str, list[int]] = {p: [] for p in plan.bad_parts}
        self.sent_ms: dict[str, list[int]] = {p: [] for p in plan.bad_parts}
        self.sound_refused = 0
        self.sound_sent = 0
        self.refused_parts: set[str] = set()
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._number = 0
        # Address to the engine that serves there; empty while it is down.
        self._engines = {f"a{n}": f"a{n}.0" for n in range(plan.engines)}
        self._runs: dict[str, list[Run]] = {}
        self.daemons = [
            Daemon(f"d{n}@0", dict.fromkeys(self._engines.values(), ""), 0)
            for n in range(plan.daemons)
        ]
        # Until when messages to a daemon are late.
        self._late_until_ms: dict[str, int] = {}

    def play(self) -> None:
        """Plays the whole session."""
        self._at(0, self._send_sound)
        self._at(CALM_MS, self._send_bad)
        self._at(TICK_MS, self._tick)
        for fault in self.plan.faults:
            at_ms = self.rng.randrange(CALM_MS // 2, RUN_MS - 8_000)
            self._at(at_ms, getattr(self, f"_{fault}"))
        while self._queue and self._queue[0][0] < RUN_MS:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()

    def late(self, part: str) -> int:
        """Returns how many requests were sent late after the fifth crash."""
        crashes_ms = sorted(self.crashes_ms[part])
        if len(crashes_ms) < FIFTH:
            return 0
        limit_ms = crashes_ms[FIFTH - 1] + REFUSED_AFTER_MS
        sent_ms = sorted(self.sent_ms[part])
        return len(sent_ms) - bisect.bisect_right(sent_ms, limit_ms)

    def _at(self, at_ms: float, action: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._queue, (round(at_ms), self._number, action))

    def _after(self, ms: float, action: Callable[[], None]) -> None:
        self._at(self.now_ms + max(1, ms), action)

    def _tick(self) -> None:
        for daemon in self.daemons:
            daemon.world.now_ms = self.now_ms
            crashes.settle(daemon.world)
            self._deliver(daemon)
        if self.now_ms % 1_000 < TICK_MS:
            self._exchange()
        self._after(TICK_MS, self._tick)

    def _exchange(self) -> None:
        """Lets each daemon compare its crashes with those of another one."""
        for daemon in self.daemons:
            other = self.rng.choice(self.daemons)
            known = other.world.quarantine
            if known.digest() != daemon.world.quarantine.digest():
                told = known.crashes_to_exchange() + known.broken_runs()
                self._tell(daemon, told, known.completions())

    def _deliver(self, daemon: Daemon) -> None:
        """Sends what a daemon tells to all others."""
        pending = daemon.world.pending_effects
        daemon.world.pending_effects = []
        for effect in pending:
            if isinstance(effect, effects.TellCrashes):
                for other in self.daemons:
                    if other is not daemon:
                        self._tell(other, effect.crashes, effect.completions)

    def _tell(self, daemon: Daemon, told: tuple, completions: tuple) -> None:
        late_until_ms = self._late_until_ms.get(daemon.name, 0)
        wait_ms = max(0, late_until_ms - self.now_ms)

        def arrive() -> None:
            if daemon not in self.daemons:
                return
            daemon.world.now_ms = self.now_ms
            crashes.apply_peer_update(
                daemon.world, inputs.CrashesTold(self.now_ms, told, completions)
            )
            self._deliver(daemon)

        self._after(wait_ms + self.rng.expovariate(1 / 8), arrive)

    def _send_sound(self) -> None:
        first = self.rng.randrange(FIRST_PARTS)
        second = int(self.rng.paretovariate(0.7)) % SECOND_PARTS
        self._send((f"f{first}", f"s{second}"), "")
        self._after(
            self.rng.expovariate(self.plan.rate_per_s / 1_000), self._send_sound
        )

    def _send_bad(self) -> None:
        part = (
            self.rng.choice(self.plan.bad_parts)
            if (self.plan.bad_parts)
            else ""
        )
        if not part:
            return
        first = self.rng.randrange(FIRST_PARTS)
        self._send((f"f{first}", part, "s1"), part)
        self._after(
            self.rng.expovariate(self.plan.bad_per_s / 1_000), self._send_bad
        )

    def _send(self, parts: tuple[str, ...], bad: str) -> None:
        """Sends a request at any daemon to the engine of its first part."""
        daemon = self.rng.choice(self.daemons)
        world = daemon.world
        world.now_ms = self.now_ms
        self._number += 1
        request = entities.RequestRow(
            request_id=f"r{self._number}",
            work=work.Work(
                kind=work.WorkKind.PLAIN,
                token_sha256="",
                target=TARGET,
                parts=parts,
                fingerprint=f"{self._number}",
            ),
            workspace="w",
            arrived_at_ms=self.now_ms,
            deadline_at_ms=self.now_ms + 10_000,
        )
        up = [e for e in self._engines.values() if e in world.servers]
        if crashes.is_quarantined(world, request):
            self.sound_refused += not bad
            if not bad:
                self.refused_parts.update(
                    world.quarantine.blamed(request.suspect_keys)
                )
            return
        if not up:
            return
        home = hash_of(parts[0]) % len(up)
        spread = self.rng.random() < 0.3
        engine = self.rng.choice(up) if spread else up[home]
        self.sound_sent += not bad
        if bad and daemon.is_in_touch(self.now_ms):
            self.sent_ms[bad].append(self.now_ms)
        attempt = entities.AttemptRow(
            attempt_id=request.request_id,
            request_id=request.request_id,
            server_id=engine,
            stamp=None,
            stream_id="",
            sent_at_ms=self.now_ms,
            last_progress_ms=self.now_ms,
            incarnation_id=crashes.incarnation_id(world, world.servers[engine]),
        )
        run = Run(daemon, request, attempt)
        self._runs.setdefault(engine, []).append(run)
        begins_ms = self.rng.uniform(0.2, 0.8) * self.plan.run_ms
        if bad and self.rng.random() < self.plan.bad_share:
            self._after(begins_ms, lambda: self._crash_under(run, bad))
            return
        ends_ms = begins_ms + self.rng.expovariate(2 / self.plan.run_ms)
        self._after(ends_ms, lambda: self._complete(run))

    def _complete(self, run: Run) -> None:
        if run.is_ended:
            return
        run.is_ended = True
        self._runs[run.attempt.server_id].remove(run)
        run.daemon.world.now_ms = self.now_ms
        crashes.record_completion(run.daemon.world, run.request)
        self._deliver(run.daemon)

    def _crash_under(self, run: Run, bad: str) -> None:
        if not run.is_ended:
            self.crashes_ms[bad].append(self.now_ms)
            self._crash(run.attempt.server_id)

    def _crash(self, engine: str) -> None:
        """Ends an engine; daemons learn of it by what they had sent there."""
        address = engine.partition(".")[0]
        if self._engines[address] != engine:
            return
        self._engines[address] = ""
        for run in self._runs.pop(engine, []):
            run.is_ended = True
            self._after(self.rng.uniform(1, 10), self._break(run))
        for daemon in self.daemons:
            self._after(
                self.rng.uniform(15, 60), self._end_process(daemon, engine)
            )
        self._after(DOWN_MS, lambda: self._start_engine(address))

    def _break(self, run: Run) -> Callable[[], None]:
        def act() -> None:
            run.daemon.world.now_ms = self.now_ms
            crashes.record_broken_connection(
                run.daemon.world, run.request, run.attempt
            )

        return act

    def _end_process(self, daemon: Daemon, engine: str) -> Callable[[], None]:
        def act() -> None:
            server = daemon.world.servers.pop(engine, None)
            if server is not None:
                daemon.world.now_ms = self.now_ms
                crashes.record_process_end(daemon.world, server)
                self._deliver(daemon)

        return act

    def _start_engine(self, address: str) -> None:
        self._number += 1
        engine = f"{address}.{self._number}"
        self._engines[address] = engine
        for daemon in self.daemons:
            daemon.list_engine(engine)

    def _outage(self) -> None:
        """Ends all engines at one time."""
        for engine in filter(None, list(self._engines.values())):
            self._after(
                self.rng.uniform(0, 60), lambda e=engine: self._crash(e)
            )

    def _rolling(self) -> None:
        """Ends the engines one after the other."""
        gap_ms = self.rng.uniform(150, 1_000)
        for n, engine in enumerate(filter(None, list(self._engines.values()))):
            self._after(n * gap_ms, lambda e=engine: self._crash(e))

    def _single(self) -> None:
        """Ends one engine."""
        up = [engine for engine in self._engines.values() if engine]
        if up:
            self._crash(self.rng.choice(up))

    def _herd(self) -> None:
        """Starts all daemons again, without what they knew."""
        for daemon in list(self.daemons):
            self._restart(daemon)

    def _some_start(self) -> None:
        """Starts a part of the daemons again."""
        for daemon in self.rng.sample(self.daemons, len(self.daemons) // 3):
            self._restart(daemon)

    def _herd_and_outage(self) -> None:
        """Ends all engines when no daemon knows what has completed."""
        self._herd()
        self._after(self.rng.uniform(20, 400), self._outage)

    def _late_news(self) -> None:
        """Lets some daemons hear of others only seconds later."""
        for daemon in self.rng.sample(self.daemons, len(self.daemons) // 3):
            until_ms = self.now_ms + self.rng.randrange(500, 4_000)
            self._late_until_ms[daemon.name] = until_ms
            daemon.calm_since_ms = until_ms

    def _restart(self, daemon: Daemon) -> None:
        name = f"{daemon.name.partition('@')[0]}@{self.now_ms}"
        up = dict.fromkeys(filter(None, self._engines.values()), "")
        self.daemons.remove(daemon)
        self.daemons.append(Daemon(name, up, self.now_ms))
        for runs in self._runs.values():
            for run in [r for r in runs if r.daemon is daemon]:
                run.is_ended = True
                runs.remove(run)


def hash_of(text: str) -> int:
    """Returns a number that is the same in each process."""
    return sum(ord(c) * 31**n for n, c in enumerate(text))


__all__ = ["MAX_LATE", "Fleet", "Plan"]
