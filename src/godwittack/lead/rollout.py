"""Decides which replica of a model loads new weights next."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

# The weight store slows down when more replicas than these load at once: two
# of five or six, eight of 22 on the deployments measured.
LEAST_LOADING = 2
LOADING_PART = 0.37


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutPolicy:
    """Times of a roll-out.

    Attributes:
        drain_limit_ms: Longest time for which a drain is waited for; after it
            the replica serves on.
        order_after_ms: Time of draining after which the order is given all
            the same, to engines that let running requests end first; 0 waits
            until nothing runs.
        load_limit_ms: Longest time from an order to the server's report of
            the new weights; after it the order is taken for lost.
    """

    drain_limit_ms: int = 120_000
    order_after_ms: int = 0
    load_limit_ms: int = 20_000


class Step(enum.StrEnum):
    """Where one replica stands in a roll-out."""

    DRAINING = "draining"
    LOADING = "loading"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Replica:
    """What a server itself reports.

    Attributes:
        busy: Requests running or waiting there.
        is_reachable: Whether it answers; one that does not can't load.
        incarnation: Changes when the server starts again.
    """

    server_id: str
    weights_version: str
    busy: int
    is_reachable: bool = True
    incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Overview:
    """How far a roll-out is, and what keeps it from going faster.

    Attributes:
        behind: Servers that lack the wanted version and answer.
        unreachable: Servers that lack it and do not answer.
        draining: Servers that wait for their requests to end.
        loading: Servers that were ordered to load.
        held: Servers that another holder ordered too short a time ago.
        room: How many may drain and load at one time.
    """

    behind: int = 0
    unreachable: int = 0
    draining: int = 0
    loading: int = 0
    held: int = 0
    room: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What to do now.

    Attributes:
        draining: Servers that must get no new work, until told otherwise.
        load: Servers to order to load the wanted version.
        overview: Counts that led to it, to be logged.
    """

    draining: tuple[str, ...]
    load: tuple[str, ...]
    overview: Overview


@dataclasses.dataclass(slots=True)
class _Progress:
    step: Step
    since_ms: int
    wanted: str
    incarnation: str


@dataclasses.dataclass(slots=True)
class Rollout:
    """One model's roll-out, made anew by whoever holds the lease.

    Nothing of it is stored: what a server reports of its weights is the only
    truth, so that a new holder goes on where the last one stopped.
    """

    policy: RolloutPolicy = RolloutPolicy()
    _progress: dict[str, _Progress] = dataclasses.field(default_factory=dict)
    _failures: dict[str, int] = dataclasses.field(default_factory=dict)

    def decide(
        self,
        *,
        wanted: str,
        replicas: Sequence[Replica],
        now_ms: int,
        is_pressed: bool = False,
        held: Collection[str] = (),
    ) -> Decision:
        """Returns the servers to drain and to order.

        Args:
            wanted: Version to load.
            replicas: All servers of the model.
            now_ms: Time of the decision.
            is_pressed: Whether requests wait at the servers already, so that
                one at a time must do.
            held: Servers that another holder ordered a moment ago. Those that
                are behind may be loading, and may not be ordered yet.
        """
        known = {replica.server_id: replica for replica in replicas}
        for name in list(self._progress):
            self._finish(name, known.get(name), now_ms)
        behind = sorted(
            (
                replica
                for replica in replicas
                if replica.weights_version != wanted and replica.is_reachable
            ),
            key=lambda r: (
                self._failures.get(r.server_id, 0),
                r.busy,
                r.server_id,
            ),
        )
        room = 1 if is_pressed else self._room(len(replicas))
        held_behind = sum(replica.server_id in held for replica in behind)
        room -= held_behind
        for replica in behind:
            if len(self._progress) >= room:
                break
            if replica.server_id in held:
                continue
            if replica.server_id not in self._progress:
                self._progress[replica.server_id] = _Progress(
                    Step.DRAINING, now_ms, wanted, replica.incarnation
                )
        load = tuple(
            name
            for name, progress in self._progress.items()
            if self._is_drained(progress, known[name], now_ms)
        )
        steps = [progress.step for progress in self._progress.values()]
        overview = Overview(
            behind=len(behind),
            unreachable=sum(
                replica.weights_version != wanted and not replica.is_reachable
                for replica in replicas
            ),
            draining=steps.count(Step.DRAINING),
            loading=steps.count(Step.LOADING),
            held=held_behind,
            room=room,
        )
        return Decision(tuple(sorted(self._progress)), load, overview)

    def ordered(self, server_id: str, *, wanted: str, now_ms: int) -> None:
        """Notes that a server was ordered to load a version."""
        drained = self._progress[server_id]
        self._progress[server_id] = _Progress(
            Step.LOADING, now_ms, wanted, drained.incarnation
        )

    def failed(self, server_id: str) -> None:
        """Notes that a server took no order; its turn comes after the others.

        One that is dark would hold up those that could load meanwhile.
        """
        self._failures[server_id] = self._failures.get(server_id, 0) + 1
        self._progress.pop(server_id, None)

    def withdraw(self, server_ids: Collection[str]) -> None:
        """Takes servers back that were to be ordered, but may not be yet."""
        for name in server_ids:
            progress = self._progress.get(name)
            if progress is not None and progress.step is Step.DRAINING:
                del self._progress[name]

    def _is_drained(
        self, progress: _Progress, replica: Replica, now_ms: int
    ) -> bool:
        if progress.step is not Step.DRAINING:
            return False
        patience_ms = self.policy.order_after_ms
        waited_ms = now_ms - progress.since_ms
        return replica.busy == 0 or 0 < patience_ms <= waited_ms

    def _finish(self, name: str, replica: Replica | None, now_ms: int) -> None:
        progress = self._progress[name]
        # One that started again took the order with it, or drained for nothing.
        # So did one that answers nothing any more; waited for until the limit
        # of a load, it would hold up all others for seconds.
        gone = (
            replica is None
            or replica.incarnation != progress.incarnation
            or not replica.is_reachable
        )
        # What was wanted when it began: the table may want another by now,
        # and the server is then behind again.
        done = replica is not None and (
            replica.weights_version == progress.wanted
        )
        limit_ms = self.policy.drain_limit_ms
        if progress.step is Step.LOADING:
            limit_ms = self.policy.load_limit_ms
        if gone or done or now_ms - progress.since_ms > limit_ms:
            del self._progress[name]

    def _room(self, replicas: int) -> int:
        """Returns how many may be out of service at one time."""
        if replicas <= 1:
            return replicas
        most = max(LEAST_LOADING, int(replicas * LOADING_PART))
        return min(most, max(1, replicas // 2))


__all__ = [
    "Decision",
    "Overview",
    "Replica",
    "Rollout",
    "RolloutPolicy",
    "Step",
]
