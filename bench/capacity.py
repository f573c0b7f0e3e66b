"""`scripts/bench.sh capacity`: cost of a daemon's control work per item.

Each measurement feeds the core, membership view or codec with the inputs that
one daemon would receive, at several sizes, and fits a line through processor
time and memory; its slope is the cost of one more item. Only the messages
between daemons use sockets: they go over loopback within this process.
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
MESSAGE_COUNT = 1_000
SECRET = b"0" * 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """Cost of one more item for a daemon.

    Attributes:
        unit: The item, such as an event, message or server.
        cpu_us: Microseconds of processor time.
        memory_bytes: Bytes of memory retained.
        wire_bytes: Bytes on the network.
        sizes: Numbers of items measured.
    """

    unit: str
    cpu_us: float = 0.0
    memory_bytes: float = 0.0
    wire_bytes: float = 0.0
    sizes: tuple[int, ...] = ()


def main(arguments: list[str]) -> int:
    """Measures all costs and prints them."""
    parser = argparse.ArgumentParser(prog="bench capacity")
    parser.add_argument("--json")
    options = parser.parse_args(arguments)
    slopes = [measure() for measure in MEASUREMENTS]
    print(f"{'one more':34s}{'cpu us':>10s}{'bytes kept':>12s}{'on wire':>9s}")
    for slope in slopes:
        print(
            f"{slope.unit:34s}{slope.cpu_us:10.1f}"
            f"{slope.memory_bytes:12.0f}{slope.wire_bytes:9.0f}"
        )
    if options.json:
        report = {"slopes": [dataclasses.asdict(slope) for slope in slopes]}
        pathlib.Path(options.json).write_text(json.dumps(report, indent=1))
    return 0


def cache_event() -> Slope:
    """Cost of one stored level in a digest, applied by the core."""
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
    """Cost of one load report, applied by the core."""
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
    """Cost of one backend server that is listed and reports its load."""

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
    """Cost of one member added to the membership view."""

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
    """Cost of one gossip round in a view of 340 members, without its calls."""

    def run(count: int) -> Callable[[], object]:
        members = _view()
        for number in range(340):
            members.apply(_member(number), now_ms=0)

        def feed() -> object:
            for round_number in range(count):
                now_ms = round_number * 500
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


def watcher_assignment() -> Slope:
    """Cost of finding the watcher of one server among 340 members."""
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
    """Cost of one prefix level in the demand counts."""

    def run(count: int) -> Callable[[], object]:
        core = _core(servers=0)

        def feed() -> object:
            for number in range(count):
                core.world.level_demand.add(number, now_ms=number)
            return core

        return feed

    return _fit("prefix level counted", (5_000, 10_000, 20_000), run)


def cell_demand() -> Slope:
    """Cost of one cell's demand sent by a peer."""

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
        "cell's demand sent by a peer",
        (500, 1_000, 2_000),
        run,
        wire_bytes=message.ByteSize(),
    )


def table_change() -> Slope:
    """Cost of one change of a table of 430 workspaces and 15 models."""
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
    retained_bytes = _retained_bytes(lambda: schema.table_from_json(text))
    return dataclasses.replace(fitted, memory_bytes=retained_bytes)


def open_stream() -> Slope:
    """Cost of one stream opened in the core."""

    def run(count: int) -> Callable[[], object]:
        core = _core(servers=40)

        def feed() -> object:
            for number in range(count):
                _open_stream(core, f"r{number}")
            return core

        return feed

    return _fit("stream opened (core)", (250, 500, 1_000), run)


def frame() -> Slope:
    """Cost of one frame relayed by the core."""

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


def tick_per_server() -> Slope:
    """Cost of one more listed server per tick."""

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
    """Cost of one probe by HTTP call, as to a daemon not yet known."""
    cpu_us, size = asyncio.run(_measure_probes(by_datagram=False))
    return Slope(
        unit="probe by call (both ends)", cpu_us=cpu_us, wire_bytes=size
    )


def probe_by_datagram() -> Slope:
    """Cost of one probe by UDP datagram."""
    cpu_us, size = asyncio.run(_measure_probes(by_datagram=True))
    return Slope(
        unit="probe by datagram (both ends)", cpu_us=cpu_us, wire_bytes=size
    )


def update_message() -> Slope:
    """Cost of one message with updates on an open stream."""
    cpu_us, size = asyncio.run(_measure_update_messages())
    return Slope(
        unit="updates on a stream (both ends)", cpu_us=cpu_us, wire_bytes=size
    )


MEASUREMENTS = (
    cache_event,
    load_report,
    backend_server,
    member,
    gossip_round,
    watcher_assignment,
    prefix_level,
    cell_demand,
    table_change,
    open_stream,
    frame,
    tick_per_server,
    probe_by_call,
    probe_by_datagram,
    update_message,
)


def _wire_bytes(updates: pending.PendingNews) -> int:
    """Returns the size of updates whose server names were sent before."""
    writer = wire.NewsWriter()
    writer.write(updates, now_ms=5)
    return writer.write(updates, now_ms=5).ByteSize()


def _fit(
    unit: str,
    sizes: tuple[int, ...],
    run: Callable[[int], Callable[[], object]],
    *,
    wire_bytes: float = 0.0,
) -> Slope:
    """Fits lines through processor time and retained memory by size."""
    times = [
        statistics.median(_cpu_us(run(size)) for _ in range(REPEATS))
        for size in sizes
    ]
    retained_bytes = [_retained_bytes(run(size)) for size in sizes]
    return Slope(
        unit=unit,
        cpu_us=_slope(sizes, times),
        memory_bytes=_slope(sizes, retained_bytes),
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


def _retained_bytes(feed: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    result = feed()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
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
    produced = core.step(
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
    dispatch = next(e for e in produced if type(e).__name__ == "Dispatch")
    core.step(
        inputs.AttemptOpened(
            0, dispatch.attempt_id, dispatch.attempt_id, dispatch.stamp
        )
    )
    return dispatch.attempt_id


class _EchoHandler:
    """Answers an envelope with the same envelope."""

    def handle_exchange(self, message: peer_pb2.Envelope) -> peer_pb2.Envelope:
        return message

    def handle_news(
        self, sender_id: str, news: peer_pb2.News, reader: wire.NewsReader
    ) -> None:
        """Ignores updates."""

    def handle_table_request(
        self, request: peer_pb2.TableRequest
    ) -> peer_pb2.TableReply:
        return peer_pb2.TableReply(version=request.known_version)

    def handle_report_request(self) -> peer_pb2.ReportReply:
        return peer_pb2.ReportReply()


async def _measure_probes(*, by_datagram: bool) -> tuple[float, int]:
    """Returns the processor time and size of one probe and its answer."""
    server = peer_server.PeerServer(handler=_EchoHandler(), secret=SECRET)
    address = await _start(server)
    server_socket = datagram.DatagramPeers(secret=SECRET, timeout_ms=2_000)
    await server_socket.start(address, handler=_EchoHandler())
    client_socket = datagram.DatagramPeers(secret=SECRET, timeout_ms=2_000)
    await client_socket.start("127.0.0.1:0", handler=_EchoHandler())
    client = exchange.PeerClient(secret=SECRET, timeout_ms=2_000)
    message = peer_pb2.Envelope(
        sender=codec.member_to_proto(_member(1)),
        updates=[codec.member_to_proto(_member(n)) for n in range(3)],
        table_version=1,
    )
    prober = client_socket if by_datagram else client

    async def probe() -> None:
        (await prober.exchange(address, message)).unwrap()

    cpu_us = await _cpu_us_per_call(probe)
    client_socket.close()
    server_socket.close()
    await client.close()
    await server.stop()
    return cpu_us, 2 * message.ByteSize()


async def _measure_update_messages() -> tuple[float, int]:
    """Returns the processor time and size of one message on a stream."""
    server = peer_server.PeerServer(handler=_EchoHandler(), secret=SECRET)
    address = await _start(server)
    client = exchange.PeerClient(secret=SECRET, timeout_ms=2_000)
    stream = client.open_news(address, on_broken=lambda: None)
    writer = wire.NewsWriter()
    load = _load("s0", 5)
    updates = pending.PendingNews(
        loads={load.server_id: load}, digests=[_digest((1, 2, 3))]
    )
    writer.write(updates, now_ms=5)

    async def send_updates() -> None:
        (await stream.send(writer.write(updates, now_ms=5))).unwrap()

    cpu_us = await _cpu_us_per_call(send_updates)
    size = writer.write(updates, now_ms=5).ByteSize()
    stream.close()
    await client.close()
    await server.stop()
    return cpu_us, size


async def _start(server: peer_server.PeerServer) -> str:
    address = f"127.0.0.1:{processes.free_port()}"
    await server.start(address)
    return address


async def _cpu_us_per_call(send: Callable[[], Awaitable[None]]) -> float:
    """Returns the mean processor time of a call, both ends included."""
    for _ in range(100):
        await send()
    started = time.process_time_ns()
    for _ in range(MESSAGE_COUNT):
        await send()
    return (time.process_time_ns() - started) / 1000 / MESSAGE_COUNT


__all__ = ["MEASUREMENTS", "Slope", "main"]
