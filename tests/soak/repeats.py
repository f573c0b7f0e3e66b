"""Seeded sessions that count repeats at the servers, with real processes.

`cd tests && python -m soak.repeats SEED [COUNT [DAEMONS [BUSY]]]` plays seeds
by hand: daemons are killed and started in series, stopped, cut from the store,
while servers decline, stall, lose answers and crash by what they are asked.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import shutil
import signal
import sys
import time
from typing import TYPE_CHECKING

import aiohttp

from cluster import platform
from cluster.platform import Platform

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Where the logs of sessions that went wrong are kept.
KEPT_LOGS = platform.ROOT / "target" / "soak"
PLAY_S = 16.0
ENGINES = 6
SERVICES = 3
TARGETS = {"long": "llm", "short": "llm", "release": "app"}
DEADLINE_MS = 3_000
MAX_ATTEMPTS = 2
DEADLY = b"deadly"
# Drawn from at random, some more often than others.
FAULTS = (
    "decline",
    "decline",
    "stall",
    "lose_answers",
    "crash",
    "kill_most",
    "kill_most",
    "kill_one",
    "pause",
    "store_silent",
)
# What operators allow.
WINDOW_S = 10.0
RATIO = 0.2
MOST_LONGER_RUNS = 3
EXCESS_MS = 500
MOST_EXCESSES = 20
EXCESS_SHARE = 0.2
MOST_CRASHES = 3
KNOWN_AFTER_S = 4.0
# Time after a disturbance for which operators' bounds in time don't hold.
STABLE_S = 4.0
MOST_SENT_ON = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What is asked, and what goes wrong with which pauses between."""

    requests: tuple[str, ...] = (
        "release",
        "release",
        "release",
        "long",
        "short",
    )
    faults: tuple[str, ...] = FAULTS
    gaps_s: tuple[float, float] = (0.4, 1.6)
    declined_share: float = 0.0
    pause_s: tuple[float, float] = (0.05, 0.3)
    calm_s: float = 0.0
    callers: int = 40


RESTARTS = Plan(
    requests=("release",),
    faults=("kill_all",),
    gaps_s=(3.8, 4.2),
    declined_share=0.8,
    pause_s=(0.2, 0.3),
    calm_s=4.0,
    callers=16,
)


class Session:
    """Plays one seed and lists the bounds that did not hold."""

    def __init__(
        self,
        seed: int,
        *,
        daemons: int,
        busy: int = 0,
        plan: Plan | None = None,
    ) -> None:
        self.seed = seed
        self.plan = plan or Plan()
        self.rng = random.Random(seed)
        self.daemons = daemons
        self.asked: dict[str, tuple[str, float]] = {}
        self.asked_at: dict[str, int] = {}
        # When a disturbance of a daemon or its way to the store has ended.
        self._disturbances: list[tuple[float, int]] = []
        self.statuses: collections.Counter[str] = collections.Counter()
        self.crashed_s: list[float] = []
        self.faults: list[str] = []
        self.wrong: list[str] = []
        # When a daemon's process went on after it was killed or stopped.
        self._stops: list[tuple[float, int]] = []
        # Repeats in the worst window, and how many were allowed, by target.
        self.worst: dict[str, tuple[float, float]] = {}
        # Sends of what crashes servers once that is known: all, and those by
        # daemons that nothing had disturbed lately.
        self.sent_on = (0, 0)
        self._busy = busy
        self._stopping = False
        self._tasks: list[asyncio.Task] = []
        self._restarting = [asyncio.Lock() for _ in range(daemons)]

    async def play(self) -> list[str]:
        """Returns what was wrong."""
        async with Platform(
            daemons=self.daemons, engines=ENGINES, services=SERVICES
        ) as made:
            self.made = made
            busy = [await _burn() for _ in range(self._busy)]
            callers = [
                self._call_on(number) for number in range(self.plan.callers)
            ]
            callers += [self._supervise(), self._ask_deadly()]
            tasks = [asyncio.create_task(work) for work in callers]
            try:
                await self._trouble()
                self._stopping = True
                await asyncio.gather(*tasks)
            finally:
                for process in busy:
                    process.kill()
                    await process.wait()
            self._check()
            if self.wrong:
                self._keep_logs()
        return self.wrong

    def summary(self) -> str:
        """Returns what a played session has counted."""
        return (
            f"{len(self.crashed_s)} crashes, {self.sent_on} sent on,"
            f" worst {self.worst}"
        )

    def _keep_logs(self) -> None:
        """Copies the daemons' logs before their folder goes."""
        folder = KEPT_LOGS / f"{type(self).__module__}-{self.seed}"
        folder.mkdir(parents=True, exist_ok=True)
        for log in self.made.logs:
            shutil.copy(log, folder)
        (folder / "faults.txt").write_text("\n".join(self.faults))

    async def _call_on(self, number: int) -> None:
        count = 0
        while not self._stopping:
            count += 1
            kind = self.rng.choice(self.plan.requests)
            await self._ask(f"c{number}-{count}", kind, b"b%d" % number)
            await asyncio.sleep(self.rng.uniform(*self.plan.pause_s))

    async def _ask_deadly(self) -> None:
        count = 0
        while not self._stopping:
            count += 1
            await self._ask(f"x-{count}", "release", DEADLY)
            await asyncio.sleep(0.25)

    async def _ask(self, name: str, kind: str, body: bytes) -> None:
        self.asked[name] = (kind, time.monotonic())
        daemon = self.asked_at[name] = self.rng.randrange(self.daemons)
        try:
            async with asyncio.timeout(4):
                status, headers, _ = await self.made.call(
                    kind, name, daemon=daemon, body=body
                )
            self.statuses[str(status)] += 1
            self._answered(daemon, status, headers)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.statuses[type(error).__name__] += 1

    def _answered(
        self, daemon: int, status: int, headers: dict[str, str]
    ) -> None:
        """Takes in an answer that a daemon passed on."""

    async def _trouble(self) -> None:
        """Begins one fault after the other; each lasts for a while."""
        for replica in self.made.replicas.values():
            replica.faults.declined_share = self.plan.declined_share
        await asyncio.sleep(self.plan.calm_s)
        ends_s = time.monotonic() + PLAY_S - self.plan.calm_s
        while time.monotonic() < ends_s:
            self._begin(self.rng.choice(self.plan.faults))
            await asyncio.sleep(self.rng.uniform(*self.plan.gaps_s))
        await asyncio.gather(*self._tasks)

    def _begin(self, fault: str) -> None:
        self.faults.append(f"{time.monotonic():.1f} {fault}")
        work = getattr(self, f"_{fault}")()
        self._tasks.append(asyncio.create_task(work))

    async def _for_a_while(self, longest_s: float = 5.0) -> None:
        await asyncio.sleep(self.rng.uniform(0.5, longest_s))

    def _some(self, plain: bool) -> list:
        found = [
            replica
            for replica in self.made.replicas.values()
            if plain is not bool(replica.model)
        ]
        return self.rng.sample(found, self.rng.randint(1, len(found)))

    async def _decline(self) -> None:
        chosen = self._some(plain=self.rng.random() < 0.7)
        for replica in chosen:
            replica.faults.declined_share = self.rng.uniform(0.4, 0.9)
        await self._for_a_while(9.0)
        for replica in chosen:
            replica.faults.declined_share = 0.0

    async def _stall(self) -> None:
        chosen = self._some(plain=False)
        for replica in chosen:
            replica.event_gap_s = self.rng.uniform(1.05, 1.4)
        await self._for_a_while()
        for replica in chosen:
            replica.event_gap_s = 0.01

    async def _lose_answers(self) -> None:
        chosen = self._some(plain=True)
        for replica in chosen:
            replica.faults.lose_answers = True
        await self._for_a_while(2.0)
        for replica in chosen:
            replica.faults.lose_answers = False

    async def _crash(self) -> None:
        for replica in self.made.replicas.values():
            if not replica.model:
                replica.crashes_on = DEADLY

    async def _supervise(self) -> None:
        """Starts what has crashed again, at its address and under its id."""
        while not self._stopping:
            for replica in self.made.replicas.values():
                if replica.has_crashed:
                    self.crashed_s.append(time.monotonic())
                    await replica.restart()
            await asyncio.sleep(0.02)

    async def _kill_most(self) -> None:
        await self._kill_share(self.rng.choice((0.6, 1.0)))

    async def _kill_all(self) -> None:
        await self._kill_share(1.0)

    async def _kill_share(self, share: float) -> None:
        count = round(share * self.daemons)
        chosen = self.rng.sample(range(self.daemons), count)
        await asyncio.gather(*(self._kill(number) for number in chosen))

    async def _kill_one(self) -> None:
        await self._kill(self.rng.randrange(self.daemons))

    async def _kill(self, number: int) -> None:
        async with self._restarting[number]:
            process = self.made.processes[number]
            if process.returncode is None:
                process.kill()
            await process.wait()
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))
            await self.made.restart_daemon(number)
            self._note_stopped((number,))

    async def _pause(self) -> None:
        chosen = self.rng.sample(range(self.daemons), self.daemons // 4)
        stopped = [self.made.processes[number] for number in chosen]
        _signal(stopped, signal.SIGSTOP)
        await self._for_a_while(2.0)
        _signal(stopped, signal.SIGCONT)
        self._note_stopped(chosen)

    async def _store_silent(self) -> None:
        self.made.store.faults.silent = True
        await self._for_a_while(3.0)
        self.made.store.faults.silent = False
        self._note_disturbed(range(self.daemons))

    def _note_stopped(self, daemons: Iterable[int]) -> None:
        for number in daemons:
            self._stops.append((time.monotonic(), number))
        self._note_disturbed(daemons)

    def _note_disturbed(self, daemons: Iterable[int]) -> None:
        for number in daemons:
            self._disturbances.append((time.monotonic(), number))

    def _is_in_touch(self, daemon: int, at_s: float) -> bool:
        return not any(
            number == daemon and ended_s <= at_s < ended_s + STABLE_S
            for ended_s, number in self._disturbances
        )

    def _check(self) -> None:
        arrivals = collections.defaultdict(list)
        for replica in self.made.replicas.values():
            target = "llm" if replica.model else "app"
            arrivals[target].extend(replica.arrivals)
        for target, found in arrivals.items():
            found.sort(key=lambda arrival: arrival.at_s)
            self._check_windows(target, found)
            self._check_time_left(found)
        self._check_attempts()
        self._check_deadly(arrivals["app"])

    def _check_windows(self, target: str, arrivals: list) -> None:
        slack = platform.BOUNDS["retry-slack"]
        asked_s = sorted(
            at_s
            for kind, at_s in self.asked.values()
            if TARGETS[kind] == target
        )
        seen: set[str] = set()
        again_s = []
        for arrival in arrivals:
            if arrival.request_id in seen:
                again_s.append(arrival.at_s)
            seen.add(arrival.request_id)
        worst = (-slack, 0, slack)
        for from_s in again_s:
            count = _between(again_s, from_s)
            requests = max(
                _between(asked_s, from_s - before_s)
                for before_s in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            allowed = RATIO * requests + slack
            worst = max(worst, (count - allowed, count, allowed))
        self.worst[target] = worst[1:]
        if worst[0] > 0:
            self.wrong.append(
                f"{target}: {worst[1]} repeats in {WINDOW_S:.0f} s,"
                f" {worst[2]:.0f} allowed"
            )

    def _check_time_left(self, arrivals: list) -> None:
        excesses = 0
        for arrival in arrivals:
            sent_s = self.asked[arrival.request_id][1]
            left_ms = DEADLINE_MS - (arrival.at_s - sent_s) * 1000
            is_named = arrival.deadline_ms >= 0
            excesses += (
                not is_named or arrival.deadline_ms > left_ms + EXCESS_MS
            )
        if excesses > max(MOST_EXCESSES, EXCESS_SHARE * len(arrivals)):
            self.wrong.append(
                f"{excesses} of {len(arrivals)} sent with more time than left"
            )

    def _check_attempts(self) -> None:
        ran = collections.defaultdict(set)
        for replica in self.made.replicas.values():
            for one in replica.ran:
                if one.body != DEADLY:
                    ran[one.request_id].add(replica.instance)
        longer = [name for name, on in ran.items() if len(on) > MAX_ATTEMPTS]
        if len(longer) > MOST_LONGER_RUNS:
            self.wrong.append(
                f"{len(longer)} requests ran on more than {MAX_ATTEMPTS}"
                f" servers: {longer[:5]}"
            )

    def _check_deadly(self, arrivals: list) -> None:
        if len(self.crashed_s) < MOST_CRASHES:
            return
        known_s = self.crashed_s[MOST_CRASHES - 1] + KNOWN_AFTER_S
        after = [a for a in arrivals if a.body == DEADLY and a.at_s > known_s]
        late = [
            arrival
            for arrival in after
            if self._is_in_touch(
                self.asked_at[arrival.request_id], arrival.at_s
            )
        ]
        self.sent_on = len(after), len(late)
        if len(late) > MOST_SENT_ON:
            self.wrong.append(
                f"what crashes servers was sent {len(late)} times after"
                f" {MOST_CRASHES} crashes were known"
            )


def _signal(processes: list, sign: signal.Signals) -> None:
    for process in processes:
        if process.returncode is None:
            process.send_signal(sign)


def _between(moments_s: list[float], from_s: float) -> int:
    return sum(from_s <= at_s < from_s + WINDOW_S for at_s in moments_s)


async def _burn() -> asyncio.subprocess.Process:
    """Starts a process that keeps a core busy."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "-c", "while True: pass"
    )


def read_arguments() -> tuple[int, int, int, int]:
    """Returns first seed, count, daemons and busy processes to play with."""
    first, count, daemons, busy = (
        int(sys.argv[n]) if len(sys.argv) > n else default
        for n, default in ((1, 0), (2, 1), (3, 12), (4, 0))
    )
    return first, count, daemons, busy


def play_seeds(make: Callable[..., Session]) -> int:
    """Plays the seeds named on the command line; returns 1 if any is wrong."""
    first, count, daemons, busy = read_arguments()
    failed = 0
    for seed in range(first, first + count):
        session = make(seed, daemons=daemons, busy=busy)
        wrong = asyncio.run(session.play())
        print(
            f"seed {seed}: {daemons} daemons, {len(session.asked)} asked,"
            f" {dict(session.statuses.most_common(4))},"
            f" {session.summary()}, {len(wrong)} wrong",
            flush=True,
        )
        for line in wrong:
            print(f"  {line}", flush=True)
        if wrong:
            print(f"  faults: {session.faults}", flush=True)
            failed += 1
    print(f"{count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(play_seeds(Session))
