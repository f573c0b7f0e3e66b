"""Client of the platform's services over HTTP with JSON."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, TypeVar
from urllib import parse as urls

import aiohttp
import pydantic
from result import Err, Ok, Result

from godwittack.backend import json_fields
from godwittack.store import call as calls
from godwittack.store import protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.clock import Clock

_Parsed = TypeVar("_Parsed")

MAX_OBJECT_BYTES = 64 << 20


class _RowJson(pydantic.BaseModel):
    table: str
    key: str
    value: str = ""
    version: int
    now_ms: int = 0


class _TransactionJson(pydantic.BaseModel):
    committed: bool
    rows: list[_RowJson] = []
    now_ms: int = 0


class _InstanceJson(pydantic.BaseModel):
    name: str
    role: protocol.InstanceRole
    address: str
    target: str = ""
    failure_domain: str = ""
    leaving: bool = False


_ROWS = pydantic.TypeAdapter(list[_RowJson])
_INSTANCES = pydantic.TypeAdapter(list[_InstanceJson])
_VERSIONS = pydantic.TypeAdapter(tuple[str, ...])


class HttpPlatform:
    """Implements all platform protocols on one HTTP address.

    While the platform is down, every call would wait for its timeout, and so
    would the refusal of a caller's request. After a call that timed out or
    could not connect, calls fail at once for `backoff_ms`, so that the
    refusal is immediate.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        base_url: str,
        timeout_ms: int,
        backoff_ms: int,
        clock: Clock,
    ) -> None:
        """Uses `session` for all calls to `base_url`."""
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._timeout_ms = timeout_ms
        self._backoff_ms = backoff_ms
        self._clock = clock
        self._backoff_until_ms = 0

    async def transact(
        self,
        conditions: tuple[protocol.Condition, ...],
        writes: tuple[protocol.RowWrite, ...],
    ) -> Result[protocol.TransactionResult, protocol.PlatformError]:
        """Makes all writes if all conditions are met."""
        body = {
            "conditions": [
                {
                    "table": c.row_id.table,
                    "key": c.row_id.key,
                    "version": c.version,
                }
                for c in conditions
            ],
            "writes": [
                {
                    "table": w.row_id.table,
                    "key": w.row_id.key,
                    "value": w.value,
                }
                for w in writes
            ],
        }
        result = await self._call(
            "transact", "POST", "/tables/transact", json.dumps(body).encode()
        )
        parsed = self._parse(
            "transact", _TransactionJson.model_validate_json, result
        )
        if isinstance(parsed, Err):
            return parsed
        stored = parsed.ok_value
        rows = tuple(_row(row) for row in stored.rows)
        return Ok(
            protocol.TransactionResult(
                stored.committed, rows, service_ms=stored.now_ms
            )
        )

    async def read(
        self, row_id: protocol.RowId
    ) -> Result[protocol.StoredRow, protocol.PlatformError]:
        """Returns one row."""
        path = f"/tables/{row_id.table}/{urls.quote(row_id.key, safe='')}"
        result = await self._call("read", "GET", path)
        return self._parse("read", _RowJson.model_validate_json, result).map(
            _row
        )

    async def scan(
        self, table: str, *, after: str, limit: int
    ) -> Result[list[protocol.StoredRow], protocol.PlatformError]:
        """Returns rows in key order."""
        query = urls.urlencode({"after": after, "limit": limit})
        result = await self._call("scan", "GET", f"/tables/{table}?{query}")
        parsed = self._parse("scan", _ROWS.validate_json, result)
        return parsed.map(lambda rows: [_row(row) for row in rows])

    async def get(
        self, name: str
    ) -> Result[bytes | None, protocol.PlatformError]:
        """Returns an object."""
        result = await self._call("get", "GET", f"/objects/{name}")
        if isinstance(result, Err):
            return result
        return Ok(result.ok_value or None)

    async def put(
        self, name: str, data: bytes
    ) -> Result[None, protocol.PlatformError]:
        """Writes an object."""
        result = await self._call("put", "PUT", f"/objects/{name}", data)
        if isinstance(result, Err):
            return result
        return Ok(None)

    async def versions(
        self, model: str
    ) -> Result[tuple[str, ...], protocol.PlatformError]:
        """Returns the weights versions of a model."""
        result = await self._call("versions", "GET", f"/weights/{model}")
        return self._parse("versions", _VERSIONS.validate_json, result)

    async def instances(
        self,
    ) -> Result[tuple[protocol.Instance, ...], protocol.PlatformError]:
        """Returns the instance list."""
        result = await self._call("instances", "GET", "/instances")
        parsed = self._parse("instances", _INSTANCES.validate_json, result)
        return parsed.map(
            lambda listed: tuple(
                protocol.Instance(**i.model_dump()) for i in listed
            )
        )

    async def _call(
        self, step: str, method: str, path: str, body: bytes | None = None
    ) -> Result[bytes, protocol.PlatformError]:
        if self._clock.now_ms() < self._backoff_until_ms:
            return self._error(
                step, "unreachable a moment ago", may_have_run=False
            )
        result = await calls.exchange(
            self._session,
            method,
            self._base_url + path,
            body=body,
            timeout_ms=self._timeout_ms,
            limit_bytes=MAX_OBJECT_BYTES,
        )
        if isinstance(result, Err):
            failure = result.err_value
            if failure.timed_out or not failure.may_have_run:
                self._start_backoff()
            return self._error(
                step, failure.detail, may_have_run=failure.may_have_run
            )
        if result.ok_value.status != 200:
            return self._error(step, f"status {result.ok_value.status}")
        return Ok(result.ok_value.body)

    def _parse(
        self,
        step: str,
        parse: Callable[[bytes], _Parsed],
        result: Result[bytes, protocol.PlatformError],
    ) -> Result[_Parsed, protocol.PlatformError]:
        """Parses the body of an answer, which may have broken off."""
        if isinstance(result, Err):
            return result
        try:
            return Ok(parse(result.ok_value))
        except pydantic.ValidationError as error:
            return self._error(step, json_fields.first_error(error))

    def _start_backoff(self) -> None:
        self._backoff_until_ms = self._clock.now_ms() + self._backoff_ms

    def _error(
        self, step: str, detail: str, *, may_have_run: bool = True
    ) -> Err[protocol.PlatformError]:
        return Err(
            protocol.PlatformError(
                step=step,
                peer=self._base_url,
                detail=detail,
                may_have_run=may_have_run,
            )
        )


def _row(row: _RowJson) -> protocol.StoredRow:
    return protocol.StoredRow(
        protocol.RowId(row.table, row.key),
        row.value,
        row.version,
        row.now_ms,
    )


__all__ = ["HttpPlatform"]
