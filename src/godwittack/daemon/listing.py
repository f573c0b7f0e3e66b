"""Keeps a copy of the platform's instance list, read by a few daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import xxhash
from result import Err

from godwittack.core import server_inputs
from godwittack.member import assignment
from godwittack.store import protocol as platform

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.daemon import peer_updates, runtime, server_watcher
    from godwittack.member import view

Changes = dict[str, platform.Instance | None]

# Age up to which a reader sends the hash of the list that it read.
MAX_READING_AGE_MS = 5_000
# A daemon without contact to a reader for this long reads the list itself.
MAX_READER_SILENCE_MS = 60_000
# Time after which a change counts as missed while hashes differ.
MAX_UPDATE_DELAY_MS = 3_000


class ListWatcher:
    """Reads the list, or receives its changes from daemons that read it.

    Readers publish changes to all daemons, and send the hash of their list
    with their probes. A daemon whose own hash differs for longer than updates
    take has missed one, and reads the list once. So does one without contact
    to a reader: they may be cut off, or have all failed with a failure domain.
    """

    def __init__(
        self,
        *,
        instances: platform.InstanceList,
        core: runtime.Runtime,
        members: view.View,
        updates: peer_updates.PeerUpdates,
        streams: server_watcher.Streams,
        on_daemons_listed: Callable[[frozenset[str]], None],
    ) -> None:
        """Starts with an empty list.

        Args:
            instances: Reads the platform's instance list.
            core: Runs the core.
            members: This daemon's view of all daemons.
            updates: Publishes changes to peers and receives theirs.
            streams: Receive changes of backend servers.
            on_daemons_listed: Called with the addresses of the listed daemons.
        """
        self._instances = instances
        self._core = core
        self._members = members
        self._updates = updates
        self._streams = streams
        self._on_daemons_listed = on_daemons_listed
        self._instances_by_name: dict[str, platform.Instance] = {}
        self._hash = 0
        self._read_at_ms = -MAX_READER_SILENCE_MS
        self._reader_contact_ms = -MAX_READER_SILENCE_MS
        self._differs_since_ms = 0
        self._differing_hash = 0
        self._reader_ids = assignment.CachedAssignment(
            lambda live: frozenset(
                m.member_id for m in assignment.list_readers(live)
            )
        )
        updates.on_listed = self.apply_changes

    async def poll_forever(self, *, poll_ms: int) -> None:
        """Reads the list periodically while `must_read`, until cancelled."""
        while True:
            if self.must_read():
                await self.poll_once()
            await asyncio.sleep(poll_ms / 1000)

    def must_read(self) -> bool:
        """Returns whether to read the list now."""
        now_ms = self._core.clock.now_ms()
        has_missed = (
            self._differing_hash not in (0, self._hash)
            and now_ms - self._differs_since_ms >= MAX_UPDATE_DELAY_MS
        )
        is_silent = now_ms - self._reader_contact_ms >= MAX_READER_SILENCE_MS
        return has_missed or is_silent or self._is_reader()

    async def poll_once(self) -> None:
        """Reads the list once; keeps the last one if the platform fails."""
        result = await self._instances.instances()
        if isinstance(result, Err):
            return
        self._read_at_ms = self._core.clock.now_ms()
        self._differing_hash = 0
        changes = self._apply(
            {instance.name: instance for instance in result.ok_value}
        )
        if changes and self._is_reader() and not self._is_mesh():
            self._updates.publish_listed(changes)

    def apply_changes(self, changes: Changes) -> None:
        """Applies changes published by a reader."""
        listed = dict(self._instances_by_name)
        for name, instance in changes.items():
            if instance is None:
                listed.pop(name, None)
            else:
                listed[name] = instance
        self._apply(listed)

    def list_hash(self) -> int:
        """Returns the hash that this daemon sends as a reader; 0 for none."""
        age_ms = self._core.clock.now_ms() - self._read_at_ms
        if (
            age_ms > MAX_READING_AGE_MS
            or self._is_mesh()
            or not self._is_reader()
        ):
            return 0
        return self._hash

    def record_list_hash(self, sender_id: str, reported_hash: int) -> None:
        """Records the hash of the list that another daemon sent."""
        if sender_id not in self._readers():
            return
        now_ms = self._core.clock.now_ms()
        self._reader_contact_ms = now_ms
        if reported_hash == self._hash:
            self._differing_hash = 0
        elif self._differing_hash == 0:
            self._differs_since_ms = now_ms
            self._differing_hash = reported_hash

    def _is_reader(self) -> bool:
        return self._members.me.member_id in self._readers()

    def _readers(self) -> frozenset[str]:
        return self._reader_ids.among(self._members.live())

    def _is_mesh(self) -> bool:
        return len(self._members.live()) <= assignment.MESH_LIMIT

    def _apply(self, listed: dict[str, platform.Instance]) -> Changes:
        """Replaces the list and returns the changes."""
        changes: Changes = {
            name: instance
            for name, instance in listed.items()
            if self._instances_by_name.get(name) != instance
        }
        changes.update(
            dict.fromkeys(self._instances_by_name.keys() - listed.keys())
        )
        if not changes:
            return changes
        for name, instance in changes.items():
            self._report_to_core(name, instance)
        self._instances_by_name = listed
        self._hash = fingerprint(listed)
        self._on_daemons_listed(
            frozenset(
                instance.address
                for instance in listed.values()
                if instance.role is platform.InstanceRole.ENTRY
            )
        )
        return changes

    def _report_to_core(
        self, name: str, instance: platform.Instance | None
    ) -> None:
        now_ms = self._core.clock.now_ms()
        previous = self._instances_by_name.get(name)
        current = instance or previous
        if current is None or current.role is platform.InstanceRole.ENTRY:
            return
        self._streams.listed.on_next(
            server_inputs.ServerListed(at_ms=now_ms, server_id=name, gone=True)
            if instance is None
            else server_listed(instance, now_ms)
        )


def fingerprint(listed: dict[str, platform.Instance]) -> int:
    """Returns the hash by which daemons compare their lists, never 0."""
    text = "\n".join(repr(listed[name]) for name in sorted(listed))
    return xxhash.xxh3_64_intdigest(text.encode()) or 1


def server_listed(
    instance: platform.Instance, now_ms: int
) -> server_inputs.ServerListed:
    """Returns the core's input for a listed server."""
    return server_inputs.ServerListed(
        at_ms=now_ms,
        server_id=instance.name,
        address=instance.address,
        target=instance.target,
        failure_domain=instance.failure_domain,
        leaving=instance.leaving,
        incarnation=instance.incarnation,
        weights_version=instance.weights_version,
        slots=instance.slots,
        software_version=instance.software_version,
    )


__all__ = ["Changes", "ListWatcher", "fingerprint", "server_listed"]
