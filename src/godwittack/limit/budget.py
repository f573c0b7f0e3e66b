"""Budgets that keep something a small part of the requests."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Budget:
    """Tokens earned by requests and spent by what adds load.

    Retries and recomputations add load just when there is too much of it. The
    symptom would be an overload that lasts after its cause has passed. Bounded
    to a share of the requests they cannot cause it.

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


@dataclasses.dataclass(slots=True, kw_only=True)
class SharedBudget:
    """One daemon's part of a budget that holds for all daemons together.

    The burst is divided evenly. A process gets its part once it has run for a
    whole window: whatever ran in its place before can't have spent a part in
    the same window. Until then it spends what requests earn, and keeps one
    retry at most. A part of less than one token is completed by savings: a
    smaller ratio of the requests, forgotten after a window.

    In any window all daemons then spend at most the burst, `ratio` of the
    requests in it, and `saved_ratio` of those in the window before, however
    often daemons start and end.

    Attributes:
        ratio: Tokens earned a request below the own part.
        saved_ratio: Tokens saved a request at the own part.
        window_ms: Time after which savings are forgotten.
        share: This daemon's part of the burst.
        granted_at_ms: When the process has run for a window.
        tokens: Tokens left.
        saved: Savings of the current half of a window and the one before.
    """

    ratio: float
    saved_ratio: float
    window_ms: int
    share: float
    granted_at_ms: int = 0
    tokens: float = 0.0
    saved: tuple[float, float] = (0.0, 0.0)
    _is_granted: bool = False
    _earned_before: float = 0.0
    _half: int = 0

    def resize(self, share: float) -> None:
        """Takes another part, as daemons come or go."""
        self.share = share
        self.tokens = min(self.tokens, self._most())

    def earn(self, *, now_ms: int) -> None:
        """Counts one accepted request."""
        self._grant(now_ms)
        most = self._most()
        if self.tokens < most:
            before = self.tokens
            self.tokens = min(most, before + self.ratio)
            if not self._is_granted:
                self._earned_before += self.tokens - before
            return
        self._forget(now_ms)
        current, before = self.saved
        missing = max(0.0, 1.0 - most - current - before)
        self.saved = (current + min(missing, self.saved_ratio), before)

    def spend(self, *, now_ms: int) -> bool:
        """Takes a token, or returns False where none is left."""
        self._grant(now_ms)
        self._forget(now_ms)
        if self.tokens >= 1.0 - 1e-9:
            self.tokens = max(0.0, self.tokens - 1.0)
            return True
        if self.tokens + sum(self.saved) < 1.0 - 1e-9:
            return False
        self.tokens = max(0.0, self.tokens + sum(self.saved) - 1.0)
        self.saved = (0.0, 0.0)
        return True

    def _most(self) -> float:
        return self.share if self._is_granted else min(self.share, 1.0)

    def _grant(self, now_ms: int) -> None:
        if self._is_granted or now_ms < self.granted_at_ms:
            return
        self._is_granted = True
        granted = max(0.0, self.share - self._earned_before)
        self.tokens = min(self.share, self.tokens + granted)

    def _forget(self, now_ms: int) -> None:
        half = now_ms * 2 // self.window_ms
        if half > self._half + 1:
            self.saved = (0.0, 0.0)
        elif half > self._half:
            self.saved = (0.0, self.saved[0])
        self._half = max(self._half, half)


__all__ = ["Budget", "SharedBudget"]
