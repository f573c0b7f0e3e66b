"""Real daemons on this machine, with stand-ins for platform and servers."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import pathlib
import re
import resource
import signal
import sys
import tempfile
from typing import TYPE_CHECKING

import aiohttp
import yarl

from cluster.processes import free_port
from standins.replica import Replica
from standins.rows import RowStore

if TYPE_CHECKING:
    from collections.abc import Iterable

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
CUT_DAEMON = ROOT / "tests" / "standins" / "cut_daemon.py"
TEMPLATE = ROOT / "deploy" / "settings.yaml"
PLACEHOLDER = re.compile(r"\{\{([^}|]+)(\|json)?\}\}")
HOST = "h.example"
KEY = "key-of-desk"
BOUNDS = {
    "require-fencing": True,
    "revoke-ms": 5000,
    "version-ms": 12000,
    "config-apply-ms": 2000,
    "drain-ms": 2000,
    "lease-ms": 3000,
    "grace-s": 8,
    "retry-slack": 52,
}
# Requests that earn one retry, by the ratio in the settings template.
REQUESTS_PER_RETRY = 7
POLL_S = 0.02
WAIT_S = 10.0


def render(fields: dict) -> str:
    """Fills in the settings template, as the platform does."""

    def value(match: re.Match) -> str:
        found: object = fields
        for part in match.group(1).split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        if match.group(2):
            return json.dumps(found) if found is not None else ""
        return "" if found is None else str(found)

    return PLACEHOLDER.sub(value, TEMPLATE.read_text())


def settings_fields(name: str, store_port: int, seeds: list[str]) -> dict:
    """Returns the platform's fields for one daemon's settings."""
    ports = {part: free_port() for part in ("front", "ready", "directory")}
    listen = {part: f"127.0.0.1:{port}" for part, port in ports.items()}
    listen["control"] = f"127.0.0.1:{free_port()}"
    return {
        "node-name": name,
        "ip": "127.0.0.1",
        "zone": "north",
        "zones": {"north": "all", "south": "all"},
        "listen": listen,
        "internal-port-range": [free_port(), free_port()],
        "bootstrap": True,
        "seeds": seeds,
        "bounds": dict(BOUNDS),
        "limits": {"cpu-share": 0.537, "cores": 2},
        "platform": {"address": f"127.0.0.1:{store_port}"},
        "of no meaning here": {"a": 1},
    }


def route(name: str, service: str, kind: str, **fields) -> dict:
    """Returns a route in the operator's format."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": kind,
        "timeout-ms": 3000,
        "target-latency-ms": 300,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "allow-anonymous": False,
        "resumable": False,
        **fields,
    }


ROUTES = [
    route("long", "llm", "streaming", resumable=True),
    route("short", "llm", "streaming"),
    route("confirm", "app", "non_idempotent"),
    route("release", "app", "idempotent"),
    route("open", "app", "idempotent", **{"allow-anonymous": True}),
]


def config(
    version: int,
    *,
    keys: tuple[str, ...] = (KEY,),
    timeout_ms: int = 0,
) -> dict:
    """Returns a configuration in the operator's format.

    Args:
        version: Its version.
        keys: Keys of the only workspace.
        timeout_ms: Time limit of all routes; 0 for that of each.
    """
    changed = {"timeout-ms": timeout_ms} if timeout_ms else {}
    return {
        "version": version,
        "routes": [{**fields, **changed} for fields in ROUTES],
        "services": [
            {"name": "llm", "engine": {"slots": 16, "models": [{"name": "m"}]}},
            {"name": "app", "max-connections": 96},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 100_000},
        "tenants": [
            {"name": "desk", "api-keys": list(keys), "isolated": False}
        ],
    }


class Platform:
    """The store, backend servers and daemons of one test."""

    def __init__(
        self,
        *,
        daemons: int = 1,
        configured: bool = True,
        settings: str = "",
        engines: int = 2,
        services: int = 2,
        can_cut: bool = False,
        software: dict[str, str] | None = None,
        timeout_ms: int = 0,
        descriptors: int = 0,
    ) -> None:
        """Creates the stand-ins without starting them.

        Args:
            daemons: How many to start.
            configured: Whether the operators' table exists at the start.
            settings: Lines of settings that override those of the template.
            engines: How many servers of the model to start.
            services: How many servers of the plain service to start.
            can_cut: Whether the daemons' paths to servers can be cut.
            software: Versions of the software of some servers.
            timeout_ms: Time limit of all routes; 0 for that of each.
            descriptors: Limit of each daemon's descriptors; 0 for the system's.
        """
        self._descriptors = descriptors
        self._timeout_ms = timeout_ms
        self._can_cut = can_cut
        self._settings = settings
        self.store = RowStore()
        self.replicas = {
            **{
                f"i-e{n}": Replica(f"i-e{n}", model="m")
                for n in range(1, engines + 1)
            },
            **{f"i-s{n}": Replica(f"i-s{n}") for n in range(1, services + 1)},
        }
        for name, version in (software or {}).items():
            self.replicas[name].software = version
        self.fields: list[dict] = []
        self.processes: list[asyncio.subprocess.Process] = []
        # All processes ever started: two faults at once may restart a daemon
        # twice, and the process that was replaced must be killed as well.
        self._started: list[asyncio.subprocess.Process] = []
        self.logs: list[pathlib.Path] = []
        self.session: aiohttp.ClientSession | None = None
        self._daemons = daemons
        self._configured = configured
        self._folder = tempfile.TemporaryDirectory(prefix="godwittack-")
        self.store_port = free_port()

    async def __aenter__(self) -> Platform:
        """Starts all processes and waits until the daemons are ready."""
        try:
            return await self._start()
        except BaseException:
            await self._dump_daemons()
            await self.__aexit__()
            raise

    async def _dump_daemons(self) -> None:
        """Prints what daemons that did not start have done, and do.

        A log may be empty: the state of the process and the stack of its
        threads tell whether it has run at all.
        """
        for number, process in enumerate(self.processes):
            state = f"exit code {process.returncode}"
            if process.returncode is None:
                stat = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
                fields = stat.rpartition(")")[2].split()
                state = f"state {fields[0]}, {fields[11]}+{fields[12]} ticks"
                # faulthandler writes the stacks to the log.
                process.send_signal(signal.SIGABRT)
                await process.wait()
            print(f"--- daemon {number}: {state}\n{self.log(number)[-5000:]}")
        print(f"--- load {os.getloadavg()}")

    async def _start(self) -> Platform:
        self.session = aiohttp.ClientSession()
        await self.store.start(self.store_port)
        for name, replica in self.replicas.items():
            port = free_port()
            await replica.start(port)
            self.list_server(name, f"127.0.0.1:{port}")
        if self._configured:
            self.store.put(
                "op", "config", config(1, timeout_ms=self._timeout_ms)
            )
        for number in range(self._daemons):
            await self.start_daemon(f"edge-{number + 1}")
        if self._configured:
            for number in range(self._daemons):
                await self.until_ready(number)
        return self

    async def __aexit__(self, *unused) -> None:
        """Ends all processes and stand-ins that it started."""
        for process in self._started:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await self.session.close()
        for replica in self.replicas.values():
            await replica.stop()
        await self.store.stop()
        self._folder.cleanup()

    def list_server(self, name: str, address: str, **fields) -> None:
        """Writes a server's row, as the server itself does."""
        replica = self.replicas[name]
        row = {
            "service": "llm" if replica.model else "app",
            "address": address,
            "zone": "north",
            "version": replica.software,
            "slots": replica.slots,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
            **fields,
        }
        if replica.model:
            version = {"name": "m", "version": replica.version, "adapters": []}
            row["models"] = [version]
        self.store.put("servers", name, row)

    async def start_daemon(self, name: str) -> None:
        """Starts a daemon as the deployment does."""
        seeds = [f["listen"]["control"] for f in self.fields][:3]
        self.fields.append(settings_fields(name, self.store_port, seeds))
        path = pathlib.Path(self._folder.name) / f"{name}.yaml"
        path.write_text(f"{render(self.fields[-1])}\n{self._settings}")
        self.logs.append(path.with_suffix(".log"))
        self.processes.append(await self._start_process(path))

    async def restart_daemon(self, number: int) -> None:
        """Restarts a daemon that has ended, as the platform does."""
        path = self.logs[number].with_suffix(".yaml")
        self.processes[number] = await self._start_process(path)

    async def _start_process(
        self, path: pathlib.Path
    ) -> asyncio.subprocess.Process:
        with path.with_suffix(".log").open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._daemon_arguments(path),
                stdout=output,
                stderr=output,
                preexec_fn=self._limit_descriptors,
                env={
                    **os.environ,
                    "PYTHONUNBUFFERED": "1",
                    "PYTHONFAULTHANDLER": "1",
                },
            )
        self._started.append(process)
        return process

    def _limit_descriptors(self) -> None:
        """Limits a process before its program starts."""
        if self._descriptors:
            limit = (self._descriptors, self._descriptors)
            resource.setrlimit(resource.RLIMIT_NOFILE, limit)

    def _daemon_arguments(self, path: pathlib.Path) -> list[str]:
        if self._can_cut:
            # -P: the folder of the script has modules named like the library's.
            return ["-P", str(CUT_DAEMON), self._folder.name, str(path)]
        return [str(ROOT / "deploy" / "daemon.py"), str(path)]

    def cut(
        self, number: int, mode: str, servers: Iterable[str] | None = None
    ) -> None:
        """Cuts a daemon's paths to some servers, or to all.

        Args:
            number: The daemon.
            mode: Mode of `standins/cut_daemon.py`.
            servers: Names of servers; None for all.
        """
        chosen = self.replicas if servers is None else servers
        ports = [self.replicas[name].port for name in chosen]
        self._write_cut(number, {"mode": mode, "ports": ports})

    def cut_store(self, number: int, mode: str) -> None:
        """Cuts a daemon's path to the store; its paths to servers stay.

        Args:
            number: The daemon.
            mode: Mode of `standins/cut_daemon.py`.
        """
        self._write_cut(number, {"mode": mode, "ports": [self.store_port]})

    def isolate(self, number: int, *, peers: bool, store: bool) -> None:
        """Cuts a daemon off from all other daemons, from the store, or both.

        Connections hang and datagrams are lost, in both directions. Paths to
        backend servers are not cut.
        """
        control_ports = [
            int(fields["listen"]["control"].rpartition(":")[2])
            for fields in self.fields
        ]
        own_port = control_ports.pop(number)
        ports = [*(control_ports if peers else ())]
        ports += [self.store_port] if store else []
        cut = {"mode": "hang", "datagrams": True}
        self._write_cut(number, {**cut, "ports": ports})
        if peers:
            for other in range(len(self.fields)):
                if other != number:
                    self._write_cut(other, {**cut, "ports": [own_port]})

    def rejoin(self) -> None:
        """Ends all cuts."""
        for number in range(len(self.fields)):
            self.heal(number)

    def _write_cut(self, number: int, cut: dict[str, object]) -> None:
        path = self.logs[number].with_suffix(".cut")
        unfinished = path.with_suffix(".tmp")
        unfinished.write_text(json.dumps(cut))
        unfinished.rename(path)

    def heal(self, number: int) -> None:
        """Ends a daemon's cut."""
        self.logs[number].with_suffix(".cut").unlink(missing_ok=True)

    def log(self, number: int = 0) -> str:
        """Returns what a daemon has logged."""
        return self.logs[number].read_text()

    def signal(self, number: int, sent_signal: signal.Signals) -> None:
        """Sends a signal to a daemon."""
        self.processes[number].send_signal(sent_signal)

    async def until_ready(self, number: int = 0) -> None:
        """Waits until a daemon is ready and knows all servers."""

        async def ready() -> bool:
            status, _ = await self.get(number, "ready", "/ready")
            return status == 200 and self.log(number).count("server_state") >= 4

        await until(f"daemon {number} is ready", ready)

    async def until_met(self, number: int = 0) -> None:
        """Waits until a daemon knows all others."""
        port = self.fields[number]["internal-port-range"][1]
        expected = re.compile(
            rf"^godwittack_live_daemons\{{.*\}} {len(self.fields)}\.0$", re.M
        )

        async def met() -> bool:
            url = f"http://127.0.0.1:{port}/metrics"
            async with self.session.get(url) as response:
                return bool(expected.search(await response.text()))

        await until(f"daemon {number} has met the others", met)

    async def get(self, number: int, part: str, path: str) -> tuple[int, bytes]:
        """Sends a GET request to one of a daemon's listeners."""
        url = f"http://{self.fields[number]['listen'][part]}{path}"
        async with self.session.get(url) as response:
            return response.status, await response.read()

    async def call(
        self,
        name: str,
        request_id: str,
        *,
        daemon: int = 0,
        key: str = KEY,
        body: object = b"body",
        headers: dict[str, str] | None = None,
        path: str = "x",
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a caller's request; raises if the answer is incomplete."""
        async with self.open(
            name,
            request_id,
            daemon=daemon,
            key=key,
            body=body,
            headers=headers,
            path=path,
        ) as response:
            data = await response.read()
            response_headers = {
                k.lower(): v for k, v in response.headers.items()
            }
            return response.status, response_headers, data

    def open(
        self,
        name: str,
        request_id: str,
        *,
        daemon: int = 0,
        key: str = KEY,
        body: object = b"body",
        headers: dict[str, str] | None = None,
        path: str = "x",
    ):
        """Returns a caller's request, to be opened with `async with`."""
        front = self.fields[daemon]["listen"]["front"]
        request_headers = {
            "Host": HOST,
            "X-Godwittack-Request-Id": request_id,
            "X-Godwittack-Deadline-Ms": "3000",
            **({"X-Godwittack-Credential": key} if key else {}),
            **(headers or {}),
        }
        if name in ("long", "short"):
            request_headers.setdefault("X-Godwittack-Model", "m")
            request_headers.setdefault("X-Godwittack-Token-Usage", "900,10")
            request_headers.setdefault(
                "X-Godwittack-Prefix-Hash", "ab12:800,cd34:100"
            )
        url = yarl.URL(f"http://{front}/{name}/{path}", encoded=True)
        return self.session.post(url, headers=request_headers, data=body)

    async def earn_retry(self, name: str) -> None:
        """Sends the requests that earn a newly started daemon one retry."""
        for number in range(REQUESTS_PER_RETRY):
            status, _, _ = await self.call(name, f"earns-{name}-{number}")
            assert status == 200, status

    def ran(self, request_id: str) -> list:
        """Returns the executions of a request at all servers."""
        return [
            ran
            for replica in self.replicas.values()
            for ran in replica.ran
            if ran.request_id == request_id
        ]


def decoded(value: str) -> str:
    """Returns a row's value as text."""
    return base64.b64decode(value).decode()


async def until(what: str, condition, *, seconds: float = WAIT_S) -> None:
    """Polls a condition until it holds; fails after the timeout."""
    try:
        async with asyncio.timeout(seconds):
            while True:
                try:
                    if await condition():
                        return
                except (aiohttp.ClientError, OSError):
                    pass
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        raise AssertionError(f"timed out waiting until {what}") from None


__all__ = [
    "KEY",
    "Platform",
    "config",
    "decoded",
    "render",
    "settings_fields",
    "until",
]
