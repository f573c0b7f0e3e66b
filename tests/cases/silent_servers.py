"""Real daemons while backend servers fall silent for a moment."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import signal
import time
from typing import TYPE_CHECKING

from cluster import raw_caller
from cluster.platform import Platform
from soak import silences

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SEED = 1
DAEMONS = 6
ENGINES = 6
EVENTS = 9
GAP_S = 0.2
SILENT_S = 1.3
# A caller waits longer than its stream and a silence take.
DEADLINE_MS = 6_000
REQUESTS_PER_S = 30
NAMES = ("long", "short", "long", "release", "confirm")
WHOLE = b"".join(
    b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, EVENTS + 1)
)


@dataclasses.dataclass
class Traffic:
    """Requests that run while faults are played, and how they ended."""

    fleet: Platform
    ended: dict[str, collections.Counter[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.Counter)
    )

    async def send(self, for_s: float) -> None:
        """Sends requests at a constant rate, and waits for their ends."""
        tasks = []
        until_s = time.monotonic() + for_s
        number = 0
        while time.monotonic() < until_s:
            name = NAMES[number % len(NAMES)]
            tasks.append(asyncio.create_task(self._send(name, number)))
            number += 1
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)

    async def _send(self, name: str, number: int) -> None:
        headers = {"X-Godwittack-Deadline-Ms": str(DEADLINE_MS)}
        if name in ("long", "short"):
            headers["X-Godwittack-Prefix-Hash"] = f"{number % 5 + 1:x}:800"
        received = await raw_caller.call(
            self.fleet,
            name,
            f"{name}{number}",
            daemon=number % len(self.fleet.processes),
            headers=headers,
            read_s=DEADLINE_MS / 1000 + 1,
        )
        self.ended[name][self._end(name, received)] += 1

    def _end(self, name: str, received: raw_caller.Received) -> str:
        if received.status != 200:
            return f"status {received.status}"
        is_stream = name in ("long", "short")
        if is_stream and received.body != WHOLE:
            return "broken"
        return "whole"

    def check_none_cut(self) -> None:
        """Checks that no answer that began was cut, and none was given up."""
        for name, ends in self.ended.items():
            assert not ends["broken"] and not ends["status 502"], (
                name,
                dict(ends),
            )

    def runs(self) -> collections.Counter[str]:
        """Returns how many times each request ran."""
        return collections.Counter(
            execution.request_id
            for replica in self.fleet.replicas.values()
            for execution in replica.ran
        )

    def check_run_once(self) -> None:
        """Checks that nothing that may not be repeated ran twice."""
        twice = [
            name
            for name, count in self.runs().items()
            if count > 1 and name.startswith(("confirm", "short"))
        ]
        assert not twice, twice


async def _play(
    play_faults: Callable[[Platform], Awaitable[None]], *, for_s: float
) -> Traffic:
    made = Platform(
        daemons=DAEMONS, engines=ENGINES, services=4, timeout_ms=DEADLINE_MS
    )
    for replica in made.replicas.values():
        replica.event_count = EVENTS
        replica.event_gap_s = GAP_S
    async with made:
        traffic = Traffic(made)
        await asyncio.gather(traffic.send(for_s), play_faults(made))
    return traffic


async def answers_outlast_a_silence_of_all_servers() -> None:
    """Guards against streams and calls cut while all servers are silent."""

    async def fall_silent(made: Platform) -> None:
        for _ in range(2):
            await asyncio.sleep(1.5)
            for replica in made.replicas.values():
                replica.fall_silent(SILENT_S)
            await asyncio.sleep(SILENT_S)

    traffic = await _play(fall_silent, for_s=6.5)
    traffic.check_none_cut()
    traffic.check_run_once()
    assert traffic.ended["long"]["whole"] > 50, traffic.ended


async def a_pause_of_daemons_is_no_silence_of_servers() -> None:
    """Guards against a paused daemon that finds all of its servers silent."""
    silent: list[str] = []

    async def pause(made: Platform) -> None:
        for first in (0, 2):
            await asyncio.sleep(1.0)
            for number in (first, first + 1):
                made.signal(number, signal.SIGSTOP)
            await asyncio.sleep(SILENT_S)
            for number in (first, first + 1):
                made.signal(number, signal.SIGCONT)
        await asyncio.sleep(1.0)
        for number in range(DAEMONS):
            lines = made.log(number).splitlines()
            silent.extend(x for x in lines if "event=attempt_silent" in x)

    traffic = await _play(pause, for_s=5.0)
    traffic.check_none_cut()
    assert not silent, silent
    assert max(traffic.runs().values()) == 1, traffic.runs().most_common(5)


async def a_short_session_of_silences_keeps_all_promises() -> None:
    """Guards against cut answers while silences and other faults overlap."""
    session = silences.create(SEED, daemons=DAEMONS)
    violations = await session.play()
    assert not violations, (violations, session.faults)


__all__ = [
    "a_pause_of_daemons_is_no_silence_of_servers",
    "a_short_session_of_silences_keeps_all_promises",
    "answers_outlast_a_silence_of_all_servers",
]
