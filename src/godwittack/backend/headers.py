"""Headers that are not handed on, and numbers that headers hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

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
REGENERATED = frozenset({"content-length", "date", "server"})
# More make no sense in any header, and Python refuses thousands.
MAX_DIGITS = 15
# Characters shown of a header that can't be read.
MAX_SHOWN_CHARS = 100


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
    named |= HOP_BY_HOP | REGENERATED | set(dropped)
    return tuple(header for header in found if header.name.lower() not in named)


def parse_number(text: str) -> int | None:
    """Returns a whole number that a header holds, None for anything else."""
    text = text.strip()
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
    return int(text) if is_number else None


def parse_decimal(
    headers: Iterable[work.Header], names: Collection[str]
) -> Result[float | None, str]:
    """Returns the number, with or without a fraction, that headers hold.

    Args:
        headers: Headers of one message.
        names: Spellings of the header's name.

    Returns:
        None without such a header; what they hold where that is no number, or
        several of them differ.
    """
    known = {name.lower() for name in names}
    told = [h.value.strip() for h in headers if h.name.lower() in known]
    if not told:
        return Ok(None)
    if len(set(told)) > 1 or not is_decimal(told[0]):
        return Err(", ".join(told)[:MAX_SHOWN_CHARS])
    return Ok(float(told[0]))


def is_decimal(text: str) -> bool:
    """Returns whether a text is a number, with or without a fraction."""
    whole, _, fraction = text.partition(".")
    digits = whole + fraction
    is_number = digits.isascii() and digits.isdecimal() and bool(whole)
    return is_number and len(digits) <= MAX_DIGITS


__all__ = [
    "HOP_BY_HOP",
    "MAX_DIGITS",
    "REGENERATED",
    "parse_decimal",
    "end_to_end",
    "is_decimal",
    "parse_number",
]
