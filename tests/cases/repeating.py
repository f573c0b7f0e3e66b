"""Repeated requests and the deadline passed on, with real processes."""

from __future__ import annotations

import asyncio
import signal
import time

from cluster.platform import Platform
from soak import repeats

# Time for which a daemon is suspended.
SUSPENDED_S = 1.2
DEADLINE_MS = 3_000
# Allowed error of the deadline that a daemon passes on.
TOLERANCE_MS = 500
SEED = 1
DAEMONS = 12


async def a_suspended_daemon_passes_on_the_time_that_is_left() -> None:
    """Guards against a deadline counted from when a request is read."""
    async with Platform() as platform:
        await platform.call("release", "first")
        for round_number in range(3):
            # One call uses a kept connection, the others new ones.
            names = [f"r{round_number}-{n}" for n in range(4)]
            platform.signal(0, signal.SIGSTOP)
            sent_s = time.monotonic()
            calls = [
                asyncio.create_task(platform.call("release", name))
                for name in names
            ]
            await asyncio.sleep(SUSPENDED_S)
            platform.signal(0, signal.SIGCONT)
            await asyncio.gather(*calls)
            for name in names:
                (ran,) = platform.ran(name)
                remaining_ms = DEADLINE_MS - (ran.at_s - sent_s) * 1000
                deadline_ms = int(ran.headers["x-godwittack-deadline-ms"])
                assert deadline_ms <= remaining_ms + TOLERANCE_MS, (
                    name,
                    deadline_ms,
                )


async def a_daemon_without_delay_passes_on_the_whole_time() -> None:
    """Guards against time subtracted for a wait that did not occur."""
    async with Platform() as platform:
        await platform.call("release", "first")
        for number in range(20):
            await asyncio.sleep(0.07)
            await platform.call("release", f"r{number}")
            (ran,) = platform.ran(f"r{number}")
            deadline_ms = int(ran.headers["x-godwittack-deadline-ms"])
            assert deadline_ms > DEADLINE_MS - TOLERANCE_MS / 4, deadline_ms


async def daemons_that_restart_in_series_repeat_within_their_bound() -> None:
    """Guards against a share of the burst at each start of a daemon."""
    session = repeats.Session(SEED, daemons=DAEMONS, plan=repeats.RESTARTS)
    violations = await session.play()
    assert not violations, (violations, session.faults)


async def a_short_session_keeps_repeats_within_their_bounds() -> None:
    """Guards against too many repeats while daemons restart."""
    session = repeats.Session(SEED, daemons=DAEMONS)
    violations = await session.play()
    assert not violations, (violations, session.faults)
