"""Decides how many replicas of a model may load new weights at one time.

Load pattern: new weights are named every few seconds while requests wait at
all replicas. A replica that loads serves nobody meanwhile, so that under load
few of them should; but replaced weights may be used for a limited time, after
which a replica that still has them serves nobody either. So the number follows
from the replicas and the time that are left, never from the load alone.
"""

from __future__ import annotations

import dataclasses
import math

# The weight store slows down when more replicas than these load at once: two
# of five or six, eight of 22, 22 of 56 on the deployments measured.
MIN_STORE_LOADS = 2
STORE_LOADS_FRACTION = 0.37
# Part of the replicas that may load at one time under load while there is
# time: one of up to eleven, as on the fleets of five or six where one at a time
# is in time. With a fixed number the time for all grows with the fleet: one of
# 56 at a time needs 40 s.
UNDER_LOAD_FRACTION = 1 / 6
# Part of the time limit in which all are to be done. The rest, two seconds of
# eight, is for a start that is late and for part of the time without a lead:
# a successor of one that is lost begins within two to four seconds.
FINISH_FRACTION = 0.75
# Time from taking a replica out of service to its report of new weights,
# assumed until loads were seen: 1.0 to 3.2 s under load, since the requests
# that run end first, and 0.5 s where none does.
ASSUMED_LOAD_MS = 2_200.0
# Part by which a shorter load lowers the estimate.
DECREASE_WEIGHT = 0.2


@dataclasses.dataclass(slots=True)
class LoadTime:
    """How long a load keeps a replica out of service, as seen.

    Raised at once and lowered slowly: a roll-out that is begun too slowly can't
    be made up for, and loads of servers with little to do say little of those
    that are busy.
    """

    estimate_ms: float = ASSUMED_LOAD_MS

    def record(self, took_ms: int) -> None:
        """Takes in a load that has ended well."""
        fallen_ms = self.estimate_ms + DECREASE_WEIGHT * (
            took_ms - self.estimate_ms
        )
        self.estimate_ms = max(float(took_ms), fallen_ms)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RemainingWork:
    """What is left of a roll-out.

    Attributes:
        replicas: All replicas of the model.
        usable: Those that answer and have weights that may be used, also where
            they drain or load at this moment.
        behind: Those of them that lack the wanted weights.
        oldest_ms: For how long newer weights are named than the oldest of
            these.
        load_ms: Time for which a load keeps a replica out of service.
        use_limit_ms: Time after a naming in which older weights may be used;
            0 for no limit.
    """

    replicas: int
    usable: int
    behind: int
    oldest_ms: int
    load_ms: float
    use_limit_ms: int


def max_store_loads(replicas: int) -> int:
    """Returns how many may load at one time for the sake of the store."""
    if replicas <= 1:
        return replicas
    loading = max(MIN_STORE_LOADS, int(replicas * STORE_LOADS_FRACTION))
    return min(loading, max(1, replicas // 2))


def max_loading(remaining: RemainingWork) -> int:
    """Returns how many may be taken out of service at one time.

    Half of those that could serve go on, unless there is only one. With two
    thirds of a fleet away, a part of the whole fleet may be all that answer,
    and nobody would take work.
    """
    return min(
        max_store_loads(remaining.replicas), max(1, remaining.usable // 2)
    )


def max_loading_under_load(remaining: RemainingWork) -> int:
    """Returns how many may be taken out of service while requests wait."""
    wanted = max(
        1,
        int(remaining.replicas * UNDER_LOAD_FRACTION),
        _required_loads(remaining),
    )
    return min(wanted, max_loading(remaining))


def _required_loads(remaining: RemainingWork) -> int:
    """Returns how many must load at one time for all to be done in time."""
    if not remaining.use_limit_ms:
        return 0
    left_ms = remaining.use_limit_ms * FINISH_FRACTION - remaining.oldest_ms
    rounds = max(1, int(left_ms / remaining.load_ms))
    return math.ceil(remaining.behind / rounds)


__all__ = [
    "LoadTime",
    "RemainingWork",
    "max_store_loads",
    "max_loading",
    "max_loading_under_load",
]
