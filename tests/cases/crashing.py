"""Requests that crash the servers that run them, with real processes."""

from __future__ import annotations

import asyncio
import re
import signal

import aiohttp

from cluster.platform import Platform, until
from cluster.processes import free_port
from standins.replica import Replica

CRASHING = b"crashes the server that runs it"
# Crashes after which a request may not be sent again.
MAX_CRASHES = 3
# Time within which all daemons must know of a crash; less than the three
# seconds that operators allow.
PROPAGATION_S = 1.5


class Crashes:
    """A cluster whose servers crash on one body, and their replacements."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self.crashed: list[str] = []
        for replica in platform.replicas.values():
            replica.crashes_on = CRASHING
        self._started = 0

    async def until_joined(self) -> None:
        """Waits until the daemons know of each other."""
        expected = len(self.platform.fields)

        async def joined() -> bool:
            counts = [
                await self._live_daemons(number) for number in range(expected)
            ]
            return counts == [expected] * expected

        await until("all daemons know of each other", joined)

    async def _live_daemons(self, number: int) -> int:
        fields = self.platform.fields[number]
        port = fields["internal-port-range"][1]
        url = f"http://{fields['ip']}:{port}/"
        async with self.platform.session.get(url) as response:
            text = await response.text()
        (count,) = re.findall(r"^godwittack_live_daemons\S* (\S+)", text, re.M)
        return int(float(count))

    async def send_crashing(
        self, name: str, request_id: str, *, daemon: int = 0
    ) -> int:
        """Sends the crashing body; returns the status, or 0 if broken off."""
        try:
            result = await self.platform.call(
                name, request_id, daemon=daemon, body=CRASHING
            )
        except aiohttp.ClientError:
            return 0
        finally:
            self._count()
        return result[0]

    async def replace(self) -> None:
        """Replaces each server that crashed, as the platform does."""
        platform = self.platform
        for name in [n for n, r in platform.replicas.items() if r.has_crashed]:
            crashed = platform.replicas.pop(name)
            self._started += 1
            replacement = Replica(f"i-n{self._started}", model=crashed.model)
            replacement.crashes_on = CRASHING
            port = free_port()
            await replacement.start(port)
            platform.replicas[replacement.instance] = replacement
            platform.store.put("servers", name, None)
            platform.list_server(replacement.instance, f"127.0.0.1:{port}")
            await self._until_known(replacement.instance)

    async def _until_known(self, name: str) -> None:
        async def known() -> bool:
            return all(
                f"server={name}" in self.platform.log(number)
                for number, process in enumerate(self.platform.processes)
                if process.returncode is None
            )

        await until(f"{name} is known", known)

    def _count(self) -> None:
        for name, replica in self.platform.replicas.items():
            if replica.has_crashed and name not in self.crashed:
                self.crashed.append(name)


async def _crash_three(crashes: Crashes, name: str) -> None:
    """Sends a request to three daemons; a server crashes each time."""
    for daemon in range(MAX_CRASHES):
        await crashes.send_crashing(name, f"{name}{daemon}", daemon=daemon)
        await crashes.replace()
    await asyncio.sleep(PROPAGATION_S)


async def a_request_that_crashes_servers_is_quarantined_everywhere() -> None:
    """Guards against a request that crashes one server after the other."""
    async with Platform(daemons=4) as platform:
        crashes = Crashes(platform)
        await crashes.until_joined()
        await _crash_three(crashes, "short")
        assert len(crashes.crashed) == MAX_CRASHES, crashes.crashed
        for daemon in range(4):
            status = await crashes.send_crashing(
                "short", f"again{daemon}", daemon=daemon
            )
            assert status == 503, (daemon, status, crashes.crashed)
        assert len(crashes.crashed) == MAX_CRASHES, crashes.crashed
        for daemon in range(4):
            result = await platform.call(
                "short", f"other{daemon}", daemon=daemon
            )
            assert result[0] == 200, (daemon, result)


async def a_restarted_daemon_learns_of_quarantines() -> None:
    """Guards against a restarted daemon that forwards what others refuse."""
    async with Platform(daemons=4) as platform:
        crashes = Crashes(platform)
        await crashes.until_joined()
        await _crash_three(crashes, "short")
        platform.signal(3, signal.SIGKILL)
        await platform.processes[3].wait()
        await platform.restart_daemon(3)
        await platform.until_ready(3)
        await asyncio.sleep(PROPAGATION_S)
        status = await crashes.send_crashing("short", "again", daemon=3)
        assert status == 503, status
        assert len(crashes.crashed) == MAX_CRASHES, crashes.crashed


async def a_call_that_crashes_plain_servers_is_quarantined() -> None:
    """Guards against a service call that crashes one server after the other."""
    async with Platform(daemons=2) as platform:
        crashes = Crashes(platform)
        await crashes.until_joined()
        for number in range(MAX_CRASHES + 3):
            await crashes.send_crashing(
                "release", f"r{number}", daemon=number % 2
            )
            await crashes.replace()
            await asyncio.sleep(PROPAGATION_S / 3)
        assert len(crashes.crashed) == MAX_CRASHES, crashes.crashed
        assert (await platform.call("release", "other"))[0] == 200


async def a_quarantine_outlives_a_restart_of_the_fleet() -> None:
    """Guards against three more crashes after each restart of the fleet."""
    async with Platform(daemons=3) as platform:
        crashes = Crashes(platform)
        await crashes.until_joined()
        await _crash_three(crashes, "short")
        for number in range(3):
            platform.signal(number, signal.SIGKILL)
            await platform.processes[number].wait()
        for number in range(3):
            await platform.restart_daemon(number)
        for number in range(3):
            await platform.until_ready(number)
        for number in range(6):
            await crashes.send_crashing(
                "short", f"again{number}", daemon=number % 3
            )
            await crashes.replace()
            await asyncio.sleep(PROPAGATION_S / 3)
        # One more crash makes the daemons read the stored crashes.
        assert len(crashes.crashed) <= MAX_CRASHES + 1, crashes.crashed
        assert await crashes.send_crashing("short", "last", daemon=2) == 503
