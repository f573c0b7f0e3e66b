"""Copies of the store's rows that are old, with real processes."""

from __future__ import annotations

import asyncio
import time

from aiohttp import web

from cluster import platform, store_readers
from cluster.platform import Platform, until

# What operators allow from the acknowledgement of new weights, and from that of
# a server that leaves.
VERSION_S = 12.0
DRAIN_S = 2.0
DAEMONS = 6
CALL_GAP_S = 0.1
# The readers' calls hang from here before the feed falls silent, so that the
# other daemons read it themselves in that second.
DEAF_BEFORE_S = 1.6
DEAF_BEFORE_LEAVING_S = 0.4
# After this the store's answers are too old to say what does not exist.
OUTAGE_S = 4.0
SILENCE_S = 1.0
# How long the feed holds a call, and a little more.
FEED_WAIT_S = 1.5


async def _call_all(
    made: Platform, name: str, daemons: list[int], until_s: float
) -> list[tuple[int, int]]:
    """Sends requests to daemons; returns the daemon and status of each."""
    answers: list[tuple[int, int]] = []

    async def call_one(number: int) -> None:
        count = 0
        while time.monotonic() < until_s:
            count += 1
            status, _, _ = await made.call(
                name, f"{name}-{number}-{count}", daemon=number
            )
            answers.append((number, status))
            await asyncio.sleep(CALL_GAP_S)

    await asyncio.gather(*(call_one(number) for number in daemons))
    return answers


async def _with_deaf_readers(made: Platform) -> list[int]:
    """Cuts the readers off the store; returns the other daemons."""
    for number in range(DAEMONS):
        await made.until_met(number)
    readers = store_readers.find(made)
    for number in readers:
        made.cut_store(number, "hang")
    await asyncio.sleep(DEAF_BEFORE_S)
    return [n for n in range(DAEMONS) if n not in readers]


async def weights_named_in_a_silent_second_are_used_in_time() -> None:
    """No request begins on replaced weights later than operators allow.

    Guards against a naming that is dated too late: the daemons that poll the
    store for all lose it, the feed falls silent for a second and its answers
    count as confirmations, and a version is named in that second. The engines
    do not load it, so that only its age ends the use of the old one.
    """
    async with Platform(daemons=DAEMONS, can_cut=True) as made:

        async def refuse_order(request: web.Request) -> web.Response:
            del request
            return web.Response(status=409)

        engines = [r for r in made.replicas.values() if r.model]
        for engine in engines:
            engine._order = refuse_order
        others = await _with_deaf_readers(made)
        made.store.silence_feed(SILENCE_S)
        await asyncio.sleep(0.1)
        made.store.put("op", "version/m", {"model": "m", "version": 2})
        named_at_s = time.monotonic()
        answers = await _call_all(
            made, "short", others, named_at_s + VERSION_S + 1.0
        )
        begun_s = [
            execution.at_s - named_at_s
            for engine in engines
            for execution in engine.ran
        ]
        assert max(begun_s) > 1.0, begun_s
        assert max(begun_s) <= VERSION_S, max(begun_s)
        assert answers[-1][1] == 503, answers[-1]


async def a_server_that_leaves_unheard_gets_no_requests_after_its_drain() -> (
    None
):
    """A server that leaves gets no request once its time to drain is over.

    Guards against requests lost at a server that has ended: the daemons that
    poll the store for all lose it a moment before the server leaves, and the
    others rely on what these confirmed.
    """
    async with Platform(daemons=DAEMONS, can_cut=True) as made:
        for number in range(DAEMONS):
            await made.until_met(number)
        readers = store_readers.find(made)
        others = [n for n in range(DAEMONS) if n not in readers]
        await _call_all(made, "open", others, time.monotonic() + 0.5)
        services = [made.replicas["i-s1"], made.replicas["i-s2"]]
        used, unused = sorted(services, key=lambda s: len(s.ran), reverse=True)
        for number in readers:
            made.cut_store(number, "hang")
        await asyncio.sleep(DEAF_BEFORE_LEAVING_S)
        made.list_server(
            used.instance,
            f"127.0.0.1:{used.port}",
            state="draining",
            sequence=2,
        )
        left_at_s = time.monotonic()
        await _call_all(made, "release", others, left_at_s + DRAIN_S + 2.0)
        begun_s = [execution.at_s - left_at_s for execution in used.ran]
        assert max(begun_s) > 0.0, begun_s
        assert max(begun_s) <= DRAIN_S, max(begun_s)
        assert max(e.at_s for e in unused.ran) > left_at_s + DRAIN_S


async def unknown_limits_refuse_nothing_for_good() -> None:
    """A daemon without a table does not say that a request is too long.

    Guards against callers that give up on a proper request: a daemon that has
    just started answers with 413 or 431 by limits that no operator has set.
    """
    async with Platform(configured=False) as made:

        async def listens() -> bool:
            await made.get(0, "ready", "/ready")
            return True

        await until("it listens", listens)
        long_headers = {f"X-Long-{n}": "x" * 6_000 for n in range(3)}
        statuses = [
            (await made.call("open", "r1", headers=long_headers))[0],
            (await made.call("open", "r2", body=b"x" * (5 << 20)))[0],
        ]
        assert statuses == [503, 503], statuses


async def limits_of_an_old_table_refuse_nothing_for_good() -> None:
    """A limit that may have been raised is no reason to refuse for good.

    Guards against callers that give up on a proper request: the longest body is
    raised while a daemon has no contact to the store, and it answers with 413
    by a table that nobody has confirmed for four seconds.
    """
    async with Platform() as made:
        body = b"x" * 150_000
        assert (await made.call("open", "r1", body=body))[0] == 413
        made.store.faults.silent = True
        # A call that the feed holds would still be answered.
        await asyncio.sleep(FEED_WAIT_S)
        raised = platform.config(2)
        raised["limits"]["max-body-bytes"] = 1_000_000
        made.store.put("op", "config", raised)
        await asyncio.sleep(OUTAGE_S)
        assert (await made.call("release", "r2"))[0] == 503
        status, headers, _ = await made.call("open", "r3", body=body)
        assert status == 503 and float(headers["retry-after"]) > 0, status
