"""Changes that the store's feed keeps to itself for a moment."""

from __future__ import annotations

import asyncio

from cases import feed_follower as harnesses
from sim import silent_store

# Sessions of the follower beside a feed that falls silent.
SESSIONS = range(120)


async def a_held_call_does_not_prove_that_nothing_was_left_out() -> None:
    """A change is read though two held calls ended without rows.

    Guards against a route that is refused for good: version 15 is named by a
    call that was held for as long as the feed is silent.
    """
    harness = harnesses.FollowerHarness()
    await harness.step(harnesses.page(13, ("config", "old")))
    await harness.step(harnesses.page(15), takes_ms=1_004)
    await harness.step(harnesses.page(15))
    await harness.step(harnesses.page(15))
    assert harness.feed.calls[-1] == "changes op 13", harness.feed.calls


async def history_lost_beside_a_read_is_read_again() -> None:
    """A call that finds the history lost is not dropped for a read beside it.

    Guards against a change that is missed for good: the read beside a held call
    was answered without rows.
    """
    harness = harnesses.FollowerHarness()
    await harness.step(harnesses.page(13, ("config", "old")))
    await harness.step(harnesses.page(15), takes_ms=1_004)
    held: asyncio.Future[object] = asyncio.get_running_loop().create_future()
    answer = harness.feed.changes

    async def hold(table, *, after, wait_ms):
        harness.feed.changes = answer
        del table, after, wait_ms
        return await held

    harness.feed.changes = hold
    poll = asyncio.ensure_future(harness.follower.step())
    await asyncio.sleep(0)
    harness.feed.add_answer(harnesses.page(15))
    await harness.follower.read_now()
    held.set_result(harnesses.error(history_lost=True))
    await poll
    await harness.step(harnesses.page(15, ("config", "new")))
    assert harness.feed.calls[-1] == "snapshot op", harness.feed.calls


def no_order_of_calls_confirms_rows_without_a_change() -> None:
    """What is confirmed has all changes of more than a silence before.

    Guards against false confirmations that depend on the order of calls:
    silences, lost history, reads beside calls that wait, slow answers and
    changes of who polls, by chance.
    """
    false = {
        seed: found
        for seed in SESSIONS
        if (found := silent_store.Session(seed).play())
    }
    assert not false, {seed: found[0] for seed, found in false.items()}
