"""Streams on routes that lead, or led, to several services."""

from __future__ import annotations

import itertools

from cases import routed_core, stream_versions
from godwittack.core import effects, inputs, stream_records
from godwittack.table import forwarding

LIFE_MS = stream_records.STREAM_LIFE_MS
BOTH = (routed_core.ENGINES, routed_core.SERVICE)
TRIES = 20


def _table(version: int, *targets: str):
    """Returns a table whose route "long" leads to targets."""
    route = routed_core.route(
        "long",
        targets[0],
        streaming=True,
        resumable=True,
        max_attempts=2,
        timeout_ms=6_000,
    )
    shared = tuple(forwarding.WeightedTarget(target=t) for t in targets)
    split = forwarding.Route(
        **{
            **{f: getattr(route, f) for f in route.__dataclass_fields__},
            "targets": shared,
        }
    )
    return routed_core.table(version=version, routes=(split,))


def _core(
    *targets: str, peers: tuple[str, ...] = ("d",), **policy_fields
) -> routed_core.Core:
    """Returns a core with an engine and a plain server of one version."""
    core = routed_core.Core(servers=0, **policy_fields)
    core.tell(inputs.TableChanged, _table(2, *targets))
    for name, target in zip(("e1", "s1"), BOTH, strict=True):
        core.list_server(name, target, software_version="v1")
    core.tell(inputs.MembersChanged, peers)
    core.confirm()
    core.follow(for_ms=LIFE_MS + 1)
    core.tell(inputs.Tick)
    core.renew_serving_lease()
    return core


def _begin(core: routed_core.Core, name: str) -> effects.Dispatch:
    core.arrive("long", f"{name}~1", caller_request_id=name)
    sent = core.dispatch()
    core.open(sent)
    core.frames(sent, 1, 2)
    return sent


def _take_up(core: routed_core.Core, name: str, number: int = 2) -> None:
    core.arrive(
        "long",
        f"again{number}-{name}~{number}",
        caller_request_id=f"again{number}-{name}",
        resumes=name,
        resume_after=2,
    )


def _check_unknown(core: routed_core.Core) -> None:
    refused = core.refusal()
    assert refused.reason is effects.Reason.VERSION_UNKNOWN, refused


def a_stream_of_a_split_route_goes_on_at_its_service() -> None:
    """Guards against streams joined from two services of one version."""
    core = _core(*BOTH)
    for number in range(TRIES):
        name = f"n{number}"
        sent = _begin(core, name)
        _take_up(core, name)
        assert core.dispatch().server_id == sent.server_id, number


def another_daemon_knows_the_service_as_well() -> None:
    """Guards against a take-up elsewhere that guesses the service."""
    for server, target in zip(("e1", "s1"), BOTH, strict=True):
        core = _core(*BOTH, peers=stream_versions.PEERS)
        for number in range(TRIES):
            name = f"n{number}"
            _take_up(core, name)
            asked = core.find(effects.AskStream)[0]
            core.tell_named(
                inputs.StreamAnswered,
                request_id=asked.request_id,
                daemon=asked.daemons[0],
                knowledge=stream_versions.work.StreamKnowledge(
                    is_known=True,
                    version="v1",
                    target=target,
                    recent_versions=("v1",),
                    is_complete=True,
                ),
            )
            assert core.dispatch().server_id == server, number


def streams_of_a_split_route_are_told() -> None:
    """Guards against records kept back since only one version serves."""
    core = _core(*BOTH, peers=stream_versions.PEERS)
    _begin(core, "a")
    assert core.find(effects.TellStream), core.last_effects


def an_unknown_stream_of_a_split_route_is_refused() -> None:
    """Guards against a single version taken for a single service."""
    core = _core(*BOTH)
    _take_up(core, "a")
    _check_unknown(core)


def a_stream_is_not_taken_up_at_another_service() -> None:
    """Guards against a stream that goes on where its route has moved to."""
    core = _core(routed_core.ENGINES)
    _begin(core, "a")
    core.tell(inputs.TableChanged, _table(3, routed_core.SERVICE))
    _take_up(core, "a")
    _check_unknown(core)
    _take_up(core, "of a daemon that has ended")
    _check_unknown(core)


def streams_begun_after_a_move_are_taken_up() -> None:
    """Guards against streams refused for good once their route has moved."""
    core = _core(routed_core.ENGINES)
    core.tell(inputs.TableChanged, _table(3, routed_core.SERVICE))
    _begin(core, "a")
    _take_up(core, "a")
    assert core.dispatch().server_id == "s1"
    core.now_ms += LIFE_MS + 1
    core.tell(inputs.Tick)
    core.renew_serving_lease()
    _take_up(core, "of a daemon that has ended", 3)
    assert core.dispatch().server_id == "s1"


def streams_begun_after_a_move_are_told() -> None:
    """Guards against a daemon that still has the table from before a move."""
    core = _following_core()
    core.tell(inputs.TableChanged, _table(3, routed_core.SERVICE))
    _begin(core, "a")
    assert core.find(effects.TellStream), core.last_effects


def _following_core() -> routed_core.Core:
    """Returns a core of a platform's daemon that has followed all changes."""
    return _core(
        routed_core.ENGINES,
        peers=stream_versions.PEERS,
        **routed_core.PLATFORM_POLICY,
    )


def _answer_all(core: routed_core.Core, in_step: routed_core.Core) -> None:
    """Delivers what daemons in step know of the stream that is asked for."""
    asked = core.find(effects.AskStream)[0]
    for daemon in asked.daemons:
        known = stream_versions.stream_versions.knowledge(
            in_step.world, asked.key, asked.target, now_ms=in_step.now_ms
        )
        core.tell_named(
            inputs.StreamAnswered,
            request_id=asked.request_id,
            daemon=daemon,
            knowledge=known,
        )


def a_table_from_before_a_move_resumes_no_unknown_stream() -> None:
    """Guards against answers about a service that the route has left."""
    for moved_to, has_read in itertools.product(
        ((routed_core.SERVICE,), BOTH), (False, True)
    ):
        old, in_step = (_following_core() for _ in "12")
        in_step.tell(inputs.TableChanged, _table(3, *moved_to))
        _take_up(old, "a")
        _answer_all(old, in_step)
        reads = old.last_effects
        assert not old.find(effects.Dispatch), reads
        if has_read:
            old.tell(inputs.TableChanged, _table(3, *moved_to))
            assert not old.find(effects.Dispatch), old.last_effects
            old.last_effects = reads
        old.end_reads(has_read=has_read)
        _check_unknown(old)


def a_move_and_back_that_a_daemon_missed_resumes_no_unknown_stream() -> None:
    """Guards against a newest table that lacks a move in between."""
    late, in_step = (_following_core() for _ in "12")
    in_step.tell(inputs.TableChanged, _table(3, routed_core.SERVICE))
    for core in (late, in_step):
        core.tell(inputs.TableChanged, _table(4, routed_core.ENGINES))
    _take_up(in_step, "a")
    _answer_all(in_step, in_step)
    in_step.end_reads(has_read=True)
    _check_unknown(in_step)
    _take_up(late, "a")
    _answer_all(late, in_step)
    late.end_reads(has_read=True)
    _check_unknown(late)


def a_daemon_alone_with_an_old_table_resumes_no_unknown_stream() -> None:
    """Guards against a route that has moved while a daemon was cut off."""
    core = _following_core()
    known = len(stream_versions.PEERS)
    core.tell(inputs.MembersChanged, ("d",), known=known)
    _take_up(core, "a")
    core.end_reads(has_read=False)
    _check_unknown(core)
