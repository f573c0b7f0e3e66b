"""Ends the requests and connections of a daemon that stops."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from absl import logging

from godwittack.core import inputs
from godwittack.entry import connection_timeouts

if TYPE_CHECKING:
    from godwittack.core import entities
    from godwittack.daemon import listeners, runtime
    from godwittack.relay import server as relay_server

# Log lines for requests that a stop has cut; the others are only counted.
MAX_LOGGED_REQUESTS = 100


class Shutdown:
    """The stop of one daemon."""

    def __init__(
        self,
        *,
        daemon_runtime: runtime.Runtime,
        caller_listeners: listeners.Listeners,
        relay: relay_server.RelayServer,
    ) -> None:
        """Begins the stop, with the components that still serve."""
        self._runtime = daemon_runtime
        self._clock = daemon_runtime.clock
        self._listeners = caller_listeners
        self._relay = relay
        self._started_ms = self._clock.now_ms()
        self._log("stopping")

    async def drain(self, *, expires_ms: int, deadline_ms: int) -> None:
        """Waits until callers have left and their requests have ended.

        Args:
            expires_ms: When no caller holds this daemon's address any more.
            deadline_ms: When the process must end.
        """
        while self._clock.now_ms() < min(expires_ms, deadline_ms):
            await asyncio.sleep(0.05)
        await self._listeners.stop()
        self._log("not_listening")
        self._runtime.submit(inputs.StopOrdered(self._clock.now_ms()))
        remaining_s = max(0.1, (deadline_ms - self._clock.now_ms()) / 1000)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(remaining_s):
                await self._runtime.stopped.wait()
                await self._relay.wait_until_idle()
        self._log("drained")
        await asyncio.sleep(0.05)

    def log_end(self) -> None:
        """Logs what the end of the process cuts."""
        requests = list(self._runtime.core.world.requests.values())
        for request in requests[:MAX_LOGGED_REQUESTS]:
            self._log_cut(request)
        self._log("stopped")

    def _log_cut(self, request: entities.RequestRow) -> None:
        now_ms = self._clock.now_ms()
        attempt = request.last_attempt
        logging.warning(
            "event=cut_by_stop request=%s target=%s phase=%s age_ms=%d"
            " read_after_ms=%d attempts=%d server=%s answer_started=%d",
            request.request_id,
            request.work.target,
            request.phase.value,
            now_ms - request.arrived_at_ms,
            request.arrived_at_ms - self._started_ms,
            request.attempts,
            attempt.server_id if attempt is not None else "none",
            request.answer_started,
        )

    def _log(self, event: str) -> None:
        """Logs how far the stop is, and what is still open."""
        states = self._listeners.count_states()
        state = connection_timeouts.ConnectionState
        logging.info(
            "event=%s after_ms=%d in_flight=%d relayed=%d idle=%d reading=%d"
            " answering=%d unsent_bytes=%d last_request_ms=%d",
            event,
            self._clock.now_ms() - self._started_ms,
            len(self._runtime.core.world.requests),
            len(self._relay.queues),
            states[state.IDLE],
            states[state.READING],
            states[state.ANSWERING],
            self._listeners.unsent_bytes(),
            self._listeners.last_request_ms - self._started_ms,
        )


__all__ = ["Shutdown"]
