"""Base models of all bodies: JSON, with dashes in field names."""

from __future__ import annotations

from typing import Annotated

import pydantic

from godwittack.backend import headers

_MAX_NUMBER = 10**headers.MOST_DIGITS
Count = Annotated[int, pydantic.Field(ge=0, le=_MAX_NUMBER)]
PositiveInt = Annotated[int, pydantic.Field(ge=1, le=_MAX_NUMBER)]
NonNegativeFloat = Annotated[float, pydantic.Field(ge=0, le=_MAX_NUMBER)]


class WireModel(pydantic.BaseModel):
    """Base of decoded bodies; ignores unknown fields."""

    model_config = pydantic.ConfigDict(
        alias_generator=lambda name: name.replace("_", "-")
    )


class StrictWireModel(WireModel):
    """Base of bodies written by servers, which must not send numbers as text.

    Other writers may.
    """

    model_config = pydantic.ConfigDict(strict=True)


class LoadedModel(StrictWireModel):
    """A model with the version of its loaded weights."""

    name: str = pydantic.Field(min_length=1)
    version: PositiveInt


def first_error(error: pydantic.ValidationError) -> str:
    """Returns the first error as one line."""
    first = error.errors()[0]
    return ".".join(str(p) for p in first["loc"]) + f": {first['msg']}"


__all__ = [
    "Count",
    "LoadedModel",
    "NonNegativeFloat",
    "PositiveInt",
    "StrictWireModel",
    "WireModel",
]
__all__ += ["first_error"]
