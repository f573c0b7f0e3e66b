"""The form of all bodies: JSON, with dashes in the names of fields."""

from __future__ import annotations

from typing import Annotated

import pydantic

# More make no sense in any header, and Python refuses thousands.
MOST_DIGITS = 15
_MOST = 10**MOST_DIGITS
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


def decimal(text: str) -> float | None:
    """Returns a number with or without a fraction, None for anything else."""
    whole, _, fraction = text.strip().partition(".")
    digits = whole + fraction
    is_number = digits.isascii() and digits.isdecimal() and bool(whole)
    return float(text) if is_number and len(digits) <= MOST_DIGITS else None


def number(text: str) -> int | None:
    """Returns a number that a header holds, None for anything else."""
    text = text.strip()
    is_number = text.isascii() and text.isdecimal() and len(text) <= MOST_DIGITS
    return int(text) if is_number else None


__all__ = ["Amount", "Count", "Positive", "StrictWire", "WeightsOf", "Wire"]
__all__ += ["decimal", "number", "why"]
