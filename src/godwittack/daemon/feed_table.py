"""Keeps the newest table from the operators' rows in the store's feed."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from absl import logging
from result import Err

from godwittack import address as addresses
from godwittack.core import inputs, server_inputs
from godwittack.core.cached_state import STORE_TARGET
from godwittack.daemon import copies, tables

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from result import Result

    from godwittack.member import freshness, view
    from godwittack.store import protocol
    from godwittack.table import forwarding, model


@dataclasses.dataclass(slots=True, kw_only=True)
class FeedTableKeeper(tables.TableKeeper):
    """Keeps the newest table from the feed of operators' rows.

    Attributes:
        members: The view of all daemons.
        table_freshness: When the table was last known to be the newest.
    """

    members: view.View
    table_freshness: freshness.Freshness

    def adopt(
        self, table: model.Table, *, source: str, text: str | None = None
    ) -> bool:
        """Activates a table if it is newer; never returns to an older one."""
        if not tables.TableKeeper.adopt(self, table, source=source, text=text):
            return False
        self.table_freshness.record_version(table.version)
        self._update_kv_stores(table)
        return True

    def apply_rows(
        self,
        decode: Callable[
            [Mapping[str, protocol.ChangedRow]],
            Result[model.Table | None, str],
        ],
        rows: Mapping[str, protocol.ChangedRow],
    ) -> None:
        """Decodes changed rows and activates the table if it is newer."""
        table = decode(rows)
        if isinstance(table, Err):
            # The active table stays: requests can be served by an older table,
            # but not without one.
            logging.error(
                "event=table_unreadable active_version=%d detail=%r",
                self.table.version,
                table.err_value,
            )
            return
        if table.ok_value is not None:
            self.adopt(table.ok_value, source="store")

    def _update_kv_stores(self, table: model.Table) -> None:
        """Lists the table's stores of cached state as servers in the core.

        The instance list does not contain them.
        """
        if table.forwarding is None:
            return
        now_ms = self.runtime.clock.now_ms()
        kv_stores = {
            store.name: store
            for store in table.forwarding.kv_stores
            if _is_callable(store)
        }
        listed_servers = self.runtime.core.world.servers_by_target[STORE_TARGET]
        for name in listed_servers.keys() - kv_stores.keys():
            self.runtime.submit(
                server_inputs.ServerListed(
                    at_ms=now_ms, server_id=name, gone=True
                )
            )
        for name, store in kv_stores.items():
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

    def record_confirmation(self, confirmed_at_ms: int) -> None:
        """Records that the table was the newest at a time."""
        copies.submit_confirmation(self.runtime, self.table_freshness)
        self.serving_lease.record_service_read(now_ms=confirmed_at_ms)
        self.update_serving_lease()

    def update_serving_lease(self) -> None:
        """Updates in the core until when keys may be served."""
        now_ms = self.runtime.clock.now_ms()
        until_ms = self.serving_lease.valid_until_ms(
            self.members, own_version=self.table.version, now_ms=now_ms
        )
        self.runtime.submit(inputs.RightToServe(now_ms, until_ms))


def _is_callable(store: forwarding.KvStore) -> bool:
    """Returns whether a store can be used; prompts are computed without it."""
    is_callable = addresses.is_callable(store.address)
    if not is_callable:
        logging.warning(
            "event=kv_store_refused name=%r address=%r",
            store.name,
            store.address,
        )
    return is_callable


__all__ = ["FeedTableKeeper"]
