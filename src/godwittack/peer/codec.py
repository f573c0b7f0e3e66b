"""Converts between protobuf messages and the program's own types."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import inputs, quarantine, server_inputs
from godwittack.member import freshness, view
from godwittack.peer import peer_pb2
from godwittack.store import protocol as platform

if TYPE_CHECKING:
    from collections.abc import Iterable

    from godwittack.core import effects


def member_to_proto(member: view.Member) -> peer_pb2.Member:
    """Returns the message form of a member."""
    return peer_pb2.Member(
        member_id=member.member_id,
        peer_address=member.peer_address,
        http_address=member.http_address,
        failure_domain=member.failure_domain,
        refutation=member.refutation,
        state=int(member.state),
        capacity_millicores=member.capacity_millicores,
        is_overloaded=member.is_overloaded,
    )


def member_from_proto(told: peer_pb2.Member) -> view.Member | None:
    """Returns a member, or None for a state this release does not know."""
    try:
        state = view.MemberState(told.state)
    except ValueError:
        return None
    return view.Member(
        member_id=told.member_id,
        peer_address=told.peer_address,
        http_address=told.http_address,
        failure_domain=told.failure_domain,
        refutation=told.refutation,
        state=state,
        capacity_millicores=told.capacity_millicores,
        is_overloaded=told.is_overloaded,
    )


def listed_from_proto(
    told: Iterable[peer_pb2.Listed],
) -> dict[str, platform.Instance | None]:
    """Returns changed entries of the instance list by name.

    Entries of a role that this release does not know are left out.
    """
    known = {role.value for role in platform.InstanceRole}
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
            )
        )
        for entry in told
        if entry.gone or entry.role in known
    }


def belief_to_proto(belief: freshness.Belief) -> peer_pb2.Belief:
    """Returns the message form of a belief."""
    return peer_pb2.Belief(
        topic=int(belief.topic), version=belief.version, age_ms=belief.age_ms
    )


def belief_from_proto(told: peer_pb2.Belief) -> freshness.Belief | None:
    """Returns a belief, or None for a topic this release does not know."""
    try:
        topic = freshness.Topic(told.topic)
    except ValueError:
        return None
    return freshness.Belief(topic, told.version, told.age_ms)


def demand_to_proto(demand: inputs.CellDemand) -> peer_pb2.Demand:
    """Returns the message form of a cell's demand."""
    return peer_pb2.Demand(
        cell=demand.cell,
        wanted=demand.wanted,
        rate_per_s=demand.rate_per_s,
    )


def demand_from_proto(told: peer_pb2.Demand) -> inputs.CellDemand:
    """Returns a cell's demand."""
    return inputs.CellDemand(
        cell=told.cell,
        wanted=told.wanted,
        rate_per_s=told.rate_per_s,
    )


def crash_to_proto(crash: quarantine.Crash, *, now_ms: int) -> peer_pb2.Crash:
    """Returns the message form of a crash."""
    return peer_pb2.Crash(
        content=crash.content,
        start=crash.start,
        reporter=crash.reporter,
        age_ms=max(0, now_ms - crash.at_ms),
    )


def crash_from_proto(told: peer_pb2.Crash, *, now_ms: int) -> quarantine.Crash:
    """Returns a crash."""
    return quarantine.Crash(
        content=told.content,
        start=told.start,
        reporter=told.reporter,
        at_ms=now_ms - told.age_ms,
    )


def completion_to_proto(
    done: quarantine.Completion, *, now_ms: int
) -> peer_pb2.Completion:
    """Returns the message form of a run without a crash."""
    return peer_pb2.Completion(
        content=done.content, age_ms=max(0, now_ms - done.at_ms)
    )


def completion_from_proto(
    told: peer_pb2.Completion, *, now_ms: int
) -> quarantine.Completion:
    """Returns a run without a crash."""
    return quarantine.Completion(
        content=told.content, at_ms=now_ms - told.age_ms
    )


def rate_limit_to_proto(
    named: effects.TellRateLimit, *, now_ms: int
) -> peer_pb2.RateLimit:
    """Returns the message form of a server's limit."""
    return peer_pb2.RateLimit(
        server_id=named.server_id,
        incarnation=named.incarnation,
        per_s=named.limit_per_s or 0.0,
        is_lifted=named.limit_per_s is None,
        age_ms=max(0, now_ms - named.at_ms),
    )


def rate_limit_from_proto(
    told: peer_pb2.RateLimit, *, now_ms: int
) -> server_inputs.RateLimitTold:
    """Returns a server's limit as another daemon heard it."""
    return server_inputs.RateLimitTold(
        at_ms=now_ms,
        server_id=told.server_id,
        incarnation=told.incarnation,
        limit_per_s=None if told.is_lifted else told.per_s,
        age_ms=told.age_ms,
    )


def listed_to_proto(
    name: str, instance: platform.Instance | None
) -> peer_pb2.Listed:
    """Returns the message form of an entry, None for one that is gone."""
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
        slots=instance.slots,
    )


__all__ = [
    "belief_from_proto",
    "belief_to_proto",
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
]
