"""Faults of a stand-in, which tests set over HTTP."""

from __future__ import annotations

import asyncio
import time

from aiohttp import web


class Faults:
    """The active faults of one stand-in.

    Attributes:
        down: Whether connections are closed without an answer.
        slow_ms: Delay before each answer.
        lose_replies: Number of next writes whose reply is lost.
        silent_since: Monotonic time in ns; streams opened earlier write
            nothing more, later ones work.
        values: Values of all other faults, by kind.
    """

    def __init__(self) -> None:
        self.down = False
        self.slow_ms = 0
        self.lose_replies = 0
        self.silent_since = 0
        self.values: dict[str, int] = {}

    async def set_fault(self, request: web.Request) -> web.Response:
        """Sets one fault, such as {"kind": "slow", "value": 200}."""
        fault = await request.json()
        kind, value = fault["kind"], int(fault.get("value", 1))
        match kind:
            case "down":
                self.down = bool(value)
            case "slow":
                self.slow_ms = value
            case "lose_replies":
                self.lose_replies = value
            case "silent":
                self.silent_since = time.monotonic_ns()
            case "freeze":
                # Blocks the whole process, as if it were stopped.
                asyncio.get_running_loop().call_later(
                    0.01, time.sleep, value / 1000
                )
            case _:
                self.values[kind] = value
        return web.json_response({})

    def consume(self, kind: str) -> bool:
        """Uses up one occurrence of a counted fault, if any is left."""
        remaining = self.values.get(kind, 0)
        if remaining > 0:
            self.values[kind] = remaining - 1
        return remaining > 0

    @web.middleware
    async def middleware(self, request, handler):
        """Applies the faults to all requests except those to /fault."""
        if request.path.startswith("/fault"):
            return await handler(request)
        if self.slow_ms:
            await asyncio.sleep(self.slow_ms / 1000)
        tables_down = self.values.get("tables_down")
        if self.down or (tables_down and request.path.startswith("/tables")):
            request.transport.abort()
            return web.Response()
        response = await handler(request)
        if self.lose_replies and request.method in ("POST", "PUT"):
            self.lose_replies -= 1
            request.transport.abort()
        return response


def run(app: web.Application, port: int) -> None:
    """Serves a stand-in on loopback until it is stopped."""
    web.run_app(
        app,
        host="127.0.0.1",
        port=port,
        print=None,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=0.2,
    )
