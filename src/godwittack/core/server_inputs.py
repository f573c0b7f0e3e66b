"""Inputs about backend servers, from the servers and from peers."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """Result of a probe of a backend server on a fresh connection.

    Attributes:
        ended: Whether its address refused the connection.
        fresh_connection: Whether a new connection was opened for the probe.
        was_asked: Whether another daemon asked for the probe.
        broken: Whether an open connection ended before the answer did.
        late_ms: How late this daemon's own timers are at that time.
    """

    at_ms: int
    server_id: str
    alive: bool
    incarnation: str = ""
    ended: bool = False
    fresh_connection: bool = False
    was_asked: bool = False
    broken: bool = False
    late_ms: int = 0


class PathVerdict(enum.StrEnum):
    """What another daemon found when it probed a server.

    ENDED: the address refuses connections. SILENT: no answer in time. UNKNOWN:
    the daemon did not answer, or does not know the server.
    """

    ALIVE = "alive"
    ENDED = "ended"
    SILENT = "silent"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PathAnswered:
    """Another daemon's answer whether it reaches a server.

    Attributes:
        daemon: The daemon that probed the server.
        incarnation: Incarnation that answered it.
        reaches_others: Whether that daemon reaches another server, so that the
            fault is not on its own path.
    """

    at_ms: int
    server_id: str
    daemon: str
    verdict: PathVerdict
    incarnation: str = ""
    reaches_others: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PathsTold:
    """All servers that another daemon can't reach."""

    at_ms: int
    daemon: str
    lost: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerDoubted:
    """A backend server did not respond to another daemon.

    Attributes:
        daemon: The other daemon.
    """

    at_ms: int
    server_id: str
    daemon: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerDraining:
    """The lead of a model takes a server out of service until a time."""

    at_ms: int
    server_id: str
    until_ms: int


class Source(enum.StrEnum):
    """Source from which a daemon learnt that a server leaves."""

    ANSWER = "answer"
    REPORT = "report"
    LIST = "list"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLeaving:
    """A backend server is about to stop.

    Attributes:
        incarnation: The incarnation that leaves; empty for the known one.
        source: Where this information comes from.
        request_id: Request whose answer reported it; empty for none.
    """

    at_ms: int
    server_id: str
    incarnation: str = ""
    source: Source = Source.PEER
    request_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RestAsked:
    """A backend server requests a rest: no requests from this daemon.

    Attributes:
        rest_ms: Duration, from when the server's answer was read.
        incarnation: The incarnation that requested it; empty for the known
            one.
        request_id: Request that it rejected; empty for any other call.
    """

    at_ms: int
    server_id: str
    rest_ms: int
    incarnation: str = ""
    request_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndlessAnswer:
    """A backend server sent something without an end.

    Attributes:
        what: What it sent, such as `head`.
        size_bytes: Bytes of it that were read.
        incarnation: The incarnation that the call was meant for; empty for
            the known one.
    """

    at_ms: int
    server_id: str
    what: str
    size_bytes: int
    incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CacheDigest:
    """Changes in an engine's cache since its previous digest.

    Attributes:
        cleared: Whether the engine emptied its cache before these changes.
        stored: Level keys now cached.
        removed: Level keys evicted.
        tokens: Tokens cached of each level in `stored`; empty if all levels
            are cached in full.
    """

    at_ms: int
    server_id: str
    incarnation: str
    weights_version: str
    cleared: bool
    stored: tuple[int, ...]
    removed: tuple[int, ...]
    tokens: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadEchoed:
    """Load that a backend server reported with an answer.

    Attributes:
        running: Requests running when the answer was produced.
        waiting: Requests waiting at that time.
        slots: Maximum number of requests it runs at a time.
        is_relayed: Whether the answer came through another daemon.
        pace_percent: Time that work takes on its machine at this moment, in
            percent of the usual time; 0 if not reported.
    """

    at_ms: int
    server_id: str
    running: int
    waiting: int
    slots: int
    is_relayed: bool = False
    pace_percent: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadTold:
    """Load and paces of a server, from another daemon's last response of it.

    Attributes:
        running: As in `LoadEchoed`.
        waiting: As in `LoadEchoed`.
        slots: As in `LoadEchoed`; 0 if not told.
        pace_percent: As in `LoadEchoed`.
        age_ms: How long ago the server sent that response.
        incarnation: The incarnation that sent it; empty for the known one.
        daemon: The daemon that tells it; empty if not known.
        reference_prompt_us: Time that the server takes for the reference prompt
            by that daemon's own samples.
        samples: Number of these samples.
        delay_ms: By how much first tokens came later than estimated.
    """

    at_ms: int
    server_id: str
    running: int
    waiting: int
    slots: int = 0
    pace_percent: int = 0
    age_ms: int = 0
    incarnation: str = ""
    daemon: str = ""
    reference_prompt_us: int = 0
    samples: int = 0
    delay_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IdleConnections:
    """Idle connections to a server have been taken, returned or closed.

    Attributes:
        count: How many there are now.
        closes_at_ms: When the server closes the most recently used one.
    """

    at_ms: int
    server_id: str
    count: int
    closes_at_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RateLimitEchoed:
    """Rate limit that a backend server advertised with an answer.

    Attributes:
        limit_per_s: Requests per second from all daemons together; None if
            the server no longer advertises a limit.
    """

    at_ms: int
    server_id: str
    limit_per_s: float | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RateLimitTold:
    """Rate limit of a server, announced by another daemon.

    Attributes:
        limit_per_s: As in `RateLimitEchoed`.
        age_ms: How long ago the server advertised it.
    """

    at_ms: int
    server_id: str
    incarnation: str
    limit_per_s: float | None
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BrittleEchoed:
    """Tolerance of rejections that a server announced with an answer.

    Attributes:
        max_rejected_per_s: Requests that it may reject in a second for want of
            room before it falls over; None if it is not brittle any more.
    """

    at_ms: int
    server_id: str
    max_rejected_per_s: float | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BrittleTold:
    """The same, announced by another daemon.

    Attributes:
        max_rejected_per_s: As in `BrittleEchoed`.
        age_ms: How long ago the server announced it.
    """

    at_ms: int
    server_id: str
    incarnation: str
    max_rejected_per_s: float | None
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReported:
    """A backend server's own report of its load.

    Attributes:
        running: Requests in the current batch.
        waiting: Requests not yet begun.
        waiting_tokens: Uncached prompt tokens not yet computed.
        prefill_us_per_token: Microseconds to compute a prompt token.
        slots: Maximum number of requests in the engine's batch.
        age_ms: Age of the report.
        leaving: Whether the server is about to stop.
        kv_used_tokens: Memory that can't be evicted; 0 if not reported.
        kv_total_tokens: All of its memory; 0 if not reported.
        kv_reserved_tokens: Memory that is held or pinned.
        next_tokens: Prompt tokens of the first waiting request.
    """

    at_ms: int
    server_id: str
    incarnation: str
    weights_version: str
    running: int
    waiting: int
    waiting_tokens: int
    prefill_us_per_token: int
    slots: int
    age_ms: int = 0
    leaving: bool = False
    kv_used_tokens: int = 0
    kv_total_tokens: int = 0
    kv_reserved_tokens: int = 0
    next_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerDispatched:
    """Another daemon sent a long prompt to a server.

    Attributes:
        tokens: Prompt tokens that the server has to compute.
        priority: Priority of the request; lower is served first.
        levels: Keys of the levels that will be cached after computation.
        load: Newest load of the server that the daemon knows, if any.
        memory_tokens: Memory that the request occupies; 0 if not announced.
        shared_tokens: Part of it that requests with the same shared levels
            use as well.
        is_long: Whether the engines for long prompts compute it.
    """

    at_ms: int
    server_id: str
    tokens: int
    priority: int
    levels: tuple[int, ...]
    load: LoadTold | None = None
    memory_tokens: int = 0
    shared_tokens: int = 0
    is_long: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerListed:
    """One entry of the instance list, or the removal of one.

    Attributes:
        server_id: Name of the backend server.
        address: IP and port.
        target: Model or service it serves.
        failure_domain: Failure domain that it runs in.
        leaving: Whether it is about to stop.
        gone: Whether it was removed from the list.
        incarnation: The server's incarnation, if listed.
        weights_version: Version of the loaded weights, if listed.
        slots: Maximum number of concurrent requests, if listed.
        software_version: Version of its software, if listed.
    """

    at_ms: int
    server_id: str
    address: str = ""
    target: str = ""
    failure_domain: str = ""
    leaving: bool = False
    gone: bool = False
    incarnation: str = ""
    weights_version: str = ""
    slots: int = 0
    software_version: str = ""


# What servers report about themselves with answers.
ServerSignal: TypeAlias = ServerLeaving | RestAsked | LoadEchoed | EndlessAnswer

__all__ = [
    "BrittleEchoed",
    "BrittleTold",
    "CacheDigest",
    "EndlessAnswer",
    "IdleConnections",
    "LoadEchoed",
    "LoadReported",
    "LoadTold",
    "PathAnswered",
    "PathVerdict",
    "PathsTold",
    "PeerDispatched",
    "ProbeAnswered",
    "RateLimitEchoed",
    "RateLimitTold",
    "RestAsked",
    "ServerDoubted",
    "ServerDraining",
    "ServerLeaving",
    "ServerListed",
    "ServerSignal",
    "Source",
]
