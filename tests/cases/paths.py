"""Paths to backend servers, as the core treats them."""

from __future__ import annotations

from cases import routed_core
from cases.routed_core import Core
from godwittack.core import inputs, server_inputs

CONNECT = inputs.FailurePhase.CONNECT
SENT = inputs.FailurePhase.SENT
ENDED = inputs.FailureCause.ENDED
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
    for sent in core.find(routed_core.effects.Dispatch):
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
