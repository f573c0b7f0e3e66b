"""Stand-in for the platform: tables, objects, weights, instances."""

from __future__ import annotations

import argparse
import json
import time

from aiohttp import web

from standins import faults


class Platform:
    """Rows with versions, objects, weights versions and an instance list."""

    def __init__(self) -> None:
        self.faults = faults.Faults()
        self.rows: dict[str, dict[str, tuple[int, str]]] = {}
        self.previous_rows: dict[str, dict[str, tuple[int, str]]] = {}
        self.objects: dict[str, bytes] = {}
        self.instances: dict[str, dict] = {}
        self.weights: dict[str, list[str]] = {}
        self.version = 0
        self.reads = 0
        self.writes = 0

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(
            middlewares=[self.faults.middleware], client_max_size=64 << 20
        )
        app.add_routes(
            [
                web.post("/tables/transact", self.transact),
                web.get("/tables/{table}", self.scan),
                web.get("/tables/{table}/{key}", self.read),
                web.get("/objects/{name}", self.get),
                web.put("/objects/{name}", self.put),
                web.get("/weights/{model}", self.versions),
                web.put("/weights/{model}", self.put_versions),
                web.get("/instances", self.list),
                web.put("/instances/{name}", self.put_instance),
                web.delete("/instances/{name}", self.delete_instance),
                web.post("/fault", self.faults.set_fault),
                web.get("/fault/counts", self.counts),
            ]
        )
        return app

    async def transact(self, request: web.Request) -> web.Response:
        """Applies all writes if all conditions hold."""
        transaction = await request.json()
        self.writes += 1
        current = [
            self._row(c["table"], c["key"]) for c in transaction["conditions"]
        ]
        conditions_hold = all(
            row["version"] == condition["version"]
            for row, condition in zip(
                current, transaction["conditions"], strict=True
            )
        )
        if not conditions_hold:
            return web.json_response(
                {"committed": False, "rows": current, "now_ms": _now_ms()}
            )
        for write in transaction["writes"]:
            table = self.rows.setdefault(write["table"], {})
            previous = self.previous_rows.setdefault(write["table"], {})
            previous[write["key"]] = table.get(write["key"], (0, ""))
            self.version += 1
            table[write["key"]] = (self.version, write["value"])
        return web.json_response({"committed": True, "now_ms": _now_ms()})

    async def read(self, request: web.Request) -> web.Response:
        """Returns one row; with stale reads, its previous version."""
        self.reads += 1
        table, key = request.match_info["table"], request.match_info["key"]
        row = self._row(table, key)
        if self.faults.values.get("stale_reads"):
            version, value = self.previous_rows.get(table, {}).get(key, (0, ""))
            row = {**row, "version": version, "value": value}
        return web.json_response({**row, "now_ms": _now_ms()})

    async def scan(self, request: web.Request) -> web.Response:
        """Returns rows in key order."""
        self.reads += 1
        table = request.match_info["table"]
        after = request.query.get("after", "")
        limit = int(request.query.get("limit", "100"))
        keys = sorted(k for k in self.rows.get(table, {}) if k > after)
        rows = [self._row(table, key) for key in keys[:limit]]
        return web.json_response(rows)

    async def get(self, request: web.Request) -> web.Response:
        """Returns an object; empty if it does not exist."""
        self.reads += 1
        return web.Response(
            body=self.objects.get(request.match_info["name"], b"")
        )

    async def put(self, request: web.Request) -> web.Response:
        """Writes an object."""
        self.writes += 1
        self.objects[request.match_info["name"]] = await request.read()
        return web.json_response({})

    async def versions(self, request: web.Request) -> web.Response:
        """Returns the weights versions of a model."""
        model = request.match_info["model"]
        return web.json_response(self.weights.get(model, ["1", "2"]))

    async def put_versions(self, request: web.Request) -> web.Response:
        """Sets the weights versions of a model."""
        self.weights[request.match_info["model"]] = await request.json()
        return web.json_response({})

    async def list(self, request: web.Request) -> web.Response:
        """Returns the instance list."""
        del request
        self.reads += 1
        return web.json_response(list(self.instances.values()))

    async def put_instance(self, request: web.Request) -> web.Response:
        """Adds or changes an instance."""
        name = request.match_info["name"]
        self.instances[name] = {"name": name, **await request.json()}
        return web.json_response({})

    async def delete_instance(self, request: web.Request) -> web.Response:
        """Removes an instance."""
        self.instances.pop(request.match_info["name"], None)
        return web.json_response({})

    async def counts(self, request: web.Request) -> web.Response:
        """Returns the numbers of reads and writes, and the claims' states."""
        del request
        claims = {
            key: json.loads(value)["state"]
            for key, (_, value) in self.rows.get("claims", {}).items()
        }
        return web.json_response(
            {"reads": self.reads, "writes": self.writes, "claims": claims}
        )

    def _row(self, table: str, key: str) -> dict:
        version, value = self.rows.get(table, {}).get(key, (0, ""))
        return {"table": table, "key": key, "version": version, "value": value}


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    faults.run(Platform().app(), parser.parse_args().port)


if __name__ == "__main__":
    main()
