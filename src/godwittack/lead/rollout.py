"""Decides which replicas of a model load new weights next."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from godwittack.core import weights
from godwittack.lead import pacing

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence


# Delay before a server that refused an order is drained again; it doubles with
# each refusal. A starting server accepts an order within a second; one that
# always refuses is tried every few seconds.
MIN_RETRY_DELAY_MS = 200
MAX_RETRY_DELAY_MS = 3_200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutPolicy:
    """Times of a roll-out.

    Attributes:
        drain_limit_ms: Maximum time of a drain; after it the replica serves
            again.
        order_after_ms: Time of draining after which the order is sent even if
            requests run, for engines that let running requests end first; 0
            waits until nothing runs.
        load_limit_ms: Maximum time from an order without a reply to the
            server's report of the new weights; after it the order is
            considered lost.
        accepted_limit_ms: The same from an order that the server accepted.
        use_limit_ms: Time after a publication in which older weights may be
            used; 0 for no limit.
    """

    drain_limit_ms: int = 120_000
    order_after_ms: int = 0
    load_limit_ms: int = 20_000
    accepted_limit_ms: int = 20_000
    use_limit_ms: int = 0


class Step(enum.StrEnum):
    """Step of one replica in a roll-out."""

    DRAINING = "draining"
    LOADING = "loading"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Replica:
    """State of a replica as its server reports it.

    Attributes:
        unfinished_requests: Requests running or waiting there.
        is_reachable: Whether it responds; one that does not can't load.
        incarnation: Changes when the server restarts.
        outdated_for_ms: Time since weights newer than its own were published;
            -1 if none were.
        accepts_work: Whether requests are sent to it. False if its weights are
            too old; taking it out of service then costs nothing.
    """

    server_id: str
    weights_version: str
    unfinished_requests: int
    is_reachable: bool = True
    incarnation: str = ""
    outdated_for_ms: int = 0
    accepts_work: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Overview:
    """Progress of a roll-out, and what limits its speed.

    Attributes:
        behind: Servers that lack the desired version and respond.
        unreachable: Servers that lack it and do not respond.
        draining: Servers that wait for their requests to end.
        loading: Servers that were ordered to load.
        held: Servers that lack it and were recently ordered by another holder.
        room: How many servers that accept work may drain and load at once.
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
    """Servers to drain and to order at present.

    Attributes:
        draining: Servers that must get no new work until a later decision.
        servers_to_load: Servers to order to load the desired version.
        overview: Counts behind the decision, for the log.
    """

    draining: tuple[str, ...]
    servers_to_load: tuple[str, ...]
    overview: Overview


@dataclasses.dataclass(slots=True)
class _Progress:
    step: Step
    since_ms: int
    version_before: str
    incarnation: str
    was_serving: bool
    order_accepted: bool = False
    # Weights version that it was ordered to load; empty while it drains.
    version_ordered: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusals:
    # Orders refused for one version, and when the next may be sent.
    count: int
    retry_at_ms: int


_NO_REFUSALS = _Refusals(0, 0)


@dataclasses.dataclass(slots=True)
class Rollout:
    """One model's roll-out, created by each new holder of the lease.

    Nothing of it is stored: it follows from the weights that servers report,
    so that a new holder continues where the last one stopped.
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
        desired_version: str,
        replicas: Sequence[Replica],
        now_ms: int,
        is_under_load: bool = False,
        held_by_others: Collection[str] = (),
    ) -> Decision:
        """Returns the servers to drain and to order.

        Args:
            desired_version: Version to load.
            replicas: All servers of the model.
            now_ms: Time of the decision.
            is_under_load: Whether requests already wait at the servers, so that
                no more of them should be out of service than necessary.
            held_by_others: Servers that another holder ordered recently. Those
                that lack the version may be loading, and may not be ordered
                yet.
        """
        if desired_version != self._desired_version:
            self._desired_version = desired_version
            self._refusals.clear()
        known = {replica.server_id: replica for replica in replicas}
        for server_id in list(self._progress):
            self._remove_if_finished(server_id, known.get(server_id), now_ms)
        behind = self._behind(replicas, desired_version)
        behind_held_by_others = [
            r for r in behind if r.server_id in held_by_others
        ]
        accepting_held_by_others = sum(
            replica.accepts_work for replica in behind_held_by_others
        )
        remaining = self._remaining(replicas, behind, now_ms)
        room = pacing.max_loading(remaining)
        if is_under_load:
            room = pacing.max_loading_under_load(remaining)
        self._start_draining(
            [r for r in behind if r.server_id not in held_by_others],
            now_ms=now_ms,
            room=room - accepting_held_by_others,
            max_total=pacing.max_store_loads(len(replicas))
            - len(behind_held_by_others),
        )
        load = tuple(
            server_id
            for server_id, progress in self._progress.items()
            if self._is_drained(progress, known[server_id], now_ms)
        )
        steps = [progress.step for progress in self._progress.values()]
        overview = Overview(
            behind=len(behind),
            unreachable=sum(
                replica.weights_version != desired_version
                and not replica.is_reachable
                for replica in replicas
            ),
            draining=steps.count(Step.DRAINING),
            loading=steps.count(Step.LOADING),
            held=len(behind_held_by_others),
            room=room,
            load_ms=round(remaining.load_ms),
        )
        return Decision(tuple(sorted(self._progress)), load, overview)

    def _behind(
        self, replicas: Sequence[Replica], desired_version: str
    ) -> list[Replica]:
        """Returns the servers that lack the desired version, by priority.

        Servers that accept no work come first, then those with the oldest
        weights: with a publication every few seconds, a server that is passed
        over would have weights that are too old for use.
        """
        return sorted(
            (
                replica
                for replica in replicas
                if replica.weights_version != desired_version
                and replica.is_reachable
            ),
            key=lambda r: (
                self._refusals.get(r.server_id, _NO_REFUSALS).count,
                r.accepts_work,
                -r.outdated_for_ms,
                r.unfinished_requests,
                r.server_id,
            ),
        )

    def _remaining(
        self,
        replicas: Sequence[Replica],
        behind: Sequence[Replica],
        now_ms: int,
    ) -> pacing.RemainingWork:
        in_service = [replica for replica in behind if replica.accepts_work]
        return pacing.RemainingWork(
            replicas=len(replicas),
            usable=sum(r.is_reachable and r.accepts_work for r in replicas),
            behind=len(in_service),
            oldest_ms=max(
                (replica.outdated_for_ms for replica in in_service), default=0
            ),
            load_ms=self._load_ms(now_ms),
            use_limit_ms=self.policy.use_limit_ms,
        )

    def _load_ms(self, now_ms: int) -> float:
        """Estimates for how long a load keeps a server out of service.

        It uses ended loads, and at least the mean of those in progress: if
        long requests must end first, no load ends for the first seconds.
        """
        in_progress = [
            now_ms - progress.since_ms
            for progress in self._progress.values()
            if progress.step is Step.LOADING
        ]
        mean_ms = sum(in_progress) / len(in_progress) if in_progress else 0.0
        mean_ms = min(mean_ms, float(self.policy.load_limit_ms))
        return max(self._load_time.estimate_ms, mean_ms)

    def _start_draining(
        self,
        behind: Sequence[Replica],
        *,
        now_ms: int,
        room: int,
        max_total: int,
    ) -> None:
        """Starts to drain the next servers.

        Args:
            behind: Servers that may be ordered, by priority.
            now_ms: Time of the decision.
            room: How many that accept work may drain and load.
            max_total: How many may drain and load in total. If `room` applied
                to all, servers with weights that are too old would wait while
                the others handle their share of the requests.
        """
        out_of_service = sum(
            progress.was_serving for progress in self._progress.values()
        )
        for replica in behind:
            if len(self._progress) >= max_total:
                return
            if replica.server_id in self._progress:
                continue
            if (
                now_ms
                < self._refusals.get(
                    replica.server_id, _NO_REFUSALS
                ).retry_at_ms
            ):
                continue
            if replica.accepts_work:
                if out_of_service >= room:
                    continue
                out_of_service += 1
            self._progress[replica.server_id] = _Progress(
                Step.DRAINING,
                now_ms,
                replica.weights_version,
                replica.incarnation,
                replica.accepts_work,
            )

    def is_draining(self, server_id: str) -> bool:
        """Returns whether a server is drained for an order not yet sent."""
        progress = self._progress.get(server_id)
        return progress is not None and progress.step is Step.DRAINING

    def record_order(self, server_id: str, *, now_ms: int) -> None:
        """Records that a server was ordered to load weights."""
        self._progress[server_id] = dataclasses.replace(
            self._progress[server_id],
            step=Step.LOADING,
            since_ms=now_ms,
            version_ordered=self._desired_version,
        )

    def record_acceptance(self, server_id: str) -> None:
        """Records that a server accepted its order and carries it out.

        It counts as loading until it reports the new weights, at most for
        `accepted_limit_ms`. With a shorter limit, a second order would be
        refused, and further servers would be taken out of service while it
        still loads.
        """
        progress = self._progress.get(server_id)
        if progress is not None:
            progress.order_accepted = True

    def record_load(self, *, took_ms: int) -> None:
        """Records how long a load kept a server out of service.

        The time is capped at `load_limit_ms`: a longer one means that this
        daemon was suspended, which does not predict later loads.
        """
        self._load_time.record(min(took_ms, self.policy.load_limit_ms))

    def record_refusal(self, server_id: str, *, now_ms: int) -> None:
        """Records that a server refused an order; it moves behind the others.

        An unresponsive server would otherwise delay those that could load in
        the meantime. Refusals count for one version only: if the server came
        last in each later roll-out, its weights would become too old. It
        serves for a while before it is tried again; if it were drained at
        once, a server that refuses each order would never serve.
        """
        count = self._refusals.get(server_id, _NO_REFUSALS).count + 1
        doubled_ms = MIN_RETRY_DELAY_MS * 2 ** min(count - 1, 10)
        retry_at_ms = now_ms + min(doubled_ms, MAX_RETRY_DELAY_MS)
        self._refusals[server_id] = _Refusals(count, retry_at_ms)
        self._progress.pop(server_id, None)

    def withdraw(self, server_ids: Collection[str]) -> None:
        """Cancels the drains of servers that may not be ordered yet."""
        for server_id in server_ids:
            progress = self._progress.get(server_id)
            if progress is not None and progress.step is Step.DRAINING:
                del self._progress[server_id]

    def _is_drained(
        self, progress: _Progress, replica: Replica, now_ms: int
    ) -> bool:
        if progress.step is not Step.DRAINING:
            return False
        order_after_ms = self.policy.order_after_ms
        waited_ms = now_ms - progress.since_ms
        return (
            replica.unfinished_requests == 0 or 0 < order_after_ms <= waited_ms
        )

    def _has_loaded(self, progress: _Progress, replica: Replica) -> bool:
        """Returns whether a server has the version it was ordered, or newer.

        A newer one counts since another lead may have ordered a version that
        was published later. An older version that was not known here is a late
        report: if it counted as the end of the load, others would load at the
        same time.
        """
        version = replica.weights_version
        if version == progress.version_before:
            return False
        if progress.step is Step.DRAINING:
            return True
        return not weights.is_newer(progress.version_ordered, version)

    def _remove_if_finished(
        self, server_id: str, replica: Replica | None, now_ms: int
    ) -> None:
        progress = self._progress[server_id]
        # A restarted server lost its order, or its drain was for nothing. The
        # same holds for one that no longer responds; waiting for it until the
        # load limit would delay all others for seconds.
        gone = (
            replica is None
            or replica.incarnation != progress.incarnation
            or not replica.is_reachable
        )
        done = replica is not None and self._has_loaded(progress, replica)
        limit_ms = self.policy.drain_limit_ms
        if progress.order_accepted:
            limit_ms = self.policy.accepted_limit_ms
        elif progress.step is Step.LOADING:
            limit_ms = self.policy.load_limit_ms
        if gone or done or now_ms - progress.since_ms > limit_ms:
            del self._progress[server_id]


__all__ = [
    "Decision",
    "Overview",
    "Replica",
    "Rollout",
    "RolloutPolicy",
    "Step",
]
