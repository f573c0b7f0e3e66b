"""Inputs of the core; each carries the time at which it was received.

Inputs about backend servers are defined in `server_inputs`.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

from godwittack.core import quarantine, server_inputs, work
from godwittack.limit import quota
from godwittack.member import freshness
from godwittack.table import model


class FailurePhase(enum.StrEnum):
    """Phase in which an attempt failed.

    CONNECT proves that nothing was sent. SENT means that at least one byte
    of the request may have reached the backend server. DECLINED means that
    the server itself, or the daemon that was to pass the request on, reported
    that it did not and will not run it.
    """

    CONNECT = "connect"
    SENT = "sent"
    DECLINED = "declined"


class FailureCause(enum.StrEnum):
    """Causes of a failed attempt that lead to different decisions.

    ENDED: the server's address refused the connection. WITHHELD: not sent, as
    the server had stopped accepting work. RELAY: the daemon that was to pass it
    on declined, or the connection to that daemon failed. ENDLESS: the server
    sent something without an end, so that the server is at fault and not a
    connection.
    """

    BROKEN = "broken"
    ENDLESS = "endless"
    ENDED = "ended"
    REFUSED = "refused"
    OTHER_SERVER = "other_server"
    STREAM_GONE = "stream_gone"
    WITHHELD = "withheld"
    RELAY = "relay"


class ClaimVerdict(enum.StrEnum):
    """Result of a claim write to the table service.

    HELD: the row has this claim's nonce. TAKEN: it has another nonce.
    UNANSWERED: no reply, so the write may or may not have taken effect.
    """

    HELD = "held"
    TAKEN = "taken"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Triggers periodic maintenance.

    Attributes:
        late_ms: How much later it comes than it was due.
    """

    at_ms: int
    late_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request was received and parsed.

    Attributes:
        waited_ms: How long it may have waited before it was read; counts
            against its deadline.
    """

    at_ms: int
    request_id: str
    work: work.Work
    waited_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StreamResumed:
    """A caller resumes, by its token, a stream begun at another daemon.

    Attributes:
        server_id: Backend server that holds the stream.
        stream_id: Id of the attempt that began it.
        stamp: State that the stream was generated from.
        after: Number of the last frame that the caller received.
    """

    at_ms: int
    request_id: str
    token_sha256: str
    server_id: str
    stream_id: str
    stamp: work.Stamp
    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection before the request ended."""

    at_ms: int
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptOpened:
    """The head of a streamed answer was received, with its state."""

    at_ms: int
    attempt_id: str
    echoed_request: str
    stamp: work.Stamp | None
    head: work.Head | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FramesArrived:
    """Frames of a stream, in the order read from the connection."""

    at_ms: int
    attempt_id: str
    frames: tuple[work.Frame, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerArrived:
    """A whole answer was received.

    Attributes:
        stamp: State echoed by a model engine; None from a plain service.
    """

    at_ms: int
    attempt_id: str
    echoed_request: str
    answer: work.Answer
    stamp: work.Stamp | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReported:
    """An engine reported how much of a prompt it had cached."""

    at_ms: int
    attempt_id: str
    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended without an answer."""

    at_ms: int
    attempt_id: str
    phase: FailurePhase
    cause: FailureCause
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """A claim write completed or got no reply.

    Attributes:
        claim: The stored row, for TAKEN.
    """

    at_ms: int
    request_id: str
    verdict: ClaimVerdict
    claim: work.Claim | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeStored:
    """The write of a claim's outcome succeeded or got no reply."""

    at_ms: int
    request_id: str
    stored: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TableChanged:
    """A newer table version was read from the service or a peer.

    Attributes:
        newest_before_ms: When the previously active table was last known to
            be the newest, so that this table's changes were made later; None
            for a table that is announced as soon as it is created.
    """

    at_ms: int
    table: model.Table
    newest_before_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDemand:
    """Recent demand at another daemon.

    Attributes:
        daemon_id: The peer.
        alive: False once the peer is dead or has left.
        cells: Demand by cell.
    """

    at_ms: int
    daemon_id: str
    alive: bool
    cells: tuple[CellDemand, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class UsageTold:
    """Another daemon reports what it admitted under quotas."""

    at_ms: int
    daemon_id: str
    usages: tuple[quota.Usage, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetReached:
    """The part of the expected daemons that this one is in contact with.

    Attributes:
        part: From 0 to 1, this daemon included.
    """

    at_ms: int
    part: float


@dataclasses.dataclass(frozen=True, slots=True)
class CellDemand:
    """Demand on one limited cell.

    Attributes:
        cell: Name such as `workspace/desk`.
        wanted: Requests running or refused.
        rate_per_s: Requests arriving per second.
    """

    cell: str
    wanted: float
    rate_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashesTold:
    """Another daemon reported servers that crashed while running requests.

    Attributes:
        completions: Contents that ran to completion without a crash.
    """

    at_ms: int
    crashes: tuple[quarantine.Crash, ...]
    completions: tuple[quarantine.Completion, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged:
    """The set of live daemons changed.

    Attributes:
        live: Daemon incarnations now live, as written into claims, sorted.
        carriers: Those that send callers' requests to servers; empty for all.
        known: Expected number of daemons, including unreachable ones.
        near: Live daemons in this daemon's failure domain, sorted.
    """

    at_ms: int
    live: tuple[str, ...]
    carriers: tuple[str, ...] = ()
    known: int = 0
    near: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StreamTold:
    """Another daemon began a stream.

    Attributes:
        key: Key of the stream.
        target: Model of the stream.
        version: Software version that began it; empty if it is not certain.
        left_ms: For how long its caller may take it up.
    """

    at_ms: int
    key: bytes
    target: str
    version: str
    left_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StreamAnswered:
    """Another daemon was asked which software version began a stream.

    Attributes:
        request_id: Request that takes the stream up.
        daemon: The daemon asked.
        knowledge: What it knows; None if it did not answer.
    """

    at_ms: int
    request_id: str
    daemon: str
    knowledge: work.StreamKnowledge | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetHistory:
    """Versions at which a target's streams may have begun before a start.

    Attributes:
        target: The target.
        known_for_ms: For how long all of them are known.
        listed: Those that its servers had last.
        gone_for_ms: How long ago the last server of each other one left.
    """

    target: str
    known_for_ms: int
    listed: tuple[str, ...]
    gone_for_ms: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StreamHistoryRead:
    """The store holds where streams may have begun before this start.

    Attributes:
        targets: Versions by target.
        routes: Digest of the targets of each resumable route, by the digest
            of the route.
        moved_for_ms: How long ago routes led to other targets, by the digest
            of the route.
    """

    at_ms: int
    targets: tuple[TargetHistory, ...]
    routes: tuple[tuple[str, str], ...]
    moved_for_ms: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RightToServe:
    """Until when this daemon may treat its table as current."""

    at_ms: int
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateConfirmed:
    """A copy of shared state was known to be the newest at a time.

    Attributes:
        by: Whose answer that was: the store's, or a daemon's id.
    """

    at_ms: int
    topic: freshness.Topic
    confirmed_at_ms: int
    by: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmationEnded:
    """A read that was to confirm a copy has ended.

    Attributes:
        has_read: Whether the copy is that of the store at a time after the read
            began.
    """

    at_ms: int
    topic: freshness.Topic
    has_read: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrdered:
    """The daemon stops: it finishes its requests and accepts no others."""

    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopOverdue:
    """The process must end now, with requests that have not finished."""

    at_ms: int


Input: TypeAlias = (
    Tick
    | RequestArrived
    | StreamResumed
    | CallerGone
    | AttemptOpened
    | FramesArrived
    | AnswerArrived
    | UsageReported
    | AttemptFailed
    | ClaimAnswered
    | OutcomeStored
    | TableChanged
    | server_inputs.ServerDoubted
    | server_inputs.ServerDraining
    | server_inputs.ServerLeaving
    | server_inputs.RestAsked
    | server_inputs.EndlessAnswer
    | server_inputs.ServerListed
    | server_inputs.LoadReported
    | server_inputs.LoadEchoed
    | server_inputs.LoadTold
    | server_inputs.IdleConnections
    | server_inputs.RateLimitEchoed
    | server_inputs.RateLimitTold
    | server_inputs.BrittleEchoed
    | server_inputs.BrittleTold
    | server_inputs.CacheDigest
    | server_inputs.ProbeAnswered
    | server_inputs.PathAnswered
    | server_inputs.PathsTold
    | PeerDemand
    | UsageTold
    | FleetReached
    | server_inputs.PeerDispatched
    | CrashesTold
    | MembersChanged
    | StreamHistoryRead
    | StreamTold
    | StreamAnswered
    | RightToServe
    | StateConfirmed
    | ConfirmationEnded
    | StopOrdered
    | StopOverdue
)

__all__ = [
    "AnswerArrived",
    "AttemptFailed",
    "AttemptOpened",
    "CallerGone",
    "CellDemand",
    "ClaimAnswered",
    "ClaimVerdict",
    "CrashesTold",
    "FailureCause",
    "FailurePhase",
    "FleetReached",
    "FramesArrived",
    "Input",
    "MembersChanged",
    "OutcomeStored",
    "PeerDemand",
    "RequestArrived",
    "RightToServe",
    "StateConfirmed",
    "ConfirmationEnded",
    "StopOrdered",
    "StopOverdue",
    "StreamAnswered",
    "StreamResumed",
    "StreamHistoryRead",
    "StreamTold",
    "TargetHistory",
    "TableChanged",
    "Tick",
    "UsageReported",
    "UsageTold",
]
