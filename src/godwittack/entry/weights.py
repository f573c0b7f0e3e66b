"""Checks weights versions that an operator requests."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from result import Err

from godwittack.table import model

if TYPE_CHECKING:
    from collections.abc import Iterable

    from godwittack.store import protocol as platform

WEIGHTS_COLUMN = "weights_version"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsRejection:
    """Why a change of weights is refused, and the HTTP status for it."""

    status: int
    detail: str


async def check_versions(
    weights: platform.WeightStore, changes: Iterable[model.CellChange]
) -> WeightsRejection | None:
    """Returns why the requested versions are refused, or None.

    Without this check, a version that does not exist would be detected only by
    the engines: each replica in turn would be drained, fail to load, and be
    drained again.
    """
    for change in changes:
        requested = change.after
        if change.column != WEIGHTS_COLUMN or not requested:
            continue
        versions = await weights.versions(change.name)
        if isinstance(versions, Err):
            return WeightsRejection(
                503,
                f"model {change.name}, {WEIGHTS_COLUMN}: the weight store"
                f" can't be asked ({versions.err_value}); try again when it"
                " answers",
            )
        if str(requested) not in versions.ok_value:
            available = ", ".join(versions.ok_value) or "none"
            return WeightsRejection(
                400,
                f"model {change.name}, {WEIGHTS_COLUMN}: the weight store has"
                f" no version {requested}; it has {available}",
            )
    return None


__all__ = ["WeightsRejection", "check_versions"]
