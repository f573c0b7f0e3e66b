"""Simulates the other daemons of a large fleet in one process.

Each listens on its own port and answers probes. Together they probe one real
daemon as often as a fleet of that size would, and those that send updates to
it do so on a stream of their own.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import pathlib
import random
import sys

import aiohttp

from godwittack.clock import SystemClock
from godwittack.core import inputs, server_inputs
from godwittack.daemon import listing
from godwittack.member import assignment, view
from godwittack.peer import codec, datagram, exchange, peer_pb2, pending, wire
from godwittack.peer import server as peer_server
from godwittack.store import http

TIMEOUT_MS = 2_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeersConfig:
    """Configuration of the simulated peers.

    Attributes:
        daemon: Peer address of the real daemon.
        probes_a_s: Probes per second that reach the daemon.
        audience: Number of peers that send it updates.
        news_ms: Mean time between two updates of a peer.
        loads: Load reports per update.
        cell_tellers: Number of these peers that also send demand of a cell.
        levels: Cache levels stored or evicted per update.
    """

    secret: str
    daemon: str
    platform_url: str
    addresses: list[str]
    probes_a_s: float
    audience: int
    news_ms: int
    loads: int
    cell_tellers: int
    levels: int


class FakePeer:
    """Implements `PeerHandler` for one simulated member."""

    def __init__(
        self,
        number: int,
        address: str,
        *,
        fleet: list[FakePeer],
        informed_daemons: set[str],
    ) -> None:
        """Creates a live member.

        Args:
            number: Index in the fleet.
            address: Peer and HTTP address.
            fleet: All simulated members.
            informed_daemons: Ids of the daemons that have received the member
                list; shared by the fleet.
        """
        self.member = view.Member(
            member_id=peer_name(number),
            peer_address=address,
            http_address=address,
            failure_domain=f"domain-{number % 5}",
        )
        self.number = number
        self.table_version = 0
        self._fleet = fleet
        self._informed_daemons = informed_daemons
        self.list_hash = 0

    def envelope(self) -> peer_pb2.Envelope:
        """Returns the envelope of a probe or of an answer to one."""
        return peer_pb2.Envelope(
            protocol_version=exchange.PROTOCOL_VERSION,
            sender=self.own_entry(is_full=False),
            table_version=self.table_version,
            list_hash=self.list_hash,
        )

    def own_entry(self, *, is_full: bool) -> peer_pb2.Member:
        """Returns the member's entry, with its addresses if `is_full`."""
        if is_full:
            return codec.member_to_proto(self.member)
        return peer_pb2.Member(
            member_id=self.member.member_id, refutation=self.member.refutation
        )

    def handle_exchange(self, message: peer_pb2.Envelope) -> peer_pb2.Envelope:
        """Answers a probe; adopts the table version of the sender."""
        self.table_version = message.table_version
        for update in message.updates:
            if update.member_id == self.member.member_id and update.state:
                self.member = dataclasses.replace(
                    self.member, refutation=update.refutation + 1
                )
        answer = self.envelope()
        answer.sender.CopyFrom(self.own_entry(is_full=message.who_is_it))
        if message.sender.member_id not in self._informed_daemons:
            self._informed_daemons.add(message.sender.member_id)
            answer.is_full = True
            answer.updates.extend(
                codec.member_to_proto(peer.member) for peer in self._fleet
            )
        return answer

    def handle_news(self, sender_id: str, news: peer_pb2.News) -> None:
        """Ignores updates."""

    def handle_table_request(
        self, request: peer_pb2.TableRequest
    ) -> peer_pb2.TableReply:
        """Returns no newer table."""
        return peer_pb2.TableReply(version=request.known_version)

    def handle_report_request(self) -> peer_pb2.ReportReply:
        """Returns empty counters."""
        return peer_pb2.ReportReply(report_json="{}")


def peer_name(number: int) -> str:
    """Returns a peer's member id, of the length of a real one."""
    return f"entry-{number}@{number:08x}"


async def main(config_path: str) -> None:
    """Simulates the peers until the process is ended.

    Args:
        config_path: Path of a JSON file with the fields of `PeersConfig`.
    """
    fields = json.loads(pathlib.Path(config_path).read_text())
    config = PeersConfig(**fields)
    secret = config.secret.encode()
    peers: list[FakePeer] = []
    informed_daemons: set[str] = set()
    for number, address in enumerate(config.addresses):
        peers.append(
            FakePeer(
                number, address, fleet=peers, informed_daemons=informed_daemons
            )
        )
    servers = [peer_server.PeerServer(handler=p, secret=secret) for p in peers]
    sockets = [
        datagram.DatagramPeers(secret=secret, timeout_ms=TIMEOUT_MS)
        for _ in peers
    ]
    for peer, server, socket in zip(peers, servers, sockets, strict=True):
        await server.start(peer.member.peer_address)
        await socket.start(peer.member.peer_address, handler=peer)
    list_hash = await _read_list_hash(config.platform_url)
    list_readers = assignment.list_readers([peer.member for peer in peers])
    for peer in peers:
        peer.list_hash = list_hash if peer.member in list_readers else 0
    print("listening", flush=True)
    senders = [
        _send_updates_forever(peer, config) for peer in peers[: config.audience]
    ]
    await asyncio.gather(_probe_forever(peers, sockets, config), *senders)


async def _read_list_hash(platform_url: str) -> int:
    async with aiohttp.ClientSession() as session:
        client = http.HttpPlatform(
            session=session,
            base_url=platform_url,
            timeout_ms=TIMEOUT_MS,
            backoff_ms=0,
            clock=SystemClock(),
        )
        result = await client.instances()
    return listing.fingerprint({i.name: i for i in result.ok_value})


async def _probe_forever(
    peers: list[FakePeer],
    sockets: list[datagram.DatagramPeers],
    config: PeersConfig,
) -> None:
    rng = random.Random(1)
    while True:
        number = rng.randrange(len(peers))
        peer = peers[number]
        answer = await sockets[number].exchange(config.daemon, peer.envelope())
        if answer.is_ok():
            peer.table_version = answer.ok_value.table_version
        await asyncio.sleep(1 / config.probes_a_s)


async def _send_updates_forever(peer: FakePeer, config: PeersConfig) -> None:
    client = exchange.PeerClient(
        secret=config.secret.encode(), timeout_ms=TIMEOUT_MS
    )
    rng = random.Random(peer.member.member_id)
    stream, writer = None, wire.NewsWriter()
    while True:
        await asyncio.sleep(config.news_ms / 1000 * rng.uniform(0.9, 1.1))
        is_new_stream = stream is None
        if stream is None:
            stream = client.open_news(config.daemon, on_broken=lambda: None)
            writer = wire.NewsWriter()
        message = writer.write(_make_updates(peer, config, rng), now_ms=0)
        if is_new_stream:
            message.sender_id = peer.member.member_id
        if (await stream.send(message)).is_err():
            stream = None


def _make_updates(
    peer: FakePeer, config: PeersConfig, rng: random.Random
) -> pending.PendingNews:
    number = peer.number
    has_demand = number < config.cell_tellers
    names = [f"server-{15 * (2 * number + n)}" for n in range(config.loads)]
    return pending.PendingNews(
        loads={name: _load(name, rng) for name in names},
        digests=[_digest(names[0], config.levels, rng)],
        demands=(_demand(number, rng),) if has_demand else None,
    )


def _demand(number: int, rng: random.Random) -> inputs.CellDemand:
    return inputs.CellDemand(
        f"workspace/workspace-{number // 2}",
        rng.randint(10, 90) / 10,
        rng.randint(1, 90) / 10,
    )


def _load(name: str, rng: random.Random) -> server_inputs.LoadReported:
    return server_inputs.LoadReported(
        at_ms=0,
        server_id=name,
        incarnation="0123abcd",
        weights_version="1",
        running=rng.randint(0, 16),
        waiting=rng.randint(0, 4),
        waiting_tokens=rng.randint(0, 20_000),
        prefill_us_per_token=60,
        slots=16,
    )


def _digest(
    name: str, levels: int, rng: random.Random
) -> server_inputs.CacheDigest:
    keys = [rng.getrandbits(64) for _ in range(levels)]
    return server_inputs.CacheDigest(
        at_ms=0,
        server_id=name,
        incarnation="0123abcd",
        weights_version="1",
        cleared=False,
        stored=tuple(keys[::2]),
        removed=tuple(keys[1::2]),
    )


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
