"""Types of numbers in JSON bodies, and the text of validation errors."""

from __future__ import annotations

from typing import Annotated, TypeVar

import pydantic

from godwittack import digits

# The year 2100: a start that is still to come is not one of a server, and would
# count as later than that of every server.
_MAX_START_MS = 4_102_444_800_000
StartTime = Annotated[int, pydantic.Field(ge=1, le=_MAX_START_MS)]
Version = Annotated[int, pydantic.Field(ge=0, lt=2**63)]
_MAX_NUMBER = 10**digits.MAX_DIGITS
Count = Annotated[int, pydantic.Field(ge=0, le=_MAX_NUMBER)]
Positive = Annotated[int, pydantic.Field(ge=1, le=_MAX_NUMBER)]
Amount = Annotated[float, pydantic.Field(ge=0, le=_MAX_NUMBER)]
# More requests than any server runs or queues.
MAX_REQUESTS = 1_000_000
Requests = Annotated[int, pydantic.Field(ge=0, le=MAX_REQUESTS)]
# Two of these can be added up in a field of a message between daemons.
_MAX_INT32 = 2**31 - 1


def _count_or_none(value: object) -> int | None:
    """Returns a number as a count, and None for anything else."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return round(value) if 0 <= value <= _MAX_INT32 else None


# A count that is not worth losing the rest of a body for.
OptionalCount = Annotated[int | None, pydantic.BeforeValidator(_count_or_none)]


_Item = TypeVar("_Item")
# A list of which decoding stops at the first error. Collecting 100,000 errors,
# from a row of 300 KB, keeps the event loop for a second.
Items = Annotated[tuple[_Item, ...], pydantic.FailFast()]


def first_error(error: pydantic.ValidationError) -> str:
    """Returns the first error as one line."""
    first = error.errors(include_url=False, include_input=False)[0]
    return ".".join(str(p) for p in first["loc"]) + f": {first['msg']}"


__all__ = [
    "MAX_REQUESTS",
    "Amount",
    "Count",
    "Items",
    "OptionalCount",
    "Positive",
    "Requests",
    "StartTime",
    "Version",
    "first_error",
]
