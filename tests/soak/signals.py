"""Seeded soak sessions in which servers announce leaving or request rest.

`cd tests && python -m soak.signals SEED [COUNT [DAEMONS [BUSY]]]` plays seeds
by hand. A signal in an answer binds the daemon that received it, whatever the
store, the server list and other daemons report. Requests are counted at the
servers, by daemon, under kills, pauses and an unresponsive store.
"""

from __future__ import annotations

import asyncio
import bisect
import collections
import functools
import json
import sys
import time

from cluster import platform
from soak import repeats

# Limits that operators set.
DRAIN_S = 2.0
REST_BEGINS_S = 0.5
MAX_IN_REST = 2
SIGNATURE = "x-godwittack-response-signature"

LEAVING = repeats.Plan(
    faults=("leave",), fault_gaps_s=(13.2, 14.0), initial_calm_s=3.0
)
LEAVING_UNSEEN = repeats.Plan(
    faults=("leave_unseen",), fault_gaps_s=(13.2, 14.0), initial_calm_s=3.0
)
LAPSING = repeats.Plan(
    faults=("lapse",), fault_gaps_s=(13.2, 14.0), initial_calm_s=3.0
)
RESTING = repeats.Plan(
    faults=("rest",), fault_gaps_s=(13.2, 14.0), initial_calm_s=3.0
)
ALL_RESTING = repeats.Plan(
    faults=("rest_all",), fault_gaps_s=(13.2, 14.0), initial_calm_s=3.0
)
OVERLAPPING = repeats.Plan(
    faults=(
        "leave",
        "lapse",
        "rest",
        "rest",
        "rest_all",
        "decline",
        "kill_one",
        "kill_most",
        "pause",
        "store_silent",
    )
)


class Session(repeats.Session):
    """Plays one seed and lists the signals of servers that were ignored."""

    async def play(self) -> list[str]:
        """Plays the session and returns the violations."""
        # Times of answers with a leaving signal, by daemon and server.
        self.leaving_signals_s: dict[tuple[int, str], list[float]]
        self.leaving_signals_s = collections.defaultdict(list)
        self.without_retry_after = 0
        self.sent_after_leaving = self.rests = 0
        self.max_in_rest = 0
        return await super().play()

    def _record_answer(
        self, daemon: int, status: int, headers: dict[str, str]
    ) -> None:
        if headers.get("server-leaving"):
            server = headers.get(SIGNATURE, "").split(".")
            if len(server) > 1:
                self.leaving_signals_s[daemon, server[1]].append(
                    time.monotonic()
                )
        if status == 503 and not headers.get("retry-after"):
            self.without_retry_after += 1

    def _staying(self, *, plain: bool) -> list:
        return [
            replica
            for replica in self.fleet.replicas.values()
            if plain is not bool(replica.model) and not replica.is_leaving
        ]

    def _start_leaving(self) -> list:
        """Lets an engine and a plain server leave, if others stay."""
        chosen = []
        for plain in (True, False):
            staying = self._staying(plain=plain)
            if len(staying) > 1:
                chosen.append(self.rng.choice(staying))
        for replica in chosen:
            replica.is_leaving = True
        return chosen

    async def _leave(self) -> None:
        """Servers leave while the list still shows them as ready."""
        self._start_leaving()

    async def _leave_unseen(self) -> None:
        self._start_leaving()
        self.fleet.store.faults.silent = True
        await asyncio.sleep(9.0)
        self.fleet.store.faults.silent = False

    async def _lapse(self) -> None:
        """Servers leave; their rows are deleted and return as ready."""
        rows = {
            replica.instance: self._row_of(replica.instance)
            for replica in self._start_leaving()
        }
        await self._hold_fault()
        for name in rows:
            self.fleet.store.put("servers", name, None)
        await self._hold_fault()
        for name, row in rows.items():
            self.fleet.store.put("servers", name, row)

    def _row_of(self, server: str) -> dict:
        stored = self.fleet.store.rows["servers", server]["value"]
        return json.loads(platform.decoded(stored))

    async def _rest(self) -> None:
        chosen = [
            self.rng.choice(self._staying(plain=plain))
            for plain in (True, False)
        ]
        await self._decline_for_rest(chosen)

    async def _rest_all(self) -> None:
        plain = self.rng.random() < 0.5
        await self._decline_for_rest(self._staying(plain=plain))

    async def _decline_for_rest(self, chosen: list) -> None:
        for replica in chosen:
            replica.faults.rest_s = self.rng.choice((1.0, 2.5, 3.0, 4.0))
            replica.faults.declined_share = self.rng.choice((0.5, 0.8, 1.0))
        await asyncio.sleep(self.rng.uniform(3.0, 9.0))
        for replica in chosen:
            replica.faults.declined_share = replica.faults.rest_s = 0.0

    def summary(self) -> str:
        """Summarizes the counts of the finished session."""
        return (
            f"{sum(map(len, self.leaving_signals_s.values()))} leaving signals,"
            f" {self.sent_after_leaving} sent after them,"
            f" {self.rests} rests, at most {self.max_in_rest} requests in one"
        )

    def _check(self) -> None:
        resumed_s = collections.defaultdict(list)
        for at_s, number in sorted(self._resumed_at):
            resumed_s[number].append(at_s)
        for replica in self.fleet.replicas.values():
            self._check_leaving(replica, resumed_s)
            self._check_rests(replica, resumed_s)
        if self.without_retry_after:
            self.violations.append(
                f"{self.without_retry_after} refusals without Retry-After"
            )

    def _check_leaving(
        self, replica, resumed_s: dict[int, list[float]]
    ) -> None:
        late = 0
        for arrival in replica.arrivals:
            daemon = self.daemon_by_request[arrival.request_id]
            requested_s = self.requests[arrival.request_id][1]
            last_resumed_s = _last_before(resumed_s[daemon], arrival.at_s)
            signals_s = sorted(self.leaving_signals_s[daemon, replica.instance])
            first = bisect.bisect_right(signals_s, last_resumed_s)
            if (
                first < len(signals_s)
                and requested_s > signals_s[first] + DRAIN_S
            ):
                late += 1
        self.sent_after_leaving += late
        if late:
            self.violations.append(
                f"{replica.instance}: {late} requests sent over {DRAIN_S} s"
                " after their daemon received its leaving signal"
            )

    def _check_rests(self, replica, resumed_s: dict[int, list[float]]) -> None:
        arrived = collections.defaultdict(list)
        for arrival in replica.arrivals:
            arrived[self.daemon_by_request[arrival.request_id]].append(
                arrival.at_s
            )
        exceeded = 0
        for rest in replica.rests:
            daemon = self.daemon_by_request[rest.request_id]
            ends_s = rest.at_s + rest.rest_s
            if _last_before(resumed_s[daemon], ends_s) > rest.at_s:
                continue
            begins_s = rest.at_s + REST_BEGINS_S
            count = sum(begins_s < at_s < ends_s for at_s in arrived[daemon])
            self.rests += 1
            self.max_in_rest = max(self.max_in_rest, count)
            exceeded += count > MAX_IN_REST
        if exceeded:
            self.violations.append(
                f"{replica.instance}: over {MAX_IN_REST} requests in"
                f" {exceeded} of {len(replica.rests)} rests that it requested"
            )


def _last_before(moments_s: list[float], at_s: float) -> float:
    index = bisect.bisect_right(moments_s, at_s)
    return moments_s[index - 1] if index else 0.0


if __name__ == "__main__":
    sys.exit(repeats.play_seeds(functools.partial(Session, plan=OVERLAPPING)))
