"""Keeps how fresh a followed table is here, by own calls and peers' word."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# A confirmation older than this is of no use to others.
MAX_BELIEF_AGE_MS = 3_000


class Topic(enum.IntEnum):
    """What a confirmation is of."""

    TABLE = 1
    SERVERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Belief:
    """A version and how long ago the store confirmed it to be the newest."""

    topic: Topic
    version: int
    age_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Freshness:
    """Freshness of one table.

    A few daemons ask the store all the time. The others take their word for
    it, each with the age of the store's own answer: asked by hundreds, the
    store would refuse most of them.

    Attributes:
        topic: Which table.
        version: Version in force here.
        confirmed_at_ms: When the store last confirmed it to be the newest.
        behind_since_ms: Since when a peer is known to have a newer one; -1
            while none is.
        on_confirmed: Told of each later confirmation.
    """

    topic: Topic
    version: int = 0
    confirmed_at_ms: int = -1_000_000
    behind_since_ms: int = -1
    on_confirmed: Callable[[int], None] = lambda at_ms: None

    def record_version(self, version: int) -> None:
        """Takes in that a newer version is in force here."""
        if version > self.version:
            self.version = version
            self.behind_since_ms = -1

    def record_confirmation(self, at_ms: int) -> None:
        """Takes in that the version here was the newest at a time."""
        if at_ms > self.confirmed_at_ms and self.version:
            self.confirmed_at_ms = at_ms
            self.on_confirmed(at_ms)

    def apply_belief(
        self, belief: Belief, *, asked_at_ms: int, now_ms: int
    ) -> None:
        """Takes in a peer's belief.

        Args:
            belief: What it said.
            asked_at_ms: When it was asked, before it answered. Counted from
                the arrival, an answer that waited in the socket of a
                suspended process would make the table fresher than it is,
                and a key taken away meanwhile good.
            now_ms: Time of the arrival.
        """
        if belief.version > self.version:
            self.record_newer_version(now_ms=now_ms)
        if belief.version == self.version:
            self.record_confirmation(asked_at_ms - belief.age_ms)

    def record_newer_version(self, *, now_ms: int) -> None:
        """Takes in that a peer has a newer version than is in force here.

        Only the first sign counts. Where servers come and go all the time,
        each piece of news that can't be taken in would begin the wait for the
        missed one anew, and a server that leaves would get new work until
        peers' word is too old.
        """
        if self.behind_since_ms < 0:
            self.behind_since_ms = now_ms

    def current_belief(self, *, now_ms: int) -> Belief | None:
        """Returns what to tell others, None for nothing of use."""
        age_ms = now_ms - self.confirmed_at_ms
        if not self.version or age_ms > MAX_BELIEF_AGE_MS:
            return None
        return Belief(self.topic, self.version, max(0, age_ms))


__all__ = ["Belief", "Freshness", "Topic"]
