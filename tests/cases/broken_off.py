"""Answers of servers that end whole or broken off, in all framings."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from typing import TYPE_CHECKING

from cluster import raw_caller
from cluster.platform import Platform, until
from standins.endings import Cut, Ending, Framing

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

EVENTS = 5
WHOLE_STREAM = b"".join(
    b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, EVENTS + 1)
)
STREAMS = ("long", "short")
CALLS = ("confirm", "release")
# Enough that a few ejected ones are not missed.
SERVERS = 12
# Framing, and whether the connection is reset.
ENDS = tuple(itertools.product(Framing, (False, True)))
# Time in which a daemon learns that its paths are cut.
CUT_S = 0.5
# Time in which a daemon notices that a caller has left.
LEFT_S = 0.3


def _set_ending(made: Platform, ending: Ending | None) -> None:
    for replica in made.replicas.values():
        replica.faults.ending = ending


@dataclasses.dataclass(frozen=True)
class Answered:
    """A request and its answer."""

    name: str
    request_id: str
    received: raw_caller.Received

    @property
    def is_whole(self) -> bool:
        """Whether all of the answer arrived."""
        expected = _body(self.request_id)
        if self.name in STREAMS:
            expected = WHOLE_STREAM
        return self.received.status == 200 and self.received.body == expected

    def check_no_false_claim(self) -> None:
        """Checks that an incomplete success doesn't look complete."""
        if self.received.status == 200 and not self.is_whole:
            assert not self.received.is_claimed_complete, self


async def _call(
    made: Platform, name: str, request_id: str, **fields
) -> Answered:
    received = await raw_caller.call(
        made, name, request_id, body=_body(request_id), **fields
    )
    return Answered(name, request_id, received)


def _body(request_id: str) -> bytes:
    """Returns the body of a request, which no other one has.

    A call is answered with it.
    """
    return f"{request_id} is answered with its own bytes".encode()


async def _earn_retry(made: Platform, name: str) -> None:
    """Lets all servers answer whole again, and earns one retry."""
    _set_ending(made, None)
    await made.earn_retry(name)


async def a_stream_cut_inside_an_event_is_not_complete() -> None:
    """Guards against half an event passed on as the end of a stream."""
    async with Platform(engines=SERVERS) as made:
        for framing, resets in ENDS:
            case = f"{framing}-{resets}"
            await _earn_retry(made, "long")
            _set_ending(made, Ending(framing, Cut.INSIDE, resets))
            answered = await _call(made, "long", f"{case}-long")
            assert answered.is_whole, answered
            assert answered.received.has_ended, answered
            answered = await _call(made, "short", f"{case}-short")
            assert not answered.received.is_inside_event, answered
            assert not answered.received.has_ended, answered


async def a_stream_that_a_server_closes_makes_no_claim() -> None:
    """Guards against a last chunk where the server gave no end mark."""
    async with Platform() as made:
        _set_ending(made, Ending(Framing.CLOSE, Cut.BETWEEN))
        for name in STREAMS:
            answered = await _call(made, name, f"between-{name}")
            answered.check_no_false_claim()


async def a_whole_answer_without_framing_arrives_whole() -> None:
    """Guards against whole answers lost for want of a length or chunks."""
    async with Platform() as made:
        for framing in Framing:
            _set_ending(made, Ending(framing))
            for name in (*STREAMS, *CALLS):
                answered = await _call(made, name, f"{name}-{framing}")
                assert answered.is_whole, answered
                assert answered.received.has_ended, answered


async def a_call_cut_inside_its_body_is_not_complete() -> None:
    """Guards against a length of our own for part of a body."""
    async with Platform(services=SERVERS) as made:
        for (framing, resets), cut in itertools.product(
            ENDS, (Cut.HEAD, Cut.INSIDE)
        ):
            case = f"{framing}-{cut}-{resets}"
            await _earn_retry(made, "release")
            _set_ending(made, Ending(framing, cut, resets, after=1))
            answered = await _call(made, "release", f"{case}-release")
            answered.check_no_false_claim()
            if resets or framing is not Framing.CLOSE:
                assert answered.is_whole, answered
            answered = await _call(made, "confirm", f"{case}-confirm")
            answered.check_no_false_claim()


async def a_stream_that_ends_after_its_head_is_no_success() -> None:
    """Guards against an empty stream in place of a stream that broke off."""
    async with Platform(engines=SERVERS) as made:
        for framing, resets in ENDS:
            case = f"{framing}-{resets}"
            await _earn_retry(made, "long")
            _set_ending(made, Ending(framing, Cut.HEAD, resets))
            answered = await _call(made, "long", f"{case}-long")
            assert answered.is_whole, answered
            answered = await _call(made, "short", f"{case}-short")
            assert answered.received.status == 502, answered


def _has_relayed(made: Platform, count: int) -> Callable[[], Awaitable[bool]]:
    """Returns whether a daemon has logged so many relayed requests."""

    async def has() -> bool:
        return made.log(1).count("event=relayed") >= count

    return has


async def an_answer_through_another_daemon_makes_no_claim() -> None:
    """Guards against a claim that another daemon adds to an answer."""
    for cut in Cut:
        async with Platform(daemons=2, can_cut=True) as made:
            await made.earn_retry("long")
            made.cut(0, "reset")
            await asyncio.sleep(CUT_S)
            _set_ending(made, Ending(Framing.CLOSE, cut, after=1))
            for name in (*STREAMS, *CALLS):
                answered = await _call(made, name, f"r-{name}")
                answered.check_no_false_claim()
                if cut is Cut.NONE:
                    assert answered.is_whole, answered
            await until("all are relayed", _has_relayed(made, 4))


async def an_old_client_sees_that_a_stream_broke() -> None:
    """Guards against a broken stream that looks whole over HTTP/1.0."""
    async with Platform(engines=6) as made:
        for framing, cut in itertools.product(
            Framing, (Cut.NONE, Cut.INSIDE, Cut.BETWEEN)
        ):
            _set_ending(made, Ending(framing, cut, resets=cut is Cut.BETWEEN))
            answered = await _call(
                made, "short", f"{framing}-{cut}", http_version="1.0"
            )
            assert answered.received.status == 200, answered
            expected = cut is Cut.NONE
            assert answered.received.has_ended == expected, answered


async def an_answer_without_a_body_ends_with_its_head() -> None:
    """Guards against a HEAD that waits for the body that it doesn't get."""
    async with Platform() as made:
        for number in range(2):
            received = await raw_caller.call(
                made, "release", f"r{number}", method="HEAD", body=b""
            )
            assert received.status == 200, received
            assert len(made.ran(f"r{number}")) == 1


async def a_caller_may_leave_an_answer_without_framing() -> None:
    """Guards against an error for each caller that leaves early."""
    async with Platform() as made:
        _set_ending(made, Ending(Framing.CLOSE))
        for number in range(20):
            name = STREAMS[number % 2]
            leave_after = 1 + number % EVENTS
            await _call(made, name, f"r{number}", leave_after=leave_after)
        await asyncio.sleep(LEFT_S)
        assert "Traceback" not in made.log(), made.log()[-2000:]
        answered = await _call(made, "long", "last")
        assert answered.is_whole, answered
