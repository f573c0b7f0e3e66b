"""Routes from hosts and paths to targets, with the limits of forwarding."""

from __future__ import annotations

import dataclasses
import functools
import hashlib
import json
import urllib.parse

import xxhash

# Length of the name of a group of workspaces that share cached state.
GROUP_DIGITS = 16
# Sets of isolated workspaces whose groups are kept: the tables of a change, and
# of daemons that still have the one before.
MAX_GROUPS = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedTarget:
    """One target of a route; its weight is relative to those of the others."""

    target: str
    weight: int = 1


# The caller of a stream disconnects when no event arrives for the longest of:
# this minimum, this many times aim_ms, this many times gap_aim_ms.
MIN_CALLER_TIMEOUT_MS = 2_000
CALLER_TIMEOUT_AIMS = 4
CALLER_TIMEOUT_GAP_AIMS = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Maps requests for one host and path prefix to targets.

    Attributes:
        host: Value of the `Host` header.
        prefix: Path prefix, with a slash at both ends.
        targets: Targets that share the requests, by weight.
        timeout_ms: Longest time until a final answer.
        aim_ms: Target time to the answer, or to a stream's first event; a
            later one is less useful.
        gap_aim_ms: Target for the longest pause between events.
        max_attempts: Maximum number of servers on which one request may run.
        priority: Priority among routes; 0 is served first.
        repeatable: Whether a request may run more than once.
        resumable: Whether a stream may be continued on another server.
        streaming: Whether the answer is a stream of events.
        anonymous: Whether requests need no API key.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[WeightedTarget, ...]
    timeout_ms: int
    aim_ms: int = 1_000
    gap_aim_ms: int = 1_000
    max_attempts: int = 1
    priority: int = 0
    repeatable: bool = False
    resumable: bool = False
    streaming: bool = False
    anonymous: bool = False

    @property
    def caller_timeout_ms(self) -> int:
        """Longest time that the caller of a stream waits for an event."""
        return max(
            MIN_CALLER_TIMEOUT_MS,
            CALLER_TIMEOUT_AIMS * self.aim_ms,
            CALLER_TIMEOUT_GAP_AIMS * self.gap_aim_ms,
        )

    def select_target(self, request_id: str) -> str:
        """Returns a request's target, chosen by weight and a hash of its id."""
        if len(self.targets) == 1:
            return self.targets[0].target
        total = sum(entry.weight for entry in self.targets)
        point = xxhash.xxh3_64_intdigest(request_id.encode()) % max(1, total)
        for entry in self.targets:
            point -= entry.weight
            if point < 0:
                return entry.target
        return self.targets[-1].target


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    Attributes:
        header_timeout_ms: Longest time from a request's first byte to the end
            of its headers; 0 for no limit.
        idle_timeout_ms: Longest time between an answer and the next request
            of a connection; 0 for no limit.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 << 20
    header_timeout_ms: int = 0
    idle_timeout_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KvStore:
    """A store in which engines save cached prompt state to fetch it later.

    Attributes:
        address: IP and port, in the form that is sent to engines.
        link_mbps: Bandwidth of its link in Mbit/s; 0 if not stated.
    """

    name: str
    address: str
    failure_domain: str = ""
    link_mbps: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineLimits:
    """Model and batch size of a target's engines.

    Attributes:
        model: Name of the model that the engines serve.
        slots: Maximum number of requests that one engine runs in a batch.
        max_connections: Connections that one engine accepts from all daemons;
            0 if not stated.
        kv_capacity_tokens: Tokens that fit into an engine's memory; 0 if not
            stated.
        kv_token_bytes: Bytes of cached state per token; 0 if not stated.
        link_mbps: Bandwidth of an engine's link in Mbit/s; 0 if not stated.
    """

    model: str
    slots: int = 16
    max_connections: int = 0
    kv_capacity_tokens: int = 0
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Forwarding:
    """The part of a table version that forwarding by routes uses.

    Attributes:
        config_version: Version number that operators gave this configuration.
        isolated: Workspaces that share no cached state with others.
        priorities: Priority of a workspace; compared before that of the route.
    """

    config_version: int = 0
    routes: tuple[Route, ...] = ()
    limits: CallerLimits = CallerLimits()
    engines: dict[str, EngineLimits] = dataclasses.field(default_factory=dict)
    kv_stores: tuple[KvStore, ...] = ()
    isolated: frozenset[str] = frozenset()
    priorities: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def shared_owner(self) -> str:
        """Name of the group of all workspaces that are not isolated.

        It depends on which ones are isolated: one that becomes so leaves its
        state behind in a group that nobody uses any more.
        """
        return _group(self.isolated)

    def cache_owner(self, workspace: str) -> str:
        """Returns the owner of the cached state that a workspace may use.

        That is the workspace itself if it is isolated, else the group of all
        that are not.
        """
        if workspace in self.isolated:
            return urllib.parse.quote(workspace, safe="")
        return self.shared_owner

    def match(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest prefix of `path`."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best


@functools.lru_cache(maxsize=MAX_GROUPS)
def _group(isolated: frozenset[str]) -> str:
    """Returns the name of the group of all workspaces but the isolated ones.

    It is the same at all daemons, and begins like no quoted workspace.
    """
    if not isolated:
        return ""
    names = json.dumps(sorted(isolated)).encode()
    return f"/{hashlib.sha256(names).hexdigest()[:GROUP_DIGITS]}"


__all__ = [
    "CallerLimits",
    "EngineLimits",
    "Forwarding",
    "KvStore",
    "Route",
    "WeightedTarget",
]
