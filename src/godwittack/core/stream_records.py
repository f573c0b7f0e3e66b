"""Remembers which software version began a stream, and what served when."""

from __future__ import annotations

import dataclasses
import hashlib

KEY_BYTES = 16
# Beyond this number the oldest records are dropped.
MAX_RECORDS = 10_000
# Longest life of a stream over all tries of its client.
STREAM_LIFE_MS = 60_000
EXPIRY_INTERVAL_MS = 1_000


def stream_key(workspace: str, request_id: str) -> bytes:
    """Returns the key of the stream that a request began.

    The workspace is part of it: two may use the same id.

    Args:
        workspace: Workspace of the request.
        request_id: The caller's id of the request.
    """
    name = f"{len(workspace)}.{workspace}.{request_id}"
    return hashlib.blake2b(name.encode(), digest_size=KEY_BYTES).digest()


@dataclasses.dataclass(slots=True, kw_only=True)
class StreamRecord:
    """The version that began a stream.

    Attributes:
        target: Model of the stream.
        version: Software version; empty if two streams have the same id.
        expires_at_ms: When no caller can take the stream up any more.
        was_told: Whether this daemon has told others, or was told by one.
    """

    target: str
    version: str
    expires_at_ms: int
    was_told: bool = False


class StreamRecords:
    """Records of streams, bounded in number and in time."""

    def __init__(self) -> None:
        """Starts without records."""
        self._records: dict[bytes, StreamRecord] = {}
        self._next_expiry_ms = 0

    def __len__(self) -> int:
        """Returns the number of records."""
        return len(self._records)

    def add(self, key: bytes, record: StreamRecord) -> None:
        """Adds a record; the id of two versions gets none."""
        known = self._records.get(key)
        if known is not None:
            if known.version != record.version:
                known.version = ""
            known.expires_at_ms = max(known.expires_at_ms, record.expires_at_ms)
            return
        if len(self._records) >= MAX_RECORDS:
            self._records.pop(next(iter(self._records)))
        self._records[key] = record

    def find(self, key: bytes, *, now_ms: int) -> StreamRecord | None:
        """Returns the record of a stream, None if it is not known."""
        record = self._records.get(key)
        if record is None or record.expires_at_ms <= now_ms:
            return None
        return record

    def untold(
        self, target: str, *, now_ms: int
    ) -> list[tuple[bytes, StreamRecord]]:
        """Returns this daemon's streams that others have not been told of."""
        return [
            (key, record)
            for key, record in self._records.items()
            if not record.was_told
            and record.target == target
            and record.expires_at_ms > now_ms
        ]

    def expire(self, *, now_ms: int) -> None:
        """Drops expired records, once in a while."""
        if now_ms < self._next_expiry_ms:
            return
        self._next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
        expired = [
            key
            for key, record in self._records.items()
            if record.expires_at_ms <= now_ms
        ]
        for key in expired:
            del self._records[key]


@dataclasses.dataclass(slots=True)
class ServedVersions:
    """Software versions of a target's servers over the life of a stream.

    Attributes:
        known_since_ms: When this daemon first saw a server of the target.
        gone_at_ms: When a server of each version was last removed.
    """

    known_since_ms: int
    gone_at_ms: dict[str, int] = dataclasses.field(default_factory=dict)

    def recent(self, listed: set[str], *, now_ms: int) -> frozenset[str]:
        """Returns the versions that a stream of now may have begun at."""
        since_ms = now_ms - STREAM_LIFE_MS
        for version, gone_at_ms in list(self.gone_at_ms.items()):
            if gone_at_ms < since_ms:
                del self.gone_at_ms[version]
        return frozenset(listed | self.gone_at_ms.keys())

    def ambiguous_for_ms(self, listed: set[str], *, now_ms: int) -> int:
        """Returns when the listed version will be the only one for a stream."""
        since_ms = [
            gone_at_ms
            for version, gone_at_ms in self.gone_at_ms.items()
            if version not in listed
        ]
        newest_ms = max((self.known_since_ms, *since_ms))
        return max(0, newest_ms + STREAM_LIFE_MS - now_ms)

    def record_gone(self, version: str, at_ms: int) -> None:
        """Records when the last server of a version was removed."""
        self.gone_at_ms[version] = max(
            at_ms, self.gone_at_ms.get(version, at_ms)
        )

    def is_complete(self, *, now_ms: int) -> bool:
        """Returns whether this daemon has seen them all."""
        return now_ms - self.known_since_ms >= STREAM_LIFE_MS


__all__ = [
    "MAX_RECORDS",
    "STREAM_LIFE_MS",
    "ServedVersions",
    "StreamRecord",
    "StreamRecords",
    "stream_key",
]
