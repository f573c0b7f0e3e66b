"""Steps of sessions of one key on virtual time."""

from __future__ import annotations

from behave import given, then, when

from godwittack.core import effects
from sim import claim_sessions, loop

KEY = "claim-1"


@when("{count:d} seeded sessions of one key are played")
def play_seeds(context, count):
    """Plays sessions that differ in their seed only."""
    context.sessions = [
        loop.run(claim_sessions.random_session(seed)) for seed in range(count)
    ]


@then("no key ran more than once")
def at_most_once(context):
    """Checks the count of runs."""
    for session in context.sessions:
        for key in session.keys:
            assert session.world.runs(key) <= 1, (session.seed, key)


@then("every reported outcome is true")
def outcomes_true(context):
    """Checks each refusal against the services' count of runs."""
    for session in context.sessions:
        for call in session.world.calls:
            if call.outcome == "not_run":
                ran = session.world.ran(call.request_id)
                assert not ran, (session.seed, call)
            if call.outcome == "answer":
                assert session.world.runs(call.key) == 1, (session.seed, call)


@then("all callers that got an answer got the same one")
def same_answers(context):
    """Checks the bodies of all answers to a key."""
    answered = 0
    for session in context.sessions:
        for key in session.keys:
            bodies = {
                call.final_effect.answer.body
                for call in session.world.calls
                if call.key == key
                and isinstance(call.final_effect, effects.Reply)
            }
            assert len(bodies) <= 1, (session.seed, bodies)
            answered += len(bodies)
    # The check must not pass because no call was answered.
    assert answered > len(context.sessions) // 2, answered


@then("a key that never ran can run after the faults end")
def can_run(context):
    """Checks the call made after each session's faults."""
    for session in context.sessions:
        if session.killed or session.world.runs(session.keys[0]) == 0:
            continue
        last = session.world.calls[-1]
        assert last.outcome in ("answer", "unknown"), (session.seed, last)
    never = [
        session
        for session in context.sessions
        if not session.killed and session.world.runs(session.keys[0]) == 0
    ]
    for session in never:
        unknown = [c for c in session.world.calls if c.outcome == "unknown"]
        assert unknown, (session.seed, session.world.calls)


@given("a daemon that is paused after its claim, before {before}")
def paused_holder(context, before):
    """Plays the session: the key is sent elsewhere, then the daemon resumes."""
    context.sessions = [
        loop.run(claim_sessions.paused_holder(KEY, before=before))
    ]


@when("the same key is sent through another daemon after 10 minutes")
def sent_again(context):
    """Checks that the session had both calls."""
    assert len(context.sessions[0].world.calls) == 2


@then('the callers received the outcomes "{first}" and "{second}"')
def outcomes_of_both(context, first, second):
    """Checks both outcomes, in the order of the calls."""
    outcomes = [call.outcome for call in context.sessions[0].world.calls]
    assert outcomes == [first, second], outcomes


@given("a table service that loses the reply of the next write")
def lost_reply(context):
    """Sets the fault."""
    context.fault = "lose_reply"


@given("a table service that is down")
def table_down(context):
    """Sets the fault."""
    context.fault = "down"


@given("a table service on which writes take effect after 3 seconds")
def late_writes(context):
    """Sets the fault."""
    context.fault = "late_apply"


@when("a key is sent once")
def send_once(context):
    """Plays a session with the fault, then one more call without it."""
    session = loop.run(claim_sessions.one_fault(KEY, context.fault))
    context.sessions = [session]
    context.session = session


@then("the caller gets the answer")
def got_answer(context):
    """Checks the first caller."""
    first = context.session.world.calls[0]
    assert first.outcome == "answer", first


@then(
    'the caller is refused as "{outcome}" within {limit_ms:d} ms, with a retry'
    " delay"
)
def refused_in_time(context, outcome, limit_ms):
    """Checks the first caller's refusal and how long it took."""
    first = context.session.world.calls[0]
    assert first.outcome == outcome, first
    assert first.final_effect.retry_after_ms > 0
    assert context.session.first_call_ms <= limit_ms


@then("the same key sent after the service is back runs once")
def runs_after(context):
    """Checks the second caller."""
    second = context.session.world.calls[1]
    assert second.outcome == "answer", second
    assert context.session.world.runs(KEY) == 1
