"""Decides until when this daemon may call its table current."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from godwittack.member.view import MemberPolicy, View


class ServingLease(Protocol):
    """Decides until when this daemon may serve by the table it has."""

    def record_service_read(self, *, now_ms: int) -> None:
        """Counts a reading of the newest version from the service."""

    def record_version(self, *, own: int, told: int, now_ms: int) -> None:
        """Takes in a version that a peer told, or the own new one."""

    def is_service_fresh(self, *, now_ms: int) -> bool:
        """Returns whether the service was read lately."""

    def last_confirmed_ms(self) -> int:
        """Returns when the table was last known to be the newest.

        Long ago where it never was.
        """

    def valid_until_ms(
        self, view: View, *, own_version: int, now_ms: int
    ) -> int:
        """Returns the time before which new work may start; 0 for not now."""


@dataclasses.dataclass(slots=True)
class QuorumServingLease:
    """Decides until when this daemon may claim that its table is current.

    A daemon that read the table's version from the service lately is
    current. When the service is silent, it is current while it is in contact
    with more than half of the known daemons and lags none of them: a change
    counts as accepted only once more than half have it, so that one of those
    it hears would tell of it. See docs/design/table.md.
    """

    policy: MemberPolicy
    service_read_at_ms: int = -1_000_000
    newest_reported: int = 0
    behind_since_ms: int = -1
    _behind_until_ms: int = 0
    _granted_until_ms: int = 0

    def record_service_read(self, *, now_ms: int) -> None:
        """Counts a reading of the newest version from the service."""
        self.service_read_at_ms = max(self.service_read_at_ms, now_ms)

    def record_version(self, *, own: int, told: int, now_ms: int) -> None:
        """Takes in a version that a peer told, or the own new one."""
        self.newest_reported = max(self.newest_reported, told)
        if own >= self.newest_reported:
            self.behind_since_ms = -1
        elif self.behind_since_ms < 0:
            self.behind_since_ms = now_ms
            # Time to fetch the newer table goes only to a daemon that served
            # until now: one that was cut off and hears of others again must
            # not begin on its old table.
            self._behind_until_ms = min(
                self._granted_until_ms, now_ms + self.policy.behind_ms
            )

    def is_service_fresh(self, *, now_ms: int) -> bool:
        """Returns whether the service was read lately."""
        return now_ms - self.service_read_at_ms <= self.policy.lease_ms

    def last_confirmed_ms(self) -> int:
        """Returns when the version was last read.

        A replica may have lagged; what is named is dated late by that.
        """
        return self.service_read_at_ms

    def valid_until_ms(
        self, view: View, *, own_version: int, now_ms: int
    ) -> int:
        """Returns the time before which new work may start; 0 for not now.

        The time passes by itself: a daemon that was stopped and goes on finds
        it in the past, before it decides on anything that waited meanwhile.
        """
        if own_version == 0:
            return 0
        until_ms = self.service_read_at_ms + self.policy.lease_ms
        if view.reachable_fraction(now_ms=now_ms) > 0.5:
            until_ms = max(until_ms, now_ms + self.policy.contact_ms)
        if self.behind_since_ms >= 0:
            until_ms = min(until_ms, self._behind_until_ms)
        self._granted_until_ms = until_ms if until_ms > now_ms else 0
        return self._granted_until_ms


__all__ = ["ServingLease", "QuorumServingLease"]
