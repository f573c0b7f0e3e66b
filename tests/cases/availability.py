"""What servers say of their availability, as the core keeps to it."""

from __future__ import annotations

from result import Err, Ok

from cases import routed_core
from cases.routed_core import Core
from godwittack.backend import connection, retry_after, signals
from godwittack.clock import ManualClock
from godwittack.core import (
    availability,
    effects,
    inputs,
    server_inputs,
    work,
)
from godwittack.peer import pending, wire
from godwittack.platform import servers

STARTED = "x@5"
STARTED_AGAIN = "x@9"
DAY_MS = 86_400_000
DECLINED = inputs.FailurePhase.DECLINED
REFUSED = inputs.FailureCause.REFUSED
WITHHELD = inputs.FailureCause.WITHHELD


def _list(core: Core, **fields) -> None:
    entry = {"address": "10.0.0.9:1", "incarnation": STARTED, **fields}
    core.list_server("x", routed_core.SERVICE, **entry)


def _leaves(core: Core) -> bool:
    return core.world.servers["x"].leaving


def an_entry_that_goes_and_comes_back_keeps_a_server_leaving() -> None:
    """Guards against leaving that is forgotten with a row of the list."""
    core = Core()
    _list(core)
    core.tell(server_inputs.ServerLeaving, "x")
    core.tell_named(server_inputs.ServerListed, server_id="x", gone=True)
    _list(core)
    assert _leaves(core)


def another_address_of_the_same_start_keeps_a_server_leaving() -> None:
    """Guards against leaving that is forgotten with an address."""
    core = Core()
    _list(core)
    core.tell(server_inputs.ServerLeaving, "x")
    _list(core, address="10.0.0.9:2")
    assert _leaves(core)


def a_peer_told_of_a_start_before_does_not_take_the_next_one_out() -> None:
    """Guards against late news that keeps a reborn server from service."""
    core = Core()
    _list(core)
    _list(core, incarnation=STARTED_AGAIN)
    core.tell(server_inputs.ServerLeaving, "x", STARTED)
    assert not _leaves(core)


def a_peer_told_before_the_entry_is_listed_is_believed() -> None:
    """Guards against news of a server that is lost before its row is there."""
    core = Core()
    core.tell(server_inputs.ServerLeaving, "x", STARTED)
    _list(core)
    assert _leaves(core)


def news_of_leaving_name_the_start_that_leaves() -> None:
    """Guards against news that take the next start of a server for this one."""
    told = pending.PendingNews(leaving={"x": STARTED})
    later = pending.PendingNews(leaving={"x": STARTED_AGAIN})
    message = wire.NewsWriter().write(told.merged_with(later), now_ms=0)
    (leaving,) = message.leaving
    assert (leaving.server_id, leaving.incarnation) == ("x", STARTED_AGAIN)


def _rest(core: Core, server: str, rest_ms: int = 3_000, **fields) -> None:
    core.tell_named(
        server_inputs.RestAsked, server_id=server, rest_ms=rest_ms, **fields
    )


def _rest_all(core: Core, rest_ms: int) -> None:
    for server in ("s1", "s2"):
        _rest(core, server, rest_ms)


def a_server_that_rests_gets_nothing_until_then() -> None:
    """Guards against a rest that ends with an earlier one, or too soon."""
    core = Core()
    rested_ms = core.now_ms + 3_000
    _rest(core, "s1", 3_000)
    core.now_ms += 500
    _rest(core, "s1", 1_000)
    used = set()
    for number in range(25):
        core.now_ms += 100
        core.tell(inputs.Tick)
        core.arrive("release", f"r{number}")
        used.add(core.dispatch().server_id)
        core.answer(core.dispatch())
        if core.now_ms < rested_ms:
            assert used == {"s2"}, core.now_ms
    core.wait(200)
    for number in range(8):
        core.arrive("release", f"after{number}")
        used.add(core.dispatch().server_id)
    assert used == {"s1", "s2"}


def a_rest_is_no_failure_of_a_server() -> None:
    """Guards against an honest decline that ejects its server."""
    core = Core()
    core.arrive("release")
    sent = core.dispatch()
    _rest(core, sent.server_id)
    core.fail(sent, DECLINED, REFUSED)
    row = core.world.servers[sent.server_id]
    assert (
        row.consecutive_failures,
        row.ejected_until_ms,
        row.possible_crashes,
    ) == (0, 0, [])
    assert core.dispatch().server_id != sent.server_id


def a_rest_holds_while_its_entry_is_away() -> None:
    """Guards against a rest that is forgotten with a row of the list."""
    core = Core()
    _list(core)
    _rest(core, "x")
    core.tell_named(server_inputs.ServerListed, server_id="x", gone=True)
    _list(core)
    assert core.world.servers["x"].rest_until_ms == core.now_ms + 3_000


def a_server_that_starts_again_has_asked_for_nothing() -> None:
    """Guards against a start that gets no work for what the one before said."""
    core = Core()
    _list(core)
    _rest(core, "x", 600_000)
    core.tell(server_inputs.ServerLeaving, "x", STARTED)
    _list(core, incarnation=STARTED_AGAIN)
    row = core.world.servers["x"]
    assert (row.rest_until_ms, row.leaving) == (0, False)
    _rest(core, "x", incarnation=STARTED)
    assert row.rest_until_ms == 0


def what_a_later_start_said_holds_once_it_is_listed() -> None:
    """Guards against a word that the list's late entry takes back."""
    core = Core()
    _list(core)
    core.tell(server_inputs.ServerLeaving, "x", STARTED_AGAIN)
    _list(core, incarnation=STARTED_AGAIN)
    assert _leaves(core)


def a_request_waits_for_a_rest_that_ends_in_its_time() -> None:
    """Guards against callers sent away for a rest that is nearly over."""
    core = Core()
    _rest_all(core, 1_000)
    core.arrive("release", deadline_ms=3_000)
    assert not core.find(effects.Refuse) and not core.find(effects.Dispatch)
    assert not [e for e in core.wait(900) if isinstance(e, effects.Dispatch)]
    core.wait(150)
    assert core.dispatch()


def a_rest_that_is_made_longer_ends_the_wait() -> None:
    """Guards against requests held until their deadline for nothing."""
    core = Core()
    _rest_all(core, 1_000)
    core.arrive("release", deadline_ms=2_000)
    _rest_all(core, 5_000)
    core.wait(50)
    assert core.refusal().retry_after_ms >= 4_900


def no_more_wait_for_a_rest_than_the_servers_take() -> None:
    """Guards against a herd that fills the servers as their rest ends."""
    core = Core()
    _rest_all(core, 1_000)
    refused = 0
    for number in range(100):
        core.arrive("release", f"r{number}", deadline_ms=3_000)
        refused += len(core.find(effects.Refuse))
    assert refused == 100 - 2 * 16


def callers_return_spread_after_the_least_rest() -> None:
    """Guards against callers that wait in vain, or come back all at once."""
    core = Core()
    _rest(core, "s1", 9_000)
    _rest(core, "s2", 4_000)
    returns_ms = []
    for number in range(50):
        core.arrive("release", f"r{number}", deadline_ms=3_000)
        refused = core.refusal()
        assert refused.outcome is effects.Outcome.NOT_RUN
        returns_ms.append(refused.retry_after_ms)
    assert min(returns_ms) >= 4_000 and max(returns_ms) < 4_500
    assert max(returns_ms) - min(returns_ms) > 250


def no_retry_is_spent_where_all_servers_rest() -> None:
    """Guards against a retry budget used up by tries that are hopeless."""
    core = Core()
    core.arrive("release", deadline_ms=3_000)
    sent = core.dispatch()
    before = core.world.target_budgets[routed_core.SERVICE].tokens
    _rest_all(core, 9_000)
    core.fail(sent, DECLINED, REFUSED)
    assert core.refusal().retry_after_ms >= 9_000
    assert core.world.target_budgets[routed_core.SERVICE].tokens == before


def a_rest_says_nothing_of_how_fast_turns_come() -> None:
    """Guards against estimates by which all that would wait is refused."""
    core = Core()
    _rest_all(core, 1_000)
    core.arrive("release", deadline_ms=3_000)
    core.wait(1_050)
    (turn,) = core.world.dispatch_pacing.values()
    assert turn.smoothed_ms == 0


def what_is_kept_of_servers_is_bounded() -> None:
    """Guards against memory that grows with each server that leaves."""
    core = Core()
    for number in range(availability.MAX_NOTICES + 10):
        core.tell(server_inputs.ServerLeaving, f"gone{number}", "")
    _rest(core, "s1")
    assert len(core.world.availability_notices) == availability.MAX_NOTICES
    core.wait(3_100)
    assert "s1" not in core.world.availability_notices
    assert not core.world.resting_servers


def _read(status: int = 503, **told: str) -> signals.ServerSignals:
    named = [
        work.Header(name.replace("_", "-"), value)
        for name, value in told.items()
    ]
    reply = connection.Reply(status=status, headers=named)
    return servers.ServerFormat(lambda target: target).read_signals(reply)


def each_way_to_ask_for_rest_is_read() -> None:
    """Guards against a wish for rest that only one form of it tells."""
    good = {"3": 3_000, "0.25": 250, " 2 ": 2_000, "0": 0, "99999999": DAY_MS}
    for text, rest_ms in good.items():
        assert _read(Retry_After=text).rest == Ok(rest_ms), text
    until, made = (
        "Fri, 04 Dec 2026 10:00:07 GMT",
        "Fri, 04 Dec 2026 10:00:02 GMT",
    )
    assert _read(Retry_After=until, Date=made).rest == Ok(5_000)
    assert _read(Retry_After=made, Date=until).rest == Ok(0)
    beyond = "Fri, 04 Dec 99999 10:00:07 GMT"
    assert isinstance(_read(Retry_After=beyond, Date=made).rest, Err)
    for text in ("", "-1", "nan", "soon", "1e9", "3 s", until):
        assert isinstance(_read(Retry_After=text).rest, Err), text
    assert _read().rest == Ok(None)
    assert _read(200, Retry_After="3").rest == Ok(None)
    assert _read(429, Retry_After="3").rest == Ok(None)
    declined = {"X_Godwittack_Not_Executed": "1"}
    assert _read(429, Retry_After="3", **declined).rest == Ok(3_000)
    twice = [work.Header("Retry-After", text) for text in ("1", "x", "3")]
    assert retry_after.read(twice) == Ok(3_000)


def each_spelling_of_leaving_is_read() -> None:
    """Guards against a word under a name that is not looked for."""
    for name in (
        "Server_Leaving",
        "server_leaving",
        "X_GODWITTACK_Server_Leaving",
    ):
        for status in (200, 421, 500, 503):
            assert _read(status, **{name: "1"}).is_leaving, name
        assert not _read(200, **{name: "0"}).is_leaving
    assert not _read(200).is_leaving


def a_rest_that_cannot_be_read_is_a_short_one() -> None:
    """Guards against a wish for rest that is passed over for its form."""
    listener = signals.SignalReporter(clock=ManualClock(5))
    told = []
    listener.submit = told.append
    sender = signals.SignalOrigin(server_id="s1", incarnation="s1@3")
    listener.report(sender, _read(Retry_After="soon"), may_lift_limit=False)
    (rest,) = told
    assert (rest.server_id, rest.incarnation) == ("s1", "s1@3")
    assert rest.rest_ms == signals.DEFAULT_REST_MS


def what_was_not_sent_is_placed_anew_and_costs_nothing() -> None:
    """Guards against a retry spent, or a call ended, for what was not sent."""
    core = Core()
    for name in ("release", "confirm"):
        core.arrive(name, name)
        first = core.dispatch()
        tokens = core.world.target_budgets[routed_core.SERVICE].tokens
        _rest(core, first.server_id)
        core.fail(first, inputs.FailurePhase.CONNECT, WITHHELD)
        second = core.dispatch()
        assert second.server_id != first.server_id
        request = core.world.requests[name]
        assert (request.attempts, request.possible_runs) == (1, 1)
        budget = core.world.target_budgets[routed_core.SERVICE]
        assert budget.tokens == tokens
        core.answer(second)
        core.wait(3_000)


def a_word_that_names_no_start_ends_with_the_one_it_met() -> None:
    """Guards against leaving that outlives every start of a server."""
    core = Core()
    core.tell(server_inputs.ServerLeaving, "x")
    _list(core)
    assert _leaves(core)
    _list(core, incarnation=STARTED_AGAIN)
    assert not _leaves(core)


def a_server_whose_starts_have_no_names_comes_back_with_its_entry() -> None:
    """Guards against one word that keeps a server from service for good."""
    core = Core()
    _list(core, incarnation="")
    core.tell(server_inputs.ServerLeaving, "x")
    assert _leaves(core)
    core.tell_named(server_inputs.ServerListed, server_id="x", gone=True)
    _list(core, incarnation="")
    assert not _leaves(core)


def who_arrives_as_a_rest_ends_is_not_refused_for_the_wait() -> None:
    """Guards against a rest taken for the time that a turn takes."""
    core = Core()
    _rest_all(core, 1_000)
    for number in range(5):
        core.arrive("release", f"r{number}", deadline_ms=3_000)
    core.now_ms += 1_000
    core.arrive("release", "after", deadline_ms=3_000)
    assert len(core.find(effects.Dispatch)) == 6, core.made


def a_report_of_a_draining_server_says_that_it_leaves() -> None:
    """Guards against a state in reports that nobody reads."""
    wire_format = servers.ServerFormat(lambda target: target)
    states = {'"draining"': True, '"ready"': False, "7": False, "null": False}
    for state, is_leaving in states.items():
        body = b'{"running": 1, "state": %s}' % state.encode()
        assert wire_format.read_load(body, "x").leaving is is_leaving, state
