"""Headers that concern one connection, or are set anew on each."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from godwittack.core import work

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


def end_to_end(
    found: Iterable[work.Header],
    *,
    connection: str,
    dropped: Collection[str] = (),
) -> tuple[work.Header, ...]:
    """Returns the headers that are handed on.

    Args:
        found: All headers of a message.
        connection: Its `Connection` header, which names more to drop.
        dropped: Further names, in lower case.
    """
    named = {part.strip().lower() for part in connection.split(",")}
    named |= HOP_BY_HOP | SET_ANEW | set(dropped)
    return tuple(header for header in found if header.name.lower() not in named)


__all__ = ["HOP_BY_HOP", "SET_ANEW", "end_to_end"]
