"""Decodes bodies with a list, without the items that can't be decoded.

Other processes have written the items. Refused as a whole for one of them, a
body would hide all others, and be asked for again and again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

import pydantic
from result import Err, Ok, Result

from godwittack.backend import json_fields, unreadable
from godwittack.store import json_parts

if TYPE_CHECKING:
    from collections.abc import Mapping

_Body = TypeVar("_Body", bound=pydantic.BaseModel)


_LOG = unreadable.UnreadableLog("items_unreadable")


class ListBody(pydantic.BaseModel):
    """Base of bodies that know how many of their items were left out."""

    _dropped: int = pydantic.PrivateAttr(default=0)

    @property
    def dropped(self) -> int:
        """Items that could not be decoded."""
        return self._dropped

    def record_dropped(self, count: int) -> None:
        """Records that items could not be decoded."""
        self._dropped = count


def decode(
    body_type: type[_Body],
    data: bytes,
    *,
    items: str,
    origin: str,
    key: str = "",
) -> Result[_Body, str]:
    """Decodes a body; an error says why it is not one.

    Args:
        body_type: Type of the body.
        data: The body as JSON.
        items: Name of its list.
        origin: What sent the body, for the log.
        key: Name of the field that identifies an item. An item of which this
            field can be decoded keeps all such fields, and counts as changed
            to whoever compares it with an earlier one; empty to leave it out.
    """
    try:
        return Ok(body_type.model_validate_json(data))
    except pydantic.ValidationError as error:
        reason = json_fields.first_error(error)
    try:
        rest, texts = json_parts.split_list(
            data.decode(errors="replace"), items
        )
        body = body_type.model_validate_json(json_parts.join(rest))
    except ValueError:
        return Err(reason)
    decoder = _ItemDecoder(body_type, items, rest)
    found = [decoder.parse(text) or decoder.reduce(text, key) for text in texts]
    kept = tuple(item for item in found if item is not None)
    _LOG.log(origin, f"{reason}; kept {len(kept)} of {len(texts)} {items}")
    body = body.model_copy(update={items: kept})
    if isinstance(body, ListBody):
        body.record_dropped(len(texts) - len(kept))
    return Ok(body)


class _ItemDecoder(Generic[_Body]):
    """Decodes single items, each as the only one of a body."""

    def __init__(
        self, body_type: type[_Body], items: str, rest: Mapping[str, str]
    ) -> None:
        self._body_type = body_type
        self._items = items
        self._rest = rest

    def parse(self, text: str) -> object | None:
        """Returns an item; None if it can't be decoded."""
        data = json_parts.join({**self._rest, self._items: f"[{text}]"})
        try:
            body = self._body_type.model_validate_json(data)
        except pydantic.ValidationError:
            return None
        (item,) = getattr(body, self._items)
        return item

    def reduce(self, text: str, key: str) -> object | None:
        """Returns an item without its unreadable fields; None without key."""
        try:
            fields = json_parts.members(text)
        except ValueError:
            return None
        if not key or key not in fields:
            return None
        kept = {key: fields.pop(key)}
        item = self.parse(json_parts.join(kept))
        if not isinstance(item, pydantic.BaseModel):
            return None
        names = {
            field.alias or name
            for name, field in type(item).model_fields.items()
        }
        for name in names & fields.keys():
            trial = {key: kept[key], name: fields[name]}
            if self.parse(json_parts.join(trial)) is not None:
                kept[name] = fields[name]
        return self.parse(json_parts.join(kept))


__all__ = ["ListBody", "decode"]
