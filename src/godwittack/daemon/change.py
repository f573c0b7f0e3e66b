"""Commits a table change and follows it until it is in force."""

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

SPREAD_PAUSE_MS = 150
# Added to the time after which an older table is served nowhere, for clocks
# that run at different speeds.
LAPSE_MARGIN_MS = 500
# How long a majority is waited for.
MAJORITY_MS = 3_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InForce:
    """How far a committed change came.

    Attributes:
        accepted: Every daemon has confirmed it, or has lost the right to
            take work until it has it.
        after_ms: Time from the operator's request until then.
        confirmed: Daemons that have it.
        lapsed: Daemons that did not answer for long enough to be sure that
            they take no new work on an older table.
        missing: Daemons of which neither is sure.
    """

    version: int
    accepted: bool
    after_ms: int
    confirmed: tuple[str, ...]
    lapsed: tuple[str, ...]
    missing: tuple[str, ...]


ChangeResult: TypeAlias = InForce | store.Conflict | store.Invalid


class Committer:
    """Carries changes through for operators."""

    def __init__(
        self,
        *,
        tables: store.TableStore,
        keeper: tables.TableKeeper,
        gossiper: gossip.Gossiper,
        policy: view.MemberPolicy,
        gossip_ms: int,
    ) -> None:
        """Commits with `tables` and spreads with `gossiper`."""
        self._tables = tables
        self._keeper = keeper
        self._gossiper = gossiper
        self._lapse_ms = (
            policy.table_expiry_ms(gossip_ms=gossip_ms) + LAPSE_MARGIN_MS
        )

    async def commit(
        self, proposal: store.Proposal
    ) -> Result[ChangeResult, platform.PlatformError]:
        """Commits a change and waits until it is in force."""
        clock = self._keeper.runtime.clock
        started_ms = clock.now_ms()
        got = await self._tables.commit(proposal, self._keeper.table)
        if isinstance(got, Err):
            return got
        if not isinstance(got.ok_value, store.Committed):
            return Ok(got.ok_value)
        entry = got.ok_value.entry
        self._keeper.adopt(got.ok_value.table)
        logging.info(
            "event=table_changed version=%d who=%s cells=%d undoes=%d",
            entry.version,
            entry.who,
            len(entry.changes),
            entry.undoes,
        )
        return Ok(await self._spread(entry.version, started_ms))

    async def _spread(self, version: int, started_ms: int) -> InForce:
        """Spreads a version until it is accepted, or no majority has it."""
        clock = self._keeper.runtime.clock
        committed_ms = clock.now_ms()
        majority_ms = 0
        while True:
            await self._gossiper.probe_all()
            now_ms = clock.now_ms()
            confirmed, missing = self._standing(version)
            known = self._gossiper.members.expected_count()
            has_majority = 2 * len(confirmed) > known
            if has_majority and not majority_ms:
                majority_ms = now_ms
            lapsed = has_majority and now_ms - majority_ms >= self._lapse_ms
            hopeless = not has_majority and (
                now_ms - committed_ms >= MAJORITY_MS
            )
            # A daemon that was lost to us and forgotten may be well, and hold
            # a lease on the version before: only a full count is at once.
            if len(confirmed) >= known or lapsed or hopeless:
                break
            await asyncio.sleep(SPREAD_PAUSE_MS / 1000)
        return InForce(
            version=version,
            accepted=has_majority,
            after_ms=clock.now_ms() - started_ms,
            confirmed=tuple(confirmed),
            lapsed=tuple(missing) if has_majority else (),
            missing=() if has_majority else tuple(missing),
        )

    def _standing(self, version: int) -> tuple[list[str], list[str]]:
        members = self._gossiper.members
        confirmed = [members.me.member_id]
        missing: list[str] = []
        for row in members.rows.values():
            if row.has_left and row.member.state is view.MemberState.DEAD:
                continue
            has_it = row.table_version >= version
            (confirmed if has_it else missing).append(row.member.member_id)
        return sorted(confirmed), sorted(missing)


__all__ = ["ChangeResult", "Committer", "InForce"]
