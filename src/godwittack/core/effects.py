"""Effects: the actions that the core requests from the daemon's I/O code."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

from godwittack.core import quarantine, server_pace, work
from godwittack.limit import quota
from godwittack.member import freshness


class Outcome(enum.StrEnum):
    """Guarantee to a caller that gets no answer.

    NOT_RUN is only used if the work provably did not start.
    """

    NOT_RUN = "not_run"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request was refused or its stream was aborted."""

    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_TARGET = "unknown_target"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_REUSED = "idempotency_key_reused"
    KEY_IN_PROGRESS = "in_progress"
    LIMIT = "limit"
    QUOTA = "quota"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_SERVER = "no_server"
    NO_MEMORY = "no_memory"
    DISPATCH_FAILED = "dispatch_failed"
    TABLE_SERVICE_DOWN = "table_service_down"
    NOT_CURRENT = "table_not_current"
    STOPPING = "stopping"
    ANSWER_LOST = "answer_lost"
    STREAM_LOST = "stream_lost"
    STATE_CHANGED = "state_changed"
    BAD_RESUME = "bad_resume_token"
    VERSION_UNKNOWN = "stream_version_unknown"
    NO_ROUTE = "no_route"
    TOO_LARGE = "too_large"
    QUARANTINED = "quarantined"
    TIMEOUT = "timeout"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Ends a request before any byte of an answer was sent.

    Attributes:
        status: HTTP status.
        outcome: Guarantee to the caller.
        reason: Cause, under which the report counts the refusal.
        detail: One human-readable line.
        retry_after_ms: Delay after which to retry; 0 for never.
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
        attempt_id: Id of the attempt, and of a new stream on the engine.
        stamp: State that the engine must echo; None for a plain service.
        resume_stream: Id of the stream to resume; empty to start one.
        after: Number of the last frame received, for a resumption.
        fresh_connection: Whether a pooled connection must not be used.
        idle_margin_ms: How long before its server closes it a pooled
            connection may be used; 0 for the pool's own margin.
        priority: Lower is served first, as defined by engines.
        workspace: Workspace of the request.
        ends_at_ms: When the attempt times out; 0 for no limit.
        cache_scope: Scope within which cached state may be shared.
        kv_fetch_from: Address of the KV store from which to load cached
            levels first.
        kv_save_to: Address of the KV store to which to save computed levels.
        incarnation: Incarnation of the chosen server; empty if not known.
        relay: Daemon that sends the request to the server for this one; empty
            to send it over this daemon's own path.
        has_own_place: Whether it takes a place of this daemon at a brittle
            server, not one of the relay.
        suspects: Keys of what may crash the server, for the relay.
        streaming: Whether the request's route streams.
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
    relay: str = ""
    has_own_place: bool = True
    suspects: tuple[str, ...] = ()
    idle_margin_ms: int = 0
    streaming: bool = False

    @property
    def is_streamed(self) -> bool:
        """Whether events of its answer are forwarded as they arrive."""
        return self.streaming or self.stamp is not None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announce:
    """Announces to other daemons a long prompt that was sent to a server.

    Each daemon sees only a part of the requests. Without the announcement
    several daemons would choose the same idle server at the same moment, and
    none would know what the others have just brought into its cache.

    Attributes:
        tokens: Prompt tokens that the server has to compute; for an uneven
            target, the tokens that take as long at the mean time per token.
        load: Newest load of the server, from a response; None if not known.
        delay_ms: By how much first tokens of the server come later than
            estimated.
        memory_tokens: Memory that the request occupies; 0 if not estimated.
        shared_tokens: Part of it that requests with the same shared levels
            use as well.
        is_long: Whether the engines for long prompts compute it.
    """

    server_id: str
    target: str
    tokens: int
    priority: int
    levels: tuple[int, ...]
    load: server_pace.EchoedLoad | None = None
    delay_ms: int = 0
    memory_tokens: int = 0
    shared_tokens: int = 0
    is_long: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Closes an attempt's connection.

    Attributes:
        stop_engine: Whether the engine must end the stream as well.
    """

    attempt_id: str
    stop_engine: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BeginStream:
    """Starts the answer to a caller.

    Attributes:
        stream_id: Id of the stream on the engine, for the resume token.
        stamp: State of the engine; None for a plain service.
        late: Whether the deadline had passed.
        head: Status and headers of the server, if they are to be forwarded.
    """

    request_id: str
    server_id: str
    stream_id: str
    stamp: work.Stamp | None
    late: bool
    head: work.Head | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Forwards frames to the caller."""

    request_id: str
    frames: tuple[work.Frame, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndStream:
    """Closes a complete stream."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class BreakStream:
    """Ends a started stream with an explicit error frame."""

    request_id: str
    reason: Reason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Sends a whole answer to the caller.

    Attributes:
        late: Whether the deadline had passed.
        replayed: Whether it was stored by an earlier call with the same key.
    """

    request_id: str
    answer: work.Answer
    late: bool
    replayed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WriteClaim:
    """Claims a key before dispatch.

    Attributes:
        over_version: Row version that the claim may replace; 0 if no row may
            exist.
    """

    request_id: str
    key: work.ClaimKey
    claim: work.Claim
    over_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutcome:
    """Replaces this daemon's own claim by DONE, UNKNOWN or RELEASED.

    The write must also take effect if no row exists yet, so that a delayed
    claim write finds a row and fails.
    """

    request_id: str
    key: work.ClaimKey
    claim: work.Claim


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Sends a health check to a backend server.

    Attributes:
        fresh_connection: Whether a pooled connection must not be used: open
            connections may live on where no new one can be opened.
    """

    server_id: str
    address: str
    fresh_connection: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DropConnections:
    """Closes the pooled connections to a server that can't be reached.

    They may look open although their path is gone; a request written to one
    would be lost with its outcome unknown.
    """

    server_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AskPaths:
    """Asks other daemons whether they reach a server."""

    server_id: str
    address: str
    daemons: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TellPaths:
    """Tells other daemons which servers this one can't reach."""

    lost: tuple[str, ...]
    targets: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TellStream:
    """Tells other daemons which software version began a stream.

    Attributes:
        key: Key of the stream.
        target: Model of the stream.
        version: The version; empty if it is not certain.
        left_ms: For how long its caller may take it up.
        daemons: The daemons to tell.
    """

    key: bytes
    target: str
    version: str
    left_ms: int
    daemons: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AskStream:
    """Asks other daemons which software version began a stream."""

    request_id: str
    key: bytes
    target: str
    daemons: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmState:
    """Reads a copy of shared state anew, before a final decision."""

    topic: freshness.Topic


@dataclasses.dataclass(frozen=True, slots=True)
class Doubt:
    """Notifies other daemons that a server does not respond."""

    server_id: str
    target: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TellCrashes:
    """Reports to other daemons the servers that crashed during requests.

    Attributes:
        target: Model or service of the servers; empty to notify every daemon.
        completions: Contents that ran to completion without a crash.
    """

    target: str
    crashes: tuple[quarantine.Crash, ...] = ()
    completions: tuple[quarantine.Completion, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TellRateLimit:
    """Announces a server's rate limit to other daemons.

    Attributes:
        limit_per_s: Requests per second from all daemons together; None if
            the server no longer advertises a limit.
        at_ms: When the server advertised it.
    """

    server_id: str
    target: str
    incarnation: str
    limit_per_s: float | None
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TellUsage:
    """Reports to the serving daemons what was admitted under quotas here."""

    usages: tuple[quota.Usage, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TellBrittle:
    """Announces to other daemons that a server is brittle, or no longer.

    Attributes:
        max_rejected_per_s: Requests that it may reject in a second; None if it
            is not brittle any more.
        at_ms: When the server announced it.
    """

    server_id: str
    target: str
    incarnation: str
    max_rejected_per_s: float | None
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TellLoad:
    """Tells other daemons the load and paces of a server from a response.

    Attributes:
        reference_prompt_us: Time that the server takes for the reference prompt
            by this daemon's samples; 0 without samples.
        samples: Number of these samples.
        delay_ms: By how much first tokens come later than estimated.
        at_ms: When the response was received.
    """

    server_id: str
    target: str
    incarnation: str
    weights_version: str
    running: int
    waiting: int
    slots: int
    pace_percent: int
    reference_prompt_us: int
    samples: int
    delay_ms: int
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """One key=value pair of a log event."""

    key: str
    value: str | int | float


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One log event, which the report counts as well.

    Attributes:
        name: Name of the event.
        request_id: Request it belongs to; empty for none.
        fields: Fields in the order in which they are logged.
    """

    name: str
    request_id: str
    fields: tuple[Field, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Forget:
    """No further effect for a request follows; its body can be freed."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped:
    """Nothing is left in flight; the process can exit."""


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
    | DropConnections
    | AskPaths
    | TellPaths
    | TellStream
    | AskStream
    | ConfirmState
    | Doubt
    | TellCrashes
    | TellRateLimit
    | TellUsage
    | TellBrittle
    | TellLoad
    | Event
    | Forget
    | Stopped
)

__all__ = [
    "Announce",
    "AskPaths",
    "AskStream",
    "ConfirmState",
    "BeginStream",
    "BreakStream",
    "CancelAttempt",
    "Dispatch",
    "Doubt",
    "DropConnections",
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
    "TellBrittle",
    "TellCrashes",
    "TellLoad",
    "TellPaths",
    "TellRateLimit",
    "TellUsage",
    "TellStream",
    "WriteClaim",
]
