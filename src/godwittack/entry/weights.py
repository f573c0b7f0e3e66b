"""Checks weights versions that an operator asks for."""

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
    """Returns what is wrong with the versions asked for, or None.

    A version that nobody has would be found out by the engines only: each
    replica in turn would be drained, fail to load, and be drained again.
    """
    for change in changes:
        wanted = change.after
        if change.column != WEIGHTS_COLUMN or not wanted:
            continue
        got = await weights.versions(change.name)
        if isinstance(got, Err):
            return WeightsRejection(
                503,
                f"model {change.name}, {WEIGHTS_COLUMN}: the weight store"
                f" can't be asked ({got.err_value}); try again when it answers",
            )
        if str(wanted) not in got.ok_value:
            known = ", ".join(got.ok_value) or "none"
            return WeightsRejection(
                400,
                f"model {change.name}, {WEIGHTS_COLUMN}: the weight store has"
                f" no version {wanted}; it has {known}",
            )
    return None


__all__ = ["WeightsRejection", "check_versions"]
