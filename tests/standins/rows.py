"""The platform's store of rows, with the faults that it may have."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import time

from aiohttp import web


@dataclasses.dataclass
class StoreFaults:
    """How the store misbehaves.

    Attributes:
        status: Status of all answers; 0 for the true one.
        silent: Whether nothing is answered.
        lose_writes: Writes that are done and not answered.
        forgotten_up_to: Version up to which the history is gone.
        latency_s: Time of each answer.
    """

    status: int = 0
    silent: bool = False
    lose_writes: bool = False
    forgotten_up_to: int = 0
    latency_s: float = 0.0


class RowStore:
    """Rows with versions, their feed, and transactions under conditions."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], dict] = {}
        self.version = 0
        self.faults = StoreFaults()
        self.calls = 0
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self, port: int) -> None:
        """Listens on a port of this machine."""
        app = web.Application()
        app.router.add_post("/rows-tx", self._guarded(self._transact))
        app.router.add_get("/rows-get", self._guarded(self._get))
        app.router.add_get("/rows-feed", self._guarded(self._feed))
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()

    async def stop(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, table: str, key: str, value: object | None) -> int:
        """Writes a row, as the operator or a server does; None removes it."""
        self.version += 1
        self.rows[(table, key)] = {
            "table": table,
            "part": "",
            "key": key,
            "value": _encoded(json.dumps(value)) if value is not None else "",
            "row-version": self.version,
            "deleted": value is None,
        }
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def _guarded(self, handler):
        async def guarded(request: web.Request) -> web.Response:
            self.calls += 1
            faults = self.faults
            await asyncio.sleep(faults.latency_s)
            if faults.silent:
                await asyncio.sleep(3_600)
            if faults.status:
                return web.Response(status=faults.status)
            return await handler(request)

        return guarded

    async def _transact(self, request: web.Request) -> web.Response:
        asked = await request.json()
        held = [self._condition(c) for c in asked["precondition"]]
        wanted = [c["row-version"] for c in asked["precondition"]]
        if [row["row-version"] for row in held] != wanted:
            return self._answer(held, status=412)
        for write in asked["writes"]:
            value = json.loads(base64.b64decode(write["value"]))
            self.put(write["table"], write["key"], value)
        if self.faults.lose_writes:
            await asyncio.sleep(3_600)
        return self._answer([])

    def _condition(self, condition: dict) -> dict:
        place = (condition["table"], condition["key"])
        row = self.rows.get(place)
        if row is None or row["deleted"]:
            return {"table": place[0], "key": place[1], "row-version": 0}
        return row

    async def _get(self, request: web.Request) -> web.Response:
        table, start = request.query["table"], request.query.get("from", "")
        found = [
            row
            for (name, key), row in sorted(self.rows.items())
            if name == table and key >= start and not row["deleted"]
        ]
        limit = int(request.query.get("limit", "500"))
        return self._answer(found[:limit], more=len(found) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        if after < self.faults.forgotten_up_to:
            return web.Response(status=410)
        ends = time.monotonic() + int(request.query["wait-ms"]) / 1000
        while True:
            found = [
                row
                for (name, _), row in self.rows.items()
                if name == request.query["table"] and row["row-version"] > after
            ]
            left_s = ends - time.monotonic()
            if found or left_s <= 0:
                found.sort(key=lambda row: row["row-version"])
                return self._answer(found)
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _answer(
        self, rows: list[dict], *, status: int = 200, more: bool = False
    ) -> web.Response:
        return web.json_response(
            {
                "rows": rows,
                "has-more": more,
                "row-version": self.version,
                "now-ms": time.monotonic_ns() // 1_000_000,
            },
            status=status,
        )


def _encoded(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


__all__ = ["RowStore", "StoreFaults"]
