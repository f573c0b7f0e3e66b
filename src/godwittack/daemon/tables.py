"""Keeps this daemon's table up to date from the service, peers or a copy."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING

from absl import logging
from result import Err, Ok

from godwittack.core import inputs
from godwittack.peer import tables as tables_wire
from godwittack.table import model

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.daemon import runtime as runtimes
    from godwittack.member import serving_lease
    from godwittack.peer import exchange
    from godwittack.table import store

# Time after which a table is fetched from a second peer: the first one may be
# suspended, and its answer only fail at the timeout of the call.
FETCH_INTERVAL_MS = 100


@dataclasses.dataclass(slots=True, kw_only=True)
class TableKeeper:
    """Activates newer tables and fetches them from peers.

    Attributes:
        runtime: Runs the core, which holds the active table.
        peers: Client for other daemons.
        serving_lease: Until when this daemon may treat its table as current.
        on_adopted: Called after a newer table has become active here.
        texts: The last active tables as JSON.
    """

    runtime: runtimes.Runtime
    peers: exchange.PeerClient
    serving_lease: serving_lease.ServingLease
    on_adopted: Callable[[], None] = lambda: None
    texts: tables_wire.TableTexts = dataclasses.field(
        default_factory=tables_wire.TableTexts
    )
    _fetching: set[str] = dataclasses.field(default_factory=set)
    _fetched_at_ms: int = 0
    # Set after a table that could not be read, which may be due to a difference
    # that did not fit.
    _needs_whole: bool = False
    _heard_version: int = 0
    _heard_at_ms: int = 0

    @property
    def table(self) -> model.Table:
        """The active table of this daemon."""
        return self.runtime.core.world.table

    def record_heard(self, version: int, *, peer: str) -> None:
        """Logs the first report of a peer that it has a newer table."""
        if version <= max(self._heard_version, self.table.version):
            return
        self._heard_version = version
        self._heard_at_ms = self.runtime.clock.now_ms()
        logging.info(
            "event=table_heard version=%d active=%d peer=%s",
            version,
            self.table.version,
            peer,
        )

    def adopt(
        self, table: model.Table, *, source: str, text: str | None = None
    ) -> bool:
        """Activates a table if it is newer; never returns to an older one.

        Args:
            table: The table.
            source: Where it was read, for the log: the store, or a peer.
            text: Its JSON; None if it is not known.
        """
        version_before = self.table.version
        self.runtime.submit(
            inputs.TableChanged(
                self.runtime.clock.now_ms(),
                table,
                # Read before this table counts as confirmed: confirming a table
                # does not show when the table was made.
                newest_before_ms=self.serving_lease.last_confirmed_ms(),
            )
        )
        if self.table is not table:
            return False
        self.texts.add(table, text)
        self._log_in_force(version_before, source)
        self.on_adopted()
        return True

    def _log_in_force(self, version_before: int, source: str) -> None:
        now_ms = self.runtime.clock.now_ms()
        version, heard_for_ms = self.table.version, -1
        if version_before < self._heard_version <= version:
            heard_for_ms = now_ms - self._heard_at_ms
        forwarding = self.table.forwarding
        logging.info(
            "event=table_in_force version=%d config=%d before=%d source=%s"
            " heard_for_ms=%d confirmed_ago_ms=%d",
            version,
            forwarding.config_version if forwarding is not None else 0,
            version_before,
            source,
            heard_for_ms,
            now_ms - self.serving_lease.last_confirmed_ms(),
        )

    async def fetch_from_peer(self, address: str) -> None:
        """Fetches a peer's table and activates it if it is newer."""
        now_ms = self.runtime.clock.now_ms()
        if self._fetching and now_ms - self._fetched_at_ms < FETCH_INTERVAL_MS:
            return
        if address in self._fetching:
            return
        self._fetching.add(address)
        self._fetched_at_ms = now_ms
        base = self.texts.newest(self.table)
        try:
            reply = await self.peers.fetch_table(
                address,
                known_version=self.table.version,
                base_digest=0 if self._needs_whole else base.digest,
            )
        finally:
            self._fetching.discard(address)
        if isinstance(reply, Err):
            logging.info(
                "event=table_fetch_failed peer=%s active=%d detail=%r",
                address,
                self.table.version,
                reply.err_value.detail,
            )
            return
        parsed = tables_wire.read(reply.ok_value, base=base.text or "")
        if isinstance(parsed, Ok):
            found = parsed.ok_value
            self._needs_whole = False
            self.adopt(found.table, source=address, text=found.text)
        elif parsed is not None:
            self._needs_whole = True
            logging.info(
                "event=table_unreadable peer=%s detail=%r",
                address,
                parsed.err_value,
            )


@dataclasses.dataclass(slots=True, kw_only=True)
class PolledTableKeeper(TableKeeper):
    """Polls the table service for the version, and for newer tables.

    Attributes:
        tables: Reads versions, tables and the stored copy.
        rng: Adds jitter to the polls.
    """

    tables: store.TableStore
    rng: random.Random

    async def load_initial(self, peer_addresses: list[str]) -> None:
        """Loads the first table from the service, peers or the stored copy."""
        await self.poll_once()
        for address in peer_addresses:
            await self.fetch_from_peer(address)
        if self.table.version == 0:
            copy = await self.tables.read_copy()
            if copy is not None:
                self.adopt(copy, source="copy")

    async def poll_forever(self, *, poll_ms: int) -> None:
        """Polls once per period, with jitter to spread the daemons' calls."""
        while True:
            jitter = self.rng.uniform(0.8, 1.2)
            await asyncio.sleep(poll_ms * jitter / 1000)
            await self.poll_once()

    async def poll_once(self) -> None:
        """Reads the newest version and fetches the table if it is newer."""
        started_ms = self.runtime.clock.now_ms()
        newest = await self.tables.version()
        if isinstance(newest, Err):
            return
        if newest.ok_value > self.table.version:
            table = await self.tables.table()
            if isinstance(table, Err):
                return
            self.adopt(table.ok_value, source="store")
        if newest.ok_value <= self.table.version:
            # Counted from the start of the call: a slow reply confirms nothing
            # about the time after it was made.
            self.serving_lease.record_service_read(now_ms=started_ms)


__all__ = ["PolledTableKeeper", "TableKeeper"]
