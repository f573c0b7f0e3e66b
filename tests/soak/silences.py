"""Seeded soak sessions of backend servers that fall silent for a moment.

`cd tests && python -m soak.silences SEED [COUNT [DAEMONS [BUSY]]]` plays seeds
by hand. Servers accept everything and send nothing for up to a second and a
half: all of them, some, one after the other, or again as soon as they are back.
Daemons are killed, stopped and paused meanwhile, the store is silent, and the
configuration changes. No server ends, so that no answer may be cut.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import re
import signal
import sys
import time

from cluster import platform, raw_caller
from cluster.platform import Platform
from soak import repeats

EVENTS = 8
EVENT_GAP_S = 0.08
ENGINES = 6
WHOLE_STREAM = b"".join(
    b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, EVENTS + 1)
)
RUN_ONCE = ("short", "confirm")
# An answer may end at the time limit of its caller and route.
LIMIT_S = repeats.DEADLINE_MS / 1000 - 0.1
MAX_SILENCE_S = 1.5
# Longest time from a kill until the daemon is started again.
KILL_TO_READY_S = 1.0
RELAY = re.compile(r" relay=edge-(\d+)@")

PLAN = repeats.Plan(
    requests=("long", "long", "short", "release", "confirm"),
    faults=(
        "silence_all",
        "silence_all",
        "silence_some",
        "silence_chain",
        "silence_twice",
        "change_table",
        "kill_one",
        "stop_one",
        "pause",
        "store_silent",
    ),
    fault_gaps_s=(0.6, 2.0),
    initial_calm_s=1.0,
    callers=24,
)


@dataclasses.dataclass(frozen=True)
class Cut:
    """An answer that ended before it was whole."""

    name: str
    daemon: int
    from_s: float
    to_s: float
    status: int


class Session(repeats.Session):
    """Plays one seed and lists the promises that were broken."""

    async def play(self) -> list[str]:
        """Plays the session and returns the violations."""
        self.cuts: list[Cut] = []
        self.unexplained: list[Cut] = []
        # When daemons were killed, by number.
        self.kills_s: dict[int, list[float]] = collections.defaultdict(list)
        # From when to when daemons were paused, by number.
        self.pauses_s: dict[int, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        self._table_version = 1
        return await super().play()

    def summary(self) -> str:
        """Summarizes the counts of the finished session."""
        cut = [round(c.to_s - c.from_s, 1) for c in self.cuts]
        return (
            f"cut after {sorted(cut)} s, {len(self.unexplained)} unexplained,"
            f" worst {self.worst_windows}"
        )

    def _create_platform(self) -> Platform:
        made = Platform(
            daemons=self.daemons, engines=ENGINES, services=repeats.SERVICES
        )
        for replica in made.replicas.values():
            replica.event_count = EVENTS
            replica.event_gap_s = EVENT_GAP_S
        return made

    async def _send_crashing_requests(self) -> None:
        """Sends none: no server crashes here."""

    async def _send_request(self, name: str, kind: str, body: bytes) -> str:
        from_s = time.monotonic()
        self.requests[name] = (kind, from_s)
        daemon = self.daemon_by_request[name] = self.rng.randrange(self.daemons)
        try:
            received = await raw_caller.call(
                self.fleet, kind, name, daemon=daemon, body=body
            )
        except (OSError, TimeoutError) as error:
            self.statuses[type(error).__name__] += 1
            return type(error).__name__
        expected = body[::-1]
        if kind in ("long", "short"):
            expected = WHOLE_STREAM
        result = str(received.status)
        is_whole = received.status == 200 and received.body == expected
        # A refusal says that nothing has run. No head, a success that breaks
        # off and a 502 mean that what may have run was given up.
        if not is_whole and received.status in (0, 200, 502):
            result = "cut"
            self.cuts.append(
                Cut(name, daemon, from_s, time.monotonic(), received.status)
            )
        self.statuses[result] += 1
        return result

    def _fall_silent(self, share: float) -> float:
        """Silences a share of all servers; returns for how long."""
        replicas = list(self.fleet.replicas.values())
        for_s = self.rng.uniform(0.3, MAX_SILENCE_S)
        for replica in self.rng.sample(replicas, round(share * len(replicas))):
            replica.fall_silent(for_s)
        return for_s

    async def _silence_all(self) -> None:
        self._fall_silent(1.0)

    async def _silence_some(self) -> None:
        self._fall_silent(self.rng.uniform(0.2, 0.9))

    async def _silence_chain(self) -> None:
        for replica in list(self.fleet.replicas.values()):
            replica.fall_silent(self.rng.uniform(0.5, MAX_SILENCE_S))
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))

    async def _silence_twice(self) -> None:
        await asyncio.sleep(self._fall_silent(1.0) + self.rng.uniform(0.1, 0.5))
        self._fall_silent(1.0)

    async def _change_table(self) -> None:
        self._table_version += 1
        self.fleet.store.put(
            "op", "config", platform.config(self._table_version)
        )

    async def _stop_one(self) -> None:
        number = self.rng.randrange(self.daemons)
        async with self._restarting[number]:
            process = self.fleet.processes[number]
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
            await process.wait()
            await self.fleet.restart_daemon(number)
            self._record_stop((number,))

    async def _kill(self, number: int) -> None:
        await super()._kill(number)
        self.kills_s[number].append(time.monotonic())

    async def _pause(self) -> None:
        chosen = self.rng.sample(range(self.daemons), self.daemons // 4)
        stopped = [self.fleet.processes[number] for number in chosen]
        from_s = time.monotonic()
        repeats.send_signal(stopped, signal.SIGSTOP)
        await self._hold_fault(2.0)
        repeats.send_signal(stopped, signal.SIGCONT)
        for number in chosen:
            self.pauses_s[number].append((from_s, time.monotonic()))
        self._record_stop(chosen)

    def _check(self) -> None:
        super()._check()
        self._check_run_once()
        self.unexplained = [cut for cut in self.cuts if not self._may_end(cut)]
        if self.unexplained:
            self.violations.append(f"answers cut: {self.unexplained[:3]}")

    def _check_run_once(self) -> None:
        runs = collections.Counter(
            execution.request_id
            for replica in self.fleet.replicas.values()
            for execution in replica.ran
            if self.requests[execution.request_id][0] in RUN_ONCE
        )
        twice = [name for name, count in runs.items() if count > 1]
        if twice:
            self.violations.append(f"ran twice: {twice[:5]}")

    def _may_end(self, cut: Cut) -> bool:
        """Returns whether nothing was given up for a silence.

        Its daemon was killed, or the one that passed it on; its time was over;
        or it crossed the close of a daemon that stops, which sent it to no
        server. A daemon that was paused counts the time for which a request may
        have waited to be read.
        """
        was_killed = any(
            cut.from_s <= at_s and at_s - KILL_TO_READY_S <= cut.to_s
            for daemon in {cut.daemon, *self._relays(cut)}
            for at_s in self.kills_s[daemon]
        )
        was_paused = any(
            from_s <= cut.from_s <= to_s
            for from_s, to_s in self.pauses_s[cut.daemon]
        )
        is_over = cut.to_s - cut.from_s >= LIMIT_S
        return (
            was_killed
            or was_paused
            or is_over
            or not self._has_arrived(cut.name)
        )

    def _relays(self, cut: Cut) -> set[int]:
        """Returns the numbers of the daemons that passed a request on."""
        return {
            int(number) - 1
            for line in self.fleet.log(cut.daemon).splitlines()
            if f"request={cut.name}~" in line
            for number in RELAY.findall(line)
        }

    def _has_arrived(self, name: str) -> bool:
        return any(
            arrival.request_id == name
            for replica in self.fleet.replicas.values()
            for arrival in replica.arrivals
        )


def create(seed: int, *, daemons: int, busy: int = 0) -> Session:
    """Returns a session."""
    return Session(seed, daemons=daemons, busy=busy, plan=PLAN)


if __name__ == "__main__":
    sys.exit(repeats.play_seeds(create))
