"""Headers that concern one connection, or are set anew on each."""

from __future__ import annotations

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
SET_ANEW = frozenset({"content-length", "date", "server"})

__all__ = ["HOP_BY_HOP", "SET_ANEW"]
