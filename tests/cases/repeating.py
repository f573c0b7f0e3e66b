"""Repeats and the time handed on, with real processes."""

from __future__ import annotations

import asyncio
import signal
import time

from cluster.platform import Platform
from soak import repeats

# Time for which a daemon gets no processor, and what it may be wrong by.
HELD_UP_S = 1.2
DEADLINE_MS = 3_000
LATE_MS = 500
SEED = 1
DAEMONS = 12


async def a_daemon_that_was_held_up_hands_on_what_is_left() -> None:
    """Guards against time counted from when a request was read."""
    async with Platform() as made:
        await made.call("release", "first")
        for round_number in range(3):
            # A kept connection and new ones.
            names = [f"r{round_number}-{n}" for n in range(4)]
            made.signal(0, signal.SIGSTOP)
            sent_s = time.monotonic()
            calls = [
                asyncio.create_task(made.call("release", name))
                for name in names
            ]
            await asyncio.sleep(HELD_UP_S)
            made.signal(0, signal.SIGCONT)
            await asyncio.gather(*calls)
            for name in names:
                (ran,) = made.ran(name)
                left_ms = DEADLINE_MS - (ran.at_s - sent_s) * 1000
                handed_ms = int(ran.headers["x-godwittack-deadline-ms"])
                assert handed_ms <= left_ms + LATE_MS, (name, handed_ms)


async def a_daemon_that_is_on_time_takes_nothing_off() -> None:
    """Guards against time taken off for a wait that there was not."""
    async with Platform() as made:
        await made.call("release", "first")
        for number in range(20):
            await asyncio.sleep(0.07)
            await made.call("release", f"r{number}")
            (ran,) = made.ran(f"r{number}")
            handed_ms = int(ran.headers["x-godwittack-deadline-ms"])
            assert handed_ms > DEADLINE_MS - LATE_MS / 4, handed_ms


async def daemons_that_start_again_in_series_repeat_within_their_bound() -> (
    None
):
    """Guards against a part of the burst that each start of a daemon grants."""
    session = repeats.Session(SEED, daemons=DAEMONS, plan=repeats.RESTARTS)
    wrong = await session.play()
    assert not wrong, (wrong, session.faults)


async def a_short_session_keeps_repeats_within_their_bounds() -> None:
    """Guards against repeats beyond their bounds while daemons restart."""
    session = repeats.Session(SEED, daemons=DAEMONS)
    wrong = await session.play()
    assert not wrong, (wrong, session.faults)
