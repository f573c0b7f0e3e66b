"""Keeps the published weights versions, also if a row can't be read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging
from result import Err, Result

from godwittack.core import weights

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from godwittack.store import protocol
    from godwittack.table import model


class PublishedVersions:
    """The newest weights version published for each model.

    A row that can't be read does not withdraw the version known before, which
    would return the model to its first weights. Nor does it prevent other rows
    from taking effect.
    """

    def __init__(self) -> None:
        """Starts without published versions."""
        self.by_model: dict[str, str] = {}
        self._unreadable_versions: dict[str, int] = {}

    def apply_rows(
        self,
        rows: Mapping[str, protocol.ChangedRow],
        decode: Callable[
            [protocol.ChangedRow], Result[model.PublishedWeights | None, str]
        ],
    ) -> None:
        """Applies changed rows; ignores versions older than the known one."""
        for key, row in rows.items():
            decoded = decode(row)
            if isinstance(decoded, Err):
                self._log_unreadable(key, row.version, decoded.err_value)
                continue
            self._unreadable_versions.pop(key, None)
            published = decoded.ok_value
            if published is None:
                continue
            known_version = self.by_model.get(published.model, "0")
            if weights.is_newer(published.version, known_version):
                self.by_model[published.model] = published.version

    def _log_unreadable(self, key: str, version: int, reason: str) -> None:
        if self._unreadable_versions.get(key) != version:
            logging.error(
                "event=weights_unreadable row=%r version=%d detail=%r",
                key,
                version,
                reason,
            )
        self._unreadable_versions[key] = version


__all__ = ["PublishedVersions"]
