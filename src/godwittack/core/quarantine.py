"""Counts the server starts that ended under a request's content.

A request that crashes the server that runs it, and is sent again, takes one
server after the other from all callers. Load pattern: a caller repeats one
within seconds, at any daemon, each time under a new id.
"""

from __future__ import annotations

import collections
import dataclasses

import xxhash

# Server starts that must have ended under a content until it is quarantined.
# Requests that ran beside it are seldom with it three times.
CRASHES_TO_QUARANTINE = 3
# Crashes from which a content is kept beyond the daemons' lives. Kept from the
# third on only, a restart of all daemons between would begin the count anew.
CRASHES_TO_PERSIST = CRASHES_TO_QUARANTINE - 1
# A quarantine's first length; each further crash doubles it.
QUARANTINE_MS = 600_000
MAX_DOUBLINGS = 6
# Time after a content's last crash or quarantine for which it is remembered.
RETENTION_MS = 600_000
EXPIRY_INTERVAL_MS = 10_000
MAX_CONTENTS = 4_096
MAX_CRASHES_PER_CONTENT = 16
# Servers whose unnamed starts are counted.
MAX_SERVERS = 4_096
# Contents not in quarantine whose crashes are compared with other daemons.
MAX_EXCHANGED_CONTENTS = 128
_NUMBER_SEPARATOR = "#"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Crash:
    """A server start that ended while it ran a request.

    Attributes:
        content: What was asked and by whom.
        start: Names the start of the server, unique over all servers.
        reporter: Daemon that saw it.
        at_ms: When it was seen to end.
    """

    content: str
    start: str
    reporter: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Completion:
    """A run that ended without a crash, which proves a content harmless."""

    content: str
    at_ms: int


class Quarantine:
    """What is known of contents under which servers ended.

    Crashes form a set by content and start: told late, twice or in another
    order, they leave all daemons with the same contents in quarantine.
    """

    def __init__(self) -> None:
        """Knows of no crash."""
        self._rows: collections.OrderedDict[str, dict[str, Crash]] = (
            collections.OrderedDict()
        )
        self._completed_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._quarantined: set[str] = set()
        # Unnamed starts of a server that are known to have ended.
        self._ended: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._forgot_ms = 0
        self._digest: int | None = 0

    def __len__(self) -> int:
        """Returns how many contents are in quarantine."""
        return len(self._quarantined)

    def unnamed_start(self, server: str) -> str:
        """Returns a name for the present start of a server that has none.

        Starts are numbered by the crashes that are known. Daemons that know
        of the same ones number the next alike, so that a crash that several
        see counts once; one that has missed some may give an old number, and
        a crash is then counted with an earlier one.
        """
        number = self._ended.get(server, 0)
        return f"{server}{_NUMBER_SEPARATOR}{number}" if number else server

    def add(self, crash: Crash) -> bool:
        """Takes in a crash; returns whether it was news."""
        self._count_start(crash.start)
        if crash.at_ms <= self._completed_ms.get(crash.content, -1):
            return False
        row = self._rows.setdefault(crash.content, {})
        if crash.start in row or len(row) >= MAX_CRASHES_PER_CONTENT:
            return False
        row[crash.start] = crash
        self._digest = None
        self._rows.move_to_end(crash.content)
        if len(row) >= CRASHES_TO_QUARANTINE:
            self._quarantined.add(crash.content)
        self._bound()
        return True

    def _count_start(self, start: str) -> None:
        server, separator, number = start.rpartition(_NUMBER_SEPARATOR)
        if not separator or not number.isdecimal():
            server, number = start, "0"
        ended = int(number) + 1
        self._ended[server] = max(self._ended.get(server, 0), ended)
        if len(self._ended) > MAX_SERVERS:
            self._ended.popitem(last=False)

    def add_completion(self, done: Completion) -> bool:
        """Drops the crashes before a completed run; returns if there were."""
        row = self._rows.get(done.content)
        if row is None:
            return False
        newest_ms = self._completed_ms.get(done.content, done.at_ms)
        self._completed_ms[done.content] = max(newest_ms, done.at_ms)
        if len(self._completed_ms) > MAX_CONTENTS:
            self._completed_ms.popitem(last=False)
        self._digest = None
        before = len(row)
        kept = {s: c for s, c in row.items() if c.at_ms > done.at_ms}
        self._rows[done.content] = kept
        if not kept:
            del self._rows[done.content]
        if len(kept) < CRASHES_TO_QUARANTINE:
            self._quarantined.discard(done.content)
        return len(kept) < before

    def crashes(self, content: str) -> tuple[Crash, ...]:
        """Returns the crashes known of a content."""
        return tuple(self._rows.get(content, {}).values())

    def is_persisted(self, content: str) -> bool:
        """Returns whether a content's crashes are kept beyond this process."""
        return len(self._rows.get(content, {})) >= CRASHES_TO_PERSIST

    def until_ms(self, content: str) -> int:
        """Returns when a content's quarantine ends; 0 where it has none."""
        if content not in self._quarantined:
            return 0
        row = self._rows[content]
        doublings = min(len(row) - CRASHES_TO_QUARANTINE, MAX_DOUBLINGS)
        last_ms = max(crash.at_ms for crash in row.values())
        return last_ms + QUARANTINE_MS * 2**doublings

    def crashes_to_exchange(self) -> tuple[Crash, ...]:
        """Returns what other daemons should know as well.

        All crashes of contents in quarantine, and those of the contents of
        which crashes were told last.
        """
        others = [c for c in self._rows if c not in self._quarantined]
        contents = [*self._quarantined, *others[-MAX_EXCHANGED_CONTENTS:]]
        return tuple(
            crash for content in contents for crash in self.crashes(content)
        )

    def completions(self) -> tuple[Completion, ...]:
        """Returns the completed runs that took crashes back."""
        return tuple(
            Completion(content=c, at_ms=t)
            for c, t in self._completed_ms.items()
        )

    def digest(self) -> int:
        """Returns a number that is equal where the same is known."""
        if self._digest is None:
            self._digest = 0
            for crash in self.crashes_to_exchange():
                named = f"{crash.content}\n{crash.start}".encode()
                self._digest ^= xxhash.xxh3_64_intdigest(named)
        return self._digest

    def expire(self, *, now_ms: int) -> None:
        """Drops contents whose last crash or quarantine is long over."""
        if now_ms - self._forgot_ms < EXPIRY_INTERVAL_MS:
            return
        self._forgot_ms = now_ms
        for content, row in list(self._rows.items()):
            last_ms = max(crash.at_ms for crash in row.values())
            ends_ms = max(last_ms, self.until_ms(content))
            if now_ms - ends_ms > RETENTION_MS:
                self._drop(content)
        while self._completed_ms:
            oldest = next(iter(self._completed_ms))
            if now_ms - self._completed_ms[oldest] <= RETENTION_MS:
                break
            del self._completed_ms[oldest]

    def _bound(self) -> None:
        while len(self._rows) > MAX_CONTENTS:
            oldest = next(
                (c for c in self._rows if c not in self._quarantined),
                next(iter(self._rows)),
            )
            self._drop(oldest)

    def _drop(self, content: str) -> None:
        self._digest = None
        del self._rows[content]
        self._quarantined.discard(content)


__all__ = [
    "CRASHES_TO_PERSIST",
    "RETENTION_MS",
    "CRASHES_TO_QUARANTINE",
    "Completion",
    "Crash",
    "Quarantine",
]
