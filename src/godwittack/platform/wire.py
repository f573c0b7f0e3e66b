"""The form of all bodies: JSON, with dashes in the names of fields."""

from __future__ import annotations

from typing import Annotated

import pydantic

from godwittack.backend import headers

_MOST = 10**headers.MAX_DIGITS
Count = Annotated[int, pydantic.Field(ge=0, le=_MOST)]
Positive = Annotated[int, pydantic.Field(ge=1, le=_MOST)]
Amount = Annotated[float, pydantic.Field(ge=0, le=_MOST)]


class Wire(pydantic.BaseModel):
    """Base of what is read; fields that are not named here are left out."""

    model_config = pydantic.ConfigDict(
        alias_generator=lambda name: name.replace("_", "-")
    )


class StrictWire(Wire):
    """Base of what servers say: text is no number, as others may write it."""

    model_config = pydantic.ConfigDict(strict=True)


class WeightsOf(StrictWire):
    """A model with the version of the weights that are loaded."""

    name: str = pydantic.Field(min_length=1)
    version: Positive


def why(error: pydantic.ValidationError) -> str:
    """Returns what is wrong first, in one line."""
    first = error.errors()[0]
    return ".".join(str(p) for p in first["loc"]) + f": {first['msg']}"


__all__ = ["Amount", "Count", "Positive", "StrictWire", "WeightsOf", "Wire"]
__all__ += ["why"]
