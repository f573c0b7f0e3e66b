"""Servers that report leaving or request a rest, with real processes."""

from __future__ import annotations

from soak import repeats, signals

SEED = 1
DAEMONS = 6


async def _play(plan: repeats.Plan, *, seed: int = SEED) -> signals.Session:
    session = signals.Session(seed, daemons=DAEMONS, plan=plan)
    violations = await session.play()
    assert not violations, (violations, session.faults)
    return session


async def _check_leaving(plan: repeats.Plan) -> None:
    session = await _play(plan)
    assert session.leaving_signals_s, session.faults


async def _check_rest(plan: repeats.Plan) -> None:
    session = await _play(plan)
    assert session.rests > DAEMONS, session.rests
    assert session.statuses["200"] > sum(session.statuses.values()) / 2


async def servers_that_report_leaving_get_nothing_more() -> None:
    """Guards against leaving that is read from the instance list only."""
    await _check_leaving(signals.LEAVING)


async def a_silent_store_does_not_hide_that_servers_leave() -> None:
    """Guards against leaving that is read from the store only."""
    await _check_leaving(signals.LEAVING_UNSEEN)


async def an_entry_that_comes_back_does_not_undo_leaving() -> None:
    """Guards against leaving that is forgotten with a server's entry."""
    await _check_leaving(signals.LAPSING)


async def servers_that_request_a_rest_get_it() -> None:
    """Guards against requests to a server during its rest."""
    await _check_rest(signals.RESTING)


async def a_service_whose_servers_all_request_a_rest_gets_it() -> None:
    """Guards against requests to resting servers where all servers rest."""
    session = await _play(signals.ALL_RESTING)
    assert session.rests > DAEMONS, session.rests


async def a_short_session_follows_the_signals_of_servers() -> None:
    """Guards against signals that are lost during faults that overlap."""
    await _play(signals.OVERLAPPING)
