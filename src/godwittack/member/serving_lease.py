"""Decides until when this daemon may treat its table as current."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from godwittack.member.view import MemberPolicy, View


class ServingLease(Protocol):
    """Decides until when this daemon may serve with its present table."""

    def record_service_read(self, *, now_ms: int) -> None:
        """Records a read of the newest table version from the service."""

    def record_version(self, *, own: int, reported: int, now_ms: int) -> None:
        """Records a version that a peer reported, or this daemon adopted."""

    def is_service_fresh(self, *, now_ms: int) -> bool:
        """Returns whether the service was read within the lease time."""

    def last_confirmed_ms(self) -> int:
        """Returns when the table was last known to be the newest.

        A time in the distant past if it never was.
        """

    def valid_until_ms(
        self, view: View, *, own_version: int, now_ms: int
    ) -> int:
        """Returns the time before which new work may start; 0 if none may."""


@dataclasses.dataclass(slots=True)
class QuorumServingLease:
    """A lease by a recent read of the service or by contact with a majority.

    A daemon that recently read the table's version from the service is
    current. While the service does not respond, it is current if it is in
    contact with more than half of the known daemons and none of them has a
    newer table: a change counts as accepted only once more than half have it,
    so at least one of the daemons in contact would report it. See
    docs/design/table.md.
    """

    policy: MemberPolicy
    service_read_at_ms: int = -1_000_000
    newest_reported: int = 0
    behind_since_ms: int = -1
    _behind_until_ms: int = 0
    _granted_until_ms: int = 0

    def record_service_read(self, *, now_ms: int) -> None:
        """Records a read of the newest table version from the service."""
        self.service_read_at_ms = max(self.service_read_at_ms, now_ms)

    def record_version(self, *, own: int, reported: int, now_ms: int) -> None:
        """Records a version that a peer reported, or this daemon adopted."""
        self.newest_reported = max(self.newest_reported, reported)
        if own >= self.newest_reported:
            self.behind_since_ms = -1
        elif self.behind_since_ms < 0:
            self.behind_since_ms = now_ms
            # Only a daemon that was serving gets time to fetch the newer
            # table. One that was cut off and regains contact must not start
            # to serve with its old table.
            self._behind_until_ms = min(
                self._granted_until_ms, now_ms + self.policy.behind_ms
            )

    def is_service_fresh(self, *, now_ms: int) -> bool:
        """Returns whether the service was read within the lease time."""
        return now_ms - self.service_read_at_ms <= self.policy.lease_ms

    def last_confirmed_ms(self) -> int:
        """Returns when the version was last read.

        A lagging replica may have answered; a later change is then dated too
        late by that lag.
        """
        return self.service_read_at_ms

    def valid_until_ms(
        self, view: View, *, own_version: int, now_ms: int
    ) -> int:
        """Returns the time before which new work may start; 0 if none may.

        It expires without an event: a daemon that was suspended and resumes
        sees that it has passed before it handles anything that arrived in the
        meantime.
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
