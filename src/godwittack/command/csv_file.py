"""Compares a CSV file with the current table, for `import` and `diff`."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from godwittack.command import client, codes
from godwittack.table import csv_format, edit

if TYPE_CHECKING:
    from godwittack.table import model


@dataclasses.dataclass(frozen=True, slots=True)
class CsvFileError:
    """Why a file could not be compared, with the command's exit code."""

    detail: str
    code: int


def changed_cells(
    file: str, target: client.Target | None
) -> Result[list[model.CellChange], CsvFileError]:
    """Returns the cells that importing a CSV file would change."""
    try:
        text = pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(CsvFileError(f"{file}: {error}", codes.BAD_INPUT))
    before = client.fetch_table(target)
    if isinstance(before, Err):
        return Err(CsvFileError(before.err_value, codes.UNAVAILABLE))
    after = csv_format.from_csv(text, version=before.ok_value.version)
    if isinstance(after, Err):
        return Err(CsvFileError(f"{file}, {after.err_value}", codes.BAD_INPUT))
    return Ok(edit.diff(before.ok_value, after.ok_value))


__all__ = ["CsvFileError", "changed_cells"]
