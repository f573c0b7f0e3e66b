"""Feeds the core and carries out its effects."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err, Ok

from godwittack.core import effects, inputs, server_inputs
from godwittack.daemon import attempt, caller, cancellation

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from godwittack.backend import protocol as backend
    from godwittack.claim import store
    from godwittack.clock import Clock
    from godwittack.core import router
    from godwittack.daemon import observer, stream_news
    from godwittack.member import freshness
    from godwittack.relay import client as relays
    from godwittack.session import record


class Runtime:
    """Owns the core; the only place where its `step` is called.

    Attributes:
        core: The core.
        clock: Source of time.
        stopped: Set once a stopping core has ended all requests and outcomes.
        recorder: Records inputs and effects; None without recording.
        on_announce: Called with each dispatch to announce to other daemons.
        on_suspicion: Called with each server that other daemons should probe.
        on_crashes: Called with crashes and completions to publish.
        on_rate_limit: Called with each rate limit to publish.
        on_usage: Called with what was admitted here under quotas.
        on_brittle: Called with each server that is brittle, or no longer.
        on_load: Called with each server's load and paces to publish.
        on_paths: Called with the servers that this daemon can't reach.
        confirm: Reads a copy of shared state anew, and reports the end.
        relay: Sends attempts through other daemons; None if it can't.
        streams: Exchanges the versions of streams; None if it can't.
    """

    def __init__(
        self,
        *,
        core: router.Router,
        backend_client: backend.BackendClient,
        claims: store.ClaimStore | None,
        event_observer: observer.Observer,
        clock: Clock,
    ) -> None:
        """Connects the core with its clients and stores.

        Args:
            core: The core.
            backend_client: Client for backend servers.
            claims: Store of claims; None if callers send no idempotency keys.
            event_observer: Receives every event.
            clock: Source of time.
        """
        self.core = core
        self.clock = clock
        self.stopped = asyncio.Event()
        self.recorder: record.Recorder | None = None
        self.on_announce: Callable[[effects.Announce], None] = lambda effect: (
            None
        )
        self.on_suspicion: Callable[[effects.Doubt], None] = lambda effect: None
        self.on_crashes: Callable[[effects.TellCrashes], None]
        self.on_crashes = lambda effect: None
        self.on_rate_limit: Callable[[effects.TellRateLimit], None]
        self.on_rate_limit = lambda effect: None
        self.on_usage: Callable[[effects.TellUsage], None]
        self.on_usage = lambda effect: None
        self.on_brittle: Callable[[effects.TellBrittle], None]
        self.on_brittle = lambda effect: None
        self.on_load: Callable[[effects.TellLoad], None]
        self.on_load = lambda effect: None
        self.on_paths: Callable[[effects.TellPaths], None]
        self.on_paths = lambda effect: None
        self.confirm: Callable[
            [freshness.Topic], Coroutine[object, object, None]
        ] = self._end_confirmation
        self.relay: relays.RelayClient | None = None
        self.streams: stream_news.StreamNews | None = None
        self._backend = backend_client
        self._claims = claims
        self._observer = event_observer
        self._callers: dict[str, caller.Caller] = {}
        self._attempts: dict[str, asyncio.Task[None]] = {}
        self._dispatches: dict[str, effects.Dispatch] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_counter = 0
        self._next_tick_ms = 0

    def next_request_id(self, caller_id: str = "") -> str:
        """Returns an id that no other request of the system has.

        If the caller sent an id, the result begins with it, so that log lines
        can be found by it. Two requests may carry the same caller id.
        """
        self._request_counter += 1
        if caller_id:
            return f"{caller_id}~{self._request_counter}"
        return f"{self.core.world.daemon}/{self._request_counter}"

    def open_caller(
        self,
        request_id: str,
        call: backend.Call,
        memory: caller.CallerMemory | None = None,
    ) -> caller.Caller:
        """Registers a caller before its request is submitted to the core.

        Args:
            request_id: Id of the request.
            call: The caller's request.
            memory: Its memory; None if it takes none.
        """
        new_caller = caller.Caller(call, memory)
        self._callers[request_id] = new_caller
        return new_caller

    def close_caller(self, request_id: str, closed: caller.Caller) -> None:
        """Ends a caller's connection; its request may be left to run."""
        if request_id not in self.core.world.requests:
            self._forget_caller(request_id)
        closed.release()

    def record_event(self, event: effects.Event) -> None:
        """Records an event that happened outside the core."""
        self._observer.record(event)

    def submit(self, input_: inputs.Input) -> None:
        """Submits one input to the core and carries out the effects."""
        new_effects = self.core.step(input_)
        if self.recorder is not None:
            self.recorder.record_step(input_, new_effects)
        for effect in new_effects:
            self._carry_out(effect)

    async def tick_forever(self, *, tick_ms: int) -> None:
        """Submits a tick to the core once per period."""
        self._next_tick_ms = self.clock.now_ms() + tick_ms
        while True:
            await asyncio.sleep(tick_ms / 1000)
            late_ms = self._late_ms()
            now_ms = self.clock.now_ms()
            self._next_tick_ms = now_ms + tick_ms
            self.submit(inputs.Tick(now_ms, late_ms))

    def _late_ms(self) -> int:
        """Returns how long this process has not run when it should have.

        Load pattern: the process is stopped, or its machine frozen, for a
        second. Timers that expired meanwhile say nothing of the servers, whose
        bytes have not been read yet.
        """
        if not self._next_tick_ms:
            return 0
        return max(0, self.clock.now_ms() - self._next_tick_ms)

    async def close(self) -> None:
        """Cancels all attempts and other tasks that still run."""
        await cancellation.cancel_all([*self._attempts.values(), *self._tasks])

    def _carry_out(self, effect: effects.Effect) -> None:
        match effect:
            case (
                effects.Relay()
                | effects.Refuse()
                | effects.Reply()
                | effects.BeginStream()
                | effects.EndStream()
                | effects.BreakStream()
            ):
                effect_caller = self._callers.get(effect.request_id)
                if effect_caller is not None:
                    effect_caller.put(effect)
            case effects.Event():
                self._observer.record(effect)
            case effects.Forget():
                self._forget_caller(effect.request_id)
            case effects.Dispatch():
                self._dispatch(effect)
            case effects.Announce():
                self.on_announce(effect)
            case effects.Doubt():
                self.on_suspicion(effect)
            case effects.DropConnections():
                self._backend.drop_connections(effect.server_id)
            case effects.AskPaths():
                for daemon in effect.daemons:
                    self._spawn(self._ask_path(effect, daemon))
            case effects.TellBrittle():
                self.on_brittle(effect)
            case effects.TellLoad():
                self.on_load(effect)
            case effects.TellPaths():
                self.on_paths(effect)
            case effects.TellStream():
                if self.streams is not None:
                    self.streams.tell(effect)
            case effects.AskStream():
                for daemon in effect.daemons:
                    self._spawn(self._ask_stream(effect, daemon))
            case effects.ConfirmState():
                self._spawn(self.confirm(effect.topic))
            case effects.TellCrashes():
                self.on_crashes(effect)
            case effects.TellRateLimit():
                self.on_rate_limit(effect)
            case effects.TellUsage():
                self.on_usage(effect)
            case effects.CancelAttempt():
                self._cancel(effect)
            case effects.WriteClaim():
                self._spawn(self._write_claim(effect))
            case effects.StoreOutcome():
                self._spawn(self._store_outcome(effect))
            case effects.Probe():
                self._spawn(self._probe(effect))
            case effects.Stopped():
                self.stopped.set()

    def _forget_caller(self, request_id: str) -> None:
        forgotten = self._callers.pop(request_id, None)
        if forgotten is not None:
            forgotten.release()

    def _dispatch(self, effect: effects.Dispatch) -> None:
        effect_caller = self._callers[effect.request_id]
        sink = attempt.CoreSink(
            attempt_id=effect.attempt_id,
            caller=effect_caller,
            submit=self.submit,
            clock=self.clock,
        )
        if not effect.ends_at_ms:
            # For requests by routes, the core logs the placement itself, with
            # more detail.
            self._log_dispatched(effect)
        client: backend.BackendClient | relays.RelayClient = self._backend
        if effect.relay and self.relay is not None:
            client = self.relay
        task = asyncio.create_task(
            client.send(effect, effect_caller.call, sink)
        )
        effect_caller.hold()
        task.add_done_callback(lambda _: effect_caller.release())
        self._attempts[effect.attempt_id] = task
        self._dispatches[effect.attempt_id] = effect
        task.add_done_callback(
            lambda done: self._finish_attempt(effect.attempt_id, done)
        )

    def _log_dispatched(self, effect: effects.Dispatch) -> None:
        self._observer.record(
            effects.Event(
                "dispatched",
                effect.request_id,
                (
                    effects.Field("attempt", effect.attempt_id),
                    effects.Field("server", effect.server_id),
                    effects.Field("resume_after", effect.after),
                ),
            )
        )

    def _finish_attempt(
        self, attempt_id: str, task: asyncio.Task[None]
    ) -> None:
        self._attempts.pop(attempt_id, None)
        self._dispatches.pop(attempt_id, None)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            # A fault in this daemon must end the request instead of leaving
            # its caller waiting. It is unknown whether the call ran.
            self.submit(
                inputs.AttemptFailed(
                    self.clock.now_ms(),
                    attempt_id,
                    inputs.FailurePhase.SENT,
                    inputs.FailureCause.BROKEN,
                    f"{type(error).__name__}: {error}",
                )
            )

    def _cancel(self, effect: effects.CancelAttempt) -> None:
        dispatch = self._dispatches.get(effect.attempt_id)
        task = self._attempts.get(effect.attempt_id)
        if task is not None:
            # The input being handled may come from this very attempt, which
            # must return before it can be cancelled.
            asyncio.get_running_loop().call_soon(task.cancel)
        if effect.stop_engine and dispatch is not None:
            self._spawn(self._stop_engine(dispatch))

    async def _stop_engine(self, dispatch: effects.Dispatch) -> None:
        if dispatch.relay and self.relay is not None:
            await self.relay.cancel(
                dispatch.relay, dispatch.address, dispatch.attempt_id
            )
        else:
            await self._backend.cancel(dispatch.address, dispatch.attempt_id)

    async def _end_confirmation(self, topic: freshness.Topic) -> None:
        """Ends a read that nothing here can make."""
        self.submit(
            inputs.ConfirmationEnded(self.clock.now_ms(), topic, has_read=False)
        )

    async def _ask_path(self, effect: effects.AskPaths, daemon: str) -> None:
        if self.relay is not None:
            self.submit(
                await self.relay.ask(
                    daemon, server_id=effect.server_id, address=effect.address
                )
            )

    async def _ask_stream(self, effect: effects.AskStream, daemon: str) -> None:
        if self.streams is not None:
            self.submit(await self.streams.ask(effect, daemon))

    async def _write_claim(self, effect: effects.WriteClaim) -> None:
        assert self._claims is not None
        reply = await self._claims.claim(effect)
        self.submit(
            inputs.ClaimAnswered(
                self.clock.now_ms(),
                effect.request_id,
                reply.verdict,
                reply.claim,
            )
        )

    async def _store_outcome(self, effect: effects.StoreOutcome) -> None:
        assert self._claims is not None
        stored = await self._claims.store(effect)
        self.submit(
            inputs.OutcomeStored(self.clock.now_ms(), effect.request_id, stored)
        )

    async def _probe(self, effect: effects.Probe) -> None:
        result = await self._backend.load(
            effect.address,
            server_id=effect.server_id,
            fresh_connection=effect.fresh_connection,
        )
        self.submit(
            server_inputs.ProbeAnswered(
                self.clock.now_ms(),
                effect.server_id,
                # Any response shows that the server is alive, also a refusal.
                isinstance(result, Ok) or result.err_value.status > 0,
                incarnation=result.ok_value.incarnation
                if isinstance(result, Ok)
                else "",
                ended=isinstance(result, Err)
                and result.err_value.connection_refused,
                fresh_connection=effect.fresh_connection,
                broken=isinstance(result, Err)
                and result.err_value.connection_broken,
                late_ms=self._late_ms(),
            )
        )

    def _spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(_ignore_result(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _ignore_result(coroutine: Coroutine[object, object, None]) -> None:
    await coroutine


__all__ = ["Runtime"]
