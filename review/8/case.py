"""All replicas of a service crash; later one route is refused for minutes."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common2"))
import lab  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
WORK_S = 0.045
LOOK_GAP_S = 0.25
FIRST_GAP_S = 0.1
# Three intervals of 1.2 s without a heartbeat.
EXPIRY_S = 3.7
CRASH_S = 5.0
WATCHED_S = 15.0
MIN_REQUESTS = 20
ADDED = lab.platform.route("board", "app", "idempotent")


def config(version: int, *, has_added: bool) -> dict:
    """Returns a configuration, with the route that is added later or not."""
    base = lab.platform.config(version)
    return {**base, "routes": base["routes"] + [ADDED] * has_added}


class Traffic:
    """Requests on the first routes, no two alike, and looks at the new one."""

    def __init__(self, running: lab.Lab, record: lab.Record) -> None:
        """Starts without requests."""
        self._running = running
        self._record = record
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        # Time of sending, route, status.
        self.answers: list[tuple[float, str, int | str]] = []

    async def send_forever(self, route: str, daemon: int, gap_s: float) -> None:
        """Sends requests at a fixed rate until cancelled."""
        while True:
            task = asyncio.create_task(self._send(route, daemon))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(gap_s)

    async def _send(self, route: str, daemon: int) -> None:
        self._count += 1
        number = self._count
        sent_s = self._record.now_s()
        status = await self._running.send(
            route,
            f"{route}-{number}",
            daemon=daemon,
            body=b"" if route == "board" else b"stall %d" % number,
        )
        self.answers.append((sent_s, route, status))

    def served(self, routes: tuple[str, ...], from_s: float) -> tuple[int, int]:
        """Returns how many requests were served, and how many were sent."""
        statuses = [
            status
            for sent_s, route, status in self.answers
            if route in routes and sent_s >= from_s
        ]
        return statuses.count(200), len(statuses)


async def crash_all(running: lab.Lab, record: lab.Record) -> None:
    """Crashes the replicas of the plain service; new ones come in their place.

    They fall silent at once, as when their machines lose power.
    """
    crashed = {n: r for n, r in running.replicas.items() if not r.model}
    for name, replica in crashed.items():
        replica.fall_silent(3_600)
        record.write(f"crash    {name} falls silent")
    await asyncio.sleep(EXPIRY_S)
    for name in crashed:
        running.store.put("servers", name, None)
        record.write(f"expire   {name}")
    await asyncio.sleep(CRASH_S - EXPIRY_S)
    for number, replica in enumerate(crashed.values(), 1):
        await replica.crash()
        name = f"i-t{number}"
        started = running.replicas[name] = lab.Replica(name)
        started.work_s = WORK_S
        port = lab.free_port()
        await started.start(port)
        running.list_server(name, f"127.0.0.1:{port}")
        record.write(f"start    {name}")


async def case(record: lab.Record) -> int:
    """Returns whether the route that was added later is served as often."""
    replicas = {"i-e1": lab.CachingEngine("i-e1", record)}
    for number in (1, 2, 3):
        replicas[f"i-s{number}"] = replica = lab.Replica(f"i-s{number}")
        replica.work_s = WORK_S
    async with lab.Lab(record, replicas, config(1, has_added=False)) as running:
        await running.until_serving()
        traffic = Traffic(running, record)
        senders = [
            asyncio.create_task(traffic.send_forever(route, daemon, gap_s))
            for daemon in range(3)
            for route, gap_s in (
                ("release", FIRST_GAP_S),
                ("board", LOOK_GAP_S),
            )
        ]
        await asyncio.sleep(2.0)
        running.put_config(config(2, has_added=True))
        await asyncio.sleep(lab.CONFIG_APPLY_S + lab.STABLE_S)
        if lab.TROUBLE:
            await crash_all(running, record)
        # Steady state: nothing is disturbed any more.
        await asyncio.sleep(lab.STABLE_S + lab.CONFIG_APPLY_S)
        from_s = record.now_s()
        await asyncio.sleep(WATCHED_S)
        for sender in senders:
            sender.cancel()
        await asyncio.sleep(3.5)
        running.keep_logs(FOLDER, ("event=quarantined", "event=server_crashed"))
    first = traffic.served(("release",), from_s)
    later = traffic.served(("board",), from_s)
    late = collections.Counter(
        (route, status)
        for sent_s, route, status in traffic.answers
        if sent_s >= from_s
    )
    record.write(f"from {from_s:.1f} s on: {dict(late)}")
    if min(first[1], later[1]) < MIN_REQUESTS or not first[0]:
        return lab.NOT_RUN
    if later[0] / later[1] < first[0] / first[1] / 4:
        record.write(
            f"BROKEN   CONFIG: {later[0]} of {later[1]} requests served on the"
            f" route that was added later, {first[0]} of {first[1]} on the"
            " first one"
        )
        return lab.BROKEN
    return lab.HELD


if __name__ == "__main__":
    lab.main(case, FOLDER)
