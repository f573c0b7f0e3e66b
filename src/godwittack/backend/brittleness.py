"""Reports the tolerance of rejections that servers announce in answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Result

from godwittack.backend import unreadable
from godwittack.core import server_inputs

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.clock import Clock


class Brittleness:
    """Turns announcements of brittle servers into inputs for the core.

    Attributes:
        submit: Called with each announcement, and when a server no longer
            makes one.
        has_announced: Returns whether a server is known to be brittle.
    """

    def __init__(self, *, clock: Clock) -> None:
        """Uses `clock` for the time of each input."""
        self._clock = clock
        self.submit: Callable[[server_inputs.BrittleEchoed], None]
        self.submit = lambda echo: None
        self.has_announced: Callable[[str], bool] = lambda server_id: False
        self._unreadable = unreadable.UnreadableLog("server_brittle_unreadable")

    def report(
        self,
        server_id: str,
        announced: Result[float | None, str],
        *,
        may_lift: bool,
    ) -> None:
        """Reports the announcement in an answer to the core.

        Args:
            server_id: The server that answered.
            announced: Requests that it may reject in a second, None if it made
                no announcement; the header's text where it can't be read,
                which leaves the last announcement in force.
            may_lift: Whether an answer without an announcement ends the known
                one; true for answers to requests that were run.
        """
        if isinstance(announced, Err):
            self._unreadable.log(server_id, announced.err_value)
            return
        max_rejected_per_s = announced.ok_value
        is_lifted = may_lift and self.has_announced(server_id)
        if max_rejected_per_s is None and not is_lifted:
            return
        self.submit(
            server_inputs.BrittleEchoed(
                at_ms=self._clock.now_ms(),
                server_id=server_id,
                max_rejected_per_s=max_rejected_per_s,
            )
        )


__all__ = ["Brittleness"]
