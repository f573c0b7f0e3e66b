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
# Crashes after which a request may be sent on no more.
MOST_CRASHES = 3
# Time in which all daemons must know of a crash; less than the three seconds
# that operators allow.
KNOWN_S = 1.5


class Crashes:
    """Daemons before servers that one body crashes, and their successors."""

    def __init__(self, made: Platform) -> None:
        self.made = made
        self.crashed: list[str] = []
        for replica in made.replicas.values():
            replica.crashes_on = CRASHING
        self._started = 0

    async def until_joined(self) -> None:
        """Waits until the daemons know of each other."""
        expected = len(self.made.fields)

        async def joined() -> bool:
            counts = [
                await self._live_daemons(number) for number in range(expected)
            ]
            return counts == [expected] * expected

        await until("all daemons know of each other", joined)

    async def _live_daemons(self, number: int) -> int:
        fields = self.made.fields[number]
        port = fields["internal-port-range"][1]
        url = f"http://{fields['ip']}:{port}/"
        async with self.made.session.get(url) as response:
            text = await response.text()
        (count,) = re.findall(r"^godwittack_live_daemons\S* (\S+)", text, re.M)
        return int(float(count))

    async def ask(self, name: str, request_id: str, *, daemon: int = 0) -> int:
        """Sends the body once; returns the status, 0 for a broken answer."""
        try:
            got = await self.made.call(
                name, request_id, daemon=daemon, body=CRASHING
            )
        except aiohttp.ClientError:
            return 0
        finally:
            self._count()
        return got[0]

    async def replace(self) -> None:
        """Starts a new server for each that has ended, as the platform does."""
        made = self.made
        for name in [n for n, r in made.replicas.items() if r.has_crashed]:
            ended = made.replicas.pop(name)
            self._started += 1
            began = Replica(f"i-n{self._started}", model=ended.model)
            began.crashes_on = CRASHING
            port = free_port()
            await began.start(port)
            made.replicas[began.instance] = began
            made.store.put("servers", name, None)
            made.list_server(began.instance, f"127.0.0.1:{port}")
            await self._known(began.instance)

    async def _known(self, name: str) -> None:
        async def known() -> bool:
            return all(
                f"server={name}" in self.made.log(number)
                for number, process in enumerate(self.made.processes)
                if process.returncode is None
            )

        await until(f"{name} is known", known)

    def _count(self) -> None:
        for name, replica in self.made.replicas.items():
            if replica.has_crashed and name not in self.crashed:
                self.crashed.append(name)


async def _crash_three(crashes: Crashes, name: str) -> None:
    """Lets one request crash a server at each of three daemons."""
    for daemon in range(MOST_CRASHES):
        await crashes.ask(name, f"{name}{daemon}", daemon=daemon)
        await crashes.replace()
    await asyncio.sleep(KNOWN_S)


async def a_request_that_crashes_servers_is_quarantined_everywhere() -> None:
    """Guards against a request that ends servers one after the other."""
    async with Platform(daemons=4) as made:
        crashes = Crashes(made)
        await crashes.until_joined()
        await _crash_three(crashes, "short")
        assert len(crashes.crashed) == MOST_CRASHES, crashes.crashed
        for daemon in range(4):
            status = await crashes.ask("short", f"again{daemon}", daemon=daemon)
            assert status == 503, (daemon, status, crashes.crashed)
        assert len(crashes.crashed) == MOST_CRASHES, crashes.crashed
        for daemon in range(4):
            got = await made.call("short", f"other{daemon}", daemon=daemon)
            assert got[0] == 200, (daemon, got)


async def a_daemon_that_starts_anew_learns_of_quarantines() -> None:
    """Guards against a restarted daemon that sends on what others refuse."""
    async with Platform(daemons=4) as made:
        crashes = Crashes(made)
        await crashes.until_joined()
        await _crash_three(crashes, "short")
        made.signal(3, signal.SIGKILL)
        await made.processes[3].wait()
        await made.restart_daemon(3)
        await made.until_ready(3)
        await asyncio.sleep(KNOWN_S)
        status = await crashes.ask("short", "again", daemon=3)
        assert status == 503, status
        assert len(crashes.crashed) == MOST_CRASHES, crashes.crashed


async def a_call_that_crashes_plain_servers_is_quarantined() -> None:
    """Guards against a call of a service that ends its servers in turn."""
    async with Platform(daemons=2) as made:
        crashes = Crashes(made)
        await crashes.until_joined()
        for number in range(MOST_CRASHES + 3):
            await crashes.ask("release", f"r{number}", daemon=number % 2)
            await crashes.replace()
            await asyncio.sleep(KNOWN_S / 3)
        assert len(crashes.crashed) == MOST_CRASHES, crashes.crashed
        assert (await made.call("release", "other"))[0] == 200


async def a_quarantine_outlives_a_restart_of_the_fleet() -> None:
    """Guards against three more crashes after each restart of the fleet."""
    async with Platform(daemons=3) as made:
        crashes = Crashes(made)
        await crashes.until_joined()
        await _crash_three(crashes, "short")
        for number in range(3):
            made.signal(number, signal.SIGKILL)
            await made.processes[number].wait()
        for number in range(3):
            await made.restart_daemon(number)
        for number in range(3):
            await made.until_ready(number)
        for number in range(6):
            await crashes.ask("short", f"again{number}", daemon=number % 3)
            await crashes.replace()
            await asyncio.sleep(KNOWN_S / 3)
        # One more shows that there is something to read.
        assert len(crashes.crashed) <= MOST_CRASHES + 1, crashes.crashed
        assert await crashes.ask("short", "last", daemon=2) == 503
