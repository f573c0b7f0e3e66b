"""Counts server crashes by what the requests held that were running.

A request that crashes its server, and is sent again, takes down one server
after the other for all callers. Load patterns: a caller repeats such a request
within seconds, at any daemon, each time under a new id; callers send requests
that share one part of their prompts, no two alike.

A crash counts against each key of `suspects`. A run without a crash clears a
whole request; of parts, `evidence` weighs crashes against completed runs.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
from typing import TYPE_CHECKING

import xxhash

from godwittack import digits
from godwittack.core import evidence, recent_runs, suspects

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

# Crashes after which a content is quarantined. Other requests rarely happen to
# run beside it three times.
CRASHES_TO_QUARANTINE = 3
# Crashes after which a content is also stored, to outlive the daemons. If this
# were the third one, a restart of all daemons before it would reset the count.
CRASHES_TO_PERSIST = CRASHES_TO_QUARANTINE - 1
# Crashes of a part after which daemons announce the completed runs with it.
CRASHES_TO_ANNOUNCE_RUNS = 2
# Least time between two announcements of the runs on a target.
ANNOUNCE_INTERVAL_MS = 500
# Length of the first quarantine; each crash after a quarantine doubles it.
QUARANTINE_MS = 600_000
MAX_DOUBLINGS = 6
# Length of the quarantine of a content whose servers all ended at one time:
# they may have one cause of their own, and one more run tells.
TRIAL_AFTER_MS = 2_000
# Time for which a server is taken to have been silent before its end, and runs
# to have lasted, where the record of a crash doesn't say.
UNKNOWN_MS = 6_000
# Time for which parts must look harmful before they are refused: the completed
# runs that other daemons announce arrive after the crashes.
SETTLE_MS = 300
# Least time between two weighings of all parts.
WEIGH_INTERVAL_MS = 100
# Time after a content's last crash or quarantine for which it is remembered.
RETENTION_MS = 600_000
EXPIRY_INTERVAL_MS = 10_000
# Keys whose crashes are remembered.
MAX_CONTENTS = 4_096
MAX_CRASHES_PER_KEY = 16
MAX_CRASHES_PER_PART = 128
MAX_COMPLETIONS_PER_KEY = 512
# Servers whose unnamed incarnations are counted.
MAX_SERVERS = 4_096
# Reports of runs that crashes have broken, by target.
MAX_BROKEN = 1_024
# Keys with a single crash that are exchanged with other daemons.
MAX_EXCHANGED_KEYS = 128
# Announcements of completed runs that are exchanged, by key.
MAX_EXCHANGED_COMPLETIONS = 32
# Reporter of what was read from the store.
STORED = "stored"
_NUMBER_SEPARATOR = "#"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Crash:
    """A server incarnation that ended while it ran a request.

    Attributes:
        content: Key of what the request held.
        start: Name of the incarnation, unique over all servers.
        reporter: Daemon that observed the crash.
        at_ms: When the crash was observed.
        runs: Runs with the key that the reporter lost.
        silent_ms: Time before `at_ms` in which the server may have ended
            already; 0 where a connection closed.
        run_ms: How long the longest of these runs had lasted.
    """

    content: str
    start: str
    reporter: str
    at_ms: int
    runs: int = 1
    silent_ms: int = 0
    run_ms: int = UNKNOWN_MS

    def with_run(self, run_ms: int) -> Crash:
        """Returns the crash with one more broken run."""
        if run_ms <= self.run_ms:
            return self
        return dataclasses.replace(self, run_ms=run_ms)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Completion:
    """Runs without a crash, which speak for what they held.

    Attributes:
        content: Key of what the requests held.
        at_ms: When the last of them completed.
        reporter: Daemon that observed them.
        number: Number of the announcement, by key and reporter.
        count: Number of runs.
    """

    content: str
    at_ms: int
    reporter: str = ""
    number: int = 0
    count: int = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BrokenRun:
    """A run that was cut short; a crash if its server's process has ended.

    Attributes:
        keys: Keys of what the request held.
        start: Name of the server's incarnation.
        at_ms: When the connection closed, or was found silent.
        target: Model or service of the server.
        is_answered: Whether the answer may be whole: its end had no mark.
        is_silent: Whether its connection was only silent.
        silent_ms: Time since its server's last sign of life, if it was.
        run_ms: How long it had lasted.
    """

    keys: tuple[str, ...]
    start: str
    at_ms: int
    target: str
    is_answered: bool = False
    is_silent: bool = False
    silent_ms: int = 0
    run_ms: int = UNKNOWN_MS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """Sets of parts that were put into quarantine, and that left it."""

    added: frozenset[frozenset[str]] = frozenset()
    lifted: frozenset[frozenset[str]] = frozenset()


class Quarantine:
    """The crashes known by key, and what is in quarantine.

    Crashes form a set by key and incarnation: received late, twice or in
    another order, they leave all daemons with the same view.
    """

    def __init__(self) -> None:
        """Starts without crashes."""
        self._recent = recent_runs.RecentRuns(window_ms=evidence.HISTORY_MS)
        self._crashes: collections.OrderedDict[str, dict[str, Crash]] = (
            collections.OrderedDict()
        )
        self._completed_at_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # Runs that crashes have broken, by the key of a target, incarnation and
        # reporter.
        self._broken: dict[str, dict[tuple[str, str], Crash]] = {}
        # Completed runs of a part or target, by its key, reporter and number.
        self._completions: dict[str, dict[tuple[str, int], Completion]] = {}
        # Runs that completed here since a key's first crash, or since they were
        # announced last.
        self._runs_since_crash: dict[str, int] = {}
        self._announced_numbers: dict[str, int] = {}
        self._announced_at_ms: dict[str, int] = {}
        self._quarantined: set[str] = set()
        # Sets of parts that are refused if held together, and since when each
        # part looks harmful.
        self._harmful_since_ms: dict[str, int] = {}
        self._harmful: frozenset[frozenset[str]] = frozenset()
        self._is_settled = True
        self._weighed_at_ms = -WEIGH_INTERVAL_MS
        # Parts that look harmful to some degree.
        self._doubtful: set[str] = set()
        # Unnamed incarnations known to have ended, by server.
        self._ended_counts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._expired_at_ms = 0
        self._digest: int | None = 0

    def __len__(self) -> int:
        """Returns how many contents and sets of parts are in quarantine."""
        return len(self._quarantined) + len(self._harmful)

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
        key = crash.content
        if suspects.is_target(key):
            return self._add_broken(crash)
        if crash.at_ms <= self._completed_at_ms.get(key, -1):
            return False
        by_incarnation = self._crashes.setdefault(key, {})
        is_part = suspects.is_part(key)
        limit = MAX_CRASHES_PER_PART if is_part else MAX_CRASHES_PER_KEY
        known = by_incarnation.get(crash.start)
        if known is not None:
            by_incarnation[crash.start] = known.with_run(crash.run_ms)
            return False
        if len(by_incarnation) >= limit:
            return False
        by_incarnation[crash.start] = crash
        self._digest = None
        self._crashes.move_to_end(key)
        if is_part:
            self._runs_since_crash.setdefault(key, 0)
            self._is_settled = False
        elif len(by_incarnation) >= CRASHES_TO_QUARANTINE:
            self._quarantined.add(key)
        self._evict_excess()
        return True

    def _add_broken(self, crash: Crash) -> bool:
        """Adds the runs on a target that a crash has broken at a daemon."""
        broken = self._broken.setdefault(crash.content, {})
        name = (crash.start, crash.reporter)
        if name in broken:
            return False
        broken[name] = crash
        if len(broken) > MAX_BROKEN:
            del broken[next(iter(broken))]
        self._runs_since_crash.setdefault(crash.content, 0)
        self._is_settled = False
        return True

    def _count_ended_incarnation(self, incarnation: str) -> None:
        server, separator, number = incarnation.rpartition(_NUMBER_SEPARATOR)
        ended = digits.parse(number) if separator else None
        if ended is None:
            server, ended = incarnation, 0
        ended += 1
        self._ended_counts[server] = max(
            self._ended_counts.get(server, 0), ended
        )
        if len(self._ended_counts) > MAX_SERVERS:
            self._ended_counts.popitem(last=False)

    def add_completion(self, completion: Completion) -> bool:
        """Adds completed runs; returns whether they change anything.

        They drop the earlier crashes of a content.
        """
        key = completion.content
        if key in self._runs_since_crash:
            return self._add_counted(completion)
        by_incarnation = self._crashes.get(key)
        if by_incarnation is None:
            return False
        newest_ms = self._completed_at_ms.get(key, completion.at_ms)
        self._completed_at_ms[key] = max(newest_ms, completion.at_ms)
        if len(self._completed_at_ms) > MAX_CONTENTS:
            self._completed_at_ms.popitem(last=False)
        self._digest = None
        count_before = len(by_incarnation)
        remaining = {
            name: crash
            for name, crash in by_incarnation.items()
            if crash.at_ms > completion.at_ms
        }
        self._crashes[key] = remaining
        if not remaining:
            del self._crashes[key]
        if len(remaining) < CRASHES_TO_QUARANTINE:
            self._quarantined.discard(key)
        return len(remaining) < count_before

    def _add_counted(self, completion: Completion) -> bool:
        known = self._completions.setdefault(completion.content, {})
        name = (completion.reporter, completion.number)
        if name in known:
            return False
        known[name] = completion
        if len(known) > MAX_COMPLETIONS_PER_KEY:
            # The oldest ones matter least for the crashes since.
            del known[min(known, key=lambda name: known[name].at_ms)]
        self._is_settled = False
        return True

    def add_run(
        self, target: str, parts: Iterable[str], *, now_ms: int
    ) -> None:
        """Counts a run that completed at this daemon."""
        keys = (suspects.target_key(target), *parts)
        self._recent.add(keys, now_ms=now_ms)
        if not self._runs_since_crash:
            return
        for key in keys:
            if key in self._runs_since_crash:
                self._runs_since_crash[key] += 1

    def runs_to_announce(
        self, key: str, *, reporter: str, now_ms: int
    ) -> tuple[Completion, ...]:
        """Returns this daemon's runs with a key that has crashes.

        Most of them completed before the last crash, and are counted there;
        those before the first one are counted separately.
        """
        crashes = self._known_crashes(key)
        starts = {crash.start for crash in crashes}
        if len(starts) < CRASHES_TO_ANNOUNCE_RUNS:
            return ()
        since = self._runs_since_crash.get(key, 0)
        last_ms = max(crash.at_ms for crash in crashes)
        counts = [(since, last_ms - evidence.REPORT_DELAY_MS)]
        if key not in self._announced_numbers:
            self._announced_numbers[key] = 0
            first_ms = min(crash.at_ms for crash in crashes)
            before = self._recent.count(key, now_ms=now_ms) - since
            # Other daemons may know of earlier crashes.
            counts.insert(0, (before, first_ms - evidence.TOGETHER_MS))
        elif suspects.is_target(key):
            announced_ms = self._announced_at_ms.get(key, 0)
            if now_ms - announced_ms < ANNOUNCE_INTERVAL_MS:
                return ()
        self._announced_at_ms[key] = now_ms
        self._runs_since_crash[key] = 0
        return tuple(
            self._next_completion(key, reporter, count=count, at_ms=at_ms)
            for count, at_ms in counts
            if count > 0
        )

    def run_to_announce(
        self, key: str, *, reporter: str, now_ms: int
    ) -> Completion | None:
        """Returns the announcement of a run with a part; None if needless."""
        if key not in self._doubtful or key not in self._announced_numbers:
            return None
        count = self._runs_since_crash[key]
        self._runs_since_crash[key] = 0
        if not count:
            return None
        return self._next_completion(key, reporter, count=count, at_ms=now_ms)

    def _next_completion(
        self, key: str, reporter: str, *, count: int, at_ms: int
    ) -> Completion:
        self._announced_numbers[key] += 1
        return Completion(
            content=key,
            at_ms=at_ms,
            reporter=reporter,
            number=self._announced_numbers[key],
            count=count,
        )

    def settle(self, *, now_ms: int) -> Changes:
        """Decides which sets of parts are in quarantine."""
        if self._is_settled or now_ms - self._weighed_at_ms < WEIGH_INTERVAL_MS:
            return Changes()
        self._weighed_at_ms = now_ms
        found = self._find_harmful()
        keys = frozenset().union(*found)
        self._harmful_since_ms = {
            key: self._harmful_since_ms.get(key, now_ms) for key in keys
        }
        before = self._harmful
        self._harmful = frozenset(
            parts
            for parts in found
            if now_ms - min(self._harmful_since_ms[key] for key in parts)
            >= SETTLE_MS
        )
        self._is_settled = len(self._harmful) == len(found)
        return Changes(
            added=self._harmful - before, lifted=before - self._harmful
        )

    def _find_harmful(self) -> list[frozenset[str]]:
        by_target: dict[str, list[evidence.PartEvidence]] = {}
        for key, by_incarnation in self._crashes.items():
            if len(by_incarnation) < evidence.CRASHES_TO_BLAME:
                continue
            if suspects.is_part(key):
                target = suspects.target_of(key)
                by_target.setdefault(target, []).append(self._evidence(key))
        harmful: list[frozenset[str]] = []
        self._doubtful.clear()
        for target, parts in by_target.items():
            found = evidence.weigh(parts, self._usual_runs(target))
            self._doubtful.update(found.doubtful)
            harmful.extend(found.harmful)
        return harmful

    def _evidence(self, key: str) -> evidence.PartEvidence:
        completions = self._completions.get(key, {}).values()
        return evidence.PartEvidence(key, self.crashes(key), completions)

    def _usual_runs(self, target: str) -> evidence.UsualRuns:
        key = suspects.target_key(target)
        completions = self._completions.get(key, {}).values()
        return evidence.UsualRuns(self._known_crashes(key), completions)

    def _known_crashes(self, key: str) -> tuple[Crash, ...]:
        if suspects.is_target(key):
            return tuple(self._broken.get(key, {}).values())
        return self.crashes(key)

    def stored_context(
        self, key: str
    ) -> tuple[tuple[Crash, ...], tuple[Completion, ...]]:
        """Returns, summed up, what the crashes of a part are weighed against.

        It is stored with the crashes of a part in quarantine, so that daemons
        without a history come to the same conclusion.
        """
        if not suspects.is_part(key) or key not in self._crashes:
            return (), ()
        target = suspects.target_key(suspects.target_of(key))
        lost: dict[str, list[Crash]] = {}
        for crash in self._known_crashes(target):
            lost.setdefault(crash.start, []).append(crash)
        broken = tuple(
            Crash(
                content=target,
                start=start,
                reporter=STORED,
                at_ms=min(crash.at_ms for crash in found),
                runs=sum(crash.runs for crash in found),
            )
            for start, found in lost.items()
        )
        first_ms = min(crash.at_ms for crash in self.crashes(key))
        completions = tuple(
            Completion(
                content=counted,
                at_ms=first_ms - evidence.TOGETHER_MS,
                reporter=STORED,
                count=self.completed_count(counted),
            )
            for counted in (key, target)
            if self.completed_count(counted)
        )
        return broken[-MAX_CRASHES_PER_KEY:], completions

    def crashes(self, key: str) -> tuple[Crash, ...]:
        """Returns the known crashes of a key."""
        return tuple(self._crashes.get(key, {}).values())

    def time_count(self, key: str) -> int:
        """Returns at how many times servers crashed that ran a key."""
        times_ms = evidence.separate_times_ms(
            self.crashes(key), counts_sends=suspects.is_content(key)
        )
        return len(times_ms)

    def completed_count(self, key: str) -> int:
        """Returns how many runs with a part are known to have completed."""
        known = self._completions.get(key, {})
        return sum(completion.count for completion in known.values())

    def is_persisted(self, key: str) -> bool:
        """Returns whether a key's crashes outlive this process."""
        if suspects.is_part(key):
            return any(key in parts for parts in self._harmful)
        return len(self._crashes.get(key, {})) >= CRASHES_TO_PERSIST

    def would_blame(
        self, key: str, more_starts: set[str], *, now_ms: int
    ) -> bool:
        """Returns whether further crashes would put a key into quarantine.

        Args:
            key: Key of what a request holds.
            more_starts: Incarnations that may have crashed on it.
            now_ms: Current time.
        """
        known = self._crashes.get(key, {})
        more = [
            Crash(content=key, start=start, reporter="", at_ms=now_ms)
            for start in more_starts
            if start not in known
        ]
        if len(known) + len(more) < CRASHES_TO_QUARANTINE:
            return False
        if not suspects.is_part(key):
            return True
        part = self._evidence(key).with_crashes((*known.values(), *more))
        usual = self._usual_runs(suspects.target_of(key))
        return evidence.score(part, usual) >= evidence.BLAME_SCORE

    def harmful_parts(self) -> frozenset[frozenset[str]]:
        """Returns the sets of parts that are refused if held together."""
        return self._harmful

    def blamed(self, keys: Collection[str]) -> frozenset[str]:
        """Returns those of a request's keys for which it is in quarantine."""
        if not len(self):
            return frozenset()
        held = frozenset(keys)
        contents = held & self._quarantined
        if contents:
            return contents
        found = [parts for parts in self._harmful if parts <= held]
        return max(found, key=self._parts_until_ms, default=frozenset())

    def until_ms(self, *keys: str) -> int:
        """Returns when the quarantine of a request's keys ends; 0 for none."""
        blamed = self.blamed(keys)
        if not blamed:
            return 0
        if suspects.is_part(next(iter(blamed))):
            return self._parts_until_ms(blamed)
        return max(map(self._content_until_ms, blamed))

    def _content_until_ms(self, content: str) -> int:
        """Returns when a content may be sent again.

        Servers that end together, as in a loss of power, end with all that
        they run: this says little about any of it.
        """
        crashes = self.crashes(content)
        if self.time_count(content) < evidence.TIMES_TO_BLAME:
            return max(crash.at_ms for crash in crashes) + TRIAL_AFTER_MS
        return _until_ms(crash.at_ms for crash in crashes)

    def _parts_until_ms(self, parts: frozenset[str]) -> int:
        """Returns when parts may be sent again."""
        return _until_ms(
            crash.at_ms for key in parts for crash in self.crashes(key)
        )

    def crashes_to_exchange(self) -> tuple[Crash, ...]:
        """Returns the crashes that other daemons should know as well.

        These are all crashes of keys with several, and those of some other
        keys: the same ones at all daemons that know the same.
        """
        several = [
            k for k, crashes in self._crashes.items() if len(crashes) > 1
        ]
        single = [
            k for k, crashes in self._crashes.items() if len(crashes) == 1
        ]
        keys = [*several, *heapq.nsmallest(MAX_EXCHANGED_KEYS, single)]
        return tuple(crash for key in keys for crash in self.crashes(key))

    def broken_runs(self) -> tuple[Crash, ...]:
        """Returns the runs that crashes have broken, by target."""
        return tuple(
            crash for known in self._broken.values() for crash in known.values()
        )

    def completions(self) -> tuple[Completion, ...]:
        """Returns the completed runs that speak for keys with crashes.

        Of many announcements those with most runs are returned.
        """
        contents = tuple(
            Completion(content=c, at_ms=t)
            for c, t in self._completed_at_ms.items()
        )
        parts = tuple(
            completion
            for known in self._completions.values()
            for completion in heapq.nlargest(
                MAX_EXCHANGED_COMPLETIONS,
                known.values(),
                key=lambda completion: completion.count,
            )
        )
        return contents + parts

    def digest(self) -> int:
        """Returns a hash that is equal where the same crashes are known."""
        if self._digest is None:
            self._digest = 0
            for crash in self.crashes_to_exchange():
                key = f"{crash.content}\n{crash.start}".encode()
                self._digest ^= xxhash.xxh3_64_intdigest(key)
        return self._digest

    def expire(self, *, now_ms: int) -> None:
        """Drops keys whose last crash or quarantine is long past."""
        if now_ms - self._expired_at_ms < EXPIRY_INTERVAL_MS:
            return
        self._expired_at_ms = now_ms
        for key, by_incarnation in list(self._crashes.items()):
            last_ms = max(crash.at_ms for crash in by_incarnation.values())
            ends_at_ms = max(last_ms, self._longest_until_ms(key))
            if now_ms - ends_at_ms > RETENTION_MS:
                self._drop(key)
        while self._completed_at_ms:
            oldest = next(iter(self._completed_at_ms))
            if now_ms - self._completed_at_ms[oldest] <= RETENTION_MS:
                break
            del self._completed_at_ms[oldest]
        for target, broken in list(self._broken.items()):
            last_ms = max(crash.at_ms for crash in broken.values())
            if now_ms - last_ms > RETENTION_MS:
                del self._broken[target]
                self._forget_runs(target)

    def _longest_until_ms(self, key: str) -> int:
        if key in self._quarantined:
            return self._content_until_ms(key)
        sets = [parts for parts in self._harmful if key in parts]
        return max(map(self._parts_until_ms, sets), default=0)

    def _evict_excess(self) -> None:
        """Drops the oldest keys, first those with a single crash."""
        while len(self._crashes) > MAX_CONTENTS:
            refused = self._quarantined.union(*self._harmful)
            oldest = next(
                (k for k, found in self._crashes.items() if len(found) == 1),
                None,
            ) or next(
                (k for k in self._crashes if k not in refused),
                next(iter(self._crashes)),
            )
            self._drop(oldest)

    def _drop(self, key: str) -> None:
        self._digest = None
        del self._crashes[key]
        self._quarantined.discard(key)
        self._forget_runs(key)

    def _forget_runs(self, key: str) -> None:
        self._completions.pop(key, None)
        self._runs_since_crash.pop(key, None)
        self._announced_numbers.pop(key, None)
        self._announced_at_ms.pop(key, None)
        self._doubtful.discard(key)
        self._is_settled = False


def _until_ms(crashes_ms: Iterable[int]) -> int:
    """Returns when a quarantine for crashes ends; 0 without crashes.

    Several crashes happen before the first quarantine; only those after a
    quarantine make the next one longer.
    """
    times_ms = sorted(crashes_ms)
    if not times_ms:
        return 0
    ended = sum(
        later_ms - earlier_ms >= QUARANTINE_MS
        for earlier_ms, later_ms in itertools.pairwise(times_ms)
    )
    return times_ms[-1] + QUARANTINE_MS * 2 ** min(ended, MAX_DOUBLINGS)


__all__ = [
    "CRASHES_TO_PERSIST",
    "CRASHES_TO_QUARANTINE",
    "RETENTION_MS",
    "STORED",
    "TRIAL_AFTER_MS",
    "UNKNOWN_MS",
    "BrokenRun",
    "Changes",
    "Completion",
    "Crash",
    "Quarantine",
]
