"""Servers that leave or request a rest, as the core and backend treat them."""

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

INCARNATION = "x@5"
NEXT_INCARNATION = "x@9"
DAY_MS = 86_400_000
DECLINED = inputs.FailurePhase.DECLINED
REFUSED = inputs.FailureCause.REFUSED
WITHHELD = inputs.FailureCause.WITHHELD


def _list(core: Core, **fields) -> None:
    entry = {"address": "10.0.0.9:1", "incarnation": INCARNATION, **fields}
    core.list_server("x", routed_core.SERVICE, **entry)


def _leaves(core: Core) -> bool:
    return core.world.servers["x"].leaving


def an_entry_that_goes_and_comes_back_keeps_a_server_leaving() -> None:
    """Guards against leaving that is forgotten with a server's entry."""
    core = Core()
    _list(core)
    core.tell(server_inputs.ServerLeaving, "x")
    core.tell_named(server_inputs.ServerListed, server_id="x", gone=True)
    _list(core)
    assert _leaves(core)


def another_address_of_the_same_incarnation_keeps_a_server_leaving() -> None:
    """Guards against leaving that is forgotten with an address."""
    core = Core()
    _list(core)
    core.tell(server_inputs.ServerLeaving, "x")
    _list(core, address="10.0.0.9:2")
    assert _leaves(core)


def leaving_of_an_earlier_incarnation_does_not_affect_the_next_one() -> None:
    """Guards against late updates that keep a restarted server unused."""
    core = Core()
    _list(core)
    _list(core, incarnation=NEXT_INCARNATION)
    core.tell(server_inputs.ServerLeaving, "x", INCARNATION)
    assert not _leaves(core)


def leaving_reported_before_the_entry_is_listed_counts() -> None:
    """Guards against updates that are lost if they precede the entry."""
    core = Core()
    core.tell(server_inputs.ServerLeaving, "x", INCARNATION)
    _list(core)
    assert _leaves(core)


def updates_on_leaving_name_the_incarnation_that_leaves() -> None:
    """Guards against updates that mix up two incarnations of a server."""
    earlier = pending.PendingNews(leaving={"x": INCARNATION})
    later = pending.PendingNews(leaving={"x": NEXT_INCARNATION})
    message = wire.NewsWriter().write(earlier.merged_with(later), now_ms=0)
    (leaving,) = message.leaving
    assert (leaving.server_id, leaving.incarnation) == ("x", NEXT_INCARNATION)


def _request_rest(
    core: Core, server: str, rest_ms: int = 3_000, **fields
) -> None:
    core.tell_named(
        server_inputs.RestAsked, server_id=server, rest_ms=rest_ms, **fields
    )


def _request_rest_of_all(core: Core, rest_ms: int) -> None:
    for server in ("s1", "s2"):
        _request_rest(core, server, rest_ms)


def a_resting_server_gets_nothing_until_its_rest_ends() -> None:
    """Guards against a rest that a later, shorter one cuts short."""
    core = Core()
    rest_until_ms = core.now_ms + 3_000
    _request_rest(core, "s1", 3_000)
    core.now_ms += 500
    _request_rest(core, "s1", 1_000)
    used_servers = set()
    for number in range(25):
        core.now_ms += 100
        core.tell(inputs.Tick)
        core.arrive("release", f"r{number}")
        used_servers.add(core.dispatch().server_id)
        core.answer(core.dispatch())
        if core.now_ms < rest_until_ms:
            assert used_servers == {"s2"}, core.now_ms
    core.wait(200)
    for number in range(8):
        core.arrive("release", f"after{number}")
        used_servers.add(core.dispatch().server_id)
    assert used_servers == {"s1", "s2"}


def a_rest_is_no_failure_of_a_server() -> None:
    """Guards against a server that is ejected for declining a call."""
    core = Core()
    core.arrive("release")
    sent = core.dispatch()
    _request_rest(core, sent.server_id)
    core.fail(sent, DECLINED, REFUSED)
    row = core.world.servers[sent.server_id]
    assert (
        row.consecutive_failures,
        row.ejected_until_ms,
        row.possible_crashes,
    ) == (0, 0, [])
    assert core.dispatch().server_id != sent.server_id


def a_rest_holds_while_its_entry_is_away() -> None:
    """Guards against a rest that is forgotten with a server's entry."""
    core = Core()
    _list(core)
    _request_rest(core, "x")
    core.tell_named(server_inputs.ServerListed, server_id="x", gone=True)
    _list(core)
    assert core.world.servers["x"].rest_until_ms == core.now_ms + 3_000


def a_new_incarnation_inherits_neither_rest_nor_leaving() -> None:
    """Guards against a restarted server that gets no work."""
    core = Core()
    _list(core)
    _request_rest(core, "x", 600_000)
    core.tell(server_inputs.ServerLeaving, "x", INCARNATION)
    _list(core, incarnation=NEXT_INCARNATION)
    row = core.world.servers["x"]
    assert (row.rest_until_ms, row.leaving) == (0, False)
    _request_rest(core, "x", incarnation=INCARNATION)
    assert row.rest_until_ms == 0


def leaving_of_a_later_incarnation_counts_once_it_is_listed() -> None:
    """Guards against leaving that is undone by an entry that comes late."""
    core = Core()
    _list(core)
    core.tell(server_inputs.ServerLeaving, "x", NEXT_INCARNATION)
    _list(core, incarnation=NEXT_INCARNATION)
    assert _leaves(core)


def a_request_waits_for_a_rest_that_ends_before_its_deadline() -> None:
    """Guards against callers refused for a rest that is nearly over."""
    core = Core()
    _request_rest_of_all(core, 1_000)
    core.arrive("release", deadline_ms=3_000)
    assert not core.find(effects.Refuse) and not core.find(effects.Dispatch)
    assert not [e for e in core.wait(900) if isinstance(e, effects.Dispatch)]
    core.wait(150)
    assert core.dispatch()


def a_rest_that_is_made_longer_ends_the_wait() -> None:
    """Guards against requests queued until their deadline in vain."""
    core = Core()
    _request_rest_of_all(core, 1_000)
    core.arrive("release", deadline_ms=2_000)
    _request_rest_of_all(core, 5_000)
    core.wait(50)
    assert core.refusal().retry_after_ms >= 4_900


def no_more_requests_wait_for_a_rest_than_the_servers_have_slots() -> None:
    """Guards against too many requests at the moment when a rest ends."""
    core = Core()
    _request_rest_of_all(core, 1_000)
    refused = 0
    for number in range(100):
        core.arrive("release", f"r{number}", deadline_ms=3_000)
        refused += len(core.find(effects.Refuse))
    assert refused == 100 - 2 * 16


def retry_times_are_spread_after_the_shortest_rest() -> None:
    """Guards against callers that retry too early, or all at once."""
    core = Core()
    _request_rest(core, "s1", 9_000)
    _request_rest(core, "s2", 4_000)
    retry_times_ms = []
    for number in range(50):
        core.arrive("release", f"r{number}", deadline_ms=3_000)
        refused = core.refusal()
        assert refused.outcome is effects.Outcome.NOT_RUN
        retry_times_ms.append(refused.retry_after_ms)
    assert min(retry_times_ms) >= 4_000 and max(retry_times_ms) < 4_500
    assert max(retry_times_ms) - min(retry_times_ms) > 250


def no_retry_is_spent_where_all_servers_rest() -> None:
    """Guards against a retry budget used up by retries that must fail."""
    core = Core()
    core.arrive("release", deadline_ms=3_000)
    sent = core.dispatch()
    tokens_before = core.world.target_budgets[routed_core.SERVICE].tokens
    _request_rest_of_all(core, 9_000)
    core.fail(sent, DECLINED, REFUSED)
    assert core.refusal().retry_after_ms >= 9_000
    assert (
        core.world.target_budgets[routed_core.SERVICE].tokens == tokens_before
    )


def a_rest_does_not_count_in_the_dispatch_interval() -> None:
    """Guards against estimated waits so long that all requests are refused."""
    core = Core()
    _request_rest_of_all(core, 1_000)
    core.arrive("release", deadline_ms=3_000)
    core.wait(1_050)
    (interval,) = core.world.dispatch_pacing.values()
    assert interval.smoothed_ms == 0


def notices_kept_of_servers_are_bounded() -> None:
    """Guards against memory that grows with each server that leaves."""
    core = Core()
    for number in range(availability.MAX_NOTICES + 10):
        core.tell(server_inputs.ServerLeaving, f"gone{number}", "")
    _request_rest(core, "s1")
    assert len(core.world.availability_notices) == availability.MAX_NOTICES
    core.wait(3_100)
    assert "s1" not in core.world.availability_notices
    assert not core.world.resting_servers


def _read(status: int = 503, **header_values: str) -> signals.ServerSignals:
    headers = [
        work.Header(name.replace("_", "-"), value)
        for name, value in header_values.items()
    ]
    reply = connection.Reply(status=status, headers=headers)
    return servers.ServerFormat(lambda target: target).read_signals(reply)


def each_form_of_a_requested_rest_is_read() -> None:
    """Guards against a Retry-After form that is not read."""
    valid = {"3": 3_000, "0.25": 250, " 2 ": 2_000, "0": 0, "99999999": DAY_MS}
    for text, rest_ms in valid.items():
        assert _read(Retry_After=text).rest == Ok(rest_ms), text
    until, sent = (
        "Fri, 04 Dec 2026 10:00:07 GMT",
        "Fri, 04 Dec 2026 10:00:02 GMT",
    )
    assert _read(Retry_After=until, Date=sent).rest == Ok(5_000)
    assert _read(Retry_After=sent, Date=until).rest == Ok(0)
    invalid_date = "Fri, 04 Dec 99999 10:00:07 GMT"
    assert isinstance(_read(Retry_After=invalid_date, Date=sent).rest, Err)
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
    """Guards against a header that is overlooked for its spelling."""
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
    """Guards against a requested rest that is ignored for its format."""
    reporter = signals.SignalReporter(clock=ManualClock(5))
    submitted = []
    reporter.submit = submitted.append
    sender = signals.SignalOrigin(server_id="s1", incarnation="s1@3")
    reporter.report(sender, _read(Retry_After="soon"), may_lift_limit=False)
    (rest,) = submitted
    assert (rest.server_id, rest.incarnation) == ("s1", "s1@3")
    assert rest.rest_ms == signals.DEFAULT_REST_MS


def a_withheld_request_is_placed_again_at_no_cost() -> None:
    """Guards against a retry spent, or a call ended, for an unsent attempt."""
    core = Core()
    for name in ("release", "confirm"):
        core.arrive(name, name)
        first = core.dispatch()
        tokens = core.world.target_budgets[routed_core.SERVICE].tokens
        _request_rest(core, first.server_id)
        core.fail(first, inputs.FailurePhase.CONNECT, WITHHELD)
        second = core.dispatch()
        assert second.server_id != first.server_id
        request = core.world.requests[name]
        assert (request.attempts, request.possible_runs) == (1, 1)
        budget = core.world.target_budgets[routed_core.SERVICE]
        assert budget.tokens == tokens
        core.answer(second)
        core.wait(3_000)


def a_notice_without_an_incarnation_applies_to_one_alone() -> None:
    """Guards against leaving that outlives the restarts of a server."""
    core = Core()
    core.tell(server_inputs.ServerLeaving, "x")
    _list(core)
    assert _leaves(core)
    _list(core, incarnation=NEXT_INCARNATION)
    assert not _leaves(core)


def a_server_without_incarnation_ids_comes_back_with_its_entry() -> None:
    """Guards against one notice that keeps a server unused forever."""
    core = Core()
    _list(core, incarnation="")
    core.tell(server_inputs.ServerLeaving, "x")
    assert _leaves(core)
    core.tell_named(server_inputs.ServerListed, server_id="x", gone=True)
    _list(core, incarnation="")
    assert not _leaves(core)


def a_request_that_arrives_as_a_rest_ends_is_not_refused() -> None:
    """Guards against counting a rest as an interval between dispatches."""
    core = Core()
    _request_rest_of_all(core, 1_000)
    for number in range(5):
        core.arrive("release", f"r{number}", deadline_ms=3_000)
    core.now_ms += 1_000
    core.arrive("release", "after", deadline_ms=3_000)
    assert len(core.find(effects.Dispatch)) == 6, core.last_effects


def a_report_of_a_draining_server_counts_as_leaving() -> None:
    """Guards against a state in load reports that is not read."""
    wire_format = servers.ServerFormat(lambda target: target)
    states = {'"draining"': True, '"ready"': False, "7": False, "null": False}
    for state, is_leaving in states.items():
        body = b'{"running": 1, "state": %s}' % state.encode()
        assert wire_format.read_load(body, "x").leaving is is_leaving, state
