"""Daemons that lose their paths to backend servers, with real processes."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import time

import aiohttp

from cluster.platform import Platform
from soak import cuts

SEED = 11
# Limits that operators set: time from which a cut must not show, the share of
# first tries that may fail, and how much worse a cut-off daemon may serve.
STABLE_S = 3.0
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50
MIN_SHARE_OF_OTHERS = 2 / 3
CUT_S = 7.0
HEALED_S = 3.0
CALLERS_PER_DAEMON = 3
CALL_GAP_S = 0.06
KINDS = ("release", "confirm", "short", "long")


@dataclasses.dataclass(frozen=True)
class Try:
    """A caller's first try."""

    request_id: str
    kind: str
    daemon: int
    at_s: float
    status: str
    took_s: float

    @property
    def is_served(self) -> bool:
        """Whether the answer was a success."""
        return self.status == "200"


class CutFleet:
    """A fleet with callers, some of whose daemons are cut off for a while."""

    def __init__(
        self,
        mode: str,
        *,
        daemons: int,
        cut_off: int,
        servers: tuple[str, ...] | None = None,
    ) -> None:
        self.mode = mode
        self.servers = servers
        self.daemons = daemons
        self.cut_off = cut_off
        self.tries: list[Try] = []
        self._rng = random.Random(SEED)
        self._is_stopping = False

    async def play(self) -> None:
        """Cuts daemons off, heals them, and keeps calling all the while."""
        async with Platform(
            daemons=self.daemons, can_cut=True, engines=3
        ) as platform:
            self.platform = platform
            tasks = [
                asyncio.create_task(self._call_until_stopped(number))
                for number in range(CALLERS_PER_DAEMON * self.daemons)
            ]
            await asyncio.sleep(STABLE_S)
            for number in range(self.cut_off):
                platform.cut(number, self.mode, self.servers)
            self.cut_at_s = time.monotonic()
            await asyncio.sleep(CUT_S)
            for number in range(self.cut_off):
                platform.heal(number)
            self.healed_at_s = time.monotonic()
            await asyncio.sleep(HEALED_S)
            self._is_stopping = True
            await asyncio.gather(*tasks)
            self.engines = [r for r in platform.replicas.values() if r.model]
            self.logs = [platform.log(n) for n in range(self.daemons)]
            self.runs = collections.Counter(
                execution.request_id
                for replica in platform.replicas.values()
                for execution in replica.ran
            )

    async def _call_until_stopped(self, number: int) -> None:
        count = 0
        while not self._is_stopping:
            count += 1
            daemon = self._rng.randrange(self.daemons)
            kind = self._rng.choice(KINDS)
            await self._call(f"c{number}-{count}", kind, daemon)
            await asyncio.sleep(CALL_GAP_S)

    async def _call(self, request_id: str, kind: str, daemon: int) -> None:
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(3.5):
                result = await self.platform.call(
                    kind, request_id, daemon=daemon, body=b"body of it"
                )
            status = str(result[0])
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            status = type(error).__name__
        took_s = time.monotonic() - started_s
        self.tries.append(
            Try(request_id, kind, daemon, started_s, status, took_s)
        )

    def between(self, from_s: float, to_s: float, *, cut_off: bool) -> list:
        """Returns the tries of a period at daemons cut off, or at others."""
        return [
            t
            for t in self.tries
            if from_s <= t.at_s < to_s and (t.daemon < self.cut_off) == cut_off
        ]

    def check(self) -> None:
        """Checks what operators ask for while daemons are cut off."""
        start_s = self.cut_at_s + STABLE_S
        cut = self.between(start_s, self.healed_at_s, cut_off=True)
        others = self.between(start_s, self.healed_at_s, cut_off=False)
        failed = [t for t in cut if not t.is_served]
        share = _served_share(cut)
        counts = collections.Counter((t.kind, t.status) for t in failed)
        detail = (len(cut), share, len(others), _served_share(others), counts)
        assert share >= MIN_SHARE_OF_OTHERS * _served_share(others), detail
        allowed = MAX_FAILED + MAX_FAILED_SHARE * (len(cut) + len(others))
        assert len(failed) <= allowed, detail

    def check_healed(self) -> None:
        """Checks that a healed daemon serves as before the cut."""
        ends_s = self.healed_at_s + HEALED_S
        healed = self.between(self.healed_at_s + 1.0, ends_s, cut_off=True)
        failed = collections.Counter(
            t.status for t in healed if not t.is_served
        )
        assert _served_share(healed) > 1 - MAX_FAILED_SHARE, failed

    def check_truth(self) -> None:
        """Checks that nothing ran twice, or ran although it was refused."""
        for tried in self.tries:
            runs = self.runs[tried.request_id]
            if tried.kind in ("confirm", "short"):
                assert runs <= 1, tried
                assert not (runs and tried.status == "503"), tried

    def check_watched(self) -> None:
        """Checks that a daemon follows the cache events of each engine."""
        start_s = self.cut_at_s + STABLE_S
        for engine in self.engines:
            calls = [
                at_s
                for at_s in engine.event_calls_s
                if start_s <= at_s < self.healed_at_s
            ]
            assert calls, engine.instance

    def check_no_crash(self) -> None:
        """Checks that no daemon takes a server for crashed."""
        for number, log in enumerate(self.logs):
            for event in ("server_crashed", "quarantined"):
                assert f"event={event} " not in log, (number, event)


def _served_share(tries: list[Try]) -> float:
    return sum(t.is_served for t in tries) / max(1, len(tries))


async def _check(mode: str, **fields) -> CutFleet:
    fleet = CutFleet(mode, **fields)
    await fleet.play()
    fleet.check()
    fleet.check_truth()
    fleet.check_no_crash()
    fleet.check_healed()
    return fleet


async def a_short_session_of_cuts_keeps_all_promises() -> None:
    """Guards against cuts that overlap kills, pauses and other faults."""
    session = cuts.Session(4, daemons=6, plan=cuts.CUTS)
    violations = await session.play()
    assert not violations, (violations, session.faults)


async def daemons_whose_connections_hang_serve_their_callers() -> None:
    """Guards against daemons that refuse all while their paths hang."""
    await _check("hang", daemons=6, cut_off=2)


async def daemons_whose_connections_are_reset_serve_their_callers() -> None:
    """Guards against daemons that take refused connections for crashes."""
    await _check("reset", daemons=6, cut_off=3)


async def daemons_whose_open_connections_live_on_serve_their_callers() -> None:
    """Guards against paths judged by connections opened before a cut."""
    await _check("linger", daemons=6, cut_off=3)


async def daemons_that_hear_no_answers_serve_their_callers() -> None:
    """Guards against cuts of one direction."""
    await _check("deaf", daemons=6, cut_off=2)


async def all_daemons_but_one_are_cut_off_and_serve_their_callers() -> None:
    """Guards against fleets that need more than one daemon with a path."""
    fleet = await _check("reset", daemons=5, cut_off=4)
    fleet.check_watched()


async def daemons_without_a_path_to_one_service_serve_its_callers() -> None:
    """Guards against cuts of a part of the servers that go unnoticed."""
    servers = ("i-s1", "i-s2", "i-e1")
    await _check("hang", daemons=4, cut_off=2, servers=servers)
