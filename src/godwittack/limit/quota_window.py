"""What all daemons have admitted of a quota within its window.

Load pattern: a workspace with a steady use below its quota sends several times
as much for five seconds. In the window over which the quota is measured, that
is still within what it allows, while a token bucket refills too slowly to let
it through.
"""

from __future__ import annotations

import collections
import dataclasses

# Granularity of the record: use counts for up to this much longer.
SLOT_MS = 250


@dataclasses.dataclass(slots=True)
class QuotaWindow:
    """Units that were admitted lately, by all daemons, as far as known here.

    Attributes:
        used: Units in the record.
        is_adopted: Whether the use before this daemon's start was taken over
            from another one.
    """

    used: float = 0.0
    is_adopted: bool = False
    _slots: collections.deque[tuple[int, float]] = dataclasses.field(
        default_factory=collections.deque
    )

    def add(self, units: float, *, now_ms: int) -> None:
        """Records units that were admitted, or that others may have."""
        slot = now_ms // SLOT_MS
        if self._slots and self._slots[-1][0] >= slot:
            slot, before = self._slots.pop()
            units_in_slot = before + units
        else:
            units_in_slot = units
        self._slots.append((slot, units_in_slot))
        self.used += units

    def give_back(self, units: float) -> None:
        """Removes units that were not used, the newest first."""
        while units > 0 and self._slots:
            slot, recorded = self._slots.pop()
            removed = min(units, recorded)
            self.used -= removed
            units -= removed
            if recorded > removed:
                self._slots.append((slot, recorded - removed))

    def leaves_in_ms(
        self, units: float, *, window_ms: float, now_ms: int
    ) -> int:
        """Returns when this many units will have left the window."""
        for slot, recorded in self._slots:
            units -= recorded
            if units <= 0:
                return max(0, round((slot + 1) * SLOT_MS + window_ms - now_ms))
        return round(window_ms)

    def clear(self) -> None:
        """Forgets all use."""
        self._slots.clear()
        self.used = 0.0

    def expire(self, *, window_ms: float, now_ms: int) -> None:
        """Forgets what was admitted before the window."""
        first = (now_ms - window_ms) // SLOT_MS
        while self._slots and self._slots[0][0] < first:
            self.used -= self._slots.popleft()[1]
        if not self._slots:
            self.used = 0.0


__all__ = ["QuotaWindow"]
