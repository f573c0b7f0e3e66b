"""Converts between protobuf messages and domain types."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from godwittack import address as addresses
from godwittack.core import inputs, quarantine, server_inputs
from godwittack.limit import quota
from godwittack.member import freshness, view
from godwittack.peer import peer_pb2, ranges
from godwittack.store import protocol as platform

if TYPE_CHECKING:
    from collections.abc import Iterable

    from godwittack.core import effects

_KNOWN_ROLES = frozenset(role.value for role in platform.InstanceRole)


def member_to_proto(member: view.Member) -> peer_pb2.Member:
    """Returns a member as a protobuf message."""
    return peer_pb2.Member(
        member_id=member.member_id,
        peer_address=member.peer_address,
        http_address=member.http_address,
        failure_domain=member.failure_domain,
        refutation=ranges.uint32(member.refutation),
        state=int(member.state),
        capacity_millicores=ranges.uint32(member.capacity_millicores),
        is_overloaded=member.is_overloaded,
    )


def member_from_proto(message: peer_pb2.Member) -> view.Member | None:
    """Returns a member, or None if its state is unknown to this release."""
    try:
        state = view.MemberState(message.state)
    except ValueError:
        return None
    return view.Member(
        member_id=message.member_id,
        peer_address=message.peer_address,
        http_address=message.http_address,
        failure_domain=message.failure_domain,
        refutation=message.refutation,
        state=state,
        capacity_millicores=message.capacity_millicores,
        is_overloaded=message.is_overloaded,
    )


def listed_from_proto(
    entries: Iterable[peer_pb2.Listed],
) -> dict[str, platform.Instance | None]:
    """Returns changed entries of the instance list by name, None if removed.

    Entries that this release refuses are left out: another release may accept
    more roles, ids and addresses.
    """
    return {
        entry.name: (
            None
            if entry.gone
            else platform.Instance(
                name=entry.name,
                role=platform.InstanceRole(entry.role),
                address=entry.address,
                target=entry.target,
                failure_domain=entry.failure_domain,
                leaving=entry.leaving,
                incarnation=entry.incarnation,
                weights_version=entry.weights_version,
                slots=entry.slots,
                software_version=entry.software_version,
            )
        )
        for entry in entries
        if entry.gone or _is_usable(entry)
    }


def _is_usable(entry: peer_pb2.Listed) -> bool:
    is_usable = (
        entry.role in _KNOWN_ROLES
        and addresses.is_visible(entry.name)
        and addresses.is_callable(entry.address)
    )
    if not is_usable:
        logging.warning(
            "event=entry_refused server=%r role=%r address=%r",
            entry.name,
            entry.role,
            entry.address,
        )
    return is_usable


def belief_to_proto(belief: freshness.Belief) -> peer_pb2.Belief:
    """Returns a belief as a protobuf message."""
    return peer_pb2.Belief(
        topic=int(belief.topic),
        version=ranges.uint64(belief.version),
        age_ms=ranges.uint32(belief.age_ms),
    )


def belief_from_proto(message: peer_pb2.Belief) -> freshness.Belief | None:
    """Returns a belief, or None if its topic is unknown to this release."""
    try:
        topic = freshness.Topic(message.topic)
    except ValueError:
        return None
    return freshness.Belief(topic, message.version, message.age_ms)


def demand_to_proto(demand: inputs.CellDemand) -> peer_pb2.Demand:
    """Returns a cell's demand as a protobuf message."""
    return peer_pb2.Demand(
        cell=demand.cell,
        wanted=demand.wanted,
        rate_per_s=demand.rate_per_s,
    )


def demand_from_proto(message: peer_pb2.Demand) -> inputs.CellDemand:
    """Returns a cell's demand."""
    return inputs.CellDemand(
        cell=message.cell,
        wanted=message.wanted,
        rate_per_s=message.rate_per_s,
    )


def crash_to_proto(crash: quarantine.Crash, *, now_ms: int) -> peer_pb2.Crash:
    """Returns a crash as a protobuf message."""
    return peer_pb2.Crash(
        content=crash.content,
        start=crash.start,
        reporter=crash.reporter,
        age_ms=ranges.uint32(now_ms - crash.at_ms),
        runs=ranges.uint32(crash.runs),
        silent_ms=ranges.uint32(crash.silent_ms),
        run_ms=ranges.uint32(crash.run_ms),
    )


def crash_from_proto(
    message: peer_pb2.Crash, *, now_ms: int
) -> quarantine.Crash:
    """Returns a crash."""
    return quarantine.Crash(
        content=message.content,
        start=message.start,
        reporter=message.reporter,
        at_ms=now_ms - message.age_ms,
        runs=message.runs or 1,
        silent_ms=(
            message.silent_ms
            if message.HasField("silent_ms")
            else quarantine.UNKNOWN_MS
        ),
        run_ms=(
            message.run_ms
            if message.HasField("run_ms")
            else quarantine.UNKNOWN_MS
        ),
    )


def completion_to_proto(
    completion: quarantine.Completion, *, now_ms: int
) -> peer_pb2.Completion:
    """Returns runs without a crash as a protobuf message."""
    return peer_pb2.Completion(
        content=completion.content,
        age_ms=ranges.uint32(now_ms - completion.at_ms),
        reporter=completion.reporter,
        number=ranges.uint32(completion.number),
        count=ranges.uint32(completion.count),
    )


def completion_from_proto(
    message: peer_pb2.Completion, *, now_ms: int
) -> quarantine.Completion:
    """Returns runs without a crash."""
    return quarantine.Completion(
        content=message.content,
        at_ms=now_ms - message.age_ms,
        reporter=message.reporter,
        number=message.number,
        count=message.count or 1,
    )


def rate_limit_to_proto(
    limit: effects.TellRateLimit, *, now_ms: int
) -> peer_pb2.RateLimit:
    """Returns a server's rate limit as a protobuf message."""
    return peer_pb2.RateLimit(
        server_id=limit.server_id,
        incarnation=limit.incarnation,
        per_s=limit.limit_per_s or 0.0,
        is_lifted=limit.limit_per_s is None,
        age_ms=ranges.uint32(now_ms - limit.at_ms),
    )


def rate_limit_from_proto(
    message: peer_pb2.RateLimit, *, now_ms: int
) -> server_inputs.RateLimitTold:
    """Returns a server's rate limit as received from another daemon."""
    return server_inputs.RateLimitTold(
        at_ms=now_ms,
        server_id=message.server_id,
        incarnation=message.incarnation,
        limit_per_s=None if message.is_lifted else message.per_s,
        age_ms=message.age_ms,
    )


def usage_to_proto(usage: quota.Usage, *, now_ms: int) -> peer_pb2.Usage:
    """Returns a workspace's use of its quota as a protobuf message."""
    return peer_pb2.Usage(
        workspace=usage.workspace,
        admitted=ranges.uint64(usage.admitted),
        opened_ms_ago=ranges.uint64(now_ms - usage.opened_at_ms),
        level=usage.level,
        window_used=usage.window_used,
    )


def usage_from_proto(message: peer_pb2.Usage, *, now_ms: int) -> quota.Usage:
    """Returns a workspace's use of its quota, dated by this daemon's clock."""
    return quota.Usage(
        workspace=message.workspace,
        admitted=message.admitted,
        opened_at_ms=now_ms - message.opened_ms_ago,
        level=message.level,
        at_ms=now_ms,
        window_used=message.window_used,
    )


def brittle_to_proto(
    brittle: effects.TellBrittle, *, now_ms: int
) -> peer_pb2.Brittle:
    """Returns a server's tolerance of rejections as a protobuf message."""
    return peer_pb2.Brittle(
        server_id=brittle.server_id,
        incarnation=brittle.incarnation,
        max_rejected_per_s=brittle.max_rejected_per_s or 0.0,
        is_lifted=brittle.max_rejected_per_s is None,
        age_ms=ranges.uint32(now_ms - brittle.at_ms),
    )


def brittle_from_proto(
    message: peer_pb2.Brittle, *, now_ms: int
) -> server_inputs.BrittleTold:
    """Returns a server's tolerance of rejections as told by a daemon."""
    return server_inputs.BrittleTold(
        at_ms=now_ms,
        server_id=message.server_id,
        incarnation=message.incarnation,
        max_rejected_per_s=None
        if message.is_lifted
        else message.max_rejected_per_s,
        age_ms=message.age_ms,
    )


def listed_to_proto(
    name: str, instance: platform.Instance | None
) -> peer_pb2.Listed:
    """Returns an entry as a message; `instance` is None for a removed one."""
    if instance is None:
        return peer_pb2.Listed(name=name, gone=True)
    return peer_pb2.Listed(
        name=name,
        role=instance.role.value,
        address=instance.address,
        target=instance.target,
        failure_domain=instance.failure_domain,
        leaving=instance.leaving,
        incarnation=instance.incarnation,
        weights_version=instance.weights_version,
        slots=ranges.uint32(instance.slots),
        software_version=instance.software_version,
    )


def announcement_to_proto(
    announcement: effects.Announce, *, now_ms: int
) -> peer_pb2.Dispatched:
    """Returns an announcement as a protobuf message."""
    message = peer_pb2.Dispatched(
        server_id=announcement.server_id,
        tokens=ranges.uint32(announcement.tokens),
        priority=ranges.uint32(announcement.priority),
        levels=announcement.levels,
        delay_ms=ranges.uint32(announcement.delay_ms),
        memory_tokens=ranges.uint32(announcement.memory_tokens),
        shared_tokens=ranges.uint32(announcement.shared_tokens),
        is_long=announcement.is_long,
    )
    load = announcement.load
    if load is not None:
        message.has_load = True
        message.running = ranges.uint32(load.running)
        message.waiting = ranges.uint32(load.waiting)
        message.pace_percent = ranges.uint32(load.pace_percent)
        message.load_age_ms = ranges.uint32(now_ms - load.at_ms)
    return message


def announcement_from_proto(
    message: peer_pb2.Dispatched, *, now_ms: int
) -> server_inputs.PeerDispatched:
    """Returns another daemon's announcement."""
    return server_inputs.PeerDispatched(
        at_ms=now_ms,
        server_id=message.server_id,
        tokens=message.tokens,
        priority=message.priority,
        levels=tuple(message.levels),
        load=_load_from_proto(message, now_ms=now_ms),
        memory_tokens=message.memory_tokens,
        shared_tokens=message.shared_tokens,
        is_long=message.is_long,
    )


def _load_from_proto(
    message: peer_pb2.Dispatched, *, now_ms: int
) -> server_inputs.LoadTold | None:
    """Returns the load in an announcement, None if it has none."""
    if not message.has_load:
        return None
    return server_inputs.LoadTold(
        at_ms=now_ms,
        server_id=message.server_id,
        running=message.running,
        waiting=message.waiting,
        pace_percent=message.pace_percent,
        age_ms=message.load_age_ms,
        delay_ms=message.delay_ms,
    )


__all__ = [
    "announcement_from_proto",
    "announcement_to_proto",
    "belief_from_proto",
    "belief_to_proto",
    "brittle_from_proto",
    "brittle_to_proto",
    "completion_from_proto",
    "completion_to_proto",
    "crash_from_proto",
    "crash_to_proto",
    "demand_from_proto",
    "demand_to_proto",
    "listed_from_proto",
    "listed_to_proto",
    "member_from_proto",
    "member_to_proto",
    "rate_limit_from_proto",
    "rate_limit_to_proto",
    "usage_from_proto",
    "usage_to_proto",
]
