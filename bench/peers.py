"""Stand-in for the other daemons of a large fleet, all in one process.

Each listens on a port of its own, answers probes, probes one real daemon as
often as a fleet of that size would, and, where it belongs to the audience,
tells it news on a stream of its own.
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
class PeersAsked:
    """What the stand-in is asked to be.

    Attributes:
        daemon: Peer address of the real daemon.
        probes_a_s: Probes that reach the daemon a second.
        audience: Peers that tell it news.
        loads: Load reports in each piece of news.
        cell_tellers: Of them, those that tell demand of a cell as well.
        levels: Cache levels stored or evicted in each.
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
    """Implements `PeerHandler` for one member."""

    def __init__(
        self,
        number: int,
        address: str,
        *,
        fleet: list[FakePeer],
        known: set[str],
    ) -> None:
        """Is a live member of `fleet`, which has heard of those `known`."""
        self.member = view.Member(
            member_id=peer_name(number),
            peer_address=address,
            http_address=address,
            failure_domain=f"domain-{number % 5}",
        )
        self.number = number
        self.version = 0
        self._fleet = fleet
        self._known = known
        self.list_hash = 0

    def envelope(self) -> peer_pb2.Envelope:
        """Returns what a probe or its answer says."""
        return peer_pb2.Envelope(
            protocol_version=exchange.PROTOCOL_VERSION,
            sender=self.own(is_full=False),
            table_version=self.version,
            list_hash=self.list_hash,
        )

    def own(self, *, is_full: bool) -> peer_pb2.Member:
        """Returns its entry, without addresses where these are known."""
        if is_full:
            return codec.member_to_proto(self.member)
        return peer_pb2.Member(
            member_id=self.member.member_id, refutation=self.member.refutation
        )

    def handle_exchange(self, told: peer_pb2.Envelope) -> peer_pb2.Envelope:
        """Answers a probe; has whatever table the daemon has."""
        self.version = told.table_version
        for update in told.updates:
            if update.member_id == self.member.member_id and update.state:
                self.member = dataclasses.replace(
                    self.member, refutation=update.refutation + 1
                )
        answer = self.envelope()
        answer.sender.CopyFrom(self.own(is_full=told.who_is_it))
        if told.sender.member_id not in self._known:
            self._known.add(told.sender.member_id)
            answer.is_full = True
            answer.updates.extend(
                codec.member_to_proto(peer.member) for peer in self._fleet
            )
        return answer

    def handle_news(self, sender_id: str, news: peer_pb2.News) -> None:
        """Takes news."""

    def handle_table_request(
        self, asked: peer_pb2.TableRequest
    ) -> peer_pb2.TableReply:
        """Has no newer table."""
        return peer_pb2.TableReply(version=asked.known_version)

    def handle_report_request(self) -> peer_pb2.ReportReply:
        """Has counted nothing."""
        return peer_pb2.ReportReply(report_json="{}")


def peer_name(number: int) -> str:
    """Returns a peer's member id, as long as a real one."""
    return f"entry-{number}@{number:08x}"


async def main(file: str) -> None:
    """Plays the peers until it is ended."""
    told = json.loads(pathlib.Path(file).read_text())
    asked = PeersAsked(**told)
    secret = asked.secret.encode()
    peers: list[FakePeer] = []
    known: set[str] = set()
    for number, address in enumerate(asked.addresses):
        peers.append(FakePeer(number, address, fleet=peers, known=known))
    servers = [peer_server.PeerServer(handler=p, secret=secret) for p in peers]
    sockets = [
        datagram.DatagramPeers(secret=secret, timeout_ms=TIMEOUT_MS)
        for _ in peers
    ]
    for peer, server, socket in zip(peers, servers, sockets, strict=True):
        await server.start(peer.member.peer_address)
        await socket.start(peer.member.peer_address, handler=peer)
    read = await _list_hash(asked.platform_url)
    readers = assignment.list_readers([peer.member for peer in peers])
    for peer in peers:
        peer.list_hash = read if peer.member in readers else 0
    print("listening", flush=True)
    tellers = [_tell(peer, asked) for peer in peers[: asked.audience]]
    await asyncio.gather(_probe(peers, sockets, asked), *tellers)


async def _list_hash(platform_url: str) -> int:
    async with aiohttp.ClientSession() as session:
        client = http.HttpPlatform(
            session=session,
            base_url=platform_url,
            timeout_ms=TIMEOUT_MS,
            backoff_ms=0,
            clock=SystemClock(),
        )
        got = await client.instances()
    return listing.fingerprint({i.name: i for i in got.ok_value})


async def _probe(
    peers: list[FakePeer],
    sockets: list[datagram.DatagramPeers],
    asked: PeersAsked,
) -> None:
    rng = random.Random(1)
    while True:
        number = rng.randrange(len(peers))
        peer = peers[number]
        got = await sockets[number].exchange(asked.daemon, peer.envelope())
        if got.is_ok():
            peer.version = got.ok_value.table_version
        await asyncio.sleep(1 / asked.probes_a_s)


async def _tell(peer: FakePeer, asked: PeersAsked) -> None:
    client = exchange.PeerClient(
        secret=asked.secret.encode(), timeout_ms=TIMEOUT_MS
    )
    rng = random.Random(peer.member.member_id)
    stream, writer = None, wire.NewsWriter()
    while True:
        await asyncio.sleep(asked.news_ms / 1000 * rng.uniform(0.9, 1.1))
        opens = stream is None
        if stream is None:
            stream = client.open_news(asked.daemon, on_broken=lambda: None)
            writer = wire.NewsWriter()
        message = writer.write(_news(peer, asked, rng), now_ms=0)
        if opens:
            message.sender_id = peer.member.member_id
        if (await stream.send(message)).is_err():
            stream = None


def _news(
    peer: FakePeer, asked: PeersAsked, rng: random.Random
) -> pending.PendingNews:
    number = peer.number
    has_demand = number < asked.cell_tellers
    names = [f"server-{15 * (2 * number + n)}" for n in range(asked.loads)]
    return pending.PendingNews(
        loads={name: _load(name, rng) for name in names},
        digests=[_digest(names[0], asked.levels, rng)],
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
