"""Seeded soak sessions of streams that break off and are taken up again.

`cd tests && python -m soak.streams SEED [COUNT [DAEMONS [BUSY]]]` plays seeds
by hand. Engines mark the end of their answers in all ways, and break them off
anywhere; they are released to other software versions, forth and back, while
daemons are killed and paused. Clients leave streams and take them up at other
daemons. Each event names the version that wrote it.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import sys
import time

from cluster import raw_caller
from cluster.platform import Platform
from cluster.processes import free_port
from soak import repeats
from standins.endings import Cut, Ending, Framing
from standins.replica import Replica

EVENTS = 8
ENGINES = 6
DRAIN_S = 1.0
STABLE_S = 3.0
MAX_TRIES = 3
# Limits that operators set.
MAX_MIXED = 0
MIN_TAKEN_UP = 12
MIN_SHARE_OF_NEW = 0.5

PLAN = repeats.Plan(
    requests=("long", "long", "short"),
    faults=(
        "release",
        "release",
        "break_off",
        "break_off",
        "kill_one",
        "pause",
        "store_silent",
        "stall",
    ),
    fault_gaps_s=(0.8, 2.0),
    initial_calm_s=2.0,
    callers=16,
)


@dataclasses.dataclass
class Try:
    """One try of a client, at one daemon."""

    name: str
    daemon: int
    at_s: float
    is_new: bool
    received: raw_caller.Received = dataclasses.field(
        default_factory=raw_caller.Received
    )

    @property
    def numbers(self) -> list[int]:
        """Numbers of the events received."""
        return [int(event.split(b"\n")[0][4:]) for event in self.events]

    @property
    def versions(self) -> list[str]:
        """Versions that wrote the events received."""
        return [event.decode().rsplit(" ", 1)[1] for event in self.events]

    @property
    def events(self) -> list[bytes]:
        """Whole events received."""
        if self.received.status != 200:
            return []
        return self.received.body.split(b"\n\n")[:-1]


class Session(repeats.Session):
    """Plays one seed and lists the promises that were broken."""

    async def play(self) -> list[str]:
        """Plays the session and returns the violations."""
        self.streams: list[list[Try]] = []
        self.shares = (0, 0, 0, 0)
        self._new_engines = itertools.count(ENGINES + 1)
        self._leaving: set[str] = set()
        return await super().play()

    def _create_platform(self) -> Platform:
        made = Platform(
            daemons=self.daemons, engines=ENGINES, services=repeats.SERVICES
        )
        for replica in made.replicas.values():
            self._prepare(replica)
        return made

    def _prepare(self, replica: Replica) -> None:
        replica.event_count = EVENTS
        replica.signs_events = True

    async def _send_crashing_requests(self) -> None:
        """Sends none: no server crashes on a request here."""

    async def _send_request(self, name: str, kind: str, body: bytes) -> str:
        """Reads a stream, in up to three tries if it may be resumed."""
        tries: list[Try] = []
        self.streams.append(tries)
        result = ""
        while len(tries) < MAX_TRIES:
            last = tries[-1].numbers[-1] if tries else 0
            attempt = Try(
                name if not tries else f"{name}.{len(tries)}",
                self.rng.randrange(self.daemons),
                time.monotonic(),
                is_new=not tries,
            )
            self.requests[attempt.name] = (kind, attempt.at_s)
            self.daemon_by_request[attempt.name] = attempt.daemon
            headers = {"X-Godwittack-Prefix-Hash": f"{hash(name):x}:800"}
            if tries:
                headers |= {"Resumes": name, "Last-Event-Id": str(last)}
            leave_after = 0
            if kind == "long" and self.rng.random() < 0.5:
                leave_after = self.rng.randint(1, EVENTS - 1)
            attempt.received = await self._read(
                attempt, kind, body, headers, leave_after
            )
            result = str(attempt.received.status)
            tries.append(attempt)
            is_over = not attempt.events or attempt.numbers[-1] == EVENTS
            if kind != "long" or is_over:
                break
        self.statuses[result] += 1
        return result

    async def _read(
        self,
        attempt: Try,
        kind: str,
        body: bytes,
        headers: dict[str, str],
        leave_after: int,
    ) -> raw_caller.Received:
        try:
            return await raw_caller.call(
                self.fleet,
                kind,
                attempt.name,
                daemon=attempt.daemon,
                body=body,
                headers=headers,
                leave_after=leave_after,
            )
        except (OSError, TimeoutError):
            return raw_caller.Received()

    def _serving_engines(self) -> list[Replica]:
        return [
            replica
            for replica in self.fleet.replicas.values()
            if replica.model and replica.instance not in self._leaving
        ]

    async def _break_off(self) -> None:
        chosen = self._choose_replicas(plain=False)
        ending = Ending(
            self.rng.choice(list(Framing)),
            self.rng.choice(list(Cut)),
            resets=self.rng.random() < 0.4,
            after=self.rng.randint(1, EVENTS - 1),
        )
        self.faults.append(f"  {ending}")
        for replica in chosen:
            replica.faults.ending = ending
        await self._hold_fault(3.0)
        for replica in chosen:
            replica.faults.ending = None

    async def _release(self) -> None:
        """Replaces up to half of the engines, one after the other."""
        version = self.rng.choice(("v1", "v1.1", "v1.2"))
        for _ in range(self.rng.randint(1, ENGINES // 2)):
            await self._replace(version)

    async def _replace(self, version: str) -> None:
        """Adds an engine of a version, and drains another one."""
        old = self.rng.choice(self._serving_engines())
        self._leaving.add(old.instance)
        name = f"i-e{next(self._new_engines)}"
        added = Replica(name, model="m")
        self._prepare(added)
        added.software = version
        added.version = old.version
        port = free_port()
        await added.start(port)
        self.fleet.replicas[name] = added
        self.fleet.list_server(name, f"127.0.0.1:{port}")
        await asyncio.sleep(self.rng.uniform(0.1, 0.5))
        address = f"127.0.0.1:{old.port}"
        self.fleet.list_server(old.instance, address, state="draining")
        await asyncio.sleep(DRAIN_S)
        self.fleet.store.put("servers", old.instance, None)

    def _check(self) -> None:
        super()._check()
        self._check_versions()
        self._check_claims()
        self._check_share()

    def _check_versions(self) -> None:
        mixed = [
            tries
            for tries in self.streams
            if len({v for tried in tries for v in tried.versions}) > 1
        ]
        if len(mixed) > MAX_MIXED:
            self.violations.append(f"{len(mixed)} mixed streams: {mixed[0]}")

    def _check_claims(self) -> None:
        for tries in self.streams:
            numbers = [n for tried in tries for n in tried.numbers]
            if numbers != list(range(1, len(numbers) + 1)):
                self.violations.append(f"events are missing or double: {tries}")
            for tried in tries:
                received = tried.received
                is_whole = bool(numbers) and numbers[-1] == EVENTS
                is_claimed = received.status == 200 and (
                    received.is_claimed_complete
                    or (received.has_ended and received.is_inside_event)
                )
                if is_claimed and not (is_whole and tried is tries[-1]):
                    self.violations.append(f"a false end: {tries}")

    def _check_share(self) -> None:
        calm = [
            tried
            for tries in self.streams
            for tried in tries
            if self._is_undisturbed(tried.daemon, tried.at_s)
        ]
        new = [tried for tried in calm if tried.is_new]
        taken_up = [tried for tried in calm if not tried.is_new]
        begun = sum(bool(tried.events) for tried in new)
        gone_on = sum(bool(tried.events) for tried in taken_up)
        self.shares = (begun, len(new), gone_on, len(taken_up))
        if len(taken_up) < MIN_TAKEN_UP:
            return
        if gone_on / len(taken_up) < MIN_SHARE_OF_NEW * begun / len(new):
            self.violations.append(f"few streams went on: {self.shares}")

    def summary(self) -> str:
        """Summarizes the counts of the finished session."""
        begun, new, gone_on, taken_up = self.shares
        return f"begun {begun} of {new}, gone on {gone_on} of {taken_up}"


def create(seed: int, *, daemons: int, busy: int = 0) -> Session:
    """Returns a session."""
    return Session(seed, daemons=daemons, busy=busy, plan=PLAN)


if __name__ == "__main__":
    sys.exit(repeats.play_seeds(create))
