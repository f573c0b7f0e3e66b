"""Requests by routes: when they are sent again and how they are answered."""

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
    assert core.find(effects.Reply), core.last_effects


def many_requests_without_keys_are_served() -> None:
    """Requests without keys are not limited together.

    Symptom: some of the requests without keys get a 429.
    Sequence: 300 of them arrive within a second.
    Cause: all shared the limits of a new workspace's row.
    """
    core = routed_core.Core()
    for number in range(300):
        core.now_ms += 3
        core.arrive("open", f"r{number}", token_sha256="")
        assert not core.find(effects.Refuse), core.last_effects
        core.answer(core.dispatch())


def a_call_that_may_have_run_is_not_sent_again() -> None:
    """A call that may run once is never sent twice.

    Symptom: a booking is confirmed twice.
    Sequence: the connection breaks after the call was sent.
    Cause: a call whose answer was lost was considered not run.
    """
    core = routed_core.Core()
    core.arrive("confirm")
    core.fail(core.dispatch(), SENT)
    assert not core.find(effects.Dispatch), core.last_effects
    assert core.refusal().status == 502
    assert core.refusal().outcome is effects.Outcome.UNKNOWN


def a_declined_call_goes_to_another_server() -> None:
    """A call that a server declines is sent to another server.

    Symptom: callers are refused while other servers are free.
    Sequence: the first server answers that it is full.
    Cause: a declined call was treated like one that may have run.
    """
    core = routed_core.Core()
    core.arrive("confirm")
    first = core.dispatch()
    core.fail(first, DECLINED, REFUSED)
    assert core.dispatch().server_id != first.server_id


def a_call_declined_by_all_servers_is_reported_as_not_run() -> None:
    """If all attempts were declined, the refusal is a 503 with a retry time.

    Symptom: callers give up on calls that could be repeated safely.
    Sequence: every server declines.
    Cause: the refusal was a 502, which leaves open whether the call ran.
    """
    core = routed_core.Core()
    core.arrive("confirm")
    for _ in range(2):
        core.fail(core.dispatch(), DECLINED, REFUSED)
    refused = core.refusal()
    assert refused.status == 503 and refused.outcome is NOT_RUN
    assert refused.retry_after_ms > 0


def a_failure_answer_is_kept_while_another_server_is_tried() -> None:
    """A failed repeatable call is retried; its failure answer is kept.

    Symptom: callers get a server's error although the next server would
        answer them, or the router's error instead of the server's.
    Sequence: the first server answers 500, the second declines.
    Cause: the failure answer was treated as final, or discarded.
    """
    core = routed_core.Core()
    core.arrive("release")
    core.answer(core.dispatch(), status=500)
    core.fail(core.dispatch(), DECLINED, REFUSED)
    replies = core.find(effects.Reply)
    assert [reply.answer.status for reply in replies] == [500], (
        core.last_effects
    )


def a_failure_answer_of_a_call_that_runs_once_is_final() -> None:
    """After a 500, a call that may run only once is not sent again.

    Symptom: a call that may run once runs twice.
    Sequence: the server answers 500.
    Cause: the failure led to a retry at another server.
    """
    core = routed_core.Core()
    core.arrive("confirm")
    core.answer(core.dispatch(), status=500)
    assert not core.find(effects.Dispatch), core.last_effects
    assert core.find(effects.Reply)


def a_stream_continues_at_another_server() -> None:
    """A resumable stream that breaks continues after its last event.

    Symptom: events are duplicated or missing, or the stream restarts.
    Sequence: events 2 and 3 arrive, then the connection breaks.
    Cause: the whole stream was requested from the second server.
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
    """A stream that can't be resumed ends as broken, not as complete.

    Symptom: an answer without its end looks complete.
    Sequence: the connection breaks after two events.
    Cause: the end of the connection counted as the end of the stream.
    """
    core = routed_core.Core()
    core.arrive("short")
    sent = core.dispatch()
    core.open(sent)
    core.frames(sent, 1, 2)
    core.fail(sent, SENT)
    assert core.find(effects.BreakStream), core.last_effects
    assert not core.find(effects.Dispatch)


def a_silent_stream_that_may_not_be_resumed_is_not_sent_again() -> None:
    """A stream without a first event may still be running.

    Symptom: a stream that may run once runs at two servers.
    Sequence: no event comes for 2.5 s.
    Cause: the rule for resumable streams was applied to all streams.
    """
    core = routed_core.Core(first_frame_ms=2_000)
    core.arrive("short")
    core.wait(2_500)
    assert not core.find(effects.Dispatch), core.last_effects


def a_resumable_stream_without_first_event_moves() -> None:
    """After 2 s without a first event, a resumable stream is sent elsewhere.

    Symptom: callers wait until their deadline for a server that crashed.
    Sequence: the server stops responding before the first event.
    Cause: the routed stream was not recognized as a stream, so the timeout
        for whole answers, 120 s, applied.
    """
    core = routed_core.Core(first_frame_ms=2_000)
    core.arrive("long")
    first = core.dispatch()
    core.wait(2_500)
    assert core.dispatch().server_id != first.server_id


def the_route_s_timeout_ends_a_request() -> None:
    """At the route's timeout a caller gets a final answer.

    Symptom: callers hang on a server that does not answer.
    Sequence: a call is sent, and nothing is received for 3 s.
    Cause: only the caller's own deadline was checked.
    """
    core = routed_core.Core()
    core.arrive("confirm")
    core.wait(3_050)
    assert core.refusal().status == 504
    assert core.find(effects.CancelAttempt)


def a_key_revoked_while_its_request_is_queued_is_not_served() -> None:
    """A key is checked again before its request is dispatched.

    Symptom: a request runs after its key was revoked permanently.
    Sequence: a request is queued; its key is revoked; a server becomes free.
    Cause: keys were checked on arrival only.
    """
    core = routed_core.Core(servers=1, hold_ms=0)
    core.world.servers["e1"].draining_until_ms = core.now_ms + 400
    core.arrive("long", "r1")
    assert core.refusal().status == 503
    core.world.servers["e1"].draining_until_ms = 0
    core.world.servers["e1"].backlog_until_ms[0] = core.now_ms + 1_000
    core.arrive("long", "r2")
    assert not core.find(effects.Dispatch), core.last_effects
    core.tell(inputs.TableChanged, routed_core.table(2, keys=()))
    core.world.servers["e1"].backlog_until_ms.clear()
    core.wait(50)
    assert not core.find(effects.Dispatch), core.last_effects
    assert core.refusal().status == 401


def keys_are_refused_once_the_serving_lease_expires() -> None:
    """A daemon that can't reach the store stops serving keys.

    Symptom: a daemon that is cut off serves a revoked key.
    Sequence: the serving lease expires; requests arrive.
    Cause: the table counted as current without confirmation by the store.
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
    """A call that may run once is not cancelled when its caller leaves.

    Symptom: work that can't be repeated is left incomplete.
    Sequence: the caller closes its connection while the call runs.
    Cause: the attempts of all calls were cancelled.
    """
    core = routed_core.Core()
    core.arrive("confirm")
    core.tell(inputs.CallerGone, "r")
    assert not core.find(effects.CancelAttempt), core.last_effects
    core.arrive("long", "r2")
    core.tell(inputs.CallerGone, "r2")
    assert core.find(effects.CancelAttempt)


def retries_stay_within_their_budget() -> None:
    """Retries of a service stop when the retry budget is used up.

    Symptom: failing servers get a multiple of the usual traffic.
    Sequence: every call fails after it was sent.
    Cause: each request had its attempts, whatever others had used.
    """
    core = routed_core.Core(servers=3, retry_ratio=0.1, retry_burst=5.0)
    retries = 0
    for number in range(100):
        core.arrive("release", f"r{number}")
        core.fail(core.dispatch(), CONNECT)
        retries += len(core.find(effects.Dispatch))
        for sent in core.find(effects.Dispatch):
            core.answer(sent)
        core.restore_servers()
    assert 5 <= retries <= 16, retries


def a_fleet_shares_the_burst_of_retries() -> None:
    """Nine daemons together have one retry burst.

    Symptom: more retries than the operators allow, summed over daemons.
    Sequence: nine daemons retry at one time.
    Cause: each daemon used the whole burst.
    """
    core = routed_core.Core(servers=3, retry_ratio=0.0, retry_burst=18.0)
    core.tell(inputs.MembersChanged, tuple(f"d{n}" for n in range(9)))
    retries = 0
    for number in range(30):
        core.arrive("release", f"r{number}")
        core.fail(core.dispatch(), SENT)
        retries += len(core.find(effects.Dispatch))
        core.restore_servers()
    assert retries == 1, retries


def a_short_urgent_request_passes_long_ones_that_are_queued() -> None:
    """A queued prompt delays only requests of its own or a lower priority.

    Behind one long prompt that waited for 100 ms or more, every request for
    the model was queued, also those that an engine would have started at
    once.
    """
    core = routed_core.Core(servers=2, hold_ms=100, prefill_us_per_token=15)
    routes = (
        routed_core.route("long", routed_core.ENGINES, streaming=True),
        routed_core.route("short", routed_core.ENGINES, streaming=True),
    )
    prioritized = tuple(
        dataclasses.replace(route, priority=priority)
        for route, priority in zip(routes, (1, 0), strict=True)
    )
    core.tell(inputs.TableChanged, routed_core.table(2, routes=prioritized))
    for number in range(8):
        prompt = (work.Level(number, 10_000),)
        core.arrive("long", f"long{number}", levels=prompt)
    event_names = [e.name for e in core.find(effects.Event)]
    assert "queued" in event_names, event_names
    core.arrive("short", "short", levels=(work.Level(100, 300),))
    assert core.dispatch().request_id == "short"
    core.arrive("long", "last", levels=(work.Level(101, 300),))
    assert not core.find(effects.Dispatch)


def a_model_queues_no_more_than_its_limit_over_all_priorities() -> None:
    """Queued requests of all priorities count together for max_queue."""
    core = routed_core.Core(servers=1, hold_ms=0, prefill_us_per_token=15)
    routes = tuple(
        routed_core.route(
            name, routed_core.ENGINES, streaming=True, priority=priority
        )
        for name, priority in (("long", 1), ("short", 0))
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


def a_busy_service_is_not_probed_for_each_slow_answer() -> None:
    """Answers that take as long as usual cause no probe.

    With a queue of 400 ms, each daemon probed each server for each call, and
    the probes waited in the same queue.
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
    probes = [e for e in core.wait(600) if isinstance(e, effects.Probe)]
    assert [probe.server_id for probe in probes] == [slow.server_id]


def a_server_that_stops_responding_is_noticed_within_half_a_second() -> None:
    """A server that is silent while requests are in flight is probed at once.

    Symptom: for seconds, a third of all requests is lost at a server that
        stopped responding; every daemon notices by its own losses only.
    Sequence: a server stops responding to a long prompt and a short one; a
        probe fails.
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


def demand_without_a_limit_is_not_counted() -> None:
    """Daemons exchange no demand of workspaces without limits.

    Symptom: two fifths of what daemons send each other is demand of
        workspaces without limits.
    Sequence: requests come and go on a table without limits.
    Cause: demand was counted for every workspace, even where it
        determines no share of a limit.
    """
    core = routed_core.Core()
    core.arrive("long", "r1")
    core.answer(core.dispatch())
    core.wait(1_000)
    cells = set(core.world.shares.cells)
    assert not [cell for cell in cells if not cell.startswith("model/")], cells


def many_daemons_probe_a_silent_server_in_turn() -> None:
    """A slow server is not probed by every daemon.

    Symptom: engines answer as many probes as requests.
    Sequence: sixty daemons each wait half a second for a long prompt at an
        engine; the last one in probe order receives a peer's suspicion.
    Cause: every daemon probed after the same short silence.
    """
    core = routed_core.Core(servers=1)
    daemons = tuple(sorted(["d", *(f"d{n}" for n in range(59))]))
    core.tell(inputs.MembersChanged, daemons)
    core.arrive("long", "r1")
    order = assignment.probe_order("e1", daemons)
    core.world.daemon = order[0]
    assert [p.server_id for p in core.wait(350) if _is_probe(p)] == ["e1"]
    core.world.servers["e1"].last_probe_ms = -10_000
    core.world.daemon = order[-1]
    assert not [p for p in core.wait(400) if _is_probe(p)]
    core.tell(server_inputs.ServerDoubted, "e1")
    assert core.find(effects.Probe)


def _is_probe(effect: effects.Effect) -> bool:
    return isinstance(effect, effects.Probe)


def a_peer_s_suspicion_causes_a_probe_only() -> None:
    """A daemon with a broken path takes no server away from the others.

    Symptom: a server that works gets no requests from any daemon.
    Sequence: a daemon that is cut off from a server reports it; the server
        responds to this daemon.
    Cause: a peer's suspicion was treated like a failed probe.
    """
    core = routed_core.Core(servers=1)
    core.tell(server_inputs.ServerDoubted, "e1")
    assert core.find(effects.Probe)
    core.tell(server_inputs.ProbeAnswered, "e1", True)
    core.arrive("long")
    assert core.dispatch().server_id == "e1"


def a_busy_server_that_answers_keeps_its_requests() -> None:
    """A request stays with a silent server that answers a probe.

    Symptom: long prompts are computed twice.
    Sequence: nothing is received for 350 ms; the server answers a probe.
    Cause: a server was considered lost only because it was silent.
    """
    core = routed_core.Core()
    core.arrive("long")
    sent = core.dispatch()
    core.wait(350)
    core.tell(server_inputs.ProbeAnswered, sent.server_id, True)
    assert not core.find(effects.Dispatch), core.last_effects
    assert not core.find(effects.CancelAttempt)


def queued_requests_stay_with_a_server_that_responds() -> None:
    """Under full load, a first event may take longer than its timeout.

    Symptom: with two of five servers down, the remaining ones are ejected
        when load is highest, and prompts queued there are computed twice.
    Sequence: two prompts wait for 2.5 s at a server that answers others.
    Cause: a late first event always counted as a request that the server
        lost.
    """
    core = routed_core.Core(servers=1, first_frame_ms=2_000)
    core.arrive("short", "other")
    other = core.dispatch()
    for name in ("r1", "r2"):
        core.arrive("long", name)
    for _ in range(5):
        core.wait(500)
        core.open(other)
        assert not core.find(effects.CancelAttempt), core.last_effects
    assert not core.world.servers["e1"].ejected_until_ms


def a_request_that_was_overtaken_moves() -> None:
    """A server that has started a later request has lost the earlier one.

    Symptom: a caller waits until its deadline for a request that hangs.
    Sequence: two prompts are sent to each of two servers; one server starts
        the later one only.
    Cause: a request stayed with its server as long as the server responded.
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
    sent: list[effects.Dispatch] = []
    for _ in range(5):
        core.wait(500)
        sent += core.find(effects.Dispatch)
        core.open(later)
    (moved,) = sent
    assert (moved.request_id, moved.server_id) == ("r1", "e2"), moved
    core.open(moved)
    core.frames(moved, 1)
    cancelled = [e.attempt_id for e in core.find(effects.CancelAttempt)]
    assert cancelled == [hanging.attempt_id], core.last_effects


def a_stopping_daemon_begins_no_request() -> None:
    """A request that arrives at a stopping daemon is refused as not run.

    Guards against requests cut by the end of the process: one that arrived on
    an open connection was sent to a server, whatever time was left for it.
    """
    core = routed_core.Core()
    core.arrive("confirm", "r1")
    begun = core.dispatch()
    core.tell(inputs.StopOrdered)
    core.arrive("confirm", "r2")
    assert not core.find(effects.Dispatch)
    refusal = core.refusal()
    assert refusal.outcome is effects.Outcome.NOT_RUN, refusal
    assert refusal.status == 503 and refusal.retry_after_ms, refusal
    assert not core.find(effects.Stopped)
    core.answer(begun)
    assert core.find(effects.Reply) and core.find(effects.Stopped)


def an_overdue_stop_answers_every_request() -> None:
    """Requests that are left when the process must end get a final answer.

    Guards against callers that can't tell whether a request has run: their
    connections were closed, also those of requests that were still queued.
    """
    core = routed_core.Core(servers=1, hold_ms=0, prefill_us_per_token=15)
    core.arrive("confirm", "sent")
    core.arrive("short", "begun")
    stream = core.dispatch()
    core.open(stream)
    core.frames(stream, 1)
    while not core.world.queued_count():
        prompt = (work.Level(len(core.world.requests), 4_000),)
        core.arrive("long", f"r{len(core.world.requests)}", levels=prompt)
    queued = f"r{len(core.world.requests) - 1}"
    core.tell(inputs.StopOrdered)
    core.tell(inputs.StopOverdue)
    refused = {
        refusal.request_id: refusal for refusal in core.find(effects.Refuse)
    }
    assert refused["sent"].status == 502, refused["sent"]
    assert refused["sent"].outcome is effects.Outcome.UNKNOWN
    assert refused[queued].status == 503, refused[queued]
    assert refused[queued].outcome is effects.Outcome.NOT_RUN
    (broken,) = core.find(effects.BreakStream)
    assert broken.request_id == "begun"
    assert core.find(effects.Stopped) and not core.world.requests


def a_refusal_that_says_not_run_is_true() -> None:
    """Over many schedules, not_run is reported only where nothing ran.

    Symptom: a caller repeats a call that has run.
    Sequence: attempts fail, are declined, time out and lose their callers in
        any order.
    Cause: any path that ignores that an attempt may have run.
    """
    for seed in range(SCHEDULES):
        _one_schedule(random.Random(seed))


def _one_schedule(rng: random.Random) -> None:
    core = routed_core.Core(servers=rng.choice((1, 2, 3)))
    name = rng.choice(("confirm", "release", "long", "short"))
    core.arrive(name)
    may_have_run = 0
    runs_once = name in ("confirm", "short")
    sent = core.find(effects.Dispatch)
    while sent:
        attempt = sent[-1]
        phase = rng.choice((SENT, DECLINED, CONNECT, None))
        if phase is None:
            new_effects = core.wait(rng.choice((100, 2_000, 7_000)))
            may_have_run += 1
        else:
            may_have_run += phase is SENT
            cause = REFUSED if phase is DECLINED else None
            new_effects = core.fail(attempt, phase, cause)
        for refused in core.find(effects.Refuse):
            not_run = refused.status in (408, 421, 429, 503)
            assert not (not_run and may_have_run), (name, refused)
            assert (refused.outcome is NOT_RUN) == not_run, refused
        sent = [e for e in new_effects if isinstance(e, effects.Dispatch)]
        assert not (runs_once and may_have_run and sent), (name, sent)
        if phase is None and not sent:
            return
