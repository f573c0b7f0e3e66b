"""Routes from hosts and paths to targets, and what else forwarding needs."""

from __future__ import annotations

import dataclasses

import xxhash


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedTarget:
    """One target of a route; weights are relative to the route's others."""

    target: str
    weight: int = 1


# Callers of streams leave when no event has come for the longest of these.
MIN_CALLER_TIMEOUT_MS = 2_000
CALLER_TIMEOUT_AIMS = 4
CALLER_TIMEOUT_GAP_AIMS = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Requests of one host below one path prefix.

    Attributes:
        host: Value of the `Host` header.
        prefix: Beginning of the path, with a slash at both ends.
        targets: Where the requests go.
        timeout_ms: Longest time until a final answer.
        aim_ms: Time to the answer, or to a stream's first event, within which
            it is fully useful.
        gap_aim_ms: Longest pause between events that is still useful.
        max_attempts: Servers on which one request may run.
        priority: Rank among routes; 0 comes first.
        repeatable: Whether a request may run more than once.
        resumable: Whether a stream may go on at another server.
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
        """Time for which callers of a stream wait for its next event."""
        return max(
            MIN_CALLER_TIMEOUT_MS,
            CALLER_TIMEOUT_AIMS * self.aim_ms,
            CALLER_TIMEOUT_GAP_AIMS * self.gap_aim_ms,
        )

    def select_target(self, request_id: str) -> str:
        """Returns the target of a request, split by a hash of its id."""
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
    """What callers may send at most, and how long they may take.

    Attributes:
        header_timeout_ms: From a request's first byte to the end of its
            headers; 0 for no limit.
        idle_timeout_ms: Between an answer and the next request; 0 for none.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 << 20
    header_timeout_ms: int = 0
    idle_timeout_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KvStore:
    """A store of cached prompt state that engines save to and fetch from.

    Attributes:
        address: IP and port, as engines are told.
    """

    name: str
    address: str
    failure_domain: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineLimits:
    """What a target's engines can do.

    Attributes:
        model: Name of the model that they serve.
        slots: Requests that one engine batches.
    """

    model: str
    slots: int = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Forwarding:
    """Everything of a table version that forwarding by routes needs.

    Attributes:
        config_version: The operators' own number of this version.
        isolated: Workspaces that share cached state with nobody.
        priorities: Rank of a workspace, before its route's.
    """

    config_version: int = 0
    routes: tuple[Route, ...] = ()
    limits: CallerLimits = CallerLimits()
    engines: dict[str, EngineLimits] = dataclasses.field(default_factory=dict)
    kv_stores: tuple[KvStore, ...] = ()
    isolated: frozenset[str] = frozenset()
    priorities: dict[str, int] = dataclasses.field(default_factory=dict)

    def cache_owner(self, workspace: str) -> str:
        """Returns whose cached state a workspace uses; empty for all's."""
        return workspace if workspace in self.isolated else ""

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins `path`."""
        found: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if found is None or len(route.prefix) > len(found.prefix):
                found = route
        return found


__all__ = [
    "CallerLimits",
    "EngineLimits",
    "Forwarding",
    "KvStore",
    "Route",
    "WeightedTarget",
]
