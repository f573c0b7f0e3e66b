"""Keeps a stream at the software version that began it.

Events of two versions, or of two services, don't fit together. A caller may
take a stream up at any daemon, also after the one that began it has ended. The
version comes from this daemon's records, from the daemons that hold the
stream's record, or from all of them having seen a single version for as long as
a stream may live, on a route that has led to a single service. A stream of
which it is not known is not resumed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import (
    confirming,
    dispatching,
    effects,
    entities,
    refusing,
    routing,
    software,
    stream_records,
    work,
)
from godwittack.member import freshness

if TYPE_CHECKING:
    from godwittack.core import inputs
    from godwittack.table import forwarding as forwardings
    from godwittack.table import model

# A daemon that did not answer may do so by then.
UNKNOWN_RETRY_MS = 500
LIFE_MS = stream_records.STREAM_LIFE_MS


def may_need_version(requested: work.Work) -> bool:
    """Returns whether a request takes up a stream that began elsewhere."""
    return (
        requested.route is not None
        and requested.is_streamed
        and requested.resume_after > 0
    )


def record_begin(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
) -> None:
    """Records the version that brings the first event of a request.

    Later tries of its caller may name this request, or the one before it.
    """
    route = request.work.route
    if route is None or not route.resumable:
        return
    version = _version_that_ran(world, attempt)
    request.stream_version = version
    key = stream_records.stream_key(
        request.workspace, request.work.caller_request_id
    )
    life_ms = request.work.deadline_ms or stream_records.STREAM_LIFE_MS
    record = stream_records.StreamRecord(
        target=request.work.target,
        version=version,
        expires_at_ms=request.arrived_at_ms + life_ms,
    )
    world.streams.add(key, record)
    is_sure = _has_one_target(world, request) and software.has_one_version(
        world, request.work.target
    )
    if not is_sure:
        software.tell(world, key, record)


def record_routes(world: entities.World, table: model.Table) -> None:
    """Records which routes a new table leads to other targets.

    The streams that began on them before are told to other daemons.
    """
    if world.table.forwarding is None or table.forwarding is None:
        return
    targets_before = {
        (route.host, route.prefix): _targets(route)
        for route in world.table.forwarding.routes
    }
    for route in table.forwarding.routes:
        key = (route.host, route.prefix)
        before = targets_before.get(key, _targets(route))
        if before == _targets(route):
            continue
        world.routes_moved_ms[key] = world.now_ms
        for target in sorted(before):
            software.tell_untold(world, target)


def take_up(world: entities.World, request: entities.RequestRow) -> None:
    """Places a request that takes up a stream, once its version is known."""
    key = stream_records.stream_key(request.workspace, request.work.resumes)
    record = None
    if request.work.resumes:
        record = world.streams.find(key, now_ms=world.now_ms)
    if record is not None:
        _decide(world, request, record.version, "own", target=record.target)
        return
    daemons = software.holders(world, key)
    request.inquiry = entities.StreamInquiry(
        waiting_for=set(daemons),
        asked_at_ms=world.now_ms,
        versions=set(software.recent_versions(world, request.work.target)),
        is_complete=software.is_complete(world, request.work.target),
        # A daemon that has lost all others does not know what they began.
        has_answer=not daemons and world.expected_daemons <= 1,
    )
    request.phase = entities.Phase.ASKING
    if daemons:
        world.emit(
            effects.AskStream(
                request_id=request.request_id,
                key=key,
                target=request.work.target,
                daemons=daemons,
            )
        )
    _conclude_if_answered(world, request, request.inquiry)


def handle_answer(world: entities.World, answer: inputs.StreamAnswered) -> None:
    """Handles what another daemon knows of a stream."""
    request = world.requests.get(answer.request_id)
    if request is None or request.phase is not entities.Phase.ASKING:
        return
    inquiry = request.inquiry
    if inquiry is None or answer.daemon not in inquiry.waiting_for:
        return
    inquiry.waiting_for.discard(answer.daemon)
    if answer.knowledge is None:
        inquiry.missing_answers += 1
    else:
        inquiry.has_answer = True
        if answer.knowledge.is_known:
            _decide(
                world,
                request,
                answer.knowledge.version,
                "peer",
                target=answer.knowledge.target,
                daemon=answer.daemon,
            )
            return
        inquiry.versions.update(answer.knowledge.recent_versions)
        inquiry.is_complete |= answer.knowledge.is_complete
    _conclude_if_answered(world, request, inquiry)


def await_reads(world: entities.World) -> None:
    """Continues inquiries that wait for copies to be read."""
    for request_id in sorted(world.awaiting_reads):
        request = world.requests.get(request_id)
        if request is None or request.inquiry is None:
            world.awaiting_reads.discard(request_id)
        else:
            _conclude_if_answered(world, request, request.inquiry)


def apply_told(world: entities.World, told: inputs.StreamTold) -> None:
    """Records the version of a stream that began at another daemon."""
    world.streams.add(
        told.key,
        stream_records.StreamRecord(
            target=told.target,
            version=told.version,
            expires_at_ms=world.now_ms + told.left_ms,
            was_told=True,
        ),
    )


def knowledge(
    world: entities.World,
    key: bytes,
    target: str,
    *,
    now_ms: int,
) -> work.StreamKnowledge:
    """Returns what this daemon knows of a stream, for another one."""
    record = world.streams.find(key, now_ms=now_ms)
    return work.StreamKnowledge(
        is_known=record is not None,
        version=record.version if record is not None else "",
        target=record.target if record is not None else "",
        recent_versions=tuple(sorted(software.recent_versions(world, target))),
        is_complete=software.is_complete(world, target),
    )


def _version_that_ran(
    world: entities.World, attempt: entities.AttemptRow
) -> str:
    """Returns the version that ran an attempt; empty if it is not certain."""
    server = world.servers.get(attempt.server_id)
    was_replaced = server is not None and (
        server.incarnation != attempt.incarnation
        or server.software_version != attempt.software_version
    )
    return "" if was_replaced else attempt.software_version


def _conclude_if_answered(
    world: entities.World,
    request: entities.RequestRow,
    inquiry: entities.StreamInquiry,
) -> None:
    """Decides for a stream of which no daemon has a record.

    That all servers have one version, and that the route leads to them, is
    known from copies that were read after the caller came. Servers of another
    version may have been added since an earlier read, and the stream have begun
    at one of them through a daemon that this one does not reach.
    """
    if inquiry.waiting_for:
        return
    target = request.work.target
    inquiry.versions.update(software.recent_versions(world, target))
    has_one_version = (
        (inquiry.has_answer or confirming.must_confirm(world))
        and inquiry.is_complete
        and len(inquiry.versions) == 1
        and _has_one_target(world, request)
    )
    outdated = _outdated_copies(world, inquiry) if has_one_version else []
    if outdated:
        # A read under way may have begun before this request came.
        if all(confirming.request_read(world, topic) for topic in outdated):
            world.awaiting_reads.add(request.request_id)
            return
        has_one_version = False
    world.awaiting_reads.discard(request.request_id)
    if has_one_version:
        _decide(world, request, next(iter(inquiry.versions)), "only_version")
    else:
        _decide(world, request, "", "none")


def _decide(
    world: entities.World,
    request: entities.RequestRow,
    version: str,
    source: str,
    *,
    target: str = "",
    daemon: str = "",
) -> None:
    inquiry = request.inquiry
    request.inquiry = None
    is_led_there = _follow_target(world, request, target)
    world.event(
        "stream_version",
        request.request_id,
        target=request.work.target,
        stream=request.work.resumes,
        after=request.work.resume_after,
        software=version,
        source=source,
        **({"daemon": daemon} if daemon else {}),
        took_ms=world.now_ms - inquiry.asked_at_ms if inquiry else 0,
    )
    if version and is_led_there:
        request.stream_version = version
        dispatching.place(world, request)
        return
    detail = f"the version that began {request.work.resumes!r} is unknown"
    if not is_led_there:
        detail = f"its route does not lead to {target}, which began it"
    refusing.refuse_unassigned(
        world,
        request,
        effects.Reason.VERSION_UNKNOWN,
        detail,
        _retry_after_ms(world, request, inquiry),
    )


def _retry_after_ms(
    world: entities.World,
    request: entities.RequestRow,
    inquiry: entities.StreamInquiry | None,
) -> int:
    """Returns when a stream of unknown version may be taken up.

    A daemon that did not answer, or that this one has not met yet, may still
    know the version. Otherwise it is unknown for as long as two versions, or
    two targets, are possible.
    """
    has_missing_daemons = len(world.live_daemons) < world.expected_daemons
    if has_missing_daemons or (inquiry and inquiry.missing_answers):
        return UNKNOWN_RETRY_MS
    if inquiry and _outdated_copies(world, inquiry):
        return UNKNOWN_RETRY_MS
    moved_for_ms = 0 if _has_one_target(world, request) else LIFE_MS
    return max(
        UNKNOWN_RETRY_MS,
        moved_for_ms,
        software.ambiguous_for_ms(world, request.work.target),
    )


def _follow_target(
    world: entities.World, request: entities.RequestRow, target: str
) -> bool:
    """Sends a request to the target at which its stream began.

    Returns:
        Whether its route leads there.
    """
    route = request.work.route
    forwarding = world.table.forwarding
    if route is None or forwarding is None:
        return False
    if target in ("", request.work.target):
        return True
    if target not in _targets(route):
        return False
    request.work = routing.with_target(request.work, target, forwarding)
    return True


def _outdated_copies(
    world: entities.World, inquiry: entities.StreamInquiry
) -> list[freshness.Topic]:
    """Returns the copies that were not read since the caller came."""
    if not confirming.must_confirm(world):
        return []
    return [
        topic
        for topic in freshness.Topic
        if world.copies[topic].read_at_ms < inquiry.asked_at_ms
    ]


def _has_one_target(
    world: entities.World, request: entities.RequestRow
) -> bool:
    """Returns whether a stream can have begun at one target only."""
    route = request.work.route
    if route is None or len(route.targets) != 1:
        return False
    if not confirming.has_followed(
        world, freshness.Topic.TABLE, for_ms=LIFE_MS
    ):
        return False
    moved_ms = world.routes_moved_ms.get((route.host, route.prefix))
    return moved_ms is None or world.now_ms - moved_ms >= LIFE_MS


def _targets(route: forwardings.Route) -> frozenset[str]:
    return frozenset(entry.target for entry in route.targets)


__all__ = [
    "apply_told",
    "await_reads",
    "handle_answer",
    "knowledge",
    "may_need_version",
    "record_begin",
    "record_routes",
    "take_up",
]
