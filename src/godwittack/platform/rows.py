"""HTTP client for the store's rows."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from urllib import parse

from result import Err, Ok

from godwittack.backend import json_fields, json_items
from godwittack.platform import names, wire
from godwittack.store import base64_text, protocol
from godwittack.store import call as calls

if TYPE_CHECKING:
    from collections.abc import Mapping

    import aiohttp

# Maximum number of rows that the store returns at a time.
MAX_PAGE_ROWS = 500
STATUS_HISTORY_LOST = 410
STATUS_CONDITION_FAILED = 412
# Statuses by which the store reports that the call had no effect.
STATUSES_NOT_EXECUTED = frozenset({400, 403, 429, 503})


class _Row(wire.Body):
    table: str = ""
    key: str
    value: str = ""
    row_version: json_fields.Version = 0
    deleted: bool = False


class _Rows(json_items.ListBody, wire.Body):
    rows: json_fields.Items[_Row] = ()
    # Newest version in the whole store, not in these rows.
    row_version: int = 0
    has_more: bool = False
    # The store's monotonic clock, with an origin of its own.
    now_ms: int = 0


class Rows:
    """Implements `ConditionalRows` and `RowFeed`."""

    def __init__(
        self, *, session: aiohttp.ClientSession, address: str, timeout_ms: int
    ) -> None:
        """Calls the store at `address` with a timeout of `timeout_ms`."""
        self._session = session
        self._address = address
        self._timeout_ms = timeout_ms

    async def transact(
        self,
        conditions: tuple[protocol.Condition, ...],
        writes: tuple[protocol.RowWrite, ...],
    ) -> protocol.PlatformResult[protocol.TransactionResult]:
        """Applies all writes if all conditions hold."""
        body = {
            "precondition": [
                {**_ref(c.row_id), "row-version": c.version} for c in conditions
            ],
            "writes": [
                {**_ref(w.row_id), "value": base64_text.encode(w.value)}
                for w in writes
            ],
            "remove": [],
        }
        result = await self._call(
            "transact", "POST", names.ROWS_TX, body=json.dumps(body).encode()
        )
        if isinstance(result, Err):
            return result
        status, page = result.ok_value
        rows = tuple(_stored_row(row, page.now_ms) for row in page.rows)
        return Ok(
            protocol.TransactionResult(
                status != STATUS_CONDITION_FAILED,
                rows,
                page.row_version,
                page.now_ms,
            )
        )

    async def read(
        self, row_id: protocol.RowId
    ) -> protocol.PlatformResult[protocol.StoredRow]:
        """Returns one row."""
        result = await self._scan("read", row_id.table, row_id.key, limit=1)
        if isinstance(result, Err):
            return result
        page = result.ok_value
        for row in page.rows:
            if row.key == row_id.key:
                return Ok(_stored_row(row, page.now_ms))
        return Ok(protocol.StoredRow(row_id, "", 0, page.now_ms))

    async def page(
        self, table: str, *, from_key: str
    ) -> protocol.PlatformResult[protocol.FeedPage]:
        """Returns a page of a table's rows, starting at a key."""
        result = await self._scan("scan", table, from_key, limit=MAX_PAGE_ROWS)
        return result if isinstance(result, Err) else Ok(_page(result.ok_value))

    async def _scan(
        self, step: str, table: str, from_key: str, *, limit: int
    ) -> protocol.PlatformResult[_Rows]:
        query = {"table": table, "part": "", "limit": str(limit)}
        if from_key:
            query["from"] = from_key
        result = await self._call(step, "GET", names.ROWS_GET, query=query)
        return result if isinstance(result, Err) else Ok(result.ok_value[1])

    async def changes(
        self, table: str, *, after: int, wait_ms: int
    ) -> protocol.PlatformResult[protocol.FeedPage]:
        """Returns changes after a version; waits up to `wait_ms` for one."""
        query = {"table": table, "after": str(after), "wait-ms": str(wait_ms)}
        result = await self._call(
            "feed", "GET", names.ROWS_FEED, query=query, wait_ms=wait_ms
        )
        return result.map(lambda answer: _page(answer[1]))

    async def _call(
        self,
        step: str,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        body: bytes | None = None,
        wait_ms: int = 0,
    ) -> protocol.PlatformResult[tuple[int, _Rows]]:
        url = f"http://{self._address}{path}"
        if query:
            url = f"{url}?{parse.urlencode(query)}"
        result = await calls.exchange(
            self._session,
            method,
            url,
            body=body,
            timeout_ms=self._timeout_ms + wait_ms,
        )
        if isinstance(result, Err):
            return self._error(step, result.err_value.detail)
        status = result.ok_value.status
        if status not in (200, STATUS_CONDITION_FAILED):
            return self._error(step, f"status {status}", status=status)
        body = result.ok_value.body
        page = json_items.decode(
            _Rows, body, items="rows", origin=self._address, key="key"
        )
        if isinstance(page, Err):
            return self._error(step, page.err_value)
        return Ok((status, page.ok_value))

    def _error(
        self, step: str, detail: str, *, status: int = 0
    ) -> Err[protocol.PlatformError]:
        return Err(
            protocol.PlatformError(
                step=step,
                peer=self._address,
                detail=detail,
                may_have_run=status not in STATUSES_NOT_EXECUTED,
                history_lost=status == STATUS_HISTORY_LOST,
            )
        )


def _ref(row_id: protocol.RowId) -> dict[str, str | int]:
    return {"table": row_id.table, "part": "", "key": row_id.key}


def _stored_row(row: _Row, now_ms: int) -> protocol.StoredRow:
    row_id = protocol.RowId(row.table, row.key)
    version = 0 if row.deleted else row.row_version
    return protocol.StoredRow(
        row_id, base64_text.decode(row.value), version, now_ms
    )


def _page(page: _Rows) -> protocol.FeedPage:
    rows = tuple(
        protocol.ChangedRow(
            key=row.key,
            value=base64_text.decode(row.value),
            version=row.row_version,
            deleted=row.deleted,
        )
        for row in page.rows
    )
    return protocol.FeedPage(
        rows=rows,
        newest_version=page.row_version,
        service_ms=page.now_ms,
        next_key=rows[-1].key + "\0" if page.has_more and rows else "",
        dropped=page.dropped,
    )


__all__ = ["Rows"]
