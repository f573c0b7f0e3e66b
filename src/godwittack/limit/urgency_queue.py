"""Queue that is ordered by target latency among fair shares of workspaces.

Load pattern: bursts of requests, of which some can still be answered within
their target latency while others are late already. In order of arrival, the
late ones would make those behind them late too.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence


# How long the first request of a workspace is kept: the order within one
# changes as requests become late, which matters only to some 10 ms.
FIRST_VALID_MS = 20


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Times:
    """The times that decide when a request is due.

    Attributes:
        target_at_ms: End of its target latency.
        late_from_ms: From when it can't be answered by then.
        deadline_at_ms: Latest time at which its answer may begin.
    """

    target_at_ms: int
    late_from_ms: int
    deadline_at_ms: int

    def key(self, now_ms: int) -> tuple[bool, int]:
        """Returns whether the request yields to others, and when it is due.

        A late request yields for half of the time left to its deadline only;
        its target, which is past by then, puts it before all others.
        """
        left_ms = self.deadline_at_ms - self.late_from_ms
        yields_until_ms = self.late_from_ms + left_ms // 2
        if self.late_from_ms <= now_ms < yields_until_ms:
            return True, self.deadline_at_ms
        return False, self.target_at_ms


class Queued(Protocol):
    """A request in a queue."""

    @property
    def request_id(self) -> str:
        """Id of the request."""


class RequestQueue(Protocol):
    """Queue of the requests for one target and priority."""

    def push(
        self,
        *,
        request_id: str,
        workspace: str,
        weight: float,
        cost: float,
        times: Times,
    ) -> None:
        """Adds a request."""

    def charge(self, *, workspace: str, weight: float, cost: float) -> None:
        """Charges a workspace for a request that did not have to wait."""

    def heads(self, now_ms: int) -> Sequence[Queued]:
        """Returns the first request of each workspace, in order."""

    def dequeue(self, request_id: str) -> None:
        """Removes a request to dispatch."""

    def remove(self, request_id: str) -> None:
        """Removes a request that is not dispatched."""

    def count_ahead(self, workspace: str) -> int:
        """Returns how many precede a new request of a workspace."""

    def request_ids(self) -> list[str]:
        """Returns the ids of all queued requests."""

    def __len__(self) -> int:
        """Returns how many requests are queued."""


@dataclasses.dataclass(frozen=True, slots=True)
class UrgentRequest:
    """One request in the queue, with its cost relative to its weight."""

    request_id: str
    workspace: str
    cost: float
    times: Times


@dataclasses.dataclass(slots=True)
class UrgencyQueue:
    """Orders a target's requests by urgency, within shares of workspaces.

    Each workspace has a tag: the virtual time up to which it was served. The
    workspaces whose tags are at most one mean request beyond the lowest are
    within their shares; among them urgency decides.
    """

    virtual_time: float = 0.0
    _queues: dict[str, dict[str, UrgentRequest]] = dataclasses.field(
        default_factory=dict
    )
    _tags: dict[str, float] = dataclasses.field(default_factory=dict)
    _workspaces: dict[str, str] = dataclasses.field(default_factory=dict)
    _cost: float = 0.0
    _firsts: dict[str, UrgentRequest] = dataclasses.field(default_factory=dict)
    _firsts_at_ms: int = 0

    def push(
        self,
        *,
        request_id: str,
        workspace: str,
        weight: float,
        cost: float,
        times: Times,
    ) -> None:
        """Adds a request to its workspace's queue."""
        self._tags[workspace] = self._tag(workspace)
        queued = UrgentRequest(request_id, workspace, cost / weight, times)
        self._queues.setdefault(workspace, {})[request_id] = queued
        self._workspaces[request_id] = workspace
        self._firsts.pop(workspace, None)
        self._cost += queued.cost

    def charge(self, *, workspace: str, weight: float, cost: float) -> None:
        """Charges a workspace for a request that did not have to wait."""
        self._tags[workspace] = self._tag(workspace) + cost / weight

    def heads(self, now_ms: int) -> list[UrgentRequest]:
        """Returns the first request of each workspace, in order."""
        if not self._queues:
            return []
        mean_cost = self._cost / len(self._workspaces)
        share_end = self._lowest_tag() + mean_cost

        def order(request: UrgentRequest) -> tuple[float, bool, int, str]:
            tag = self._tags[request.workspace]
            beyond_share = max(0.0, tag - share_end)
            return beyond_share, *request.times.key(now_ms), request.request_id

        return sorted(
            (self._first(name, now_ms) for name in self._queues), key=order
        )

    def dequeue(self, request_id: str) -> None:
        """Removes a request to dispatch, and charges its workspace."""
        self.virtual_time = max(self.virtual_time, self._lowest_tag())
        workspace = self._workspaces[request_id]
        self._tags[workspace] += self._queues[workspace][request_id].cost
        self.remove(request_id)

    def remove(self, request_id: str) -> None:
        """Removes a request that is not dispatched."""
        workspace = self._workspaces.pop(request_id, None)
        if workspace is None:
            return
        queue = self._queues[workspace]
        self._firsts.pop(workspace, None)
        self._cost -= queue.pop(request_id).cost
        if not queue:
            del self._queues[workspace]
            self._forget_tags()
        if not self._queues:
            self._cost = 0.0

    def count_ahead(self, workspace: str) -> int:
        """Returns how many precede a new request of a workspace."""
        own = len(self._queues.get(workspace, ()))
        return sum(min(len(queue), own + 1) for queue in self._queues.values())

    def request_ids(self) -> list[str]:
        """Returns the ids of all queued requests."""
        return list(self._workspaces)

    def least_deserving(
        self, arriving: UrgentRequest, now_ms: int
    ) -> UrgentRequest:
        """Returns which request is refused where not all can be served.

        Load pattern: a workspace sends several times its usual load. If the
        last to arrive were refused, the others would lose as many requests in
        proportion. It is the last in order of the workspace that exceeds its
        share the most; that may be the arriving one itself.
        """
        own = arriving.workspace
        asked = {own: self._tag(own) + arriving.cost}
        for workspace, queue in self._queues.items():
            cost = sum(queued.cost for queued in queue.values())
            asked[workspace] = asked.get(workspace, self._tag(workspace)) + cost
        # A tie goes against the arriving request.
        worst = max(asked, key=lambda name: (asked[name], name == own))
        candidates = list(self._queues.get(worst, {}).values())
        if worst == own:
            candidates.insert(0, arriving)
        return max(candidates, key=lambda queued: queued.times.key(now_ms))

    def _first(self, workspace: str, now_ms: int) -> UrgentRequest:
        if now_ms - self._firsts_at_ms >= FIRST_VALID_MS:
            self._firsts.clear()
            self._firsts_at_ms = now_ms
        if workspace not in self._firsts:
            self._firsts[workspace] = min(
                self._queues[workspace].values(),
                key=lambda queued: queued.times.key(now_ms),
            )
        return self._firsts[workspace]

    def _tag(self, workspace: str) -> float:
        return max(self.virtual_time, self._tags.get(workspace, 0.0))

    def _lowest_tag(self) -> float:
        return min(
            (self._tags[workspace] for workspace in self._queues),
            default=self.virtual_time,
        )

    def _forget_tags(self) -> None:
        """Forgets workspaces that have no more than the others been served."""
        for workspace in list(self._tags):
            if (
                workspace not in self._queues
                and self._tags[workspace] <= self.virtual_time
            ):
                del self._tags[workspace]

    def __len__(self) -> int:
        """Returns how many requests are queued."""
        return len(self._workspaces)


__all__ = ["Queued", "RequestQueue", "Times", "UrgencyQueue", "UrgentRequest"]
