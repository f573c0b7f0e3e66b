"""Which requests are in quarantine, decided by the core."""

from __future__ import annotations

import random

from cases import routed_core
from godwittack.core import effects, inputs, quarantine, server_inputs

SENT = inputs.FailurePhase.SENT
CONNECT = inputs.FailurePhase.CONNECT
ENDED = inputs.FailureCause.ENDED
SERVERS = 8
# Shorter than the time in which a server's end explains a closed connection.
SOON_MS = 50


def _core(**fields) -> routed_core.Core:
    return routed_core.Core(servers=SERVERS, **fields)


def _crash(core: routed_core.Core, name: str = "short", *, content="f") -> None:
    """Sends a request whose server ends under it."""
    core.arrive(name, f"r{core.now_ms}", fingerprint=content)
    sent = core.dispatch()
    core.fail(sent, SENT)
    made = core.tell(
        server_inputs.ProbeAnswered, sent.server_id, alive=False, ended=True
    )
    core.tell_named(
        server_inputs.ServerListed, server_id=sent.server_id, gone=True
    )
    core.made = made
    core.now_ms += 1


def _told(core: routed_core.Core, kind: str = "crashes") -> tuple:
    return tuple(
        item
        for told in core.find(effects.TellCrashes)
        for item in getattr(told, kind)
    )


def _is_refused(core: routed_core.Core, name: str = "short", **fields) -> bool:
    core.arrive(name, f"q{core.now_ms}", **{"fingerprint": "f", **fields})
    core.now_ms += 1
    if core.find(effects.Dispatch):
        core.answer(core.dispatch(), 200)
        return False
    refused = core.refusal()
    assert refused.reason is effects.Reason.QUARANTINED, refused
    assert refused.status == 503, refused
    assert refused.outcome is effects.Outcome.NOT_RUN
    assert refused.retry_after_ms > 0
    return True


def one_crash_at_each_of_three_daemons_is_enough() -> None:
    """Guards against crashes counted by each daemon for itself."""
    cores = [_core() for _ in range(4)]
    crashes = []
    for number, core in enumerate(cores[:3]):
        for ended in range(1, number + 1):
            core.tell(server_inputs.ServerLeaving, f"e{ended}")
        _crash(core)
        crashes.extend(_told(core))
    assert len({crash.start for crash in crashes}) == 3, crashes
    for core in cores:
        core.tell(inputs.CrashesTold, tuple(crashes))
        assert _is_refused(core)


def news_of_crashes_in_any_order_leads_to_one_quarantine() -> None:
    """Guards against views that depend on the order in which news arrives."""
    for seed in range(200):
        rng = random.Random(seed)
        news = [
            quarantine.Crash(
                content=f"c{rng.randrange(4)}",
                start=f"s{rng.randrange(6)}",
                reporter="d",
                at_ms=rng.randrange(1_000),
            )
            for _ in range(20)
        ]
        views = []
        for _ in range(3):
            known = quarantine.Quarantine()
            heard = news + rng.sample(news, 5)
            rng.shuffle(heard)
            for crash in heard:
                known.add(crash)
            views.append(known)
        assert len({known.digest() for known in views}) == 1, seed
        expected = {
            content
            for content in {crash.content for crash in news}
            if len({c.start for c in news if c.content == content})
            >= quarantine.CRASHES_TO_QUARANTINE
        }
        assert len(views[0]) == len(expected), seed


def a_lost_answer_is_no_crash() -> None:
    """Guards against a quarantine by connections that broke alone."""
    core = _core()
    for number in range(6):
        core.arrive("short", f"r{number}", fingerprint="f")
        sent = core.dispatch()
        core.fail(sent, SENT)
        core.tell(
            server_inputs.ProbeAnswered,
            sent.server_id,
            alive=True,
            incarnation=sent.stamp.incarnation,
        )
        assert not _told(core), number
        core.wait(3_000)
    assert not _is_refused(core)


def an_end_long_after_a_broken_connection_is_no_crash() -> None:
    """Guards against connections that broke before a planned shutdown."""
    core = _core()
    for number in range(4):
        core.arrive("short", f"r{number}", fingerprint="f")
        sent = core.dispatch()
        core.fail(sent, SENT)
        core.wait(7_000)
        core.tell_named(
            server_inputs.ServerListed, server_id=sent.server_id, gone=True
        )
        assert not _told(core)


def a_server_that_leaves_has_not_crashed() -> None:
    """Guards against requests that a planned shutdown cut."""
    core = _core()
    for number in range(4):
        core.arrive("short", f"r{number}", fingerprint="f")
        sent = core.dispatch()
        core.tell(server_inputs.ServerLeaving, sent.server_id)
        core.fail(sent, SENT)
        core.tell_named(
            server_inputs.ServerListed, server_id=sent.server_id, gone=True
        )
        assert not _told(core)
    assert not _is_refused(core)


def a_third_crash_is_not_followed_by_a_retry_of_ours() -> None:
    """Guards against a retry that is faster than the news of a server's end."""
    core = _core()
    for _ in range(2):
        _crash(core)
    core.arrive("release", "r", fingerprint="f")
    core.fail(core.dispatch(), SENT)
    assert not core.find(effects.Dispatch), core.made
    assert core.refusal().status == 502


def a_run_that_ends_clears_what_ran_beside_a_crash() -> None:
    """Guards against harmless requests refused for what ran beside them."""
    core = _core()
    _crash(core)
    _crash(core)
    assert not _is_refused(core)
    assert [done.content for done in _told(core, "completions")] == ["desk/f"]
    _crash(core)
    assert not _is_refused(core)


def a_run_that_ends_at_any_daemon_lifts_a_quarantine() -> None:
    """Guards against a quarantine that stays though the request is harmless."""
    core, other = _core(), _core()
    core.arrive("long", "begun", fingerprint="f")
    begun = core.dispatch()
    core.open(begun)
    core.frames(begun, 1)
    for _ in range(3):
        _crash(core)
    assert _is_refused(core)
    other.tell(inputs.CrashesTold, core.world.quarantine.crashes_to_exchange())
    assert _is_refused(other)
    core.frames(begun, 2, end=True)
    completions = _told(core, "completions")
    assert completions
    other.tell(inputs.CrashesTold, (), completions)
    assert not _is_refused(core)
    assert not _is_refused(other)


def others_are_served_while_one_request_is_in_quarantine() -> None:
    """Guards against a quarantine by path or body alone."""
    core = _core()
    for _ in range(3):
        _crash(core)
    assert _is_refused(core)
    assert not _is_refused(core, fingerprint="g")
    assert not _is_refused(core, "open", token_sha256="")


def what_runs_elsewhere_is_stopped_by_a_quarantine() -> None:
    """Guards against a fourth server that ends by what was on its way."""
    core = _core()
    for name, request in (("short", "stream"), ("confirm", "once")):
        core.arrive(name, request, fingerprint="f")
    crashes = tuple(
        quarantine.Crash(
            content="desk/f", start=f"s{n}", reporter="x", at_ms=core.now_ms
        )
        for n in range(3)
    )
    core.tell(inputs.CrashesTold, crashes)
    assert len(core.find(effects.CancelAttempt)) == 1
    refused = core.refusal()
    assert (refused.request_id, refused.status) == ("stream", 502)
    assert refused.outcome is effects.Outcome.UNKNOWN
    assert "once" in core.world.requests


def what_waits_is_refused_by_a_quarantine() -> None:
    """Guards against a held-back request that is sent in its turn."""
    core = _core(hold_ms=0, slots=1)
    for name in list(core.world.servers):
        core.tell_named(
            server_inputs.LoadReported,
            server_id=name,
            incarnation=name,
            weights_version="1" if name.startswith("e") else "",
            running=1,
            waiting=8,
            waiting_tokens=4_000,
            prefill_us_per_token=100,
            slots=1,
        )
    core.arrive("long", "held", fingerprint="f")
    assert not core.find(effects.Dispatch), core.made
    crashes = tuple(
        quarantine.Crash(
            content="desk/f", start=f"s{n}", reporter="x", at_ms=core.now_ms
        )
        for n in range(3)
    )
    core.tell(inputs.CrashesTold, crashes)
    core.wait(SOON_MS)
    refused = core.refusal()
    assert (refused.status, refused.outcome) == (
        503,
        effects.Outcome.NOT_RUN,
    )


def a_quarantine_ends_and_a_further_crash_doubles_it() -> None:
    """Guards against a request refused for ever, or let through each time."""
    core = _core()
    for _ in range(3):
        _crash(core)
    assert _is_refused(core)
    core.now_ms += quarantine.QUARANTINE_MS
    _crash(core)
    assert _is_refused(core)
    core.now_ms += quarantine.QUARANTINE_MS
    core.confirm()
    core.wait(SOON_MS)
    assert _is_refused(core)
    core.now_ms += quarantine.QUARANTINE_MS
    core.confirm()
    assert not _is_refused(core)


def a_server_that_falls_silent_under_requests_counts() -> None:
    """Guards against servers that a request takes with no closed connection."""
    core = _core()
    for number in range(3):
        core.arrive("short", f"r{number}", fingerprint="f")
        sent = core.dispatch()
        core.tell(server_inputs.ProbeAnswered, sent.server_id, alive=False)
        core.wait(4_000)
        core.tell_named(
            server_inputs.ServerListed, server_id=sent.server_id, gone=True
        )
        assert _told(core), number
    assert _is_refused(core)


def starts_of_one_server_count_each() -> None:
    """Guards against a server that restarts under its id counted once."""
    core = _core()
    names = [f"e{number}" for number in range(2, SERVERS + 1)]
    for name in names:
        core.tell_named(server_inputs.ServerListed, server_id=name, gone=True)
    for number in range(3):
        core.list_server(
            "e1", routed_core.ENGINES, incarnation=f"e1@{number + 1}"
        )
        core.arrive("short", f"r{number}", fingerprint="f")
        core.fail(core.dispatch(), SENT)
    core.list_server("e1", routed_core.ENGINES, incarnation="e1@9")
    assert _is_refused(core)


def an_older_completed_run_takes_back_no_newer_one() -> None:
    """Guards against crashes that come back by late news of an old run."""
    known = quarantine.Quarantine()

    def crash(start: str, at_ms: int) -> bool:
        return known.add(
            quarantine.Crash(
                content="c", start=start, reporter="d", at_ms=at_ms
            )
        )

    crash("s1", 10)
    known.add_completion(quarantine.Completion(content="c", at_ms=100))
    assert crash("s2", 200)
    known.add_completion(quarantine.Completion(content="c", at_ms=20))
    assert not crash("s3", 50)


def news_that_is_lost_is_made_up_for() -> None:
    """Guards against daemons that never hear of a crash told once."""
    known = [quarantine.Quarantine() for _ in range(2)]
    for number in range(5):
        known[number % 2].add(
            quarantine.Crash(
                content="c", start=f"s{number}", reporter="d", at_ms=number
            )
        )
    assert known[0].digest() != known[1].digest()
    for told, heard in (known, reversed(known)):
        for crash in told.crashes_to_exchange():
            heard.add(crash)
    assert known[0].digest() == known[1].digest() != 0
    assert [len(view) for view in known] == [1, 1]


def crashes_remembered_are_bounded() -> None:
    """Guards against callers that fill the memory with ever new requests."""
    known = quarantine.Quarantine()
    for number in range(quarantine.MAX_CONTENTS + 500):
        for start in range(3 if number < 10 else 1):
            known.add(
                quarantine.Crash(
                    content=f"c{number}",
                    start=f"s{start}",
                    reporter="d",
                    at_ms=number,
                )
            )
    assert len(known) == 10
    kept = sum(
        bool(known.crashes(f"c{n}"))
        for n in range(quarantine.MAX_CONTENTS + 500)
    )
    assert kept == quarantine.MAX_CONTENTS
    known.expire(now_ms=10 * quarantine.QUARANTINE_MS)
    assert len(known) == 0
