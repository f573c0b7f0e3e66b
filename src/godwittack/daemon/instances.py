"""Reports backend servers in the store's rows to the core and other daemons."""

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

# Entries that expired while the store was unreachable are written again within
# two seconds of its recovery; those still missing after it are removed.
MISSING_GRACE_MS = 2_300


class InstanceFollower:
    """Reports servers that are added, changed and removed to the core.

    Readers of the list publish each change to the other daemons, with the
    list's version before and after it. A daemon that detects a gap between
    versions reads the list itself.

    Attributes:
        follower: Reads the rows of the list.
        on_applied: Called after changes were reported to the core.
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
        list_freshness: freshness.Freshness,
        is_reader: Callable[[], bool],
    ) -> None:
        """Starts without servers."""
        self._core = core
        self._decode = decode
        self._updates = updates
        self._freshness = list_freshness
        self._is_reader = is_reader
        self._instances: dict[str, protocol.Instance] = {}
        self._missing: set[str] = set()
        # Changes since the list version published last.
        self._unpublished: listing.Changes = {}
        self._refusals = instance_rows.RefusalLog(core.clock)
        self.follower: feed_follower.FeedFollower | None = None
        self.on_applied: Callable[[], None] = lambda: None
        updates.on_versioned_list = self.apply_changes

    def apply_rows(self, rows: Mapping[str, protocol.ChangedRow]) -> None:
        """Applies the rows of servers, as read by this daemon.

        Rows older than a peer's update are ignored: a delayed answer lists
        servers that have left since, and if it were published, every daemon
        would add them again. The next answer has all rows.
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
        # A server whose row became invalid is removed at once: unlike one
        # whose entry expired, it does not write its entry again by itself.
        changes.update(dict.fromkeys(self._instances.keys() & refused.keys()))
        self._missing = self._instances.keys() - listed.keys() - refused.keys()
        changes.update(self._pop_missing())
        self._apply(changes)
        self._announce(changes)

    def apply_changes(
        self, changes: listing.Changes, before: int, version: int
    ) -> None:
        """Applies changes of the list that a reader published.

        Args:
            changes: Instances by name, None for a removed one.
            before: Version of the list without the changes.
            version: Version of the list with the changes.
        """
        if not before <= self._freshness.version <= version:
            if version > self._freshness.version:
                self._freshness.record_newer_version(
                    now_ms=self._core.clock.now_ms()
                )
            return
        assert self.follower is not None
        if self._missing and version <= self.follower.read_version:
            # Older than the rows read here, except for the missing entries.
            # Fully applied, it would replace newer entries by older ones.
            changes = {
                name: None
                for name, instance in changes.items()
                if instance is None and name in self._missing
            }
        else:
            # The list is complete with these changes: a missing entry that
            # they do not remove is listed again, and the reader has published
            # the rest.
            self._missing = set()
            self._unpublished.clear()
        self._apply(changes)
        self._freshness.record_version(version)

    def drop_missing(self) -> None:
        """Removes servers whose missing entries were not written again."""
        changes = self._pop_missing()
        self._apply(changes)
        assert self.follower is not None
        is_unpublished = self._freshness.version < self.follower.version
        if not self._missing and (changes or is_unpublished):
            self._announce(changes)

    def _announce(self, changes: listing.Changes) -> None:
        """Publishes changes with the newest version of the list.

        While servers with missing entries are kept, the list here is not the
        one of the newest version. Published as such, it would make peers
        ignore other readers' updates that remove those entries, and they
        would continue to use servers that have left.
        """
        assert self.follower is not None
        before = self._freshness.version
        self._unpublished.update(changes)
        if self._missing:
            self._publish(changes, before=before, version=before)
            return
        version = max(before, self.follower.version)
        unpublished, self._unpublished = self._unpublished, {}
        self._freshness.record_version(version)
        self._publish(unpublished, before=before, version=version)

    def _pop_missing(self) -> listing.Changes:
        """Returns the servers whose entries are removed permanently.

        An entry expires when its server can't renew it, which also happens to
        healthy servers while the store is unreachable. If they were dropped at
        once, a target would lack all servers for two seconds after each
        outage.
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
        if changes:
            self.on_applied()

    def _publish(
        self, changes: listing.Changes, *, before: int, version: int
    ) -> None:
        if changes and self._is_reader():
            self._updates.publish_listed(
                changes, before=before, version=version
            )

    async def drop_missing_forever(self, *, every_ms: int) -> None:
        """Removes servers with missing entries periodically until cancelled."""
        while True:
            await asyncio.sleep(every_ms / 1000)
            self.drop_missing()


__all__ = ["InstanceFollower"]
