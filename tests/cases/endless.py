"""Real daemons beside backend servers whose answers have no end."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
from typing import TYPE_CHECKING

from cluster import platform, raw_caller
from standins.endless import Endless, Kind

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

# Bounds of docs/design/uneven-load.md, part 5.
MAX_GROWTH_BYTES = 24 << 20
MAX_READ_BYTES = 40 << 20
MEMORY_LIMIT_BYTES = 160 << 20
PLAIN = frozenset({Kind.BODY, Kind.UNMARKED_BODY, Kind.SURPLUS})
# One request at a time is not the worst: several are open when it begins.
AT_ONCE = 6
ROUNDS = 4
GAP_S = 0.5
DEADLINE_MS = 3_000


@dataclasses.dataclass
class Session:
    """One daemon beside one server that sends one kind.

    Attributes:
        growth_bytes: Greatest growth of the daemon.
        ended: Ends of the requests, by route.
    """

    made: platform.Platform
    fault: Endless
    growth_bytes: int = 0
    ended: dict[str, collections.Counter[int]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.Counter)
    )

    async def send(self, names: Iterable[str]) -> None:
        """Sends several requests at once, several times."""
        number = 0
        tasks = []
        for _ in range(ROUNDS):
            for name in names:
                for _ in range(AT_ONCE):
                    number += 1
                    tasks.append(
                        asyncio.create_task(self._call(name, f"{name}{number}"))
                    )
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tasks)

    async def _call(self, name: str, request_id: str) -> None:
        try:
            received = await raw_caller.call(
                self.made,
                name,
                request_id,
                headers={"X-Godwittack-Deadline-Ms": str(DEADLINE_MS)},
            )
        except TimeoutError:
            self.ended[name][-1] += 1
            return
        self.ended[name][received.status if received.has_ended else 0] += 1

    def figures(self) -> str:
        """Returns what was measured in one line."""
        ends = {name: dict(counts) for name, counts in self.ended.items()}
        return (
            f"{self.fault.kind}: growth {self.growth_bytes / 2**20:.1f} MB, "
            f"sent {self.fault.sent_bytes / 2**20:.1f} MB in "
            f"{self.fault.answers} answers, {ends}"
        )


def memory_bytes(pid: int, field: str = "VmRSS") -> int:
    """Returns a process's resident memory, or its peak (`VmHWM`)."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field + ":"):
            return int(line.split()[1]) << 10
    raise AssertionError(f"process {pid} has ended")


@contextlib.asynccontextmanager
async def _session(
    kind: Kind, *, reports: bool = False
) -> AsyncIterator[Session]:
    """Runs a daemon beside two engines and services, one of each faulty."""
    async with platform.Platform(timeout_ms=DEADLINE_MS) as made:
        # The first requests load code and grow the process once.
        for name in ("long", "release", "confirm"):
            await made.earn_retry(name)
        fault = Endless(kind)
        session = Session(made, fault)
        pid = made.processes[0].pid
        before = memory_bytes(pid)
        pathlib.Path(f"/proc/{pid}/clear_refs").write_text("5")
        for name in ("i-e1", "i-s1"):
            faults = made.replicas[name].faults
            if reports:
                faults.endless_reports = fault
            elif name == ("i-s1" if kind in PLAIN else "i-e1"):
                faults.endless = fault
        yield session
        session.growth_bytes = memory_bytes(pid, "VmHWM") - before


async def _play(kind: Kind) -> list[str]:
    """Plays one kind; returns the promises that it broke."""
    name = "release" if kind in PLAIN else "long"
    async with _session(kind) as session:
        await session.send([name])
        await asyncio.sleep(0.3)
        log = session.made.log()
    print(session.figures())
    broken = []
    if session.growth_bytes > MAX_GROWTH_BYTES:
        broken.append("growth")
    if session.fault.sent_bytes > MAX_READ_BYTES:
        broken.append("bytes read")
    is_slow = kind is Kind.SLOW_HEADER_LINES
    if not is_slow and "event=endless_answer server=" not in log:
        broken.append("no event")
    if not is_slow and session.ended[name][200] != ROUNDS * AT_ONCE:
        broken.append("not all served")
    if is_slow and not session.ended[name][200]:
        broken.append("none served")
    return [f"{what}: {session.figures()}" for what in broken]


async def a_daemon_stays_small_beside_each_kind_of_endless_answer() -> None:
    """Guards against a daemon that one faulty server fills or keeps busy."""
    broken = []
    for kind in Kind:
        broken += await _play(kind)
    assert not broken, "\n".join(broken)


__all__ = ["a_daemon_stays_small_beside_each_kind_of_endless_answer"]
