"""Splits JSON text into its parts where the whole can't be parsed.

A parser rejects a text as a whole for one value that is nested too deeply, or
for a number or text that it can't hold. The parts beside it are still valid.
"""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

_STRING = r'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_TOKEN = re.compile(_STRING + r"|[\[\]{},]", re.DOTALL)
_NAME = re.compile(rf"\s*({_STRING})\s*:", re.DOTALL)


def _elements(text: str) -> list[str]:
    """Returns the texts of an array's elements, or of an object's members.

    Raises:
        ValueError: The array or object does not end.
    """
    found: list[str] = []
    depth = start = 0
    for token in _TOKEN.finditer(text):
        sign = token[0]
        if sign in ("[", "{"):
            depth += 1
            if depth == 1:
                start = token.end()
        elif depth == 1 and sign in (",", "]", "}"):
            found.append(text[start : token.start()])
            start = token.end()
            if sign != ",":
                return [part for part in found if part.strip()]
        elif sign in ("]", "}"):
            depth -= 1
    raise ValueError("JSON text does not end")


def array(text: str) -> list[str]:
    """Returns the texts of an array's elements.

    Raises:
        ValueError: The text is no array, or does not end.
    """
    if not text.lstrip().startswith("["):
        raise ValueError("JSON text is no array")
    return _elements(text)


def members(text: str) -> dict[str, str]:
    """Returns the texts of an object's values by name.

    Raises:
        ValueError: The text is no object, or does not end.
    """
    found: dict[str, str] = {}
    for member in _elements(text):
        name = _NAME.match(member)
        if name is None:
            raise ValueError("JSON text is no object")
        found[json.loads(name[1])] = member[name.end() :].strip()
    return found


def split_list(text: str, name: str) -> tuple[dict[str, str], list[str]]:
    """Returns an object's other members, and the elements of one of its lists.

    Raises:
        ValueError: The object has no such list, or does not end.
    """
    fields = members(text)
    if name not in fields:
        raise ValueError(f"JSON text has no {name}")
    listed = array(fields.pop(name))
    return fields, listed


def join(fields: Mapping[str, str]) -> str:
    """Returns the text of an object with these texts of values."""
    parts = (f"{json.dumps(name)}: {value}" for name, value in fields.items())
    return "{" + ", ".join(parts) + "}"


__all__ = ["array", "join", "members", "split_list"]
