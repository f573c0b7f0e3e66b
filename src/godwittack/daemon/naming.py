"""Keeps which weights are named, also where a row can't be read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging
from result import Err, Result

from godwittack.core import weights

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from godwittack.store import protocol
    from godwittack.table import model


class NamedVersions:
    """The newest version that was named for each model.

    A row that can't be read takes nothing back: the model would go to its
    first weights. Nor does it keep other rows from being put in force.
    """

    def __init__(self) -> None:
        """Knows no names."""
        self.by_model: dict[str, str] = {}
        self._refused: dict[str, int] = {}

    def take(
        self,
        rows: Mapping[str, protocol.ChangedRow],
        decode: Callable[
            [protocol.ChangedRow], Result[model.PublishedWeights | None, str]
        ],
    ) -> None:
        """Takes in rows; older versions than known are left out."""
        for key, row in rows.items():
            got = decode(row)
            if isinstance(got, Err):
                self._refuse(key, row.version, got.err_value)
                continue
            self._refused.pop(key, None)
            named = got.ok_value
            if named is None:
                continue
            known = self.by_model.get(named.model, "0")
            if weights.is_newer(named.version, known):
                self.by_model[named.model] = named.version

    def _refuse(self, key: str, version: int, why: str) -> None:
        if self._refused.get(key) != version:
            logging.error(
                "event=weights_unreadable row=%r version=%d detail=%r",
                key,
                version,
                why,
            )
        self._refused[key] = version


__all__ = ["NamedVersions"]
