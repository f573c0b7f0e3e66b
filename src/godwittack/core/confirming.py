"""Confirms this daemon's copies of shared state before a final decision.

The operators' table and the instance list are copies of rows of the store. What
a copy contains may be used for as long as operators allow; that it lacks
something can only be concluded from a copy that was confirmed recently. A
caller does not repeat a request whose path or key is unknown, and a stream that
is joined from two software versions can't be taken back.

A decision that needs a newer confirmation waits for one, which costs one read
of the store. If none can be had, the request is refused as not run, with a time
to return.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from godwittack.core import effects
from godwittack.member import freshness

if TYPE_CHECKING:
    from godwittack.core import entities, inputs

# Longest wait for a confirmation.
MAX_WAIT_MS = 1_000
# After a failed read, none is tried for this long: while the store is
# unreachable, each request on an unknown path would call it.
RETRY_MS = 250
# Retry-after of a request that exceeds limits which are not confirmed.
LIMITS_RETRY_MS = 500
# Shortest time between two reads, which requests that come meanwhile share.
READ_INTERVAL_MS = 100
# Requests that may wait at a time. More are refused at once: unknown paths may
# arrive at any rate.
MAX_WAITING = 256


@dataclasses.dataclass(slots=True, kw_only=True)
class StateCopy:
    """When a copy of shared state was last known to be the newest.

    Attributes:
        confirmed_at_ms: When the store last confirmed it.
        followed_since_ms: Since when it was confirmed without a gap in which
            changes may have come and gone unseen.
        filled_at_ms: When what was missed was last read from the history.
        confirmed_by: Whose answer that was: the store's, or a daemon's id.
        is_confirming: Whether a read that will confirm it is under way.
        requested_at_ms: When that read was requested, or the last one was.
        read_at_ms: When the last read was requested that succeeded.
        failed_at_ms: When such a read last ended without success.
    """

    confirmed_at_ms: int = -1_000_000
    confirmed_by: str = ""
    followed_since_ms: int = -1_000_000
    filled_at_ms: int = -1_000_000
    is_confirming: bool = False
    requested_at_ms: int = -1_000_000
    read_at_ms: int = -1_000_000
    failed_at_ms: int = -1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingArrival:
    """A request that waits for the table to be confirmed.

    Attributes:
        arrival: The request as it arrived.
        since_ms: When it began to wait.
        until_ms: When it is refused without a confirmation.
    """

    arrival: inputs.RequestArrived
    since_ms: int
    until_ms: int


def limits_refusal(
    world: entities.World, request_id: str
) -> effects.Refuse | None:
    """Returns the refusal of a request that exceeds outdated limits.

    Returns:
        None if the limits are known, and the request may be refused for good.
    """
    has_limits = world.table.forwarding is not None
    if not must_confirm(world) or (has_limits and may_refuse_unknown(world)):
        return None
    return effects.Refuse(
        request_id=request_id,
        status=503,
        outcome=effects.Outcome.NOT_RUN,
        reason=effects.Reason.NOT_CURRENT,
        detail="this daemon can't confirm which limits apply",
        retry_after_ms=LIMITS_RETRY_MS,
    )


def confirmed_ago_ms(world: entities.World, topic: freshness.Topic) -> int:
    """Returns the age of the last confirmation of a copy."""
    return world.now_ms - world.copies[topic].confirmed_at_ms


def log_fields(
    world: entities.World, topic: freshness.Topic
) -> dict[str, str | int]:
    """Returns what a decision's log line says of the copy that it rests on."""
    if not must_confirm(world):
        return {}
    return {
        "confirmed_ago_ms": confirmed_ago_ms(world, topic),
        "confirmed_by": world.copies[topic].confirmed_by,
    }


def must_confirm(world: entities.World) -> bool:
    """Returns whether final decisions need a confirmation.

    Otherwise another lease decides until when the copies may be used.
    """
    return world.policy.final_refusal_age_ms > 0


def followed_since_ms(world: entities.World) -> int:
    """Returns when this daemon last began to follow all copies."""
    return max(copy.followed_since_ms for copy in world.copies.values())


def fill_gaps(world: entities.World) -> None:
    """Records that changes missed here were read from their history."""
    for copy in world.copies.values():
        copy.followed_since_ms = -1_000_000
        copy.filled_at_ms = world.now_ms


def has_followed(
    world: entities.World, topic: freshness.Topic, *, for_ms: int
) -> bool:
    """Returns whether no change of a copy was missed for a time until now."""
    if not must_confirm(world):
        return True
    copy = world.copies[topic]
    if world.now_ms - copy.confirmed_at_ms > world.policy.max_unseen_ms:
        return False
    return world.now_ms - copy.followed_since_ms >= for_ms


def may_refuse_unknown(world: entities.World) -> bool:
    """Returns whether what the table lacks may be refused for good."""
    if not must_confirm(world):
        return True
    limit_ms = world.policy.final_refusal_age_ms
    age_ms = confirmed_ago_ms(world, freshness.Topic.TABLE)
    return age_ms <= limit_ms


def request_read(world: entities.World, topic: freshness.Topic) -> bool:
    """Has a copy read anew; returns False if that failed a moment ago.

    Where one was read a moment ago, the next read begins with a later tick.
    """
    copy = world.copies[topic]
    if copy.is_confirming:
        return True
    if world.now_ms - copy.failed_at_ms < RETRY_MS:
        return False
    if world.now_ms - copy.requested_at_ms < READ_INTERVAL_MS:
        return True
    copy.is_confirming = True
    copy.requested_at_ms = world.now_ms
    world.emit(effects.ConfirmState(topic))
    return True


def wait(world: entities.World, arrival: inputs.RequestArrived) -> bool:
    """Lets a request wait for the table's confirmation.

    Returns:
        False if it can't: too many others wait, or a read failed a moment ago.
    """
    waiting = world.waiting_arrivals
    if len(waiting) >= MAX_WAITING:
        return False
    if not request_read(world, freshness.Topic.TABLE):
        return False
    waiting[arrival.request_id] = WaitingArrival(
        arrival, world.now_ms, world.now_ms + _max_wait_ms(world, arrival)
    )
    world.event(
        "table_confirming",
        arrival.request_id,
        table=world.table.version,
        confirmed_ago_ms=confirmed_ago_ms(world, freshness.Topic.TABLE),
        waiting=len(waiting),
    )
    return True


def record_confirmation(
    world: entities.World, confirmed: inputs.StateConfirmed
) -> None:
    """Records when a copy was known to be the newest."""
    copy = world.copies[confirmed.topic]
    if confirmed.confirmed_at_ms <= copy.confirmed_at_ms:
        return
    # A daemon that starts may read the row before the first confirmation.
    seen_ms = copy.confirmed_at_ms if copy.confirmed_by else copy.filled_at_ms
    if confirmed.confirmed_at_ms - seen_ms > world.policy.max_unseen_ms:
        copy.followed_since_ms = confirmed.confirmed_at_ms
    copy.confirmed_at_ms = confirmed.confirmed_at_ms
    copy.confirmed_by = confirmed.by


def record_end(world: entities.World, ended: inputs.ConfirmationEnded) -> None:
    """Records that a read that was requested has ended."""
    copy = world.copies[ended.topic]
    copy.is_confirming = False
    if ended.has_read:
        copy.read_at_ms = copy.requested_at_ms
    else:
        copy.failed_at_ms = world.now_ms


def _max_wait_ms(world: entities.World, arrival: inputs.RequestArrived) -> int:
    """Returns how long a request may wait for a confirmation."""
    requested = arrival.work
    limits_ms = [MAX_WAIT_MS]
    if requested.deadline_ms:
        limits_ms.append(requested.deadline_ms - arrival.waited_ms)
    forwarding = world.table.forwarding
    route = forwarding and forwarding.match(requested.host, requested.path)
    if route:
        limits_ms.append(route.timeout_ms - arrival.waited_ms)
    return max(0, min(limits_ms))


__all__ = [
    "StateCopy",
    "WaitingArrival",
    "confirmed_ago_ms",
    "fill_gaps",
    "followed_since_ms",
    "has_followed",
    "limits_refusal",
    "log_fields",
    "may_refuse_unknown",
    "must_confirm",
    "record_confirmation",
    "record_end",
    "request_read",
    "wait",
]
