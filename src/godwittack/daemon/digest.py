"""Sums up an engine's cache events for the daemons that place its model."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from godwittack.backend import protocol as backend
from godwittack.core import inputs

if TYPE_CHECKING:
    from collections.abc import Iterator


class Digester:
    """Follows one engine's events.

    A gap in the sequence is passed over: a level whose eviction was lost
    costs one recomputation, while dropping all hints on the engine at each
    gap costs all of them. See docs/design/placement.md.

    Attributes:
        sequence: Last event taken in; the next piece is asked for after it.
    """

    def __init__(self, server_id: str) -> None:
        """Starts before the first event of `server_id`."""
        self.sequence = 0
        self._server_id = server_id
        self._epoch = ""

    def digest(
        self, told: backend.CacheEvents, *, now_ms: int
    ) -> inputs.CacheDigest | None:
        """Returns what a piece of the stream says, or None for nothing new."""
        epoch = told.epoch or told.incarnation
        restarted = epoch != self._epoch
        if restarted:
            self._epoch = epoch
            self.sequence = 0
        # A store that starts anew is empty, under the same name as before.
        cleared = bool(restarted and told.epoch)
        held: collections.OrderedDict[int, backend.CacheEvent] = (
            collections.OrderedDict()
        )
        before = self.sequence
        for event in self._fresh(told):
            if event.kind is backend.CacheEventKind.CLEARED:
                cleared = True
                held.clear()
            else:
                held[event.level_key] = event
        self.sequence = max(self.sequence, told.next)
        if self.sequence == before and not cleared:
            return None
        stored = [
            event
            for event in held.values()
            if event.kind is backend.CacheEventKind.STORED
        ]
        return inputs.CacheDigest(
            at_ms=now_ms,
            server_id=self._server_id,
            incarnation=told.incarnation,
            weights_version=told.weights_version,
            cleared=cleared,
            stored=tuple(event.level_key for event in stored),
            removed=tuple(
                key
                for key, event in held.items()
                if event.kind is backend.CacheEventKind.REMOVED
            ),
            tokens=(
                tuple(event.tokens for event in stored)
                if any(event.tokens for event in stored)
                else ()
            ),
        )

    def _fresh(self, told: backend.CacheEvents) -> Iterator[backend.CacheEvent]:
        for event in told.events:
            # Pieces overlap where a reply was lost or came twice.
            if event.sequence > self.sequence:
                self.sequence = event.sequence
                yield event


__all__ = ["Digester"]
