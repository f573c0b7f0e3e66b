"""Seeded soak sessions that count repeated requests at the servers.

`cd tests && python -m soak.repeats SEED [COUNT [DAEMONS [BUSY]]]` plays seeds
by hand: real daemons are killed and restarted in series, paused and cut off
from the store, while servers decline, stall, lose answers and crash.
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

# Directory for the logs of sessions with violations.
LOG_DIRECTORY = platform.ROOT / "target" / "soak"
PLAY_S = 16.0
ENGINES = 6
SERVICES = 3
TARGETS = {"long": "llm", "short": "llm", "release": "app", "confirm": "app"}
DEADLINE_MS = 3_000
MAX_ATTEMPTS = 2
CRASHING_BODY = b"deadly"
# Drawn at random; a fault that is listed twice is drawn twice as often.
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
# Limits that operators set.
WINDOW_S = 10.0
REPEAT_RATIO = 0.2
MAX_REQUESTS_OVER_LIMIT = 3
DEADLINE_TOLERANCE_MS = 500
MAX_LATE_DEADLINES = 20
MAX_LATE_DEADLINE_SHARE = 0.2
CRASHES_TO_QUARANTINE = 3
QUARANTINE_DELAY_S = 4.0
# Time after a disturbance during which limits on time don't apply.
DISTURBANCE_S = 4.0
MAX_SENT_AFTER_KNOWN = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Kinds of requests and faults of a session, and the gaps between them."""

    requests: tuple[str, ...] = (
        "release",
        "release",
        "release",
        "long",
        "short",
    )
    faults: tuple[str, ...] = FAULTS
    fault_gaps_s: tuple[float, float] = (0.4, 1.6)
    declined_share: float = 0.0
    request_gap_s: tuple[float, float] = (0.05, 0.3)
    initial_calm_s: float = 0.0
    callers: int = 40
    play_s: float = PLAY_S


RESTARTS = Plan(
    requests=("release",),
    faults=("kill_all",),
    fault_gaps_s=(3.8, 4.2),
    declined_share=0.8,
    request_gap_s=(0.2, 0.3),
    initial_calm_s=4.0,
    callers=16,
)


class Session:
    """Plays one seed and lists the violations of limits."""

    # Deadline of all requests.
    deadline_ms = DEADLINE_MS

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
        self.requests: dict[str, tuple[str, float]] = {}
        self.daemon_by_request: dict[str, int] = {}
        # End times of disturbances of daemons or of their store connection.
        self._disturbances: list[tuple[float, int]] = []
        self.statuses: collections.Counter[str] = collections.Counter()
        self.crashes_s: list[float] = []
        self.faults: list[str] = []
        self.violations: list[str] = []
        # Times at which daemons ran again after they were killed or paused.
        self._resumed_at: list[tuple[float, int]] = []
        # Repeats in the worst window and the allowed number, by target.
        self.worst_windows: dict[str, tuple[float, float]] = {}
        # Requests that crash servers, sent after that was known: all, and those
        # by daemons without a recent disturbance.
        self.sent_after_known = (0, 0)
        self._busy = busy
        self._stopping = False
        self._tasks: list[asyncio.Task] = []
        self._restarting = [asyncio.Lock() for _ in range(daemons)]

    async def play(self) -> list[str]:
        """Plays the session and returns the violations."""
        async with self._create_platform() as fleet:
            self.fleet = fleet
            busy = [await _start_busy_process() for _ in range(self._busy)]
            callers = [
                self._call_until_stopped(number)
                for number in range(self.plan.callers)
            ]
            callers += [self._supervise(), self._send_crashing_requests()]
            tasks = [asyncio.create_task(work) for work in callers]
            try:
                await self._play_faults()
                self._stopping = True
                await asyncio.gather(*tasks)
            finally:
                for process in busy:
                    process.kill()
                    await process.wait()
            self._check()
            if self.violations:
                self._keep_logs()
        return self.violations

    def _create_platform(self) -> Platform:
        return Platform(
            daemons=self.daemons, engines=ENGINES, services=SERVICES
        )

    def summary(self) -> str:
        """Summarizes the counts of the finished session."""
        return (
            f"{len(self.crashes_s)} crashes,"
            f" {self.sent_after_known} crashing requests sent after these,"
            f" worst {self.worst_windows}"
        )

    def _keep_logs(self) -> None:
        """Copies the daemons' logs before their directory is removed."""
        folder = LOG_DIRECTORY / f"{type(self).__module__}-{self.seed}"
        folder.mkdir(parents=True, exist_ok=True)
        for log in self.fleet.logs:
            shutil.copy(log, folder)
        (folder / "faults.txt").write_text("\n".join(self.faults))

    async def _call_until_stopped(self, number: int) -> None:
        count = 0
        while not self._stopping:
            count += 1
            kind = self.rng.choice(self.plan.requests)
            await self._send_request(
                f"c{number}-{count}", kind, b"b%d" % number
            )
            await asyncio.sleep(self.rng.uniform(*self.plan.request_gap_s))

    async def _send_crashing_requests(self) -> None:
        count = 0
        while not self._stopping:
            count += 1
            await self._send_request(f"x-{count}", "release", CRASHING_BODY)
            await asyncio.sleep(0.25)

    async def _send_request(self, name: str, kind: str, body: bytes) -> str:
        """Sends a request; returns its status, or the name of the error."""
        self.requests[name] = (kind, time.monotonic())
        daemon = self.daemon_by_request[name] = self.rng.randrange(self.daemons)
        try:
            async with asyncio.timeout(4):
                status, headers, _ = await self.fleet.call(
                    kind, name, daemon=daemon, body=body
                )
            self._record_answer(daemon, status, headers)
            result = str(status)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            result = type(error).__name__
        self.statuses[result] += 1
        return result

    def _record_answer(
        self, daemon: int, status: int, headers: dict[str, str]
    ) -> None:
        """Records an answer that a daemon returned."""

    async def _play_faults(self) -> None:
        """Starts faults one after the other; each lasts for some seconds."""
        for replica in self.fleet.replicas.values():
            replica.faults.declined_share = self.plan.declined_share
        await asyncio.sleep(self.plan.initial_calm_s)
        ends_s = time.monotonic() + self.plan.play_s - self.plan.initial_calm_s
        while time.monotonic() < ends_s:
            self._start_fault(self.rng.choice(self.plan.faults))
            await asyncio.sleep(self.rng.uniform(*self.plan.fault_gaps_s))
        await asyncio.gather(*self._tasks)

    def _start_fault(self, fault: str) -> None:
        self.faults.append(f"{time.monotonic():.1f} {fault}")
        work = getattr(self, f"_{fault}")()
        self._tasks.append(asyncio.create_task(work))

    async def _hold_fault(self, max_s: float = 5.0) -> None:
        await asyncio.sleep(self.rng.uniform(0.5, max_s))

    def _choose_replicas(self, plain: bool) -> list:
        candidates = [
            replica
            for replica in self.fleet.replicas.values()
            if plain is not bool(replica.model)
        ]
        return self.rng.sample(candidates, self.rng.randint(1, len(candidates)))

    async def _decline(self) -> None:
        chosen = self._choose_replicas(plain=self.rng.random() < 0.7)
        for replica in chosen:
            replica.faults.declined_share = self.rng.uniform(0.4, 0.9)
        await self._hold_fault(9.0)
        for replica in chosen:
            replica.faults.declined_share = 0.0

    async def _stall(self) -> None:
        chosen = self._choose_replicas(plain=False)
        for replica in chosen:
            replica.event_gap_s = self.rng.uniform(1.05, 1.4)
        await self._hold_fault()
        for replica in chosen:
            replica.event_gap_s = 0.01

    async def _lose_answers(self) -> None:
        chosen = self._choose_replicas(plain=True)
        for replica in chosen:
            replica.faults.lose_answers = True
        await self._hold_fault(2.0)
        for replica in chosen:
            replica.faults.lose_answers = False

    async def _crash(self) -> None:
        for replica in self.fleet.replicas.values():
            if not replica.model:
                replica.crashes_on = CRASHING_BODY

    async def _supervise(self) -> None:
        """Restarts crashed servers at their addresses, under their ids."""
        while not self._stopping:
            for replica in self.fleet.replicas.values():
                if replica.has_crashed:
                    self.crashes_s.append(time.monotonic())
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
            process = self.fleet.processes[number]
            if process.returncode is None:
                process.kill()
            await process.wait()
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))
            await self.fleet.restart_daemon(number)
            self._record_stop((number,))

    async def _pause(self) -> None:
        chosen = self.rng.sample(range(self.daemons), self.daemons // 4)
        stopped = [self.fleet.processes[number] for number in chosen]
        send_signal(stopped, signal.SIGSTOP)
        await self._hold_fault(2.0)
        send_signal(stopped, signal.SIGCONT)
        self._record_stop(chosen)

    async def _store_silent(self) -> None:
        self.fleet.store.faults.silent = True
        await self._hold_fault(3.0)
        self.fleet.store.faults.silent = False
        self._record_disturbance(range(self.daemons))

    def _record_stop(self, daemons: Iterable[int]) -> None:
        for number in daemons:
            self._resumed_at.append((time.monotonic(), number))
        self._record_disturbance(daemons)

    def _record_disturbance(self, daemons: Iterable[int]) -> None:
        for number in daemons:
            self._disturbances.append((time.monotonic(), number))

    def _is_undisturbed(self, daemon: int, at_s: float) -> bool:
        return not any(
            number == daemon and ended_s <= at_s < ended_s + DISTURBANCE_S
            for ended_s, number in self._disturbances
        )

    def _check(self) -> None:
        arrivals = collections.defaultdict(list)
        for replica in self.fleet.replicas.values():
            target = "llm" if replica.model else "app"
            arrivals[target].extend(replica.arrivals)
        for target, received in arrivals.items():
            received.sort(key=lambda arrival: arrival.at_s)
            self._check_windows(target, received)
            self._check_deadlines(received)
        self._check_attempts()
        self._check_crashing_requests(arrivals["app"])

    def _check_windows(self, target: str, arrivals: list) -> None:
        slack = platform.BOUNDS["retry-slack"]
        requests_s = sorted(
            at_s
            for kind, at_s in self.requests.values()
            if TARGETS[kind] == target
        )
        known_ids: set[str] = set()
        repeats_s = []
        for arrival in arrivals:
            if arrival.request_id in known_ids:
                repeats_s.append(arrival.at_s)
            known_ids.add(arrival.request_id)
        worst = (-slack, 0, slack)
        for start_s in repeats_s:
            count = _count_in_window(repeats_s, start_s)
            requests = max(
                _count_in_window(requests_s, start_s - earlier_s)
                for earlier_s in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            allowed = REPEAT_RATIO * requests + slack
            worst = max(worst, (count - allowed, count, allowed))
        self.worst_windows[target] = worst[1:]
        if worst[0] > 0:
            self.violations.append(
                f"{target}: {worst[1]} repeats in {WINDOW_S:.0f} s,"
                f" {worst[2]:.0f} allowed"
            )

    def _check_deadlines(self, arrivals: list) -> None:
        late_deadlines = 0
        for arrival in arrivals:
            requested_s = self.requests[arrival.request_id][1]
            remaining_ms = self.deadline_ms - 1000 * (
                arrival.at_s - requested_s
            )
            has_deadline = arrival.deadline_ms >= 0
            late_deadlines += (
                not has_deadline
                or arrival.deadline_ms > remaining_ms + DEADLINE_TOLERANCE_MS
            )
        if late_deadlines > max(
            MAX_LATE_DEADLINES, MAX_LATE_DEADLINE_SHARE * len(arrivals)
        ):
            self.violations.append(
                f"{late_deadlines} of {len(arrivals)} requests were sent with"
                " no deadline, or with a later one than the caller's"
            )

    def _check_attempts(self) -> None:
        ran = collections.defaultdict(set)
        for replica in self.fleet.replicas.values():
            for execution in replica.ran:
                if execution.body != CRASHING_BODY:
                    ran[execution.request_id].add(replica.instance)
        exceeding = [
            name for name, servers in ran.items() if len(servers) > MAX_ATTEMPTS
        ]
        if len(exceeding) > MAX_REQUESTS_OVER_LIMIT:
            self.violations.append(
                f"{len(exceeding)} requests ran on more than {MAX_ATTEMPTS}"
                f" servers: {exceeding[:5]}"
            )

    def _check_crashing_requests(self, arrivals: list) -> None:
        if len(self.crashes_s) < CRASHES_TO_QUARANTINE:
            return
        known_s = self.crashes_s[CRASHES_TO_QUARANTINE - 1] + QUARANTINE_DELAY_S
        after = [
            a for a in arrivals if a.body == CRASHING_BODY and a.at_s > known_s
        ]
        late = [
            arrival
            for arrival in after
            if self._is_undisturbed(
                self.daemon_by_request[arrival.request_id], arrival.at_s
            )
        ]
        self.sent_after_known = len(after), len(late)
        if len(late) > MAX_SENT_AFTER_KNOWN:
            self.violations.append(
                f"crashing requests were sent {len(late)} times after"
                f" {CRASHES_TO_QUARANTINE} crashes were known"
            )


def send_signal(processes: list, sent_signal: signal.Signals) -> None:
    """Sends a signal to the processes that have not ended."""
    for process in processes:
        if process.returncode is None:
            process.send_signal(sent_signal)


def _count_in_window(moments_s: list[float], start_s: float) -> int:
    return sum(start_s <= at_s < start_s + WINDOW_S for at_s in moments_s)


async def _start_busy_process() -> asyncio.subprocess.Process:
    """Starts a process that keeps a processor core busy."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "-c", "while True: pass"
    )


def read_arguments() -> tuple[int, int, int, int]:
    """Returns first seed, count, daemons and busy processes as given."""
    first, count, daemons, busy = (
        int(sys.argv[n]) if len(sys.argv) > n else default
        for n, default in ((1, 0), (2, 1), (3, 12), (4, 0))
    )
    return first, count, daemons, busy


def play_seeds(create_session: Callable[..., Session]) -> int:
    """Plays the seeds of the command line; returns 1 if any has violations."""
    first, count, daemons, busy = read_arguments()
    failed = 0
    for seed in range(first, first + count):
        session = create_session(seed, daemons=daemons, busy=busy)
        violations = asyncio.run(session.play())
        print(
            f"seed {seed}: {daemons} daemons, {len(session.requests)} requests,"
            f" {dict(session.statuses.most_common(4))},"
            f" {session.summary()}, {len(violations)} violations",
            flush=True,
        )
        for line in violations:
            print(f"  {line}", flush=True)
        if violations:
            print(f"  faults: {session.faults}", flush=True)
            failed += 1
    print(f"{count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(play_seeds(Session))
