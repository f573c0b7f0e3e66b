"""Reads `Retry-After`, by which a server asks for rest."""

from __future__ import annotations

import email.utils
import math
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from godwittack.backend import headers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from godwittack.core import work

HEADER = "retry-after"
# Longer ones are taken for this: a day.
MAX_REST_MS = 86_400_000


def read(found: Iterable[work.Header]) -> Result[int | None, str]:
    """Returns the milliseconds that an answer's headers ask for.

    Seconds, with or without a fraction, or a date (RFC 9110, 10.2.3), which
    is counted from the answer's own `Date`, so that no two clocks are compared.

    Args:
        found: Headers of one answer. Of several such ones the longest counts.

    Returns:
        None without such a header; their text where none can be read.
    """
    found = list(found)
    told = [h.value.strip() for h in found if h.name.lower() == HEADER]
    if not told:
        return Ok(None)
    dated = next((h.value for h in found if h.name.lower() == "date"), "")
    read_ms = [_parse_ms(value, dated) for value in told]
    known_ms = [value for value in read_ms if value is not None]
    if not known_ms:
        return Err(", ".join(told)[: headers.MAX_SHOWN_CHARS])
    return Ok(min(max(known_ms), MAX_REST_MS))


def _parse_ms(value: str, dated: str) -> int | None:
    if headers.is_decimal(value):
        return math.ceil(float(value) * 1000)
    until_s, made_s = _parse_date_s(value), _parse_date_s(dated)
    if until_s is None or made_s is None:
        return None
    return max(0, (until_s - made_s) * 1000)


def _parse_date_s(text: str) -> int | None:
    """Returns a date's Unix seconds, None for what is no date."""
    parsed = email.utils.parsedate_tz(text)
    if parsed is None:
        return None
    try:
        return email.utils.mktime_tz(parsed)
    except (ValueError, OverflowError):
        return None


__all__ = ["MAX_REST_MS", "read"]
