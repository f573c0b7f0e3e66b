"""Ends the requests and connections of a daemon that stops."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from godwittack.core import inputs
from godwittack.entry import connection

if TYPE_CHECKING:
    from godwittack.core import entities
    from godwittack.daemon import listeners, runtime
    from godwittack.relay import server as relay_server

# Log lines for requests that a stop leaves no time; others are only counted.
MAX_LOGGED_REQUESTS = 100
POLL_S = 0.02
# By how much the event loop may notice the signal late.
SIGNAL_DELAY_MS = 50
# Time that a caller has for its first request after it has connected, or for
# the next one, before its connection is closed.
MIN_IDLE_MS = 200
# Time for bodies that are under way when the daemon stops listening; after it,
# their requests are refused as well.
LAST_BODIES_MS = 1_000
# For writing the final answers of requests that were left no time.
FINAL_ANSWERS_MS = 300


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
        self._expires_ms = self._started_ms
        self._listeners.begin_stop()
        self._log("stopping")

    def set_expiry(self, expires_ms: int) -> None:
        """Sets when no caller holds this daemon's address any more."""
        self._expires_ms = expires_ms
        self._listeners.refuse_from(expires_ms - SIGNAL_DELAY_MS)

    async def drain(
        self, *, deadline_ms: int, bodies_ms: int = LAST_BODIES_MS
    ) -> None:
        """Waits until callers have left and their requests have ended.

        Args:
            deadline_ms: When requests that are left get their final answers.
            bodies_ms: Time for bodies that are under way when the daemon stops
                listening.
        """
        while self._clock.now_ms() < min(self._expires_ms, deadline_ms):
            await asyncio.sleep(POLL_S)
        await self._listeners.stop()
        self._log("not_listening")
        bodies_until_ms = self._clock.now_ms() + bodies_ms
        await self._wait_until_ended(min(bodies_until_ms, deadline_ms))
        self._submit(inputs.StopOrdered(self._clock.now_ms()))
        await self._wait_until_ended(deadline_ms)
        if not self._has_ended():
            self._log("overdue")
            self._log_requests()
            self._submit(inputs.StopOverdue(self._clock.now_ms()))
            final_until_ms = self._clock.now_ms() + FINAL_ANSWERS_MS
            await self._wait_until_ended(final_until_ms)
        self._log("drained")

    def log_end(self) -> None:
        """Logs that the process ends, and what that cuts."""
        self._log("stopped")

    async def _wait_until_ended(self, until_ms: int) -> None:
        """Waits until nothing is left that the end of the process cuts.

        Requests are looked at together with the connections: one that is open
        may bring another request at any moment.
        """
        while True:
            # First, as connections that were just accepted are counted later.
            await asyncio.sleep(POLL_S)
            self._listeners.close_idle(min_idle_ms=MIN_IDLE_MS)
            if self._has_ended() or self._clock.now_ms() >= until_ms:
                return

    def _submit(self, message: inputs.StopOrdered | inputs.StopOverdue) -> None:
        """Submits an input to the core; a fault there must not end the stop."""
        try:
            self._runtime.submit(message)
        except Exception:
            logging.exception("event=stop_failed step=%s", message)

    def _has_ended(self) -> bool:
        world = self._runtime.core.world
        return not (
            world.requests
            or world.outcomes
            or self._relay.queues
            or self._listeners.has_connections()
        )

    def _log_requests(self) -> None:
        requests = list(self._runtime.core.world.requests.values())
        for request in requests[:MAX_LOGGED_REQUESTS]:
            self._log_overdue(request)

    def _log_overdue(self, request: entities.RequestRow) -> None:
        now_ms = self._clock.now_ms()
        attempt = request.last_attempt
        logging.warning(
            "event=overdue_at_stop request=%s target=%s phase=%s age_ms=%d"
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
        state = connection.ConnectionState
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
