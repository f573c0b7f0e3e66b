"""Parsed requests, answers and claims as the core handles them."""

from __future__ import annotations

import dataclasses
import enum

from godwittack.table import forwarding


class WorkKind(enum.StrEnum):
    """Kind of a request."""

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
        token_sha256: Digest of the caller's bearer token.
        target: Model or service name.
        caller_request_id: The caller's own id, echoed and logged, never used
            as a key: two workspaces may use the same one.
        levels: Prompt levels, outermost first; empty for plain calls.
        parts: Names of the parts of the prompt that other requests may share,
            outermost first, the same wherever a part stands.
        max_tokens: Maximum number of tokens to generate.
        streaming: Whether the caller reads the answer as it is generated.
        deadline_ms: The caller's time limit until the answer begins; 0 for
            the table's limit.
        method: HTTP method of a plain call.
        idempotency_key: The caller's key; empty if it gave none.
        fingerprint: Hash of method, path and body that identifies a repeated
            request; empty if not computed.
        host: Host that the caller requested, if routes decide the target;
            empty if the caller names the target itself.
        path: Path that the routes are matched against.
        route: The matching route; set by the core.
        resume_after: Last event of a stream that the caller already has.
        resumes: The caller's id of the request that brought that stream's first
            event; empty if it names none.
        used_tokens: Tokens that it counts as against a quota, those of the
            answer included; None if the caller states no count.
        body_bytes: Length of its body, if routes decide the target.
        length_hint: Tokens that the caller expects to be generated; None if it
            sent no hint.
    """

    kind: WorkKind
    token_sha256: str
    target: str
    caller_request_id: str = ""
    levels: tuple[Level, ...] = ()
    parts: tuple[str, ...] = ()
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
    resumes: str = ""
    used_tokens: int | None = None
    body_bytes: int = 0
    length_hint: int | None = None

    @property
    def is_streamed(self) -> bool:
        """Whether its answer may be a stream, forwarded as it arrives.

        A streaming route makes it one, whichever servers it leads to.
        """
        return self.streaming or self.kind is WorkKind.GENERATION

    @property
    def prompt_tokens(self) -> int:
        """Estimated tokens over all levels."""
        return sum(level.tokens for level in self.levels)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stamp:
    """The state that an answer is generated from.

    Attributes:
        workspace: Workspace whose cache may be used.
        target: Model or service.
        weights_version: Weights loaded on the backend server.
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
    """Status and headers of a streamed answer, forwarded unchanged.

    Attributes:
        is_delimited: Whether the server marks the end of the stream, by a
            length or a last chunk, so that a closed connection is no end.
    """

    status: int
    headers: tuple[Header, ...]
    is_delimited: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of a backend server.

    Attributes:
        status: HTTP status.
        headers: Headers except hop-by-hop headers.
        body: Bytes as received.
        is_delimited: Whether the server marked the end of the body, by a
            length or a last chunk; it may be incomplete otherwise.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    is_delimited: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StreamKnowledge:
    """What a daemon knows of the stream that a caller takes up.

    Attributes:
        is_known: Whether it has a record of the stream.
        target: Target at which the stream began; empty if not told.
        version: Software version that began the stream; empty if not certain.
        recent_versions: Versions of the target's servers that it has seen
            recently, sorted.
        is_complete: Whether it has seen them for as long as a stream may live.
    """

    is_known: bool
    version: str
    recent_versions: tuple[str, ...]
    is_complete: bool
    target: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """Identifies one call that may run at most once."""

    workspace: str
    service: str
    key: str


class ClaimState(enum.StrEnum):
    """State of a claimed call.

    CLAIMED may have been sent; RELEASED was provably not sent and can be
    claimed again; DONE has its answer; UNKNOWN was sent and its answer lost.
    """

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """One row of the platform's claims table.

    Attributes:
        state: State of the call.
        nonce: Unique id of the writer; shows whose write took effect.
        daemon: Daemon incarnation that wrote the row.
        fingerprint: Hash of the request that the key was used for.
        answer: The answer, for DONE rows.
        row_version: Version of the platform's row; 0 if none exists.
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
    "StreamKnowledge",
    "Work",
    "WorkKind",
]
