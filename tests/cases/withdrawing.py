"""Servers that say that they leave or ask for rest, with real processes."""

from __future__ import annotations

from soak import repeats, signals

SEED = 1
DAEMONS = 6


async def _play(plan: repeats.Plan, *, seed: int = SEED) -> signals.Session:
    session = signals.Session(seed, daemons=DAEMONS, plan=plan)
    wrong = await session.play()
    assert not wrong, (wrong, session.faults)
    return session


async def _leave(plan: repeats.Plan) -> None:
    session = await _play(plan)
    assert session.leaving_signals_s, session.faults


async def _rest(plan: repeats.Plan) -> None:
    session = await _play(plan)
    assert session.rests > DAEMONS, session.rests
    assert session.statuses["200"] > sum(session.statuses.values()) / 2


async def servers_that_say_that_they_leave_get_nothing_more() -> None:
    """Guards against a word in answers that only the list's word replaces."""
    await _leave(signals.LEAVING)


async def a_silent_store_does_not_hide_that_servers_leave() -> None:
    """Guards against leaving that is learnt from the store alone."""
    await _leave(signals.LEAVING_UNSEEN)


async def an_entry_that_comes_back_does_not_take_leaving_back() -> None:
    """Guards against leaving that is forgotten with a server's entry."""
    await _leave(signals.LAPSING)


async def servers_that_ask_for_rest_get_it() -> None:
    """Guards against requests to a server that wants none from a daemon."""
    await _rest(signals.RESTING)


async def a_service_all_of_whose_servers_ask_for_rest_gets_it() -> None:
    """Guards against requests that go to any server where all want none."""
    session = await _play(signals.ALL_RESTING)
    assert session.rests > DAEMONS, session.rests


async def a_short_session_keeps_to_what_servers_say() -> None:
    """Guards against signals that are lost between faults that overlap."""
    await _play(signals.OVERLAPPING)
