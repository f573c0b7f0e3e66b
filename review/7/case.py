"""The limit on bodies is raised; kept connections refuse by the old one."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common2"))
import lab  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
LOW_BYTES, HIGH_BYTES = 65_536, 4_194_304
SHORT_BODY, LONG_BODY = b"s" * 600, b"l" * 100_000
IDLE_TIMEOUT_MS = 15_000
CLIENTS = 36
# Beyond the bound on configurations, and far below four fifths of the idle
# timeout.
MARGIN_S = 1.5
DENIED_FEW, DENIED_ONE_IN = 5, 500


def config(version: int, *, body_bytes: int) -> dict:
    """Returns a configuration with a limit on bodies."""
    return {
        **lab.platform.config(version),
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": body_bytes,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": IDLE_TIMEOUT_MS,
        },
    }


class Client:
    """A client that keeps one connection to one daemon."""

    def __init__(self, record: lab.Record, number: int, front: str) -> None:
        """Is not connected yet."""
        self._record = record
        self._number = number
        self._front = front
        self._sent = 0

    async def connect(self) -> None:
        """Opens the connection."""
        host, _, port = self._front.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port)
        )

    async def send(self, body: bytes) -> int:
        """Sends a request on the connection; returns the status."""
        self._sent += 1
        request_id = f"c{self._number}-{self._sent}"
        self._record.write(f"send     {request_id} {len(body)} bytes")
        head = (
            "POST /confirm/x HTTP/1.1\r\n"
            f"Host: {lab.platform.HOST}\r\n"
            f"X-Godwittack-Request-Id: {request_id}\r\n"
            "X-Godwittack-Deadline-Ms: 2500\r\n"
            f"X-Godwittack-Credential: {lab.platform.KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._writer.write(head.encode() + body)
        await self._writer.drain()
        answer = await self._reader.readuntil(b"\r\n\r\n")
        status = int(answer.split()[1])
        length = 0
        for line in answer.decode().split("\r\n"):
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        text = await self._reader.readexactly(length)
        detail = "" if status == 200 else text.decode()[:120]
        self._record.write(f"answer   {request_id} {status} {detail}")
        return status

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


async def case(record: lab.Record) -> int:
    """Returns whether proper requests are refused for good."""
    replicas = {"i-e1": lab.CachingEngine("i-e1", record)}
    replicas |= {name: lab.Replica(name) for name in ("i-s1", "i-s2", "i-s3")}
    started = lab.Lab(record, replicas, config(1, body_bytes=LOW_BYTES))
    statuses: list[int] = []
    proper = 0
    async with started as running:
        await running.until_serving()
        clients = [
            Client(record, n, running.fields[n % 3]["listen"]["front"])
            for n in range(CLIENTS)
        ]
        # Within the first limit.
        for client in clients:
            await client.connect()
            statuses.append(await client.send(SHORT_BODY))
        body = SHORT_BODY
        if lab.TROUBLE:
            running.put_config(config(2, body_bytes=HIGH_BYTES))
            body = LONG_BODY
        await asyncio.sleep(lab.CONFIG_APPLY_S + MARGIN_S)
        # Within the limit that is in force now.
        for client in clients:
            statuses.append(await client.send(body))
        # New connections show that the limit is in force at all daemons.
        fresh = [
            Client(record, CLIENTS + n, running.fields[n]["listen"]["front"])
            for n in range(3)
        ]
        for client in fresh:
            await client.connect()
            proper += await client.send(body) == 200
        for client in (*clients, *fresh):
            client.close()
    denied = statuses.count(413)
    record.write(f"{denied} of {len(statuses) + 3} requests got 413")
    if proper < len(fresh) or statuses.count(200) + denied < len(statuses):
        record.write("a daemon did not apply the configuration, or failed")
        return lab.NOT_RUN
    if denied > DENIED_FEW + (len(statuses) + 3) / DENIED_ONE_IN:
        record.write(
            f"BROKEN   DENIED: {denied} proper requests were ended with 413,"
            f" {lab.CONFIG_APPLY_S + MARGIN_S} s after the acknowledgement of"
            " the configuration that allows them"
        )
        return lab.BROKEN
    return lab.HELD


if __name__ == "__main__":
    lab.main(case, FOLDER)
