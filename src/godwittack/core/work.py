"""What a caller asks for, as the core sees it."""

from __future__ import annotations

import dataclasses
import enum

from godwittack.table import forwarding


class WorkKind(enum.StrEnum):
    """How a request is served."""

    GENERATION = "generation"
    PLAIN = "plain"


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """One nested level of a prompt, such as rulebook, section or case.

    Attributes:
        key: Chained hash over this level and all before it, seeded with
            workspace and model.
        tokens: Estimated tokens of this level alone.
    """

    key: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """One request after parsing, without its body.

    Attributes:
        kind: Generation by a model, or a call of a plain service.
        token_sha256: Digest of the bearer token the caller showed.
        target: Model or service name.
        caller_request_id: The caller's own id, echoed and logged, never used
            as a key: two workspaces may choose the same one.
        levels: Prompt levels, outermost first; empty for plain calls.
        max_tokens: Tokens the caller allows to be generated.
        streaming: Whether the caller reads the answer as it is made.
        deadline_ms: The caller's limit until the answer begins; 0 takes the
            table's.
        method: HTTP method of a plain call.
        idempotency_key: The caller's key; empty where it gave none.
        fingerprint: Hash of method, path and body, by which a request that
            comes again is known; empty where it has none.
        host: Host that the caller named, where routes decide the target;
            empty where the caller names the target itself.
        path: Path by which the route is found.
        route: The route found; set by the core.
        resume_after: Last event that the caller already has of a stream.
    """

    kind: WorkKind
    token_sha256: str
    target: str
    caller_request_id: str = ""
    levels: tuple[Level, ...] = ()
    max_tokens: int = 0
    streaming: bool = False
    deadline_ms: int = 0
    method: str = "POST"
    idempotency_key: str = ""
    fingerprint: str = ""
    host: str = ""
    path: str = ""
    route: forwarding.Route | None = None
    resume_after: int = 0

    @property
    def prompt_tokens(self) -> int:
        """Estimated tokens over all levels."""
        return sum(level.tokens for level in self.levels)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stamp:
    """The state that an answer is built on.

    Attributes:
        workspace: Whose cache may be used.
        target: Model or service.
        weights_version: Weights in force on the backend server.
        incarnation: Changes each time the backend server starts empty.
    """

    workspace: str
    target: str
    weights_version: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One numbered piece of a stream; numbers start at 1.

    Attributes:
        number: Position in the stream.
        data: Bytes relayed to the caller.
        terminal: Whether the stream is complete with this frame.
    """

    number: int
    data: bytes
    terminal: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of a streamed answer, handed on as they came."""

    status: int
    headers: tuple[Header, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of a backend server.

    Attributes:
        status: HTTP status.
        headers: Headers without hop-by-hop ones.
        body: Bytes as received.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """Names one call that may run at most once."""

    workspace: str
    service: str
    key: str


class ClaimState(enum.StrEnum):
    """How far a claimed call came.

    CLAIMED may have been sent; RELEASED was provably not sent and can be
    claimed anew; DONE has its answer; UNKNOWN was sent and its answer lost.
    """

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """One row of the platform's claims table.

    Attributes:
        state: How far the call came.
        nonce: Attempt that wrote the row; decides whose write took effect.
        daemon: Daemon incarnation that wrote the row.
        fingerprint: Hash of the request that the key was used for.
        answer: The answer, for DONE rows.
        row_version: Version of the platform's row; 0 where none exists.
    """

    state: ClaimState
    nonce: str
    daemon: str
    fingerprint: str
    answer: Answer | None = None
    row_version: int = 0


__all__ = [
    "Answer",
    "Claim",
    "ClaimKey",
    "ClaimState",
    "Frame",
    "Head",
    "Header",
    "Level",
    "Stamp",
    "Work",
    "WorkKind",
]
