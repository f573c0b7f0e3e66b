"""Times at which refused callers are told to return.

Load pattern: a burst is refused within milliseconds. Told the same time, all
of its callers would return together, and all but the first be refused again.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class Reservations:
    """Reserves capacity in virtual time for callers that will return.

    Attributes:
        next_at_ms: When the capacity is free that no caller was told of.
    """

    next_at_ms: float = 0.0

    def reserve(
        self, *, now_ms: int, wait_ms: float, takes_ms: float, max_wait_ms: int
    ) -> int:
        """Returns after which time a caller is to return.

        A caller that would not wait as long as computed is told the longest
        time that it honours. It will probably be refused, so it reserves
        nothing: otherwise an overload would put off all later callers.

        Args:
            now_ms: Time of the refusal.
            wait_ms: Time until there is free capacity.
            takes_ms: For how long the caller's request uses that capacity.
            max_wait_ms: Longest time that the caller honours.
        """
        at_ms = max(now_ms + wait_ms, self.next_at_ms)
        if at_ms - now_ms > max_wait_ms:
            return max_wait_ms
        self.next_at_ms = at_ms + takes_ms
        return round(at_ms - now_ms)


__all__ = ["Reservations"]
