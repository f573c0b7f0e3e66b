"""Format of address requests and their responses."""

from __future__ import annotations

from aiohttp import web

from godwittack.platform import names


class DirectoryFormat:
    """Implements `DirectoryFormat` of `entry/directory.py`."""

    def caller_failure_domain(self, request: web.BaseRequest) -> str | None:
        """Returns the caller's failure domain, None for any other path."""
        if request.path != names.RESOLVE_PATH:
            return None
        return request.query.get("zone", "")

    def response(self, addresses: list[str], *, keep_ms: int) -> web.Response:
        """Returns a response with addresses and their lifetime in seconds."""
        return web.json_response(
            {"addresses": addresses, "ttl-s": keep_ms // 1000}
        )


__all__ = ["DirectoryFormat"]
