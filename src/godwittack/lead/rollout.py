"""Decides which replicas of a model load new weights next."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from godwittack.core import weights
from godwittack.lead import pacing

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence


# Pause before a server that refused an order is drained again, and its growth:
# one that starts takes an order within a second; one that never does is tried
# every few seconds.
MIN_RETRY_DELAY_MS = 200
MAX_RETRY_DELAY_MS = 3_200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutPolicy:
    """Times of a roll-out.

    Attributes:
        drain_limit_ms: Longest time for which a drain is waited for; after it
            the replica serves on.
        order_after_ms: Time of draining after which the order is given all
            the same, to engines that let running requests end first; 0 waits
            until nothing runs.
        load_limit_ms: Longest time from an order without an answer to the
            server's report of the new weights; after it the order is taken
            for lost.
        accepted_limit_ms: The same from an order that the server has taken.
        use_limit_ms: Time after a naming in which older weights may be used;
            0 for no limit.
    """

    drain_limit_ms: int = 120_000
    order_after_ms: int = 0
    load_limit_ms: int = 20_000
    accepted_limit_ms: int = 20_000
    use_limit_ms: int = 0


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
        outdated_for_ms: For how long weights newer than its own are named; -1
            where none are.
        accepts_work: Whether requests are sent to it. False if its weights are
            too old; taking it out of service then costs nothing.
    """

    server_id: str
    weights_version: str
    busy: int
    is_reachable: bool = True
    incarnation: str = ""
    outdated_for_ms: int = 0
    accepts_work: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Overview:
    """How far a roll-out is, and what keeps it from going faster.

    Attributes:
        behind: Servers that lack the wanted version and answer.
        unreachable: Servers that lack it and do not answer.
        draining: Servers that wait for their requests to end.
        loading: Servers that were ordered to load.
        held: Servers that another holder ordered too short a time ago.
        room: How many of those that get work may drain and load at one time.
        load_ms: Estimated time for which each of them is out of service.
    """

    behind: int = 0
    unreachable: int = 0
    draining: int = 0
    loading: int = 0
    held: int = 0
    room: int = 0
    load_ms: int = 0


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
    version_before: str
    incarnation: str
    accepted_work: bool
    is_accepted: bool = False
    # Weights that it was ordered to load; empty while it drains.
    version_ordered: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusals:
    # Orders refused for one version, and until when no other is given.
    count: int
    until_ms: int


_NO_REFUSALS = _Refusals(0, 0)


@dataclasses.dataclass(slots=True)
class Rollout:
    """One model's roll-out, made anew by whoever holds the lease.

    Nothing of it is stored: what a server reports of its weights is the only
    truth, so that a new holder goes on where the last one stopped.
    """

    policy: RolloutPolicy = RolloutPolicy()
    _progress: dict[str, _Progress] = dataclasses.field(default_factory=dict)
    _desired_version: str = ""
    _refusals: dict[str, _Refusals] = dataclasses.field(default_factory=dict)
    _load_time: pacing.LoadTime = dataclasses.field(
        default_factory=pacing.LoadTime
    )

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
                no more of them should be out of service than must be.
            held: Servers that another holder ordered a moment ago. Those that
                are behind may be loading, and may not be ordered yet.
        """
        if wanted != self._desired_version:
            self._desired_version = wanted
            self._refusals.clear()
        known = {replica.server_id: replica for replica in replicas}
        for name in list(self._progress):
            self._remove_if_finished(name, known.get(name), now_ms)
        behind = self._behind(replicas, wanted)
        held_behind = [r for r in behind if r.server_id in held]
        held_at_work = sum(replica.accepts_work for replica in held_behind)
        remaining = self._remaining(replicas, behind, now_ms)
        room = pacing.max_loading(remaining)
        if is_pressed:
            room = pacing.max_loading_under_load(remaining)
        self._start_draining(
            [replica for replica in behind if replica.server_id not in held],
            now_ms=now_ms,
            room=room - held_at_work,
            most=pacing.max_store_loads(len(replicas)) - len(held_behind),
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
            held=len(held_behind),
            room=room,
            load_ms=round(remaining.load_ms),
        )
        return Decision(tuple(sorted(self._progress)), load, overview)

    def _behind(
        self, replicas: Sequence[Replica], wanted: str
    ) -> list[Replica]:
        """Returns the servers to load, in the order of their turn.

        First those that serve nobody until then, and those whose weights are
        the oldest: with a naming every few seconds, a server that is passed
        over would have weights that are too old for use.
        """
        return sorted(
            (
                replica
                for replica in replicas
                if replica.weights_version != wanted and replica.is_reachable
            ),
            key=lambda r: (
                self._refusals.get(r.server_id, _NO_REFUSALS).count,
                r.accepts_work,
                -r.outdated_for_ms,
                r.busy,
                r.server_id,
            ),
        )

    def _remaining(
        self,
        replicas: Sequence[Replica],
        behind: Sequence[Replica],
        now_ms: int,
    ) -> pacing.RemainingWork:
        used = [replica for replica in behind if replica.accepts_work]
        return pacing.RemainingWork(
            replicas=len(replicas),
            usable=sum(r.is_reachable and r.accepts_work for r in replicas),
            behind=len(used),
            oldest_ms=max(
                (replica.outdated_for_ms for replica in used), default=0
            ),
            load_ms=self._load_ms(now_ms),
            use_limit_ms=self.policy.use_limit_ms,
        )

    def _load_ms(self, now_ms: int) -> float:
        """Estimates for how long a load keeps a server out of service.

        From loads that have ended, and at least from those under way: where
        long requests end first, the first loads say nothing for seconds.
        """
        under_way = [
            now_ms - progress.since_ms
            for progress in self._progress.values()
            if progress.step is Step.LOADING
        ]
        mean_ms = sum(under_way) / len(under_way) if under_way else 0.0
        mean_ms = min(mean_ms, float(self.policy.load_limit_ms))
        return max(self._load_time.estimate_ms, mean_ms)

    def _start_draining(
        self,
        behind: Sequence[Replica],
        *,
        now_ms: int,
        room: int,
        most: int,
    ) -> None:
        """Begins to drain the next servers.

        Args:
            behind: Servers that may be ordered, in the order of their turn.
            now_ms: Time of the decision.
            room: How many that get work may drain and load.
            most: How many may drain and load altogether. Spared like those
                that get work, servers with weights that are too old would
                wait for their turn while the others carry their load.
        """
        used = sum(
            progress.accepted_work for progress in self._progress.values()
        )
        for replica in behind:
            if len(self._progress) >= most:
                return
            if replica.server_id in self._progress:
                continue
            if (
                now_ms
                < self._refusals.get(replica.server_id, _NO_REFUSALS).until_ms
            ):
                continue
            if replica.accepts_work:
                if used >= room:
                    continue
                used += 1
            self._progress[replica.server_id] = _Progress(
                Step.DRAINING,
                now_ms,
                replica.weights_version,
                replica.incarnation,
                replica.accepts_work,
            )

    def is_draining(self, server_id: str) -> bool:
        """Returns whether a server is drained for an order still to come."""
        progress = self._progress.get(server_id)
        return progress is not None and progress.step is Step.DRAINING

    def record_order(self, server_id: str, *, now_ms: int) -> None:
        """Notes that a server was ordered to load weights."""
        self._progress[server_id] = dataclasses.replace(
            self._progress[server_id],
            step=Step.LOADING,
            since_ms=now_ms,
            version_ordered=self._desired_version,
        )

    def record_acceptance(self, server_id: str) -> None:
        """Notes that a server has taken its order, and is at work on it.

        Until it reports the new weights it keeps its place. Given up after a
        time, it would be ordered again and refused, and the next servers taken
        out of service beside it.
        """
        progress = self._progress.get(server_id)
        if progress is not None:
            progress.is_accepted = True

    def record_load(self, *, took_ms: int) -> None:
        """Takes in how long a load kept a server out of service.

        No longer than a load may take: beyond that it was this daemon that
        stood still, which says nothing of the loads to come.
        """
        self._load_time.record(min(took_ms, self.policy.load_limit_ms))

    def record_refusal(self, server_id: str, *, now_ms: int) -> None:
        """Notes that a server took no order; its turn comes after the others.

        One that is dark would hold up those that could load meanwhile. Counted
        for one version: last in each later roll-out, it would grow too old. It
        serves for a while before it is tried again; drained at once, one that
        refuses each order would never serve.
        """
        count = self._refusals.get(server_id, _NO_REFUSALS).count + 1
        doubled_ms = MIN_RETRY_DELAY_MS * 2 ** min(count - 1, 10)
        until_ms = now_ms + min(doubled_ms, MAX_RETRY_DELAY_MS)
        self._refusals[server_id] = _Refusals(count, until_ms)
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

    def _has_loaded(self, progress: _Progress, replica: Replica) -> bool:
        """Returns whether a server has what it was ordered to load, or newer.

        Newer, since another lead may have ordered what is wanted by now. An
        older version that was not known here is a report that came late: taken
        for the end of the load, it would let others load beside it.
        """
        version = replica.weights_version
        if version == progress.version_before:
            return False
        if progress.step is Step.DRAINING:
            return True
        return not weights.is_newer(progress.version_ordered, version)

    def _remove_if_finished(
        self, name: str, replica: Replica | None, now_ms: int
    ) -> None:
        progress = self._progress[name]
        # One that started again took the order with it, or drained for nothing.
        # So did one that answers nothing any more; waited for until the limit
        # of a load, it would hold up all others for seconds.
        gone = (
            replica is None
            or replica.incarnation != progress.incarnation
            or not replica.is_reachable
        )
        done = replica is not None and self._has_loaded(progress, replica)
        limit_ms = self.policy.drain_limit_ms
        if progress.is_accepted:
            limit_ms = self.policy.accepted_limit_ms
        elif progress.step is Step.LOADING:
            limit_ms = self.policy.load_limit_ms
        if gone or done or now_ms - progress.since_ms > limit_ms:
            del self._progress[name]


__all__ = [
    "Decision",
    "Overview",
    "Replica",
    "Rollout",
    "RolloutPolicy",
    "Step",
]
