"""Which requests the core puts in quarantine."""

from __future__ import annotations

import random

from cases import routed_core
from godwittack.core import (
    effects,
    evidence,
    inputs,
    quarantine,
    server_inputs,
)
from godwittack.peer import codec

SENT = inputs.FailurePhase.SENT
CONNECT = inputs.FailurePhase.CONNECT
ENDED = inputs.FailureCause.ENDED
SERVERS = 8
# Shorter than the window in which a server's end makes a closed connection a
# crash.
SHORT_WAIT_MS = 50


def _core(**fields) -> routed_core.Core:
    return routed_core.Core(servers=SERVERS, **fields)


def _crash(core: routed_core.Core, name: str = "short", *, content="f") -> None:
    """Sends a request during which its server crashes."""
    core.arrive(name, f"r{core.now_ms}", fingerprint=content)
    sent = core.dispatch()
    core.fail(sent, SENT)
    produced = core.tell(
        server_inputs.ProbeAnswered, sent.server_id, alive=False, ended=True
    )
    core.tell_named(
        server_inputs.ServerListed, server_id=sent.server_id, gone=True
    )
    core.last_effects = produced
    core.now_ms += 1


def _announced(core: routed_core.Core, kind: str = "crashes") -> tuple:
    return tuple(
        item
        for effect in core.find(effects.TellCrashes)
        for item in getattr(effect, kind)
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
        for crashed in range(1, number + 1):
            core.tell(server_inputs.ServerLeaving, f"e{crashed}")
        _crash(core)
        crashes.extend(_announced(core))
    assert len({crash.start for crash in crashes}) == 3, crashes
    for core in cores:
        core.tell(inputs.CrashesTold, tuple(crashes))
        assert _is_refused(core)


def crash_reports_in_any_order_lead_to_one_quarantine() -> None:
    """Guards against views that depend on the order of crash reports."""
    for seed in range(200):
        rng = random.Random(seed)
        reports = [
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
            view = quarantine.Quarantine()
            received = reports + rng.sample(reports, 5)
            rng.shuffle(received)
            for crash in received:
                view.add(crash)
            views.append(view)
        assert len({view.digest() for view in views}) == 1, seed
        expected = {
            content
            for content in {crash.content for crash in reports}
            if len({c.start for c in reports if c.content == content})
            >= quarantine.CRASHES_TO_QUARANTINE
        }
        assert len(views[0]) == len(expected), seed


def a_lost_answer_is_no_crash() -> None:
    """Guards against a quarantine for broken connections without a crash."""
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
        assert not _announced(core), number
        core.wait(3_000)
    assert not _is_refused(core)


def an_end_long_after_a_broken_connection_is_no_crash() -> None:
    """Guards against counting a planned shutdown after a broken connection."""
    core = _core()
    for number in range(4):
        core.arrive("short", f"r{number}", fingerprint="f")
        sent = core.dispatch()
        core.fail(sent, SENT)
        core.wait(7_000)
        core.tell_named(
            server_inputs.ServerListed, server_id=sent.server_id, gone=True
        )
        assert not _announced(core)


def a_server_that_leaves_has_not_crashed() -> None:
    """Guards against counting requests that a planned shutdown cuts off."""
    core = _core()
    for number in range(4):
        core.arrive("short", f"r{number}", fingerprint="f")
        sent = core.dispatch()
        core.tell(server_inputs.ServerLeaving, sent.server_id)
        core.fail(sent, SENT)
        core.tell_named(
            server_inputs.ServerListed, server_id=sent.server_id, gone=True
        )
        assert not _announced(core)
    assert not _is_refused(core)


def a_third_crash_is_not_followed_by_a_retry() -> None:
    """Guards against a retry before the end of the server is known."""
    core = _core()
    for _ in range(2):
        _crash(core)
    core.arrive("release", "r", fingerprint="f")
    core.fail(core.dispatch(), SENT)
    assert not core.find(effects.Dispatch), core.last_effects
    assert core.refusal().status == 502


def a_completed_run_clears_a_request_that_ran_beside_a_crash() -> None:
    """Guards against refusing requests that ran beside one that crashes."""
    core = _core()
    _crash(core)
    _crash(core)
    assert not _is_refused(core)
    assert [
        completion.content for completion in _announced(core, "completions")
    ] == ["desk/f"]
    _crash(core)
    assert not _is_refused(core)


def a_run_completed_at_any_daemon_lifts_a_quarantine() -> None:
    """Guards against a lasting quarantine of a harmless request."""
    core, other = _core(), _core()
    core.arrive("long", "begun", fingerprint="f")
    started = core.dispatch()
    core.open(started)
    core.frames(started, 1)
    for _ in range(3):
        _crash(core)
    assert _is_refused(core)
    other.tell(inputs.CrashesTold, core.world.quarantine.crashes_to_exchange())
    assert _is_refused(other)
    core.frames(started, 2, end=True)
    completions = _announced(core, "completions")
    assert completions
    other.tell(inputs.CrashesTold, (), completions)
    assert not _is_refused(core)
    assert not _is_refused(other)


def other_requests_are_served_while_one_is_in_quarantine() -> None:
    """Guards against a quarantine by path or body alone."""
    core = _core()
    for _ in range(3):
        _crash(core)
    assert _is_refused(core)
    assert not _is_refused(core, fingerprint="g")
    assert not _is_refused(core, "open", token_sha256="")


def a_quarantine_stops_attempts_in_progress() -> None:
    """Guards against a fourth server that crashes on an earlier attempt."""
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


def a_quarantine_refuses_queued_requests() -> None:
    """Guards against dispatching a queued request that is in quarantine."""
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
    assert not core.find(effects.Dispatch), core.last_effects
    crashes = tuple(
        quarantine.Crash(
            content="desk/f", start=f"s{n}", reporter="x", at_ms=core.now_ms
        )
        for n in range(3)
    )
    core.tell(inputs.CrashesTold, crashes)
    core.wait(SHORT_WAIT_MS)
    refused = core.refusal()
    assert (refused.status, refused.outcome) == (
        503,
        effects.Outcome.NOT_RUN,
    )


def a_quarantine_ends_and_a_further_crash_doubles_it() -> None:
    """Guards against refusing a request forever, or accepting it each time."""
    core = _core()
    for _ in range(3):
        _crash(core)
    assert _is_refused(core)
    core.now_ms += quarantine.QUARANTINE_MS
    _crash(core)
    assert _is_refused(core)
    core.now_ms += quarantine.QUARANTINE_MS
    core.renew_serving_lease()
    core.wait(SHORT_WAIT_MS)
    assert _is_refused(core)
    core.now_ms += quarantine.QUARANTINE_MS
    core.renew_serving_lease()
    assert not _is_refused(core)


def a_server_that_stops_responding_to_requests_counts_as_crashed() -> None:
    """Guards against crashes missed where no connection is closed."""
    core = _core()
    for number in range(3):
        core.arrive("short", f"r{number}", fingerprint="f")
        sent = core.dispatch()
        core.tell(server_inputs.ProbeAnswered, sent.server_id, alive=False)
        core.wait(4_000)
        core.tell_named(
            server_inputs.ServerListed, server_id=sent.server_id, gone=True
        )
        assert _announced(core), number
    assert _is_refused(core)


def each_incarnation_of_one_server_counts() -> None:
    """Guards against counting a server that restarts under its id once."""
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


def an_older_completed_run_does_not_replace_a_newer_one() -> None:
    """Guards against crashes that count again after a late report."""
    state = quarantine.Quarantine()

    def crash(start: str, at_ms: int) -> bool:
        return state.add(
            quarantine.Crash(
                content="c", start=start, reporter="d", at_ms=at_ms
            )
        )

    crash("s1", 10)
    state.add_completion(quarantine.Completion(content="c", at_ms=100))
    assert crash("s2", 200)
    state.add_completion(quarantine.Completion(content="c", at_ms=20))
    assert not crash("s3", 50)


def an_exchange_makes_up_for_lost_crash_reports() -> None:
    """Guards against daemons that miss a crash that is reported once."""
    views = [quarantine.Quarantine() for _ in range(2)]
    for number in range(5):
        views[number % 2].add(
            quarantine.Crash(
                content="c", start=f"s{number}", reporter="d", at_ms=number
            )
        )
    assert views[0].digest() != views[1].digest()
    for sender, receiver in (views, reversed(views)):
        for crash in sender.crashes_to_exchange():
            receiver.add(crash)
    assert views[0].digest() == views[1].digest() != 0
    assert [len(view) for view in views] == [1, 1]


def crashes_remembered_are_bounded() -> None:
    """Guards against callers that fill memory with ever new requests."""
    state = quarantine.Quarantine()
    for number in range(quarantine.MAX_CONTENTS + 500):
        for start in range(3 if number < 10 else 1):
            state.add(
                quarantine.Crash(
                    content=f"c{number}",
                    start=f"s{start}",
                    reporter="d",
                    at_ms=number,
                )
            )
    assert len(state) == 10
    kept = sum(
        bool(state.crashes(f"c{n}"))
        for n in range(quarantine.MAX_CONTENTS + 500)
    )
    assert kept == quarantine.MAX_CONTENTS
    state.expire(now_ms=10 * quarantine.QUARANTINE_MS)
    assert len(state) == 0


def an_attempt_that_was_never_sent_is_not_blamed() -> None:
    """Guards against blaming what was connecting when its server ended."""
    core = _core()
    for number in range(3):
        core.arrive("short", f"r{number}", fingerprint="f")
        sent = core.dispatch()
        core.tell(server_inputs.ProbeAnswered, sent.server_id, alive=False)
        core.fail(sent, CONNECT, ENDED)
        core.tell_named(
            server_inputs.ServerListed, server_id=sent.server_id, gone=True
        )
        assert not _announced(core), number
    assert not _is_refused(core)


def _end_together(core: routed_core.Core, *, count: int = 3) -> None:
    """Ends servers at one moment, while each runs the same content."""
    sent = []
    for number in range(count):
        core.arrive("short", f"r{number}", fingerprint="f")
        sent.append(core.dispatch())
    assert len({item.server_id for item in sent}) == count, sent
    for item in sent:
        core.fail(item, SENT)
        core.tell(
            server_inputs.ProbeAnswered, item.server_id, alive=False, ended=True
        )


def servers_that_end_together_refuse_a_request_for_seconds() -> None:
    """Guards against long quarantines of what runs on all lost servers."""
    core = _core()
    _end_together(core)
    assert _is_refused(core)
    core.wait(quarantine.TRIAL_AFTER_MS)
    assert not _is_refused(core)
    assert [done.content for done in _announced(core, "completions")] == [
        "desk/f"
    ]


def one_run_at_a_time_follows_a_quarantine() -> None:
    """Guards against several servers lost to what is sent again at once."""
    core = _core()
    _end_together(core)
    core.wait(quarantine.TRIAL_AFTER_MS)
    core.arrive("short", "trial", fingerprint="f")
    trial = core.dispatch()
    assert _is_refused(core)
    core.open(trial)
    core.frames(trial, 1, end=True)
    for name in ("a", "b"):
        core.arrive("short", name, fingerprint="f")
        assert core.dispatch()


def a_run_that_may_have_crashed_delays_the_next_one() -> None:
    """Guards against a second trial before the end of the first is known."""
    core = _core()
    _end_together(core)
    core.wait(quarantine.TRIAL_AFTER_MS)
    core.arrive("short", "trial", fingerprint="f")
    core.fail(core.dispatch(), SENT)
    assert not core.find(effects.Dispatch), core.last_effects
    assert _is_refused(core)


def a_trial_that_ends_its_server_confirms_a_quarantine() -> None:
    """Guards against ever new trials of what does crash servers."""
    core = _core()
    _end_together(core)
    core.wait(quarantine.TRIAL_AFTER_MS)
    _crash(core)
    core.wait(quarantine.TRIAL_AFTER_MS)
    assert _is_refused(core)
    left_ms = core.refusal().retry_after_ms
    assert left_ms > quarantine.QUARANTINE_MS / 2, left_ms


def crashes_one_after_the_other_leave_no_trial() -> None:
    """Guards against trials of a request that is the only one that runs."""
    core = _core()
    for _ in range(3):
        _crash(core)
        core.wait(evidence.TOGETHER_MS + SHORT_WAIT_MS)
    core.wait(quarantine.TRIAL_AFTER_MS)
    assert _is_refused(core)


def silences_that_overlap_count_as_one_end() -> None:
    """Guards against blame for servers that are found silent one by one."""
    for silent_ms, expected in ((2_000, 1), (0, 3)):
        crashes = [
            quarantine.Crash(
                content="c",
                start=f"s{number}",
                reporter="d",
                at_ms=1_000 * number,
                silent_ms=silent_ms,
            )
            for number in range(3)
        ]
        assert len(evidence.separate_times_ms(crashes)) == expected


def a_server_of_unknown_silence_may_have_ended_before() -> None:
    """Guards against blame by daemons that don't tell how long it was."""
    crash = quarantine.Crash(
        content="c",
        start="s",
        reporter="d",
        at_ms=9_000,
        silent_ms=700,
        run_ms=900,
    )
    message = codec.crash_to_proto(crash, now_ms=10_000)
    assert codec.crash_from_proto(message, now_ms=10_000) == crash
    message.ClearField("silent_ms")
    message.ClearField("run_ms")
    received = codec.crash_from_proto(message, now_ms=10_000)
    assert received.silent_ms == received.run_ms == quarantine.UNKNOWN_MS


def runs_sent_after_a_crash_are_blamed_at_once() -> None:
    """Guards against a trial of what ended servers one by one in moments."""
    core = _core()
    for _ in range(3):
        _crash(core)
        core.now_ms += 4 * evidence.SEND_DELAY_MS
    core.wait(quarantine.TRIAL_AFTER_MS)
    assert _is_refused(core)
    assert core.refusal().retry_after_ms > quarantine.QUARANTINE_MS / 2


def the_longest_run_tells_what_ended_together() -> None:
    """Guards against daemons that judge by the report that came first."""
    reports = [
        quarantine.Crash(
            content="c",
            start=f"s{number}",
            reporter=f"d{run_ms}",
            at_ms=1_000 + 30 * number,
            run_ms=run_ms,
        )
        for number in range(3)
        for run_ms in (1, 200)
    ]
    for seed in range(20):
        state = quarantine.Quarantine()
        for crash in random.Random(seed).sample(reports, len(reports)):
            state.add(crash)
        assert state.time_count("c") == 1, seed
    state = quarantine.Quarantine()
    for crash in reports[::2]:
        state.add(crash)
    assert state.time_count("c") == 3
