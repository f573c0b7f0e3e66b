"""Tells callers where to connect, and the platform whether to send any."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Sequence

    from godwittack.core import entities
    from godwittack.member import serving as servings
    from godwittack.member import view

# Daemons in the caller's own failure domain from which those of others are
# left out: with one alone, its loss would leave callers without an address.
MIN_NEAR_DAEMONS = 2
MAX_ADDRESSES = 64
# Callers may keep an address for three times the time they are told; a daemon
# that leaves serves on for as long.
ADDRESS_KEEP_MS = 1_000
ADDRESS_KEEP_FACTOR = 3


class DirectoryFormat(Protocol):
    """How callers ask for addresses, and what they are answered."""

    def caller_failure_domain(self, request: web.BaseRequest) -> str | None:
        """Returns a caller's failure domain; None for another question."""

    def response(self, addresses: list[str], *, keep_ms: int) -> web.Response:
        """Returns addresses and how long they may be kept."""


class DirectoryHandlers:
    """HTTP handlers of the directory and of readiness.

    Attributes:
        stopping: Whether this daemon takes no new callers.
    """

    def __init__(
        self,
        *,
        members: view.View,
        world: entities.World,
        directory_format: DirectoryFormat,
        serving: servings.ServingSetSelector,
    ) -> None:
        """Names the daemons that serve.

        Args:
            members: The view of all daemons.
            world: What this daemon knows.
            directory_format: How callers ask.
            serving: Chooses who serves in a large fleet.
        """
        self._serving = serving
        self.stopping = False
        self._members = members
        self._world = world
        self._format = directory_format

    async def resolve(self, request: web.BaseRequest) -> web.Response:
        """Answers which addresses a caller should use."""
        domain = self._format.caller_failure_domain(request)
        if domain is None:
            return web.json_response({"error": "not_found"}, status=404)
        members: Sequence[view.Member] = self._serving.current().serving
        if not self._world.table.version:
            # Without a table it would refuse whoever came.
            own = self._members.me.member_id
            members = [m for m in members if m.member_id != own]
        if not members:
            return web.json_response({"error": "no_address"}, status=503)
        found = select_addresses(members, failure_domain=domain)
        return self._format.response(found, keep_ms=ADDRESS_KEEP_MS)

    async def ready(self, request: web.BaseRequest) -> web.Response:
        """Says whether this daemon takes callers."""
        del request
        version = self._world.table.version
        ready = version > 0 and not self.stopping
        return web.json_response(
            {"ready": ready, "table_version": version},
            status=200 if ready else 503,
        )


def select_addresses(
    members: Sequence[view.Member], *, failure_domain: str
) -> list[str]:
    """Returns addresses for a caller, the nearest first.

    Args:
        members: Daemons that take requests.
        failure_domain: Where the caller is; empty if it did not say.
    """
    near = [m for m in members if m.failure_domain == failure_domain]
    far = [m for m in members if m.failure_domain != failure_domain]
    chosen = near if len(near) >= MIN_NEAR_DAEMONS else [*near, *far]
    return [member.http_address for member in chosen[:MAX_ADDRESSES]]


__all__ = [
    "ADDRESS_KEEP_MS",
    "ADDRESS_KEEP_FACTOR",
    "DirectoryHandlers",
    "DirectoryFormat",
    "select_addresses",
]
