"""Paths to backend servers, as the core treats them."""

from __future__ import annotations

from cases import routed_core
from cases.routed_core import Core
from godwittack.core import effects, inputs, server_inputs

CONNECT = inputs.FailurePhase.CONNECT
SENT = inputs.FailurePhase.SENT
ENDED = inputs.FailureCause.ENDED
RELAY = inputs.FailureCause.RELAY
DECLINED = inputs.FailurePhase.DECLINED
PEERS = ("d", "p1", "p2")


def fleet_core(**fields) -> Core:
    """Returns the core of a daemon with two live peers."""
    core = Core(**fields)
    core.tell(inputs.MembersChanged, PEERS, (), len(PEERS))
    return core


def a_refused_connection_is_no_crash_while_others_may_reach_a_server() -> None:
    """Guards against a cut path that is recorded as crashes of servers."""
    core = fleet_core()
    core.arrive("release", fingerprint="f")
    sent = core.dispatch()
    core.fail(sent, SENT)
    result = core.tell(
        server_inputs.ProbeAnswered, sent.server_id, alive=False, ended=True
    )
    names = [e.name for e in result if hasattr(e, "name")]
    assert "server_crashed" not in names, names
    assert not core.world.quarantine.crashes("desk/f")


def a_refused_connection_keeps_the_record_of_a_cache() -> None:
    """Guards against a cut path that erases what servers have cached."""
    core = fleet_core()
    core.arrive("long")
    sent = core.dispatch()
    server = core.world.servers[sent.server_id]
    server.cache.record(7, cached_at_ms=core.now_ms, max_keys=10)
    core.fail(sent, CONNECT, ENDED)
    assert server.cache.cached_at_ms(7) is not None


def reports_of_others_do_not_restore_this_daemons_path() -> None:
    """Guards against callers' requests as trials of a path that is cut."""
    core = fleet_core()
    core.tell(server_inputs.ProbeAnswered, "e1", alive=False)
    core.tell(server_inputs.ProbeAnswered, "e2", alive=False)
    core.wait(500)
    for name in ("e1", "e2"):
        core.tell_named(
            server_inputs.LoadReported,
            server_id=name,
            incarnation=name,
            weights_version="1",
            running=0,
            waiting=0,
            waiting_tokens=0,
            prefill_us_per_token=0,
            slots=16,
        )
    core.wait(1_500)
    core.arrive("short")
    for sent in core.find(effects.Dispatch):
        assert getattr(sent, "relay", ""), sent


def requests_pass_through_another_daemon_where_the_own_path_is_cut() -> None:
    """Guards against a daemon whose own path alone decides on its callers."""
    core = fleet_core()
    for kind, name in (("e", "long"), ("s", "release")):
        for number in (1, 2):
            core.tell(
                server_inputs.ProbeAnswered, f"{kind}{number}", alive=False
            )
        core.arrive(name, name)
        assert getattr(core.dispatch(), "relay", "") in PEERS[1:]


def _lose(core: Core, *names: str, is_refused: bool = False) -> list:
    """Lets new connections to servers fail; returns all effects."""
    collected = []
    for name in names:
        collected += core.tell(
            server_inputs.ProbeAnswered,
            name,
            alive=False,
            ended=is_refused,
            fresh_connection=True,
        )
    return collected


def _answer(core: Core, name: str, daemon: str, verdict: str, **fields) -> list:
    """Lets a daemon answer whether it reaches a server."""
    return core.tell_named(
        server_inputs.PathAnswered,
        server_id=name,
        daemon=daemon,
        verdict=server_inputs.PathVerdict(verdict),
        **fields,
    )


def _restore(core: Core, name: str, *, fresh_connection: bool = True) -> None:
    core.tell(
        server_inputs.ProbeAnswered,
        name,
        alive=True,
        fresh_connection=fresh_connection,
    )


def _broken_call(core: Core, number: int = 0):
    """Returns a call whose connection broke after it was sent."""
    core.arrive("confirm", f"broken{number}", fingerprint="f")
    sent = core.dispatch()
    core.fail(sent, SENT)
    return sent


def _events(found: list, name: str) -> list:
    return [e for e in found if isinstance(e, effects.Event) and e.name == name]


def a_daemon_that_declines_to_pass_on_costs_nothing() -> None:
    """Guards against requests that are lost or counted at a busy relay."""
    core = fleet_core(servers=1, retry_burst=0.0, retry_ratio=0.0)
    _lose(core, "s1")
    core.arrive("confirm")
    first = core.dispatch()
    core.fail(first, DECLINED, RELAY)
    second = core.dispatch()
    assert {first.relay, second.relay} == set(PEERS[1:])
    core.fail(second, DECLINED, RELAY)
    refusal = core.refusal()
    assert refusal.status == 503, refusal
    assert refusal.outcome is effects.Outcome.NOT_RUN
    assert refusal.retry_after_ms > 0


def a_call_that_broke_behind_a_relay_may_have_run() -> None:
    """Guards against calls that run twice, or ran although refused."""
    core = fleet_core()
    _lose(core, "s1", "s2")
    core.arrive("confirm")
    core.fail(core.dispatch(), SENT, RELAY)
    refusal = core.refusal()
    assert (refusal.status, refusal.outcome) == (
        502,
        effects.Outcome.UNKNOWN,
    ), refusal


def a_broken_relay_is_no_crash_of_a_server() -> None:
    """Guards against lost daemons that are recorded as crashes of servers."""
    core = fleet_core()
    _lose(core, "s1", "s2")
    core.arrive("release", fingerprint="f")
    sent = core.dispatch()
    core.fail(sent, SENT, RELAY)
    assert not core.world.servers[sent.server_id].possible_crashes
    assert core.dispatch().relay != sent.relay


def a_crash_counts_once_no_daemon_finds_the_server_alive() -> None:
    """Guards against requests that crash servers without being recorded."""
    core = fleet_core()
    sent = _broken_call(core)
    asked = _lose(core, sent.server_id, is_refused=True)
    assert [e for e in asked if isinstance(e, effects.AskPaths)]
    first = _answer(core, sent.server_id, "p1", "ended", reaches_others=True)
    assert not _events(first, "server_crashed")
    last = _answer(core, sent.server_id, "p2", "ended", reaches_others=True)
    assert _events(last, "server_crashed")


def daemons_that_are_cut_off_themselves_are_not_believed() -> None:
    """Guards against crashes confirmed by daemons that reach no server."""
    core = fleet_core()
    sent = _broken_call(core)
    _lose(core, sent.server_id, is_refused=True)
    for peer in PEERS[1:]:
        found = _answer(core, sent.server_id, peer, "ended")
        assert not _events(found, "server_crashed"), peer


def an_undecided_end_is_asked_about_again() -> None:
    """Guards against ends known only when the entries lapse."""
    core = fleet_core()
    sent = _broken_call(core)
    core.now_ms += 5
    _lose(core, sent.server_id, is_refused=True)
    for peer in PEERS[1:]:
        _answer(core, sent.server_id, peer, "ended")
    asked = [e for e in core.wait(1_500) if isinstance(e, effects.AskPaths)]
    assert asked, "not asked again"
    for peer in PEERS[1:]:
        found = _answer(
            core, sent.server_id, peer, "ended", reaches_others=True
        )
    assert _events(found, "server_crashed")
    later = [e for e in core.wait(3_000) if isinstance(e, effects.AskPaths)]
    assert not later, later


def one_daemon_that_finds_a_server_alive_outweighs_all_others() -> None:
    """Guards against crashes recorded while all daemons but one are cut off."""
    core = fleet_core()
    sent = _broken_call(core)
    _lose(core, sent.server_id, is_refused=True)
    server = core.world.servers[sent.server_id]
    found = _answer(
        core, sent.server_id, "p1", "ended", reaches_others=True
    ) + _answer(
        core, sent.server_id, "p2", "alive", incarnation=server.incarnation
    )
    found += core.wait(1_500)
    _restore(core, sent.server_id)
    assert not _events(found + core.last_effects, "server_crashed")
    assert not server.possible_crashes


def a_process_that_restarts_at_once_counts_as_ended() -> None:
    """Guards against crashes hidden by the quick restart of a server."""
    core = fleet_core()
    sent = _broken_call(core)
    _lose(core, sent.server_id, is_refused=True)
    _answer(core, sent.server_id, "p1", "alive", incarnation=sent.server_id)
    core.wait(100)
    _restore(core, sent.server_id)
    assert _events(core.last_effects, "server_crashed")


def a_named_incarnation_that_answers_has_not_restarted() -> None:
    """Guards against crashes counted where a path is refused for a moment."""
    core = fleet_core(servers=0)
    named = "x@5"
    core.list_server("x", routed_core.SERVICE, incarnation=named)
    sent = _broken_call(core)
    _lose(core, sent.server_id, is_refused=True)
    core.wait(100)
    core.tell(
        server_inputs.ProbeAnswered,
        "x",
        alive=True,
        incarnation=named,
        fresh_connection=True,
    )
    assert not _events(core.last_effects, "server_crashed")


def a_broken_probe_is_no_lost_path() -> None:
    """Guards against calls refused since one connection broke."""
    core = fleet_core(servers=1)
    found = core.tell(
        server_inputs.ProbeAnswered, "s1", alive=False, broken=True
    )
    assert not _events(found, "path_lost")
    (probe,) = [e for e in found if isinstance(e, effects.Probe)]
    assert probe.fresh_connection
    _restore(core, "s1")
    core.arrive("release")
    assert not core.dispatch().relay


def all_daemons_are_asked_while_those_asked_are_cut_off() -> None:
    """Guards against a question that ends with the first daemons asked."""
    core = Core(servers=1)
    peers = tuple(f"p{number}" for number in range(7))
    core.tell(inputs.MembersChanged, ("d", *peers), (), 8)
    core.arrive("release")
    questions = core.fail(core.dispatch(), CONNECT, ENDED)
    asked: list[str] = []
    while found := [e for e in questions if isinstance(e, effects.AskPaths)]:
        questions = []
        for daemon in found[0].daemons:
            asked.append(daemon)
            questions += _answer(core, "s1", daemon, "ended")
    assert sorted(asked) == sorted(peers), asked


def an_open_connection_does_not_restore_a_path() -> None:
    """Guards against open connections that live on where none can be opened."""
    core = fleet_core(servers=1)
    _lose(core, "s1")
    _restore(core, "s1", fresh_connection=False)
    core.arrive("release", "r1")
    assert core.dispatch().relay
    _restore(core, "s1")
    core.arrive("release", "r2")
    assert not core.dispatch().relay


def a_restored_path_to_a_live_server_carries_all_requests_at_once() -> None:
    """Guards against refusals for seconds after a cut has healed."""
    core = fleet_core(servers=1)
    _lose(core, "s1")
    _answer(core, "s1", "p1", "alive", incarnation="s1")
    core.wait(8_000)
    _lose(core, "s1")
    _restore(core, "s1")
    for number in range(5):
        core.arrive("release", f"r{number}")
        assert not core.dispatch().relay


def a_lost_path_is_probed_twice_a_second_while_its_server_lives() -> None:
    """Guards against intervals that double while only the path is lost."""
    core = fleet_core(servers=1)
    _lose(core, "s1")
    _answer(core, "s1", "p1", "alive", incarnation="s1")
    probes = 0
    for _ in range(20):
        found = [e for e in core.wait(500) if isinstance(e, effects.Probe)]
        probes += sum(e.server_id == "s1" for e in found)
        assert all(e.fresh_connection for e in found)
        _lose(core, "s1")
    assert 15 <= probes <= 21, probes


def a_daemon_that_is_cut_off_makes_no_other_doubt_a_server() -> None:
    """Guards against a cut-off daemon that makes all others probe servers."""
    core = fleet_core(servers=3)
    _lose(core, "e1")
    _answer(core, "e1", "p1", "alive", incarnation="e1")
    found = _lose(core, "e2", "e3", "s1")
    assert not [e for e in found if isinstance(e, effects.Doubt)]


def a_daemon_without_a_path_passes_nothing_on() -> None:
    """Guards against relays that told that they are cut off as well."""
    core = fleet_core(servers=1)
    _lose(core, "s1")
    core.tell(server_inputs.PathsTold, "p1", ("s1",))
    for number in range(20):
        core.arrive("release", f"r{number}")
        assert core.dispatch().relay == "p2"
    core.tell(server_inputs.PathsTold, "p1", ())
    relays = set()
    for number in range(20, 40):
        core.arrive("release", f"r{number}")
        relays.add(core.dispatch().relay)
    assert relays == set(PEERS[1:])


def daemons_of_the_own_domain_are_used_while_most_of_them_reach_it() -> None:
    """Guards against a few daemons of a domain that carry all its requests."""
    core = Core(servers=1)
    near = ("d", "n1", "n2", "n3")
    live = (*near, "f1", "f2", "f3")
    core.tell(inputs.MembersChanged, live, (), 7, near)
    _lose(core, "s1")

    def used(prefix: str) -> set[str]:
        relays = set()
        for number in range(60):
            core.arrive("release", f"{prefix}{number}")
            relays.add(core.dispatch().relay)
        return relays

    assert used("a") == set(near[1:])
    core.tell(server_inputs.PathsTold, "n1", ("s1",))
    core.tell(server_inputs.PathsTold, "n2", ("s1",))
    assert used("b") == {"n3", "f1", "f2", "f3"}


def a_silent_relay_is_left_for_another() -> None:
    """Guards against requests held by a relay that lost its own path."""
    core = fleet_core()
    _lose(core, "e1", "e2")
    core.arrive("long")
    sent = core.dispatch()
    questions = [e for e in core.wait(400) if isinstance(e, effects.AskPaths)]
    assert (sent.server_id, (sent.relay,)) in [
        (e.server_id, e.daemons) for e in questions
    ]
    _answer(core, sent.server_id, sent.relay, "silent")
    moved = core.dispatch()
    assert (moved.server_id, moved.relay) != (sent.server_id, sent.relay)
    core.open(moved)
    core.frames(moved, 1)
    cancelled = [e.attempt_id for e in core.find(effects.CancelAttempt)]
    assert cancelled == [sent.attempt_id], core.last_effects


def a_relay_that_is_lost_passes_nothing_on_to_any_server() -> None:
    """Guards against requests sent to a dead daemon once for each server."""
    core = fleet_core(servers=3)
    _lose(core, "s1", "s2", "s3")
    core.arrive("confirm")
    lost = core.dispatch()
    core.fail(lost, CONNECT, RELAY)
    for number in range(20):
        core.arrive("release", f"r{number}")
        assert core.dispatch().relay != lost.relay


def a_lone_daemon_believes_its_own_path() -> None:
    """Guards against crashes that are never recorded by a single daemon."""
    core = Core()
    sent = _broken_call(core)
    found = _lose(core, sent.server_id, is_refused=True)
    assert _events(found, "server_crashed")


def connections_of_a_lost_path_are_not_used_after_it_heals() -> None:
    """Guards against calls lost on connections that were reset in a cut."""
    core = fleet_core()
    found = _lose(core, "s1")
    dropped = [e for e in found if isinstance(e, effects.DropConnections)]
    assert [e.server_id for e in dropped] == ["s1"]
