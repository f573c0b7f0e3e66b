"""Base classes of all bodies: JSON, with dashes in field names."""

from __future__ import annotations

import pydantic

from godwittack.backend import json_fields


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
    version: json_fields.Positive


__all__ = ["Body", "LoadedModel", "StrictBody"]
