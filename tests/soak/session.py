"""Seeded soak sessions: traffic under overlapping faults, with checks.

`cd tests && python -m soak.session FIRST [COUNT]` plays seeds by hand.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import signal
import sys
import time

import aiohttp

from cluster import platform
from cluster.platform import KEY, Platform

PLAY_S = 8.0
CALLERS = 6
DAEMONS = 3
KINDS = ("long", "short", "confirm", "release", "open")
AT_MOST_ONCE = ("short", "confirm")
NOT_RUN_STATUSES = (408, 421, 429, 503)
COMPLETE_STREAM = b"".join(
    b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 6)
)
SECOND_KEY = "second-key"
KEY_REMOVAL_LIMIT_S = 5.0
RECOVERY_LIMIT_S = 20.0


@dataclasses.dataclass
class SentRequest:
    """One request and its answer; status 0 if the answer was incomplete."""

    name: str
    kind: str
    key: str
    sent_at_s: float
    status: int = 0
    body: bytes = b""


class Session:
    """Plays one seed and lists the violations of promises."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.requests: list[SentRequest] = []
        self.faults: list[str] = []
        self.violations: list[str] = []
        self.version = 1
        self.key_removed_at_s = 0.0
        self._stopping = False
        self._restarting = [asyncio.Lock() for _ in range(DAEMONS)]
        self._tasks: list[asyncio.Task] = []

    async def play(self) -> list[str]:
        """Plays the session and returns the violations."""
        async with Platform(daemons=DAEMONS) as fleet:
            self.fleet = fleet
            fleet.store.put(
                "op", "config", platform.config(2, keys=(KEY, SECOND_KEY))
            )
            await asyncio.sleep(1.0)
            callers = [
                asyncio.create_task(self._call_until_stopped(number))
                for number in range(CALLERS)
            ]
            await self._play_faults()
            await self._resume_all()
            await self._check_recovery()
            self._stopping = True
            await asyncio.gather(*callers)
            self._check_promises()
        return self.violations

    async def _call_until_stopped(self, number: int) -> None:
        count = 0
        while not self._stopping:
            count += 1
            kind = self.rng.choice(KINDS)
            key = self.rng.choice((KEY, KEY, SECOND_KEY))
            request = SentRequest(
                f"c{number}-{count}", kind, key, time.monotonic()
            )
            self.requests.append(request)
            try:
                async with asyncio.timeout(4):
                    request.status, _, request.body = await self.fleet.call(
                        kind,
                        request.name,
                        daemon=self.rng.randrange(DAEMONS),
                        key=key,
                    )
            except (aiohttp.ClientError, OSError, TimeoutError):
                request.status = 0
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))

    async def _play_faults(self) -> None:
        """Starts a fault about every half second; each lasts up to 2 s."""
        ends = time.monotonic() + PLAY_S
        kinds = (
            self._fail_store,
            self._fail_server,
            self._pause,
            self._kill,
            self._stop,
            self._publish_weights,
            self._remove_key,
        )
        while time.monotonic() < ends:
            fault = self.rng.choice(kinds)
            self._tasks.append(asyncio.create_task(fault()))
            await asyncio.sleep(self.rng.uniform(0.2, 0.8))
        await asyncio.gather(*self._tasks)

    async def _hold_fault(self, max_s: float = 2.0) -> None:
        await asyncio.sleep(self.rng.uniform(0.2, max_s))

    async def _fail_store(self) -> None:
        faults = self.fleet.store.faults
        kind = self.rng.choice(("silent", "busy", "slow", "forgets"))
        self.faults.append(f"store {kind}")
        match kind:
            case "silent":
                faults.silent = True
            case "busy":
                faults.status = self.rng.choice((429, 503))
            case "slow":
                faults.latency_s = 0.3
            case "forgets":
                faults.forgotten_up_to = self.fleet.store.version
        await self._hold_fault()
        faults.silent, faults.status, faults.latency_s = False, 0, 0.0

    async def _fail_server(self) -> None:
        replica = self.rng.choice(list(self.fleet.replicas.values()))
        kind = self.rng.choice(("full", "cut", "silent", "lost", "orders"))
        self.faults.append(f"{replica.instance} {kind}")
        faults = replica.faults
        match kind:
            case "full":
                faults.full = True
            case "cut":
                faults.cut_after = self.rng.randrange(5)
            case "silent":
                faults.silent = True
            case "lost":
                faults.lose_answers = True
            case "orders":
                faults.lose_orders = True
        await self._hold_fault(1.0)
        faults.full = faults.silent = faults.lose_orders = False
        faults.lose_answers = False
        faults.cut_after = -1

    async def _pause(self) -> None:
        number = self.rng.randrange(DAEMONS)
        self.faults.append(f"daemon {number} paused")
        self._signal(number, signal.SIGSTOP)
        await self._hold_fault()
        self._signal(number, signal.SIGCONT)

    async def _kill(self) -> None:
        number = self.rng.randrange(DAEMONS)
        self.faults.append(f"daemon {number} killed")
        self._signal(number, signal.SIGKILL)
        await self._restart(number)

    async def _stop(self) -> None:
        number = self.rng.randrange(DAEMONS)
        self.faults.append(f"daemon {number} stopped")
        self._signal(number, signal.SIGCONT)
        self._signal(number, signal.SIGTERM)
        await self._restart(number)

    async def _restart(self, number: int) -> None:
        process = self.fleet.processes[number]
        # A daemon that is killed while it stops is restarted only once.
        async with self._restarting[number]:
            if self.fleet.processes[number] is process:
                await self._restart_ended(number, process)

    async def _restart_ended(
        self, number: int, process: asyncio.subprocess.Process
    ) -> None:
        try:
            async with asyncio.timeout(10):
                await process.wait()
        except TimeoutError:
            # Paused by another fault; the platform kills it after its grace.
            process.kill()
            await process.wait()
        await self.fleet.restart_daemon(number)

    async def _publish_weights(self) -> None:
        self.version += 1
        self.faults.append(f"weights {self.version}")
        self.fleet.store.put(
            "op", "version/m", {"model": "m", "version": self.version}
        )

    async def _remove_key(self) -> None:
        if self.key_removed_at_s:
            return
        self.faults.append("key removed")
        self.fleet.store.put("op", "config", platform.config(3))
        self.key_removed_at_s = time.monotonic()

    def _signal(self, number: int, sent_signal: signal.Signals) -> None:
        if self.fleet.processes[number].returncode is None:
            self.fleet.signal(number, sent_signal)

    async def _resume_all(self) -> None:
        for number in range(DAEMONS):
            self._signal(number, signal.SIGCONT)

    async def _check_recovery(self) -> None:
        """Checks that all daemons serve and all engines are up to date."""

        async def serves() -> bool:
            for number in range(DAEMONS):
                for kind in ("long", "release"):
                    name = f"after-{number}-{time.monotonic_ns()}"
                    answer = await self.fleet.call(kind, name, daemon=number)
                    if answer[0] != 200:
                        return False
            engines = [r for r in self.fleet.replicas.values() if r.model]
            return all(engine.version == self.version for engine in engines)

        try:
            await platform.until(
                "the fleet has recovered", serves, seconds=RECOVERY_LIMIT_S
            )
        except AssertionError as error:
            versions = [r.version for r in self.fleet.replicas.values()]
            self.violations.append(f"{error}; versions {versions}")

    def _check_promises(self) -> None:
        for request in self.requests:
            ran = self.fleet.ran(request.name)
            label = f"{request.name} {request.kind} {request.status}"
            if request.kind in AT_MOST_ONCE and len(ran) > 1:
                self.violations.append(f"{label}: ran {len(ran)} times")
            if request.status in NOT_RUN_STATUSES and ran:
                self.violations.append(f"{label}: reported as not run, but ran")
            if request.status == 200:
                streamed = request.kind in ("long", "short")
                expected = COMPLETE_STREAM if streamed else b"ydob"
                if request.body != expected:
                    self.violations.append(
                        f"{label}: incomplete: {request.body!r}"
                    )
            is_late = (
                request.sent_at_s > self.key_removed_at_s + KEY_REMOVAL_LIMIT_S
            )
            lacks_key = (
                self.key_removed_at_s and request.key == SECOND_KEY and is_late
            )
            if lacks_key and ran and request.kind != "open":
                self.violations.append(
                    f"{label}: its key was removed 5 s before"
                )
            for execution in ran:
                scope = execution.scope.partition("/")[0]
                if scope and scope != f"v{execution.version}":
                    self.violations.append(
                        f"{label}: {scope} on {execution.version}"
                    )


async def play(seed: int) -> Session:
    """Plays one seed and returns the finished session."""
    session = Session(seed)
    await session.play()
    return session


def main() -> int:
    """Plays the seeds of the command line; returns 1 if any has violations."""
    first = int(sys.argv[1])
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    failed = 0
    for seed in range(first, first + count):
        session = asyncio.run(play(seed))
        served = sum(request.status == 200 for request in session.requests)
        print(
            f"seed {seed}: {served} of {len(session.requests)} served,"
            f" {len(session.faults)} faults,"
            f" {len(session.violations)} violations"
        )
        for violation in session.violations:
            print(f"  {violation}")
        if session.violations:
            print(f"  faults: {session.faults}")
            failed += 1
    print(f"{count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
