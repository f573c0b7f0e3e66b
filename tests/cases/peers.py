"""Calls and news between daemons, over real sockets on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import sys
import time
import types
import zlib

import aiohttp
from result import Ok

from cases import routed_core
from cluster import processes
from godwittack.clock import ManualClock
from godwittack.core import inputs
from godwittack.daemon import peer_updates
from godwittack.limit import shares
from godwittack.member import view
from godwittack.peer import datagram, exchange, peer_pb2, server, tables
from godwittack.table import model, schema

SECRET = b"s" * 32
STRANGER = b"x" * 32
TIMEOUT_MS = 2_000


class FakeHandler:
    """Keeps what it is told."""

    def __init__(self) -> None:
        self.news: list[tuple[str, list[str]]] = []

    def handle_exchange(self, told):
        """Returns the same."""
        return told

    def handle_news(self, sender_id, news, reader):
        """Keeps the servers named as leaving."""
        del reader
        self.news.append((sender_id, [told.server_id for told in news.leaving]))

    def handle_table_request(self, asked):
        """Returns a table."""
        return peer_pb2.TableReply(version=asked.known_version + 1)

    def handle_report_request(self):
        """Returns nothing."""
        return peer_pb2.ReportReply()


def _leaving(server_id: str) -> peer_pb2.News:
    return peer_pb2.News(leaving=[peer_pb2.Leaving(server_id=server_id)])


@contextlib.asynccontextmanager
async def pair(*, secret: bytes = SECRET):
    """Runs a server, and a client with the secret."""
    handler = FakeHandler()
    listening = server.PeerServer(handler=handler, secret=SECRET)
    address = f"127.0.0.1:{processes.free_port()}"
    await listening.start(address)
    client = exchange.PeerClient(secret=secret, timeout_ms=TIMEOUT_MS)
    try:
        yield types.SimpleNamespace(
            handler=handler, server=listening, client=client, address=address
        )
    finally:
        await client.close()
        await listening.stop()


async def news_arrive_in_order_with_their_sender():
    """One stream carries many messages; the first one names the sender."""
    async with pair() as two:
        stream = two.client.open_news(two.address, on_broken=_never)
        for number in range(5):
            sent = _leaving(f"s{number}")
            if not number:
                sent.sender_id = "d1"
            assert (await stream.send(sent)).is_ok()
        await _until(lambda: len(two.handler.news) == 5)
        stream.close()
    assert two.handler.news == [("d1", [f"s{n}"]) for n in range(5)]


async def calls_are_answered():
    """Each call finds its handler."""
    async with pair() as two:
        got = await two.client.fetch_table(two.address, known_version=4)
        assert got.ok_value.version == 5, got
        assert (await two.client.fetch_report(two.address)).is_ok()
        told = peer_pb2.Envelope(table_version=7)
        got = await two.client.exchange(two.address, told)
        assert got.ok_value.table_version == 7, got


async def a_stranger_gets_neither_answers_nor_streams():
    """Symptom: a process of another cluster changes what this one believes.

    Sequence: it connects to a daemon's address with another secret. Cause if
    it happens: a way in that does not check the proof.
    """
    async with pair(secret=STRANGER) as two:
        got = await two.client.fetch_table(two.address, known_version=4)
        assert "status 401" in got.err_value.detail, got
        stream = two.client.open_news(two.address, on_broken=_never)
        sent = await stream.send(_leaving("s0"))
        assert sent.is_err()
    assert two.handler.news == []


async def what_cannot_be_read_is_refused():
    """Symptom: a daemon logs a traceback, or ends, for another's bytes.

    Sequence: a call, and a message on a stream, that are no messages. The
    call is answered so; the stream ends, and its sender opens another.
    """
    broken = asyncio.Event()
    async with pair() as two:
        headers = {exchange.PROOF_HEADER: exchange.proof(SECRET)}
        url = f"http://{two.address}"
        async with aiohttp.ClientSession(headers=headers) as session:
            for path, status in (
                (exchange.EXCHANGE_PATH, 400),
                ("/peer/none", 404),
            ):
                got = await session.post(url + path, data=b"\xff\xff")
                assert got.status == status, (path, got.status)
            socket = await session.ws_connect(url + exchange.NEWS_PATH)
            await socket.send_bytes(b"\xff\xff")
            ended = await socket.receive(timeout=1)
            assert ended.type is not aiohttp.WSMsgType.BINARY, ended
        stream = two.client.open_news(two.address, on_broken=broken.set)
        assert (await stream.send(peer_pb2.News(sender_id="d1"))).is_ok()
        stream.close()
    assert two.handler.news == [("d1", [])]


async def a_server_that_stops_ends_its_streams_at_once():
    """Symptom: news is written for seconds to a daemon that is gone.

    Sequence: a daemon stops while others hold streams to it. Cause if it
    happens: a sender that doesn't read its stream does not see it closed.
    """
    broken = asyncio.Event()
    async with pair() as two:
        stream = two.client.open_news(two.address, on_broken=broken.set)
        assert (await stream.send(peer_pb2.News(sender_id="d1"))).is_ok()
        await _until(lambda: two.handler.news)
        started = time.monotonic()
        await two.server.stop()
        took_ms = (time.monotonic() - started) * 1000
        await asyncio.wait_for(broken.wait(), 1)
        assert took_ms < 900, took_ms
        assert (await stream.send(peer_pb2.News())).is_err()


class ScriptedStreams:
    """A client whose streams break when told to."""

    def __init__(self) -> None:
        self.sent: list[list[peer_pb2.News]] = []
        self.breaks = []

    def open_news(self, address, *, on_broken):
        """Returns a stream that keeps what is sent."""
        del address
        self.sent.append([])
        self.breaks.append(on_broken)
        return types.SimpleNamespace(send=self._send, close=lambda: None)

    async def _send(self, news):
        self.sent[-1].append(news)
        return Ok(None)


async def what_matters_at_once_is_told_without_a_stream():
    """Long prompts are announced to peers by datagrams with a proof.

    Symptom if it fails: two daemons send their prompts to one idle engine, or
    a stranger makes an engine look busy.
    Sequence: a daemon spreads news to a peer that listens and to one that is
    gone; a stranger spreads the same.
    """
    heard: list[peer_pb2.News] = []
    told = peer_pb2.News()
    told.dispatched.add(server_id="e1", tokens=9_000, levels=[1, 2])
    hearing, sending, stranger = (
        datagram.DatagramPeers(secret=secret, timeout_ms=TIMEOUT_MS)
        for secret in (SECRET, SECRET, STRANGER)
    )
    hearing.on_news = heard.append
    address = await _start_datagrams(hearing)
    await _start_datagrams(stranger)
    await _start_datagrams(sending)
    stranger.broadcast([address], told)
    sending.broadcast(["127.0.0.1:9", address], told)
    await _until(lambda: heard)
    await asyncio.sleep(0.02)
    for peers in (hearing, sending, stranger):
        peers.close()
    assert heard == [told]


async def ports_to_listen_on_are_no_outgoing_ones():
    """Symptom: a test's daemon ends at once, "address already in use".

    Sequence: a port is chosen while it is free; the daemon's process starts,
    which takes a second; an outgoing connection of any process has got the
    port meanwhile. Cause: chosen among those that outgoing connections get.
    """
    listed = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
    first, last = map(int, listed.split())
    ports = [processes.free_port() for _ in range(50)]
    assert len(set(ports)) == len(ports)
    assert not [port for port in ports if first <= port <= last], ports


async def ports_of_processes_beside_each_other_differ():
    """Symptom: a stand-in ends at once, "address already in use".

    Sequence: features run in three processes; one chooses a port, and what it
    starts there listens a second later; another one has chosen it meanwhile.
    Cause: each looked only at what listens, and at what it had given itself.
    """
    script = (
        "from cluster import processes;"
        "print(*(processes.free_port() for _ in range(400)));"
        "input()"
    )
    running = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            script,
            cwd=pathlib.Path(processes.__file__).parent.parent,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        for _ in range(3)
    ]
    given = [(await child.stdout.readline()).split() for child in running]
    for child in running:
        await child.communicate(b"\n")
    every = [port for ports in given for port in ports]
    assert len(every) == 1_200 and len(set(every)) == 1_200, len(set(every))


async def _start_datagrams(peers: datagram.DatagramPeers) -> str:
    address = f"127.0.0.1:{processes.free_port()}"
    await peers.start(address, handler=FakeHandler())
    return address


async def demand_is_told_again_when_a_stream_breaks():
    """Symptom: two daemons split a limit by figures of long ago.

    Sequence: a daemon tells its demand; the stream breaks before the peer
    reads it; the demand stays as it is. Cause: demand is told on changes
    only, and the next change may be minutes away.
    """
    streams = ScriptedStreams()
    told = _news(streams)
    told.flush()
    await _until(lambda: len(streams.sent) == 1 and streams.sent[0])
    assert [d.cell for d in streams.sent[0][0].demands] == ["workspace/desk"]
    streams.breaks[0]()
    await _until(lambda: len(streams.sent) == 2 and streams.sent[1])
    assert [d.cell for d in streams.sent[1][0].demands] == ["workspace/desk"]
    told.close()


async def demand_that_stays_is_told_once():
    """Symptom: sixty daemons tell each other their demand five times a second.

    Cause: what was told held a figure that nobody reads, and that changed with
    each request: the number in flight.
    """
    streams = ScriptedStreams()
    told = _news(streams)
    told.flush()
    await _until(lambda: len(streams.sent) == 1 and streams.sent[0])
    told.world.shares.cells["workspace/desk"].in_flight = 5
    told.flush()
    await asyncio.sleep(0.02)
    told.close()
    assert len(streams.sent[0]) == 1, streams.sent


async def a_model_s_rate_is_told_when_it_moves():
    """Symptom: sixty daemons tell each other of every request that comes.

    Sequence: the rate of a model's requests wavers by a tenth, then doubles.
    Cause: a figure that only weighs others' load was told as exactly as one by
    which limits are split.
    """
    streams = ScriptedStreams()
    told = _news(streams)
    told.world.shares.cells.clear()
    use = told.world.shares.cells["model/rulebook"]
    for rate in (10.0, 10.9, 9.4, 20.0):
        use.rate_per_s = rate
        told.flush()
        await asyncio.sleep(0.02)
    told.close()
    assert len(streams.sent[0]) == 2, streams.sent


def _news(streams: ScriptedStreams) -> peer_updates.PeerUpdates:
    me, other = (
        view.Member(
            member_id=name,
            peer_address=f"{name}:1",
            http_address=f"{name}:2",
            failure_domain="hall",
        )
        for name in ("d1", "d2")
    )
    world = types.SimpleNamespace(
        shares=shares.Shares(daemon="d1"),
        table=types.SimpleNamespace(targets=()),
    )
    world.shares.cells["workspace/desk"].demand = 3.0
    told = peer_updates.PeerUpdates(
        members=types.SimpleNamespace(me=me, live=lambda: [me, other]),
        runtime=types.SimpleNamespace(
            core=types.SimpleNamespace(world=world),
            clock=ManualClock(1_000),
            submit=_ignore,
        ),
        client=streams,
    )
    told.world = world
    return told


def _ignore(told: inputs.Input) -> None:
    del told


def _never() -> None:
    raise AssertionError("the stream broke")


async def _until(true) -> None:
    async with asyncio.timeout(2):
        while not true():
            await asyncio.sleep(0.005)


def a_table_passed_on_is_the_same_table() -> None:
    """Peers read what they were sent, compressed or not, and nothing else."""
    told = routed_core.table(7, keys=tuple(f"key{n}" for n in range(280)))
    for number in range(140):
        name = f"workspace-{number}"
        told.workspaces[name] = model.WorkspaceRow(
            name=name, max_in_flight=200, max_requests_per_s=100.0
        )
    writer = tables.TableWriter()
    sizes = []
    for accepts in (False, True):
        asked = peer_pb2.TableRequest(known_version=6, accepts_deflate=accepts)
        reply = writer.reply(told, asked)
        sizes.append(reply.ByteSize())
        read = tables.read(reply)
        assert read is not None
        assert schema.table_to_json(read.ok_value) == schema.table_to_json(told)
    assert sizes[1] < sizes[0] / 2, sizes
    newest = peer_pb2.TableRequest(known_version=7, accepts_deflate=True)
    assert tables.read(writer.reply(told, newest)) is None


def a_damaged_table_is_not_taken_in() -> None:
    """A reply that is cut, spoiled or too long is an error, not a table."""
    asked = peer_pb2.TableRequest(accepts_deflate=True)
    whole = tables.TableWriter().reply(routed_core.table(3), asked)
    packed = whole.table_deflated
    bomb = zlib.compress(b" " * (tables.MAX_TABLE_BYTES + 1))
    for spoiled in (packed[:-9], b"no table", packed[:20] + packed[30:], bomb):
        reply = peer_pb2.TableReply(version=3, table_deflated=spoiled)
        read = tables.read(reply)
        assert read is not None and read.is_err(), spoiled[:20]
