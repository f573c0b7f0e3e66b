"""Decodes pages of the store's rows, each row by itself if need be."""

from __future__ import annotations

from typing import Annotated, Any

import pydantic
from absl import logging
from result import Err, Ok, Result

from godwittack.backend import json_fields
from godwittack.platform import wire
from godwittack.store import json_parts

_Version = Annotated[int, pydantic.Field(ge=0, lt=2**63)]
_KEY = pydantic.TypeAdapter(str)
_OTHER_FIELDS: dict[str, pydantic.TypeAdapter[Any]] = {
    "table": pydantic.TypeAdapter(str),
    "value": pydantic.TypeAdapter(str),
    "row-version": pydantic.TypeAdapter(_Version),
    "deleted": pydantic.TypeAdapter(bool),
}


class Row(wire.Body):
    """A row, or its removal."""

    table: str = ""
    key: str
    value: str = ""
    row_version: _Version = 0
    deleted: bool = False


class Page(wire.Body):
    """An answer with rows."""

    rows: tuple[Row, ...] = ()
    # Newest version in the whole store, not in these rows.
    row_version: int = 0
    has_more: bool = False
    # The store's monotonic clock, with an origin of its own.
    now_ms: int = 0


def parse(body: bytes) -> Result[Page, str]:
    """Decodes an answer; an error says why it is not one.

    Any writer may have written a row. If one makes the answer unreadable, the
    answer is decoded row by row: refused as a whole, it would hide all changes
    of the table, and be read again and again.
    """
    try:
        return Ok(Page.model_validate_json(body))
    except pydantic.ValidationError as error:
        reason = json_fields.first_error(error)
    try:
        text = body.decode(errors="replace")
        rest, row_texts = json_parts.split_list(text, "rows")
        page = Page.model_validate_json(rest)
    except ValueError:
        return Err(reason)
    rows = tuple(filter(None, map(_parse_row, row_texts)))
    logging.warning(
        "event=rows_unreadable rows=%d dropped=%d detail=%r",
        len(row_texts),
        len(row_texts) - len(rows),
        reason,
    )
    return Ok(page.model_copy(update={"rows": rows}))


def _parse_row(text: str) -> Row | None:
    """Returns a row without its unreadable fields; None without a key."""
    try:
        return Row.model_validate_json(text)
    except pydantic.ValidationError:
        pass
    try:
        fields = json_parts.members(text)
        key = _KEY.validate_json(fields["key"])
    except (KeyError, ValueError):
        return None
    # An empty value is refused by whoever uses the row, so that the row counts
    # as changed and not as it was before.
    return Row.model_validate({"key": key, **_readable(fields)})


def _readable(fields: dict[str, str]) -> dict[str, object]:
    found: dict[str, object] = {}
    for name, adapter in _OTHER_FIELDS.items():
        try:
            found[name] = adapter.validate_json(fields[name])
        except (KeyError, ValueError):
            continue
    return found


__all__ = ["Page", "Row", "parse"]
