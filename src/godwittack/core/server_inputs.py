"""What the core is told of backend servers, by them and by peers."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A fresh connection to a backend server was tried.

    Attributes:
        ended: Whether nothing listens at its address.
    """

    at_ms: int
    server_id: str
    alive: bool
    incarnation: str = ""
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServerDoubted:
    """A backend server gave another daemon no sign of life."""

    at_ms: int
    server_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServerDraining:
    """The lead of a model takes a server out of service for a while."""

    at_ms: int
    server_id: str
    until_ms: int


class Source(enum.StrEnum):
    """Where a daemon has the word of a server from."""

    ANSWER = "answer"
    REPORT = "report"
    LIST = "list"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLeaving:
    """A backend server is about to stop.

    Attributes:
        incarnation: The start that leaves; empty for the one known here.
        source: Where this is known from.
        request_id: Request whose answer said so; empty for none.
    """

    at_ms: int
    server_id: str
    incarnation: str = ""
    source: Source = Source.PEER
    request_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RestAsked:
    """A backend server wants nothing from this daemon for a while.

    Attributes:
        incarnation: The start that asked; empty for the one known here.
        rest_ms: How long, from when its answer was read.
        request_id: Request that it turned away; empty for another call.
    """

    at_ms: int
    server_id: str
    rest_ms: int
    incarnation: str = ""
    request_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CacheDigest:
    """What changed in one engine's cache since the digest before.

    Attributes:
        cleared: Whether the engine emptied its cache before these.
        stored: Level keys now cached.
        removed: Level keys evicted.
        tokens: Tokens now stored of each in `stored`; empty for all of all.
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
    """A backend server told its load with an answer.

    Attributes:
        running: Requests running when the answer was made.
        waiting: Requests waiting then.
        slots: Requests it runs at most.
    """

    at_ms: int
    server_id: str
    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RateLimitEchoed:
    """A backend server told with an answer how much it takes.

    Attributes:
        limit_per_s: Requests a second from all daemons together; None where
            the server names no limit any more.
    """

    at_ms: int
    server_id: str
    limit_per_s: float | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RateLimitTold:
    """Another daemon told of a limit that it heard from a server.

    Attributes:
        limit_per_s: As in `RateLimitEchoed`.
        age_ms: How long ago the server said it.
    """

    at_ms: int
    server_id: str
    incarnation: str
    limit_per_s: float | None
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReported:
    """A backend server's own account of its load, some time old.

    Attributes:
        running: Requests in the current batch.
        waiting: Requests not yet begun.
        waiting_tokens: Uncached prompt tokens not yet computed.
        prefill_us_per_token: Microseconds to compute a prompt token.
        slots: Requests the engine batches at most.
        leaving: Whether it is about to stop.
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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerDispatched:
    """Another daemon sent a long prompt to a server.

    Attributes:
        tokens: Prompt tokens that the server has to compute.
        priority: Rank of the request; lower comes first.
        levels: Keys of the levels that it will have cached then.
    """

    at_ms: int
    server_id: str
    tokens: int
    priority: int
    levels: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerListed:
    """One entry of the instance list, or the removal of one.

    Attributes:
        server_id: Name of the backend server.
        address: IP and port.
        target: Model or service it serves.
        failure_domain: Where it stands.
        leaving: Whether it is about to stop.
        gone: Whether it left the list.
        incarnation: The server's incarnation, where the list tells it.
        weights_version: Weights loaded, where the list tells them.
        slots: Requests it takes at one time, where the list tells it.
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


# What servers say of themselves with answers.
ServerSignal: TypeAlias = ServerLeaving | RestAsked | LoadEchoed

__all__ = [
    "CacheDigest",
    "LoadEchoed",
    "LoadReported",
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
