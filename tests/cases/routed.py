"""Requests by routes: what may be sent again, and what callers are told."""

from __future__ import annotations

import dataclasses
import random

from cases import routed_core
from godwittack.core import effects, inputs, server_inputs, work
from godwittack.member import assignment

SENT = inputs.FailurePhase.SENT
CONNECT = inputs.FailurePhase.CONNECT
DECLINED = inputs.FailurePhase.DECLINED
REFUSED = inputs.FailureCause.REFUSED
NOT_RUN = effects.Outcome.NOT_RUN
SCHEDULES = 300


def a_route_without_keys_is_served() -> None:
    """A request that needs no key is served.

    Symptom: callers of a route without keys get a 500.
    Sequence: a request without a key arrives on such a route.
    Cause: the fair queue looked up the row of a workspace that has none.
    """
    core = routed_core.Core()
    core.arrive("open", token_sha256="")
    core.answer(core.dispatch())
    assert core.find(effects.Reply), core.made


def many_requests_without_keys_are_served() -> None:
    """Requests without keys are not limited together.

    Symptom: a part of the requests without keys gets a 429.
    Sequence: 300 of them arrive within a second.
    Cause: all shared the limits that a new workspace's row has.
    """
    core = routed_core.Core()
    for number in range(300):
        core.now_ms += 3
        core.arrive("open", f"r{number}", token_sha256="")
        assert not core.find(effects.Refuse), core.made
        core.answer(core.dispatch())


def a_call_that_may_have_run_is_not_sent_again() -> None:
    """A call that may run once is never sent twice.

    Symptom: a stall is confirmed twice.
    Sequence: the connection breaks after the call was sent.
    Cause: a lost answer taken for a call that did not run.
    """
    core = routed_core.Core()
    core.arrive("confirm")
    core.fail(core.dispatch(), SENT)
    assert not core.find(effects.Dispatch), core.made
    assert core.refusal().status == 502
    assert core.refusal().outcome is effects.Outcome.UNKNOWN


def a_declined_call_goes_to_another_server() -> None:
    """A server's word that it did not run a call is believed.

    Symptom: callers are refused while other servers are free.
    Sequence: the first server answers that it is full.
    Cause: a declined call taken for one that may have run.
    """
    core = routed_core.Core()
    core.arrive("confirm")
    first = core.dispatch()
    core.fail(first, DECLINED, REFUSED)
    assert core.dispatch().server_id != first.server_id


def all_declined_is_not_run() -> None:
    """A refusal after declined attempts alone is 503, with a time to return.

    Symptom: callers give up on calls that could be repeated safely.
    Sequence: every server declines.
    Cause: 502 said where 503 would be true.
    """
    core = routed_core.Core()
    core.arrive("confirm")
    for _ in range(2):
        core.fail(core.dispatch(), DECLINED, REFUSED)
    refused = core.refusal()
    assert refused.status == 503 and refused.outcome is NOT_RUN
    assert refused.retry_after_ms > 0


def a_failure_answer_is_kept_while_another_server_is_tried() -> None:
    """A repeatable call that failed is tried elsewhere, its answer kept.

    Symptom: callers get a server's error although the next would serve them;
        or an error of our own in its place.
    Sequence: the first server answers 500, the second declines.
    Cause: an answer taken for final, or thrown away.
    """
    core = routed_core.Core()
    core.arrive("release")
    core.answer(core.dispatch(), status=500)
    core.fail(core.dispatch(), DECLINED, REFUSED)
    replies = core.find(effects.Reply)
    assert [reply.answer.status for reply in replies] == [500], core.made


def a_failure_answer_of_a_call_that_runs_once_is_final() -> None:
    """A server's 500 says that the call has run.

    Symptom: a call that may run once runs twice.
    Sequence: the server answers 500.
    Cause: the failure taken for a reason to try elsewhere.
    """
    core = routed_core.Core()
    core.arrive("confirm")
    core.answer(core.dispatch(), status=500)
    assert not core.find(effects.Dispatch), core.made
    assert core.find(effects.Reply)


def a_stream_goes_on_at_another_server() -> None:
    """A resumable stream that breaks goes on after its last event.

    Symptom: events come twice, are missing, or the stream starts anew.
    Sequence: events 2 and 3 came, then the connection broke.
    Cause: the second server asked for the whole stream.
    """
    core = routed_core.Core()
    core.arrive("long")
    first = core.dispatch()
    core.open(first)
    core.frames(first, 2, 3)
    core.fail(first, SENT)
    second = core.dispatch()
    assert second.server_id != first.server_id and second.after == 3
    core.open(second)
    core.frames(second, 3, 4, end=True)
    relayed = b"".join(
        f.data for r in core.find(effects.Relay) for f in r.frames
    )
    assert relayed == b"4;", relayed
    assert core.find(effects.EndStream)


def a_stream_that_may_not_be_resumed_breaks() -> None:
    """A stream that can't be resumed ends broken, never as if whole.

    Symptom: an answer without its end looks complete.
    Sequence: the connection breaks after two events.
    Cause: the end of a connection taken for the end of the stream.
    """
    core = routed_core.Core()
    core.arrive("short")
    sent = core.dispatch()
    core.open(sent)
    core.frames(sent, 1, 2)
    core.fail(sent, SENT)
    assert core.find(effects.BreakStream), core.made
    assert not core.find(effects.Dispatch)


def a_silent_stream_of_the_other_kind_is_not_sent_again() -> None:
    """Silence before the first event is no proof that nothing runs.

    Symptom: a stream that may run once runs at two servers.
    Sequence: no event comes for 2.5 s.
    Cause: the rule for resumable streams used for all.
    """
    core = routed_core.Core(first_frame_ms=2_000)
    core.arrive("short")
    core.wait(2_500)
    assert not core.find(effects.Dispatch), core.made


def a_resumable_stream_without_first_event_moves() -> None:
    """A server that went dark costs a resumable stream two seconds.

    Symptom: callers wait until their deadline for a server that crashed.
    Sequence: the server goes dark before the first event.
    Cause: a routed stream not known to be a stream, so that the patience for
        whole answers, 120 s, was used.
    """
    core = routed_core.Core(first_frame_ms=2_000)
    core.arrive("long")
    first = core.dispatch()
    core.wait(2_500)
    assert core.dispatch().server_id != first.server_id


def the_route_s_time_ends_a_request() -> None:
    """At the route's time a caller gets a final answer.

    Symptom: callers hang on a server that does not answer.
    Sequence: a call is sent, and nothing comes back for 3 s.
    Cause: only the caller's own deadline was looked at.
    """
    core = routed_core.Core()
    core.arrive("confirm")
    core.wait(3_050)
    assert core.refusal().status == 504
    assert core.find(effects.CancelAttempt)


def a_key_taken_away_in_the_queue_is_not_served() -> None:
    """A key is looked at again before its request is sent on.

    Symptom: a request runs after its key was taken away for good.
    Sequence: a request waits; the key goes; the request's turn comes.
    Cause: keys checked on arrival alone.
    """
    core = routed_core.Core(servers=1, hold_ms=0)
    core.world.servers["e1"].draining_until_ms = core.now_ms + 400
    core.arrive("long", "r1")
    assert core.refusal().status == 503
    core.world.servers["e1"].draining_until_ms = 0
    core.world.servers["e1"].backlog_until_ms[0] = core.now_ms + 1_000
    core.arrive("long", "r2")
    assert not core.find(effects.Dispatch), core.made
    core.tell(inputs.TableChanged, routed_core.table(2, keys=()))
    core.world.servers["e1"].backlog_until_ms.clear()
    core.wait(50)
    assert not core.find(effects.Dispatch), core.made
    assert core.refusal().status == 401


def keys_are_refused_once_nothing_confirms_them() -> None:
    """A daemon that can't reach the store stops serving keys.

    Symptom: a key taken away is served by a daemon that is cut off.
    Sequence: the last confirmation lapses; requests arrive.
    Cause: the table taken for current without a word from the store.
    """
    core = routed_core.Core()
    core.tell(inputs.RightToServe, core.now_ms + 100)
    core.now_ms += 101
    core.arrive("release")
    refused = core.refusal()
    assert refused.status == 503 and refused.retry_after_ms
    core.arrive("open", "r2", token_sha256="")
    assert core.dispatch()


def an_unsafe_call_outlives_its_caller() -> None:
    """A call that may run once is not broken off when its caller leaves.

    Symptom: work that can't be repeated is left half done.
    Sequence: the caller closes its connection while the call runs.
    Cause: all attempts cancelled alike.
    """
    core = routed_core.Core()
    core.arrive("confirm")
    core.tell(inputs.CallerGone, "r")
    assert not core.find(effects.CancelAttempt), core.made
    core.arrive("long", "r2")
    core.tell(inputs.CallerGone, "r2")
    assert core.find(effects.CancelAttempt)


def retries_stay_within_their_budget() -> None:
    """Retries of a service end where their budget does.

    Symptom: failing servers get a multiple of the traffic.
    Sequence: every call fails after it was sent.
    Cause: each request allowed its attempts, whatever the others used.
    """
    core = routed_core.Core(servers=3, retry_ratio=0.1, retry_burst=5.0)
    again = 0
    for number in range(100):
        core.arrive("release", f"r{number}")
        core.fail(core.dispatch(), CONNECT)
        again += len(core.find(effects.Dispatch))
        for sent in core.find(effects.Dispatch):
            core.answer(sent)
        for server in core.world.servers.values():
            server.ejected_until_ms = 0
    assert 5 <= again <= 16, again


def a_fleet_shares_the_burst_of_retries() -> None:
    """Nine daemons together have one burst.

    Symptom: more retries than the operators allow, summed over daemons.
    Sequence: nine daemons retry at one time.
    Cause: each took the whole burst for its own.
    """
    core = routed_core.Core(servers=3, retry_ratio=0.0, retry_burst=18.0)
    core.tell(inputs.MembersChanged, tuple(f"d{n}" for n in range(9)))
    again = 0
    for number in range(30):
        core.arrive("release", f"r{number}")
        core.fail(core.dispatch(), CONNECT)
        again += len(core.find(effects.Dispatch))
        for server in core.world.servers.values():
            server.ejected_until_ms = 0
    assert again == 1, again


def a_short_urgent_request_passes_long_ones_that_are_held() -> None:
    """A held prompt delays those of its rank and less urgent ones alone.

    Behind one long prompt that waited for 100 ms and more, each request for
    the model was held, also those that an engine would have begun at once.
    """
    core = routed_core.Core(servers=2, hold_ms=100, prefill_us_per_token=15)
    routes = (
        routed_core.route("long", routed_core.ENGINES, streaming=True),
        routed_core.route("short", routed_core.ENGINES, streaming=True),
    )
    ranked = tuple(
        dataclasses.replace(route, priority=rank)
        for route, rank in zip(routes, (1, 0), strict=True)
    )
    core.tell(inputs.TableChanged, routed_core.table(2, routes=ranked))
    for number in range(8):
        prompt = (work.Level(number, 10_000),)
        core.arrive("long", f"long{number}", levels=prompt)
    held = [e.name for e in core.find(effects.Event)]
    assert "queued" in held, held
    core.arrive("short", "short", levels=(work.Level(100, 300),))
    assert core.dispatch().request_id == "short"
    core.arrive("long", "last", levels=(work.Level(101, 300),))
    assert not core.find(effects.Dispatch)


def a_model_holds_no_more_than_its_limit_over_all_ranks() -> None:
    """Requests held in several ranks count together against max_queue."""
    core = routed_core.Core(servers=1, hold_ms=0, prefill_us_per_token=15)
    routes = tuple(
        routed_core.route(
            name, routed_core.ENGINES, streaming=True, priority=rank
        )
        for name, rank in (("long", 1), ("short", 0))
    )
    table = routed_core.table(2, routes=routes)
    row = table.models[routed_core.ENGINES]
    table.models[routed_core.ENGINES] = dataclasses.replace(row, max_queue=3)
    core.tell(inputs.TableChanged, table)
    for number in range(12):
        name = ("long", "short")[number % 2]
        prompt = (work.Level(number, 4_000),)
        core.arrive(name, f"r{number}", levels=prompt)
    assert core.world.queued_count() == 3, core.world.queued_count()


def a_busy_service_is_not_asked_for_each_slow_answer() -> None:
    """Answers that take as long as usual are no sign of a dead server.

    With a queue of 400 ms each server was asked by each daemon for each call,
    and the questions stood in the same queue.
    """
    core = routed_core.Core(servers=2)
    for number in range(40):
        core.arrive("release", f"usual{number}")
        usual = core.dispatch()
        core.now_ms += 400
        core.answer(usual)
    core.arrive("release", "slow")
    slow = core.dispatch()
    assert not [e for e in core.wait(900) if isinstance(e, effects.Probe)]
    asked = [e for e in core.wait(600) if isinstance(e, effects.Probe)]
    assert [probe.server_id for probe in asked] == [slow.server_id]


def a_dark_server_is_noticed_within_half_a_second() -> None:
    """Silence of a server that owes an answer is looked into at once.

    Symptom: for seconds, a third of all requests is lost at a server that
        went dark; every daemon learns of it by its own losses.
    Sequence: a server goes dark with a long prompt and a short one; a probe
        brings nothing.
    Cause: only a silence of 2 s before the first event counted.
    """
    core = routed_core.Core()
    core.arrive("long", "r1")
    first = core.dispatch()
    core.world.servers["e1"].leaving = first.server_id != "e1"
    core.world.servers["e2"].leaving = first.server_id != "e2"
    core.arrive("short", "r2")
    assert core.dispatch().server_id == first.server_id
    for server in core.world.servers.values():
        server.leaving = False
    core.wait(350)
    probes = core.find(effects.Probe)
    assert [probe.server_id for probe in probes] == [first.server_id]
    core.tell(server_inputs.ProbeAnswered, first.server_id, False)
    assert core.dispatch().server_id != first.server_id
    assert core.dispatch().request_id == "r1"
    assert core.find(effects.Doubt)
    core.arrive("short", "r3")
    assert core.dispatch().server_id != first.server_id


def what_has_no_limit_is_not_counted() -> None:
    """Workspaces without limits are no news between daemons.

    Symptom: two fifths of what daemons tell each other is demand of workspaces
        that no limit holds for.
    Sequence: requests come and go on a table without limits.
    Cause: every workspace's demand counted, whether or not anybody splits it.
    """
    core = routed_core.Core()
    core.arrive("long", "r1")
    core.answer(core.dispatch())
    core.wait(1_000)
    cells = set(core.world.shares.cells)
    assert not [cell for cell in cells if not cell.startswith("model/")], cells


def many_daemons_ask_a_silent_server_in_turn() -> None:
    """A server that takes its time is not asked by everybody.

    Symptom: engines answer as many questions for a sign of life as requests.
    Sequence: sixty daemons each wait half a second for a long prompt at an
        engine; the last one in order hears of a peer's doubt.
    Cause: every daemon asked after the same short silence.
    """
    core = routed_core.Core(servers=1)
    names = tuple(sorted(["d", *(f"d{n}" for n in range(59))]))
    core.tell(inputs.MembersChanged, names)
    core.arrive("long", "r1")
    order = assignment.probe_order("e1", names)
    core.world.daemon = order[0]
    assert [p.server_id for p in core.wait(350) if _is_probe(p)] == ["e1"]
    core.world.servers["e1"].last_probe_ms = -10_000
    core.world.daemon = order[-1]
    assert not [p for p in core.wait(400) if _is_probe(p)]
    core.tell(server_inputs.ServerDoubted, "e1")
    assert core.find(effects.Probe)


def _is_probe(effect: effects.Effect) -> bool:
    return isinstance(effect, effects.Probe)


def a_peer_s_doubt_is_a_question_not_an_answer() -> None:
    """One daemon with a broken path takes no server from the others.

    Symptom: a server that works gets no requests from any daemon.
    Sequence: a daemon that is cut off from a server says so; the server
        answers here.
    Cause: another's doubt taken for one's own.
    """
    core = routed_core.Core(servers=1)
    core.tell(server_inputs.ServerDoubted, "e1")
    assert core.find(effects.Probe)
    core.tell(server_inputs.ProbeAnswered, "e1", True)
    core.arrive("long")
    assert core.dispatch().server_id == "e1"


def a_busy_server_that_answers_keeps_its_requests() -> None:
    """A long prompt in which nothing is sent is no reason to move.

    Symptom: long prompts are computed twice.
    Sequence: nothing comes for 350 ms; the server answers a probe.
    Cause: silence alone taken for death.
    """
    core = routed_core.Core()
    core.arrive("long")
    sent = core.dispatch()
    core.wait(350)
    core.tell(server_inputs.ProbeAnswered, sent.server_id, True)
    assert not core.find(effects.Dispatch), core.made
    assert not core.find(effects.CancelAttempt)


def requests_in_line_stay_with_a_server_that_lives() -> None:
    """Under full load a first event may take longer than a lost one would.

    Symptom: with two of five servers dark, those that are left are paused in
        the worst seconds, and prompts that waited there are computed twice.
    Sequence: two prompts wait for 2.5 s at a server that answers others.
    Cause: every late first event taken for a request that the server lost.
    """
    core = routed_core.Core(servers=1, first_frame_ms=2_000)
    core.arrive("short", "other")
    other = core.dispatch()
    for name in ("r1", "r2"):
        core.arrive("long", name)
    for _ in range(5):
        core.wait(500)
        core.open(other)
        assert not core.find(effects.CancelAttempt), core.made
    assert not core.world.servers["e1"].ejected_until_ms


def a_request_that_was_overtaken_moves() -> None:
    """A server that has begun later requests has lost an earlier one.

    Symptom: a caller waits until its deadline for a request that hangs.
    Sequence: two prompts are sent to each of two servers; one server begins
        the later one alone.
    Cause: a server that lives taken for one that still comes to it.
    """
    core = routed_core.Core(servers=1, first_frame_ms=2_000)
    core.arrive("long", "r1")
    hanging = core.dispatch()
    core.list_server("e2", routed_core.ENGINES)
    core.world.servers["e2"].ejected_until_ms = core.now_ms + 1_000
    core.wait(100)
    core.arrive("long", "r2")
    later = core.dispatch()
    core.open(later)
    core.frames(later, 1)
    for _ in range(4):
        core.wait(500)
        core.open(later)
    core.wait(100)
    assert core.world.requests["r1"].attempt_id != hanging.attempt_id


def a_refusal_that_says_not_run_is_true() -> None:
    """Over many schedules, not run is said only where nothing ran.

    Symptom: a caller repeats a call that has run.
    Sequence: attempts fail, are declined, time out and lose their callers in
        any order.
    Cause: any that forgets that an attempt may have run.
    """
    for seed in range(SCHEDULES):
        _one_schedule(random.Random(seed))


def _one_schedule(rng: random.Random) -> None:
    core = routed_core.Core(servers=rng.choice((1, 2, 3)))
    name = rng.choice(("confirm", "release", "long", "short"))
    core.arrive(name)
    may_have_run = 0
    once = name in ("confirm", "short")
    sent = core.find(effects.Dispatch)
    while sent:
        attempt = sent[-1]
        phase = rng.choice((SENT, DECLINED, CONNECT, None))
        if phase is None:
            made = core.wait(rng.choice((100, 2_000, 7_000)))
            may_have_run += 1
        else:
            may_have_run += phase is SENT
            cause = REFUSED if phase is DECLINED else None
            made = core.fail(attempt, phase, cause)
        for refused in core.find(effects.Refuse):
            not_run = refused.status in (408, 421, 429, 503)
            assert not (not_run and may_have_run), (name, refused)
            assert (refused.outcome is NOT_RUN) == not_run, refused
        sent = [e for e in made if isinstance(e, effects.Dispatch)]
        assert not (once and may_have_run and sent), (name, sent)
        if phase is None and not sent:
            return
