"""Decides until when keys may be called good, by the store's word alone."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.member import view


@dataclasses.dataclass(slots=True)
class StoreServingLease:
    """The right to serve where changes count from the store's answer on.

    Operators write to the store, and nobody waits until daemons have read it.
    A daemon that can't reach it can't know of a key taken away, whatever its
    peers say of older times.

    Attributes:
        bound_ms: Age of the last confirmation up to which keys are served.
        confirmed_at_ms: When the table was last known to be the newest.
    """

    bound_ms: int
    confirmed_at_ms: int = -1_000_000

    def record_service_read(self, *, now_ms: int) -> None:
        """Counts a confirmation, from before its call was sent."""
        self.confirmed_at_ms = max(self.confirmed_at_ms, now_ms)

    def record_version(self, *, own: int, told: int, now_ms: int) -> None:
        """Takes in a version that a peer told; it confirms nothing."""

    def is_service_fresh(self, *, now_ms: int) -> bool:
        """Returns whether the store was read lately."""
        return now_ms - self.confirmed_at_ms <= self.bound_ms

    def last_confirmed_ms(self) -> int:
        """Returns when the store last confirmed the table."""
        return self.confirmed_at_ms

    def valid_until_ms(
        self, view: view.View, *, own_version: int, now_ms: int
    ) -> int:
        """Returns the time before which keys may be served; 0 for not now."""
        del view, now_ms
        return self.confirmed_at_ms + self.bound_ms if own_version else 0


__all__ = ["StoreServingLease"]
