"""Budgets that limit extra work to a small fraction of the requests."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Budget:
    """Tokens earned by requests and spent by operations that add load.

    Retries and recomputations add load just when there is too much of it, and
    can make an overload outlast its cause. Bounded to a fraction of the
    requests they cannot.

    Attributes:
        ratio: Tokens earned per request.
        burst: Maximum number of tokens kept.
    """

    ratio: float = 0.1
    burst: float = 10.0
    tokens: float = 10.0

    def earn(self) -> None:
        """Earns tokens for one accepted request."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Takes a token, or returns False where none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclasses.dataclass(slots=True, kw_only=True)
class SharedBudget:
    """One daemon's share of a budget for all daemons together.

    The burst is divided evenly. A process gets its share once it has run for a
    whole window: a process that it replaced can't have spent a share in the
    same window. Until then it spends the tokens that requests earn, and keeps
    at most one. A share of less than one token is supplemented by savings: a
    smaller ratio of the requests, which expires after a window.

    In any window all daemons then spend at most the burst, `ratio` of the
    requests in it, and `saved_ratio` of those in the window before, however
    often daemons start and end.

    Attributes:
        ratio: Tokens earned per request while below the share.
        saved_ratio: Tokens saved per request once the share is full.
        window_ms: Time after which savings expire.
        share: This daemon's share of the burst.
        granted_at_ms: When the process has run for a window.
        tokens: Tokens left.
        saved: Savings of the current and the previous half of a window.
    """

    ratio: float
    saved_ratio: float
    window_ms: int
    share: float
    granted_at_ms: int = 0
    tokens: float = 0.0
    saved: tuple[float, float] = (0.0, 0.0)
    _is_granted: bool = False
    _earned_before_grant: float = 0.0
    _half_window: int = 0

    def resize(self, share: float) -> None:
        """Sets the share when the number of daemons changes."""
        self.share = share
        self.tokens = min(self.tokens, self._capacity())

    def earn(self, *, now_ms: int) -> None:
        """Earns tokens for one accepted request."""
        self._grant_share(now_ms)
        capacity = self._capacity()
        if self.tokens < capacity:
            before = self.tokens
            self.tokens = min(capacity, before + self.ratio)
            if not self._is_granted:
                self._earned_before_grant += self.tokens - before
            return
        self._expire_savings(now_ms)
        current, before = self.saved
        missing = max(0.0, 1.0 - capacity - current - before)
        self.saved = (current + min(missing, self.saved_ratio), before)

    def spend(self, *, now_ms: int) -> bool:
        """Takes a token, or returns False where none is left."""
        self._grant_share(now_ms)
        self._expire_savings(now_ms)
        if self.tokens >= 1.0 - 1e-9:
            self.tokens = max(0.0, self.tokens - 1.0)
            return True
        if self.tokens + sum(self.saved) < 1.0 - 1e-9:
            return False
        self.tokens = max(0.0, self.tokens + sum(self.saved) - 1.0)
        self.saved = (0.0, 0.0)
        return True

    def _capacity(self) -> float:
        return self.share if self._is_granted else min(self.share, 1.0)

    def _grant_share(self, now_ms: int) -> None:
        if self._is_granted or now_ms < self.granted_at_ms:
            return
        self._is_granted = True
        granted = max(0.0, self.share - self._earned_before_grant)
        self.tokens = min(self.share, self.tokens + granted)

    def _expire_savings(self, now_ms: int) -> None:
        half_window = now_ms * 2 // self.window_ms
        if half_window > self._half_window + 1:
            self.saved = (0.0, 0.0)
        elif half_window > self._half_window:
            self.saved = (0.0, self.saved[0])
        self._half_window = max(self._half_window, half_window)


__all__ = ["Budget", "SharedBudget"]
