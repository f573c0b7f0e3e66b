"""Added routes that every daemon must serve in time, with real processes."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import re
import signal
import time

import aiohttp

from cluster import platform, store_readers

BOUND_S = platform.BOUNDS["config-apply-ms"] / 1000
# The route must be served this long after its acknowledgement, whatever was
# answered before.
SERVED_WITHIN_S = 5.0
SETTLE_S = 4.0
ASK_INTERVAL_S = 0.03
ASK_TIMEOUT_S = 1.0
SILENCE_S = 1.0
# Bound of large deployments, at which the store holds a call for as long as the
# feed may be silent.
LARGE_BOUND_S = 3.0
# From a change until all that poll the store have begun their next call.
SYNCHRONIZED_S = 0.06
# How long before the silence the readers lose the store: their peers'
# confirmations then end in it, and their own reads fall into it.
LOST_BEFORE_S = 1.3
# Reads of rows show the change this long after it was acknowledged.
READ_LAG_S = 5.0
# Retries start at 100 ms, halved at random and doubled up to 800 ms: at most
# five in the first second. Each makes two calls (rows, feed) for two tables.
MAX_CALLS_PER_S = 20
# Lines of each daemon's log that are shown after a failure.
TRACE_LINES = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer to a request on the added route.

    Attributes:
        sent_s: When the request was sent, counted from the acknowledgement.
        status: Status of the answer; 0 if there was none in time.
        can_retry: Whether the caller was told when to come back.
    """

    sent_s: float
    status: int
    can_retry: bool = False


class ChangedFleet:
    """A fleet that is asked for a route from its acknowledgement on."""

    def __init__(self, made: platform.Platform) -> None:
        self.made = made
        self.answers: dict[int, list[Answer]] = {}
        self._acknowledged_s = 0.0
        self._acknowledged_at = ""

    @property
    def daemons(self) -> list[int]:
        """Numbers of all daemons."""
        return list(range(len(self.made.fields)))

    def add_route(self) -> None:
        """Adds the route to the operators' configuration."""
        config = platform.config(2)
        config["routes"].append(platform.route("added", "app", "idempotent"))
        self.made.store.put("op", "config", config)
        self._acknowledged_s = time.monotonic()
        now = datetime.datetime.now(datetime.UTC)
        self._acknowledged_at = now.isoformat(timespec="milliseconds")

    async def ask(self, daemons: list[int], *, seconds: float) -> None:
        """Asks daemons for the route until each serves it, or time is up."""
        await asyncio.gather(
            *(self._ask_until_served(n, seconds) for n in daemons)
        )

    async def _ask_until_served(self, number: int, seconds: float) -> None:
        answers = self.answers[number] = []
        while self._elapsed_s() < seconds:
            answers.append(await self._ask_once(number, len(answers)))
            if answers[-1].status == 200:
                return
            await asyncio.sleep(ASK_INTERVAL_S)

    async def _ask_once(self, number: int, count: int) -> Answer:
        sent_s = self._elapsed_s()
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                status, headers, _ = await self.made.call(
                    "added",
                    f"added-{number}-{count}",
                    daemon=number,
                    headers={"X-Godwittack-Deadline-Ms": "800"},
                )
        except (aiohttp.ClientError, TimeoutError):
            return Answer(sent_s, 0)
        return Answer(sent_s, status, "retry-after" in headers)

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._acknowledged_s

    def failures(
        self,
        *,
        served_within_s: float = SERVED_WITHIN_S,
        bound_s: float = BOUND_S,
    ) -> list[str]:
        """Returns what was wrong: late refusals, and a route not served."""
        refused_s: dict[int, float] = {}
        served_s: dict[int, float] = {}
        failures = []
        for number, answers in self.answers.items():
            for answer in answers:
                if answer.status == 404:
                    refused_s[number] = round(answer.sent_s, 2)
                elif answer.status == 200:
                    served_s[number] = round(answer.sent_s, 2)
                elif answer.status == 503 and not answer.can_retry:
                    failures.append(f"{number}: 503 without a time: {answer}")
        if any(at_s > bound_s for at_s in refused_s.values()):
            failures.append(f"last 404 by daemon: {refused_s}")
        is_served = served_s.keys() == self.answers.keys()
        if not is_served or max(served_s.values()) > served_within_s:
            failures.append(f"served by daemon: {served_s}")
        if failures:
            failures.append(self._trace())
        return failures

    def _trace(self) -> str:
        """Returns how each daemon got the change, by its log."""
        lines = [f"acknowledged: {self._acknowledged_at}"]
        for number in self.daemons:
            found = re.findall(
                r"^.*event=(?:table_|rows_read|store_history_lost).*$",
                self.made.log(number),
                re.MULTILINE,
            )
            lines += [f"{number}: {line}" for line in found[-TRACE_LINES:]]
        return "\n".join(lines)


async def a_route_added_while_the_feed_is_silent_is_served_in_time() -> None:
    """No daemon counts a silent feed as proof that its routes are the newest.

    Guards against a 404 for a route that was added more than its bound ago:
    the daemons that poll the store lose it; the others ask a feed that hears of
    no changes, rely on that for two seconds, and pause when its history is
    lost.
    """
    async with _fleet(daemons=9) as made:
        fleet = ChangedFleet(made)
        await asyncio.sleep(SETTLE_S)
        readers = store_readers.find(made)
        for number in readers:
            made.cut_store(number, "hang")
        await asyncio.sleep(LOST_BEFORE_S)
        made.store.silence_feed(SILENCE_S)
        await asyncio.sleep(0.1)
        fleet.add_route()
        others = [n for n in fleet.daemons if n not in readers]
        await fleet.ask(others, seconds=SERVED_WITHIN_S + 1)
        _check(fleet.failures())


async def a_change_that_the_feed_names_and_leaves_out_is_in_force_in_time() -> (
    None
):
    """Daemons that poll the store read a change that their feed passes.

    Guards against a 404 until the next change, confirmed by each answer of the
    store: the feed names the version of a change that it leaves out, as one
    call that was held ends, and the next one ends soon after.
    """
    settings = f"config_bound_ms: {LARGE_BOUND_S * 1000:.0f}"
    async with _fleet(daemons=9, settings=settings) as made:
        fleet = ChangedFleet(made)
        await asyncio.sleep(SETTLE_S)
        # All that poll the store begin their next call at this change.
        made.store.put("op", "version/m", {"model": "m", "version": 1})
        await asyncio.sleep(SYNCHRONIZED_S)
        made.store.silence_feed(SILENCE_S, names_newest=True, ends_calls=True)
        await asyncio.sleep(SILENCE_S - 2 * SYNCHRONIZED_S)
        fleet.add_route()
        await fleet.ask(fleet.daemons, seconds=SERVED_WITHIN_S + 1)
        _check(fleet.failures(bound_s=LARGE_BOUND_S))


async def late_reads_after_lost_history_refuse_no_added_route() -> None:
    """Rows older than the history that was lost are not the newest.

    Guards against a 404 for as long as reads lag, and against a loop of calls:
    each snapshot confirmed the old routes, the feed had no history after it,
    and the next snapshot was read at once.
    """
    async with _fleet(daemons=4) as made:
        fleet = ChangedFleet(made)
        await asyncio.sleep(SETTLE_S)
        made.store.silence_feed(SILENCE_S)
        await asyncio.sleep(0.3)
        fleet.add_route()
        made.store.faults.read_lag_s = READ_LAG_S
        calls_before, began_s = made.store.calls, time.monotonic()
        await fleet.ask(fleet.daemons, seconds=READ_LAG_S + SERVED_WITHIN_S + 1)
        seconds = time.monotonic() - began_s
        calls_per_s = (made.store.calls - calls_before) / seconds / 4
        failures = fleet.failures(served_within_s=READ_LAG_S + SERVED_WITHIN_S)
        if calls_per_s > MAX_CALLS_PER_S:
            failures.append(f"calls a second and daemon: {calls_per_s:.1f}")
        _check(failures)


async def a_route_added_without_a_fault_is_served_in_time() -> None:
    """All daemons serve an added route in time while nothing is wrong.

    Guards against a way through the readers that takes the whole bound.
    """
    async with _fleet(daemons=9) as made:
        fleet = ChangedFleet(made)
        await asyncio.sleep(SETTLE_S)
        fleet.add_route()
        await fleet.ask(fleet.daemons, seconds=SERVED_WITHIN_S + 1)
        _check(fleet.failures())


async def a_route_added_as_the_readers_end_is_served_in_time() -> None:
    """The daemons that poll the store are replaced in time.

    Guards against daemons that rely on confirmations of others that are gone:
    all that poll the store are killed just before the change.
    """
    async with _fleet(daemons=9) as made:
        fleet = ChangedFleet(made)
        await asyncio.sleep(SETTLE_S)
        readers = store_readers.find(made)
        for number in readers:
            made.signal(number, signal.SIGKILL)
        await asyncio.sleep(0.1)
        fleet.add_route()
        others = [n for n in fleet.daemons if n not in readers]
        await fleet.ask(others, seconds=SERVED_WITHIN_S + 1)
        _check(fleet.failures())


def _fleet(*, daemons: int, settings: str = "") -> platform.Platform:
    return platform.Platform(daemons=daemons, can_cut=True, settings=settings)


def _check(failures: list[str]) -> None:
    assert not failures, "\n".join(failures)
