"""Rate limits that servers advertise for all daemons together."""

from __future__ import annotations

import random

from result import Err, Ok

from cases import routed_core
from godwittack.backend import connection
from godwittack.core import effects, inputs, server_inputs, work
from godwittack.limit import advertised
from godwittack.platform import servers

WINDOW_MS = 4_000
SENT = inputs.FailurePhase.SENT
DECLINED = inputs.FailurePhase.DECLINED
REFUSED = inputs.FailureCause.REFUSED


def _max_allowed(per_s: float) -> float:
    return 1.5 * per_s * WINDOW_MS / 1000 + 5


def _max_in_window(times_ms: list[int]) -> int:
    max_count = first = 0
    for last, at_ms in enumerate(times_ms):
        while times_ms[first] <= at_ms - WINDOW_MS:
            first += 1
        max_count = max(max_count, last - first + 1)
    return max_count


def _play(
    rng: random.Random,
    *,
    daemons: int,
    per_s: float,
    load_per_s: float,
    pauses: float = 0.0,
) -> list[int]:
    """Returns when daemons with differing views send requests to a server."""
    names = [f"d{n}" for n in range(daemons)]
    views = {
        name: [n for n in names if n == name or rng.random() < 0.98]
        for name in names
    }
    limits = {}
    for name in names:
        limits[name] = advertised.AdvertisedLimit(per_s=per_s, refilled_at_ms=0)
        limits[name].assign_share(
            server_id="s", own_daemon=name, daemons=views[name]
        )
    sent = []
    at_ms = 1.0
    while at_ms < 60_000:
        at_ms += rng.expovariate(load_per_s / 1000)
        if rng.random() < pauses:
            at_ms += 5_000
        limit = limits[rng.choice(names)]
        if limit.wait_ms(now_ms=int(at_ms)) <= 0:
            limit.take(now_ms=int(at_ms))
            sent.append(int(at_ms))
    return sent


def all_daemons_together_keep_to_a_limit() -> None:
    """Guards against a burst where each of many daemons sends one request."""
    rng = random.Random(11)
    for daemons in (1, 3, 9, 63, 195, 340):
        for per_s in (0.0, 0.1, 0.7, 3.7, 4.7, 20.0, 120.0):
            # During a pause, the allowance of every daemon fills up.
            sent = _play(
                rng,
                daemons=daemons,
                per_s=per_s,
                load_per_s=6 * per_s + 40,
                pauses=0.002,
            )
            assert _max_in_window(sent) <= _max_allowed(per_s), (
                daemons,
                per_s,
                _max_in_window(sent),
            )


def a_limit_is_used_where_there_is_load() -> None:
    """Guards against shares that daemons without requests leave unused."""
    rng = random.Random(12)
    for daemons in (1, 9, 48):
        sent = _play(rng, daemons=daemons, per_s=4.7, load_per_s=400)
        assert len(sent) >= 0.6 * 4.7 * 60, (daemons, len(sent))


def _echo_limit(core, server, per_s, **fields) -> None:
    core.tell_named(
        server_inputs.RateLimitEchoed,
        server_id=server,
        limit_per_s=per_s,
        **fields,
    )


def _sent_to(core, name: str, count: int) -> list[str]:
    servers_used = []
    for number in range(count):
        core.now_ms += 10
        core.arrive(name, f"{name}{core.now_ms}{number}")
        for sent in core.find(effects.Dispatch):
            servers_used.append(sent.server_id)
            core.answer(sent)
    return servers_used


def requests_over_the_limit_go_elsewhere() -> None:
    """Guards against more requests than an overloaded server advertises."""
    core = routed_core.Core()
    _echo_limit(core, "s1", 2.0)
    used = _sent_to(core, "release", 400)
    assert len(used) == 400
    # Two a second for four seconds.
    assert 6 <= used.count("s1") <= 9, used.count("s1")


def with_limits_everywhere_callers_get_a_retry_time() -> None:
    """Guards against queueing requests that can't be served."""
    core = routed_core.Core()
    for server in ("s1", "s2"):
        _echo_limit(core, server, 0.5)
    core.arrive("release")
    refused = core.refusal()
    assert refused.status == 503
    assert refused.outcome is effects.Outcome.NOT_RUN
    assert 100 <= refused.retry_after_ms <= 2_000, refused
    core.now_ms += refused.retry_after_ms
    core.arrive("release", "again")
    assert core.dispatch()


def a_retry_counts_against_the_limit() -> None:
    """Guards against retries in addition to a limit."""
    core = routed_core.Core()
    for server in ("s1", "s2"):
        _echo_limit(core, server, 1.0)
    core.now_ms += 1_000
    core.arrive("release")
    first = core.dispatch()
    core.fail(first, DECLINED, REFUSED)
    second = core.dispatch()
    assert second.server_id != first.server_id
    core.answer(second)
    core.arrive("release", "next")
    assert not core.find(effects.Dispatch), core.last_effects


def a_daemon_keeps_to_a_limit_received_from_a_peer() -> None:
    """Guards against daemons without a recent answer of the server."""
    core = routed_core.Core()
    core.tell(inputs.MembersChanged, tuple(f"d{n}" for n in range(40)))
    peer_limit = {
        "server_id": "s1",
        "incarnation": "s1",
        "limit_per_s": 4.0,
        "age_ms": 20,
    }
    core.tell_named(server_inputs.RateLimitTold, **peer_limit)
    assert not core.find(effects.TellRateLimit)
    assert _sent_to(core, "release", 100).count("s1") <= 1
    core.tell_named(
        server_inputs.RateLimitTold, **{**peer_limit, "limit_per_s": None}
    )
    assert _sent_to(core, "release", 100).count("s1") > 20


def the_newest_limit_of_a_server_counts() -> None:
    """Guards against a late update that restores an old limit."""
    core = routed_core.Core()
    _echo_limit(core, "s1", 4.0)
    (announced,) = core.find(effects.TellRateLimit)
    assert (announced.server_id, announced.limit_per_s) == ("s1", 4.0)
    core.now_ms += 100
    _echo_limit(core, "s1", None)
    assert core.find(effects.TellRateLimit)[0].limit_per_s is None
    core.now_ms += 100
    late = {"server_id": "s1", "limit_per_s": 4.0, "age_ms": 150}
    core.tell_named(server_inputs.RateLimitTold, incarnation="s1", **late)
    assert core.world.servers["s1"].rate_limit is None


def a_limit_ends_with_the_incarnation_that_advertised_it() -> None:
    """Guards against a limit of a process that has ended."""
    core = routed_core.Core()
    core.list_server("e9", routed_core.ENGINES, incarnation="e9@1")
    _echo_limit(core, "e9", 1.0)
    core.list_server("e9", routed_core.ENGINES, incarnation="e9@2")
    assert core.world.servers["e9"].rate_limit is None
    core.now_ms += 10
    core.tell_named(
        server_inputs.RateLimitTold,
        server_id="e9",
        incarnation="e9@1",
        limit_per_s=1.0,
        age_ms=0,
    )
    assert core.world.servers["e9"].rate_limit is None


def a_limit_is_announced_again_while_it_holds() -> None:
    """Guards against a daemon that missed the only update on a limit."""
    core = routed_core.Core()
    announcements = 0
    for _ in range(50):
        core.now_ms += 100
        _echo_limit(core, "s1", 4.0)
        announcements += len(core.find(effects.TellRateLimit))
    assert 4 <= announcements <= 6, announcements


def daemons_that_serve_no_callers_have_no_share() -> None:
    """Guards against shares of a limit that nobody uses."""
    core = routed_core.Core()
    everyone = tuple(sorted([f"d{n}" for n in range(200)] + ["d"]))
    core.tell(inputs.MembersChanged, everyone, ("d", "d1"))
    _echo_limit(core, "s1", 4.0)
    assert core.world.servers["s1"].rate_limit.share_per_s == 2.0
    core.tell(inputs.MembersChanged, everyone, ("d1", "d2"))
    assert core.world.servers["s1"].rate_limit.share_per_s == 0.0
    assert "s1" not in _sent_to(core, "release", 50)


def a_daemon_that_has_met_no_peer_has_no_share() -> None:
    """Guards against new daemons that each use the whole limit."""
    core = routed_core.Core()
    core.tell(inputs.MembersChanged, ("d",), ("d",), 4)
    _echo_limit(core, "s1", 4.0)
    assert core.world.servers["s1"].rate_limit.share_per_s == 0.0
    core.tell(inputs.MembersChanged, ("d", "d1"), ("d", "d1"), 4)
    assert core.world.servers["s1"].rate_limit.share_per_s == 2.0
    # The other daemons are gone: the remaining one has the whole limit.
    core.tell(inputs.MembersChanged, ("d",), ("d",), 4)
    assert core.world.servers["s1"].rate_limit.share_per_s == 4.0


def limits_that_cannot_be_read_change_nothing() -> None:
    """Guards against an exception or a limit by an invalid number."""
    server_format = servers.ServerFormat(lambda target: target)

    def read(*values: str, name: str = "Server-Limit"):
        headers = [work.Header(name, value) for value in values]
        return server_format.read_signals(
            connection.Reply(200, headers)
        ).rate_limit

    assert read() == Ok(None)
    valid = {"4.7": 4.7, " 4 ": 4.0, "0": 0.0, "0.25": 0.25, "1000000": 1e6}
    for text, value in valid.items():
        assert read(text) == Ok(value), text
    assert read("4.7", name="X-GODWITTACK-Server-limit") == Ok(4.7)
    assert read("3", "3") == Ok(3.0)
    bad = ("", "-1", "nan", "NaN", "inf", "1e309", "4,7", "4.7.1", ".", "+4")
    for text in (*bad, "9" * 400, "\u0664", "4 7"):
        assert isinstance(read(text), Err), text
    assert isinstance(read("3", "4"), Err)
