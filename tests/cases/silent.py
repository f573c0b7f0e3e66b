"""Backend servers that fall silent for a moment, as the core treats them."""

from __future__ import annotations

from cases import routed_core
from cases.routed_core import Core
from godwittack.core import effects, inputs, server_inputs
from sim import recordings

SILENT_MS = 400


def begun(core: Core, *events: int, **fields) -> effects.Dispatch:
    """Returns the attempt of a resumable stream that has brought events."""
    core.arrive("long", **fields)
    sent = core.dispatch()
    core.open(sent)
    core.frames(sent, *events)
    return sent


def other(core: Core, sent: effects.Dispatch) -> str:
    """Returns the other server of the target."""
    names = {"e1": "e2", "e2": "e1", "s1": "s2", "s2": "s1"}
    return names[sent.server_id]


def hear(core: Core, name: str) -> list[effects.Effect]:
    """Lets a server respond to a probe; returns the effects."""
    return core.tell(server_inputs.ProbeAnswered, name, alive=True)


def lose(core: Core, *names: str) -> list[effects.Effect]:
    """Leaves probes of servers unanswered; returns the effects."""
    core.wait(SILENT_MS)
    found: list[effects.Effect] = []
    for name in names:
        found += core.tell(server_inputs.ProbeAnswered, name, alive=False)
    core.last_effects = found
    return found


def second_attempt(core: Core, first: effects.Dispatch) -> effects.Dispatch:
    """Returns the attempt at another server once the first one is silent."""
    found = lose(core, first.server_id)
    core.last_effects = found + hear(core, other(core, first))
    return core.dispatch()


def check_waits(core: Core, *, for_ms: int = 1_000) -> None:
    """Checks that nothing ends while nothing happens."""
    found = core.last_effects + core.wait(for_ms)
    core.last_effects = found
    ends = (
        effects.BreakStream,
        effects.Refuse,
        effects.CancelAttempt,
        effects.EndStream,
        effects.Reply,
    )
    assert not [e for e in found if isinstance(e, ends)], found


def a_stream_outlasts_a_silence_of_all_servers() -> None:
    """Guards against streams cut because no other server may be asked."""
    core = Core()
    sent = begun(core, 1, 2)
    lose(core, "e1", "e2")
    check_waits(core)
    core.frames(sent, 3, 4, end=True)
    (relay,) = core.find(effects.Relay)
    assert [f.number for f in relay.frames] == [3, 4, 5], relay
    assert core.find(effects.EndStream)


def a_stream_without_further_attempts_outlasts_a_silence() -> None:
    """Guards against streams cut because their attempts are used up."""
    core = Core()
    first = begun(core, 1)
    second = second_attempt(core, first)
    lose(core, second.server_id)
    check_waits(core)
    core.open(second)
    core.frames(second, 2, 3, end=True)
    assert core.find(effects.EndStream), core.last_effects


def a_stream_without_retry_budget_outlasts_a_silence() -> None:
    """Guards against streams cut because the retry budget is used up."""
    core = Core(retry_burst=0.0, retry_ratio=0.0)
    first = begun(core, 1)
    found = lose(core, first.server_id)
    core.last_effects = found + hear(core, other(core, first))
    check_waits(core)
    core.frames(first, 2, end=True)
    assert core.find(effects.EndStream), core.last_effects


def a_request_without_an_answer_outlasts_a_silence_of_all_servers() -> None:
    """Guards against failures answered beside servers that will answer."""
    for name, silent in (("long", ("e1", "e2")), ("release", ("s1", "s2"))):
        core = Core()
        core.arrive(name)
        sent = core.dispatch()
        lose(core, *silent)
        check_waits(core, for_ms=1_500)
        if name == "release":
            core.answer(sent)
            assert core.find(effects.Reply), core.last_effects
            continue
        core.open(sent)
        core.frames(sent, 1, end=True)
        assert core.find(effects.EndStream), core.last_effects


def a_pause_between_events_ends_nothing() -> None:
    """Guards against streams cut by a long pause of a server that responds."""
    core = Core(frame_gap_ms=1_000, servers=1)
    sent = begun(core, 1)
    for _ in range(12):
        hear(core, sent.server_id)
        check_waits(core, for_ms=200)
    core.frames(sent, 2, end=True)
    assert core.find(effects.EndStream), core.last_effects


def cancelled(core: Core) -> list[str]:
    """Returns the attempts cancelled by the last input."""
    return [e.attempt_id for e in core.find(effects.CancelAttempt)]


def relayed(core: Core) -> list[int]:
    """Returns the numbers of the events relayed by the last input."""
    return [f.number for e in core.find(effects.Relay) for f in e.frames]


def a_silent_attempt_is_kept_until_another_brings_an_event() -> None:
    """Guards against attempts given up before another server has answered."""
    core = Core()
    first = begun(core, 1, 2)
    second = second_attempt(core, first)
    assert second.server_id != first.server_id and second.after == 2, second
    core.open(second)
    assert not cancelled(core), core.last_effects
    core.frames(second, 3, 4)
    assert (relayed(core), cancelled(core)) == ([3, 4], [first.attempt_id])
    core.frames(first, 3, 4, 5)
    assert not core.last_effects, core.last_effects
    core.frames(second, 5, end=True)
    assert core.find(effects.EndStream)


def a_silent_server_that_goes_on_first_keeps_its_stream() -> None:
    """Guards against events of two runs that are joined, or come twice."""
    core = Core()
    first = begun(core, 1, 2)
    second = second_attempt(core, first)
    core.frames(first, 3)
    assert (relayed(core), cancelled(core)) == ([3], [second.attempt_id])
    core.open(second)
    core.frames(second, 3, 4)
    assert not core.last_effects, core.last_effects
    core.frames(first, 4, end=True)
    assert core.find(effects.EndStream)


def an_answer_keeps_the_head_of_the_server_that_begins_it() -> None:
    """Guards against the signature of one server on the events of another."""
    core = Core()
    core.arrive("long")
    first = core.dispatch()
    core.open(first)
    second = second_attempt(core, first)
    core.open(second)
    core.frames(second, 1)
    (begin,) = core.find(effects.BeginStream)
    assert begin.server_id == second.server_id, begin
    assert begin.head.headers[0].value == second.server_id, begin.head
    assert cancelled(core) == [first.attempt_id], core.last_effects


def a_server_that_may_be_silent_too_is_probed_first() -> None:
    """Guards against attempts used up on servers that are silent as well."""
    core = Core()
    hear(core, "e1")
    hear(core, "e2")
    first = begun(core, 1)
    found = lose(core, first.server_id)
    assert not [e for e in found if isinstance(e, effects.Dispatch)], found
    probed = [e.server_id for e in found if isinstance(e, effects.Probe)]
    assert other(core, first) in probed, found
    hear(core, other(core, first))
    assert core.dispatch().server_id == other(core, first)


def a_second_attempt_that_fails_leaves_the_silent_one() -> None:
    """Guards against streams cut by the failure of a second attempt."""
    for phase in inputs.FailurePhase:
        core = Core()
        first = begun(core, 1)
        second = second_attempt(core, first)
        core.fail(second, phase)
        check_waits(core)
        core.frames(first, 2, end=True)
        assert core.find(effects.EndStream), core.last_effects


def a_silent_attempt_that_fails_leaves_the_second_one() -> None:
    """Guards against a third attempt, or a cut, beside one that may answer."""
    core = Core(servers=3)
    core.arrive("long")
    first = core.dispatch()
    core.open(first)
    core.frames(first, 1)
    core.last_effects = lose(core, first.server_id)
    second = core.dispatch()
    core.fail(first, inputs.FailurePhase.SENT)
    assert not core.find(effects.Dispatch), core.last_effects
    check_waits(core, for_ms=200)
    core.open(second)
    core.frames(second, 2, end=True)
    assert core.find(effects.EndStream), core.last_effects


def a_call_gets_the_first_answer() -> None:
    """Guards against a call answered twice, or by an error beside a success."""
    core = Core()
    core.arrive("release")
    first = core.dispatch()
    second = second_attempt(core, first)
    core.answer(second, status=500)
    assert not core.find(effects.Reply), core.last_effects
    core.answer(first)
    (reply,) = core.find(effects.Reply)
    assert reply.answer.status == 200, reply


def a_caller_that_leaves_ends_all_attempts() -> None:
    """Guards against servers that work on for a caller who has left."""
    core = Core()
    first = begun(core, 1)
    second = second_attempt(core, first)
    core.tell(inputs.CallerGone, "r")
    assert cancelled(core) == [first.attempt_id, second.attempt_id]
    assert not core.world.attempts


def the_time_limit_of_a_route_ends_all_attempts() -> None:
    """Guards against a request that waits for silent servers for ever."""
    core = Core()
    first = begun(core, 1)
    second = second_attempt(core, first)
    core.wait(5_600)
    assert cancelled(core) == [first.attempt_id, second.attempt_id]
    assert core.find(effects.BreakStream)
    assert not core.world.requests and not core.world.attempts


def what_may_run_once_is_sent_to_one_server() -> None:
    """Guards against a call or stream that runs twice for a silence."""
    for name in ("short", "confirm"):
        core = Core()
        core.arrive(name)
        sent = core.dispatch()
        core.last_effects = lose(core, sent.server_id)
        core.last_effects += hear(core, other(core, sent))
        check_waits(core)
        assert not core.find(effects.Dispatch), core.last_effects


def a_stream_runs_on_no_more_servers_than_its_route_allows() -> None:
    """Guards against one server after the other for one silent request."""
    core = Core(servers=6)
    sent = begun(core, 1)
    dispatched = [sent.server_id]
    for _ in range(5):
        found = lose(core, dispatched[-1])
        for name in {f"e{n}" for n in range(1, 7)} - set(dispatched):
            found += hear(core, name)
        dispatched += [
            e.server_id for e in found if isinstance(e, effects.Dispatch)
        ]
    assert len(dispatched) == 2, dispatched


def a_removed_server_ends_the_wait() -> None:
    """Guards against a request that waits for a server that has ended."""
    core = Core(retry_burst=0.0, retry_ratio=0.0)
    sent = begun(core, 1)
    lose(core, sent.server_id)
    core.list_server(sent.server_id, routed_core.ENGINES, gone=True)
    core.wait(300)
    assert core.find(effects.BreakStream), core.last_effects


def a_server_that_goes_on_is_used_again_at_once() -> None:
    """Guards against sound servers left out for seconds after a silence."""
    core = Core()
    sent = begun(core, 1)
    lose(core, "e1", "e2")
    for _ in range(8):
        for probe in core.wait(200):
            if isinstance(probe, effects.Probe):
                core.tell(
                    server_inputs.ProbeAnswered,
                    probe.server_id,
                    alive=False,
                    fresh_connection=True,
                )
    core.frames(sent, 2)
    probed = [e for e in core.wait(50) if isinstance(e, effects.Probe)]
    assert [(p.server_id, p.fresh_connection) for p in probed] == [
        (sent.server_id, True)
    ]
    core.restore_servers()
    core.arrive("long", "next")
    assert core.dispatch()


def a_pause_of_the_daemon_is_no_silence_of_its_servers() -> None:
    """Guards against second runs of all requests after a pause of this process.

    Its timers expire before it has read what servers sent meanwhile.
    """
    core = Core(frame_gap_ms=1_000)
    sent = begun(core, 1)
    core.wait(50)
    core.now_ms += 1_350
    timed_out = {"alive": False, "late_ms": 1_300}
    found = core.tell(server_inputs.ProbeAnswered, sent.server_id, **timed_out)
    assert [type(e) for e in found] == [effects.Probe], found
    found = core.tell(inputs.Tick, 1_300)
    found += core.tell(server_inputs.ProbeAnswered, sent.server_id, alive=False)
    names = {e.name for e in found if isinstance(e, effects.Event)}
    assert names == {"daemon_paused"}, found
    core.frames(sent, 2, end=True)
    assert core.find(effects.EndStream), core.last_effects


def a_stream_outlasts_a_silence_without_a_serving_lease() -> None:
    """Guards against streams cut because a key can't be checked again."""
    for revoke in (False, True):
        core = Core()
        sent = begun(core, 1)
        if revoke:
            core.tell(inputs.TableChanged, routed_core.table(2, keys=()))
        else:
            core.renew_serving_lease(for_ms=0)
        found = lose(core, sent.server_id)
        core.last_effects = found + hear(core, other(core, sent))
        check_waits(core)
        assert not core.find(effects.Dispatch), core.last_effects
        core.frames(sent, 2, end=True)
        assert core.find(effects.EndStream), core.last_effects


def a_silence_is_no_crash_of_a_part() -> None:
    """Guards against shared prompts withheld because servers were silent."""
    core = Core(servers=6)
    for number in range(4):
        request = f"r{number}"
        sent = begun(core, 1, request=request, parts=("p",), fingerprint="f")
        core.last_effects = lose(core, sent.server_id)
        moved = [e.request_id for e in core.find(effects.Dispatch)]
        assert request in moved, core.last_effects


def a_server_that_ends_in_a_silence_counts_what_it_ran() -> None:
    """Guards against requests that end servers without a closed connection."""
    for budget in (50.0, 0.0):
        core = Core(retry_burst=budget, retry_ratio=0.0)
        first = begun(core, 1, fingerprint="f")
        core.last_effects = lose(core, first.server_id)
        for second in core.find(effects.Dispatch):
            core.open(second)
            core.frames(second, 2)
        assert len(cancelled(core)) == (1 if budget else 0)
        assert not core.world.quarantine.crashes("desk/f")
        core.list_server(first.server_id, routed_core.ENGINES, gone=True)
        assert len(core.world.quarantine.crashes("desk/f")) == 1


def a_stream_of_our_own_interface_outlasts_a_silence() -> None:
    """Guards against a stream ended because its engine was silent for long."""
    script = recordings.Script("", frame_gap_ms=500)
    script.list_server("engine-1", "rulebook")
    script.submit_generation("r")
    script.open(script.dispatches()[0])
    script.frames(script.dispatches()[0], 1, 2)
    for _ in range(8):
        script.tick(after_ms=500)
    resumed = script.dispatches()
    assert len(resumed) == 9 and resumed[-1].after == 2, resumed
    script.open(resumed[-1])
    script.frames(resumed[-1], 3, 4, end=True)
    ends = (effects.BreakStream, effects.EndStream)
    (end,) = [e for e in script.effects if isinstance(e, ends)]
    assert isinstance(end, effects.EndStream), end


__all__ = [
    "a_stream_of_our_own_interface_outlasts_a_silence",
    "a_call_gets_the_first_answer",
    "a_caller_that_leaves_ends_all_attempts",
    "a_pause_between_events_ends_nothing",
    "a_removed_server_ends_the_wait",
    "a_request_without_an_answer_outlasts_a_silence_of_all_servers",
    "a_second_attempt_that_fails_leaves_the_silent_one",
    "a_server_that_ends_in_a_silence_counts_what_it_ran",
    "a_server_that_may_be_silent_too_is_probed_first",
    "a_silence_is_no_crash_of_a_part",
    "a_silent_attempt_is_kept_until_another_brings_an_event",
    "a_silent_attempt_that_fails_leaves_the_second_one",
    "a_silent_server_that_goes_on_first_keeps_its_stream",
    "a_stream_outlasts_a_silence_of_all_servers",
    "a_stream_outlasts_a_silence_without_a_serving_lease",
    "a_stream_runs_on_no_more_servers_than_its_route_allows",
    "a_stream_without_further_attempts_outlasts_a_silence",
    "a_stream_without_retry_budget_outlasts_a_silence",
    "an_answer_keeps_the_head_of_the_server_that_begins_it",
    "the_time_limit_of_a_route_ends_all_attempts",
    "what_may_run_once_is_sent_to_one_server",
]
