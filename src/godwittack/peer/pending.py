"""What a daemon has to tell to one other daemon."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.core import effects, inputs, quarantine, server_inputs
    from godwittack.store import protocol as platform

MAX_DIGESTS = 64


@dataclasses.dataclass(slots=True)
class PendingNews:
    """What waits to be told to one peer.

    Attributes:
        loads: Newest report of each server.
        digests: Cache digests in order.
        leaving: Servers seen leaving, each with the start that leaves.
        draining: Servers that get no work while they load weights.
        listed: Changed entries of the instance list by name, None for one
            that is no longer listed.
        suspected: Servers that gave no sign of life.
        list_before: Version of the list before the entries; 0 where the list
            has none.
        list_version: Version of the list with them.
        demands: This daemon's demand, None where the last told one holds.
        crashes: Server starts that ended under requests.
        completions: Runs without a crash.
        rate_limits: What servers take from all daemons, by server.
    """

    loads: dict[str, server_inputs.LoadReported] = dataclasses.field(
        default_factory=dict
    )
    digests: list[server_inputs.CacheDigest] = dataclasses.field(
        default_factory=list
    )
    leaving: dict[str, str] = dataclasses.field(default_factory=dict)
    draining: set[str] = dataclasses.field(default_factory=set)
    suspected: set[str] = dataclasses.field(default_factory=set)
    listed: dict[str, platform.Instance | None] = dataclasses.field(
        default_factory=dict
    )
    list_before: int = 0
    list_version: int = 0
    demands: tuple[inputs.CellDemand, ...] | None = None
    crashes: set[quarantine.Crash] = dataclasses.field(default_factory=set)
    completions: set[quarantine.Completion] = dataclasses.field(
        default_factory=set
    )

    rate_limits: dict[str, effects.TellRateLimit] = dataclasses.field(
        default_factory=dict
    )

    def is_empty(self) -> bool:
        """Returns whether there is nothing to tell."""
        told = (
            self.loads,
            self.digests,
            self.leaving,
            self.draining,
            self.suspected,
            self.listed,
            self.crashes,
            self.completions,
            self.rate_limits,
        )
        return not any(told) and self.demands is None

    def add_list_changes(
        self,
        changes: dict[str, platform.Instance | None],
        *,
        before: int,
        version: int,
    ) -> None:
        """Adds changes of the instance list.

        Changes between that this daemon heard of itself are told by their
        reader. Told as one with these, a peer that lacks them would take its
        list for the newest, drop the reader's word as older, and keep servers
        that have left. What waits is dropped then: the peer sees the gap, and
        reads the list.
        """
        if self.list_version and before > self.list_version:
            self.listed = {}
            self.list_before = before
        self.listed = {**self.listed, **changes}
        self.list_before = self.list_before or before
        self.list_version = version or self.list_version

    def merged_with(self, later: PendingNews) -> PendingNews:
        """Returns both as one; of each figure the newest."""
        digests = self.digests + later.digests
        both = PendingNews(
            loads={**self.loads, **later.loads},
            # A peer that can't be reached must not fill our memory; what it
            # misses costs a recomputation each.
            digests=digests[-MAX_DIGESTS:],
            leaving={**self.leaving, **later.leaving},
            draining=self.draining | later.draining,
            suspected=self.suspected | later.suspected,
            listed=self.listed,
            list_before=self.list_before,
            list_version=self.list_version,
            demands=(self.demands if later.demands is None else later.demands),
            crashes=self.crashes | later.crashes,
            completions=self.completions | later.completions,
            rate_limits={**self.rate_limits, **later.rate_limits},
        )
        if later.listed:
            both.add_list_changes(
                later.listed,
                before=later.list_before,
                version=later.list_version,
            )
        return both


__all__ = ["MAX_DIGESTS", "PendingNews"]
