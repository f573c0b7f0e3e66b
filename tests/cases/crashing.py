"""Requests that crash the servers that run them, with real processes."""

from __future__ import annotations

import asyncio
import itertools
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


# Time after which an entry of a silent server expires.
EXPIRY_S = 3.7
# Time after servers are back within which all requests are served again.
RECOVERY_S = 5.0


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


async def _replace_silent(platform: Platform, names: list[str]) -> None:
    """Removes the entries of servers that fell silent, and starts others."""
    await asyncio.sleep(EXPIRY_S)
    for name in names:
        platform.store.put("servers", name, None)
    for number, name in enumerate(names):
        await platform.replicas.pop(name).stop()
        replacement = Replica(f"i-t{number}")
        replacement.crashes_on = CRASHING
        port = free_port()
        await replacement.start(port)
        platform.replicas[replacement.instance] = replacement
        platform.list_server(replacement.instance, f"127.0.0.1:{port}")


async def _send_equal(platform: Platform, statuses: dict[str, int]) -> None:
    """Sends one request again and again to each daemon, until cancelled."""

    async def send(request_id: str, daemon: int) -> None:
        try:
            result = await platform.call("release", request_id, daemon=daemon)
            statuses[request_id] = result[0]
        except aiohttp.ClientError:
            statuses[request_id] = 0

    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            for daemon in range(len(platform.fields)):
                group.create_task(send(f"equal-{number}-{daemon}", daemon))
            await asyncio.sleep(0.25)


async def _end_all_silently(platform: Platform) -> dict[str, int]:
    """Lets all plain servers end at one moment, under equal requests.

    Returns:
        The statuses of those that were sent after the recovery, by request.
    """
    names = [n for n, r in platform.replicas.items() if not r.model]
    statuses: dict[str, int] = {}
    sending = asyncio.create_task(_send_equal(platform, statuses))
    await asyncio.sleep(1)
    for name in names:
        platform.replicas[name].fall_silent(3_600)
    await _replace_silent(platform, names)
    await asyncio.sleep(RECOVERY_S)
    before = set(statuses)
    await asyncio.sleep(2)
    sending.cancel()
    await asyncio.wait([sending])
    return {n: s for n, s in statuses.items() if n not in before}


async def an_outage_of_all_servers_refuses_no_popular_request() -> None:
    """Guards against minutes of refusals for what ran on all lost servers."""
    async with Platform(daemons=3, services=3) as platform:
        for replica in platform.replicas.values():
            replica.work_s = 0.1
        await Crashes(platform).until_joined()
        statuses = await _end_all_silently(platform)
        assert set(statuses.values()) == {200}, statuses


async def an_outage_hides_no_request_that_crashes_servers() -> None:
    """Guards against acquitting what crashes servers beside an outage."""
    async with Platform(daemons=3, services=3) as platform:
        crashes = Crashes(platform)
        await crashes.until_joined()
        for daemon in range(2):
            await crashes.send_crashing("release", f"a{daemon}", daemon=daemon)
            await crashes.replace()
        await _end_all_silently(platform)
        for number in range(12):
            await crashes.send_crashing(
                "release", f"b{number}", daemon=number % 3
            )
            await crashes.replace()
        assert len(crashes.crashed) <= MAX_CRASHES + 1, crashes.crashed
