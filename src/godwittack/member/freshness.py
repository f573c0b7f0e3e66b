"""Tracks how recently the store confirmed that a local table is the newest."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Older confirmations are not sent to peers, which could not use them.
MAX_BELIEF_AGE_MS = 3_000
# Source of confirmations that do not come from a peer.
STORE = "store"


class Topic(enum.IntEnum):
    """The table that a confirmation is about."""

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

    A few daemons poll the store continuously. The others rely on the beliefs
    that these send, each with the age of the store's own reply: if hundreds of
    daemons polled it, the store would refuse most calls.

    Attributes:
        topic: Which table.
        version: Version active here.
        confirmed_at_ms: When the store last confirmed it to be the newest.
        behind_since_ms: Since when a peer is known to have a newer one; -1 if
            none is known to.
        heard_version: Newest version that a peer is known to have.
        confirmed_by: Whose answer that was: the store's, or a daemon's id.
        on_confirmed: Called with the time of each later confirmation.
    """

    topic: Topic
    version: int = 0
    confirmed_at_ms: int = -1_000_000
    behind_since_ms: int = -1
    heard_version: int = 0
    confirmed_by: str = ""
    on_confirmed: Callable[[int], None] = lambda at_ms: None

    def record_version(self, version: int) -> None:
        """Records that a newer version became active here."""
        if version > self.version:
            self.version = version
            if version >= self.heard_version:
                self.behind_since_ms = -1

    def record_confirmation(self, at_ms: int, *, by: str = STORE) -> None:
        """Records that the version here was the newest at `at_ms`."""
        if at_ms > self.confirmed_at_ms and self.version:
            self.confirmed_at_ms = at_ms
            self.confirmed_by = by
            self.on_confirmed(at_ms)

    def apply_belief(
        self,
        belief: Belief,
        *,
        asked_at_ms: int,
        now_ms: int,
        peer: str = "",
    ) -> None:
        """Applies a belief that a peer sent.

        Args:
            belief: The peer's belief.
            asked_at_ms: When the peer was asked. The age of the belief is
                counted from here, not from the arrival: a reply that waited in
                the socket of a suspended process would make the table seem
                fresher than it is, and a key revoked in the meantime would be
                accepted.
            now_ms: Time of the arrival.
            peer: Id of the peer.
        """
        self.record_heard(belief.version, now_ms=now_ms)
        is_newest = self.heard_version <= self.version
        if belief.version == self.version and is_newest:
            self.record_confirmation(asked_at_ms - belief.age_ms, by=peer)

    def record_heard(self, version: int, *, now_ms: int) -> None:
        """Records a version that a peer has.

        Nothing confirms an older one any more.
        """
        self.heard_version = max(self.heard_version, version)
        if version > self.version:
            self.record_newer_version(now_ms=now_ms)

    def record_newer_version(self, *, now_ms: int) -> None:
        """Records that a peer has a newer version than is active here.

        Only the first report sets the time. While servers come and go often,
        each update that can't be applied would otherwise restart the wait for
        the missed one, and a server that leaves would get new work until the
        peers' beliefs are too old.
        """
        if self.behind_since_ms < 0:
            self.behind_since_ms = now_ms

    def current_belief(self, *, now_ms: int) -> Belief | None:
        """Returns the belief to send to peers, or None if it is too old."""
        age_ms = now_ms - self.confirmed_at_ms
        if not self.version or age_ms > MAX_BELIEF_AGE_MS:
            return None
        return Belief(self.topic, self.version, max(0, age_ms))


__all__ = ["Belief", "Freshness", "Topic"]
