"""Decides until when keys may be accepted, by the store's replies alone."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.member import view


@dataclasses.dataclass(slots=True)
class StoreServingLease:
    """A lease for tables whose changes take effect when the store has them.

    Operators write to the store and do not wait until daemons have read the
    change. A daemon that can't reach the store can't know of a revoked key,
    whatever peers report about earlier times.

    Attributes:
        bound_ms: Age of the last confirmation up to which keys are accepted.
        confirmed_at_ms: When the table was last known to be the newest.
    """

    bound_ms: int
    confirmed_at_ms: int = -1_000_000

    def record_service_read(self, *, now_ms: int) -> None:
        """Records a confirmation, dated before its call was sent."""
        self.confirmed_at_ms = max(self.confirmed_at_ms, now_ms)

    def record_version(self, *, own: int, reported: int, now_ms: int) -> None:
        """Ignores a version that a peer reported; it confirms nothing."""

    def is_service_fresh(self, *, now_ms: int) -> bool:
        """Returns whether the store was read within the bound."""
        return now_ms - self.confirmed_at_ms <= self.bound_ms

    def last_confirmed_ms(self) -> int:
        """Returns when the store last confirmed the table."""
        return self.confirmed_at_ms

    def valid_until_ms(
        self, view: view.View, *, own_version: int, now_ms: int
    ) -> int:
        """Returns until when keys are accepted; 0 without a table."""
        del view, now_ms
        return self.confirmed_at_ms + self.bound_ms if own_version else 0


__all__ = ["StoreServingLease"]
