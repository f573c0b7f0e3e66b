"""Weighted fair queueing between workspaces (Demers, Keshav, Shenker 1989)."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.limit import urgency_queue


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """One request in the queue.

    Attributes:
        finish_tag: Virtual time at which it would end under fair sharing.
        cost: Work to compute it, in tokens.
    """

    request_id: str
    workspace: str
    finish_tag: float
    cost: float


@dataclasses.dataclass(slots=True)
class FairQueue:
    """Orders a target's requests by weighted virtual finish time."""

    virtual_time: float = 0.0
    _queues: dict[str, collections.deque[QueuedRequest]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.deque)
    )
    _last_tags: dict[str, float] = dataclasses.field(default_factory=dict)
    _cost: float = 0.0

    def push(
        self,
        *,
        request_id: str,
        workspace: str,
        weight: float,
        cost: float,
        times: urgency_queue.Times,
    ) -> None:
        """Appends a request to its workspace's queue."""
        del times
        start = max(self.virtual_time, self._last_tags.get(workspace, 0.0))
        tag = start + cost / weight
        self._last_tags[workspace] = tag
        self._queues[workspace].append(
            QueuedRequest(request_id, workspace, tag, cost)
        )
        self._cost += cost

    def charge(self, *, workspace: str, weight: float, cost: float) -> None:
        """Charges a workspace for a request that did not have to wait."""
        start = max(self.virtual_time, self._last_tags.get(workspace, 0.0))
        self._last_tags[workspace] = start + cost / weight

    def heads(self, now_ms: int) -> list[QueuedRequest]:
        """Returns the oldest request of each workspace, in fair order."""
        del now_ms
        return sorted(
            (queue[0] for queue in self._queues.values() if queue),
            key=lambda request: (request.finish_tag, request.request_id),
        )

    def dequeue(self, request_id: str) -> None:
        """Removes a request to dispatch, and advances virtual time."""
        request = next(
            queued
            for queue in self._queues.values()
            for queued in queue
            if queued.request_id == request_id
        )
        self.virtual_time = max(
            self.virtual_time, request.finish_tag - request.cost
        )
        queue = self._queues[request.workspace]
        queue.remove(request)
        self._cost -= request.cost
        self._remove_if_empty(request.workspace)

    def remove(self, request_id: str) -> None:
        """Removes a request at any position."""
        for workspace, queue in list(self._queues.items()):
            for request in list(queue):
                if request.request_id == request_id:
                    queue.remove(request)
                    self._cost -= request.cost
            self._remove_if_empty(workspace)

    def count_ahead(self, workspace: str) -> int:
        """Returns how many precede a new request of a workspace."""
        own = len(self._queues.get(workspace, ()))
        return sum(min(len(queue), own + 1) for queue in self._queues.values())

    def request_ids(self) -> list[str]:
        """Returns the ids of all queued requests."""
        return [w.request_id for queue in self._queues.values() for w in queue]

    @property
    def cost(self) -> float:
        """Work of all queued requests, in tokens."""
        return self._cost

    def _remove_if_empty(self, workspace: str) -> None:
        if not self._queues[workspace]:
            del self._queues[workspace]
        if not self._queues:
            self._cost = 0.0

    def __len__(self) -> int:
        """Returns how many requests are queued."""
        return sum(len(queue) for queue in self._queues.values())


__all__ = ["FairQueue", "QueuedRequest"]
