"""Keeps the newest table, as told by the operators' rows in the store."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from absl import logging
from result import Err

from godwittack.core import inputs, server_inputs
from godwittack.core.cached_state import STORE_TARGET
from godwittack.daemon import tables

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from result import Result

    from godwittack.member import freshness, view
    from godwittack.store import protocol
    from godwittack.table import model


@dataclasses.dataclass(slots=True, kw_only=True)
class FeedKeeper(tables.TableKeeper):
    """Keeps the newest table, as told by the operators' rows."""

    members: view.View
    known: freshness.Freshness

    def adopt(self, table: model.Table) -> bool:
        """Puts a table in force if it is newer; it never goes back."""
        if not tables.TableKeeper.adopt(self, table):
            return False
        self.known.changed(table.version)
        self._list_stores(table)
        return True

    def rows_changed(
        self,
        decode: Callable[
            [Mapping[str, protocol.ChangedRow]],
            Result[model.Table | None, str],
        ],
        rows: Mapping[str, protocol.ChangedRow],
    ) -> None:
        """Puts newer rows in force."""
        table = decode(rows)
        if isinstance(table, Err):
            # What is in force stays so: an older table serves, none does not.
            logging.error("event=table_unreadable detail=%r", table.err_value)
            return
        if table.ok_value is not None:
            self.adopt(table.ok_value)

    def _list_stores(self, table: model.Table) -> None:
        """Tells the core of stores of cached state, which no list names."""
        if table.forwarding is None:
            return
        now_ms = self.runtime.clock.now_ms()
        named = {store.name: store for store in table.forwarding.kv_stores}
        known = self.runtime.core.world.servers_by_target[STORE_TARGET]
        for name in known.keys() - named.keys():
            self.runtime.submit(
                server_inputs.ServerListed(
                    at_ms=now_ms, server_id=name, gone=True
                )
            )
        for name, store in named.items():
            self.runtime.submit(
                server_inputs.ServerListed(
                    at_ms=now_ms,
                    server_id=name,
                    address=store.address,
                    target=STORE_TARGET,
                    failure_domain=store.failure_domain,
                    incarnation=name,
                )
            )

    def confirmed(self, made_at_ms: int) -> None:
        """Takes in that the table was the newest at a time."""
        self.right.service_read(now_ms=made_at_ms)
        self.tell_right()

    def tell_right(self) -> None:
        """Tells the core until when keys may be served."""
        now_ms = self.runtime.clock.now_ms()
        until_ms = self.right.until_ms(
            self.members, own_version=self.table.version, now_ms=now_ms
        )
        self.runtime.submit(inputs.RightToServe(now_ms, until_ms))


__all__ = ["FeedKeeper"]
