"""Classifies a server's reply to an order to load weights."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from result import Err

if TYPE_CHECKING:
    from result import Result

    from godwittack.backend import protocol as backend


class OrderResult(enum.Enum):
    """Whether a server accepted an order."""

    ACCEPTED = enum.auto()
    # The server may carry it out now or later, or is busy with another order.
    UNKNOWN = enum.auto()
    REFUSED = enum.auto()
    # The server has seen a higher fencing number, so another daemon leads.
    STALE_FENCING = enum.auto()
    # Another server has its address, so this one is gone for good. Repeated
    # orders to it would keep a daemon in the lead and take one of the places
    # for servers that load.
    OTHER_SERVER = enum.auto()
    # Not sent, since the server restarted after it was drained.
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


def classify(reply: Result[None, backend.BackendError]) -> OrderResult:
    """Returns the result of an order by its reply or the lack of one."""
    if not isinstance(reply, Err):
        return OrderResult.ACCEPTED
    error = reply.err_value
    if error.status == 0:
        return (
            OrderResult.UNKNOWN if error.may_have_run else OrderResult.REFUSED
        )
    return _BY_STATUS.get(error.status, OrderResult.REFUSED)


__all__ = ["OrderResult", "classify"]
