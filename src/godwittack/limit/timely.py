"""Orders requests that wait by what serving them now is still good for.

Load pattern: more prompts than the engines can compute, after the loss of some
or a change of weights that empties every cache. Served in order of arrival,
each request waits behind all before it, and soon all are late although half of
them could have been in time.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """One request held back.

    Attributes:
        aim_at_ms: Until when an answer is fully useful.
        deadline_at_ms: Until when it is of any use.
        work_ms: Time that a server takes for it.
    """

    request_id: str
    workspace: str
    aim_at_ms: float
    deadline_at_ms: float
    work_ms: float


@dataclasses.dataclass(slots=True)
class TimelyQueue:
    """Requests of one target and priority.

    Those that can still be in time come first, in the order of their aims;
    the late ones take what is left, in the order of their deadlines.
    """

    _waiting: dict[str, Waiting] = dataclasses.field(default_factory=dict)

    def push(self, waiting: Waiting) -> None:
        """Adds a request."""
        self._waiting[waiting.request_id] = waiting

    def drop(self, request_id: str) -> None:
        """Removes a request, if it waits."""
        self._waiting.pop(request_id, None)

    def ranked(self, *, now_ms: int) -> list[Waiting]:
        """Returns all, the one to serve next first."""
        return sorted(self._waiting.values(), key=lambda w: _rank(w, now_ms))

    def ahead_ms(self, of: Waiting, *, now_ms: int) -> float:
        """Returns the work that comes before a request."""
        own = _rank(of, now_ms)
        return sum(
            waiting.work_ms
            for waiting in self._waiting.values()
            if _rank(waiting, now_ms) < own
        )

    def request_ids(self) -> list[str]:
        """Returns all requests held back."""
        return list(self._waiting)

    def __len__(self) -> int:
        """Returns how many requests are held back."""
        return len(self._waiting)


def _rank(waiting: Waiting, now_ms: int) -> tuple[bool, float, str]:
    is_late = now_ms + waiting.work_ms > waiting.aim_at_ms
    by = waiting.deadline_at_ms if is_late else waiting.aim_at_ms
    return (is_late, by, waiting.request_id)


__all__ = ["TimelyQueue", "Waiting"]
