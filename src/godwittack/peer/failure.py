"""Messages that another daemon did not answer."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from result import Err

if TYPE_CHECKING:
    from godwittack.peer import traffic


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerError:
    """A message that another daemon did not answer.

    Attributes:
        step: Operation that failed.
        peer: Address of the daemon.
        detail: Human-readable cause in one line.
    """

    step: str
    peer: str
    detail: str

    def __str__(self) -> str:
        """Returns the error as one line."""
        return f"{self.step} at {self.peer}: {self.detail}"


def error(step: str, peer: str, detail: str) -> Err[PeerError]:
    """Returns a failure as a result."""
    return Err(PeerError(step=step, peer=peer, detail=detail))


def timeout_detail(progress: traffic.Progress, timeout_s: float) -> str:
    """Returns the detail of a call that got no answer in time."""
    return (
        f"no answer within {round(timeout_s * 1000)} ms,"
        f" waiting for {progress.phase}"
    )


__all__ = ["PeerError", "error", "timeout_detail"]
