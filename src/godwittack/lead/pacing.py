"""Decides how many replicas of a model may load new weights at once.

Load pattern: new weights are published every few seconds while requests wait at
all replicas. A replica that loads serves no requests, so under load few should
load at once. But replaced weights may be used only for a limited time, after
which a replica that still has them serves no requests either. So the number
depends on the replicas and the time that remain, never on the load alone.
"""

from __future__ import annotations

import dataclasses
import math

# The weight store slows down if more replicas load at once than two of five or
# six, eight of 22, or 22 of 56.
MIN_STORE_LOADS = 2
STORE_LOADS_FRACTION = 0.37
# Fraction of the replicas that may load at once under load while there is time:
# one of up to eleven, since in fleets of five or six, one at a time finishes in
# time. With a fixed number, the total time would grow with the fleet: 56
# replicas one at a time need 40 s.
UNDER_LOAD_FRACTION = 1 / 6
# Fraction of the time limit within which all loads should end. The rest, two
# seconds of eight, covers a late start and part of the time without a lead: the
# successor of a lost lead starts within two to four seconds.
FINISH_FRACTION = 0.75
# Time from taking a replica out of service until it reports new weights, used
# until a load is observed: 1.0 to 3.2 s under load, since running requests end
# first, and 0.5 s if none runs.
ASSUMED_LOAD_MS = 2_200.0
# Weight of a shorter load when the estimate is lowered.
DECREASE_WEIGHT = 0.2


@dataclasses.dataclass(slots=True)
class LoadTime:
    """Estimate of how long a load keeps a replica out of service.

    It rises at once and falls slowly: a roll-out that starts too slowly can't
    catch up, and the load times of servers with little work do not predict
    those of busy servers.
    """

    estimate_ms: float = ASSUMED_LOAD_MS

    def record(self, took_ms: int) -> None:
        """Records the duration of a successful load."""
        lowered_ms = self.estimate_ms + DECREASE_WEIGHT * (
            took_ms - self.estimate_ms
        )
        self.estimate_ms = max(float(took_ms), lowered_ms)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RemainingWork:
    """What is left of a roll-out.

    Attributes:
        replicas: All replicas of the model.
        usable: Replicas that respond and whose weights may be used, including
            those that drain or load at present.
        behind: Usable replicas that lack the desired weights.
        oldest_ms: For how long the oldest weights among these have been
            outdated.
        load_ms: Time for which a load keeps a replica out of service.
        use_limit_ms: Time after a publication in which older weights may be
            used; 0 for no limit.
    """

    replicas: int
    usable: int
    behind: int
    oldest_ms: int
    load_ms: float
    use_limit_ms: int


def max_store_loads(replicas: int) -> int:
    """Returns how many may load at once without slowing the store."""
    if replicas <= 1:
        return replicas
    loading = max(MIN_STORE_LOADS, int(replicas * STORE_LOADS_FRACTION))
    return min(loading, max(1, replicas // 2))


def max_loading(remaining: RemainingWork) -> int:
    """Returns how many may be taken out of service at once.

    Half of the usable replicas keep serving, unless there is only one. If two
    thirds of a fleet are unreachable, a fraction of the whole fleet could
    include all replicas that respond, and none would be left to serve.
    """
    return min(
        max_store_loads(remaining.replicas), max(1, remaining.usable // 2)
    )


def max_loading_under_load(remaining: RemainingWork) -> int:
    """Returns how many may be taken out of service while requests wait."""
    desired = max(
        1,
        int(remaining.replicas * UNDER_LOAD_FRACTION),
        _required_loads(remaining),
    )
    return min(desired, max_loading(remaining))


def _required_loads(remaining: RemainingWork) -> int:
    """Returns how many must load at once so that all finish in time."""
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
