"""Simulated connections of one daemon to the platform and to its peers."""

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
    """Object store that can be made to fail."""

    def __init__(self) -> None:
        self.down = False
        self.stored: dict[str, bytes] = {}

    async def get(self, name):
        """Returns an object."""
        if self.down:
            return Err("down")
        return Ok(self.stored.get(name))

    async def put(self, name, data):
        """Writes an object."""
        if self.down:
            return Err("down")
        self.stored[name] = data
        return Ok(None)


class CutTable(fakes.PausableTable):
    """One daemon's connection to the table service, which may be cut."""

    def __init__(self, table, gate, world) -> None:
        super().__init__(table, gate, world)
        self.is_cut = False

    async def transact(self, conditions, writes):
        """Sends a transaction; times out if the connection is cut."""
        if self.is_cut:
            return await self.table._time_out("transact")
        return await super().transact(conditions, writes)

    async def read(self, row_id):
        """Reads a row; times out if the connection is cut."""
        if self.is_cut:
            return await self.table._time_out("read")
        return await super().read(row_id)


class InstanceListFake:
    """One daemon's connection to the platform's instance list."""

    def __init__(self, fleet: Fleet, owner: FleetDaemon) -> None:
        self.fleet = fleet
        self.owner = owner

    async def instances(self):
        """Returns all entries."""
        self.fleet.list_reads += 1
        await self.owner.gate.wait_until_open()
        if self.owner.table.is_cut or self.fleet.table.faults.down:
            return Err("down")
        return Ok(tuple(self.fleet.listed.values()))


class FleetPeers:
    """One daemon's connections to its peers."""

    def __init__(self, fleet: Fleet, owner: FleetDaemon) -> None:
        self.fleet = fleet
        self.owner = owner

    async def exchange(self, address, message):
        """Delivers an envelope to a peer and returns its reply."""
        self.fleet.traffic.add(message)
        other = await self._connect(address)
        if other is None:
            return self._lost_error(address)
        reply = other.gossiper.handle_exchange(message)
        self.fleet.traffic.add(reply)
        if not await self._deliver_reply(address):
            return self._lost_error(address)
        return Ok(reply)

    def open_news(self, address, *, on_broken):
        """Opens a stream of updates to a peer."""
        return FleetStream(self, address)

    async def fetch_table(self, address, *, known_version, base_digest):
        """Fetches the table from a peer."""
        other = await self._connect(address)
        if other is None:
            return self._lost_error(address)
        request = peer_pb2.TableRequest(known_version=known_version)
        reply = other.gossiper.handle_table_request(request)
        await asyncio.sleep(self.fleet.fetch_delay_s)
        if not await self._deliver_reply(address):
            return self._lost_error(address)
        return Ok(reply)

    async def _connect(self, address):
        await self.owner.gate.wait_until_open()
        await asyncio.sleep(self.fleet.rng.uniform(0.001, 0.004))
        other = self.fleet.daemon_at(address)
        is_blocked = (
            other is None
            or other.paused
            or (self.owner.address, address) in self.fleet.cut_links
        )
        if is_blocked:
            await asyncio.sleep(PEER_TIMEOUT_S)
            await self.owner.gate.wait_until_open()
            return None
        return other

    async def _deliver_reply(self, address) -> bool:
        await asyncio.sleep(self.fleet.rng.uniform(0.001, 0.004))
        await self.owner.gate.wait_until_open()
        return (address, self.owner.address) not in self.fleet.cut_links

    def _lost_error(self, address):
        return Err(
            exchange.PeerError(step="exchange", peer=address, detail="lost")
        )


class FleetStream:
    """One daemon's stream of updates to a peer."""

    def __init__(self, peers: FleetPeers, address: str) -> None:
        self.peers = peers
        self.address = address
        self.sender_id = ""
        self.reader = wire.NewsReader()

    async def send(self, message):
        """Delivers one message to the peer."""
        self.peers.fleet.traffic.add(message)
        self.sender_id = self.sender_id or message.sender_id
        other = await self.peers._connect(self.address)
        if other is None:
            return self.peers._lost_error(self.address)
        if self.address in self.peers.fleet.update_loss_addresses:
            # Lost after the connection accepted it.
            return Ok(None)
        other.gossiper.handle_news(self.sender_id, message, self.reader)
        return Ok(None)

    def close(self) -> None:
        """Does nothing."""
