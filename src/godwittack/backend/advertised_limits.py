"""Tells the limits that servers name with their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Result

from godwittack.backend import unreadable
from godwittack.core import server_inputs

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.clock import Clock


class AdvertisedLimits:
    """Turns what answers say of limits into inputs, where it says something.

    Attributes:
        on_named: Told each limit, and that a server names none any more.
        is_known: Whether a limit of a server is known.
    """

    def __init__(self, *, clock: Clock) -> None:
        """Dates what is told by `clock`."""
        self._clock = clock
        self.on_limit: Callable[[server_inputs.RateLimitEchoed], None]
        self.on_limit = lambda told: None
        self.has_limit: Callable[[str], bool] = lambda server_id: False
        self._unreadable = unreadable.UnreadableLog("server_limit_unreadable")

    def report(
        self,
        server_id: str,
        named: Result[float | None, str],
        *,
        may_lift: bool,
    ) -> None:
        """Takes in what an answer names.

        Args:
            server_id: The server that answered.
            named: Requests a second, None for no limit; what could not be read.
            may_lift: Whether an answer without a limit says that none holds,
                as one to a request that was run does.
        """
        if isinstance(named, Err):
            self._unreadable.log(server_id, named.err_value)
            return
        limit_per_s = named.ok_value
        says_none = may_lift and self.has_limit(server_id)
        if limit_per_s is None and not says_none:
            return
        self.on_limit(
            server_inputs.RateLimitEchoed(
                at_ms=self._clock.now_ms(),
                server_id=server_id,
                limit_per_s=limit_per_s,
            )
        )


__all__ = ["AdvertisedLimits"]
