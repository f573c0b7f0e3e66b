"""A budget that keeps retries a small part of the load."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Tokens earned by requests and spent by retries.

    When a third of the servers fail, each retry adds load to the rest. The
    symptom would be an overload that lasts after the failure has passed.
    Retries bounded to a share of the requests cannot cause it.

    Attributes:
        ratio: Tokens earned a request.
        burst: Most tokens kept.
    """

    ratio: float = 0.1
    burst: float = 10.0
    tokens: float = 10.0

    def earn(self) -> None:
        """Counts one accepted request."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Takes a token, or returns False where none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


__all__ = ["RetryBudget"]
