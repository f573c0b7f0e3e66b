"""Keeps this daemon's table the newest, whatever is down."""

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
    from godwittack.member import right
    from godwittack.peer import exchange
    from godwittack.table import store


@dataclasses.dataclass(slots=True, kw_only=True)
class TableKeeper:
    """Puts newer tables in force and takes them from peers.

    Attributes:
        on_adopted: Called when a newer table came into force here.
    """

    runtime: runtimes.Runtime
    peers: exchange.PeerClient
    right: right.Right
    on_adopted: Callable[[], None] = lambda: None
    _fetching: bool = False

    @property
    def table(self) -> model.Table:
        """The table in force here."""
        return self.runtime.core.world.table

    def adopt(self, table: model.Table) -> bool:
        """Puts a table in force if it is newer; it never goes back."""
        self.runtime.submit(
            inputs.TableChanged(
                self.runtime.clock.now_ms(),
                table,
                # Read before this table counts as confirmed: a word on it
                # says nothing of when it was made.
                newest_before_ms=self.right.newest_at_ms(),
            )
        )
        if self.table is not table:
            return False
        logging.info("event=table_in_force version=%d", table.version)
        self.on_adopted()
        return True

    async def fetch_from_peer(self, address: str) -> None:
        """Takes a peer's table where it is newer."""
        if self._fetching:
            return
        self._fetching = True
        try:
            got = await self.peers.fetch_table(
                address, known_version=self.table.version
            )
        finally:
            self._fetching = False
        if isinstance(got, Err):
            return
        parsed = tables_wire.read(got.ok_value)
        if isinstance(parsed, Ok):
            self.adopt(parsed.ok_value)
        elif parsed is not None:
            logging.info(
                "event=table_unreadable peer=%s detail=%r",
                address,
                parsed.err_value,
            )


@dataclasses.dataclass(slots=True, kw_only=True)
class PolledKeeper(TableKeeper):
    """Reads versions from the table service, and the table where newer."""

    tables: store.TableStore
    rng: random.Random

    async def load_first(self, peer_addresses: list[str]) -> None:
        """Finds a table to start with: the service, peers, then the copy."""
        await self.poll_once()
        for address in peer_addresses:
            await self.fetch_from_peer(address)
        if self.table.version == 0:
            copy = await self.tables.read_copy()
            if copy is not None:
                self.adopt(copy)

    async def poll_forever(self, *, poll_ms: int) -> None:
        """Reads the version again and again, spread over the daemons."""
        while True:
            jitter = self.rng.uniform(0.8, 1.2)
            await asyncio.sleep(poll_ms * jitter / 1000)
            await self.poll_once()

    async def poll_once(self) -> None:
        """Reads the newest version and fetches the table if it is newer."""
        started_ms = self.runtime.clock.now_ms()
        got = await self.tables.version()
        if isinstance(got, Err):
            return
        if got.ok_value > self.table.version:
            table = await self.tables.table()
            if isinstance(table, Err):
                return
            self.adopt(table.ok_value)
        if got.ok_value <= self.table.version:
            # Counted from before the reading: a reply that took long says
            # nothing of the time after it was made.
            self.right.service_read(now_ms=started_ms)


__all__ = ["PolledKeeper", "TableKeeper"]
