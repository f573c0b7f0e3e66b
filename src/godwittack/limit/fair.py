"""Weighted fair queueing between workspaces (Demers, Keshav, Shenker 1989)."""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """One request held back.

    Attributes:
        finish_tag: Virtual time at which it would end in a fair share.
        cost: Work it brings, in tokens.
    """

    request_id: str
    workspace: str
    finish_tag: float
    cost: float


@dataclasses.dataclass(slots=True)
class FairQueue:
    """Orders requests of one target by weighted virtual finish time."""

    virtual_time: float = 0.0
    _lines: dict[str, collections.deque[QueuedRequest]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.deque)
    )
    _last_tag: dict[str, float] = dataclasses.field(default_factory=dict)
    _cost: float = 0.0

    def push(
        self, *, request_id: str, workspace: str, weight: float, cost: float
    ) -> None:
        """Adds a request behind its workspace's others."""
        start = max(self.virtual_time, self._last_tag.get(workspace, 0.0))
        tag = start + cost / weight
        self._last_tag[workspace] = tag
        self._lines[workspace].append(
            QueuedRequest(request_id, workspace, tag, cost)
        )
        self._cost += cost

    def charge(self, *, workspace: str, weight: float, cost: float) -> None:
        """Counts work of a request that did not have to wait."""
        start = max(self.virtual_time, self._last_tag.get(workspace, 0.0))
        self._last_tag[workspace] = start + cost / weight

    def heads(self) -> list[QueuedRequest]:
        """Returns each workspace's oldest request, fairest first."""
        return sorted(
            (line[0] for line in self._lines.values() if line),
            key=lambda waiting: (waiting.finish_tag, waiting.request_id),
        )

    def dequeue(self, waiting: QueuedRequest) -> None:
        """Removes a request that goes out, and moves virtual time."""
        self.virtual_time = max(
            self.virtual_time, waiting.finish_tag - waiting.cost
        )
        line = self._lines[waiting.workspace]
        line.remove(waiting)
        self._cost -= waiting.cost
        self._tidy(waiting.workspace)

    def remove(self, request_id: str) -> None:
        """Removes a request wherever it stands."""
        for workspace, line in list(self._lines.items()):
            for waiting in list(line):
                if waiting.request_id == request_id:
                    line.remove(waiting)
                    self._cost -= waiting.cost
            self._tidy(workspace)

    def count_ahead(self, workspace: str) -> int:
        """Returns how many go out before a further request of a workspace."""
        own = len(self._lines.get(workspace, ()))
        return sum(min(len(line), own + 1) for line in self._lines.values())

    def request_ids(self) -> list[str]:
        """Returns all requests held back."""
        return [w.request_id for line in self._lines.values() for w in line]

    @property
    def cost(self) -> float:
        """Work of all requests held back, in tokens."""
        return self._cost

    def _tidy(self, workspace: str) -> None:
        if not self._lines[workspace]:
            del self._lines[workspace]
        if not self._lines:
            self._cost = 0.0

    def __len__(self) -> int:
        """Returns how many requests are held back."""
        return sum(len(line) for line in self._lines.values())


__all__ = ["FairQueue", "QueuedRequest"]
