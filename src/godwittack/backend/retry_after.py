"""Parses `Retry-After`, by which a server requests a rest."""

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
# Longer times are cut to a day.
MAX_REST_MS = 86_400_000


def read(answer_headers: Iterable[work.Header]) -> Result[int | None, str]:
    """Returns the rest in milliseconds that an answer's headers request.

    The header holds seconds, with or without a fraction, or a date (RFC 9110,
    10.2.3). A date is compared with the answer's own `Date`, so that the
    clocks of two hosts are never compared.

    Args:
        answer_headers: Headers of one answer. Of several `Retry-After` headers
            the longest time counts.

    Returns:
        The time, or None without such a header. An error with the headers'
        text where none of them can be read.
    """
    answer_headers = list(answer_headers)
    values = [
        h.value.strip() for h in answer_headers if h.name.lower() == HEADER
    ]
    if not values:
        return Ok(None)
    date = next(
        (h.value for h in answer_headers if h.name.lower() == "date"), ""
    )
    parsed_ms = [_parse_ms(value, date) for value in values]
    valid_ms = [value for value in parsed_ms if value is not None]
    if not valid_ms:
        return Err(", ".join(values)[: headers.MAX_SHOWN_CHARS])
    return Ok(min(max(valid_ms), MAX_REST_MS))


def _parse_ms(value: str, date: str) -> int | None:
    if headers.is_decimal(value):
        return math.ceil(float(value) * 1000)
    until_s, sent_s = _parse_date_s(value), _parse_date_s(date)
    if until_s is None or sent_s is None:
        return None
    return max(0, (until_s - sent_s) * 1000)


def _parse_date_s(text: str) -> int | None:
    """Returns a date as Unix time in seconds, None if it is not a date."""
    parsed = email.utils.parsedate_tz(text)
    if parsed is None:
        return None
    try:
        return email.utils.mktime_tz(parsed)
    except (ValueError, OverflowError):
        return None


__all__ = ["MAX_REST_MS", "read"]
