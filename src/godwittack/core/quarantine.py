"""Counts server crashes by the content of the requests that were running.

A request that crashes its server, and is sent again, takes down one server
after the other for all callers. Load pattern: a caller repeats such a request
within seconds, at any daemon, each time under a new id.
"""

from __future__ import annotations

import collections
import dataclasses

import xxhash

# Crashes after which a content is quarantined. Other requests rarely happen to
# run beside it three times.
CRASHES_TO_QUARANTINE = 3
# Crashes after which a content is also stored, to outlive the daemons. If this
# were the third one, a restart of all daemons before it would reset the count.
CRASHES_TO_PERSIST = CRASHES_TO_QUARANTINE - 1
# Length of the first quarantine; each further crash doubles it.
QUARANTINE_MS = 600_000
MAX_DOUBLINGS = 6
# Time after a content's last crash or quarantine for which it is remembered.
RETENTION_MS = 600_000
EXPIRY_INTERVAL_MS = 10_000
MAX_CONTENTS = 4_096
MAX_CRASHES_PER_CONTENT = 16
# Servers whose unnamed incarnations are counted.
MAX_SERVERS = 4_096
# Contents not in quarantine whose crashes are exchanged with other daemons.
MAX_EXCHANGED_CONTENTS = 128
_NUMBER_SEPARATOR = "#"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Crash:
    """A server incarnation that ended while it ran a request.

    Attributes:
        content: Identifies what was requested and by which workspace.
        start: Name of the incarnation, unique over all servers.
        reporter: Daemon that observed the crash.
        at_ms: When the crash was observed.
    """

    content: str
    start: str
    reporter: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Completion:
    """A run without a crash, which proves a content harmless."""

    content: str
    at_ms: int


class Quarantine:
    """The crashes known by content, and the contents in quarantine.

    Crashes form a set by content and incarnation: received late, twice or in
    another order, they leave all daemons with the same contents in quarantine.
    """

    def __init__(self) -> None:
        """Starts without crashes."""
        self._crashes: collections.OrderedDict[str, dict[str, Crash]] = (
            collections.OrderedDict()
        )
        self._completed_at_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._quarantined: set[str] = set()
        # Unnamed incarnations known to have ended, by server.
        self._ended_counts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._expired_at_ms = 0
        self._digest: int | None = 0

    def __len__(self) -> int:
        """Returns how many contents are in quarantine."""
        return len(self._quarantined)

    def numbered_incarnation(self, server: str) -> str:
        """Returns an id for the current incarnation of a server without one.

        Incarnations are numbered by the known crashes. Daemons that know the
        same crashes assign the same next number, so that a crash observed by
        several daemons counts once; a daemon that has missed some may assign
        an old number, and the crash is then counted as an earlier one.
        """
        number = self._ended_counts.get(server, 0)
        return f"{server}{_NUMBER_SEPARATOR}{number}" if number else server

    def add(self, crash: Crash) -> bool:
        """Adds a crash; returns whether it was new."""
        self._count_ended_incarnation(crash.start)
        if crash.at_ms <= self._completed_at_ms.get(crash.content, -1):
            return False
        by_incarnation = self._crashes.setdefault(crash.content, {})
        if (
            crash.start in by_incarnation
            or len(by_incarnation) >= MAX_CRASHES_PER_CONTENT
        ):
            return False
        by_incarnation[crash.start] = crash
        self._digest = None
        self._crashes.move_to_end(crash.content)
        if len(by_incarnation) >= CRASHES_TO_QUARANTINE:
            self._quarantined.add(crash.content)
        self._evict_excess()
        return True

    def _count_ended_incarnation(self, incarnation: str) -> None:
        server, separator, number = incarnation.rpartition(_NUMBER_SEPARATOR)
        if not separator or not number.isdecimal():
            server, number = incarnation, "0"
        ended = int(number) + 1
        self._ended_counts[server] = max(
            self._ended_counts.get(server, 0), ended
        )
        if len(self._ended_counts) > MAX_SERVERS:
            self._ended_counts.popitem(last=False)

    def add_completion(self, completion: Completion) -> bool:
        """Drops crashes before a completed run; returns whether any were."""
        by_incarnation = self._crashes.get(completion.content)
        if by_incarnation is None:
            return False
        newest_ms = self._completed_at_ms.get(
            completion.content, completion.at_ms
        )
        self._completed_at_ms[completion.content] = max(
            newest_ms, completion.at_ms
        )
        if len(self._completed_at_ms) > MAX_CONTENTS:
            self._completed_at_ms.popitem(last=False)
        self._digest = None
        count_before = len(by_incarnation)
        remaining = {
            name: crash
            for name, crash in by_incarnation.items()
            if crash.at_ms > completion.at_ms
        }
        self._crashes[completion.content] = remaining
        if not remaining:
            del self._crashes[completion.content]
        if len(remaining) < CRASHES_TO_QUARANTINE:
            self._quarantined.discard(completion.content)
        return len(remaining) < count_before

    def crashes(self, content: str) -> tuple[Crash, ...]:
        """Returns the known crashes of a content."""
        return tuple(self._crashes.get(content, {}).values())

    def is_persisted(self, content: str) -> bool:
        """Returns whether a content's crashes outlive this process."""
        return len(self._crashes.get(content, {})) >= CRASHES_TO_PERSIST

    def until_ms(self, content: str) -> int:
        """Returns when a content's quarantine ends; 0 if it has none."""
        if content not in self._quarantined:
            return 0
        by_incarnation = self._crashes[content]
        doublings = min(
            len(by_incarnation) - CRASHES_TO_QUARANTINE, MAX_DOUBLINGS
        )
        last_ms = max(crash.at_ms for crash in by_incarnation.values())
        return last_ms + QUARANTINE_MS * 2**doublings

    def crashes_to_exchange(self) -> tuple[Crash, ...]:
        """Returns the crashes that other daemons should know as well.

        These are all crashes of contents in quarantine, and those of the other
        contents with the latest crashes.
        """
        others = [c for c in self._crashes if c not in self._quarantined]
        contents = [*self._quarantined, *others[-MAX_EXCHANGED_CONTENTS:]]
        return tuple(
            crash for content in contents for crash in self.crashes(content)
        )

    def completions(self) -> tuple[Completion, ...]:
        """Returns the completed runs that cleared crashes."""
        return tuple(
            Completion(content=c, at_ms=t)
            for c, t in self._completed_at_ms.items()
        )

    def digest(self) -> int:
        """Returns a hash that is equal where the same crashes are known."""
        if self._digest is None:
            self._digest = 0
            for crash in self.crashes_to_exchange():
                key = f"{crash.content}\n{crash.start}".encode()
                self._digest ^= xxhash.xxh3_64_intdigest(key)
        return self._digest

    def expire(self, *, now_ms: int) -> None:
        """Drops contents whose last crash or quarantine is long past."""
        if now_ms - self._expired_at_ms < EXPIRY_INTERVAL_MS:
            return
        self._expired_at_ms = now_ms
        for content, by_incarnation in list(self._crashes.items()):
            last_ms = max(crash.at_ms for crash in by_incarnation.values())
            ends_at_ms = max(last_ms, self.until_ms(content))
            if now_ms - ends_at_ms > RETENTION_MS:
                self._drop(content)
        while self._completed_at_ms:
            oldest = next(iter(self._completed_at_ms))
            if now_ms - self._completed_at_ms[oldest] <= RETENTION_MS:
                break
            del self._completed_at_ms[oldest]

    def _evict_excess(self) -> None:
        while len(self._crashes) > MAX_CONTENTS:
            oldest = next(
                (c for c in self._crashes if c not in self._quarantined),
                next(iter(self._crashes)),
            )
            self._drop(oldest)

    def _drop(self, content: str) -> None:
        self._digest = None
        del self._crashes[content]
        self._quarantined.discard(content)


__all__ = [
    "CRASHES_TO_PERSIST",
    "CRASHES_TO_QUARANTINE",
    "RETENTION_MS",
    "Completion",
    "Crash",
    "Quarantine",
]
