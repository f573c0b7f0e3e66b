"""Seeded soak sessions with parts of prompts that crash engines.

`cd tests && python -m soak.parts SEED [COUNT [DAEMONS [BUSY]]]` plays seeds by
hand. Real daemons are killed, stopped and paused in series, the store is silent
and all engines end at one time, while callers send requests that share a part.
What reached the engines is counted there.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
import shutil
import signal
import sys
import time

from cluster.part_traffic import (
    BAD_PART,
    FIFTH,
    MAX_LATE,
    REFUSED_AFTER_S,
    SERVED_AFTER_S,
    SHARED_PARTS,
    PartTraffic,
    Plan,
)
from cluster.platform import Platform
from soak import repeats
from standins.endings import Ending, Framing
from standins.replica import PartFault

ENGINES = 6
CALM_S = 4.0
PLAY_S = 18.0
# Daemons that were disturbed so lately are out of touch.
STABLE_S = 3.0
MIN_SHARE = 0.5
FAULTS = ("kill_one", "kill_all", "stop_one", "pause_one", "end_engine", "none")
OUTAGES = ("outage", "rolling", "kill_one", "pause_one")


class Session:
    """Plays one seed and lists the promises that were broken."""

    def __init__(self, seed: int, *, daemons: int, busy: int = 0) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.daemons = daemons
        self.busy = busy
        self.violations: list[str] = []
        self.faults: list[str] = []
        self.traffic: PartTraffic | None = None
        self.began_s = 0.0
        self.has_bad_part = seed % 4 != 0
        # Each disturbance of a daemon, until it is over.
        self._disturbed: list[tuple[float, float]] = []

    async def play(self) -> list[str]:
        """Plays the session and returns the violations."""
        self.fleet = Platform(daemons=self.daemons, engines=ENGINES, services=1)
        is_unmarked = self.rng.random() < 0.25
        for replica in self.fleet.replicas.values():
            if replica.model and is_unmarked:
                replica.faults.ending = Ending(Framing.CLOSE)
        async with self.fleet, self._traffic() as self.traffic:
            spinners = [await self._spin() for _ in range(self.busy)]
            try:
                await self._play_faults()
            finally:
                for process in spinners:
                    process.kill()
                    await process.wait()
            self._check()
            if self.violations:
                self._keep_logs()
        return self.violations

    @property
    def requests(self) -> list[float]:
        """When sound requests were sent."""
        return (
            []
            if self.traffic is None
            else [sound.at_s for sound in self.traffic.sound]
        )

    @property
    def statuses(self) -> collections.Counter[str]:
        """Status codes of sound requests."""
        sound = [] if self.traffic is None else self.traffic.sound
        return collections.Counter(str(tried.status) for tried in sound)

    def _keep_logs(self) -> None:
        folder = repeats.LOG_DIRECTORY / f"parts-{self.seed}"
        folder.mkdir(parents=True, exist_ok=True)
        for path in self.fleet.logs:
            shutil.copy(path, folder)

    def _traffic(self) -> PartTraffic:
        places = list(SHARED_PARTS)
        places.insert(self.rng.randrange(3), BAD_PART)
        plan = Plan(
            route=self.rng.choice(("short", "long")),
            parts=tuple(places),
            gap_s=self.rng.choice((0.15, 0.3, 0.7)),
            group=self.rng.choice((1, 1, 3)),
            down_s=self.rng.uniform(1.0, 3.0),
        )
        return PartTraffic(self.fleet, plan, seed=self.seed)

    async def _spin(self) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable, "-c", "while True: pass"
        )

    async def _play_faults(self) -> None:
        assert self.traffic is not None
        if self.has_bad_part:
            share = self.rng.choice((1.0, 1.0, 1.0, 0.5))
            after = self.rng.choice((0, 1, 2))
            self.traffic.set_fault(PartFault(BAD_PART, share, after))
        await asyncio.sleep(CALM_S)
        self.began_s = time.monotonic()
        tasks = [asyncio.create_task(self._disturb())]
        if self.has_bad_part:
            await self.traffic.send_bad(seconds=PLAY_S)
        else:
            await asyncio.sleep(PLAY_S)
        await asyncio.gather(*tasks)
        await asyncio.sleep(2.0)

    async def _disturb(self) -> None:
        """Plays a series of faults, some of them at one time."""
        ends_s = time.monotonic() + PLAY_S / 2
        while time.monotonic() < ends_s:
            name = self.rng.choice(FAULTS if self.has_bad_part else OUTAGES)
            self.faults.append(f"{time.monotonic() - self.began_s:.1f} {name}")
            await getattr(self, f"_{name}")()
            await asyncio.sleep(self.rng.uniform(0.3, 2.5))

    async def _none(self) -> None:
        await asyncio.sleep(0.5)

    async def _kill_one(self) -> None:
        await self._restart([self.rng.randrange(self.daemons)], signal.SIGKILL)

    async def _kill_all(self) -> None:
        await self._restart(list(range(self.daemons)), signal.SIGKILL)

    async def _stop_one(self) -> None:
        await self._restart([self.rng.randrange(self.daemons)], signal.SIGTERM)

    async def _restart(self, chosen: list[int], how: signal.Signals) -> None:
        from_s = time.monotonic()
        for number in chosen:
            with contextlib.suppress(ProcessLookupError):
                self.fleet.signal(number, how)
        for number in chosen:
            await self.fleet.processes[number].wait()
            await self.fleet.restart_daemon(number)
        for number in chosen:
            await self.fleet.until_ready(number)
        self._disturbed.append((from_s, time.monotonic()))

    async def _pause_one(self) -> None:
        from_s = time.monotonic()
        number = self.rng.randrange(self.daemons)
        self.fleet.signal(number, signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        self.fleet.signal(number, signal.SIGCONT)
        self._disturbed.append((from_s, time.monotonic()))

    async def _end_engine(self) -> None:
        assert self.traffic is not None
        engines = self.traffic.engines()
        if engines:
            await self.rng.choice(engines).crash()

    async def _outage(self) -> None:
        assert self.traffic is not None
        for replica in self.traffic.engines():
            await replica.crash()
        await asyncio.sleep(self.traffic.plan.down_s + 1.0)

    async def _rolling(self) -> None:
        assert self.traffic is not None
        gap_s = self.rng.uniform(0.1, 1.0)
        for replica in self.traffic.engines():
            await replica.crash()
            await asyncio.sleep(gap_s)

    def _check(self) -> None:
        assert self.traffic is not None
        logs = [self.fleet.log(number) for number in range(self.daemons)]
        refused = {
            line.partition("parts=")[2].partition(" ")[0]
            for log in logs
            for line in log.splitlines()
            if "event=quarantined" in line
        }
        if refused - {BAD_PART}:
            self.violations.append(f"in quarantine: {sorted(refused)}")
        if not self.has_bad_part:
            return
        late = self._late()
        if late > MAX_LATE:
            self.violations.append(f"{late} requests late")
        crashes_s = sorted(self.traffic.crashes_s)
        if not crashes_s:
            return
        from_s = crashes_s[min(FIFTH, len(crashes_s)) - 1] + SERVED_AFTER_S
        if self._disturbed:
            from_s = max(from_s, max(s for _, s in self._disturbed) + STABLE_S)
        tries = [s for s in self.traffic.sound if s.at_s >= from_s]
        if len(tries) >= 20:
            share = sum(s.has_begun for s in tries) / len(tries)
            if share < MIN_SHARE:
                self.violations.append(f"sound ones began: {share:.2f}")

    def _late(self) -> int:
        """Counts requests that daemons in touch sent too late."""
        assert self.traffic is not None
        crashes_s = sorted(self.traffic.crashes_s)
        if len(crashes_s) < FIFTH:
            return 0
        limit_s = crashes_s[FIFTH - 1] + REFUSED_AFTER_S
        return sum(
            at_s > limit_s and not self._is_disturbed(at_s)
            for at_s in self.traffic.reached_s()
        )

    def _is_disturbed(self, at_s: float) -> bool:
        return any(
            from_s <= at_s <= to_s + STABLE_S
            for from_s, to_s in self._disturbed
        )

    def summary(self) -> str:
        """Summarizes the counts of the finished session."""
        assert self.traffic is not None
        statuses = collections.Counter(self.traffic.statuses)
        return (
            f"{len(self.traffic.crashes_s)} crashes, with the part"
            f" {dict(statuses)}, {self._late()} late, {len(self.faults)} faults"
        )


if __name__ == "__main__":
    sys.exit(repeats.play_seeds(Session))
