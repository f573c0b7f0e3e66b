"""What the core is told; each input carries the time it came.

What it is told of backend servers stands in `server_inputs`.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

from godwittack.core import quarantine, server_inputs, work
from godwittack.table import model


class FailurePhase(enum.StrEnum):
    """How far an attempt was when it failed.

    CONNECT proves that nothing was sent. SENT means that at least one byte
    of the request may have reached the backend server. DECLINED means that
    the server itself said that it did not run the request and never will.
    """

    CONNECT = "connect"
    SENT = "sent"
    DECLINED = "declined"


class FailureCause(enum.StrEnum):
    """Why an attempt failed, where the difference changes the decision.

    ENDED: nothing listens at the server's address. WITHHELD: not sent, as the
    server wanted no work any more.
    """

    BROKEN = "broken"
    ENDED = "ended"
    REFUSED = "refused"
    OTHER_SERVER = "other_server"
    STREAM_GONE = "stream_gone"
    WITHHELD = "withheld"


class ClaimVerdict(enum.StrEnum):
    """What the table service said of a claim write.

    HELD: the row carries our nonce. TAKEN: it carries another's. UNANSWERED:
    no reply, so that the write may or may not have taken effect.
    """

    HELD = "held"
    TAKEN = "taken"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; upkeep runs."""

    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request was read and parsed.

    Attributes:
        waited_ms: How long it may have waited before; its time runs from then.
    """

    at_ms: int
    request_id: str
    work: work.Work
    waited_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StreamResumed:
    """A caller came back with a resume token for a stream begun elsewhere.

    Attributes:
        server_id: Backend server that holds the stream.
        stream_id: The attempt that began it.
        stamp: State the stream is built on.
        after: Last frame number that the caller has.
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
    """The caller closed its connection before the end."""

    at_ms: int
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptOpened:
    """The head of a streamed answer came, with the state it is built on."""

    at_ms: int
    attempt_id: str
    echoed_request: str
    stamp: work.Stamp
    head: work.Head | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FramesArrived:
    """Frames of a stream came, in the order read from the connection."""

    at_ms: int
    attempt_id: str
    frames: tuple[work.Frame, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerArrived:
    """A whole answer came.

    Attributes:
        stamp: Echo of a model engine; None from a plain service.
    """

    at_ms: int
    attempt_id: str
    echoed_request: str
    answer: work.Answer
    stamp: work.Stamp | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReported:
    """The engine said how much of a prompt it found in its cache."""

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
    """The table service settled, or failed to settle, a claim.

    Attributes:
        claim: The row that stands, for TAKEN.
    """

    at_ms: int
    request_id: str
    verdict: ClaimVerdict
    claim: work.Claim | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeStored:
    """A claim's outcome was written, or the write got no reply."""

    at_ms: int
    request_id: str
    stored: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TableChanged:
    """A newer table version was read from the service or a peer.

    Attributes:
        newest_before_ms: When the table in force before was last known to be
            the newest, so that what this one changes was changed later; None
            for a table that is told of as soon as it is made.
    """

    at_ms: int
    table: model.Table
    newest_before_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDemand:
    """What another daemon asked for lately, by workspace.

    Attributes:
        daemon_id: The peer.
        alive: False once the peer is dead or has left.
        cells: Demand and share use by cell name.
    """

    at_ms: int
    daemon_id: str
    alive: bool
    cells: tuple[CellDemand, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CellDemand:
    """Demand on one limited cell.

    Attributes:
        cell: Name such as `workspace/desk`.
        wanted: Requests running or held back.
        rate_per_s: Requests arriving a second.
    """

    cell: str
    wanted: float
    rate_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashesTold:
    """Another daemon told of servers that ended under requests.

    Attributes:
        completions: Contents that have run without a crash.
    """

    at_ms: int
    crashes: tuple[quarantine.Crash, ...]
    completions: tuple[quarantine.Completion, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged:
    """The set of live daemons changed.

    Attributes:
        live: Daemon incarnations now live, as written into claims, sorted.
        carriers: Those that callers' requests are sent by; all where empty.
        known: Daemons that there should be, with those that don't answer.
    """

    at_ms: int
    live: tuple[str, ...]
    carriers: tuple[str, ...] = ()
    known: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RightToServe:
    """Until when this daemon may claim that its table is current."""

    at_ms: int
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrdered:
    """The daemon was asked to stop; it finishes what it has."""

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
    | server_inputs.ServerListed
    | server_inputs.LoadReported
    | server_inputs.LoadEchoed
    | server_inputs.RateLimitEchoed
    | server_inputs.RateLimitTold
    | server_inputs.CacheDigest
    | server_inputs.ProbeAnswered
    | PeerDemand
    | server_inputs.PeerDispatched
    | CrashesTold
    | MembersChanged
    | RightToServe
    | StopOrdered
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
    "FramesArrived",
    "Input",
    "MembersChanged",
    "OutcomeStored",
    "PeerDemand",
    "RequestArrived",
    "RightToServe",
    "StopOrdered",
    "StreamResumed",
    "TableChanged",
    "Tick",
    "UsageReported",
]
