"""Base classes of all bodies: JSON, with dashes in field names."""

from __future__ import annotations

from typing import Annotated

import pydantic

from godwittack.backend import headers

_MAX_NUMBER = 10**headers.MAX_DIGITS
Count = Annotated[int, pydantic.Field(ge=0, le=_MAX_NUMBER)]
Positive = Annotated[int, pydantic.Field(ge=1, le=_MAX_NUMBER)]
Amount = Annotated[float, pydantic.Field(ge=0, le=_MAX_NUMBER)]
# Two of these can be added up in a field of a message between daemons.
_MAX_INT32 = 2**31 - 1


def _count_or_none(value: object) -> int | None:
    """Returns a number as a count, and None for anything else."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return round(value) if 0 <= value <= _MAX_INT32 else None


# A count that is not worth losing the rest of a body for.
OptionalCount = Annotated[int | None, pydantic.BeforeValidator(_count_or_none)]


class Body(pydantic.BaseModel):
    """Base of decoded bodies; ignores unknown fields."""

    model_config = pydantic.ConfigDict(
        alias_generator=lambda name: name.replace("_", "-")
    )


class StrictBody(Body):
    """Base of bodies in which, unlike in others, numbers can't be strings."""

    model_config = pydantic.ConfigDict(strict=True)


class LoadedModel(StrictBody):
    """A model with the version of its loaded weights."""

    name: str = pydantic.Field(min_length=1)
    version: Positive


def first_error(error: pydantic.ValidationError) -> str:
    """Returns the first error as one line."""
    first = error.errors()[0]
    return ".".join(str(p) for p in first["loc"]) + f": {first['msg']}"


__all__ = ["Amount", "Body", "Count", "LoadedModel", "Positive", "StrictBody"]
__all__ += ["OptionalCount", "first_error"]
