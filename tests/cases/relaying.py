"""Attempts that one daemon passes to a backend server for another."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

import aiohttp

from cases import connections, routed_core
from cluster.processes import free_port
from godwittack.backend import pool as pools
from godwittack.backend import protocol, routed, signals
from godwittack.clock import SystemClock
from godwittack.core import effects, inputs, quarantine, server_inputs, work
from godwittack.peer import exchange, peer_pb2, server
from godwittack.platform import servers
from godwittack.relay import client as relay_client
from godwittack.relay import codec
from godwittack.relay import server as relay_server
from standins.replica import Replica

SECRET = b"secret of the cluster"
TIMEOUT_MS = 400
# The limit that callers have unless the table names one.
LONG_BODY_BYTES = 4 << 20
BODY = bytes(range(256)) * 4
STAMP = work.Stamp(
    workspace="desk", target="m", weights_version="1", incarnation="i-e1"
)


class Sink(connections.Sink):
    """Records what happened, and can read slowly."""

    def __init__(self) -> None:
        super().__init__()
        self.arrived = asyncio.Event()
        self.has_room = asyncio.Event()
        self.has_room.set()

    async def frames(self, frames) -> None:
        """Records events; waits until there is room for more."""
        await super().frames(frames)
        self.arrived.set()
        await self.has_room.wait()


class Relays:
    """A sending daemon and a relay, with one engine and one plain server."""

    def __init__(self, *, secret: bytes = SECRET) -> None:
        self.core = routed_core.Core(servers=0)
        self.engine = Replica("i-e1", model="m", events=5)
        self.plain = Replica("i-s1")
        self.submitted: list = []
        self.reported: list = []
        self.events: list[effects.Event] = []
        clock = SystemClock()
        self.clock = clock
        self.pool = pools.Pool(clock=clock, connect_timeout_ms=TIMEOUT_MS)
        backend = routed.RoutedBackend(
            pool=self.pool,
            server_format=servers.ServerFormat(lambda target: target),
            clock=clock,
            control_timeout_ms=TIMEOUT_MS,
        )
        backend.signal_reporter.submit = self.submitted.append
        self.relay = relay_server.RelayServer(
            world=self.core.world,
            backend=backend,
            clock=clock,
            submit=self.submitted.append,
            observer=self,
        )
        self.peer_server = server.PeerServer(
            handler=None, secret=SECRET, relay=self.relay
        )
        self.peers = exchange.PeerClient(secret=secret, timeout_ms=TIMEOUT_MS)
        reporter = signals.SignalReporter(clock=clock)
        reporter.submit = self.reported.append
        self.address = f"127.0.0.1:{free_port()}"
        self.client = relay_client.RelayClient(
            peers=self.peers,
            own_id="sender",
            address_of={"relay": self.address}.get,
            reporter=reporter,
            clock=clock,
            probe_timeout_ms=TIMEOUT_MS,
        )

    def record(self, event: effects.Event) -> None:
        """Records the relay's events."""
        self.events.append(event)

    async def __aenter__(self) -> Relays:
        """Starts the relay and the servers."""
        for replica, target in (
            (self.engine, routed_core.ENGINES),
            (self.plain, routed_core.SERVICE),
        ):
            await replica.start(free_port())
            self.core.list_server(
                replica.instance,
                target,
                address=f"127.0.0.1:{replica.port}",
            )
        await self.peer_server.start(self.address)
        return self

    async def __aexit__(self, *unused) -> None:
        """Stops everything that was started."""
        await self.peers.close()
        await self.peer_server.stop()
        self.pool.close()
        await self.engine.stop()
        await self.plain.stop()

    def dispatch(self, replica: Replica, **fields) -> effects.Dispatch:
        """Returns an attempt through the relay."""
        return effects.Dispatch(
            **{
                "request_id": "r~1",
                "attempt_id": "a1",
                "server_id": replica.instance,
                "address": f"127.0.0.1:{replica.port}",
                "stamp": STAMP if replica.model else None,
                "relay": "relay",
                "workspace": "desk",
                "ends_at_ms": self.clock.now_ms() + 2_000,
                "incarnation": replica.instance,
                **fields,
            }
        )

    async def send(self, replica: Replica, **fields) -> Sink:
        """Sends an attempt through the relay to its end."""
        sink = Sink()
        await self.client.send(self.dispatch(replica, **fields), call(), sink)
        return sink

    async def ask(self, replica: Replica) -> server_inputs.PathAnswered:
        """Asks the relay whether it reaches a server."""
        return await self.client.ask(
            "relay",
            server_id=replica.instance,
            address=f"127.0.0.1:{replica.port}",
        )


def call() -> protocol.Call:
    """Returns a caller's request."""
    return protocol.Call(
        method="POST",
        path="/long/x?a=%20b",
        headers=(
            work.Header("Host", "h.example"),
            work.Header("X-Godwittack-Request-Id", "r"),
            work.Header("X-Note", "caf\xe9"),
        ),
        body=BODY,
        request_id="r",
    )


async def an_answer_passes_a_relay_byte_for_byte() -> None:
    """Guards against requests or answers that a relay changes."""
    async with Relays() as relays:
        sink = await relays.send(relays.plain, fresh_connection=True)
        assert sink.answered is not None, sink.failure
        assert sink.answered.body == BODY[::-1]
        names = [h.name.lower() for h in sink.answered.headers]
        assert "x-godwittack-response-signature" in names
        (ran,) = relays.plain.ran
        assert (ran.path, ran.body) == ("/long/x?a=%20b", BODY)
        note = ran.headers["x-note"]
        assert note.encode("utf-8", "surrogateescape") == b"caf\xe9"
        assert ran.workspace == "desk"


async def a_long_body_passes_a_relay() -> None:
    """Guards against bodies that callers may send and relays refuse to read."""
    async with Relays() as relays:
        sink = Sink()
        sent = dataclasses.replace(call(), body=bytes(LONG_BODY_BYTES))
        await relays.client.send(relays.dispatch(relays.plain), sent, sink)
        assert sink.answered is not None, sink.failure
        (ran,) = relays.plain.ran
        assert len(ran.body) == LONG_BODY_BYTES


async def pieces_of_a_stream_pass_a_relay_as_they_come() -> None:
    """Guards against a relay that holds a stream back until its end."""
    async with Relays() as relays:
        relays.engine.event_gap_s = 0.3
        sink = Sink()
        sending = asyncio.create_task(
            relays.client.send(relays.dispatch(relays.engine), call(), sink)
        )
        async with asyncio.timeout(1):
            await sink.arrived.wait()
        assert not sending.done()
        assert not any(frame.terminal for frame in sink.frames_seen)
        await sending
        numbers = [f.number for f in sink.frames_seen if not f.terminal]
        assert numbers == [1, 2, 3, 4, 5], numbers
        assert sink.frames_seen[-1].terminal


async def a_stream_is_resumed_through_a_relay() -> None:
    """Guards against pieces that come twice after a resumption."""
    async with Relays() as relays:
        sink = await relays.send(relays.engine, after=3)
        numbers = [f.number for f in sink.frames_seen if not f.terminal]
        assert numbers == [4, 5], numbers


async def a_server_stops_working_once_the_sender_has_gone() -> None:
    """Guards against work behind a relay whose caller has left."""
    async with Relays() as relays:
        relays.engine.event_gap_s = 5.0
        sink = Sink()
        sending = asyncio.create_task(
            relays.client.send(relays.dispatch(relays.engine), call(), sink)
        )
        await sink.arrived.wait()
        sending.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sending
        async with asyncio.timeout(0.4):
            while not relays.engine.cancelled:
                await asyncio.sleep(0.01)
        async with asyncio.timeout(0.4):
            await relays.relay.wait_until_idle()


async def a_slow_sender_is_given_a_bounded_number_of_pieces() -> None:
    """Guards against a relay whose memory grows with a slow reader."""
    async with Relays() as relays:
        relays.engine.event_gap_s = 0.0
        relays.engine.event_count = 200_000
        sink = Sink()
        sink.has_room.clear()
        sending = asyncio.create_task(
            relays.client.send(
                relays.dispatch(relays.engine, ends_at_ms=0), call(), sink
            )
        )
        await asyncio.sleep(1.0)
        (queue,) = relays.relay.queues
        assert queue.size <= 2 * relay_server.MAX_BUFFERED_EVENTS, queue.size
        sending.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sending


async def a_relay_that_dies_leaves_the_outcome_open() -> None:
    """Guards against calls that are reported as not run, and were."""
    async with Relays() as relays:
        relays.plain.faults.silent = True
        sink = Sink()
        sending = asyncio.create_task(
            relays.client.send(relays.dispatch(relays.plain), call(), sink)
        )
        while not relays.plain.ran:
            await asyncio.sleep(0.01)
        await relays.peer_server.stop()
        await sending
        assert sink.failure == (
            inputs.FailurePhase.SENT,
            inputs.FailureCause.RELAY,
        )


async def a_relay_without_a_path_declines_at_once() -> None:
    """Guards against attempts that wait for a relay that is cut off."""
    async with Relays() as relays:
        row = relays.core.world.servers[relays.plain.instance]
        row.path_lost_at_ms = 1
        sink = await relays.send(relays.plain)
        assert sink.failure == (
            inputs.FailurePhase.DECLINED,
            inputs.FailureCause.RELAY,
        )
        assert not relays.plain.arrivals


async def a_relay_sends_nothing_to_a_server_that_wants_rest() -> None:
    """Guards against a rest that is evaded through another daemon."""
    async with Relays() as relays:
        row = relays.core.world.servers[relays.plain.instance]
        row.rest_until_ms = relays.clock.now_ms() + 5_000
        sink = await relays.send(relays.plain)
        assert sink.failure == (
            inputs.FailurePhase.DECLINED,
            inputs.FailureCause.RELAY,
        )
        assert not relays.plain.arrivals


async def a_relay_passes_on_nothing_that_it_has_in_quarantine() -> None:
    """Guards against a sender that has missed what crashes servers."""
    async with Relays() as relays:
        now_ms = relays.core.world.now_ms
        crashes = tuple(
            quarantine.Crash(
                content="desk/f", start=f"s{n}", reporter="x", at_ms=now_ms
            )
            for n in range(3)
        )
        relays.core.tell(inputs.CrashesTold, crashes)
        sink = await relays.send(relays.plain, suspects=("desk/f",))
        assert sink.failure == (
            inputs.FailurePhase.DECLINED,
            inputs.FailureCause.RELAY,
        )
        assert not relays.plain.arrivals
        sink = await relays.send(relays.plain, suspects=("desk/g",))
        assert sink.failure is None, sink.failure


async def two_attempts_do_not_share_a_place_of_a_relay() -> None:
    """Guards against one place of a brittle server given away twice."""
    async with Relays() as relays:
        row = relays.core.world.servers[relays.plain.instance]
        row.slots, row.max_rejected_per_s = 2, 1.0
        sinks = await asyncio.gather(
            *(relays.send(relays.plain, has_own_place=False) for _ in range(2))
        )
        assert sum(sink.answered is not None for sink in sinks) == 1
        assert row.passed_on == 0


async def an_entry_removed_meanwhile_leaves_a_relay_idle() -> None:
    """Guards against attempts that never end at a relay that stops."""
    async with Relays() as relays:
        relays.plain.work_s = 0.2
        sending = asyncio.create_task(relays.send(relays.plain))
        while not relays.plain.ran:
            await asyncio.sleep(0.01)
        del relays.core.world.servers[relays.plain.instance]
        assert (await sending).answered is not None
        async with asyncio.timeout(0.4):
            await relays.relay.wait_until_idle()


async def what_a_server_says_reaches_sender_and_relay() -> None:
    """Guards against signals that only one of two daemons learns."""
    async with Relays() as relays:
        relays.plain.faults.full = True
        relays.plain.faults.rest_s = 2.0
        relays.plain.is_leaving = True
        sink = await relays.send(relays.plain)
        assert sink.failure == (
            inputs.FailurePhase.DECLINED,
            inputs.FailureCause.REFUSED,
        )
        for told in (relays.submitted, relays.reported):
            kinds = {type(signal) for signal in told}
            assert server_inputs.RestAsked in kinds, kinds
            assert server_inputs.ServerLeaving in kinds, kinds
        (load,) = [
            signal
            for signal in relays.reported
            if isinstance(signal, server_inputs.LoadEchoed)
        ]
        assert load.is_relayed


async def a_relay_is_handed_the_time_that_is_left() -> None:
    """Guards against servers that are given more time than the caller has."""
    async with Relays() as relays:
        await relays.send(
            relays.plain, ends_at_ms=relays.clock.now_ms() + 1_000
        )
        (arrival,) = relays.plain.arrivals
        assert 0 < arrival.deadline_ms <= 1_000, arrival


async def an_attempt_without_time_left_is_not_sent() -> None:
    """Guards against a deadline that is lost on the way to a relay."""
    async with Relays() as relays:
        sink = await relays.send(
            relays.plain, ends_at_ms=relays.clock.now_ms() - 1
        )
        assert sink.failure is not None
        assert sink.failure[0] is not inputs.FailurePhase.SENT
        assert not relays.plain.arrivals


async def a_daemon_of_an_earlier_release_declines() -> None:
    """Guards against calls lost at daemons that know no relays."""
    async with Relays() as relays:
        relays.peer_server._relay = None
        sink = await relays.send(relays.plain)
        assert sink.failure == (
            inputs.FailurePhase.DECLINED,
            inputs.FailureCause.RELAY,
        )


async def a_process_without_the_secret_passes_nothing_on() -> None:
    """Guards against an open proxy to the servers."""
    async with Relays(secret=b"another secret") as relays:
        sink = await relays.send(relays.plain)
        assert sink.failure is not None
        assert sink.failure[0] is inputs.FailurePhase.DECLINED
        assert not relays.plain.arrivals


async def an_unreadable_call_is_refused() -> None:
    """Guards against an exception on a damaged message of a peer."""
    async with Relays() as relays, aiohttp.ClientSession() as session:
        for path in (exchange.RELAY_PATH, exchange.PATH_PATH):
            async with session.post(
                f"http://{relays.address}{path}",
                data=b"\xff\xff\xff",
                headers={exchange.PROOF_HEADER: exchange.proof(SECRET)},
            ) as response:
                assert response.status == 400, (path, response.status)


async def a_daemon_tells_whether_it_reaches_a_server() -> None:
    """Guards against questions that confuse dead servers and dead paths."""
    async with Relays() as relays:
        alive = await relays.ask(relays.plain)
        assert alive.verdict is server_inputs.PathVerdict.ALIVE
        await relays.plain.stop()
        ended = await relays.ask(relays.plain)
        assert ended.verdict is server_inputs.PathVerdict.ENDED
        # The engine, its only other server, is alive.
        assert ended.reaches_others
        unknown = await relays.client.ask(
            "relay", server_id="i-none", address="127.0.0.1:1"
        )
        assert unknown.verdict is server_inputs.PathVerdict.UNKNOWN
        nobody = await relays.client.ask(
            "nobody", server_id="i-s1", address="127.0.0.1:1"
        )
        assert nobody.verdict is server_inputs.PathVerdict.UNKNOWN


async def any_live_server_shows_that_a_daemon_is_not_cut_off() -> None:
    """Guards against daemons not believed while most servers have ended."""
    async with Relays() as relays:
        for number in range(3):
            name = f"i-dead{number}"
            relays.core.list_server(
                name,
                routed_core.ENGINES,
                address=f"127.0.0.1:{free_port()}",
            )
            dead = relays.core.world.servers[name]
            dead.last_contact_ms = relays.clock.now_ms() + number
        await relays.plain.stop()
        lost = relays.core.world.servers["i-dead1"]
        lost.path_lost_at_ms = 1
        address = relays.core.world.servers["i-dead0"].address
        ended = await relays.client.ask(
            "relay", server_id="i-dead0", address=address
        )
        assert ended.verdict is server_inputs.PathVerdict.ENDED
        # The engine is alive, though it was heard from before the others.
        assert ended.reaches_others


async def messages_of_unknown_kinds_end_an_attempt_as_open() -> None:
    """Guards against an answer that never ends after an unknown event."""
    event = peer_pb2.RelayEvent(failure=peer_pb2.RelayFailure(phase="newer"))
    reader = asyncio.StreamReader()
    reader.feed_data(codec.frame_event(event))
    try:
        await codec.deliver(
            await codec.read_event(reader, Sink().make_room), Sink()
        )
    except ValueError:
        return
    raise AssertionError("an unknown phase was accepted")
