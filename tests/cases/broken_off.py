"""Answers of servers that end whole or broken off, in all framings."""

from __future__ import annotations

import asyncio
import itertools

from cluster import raw_caller
from cluster.platform import Platform
from standins.endings import Cut, Ending, Framing

EVENTS = 5
WHOLE_STREAM = b"".join(
    b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, EVENTS + 1)
)
BODY = b"body of a request that is answered with its own bytes"
STREAMS = ("long", "short")
CALLS = ("confirm", "release")
# Framing, and whether the connection is reset.
ENDS = tuple(itertools.product(Framing, (False, True)))
# Time in which a daemon learns that its paths are cut.
CUT_S = 0.5


def _set_ending(made: Platform, ending: Ending) -> None:
    for replica in made.replicas.values():
        replica.faults.ending = ending


async def _call(
    made: Platform, name: str, request_id: str, **fields
) -> raw_caller.Received:
    return await raw_caller.call(made, name, request_id, body=BODY, **fields)


def _is_whole(name: str, received: raw_caller.Received) -> bool:
    expected = WHOLE_STREAM if name in STREAMS else BODY
    return received.status == 200 and received.body == expected


def _check_no_false_claim(
    name: str, case: str, received: raw_caller.Received
) -> None:
    """Checks that an incomplete success doesn't look complete."""
    if received.status != 200 or _is_whole(name, received):
        return
    assert not received.is_claimed_complete, (name, case, received)


async def a_stream_cut_inside_an_event_is_not_complete() -> None:
    """Guards against half an event passed on as the end of a stream."""
    for framing, resets in ENDS:
        async with Platform() as made:
            await made.earn_retry("long")
            _set_ending(made, Ending(framing, Cut.INSIDE, resets))
            received = await _call(made, "long", "r1")
            assert _is_whole("long", received), (framing, resets, received)
            assert received.has_ended, (framing, resets, received)
            received = await _call(made, "short", "r2")
            assert not received.is_inside_event, (framing, resets, received)
            assert not received.has_ended, (framing, resets, received)


async def a_stream_that_a_server_closes_makes_no_claim() -> None:
    """Guards against a last chunk where the server gave no end mark."""
    async with Platform() as made:
        _set_ending(made, Ending(Framing.CLOSE, Cut.BETWEEN))
        for name in STREAMS:
            received = await _call(made, name, f"between-{name}")
            _check_no_false_claim(name, "between", received)


async def a_whole_answer_without_framing_arrives_whole() -> None:
    """Guards against whole answers lost for want of a length or chunks."""
    async with Platform() as made:
        for framing in Framing:
            _set_ending(made, Ending(framing))
            for name in (*STREAMS, *CALLS):
                received = await _call(made, name, f"{name}-{framing}")
                assert _is_whole(name, received), (name, framing, received)
                assert received.has_ended, (name, framing, received)


async def a_call_cut_inside_its_body_is_not_complete() -> None:
    """Guards against a length of our own for part of a body."""
    for (framing, resets), cut in itertools.product(
        ENDS, (Cut.HEAD, Cut.INSIDE)
    ):
        async with Platform() as made:
            await made.earn_retry("release")
            _set_ending(made, Ending(framing, cut, resets, after=1))
            case = f"{framing}-{cut}-{resets}"
            received = await _call(made, "release", "r1")
            _check_no_false_claim("release", case, received)
            if resets or framing is not Framing.CLOSE:
                assert _is_whole("release", received), (case, received)
            received = await _call(made, "confirm", "r2")
            _check_no_false_claim("confirm", case, received)


async def a_stream_that_ends_after_its_head_is_no_success() -> None:
    """Guards against an empty stream in place of a stream that broke off."""
    for framing, resets in ENDS:
        async with Platform() as made:
            await made.earn_retry("long")
            _set_ending(made, Ending(framing, Cut.HEAD, resets))
            received = await _call(made, "long", "r1")
            assert _is_whole("long", received), (framing, resets, received)
            received = await _call(made, "short", "r2")
            assert received.status == 502, (framing, resets, received)


async def an_answer_through_another_daemon_makes_no_claim() -> None:
    """Guards against a claim that another daemon adds to an answer."""
    for cut in Cut:
        async with Platform(daemons=2, can_cut=True) as made:
            await made.earn_retry("long")
            made.cut(0, "reset")
            await asyncio.sleep(CUT_S)
            _set_ending(made, Ending(Framing.CLOSE, cut, after=1))
            for name in (*STREAMS, *CALLS):
                received = await _call(made, name, f"r-{name}")
                _check_no_false_claim(name, cut, received)
                if cut is Cut.NONE:
                    assert _is_whole(name, received), (name, received)
            assert made.log(1).count("event=relayed") >= 4


async def an_old_client_sees_that_a_stream_broke() -> None:
    """Guards against a broken stream that looks whole over HTTP/1.0."""
    async with Platform(engines=6) as made:
        for framing, cut in itertools.product(
            Framing, (Cut.NONE, Cut.INSIDE, Cut.BETWEEN)
        ):
            _set_ending(made, Ending(framing, cut, resets=cut is Cut.BETWEEN))
            received = await _call(
                made, "short", f"{framing}-{cut}", http_version="1.0"
            )
            assert received.status == 200, (framing, cut, received)
            expected = cut is Cut.NONE
            assert received.has_ended == expected, (framing, cut, received)
