"""Quotas of workspaces, each one token bucket that all daemons share.

Load pattern: a workspace sends several times its quota, at all daemons, at one,
or at one after the other, and its prompts are larger than what a daemon's share
of the quota lets through in seconds. Shares of the quota would refuse such
requests, and requests that move to another daemon, below the quota.

Each daemon therefore keeps the whole bucket. It takes what it admits itself at
once, and what the others admit as soon as they report it. A report is due once
a daemon's unreported use exceeds its part of what all together may leave
unreported, so that little is sent while a bucket is far from empty. What
daemons admit before they hear of each other is a debt that the refill pays.
"""

from __future__ import annotations

import dataclasses
import math

from godwittack.limit import (
    quota,
    quota_window,
    reservations,
    window_rules,
)

# Parts of the tolerated excess: the debt up to which every request is admitted,
# the debt from which none is, and what all daemons may leave unreported.
OPEN_DEBT_RATIO = 0.15
CLOSED_DEBT_RATIO = 0.3
UNREPORTED_RATIO = 0.2
# Requests of at most this many seconds of the quota may use the whole spare
# part of the excess, larger ones the stated part of it.
SMALL_REQUEST_S = 0.1
LARGE_REQUEST_PART = 0.5
MAJORITY = 0.5
# Part of a bucket's content that may be unreported in addition.
UNREPORTED_LEVEL_RATIO = 0.5
REPORT_INTERVAL_MS = 100
# Age from which the known reach of the fleet is not relied on.
REACH_VALID_MS = 1_500
# Time without a call of `due_reports` after which this process counts as
# suspended: reports that arrived meanwhile have not been applied.
SUSPENDED_MS = 500
# A counter is closed after this time without use. Others remember it for
# longer: they would otherwise take its next report for use before their start.
COUNTER_IDLE_MS = 30_000
PEER_COUNTER_IDLE_MS = 60_000
# Within half of that time, two reports are of the same counter.
SAME_COUNTER_MS = 15_000
EXPIRE_INTERVAL_MS = 5_000
# How fast levels of daemons converge that differ after restarts and cuts.
JOINING_MS = 2_000
JOINING_PULL = 0.5
PULL = 0.3
PULL_INTERVAL_MS = 1_000
# Age of a report from which its daemon is taken to admit nothing any more.
REFUSING_PEER_MS = 2_000
MIN_RETRY_MS = 100
MAX_RETRY_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCounter:
    """The last report of one daemon about a workspace."""

    admitted: int
    opened_at_ms: int
    heard_at_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Bucket:
    """One workspace's bucket as known here.

    Attributes:
        limit: Quota that was last applied.
        level: Units left, negative for a debt.
        turn: Part of a request that may be admitted while in debt.
        admitted: Units that this daemon admitted since `opened_at_ms`.
        returned: Units of admitted requests that did not run, not yet offset
            against later ones.
        reported: Units of `admitted` that were reported.
        pulled_at_ms: When the level last moved towards that of another daemon.
        peers: Last report of each daemon.
        returns: What callers will use that were told to return.
        window: What all daemons admitted lately; kept only if the tolerance
            has a `window_part`.
        unheard: What others may have admitted in addition while this daemon did
            not hear of them. They report it once it does.
    """

    limit: quota.Quota
    level: float
    refilled_at_ms: int
    turn: float = 0.0
    opened_at_ms: int = -1
    admitted: int = 0
    returned: int = 0
    reported: int = 0
    reported_at_ms: int = -REPORT_INTERVAL_MS
    used_at_ms: int = 0
    heard_at_ms: int = -1
    pulled_at_ms: int = -PULL_INTERVAL_MS
    peers: dict[str, PeerCounter] = dataclasses.field(default_factory=dict)
    returns: reservations.Reservations = dataclasses.field(
        default_factory=reservations.Reservations
    )
    window: quota_window.QuotaWindow = dataclasses.field(
        default_factory=quota_window.QuotaWindow
    )
    unheard: quota_window.QuotaWindow = dataclasses.field(
        default_factory=quota_window.QuotaWindow
    )

    @property
    def unreported(self) -> int:
        """Units admitted here that the other daemons do not know of."""
        return self.admitted - self.reported

    @property
    def window_used(self) -> float:
        """Units that all daemons may have used in the window."""
        return self.window.used + self.unheard.used


@dataclasses.dataclass(slots=True)
class Buckets:
    """Buckets of all workspaces that are in use.

    A bucket starts empty with the process: a full one at each restart would
    admit the burst again.

    Attributes:
        tolerance: Use beyond a quota that is tolerated.
        daemons: Number of daemons that report their use to each other.
        reach: Part of the fleet that this daemon hears of. It fills buckets by
            that part of the quota only, so that parts of a fleet that are cut
            off from each other admit the quota together.
        own_part: Part of the quota that it admits without hearing of others.
        listening_since_ms: Since when it receives reports.
    """

    tolerance: quota.Tolerance = dataclasses.field(
        default_factory=quota.Tolerance
    )
    daemons: int = 1
    reach: float = 1.0
    own_part: float = 1.0
    listening_since_ms: int = 0
    buckets: dict[str, Bucket] = dataclasses.field(default_factory=dict)
    _reach_at_ms: int = 0
    _joined_at_ms: int = 0
    _whole_since_ms: int = -JOINING_MS
    _ticked_at_ms: int = 0
    _unreported: set[str] = dataclasses.field(default_factory=set)
    _expired_at_ms: int = 0

    @property
    def _window_rules(self) -> window_rules.WindowRules:
        return window_rules.WindowRules(
            self.tolerance, self.daemons, self._joined_at_ms
        )

    def admit(
        self,
        workspace: str,
        limit: quota.Quota,
        *,
        units: int,
        now_ms: int,
        has_free_capacity: bool = True,
        honoured_ms: int = MAX_RETRY_MS,
    ) -> quota.Verdict:
        """Admits a request and takes its units, or refuses it.

        A request may take more than the bucket holds, so that large requests
        are not starved by small ones; those after it wait for the refill.

        Args:
            workspace: Its workspace.
            limit: Quota of the workspace.
            units: What the request uses.
            now_ms: Time of the request.
            has_free_capacity: Whether the spare part may be used.
            honoured_ms: Longest time that its caller waits if it is refused.
        """
        bucket = self._bucket(workspace, limit, now_ms)
        if units > self.tolerance.allowed(limit):
            return self._verdict(bucket, False, 0, now_ms)
        closed_ratio = CLOSED_DEBT_RATIO
        if has_free_capacity and self._knows_all_use(now_ms):
            closed_ratio = self._spare_debt_ratio(limit, units)
        may_overdraw = self._may_overdraw(bucket, units, now_ms)
        is_admitted = may_overdraw and (
            self._is_open(bucket, closed_ratio)
            or (
                has_free_capacity
                and self._is_open_by_window(bucket, units, now_ms)
            )
        )
        if not is_admitted or self._exceeds_window(bucket, units, now_ms):
            wait_ms = self._wait_ms(bucket, 0 if may_overdraw else units)
            window_wait_ms = self._window_rules.wait_ms(
                bucket.window, limit, units=units, now_ms=now_ms
            )
            wait_ms = min(MAX_RETRY_MS, max(wait_ms, window_wait_ms))
            if self.tolerance.spare_ratio:
                wait_ms = self._reserve(
                    bucket, units, wait_ms, honoured_ms, now_ms
                )
            return self._verdict(bucket, False, wait_ms, now_ms)
        self._take(workspace, bucket, units, now_ms)
        return self._verdict(bucket, True, 0, now_ms)

    def charge(self, workspace: str, *, units: int, now_ms: int) -> None:
        """Takes units for a further run of an admitted request."""
        bucket = self.buckets.get(workspace)
        if bucket is not None:
            self._take(workspace, bucket, units, now_ms)

    def give_back(self, workspace: str, *, units: int) -> None:
        """Returns the units of a request that did not run."""
        bucket = self.buckets.get(workspace)
        if bucket is not None:
            bucket.level = min(bucket.limit.burst, bucket.level + units)
            bucket.returned += units
            bucket.window.give_back(units)

    def apply_report(
        self,
        daemon: str,
        usage: quota.Usage,
        limit: quota.Quota,
        *,
        now_ms: int,
    ) -> None:
        """Takes what another daemon admitted since its last report."""
        bucket = self._bucket(usage.workspace, limit, now_ms)
        before = self._known_before(bucket.peers.get(daemon), usage)
        if usage.admitted < before:
            return
        bucket.peers[daemon] = PeerCounter(
            usage.admitted, usage.opened_at_ms, now_ms
        )
        bucket.heard_at_ms = now_ms
        self._subtract(bucket, usage.admitted - before, now_ms)
        self._window_rules.adopt(bucket.window, usage, now_ms)
        self._pull(bucket, usage.level, now_ms)

    def set_reach(
        self, reach: float, *, daemons: int, own_part: float, now_ms: int
    ) -> None:
        """Sets which part of the fleet this daemon hears of."""
        if (reach, own_part) != (self.reach, self.own_part):
            # What is left is shared with the daemons out of reach.
            kept = min(1.0, reach / self.reach)
            for bucket in self.buckets.values():
                self._refill(bucket, now_ms)
                if bucket.level > 0:
                    bucket.level *= kept
                self._window_rules.record(
                    bucket.unheard,
                    (self.reach - reach) * bucket.limit.burst,
                    now_ms,
                )
        if reach >= 1.0 > self.reach:
            self._whole_since_ms = now_ms
        self.reach = reach
        self.daemons = max(1, daemons)
        self.own_part = own_part
        self._reach_at_ms = now_ms

    def start_listening(self, now_ms: int) -> None:
        """Records that reports of the other daemons arrive from now on."""
        self.listening_since_ms = self._joined_at_ms = now_ms
        self._ticked_at_ms = now_ms

    def due_reports(self, now_ms: int) -> list[quota.Usage]:
        """Returns the reports that are due, and counts them as sent.

        To be called several times a second.
        """
        self._notice_suspension(now_ms)
        self._expire(now_ms)
        due = []
        for workspace in sorted(self._unreported):
            bucket = self.buckets[workspace]
            if now_ms - bucket.reported_at_ms < REPORT_INTERVAL_MS:
                continue
            if bucket.unreported < self._max_unreported(bucket):
                continue
            due.append(self._report(workspace, bucket, now_ms))
        return due

    def _report(
        self, workspace: str, bucket: Bucket, now_ms: int
    ) -> quota.Usage:
        self._unreported.discard(workspace)
        bucket.reported = bucket.admitted
        bucket.reported_at_ms = now_ms
        return quota.Usage(
            workspace=workspace,
            admitted=bucket.admitted,
            opened_at_ms=bucket.opened_at_ms,
            level=bucket.level,
            at_ms=now_ms,
            window_used=self._window_rules.reported(bucket.window, now_ms),
        )

    def _known_before(
        self, known: PeerCounter | None, usage: quota.Usage
    ) -> int:
        """Returns what is already known of a daemon's counter."""
        if (
            known is not None
            and usage.opened_at_ms < known.opened_at_ms + SAME_COUNTER_MS
        ):
            return known.admitted
        if usage.opened_at_ms >= self.listening_since_ms:
            return 0
        return usage.admitted

    def _notice_suspension(self, now_ms: int) -> None:
        """Takes from all buckets what others may have admitted meanwhile."""
        suspended_ms = now_ms - self._ticked_at_ms
        self._ticked_at_ms = max(self._ticked_at_ms, now_ms)
        if suspended_ms < SUSPENDED_MS:
            return
        self._joined_at_ms = now_ms
        max_debt_ratio = max(CLOSED_DEBT_RATIO, self.tolerance.spare_ratio)
        for bucket in self.buckets.values():
            closed = -max_debt_ratio * self.tolerance.excess(bucket.limit)
            used = bucket.limit.per_s * suspended_ms / 1000
            if bucket.level > closed:
                bucket.level = max(closed, bucket.level - used)
            self._window_rules.record(bucket.unheard, used, now_ms)
            bucket.refilled_at_ms = now_ms

    def _bucket(
        self, workspace: str, limit: quota.Quota, now_ms: int
    ) -> Bucket:
        self._notice_suspension(now_ms)
        bucket = self.buckets.get(workspace)
        if bucket is None:
            bucket = self.buckets[workspace] = Bucket(
                limit=limit,
                level=0.0,
                refilled_at_ms=min(now_ms, self.listening_since_ms),
                used_at_ms=now_ms,
            )
            self._window_rules.assume_earlier_use(bucket.window, limit, now_ms)
        self._refill(bucket, now_ms)
        self._window_rules.expire(bucket.window, now_ms)
        self._window_rules.expire(bucket.unheard, now_ms)
        if self._knows_all_use(now_ms):
            bucket.unheard.clear()
        bucket.limit = limit
        bucket.level = min(bucket.level, limit.burst)
        return bucket

    def _refill(self, bucket: Bucket, now_ms: int) -> None:
        from_ms = bucket.refilled_at_ms
        if now_ms <= from_ms:
            return
        known_until_ms = self._reach_at_ms + REACH_VALID_MS
        known_ms = min(max(0, known_until_ms - from_ms), now_ms - from_ms)
        unknown_ms = now_ms - from_ms - known_ms
        part_ms = known_ms * self.reach + unknown_ms * self.own_part
        gained = bucket.limit.per_s * part_ms / 1000
        bucket.level = min(bucket.limit.burst, bucket.level + gained)
        # The daemons out of reach may have admitted their part of the quota.
        others_ms = max(0.0, now_ms - from_ms - part_ms)
        self._window_rules.record(
            bucket.unheard, bucket.limit.per_s * others_ms / 1000, now_ms
        )
        bucket.refilled_at_ms = now_ms

    def _is_open(self, bucket: Bucket, closed_ratio: float) -> bool:
        """Returns whether the next request may take units.

        In debt a part of the requests is admitted, the fewer the larger the
        debt. If all were admitted until a limit, daemons would admit and refuse
        in turns with the delay of their reports.
        """
        excess = self._excess(bucket)
        if bucket.level >= -OPEN_DEBT_RATIO * excess:
            return True
        left = bucket.level + closed_ratio * excess
        if left <= 0:
            return False
        bucket.turn += left / ((closed_ratio - OPEN_DEBT_RATIO) * excess)
        if bucket.turn < 1.0:
            return False
        bucket.turn -= 1.0
        return True

    def _is_open_by_window(
        self, bucket: Bucket, units: int, now_ms: int
    ) -> bool:
        """Returns whether the use in the window leaves room for a request.

        As in debt, a part of the requests is admitted close to the limit.
        """
        rules = self._window_rules
        if not rules.is_applied or not self._knows_all_use(now_ms):
            return False
        bucket.turn += rules.admitted_part(
            bucket.window_used, bucket.limit, units=units
        )
        if bucket.turn < 1.0:
            return False
        bucket.turn -= 1.0
        return True

    def _exceeds_window(self, bucket: Bucket, units: int, now_ms: int) -> bool:
        """Returns whether a request would pass what a window allows.

        With a window kept, it and not the level bounds the use: the level
        forgets what was admitted by the window.
        """
        rules = self._window_rules
        has_started = bucket.opened_at_ms >= self._joined_at_ms
        return rules.is_applied and rules.is_exceeded(
            bucket.window_used,
            bucket.limit,
            units=units,
            admitted=bucket.admitted if has_started else 0,
            is_adopted=bucket.window.is_adopted,
            now_ms=now_ms,
        )

    def _subtract(self, bucket: Bucket, units: float, now_ms: int) -> None:
        """Takes units that this or another daemon admitted."""
        rules = self._window_rules
        max_debt = self.tolerance.allowed(bucket.limit)
        if rules.is_applied:
            # Beyond this no request is admitted by the level; a larger debt
            # would refuse requests long after a burst.
            max_debt = CLOSED_DEBT_RATIO * self.tolerance.excess(bucket.limit)
        rules.record(bucket.window, units, now_ms)
        bucket.level = min(bucket.level, max(bucket.level - units, -max_debt))

    def _may_overdraw(self, bucket: Bucket, units: int, now_ms: int) -> bool:
        """Returns whether a request may take more than the bucket holds.

        Load pattern: many daemons are cut off one by one. Until they notice,
        they refill at the full rate, so that their levels are positive or soon
        will be. If each then admitted a request beyond its part of the quota,
        all together would pass the bound. At most one part of a fleet reaches
        more than half of it; its debt is the one that a whole fleet may have.
        """
        is_known = now_ms - self._reach_at_ms < REACH_VALID_MS
        reach = self.reach if is_known else self.own_part
        if reach > MAJORITY:
            return True
        excess = self.tolerance.excess(bucket.limit) * reach
        return bucket.level - units >= -CLOSED_DEBT_RATIO * excess

    def _knows_all_use(self, now_ms: int) -> bool:
        """Returns whether the use of all daemons is known here."""
        return (
            self.reach >= 1.0
            and now_ms - self._reach_at_ms < REACH_VALID_MS
            and now_ms - max(self._joined_at_ms, self._whole_since_ms)
            >= JOINING_MS
        )

    def _spare_debt_ratio(self, limit: quota.Quota, units: int) -> float:
        """Returns the part of the excess from which no request is admitted.

        Load pattern: a prompt of some seconds of the quota puts a bucket into
        debt, and the short prompts behind it are refused for as long, although
        operators tolerate more. Large requests get half of the spare part,
        since each of them takes much of it at once.
        """
        spare_ratio = self.tolerance.spare_ratio
        if units > SMALL_REQUEST_S * limit.per_s:
            spare_ratio *= LARGE_REQUEST_PART
        return max(CLOSED_DEBT_RATIO, spare_ratio)

    def _excess(self, bucket: Bucket) -> float:
        """Returns the tolerated excess of the daemons within reach."""
        return self.tolerance.excess(bucket.limit) * self.reach

    def _take(
        self, workspace: str, bucket: Bucket, units: int, now_ms: int
    ) -> None:
        self._subtract(bucket, units, now_ms)
        bucket.used_at_ms = now_ms
        if bucket.opened_at_ms < 0:
            bucket.opened_at_ms = now_ms
        offset = min(bucket.returned, units)
        bucket.returned -= offset
        bucket.admitted += units - offset
        if bucket.unreported:
            self._unreported.add(workspace)

    def _wait_ms(self, bucket: Bucket, units: int) -> int:
        """Returns when the refill has paid the debt, and these units."""
        open_level = units - OPEN_DEBT_RATIO * self._excess(bucket)
        per_ms = bucket.limit.per_s * self.reach / 1000
        if per_ms <= 0:
            return MAX_RETRY_MS
        wait_ms = math.ceil((open_level - bucket.level) / per_ms)
        return min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms))

    def _reserve(
        self,
        bucket: Bucket,
        units: int,
        wait_ms: int,
        honoured_ms: int,
        now_ms: int,
    ) -> int:
        """Returns when the refill has paid for those told to return, too.

        The other daemons that report use tell their callers to return to the
        same refill, which is split evenly.
        """
        daemons = 1 + sum(
            now_ms - counter.heard_at_ms < REFUSING_PEER_MS
            for counter in bucket.peers.values()
        )
        per_ms = bucket.limit.per_s * self.reach / daemons / 1000
        told_ms = bucket.returns.reserve(
            now_ms=now_ms,
            wait_ms=wait_ms,
            takes_ms=units / per_ms if per_ms > 0 else MAX_RETRY_MS,
            max_wait_ms=min(MAX_RETRY_MS, honoured_ms),
        )
        return max(MIN_RETRY_MS, told_ms)

    def _verdict(
        self,
        bucket: Bucket,
        is_admitted: bool,
        retry_after_ms: int,
        now_ms: int,
    ) -> quota.Verdict:
        heard_at_ms = bucket.heard_at_ms
        return quota.Verdict(
            is_admitted=is_admitted,
            retry_after_ms=retry_after_ms,
            level=math.floor(bucket.level),
            reach=round(self.reach, 3),
            heard_ms_ago=now_ms - heard_at_ms if heard_at_ms >= 0 else -1,
        )

    def _max_unreported(self, bucket: Bucket) -> float:
        excess = self.tolerance.excess(bucket.limit)
        together = (
            UNREPORTED_LEVEL_RATIO * max(0.0, bucket.level)
            + UNREPORTED_RATIO * excess
        )
        return together / self.daemons

    def _pull(self, bucket: Bucket, peer_level: float, now_ms: int) -> None:
        """Moves the level towards the one that another daemon reported."""
        is_joining = now_ms - self._joined_at_ms < JOINING_MS
        if not is_joining and now_ms - bucket.pulled_at_ms < PULL_INTERVAL_MS:
            return
        bucket.pulled_at_ms = now_ms
        # The other daemon does not know of what is unreported here.
        difference = peer_level - bucket.unreported - bucket.level
        bucket.level += (JOINING_PULL if is_joining else PULL) * difference
        bucket.level = min(bucket.level, bucket.limit.burst)

    def _expire(self, now_ms: int) -> None:
        """Forgets counters and buckets that are not in use."""
        if now_ms - self._expired_at_ms < EXPIRE_INTERVAL_MS:
            return
        self._expired_at_ms = now_ms
        for workspace, bucket in list(self.buckets.items()):
            self._refill(bucket, now_ms)
            if now_ms - bucket.used_at_ms >= COUNTER_IDLE_MS:
                self._unreported.discard(workspace)
                bucket.opened_at_ms = -1
                bucket.admitted = bucket.reported = bucket.returned = 0
            for daemon, counter in list(bucket.peers.items()):
                if now_ms - counter.heard_at_ms >= PEER_COUNTER_IDLE_MS:
                    del bucket.peers[daemon]
            is_idle = bucket.opened_at_ms < 0 and not bucket.peers
            if is_idle and bucket.level >= bucket.limit.burst:
                del self.buckets[workspace]


__all__ = ["Bucket", "Buckets", "PeerCounter"]
