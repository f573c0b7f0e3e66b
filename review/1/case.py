"""An extra copy of a rejection arrives late; the request then runs twice."""

from __future__ import annotations

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import deployment as deployments  # noqa: E402
import replica as replicas  # noqa: E402

# `garble`, `extra late` on the site file: share 0.6 of the replicas, x 0.03 of
# their answers, 5 s; it may come more than once.
SHARE = 0.6
PART = 0.03
GARBLE_S, PAUSE_S = 5.0, 1.0
DAEMONS = 9
CLIENTS_PER_DAEMON = 3
# Until a daemon has its full share of the retry budget.
WARM_UP_S = 11.0
LOAD_S = 40.0


async def play(deployment) -> list[str]:
    record = deployment.record
    engines = [
        replicas.Replica(
            f"i-e{n}", service=deployments.ENGINES, model=deployments.MODEL,
            slots=4, queue=2, note=record.note,
        )
        for n in (1, 2)
    ]
    for engine in engines:
        engine.retry_after_s = 0.1
    if deployments.has_trouble():
        for engine in engines[: int(SHARE * len(engines))]:
            Garble(record, engine)
    services = [
        replicas.Replica(
            f"i-s{n}", service=deployments.SERVICE, note=record.note
        )
        for n in (1, 2)
    ]
    await deployment.start([*engines, *services], daemons=DAEMONS)
    await asyncio.sleep(WARM_UP_S)
    ends_s = record.now_s() + LOAD_S
    await asyncio.gather(
        *(
            client(deployment, daemon, f"{daemon.name}-{number}", ends_s)
            for daemon in deployment.daemons
            for number in range(CLIENTS_PER_DAEMON)
        )
    )
    return verdict(record)


class Garble:
    """Sends extra copies of the answers of one replica, late.

    Which answers are hit is not left to luck, so that few are needed: those
    that rejected a request which comes again on the same connection. They are
    never more than a part of the replica's answers so far.
    """

    def __init__(self, record, replica) -> None:
        self._record = record
        self._answers = self._extras = 0
        replica.on_answer = self._count
        replica.late_extra = self._hits

    def _count(self) -> None:
        self._answers += 1

    def _hits(self, last, call) -> bool:
        is_on = self._record.now_s() % (GARBLE_S + PAUSE_S) < GARBLE_S
        if not is_on or last.call.request_id != call.request_id:
            return False
        if self._extras + 1 > PART * self._answers:
            return False
        self._extras += 1
        return True


async def client(deployment, daemon, name: str, ends_s: float) -> None:
    """Sends one stream after the other, each with an id of its own."""
    number = 0
    while deployment.record.now_s() < ends_s:
        number += 1
        await deployment.call("query", f"{name}-{number}", daemon)
        await asyncio.sleep(0.05)


def verdict(record) -> list[str]:
    """TWICE and REFUSED, for the streams that may run once only."""
    ran: dict[str, list[str]] = {}
    for _, words in record.all("ran"):
        ran.setdefault(words[1], []).append(words[2])
    broken = [
        f"TWICE: {name} ran at {', '.join(where)}"
        for name, where in ran.items() if len(where) > 1
    ]
    refused = {"408", "421", "429", "503"}
    broken += [
        f"REFUSED: {words[1]} was answered {words[2]} and has run"
        for _, words in record.all("answered")
        if words[2] in refused and words[1] in ran
    ]
    return broken


if __name__ == "__main__":
    deployments.run_case(pathlib.Path(__file__).resolve(), play)
