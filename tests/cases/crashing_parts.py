"""Parts of prompts that crash the engines that run them, real processes."""

from __future__ import annotations

import asyncio
import time

from cluster.part_traffic import (
    BAD_PART,
    MAX_LATE,
    SERVED_AFTER_S,
    SHARED_PARTS,
    PartTraffic,
    Plan,
)
from cluster.platform import Platform
from soak import parts
from standins.endings import Ending, Framing
from standins.replica import PartFault

DAEMONS = 4
ENGINES = 6
CALM_S = 2.5
BAD_S = 14.0
# Operators allow a half; what is refused with the bad part alone is nothing.
MIN_SHARE = 0.5
SOAK_SEEDS = (1, 2)


async def _play(
    plan: Plan,
    fault: PartFault,
    *,
    ending: Ending | None = None,
    seconds: float = BAD_S,
) -> PartTraffic:
    """Sends sound requests, then others as well, and checks the limits."""
    platform = Platform(daemons=DAEMONS, engines=ENGINES, services=1)
    for replica in platform.replicas.values():
        if replica.model:
            replica.faults.ending = ending
    async with platform, PartTraffic(platform, plan) as traffic:
        traffic.set_fault(fault)
        await asyncio.sleep(CALM_S)
        began_s = time.monotonic()
        await traffic.send_bad(seconds=seconds)
        assert traffic.late() <= MAX_LATE, (traffic.late(), traffic.crashes_s)
        crashes_s = sorted(traffic.crashes_s)[:5]
        assert crashes_s, "no engine has crashed"
        calm = traffic.share_begun(from_s=0.0, to_s=began_s)
        later = traffic.share_begun(from_s=crashes_s[-1] + SERVED_AFTER_S)
        assert later >= MIN_SHARE * calm, (later, calm)
        return traffic


async def a_part_that_crashes_servers_is_refused_everywhere() -> None:
    """Guards against requests that share a part and end one engine each."""
    traffic = await _play(Plan(), PartFault(BAD_PART))
    assert traffic.statuses[-5:] == [503] * 5, traffic.statuses


async def a_first_part_that_crashes_servers_is_refused() -> None:
    """Guards against a bad part that decides where requests are placed."""
    plan = Plan(parts=(BAD_PART, SHARED_PARTS[1]), route="long")
    traffic = await _play(plan, PartFault(BAD_PART))
    assert traffic.statuses[-5:] == [503] * 5, traffic.statuses


async def a_part_in_requests_sent_at_one_time_is_refused() -> None:
    """Guards against crashes at all engines before any of them is known."""
    plan = Plan(group=6, gap_s=1.0, route="long")
    traffic = await _play(plan, PartFault(BAD_PART))
    assert traffic.statuses[-5:] == [503] * 5, traffic.statuses


async def a_part_that_crashes_now_and_then_is_refused() -> None:
    """Guards against one completed answer that acquits a part for good."""
    traffic = await _play(Plan(), PartFault(BAD_PART, share=0.5))
    assert 503 in traffic.statuses, traffic.statuses


async def a_crash_behind_an_answer_without_a_mark_counts() -> None:
    """Guards against a crash taken for the end of an unmarked answer."""
    traffic = await _play(
        Plan(), PartFault(BAD_PART), ending=Ending(Framing.CLOSE)
    )
    assert traffic.statuses[-5:] == [503] * 5, traffic.statuses


async def a_short_session_with_a_bad_part_keeps_all_promises() -> None:
    """Guards against what daemons forget when they start again."""
    for seed in SOAK_SEEDS:
        session = parts.Session(seed, daemons=DAEMONS)
        violations = await session.play()
        assert not violations, (seed, violations, session.faults)


async def an_outage_of_all_servers_refuses_no_part() -> None:
    """Guards against blaming parts that were on all servers of an outage."""
    platform = Platform(daemons=DAEMONS, engines=ENGINES, services=1)
    async with platform, PartTraffic(platform, Plan()) as traffic:
        await asyncio.sleep(CALM_S)
        for _ in range(3):
            for replica in traffic.engines():
                await replica.crash()
            await asyncio.sleep(3.0)
        ended_s = time.monotonic()
        await asyncio.sleep(2.0)
        later = traffic.share_begun(from_s=ended_s)
        assert later >= MIN_SHARE, later
        logs = [platform.log(number) for number in range(DAEMONS)]
        assert not any("event=quarantined" in log for log in logs)
