"""Selects the headers to forward, and parses numbers in headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from godwittack import digits
from godwittack.core import work

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from aiohttp import web

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
REGENERATED = frozenset({"content-length", "date", "server"})
# Characters of an unreadable header that go into the log.
MAX_SHOWN_CHARS = 100


def end_to_end(
    all_headers: Iterable[work.Header],
    *,
    connection: str,
    dropped: Collection[str] = (),
) -> tuple[work.Header, ...]:
    """Returns the headers of a message that are forwarded.

    Args:
        all_headers: All headers of the message.
        connection: Its `Connection` header, which names more to drop.
        dropped: Further names to drop, in lower case.
    """
    excluded = {part.strip().lower() for part in connection.split(",")}
    excluded |= HOP_BY_HOP | REGENERATED | set(dropped)
    return tuple(
        header for header in all_headers if header.name.lower() not in excluded
    )


def of_request(
    request: web.BaseRequest, *, dropped: Collection[str]
) -> tuple[work.Header, ...]:
    """Returns the headers of a caller's request that are forwarded.

    Args:
        request: The request.
        dropped: Further names to drop, in lower case.
    """
    return end_to_end(
        (
            work.Header(name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.raw_headers
        ),
        connection=request.headers.get("Connection", ""),
        dropped=dropped,
    )


def encode_head(lines: Collection[str]) -> bytes:
    """Returns the head of a message; raises ValueError if it can't be one."""
    head = "\r\n".join(lines)
    breaks = len(lines) - 1
    if head.count("\n") != breaks or head.count("\r") != breaks:
        raise ValueError("a header has a line break")
    return (head + "\r\n\r\n").encode("latin-1")


def parse_number(text: str) -> int | None:
    """Returns a header's value as a whole number, None for anything else."""
    return digits.parse(text.strip())


def parse_pair(text: str) -> tuple[int | None, int | None]:
    """Returns two numbers that a comma separates, None for anything else."""
    first, _, second = text.partition(",")
    return parse_number(first), parse_number(second)


def parse_decimal(
    headers: Iterable[work.Header], names: Collection[str]
) -> Result[float | None, str]:
    """Returns the value of a numeric header, with or without a fraction.

    Args:
        headers: Headers of one message.
        names: Spellings of the header's name.

    Returns:
        The number, or None without such a header. An error with the header's
        text if it is not a number, or if several such headers differ.
    """
    accepted_names = {name.lower() for name in names}
    values = [
        h.value.strip() for h in headers if h.name.lower() in accepted_names
    ]
    if not values:
        return Ok(None)
    if len(set(values)) > 1 or not is_decimal(values[0]):
        return Err(", ".join(values)[:MAX_SHOWN_CHARS])
    return Ok(float(values[0]))


def is_decimal(text: str) -> bool:
    """Returns whether a text is a decimal number; the fraction is optional."""
    whole, _, fraction = text.partition(".")
    return bool(whole) and digits.parse(whole + fraction) is not None


__all__ = [
    "HOP_BY_HOP",
    "REGENERATED",
    "encode_head",
    "parse_decimal",
    "end_to_end",
    "is_decimal",
    "of_request",
    "parse_number",
    "parse_pair",
]
