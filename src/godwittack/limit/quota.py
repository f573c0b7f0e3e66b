"""Quotas of workspaces: what they allow, and reports of their use."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Quota:
    """What a workspace may use, in units.

    Attributes:
        per_s: Units per second.
        burst: Units that it may use at once.
    """

    per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tolerance:
    """Use beyond a quota that operators tolerate in any window.

    Attributes:
        window_s: Length of the window.
        overage_ratio: Excess relative to the quota's use in a window.
        slack: Further units.
        spare_ratio: Part of the excess up to which a bucket may be in debt
            while its daemon is in contact with the whole fleet; 0 for the
            default.
        window_part: Part of the quota's use in a window that may be used at
            any time within it, as far as the use of all daemons is known; 0 to
            admit at the rate of the quota only.
    """

    window_s: float = 8.0
    overage_ratio: float = 0.1
    slack: float = 0.0
    spare_ratio: float = 0.0
    window_part: float = 0.0

    def allowed(self, quota: Quota) -> float:
        """Returns the units that a quota allows in a window."""
        return quota.per_s * self.window_s + quota.burst

    def excess(self, quota: Quota) -> float:
        """Returns the tolerated units beyond the quota in a window."""
        return self.overage_ratio * self.allowed(quota) + self.slack


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """What one daemon has admitted for a workspace, as reported to others.

    Attributes:
        admitted: Units since the counter was opened; never decreases.
        opened_at_ms: When the counter was opened.
        level: The sender's level of the bucket.
        at_ms: Time of the report.
        window_used: Use of all daemons in the window as known to the sender; 0
            if it keeps no window, or has not kept it for long enough.
    """

    workspace: str
    admitted: int
    opened_at_ms: int
    level: float
    at_ms: int
    window_used: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Whether a request is admitted, and what the decision rests on.

    Attributes:
        retry_after_ms: When to retry; 0 if it is admitted, or never will be.
        level: Units in the bucket, negative for a debt.
        reach: Part of the fleet whose use this daemon hears of.
        heard_ms_ago: Age of the newest report of another daemon; -1 for none.
    """

    is_admitted: bool
    retry_after_ms: int
    level: int
    reach: float
    heard_ms_ago: int


__all__ = ["Quota", "Tolerance", "Usage", "Verdict"]
