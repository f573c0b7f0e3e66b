"""`scripts/bench.sh capacity`: slopes of a daemon's control work.

Each slope feeds the real core, gossip view or codec with the inputs that one
daemon would get, at several sizes, and fits a line through processor time and
memory. Nothing here uses sockets but the messages between daemons, which go
over loopback within this process.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import gc
import json
import pathlib
import random
import statistics
import sys
import time
import tracemalloc
from typing import TYPE_CHECKING

from godwittack.core import inputs, router, server_inputs, work
from godwittack.member import assignment, view
from godwittack.peer import codec, datagram, exchange, peer_pb2, pending, wire
from godwittack.peer import server as peer_server
from godwittack.table import model, schema

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from cluster import processes  # noqa: E402 - found below tests/ only.

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

FOREVER_MS = 1 << 50
REPEATS = 3
MESSAGES = 1_000
SECRET = b"0" * 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """What one more of something costs a daemon.

    Attributes:
        unit: The something.
        cpu_us: Microseconds of processor time.
        memory_bytes: Bytes kept.
        wire_bytes: Bytes on the network.
        sizes: Sizes measured.
    """

    unit: str
    cpu_us: float = 0.0
    memory_bytes: float = 0.0
    wire_bytes: float = 0.0
    sizes: tuple[int, ...] = ()


def main(words: list[str]) -> int:
    """Measures all slopes and prints them."""
    parser = argparse.ArgumentParser(prog="bench capacity")
    parser.add_argument("--json")
    asked = parser.parse_args(words)
    slopes = [measure() for measure in MEASURES]
    print(f"{'one more':34s}{'cpu us':>10s}{'bytes kept':>12s}{'on wire':>9s}")
    for slope in slopes:
        print(
            f"{slope.unit:34s}{slope.cpu_us:10.1f}"
            f"{slope.memory_bytes:12.0f}{slope.wire_bytes:9.0f}"
        )
    if asked.json:
        told = {"slopes": [dataclasses.asdict(slope) for slope in slopes]}
        pathlib.Path(asked.json).write_text(json.dumps(told, indent=1))
    return 0


def cache_event() -> Slope:
    """One level stored and told in a digest, taken in by the core."""
    sizes = (5_000, 10_000, 20_000)
    rng = random.Random(1)

    def run(count: int) -> Callable[[], object]:
        core = _core(servers=1)
        keys = [rng.getrandbits(64) for _ in range(count)]

        def feed() -> object:
            for start in range(0, count, 50):
                core.step(_digest(tuple(keys[start : start + 50])))
            return core

        return feed

    digest = _digest(tuple(rng.getrandbits(64) for _ in range(50)))
    size = _wire_bytes(pending.PendingNews(digests=[digest])) / 50
    return _fit("cache event (digests of 50)", sizes, run, wire_bytes=size)


def load_report() -> Slope:
    """One load report taken in by the core."""
    sizes = (1_000, 2_000, 4_000)

    def run(count: int) -> Callable[[], object]:
        core = _core(servers=40)

        def feed() -> object:
            for number in range(count):
                core.step(_load(f"s{number % 40}", number))
            return core

        return feed

    load = _load("engine-100", 5)
    size = _wire_bytes(pending.PendingNews(loads={load.server_id: load}))
    return dataclasses.replace(
        _fit("load report", sizes, run, wire_bytes=size),
        memory_bytes=0.0,
    )


def backend_server() -> Slope:
    """One backend server listed and reported."""

    def run(count: int) -> Callable[[], object]:
        core = _core(servers=0)

        def feed() -> object:
            for number in range(count):
                core.step(_listed(f"s{number}"))
                core.step(_load(f"s{number}", 1))
            return core

        return feed

    return _fit("backend server", (100, 300, 600), run)


def member() -> Slope:
    """One member heard of, probed in turn and kept."""

    def run(count: int) -> Callable[[], object]:
        members = _view()

        def feed() -> object:
            for number in range(count):
                members.apply(_member(number), now_ms=0)
            return members

        return feed

    size = codec.member_to_proto(_member(100)).ByteSize()
    return _fit("member", (85, 170, 340), run, wire_bytes=size)


def gossip_round() -> Slope:
    """One round of gossip without its calls, by members known."""

    def run(count: int) -> Callable[[], object]:
        members = _view()
        for number in range(340):
            members.apply(_member(number), now_ms=0)

        def feed() -> object:
            for turn in range(count):
                now_ms = turn * 500
                members.expire(now_ms=now_ms, may_forget=True)
                for target in members.probe_targets():
                    members.record_ack(
                        target.member_id, table_version=1, now_ms=now_ms
                    )
                members.take_updates()
                members.reachable_fraction(now_ms=now_ms)
            return members

        return feed

    return dataclasses.replace(
        _fit("gossip round (340 members)", (20, 40, 80), run),
        memory_bytes=0.0,
    )


def duty_assignment() -> Slope:
    """Finding the watcher of one server among 340 members."""
    members = [_member(number) for number in range(340)]

    def run(count: int) -> Callable[[], object]:
        def feed() -> object:
            return [assignment.watcher(f"s{n}", members) for n in range(count)]

        return feed

    return dataclasses.replace(
        _fit("watcher of a server, first time", (50, 100, 200), run),
        memory_bytes=0.0,
    )


def prefix_level() -> Slope:
    """One prefix level in the demand counts."""

    def run(count: int) -> Callable[[], object]:
        core = _core(servers=0)

        def feed() -> object:
            for number in range(count):
                core.world.level_demand.add(number, now_ms=number)
            return core

        return feed

    return _fit("prefix level counted", (5_000, 10_000, 20_000), run)


def cell_demand() -> Slope:
    """One cell's demand told by a peer."""

    def run(count: int) -> Callable[[], object]:
        core = _core(servers=0)

        def feed() -> object:
            for number in range(count):
                core.step(
                    inputs.PeerDemand(
                        1,
                        f"d{number % 9}",
                        True,
                        (
                            inputs.CellDemand(
                                f"workspace/w{number // 9}", 2.0, 3.0
                            ),
                        ),
                    )
                )
            return core

        return feed

    message = codec.demand_to_proto(
        inputs.CellDemand("workspace/desk-100", 7.0, 2.0)
    )
    return _fit(
        "cell's demand told by a peer",
        (500, 1_000, 2_000),
        run,
        wire_bytes=message.ByteSize(),
    )


def table_change() -> Slope:
    """One change of a table of 430 workspaces and 15 models."""
    table = _table(430, 15)
    text = schema.table_to_json(table)

    def run(count: int) -> Callable[[], object]:
        core = _core(servers=0)

        def feed() -> object:
            for number in range(count):
                parsed = schema.table_from_json(text).ok_value
                newer = dataclasses.replace(parsed, version=number + 10)
                core.step(inputs.TableChanged(number, newer))
            return core

        return feed

    fitted = _fit(
        "table change (430 workspaces)",
        (5, 10, 20),
        run,
        wire_bytes=len(text),
    )
    kept = _kept(lambda: schema.table_from_json(text))
    return dataclasses.replace(fitted, memory_bytes=kept)


def open_stream() -> Slope:
    """One open stream in the core, and one frame relayed on it."""

    def run(count: int) -> Callable[[], object]:
        core = _core(servers=40)

        def feed() -> object:
            for number in range(count):
                _open_stream(core, f"r{number}")
            return core

        return feed

    return _fit("stream opened (core)", (250, 500, 1_000), run)


def frame() -> Slope:
    """One frame relayed by the core."""

    def run(count: int) -> Callable[[], object]:
        core = _core(servers=40)
        attempt_id = _open_stream(core, "r0")

        def feed() -> object:
            for number in range(count):
                core.step(
                    inputs.FramesArrived(
                        number, attempt_id, (work.Frame(number + 1, b"x"),)
                    )
                )
            return core

        return feed

    return dataclasses.replace(
        _fit("frame relayed (core)", (2_000, 4_000, 8_000), run),
        memory_bytes=0.0,
    )


def tick_of_server() -> Slope:
    """What one more known server adds to each tick."""

    def run(count: int) -> Callable[[], object]:
        core = _core(servers=count)

        def feed() -> object:
            for number in range(10):
                core.step(inputs.Tick(number * 100))
            return core

        return feed

    slope = _fit("10 ticks, by server", (100, 300, 600), run)
    return dataclasses.replace(
        slope, unit="tick, a server", cpu_us=slope.cpu_us / 10, memory_bytes=0
    )


def probe_by_call() -> Slope:
    """One probe as a call, as to a daemon not known yet."""
    took_us, size = asyncio.run(_exchanges(by_datagram=False))
    return Slope(
        unit="probe by call (both ends)", cpu_us=took_us, wire_bytes=size
    )


def probe_by_datagram() -> Slope:
    """One probe by UDP."""
    took_us, size = asyncio.run(_exchanges(by_datagram=True))
    return Slope(
        unit="probe by datagram (both ends)", cpu_us=took_us, wire_bytes=size
    )


def news_message() -> Slope:
    """One piece of news on an open stream."""
    took_us, size = asyncio.run(_news_messages())
    return Slope(
        unit="news on a stream (both ends)", cpu_us=took_us, wire_bytes=size
    )


MEASURES = (
    cache_event,
    load_report,
    backend_server,
    member,
    gossip_round,
    duty_assignment,
    prefix_level,
    cell_demand,
    table_change,
    open_stream,
    frame,
    tick_of_server,
    probe_by_call,
    probe_by_datagram,
    news_message,
)


def _wire_bytes(news: pending.PendingNews) -> int:
    """Returns the size of news of servers that the stream has named."""
    writer = wire.NewsWriter()
    writer.write(news, now_ms=5)
    return writer.write(news, now_ms=5).ByteSize()


def _fit(
    unit: str,
    sizes: tuple[int, ...],
    run: Callable[[int], Callable[[], object]],
    *,
    wire_bytes: float = 0.0,
) -> Slope:
    """Fits processor time and kept memory over the sizes."""
    times = [
        statistics.median(_cpu_us(run(size)) for _ in range(REPEATS))
        for size in sizes
    ]
    kept = [_kept(run(size)) for size in sizes]
    return Slope(
        unit=unit,
        cpu_us=_slope(sizes, times),
        memory_bytes=_slope(sizes, kept),
        wire_bytes=wire_bytes,
        sizes=sizes,
    )


def _slope(sizes: tuple[int, ...], values: list[float]) -> float:
    return statistics.linear_regression(sizes, values).slope


def _cpu_us(feed: Callable[[], object]) -> float:
    gc.collect()
    gc.disable()
    try:
        started = time.process_time_ns()
        feed()
        return (time.process_time_ns() - started) / 1000
    finally:
        gc.enable()


def _kept(feed: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = feed()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(after - before)


def _core(*, servers: int) -> router.Router:
    core = router.Router.from_config(daemon="d0@1", table=_table(8, 1))
    core.step(inputs.RightToServe(0, FOREVER_MS))
    for number in range(servers):
        core.step(_listed(f"s{number}"))
        core.step(_load(f"s{number}", 0))
    return core


def _table(workspaces: int, models: int) -> model.Table:
    rows: list[model.Row] = [
        model.WorkspaceRow(
            name=f"w{number}",
            token_sha256=f"{number:064x}",
            max_in_flight=100_000,
            max_requests_per_s=100_000.0,
        )
        for number in range(workspaces)
    ]
    rows.extend(model.ModelRow(name=f"m{n}") for n in range(models))
    return model.Table.from_rows(version=1, rows=rows)


def _listed(name: str) -> server_inputs.ServerListed:
    return server_inputs.ServerListed(
        at_ms=0, server_id=name, address=name, target="m0"
    )


def _load(name: str, at_ms: int) -> server_inputs.LoadReported:
    return server_inputs.LoadReported(
        at_ms=at_ms,
        server_id=name,
        incarnation="0123abcd",
        weights_version="7",
        running=10,
        waiting=1,
        waiting_tokens=500,
        prefill_us_per_token=50,
        slots=10_000,
    )


def _digest(keys: tuple[int, ...]) -> server_inputs.CacheDigest:
    return server_inputs.CacheDigest(
        at_ms=1,
        server_id="s0",
        incarnation="0123abcd",
        weights_version="7",
        cleared=False,
        stored=keys,
        removed=(),
    )


def _view() -> view.View:
    return view.View(
        me=_member(10_000),
        policy=view.MemberPolicy(),
        rng=random.Random(1),
    )


def _member(number: int) -> view.Member:
    return view.Member(
        member_id=f"entry-{number}@0a1b2c3d",
        peer_address=f"10.1.{number // 250}.{number % 250}:9000",
        http_address=f"10.1.{number // 250}.{number % 250}:8000",
        failure_domain=f"domain-{number % 5}",
    )


def _open_stream(core: router.Router, request_id: str) -> str:
    levels = tuple(work.Level(n, 500) for n in range(3))
    made = core.step(
        inputs.RequestArrived(
            0,
            request_id,
            work.Work(
                kind=work.WorkKind.GENERATION,
                token_sha256=f"{1:064x}",
                target="m0",
                streaming=True,
                levels=levels,
                max_tokens=100,
            ),
        )
    )
    sent = next(e for e in made if type(e).__name__ == "Dispatch")
    core.step(
        inputs.AttemptOpened(0, sent.attempt_id, sent.attempt_id, sent.stamp)
    )
    return sent.attempt_id


class _Echo:
    """Answers an envelope with the like."""

    def handle_exchange(self, told: peer_pb2.Envelope) -> peer_pb2.Envelope:
        return told

    def handle_news(
        self, sender_id: str, news: peer_pb2.News, reader: wire.NewsReader
    ) -> None:
        """Takes news."""

    def handle_table_request(
        self, asked: peer_pb2.TableRequest
    ) -> peer_pb2.TableReply:
        return peer_pb2.TableReply(version=asked.known_version)

    def handle_report_request(self) -> peer_pb2.ReportReply:
        return peer_pb2.ReportReply()


async def _exchanges(*, by_datagram: bool) -> tuple[float, int]:
    """Returns the time and size of one probe with its answer."""
    server = peer_server.PeerServer(handler=_Echo(), secret=SECRET)
    address = await _start(server)
    answering = datagram.DatagramPeers(secret=SECRET, timeout_ms=2_000)
    await answering.start(address, handler=_Echo())
    asking = datagram.DatagramPeers(secret=SECRET, timeout_ms=2_000)
    await asking.start("127.0.0.1:0", handler=_Echo())
    client = exchange.PeerClient(secret=SECRET, timeout_ms=2_000)
    message = peer_pb2.Envelope(
        sender=codec.member_to_proto(_member(1)),
        updates=[codec.member_to_proto(_member(n)) for n in range(3)],
        table_version=1,
    )
    prober = asking if by_datagram else client

    async def probe() -> None:
        (await prober.exchange(address, message)).unwrap()

    took_us = await _each_us(probe)
    asking.close()
    answering.close()
    await client.close()
    await server.stop()
    return took_us, 2 * message.ByteSize()


async def _news_messages() -> tuple[float, int]:
    """Returns the time and size of one message on an open stream."""
    server = peer_server.PeerServer(handler=_Echo(), secret=SECRET)
    address = await _start(server)
    client = exchange.PeerClient(secret=SECRET, timeout_ms=2_000)
    stream = client.open_news(address, on_broken=lambda: None)
    writer = wire.NewsWriter()
    load = _load("s0", 5)
    news = pending.PendingNews(
        loads={load.server_id: load}, digests=[_digest((1, 2, 3))]
    )
    writer.write(news, now_ms=5)

    async def tell() -> None:
        (await stream.send(writer.write(news, now_ms=5))).unwrap()

    took_us = await _each_us(tell)
    size = writer.write(news, now_ms=5).ByteSize()
    stream.close()
    await client.close()
    await server.stop()
    return took_us, size


async def _start(server: peer_server.PeerServer) -> str:
    address = f"127.0.0.1:{processes.free_port()}"
    await server.start(address)
    return address


async def _each_us(send: Callable[[], Awaitable[None]]) -> float:
    """Returns the processor time of one call, both ends in this process."""
    for _ in range(100):
        await send()
    started = time.process_time_ns()
    for _ in range(MESSAGES):
        await send()
    return (time.process_time_ns() - started) / 1000 / MESSAGES


__all__ = ["MEASURES", "Slope", "main"]
