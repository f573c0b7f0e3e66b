"""Updates that wait to be sent to one other daemon."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.core import effects, inputs, quarantine, server_inputs
    from godwittack.limit import quota
    from godwittack.store import protocol as platform

MAX_DIGESTS = 64


@dataclasses.dataclass(slots=True)
class PendingNews:
    """Updates that wait to be sent to one peer.

    Attributes:
        loads: Newest load report of each server.
        told_loads: Newest load of each server from a response.
        digests: Cache digests in order.
        leaving: Servers about to stop, each with the incarnation that leaves.
        draining: Servers that get no work while they load weights.
        listed: Changed entries of the instance list by name, None for one
            that is no longer listed.
        suspected: Servers that did not respond.
        list_before: Version of the list before the changes in `listed`; 0 if
            the list has no versions.
        list_version: Version of the list after them.
        demands: This daemon's demand, None if it is unchanged since the last
            message.
        crashes: Incarnations of servers that ended while they ran requests.
        completions: Runs without a crash.
        rate_limits: Rate that each server accepts from all daemons together,
            by server.
        brittle: Tolerance of rejections of each server, by server.
        lost_paths: Servers that this daemon can't reach, None if unchanged
            since the last message.
        usages: What this daemon admitted under quotas, by workspace.
    """

    loads: dict[str, server_inputs.LoadReported] = dataclasses.field(
        default_factory=dict
    )
    told_loads: dict[str, effects.TellLoad] = dataclasses.field(
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
    brittle: dict[str, effects.TellBrittle] = dataclasses.field(
        default_factory=dict
    )
    lost_paths: tuple[str, ...] | None = None
    usages: dict[str, quota.Usage] = dataclasses.field(default_factory=dict)

    def is_empty(self) -> bool:
        """Returns whether there is nothing to send."""
        updates = (
            self.loads,
            self.told_loads,
            self.digests,
            self.leaving,
            self.draining,
            self.suspected,
            self.listed,
            self.crashes,
            self.completions,
            self.rate_limits,
            self.brittle,
            self.usages,
        )
        has_totals = self.demands is not None or self.lost_paths is not None
        return not any(updates) and not has_totals

    def add_list_changes(
        self,
        changes: dict[str, platform.Instance | None],
        *,
        before: int,
        version: int,
    ) -> None:
        """Adds changes of the instance list.

        Changes between the waiting ones and these may be missing here, because
        another daemon read them and sends them to the peer itself. Merged
        across that gap, the message would make the peer consider its list the
        newest, reject the missing changes as older, and keep servers that have
        left. The waiting changes are therefore dropped: the peer detects the
        gap, and reads the list.
        """
        if self.list_version and before > self.list_version:
            self.listed = {}
            self.list_before = before
        self.listed = {**self.listed, **changes}
        self.list_before = self.list_before or before
        self.list_version = version or self.list_version

    def merged_with(self, later: PendingNews) -> PendingNews:
        """Returns these updates merged with later ones, which take priority."""
        digests = self.digests + later.digests
        merged = PendingNews(
            loads={**self.loads, **later.loads},
            told_loads={**self.told_loads, **later.told_loads},
            # Bounds the memory for a peer that can't be reached; each digest
            # that it misses costs a recomputation.
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
            brittle={**self.brittle, **later.brittle},
            lost_paths=(
                self.lost_paths
                if later.lost_paths is None
                else later.lost_paths
            ),
            usages={**self.usages, **later.usages},
        )
        if later.listed:
            merged.add_list_changes(
                later.listed,
                before=later.list_before,
                version=later.list_version,
            )
        return merged


__all__ = ["MAX_DIGESTS", "PendingNews"]
