"""Serves daemon addresses to callers and readiness to the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Sequence

    from godwittack.core import entities
    from godwittack.member import serving as servings
    from godwittack.member import view

# From this many daemons in the caller's failure domain on, daemons of other
# domains are left out. With only one, its loss would leave the caller without
# an address.
MIN_NEAR_DAEMONS = 2
MAX_ADDRESSES = 64
# Callers may keep an address for ADDRESS_KEEP_FACTOR times the advertised time;
# a stopping daemon keeps serving for as long.
ADDRESS_KEEP_MS = 1_000
ADDRESS_KEEP_FACTOR = 3


class DirectoryFormat(Protocol):
    """Format of address requests and their responses."""

    def caller_failure_domain(self, request: web.BaseRequest) -> str | None:
        """Returns the failure domain of a caller that requests addresses.

        Returns None for any other request.
        """

    def response(self, addresses: list[str], *, keep_ms: int) -> web.Response:
        """Returns a response with addresses and how long they may be kept."""


class DirectoryHandlers:
    """HTTP handlers for the directory and for readiness.

    Attributes:
        stopping: Whether this daemon accepts no new callers.
    """

    def __init__(
        self,
        *,
        members: view.View,
        world: entities.World,
        directory_format: DirectoryFormat,
        serving: servings.ServingSetSelector,
    ) -> None:
        """Serves the addresses of the serving daemons.

        Args:
            members: The view of all daemons.
            world: State of the core.
            directory_format: Format of requests and responses.
            serving: Selects the serving set in a large fleet.
        """
        self._serving = serving
        self.stopping = False
        self._members = members
        self._world = world
        self._format = directory_format

    async def resolve(self, request: web.BaseRequest) -> web.Response:
        """Returns the addresses that a caller should use."""
        failure_domain = self._format.caller_failure_domain(request)
        if failure_domain is None:
            return web.json_response({"error": "not_found"}, status=404)
        members: Sequence[view.Member] = self._serving.current().serving
        if not self._world.table.version:
            # Without a table this daemon would refuse every caller.
            own = self._members.me.member_id
            members = [m for m in members if m.member_id != own]
        if not members:
            return web.json_response({"error": "no_address"}, status=503)
        addresses = select_addresses(members, failure_domain=failure_domain)
        return self._format.response(addresses, keep_ms=ADDRESS_KEEP_MS)

    async def ready(self, request: web.BaseRequest) -> web.Response:
        """Returns whether this daemon accepts callers."""
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
        members: Daemons that accept requests.
        failure_domain: The caller's failure domain; empty if unknown.
    """
    near = [m for m in members if m.failure_domain == failure_domain]
    far = [m for m in members if m.failure_domain != failure_domain]
    selected = near if len(near) >= MIN_NEAR_DAEMONS else [*near, *far]
    return [member.http_address for member in selected[:MAX_ADDRESSES]]


__all__ = [
    "ADDRESS_KEEP_FACTOR",
    "ADDRESS_KEEP_MS",
    "DirectoryFormat",
    "DirectoryHandlers",
    "select_addresses",
]
