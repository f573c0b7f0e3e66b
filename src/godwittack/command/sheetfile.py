"""Compares a CSV file with the table in force, for two commands."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from godwittack.command import client, codes
from godwittack.table import edit, sheet

if TYPE_CHECKING:
    from godwittack.table import model


@dataclasses.dataclass(frozen=True, slots=True)
class SheetError:
    """Why a file can't be compared, and the command's exit code."""

    detail: str
    code: int


def changes(
    file: str, target: client.Target | None
) -> Result[list[model.CellChange], SheetError]:
    """Returns the cells that importing a CSV would change."""
    try:
        text = pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(SheetError(f"{file}: {error}", codes.BAD_INPUT))
    before = client.table(target)
    if isinstance(before, Err):
        return Err(SheetError(before.err_value, codes.UNAVAILABLE))
    after = sheet.from_csv(text, version=before.ok_value.version)
    if isinstance(after, Err):
        return Err(SheetError(f"{file}, {after.err_value}", codes.BAD_INPUT))
    return Ok(edit.diff(before.ok_value, after.ok_value))


__all__ = ["SheetError", "changes"]
