"""Commits a table change and waits until it is active on all daemons."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING, TypeAlias

from absl import logging
from result import Err, Ok, Result

from godwittack.member import view
from godwittack.table import store

if TYPE_CHECKING:
    from godwittack.daemon import gossip, tables
    from godwittack.store import protocol as platform

SPREAD_INTERVAL_MS = 150
# Added to the time after which no daemon serves an older table, for clocks
# that run at different speeds.
EXPIRY_MARGIN_MS = 500
# How long to wait for confirmations by a majority.
MAJORITY_TIMEOUT_MS = 3_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeProgress:
    """How far a committed change has spread.

    Attributes:
        version: Table version of the change.
        accepted: Every daemon has the change, or its serving lease has
            expired, so that it takes no work until it has the change.
        after_ms: Time from the operator's request to this result.
        confirmed: Daemons that have the change.
        lapsed: Daemons that have been silent for so long that their serving
            leases on an older table have expired.
        missing: Daemons for which neither of these is certain.
    """

    version: int
    accepted: bool
    after_ms: int
    confirmed: tuple[str, ...]
    lapsed: tuple[str, ...]
    missing: tuple[str, ...]


ChangeResult: TypeAlias = ChangeProgress | store.Conflict | store.Invalid


class Committer:
    """Commits operators' changes and spreads them to all daemons."""

    def __init__(
        self,
        *,
        tables: store.TableStore,
        keeper: tables.TableKeeper,
        gossiper: gossip.Gossiper,
        policy: view.MemberPolicy,
        gossip_ms: int,
    ) -> None:
        """Commits to `tables` and spreads changes with `gossiper`."""
        self._tables = tables
        self._keeper = keeper
        self._gossiper = gossiper
        self._expiry_ms = (
            policy.table_expiry_ms(gossip_ms=gossip_ms) + EXPIRY_MARGIN_MS
        )

    async def commit(
        self, proposal: store.Proposal
    ) -> Result[ChangeResult, platform.PlatformError]:
        """Commits a change and waits until it is active or has timed out."""
        clock = self._keeper.runtime.clock
        started_ms = clock.now_ms()
        result = await self._tables.commit(proposal, self._keeper.table)
        if isinstance(result, Err):
            return result
        if not isinstance(result.ok_value, store.Committed):
            return Ok(result.ok_value)
        entry = result.ok_value.entry
        self._keeper.adopt(result.ok_value.table, source="change")
        logging.info(
            "event=table_changed version=%d who=%s cells=%d undoes=%d",
            entry.version,
            entry.who,
            len(entry.changes),
            entry.undoes,
        )
        return Ok(await self._spread(entry.version, started_ms))

    async def _spread(self, version: int, started_ms: int) -> ChangeProgress:
        """Spreads a version until it is accepted or misses a majority."""
        clock = self._keeper.runtime.clock
        committed_ms = clock.now_ms()
        majority_at_ms = 0
        while True:
            await self._gossiper.probe_all()
            now_ms = clock.now_ms()
            confirmed, missing = self._confirmations(version)
            expected_daemons = self._gossiper.members.expected_count()
            has_majority = 2 * len(confirmed) > expected_daemons
            if has_majority and not majority_at_ms:
                majority_at_ms = now_ms
            expired = (
                has_majority and now_ms - majority_at_ms >= self._expiry_ms
            )
            timed_out = not has_majority and (
                now_ms - committed_ms >= MAJORITY_TIMEOUT_MS
            )
            # A daemon that was unreachable from here and dropped from the view
            # may still run and hold a lease on the version before. Only
            # confirmations by all expected daemons need no further wait.
            if len(confirmed) >= expected_daemons or expired or timed_out:
                break
            await asyncio.sleep(SPREAD_INTERVAL_MS / 1000)
        return ChangeProgress(
            version=version,
            accepted=has_majority,
            after_ms=clock.now_ms() - started_ms,
            confirmed=tuple(confirmed),
            lapsed=tuple(missing) if has_majority else (),
            missing=() if has_majority else tuple(missing),
        )

    def _confirmations(self, version: int) -> tuple[list[str], list[str]]:
        members = self._gossiper.members
        confirmed = [members.me.member_id]
        missing: list[str] = []
        for row in members.rows.values():
            if row.has_left and row.member.state is view.MemberState.DEAD:
                continue
            is_confirmed = row.table_version >= version
            (confirmed if is_confirmed else missing).append(
                row.member.member_id
            )
        return sorted(confirmed), sorted(missing)


__all__ = ["ChangeProgress", "ChangeResult", "Committer"]
