"""Which real daemons read the platform's store for all others."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from godwittack.member import assignment

if TYPE_CHECKING:
    from cluster import platform

_SERVING = re.compile(r"event=serving daemon=(\S+)")


def find(cluster: platform.Platform) -> list[int]:
    """Returns the numbers of the daemons that poll the store."""
    ids = [
        _SERVING.findall(cluster.log(number))[-1]
        for number in range(len(cluster.logs))
    ]
    ranked = assignment.rank("store", tuple(sorted(ids)))
    chosen = ranked[: assignment.STORE_READER_COUNT]
    return sorted(ids.index(member_id) for member_id in chosen)


__all__ = ["find"]
