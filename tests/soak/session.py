"""One seeded session: traffic, faults in series that overlap, promises.

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
RUN_ONCE = ("short", "confirm")
NOT_RUN = (408, 421, 429, 503)
STREAM = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 6))
SECOND_KEY = "second-key"
KEY_BOUND_S = 5.0
RECOVERED_S = 20.0


@dataclasses.dataclass
class Asked:
    """One request and what its caller saw; status 0 for a broken answer."""

    name: str
    kind: str
    key: str
    sent_at_s: float
    status: int = 0
    body: bytes = b""


class Session:
    """Plays one seed and lists the promises that did not hold."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.asked: list[Asked] = []
        self.faults: list[str] = []
        self.wrong: list[str] = []
        self.version = 1
        self.key_gone_at_s = 0.0
        self._stopping = False
        self._restarting = [asyncio.Lock() for _ in range(DAEMONS)]
        self._tasks: list[asyncio.Task] = []

    async def play(self) -> list[str]:
        """Returns what was wrong."""
        async with Platform(daemons=DAEMONS) as made:
            self.made = made
            made.store.put(
                "op", "config", platform.config(2, keys=(KEY, SECOND_KEY))
            )
            await asyncio.sleep(1.0)
            callers = [
                asyncio.create_task(self._call_on(number))
                for number in range(CALLERS)
            ]
            await self._trouble()
            await self._heal()
            await self._check_recovery()
            self._stopping = True
            await asyncio.gather(*callers)
            self._check_promises()
        return self.wrong

    async def _call_on(self, number: int) -> None:
        count = 0
        while not self._stopping:
            count += 1
            kind = self.rng.choice(KINDS)
            key = self.rng.choice((KEY, KEY, SECOND_KEY))
            asked = Asked(f"c{number}-{count}", kind, key, time.monotonic())
            self.asked.append(asked)
            try:
                async with asyncio.timeout(4):
                    asked.status, _, asked.body = await self.made.call(
                        kind,
                        asked.name,
                        daemon=self.rng.randrange(DAEMONS),
                        key=key,
                    )
            except (aiohttp.ClientError, OSError, TimeoutError):
                asked.status = 0
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))

    async def _trouble(self) -> None:
        """Begins a fault every half second; each lasts for a while."""
        ends = time.monotonic() + PLAY_S
        kinds = (
            self._store_fails,
            self._server_fails,
            self._pause,
            self._kill,
            self._stop,
            self._name_weights,
            self._take_key,
        )
        while time.monotonic() < ends:
            fault = self.rng.choice(kinds)
            self._tasks.append(asyncio.create_task(fault()))
            await asyncio.sleep(self.rng.uniform(0.2, 0.8))
        await asyncio.gather(*self._tasks)

    async def _for_a_while(self, longest_s: float = 2.0) -> None:
        await asyncio.sleep(self.rng.uniform(0.2, longest_s))

    async def _store_fails(self) -> None:
        faults = self.made.store.faults
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
                faults.forgotten_up_to = self.made.store.version
        await self._for_a_while()
        faults.silent, faults.status, faults.latency_s = False, 0, 0.0

    async def _server_fails(self) -> None:
        replica = self.rng.choice(list(self.made.replicas.values()))
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
        await self._for_a_while(1.0)
        faults.full = faults.silent = faults.lose_orders = False
        faults.lose_answers = False
        faults.cut_after = -1

    async def _pause(self) -> None:
        number = self.rng.randrange(DAEMONS)
        self.faults.append(f"daemon {number} paused")
        self._signal(number, signal.SIGSTOP)
        await self._for_a_while()
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
        process = self.made.processes[number]
        # Killed while it stops, a daemon is started once, not twice.
        async with self._restarting[number]:
            if self.made.processes[number] is process:
                await self._restart_ended(number, process)

    async def _restart_ended(
        self, number: int, process: asyncio.subprocess.Process
    ) -> None:
        try:
            async with asyncio.timeout(10):
                await process.wait()
        except TimeoutError:
            # Paused by another fault; the platform kills it after the grace.
            process.kill()
            await process.wait()
        await self.made.restart_daemon(number)

    async def _name_weights(self) -> None:
        self.version += 1
        self.faults.append(f"weights {self.version}")
        self.made.store.put(
            "op", "version/m", {"model": "m", "version": self.version}
        )

    async def _take_key(self) -> None:
        if self.key_gone_at_s:
            return
        self.faults.append("key taken away")
        self.made.store.put("op", "config", platform.config(3))
        self.key_gone_at_s = time.monotonic()

    def _signal(self, number: int, sign: signal.Signals) -> None:
        if self.made.processes[number].returncode is None:
            self.made.signal(number, sign)

    async def _heal(self) -> None:
        for number in range(DAEMONS):
            self._signal(number, signal.SIGCONT)

    async def _check_recovery(self) -> None:
        """Everything serves again, and all engines have the last weights."""

        async def serves() -> bool:
            for number in range(DAEMONS):
                for kind in ("long", "release"):
                    name = f"after-{number}-{time.monotonic_ns()}"
                    got = await self.made.call(kind, name, daemon=number)
                    if got[0] != 200:
                        return False
            engines = [r for r in self.made.replicas.values() if r.model]
            return all(engine.version == self.version for engine in engines)

        try:
            await platform.until("all is well", serves, seconds=RECOVERED_S)
        except AssertionError as error:
            versions = [r.version for r in self.made.replicas.values()]
            self.wrong.append(f"{error}; versions {versions}")

    def _check_promises(self) -> None:
        for asked in self.asked:
            ran = self.made.ran(asked.name)
            what = f"{asked.name} {asked.kind} {asked.status}"
            if asked.kind in RUN_ONCE and len(ran) > 1:
                self.wrong.append(f"{what}: ran {len(ran)} times")
            if asked.status in NOT_RUN and ran:
                self.wrong.append(f"{what}: said not run, and ran")
            if asked.status == 200:
                streamed = asked.kind in ("long", "short")
                expected = STREAM if streamed else b"ydob"
                if asked.body != expected:
                    self.wrong.append(f"{what}: not whole: {asked.body!r}")
            late = asked.sent_at_s > self.key_gone_at_s + KEY_BOUND_S
            gone = self.key_gone_at_s and asked.key == SECOND_KEY and late
            if gone and ran and asked.kind != "open":
                self.wrong.append(f"{what}: its key was gone for 5 s")
            for one in ran:
                scope = one.scope.partition("/")[0]
                if scope and scope != f"v{one.version}":
                    self.wrong.append(f"{what}: {scope} on {one.version}")


async def play(seed: int) -> Session:
    """Plays a seed and returns its session."""
    session = Session(seed)
    await session.play()
    return session


def main() -> int:
    """Plays seeds named on the command line."""
    first = int(sys.argv[1])
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    failed = 0
    for seed in range(first, first + count):
        session = asyncio.run(play(seed))
        good = sum(asked.status == 200 for asked in session.asked)
        print(
            f"seed {seed}: {good} of {len(session.asked)} served,"
            f" {len(session.faults)} faults, {len(session.wrong)} wrong"
        )
        for wrong in session.wrong:
            print(f"  {wrong}")
        if session.wrong:
            print(f"  faults: {session.faults}")
            failed += 1
    print(f"{count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
