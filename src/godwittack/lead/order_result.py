"""Decides what a server's answer to an order says of the order."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from result import Err

if TYPE_CHECKING:
    from result import Result

    from godwittack.backend import protocol as backend


class Answer(enum.Enum):
    """What a server made of an order."""

    TAKEN = enum.auto()
    # It may be carried out now or later, or another order is.
    OPEN = enum.auto()
    REFUSED = enum.auto()
    # The server has seen a higher fencing number: another daemon leads.
    OLD_FENCING = enum.auto()
    # Another has its address: the server is gone for good. Ordered again and
    # again, it would keep a daemon in the lead, and a place among those that
    # load.
    OTHER_SERVER = enum.auto()
    # Not given: the server started again after it was drained.
    RESTARTED = enum.auto()

    @property
    def is_refusal(self) -> bool:
        """Whether the order will not be carried out."""
        return self not in (Answer.TAKEN, Answer.OPEN)


_BY_STATUS = {
    409: Answer.OPEN,
    412: Answer.OLD_FENCING,
    421: Answer.OTHER_SERVER,
}


def of(got: Result[None, backend.BackendError]) -> Answer:
    """Returns what became of an order, by its answer or the lack of one."""
    if not isinstance(got, Err):
        return Answer.TAKEN
    error = got.err_value
    if error.status == 0:
        return Answer.OPEN if error.sent else Answer.REFUSED
    return _BY_STATUS.get(error.status, Answer.REFUSED)


__all__ = ["Answer", "of"]
