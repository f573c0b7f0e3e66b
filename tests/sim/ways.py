"""One daemon's ways to the platform and to the others, which may fail."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err, Ok

from godwittack.peer import exchange, peer_pb2, wire
from sim import fakes

if TYPE_CHECKING:
    from sim.fleet import Fleet, FleetDaemon

PEER_TIMEOUT_S = 0.4


class Objects:
    """Object store, down when told."""

    def __init__(self) -> None:
        self.down = False
        self.kept: dict[str, bytes] = {}

    async def get(self, name):
        """Returns an object."""
        if self.down:
            return Err("down")
        return Ok(self.kept.get(name))

    async def put(self, name, data):
        """Writes an object."""
        if self.down:
            return Err("down")
        self.kept[name] = data
        return Ok(None)


class CutTable(fakes.PausableTable):
    """One daemon's way to the table service, which may be cut."""

    def __init__(self, table, gate, world) -> None:
        super().__init__(table, gate, world)
        self.cut = False

    async def transact(self, conditions, writes):
        """Sends a transaction where the way is open."""
        if self.cut:
            return await self.table._silence("transact")
        return await super().transact(conditions, writes)

    async def read(self, row_id):
        """Reads a row where the way is open."""
        if self.cut:
            return await self.table._silence("read")
        return await super().read(row_id)


class InstanceListFake:
    """The platform's instance list as one daemon reaches it."""

    def __init__(self, fleet: Fleet, owner: FleetDaemon) -> None:
        self.fleet = fleet
        self.owner = owner

    async def instances(self):
        """Returns all entries."""
        self.fleet.list_reads += 1
        await self.owner.gate.passed()
        if self.owner.table.cut or self.fleet.table.faults.down:
            return Err("down")
        return Ok(tuple(self.fleet.listed.values()))


class FleetPeers:
    """One daemon's way to the others."""

    def __init__(self, fleet: Fleet, owner: FleetDaemon) -> None:
        self.fleet = fleet
        self.owner = owner

    async def exchange(self, address, message):
        """Carries an envelope there and the answer back."""
        self.fleet.traffic.add(message)
        other = await self._reach(address)
        if other is None:
            return self._lost(address)
        answer = other.gossiper.handle_exchange(message)
        self.fleet.traffic.add(answer)
        if not await self._back(address):
            return self._lost(address)
        return Ok(answer)

    def open_news(self, address, *, on_broken):
        """Returns a stream of news."""
        return FleetStream(self, address)

    async def fetch_table(self, address, *, known_version):
        """Fetches a table."""
        other = await self._reach(address)
        if other is None:
            return self._lost(address)
        asked = peer_pb2.TableRequest(known_version=known_version)
        answer = other.gossiper.handle_table_request(asked)
        await asyncio.sleep(self.fleet.fetch_s)
        if not await self._back(address):
            return self._lost(address)
        return Ok(answer)

    async def _reach(self, address):
        await self.owner.gate.passed()
        await asyncio.sleep(self.fleet.rng.uniform(0.001, 0.004))
        other = self.fleet.at(address)
        blocked = (
            other is None
            or other.paused
            or (self.owner.address, address) in self.fleet.cuts
        )
        if blocked:
            await asyncio.sleep(PEER_TIMEOUT_S)
            await self.owner.gate.passed()
            return None
        return other

    async def _back(self, address) -> bool:
        await asyncio.sleep(self.fleet.rng.uniform(0.001, 0.004))
        await self.owner.gate.passed()
        return (address, self.owner.address) not in self.fleet.cuts

    def _lost(self, address):
        return Err(
            exchange.PeerError(step="exchange", peer=address, detail="lost")
        )


class FleetStream:
    """One daemon's stream of news to another."""

    def __init__(self, peers: FleetPeers, address: str) -> None:
        self.peers = peers
        self.address = address
        self.sender_id = ""
        self.reader = wire.NewsReader()

    async def send(self, message):
        """Carries one message there."""
        self.peers.fleet.traffic.add(message)
        self.sender_id = self.sender_id or message.sender_id
        other = await self.peers._reach(self.address)
        if other is None:
            return self.peers._lost(self.address)
        if self.address in self.peers.fleet.deaf_to_news:
            # Lost after it was handed to the connection.
            return Ok(None)
        other.gossiper.handle_news(self.sender_id, message, self.reader)
        return Ok(None)

    def close(self) -> None:
        """Does nothing."""
