"""Seeded sessions of large fleets: load, new weights and random faults."""

from __future__ import annotations

import asyncio
import random
import sys

from sim import large_fleets, loop

FAULTS = 7
QUIET_END_S = 30.0


async def random_session(seed: int) -> large_fleets.LargeFleet:
    """Publishes weights under load while daemons, store and engines fail."""
    session = _Session(seed)
    await session.play()
    return session.fleet


class _Session:
    """Plays load, publications and faults on one fleet."""

    def __init__(self, seed: int) -> None:
        self.fleet = large_fleets.LargeFleet(seed=seed)
        self.rng = random.Random(seed)

    async def play(self) -> None:
        """Plays the session, then a publication and a quiet period."""
        fleet = self.fleet
        await asyncio.sleep(2)
        background_tasks = [
            fleet.spawn(self._vary_backlog()),
            fleet.spawn(self._publish_repeatedly()),
            fleet.spawn(self._disconnect_engines()),
        ]
        for _ in range(FAULTS):
            # Half of the gaps are long enough for a whole roll-out.
            is_long = self.rng.random() < 0.5
            await asyncio.sleep(
                self.rng.uniform(*((12, 20) if is_long else (0, 4)))
            )
            if self.rng.random() < 0.3:
                self._kill()
            await self._inject_fault(self.rng.randrange(7))
        for task in background_tasks[1:]:
            task.cancel()
        await self._publish_next()
        await asyncio.sleep(QUIET_END_S)

    async def _vary_backlog(self) -> None:
        """Keeps a backlog at the engines for most of the time."""
        while True:
            self.fleet.has_backlog = True
            await asyncio.sleep(self.rng.uniform(4, 25))
            self.fleet.has_backlog = False
            await asyncio.sleep(self.rng.uniform(0.3, 3))

    async def _publish_repeatedly(self) -> None:
        """Publishes weights repeatedly, half of the times within 5 s."""
        while True:
            await self._publish_next()
            is_soon = self.rng.random() < 0.5
            await asyncio.sleep(
                self.rng.uniform(*((0.5, 5) if is_soon else (8, 20)))
            )

    async def _publish_next(self) -> None:
        while self.fleet.table.faults.down:
            await asyncio.sleep(0.1)
        self.fleet.promises.publish(self.fleet.now_s())

    async def _disconnect_engines(self) -> None:
        """Disconnects engines for a while: a few, or a quarter of all."""
        fleet = self.fleet
        while True:
            await asyncio.sleep(self.rng.uniform(5, 25))
            quarter = len(fleet.engines) // 4
            count = self.rng.choice((1, 3, quarter))
            for_s = self.rng.uniform(4, 14)
            for engine in self.rng.sample(list(fleet.engines), count):
                engine.disconnect(fleet.now_s(), for_s=for_s)
            await asyncio.sleep(for_s)

    async def _inject_fault(self, kind: int) -> None:
        fleet = self.fleet
        daemon = self.rng.choice(fleet.running())
        faults = fleet.table.faults
        match kind:
            case 0:
                with fleet.promises.disturbance("paused"):
                    daemon.pause()
                    await asyncio.sleep(self.rng.uniform(0.5, 12))
                    daemon.resume()
            case 1:
                with fleet.promises.disturbance("store down"):
                    faults.down = True
                    await asyncio.sleep(self.rng.uniform(0.5, 8))
                    faults.down = False
            case 2:
                with fleet.promises.disturbance("lost replies"):
                    faults.lose_reply = 0.3
                    await asyncio.sleep(self.rng.uniform(2, 10))
                    faults.lose_reply = 0.0
            case 3:
                with fleet.promises.disturbance("cut"):
                    daemon.store_connection.is_cut = True
                    await asyncio.sleep(self.rng.uniform(0.5, 12))
                    daemon.store_connection.is_cut = False
            case 4:
                engine = self.rng.choice(list(fleet.engines))
                engine.restart(fleet.now_s())
            case 5:
                with fleet.promises.disturbance("late orders"):
                    fleet.late_orders = True
                    await asyncio.sleep(self.rng.uniform(2, 10))
                    fleet.late_orders = False
            case 6:
                with fleet.promises.disturbance("late writes"):
                    faults.late_apply = 0.2
                    await asyncio.sleep(self.rng.uniform(2, 10))
                    faults.late_apply = 0.0
                    await asyncio.sleep(faults.late_ms / 1000)

    def _kill(self) -> None:
        """Kills a daemon, usually the lease holder; another starts later."""
        fleet = self.fleet
        running = fleet.running()
        if not running:
            return
        holders = [d for d in running if d.me.member_id == fleet.last_holder]
        daemon = self.rng.choice(holders or running)
        if self.rng.random() < 0.3:
            daemon = self.rng.choice(running)
        fleet.promises.record_disturbance(fleet.now_s())
        fleet.spawn(daemon.kill())
        fleet.loop.call_later(self.rng.uniform(2, 8), fleet.start_daemon)


def summary(fleet: large_fleets.LargeFleet) -> str:
    """Summarizes a session in one line."""
    promises = fleet.promises
    return (
        f"engines={len(fleet.engines)} publications={promises.last_version - 1}"
        f" quiet_s={promises.quiet_s:.0f}"
        f" longest_outdated_s={promises.longest_outdated_s:.1f}"
        f" longest_rollout_s={promises.longest_rollout_s:.1f}"
        f" outdated_engines={len(promises.outdated_engines)}"
        f" late_rollouts={promises.late_rollouts}"
        f" order_conflicts={len(promises.order_conflicts)}"
        f" requests_during_load={len(promises.requests_during_load)}"
        f" excess_loads={len(promises.excess_loads)}"
        f" outdated_at_the_end={len(fleet.outdated_engines())}"
    )


def main() -> None:
    """Plays the seeds from the first argument up to before the second."""
    for seed in range(int(sys.argv[1]), int(sys.argv[2])):
        fleet = loop.run(random_session(seed))
        print(f"seed={seed} {summary(fleet)}", flush=True)
        for name in ("order_conflicts", "requests_during_load", "excess_loads"):
            for line in getattr(fleet.promises, name)[:3]:
                print(f"  {name}: {line}")
        for (engine, version), at_s in list(
            fleet.promises.outdated_engines.items()
        )[:3]:
            print(f"  outdated: {engine} on {version} at {at_s:.2f}")


if __name__ == "__main__":
    main()
