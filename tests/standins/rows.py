"""Stand-in for the platform's row store, with configurable faults."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import time

from aiohttp import web

from standins import torn


@dataclasses.dataclass(frozen=True)
class FeedSilence:
    """A time in which the feed hears of no changes; their history is lost.

    Attributes:
        version: Newest version before it.
        ends_s: When it ends.
        names_newest: Whether answers in it name the newest version, though
            they leave its rows out.
        ends_calls: Whether calls that wait as it ends are answered then,
            without rows.
    """

    version: int
    ends_s: float
    names_newest: bool = False
    ends_calls: bool = False


@dataclasses.dataclass
class StoreFaults:
    """Faults of the store.

    Attributes:
        status: Status of all answers; 0 for the regular one.
        silent: Whether requests are left unanswered.
        lose_writes: Whether writes are applied and not answered.
        forgotten_up_to: Version up to which the feed has no history.
        silence: When the feed hears of no changes; None for never.
        read_lag_s: By how long reads of rows, but not the feed, are late.
        latency_s: Delay of each answer.
        torn: How answers are broken off inside their heads; None for never.
    """

    status: int = 0
    silent: bool = False
    lose_writes: bool = False
    forgotten_up_to: int = 0
    silence: FeedSilence | None = None
    read_lag_s: float = 0.0
    latency_s: float = 0.0
    torn: torn.Torn | None = None


class RowStore:
    """Rows with versions, their feed, and conditional transactions."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], dict] = {}
        self.version = 0
        self.faults = StoreFaults()
        self.calls = 0
        # Every write with its time, so that reads can show earlier rows.
        self._writes: list[tuple[float, tuple[str, str], dict]] = []
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self, port: int) -> None:
        """Listens on a port of this machine."""
        app = web.Application()
        app.router.add_post("/rows-tx", self._with_faults(self._transact))
        app.router.add_get("/rows-get", self._with_faults(self._get))
        app.router.add_get("/rows-feed", self._with_faults(self._feed))
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()

    async def stop(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, table: str, key: str, value: object | None) -> int:
        """Writes a row, as the operator or a server does; None deletes it."""
        self.version += 1
        self.rows[(table, key)] = {
            "table": table,
            "part": "",
            "key": key,
            "value": _encoded(json.dumps(value)) if value is not None else "",
            "row-version": self.version,
            "deleted": value is None,
        }
        self._writes.append(
            (time.monotonic(), (table, key), self.rows[(table, key)])
        )
        if self._active_silence() is not None:
            self.faults.forgotten_up_to = self.version
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def silence_feed(self, seconds: float, **how: bool) -> None:
        """Lets the feed hear of no changes from now on.

        Args:
            seconds: For how long.
            **how: Further fields of `FeedSilence`.
        """
        ends_s = time.monotonic() + seconds
        self.faults.silence = FeedSilence(self.version, ends_s, **how)

    def put_odd(self, table: str, key: str, data: bytes, /, **fields) -> int:
        """Writes a row with any bytes, as a faulty writer does.

        Args:
            table: Table of the row.
            key: Key of the row.
            data: Its value.
            **fields: Fields of the row that are answered instead of its own.
        """
        version = self.put(table, key, {})
        encoded = base64.b64encode(data).decode()
        self.rows[(table, key)].update({"value": encoded, **fields})
        return version

    def _with_faults(self, handler):
        async def handle(request: web.Request) -> web.Response:
            self.calls += 1
            faults = self.faults
            await asyncio.sleep(faults.latency_s)
            if faults.silent:
                await asyncio.sleep(3_600)
            if faults.status:
                return web.Response(status=faults.status)
            response = await handler(request)
            if faults.torn is not None:
                await faults.torn.send(
                    request.transport,
                    f"HTTP/1.1 {response.status} {response.reason}",
                    response.headers,
                    bytes(response.body or b""),
                    is_torn=faults.torn.begin_run(request.path),
                )
            return response

        return handle

    async def _transact(self, request: web.Request) -> web.Response:
        transaction = await request.json()
        rows = [self._current_row(c) for c in transaction["precondition"]]
        expected = [c["row-version"] for c in transaction["precondition"]]
        if [row["row-version"] for row in rows] != expected:
            return self._answer(rows, status=412)
        for write in transaction["writes"]:
            value = json.loads(base64.b64decode(write["value"]))
            self.put(write["table"], write["key"], value)
        if self.faults.lose_writes:
            await asyncio.sleep(3_600)
        return self._answer([])

    def _current_row(self, condition: dict) -> dict:
        row_id = (condition["table"], condition["key"])
        row = self.rows.get(row_id)
        if row is None or row["deleted"]:
            return {"table": row_id[0], "key": row_id[1], "row-version": 0}
        return row

    async def _get(self, request: web.Request) -> web.Response:
        table, start = request.query["table"], request.query.get("from", "")
        rows, version = self._readable_rows()
        found = [
            row
            for (name, key), row in sorted(rows.items())
            if name == table and key >= start and not row["deleted"]
        ]
        limit = int(request.query.get("limit", "500"))
        return self._answer(
            found[:limit], more=len(found) > limit, version=version
        )

    def _readable_rows(self) -> tuple[dict[tuple[str, str], dict], int]:
        """Returns the rows and the version that a read shows."""
        if not self.faults.read_lag_s:
            return self.rows, self.version
        until_s = time.monotonic() - self.faults.read_lag_s
        seen = [
            (row_id, row)
            for at_s, row_id, row in self._writes
            if at_s <= until_s
        ]
        return dict(seen), len(seen)

    def _active_silence(self) -> FeedSilence | None:
        silence = self.faults.silence
        if silence is None or time.monotonic() >= silence.ends_s:
            return None
        return silence

    async def _feed(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        ends_s = time.monotonic() + int(request.query["wait-ms"]) / 1000
        while True:
            silence = self._active_silence()
            if silence is None and after < self.faults.forgotten_up_to:
                return web.Response(status=410)
            newest = self.version if silence is None else silence.version
            found = [
                row
                for (name, _), row in self.rows.items()
                if name == request.query["table"]
                and after < row["row-version"] <= newest
            ]
            if found or time.monotonic() >= ends_s:
                found.sort(key=lambda row: row["row-version"])
                if silence is not None and silence.names_newest:
                    newest = self.version
                return self._answer(found, version=newest)
            until_s = ends_s if silence is None else min(ends_s, silence.ends_s)
            try:
                async with asyncio.timeout(until_s - time.monotonic()):
                    await self._changed.wait()
            except TimeoutError:
                has_ended = silence is not None and until_s < ends_s
                if has_ended and silence.ends_calls:
                    return self._answer([])

    def _answer(
        self,
        rows: list[dict],
        *,
        status: int = 200,
        more: bool = False,
        version: int | None = None,
    ) -> web.Response:
        return web.json_response(
            {
                "rows": rows,
                "has-more": more,
                "row-version": self.version if version is None else version,
                "now-ms": time.monotonic_ns() // 1_000_000,
            },
            status=status,
        )


def _encoded(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


__all__ = ["FeedSilence", "RowStore", "StoreFaults"]
