"""Seeded sessions of large fleets: load, namings, and troubles of all kinds."""

from __future__ import annotations

import asyncio
import random
import sys

from sim import large_fleets, loop

TROUBLES = 7
QUIET_END_S = 30.0


async def random_session(seed: int) -> large_fleets.LargeFleet:
    """Weights are named under load while daemons, store and engines fail."""
    session = _Session(seed)
    await session.play()
    return session.fleet


class _Session:
    """One fleet, and what befalls it."""

    def __init__(self, seed: int) -> None:
        self.fleet = large_fleets.LargeFleet(seed=seed)
        self.rng = random.Random(seed)

    async def play(self) -> None:
        """Plays it to a quiet end."""
        fleet = self.fleet
        await asyncio.sleep(2)
        others = [
            fleet.spawn(self._press()),
            fleet.spawn(self._name()),
            fleet.spawn(self._darken()),
        ]
        for _ in range(TROUBLES):
            # Half of the pauses are long enough for all that is promised.
            long = self.rng.random() < 0.5
            await asyncio.sleep(
                self.rng.uniform(*((12, 20) if long else (0, 4)))
            )
            if self.rng.random() < 0.3:
                self._kill()
            await self._trouble(self.rng.randrange(7))
        for task in others[1:]:
            task.cancel()
        await self._name_next()
        await asyncio.sleep(QUIET_END_S)

    async def _press(self) -> None:
        """Requests wait at the engines for most of the time."""
        while True:
            self.fleet.is_pressed = True
            await asyncio.sleep(self.rng.uniform(4, 25))
            self.fleet.is_pressed = False
            await asyncio.sleep(self.rng.uniform(0.3, 3))

    async def _name(self) -> None:
        """Names weights, at times again within seconds."""
        while True:
            await self._name_next()
            soon = self.rng.random() < 0.5
            await asyncio.sleep(
                self.rng.uniform(*((0.5, 5) if soon else (8, 20)))
            )

    async def _name_next(self) -> None:
        while self.fleet.table.faults.down:
            await asyncio.sleep(0.1)
        self.fleet.promises.name(self.fleet.now_s())

    async def _darken(self) -> None:
        """Engines can't be reached for a while: a few, or a quarter of all."""
        fleet = self.fleet
        while True:
            await asyncio.sleep(self.rng.uniform(5, 25))
            many = len(fleet.engines) // 4
            count = self.rng.choice((1, 3, many))
            for_s = self.rng.uniform(4, 14)
            for engine in self.rng.sample(list(fleet.engines), count):
                engine.go_dark(fleet.now_s(), for_s=for_s)
            await asyncio.sleep(for_s)

    async def _trouble(self, kind: int) -> None:
        fleet = self.fleet
        daemon = self.rng.choice(fleet.running())
        faults = fleet.table.faults
        match kind:
            case 0:
                with fleet.promises.trouble("paused"):
                    daemon.pause()
                    await asyncio.sleep(self.rng.uniform(0.5, 12))
                    daemon.resume()
            case 1:
                with fleet.promises.trouble("store down"):
                    faults.down = True
                    await asyncio.sleep(self.rng.uniform(0.5, 8))
                    faults.down = False
            case 2:
                with fleet.promises.trouble("lost replies"):
                    faults.lose_reply = 0.3
                    await asyncio.sleep(self.rng.uniform(2, 10))
                    faults.lose_reply = 0.0
            case 3:
                with fleet.promises.trouble("cut"):
                    daemon.way.cut = True
                    await asyncio.sleep(self.rng.uniform(0.5, 12))
                    daemon.way.cut = False
            case 4:
                engine = self.rng.choice(list(fleet.engines))
                engine.restart(fleet.now_s())
            case 5:
                with fleet.promises.trouble("late orders"):
                    fleet.late_orders = True
                    await asyncio.sleep(self.rng.uniform(2, 10))
                    fleet.late_orders = False
            case 6:
                with fleet.promises.trouble("late writes"):
                    faults.late_apply = 0.2
                    await asyncio.sleep(self.rng.uniform(2, 10))
                    faults.late_apply = 0.0
                    await asyncio.sleep(faults.late_ms / 1000)

    def _kill(self) -> None:
        """Kills a daemon, the holder most often; another starts later."""
        fleet = self.fleet
        running = fleet.running()
        if not running:
            return
        holders = [one for one in running if one.me.member_id == fleet.holder]
        daemon = self.rng.choice(holders or running)
        if self.rng.random() < 0.3:
            daemon = self.rng.choice(running)
        fleet.promises.disturbed(fleet.now_s())
        fleet.spawn(daemon.kill())
        fleet.loop.call_later(self.rng.uniform(2, 8), fleet.start_daemon)


def summary(fleet: large_fleets.LargeFleet) -> str:
    """Returns one line on what was seen in a session."""
    promises = fleet.promises
    return (
        f"engines={len(fleet.engines)} namings={promises.last_named - 1}"
        f" quiet_s={promises.quiet_s:.0f}"
        f" longest_old_s={promises.longest_old_s:.1f}"
        f" longest_behind_s={promises.longest_behind_s:.1f}"
        f" too_old={len(promises.too_old)} behind={promises.behind}"
        f" two_at_once={len(promises.two_at_once)} cut={len(promises.cut)}"
        f" crowded={len(promises.crowded)} at_the_end={len(fleet.behind())}"
    )


def main() -> None:
    """Plays the sessions of some seeds, from one to before another."""
    for seed in range(int(sys.argv[1]), int(sys.argv[2])):
        fleet = loop.run(random_session(seed))
        print(f"seed={seed} {summary(fleet)}", flush=True)
        for name in ("two_at_once", "cut", "crowded"):
            for line in getattr(fleet.promises, name)[:3]:
                print(f"  {name}: {line}")
        for (engine, version), at_s in list(fleet.promises.too_old.items())[:3]:
            print(f"  too_old: {engine} on {version} at {at_s:.2f}")


if __name__ == "__main__":
    main()
