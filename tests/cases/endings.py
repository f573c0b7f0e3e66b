"""What is under way while a daemon, a row or a connection ends."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import sys
import tempfile

from cases import connections, relaying, routed_core
from cluster import platform, processes
from godwittack import accepting
from godwittack.core import effects, inputs, router, server_inputs, work
from godwittack.entry import connection_config
from godwittack.peer import exchange
from godwittack.relay import codec
from godwittack.table import model
from standins import scripted

MODEL = "m"
KEY = "key-of-desk"
EXIT_BAD_SETTINGS = 2
LONG_ANSWER = bytes(200_000)
# Buffer of the system for a connection.
BUFFER_BYTES = 4 << 10
PAUSE_S = 0.005
SIGNAL_INTERVAL_S = 0.05
# Iterations of the event loop between a connection and the end of its listener.
CROSSINGS = 12
CALLS_AT_ONCE = 5


class ModelCore:
    """A core whose callers name a model, with servers of one place each."""

    def __init__(self, *, servers: int) -> None:
        self.router = router.Router.from_config(daemon="d")
        self.now_ms = 1_000
        table = model.Table(version=1)
        table.models[MODEL] = model.ModelRow(name=MODEL)
        digest = routed_core.digest(KEY)
        table.workspaces["desk"] = model.WorkspaceRow(
            name="desk",
            token_sha256=digest,
            max_in_flight=routed_core.NO_LIMIT,
            max_requests_per_s=routed_core.NO_LIMIT,
        )
        table.workspace_by_token[digest] = "desk"
        self.step(inputs.TableChanged(self.now_ms, table))
        self.step(inputs.RightToServe(self.now_ms, routed_core.NO_LIMIT))
        for number in range(1, servers + 1):
            self.step(
                server_inputs.ServerListed(
                    at_ms=self.now_ms,
                    server_id=f"e{number}",
                    target=MODEL,
                    address=f"10.0.0.1:{number}",
                    incarnation=f"e{number}",
                    weights_version="1",
                    slots=1,
                )
            )

    def step(self, input_: inputs.Input) -> list[effects.Dispatch]:
        """Processes an input; returns the dispatches that follow."""
        return [
            effect
            for effect in self.router.step(input_)
            if isinstance(effect, effects.Dispatch)
        ]

    def generate(self, request_id: str) -> list[effects.Dispatch]:
        """Submits a generation."""
        requested = work.Work(
            kind=work.WorkKind.GENERATION,
            target=MODEL,
            token_sha256=routed_core.digest(KEY),
            deadline_ms=6_000,
        )
        return self.step(
            inputs.RequestArrived(self.now_ms, request_id, requested)
        )

    def remove_model(self) -> None:
        """Applies a table without the model."""
        self.step(inputs.TableChanged(self.now_ms, model.Table(version=2)))


def a_request_survives_the_removal_of_its_model() -> None:
    """A request that was admitted is retried after its row was removed.

    Guards against an error in the daemon when operators remove a model whose
    requests are under way: the request was cut, or the whole daemon ended.
    """
    core = ModelCore(servers=2)
    (first,) = core.generate("r1")
    core.remove_model()
    (second,) = core.step(
        inputs.AttemptFailed(
            core.now_ms,
            first.attempt_id,
            inputs.FailurePhase.CONNECT,
            inputs.FailureCause.BROKEN,
            "test",
        )
    )
    assert second.server_id != first.server_id


def requests_survive_the_removal_of_their_routes() -> None:
    """Running, failed and waiting requests go on after their routes are gone.

    Guards against requests cut beside a new table: a stream is taken up at
    another engine, an unsent call is sent to another server, and what waits
    for a place gets one.
    """
    core = routed_core.Core(servers=2)
    core.arrive("long", "stream")
    stream = core.dispatch()
    core.open(stream)
    core.frames(stream, 1)
    core.arrive("release", "call")
    call = core.dispatch()
    for name in ("s1", "s2"):
        core.world.servers[name].rest_until_ms = core.now_ms + 200
    core.arrive("confirm", "waiting")
    assert not core.find(effects.Dispatch) and not core.find(effects.Refuse)

    without_routes = routed_core.table(2, routes=())
    without_routes.models.clear()
    without_routes.services.clear()
    core.tell(inputs.TableChanged, without_routes)
    core.fail(stream, inputs.FailurePhase.SENT)
    resumed = core.dispatch()
    assert (resumed.request_id, resumed.after) == ("stream", 1)
    core.wait(250)
    assert core.dispatch().request_id == "waiting"
    core.answer(call)
    assert core.find(effects.Reply)


async def a_reload_while_a_daemon_starts_does_not_end_it() -> None:
    """A daemon that gets SIGHUP before it has read its settings goes on.

    Guards against daemons that end as they start, when the platform restarts
    them and changes their settings: the default action of the signal.
    """
    with tempfile.TemporaryDirectory(prefix="godwittack-") as folder:
        # The daemon waits for a writer, and the writer for the daemon.
        path = pathlib.Path(folder) / "settings.yaml"
        os.mkfifo(path)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(platform.ROOT / "deploy" / "daemon.py"),
            str(path),
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(platform.WAIT_S):
                descriptor = await asyncio.to_thread(os.open, path, os.O_WRONLY)
                process.send_signal(signal.SIGHUP)
                with os.fdopen(descriptor, "w") as settings:
                    settings.write("not: settings")
                _, errors = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
        assert process.returncode == EXIT_BAD_SETTINGS, errors


async def further_signals_change_nothing_about_a_stop() -> None:
    """A daemon that gets signals until it is gone ends as it ends by one.

    Guards against daemons that are ended by a signal after they have stopped,
    while their process is cleaned up: with the exit code of a daemon that was
    cut, and perhaps without their last log lines.
    """
    async with platform.Platform() as made:
        process = made.processes[0]
        calls = [
            asyncio.create_task(made.call("release", f"r{number}"))
            for number in range(CALLS_AT_ONCE)
        ]
        async with asyncio.timeout(platform.WAIT_S):
            while process.returncode is None:
                for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
                    with contextlib.suppress(ProcessLookupError):
                        process.send_signal(number)
                await asyncio.sleep(SIGNAL_INTERVAL_S)
        assert process.returncode == 0, made.log()[-500:]
        assert all(status == 200 for status, *_ in await asyncio.gather(*calls))
        assert "event=stopped" in made.log()


class _LongAnswer:
    """A backend that answers an attempt with `LONG_ANSWER` once it may."""

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()

    async def send(self, dispatch, call, sink) -> None:
        """Answers."""
        del call
        await self.may_answer.wait()
        sink.answer(
            dispatch.attempt_id, work.Answer(200, (), LONG_ANSWER), None
        )


async def a_relayed_attempt_ends_once_its_answer_is_written() -> None:
    """An attempt counts as under way while a part of its answer is unsent.

    Guards against answers whose end is lost: the other daemon read slowly, and
    the process that stopped ended while it still had the last bytes.
    """
    async with relaying.Relays() as relays:
        backend = relays.relay._backend = _LongAnswer()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sock.setblocking(False)
        host, port = relays.address.split(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        await loop.sock_sendall(sock, _relay_call(relays))
        await platform.until("it has begun", _begun(relays))
        (connection,) = relays.peer_server._runner.server.connections
        transport = connection.transport
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES
        )
        backend.may_answer.set()
        idle = asyncio.create_task(relays.relay.wait_until_idle())
        while not idle.done():
            await asyncio.sleep(PAUSE_S)
            assert not idle.done() or not transport.get_write_buffer_size()
            await loop.sock_recv(sock, BUFFER_BYTES)
        sock.close()


async def calls_that_cross_the_end_of_a_daemon_have_not_run() -> None:
    """Other daemons learn that a daemon that ends has sent nothing.

    Guards against connections that are closed with a call unread: the other
    daemon can't tell whether its server has it, and an unsafe request is
    answered as if it might have run.
    """
    for iterations in range(CROSSINGS):
        async with relaying.Relays() as relays:
            relays.core.world.stopping = True
            sending = [
                asyncio.create_task(
                    relays.send(relays.plain, fresh_connection=True)
                )
                for _ in range(CALLS_AT_ONCE)
            ]
            for _ in range(iterations):
                await asyncio.sleep(0)
            await relays.peer_server.stop()
            async with asyncio.timeout(platform.WAIT_S):
                phases = {
                    sink.failure[0] for sink in await asyncio.gather(*sending)
                }
            assert inputs.FailurePhase.SENT not in phases, iterations


async def a_connection_that_its_server_will_close_is_not_reused() -> None:
    """Each way of saying so opens a new connection for the next request.

    Guards against requests sent on a connection that is being closed: they are
    cut, and those that may be repeated draw on the budget for retries.
    """
    for line in (
        b"HTTP/1.0 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nConnection: keep-alive, close\r\n",
        b"HTTP/1.1 200 OK\r\nConnection: x\r\nConnection: close\r\n",
        b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n",
    ):
        head = line + b"X-Godwittack-Request-Id: {id}\r\n"
        reply = scripted.Reply(connections.complete(b"x", head))
        async with scripted.ScriptedServer(reply, reply) as server:
            backend = connections.Backend(server)
            for request_id in ("r1", "r2"):
                sink = await backend.send(request_id)
                assert sink.answered, (line, sink.failure)
            assert server.connections == 2, line


async def a_listener_that_closes_serves_the_connections_it_has() -> None:
    """A connection that was opened before is served whenever it was accepted.

    Guards against connections that stay open without an answer: the event loop
    drops those that it accepts as the listener closes.
    """
    for iterations in range(CROSSINGS):
        served: list[asyncio.Transport] = []
        port = processes.free_port()
        listener = await accepting.Listener.open(
            lambda served=served: _Recorder(served),
            "127.0.0.1",
            port,
            backlog=CALLS_AT_ONCE,
            receive_buffer_bytes=connection_config.RECEIVE_BUFFER_BYTES,
        )
        opened = []
        for _ in range(CALLS_AT_ONCE):
            sock = socket.socket()
            # Established by the system, which accepts it for the daemon.
            sock.connect(("127.0.0.1", port))
            opened.append(sock)
        for _ in range(iterations):
            await asyncio.sleep(0)
        await listener.close()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert len(served) == CALLS_AT_ONCE, (iterations, len(served))
        for transport in (*served, *opened):
            transport.close()


class _Recorder(asyncio.Protocol):
    """Records connections."""

    def __init__(self, served: list[asyncio.Transport]) -> None:
        self._served = served

    def connection_made(self, transport) -> None:
        """Records one."""
        self._served.append(transport)


def _relay_call(relays: relaying.Relays) -> bytes:
    """Returns another daemon's attempt as it is written."""
    body = codec.call_to_proto(
        relays.dispatch(relays.plain),
        relaying.call(),
        sender_id="sender",
        now_ms=relays.clock.now_ms(),
    ).SerializeToString()
    head = (
        f"POST {exchange.RELAY_PATH} HTTP/1.1",
        "Host: relay",
        f"{exchange.PROOF_HEADER}: {exchange.proof(relaying.SECRET)}",
        f"Content-Length: {len(body)}",
    )
    return "\r\n".join((*head, "", "")).encode() + body


def _begun(relays: relaying.Relays):
    async def begun() -> bool:
        return bool(relays.relay.queues)

    return begun


__all__ = [
    "a_relayed_attempt_ends_once_its_answer_is_written",
    "a_connection_that_its_server_will_close_is_not_reused",
    "a_listener_that_closes_serves_the_connections_it_has",
    "a_reload_while_a_daemon_starts_does_not_end_it",
    "a_request_survives_the_removal_of_its_model",
    "calls_that_cross_the_end_of_a_daemon_have_not_run",
    "further_signals_change_nothing_about_a_stop",
    "requests_survive_the_removal_of_their_routes",
]
