"""Keys of the queues of a target."""

from __future__ import annotations

import enum
from typing import NamedTuple


class EngineGroup(enum.StrEnum):
    """The engines that a request may use.

    ALL: there is no split by prompt length.
    """

    ALL = "all"
    SHORT = "short"
    LONG = "long"


class QueueKey(NamedTuple):
    """Requests of one priority that wait for the same engines."""

    group: EngineGroup = EngineGroup.ALL
    priority: int = 0


DEFAULT = QueueKey()

__all__ = ["DEFAULT", "EngineGroup", "QueueKey"]
