"""Reports the rate limits that servers advertise in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Result

from godwittack.backend import unreadable
from godwittack.core import server_inputs

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.clock import Clock


class AdvertisedLimits:
    """Turns advertised rate limits into inputs for the core.

    Attributes:
        on_limit: Called with each advertised limit, and when a server no
            longer advertises one.
        has_limit: Returns whether a limit of a server is known.
    """

    def __init__(self, *, clock: Clock) -> None:
        """Uses `clock` for the time of each input."""
        self._clock = clock
        self.on_limit: Callable[[server_inputs.RateLimitEchoed], None]
        self.on_limit = lambda limit: None
        self.has_limit: Callable[[str], bool] = lambda server_id: False
        self._unreadable = unreadable.UnreadableLog("server_limit_unreadable")

    def report(
        self,
        server_id: str,
        advertised: Result[float | None, str],
        *,
        may_lift: bool,
    ) -> None:
        """Reports the limit in an answer to the core.

        Args:
            server_id: The server that answered.
            advertised: Requests a second, None for no limit; the header's text
                where it can't be read.
            may_lift: Whether an answer without a limit lifts the known one;
                true for answers to requests that were run.
        """
        if isinstance(advertised, Err):
            self._unreadable.log(server_id, advertised.err_value)
            return
        limit_per_s = advertised.ok_value
        is_lifted = may_lift and self.has_limit(server_id)
        if limit_per_s is None and not is_lifted:
            return
        self.on_limit(
            server_inputs.RateLimitEchoed(
                at_ms=self._clock.now_ms(),
                server_id=server_id,
                limit_per_s=limit_per_s,
            )
        )


__all__ = ["AdvertisedLimits"]
