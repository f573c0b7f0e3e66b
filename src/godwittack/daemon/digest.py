"""Condenses an engine's cache events for the daemons that route its model."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from godwittack.backend import protocol as backend
from godwittack.core import server_inputs
from godwittack.placement import levels

if TYPE_CHECKING:
    from collections.abc import Iterator

# Bounds the memory for published levels whose evictions were lost; an engine
# holds a few thousand levels.
MAX_PUBLISHED_LEVELS = 1 << 16


class Digester:
    """Turns one engine's event stream into digests.

    A gap in the sequence is ignored: a level whose eviction was lost costs
    one recomputation, while dropping all hints on the engine at each gap
    costs all of them. See docs/design/placement.md.

    Where an engine reports the tokens of its levels, digests omit small
    levels, and evictions of levels that were never published.

    Attributes:
        sequence: Last event processed; the next batch is requested after it.
    """

    def __init__(self, server_id: str) -> None:
        """Starts before the first event of `server_id`."""
        self.sequence = 0
        self._server_id = server_id
        self._epoch = ""
        self._reports_tokens = False
        self._published: dict[int, None] = {}

    def digest(
        self, batch: backend.CacheEvents, *, now_ms: int
    ) -> server_inputs.CacheDigest | None:
        """Returns the digest of a batch, or None if nothing changed."""
        epoch = batch.epoch or batch.incarnation
        restarted = epoch != self._epoch
        if restarted:
            self._epoch = epoch
            self.sequence = 0
        # A restarted store of cached state is empty, but its incarnation in
        # the batch is the same as before; only the epoch changes.
        cleared = bool(restarted and batch.epoch)
        latest: collections.OrderedDict[int, backend.CacheEvent] = (
            collections.OrderedDict()
        )
        previous = self.sequence
        for event in self._new_events(batch):
            if event.kind is backend.CacheEventKind.CLEARED:
                cleared = True
                latest.clear()
            else:
                latest[event.level_key] = event
        self.sequence = max(self.sequence, batch.next_after)
        if self.sequence == previous and not cleared:
            return None
        if cleared:
            self._published.clear()
        stored = [
            event
            for event in latest.values()
            if event.kind is backend.CacheEventKind.STORED
            and not _is_small(event)
        ]
        stored_keys = {event.level_key for event in stored}
        removed = [
            key
            for key, event in latest.items()
            if key not in stored_keys and self._is_removal(event)
        ]
        self._record(stored, removed)
        if not (stored or removed or cleared):
            return None
        return server_inputs.CacheDigest(
            at_ms=now_ms,
            server_id=self._server_id,
            incarnation=batch.incarnation,
            weights_version=batch.weights_version,
            cleared=cleared,
            stored=tuple(event.level_key for event in stored),
            removed=tuple(removed),
            tokens=(
                tuple(event.tokens for event in stored)
                if any(event.tokens for event in stored)
                else ()
            ),
        )

    def _is_removal(self, event: backend.CacheEvent) -> bool:
        """Returns whether peers should drop a level."""
        if self._reports_tokens:
            return event.level_key in self._published
        return event.kind is backend.CacheEventKind.REMOVED

    def _record(
        self, stored: list[backend.CacheEvent], removed: list[int]
    ) -> None:
        for key in removed:
            self._published.pop(key, None)
        for event in stored:
            if event.tokens:
                self._reports_tokens = True
                self._published[event.level_key] = None
        while len(self._published) > MAX_PUBLISHED_LEVELS:
            del self._published[next(iter(self._published))]

    def _new_events(
        self, batch: backend.CacheEvents
    ) -> Iterator[backend.CacheEvent]:
        for event in batch.events:
            # Batches overlap where a reply was lost or arrived twice.
            if event.sequence > self.sequence:
                self.sequence = event.sequence
                yield event


def _is_small(event: backend.CacheEvent) -> bool:
    return 0 < event.tokens < levels.SMALL_LEVEL_TOKENS


__all__ = ["Digester"]
