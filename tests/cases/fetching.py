"""Fetching a newer table from peers."""

from __future__ import annotations

import asyncio

from result import Ok

from cases import one_lead
from godwittack.clock import ManualClock
from godwittack.daemon import tables
from godwittack.member import store_lease
from godwittack.peer import peer_pb2


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
