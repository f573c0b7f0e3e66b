"""Which software version a stream goes on at, and who knows it."""

from __future__ import annotations

from cases import routed_core
from godwittack.core import (
    effects,
    inputs,
    server_inputs,
    stream_records,
    stream_versions,
    work,
)
from godwittack.table import model
from sim import out_of_step_fleets, version_fleets

SENT = inputs.FailurePhase.SENT
LIFE_MS = stream_records.STREAM_LIFE_MS
PEERS = ("d", "p1", "p2", "p3", "p4")
OTHER_KEY = "key-of-other"


def _core(
    *versions: str, peers: tuple[str, ...] = ("d",), **policy_fields
) -> routed_core.Core:
    """Returns a core with one engine of each version, e1 and so on."""
    core = routed_core.Core(servers=0, **policy_fields)
    for number, version in enumerate(versions, 1):
        _list(core, f"e{number}", version)
    core.tell(inputs.MembersChanged, peers)
    return core


def _list(core: routed_core.Core, name: str, version: str, **fields) -> None:
    core.list_server(
        name, routed_core.ENGINES, software_version=version, **fields
    )


def _pass_life(core: routed_core.Core) -> None:
    core.now_ms += LIFE_MS + 1
    core.tell(inputs.Tick)
    core.renew_serving_lease()


def _following_core() -> routed_core.Core:
    """Returns a core of a platform's daemon that has followed all changes."""
    core = _core("v1", peers=PEERS, **routed_core.PLATFORM_POLICY)
    core.confirm()
    core.follow(for_ms=LIFE_MS + 1)
    core.tell(inputs.Tick)
    return core


def _begin(core: routed_core.Core, name: str) -> effects.Dispatch:
    """Begins a stream, delivers two events, and lets its caller leave."""
    core.arrive("long", f"{name}~1", caller_request_id=name)
    sent = core.dispatch()
    core.open(sent)
    core.frames(sent, 1, 2)
    return sent


def _take_up(core: routed_core.Core, name: str, **fields) -> None:
    core.arrive(
        "long",
        f"again-{name}~2",
        caller_request_id=f"again-{name}",
        resumes=name,
        resume_after=2,
        **fields,
    )


def _answer(core: routed_core.Core, daemon: str, **fields) -> None:
    """Delivers another daemon's answer to the last question."""
    knowledge = None
    if fields:
        knowledge = work.StreamKnowledge(
            **{
                "is_known": False,
                "version": "",
                "recent_versions": (),
                "is_complete": False,
                **fields,
            }
        )
    core.tell_named(
        inputs.StreamAnswered,
        request_id="again-a~2",
        daemon=daemon,
        knowledge=knowledge,
    )


def check_refused(core: routed_core.Core) -> None:
    """Checks that a stream is refused, with a time to come back."""
    refused = core.refusal()
    assert refused.reason is effects.Reason.VERSION_UNKNOWN, refused
    assert refused.status == 503 and refused.retry_after_ms, refused
    assert refused.outcome is effects.Outcome.NOT_RUN, refused


def a_stream_breaks_without_a_server_of_its_version() -> None:
    """Guards against a stream that goes on at the only server left."""
    core = _core("v1", "v2")
    sent = _begin(core, "a")
    core.fail(sent, SENT)
    assert not core.find(effects.Dispatch), core.last_effects
    assert core.find(effects.BreakStream), core.last_effects


def a_stream_goes_on_at_another_server_of_its_version() -> None:
    """Guards against a stream that breaks although its version is served."""
    core = _core("v1", "v2", "v1", "v2")
    sent = _begin(core, "a")
    core.fail(sent, SENT)
    odd = {"e1", "e3"}
    assert {core.dispatch().server_id, sent.server_id} in (odd, {"e2", "e4"})


def a_request_without_events_may_change_its_version() -> None:
    """Guards against a retry bound to the version of a failed attempt."""
    core = _core("v1", "v2")
    core.arrive("long")
    first = core.dispatch()
    core.fail(first, SENT)
    assert core.dispatch().server_id != first.server_id


def the_version_is_that_of_the_process_that_ran() -> None:
    """Guards against the version of a process that took over an id."""
    core = _core("v1", "v1", "v2", "v2")
    core.arrive("long", "a~1", caller_request_id="a")
    sent = core.dispatch()
    _list(core, sent.server_id, "v3")
    core.open(sent)
    core.frames(sent, 1, 2)
    core.fail(sent, SENT)
    assert core.find(effects.BreakStream), core.last_effects


def a_stream_is_told_before_its_first_event_goes_out() -> None:
    """Guards against a client that is faster than the record of its stream."""
    core = _core("v1", "v2", peers=PEERS)
    _begin(core, "a")
    kinds = [type(effect) for effect in core.last_effects]
    told = core.find(effects.TellStream)[0]
    assert kinds.index(effects.TellStream) < kinds.index(effects.BeginStream)
    assert len(told.daemons) == 3 and "d" not in told.daemons, told


def a_second_version_has_earlier_streams_told() -> None:
    """Guards against a stream that nobody knows since it began before."""
    core = _core("v1", peers=PEERS)
    _pass_life(core)
    _begin(core, "a")
    assert not core.find(effects.TellStream), core.last_effects
    _list(core, "e2", "v2")
    assert len(core.find(effects.TellStream)) == 1, core.last_effects
    _begin(core, "b")
    assert len(core.find(effects.TellStream)) == 1, core.last_effects


def a_told_stream_goes_on_at_its_version() -> None:
    """Guards against a record that its holder doesn't use."""
    core = _core("v1", "v2", peers=PEERS)
    for version, server in (("v2", "e2"), ("v1", "e1")):
        core.tell_named(
            inputs.StreamTold,
            key=stream_records.stream_key("desk", version),
            target=routed_core.ENGINES,
            version=version,
            left_ms=5_000,
        )
        _take_up(core, version)
        assert core.dispatch().server_id == server


def one_daemon_that_knows_is_enough() -> None:
    """Guards against a wait for daemons that don't answer."""
    core = _core("v1", "v2", peers=PEERS)
    _take_up(core, "a")
    asked = core.find(effects.AskStream)[0]
    _answer(core, asked.daemons[0])
    assert not core.find(effects.Dispatch)
    _answer(core, asked.daemons[1], is_known=True, version="v2")
    assert core.dispatch().server_id == "e2"
    _answer(core, asked.daemons[2], is_known=True, version="v1")
    assert not core.find(effects.Dispatch), core.last_effects


def a_stream_that_no_daemon_knows_is_refused() -> None:
    """Guards against a guess while two versions serve, or served of late."""
    for versions, theirs in (
        (("v1", "v2"), ("v1", "v2")),
        (("v1",), ("v1", "v2")),
        (("v1", "v2"), ("v1",)),
    ):
        core = _core(*versions, peers=PEERS)
        _pass_life(core)
        _take_up(core, "a")
        for daemon in core.find(effects.AskStream)[0].daemons:
            _answer(core, daemon, recent_versions=theirs, is_complete=True)
        check_refused(core)


def a_version_that_left_of_late_counts() -> None:
    """Guards against the present versions taken for those of all streams."""
    core = _core("v1", "v2", peers=PEERS)
    _pass_life(core)
    core.tell_named(server_inputs.ServerListed, server_id="e1", gone=True)
    _take_up(core, "a")
    for daemon in core.find(effects.AskStream)[0].daemons:
        _answer(core, daemon, recent_versions=("v2",), is_complete=True)
    check_refused(core)


def a_single_version_needs_no_record() -> None:
    """Guards against streams refused although only one version served."""
    core = _core("v1", peers=PEERS)
    _pass_life(core)
    _take_up(core, "a")
    asked = core.find(effects.AskStream)[0].daemons
    _answer(core, asked[0])
    _answer(core, asked[1], recent_versions=("v1",), is_complete=False)
    _answer(core, asked[2])
    assert core.dispatch().server_id == "e1"


def a_daemon_cut_off_from_all_others_resumes_nothing_unknown() -> None:
    """Guards against a stale list that shows a single version."""
    core = _core("v1", peers=PEERS)
    _pass_life(core)
    _take_up(core, "a")
    for daemon in core.find(effects.AskStream)[0].daemons:
        _answer(core, daemon)
    check_refused(core)


def _answer_from(
    core: routed_core.Core, other: routed_core.Core, daemon: str
) -> None:
    """Delivers what another core knows of the stream asked about."""
    asked = core.find(effects.AskStream)
    key = stream_records.stream_key("desk", "a")
    target = asked[0].target if asked else routed_core.ENGINES
    core.tell_named(
        inputs.StreamAnswered,
        request_id="again-a~2",
        daemon=daemon,
        knowledge=stream_versions.knowledge(
            other.world, key, target, now_ms=other.now_ms
        ),
    )


def a_daemon_that_has_lost_all_others_resumes_nothing_unknown() -> None:
    """Guards against a list from before a cut that shows a single version."""
    core = _following_core()
    core.tell(inputs.MembersChanged, ("d",), known=len(PEERS))
    _take_up(core, "a")
    core.end_reads(has_read=False)
    check_refused(core)


def a_daemon_that_loses_the_others_while_it_asks_resumes_nothing() -> None:
    """Guards against lost daemons that no longer count as without answer."""
    core = _core("v1", peers=PEERS)
    _pass_life(core)
    _take_up(core, "a")
    asked = core.find(effects.AskStream)[0].daemons
    core.tell(inputs.MembersChanged, ("d",), known=len(PEERS))
    for daemon in asked:
        _answer(core, daemon)
    check_refused(core)


def a_daemon_that_lost_all_others_resumes_its_own_streams() -> None:
    """Guards against refusing streams whose version this daemon has seen."""
    core = _core("v1", peers=PEERS)
    _pass_life(core)
    _begin(core, "a")
    core.tell(inputs.MembersChanged, ("d",), known=len(PEERS))
    _take_up(core, "a")
    assert core.dispatch().server_id == "e1"


def two_daemons_cut_off_together_resume_nothing_unknown() -> None:
    """Guards against old lists that confirm each other."""
    core, other = (_following_core() for _ in range(2))
    for one in (core, other):
        one.tell(inputs.MembersChanged, ("d", "p1"), known=len(PEERS))
    _take_up(core, "a")
    assert core.find(effects.AskStream)[0].daemons == ("p1",)
    _answer_from(core, other, "p1")
    assert not core.find(effects.Dispatch), core.last_effects
    core.end_reads(has_read=False)
    check_refused(core)


def streams_are_told_when_all_servers_are_replaced_at_once() -> None:
    """Guards against old servers that leave in the moment the new ones join."""
    for joins_first in (True, False):
        core = _core("v1", "v1", peers=PEERS)
        _pass_life(core)
        _begin(core, "first")
        told = []
        if joins_first:
            _list(core, "e3", "v2")
            told += core.find(effects.TellStream)
        for name in ("e1", "e2"):
            core.tell_named(
                server_inputs.ServerListed, server_id=name, gone=True
            )
            told += core.find(effects.TellStream)
        if not joins_first:
            _list(core, "e3", "v2")
            told += core.find(effects.TellStream)
        assert [one.version for one in told] == ["v1"], (joins_first, told)
        _begin(core, "b")
        assert core.find(effects.TellStream)[0].version == "v2", joins_first
        _take_up(core, "a")
        for daemon in core.find(effects.AskStream)[0].daemons:
            _answer(core, daemon, recent_versions=("v2",), is_complete=True)
        check_refused(core)


def an_id_listed_again_with_another_version_keeps_both() -> None:
    """Guards against a version forgotten as its server's id comes back."""
    for is_removed in (True, False):
        core = _core("v1", peers=PEERS)
        _pass_life(core)
        _begin(core, "first")
        if is_removed:
            core.tell_named(
                server_inputs.ServerListed, server_id="e1", gone=True
            )
        _list(core, "e1", "v2", incarnation="e1.2")
        assert core.find(effects.TellStream)[0].version == "v1", is_removed
        _take_up(core, "a")
        for daemon in core.find(effects.AskStream)[0].daemons:
            _answer(core, daemon, recent_versions=("v2",), is_complete=True)
        check_refused(core)
        # The own record is of the version that is not served any more.
        _take_up(core, "first")
        assert core.refusal().reason is effects.Reason.NO_SERVER


def a_daemon_with_an_old_list_lets_no_one_in_step_resume() -> None:
    """Guards against an answer from an old list that outvotes a newer one."""
    old = _core("v1", peers=PEERS)
    _pass_life(old)
    for is_complete in (True, False):
        core = _core("v1", "v2", peers=PEERS)
        if is_complete:
            _pass_life(core)
        _take_up(core, "a")
        asked = core.find(effects.AskStream)[0].daemons
        _answer_from(core, old, asked[0])
        _answer(core, asked[1])
        _answer(core, asked[2])
        check_refused(core)


def one_daemon_in_step_stops_another_with_an_old_list() -> None:
    """Guards against an old list after a cut has healed, not yet read again."""
    core = _core("v1", peers=PEERS)
    _pass_life(core)
    core.tell(inputs.MembersChanged, ("d",), known=len(PEERS))
    core.now_ms += 3_000
    core.tell(inputs.MembersChanged, PEERS, known=len(PEERS))
    in_step = _core("v1", "v2", peers=PEERS)
    _take_up(core, "a")
    asked = core.find(effects.AskStream)[0].daemons
    assert len(asked) == 3, asked
    _answer(core, asked[0])
    _answer(core, asked[1], recent_versions=("v1",), is_complete=True)
    _answer_from(core, in_step, asked[2])
    check_refused(core)


def a_holder_whose_record_was_lost_stops_no_other() -> None:
    """Guards against "unknown" of one holder that counts before the others."""
    core = _core("v1", peers=PEERS)
    old = _core("v1", peers=PEERS)
    for one in (core, old):
        _pass_life(one)
    _list(core, "e2", "v2")
    _take_up(core, "a")
    asked = core.find(effects.AskStream)[0].daemons
    _answer_from(core, old, asked[0])
    assert not core.find(effects.Dispatch), core.last_effects
    _answer(core, asked[1], is_known=True, version="v2")
    assert core.dispatch().server_id == "e2"


def two_daemons_that_have_just_healed_resume_nothing_unknown() -> None:
    """Guards against two old lists if all holders in step stay silent."""
    core, other = (_following_core() for _ in range(2))
    for one in (core, other):
        one.tell(inputs.MembersChanged, ("d", "p1"), known=len(PEERS))
        one.now_ms += 3_000
        # The daemons that hold the record have ended; the list isn't read yet.
        one.tell(inputs.MembersChanged, ("d", "p1", "p2"), known=len(PEERS))
    _take_up(core, "a")
    assert sorted(core.find(effects.AskStream)[0].daemons) == ["p1", "p2"]
    _answer_from(core, other, "p1")
    _answer(core, "p2")
    core.end_reads(has_read=False)
    check_refused(core)


def a_refusal_says_when_the_version_may_be_known() -> None:
    """Guards against take-ups that are refused every half a second."""
    core = _core("v1", peers=PEERS)
    core.now_ms += 10_000
    for name, answers, retry_after_ms in (
        ("a daemon did not answer", 2, 500),
        ("all have answered", 3, LIFE_MS - 10_000),
    ):
        _take_up(core, "a")
        asked = core.find(effects.AskStream)[0].daemons
        for number, daemon in enumerate(asked):
            known = {"recent_versions": ("v1",)} if number < answers else {}
            _answer(core, daemon, **known)
        assert core.refusal().retry_after_ms == retry_after_ms, name


def a_refusal_waits_for_the_version_that_left_last() -> None:
    """Guards against a time to come back at which nothing is known yet."""
    core = _core("v1", "v2")
    _pass_life(core)
    _take_up(core, "a")
    assert core.refusal().retry_after_ms == LIFE_MS
    core.tell_named(server_inputs.ServerListed, server_id="e1", gone=True)
    core.now_ms += 20_000
    _take_up(core, "a")
    assert core.refusal().retry_after_ms == LIFE_MS - 20_000
    core.now_ms += LIFE_MS - 20_000 + 1
    core.renew_serving_lease()
    _take_up(core, "a")
    assert core.dispatch().server_id == "e2"


def a_refusal_is_short_while_daemons_have_not_met() -> None:
    """Guards against a long wait for what a daemon not met yet may know."""
    core = _core("v1")
    core.tell(inputs.MembersChanged, ("d",), known=5)
    _take_up(core, "a")
    assert core.refusal().retry_after_ms == 500


def a_stream_of_another_workspace_is_unknown() -> None:
    """Guards against a caller that names another workspace's stream."""
    core = _core("v1", "v2")
    table = routed_core.table(2)
    table.workspaces["other"] = model.WorkspaceRow(
        name="other",
        max_in_flight=routed_core.NO_LIMIT,
        max_requests_per_s=routed_core.NO_LIMIT,
    )
    table.workspace_by_token[routed_core.digest(OTHER_KEY)] = "other"
    core.tell(inputs.TableChanged, table)
    _begin(core, "a")
    _take_up(core, "a", token_sha256=routed_core.digest(OTHER_KEY))
    check_refused(core)


def an_id_used_at_two_versions_is_unknown() -> None:
    """Guards against the version of another stream with the same id."""
    core = _core("v1", "v2")
    sent = _begin(core, "a")
    core.tell_named(
        inputs.StreamTold,
        key=stream_records.stream_key("desk", "a"),
        target=routed_core.ENGINES,
        version="v2" if sent.server_id == "e1" else "v1",
        left_ms=5_000,
    )
    _take_up(core, "a")
    check_refused(core)


def a_stream_taken_up_does_not_hold_up_the_queue() -> None:
    """Guards against new work queued behind a version that is full."""
    core = _core("v1", "v2")
    sent = _begin(core, "a")
    core.tell_named(
        server_inputs.ServerListed, server_id=sent.server_id, gone=True
    )
    _take_up(core, "a")
    refused = core.refusal()
    assert refused.reason is effects.Reason.NO_SERVER, refused
    core.arrive("long", "new")
    assert core.find(effects.Dispatch), core.last_effects


def records_are_bounded() -> None:
    """Guards against memory that grows with the streams."""
    records = stream_records.StreamRecords()
    for number in range(stream_records.MAX_RECORDS + 10):
        records.add(
            stream_records.stream_key("desk", str(number)),
            stream_records.StreamRecord(
                target="m", version="v1", expires_at_ms=number
            ),
        )
    assert len(records) == stream_records.MAX_RECORDS
    records.expire(now_ms=stream_records.MAX_RECORDS + 10)
    assert not len(records)


def no_stream_of_a_fleet_has_two_versions() -> None:
    """Guards against mixed streams in releases, restarts and partitions."""
    for seed in range(version_fleets.SEEDS):
        fleet = version_fleets.Fleet(seed=seed, daemons=9)
        fleet.run()
        assert not fleet.mixed, (seed, fleet.mixed)
        begun = fleet.begun / fleet.new
        gone_on = fleet.gone_on / fleet.taken_up
        assert gone_on >= begun / 2, (seed, begun, gone_on)


def no_stream_of_a_large_fleet_has_two_versions() -> None:
    """Guards against records that only a small fleet finds again."""
    for seed, daemons in enumerate((63, 195)):
        fleet = version_fleets.Fleet(seed=seed, daemons=daemons)
        fleet.run()
        assert not fleet.mixed, (daemons, fleet.mixed)
        begun = fleet.begun / fleet.new
        gone_on = fleet.gone_on / fleet.taken_up
        assert gone_on >= begun / 2, (daemons, begun, gone_on)


def _play_out_of_step(*plans: out_of_step_fleets.Plan) -> None:
    for plan in plans:
        for seed in range(version_fleets.SEEDS):
            fleet = out_of_step_fleets.Fleet(plan, seed=seed)
            fleet.run()
            assert not fleet.mixed, (plan, seed, fleet.mixed)
            begun = fleet.begun / fleet.new
            gone_on = fleet.gone_on / fleet.taken_up
            assert gone_on >= begun / 2, (plan, seed, begun, gone_on)


def no_stream_is_mixed_by_a_daemon_that_is_cut_off() -> None:
    """Guards against the old list of a daemon that has lost all others."""
    _play_out_of_step(out_of_step_fleets.Plan())


def no_stream_is_mixed_by_daemons_that_are_cut_off_together() -> None:
    """Guards against daemons that confirm each other's old list."""
    for is_noticed in (True, False):
        _play_out_of_step(out_of_step_fleets.Plan(cut=2, is_noticed=is_noticed))


def no_stream_is_mixed_by_a_daemon_that_stood_still() -> None:
    """Guards against the old list of a daemon that has just gone on."""
    _play_out_of_step(out_of_step_fleets.Plan(is_noticed=False, lost_share=1.0))


def no_stream_is_mixed_when_old_servers_leave_during_a_cut() -> None:
    """Guards against take-ups by a list of servers that have all left."""
    _play_out_of_step(out_of_step_fleets.Plan(cut=2, leave_ms=1_600))


def no_stream_is_mixed_when_a_version_came_and_went_during_a_cut() -> None:
    """Guards against a newest list that lacks what was listed in between."""
    for is_planned in (False, True):
        _play_out_of_step(
            out_of_step_fleets.Plan(
                daemons=3,
                cut=2,
                return_ms=4_500,
                is_noticed=False,
                kills_others=True,
                is_planned=is_planned,
            )
        )


def no_stream_is_mixed_when_all_daemons_in_step_have_left() -> None:
    """Guards against a version that only daemons that have left had seen."""
    _play_out_of_step(
        out_of_step_fleets.Plan(
            return_ms=4_500,
            is_noticed=False,
            kills_others=True,
            is_planned=True,
        )
    )


def no_stream_is_mixed_by_new_daemons_that_ask_one_out_of_step() -> None:
    """Guards against an old list that completes what a new daemon has seen."""
    _play_out_of_step(
        out_of_step_fleets.Plan(
            cut=2,
            return_ms=4_500,
            is_noticed=False,
            kills_others=True,
            restarts_others=True,
        )
    )
