"""Converts between protobuf messages and the program's own types."""

from __future__ import annotations

from godwittack.core import inputs
from godwittack.member import view
from godwittack.peer import peer_pb2


def member_to_proto(member: view.Member) -> peer_pb2.Member:
    """Returns the message form of a member."""
    return peer_pb2.Member(
        member_id=member.member_id,
        peer_address=member.peer_address,
        http_address=member.http_address,
        failure_domain=member.failure_domain,
        refutation=member.refutation,
        state=int(member.state),
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
    )


def load_to_proto(load: inputs.LoadReported, *, now_ms: int) -> peer_pb2.Load:
    """Returns the message form of a load report, its age brought up."""
    return peer_pb2.Load(
        server_id=load.server_id,
        incarnation=load.incarnation,
        weights_version=load.weights_version,
        running=load.running,
        waiting=load.waiting,
        waiting_tokens=load.waiting_tokens,
        prefill_us_per_token=load.prefill_us_per_token,
        slots=load.slots,
        age_ms=load.age_ms + max(0, now_ms - load.at_ms),
        leaving=load.leaving,
    )


def load_from_proto(told: peer_pb2.Load, *, now_ms: int) -> inputs.LoadReported:
    """Returns a load report as the core takes it."""
    return inputs.LoadReported(
        at_ms=now_ms,
        server_id=told.server_id,
        incarnation=told.incarnation,
        weights_version=told.weights_version,
        running=told.running,
        waiting=told.waiting,
        waiting_tokens=told.waiting_tokens,
        prefill_us_per_token=told.prefill_us_per_token,
        slots=told.slots,
        age_ms=told.age_ms,
        leaving=told.leaving,
    )


def digest_to_proto(digest: inputs.CacheDigest) -> peer_pb2.Digest:
    """Returns the message form of a cache digest."""
    return peer_pb2.Digest(
        server_id=digest.server_id,
        incarnation=digest.incarnation,
        weights_version=digest.weights_version,
        cleared=digest.cleared,
        stored=digest.stored,
        removed=digest.removed,
    )


def digest_from_proto(
    told: peer_pb2.Digest, *, now_ms: int
) -> inputs.CacheDigest:
    """Returns a cache digest as the core takes it."""
    return inputs.CacheDigest(
        at_ms=now_ms,
        server_id=told.server_id,
        incarnation=told.incarnation,
        weights_version=told.weights_version,
        cleared=told.cleared,
        stored=tuple(told.stored),
        removed=tuple(told.removed),
    )


def demand_to_proto(demand: inputs.CellDemand) -> peer_pb2.Demand:
    """Returns the message form of a cell's demand."""
    return peer_pb2.Demand(
        cell=demand.cell,
        wanted=demand.wanted,
        rate_per_s=demand.rate_per_s,
        in_flight=demand.in_flight,
    )


def demand_from_proto(told: peer_pb2.Demand) -> inputs.CellDemand:
    """Returns a cell's demand."""
    return inputs.CellDemand(
        cell=told.cell,
        in_flight=told.in_flight,
        wanted=told.wanted,
        rate_per_s=told.rate_per_s,
    )


__all__ = [
    "demand_from_proto",
    "demand_to_proto",
    "digest_from_proto",
    "digest_to_proto",
    "load_from_proto",
    "load_to_proto",
    "member_from_proto",
    "member_to_proto",
]
