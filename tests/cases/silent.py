"""Backend servers that fall silent for a moment, as the core treats them."""

from __future__ import annotations

from cases.routed_core import Core
from godwittack.core import effects, server_inputs

SILENT = 400


def begun(core: Core, *events: int, request: str = "r") -> effects.Dispatch:
    """Returns the attempt of a resumable stream that has brought events."""
    core.arrive("long", request)
    sent = core.dispatch()
    core.open(sent)
    core.frames(sent, *events)
    return sent


def other(core: Core, sent: effects.Dispatch) -> str:
    """Returns the other server of the target."""
    names = {"e1": "e2", "e2": "e1", "s1": "s2", "s2": "s1"}
    return names[sent.server_id]


def hear(core: Core, name: str) -> None:
    """Lets a server respond to a probe."""
    core.tell(server_inputs.ProbeAnswered, name, alive=True)


def lose(core: Core, *names: str) -> list[effects.Effect]:
    """Leaves probes of servers unanswered; returns the effects."""
    core.wait(SILENT)
    found: list[effects.Effect] = []
    for name in names:
        found += core.tell(server_inputs.ProbeAnswered, name, alive=False)
    core.last_effects = found
    return found


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
    hear(core, other(core, first))
    lose(core, first.server_id)
    core.last_effects = core.find(effects.Dispatch) or core.wait(100)
    second = core.dispatch()
    lose(core, second.server_id)
    check_waits(core)
    core.open(second)
    core.frames(second, 2, 3, end=True)
    assert core.find(effects.EndStream), core.last_effects


def a_stream_without_retry_budget_outlasts_a_silence() -> None:
    """Guards against streams cut because the retry budget is used up."""
    core = Core(retry_burst=0.0, retry_ratio=0.0)
    first = begun(core, 1)
    hear(core, other(core, first))
    lose(core, first.server_id)
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


__all__ = [
    "a_pause_between_events_ends_nothing",
    "a_request_without_an_answer_outlasts_a_silence_of_all_servers",
    "a_stream_outlasts_a_silence_of_all_servers",
    "a_stream_without_further_attempts_outlasts_a_silence",
    "a_stream_without_retry_budget_outlasts_a_silence",
]
