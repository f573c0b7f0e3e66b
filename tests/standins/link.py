"""Stand-in for a middlebox that may drop or stall TCP connections."""

from __future__ import annotations

import argparse
import asyncio

from aiohttp import web


class Link:
    """Forwards TCP connections; cuts, stalls or refuses them on request."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.cut_request_at = -1
        self.cut_reply_at = -1
        self.refuse = False
        self.generation = 0
        self.stalled_below = 0
        self.open: set[asyncio.StreamWriter] = set()
        self.connections = 0

    async def set_fault(self, request: web.Request) -> web.Response:
        """Sets one fault; for a cut, -1 clears it."""
        fault = await request.json()
        kind, value = fault["kind"], int(fault.get("value", 1))
        match kind:
            case "cut_request_at":
                self.cut_request_at = value
            case "cut_reply_at":
                self.cut_reply_at = value
            case "refuse":
                self.refuse = bool(value)
                if value:
                    self._abort_all()
            case "silent":
                # Connections that are open now stall; new ones work.
                self.generation += 1
                self.stalled_below = self.generation
            case "abort":
                self._abort_all()
        return web.json_response({})

    async def counts(self, request: web.Request) -> web.Response:
        """Returns the number of connections."""
        del request
        return web.json_response({"connections": self.connections})

    async def forward(self, reader, writer) -> None:
        """Forwards one connection."""
        if self.refuse:
            writer.transport.abort()
            return
        self.connections += 1
        generation = self.generation
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self.open |= {writer, target_writer}
        cut_request, cut_reply = self.cut_request_at, self.cut_reply_at
        await asyncio.wait(
            [
                asyncio.create_task(
                    self._pump(
                        reader, target_writer, writer, cut_request, generation
                    )
                ),
                asyncio.create_task(
                    self._pump(
                        target_reader,
                        writer,
                        target_writer,
                        cut_reply,
                        generation,
                    )
                ),
            ],
            return_when=asyncio.FIRST_COMPLETED,
        )
        for end in (writer, target_writer):
            self.open.discard(end)
            end.close()

    async def _pump(self, reader, writer, sender, cut_at, generation) -> None:
        sent = 0
        while data := await reader.read(65536):
            if generation < self.stalled_below:
                await asyncio.sleep(3600)
            if 0 <= cut_at < sent + len(data):
                writer.write(data[: cut_at - sent])
                await writer.drain()
                writer.transport.abort()
                sender.transport.abort()
                return
            sent += len(data)
            writer.write(data)
            await writer.drain()

    def _abort_all(self) -> None:
        for writer in self.open:
            writer.transport.abort()


async def serve(options: argparse.Namespace) -> None:
    """Runs the link and its control server until stopped."""
    link = Link(options.target_port)
    app = web.Application()
    app.add_routes(
        [
            web.post("/fault", link.set_fault),
            web.get("/fault/counts", link.counts),
        ]
    )
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", options.port).start()
    server = await asyncio.start_server(
        link.forward, "127.0.0.1", options.link_port
    )
    async with server:
        await server.serve_forever()


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--link-port", type=int, required=True)
    parser.add_argument("--target-port", type=int, required=True)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
