"""Callers whose prompts share a part, before engines that it crashes."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import random
import time

import aiohttp

from cluster.platform import HOST, KEY, Platform
from standins.replica import PartFault, Replica

BAD_PART = "badbad01"
# Parts of the sound requests, outermost first; the bad part stands between.
SHARED_PARTS = ("5c1e07a2", "91bd3f06")
# Time after the fifth crash from which the limits of operators apply.
FIFTH = 5
REFUSED_AFTER_S = 3.0
SERVED_AFTER_S = 6.0
MAX_LATE = 3
TIMEOUT_S = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What is sent.

    Attributes:
        route: Route of all requests.
        parts: Shared parts of the requests with the bad one.
        gap_s: Time between two groups of such requests.
        group: Requests with the bad part that are sent at one time.
        callers: Callers that send sound requests.
        sound_gap_s: Pause of such a caller after each answer.
        down_s: How long a crashed engine is away.
    """

    route: str = "short"
    parts: tuple[str, ...] = (SHARED_PARTS[0], BAD_PART, SHARED_PARTS[1])
    gap_s: float = 0.3
    group: int = 1
    callers: int = 4
    sound_gap_s: float = 0.08
    down_s: float = 1.5


@dataclasses.dataclass(frozen=True)
class Sound:
    """The first try of a sound request."""

    at_s: float
    status: int
    has_begun: bool


class PartTraffic:
    """Sends sound requests and such with a bad part, and replaces engines."""

    def __init__(
        self, platform: Platform, plan: Plan, *, seed: int = 1
    ) -> None:
        self.platform = platform
        self.plan = plan
        self.rng = random.Random(seed)
        self.fault: PartFault | None = None
        self.sound: list[Sound] = []
        self.statuses: list[int] = []
        self.crashes_s: list[float] = []
        self.daemons = range(len(platform.fields))
        self._ids = itertools.count(1)
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> PartTraffic:
        """Starts the callers of sound requests, and replaces engines."""
        self._tasks = [asyncio.create_task(self._replace())]
        self._tasks.extend(
            asyncio.create_task(self._send_sound())
            for _ in range(self.plan.callers)
        )
        return self

    async def __aexit__(self, *unused: object) -> None:
        """Ends them."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_fault(self, fault: PartFault) -> None:
        """Lets all engines crash on a part, also those that replace them."""
        self.fault = fault
        for replica in self.engines():
            replica.part_fault = fault

    def engines(self) -> list[Replica]:
        """Returns all engines that run."""
        replicas = self.platform.replicas.values()
        return [r for r in replicas if r.model and not r.has_crashed]

    async def send_bad(self, *, seconds: float) -> None:
        """Sends requests with the bad part, no two alike, at any daemon."""
        until_s = time.monotonic() + seconds
        groups = []
        while time.monotonic() < until_s:
            groups.extend(
                asyncio.create_task(self._send_one_bad())
                for _ in range(self.plan.group)
            )
            await asyncio.sleep(self.plan.gap_s)
        await asyncio.gather(*groups)

    async def _send_one_bad(self) -> None:
        status, _ = await self.send(self.plan.parts)
        self.statuses.append(status)

    async def send(
        self, parts: tuple[str, ...], *, daemon: int | None = None
    ) -> tuple[int, bool]:
        """Sends a request; returns its status and whether an event came."""
        number = next(self._ids)
        request_id = f"p{number:06d}"
        if daemon is None:
            daemon = self.rng.choice(self.daemons)
        front = self.platform.fields[daemon]["listen"]["front"]
        own_part = f"{self.rng.getrandbits(32):08x}"
        entries = ",".join(f"{part}:200" for part in (*parts, own_part))
        headers = {
            "Host": HOST,
            "X-Godwittack-Request-Id": request_id,
            "X-Godwittack-Deadline-Ms": "3000",
            "X-Godwittack-Credential": KEY,
            "X-Godwittack-Model": "m",
            "X-Godwittack-Token-Usage": "900,10",
            "X-Godwittack-Prefix-Hash": entries,
        }
        status, received = 0, b""
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with (
                asyncio.timeout(TIMEOUT_S),
                aiohttp.ClientSession() as session,
                session.post(
                    f"http://{front}/{self.plan.route}/x",
                    headers=headers,
                    data=request_id.encode(),
                ) as response,
            ):
                status = response.status
                async for data in response.content.iter_any():
                    received += data
        return status, status == 200 and b"\n\n" in received

    async def _send_sound(self) -> None:
        while True:
            at_s = time.monotonic()
            status, has_begun = await self.send(SHARED_PARTS)
            self.sound.append(Sound(at_s, status, has_begun))
            await asyncio.sleep(self.plan.sound_gap_s)

    async def _replace(self) -> None:
        """Replaces each engine that crashed, under a new id at its port."""
        replacing: set[asyncio.Task[None]] = set()
        while True:
            for name, replica in list(self.platform.replicas.items()):
                if replica.has_crashed and not name.startswith("ended "):
                    self.crashes_s.append(time.monotonic())
                    # Kept under another name, with what has reached it.
                    ended = self.platform.replicas.pop(name)
                    self.platform.replicas[f"ended {name}"] = ended
                    task = asyncio.create_task(self._start_again(name, replica))
                    replacing.add(task)
                    task.add_done_callback(replacing.discard)
            await asyncio.sleep(0.005)

    async def _start_again(self, name: str, crashed: Replica) -> None:
        await asyncio.sleep(self.plan.down_s)
        await crashed.stop()
        replica = Replica(f"i-n{next(self._ids)}", model="m")
        replica.part_fault = self.fault
        replica.faults.ending = crashed.faults.ending
        replica.event_count = crashed.event_count
        await replica.start(crashed.port)
        self.platform.store.put("servers", name, None)
        self.platform.replicas[replica.instance] = replica
        self.platform.list_server(replica.instance, f"127.0.0.1:{crashed.port}")

    def reached_s(self) -> list[float]:
        """Returns when requests with the bad part reached engines."""
        return sorted(
            ran.at_s
            for replica in self.platform.replicas.values()
            for ran in replica.ran
            if BAD_PART in ran.headers.get("x-godwittack-prefix-hash", "")
        )

    def late(self) -> int:
        """Returns how many of them came too long after the fifth crash."""
        if len(self.crashes_s) < FIFTH:
            return 0
        limit_s = sorted(self.crashes_s)[FIFTH - 1] + REFUSED_AFTER_S
        return sum(at_s > limit_s for at_s in self.reached_s())

    def share_begun(self, *, from_s: float, to_s: float = 1e12) -> float:
        """Returns the share of sound requests that began at the first try."""
        tries = [s for s in self.sound if from_s <= s.at_s < to_s]
        assert len(tries) >= 20, len(tries)
        return sum(s.has_begun for s in tries) / len(tries)


__all__ = [
    "BAD_PART",
    "MAX_LATE",
    "SERVED_AFTER_S",
    "SHARED_PARTS",
    "PartTraffic",
    "Plan",
]
