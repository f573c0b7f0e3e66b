"""Seeded sessions in which servers say that they leave, or ask for rest.

`cd tests && python -m soak.signals SEED [COUNT [DAEMONS [BUSY]]]` plays seeds
by hand. What a server says with an answer binds the daemon that got the answer,
whatever the store, the list and other daemons say; requests are counted at the
servers, by daemon, beside kills, pauses and a silent store.
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

# What operators allow.
DRAIN_S = 2.0
REST_BEGINS_S = 0.5
MOST_IN_REST = 2
SIGNATURE = "x-godwittack-response-signature"

LEAVING = repeats.Plan(faults=("leave",), gaps_s=(13.2, 14.0), calm_s=3.0)
LEAVING_UNSEEN = repeats.Plan(
    faults=("leave_unseen",), gaps_s=(13.2, 14.0), calm_s=3.0
)
LAPSING = repeats.Plan(faults=("lapse",), gaps_s=(13.2, 14.0), calm_s=3.0)
RESTING = repeats.Plan(faults=("rest",), gaps_s=(13.2, 14.0), calm_s=3.0)
ALL_RESTING = repeats.Plan(
    faults=("rest_all",), gaps_s=(13.2, 14.0), calm_s=3.0
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
    """Plays one seed and lists where a server's word was not kept to."""

    async def play(self) -> list[str]:
        """Returns what was wrong."""
        # When a daemon passed on an answer of a server that said it leaves.
        self.heard: dict[tuple[int, str], list[float]]
        self.heard = collections.defaultdict(list)
        self.without_return = 0
        self.after_leaving = self.rests = 0
        self.most_in_rest = 0
        return await super().play()

    def _answered(
        self, daemon: int, status: int, headers: dict[str, str]
    ) -> None:
        if headers.get("server-leaving"):
            server = headers.get(SIGNATURE, "").split(".")
            if len(server) > 1:
                self.heard[daemon, server[1]].append(time.monotonic())
        if status == 503 and not headers.get("retry-after"):
            self.without_return += 1

    def _staying(self, *, plain: bool) -> list:
        return [
            replica
            for replica in self.made.replicas.values()
            if plain is not bool(replica.model) and not replica.leaves
        ]

    def _some_leave(self) -> list:
        """Lets an engine and a plain server leave where others stay."""
        chosen = []
        for plain in (True, False):
            staying = self._staying(plain=plain)
            if len(staying) > 1:
                chosen.append(self.rng.choice(staying))
        for replica in chosen:
            replica.leaves = True
        return chosen

    async def _leave(self) -> None:
        """The list still shows the servers as ready."""
        self._some_leave()

    async def _leave_unseen(self) -> None:
        self._some_leave()
        self.made.store.faults.silent = True
        await asyncio.sleep(9.0)
        self.made.store.faults.silent = False

    async def _lapse(self) -> None:
        """Their entries go, and come back as ready."""
        rows = {
            replica.instance: self._row_of(replica.instance)
            for replica in self._some_leave()
        }
        await self._for_a_while()
        for name in rows:
            self.made.store.put("servers", name, None)
        await self._for_a_while()
        for name, row in rows.items():
            self.made.store.put("servers", name, row)

    def _row_of(self, server: str) -> dict:
        stored = self.made.store.rows["servers", server]["value"]
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
        """Returns what a played session has counted."""
        return (
            f"{sum(map(len, self.heard.values()))} signals of leaving,"
            f" {self.after_leaving} sent after them,"
            f" {self.rests} rests, most in one {self.most_in_rest}"
        )

    def _check(self) -> None:
        stops = collections.defaultdict(list)
        for at_s, number in sorted(self._stops):
            stops[number].append(at_s)
        for replica in self.made.replicas.values():
            self._check_leaving(replica, stops)
            self._check_rests(replica, stops)
        if self.without_return:
            self.wrong.append(
                f"{self.without_return} refusals don't say when to come back"
            )

    def _check_leaving(self, replica, stops: dict[int, list[float]]) -> None:
        late = 0
        for arrival in replica.arrivals:
            daemon = self.asked_at[arrival.request_id]
            sent_s = self.asked[arrival.request_id][1]
            stopped_s = _last_before(stops[daemon], arrival.at_s)
            heard = sorted(self.heard[daemon, replica.instance])
            first = bisect.bisect_right(heard, stopped_s)
            if first < len(heard) and sent_s > heard[first] + DRAIN_S:
                late += 1
        self.after_leaving += late
        if late:
            self.wrong.append(
                f"{replica.instance}: {late} requests sent over {DRAIN_S} s"
                " after their daemon had its word that it leaves"
            )

    def _check_rests(self, replica, stops: dict[int, list[float]]) -> None:
        arrived = collections.defaultdict(list)
        for arrival in replica.arrivals:
            arrived[self.asked_at[arrival.request_id]].append(arrival.at_s)
        broken = 0
        for rest in replica.rests:
            daemon = self.asked_at[rest.request_id]
            ends_s = rest.at_s + rest.rest_s
            if _last_before(stops[daemon], ends_s) > rest.at_s:
                continue
            begins_s = rest.at_s + REST_BEGINS_S
            count = sum(begins_s < at_s < ends_s for at_s in arrived[daemon])
            self.rests += 1
            self.most_in_rest = max(self.most_in_rest, count)
            broken += count > MOST_IN_REST
        if broken:
            self.wrong.append(
                f"{replica.instance}: over {MOST_IN_REST} requests in"
                f" {broken} of {len(replica.rests)} rests that it asked for"
            )


def _last_before(moments_s: list[float], at_s: float) -> float:
    index = bisect.bisect_right(moments_s, at_s)
    return moments_s[index - 1] if index else 0.0


if __name__ == "__main__":
    sys.exit(repeats.play_seeds(functools.partial(Session, plan=OVERLAPPING)))
