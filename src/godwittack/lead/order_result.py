"""Decides what a server's answer to an order says of the order."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from result import Err

if TYPE_CHECKING:
    from result import Result

    from godwittack.backend import protocol as backend


class OrderResult(enum.Enum):
    """What a server made of an order."""

    ACCEPTED = enum.auto()
    # It may be carried out now or later, or another order is.
    UNKNOWN = enum.auto()
    REFUSED = enum.auto()
    # The server has seen a higher fencing number: another daemon leads.
    STALE_FENCING = enum.auto()
    # Another has its address: the server is gone for good. Ordered again and
    # again, it would keep a daemon in the lead, and a place among those that
    # load.
    OTHER_SERVER = enum.auto()
    # Not given: the server started again after it was drained.
    RESTARTED = enum.auto()

    @property
    def is_refusal(self) -> bool:
        """Whether the order will not be carried out."""
        return self not in (OrderResult.ACCEPTED, OrderResult.UNKNOWN)


_BY_STATUS = {
    409: OrderResult.UNKNOWN,
    412: OrderResult.STALE_FENCING,
    421: OrderResult.OTHER_SERVER,
}


def classify(got: Result[None, backend.BackendError]) -> OrderResult:
    """Returns what became of an order, by its answer or the lack of one."""
    if not isinstance(got, Err):
        return OrderResult.ACCEPTED
    error = got.err_value
    if error.status == 0:
        return OrderResult.UNKNOWN if error.sent else OrderResult.REFUSED
    return _BY_STATUS.get(error.status, OrderResult.REFUSED)


__all__ = ["OrderResult", "classify"]
