"""Calls and updates between daemons, over real loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import socket
import sys
import time
import types
import zlib

import aiohttp
from result import Ok

from cases import routed_core
from cluster import processes
from godwittack.clock import ManualClock
from godwittack.core import effects, inputs
from godwittack.daemon import peer_updates
from godwittack.limit import quota, shares
from godwittack.member import view
from godwittack.peer import (
    datagram,
    deltas,
    exchange,
    peer_pb2,
    server,
    tables,
    traffic,
)
from godwittack.table import forwarding, model, schema

SECRET = b"s" * 32
OTHER_SECRET = b"x" * 32
TIMEOUT_MS = 2_000
# 120 KB for one change of forty daemons.
MAX_DELTA_BYTES = 3_000


class FakeHandler:
    """Records what it receives."""

    def __init__(self) -> None:
        self.leaving_reports: list[tuple[str, list[str]]] = []

    def handle_exchange(self, envelope):
        """Returns the same envelope."""
        return envelope

    def handle_news(self, sender_id, news, reader):
        """Records the servers reported as leaving."""
        del reader
        self.leaving_reports.append(
            (sender_id, [entry.server_id for entry in news.leaving])
        )

    def handle_table_request(self, request):
        """Returns a table."""
        return peer_pb2.TableReply(version=request.known_version + 1)

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


async def updates_arrive_in_order_with_their_sender():
    """One stream carries many messages; the first identifies the sender."""
    async with pair() as peer_pair:
        stream = peer_pair.client.open_news(peer_pair.address, on_broken=_never)
        for number in range(5):
            sent = _leaving(f"s{number}")
            if not number:
                sent.sender_id = "d1"
            assert (await stream.send(sent)).is_ok()
        await _until(lambda: len(peer_pair.handler.leaving_reports) == 5)
        stream.close()
    assert peer_pair.handler.leaving_reports == [
        ("d1", [f"s{n}"]) for n in range(5)
    ]


async def calls_are_answered():
    """Each call reaches its handler."""
    async with pair() as peer_pair:
        result = await peer_pair.client.fetch_table(
            peer_pair.address, known_version=4
        )
        assert result.ok_value.version == 5, result
        assert (await peer_pair.client.fetch_report(peer_pair.address)).is_ok()
        envelope = peer_pb2.Envelope(table_version=7)
        result = await peer_pair.client.exchange(peer_pair.address, envelope)
        assert result.ok_value.table_version == 7, result


async def a_failed_call_names_what_it_waited_for():
    """A peer that accepts no connection differs from one that is silent.

    Guards against updates that end with TimeoutError() alone, which look the
    same behind a full queue of connections, a busy peer and a slow link.
    """
    counted = traffic.PeerTraffic()
    client = exchange.PeerClient(
        secret=SECRET, timeout_ms=100, messages=counted
    )
    with socket.socket() as listening:
        listening.bind(("127.0.0.1", 0))
        listening.listen(0)
        host, port = listening.getsockname()
        # Connected by the system, and never answered.
        silent = await client.fetch_report(f"{host}:{port}")
        stream = client.open_news(f"{host}:{port}", on_broken=_never)
        full = await stream.send(_leaving("s0"))
    await client.close()
    assert "waiting for answer" in silent.err_value.detail, silent
    assert "waiting for connect" in full.err_value.detail, full
    reports = counted.by_kind[traffic.Kind.REPORT]
    updates = counted.by_kind[traffic.Kind.NEWS]
    assert reports.failed == {traffic.Phase.ANSWER: 1}, reports
    assert updates.failed == {traffic.Phase.CONNECT: 1}, updates
    assert (reports.opened, updates.opened) == (1, 0)


async def a_peer_with_another_secret_gets_neither_answers_nor_streams():
    """Each entry point checks the proof of the cluster secret.

    Guards against a process of another cluster that changes this one's state:
    it connects to a daemon's address with another secret.
    """
    async with pair(secret=OTHER_SECRET) as peer_pair:
        result = await peer_pair.client.fetch_table(
            peer_pair.address, known_version=4
        )
        assert "status 401" in result.err_value.detail, result
        stream = peer_pair.client.open_news(peer_pair.address, on_broken=_never)
        sent = await stream.send(_leaving("s0"))
        assert sent.is_err()
    assert peer_pair.handler.leaving_reports == []


async def unreadable_messages_are_refused():
    """Malformed bytes are refused without an exception.

    Guards against a daemon that logs a traceback, or ends, for a peer's bytes:
    a call, and a message on a stream, that can't be decoded. The call is
    answered with an error status; the stream ends, and its sender opens
    another.
    """
    broken = asyncio.Event()
    async with pair() as peer_pair:
        headers = {exchange.PROOF_HEADER: exchange.proof(SECRET)}
        url = f"http://{peer_pair.address}"
        async with aiohttp.ClientSession(headers=headers) as session:
            for path, status in (
                (exchange.EXCHANGE_PATH, 400),
                ("/peer/none", 404),
            ):
                result = await session.post(url + path, data=b"\xff\xff")
                assert result.status == status, (path, result.status)
            socket = await session.ws_connect(url + exchange.NEWS_PATH)
            await socket.send_bytes(b"\xff\xff")
            ended = await socket.receive(timeout=1)
            assert ended.type is not aiohttp.WSMsgType.BINARY, ended
        stream = peer_pair.client.open_news(
            peer_pair.address, on_broken=broken.set
        )
        assert (await stream.send(peer_pb2.News(sender_id="d1"))).is_ok()
        stream.close()
    assert peer_pair.handler.leaving_reports == [("d1", [])]


async def a_server_that_stops_ends_its_streams_at_once():
    """A daemon that stops closes the streams that others hold to it.

    Guards against updates written for seconds to a daemon that is gone, by a
    sender that doesn't read its stream and so does not see it closed.
    """
    broken = asyncio.Event()
    async with pair() as peer_pair:
        stream = peer_pair.client.open_news(
            peer_pair.address, on_broken=broken.set
        )
        assert (await stream.send(peer_pb2.News(sender_id="d1"))).is_ok()
        await _until(lambda: peer_pair.handler.leaving_reports)
        started = time.monotonic()
        await peer_pair.server.stop()
        took_ms = (time.monotonic() - started) * 1000
        await asyncio.wait_for(broken.wait(), 1)
        assert took_ms < 900, took_ms
        assert (await stream.send(peer_pb2.News())).is_err()


class ScriptedStreams:
    """A client whose streams break on demand."""

    def __init__(self) -> None:
        self.sent: list[list[peer_pb2.News]] = []
        self.breaks = []

    def open_news(self, address, *, on_broken):
        """Returns a stream that records what is sent."""
        del address
        self.sent.append([])
        self.breaks.append(on_broken)
        return types.SimpleNamespace(send=self._send, close=lambda: None)

    async def _send(self, news):
        self.sent[-1].append(news)
        return Ok(None)


async def urgent_updates_are_sent_as_datagrams():
    """Long prompts are announced to peers by authenticated datagrams.

    Guards against two daemons that send their prompts to one idle engine, and a
    foreign process that makes an engine look busy. A daemon sends an update to
    a peer that listens and to one that is gone; a process with another secret
    sends the same.
    """
    received: list[peer_pb2.News] = []
    update = peer_pb2.News()
    update.dispatched.add(server_id="e1", tokens=9_000, levels=[1, 2])
    receiver, sender, foreign = (
        datagram.DatagramPeers(secret=secret, timeout_ms=TIMEOUT_MS)
        for secret in (SECRET, SECRET, OTHER_SECRET)
    )
    receiver.on_news = received.append
    address = await _start_datagrams(receiver)
    await _start_datagrams(foreign)
    await _start_datagrams(sender)
    foreign.broadcast([address], update)
    sender.broadcast(["127.0.0.1:9", address], update)
    await _until(lambda: received)
    await asyncio.sleep(0.02)
    for peers in (receiver, sender, foreign):
        peers.close()
    assert received == [update]


async def test_ports_are_outside_the_ephemeral_range():
    """Ports for test daemons are not those of outgoing connections.

    Guards against a daemon that ends at once, "address already in use": a port
    is chosen while it is free; the process takes a second to start, and an
    outgoing connection of any process has got the port meanwhile.
    """
    listed = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
    first, last = map(int, listed.split())
    ports = [processes.free_port() for _ in range(50)]
    assert len(set(ports)) == len(ports)
    assert not [port for port in ports if first <= port <= last], ports


async def concurrent_processes_choose_different_ports():
    """Test processes never choose the same port.

    Guards against a test server that ends at once, "address already in use":
    features run in three processes; one chooses a port, whose server listens a
    second later, and another one has chosen it meanwhile, since each checked
    only what listens and what it had chosen itself.
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
    ports_by_process = [
        (await child.stdout.readline()).split() for child in running
    ]
    for child in running:
        await child.communicate(b"\n")
    all_ports = [port for ports in ports_by_process for port in ports]
    assert len(all_ports) == 1_200 and len(set(all_ports)) == 1_200, len(
        set(all_ports)
    )


async def _start_datagrams(peers: datagram.DatagramPeers) -> str:
    address = f"127.0.0.1:{processes.free_port()}"
    await peers.start(address, handler=FakeHandler())
    return address


async def demand_is_sent_again_when_a_stream_breaks():
    """The last demand is sent again on a new stream.

    Guards against two daemons that split a limit by outdated figures: a daemon
    sends its demand; the stream breaks before the peer reads it; the demand
    does not change. Demand is sent only on changes, and the next one may be
    minutes away.
    """
    streams = ScriptedStreams()
    updates = _start_updates(streams)
    updates.flush()
    await _until(lambda: len(streams.sent) == 1 and streams.sent[0])
    assert [d.cell for d in streams.sent[0][0].demands] == ["workspace/desk"]
    streams.breaks[0]()
    await _until(lambda: len(streams.sent) == 2 and streams.sent[1])
    assert [d.cell for d in streams.sent[1][0].demands] == ["workspace/desk"]
    updates.close()


async def reported_use_is_sent_again_when_a_stream_breaks():
    """Guards against use of a quota that a peer never hears of.

    A daemon reports its use; the stream breaks before the peer reads it, and
    the workspace sends nothing more to this daemon.
    """
    streams = ScriptedStreams()
    updates = _start_updates(streams)
    updates.world.serving_daemons = frozenset({"d1", "d2"})
    usage = quota.Usage(
        workspace="desk", admitted=700, opened_at_ms=900, level=0.0, at_ms=1_000
    )
    updates.publish_usage(effects.TellUsage((usage,)))
    await _until(lambda: len(streams.sent) == 1 and streams.sent[0])
    assert [u.admitted for u in streams.sent[0][0].usages] == [700]
    streams.breaks[0]()
    await _until(lambda: len(streams.sent) == 2 and streams.sent[1])
    assert [u.admitted for u in streams.sent[1][0].usages] == [700]
    updates.close()


async def unchanged_demand_is_sent_once():
    """Demand is not sent again while its relevant figures stay the same.

    Guards against sixty daemons that send each other their demand five times a
    second: the message contained a figure that nobody reads and that changed
    with each request, the number in flight.
    """
    streams = ScriptedStreams()
    updates = _start_updates(streams)
    updates.flush()
    await _until(lambda: len(streams.sent) == 1 and streams.sent[0])
    updates.world.shares.cells["workspace/desk"].in_flight = 5
    updates.flush()
    await asyncio.sleep(0.02)
    updates.close()
    assert len(streams.sent[0]) == 1, streams.sent


async def a_model_s_rate_is_sent_when_it_changes():
    """Small variations of a model's request rate are not sent.

    Guards against sixty daemons that notify each other of every request: the
    rate of a model's requests varies by a tenth, then doubles. A figure that
    only weights others' load was sent as precisely as one by which limits are
    split.
    """
    streams = ScriptedStreams()
    updates = _start_updates(streams)
    updates.world.shares.cells.clear()
    usage = updates.world.shares.cells["model/rulebook"]
    for rate in (10.0, 10.9, 9.4, 20.0):
        usage.rate_per_s = rate
        updates.flush()
        await asyncio.sleep(0.02)
    updates.close()
    assert len(streams.sent[0]) == 2, streams.sent


def _start_updates(streams: ScriptedStreams) -> peer_updates.PeerUpdates:
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
    updates = peer_updates.PeerUpdates(
        members=types.SimpleNamespace(me=me, live=lambda: [me, other]),
        runtime=types.SimpleNamespace(
            core=types.SimpleNamespace(world=world),
            clock=ManualClock(1_000),
            submit=_ignore,
        ),
        client=streams,
    )
    updates.world = world
    return updates


def _ignore(message: inputs.Input) -> None:
    del message


def _never() -> None:
    raise AssertionError("the stream broke")


async def _until(is_true) -> None:
    async with asyncio.timeout(2):
        while not is_true():
            await asyncio.sleep(0.005)


def a_forwarded_table_is_unchanged() -> None:
    """Peers decode what was sent, compressed or not, and nothing else."""
    sent = routed_core.table(7, keys=tuple(f"key{n}" for n in range(280)))
    for number in range(140):
        name = f"workspace-{number}"
        sent.workspaces[name] = model.WorkspaceRow(
            name=name, max_in_flight=200, max_requests_per_s=100.0
        )
    writer = tables.TableWriter()
    sizes = []
    for accepts in (False, True):
        request = peer_pb2.TableRequest(
            known_version=6, accepts_deflate=accepts
        )
        reply = writer.reply(sent, request)
        sizes.append(reply.ByteSize())
        read = tables.read(reply)
        assert read is not None
        assert schema.table_to_json(
            read.ok_value.table
        ) == schema.table_to_json(sent)
    assert sizes[1] < sizes[0] / 2, sizes
    newest = peer_pb2.TableRequest(known_version=7, accepts_deflate=True)
    assert tables.read(writer.reply(sent, newest)) is None


def a_changed_route_is_sent_as_a_difference() -> None:
    """A peer that has the version before gets what has changed.

    Guards against a link that is full for a second: each of sixty peers gets
    the whole table for one route.
    """
    texts = tables.TableTexts()
    before, after = _large_table(5), _large_table(6, added=1)
    for sent in (before, after):
        texts.add(sent)
    writer = tables.TableWriter(texts)
    received = tables.TableTexts()
    base = received.newest(before)
    request = peer_pb2.TableRequest(
        known_version=5, accepts_deflate=True, base_digest=base.digest
    )
    reply = writer.reply(after, request)
    assert reply.ByteSize() < MAX_DELTA_BYTES, reply.ByteSize()
    read = tables.read(reply, base=base.text)
    assert _is_table(read, after)


def a_difference_to_another_table_is_not_applied() -> None:
    """A peer gets the whole table where its own is not known, or not as it is.

    Guards against routes of two versions in one table.
    """
    before, after = _large_table(5), _large_table(6, added=1)
    texts = tables.TableTexts()
    texts.add(after)
    request = peer_pb2.TableRequest(
        known_version=5,
        accepts_deflate=True,
        base_digest=deltas.digest(schema.table_to_json(before)),
    )
    whole = tables.TableWriter(texts).reply(after, request)
    assert _is_table(tables.read(whole), after)
    other = schema.table_to_json(_large_table(4, added=-7))
    reply = peer_pb2.TableReply(
        version=6,
        delta=deltas.diff(
            schema.table_to_json(before), schema.table_to_json(after)
        ),
    )
    read = tables.read(reply, base=other)
    assert read is not None and read.is_err()


def _is_table(read, sent: model.Table) -> bool:
    """Returns whether a reply was read as the table that was sent."""
    if read is None or read.is_err():
        return False
    text = schema.table_to_json(sent)
    found = read.ok_value
    return text == found.text == schema.table_to_json(found.table)


def _large_table(version: int, *, added: int = 0) -> model.Table:
    """Returns a table with many routes; `added` of them at the end."""
    routes = tuple(
        forwarding.Route(
            name=f"r{n}",
            host=f"h{n}.example",
            prefix=f"/p{n}/",
            targets=(forwarding.WeightedTarget(target="app"),),
            timeout_ms=3_000,
        )
        for n in range(1_400 + added)
    )
    return dataclasses.replace(
        routed_core.table(version),
        forwarding=forwarding.Forwarding(
            config_version=version,
            routes=routes,
            isolated=frozenset(f"w{n}" for n in range(20)),
        ),
    )


def a_damaged_table_is_rejected() -> None:
    """A truncated, corrupted or oversized reply is an error, not a table."""
    request = peer_pb2.TableRequest(accepts_deflate=True)
    valid_reply = tables.TableWriter().reply(routed_core.table(3), request)
    packed = valid_reply.table_deflated
    bomb = zlib.compress(b" " * (tables.MAX_TABLE_BYTES + 1))
    for data in (packed[:-9], b"no table", packed[:20] + packed[30:], bomb):
        reply = peer_pb2.TableReply(version=3, table_deflated=data)
        read = tables.read(reply)
        assert read is not None and read.is_err(), data[:20]
