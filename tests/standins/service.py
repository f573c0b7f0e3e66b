"""Stand-in for a plain service that counts its runs."""

from __future__ import annotations

import argparse
import asyncio
import collections
import secrets

from aiohttp import web

from standins import faults


class Service:
    """Answers every path; counts runs by idempotency key."""

    def __init__(self, work_ms: int) -> None:
        self.faults = faults.Faults()
        self.work_ms = work_ms
        self.runs: collections.Counter[str] = collections.Counter()
        self.incarnation = secrets.token_hex(4)
        self.running = 0
        self.leaving = False
        self.last_headers: list[list[str]] = []

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(middlewares=[self.faults.middleware])
        app.add_routes(
            [
                web.get("/load", self.load),
                web.post("/fault", self.faults.set_fault),
                web.get("/fault/counts", self.counts),
                web.post("/fault/leave", self.leave),
                web.route("*", "/{path:.*}", self.call),
            ]
        )
        return app

    async def call(self, request: web.Request) -> web.Response:
        """Runs one call."""
        body = await request.read()
        self.last_headers = [[k.lower(), v] for k, v in request.headers.items()]
        if self.faults.consume("die_before_run"):
            request.transport.abort()
            return web.Response()
        key = request.headers.get("idempotency-key", "")
        self.running += 1
        try:
            self.runs[key or request.path] += 1
            number = self.runs.total()
            if self.faults.consume("die_after_run"):
                request.transport.abort()
                return web.Response()
            wait_ms = self.faults.values.get("work_ms", self.work_ms)
            # Shielded from a disconnect of the caller, as a real commit is.
            await asyncio.shield(asyncio.sleep(wait_ms / 1000))
        finally:
            self.running -= 1
        return web.json_response(
            {
                "run": number,
                "path": request.raw_path,
                "method": request.method,
                "bytes": len(body),
                "padding": "x" * self.faults.values.get("answer_bytes", 0),
            },
            headers={"x-service": "stand-in"},
        )

    async def load(self, request: web.Request) -> web.Response:
        """Returns the load report."""
        del request
        return web.json_response(
            {
                "incarnation": self.incarnation,
                "running": self.running,
                "slots": 64,
                "leaving": self.leaving,
            }
        )

    async def counts(self, request: web.Request) -> web.Response:
        """Returns runs by key and the last call's headers."""
        del request
        return web.json_response(
            {"runs": dict(self.runs), "headers": self.last_headers}
        )

    async def leave(self, request: web.Request) -> web.Response:
        """Marks the service as leaving."""
        del request
        self.leaving = True
        return web.json_response({})


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--work-ms", type=int, default=20)
    options = parser.parse_args()
    faults.run(Service(options.work_ms).app(), options.port)


if __name__ == "__main__":
    main()
