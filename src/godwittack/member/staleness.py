"""How old a daemon's copies of the store's rows may be, for which purpose.

All limits follow from the time within which operators expect a change to be in
force. A change that none of the daemons that poll the store can read is read by
the next ones, and told to the others, before that time is over.
"""

from __future__ import annotations

import dataclasses

# The store's feed may leave changes out for this long, and an answer without
# rows says nothing about them.
FEED_SILENCE_MS = 1_000
# Time for a request to be read, and for a refusal to be decided.
DECISION_MS = 200
# Below this, what the silence leaves is too short for a read.
MIN_BOUND_MS = 1_500
# Parts of the time within which a change must be in force.
POLL_PART = 1 / 3
BEHIND_PART = 0.125
OWN_READ_PART = 0.65
OWN_READ_STEP_PART = 0.04


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StalenessLimits:
    """Limits for one table of the store.

    Attributes:
        poll_ms: How long the store may hold a call of a daemon that polls it
            for all, and so the age of the confirmations that others get.
        behind_ms: How long to wait for a version that a peer is known to have
            before it is read from the store.
        own_read_ms: Age of the last confirmation at which a daemon that does
            not poll reads the store itself; also its longest pause after a
            failed call.
        own_read_step_ms: Added for daemons of a later rank, so that the first
            ones can tell the others.
        refusal_ms: Age of the last confirmation up to which the table decides
            what callers are refused for good.
    """

    poll_ms: int
    behind_ms: int
    own_read_ms: int
    own_read_step_ms: int
    refusal_ms: int

    @classmethod
    def from_bound(cls, bound_ms: int, *, poll_ms: int) -> StalenessLimits:
        """Derives the limits.

        Args:
            bound_ms: Time within which a change must be in force; at least
                `MIN_BOUND_MS`.
            poll_ms: Longest time that the store may hold a call.
        """
        return cls(
            poll_ms=max(1, min(poll_ms, round(bound_ms * POLL_PART))),
            behind_ms=round(bound_ms * BEHIND_PART),
            own_read_ms=round(bound_ms * OWN_READ_PART),
            own_read_step_ms=round(bound_ms * OWN_READ_STEP_PART),
            refusal_ms=bound_ms - FEED_SILENCE_MS - DECISION_MS,
        )

    def own_read_age_ms(self, rank: int, *, readers: int) -> int:
        """Returns the age at which the daemon of a rank reads by itself.

        Each step doubles the number of daemons that read. If all read at the
        same age, most of their calls would confirm what the first ones did.

        Args:
            rank: Position of the daemon among all, from 0.
            readers: How many poll the store for all.
        """
        steps = max(0, (rank // max(1, readers)).bit_length() - 1)
        return self.own_read_ms + steps * self.own_read_step_ms


__all__ = [
    "DECISION_MS",
    "FEED_SILENCE_MS",
    "MIN_BOUND_MS",
    "StalenessLimits",
]
