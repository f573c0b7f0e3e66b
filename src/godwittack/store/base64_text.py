"""Text that a store keeps in base64."""

from __future__ import annotations

import base64


def encode(text: str) -> str:
    """Returns a text's base64 form."""
    return base64.b64encode(text.encode()).decode()


def decode(encoded: str) -> str:
    """Returns the text, or an empty string if it is not valid base64 of one.

    An error would discard the whole page for one row of another writer.
    """
    try:
        return base64.b64decode(encoded, validate=True).decode()
    except ValueError:
        return ""


__all__ = ["decode", "encode"]
