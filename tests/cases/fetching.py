"""Fetching a newer table from peers and from the store."""

from __future__ import annotations

import asyncio
import json

import aiohttp
from result import Ok

from cases import one_lead
from godwittack.clock import ManualClock
from godwittack.daemon import tables
from godwittack.member import store_lease
from godwittack.peer import peer_pb2
from godwittack.platform import rows


class _Peers:
    """Peers of which one does not answer."""

    def __init__(self, *, silent: str) -> None:
        self.asked: list[str] = []
        self._silent = silent

    async def fetch_table(self, address, *, known_version, base_digest):
        """Answers that there is no newer table, or never."""
        self.asked.append(address)
        if address == self._silent:
            await asyncio.sleep(3_600)
        return Ok(peer_pb2.TableReply(version=known_version))


async def a_silent_peer_holds_up_no_fetch_from_another() -> None:
    """A table is fetched from a peer that answers while another doesn't.

    Guards against a change that is in force late at one daemon: its only fetch
    ran against a daemon that stood still, until the time limit, and all other
    peers with the newer table were passed over.
    """
    peers = _Peers(silent="10.0.0.1:1")
    clock = ManualClock(100_000)
    keeper = tables.TableKeeper(
        runtime=one_lead.Runtime(clock),
        peers=peers,
        serving_lease=store_lease.StoreServingLease(bound_ms=5_000),
    )
    held_up = asyncio.create_task(keeper.fetch_from_peer("10.0.0.1:1"))
    await asyncio.sleep(0)
    # Peers that tell of the same version at the same time share one fetch.
    await keeper.fetch_from_peer("10.0.0.3:1")
    assert peers.asked == ["10.0.0.1:1"], peers.asked
    clock.advance(by_ms=tables.FETCH_INTERVAL_MS)
    other = asyncio.create_task(keeper.fetch_from_peer("10.0.0.2:1"))
    await asyncio.sleep(0.05)
    try:
        assert "10.0.0.2:1" in peers.asked, peers.asked
        assert other.done()
    finally:
        for task in (held_up, other):
            task.cancel()
        await asyncio.gather(held_up, other, return_exceptions=True)


async def a_large_configuration_is_read_over_a_slow_link() -> None:
    """A page that keeps arriving is read, one that stops is given up.

    Guards against a daemon that never gets a configuration of a thousand
    routes: each read was given up after the time for a short answer.
    """
    row = {"key": "config", "value": "QUJD" * 100_000, "row-version": 7}
    body = json.dumps({"rows": [row], "row-version": 7, "now-ms": 1}).encode()

    async def read(*, pieces: int) -> object:
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            )
            size = len(body) // 10 + 1
            for start in range(0, pieces * size, size):
                writer.write(body[start : start + size])
                await asyncio.sleep(0.05)
            await reader.read()
            writer.close()

        async with (
            await asyncio.start_server(serve, "127.0.0.1", 0) as server,
            aiohttp.ClientSession() as session,
        ):
            host, port = server.sockets[0].getsockname()
            store = rows.Rows(
                session=session, address=f"{host}:{port}", timeout_ms=200
            )
            return await store.page("op", from_key="")

    whole = await read(pieces=10)
    assert whole.is_ok() and len(whole.ok_value.rows) == 1
    async with asyncio.timeout(2):
        assert (await read(pieces=4)).is_err()
