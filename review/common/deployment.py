"""A small deployment on loopback addresses: store, replicas and daemons.

The daemons are the project's own programs, started with the command and the
environment of the deploy file and with its settings template filled in. The
store is the project's stand-in `standins.rows`.
"""

from __future__ import annotations

import asyncio
import dataclasses
import os
import pathlib
import signal
import sys
import tempfile
import time
import zlib

import aiohttp
import yarl
from cluster.platform import render
from cluster.processes import free_port
from standins.rows import RowStore

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "jepu9.example"
KEY = "ctnfzs989anu6wsjnban"
MODEL = "daka510000"
ENGINES, SERVICE = "huvo11a", "kafi81c"
# The bounds of besba-stands.
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000,
    "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8,
    "loss-slack-ms": 200, "config-apply-ms": 2000,
    "rollback-slack-ms": 250, "max-skew-ms": 5000,
    "strict-revocation": True, "revoke-ms": 5000,
    "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-slack": 58,
    "recovery-s": 12, "propagation-ms": 120, "reuse-window-s": 10,
    "require-fencing": True, "lease-ms": 3000, "thaw-slack-ms": 300,
    "version-ms": 12000, "fleet-version-ms": 17000, "ttl_max_s": 5,
}
ROUTES = {
    "rulebook": {"type": "streaming", "timeout-ms": 6000, "priority": 1,
                 "max-attempts": 2, "resumable": True, "service": ENGINES,
                 "target-latency-ms": 300, "sticky": True},
    "query": {"type": "streaming", "timeout-ms": 3000, "priority": 0,
              "max-attempts": 1, "resumable": False, "service": ENGINES,
              "target-latency-ms": 250, "sticky": True},
    "confirm": {"type": "non_idempotent", "timeout-ms": 1200, "priority": 2,
                "max-attempts": 1, "resumable": False, "service": SERVICE,
                "target-latency-ms": 150, "sticky": False},
    "release": {"type": "idempotent", "timeout-ms": 1200, "priority": 2,
                "max-attempts": 2, "resumable": False, "service": SERVICE,
                "target-latency-ms": 150, "sticky": False},
}
PROMPTS = {
    "rulebook": ("17020,80", "5c1e07a2:9000,91bd3f06:4300,{own}:3720"),
    "query": ("383,40", "ab12cd34:92,{own}:291"),
}


def config(version: int, **changes: object) -> dict:
    """Returns the operator's configuration."""
    return {
        "version": version,
        "routes": [
            {"name": f"r-{name}", "host": HOST, "prefix": f"/{name}/",
             "allow-anonymous": False, "target-gap-ms": 250, **fields}
            for name, fields in ROUTES.items()
        ],
        "services": [
            {"name": ENGINES, "health-path": "/health",
             "max-connections": 180, "protocol": "h1", "tls": False,
             "engine": {"slots": 16, "kv-capacity-tokens": 184803,
                        "kv-token-bytes": 18432, "link-mbps": 180000.0,
                        "max-inflight": 12,
                        "models": [{"name": MODEL}]}},
            {"name": SERVICE, "health-path": "/health",
             "max-connections": 110, "protocol": "h1", "tls": False},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "sese880", "api-keys": [KEY], "priority": 1,
                     "isolated": False}],
        **changes,
    }


class Record:
    """What was sent, answered and run, with times, for `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._started_s = time.monotonic()
        self.lines: list[tuple[float, tuple[str, ...]]] = []

    def now_s(self) -> float:
        """Returns the seconds since the script started."""
        return time.monotonic() - self._started_s

    def note(self, *words: object) -> None:
        """Adds a line."""
        self.lines.append((self.now_s(), tuple(map(str, words))))

    def all(self, *words: str) -> list[tuple[float, tuple[str, ...]]]:
        """Returns the lines that begin with the words."""
        return [e for e in self.lines if e[1][: len(words)] == words]

    def save(self) -> None:
        """Writes the file."""
        text = "".join(f"{at:9.3f} {' '.join(w)}\n" for at, w in self.lines)
        self._path.write_text(text)


@dataclasses.dataclass
class Daemon:
    """One daemon, with the fields that its settings were filled in from."""

    name: str
    fields: dict
    path: pathlib.Path
    process: asyncio.subprocess.Process | None = None

    def address(self, part: str) -> str:
        """Returns one of its addresses."""
        return self.fields["listen"][part]


class Deployment:
    """Store, replicas and daemons of one script."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = RowStore()
        self.replicas: dict[str, object] = {}
        self.daemons: list[Daemon] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._started: list[asyncio.subprocess.Process] = []
        self._store_port = free_port()
        self._session: aiohttp.ClientSession | None = None
        self._bounds = BOUNDS

    async def start(
        self, replicas, *, daemons: int, bounds: dict | None = None
    ) -> None:
        """Starts everything, and waits until all daemons know each other.

        Args:
            replicas: The replicas.
            daemons: How many daemons to start.
            bounds: Bounds of the deployment, where it is not besba-stands.
        """
        self._bounds = {**BOUNDS, **(bounds or {})}
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        # 4 ms an answer, as on the sheets.
        self.store.faults.latency_s = 0.004
        await self.store.start(self._store_port)
        for replica in replicas:
            await replica.start(free_port())
            self.replicas[replica.instance] = replica
            self.store.put("servers", replica.instance, replica.row())
        self.store.put("op", "config", config(1))
        for number in range(daemons):
            self._add_daemon(f"edge-{number + 1}")
        for daemon in self.daemons:
            await self.start_daemon(daemon)
        await self.until(f"{daemons} daemons are ready", self._all_ready)
        await self.until("all daemons are named", self._all_named)

    def _add_daemon(self, name: str) -> None:
        listen = {
            part: f"127.0.0.1:{free_port()}"
            for part in ("front", "ready", "control", "directory")
        }
        zones = ("salt-lake", "park-circus", "new-town")
        fields = {
            "node-name": name, "role": "edge", "ip": "127.0.0.1",
            "zone": zones[len(self.daemons) % 3], "region": "kolkata",
            "zones": dict.fromkeys(zones, "kolkata"), "listen": listen,
            "internal-port-range": [free_port(), free_port()],
            "seeds": [], "bounds": self._bounds,
            "limits": {"cpu-share": 0.537, "cores": 2, "memory-mb": 150},
            "platform": {"address": f"127.0.0.1:{self._store_port}"},
            "contracts": ["base", "drain", "config", "cost", "retry",
                          "recover", "kvcache", "stream", "engine",
                          "tenants", "platform"],
        }
        path = pathlib.Path(self._folder.name) / f"{name}.json"
        self.daemons.append(Daemon(name, fields, path))

    async def start_daemon(self, daemon: Daemon) -> None:
        """Starts a daemon's process with the deploy file's command."""
        daemon.fields["seeds"] = [
            d.address("control") for d in self.daemons[:3]
        ]
        daemon.path.write_text(render(daemon.fields))
        with daemon.path.with_suffix(".log").open("ab") as log:
            daemon.process = await asyncio.create_subprocess_exec(
                sys.executable, "deploy/daemon.py", str(daemon.path),
                cwd=ROOT, stdout=log, stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "GODWITTACK_BOOT": str(daemon.path),
                    "SSL_CERT_FILE": "/dev/null",
                },
            )
        self._started.append(daemon.process)
        self.record.note("started", daemon.name)

    def kill(self, daemon: Daemon, sent: signal.Signals) -> None:
        """Sends a signal to a daemon that this script started."""
        daemon.process.send_signal(sent)
        self.record.note("signal", sent.name, daemon.name)

    def log(self, daemon: Daemon) -> str:
        """Returns what a daemon has logged."""
        return daemon.path.with_suffix(".log").read_text(errors="replace")

    async def close(self) -> None:
        """Ends every process and stand-in that this script started."""
        for process in self._started:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for replica in self.replicas.values():
            await replica.stop()
        await self._session.close()
        await self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            target = pathlib.Path(keep)
            target.mkdir(parents=True, exist_ok=True)
            for daemon in self.daemons:
                (target / f"{daemon.name}.log").write_text(self.log(daemon))
        self._folder.cleanup()

    async def until(self, what: str, condition, seconds: float = 20.0) -> None:
        """Waits for a condition; raises `TimeoutError` with its name."""
        ends_s = time.monotonic() + seconds
        while time.monotonic() < ends_s:
            try:
                if await condition():
                    return
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f"timed out waiting until {what}")

    async def _all_ready(self) -> bool:
        for daemon in self.daemons:
            url = f"http://{daemon.address('ready')}/ready"
            async with self._session.get(url) as answer:
                if answer.status != 200:
                    return False
        return True

    async def _all_named(self) -> bool:
        """Returns whether each daemon names all others to clients."""
        wanted = {d.address("front") for d in self.daemons}
        for daemon in self.daemons:
            named: set[str] = set()
            for zone in daemon.fields["zones"]:
                url = (
                    f"http://{daemon.address('directory')}/resolve"
                    f"?name={HOST}&region=kolkata&zone={zone}"
                )
                async with self._session.get(url) as answer:
                    named |= set((await answer.json())["addresses"])
            if named != wanted:
                return False
        return True

    async def call(
        self, route: str, request_id: str, daemon: Daemon,
        *, deadline_ms: int = 0, gap_s: float = 0.0,
    ) -> tuple[int, bytes]:
        """Sends one client attempt; returns its status (0: broken) and body.

        Args:
            route: Name of the route.
            request_id: Id of the attempt.
            daemon: Where it is sent.
            deadline_ms: Its deadline; 0 for the route's timeout.
            gap_s: Longest time without an event or answer after which the
                client closes its connection; 0 for its whole deadline.
        """
        deadline_ms = deadline_ms or ROUTES[route]["timeout-ms"]
        headers = {
            "Host": HOST, "X-Godwittack-Request-Id": request_id,
            "X-Godwittack-Credential": KEY,
            "X-Godwittack-Deadline-Ms": str(deadline_ms),
        }
        if route in PROMPTS:
            usage, prefix = PROMPTS[route]
            headers["X-Godwittack-Model"] = MODEL
            headers["X-Godwittack-Token-Usage"] = usage
            own = f"{zlib.crc32(request_id.encode()):08x}"
            headers["X-Godwittack-Prefix-Hash"] = prefix.format(own=own)
        method = "GET" if route == "release" else "POST"
        url = yarl.URL(
            f"http://{daemon.address('front')}/{route}/2f", encoded=True
        )
        self.record.note("sent", request_id, daemon.name)
        status, body, retry_after = 0, b"", "-"
        try:
            async with self._session.request(
                method, url, headers=headers, allow_redirects=False,
                data=b"{}" if method == "POST" else None,
                timeout=aiohttp.ClientTimeout(
                    total=deadline_ms / 1000 + 1, sock_read=gap_s or None
                ),
            ) as answer:
                body = await answer.read()
                status = answer.status
                retry_after = answer.headers.get("Retry-After", "-")
        except TimeoutError:
            self.record.note("left", request_id)
            return 0, b""
        except aiohttp.ClientError as error:
            body = repr(error).encode()
            self.record.note("broken off", request_id, type(error).__name__)
        self.record.note(
            "answered", request_id, status, f"retry-after={retry_after}"
        )
        return status, body


def has_trouble() -> bool:
    """Returns whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(path: pathlib.Path, play) -> None:
    """Plays a case and exits: 1 broken, 0 held, 2 could not run."""
    record = Record(path.parent / "record.txt")
    try:
        broken = asyncio.run(asyncio.wait_for(_play(record, play), 115))
    except Exception as error:  # noqa: BLE001
        record.note("could not run", repr(error))
        record.save()
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        record.note("BROKEN", line)
        print(f"BROKEN: {line}")
    record.note("verdict", "broken" if broken else "held")
    record.save()
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)


async def _play(record: Record, play) -> list[str]:
    deployment = Deployment(record)
    try:
        return await play(deployment)
    finally:
        await deployment.close()
