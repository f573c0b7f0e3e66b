"""Everything the core asks its shells to do."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

from godwittack.core import quarantine, work


class Outcome(enum.StrEnum):
    """What a caller may rely on when it gets no answer.

    NOT_RUN is only said where the work provably did not start.
    """

    NOT_RUN = "not_run"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request was refused or broken off."""

    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_TARGET = "unknown_target"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_REUSED = "idempotency_key_reused"
    KEY_IN_PROGRESS = "in_progress"
    LIMIT = "limit"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_SERVER = "no_server"
    DISPATCH_FAILED = "dispatch_failed"
    TABLE_SERVICE_DOWN = "table_service_down"
    NOT_CURRENT = "table_not_current"
    STOPPING = "stopping"
    ANSWER_LOST = "answer_lost"
    STREAM_LOST = "stream_lost"
    STATE_CHANGED = "state_changed"
    BAD_RESUME = "bad_resume_token"
    NO_ROUTE = "no_route"
    QUARANTINED = "quarantined"
    TIMEOUT = "timeout"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Ends a request before any byte of an answer went out.

    Attributes:
        status: HTTP status.
        outcome: What the caller may rely on.
        reason: Cause, also the key of the report.
        detail: One line for people.
        retry_after_ms: When trying again makes sense; 0 for never.
    """

    request_id: str
    status: int
    outcome: Outcome
    reason: Reason
    detail: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """Sends a request to a backend server on one attempt.

    Attributes:
        attempt_id: Names the attempt, and the stream on the engine.
        stamp: State that the engine must echo; None for a plain service.
        resume_stream: Stream to resume instead of starting one.
        after: Last frame number already held, for a resumption.
        fresh_connection: Whether a pooled connection must not be used.
        priority: Lower is sooner, as engines have it.
        workspace: Whose request it is.
        ends_at_ms: When the time for an answer is over; 0 for no limit.
        cache_scope: Text under which cached state may be shared.
        kv_fetch_from: Address of a store of cached state to look in first.
        kv_save_to: Address of a store to hand the computed levels to.
        incarnation: Start of the server that it was chosen for; empty where
            that is not known.
    """

    request_id: str
    attempt_id: str
    server_id: str
    address: str
    stamp: work.Stamp | None
    resume_stream: str = ""
    after: int = 0
    fresh_connection: bool = False
    priority: int = 0
    workspace: str = ""
    ends_at_ms: int = 0
    cache_scope: str = ""
    kv_fetch_from: str = ""
    kv_save_to: str = ""
    incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announce:
    """Tells other daemons of a long prompt sent to a server.

    Each daemon sees a part of the requests. Without being told, several would
    choose one idle server at the same moment, and none would know what the
    others have just brought into its cache.
    """

    server_id: str
    target: str
    tokens: int
    priority: int
    levels: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Closes an attempt's connection.

    Attributes:
        stop_engine: Whether the engine should end the stream as well.
    """

    attempt_id: str
    stop_engine: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BeginStream:
    """Starts the answer to a caller.

    Attributes:
        stream_id: Engine's name of the stream, for the resume token.
        late: Whether the deadline had passed.
        head: Status and headers to hand on, where they are the server's own.
    """

    request_id: str
    server_id: str
    stream_id: str
    stamp: work.Stamp
    late: bool
    head: work.Head | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Hands frames on to the caller."""

    request_id: str
    frames: tuple[work.Frame, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndStream:
    """Closes a complete stream."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class BreakStream:
    """Ends a begun stream with an explicit error frame."""

    request_id: str
    reason: Reason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Hands a whole answer to the caller.

    Attributes:
        late: Whether the deadline had passed.
        replayed: Whether it was kept from an earlier call with the same key.
    """

    request_id: str
    answer: work.Answer
    late: bool
    replayed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WriteClaim:
    """Claims a key before dispatch.

    Attributes:
        over_version: Row version that the claim may replace; 0 where no row
            may exist.
    """

    request_id: str
    key: work.ClaimKey
    claim: work.Claim
    over_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutcome:
    """Writes DONE, UNKNOWN or RELEASED over our own claim.

    The write must also take effect where no row stands yet, so that a claim
    write still on its way finds one and fails.
    """

    request_id: str
    key: work.ClaimKey
    claim: work.Claim


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Asks a backend server for a sign of life on a fresh connection."""

    server_id: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Doubt:
    """Tells other daemons that a server gave no sign of life."""

    server_id: str
    target: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TellCrashes:
    """Tells other daemons of servers that ended under requests.

    Attributes:
        target: Model or service of the servers; empty to tell every daemon.
        completions: Contents that have run without a crash.
    """

    target: str
    crashes: tuple[quarantine.Crash, ...] = ()
    completions: tuple[quarantine.Completion, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TellRateLimit:
    """Tells other daemons of the rate that a server takes from all.

    Attributes:
        limit_per_s: Requests a second; None where none is named any more.
        at_ms: When the server said so.
    """

    server_id: str
    target: str
    incarnation: str
    limit_per_s: float | None
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """One key=value pair of a log line."""

    key: str
    value: str | int | float


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One log line, and one count in the report.

    Attributes:
        name: What happened.
        request_id: Request it belongs to; empty for none.
        fields: Pairs in the order to print.
    """

    name: str
    request_id: str
    fields: tuple[Field, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Forget:
    """Nothing more will be asked for a request; its body may go."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped:
    """Nothing is left in flight; the process may exit."""


Effect: TypeAlias = (
    Refuse
    | Dispatch
    | Announce
    | CancelAttempt
    | BeginStream
    | Relay
    | EndStream
    | BreakStream
    | Reply
    | WriteClaim
    | StoreOutcome
    | Probe
    | Doubt
    | TellCrashes
    | TellRateLimit
    | Event
    | Forget
    | Stopped
)

__all__ = [
    "Announce",
    "BeginStream",
    "BreakStream",
    "CancelAttempt",
    "Dispatch",
    "Doubt",
    "Effect",
    "EndStream",
    "Event",
    "Field",
    "Forget",
    "Outcome",
    "Probe",
    "Reason",
    "Refuse",
    "Relay",
    "Reply",
    "Stopped",
    "StoreOutcome",
    "TellCrashes",
    "TellRateLimit",
    "WriteClaim",
]
