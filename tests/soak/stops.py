"""Seeded soak sessions of planned stops, and callers that keep connections.

`cd tests && python -m soak.stops SEED [COUNT [DAEMONS [BUSY]]]` plays seeds by
hand. Daemons get SIGTERM in series and at once, soon after their start and
twice, while other daemons are killed and paused, servers fall silent and the
configuration changes. Callers use their connections until the process is gone:
they rest, send all the time, send as the process ends, send in pieces, and read
slowly. No server ends, so that no request may be lost.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import signal
import sys
import time
from typing import TYPE_CHECKING

from cluster import platform, raw_caller
from cluster.platform import Platform
from soak import repeats

if TYPE_CHECKING:
    from collections.abc import Iterable

EVENTS = 8
WHOLE_STREAM = b"".join(
    b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, EVENTS + 1)
)
STREAMS = ("long", "short")
RUN_ONCE = ("short", "confirm")
# Statuses of requests that have not run.
NOT_RUN = (503, 429)
DEADLINE_MS = 9_000
# Limits that operators set: time from SIGTERM to SIGKILL, the time for which
# callers may hold the address, the share of the grace in which a server that
# still works excuses a request, and the time in which a request that was sent
# to no server may be lost.
GRACE_S = float(platform.BOUNDS["grace-s"])
EXPIRED_S = 3.0
# Time after which a process that stops is killed, to go on with the session.
MAX_STOP_S = 3 * GRACE_S
LAST_WORK_S = GRACE_S * 5 / 6
LOSS_SLACK_S = 0.2
# Time before a request in which an unplanned disturbance excuses its loss.
STABLE_S = 3.0
MAX_SILENCE_S = 1.5
# Answer to a call whose body asks for one that is read slowly.
LONG_BODY = b"long answer"
LONG_ANSWER = b"x" * 2_000_000
PIECES = 8
BODY_BYTES = 40_000
CONNECT_GAP_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Habit:
    """How a caller uses its connections.

    Attributes:
        rest_s: Range of the times between two requests.
        run_s: Range of the times for which requests run.
        piece_gap_s: Longest pause between the pieces of a request.
        body: Body of the requests.
        read_gap_s: Pause after each piece of an answer.
        is_late: Whether it sends only while its daemon is about to end.
        requests: How many it sends without waiting for answers.
    """

    rest_s: tuple[float, float] = (0.01, 0.12)
    run_s: tuple[float, float] = (0.005, 0.06)
    piece_gap_s: float = 0.0
    body: bytes = b"body"
    read_gap_s: float = 0.0
    is_late: bool = False
    requests: int = 1


RESTS = (0.0, 9.0)
HABITS = (
    Habit(rest_s=RESTS),
    Habit(rest_s=RESTS, run_s=(0.3, 5.0)),
    Habit(),
    Habit(rest_s=RESTS),
    Habit(rest_s=(0.1, 2.0), run_s=(0.005, 2.0)),
    Habit(rest_s=(0.1, 1.0), body=b"b" * BODY_BYTES, piece_gap_s=0.4),
    Habit(rest_s=(0.0, 2.0), piece_gap_s=0.5),
    Habit(rest_s=(0.1, 1.0), body=LONG_BODY, read_gap_s=0.2),
    Habit(is_late=True),
    Habit(is_late=True, run_s=(0.05, 3.0)),
    Habit(rest_s=(0.0, 3.0), run_s=(0.05, 0.8), requests=2),
)

PLAN = repeats.Plan(
    requests=("long", "short", "release", "confirm"),
    faults=(
        "stop_one",
        "stop_one",
        "stop_two",
        "stop_most",
        "stop_started",
        "stop_twice",
        "stop_silent",
        "silence_all",
        "change_table",
        "kill_one",
        "pause",
    ),
    fault_gaps_s=(0.5, 3.0),
    initial_calm_s=1.0,
    callers=66,
    play_s=24.0,
)


@dataclasses.dataclass(frozen=True)
class Sent:
    """A request and its end, as its caller saw them.

    Attributes:
        name: Id of the request.
        kind: Its route.
        daemon: Number of the daemon.
        from_s: When the caller began to send it.
        sent_s: When its last byte was sent; 0 if it was not sent whole.
        to_s: When its end was known.
        received: The answer.
        is_over: Whether the caller's time was over.
    """

    name: str
    kind: str
    daemon: int
    from_s: float
    sent_s: float
    to_s: float
    received: raw_caller.Received
    is_over: bool = False


@dataclasses.dataclass
class Stop:
    """A planned stop of a daemon.

    Attributes:
        at_s: When it got SIGTERM.
        ended_s: When the process had ended; 0 if it runs.
    """

    at_s: float
    ended_s: float = 0.0


class Session(repeats.Session):
    """Plays one seed and lists the promises that were broken."""

    deadline_ms = DEADLINE_MS

    async def play(self) -> list[str]:
        """Plays the session and returns the violations."""
        self.sent: list[Sent] = []
        self.lost: list[str] = []
        # Planned stops, by number of the daemon.
        self.stops: dict[int, list[Stop]] = collections.defaultdict(list)
        # From when to when daemons were killed or paused, by number.
        self.unplanned_s: dict[int, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        # Starts that a daemon's log shows, before its last one.
        self._earlier_starts: collections.Counter[int] = collections.Counter()
        self._table_version = 1
        return await super().play()

    def summary(self) -> str:
        """Summarizes the counts of the finished session."""
        stops = [stop for each in self.stops.values() for stop in each]
        took = sorted(round(s.ended_s - s.at_s, 1) for s in stops if s.ended_s)
        return f"stops took {took} s, {len(self.lost)} lost"

    def _create_platform(self) -> Platform:
        made = Platform(
            daemons=self.daemons,
            engines=repeats.ENGINES,
            services=repeats.SERVICES,
            timeout_ms=DEADLINE_MS,
        )
        for replica in made.replicas.values():
            replica.event_count = EVENTS
            replica.work_s_by_request = _run_s
            replica.answer_to = _answer
        return made

    async def _send_crashing_requests(self) -> None:
        """Sends none: no server crashes here."""

    async def _call_until_stopped(self, number: int) -> None:
        habit = HABITS[number % len(HABITS)]
        count = 0
        while not self._stopping:
            daemon = self.rng.randrange(self.daemons)
            try:
                connection = await raw_caller.Connection.open(
                    self.fleet, daemon
                )
            except OSError:
                await asyncio.sleep(CONNECT_GAP_S)
                continue
            try:
                while await self._rest(connection, daemon, habit):
                    names = [
                        self._name(number, count + n, habit)
                        for n in range(habit.requests)
                    ]
                    count += habit.requests
                    if not await self._use(connection, daemon, habit, names):
                        break
            finally:
                connection.close()

    async def _rest(
        self, connection: raw_caller.Connection, daemon: int, habit: Habit
    ) -> bool:
        """Rests; returns whether another request is sent."""
        if habit.is_late:
            while not self._is_about_to_end(daemon):
                if connection.is_closed or self._stopping:
                    return False
                await asyncio.sleep(0.01)
        until_s = time.monotonic() + self.rng.uniform(*habit.rest_s)
        while not self._stopping and time.monotonic() < until_s:
            await asyncio.sleep(min(0.1, max(0.0, until_s - time.monotonic())))
        return not connection.is_closed and not self._stopping

    def _is_about_to_end(self, daemon: int) -> bool:
        if not self.stops[daemon]:
            return False
        after_s = time.monotonic() - self.stops[daemon][-1].at_s
        return EXPIRED_S - 0.1 < after_s < GRACE_S

    def _name(self, number: int, count: int, habit: Habit) -> str:
        run_ms = 1000 * self.rng.uniform(*habit.run_s)
        return f"c{number}-{count}-{run_ms:.0f}"

    async def _use(
        self,
        connection: raw_caller.Connection,
        daemon: int,
        habit: Habit,
        names: Iterable[str],
    ) -> bool:
        """Sends requests and reads their answers.

        Returns:
            Whether the connection is still open.
        """
        sent = [
            await self._send(connection, daemon, habit, name) for name in names
        ]
        for number, request in enumerate(sent):
            ended = await self._read(connection, habit, request)
            self._record(ended)
            if not ended.received.has_ended:
                # What follows on a connection that ended was not answered.
                for unanswered in sent[number + 1 :]:
                    self._record(
                        dataclasses.replace(unanswered, to_s=ended.to_s)
                    )
                return False
        return not connection.is_closed and not ended.received.closes

    async def _send(
        self,
        connection: raw_caller.Connection,
        daemon: int,
        habit: Habit,
        name: str,
    ) -> Sent:
        kind = self.rng.choice(self.plan.requests)
        from_s = time.monotonic()
        self.requests[name] = (kind, from_s)
        self.daemon_by_request[name] = daemon
        headers = {
            "X-Godwittack-Deadline-Ms": str(DEADLINE_MS),
            "X-Godwittack-Prefix-Hash": f"{self.rng.randrange(12):x}:800",
        }
        head = raw_caller.head(kind, name, habit.body, headers=headers)
        sent_s = 0.0
        with contextlib.suppress(ConnectionError):
            await connection.send_in_pieces(
                head + habit.body,
                pieces=PIECES if habit.piece_gap_s else 1,
                gap_s=self.rng.uniform(0.0, habit.piece_gap_s),
            )
            sent_s = time.monotonic()
        return Sent(
            name, kind, daemon, from_s, sent_s, 0.0, raw_caller.Received()
        )

    async def _read(
        self, connection: raw_caller.Connection, habit: Habit, request: Sent
    ) -> Sent:
        received, is_over = request.received, False
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
                received = await connection.read(gap_s=habit.read_gap_s)
        except TimeoutError:
            is_over = True
        return dataclasses.replace(
            request,
            to_s=time.monotonic(),
            received=received,
            is_over=is_over,
        )

    def _record(self, ended: Sent) -> None:
        self.sent.append(ended)
        result = str(ended.received.status)
        if not ended.received.has_ended:
            result = "over" if ended.is_over else "cut"
        self.statuses[result] += 1

    async def _stop_one(self) -> None:
        await self._stop(self.rng.randrange(self.daemons))

    async def _stop_two(self) -> None:
        await self._stop_all(self.rng.sample(range(self.daemons), 2))

    async def _stop_most(self) -> None:
        chosen = self.rng.sample(range(self.daemons), self.daemons - 1)
        await self._stop_all(chosen, within_s=1.0)

    async def _stop_all(
        self, chosen: list[int], *, within_s: float = 0.0
    ) -> None:
        await asyncio.gather(
            *(
                self._stop(number, after_s=self.rng.uniform(0.0, within_s))
                for number in chosen
            )
        )

    async def _stop_started(self) -> None:
        number = self.rng.randrange(self.daemons)
        await self._stop(number)
        await asyncio.sleep(self.rng.uniform(0.0, 1.5))
        await self._stop(number, is_served=False)

    async def _stop_twice(self) -> None:
        await self._stop(
            self.rng.randrange(self.daemons),
            again_after_s=self.rng.uniform(0.1, 6.0),
        )

    async def _stop_silent(self) -> None:
        """Stops daemons beside a configuration and servers that are silent."""
        await self._change_table()
        stopping = asyncio.create_task(self._stop_two())
        await asyncio.sleep(self.rng.uniform(0.0, 4.0))
        await self._silence_all()
        await stopping

    async def _stop(
        self,
        number: int,
        *,
        after_s: float = 0.0,
        again_after_s: float = 0.0,
        is_served: bool = True,
    ) -> None:
        """Stops a daemon and starts it again.

        Args:
            number: The daemon.
            after_s: Time until it gets SIGTERM.
            again_after_s: Time until it gets a second SIGTERM; 0 for none.
            is_served: Whether it must have begun to serve.
        """
        await asyncio.sleep(after_s)
        async with self._restarting[number]:
            process = self.fleet.processes[number]
            while is_served and not self._serves(number):
                await asyncio.sleep(0.1)
            is_serving = self._serves(number)
            stop = Stop(time.monotonic())
            self.stops[number].append(stop)
            repeats.send_signal([process], signal.SIGTERM)
            if again_after_s:
                await asyncio.sleep(again_after_s)
                repeats.send_signal([process], signal.SIGTERM)
            code = await self._wait_for_end(process)
            stop.ended_s = time.monotonic()
            # Before it handles signals, a process ends by SIGTERM itself.
            if code and (is_serving or code != -signal.SIGTERM):
                self.violations.append(f"daemon {number} ended with {code}")
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
            await self._restart(number)

    async def _wait_for_end(self, process: asyncio.subprocess.Process) -> int:
        """Returns the exit code; kills a process that doesn't end."""
        try:
            async with asyncio.timeout(MAX_STOP_S):
                return await process.wait()
        except TimeoutError:
            repeats.send_signal([process], signal.SIGKILL)
            return await process.wait()

    async def _restart(self, number: int) -> None:
        self._earlier_starts[number] = self._starts(number)
        await self.fleet.restart_daemon(number)
        self._record_stop((number,))

    def _starts(self, number: int) -> int:
        return self.fleet.log(number).count("event=serving")

    def _serves(self, number: int) -> bool:
        """Returns whether a daemon has begun to serve since its last start."""
        return self._starts(number) > self._earlier_starts[number]

    async def _silence_all(self) -> None:
        for_s = self.rng.uniform(0.3, MAX_SILENCE_S)
        for replica in self.fleet.replicas.values():
            replica.fall_silent(for_s)

    async def _change_table(self) -> None:
        self._table_version += 1
        self.fleet.store.put(
            "op",
            "config",
            platform.config(self._table_version, timeout_ms=DEADLINE_MS),
        )

    async def _kill(self, number: int) -> None:
        async with self._restarting[number]:
            from_s = time.monotonic()
            process = self.fleet.processes[number]
            repeats.send_signal([process], signal.SIGKILL)
            await process.wait()
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))
            await self._restart(number)
            self.unplanned_s[number].append((from_s, time.monotonic()))

    async def _pause(self) -> None:
        chosen = self.rng.sample(range(self.daemons), self.daemons // 4)
        paused = [self.fleet.processes[number] for number in chosen]
        from_s = time.monotonic()
        repeats.send_signal(paused, signal.SIGSTOP)
        await self._hold_fault(2.0)
        repeats.send_signal(paused, signal.SIGCONT)
        for number in chosen:
            self.unplanned_s[number].append((from_s, time.monotonic()))
        self._record_stop(chosen)

    def _check(self) -> None:
        super()._check()
        self._arrivals = {
            arrival.request_id
            for replica in self.fleet.replicas.values()
            for arrival in replica.arrivals
        }
        self._runs = collections.Counter(
            execution.request_id
            for replica in self.fleet.replicas.values()
            for execution in replica.ran
        )
        for sent in self.sent:
            self._check_answer(sent)
            self._check_runs(sent)
            if self._is_lost(sent):
                self.lost.append(self._describe(sent))
        if self.lost:
            self.violations.append(f"{len(self.lost)} lost: {self.lost[:6]}")
        self._check_ends()

    def _check_ends(self) -> None:
        """Checks that each stop ended before the platform's SIGKILL."""
        late = [
            (number, round(stop.ended_s - stop.at_s, 1))
            for number, stops in self.stops.items()
            for stop in stops
            if stop.ended_s > stop.at_s + GRACE_S
            and not self._was_disturbed(number, stop.at_s, stop.ended_s)
        ]
        if late:
            self.violations.append(f"stops took too long: {late}")

    def _check_answer(self, sent: Sent) -> None:
        """Checks that an answer that looks complete is the server's."""
        received = sent.received
        if received.status != 200 or not received.has_ended:
            return
        body = HABITS[int(sent.name[1:].split("-")[0]) % len(HABITS)].body
        whole = WHOLE_STREAM if sent.kind in STREAMS else _answer(body)
        if received.body != whole:
            self.violations.append(
                f"not whole, {len(received.body)} bytes: {self._describe(sent)}"
            )

    def _check_runs(self, sent: Sent) -> None:
        if sent.kind not in RUN_ONCE:
            return
        runs = self._runs[sent.name]
        if runs > 1 or (runs and sent.received.status in NOT_RUN):
            self.violations.append(f"{runs} runs: {self._describe(sent)}")

    def _is_lost(self, sent: Sent) -> bool:
        """Returns whether a request was read and ended without an answer.

        A 502 counts as none: it says that a run was given up. It is excused
        where its time was over, where its daemon, or one that passed it on, was
        killed or paused, and where its server worked until the daemon had to
        end. It may cross the close of a connection if no server got it.
        """
        received = sent.received
        if received.has_ended and received.status != 502:
            return False
        if not sent.sent_s or sent.is_over:
            return False
        if (sent.to_s - sent.from_s) * 1000 >= DEADLINE_MS - 100:
            return False
        has_arrived = sent.name in self._arrivals
        if not has_arrived and sent.to_s - sent.sent_s <= LOSS_SLACK_S:
            return False
        is_excused = self._is_disturbed(sent) or (
            has_arrived and self._worked_to_the_end(sent)
        )
        return not is_excused

    def _is_disturbed(self, sent: Sent) -> bool:
        daemons = {sent.daemon}
        if sent.received.status in (200, 502):
            daemons |= self._relays(sent)
        return any(
            self._was_disturbed(number, sent.from_s, sent.to_s)
            for number in daemons
        )

    def _was_disturbed(self, number: int, since_s: float, to_s: float) -> bool:
        """Returns whether a daemon was killed or paused, or shortly before."""
        return any(
            begun_s <= to_s and since_s <= ended_s + STABLE_S
            for begun_s, ended_s in self.unplanned_s[number]
        )

    def _relays(self, sent: Sent) -> set[int]:
        """Returns the numbers of the daemons that passed a request on."""
        return {
            int(line.split(" relay=edge-")[1].split("@")[0]) - 1
            for line in self.fleet.log(sent.daemon).splitlines()
            if f"request={sent.name}~" in line and " relay=edge-" in line
        }

    def _worked_to_the_end(self, sent: Sent) -> bool:
        return any(
            sent.sent_s <= stop.at_s + EXPIRED_S
            and stop.at_s + LAST_WORK_S < sent.to_s
            for stop in self.stops[sent.daemon]
            if not stop.ended_s or sent.from_s <= stop.ended_s
        )

    def _describe(self, sent: Sent) -> str:
        before = [s for s in self.stops[sent.daemon] if s.at_s <= sent.to_s]
        after = "no stop"
        if before:
            stop_s = before[-1].at_s
            after = (
                f"sent {sent.sent_s - stop_s:.2f} s and ended"
                f" {sent.to_s - stop_s:.2f} s after SIGTERM"
            )
        return (
            f"{sent.kind} {sent.name} at daemon {sent.daemon}, {after},"
            f" status {sent.received.status}, runs {self._runs[sent.name]},"
            f" arrived {sent.name in self._arrivals}"
        )


def _run_s(request_id: str) -> float:
    return int(request_id.rpartition("-")[2]) / 1000


def _answer(body: bytes) -> bytes:
    return LONG_ANSWER if body == LONG_BODY else body[::-1]


def create(seed: int, *, daemons: int, busy: int = 0) -> Session:
    """Returns a session."""
    return Session(seed, daemons=daemons, busy=busy, plan=PLAN)


if __name__ == "__main__":
    sys.exit(repeats.play_seeds(create))
