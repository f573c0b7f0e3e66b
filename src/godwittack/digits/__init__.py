"""Whole numbers in text that comes from other processes."""

from __future__ import annotations

# Longer numbers make no sense in any field, and Python's `int` raises an error
# on thousands of digits.
MAX_DIGITS = 15


def parse(text: str) -> int | None:
    """Returns a text's number, None unless it is 1 to 15 ASCII digits.

    Python's `int` also reads signs, spaces, underscores and the digits of
    other scripts, and `str.isdigit` accepts texts that `int` does not read.
    """
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
    return int(text) if is_number else None


__all__ = ["MAX_DIGITS", "parse"]
