"""What is under way while a daemon, a row or a connection ends."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys
import tempfile

from cases import routed_core
from cluster import platform
from godwittack.core import effects, inputs, router, server_inputs, work
from godwittack.table import model

MODEL = "m"
KEY = "key-of-desk"
EXIT_BAD_SETTINGS = 2


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


__all__ = [
    "a_reload_while_a_daemon_starts_does_not_end_it",
    "a_request_survives_the_removal_of_its_model",
    "requests_survive_the_removal_of_their_routes",
]
