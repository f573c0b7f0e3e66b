"""Prompts that one engine has to compute, in the order they were sent."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclasses.dataclass(slots=True)
class _Prompt:
    priority: int
    tokens: float


@dataclasses.dataclass(slots=True)
class PromptQueue:
    """Prompt tokens that an engine has to compute, oldest first.

    They are kept in tokens and not in time, so that a corrected estimate of the
    time per token applies to prompts sent before as well. Before the first
    estimate, waits would otherwise be ten times too long for seconds.

    Attributes:
        computed_until_ms: Time up to which computed tokens were removed.
    """

    computed_until_ms: float = 0.0
    _prompts: collections.deque[_Prompt] = dataclasses.field(
        default_factory=collections.deque
    )

    def add(self, *, priority: int, tokens: float) -> None:
        """Adds a prompt that was sent now."""
        self._prompts.append(_Prompt(priority, tokens))

    def remove_computed(self, tokens: float) -> None:
        """Removes tokens that were computed, from the oldest prompts."""
        while self._prompts and tokens > 0:
            first = self._prompts[0]
            if first.tokens > tokens:
                first.tokens -= tokens
                return
            tokens -= first.tokens
            self._prompts.popleft()

    def clear(self) -> None:
        """Removes all prompts."""
        self._prompts.clear()

    def tokens_by_priority(self) -> Iterator[tuple[int, float]]:
        """Returns the tokens of each prompt with its priority."""
        return ((p.priority, p.tokens) for p in self._prompts)

    def __bool__(self) -> bool:
        """Returns whether any tokens are left."""
        return bool(self._prompts)


__all__ = ["PromptQueue"]
