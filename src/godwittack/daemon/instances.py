"""Tells the core and other daemons of backend servers in the store's rows."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from godwittack.core import server_inputs
from godwittack.daemon import instance_rows, listing

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from godwittack.daemon import feed_follower, peer_updates
    from godwittack.daemon import runtime as runtimes
    from godwittack.member import freshness
    from godwittack.store import protocol

# Entries that lapsed while the store was away come back within two seconds of
# its return; what is missing after that is gone.
MISSING_GRACE_MS = 2_300


class InstanceFollower:
    """Tells the core of servers that come, change and go.

    Readers of the list tell the other daemons each change, with the list's
    version before and after it. A daemon that finds a gap between reads the
    list itself.
    """

    def __init__(
        self,
        *,
        core: runtimes.Runtime,
        decode: Callable[
            [Mapping[str, protocol.ChangedRow]],
            instance_rows.ParsedRows,
        ],
        updates: peer_updates.PeerUpdates,
        table_freshness: freshness.Freshness,
        is_reader: Callable[[], bool],
    ) -> None:
        """Knows no servers yet."""
        self._core = core
        self._decode = decode
        self._updates = updates
        self._freshness = table_freshness
        self._is_reader = is_reader
        self._instances: dict[str, protocol.Instance] = {}
        self._missing: set[str] = set()
        # Changes since the version that peers know the list to be at.
        self._unpublished: listing.Changes = {}
        self._refusals = instance_rows.RefusalLog()
        self.follower: feed_follower.FeedFollower | None = None
        updates.on_versioned_list = self.apply_changes

    def apply_rows(self, rows: Mapping[str, protocol.ChangedRow]) -> None:
        """Takes in the rows of servers, as read here.

        Not where a peer's word is newer than the reading: an answer that was
        long on its way lists servers that have left since, and told on, it
        would bring them back at each daemon. The next answer holds all rows.
        """
        assert self.follower is not None
        if self.follower.read_version < self._freshness.version:
            return
        decoded = self._decode(rows)
        listed, refused = decoded.listed, decoded.refused
        self._refusals.record(rows, refused)
        changes: listing.Changes = {
            name: instance
            for name, instance in listed.items()
            if self._instances.get(name) != instance
        }
        # A server whose row turned bad is no longer named by anything: unlike
        # one whose entry lapsed, it does not come back by itself.
        changes.update(dict.fromkeys(self._instances.keys() & refused.keys()))
        self._missing = self._instances.keys() - listed.keys() - refused.keys()
        changes.update(self._pop_missing())
        self._apply(changes)
        self._announce(changes)

    def apply_changes(
        self, changes: listing.Changes, before: int, version: int
    ) -> None:
        """Takes in what a reader says has changed."""
        if not before <= self._freshness.version <= version:
            if version > self._freshness.version:
                self._freshness.record_newer_version(
                    now_ms=self._core.clock.now_ms()
                )
            return
        assert self.follower is not None
        if self._missing and version <= self.follower.read_version:
            # Older than what was read here, but for the entries kept back.
            # Taken in, it would put an older entry in the place of that.
            changes = {
                name: None
                for name, instance in changes.items()
                if instance is None and name in self._missing
            }
        else:
            # The list is whole with this: an entry that was kept back and is
            # not named here is listed again, and its reader has told the rest.
            self._missing = set()
            self._unpublished.clear()
        self._apply(changes)
        self._freshness.record_version(version)

    def drop_missing(self) -> None:
        """Takes servers for gone whose entries did not come back."""
        changes = self._pop_missing()
        self._apply(changes)
        assert self.follower is not None
        is_untold = self._freshness.version < self.follower.version
        if not self._missing and (changes or is_untold):
            self._announce(changes)

    def _announce(self, changes: listing.Changes) -> None:
        """Tells peers of changes, and of a newer list where that is all.

        While entries are kept back, what is known here is not the list at its
        newest version. Told as that, it would have peers drop other readers'
        word that those entries are gone, and go on with servers that have left.
        """
        assert self.follower is not None
        before = self._freshness.version
        self._unpublished.update(changes)
        if self._missing:
            self._publish(changes, before=before, version=before)
            return
        version = max(before, self.follower.version)
        untold, self._unpublished = self._unpublished, {}
        self._freshness.record_version(version)
        self._publish(untold, before=before, version=version)

    def _pop_missing(self) -> listing.Changes:
        """Returns the servers whose entries are gone for good.

        An entry lapses when its server can't renew it, also where the store
        was away and the server is well. Dropped at once, all servers of a
        target would be gone for two seconds after each outage.
        """
        follower = self.follower
        assert follower is not None
        now_ms = self._core.clock.now_ms()
        since_ms = now_ms - follower.recovered_at_ms
        if follower.failing_since_ms >= 0 or since_ms < MISSING_GRACE_MS:
            return {}
        gone, self._missing = self._missing, set()
        return dict.fromkeys(gone)

    def _apply(self, changes: listing.Changes) -> None:
        now_ms = self._core.clock.now_ms()
        for name, instance in changes.items():
            if instance is None:
                self._missing.discard(name)
                if self._instances.pop(name, None) is not None:
                    self._core.submit(
                        server_inputs.ServerListed(
                            at_ms=now_ms, server_id=name, gone=True
                        )
                    )
            elif self._instances.get(name) != instance:
                self._instances[name] = instance
                self._core.submit(listing.server_listed(instance, now_ms))

    def _publish(
        self, changes: listing.Changes, *, before: int, version: int
    ) -> None:
        if changes and self._is_reader():
            self._updates.publish_listed(
                changes, before=before, version=version
            )

    async def drop_missing_forever(self, *, every_ms: int) -> None:
        """Looks for entries that did not come back, again and again."""
        while True:
            await asyncio.sleep(every_ms / 1000)
            self.drop_missing()


__all__ = ["InstanceFollower"]
