"""How callers ask for addresses, and what they are answered."""

from __future__ import annotations

from aiohttp import web

from godwittack.platform import names


class DirectoryFormat:
    """Implements `DirectoryFormat` of `entry/directory.py`."""

    def caller_failure_domain(self, request: web.BaseRequest) -> str | None:
        """Returns a caller's failure domain; None for another question."""
        if request.path != names.RESOLVE_PATH:
            return None
        return request.query.get("zone", "")

    def response(self, addresses: list[str], *, keep_ms: int) -> web.Response:
        """Returns addresses, with the whole seconds they may be kept."""
        return web.json_response(
            {"addresses": addresses, "ttl-s": keep_ms // 1000}
        )


__all__ = ["DirectoryFormat"]
