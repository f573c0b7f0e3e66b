"""Starts real daemons before stand-ins, and records what is sent and run.

The daemons are the project's own program, started with the command of the
deploy file. The store and the servers are the project's stand-ins, with what a
case needs beyond them.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PYTHON_PATH = [ROOT / "target" / "deps", ROOT / "src", ROOT / "tests"]
sys.path[:0] = [str(path) for path in PYTHON_PATH]
os.environ["PYTHONPATH"] = os.pathsep.join(map(str, PYTHON_PATH))

import aiohttp  # noqa: E402
from cluster import platform  # noqa: E402
from cluster.processes import free_port  # noqa: E402
from standins.replica import Replica  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of `sites/besba-stands.toml`.
BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "stable-window-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 8,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "rollback-slack-ms": 250,
    "max-skew-ms": 5000,
    "strict-revocation": True,
    "revoke-ms": 5000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "retry-slack": 58,
    "recovery-s": 12,
    "propagation-ms": 120,
    "reuse-window-s": 10,
    "require-fencing": True,
    "lease-ms": 3000,
    "thaw-slack-ms": 300,
    "version-ms": 12000,
    "fleet-version-ms": 17000,
    "ttl_max_s": 5,
}
LIMITS = {
    "cpu-share": 0.537,
    "cores": 2,
    "memory-mb": 150,
    "max-fds": 4100,
    "link-mbps": 1000.0,
    "disk-mb": 0,
}
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "kvcache",
    "stream",
    "engine",
    "tenants",
    "platform",
]
CONFIG_APPLY_S = BOUNDS["config-apply-ms"] / 1000
STABLE_S = BOUNDS["stable-window-ms"] / 1000


class Record:
    """Lines of `record.txt`, with the time since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Begins a new file."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the time since the start."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{self.now_s():8.3f}  {text}\n")
        self._file.flush()


class CachingEngine(Replica):
    """A server that keeps the parts of prompts, as the pages say.

    Parts are found under the text of X-Godwittack-Cache-Salt only, and only
    if all parts before them are found. Nothing is evicted.

    Attributes:
        uses: Parts that a request found: time, request, its tenant, the part,
            and the tenant whose request made it.
    """

    def __init__(self, instance: str, record: Record) -> None:
        """Starts with an empty cache."""
        super().__init__(instance, model="m")
        self._record = record
        self._made_by: dict[tuple[str, str, str], str] = {}
        self.uses: list[tuple[float, str, str, str, str]] = []

    async def _execute(self, request, body, request_id, headers):
        salt = request.headers.get("X-Godwittack-Cache-Salt", "")
        tenant = request.headers.get("X-Godwittack-Tenant", "")
        parts = request.headers.get("X-Godwittack-Prefix-Hash", "").split(",")
        model = request.headers.get("X-Godwittack-Model", "")
        found: list[str] = []
        is_prefix = True
        for part in (entry.partition(":")[0].strip() for entry in parts):
            key = (salt, part, model)
            is_prefix = is_prefix and key in self._made_by
            if is_prefix:
                maker = self._made_by[key]
                found.append(f"{part} of {maker}")
                self.uses.append(
                    (self._record.now_s(), request_id, tenant, part, maker)
                )
            else:
                self._made_by[key] = tenant
        self._record.write(
            f"run      {request_id} at {self.instance} tenant={tenant}"
            f" salt={salt!r} cached=[{', '.join(found)}]"
        )
        return await super()._execute(request, body, request_id, headers)


class Lab(platform.Platform):
    """Daemons with the settings of a small deployment."""

    def __init__(
        self,
        record: Record,
        replicas: dict[str, Replica],
        config: dict,
        *,
        daemons: int = 3,
    ) -> None:
        """Creates the stand-ins without starting them."""
        super().__init__(daemons=daemons, configured=False)
        self.record = record
        self.replicas = replicas
        self._config = config

    async def start_daemon(self, name: str) -> None:
        """Starts a daemon as the deploy file does."""
        seeds = [f["listen"]["control"] for f in self.fields][:3]
        fields = platform.settings_fields(name, self.store_port, seeds)
        fields["bounds"] = dict(BOUNDS)
        fields["limits"] = dict(LIMITS)
        fields["contracts"] = list(CONTRACTS)
        self.fields.append(fields)
        await self._launch(len(self.fields) - 1)

    async def _launch(self, number: int) -> None:
        fields = self.fields[number]
        name = fields["node-name"]
        path = pathlib.Path(self._folder.name) / f"{name}.yaml"
        path.write_text(platform.render(fields), encoding="utf-8")
        if number == len(self.logs):
            self.logs.append(path.with_suffix(".log"))
            self.processes.append(await self._start_process(path))
        else:
            self.processes[number] = await self._start_process(path)
        self.record.write(f"start    {name}")

    async def relaunch(self, number: int) -> None:
        """Starts a daemon again that has ended, no longer as the first time."""
        self.fields[number]["bootstrap"] = False
        await self._launch(number)

    def _daemon_arguments(self, path: pathlib.Path) -> list[str]:
        return ["deploy/daemon.py", str(path)]

    def put_config(self, config: dict) -> None:
        """Writes a configuration, as the operator does."""
        self.store.put("op", "config", config)
        self.record.write(
            f"config   {config['version']} acknowledged: "
            + json.dumps(config["tenants"])
        )

    async def until_serving(self) -> None:
        """Writes the first configuration, and waits for all daemons."""
        self.put_config(self._config)
        for number in range(len(self.fields)):
            await self.until_ready(number)
            await self.until_met(number)

    async def send(
        self, route: str, request_id: str, **arguments: object
    ) -> int | str:
        """Sends a client's request; returns the status, or what failed."""
        self.record.write(f"send     {request_id} route={route} {arguments}")
        try:
            status, headers, _ = await self.call(route, request_id, **arguments)
            detail = headers.get("x-godwittack-response-signature", "none")
            detail = f"{status} signature={detail}"
            if "retry-after" in headers:
                detail += f" retry-after={headers['retry-after']}"
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            status = detail = type(error).__name__
        self.record.write(f"answer   {request_id} {detail}")
        return status

    def keep_logs(self, folder: pathlib.Path, words: tuple[str, ...]) -> None:
        """Appends the lines of the daemons' logs that have one of the words."""
        for number in range(len(self.logs)):
            for line in self.log(number).splitlines():
                if any(word in line for word in words):
                    self.record.write(f"log      edge-{number + 1}: {line}")


def main(case, folder: pathlib.Path) -> None:
    """Runs a case, and exits with its result."""
    os.chdir(ROOT)
    record = Record(folder)

    async def run() -> int:
        async with asyncio.timeout(115):
            return await case(record)

    try:
        result = asyncio.run(run())
    except Exception as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        result = NOT_RUN
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[result])
    sys.exit(result)


__all__ = [
    "BROKEN",
    "CONFIG_APPLY_S",
    "HELD",
    "NOT_RUN",
    "STABLE_S",
    "TROUBLE",
    "CachingEngine",
    "Lab",
    "Record",
    "Replica",
    "free_port",
    "main",
    "platform",
]
