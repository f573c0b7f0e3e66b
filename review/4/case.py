"""Long bodies in a burst take a daemon over its memory limit."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import aiohttp  # noqa: E402
import deployment as deployments  # noqa: E402
import replica as replicas  # noqa: E402
import yarl  # noqa: E402

# `memory-mb` of besba-stands. Counted is less than the platform would count:
# anonymous pages only, without the unread bytes of sockets.
MEMORY_KB = 150 * 1024
# `max-body-bytes` of the configuration is 4,194,304.
BODY_BYTES = 4_194_304
SMALL_BYTES = 1_000
# One daemon's part of the sheet's 150 requests a second, times 1.5 for a burst.
CLIENTS, PER_S = 60, 25
# Events of a stream, 60 ms apart: about one second.
EVENTS, EVENT_GAP_S = 17, 0.06
# LOST: more than three.
ALLOWED = 3
RESTART_S = 1.0


async def play(deployment) -> list[str]:
    record = deployment.record
    await deployment.start(
        [
            replicas.Replica(
                f"i-e{n}", service=deployments.ENGINES,
                model=deployments.MODEL, events=EVENTS, work_s=EVENT_GAP_S,
                note=record.note,
            )
            for n in range(6)
        ],
        daemons=3,
    )
    await asyncio.sleep(4)
    daemon = deployment.daemons[0]
    platform = asyncio.create_task(_enforce_limit(deployment, daemon))
    clients = []
    for number in range(CLIENTS):
        clients.append(
            asyncio.create_task(_client(deployment, daemon, number))
        )
    await asyncio.gather(*clients)
    await asyncio.sleep(RESTART_S + 3)
    platform.cancel()
    return verdict(record)


async def _enforce_limit(deployment, daemon) -> None:
    """Kills and restarts a process over its limit, as the platform does."""
    peak_kb = 0
    while True:
        pid = daemon.process.pid
        used_kb = _anonymous_kb(pid)
        if used_kb > peak_kb + 5_000:
            peak_kb = used_kb
            deployment.record.note("memory", daemon.name, f"{used_kb} KB")
        if used_kb > MEMORY_KB:
            deployment.record.note("over the limit", f"{used_kb} KB")
            deployment.kill(daemon, signal.SIGKILL)
            await daemon.process.wait()
            await asyncio.sleep(RESTART_S)
            await deployment.start_daemon(daemon)
            peak_kb = 0
        await asyncio.sleep(0.01)


def _anonymous_kb(pid: int) -> int:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1])
    return 0


async def _client(deployment, daemon, number: int) -> None:
    """Sends a small request, then one of the burst on the same connection."""
    size = BODY_BYTES if deployments.has_trouble() else SMALL_BYTES
    connector = aiohttp.TCPConnector(limit=1)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.sleep(number / PER_S)
        await _send(deployment, session, daemon, f"small{number}", SMALL_BYTES)
        # Each client's own pace; together they keep to PER_S.
        await asyncio.sleep(6.0)
        await _send(deployment, session, daemon, f"long{number}", size)


async def _send(deployment, session, daemon, request_id, size) -> None:
    record = deployment.record
    timeout_ms = deployments.ROUTES["rulebook"]["timeout-ms"]
    own = f"{len(request_id)}{request_id[-2:].encode().hex()}"
    headers = {
        "Host": deployments.HOST, "X-Godwittack-Request-Id": request_id,
        "X-Godwittack-Credential": deployments.KEY,
        "X-Godwittack-Deadline-Ms": str(timeout_ms),
        "X-Godwittack-Model": deployments.MODEL,
        "X-Godwittack-Token-Usage": "17020,80",
        "X-Godwittack-Prefix-Hash":
            f"5c1e07a2:9000,91bd3f06:4300,{own}:3720",
    }
    url = yarl.URL(f"http://{daemon.address('front')}/rulebook/2f")
    record.note("sent", request_id, daemon.name, f"{size} bytes")
    try:
        async with session.post(
            url, headers=headers, data=b"x" * size,
            timeout=aiohttp.ClientTimeout(total=timeout_ms / 1000 + 1),
        ) as answer:
            body = await answer.read()
            record.note("answered", request_id, answer.status, len(body))
    except (aiohttp.ClientError, TimeoutError) as error:
        record.note("broken off", request_id, type(error).__name__)


def verdict(record) -> list[str]:
    """LOST, for requests that were passed on to a sound replica."""
    ran = {words[1] for _, words in record.all("ran")}
    lost = [
        words[1] for _, words in record.all("broken off")
        if words[1] in ran
    ]
    kills = len(record.all("over the limit"))
    answered = len(record.all("answered"))
    record.note("answered", answered, "lost", len(lost), "ends", kills)
    if kills and len(lost) > ALLOWED:
        return [
            f"LOST: {len(lost)} requests had been passed on to sound replicas"
            " and their connections ended without a whole answer, as the"
            f" process was over its memory limit ({kills} times)"
        ]
    return []


if __name__ == "__main__":
    deployments.run_case(pathlib.Path(__file__).resolve(), play)
