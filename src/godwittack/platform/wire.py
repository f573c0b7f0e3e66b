"""The form of all bodies: JSON, with dashes in the names of fields."""

from __future__ import annotations

import pydantic


class Wire(pydantic.BaseModel):
    """Base of what is read; fields that are not named here are left out."""

    model_config = pydantic.ConfigDict(
        alias_generator=lambda name: name.replace("_", "-")
    )


class WeightsOf(Wire):
    """A model with the version of the weights that are loaded."""

    name: str
    version: int


__all__ = ["WeightsOf", "Wire"]
